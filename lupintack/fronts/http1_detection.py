"""Detects HTTP/1.1 clients on the HTTP/2 port by their first bytes, and answers them in HTTP/1.1."""

from __future__ import annotations

import select
import socket

PEEK_BYTES = 8
PREFACE_LINE = b"PRI * HTTP/2.0"
READ_BYTES = 4096
CLOSE_TIMEOUT_S = 1.0
RESPONSE = (
    b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Type: text/plain\r\nContent-Length: 51\r\n\r\n"
    b"this port speaks HTTP/2 only, by prior knowledge.\r\n"
)


def speaks_http1(sock: socket.socket, timeout_ms: int) -> bool:
    """Return whether the first bytes are HTTP/1.1, without consuming them; False if none arrive in time."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    if not poll.poll(timeout_ms):
        return False
    first = sock.recv(PEEK_BYTES, socket.MSG_PEEK)
    return first[:3].isalpha() and not PREFACE_LINE.startswith(first) and first[:3] != PREFACE_LINE[:3]


def refuse_http1(sock: socket.socket) -> None:
    """Answer with an HTTP/1.1 error that only HTTP/2 is served, and close."""
    try:
        sock.sendall(RESPONSE)
        sock.shutdown(socket.SHUT_WR)
        sock.settimeout(CLOSE_TIMEOUT_S)
        while sock.recv(READ_BYTES):
            pass
    except OSError:
        pass  # the client has disconnected
    sock.close()
