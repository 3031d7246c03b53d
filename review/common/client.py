"""A client that speaks HTTP/1.1 over one connection, one request at a time."""

from __future__ import annotations

import secrets
import socket
import time
from dataclasses import dataclass, field

from review.common.record import Record

NOT_ANSWERED = 0


@dataclass
class Answer:
    """An answer, or status 0 for none; times are monotonic seconds."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    sent_s: float = 0.0
    ended_s: float = 0.0

    @property
    def tag(self) -> str:
        """Return the entity tag without its quotes."""
        return self.headers.get("etag", "").strip('"')


class Connection:
    """One connection to a front."""

    def __init__(self, address: str, record: Record, name: str = "client") -> None:
        """Connect."""
        host, _, port = address.partition(":")
        self.record, self.name = record, name
        self.sock = socket.create_connection((host, int(port)), timeout=5.0)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def request(
        self,
        method: str,
        target: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        wait_s: float = 10.0,
    ) -> Answer:
        """Send a request, and wait up to `wait_s` for its whole answer."""
        lines = [f"{method} {target} HTTP/1.1", "Host: backend.local"]
        lines += [f"{key}: {value}" for key, value in (headers or {}).items()]
        if body or method in ("PUT", "POST"):
            lines.append(f"Content-Length: {len(body)}")
        sent_s = time.monotonic()
        self.record.write(self.name, f"sends {method} {target} {headers or ''}")
        try:
            self.sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            answer = self.read(sent_s + wait_s)
        except (OSError, EOFError) as error:
            answer = Answer(NOT_ANSWERED)
            self.record.write(self.name, f"no whole answer: {error!r}")
        answer.sent_s, answer.ended_s = sent_s, time.monotonic()
        if answer.status:
            text = f"{answer.status} after {answer.ended_s - sent_s:.3f} s, tag {answer.tag or '-'}"
            self.record.write(self.name, f"gets {text} {answer.headers.get('srv-wait-ms', '')}")
        return answer

    def read(self, until_s: float) -> Answer:
        """Read one answer."""
        data = b""
        while b"\r\n\r\n" not in data:
            data += self.receive(until_s)
        head, _, body = data.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        headers = {key.lower(): value.strip() for key, _, value in (line.partition(":") for line in lines)}
        status = int(first.split()[1])
        length = 0 if status in (204, 304) else int(headers.get("content-length", "0"))
        while len(body) < length:
            body += self.receive(until_s)
        return Answer(status, headers, body)

    def receive(self, until_s: float) -> bytes:
        """Wait for bytes; raise EOFError at the end of the connection, TimeoutError at the time."""
        self.sock.settimeout(max(0.001, until_s - time.monotonic()))
        data = self.sock.recv(65536)
        if not data:
            raise EOFError("closed")
        return data

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()


def new_id() -> str:
    """Return the id of a new request."""
    return secrets.token_hex(8)
