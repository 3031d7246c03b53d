"""Parses the head of an HTTP/1.1 request and encodes the head of a response. Pure functions."""

from __future__ import annotations

import re
from collections.abc import Iterable

from lupintack.fronts.exchange import REASONS, HttpError, HttpRequest

MAX_HEADERS = 64
MAX_LENGTH_DIGITS = 12
TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+"
REQUEST_LINE = re.compile(rf"({TOKEN}) ([!-~]+) HTTP/(\d\.\d)")
FIELD = re.compile(rf"({TOKEN}):[ \t]*([^\0\r\n]*?)[ \t]*")


def parse_fields(lines: list[str]) -> dict[str, str]:
    """Return header fields; join repeated ones, or raise HttpError for Host and framing fields."""
    if len(lines) > MAX_HEADERS:
        raise HttpError(431, "too many header fields")
    headers: dict[str, str] = {}
    field = FIELD.fullmatch
    for line in lines:
        match = field(line)
        if match is None:
            raise HttpError(400, "not a header field")
        key, value = match.groups()
        key = key.lower()
        if key in headers:
            if key in ("content-length", "host", "transfer-encoding"):
                raise HttpError(400, f"two of {key}")
            value = f"{headers[key]}, {value}"
        headers[key] = value
    return headers


def parse_head(raw: bytes, bodyless: bool = False) -> tuple[HttpRequest, int]:
    """Return a request and its body's length; `bodyless`: PUT and POST need no Content-Length."""
    lines = raw.decode("latin-1").split("\r\n")
    match = REQUEST_LINE.fullmatch(lines[0])
    if match is None:
        raise HttpError(400, "not a request line")
    method, target, version = match.groups()
    if version not in ("1.1", "1.0"):
        raise HttpError(505, "not HTTP/1.1")
    headers = parse_fields(lines[1:])
    if version == "1.1" and "host" not in headers:
        raise HttpError(400, "no Host")
    if "transfer-encoding" in headers:
        if "content-length" in headers:
            raise HttpError(400, "Content-Length beside Transfer-Encoding")
        raise HttpError(501, "transfer codings are not supported")
    length = headers.get("content-length", "0")
    if not (length.isascii() and length.isdigit()):
        raise HttpError(400, "Content-Length is no number")
    length = length.lstrip("0") or "0"
    if len(length) > MAX_LENGTH_DIGITS:
        # Fewer digits would be another length, and the rest of the body read as a request.
        raise HttpError(413, "the body is too long")
    if method in ("PUT", "POST") and "content-length" not in headers and not bodyless:
        raise HttpError(411, "Content-Length is wanted")
    options = headers["connection"].lower().replace(" ", "").split(",") if "connection" in headers else []
    close = "close" in options or (version == "1.0" and "keep-alive" not in options)
    return HttpRequest(method, target, headers, close=close), int(length)


def encode_head(status: int, headers: Iterable[tuple[str, object]], length: int | None) -> bytes:
    """Return the head of a response."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace")
