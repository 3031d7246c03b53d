"""RFC 8006: metadata of upstream CDNs, fetched, cached and applied; and this CDN's own."""

from __future__ import annotations

import re
import threading
from collections.abc import Callable
from dataclasses import dataclass
from fnmatch import translate
from ipaddress import ip_address, ip_network
from typing import Any
from urllib.parse import urljoin, urlsplit

from lupintack.clock import now_us
from lupintack.fronts.cdni import client, messages
from lupintack.fronts.cdni.conf import Cdni, ContentHost, group_of_collection
from lupintack.fronts.exchange import HttpError

FETCH_LIMIT_US = 2_000_000
DEFAULT_MAX_AGE_US = 60_000_000  # a document without a max-age is asked for anew after this long
LONGEST_MAX_AGE_US = 3_600_000_000
MAX_DOCUMENTS = 256
MAX_DEPTH = 8  # links and nested paths followed for one URL


class MetadataError(Exception):
    """The metadata can't be fetched or read."""


class DeliveryDeniedError(Exception):
    """The metadata forbids the delivery."""

    def __init__(self, text: str, protocol: bool = False) -> None:
        """`protocol`: the delivery protocol is the reason."""
        super().__init__(text)
        self.protocol = protocol


@dataclass(slots=True)
class Document:
    """A document, and when it expires."""

    data: dict[str, Any]
    expires_us: int


class MetadataStore:
    """Documents fetched from upstream CDNs."""

    def __init__(self) -> None:
        """Begin with no documents."""
        self.lock = threading.Lock()
        self.documents: dict[str, Document] = {}

    def get(self, url: str, ptype: str) -> dict[str, Any]:
        """Return a document, fetched where none is cached or it has expired."""
        with self.lock:
            cached = self.documents.get(url)
        if cached is not None and now_us() < cached.expires_us:
            return cached.data
        try:
            reply = client.call("GET", url, FETCH_LIMIT_US, headers={"Accept": messages.media_type(ptype)})
        except client.CallError as error:
            raise MetadataError(str(error)) from None
        if reply.status != 200:
            raise MetadataError(f"{url}: status {reply.status}")
        if messages.payload_type(reply.headers.get("content-type", "")) != ptype:
            raise MetadataError(f"{url}: not {messages.media_type(ptype)}")
        try:
            data = messages.parse_object(reply.body)
        except HttpError as error:
            raise MetadataError(f"{url}: {error}") from None
        with self.lock:
            while len(self.documents) >= MAX_DOCUMENTS:
                del self.documents[next(iter(self.documents))]
            self.documents[url] = Document(data, now_us() + _max_age_us(reply))
        return data

    def drop(self, urls: list[str]) -> None:
        """Forget documents that are out of date."""
        with self.lock:
            for url in urls:
                self.documents.pop(url, None)

    def resolve(self, index: str, url: str) -> list[dict[str, Any]]:
        """Return the generic metadata of a URL: of each type, the most specific level's."""
        parts = urlsplit(url)
        host_index = self.get(index, messages.HOST_INDEX)
        for match in _objects(host_index, "hosts"):
            if str(match.get("host", "")).lower() in (parts.netloc.lower(), parts.hostname or ""):
                level, at = self.follow(match.get("host-metadata"), messages.HOST_METADATA, index)
                break
        else:
            raise MetadataError(f"no metadata for host {parts.netloc}")
        found: dict[str, dict[str, Any]] = {}
        for _ in range(MAX_DEPTH):
            for generic in _objects(level, "metadata"):
                found[str(generic.get("generic-metadata-type"))] = generic
            for path in _objects(level, "paths"):
                if matches(path.get("path-pattern"), parts.path or "/"):
                    level, at = self.follow(path.get("path-metadata"), "MI.PathMetadata", at)
                    break
            else:
                return list(found.values())
        raise MetadataError("paths nested too deep")

    def follow(self, value: Any, ptype: str, base: str) -> tuple[dict[str, Any], str]:
        """Return an embedded object, or the one behind a link, and the URL that it came from."""
        for _ in range(MAX_DEPTH):
            if not isinstance(value, dict):
                raise MetadataError(f"{ptype}: an object is wanted")
            if "href" not in value:
                return value, base
            base = urljoin(base, str(value["href"]))
            value = self.get(base, str(value.get("type", ptype)))
        raise MetadataError("too many links")


def _max_age_us(reply: client.Reply) -> int:
    found = re.search(r"max-age=(\d{1,9})", reply.headers.get("cache-control", ""))
    return min(LONGEST_MAX_AGE_US, int(found[1]) * 1_000_000) if found else DEFAULT_MAX_AGE_US


