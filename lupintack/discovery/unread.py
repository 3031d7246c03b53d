"""Bounds how long bytes from discovery may have been unread; later bytes do not change the bound."""

from __future__ import annotations

import select
import socket
from typing import NamedTuple

from lupintack import sockets
from lupintack.arrivals import Arrivals
from lupintack.clock import now_us

UNKNOWN_SEGMENTS = -1


class UnreadMark(NamedTuple):
    """The reader's state before its last read; replaced as a whole, since any thread may read it."""

    earliest_us: int  # lower bound on the arrival of the first byte that was unread then
    segments: int  # count of arrived segments, where all were read; else UNKNOWN_SEGMENTS


class UnreadBytes:
    """Tracks the unread bytes of one connection. The reader's thread updates it around each read."""

    def __init__(self, sock: socket.socket) -> None:
        """Begin with a connection that has just been established."""
        self._sock = sock
        established_us = now_us() - sockets.since_established_us(sock)
        self._arrivals = Arrivals(established_us)
        self._mark = UnreadMark(established_us, UNKNOWN_SEGMENTS)

    def before_read(self) -> None:
        """Record what has arrived; called by the reader before it waits."""
        info = self._receive_info()
        self._arrivals.before_read(now_us(), info)
        is_empty = info is not None and info.bytes_received == self._arrivals.received
        segments = info.segments if info is not None and is_empty else UNKNOWN_SEGMENTS
        self._mark = UnreadMark(self._arrivals.next_unread_us(), segments)

    def after_read(self, length: int) -> int:
        """Record a read; return the earliest time at which its first byte can have arrived.

        Whether only the reader's thread was delayed is unknown: bytes of several segments may have arrived at
        any time since the check before the read.
        """
        earliest_us = self.oldest_us()
        self._arrivals.after_read(length, now_us(), sockets.receive_info(self._sock), earliest_us)
        return self._arrivals.consume_from_first(length)

    def oldest_us(self) -> int:
        """Return the earliest time at which the first unread byte can have arrived; safe on any thread.

        Where the kernel reports only on the last bytes, all unread bytes are dated by these.
        """
        mark = self._mark
        info = self._receive_info()
        if info is None:
            return now_us() - sockets.since_received_us(self._sock)
        if 0 <= mark.segments == info.segments - 1:
            return max(mark.earliest_us, now_us() - info.since_last_us)
        return mark.earliest_us

    def _receive_info(self) -> sockets.ReceiveInfo | None:
        """Return what has arrived; None where the kernel reports nothing, or less than was read."""
        info = sockets.receive_info(self._sock)
        return info if info is not None and info.bytes_received >= self._arrivals.received else None

    def has_any(self) -> bool:
        """Return whether bytes or the end of the stream are unread. Raises ValueError once closed."""
        return is_readable(self._sock, 0.0)


def is_readable(sock: socket.socket, timeout_s: float) -> bool:
    """Return whether bytes or the end of the stream arrive within the timeout; safe from any thread."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(timeout_s * 1000.0))
