"""Listeners with a thread for each connection, and a small HTTP/1.1 client that reads one whole answer."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(frozen=True)
class Reply:
    """An answer; a status of 0 means that none came whole."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


def listen(serve: Callable[[socket.socket], None]) -> socket.socket:
    """Listen on a free loopback port, and serve each connection on a thread."""
    server = socket.create_server(("127.0.0.1", 0), backlog=256)

    def accept() -> None:
        while True:
            try:
                sock, _ = server.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=serve, args=(sock,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    return server


def address_of(server: socket.socket) -> str:
    """Return a listener's address as host:port."""
    host, port = server.getsockname()[:2]
    return f"{host}:{port}"


def connect(port: int, timeout_s: float) -> socket.socket:
    """Return a connection to a loopback port."""
    sock = socket.create_connection(("127.0.0.1", port), timeout=timeout_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def encode_request(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1", "Host: backend.local"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if method in ("PUT", "POST"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def exchange(sock: socket.socket, data: bytes) -> Reply:
    """Send a request on an open connection, and return its answer."""
    try:
        sock.sendall(data)
        return read_reply(sock)
    except OSError:
        return Reply(0)


def read_reply(sock: socket.socket) -> Reply:
    """Read one answer; raise OSError if it does not come whole."""
    raw = b""
    while b"\r\n\r\n" not in raw:
        chunk = sock.recv(65536)
        if not chunk:
            raise ConnectionResetError("closed before the answer")
        raw += chunk
    head, _, body = raw.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
    status = int(first.split(" ")[1])
    length = 0 if status in (204, 304) else int(headers.get("content-length", "0"))
    while len(body) < length:
        chunk = sock.recv(65536)
        if not chunk:
            raise ConnectionResetError("closed within the answer")
        body += chunk
    return Reply(status, headers, body)


def request(
    port: int,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Reply:
    """Send one request on a new connection, and return its answer."""
    try:
        with connect(port, timeout_s) as sock:
            return exchange(sock, encode_request(method, target, headers or {}, body))
    except OSError:
        return Reply(0)
