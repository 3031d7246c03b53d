"""Metadata (RFC 8006): applies that of upstream CDNs, and generates this CDN's own."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator
from fnmatch import translate
from ipaddress import ip_address, ip_network
from typing import Any
from urllib.parse import urlsplit

from lupintack.fronts.cdni import messages
from lupintack.fronts.cdni.conf import Cdni, ContentHost, group_of_collection
from lupintack.interface import UNKNOWN_GROUP

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


def read_objects(data: dict[str, Any], key: str) -> list[dict[str, Any]]:
    """Return a list of objects in metadata; raise MetadataError if it is another value."""
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
    rules = read_objects(value, key)
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
    windows = read_objects(rule, "windows")
    return any(float(w.get("start", 0)) <= unix_s <= float(w.get("end", 0)) for w in windows)


def _in_footprint(rule: dict[str, Any], client_ip: str) -> bool:
    for footprint in read_objects(rule, "footprints"):
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


def host_metadata(conf: Cdni, host: ContentHost, groupings: dict[str, Any]) -> dict[str, Any]:
    """Return this CDN's HostMetadata for one host.

    `groupings`: the collections of its content by its upstream's metadata; without one, the host's own.
    """
    endpoint = urlsplit(conf.base).netloc
    entries = [
        generic_metadata(
            "MI.SourceMetadata", {"sources": [{"endpoints": [endpoint], "protocol": "http/1.1"}]}
        ),
        generic_metadata(
            "MI.ProtocolACL", {"protocol-acl": [{"protocols": ["http/1.1"], "action": "allow"}]}
        ),
    ]
    of_host = groupings.get("metadata", [])
    if not of_host and host.group != UNKNOWN_GROUP:
        of_host = [generic_metadata(GROUPING, {"ccid": str(host.group)})]
    return {"metadata": [*entries, *of_host], "paths": groupings.get("paths", [])}


def generic_metadata(kind: str, value: dict[str, Any]) -> dict[str, Any]:
    """Return a GenericMetadata object."""
    return {"generic-metadata-type": kind, "generic-metadata-value": value}
