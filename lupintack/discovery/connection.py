"""A connection to discovery: waits for bytes, and splits them into lines."""

from __future__ import annotations

import socket
from typing import NamedTuple

from lupintack.discovery.unread import UnreadBytes, is_readable

MAX_LINE_BYTES = 4 << 20
READ_BYTES = 65_536


class ReceivedBytes(NamedTuple):
    """Bytes of a connection and the earliest time at which the first of them can have arrived.

    After a pause of the process they may be read long after that.
    """

    data: bytes
    received_us: int


class LineBuffer:
    """Splits a connection's bytes into lines, and records what the connection has proved so far.

    Only complete lines extend the deadline: a line that arrives byte by byte does not show that discovery
    works.
    """

    def __init__(self, connected_us: int, timeout_s: float) -> None:
        """The first line is due `timeout_s` after `connected_us`."""
        self.partial_line = bytearray()
        self.deadline_us = connected_us + int(timeout_s * 1e6)
        self.connected_us = connected_us
        self.received_us = connected_us  # earliest arrival time of the bytes of the last read
        self.proved_us = 0  # as of when the table is proved current; 0: no proof that is not yet passed on
        self.has_proof = False  # a revision of this connection has proved the table current
        self.event_count = 0

    def split_lines(self, data: bytes) -> list[bytes]:
        """Return the lines that `data` completes; raises ValueError where a line is too long."""
        self.partial_line += data
        *lines, partial_line = self.partial_line.split(b"\n")
        self.partial_line = bytearray(partial_line)
        if len(self.partial_line) > MAX_LINE_BYTES:
            raise ValueError("a line is too long")
        return [bytes(line) for line in lines]


def wait_for_bytes(sock: socket.socket, timeout_s: float) -> None:
    """Wait for bytes. Raises TimeoutError."""
    if not is_readable(sock, timeout_s):
        raise TimeoutError("timed out")
    sock.settimeout(timeout_s)


def receive_bytes(sock: socket.socket, unread: UnreadBytes) -> ReceivedBytes:
    """Read the next bytes within the socket's own timeout."""
    data = sock.recv(READ_BYTES)
    return ReceivedBytes(data, unread.after_read(len(data)))
