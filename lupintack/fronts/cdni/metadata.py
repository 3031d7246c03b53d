"""Metadata (RFC 8006): fetches, caches and applies that of upstream CDNs, and generates this CDN's own."""

from __future__ import annotations

import re
import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from fnmatch import translate
from ipaddress import ip_address, ip_network
from typing import Any
from urllib.parse import urljoin, urlsplit

from lupintack.clock import now_us
from lupintack.fronts.cdni import client, messages
from lupintack.fronts.cdni.conf import Cdni, ContentHost, group_of_collection
from lupintack.fronts.exchange import HttpError
from lupintack.interface import UNKNOWN_GROUP

FETCH_TIMEOUT_US = 2_000_000
DEFAULT_MAX_AGE_US = 60_000_000  # for documents without a max-age
MAX_AGE_LIMIT_US = 3_600_000_000
MAX_DOCUMENTS = 256
MAX_DEPTH = 8  # nested paths for one URL, and links in a row
GROUPING = "MI.Grouping"
SUPPORTED_KINDS = (GROUPING, "MI.TimeWindowACL", "MI.LocationACL", "MI.ProtocolACL", "MI.SourceMetadata")


class MetadataError(Exception):
    """The metadata cannot be fetched or is invalid."""


class DeliveryDeniedError(Exception):
    """The metadata forbids the delivery."""

    def __init__(self, text: str, protocol: bool = False) -> None:
        """`protocol`: whether the delivery protocol is the reason."""
        super().__init__(text)
        self.protocol = protocol


@dataclass(slots=True)
class Document:
    """A cached document, and when it expires."""

    data: dict[str, Any]
    expires_us: int


class MetadataStore:
    """Caches documents fetched from upstream CDNs."""

    def __init__(self) -> None:
        """Start without documents."""
        self.lock = threading.Lock()
        self.documents: dict[str, Document] = {}

    def get(self, url: str, ptype: str) -> dict[str, Any]:
        """Return a document, from the cache unless it has expired; raise MetadataError if that fails."""
        with self.lock:
            cached = self.documents.get(url)
        if cached is not None and now_us() < cached.expires_us:
            return cached.data
        try:
            reply = client.call("GET", url, FETCH_TIMEOUT_US, headers={"Accept": messages.media_type(ptype)})
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
        """Remove documents from the cache."""
        with self.lock:
            for url in urls:
                self.documents.pop(url, None)

    def resolve(self, index_url: str, url: str) -> list[dict[str, Any]]:
        """Return the generic metadata of a URL, each type from the most specific level that has it."""
        parts = urlsplit(url)
        host_index = self.get(index_url, messages.HOST_INDEX)
        for host in _read_objects(host_index, "hosts"):
            if str(host.get("host", "")).lower() in (parts.netloc.lower(), parts.hostname or ""):
                level, base_url = self.follow(host.get("host-metadata"), messages.HOST_METADATA, index_url)
                break
        else:
            raise MetadataError(f"no metadata for host {parts.netloc}")
        by_type: dict[str, dict[str, Any]] = {}
        for _ in range(MAX_DEPTH):
            for generic in _read_objects(level, "metadata"):
                by_type[str(generic.get("generic-metadata-type"))] = generic
            for path in _read_objects(level, "paths"):
                if matches(path.get("path-pattern"), parts.path or "/"):
                    level, base_url = self.follow(path.get("path-metadata"), "MI.PathMetadata", base_url)
                    break
            else:
                return list(by_type.values())
        raise MetadataError("paths nested too deep")

    def follow(self, value: Any, ptype: str, base: str) -> tuple[dict[str, Any], str]:
        """Return an embedded or linked object, and the URL of the document that contains it."""
        for _ in range(MAX_DEPTH):
            if not isinstance(value, dict):
                raise MetadataError(f"{ptype}: an object is wanted")
            if "href" not in value:
                return value, base
            base = urljoin(base, str(value["href"]))
            value = self.get(base, str(value.get("type", ptype)))
        raise MetadataError("too many links")


def _max_age_us(reply: client.Reply) -> int:
    match = re.search(r"max-age=(\d{1,9})", reply.headers.get("cache-control", ""))
    return min(MAX_AGE_LIMIT_US, int(match[1]) * 1_000_000) if match else DEFAULT_MAX_AGE_US


def _read_objects(data: dict[str, Any], key: str) -> list[dict[str, Any]]:
    value = data.get(key, [])
    if not isinstance(value, list) or not all(isinstance(item, dict) for item in value):
        raise MetadataError(f"{key}: a list of objects is wanted")
    return value


def matches(pattern: Any, path: str) -> bool:
    """Return whether a path matches a PatternMatch object.

    `*` matches any characters, `?` one character, `$` quotes the next character. Case is ignored unless
    `case-sensitive` is true.
    """
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