def _objects(data: dict[str, Any], key: str) -> list[dict[str, Any]]:
    value = data.get(key, [])
    if not isinstance(value, list) or not all(isinstance(one, dict) for one in value):
        raise MetadataError(f"{key}: a list of objects is wanted")
    return value


def matches(pattern: Any, path: str) -> bool:
    """Return whether a PatternMatch fits: * any characters, ? one, $ quotes; mostly without case."""
    if not isinstance(pattern, dict) or not isinstance(pattern.get("pattern"), str):
        raise MetadataError("path-pattern: an object with a pattern is wanted")
    raw, glob, quoted = pattern["pattern"][: messages.MAX_TEXT_CHARACTERS], "", False
    for c in raw:
        if c == "$" and not quoted:
            quoted = True
            continue
        glob += c if c in "*?" and not quoted else f"[{c}]" if c in "*?[" else c
        quoted = False
    flags = 0 if pattern.get("case-sensitive") is True else re.IGNORECASE
    return re.match(translate(glob), path, flags) is not None


def check(
    metadata: list[dict[str, Any]], client_ip: str, unix_s: float, protocol: str = "http/1.1"
) -> int | None:
    """Return the group that metadata name, if any; raise where they do not admit a delivery now."""
    group = None
    for generic in metadata:
        kind, value = generic.get("generic-metadata-type"), generic.get("generic-metadata-value")
        if not isinstance(value, dict):
            raise MetadataError(f"{kind}: a value is wanted")
        if kind == "MI.TimeWindowACL":
            _acl(value, "times", lambda rule: _open_at(rule, unix_s), "outside the time windows")
        elif kind == "MI.LocationACL":
            _acl(value, "locations", lambda rule: _footprint(rule, client_ip), "not for this location")
        elif kind == "MI.ProtocolACL":
            text = "not over this protocol"
            _acl(value, "protocol-acl", lambda rule: protocol in rule.get("protocols", []), text, True)
        elif kind == "MI.Grouping":
            group = group_of_collection(str(value["ccid"])) if "ccid" in value else group
        elif kind != "MI.SourceMetadata" and generic.get("mandatory-to-enforce", True) is not False:
            # What must be enforced and isn't understood forbids the delivery.
            raise DeliveryDeniedError(f"{kind} is not supported and must be enforced")
    return group


def _acl(
    value: dict[str, Any], key: str, fits: Callable[[dict[str, Any]], bool], text: str, protocol: bool = False
) -> None:
    """The first rule that fits decides; with none, a list that allows something denies the rest."""
    rules = _objects(value, key)
    try:
        for rule in rules:
            if fits(rule):
                if rule.get("action", "deny") != "allow":
                    raise DeliveryDeniedError(text, protocol)
                return
    except (TypeError, ValueError) as error:
        raise MetadataError(f"{key}: {error}") from None
    if any(rule.get("action", "deny") == "allow" for rule in rules):
        raise DeliveryDeniedError(text, protocol)


def _open_at(rule: dict[str, Any], unix_s: float) -> bool:
    windows = _objects(rule, "windows")
    return any(float(w.get("start", 0)) <= unix_s <= float(w.get("end", 0)) for w in windows)


def _footprint(rule: dict[str, Any], client_ip: str) -> bool:
    for one in _objects(rule, "footprints"):
        kind, values = one.get("footprint-type"), one.get("footprint-value", [])
        if kind not in ("ipv4cidr", "ipv6cidr"):
            raise DeliveryDeniedError(f"footprint {kind} is not supported")
        if any(ip_address(client_ip) in ip_network(str(v), strict=False) for v in values):
            return True
    return False


def host_index(conf: Cdni) -> dict[str, Any]:
    """Return this CDN's HostIndex: the hosts that a downstream CDN may deliver for it."""
    link = {"type": messages.HOST_METADATA}
    return {
        "hosts": [
            {"host": host.name, "host-metadata": {**link, "href": f"{conf.base}/metadata/host/{host.name}"}}
            for host in conf.hosts.values()
            if host.downstream
        ]
    }


def host_metadata(conf: Cdni, host: ContentHost) -> dict[str, Any]:
    """Return this CDN's HostMetadata of one host."""
    endpoint = urlsplit(conf.base).netloc
    return {
        "metadata": [
            _generic("MI.SourceMetadata", {"sources": [{"endpoints": [endpoint], "protocol": "http/1.1"}]}),
            _generic("MI.ProtocolACL", {"protocol-acl": [{"protocols": ["http/1.1"], "action": "allow"}]}),
            _generic("MI.Grouping", {"ccid": str(host.group)}),
        ],
        "paths": [],
    }


def _generic(kind: str, value: dict[str, Any]) -> dict[str, Any]:
    return {"generic-metadata-type": kind, "generic-metadata-value": value}
