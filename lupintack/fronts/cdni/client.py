"""Minimal HTTP/1.1 client for calls to other CDNs: one call per connection, with a single time-out."""

from __future__ import annotations

import socket
from dataclasses import dataclass
from urllib.parse import urljoin, urlsplit

from lupintack.clock import now_us
from lupintack.fronts.cdni import messages
from lupintack.fronts.exchange import FIELD_VALUE, HttpError
from lupintack.fronts.http1_messages import parse_fields

MAX_BODY_BYTES = 1 << 20
MAX_HEAD_BYTES = 16384
READ_BYTES = 65536
HEAD_END = b"\r\n\r\n"
BODYLESS_STATUSES = (204, 304)


class CallError(Exception):
    """The call got no usable answer."""


@dataclass(slots=True)
class Reply:
    """The answer to a call."""

    status: int
    headers: dict[str, str]
    body: bytes

    def location(self, url: str) -> str:
        """Return the absolute URL of the Location field; `url`: the one that was called."""
        return urljoin(url, self.headers.get("location", ""))


def call(
    method: str, url: str, timeout_us: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> Reply:
    """Make one call; raise CallError if the connection fails, the call times out or the answer is invalid."""
    deadline_us = now_us() + timeout_us
    try:
        head = _encode_head(method, url, headers or {}, len(body))
        parts = urlsplit(url)
        address = parts.hostname or "", parts.port or 80
        with socket.create_connection(address, timeout=timeout_us / 1e6) as sock:
            sock.sendall(head + body)
            return _read_reply(sock, deadline_us)
    except (OSError, ValueError) as error:
        raise CallError(f"{method} {url[:100]}: {error}") from None


def _encode_head(method: str, url: str, headers: dict[str, str], body_bytes: int) -> bytes:
    """Return the head of a call; raise CallError for a URL or a field that would be read as another one.

    Both may be another party's: a URL may be a link in its documents, and a field name the link's type.
    """
    parts = urlsplit(url)
    if not messages.is_visible(url):  # `urlsplit` drops line ends and tabs
        raise CallError(f"not a URL of visible ASCII characters: {url[:100]!r}")
    if parts.scheme != "http" or not parts.hostname or "@" in parts.netloc:
        raise CallError(f"not an http URL: {url[:100]}")
    target = (parts.path or "/") + (f"?{parts.query}" if parts.query else "")
    fields = {"Host": parts.netloc, "Connection": "close", **headers}
    if body_bytes or method in ("POST", "PUT"):
        fields["Content-Length"] = str(body_bytes)
    for name, value in fields.items():
        if FIELD_VALUE.fullmatch(value) is None:
            raise CallError(f"{name}: not a value of a field: {value[:100]!r}")
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class _Receiver:
    """Reads one reply from a connection, until a deadline."""

    def __init__(self, sock: socket.socket, deadline_us: int) -> None:
        self.sock = sock
        self.deadline_us = deadline_us
        self.buffer = bytearray()

    def receive(self) -> bool:
        """Wait for data; return False at the end of the stream, raise TimeoutError at the deadline."""
        remaining_us = self.deadline_us - now_us()
        if remaining_us <= 0:
            raise TimeoutError("no answer in time")
        self.sock.settimeout(remaining_us / 1e6)
        data = self.sock.recv(READ_BYTES)
        self.buffer.extend(data)
        return bool(data)

    def read_head(self) -> tuple[int, dict[str, str]]:
        """Return the status and the header fields; raise CallError for an invalid head."""
        while (end := self.buffer.find(HEAD_END)) < 0:
            if len(self.buffer) > MAX_HEAD_BYTES or not self.receive():
                raise CallError("an answer without a head")
        first, *lines = bytes(self.buffer[:end]).decode("latin-1").split("\r\n")
        status_line = first.split(" ", 2)
        if len(status_line) < 2 or not status_line[0].startswith("HTTP/1.") or not status_line[1].isdigit():
            raise CallError("not an HTTP answer")
        try:
            headers = parse_fields(lines)
        except HttpError as error:
            raise CallError(str(error)) from None
        del self.buffer[: end + len(HEAD_END)]
        return int(status_line[1]), headers

    def read_body(self, length: int | None) -> bytes:
        """Return the body, which ends with the connection if `length` is None."""
        while length is None or len(self.buffer) < length:
            if len(self.buffer) > MAX_BODY_BYTES or (length or 0) > MAX_BODY_BYTES:
                raise CallError("an answer is too long")
            if not self.receive():
                if length is not None:
                    raise CallError("an answer ends early")
                break
        return bytes(self.buffer[:length])


def _read_reply(sock: socket.socket, deadline_us: int) -> Reply:
    receiver = _Receiver(sock, deadline_us)
    status, headers = receiver.read_head()
    length_text = headers.get("content-length", "")
    if "transfer-encoding" in headers or (length_text and not length_text.isdigit()):
        raise CallError("an answer's framing is not supported")
    length = int(length_text) if length_text else None
    if status in BODYLESS_STATUSES:
        length = 0
    return Reply(status, headers, receiver.read_body(length))
