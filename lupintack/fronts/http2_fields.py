"""Parses the fields of HTTP/2 requests (RFC 9113, section 8) and encodes those of responses."""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence
from functools import lru_cache

from hpack import NeverIndexedHeaderTuple

from lupintack.fronts.exchange import HttpError, HttpRequest
from lupintack.fronts.platform_headers import RETRY_AFTER

MAX_FIELDS = 64
MAX_LENGTH_DIGITS = 12
NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9a-z-]+")
VALUE = re.compile(rb"(?:[!-~\x80-\xff](?:[\t -~\x80-\xff]*[!-~\x80-\xff])?)?")
PATH = re.compile(rb"/[!-~]*|\*")
METHOD = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
PSEUDO_FIELDS = frozenset((b":method", b":scheme", b":path", b":authority"))
CONNECTION_FIELDS = frozenset(
    (b"connection", b"proxy-connection", b"keep-alive", b"transfer-encoding", b"upgrade")
)
# Values that differ between answers would evict the others from HPACK's dynamic table.
NEVER_INDEXED = frozenset(("content-length", "etag", RETRY_AFTER.lower(), "location"))


class MalformedRequestError(ValueError):
    """A malformed request (section 8.1.1): a stream error, without an answer."""


@lru_cache(256)
def decode_name(name: bytes) -> str:
    """Return a field's name as text, empty if it is invalid; cached, as clients send few different names."""
    if not NAME.fullmatch(name) or name in CONNECTION_FIELDS:
        return ""
    return name.decode("latin-1")


def parse_request(headers: Sequence[tuple[bytes, bytes]]) -> tuple[HttpRequest, int]:
    """Return the request and the content-length of its body, -1 without one.

    Raise MalformedRequestError, or HttpError if the client gets an answer. Rejects fields that HTTP/1.1
    servers may interpret differently: connection-specific ones, upper case, white space at the ends, two
    lengths, two hosts.
    """
    pseudo, fields = read_fields(headers)
    method, path = pseudo.get(b":method", b""), pseudo.get(b":path", b"")
    if not METHOD.fullmatch(method):
        raise MalformedRequestError("missing or invalid :method")
    if method == b"CONNECT":
        raise HttpError(501, "CONNECT is not offered")
    if not PATH.fullmatch(path) or pseudo.get(b":scheme", b"") not in (b"http", b"https"):
        raise MalformedRequestError("missing or invalid :path or :scheme")
    if b":authority" in pseudo:
        authority = pseudo[b":authority"].decode("latin-1")
        if not VALUE.fullmatch(pseudo[b":authority"]) or fields.get("host", authority) != authority:
            raise MalformedRequestError("host and :authority differ or are invalid")
        fields["host"] = authority
    if len(fields) > MAX_FIELDS:
        raise HttpError(431, "too many header fields")
    request = HttpRequest(method.decode("latin-1"), path.decode("latin-1"), fields)
    return request, parse_length(fields.get("content-length", ""))


def read_fields(headers: Sequence[tuple[bytes, bytes]]) -> tuple[dict[bytes, bytes], dict[str, str]]:
    """Return pseudo-fields and fields; repeated fields are joined, except for content-length and host."""
    pseudo: dict[bytes, bytes] = {}
    fields: dict[str, str] = {}
    for name, value in headers:
        if name[:1] == b":":
            if name not in PSEUDO_FIELDS or name in pseudo or fields:
                raise MalformedRequestError("unknown, repeated or misplaced pseudo-field")
            pseudo[name] = value
            continue
        key = decode_name(name)
        if not key or not VALUE.fullmatch(value):
            raise MalformedRequestError("invalid field")
        if key == "te" and value != b"trailers":
            raise MalformedRequestError("connection-specific field")
        text = value.decode("latin-1")
        if key in fields:
            if key in ("content-length", "host"):
                raise MalformedRequestError(f"repeated field {key}")
            text = f"{fields[key]}; {text}" if key == "cookie" else f"{fields[key]}, {text}"
        fields[key] = text
    return pseudo, fields


def parse_length(text: str) -> int:
    """Return the value of a content-length field, -1 for an empty one."""
    if not text:
        return -1
    if not (text.isascii() and text.isdigit()):
        raise MalformedRequestError("content-length is not a number")
    digits = text.lstrip("0") or "0"
    if len(digits) > MAX_LENGTH_DIGITS:
        raise HttpError(413, "the body is too long")
    return int(digits)


def encode_response(
    status: int, headers: Iterable[tuple[str, object]], length: int | None
) -> list[tuple[bytes, bytes]]:
    """Return the fields of a response; `length` is None if it has no body."""
    fields: list[tuple[bytes, bytes]] = [(b":status", b"%d" % status)]
    for name, value in headers:
        key = name.lower()
        if key == "connection":
            continue
        pair = (key.encode("latin-1"), str(value).encode("latin-1", "replace"))
        fields.append(NeverIndexedHeaderTuple(*pair) if key in NEVER_INDEXED else pair)
    if length is not None:
        fields.append(NeverIndexedHeaderTuple(b"content-length", b"%d" % length))
    return fields
