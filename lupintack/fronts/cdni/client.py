"""A small HTTP/1.1 client for messages to other CDNs: one call a connection, one time limit for all of it."""

from __future__ import annotations

import socket
from dataclasses import dataclass
from urllib.parse import urljoin, urlsplit

from lupintack.clock import now_us
from lupintack.fronts.exchange import Bad
from lupintack.fronts.http1_messages import parse_fields

BODY_MOST = 1 << 20
HEAD_MOST = 16384


class CallError(Exception):
    """No usable answer came."""


@dataclass(slots=True)
class Reply:
    """An answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    def location(self, url: str) -> str:
        """Where the Location field points."""
        return urljoin(url, self.headers.get("location", ""))


def call(
    method: str, url: str, limit_us: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> Reply:
    """One call; CallError for a refused connection, a time-out, and an answer that can't be read."""
    until = now_us() + limit_us
    try:
        parts = urlsplit(url)
        host, port = parts.hostname or "", parts.port or 80
        if parts.scheme != "http" or not host:
            raise CallError(f"not an http URL: {url[:100]}")
        target = (parts.path or "/") + (f"?{parts.query}" if parts.query else "")
        lines = [f"{method} {target} HTTP/1.1", f"Host: {parts.netloc}", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        if body or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")
        with socket.create_connection((host, port), timeout=limit_us / 1e6) as sock:
            sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            return _reply(sock, until)
    except (OSError, ValueError) as error:
        raise CallError(f"{method} {url[:100]}: {error}") from None


def _reply(sock: socket.socket, until: int) -> Reply:
    buffer = bytearray()

    def more() -> bool:
        left = until - now_us()
        if left <= 0:
            raise TimeoutError("no answer in time")
        sock.settimeout(left / 1e6)
        data = sock.recv(65536)
        buffer.extend(data)
        return bool(data)

    while (at := buffer.find(b"\r\n\r\n")) < 0:
        if len(buffer) > HEAD_MOST or not more():
            raise CallError("an answer without a head")
    first, *lines = bytes(buffer[:at]).decode("latin-1").split("\r\n")
    words = first.split(" ", 2)
    if len(words) < 2 or not words[0].startswith("HTTP/1.") or not words[1].isdigit():
        raise CallError("not an HTTP answer")
    try:
        headers = parse_fields(lines)
    except Bad as error:
        raise CallError(str(error)) from None
    del buffer[: at + 4]
    length = headers.get("content-length", "")
    if "transfer-encoding" in headers or (length and not length.isdigit()):
        raise CallError("an answer's framing is not supported")
    whole = int(length) if length else None
    if words[1] in ("204", "304"):
        whole = 0
    while whole is None or len(buffer) < whole:
        if len(buffer) > BODY_MOST or (whole or 0) > BODY_MOST:
            raise CallError("an answer is too long")
        if not more():
            if whole is not None:
                raise CallError("an answer ends early")
            break
    return Reply(int(words[1]), headers, bytes(buffer[:whole]))
