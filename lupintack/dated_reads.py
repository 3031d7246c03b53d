"""Bounds on when the bytes arrived that one thread reads from a client's socket."""

from __future__ import annotations

import socket

from lupintack import sockets
from lupintack.arrivals import Arrivals
from lupintack.clock import now_us
from lupintack.pauses import PROCESS


class DatedReads:
    """Surrounds the reads of one socket with looks at what has arrived."""

    def __init__(self, sock: socket.socket) -> None:
        """Take a socket that nothing was read from or written to yet."""
        self._sock = sock
        self._arrivals = Arrivals(now_us() - sockets.since_established_us(sock))

    def before_read(self) -> None:
        """Look what has arrived; called right before each read."""
        self._arrivals.before_read(now_us(), sockets.receive_info(self._sock))

    def after_read(self, length: int) -> None:
        """Note that a read brought so many bytes."""
        now = now_us()
        info = sockets.receive_info(self._sock)
        self._arrivals.after_read(length, now, info, PROCESS.paused_since_us(now))

    def consume(self, length: int) -> int:
        """Take bytes off; return when the last of them arrived at the earliest, in monotonic microseconds."""
        return self._arrivals.consume(length)

    def consume_read(self, length: int) -> int:
        """Note a read and take all of it off; return when its first byte arrived at the earliest."""
        self.after_read(length)
        return self._arrivals.consume_from_first(length)
