"""How long bytes of discovery's can have lain unread on a connection: a bound that no later byte moves."""

from __future__ import annotations

import select
import socket
from typing import NamedTuple

from lupintack import sockets
from lupintack.arrivals import Arrivals
from lupintack.clock import now_us

UNKNOWN_SEGMENTS = -1


class UnreadMark(NamedTuple):
    """What the reader saw before its last read; replaced as a whole, as any thread may look."""

    earliest_us: int  # the first byte that was not read then arrived at this moment or later
    segments: int  # that had arrived, where all of them had been read; else UNKNOWN_SEGMENTS


class UnreadBytes:
    """Watches what lies unread on one connection. The reader's thread looks before and after each read."""

    def __init__(self, sock: socket.socket) -> None:
        """Take a connection that has just come up."""
        self._sock = sock
        established_us = now_us() - sockets.since_established_us(sock)
        self._arrivals = Arrivals(established_us)
        self._mark = UnreadMark(established_us, UNKNOWN_SEGMENTS)

    def before_read(self) -> None:
        """Look what has arrived; called by the reader before it waits."""
        info = self._receive_info()
        self._arrivals.before_read(now_us(), info)
        is_empty = info is not None and info.bytes_received == self._arrivals.received
        segments = info.segments if info is not None and is_empty else UNKNOWN_SEGMENTS
        self._mark = UnreadMark(self._arrivals.next_unread_us(), segments)

    def after_read(self, length: int) -> int:
        """Note a read; return the earliest moment at which its first byte can have arrived.

        Whether the reader alone was kept from running is not known: bytes of several segments may have
        arrived at any moment since the look before the read.
        """
        earliest_us = self.oldest_us()
        self._arrivals.after_read(length, now_us(), sockets.receive_info(self._sock), earliest_us)
        return self._arrivals.consume_from_first(length)

    def oldest_us(self) -> int:
        """Return the earliest moment at which the first unread byte can have arrived; safe on any thread.

        Where the kernel tells only of the last bytes, all count as young as these.
        """
        mark = self._mark
        info = self._receive_info()
        if info is None:
            return now_us() - sockets.since_received_us(self._sock)
        if 0 <= mark.segments == info.segments - 1:
            return max(mark.earliest_us, now_us() - info.since_last_us)
        return mark.earliest_us

    def _receive_info(self) -> sockets.ReceiveInfo | None:
        """Return what has arrived; None where the kernel does not tell, or counts less than was read."""
        info = sockets.receive_info(self._sock)
        return info if info is not None and info.bytes_received >= self._arrivals.received else None

    def is_any(self) -> bool:
        """Return whether bytes or the end of the stream lie unread. Raises ValueError once it is closed."""
        return is_readable(self._sock, 0.0)


def is_readable(sock: socket.socket, timeout_s: float) -> bool:
    """Return whether bytes or the end of the stream arrive within the timeout; safe from any thread."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(timeout_s * 1000.0))
