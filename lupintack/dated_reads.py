"""Bounds on the arrival times of the bytes that one thread reads from a client's socket."""

from __future__ import annotations

import socket

from lupintack import sockets
from lupintack.arrivals import Arrivals
from lupintack.clock import now_us
from lupintack.pauses import PROCESS_PAUSES


class DatedReads:
    """Records what has arrived on one socket before and after each read."""

    def __init__(self, sock: socket.socket) -> None:
        """Begin with a socket that has not been read from or written to."""
        self._sock = sock
        self._arrivals = Arrivals(now_us() - sockets.since_established_us(sock))

    def before_read(self) -> None:
        """Record what has arrived; called immediately before each read."""
        self._arrivals.before_read(now_us(), sockets.receive_info(self._sock))

    def after_read(self, length: int) -> None:
        """Record a read of `length` bytes."""
        now = now_us()
        info = sockets.receive_info(self._sock)
        self._arrivals.after_read(length, now, info, PROCESS_PAUSES.paused_since_us(now))

    def consume(self, length: int) -> int:
        """Consume bytes; return the earliest arrival time of the last of them, in monotonic microseconds."""
        return self._arrivals.consume(length)

    def consume_read(self, length: int) -> int:
        """Record a read and consume all of it; return the earliest arrival time of its first byte."""
        self.after_read(length)
        return self._arrivals.consume_from_first(length)