def check_delivery(
    entries: list[dict[str, Any]], client_ip: str, unix_s: float, protocol: str = "http/1.1"
) -> None:
    """Raise DeliveryDeniedError if metadata forbids a delivery to a client, now and over this protocol."""
    check_supported(entries)
    for kind, value in _typed_values(entries):
        if kind == "MI.TimeWindowACL":
            _check_acl(value, "times", lambda rule: _in_time_window(rule, unix_s), "outside the time windows")
        elif kind == "MI.LocationACL":
            _check_acl(
                value, "locations", lambda rule: _in_footprint(rule, client_ip), "not for this location"
            )
        elif kind == "MI.ProtocolACL":
            text = "not over this protocol"
            _check_acl(value, "protocol-acl", lambda rule: protocol in rule.get("protocols", []), text, True)


def check_supported(entries: list[dict[str, Any]]) -> None:
    """Raise DeliveryDeniedError for metadata that must be enforced and is not supported."""
    for generic in entries:
        kind = generic.get("generic-metadata-type")
        if kind not in SUPPORTED_KINDS and generic.get("mandatory-to-enforce", True) is not False:
            raise DeliveryDeniedError(f"{kind} is not supported and must be enforced")


def content_group(entries: list[dict[str, Any]]) -> int | None:
    """Return the group of the content collection that metadata names, None if it names none."""
    group = None
    for kind, value in _typed_values(entries):
        if kind == GROUPING and "ccid" in value:
            group = group_of_collection(str(value["ccid"]))
    return group


def _typed_values(entries: list[dict[str, Any]]) -> Iterator[tuple[Any, dict[str, Any]]]:
    """Yield the kind and the value of each entry; raise MetadataError for one without a value."""
    for generic in entries:
        kind, value = generic.get("generic-metadata-type"), generic.get("generic-metadata-value")
        if not isinstance(value, dict):
            raise MetadataError(f"{kind}: a value is wanted")
        yield kind, value


def _check_acl(
    value: dict[str, Any],
    key: str,
    applies: Callable[[dict[str, Any]], bool],
    text: str,
    protocol: bool = False,
) -> None:
    """Raise DeliveryDeniedError unless the first rule that applies allows the delivery.

    Where no rule applies, a list with an `allow` rule denies it, and any other list allows it.
    """
    rules = _read_objects(value, key)
    try:
        for rule in rules:
            if applies(rule):
                if rule.get("action", "deny") != "allow":
                    raise DeliveryDeniedError(text, protocol)
                return
    except (TypeError, ValueError) as error:
        raise MetadataError(f"{key}: {error}") from None
    if any(rule.get("action", "deny") == "allow" for rule in rules):
        raise DeliveryDeniedError(text, protocol)


def _in_time_window(rule: dict[str, Any], unix_s: float) -> bool:
    windows = _read_objects(rule, "windows")
    return any(float(w.get("start", 0)) <= unix_s <= float(w.get("end", 0)) for w in windows)


def _in_footprint(rule: dict[str, Any], client_ip: str) -> bool:
    for footprint in _read_objects(rule, "footprints"):
        kind, values = footprint.get("footprint-type"), footprint.get("footprint-value", [])
        if kind not in ("ipv4cidr", "ipv6cidr"):
            raise DeliveryDeniedError(f"footprint {kind} is not supported")
        if any(ip_address(client_ip) in ip_network(str(v), strict=False) for v in values):
            return True
    return False


def host_index(conf: Cdni) -> dict[str, Any]:
    """Return this CDN's HostIndex: the hosts that have a downstream CDN."""
    link = {"type": messages.HOST_METADATA}
    return {
        "hosts": [
            {"host": host.name, "host-metadata": {**link, "href": f"{conf.base}/metadata/host/{host.name}"}}
            for host in conf.hosts.values()
            if host.downstream
        ]
    }


def host_metadata(conf: Cdni, host: ContentHost) -> dict[str, Any]:
    """Return this CDN's HostMetadata for one host."""
    endpoint = urlsplit(conf.base).netloc
    entries = [
        _generic_metadata(
            "MI.SourceMetadata", {"sources": [{"endpoints": [endpoint], "protocol": "http/1.1"}]}
        ),
        _generic_metadata(
            "MI.ProtocolACL", {"protocol-acl": [{"protocols": ["http/1.1"], "action": "allow"}]}
        ),
    ]
    if host.group != UNKNOWN_GROUP:
        entries.append(_generic_metadata(GROUPING, {"ccid": str(host.group)}))
    return {"metadata": entries, "paths": []}


def _generic_metadata(kind: str, value: dict[str, Any]) -> dict[str, Any]:
    return {"generic-metadata-type": kind, "generic-metadata-value": value}
