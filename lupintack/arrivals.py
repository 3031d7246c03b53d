"""Lower bounds on the arrival times of a connection's bytes, for requests that are read much later. Pure.

The kernel reports when the last bytes arrived, but not when the bytes before them did. Bytes that had not
arrived at a check before a read must have arrived after that check. Times are in microseconds of the
monotonic clock.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from lupintack.sockets import ReceiveInfo


class Bound(NamedTuple):
    """The bytes of a connection from `position` on arrived at `earliest_us` or later."""

    position: int
    earliest_us: int


class Arrivals:
    """The bounds of one connection. `before_read` and `after_read` surround each read."""

    def __init__(self, established_us: int) -> None:
        """Begin with a connection established at `established_us`: its first byte arrived after that."""
        self.received = 0  # bytes that have been read
        self.consumed = 0  # of these, the bytes that have been consumed
        self._bounds: deque[Bound] = deque([Bound(0, established_us)])
        self._segments = -1  # count that had arrived before the read; -1: unknown

    def before_read(self, now_us: int, info: ReceiveInfo | None) -> None:
        """Record what has arrived and is unread; `info` is None where the kernel does not report it."""
        self._segments = -1
        if info is None or info.bytes_received < self.received:
            return
        self._add(info.bytes_received, now_us)
        if info.bytes_received == self.received:
            self._segments = info.segments

    def after_read(
        self, length: int, now_us: int, info: ReceiveInfo | None, paused_since_us: int | None = None
    ) -> None:
        """Record a read of `length` bytes.

        Nothing was unread before a read that had to wait. Its bytes woke the reader, so they are as recent as
        the last ones, unless the process was paused: then they may have arrived at any time since
        `paused_since_us`, except where all of them are one segment.
        """
        position = self.received
        self.received += length
        if not length:
            return
        last_us = now_us - (info.since_last_us if info is not None else 0)
        had_to_wait = self._bounds[-1].position <= position
        is_one_segment = info is not None and 0 <= self._segments == info.segments - 1
        if had_to_wait and (paused_since_us is None or is_one_segment):
            self._add(position, last_us)
        elif had_to_wait:
            self._add(position, min(paused_since_us or 0, last_us))
        if info is not None and info.bytes_received <= self.received:
            self._add(self.received - 1, last_us)

    def consume(self, length: int) -> int:
        """Consume bytes; return the earliest time at which the last byte consumed so far can have arrived."""
        self.consumed += length
        return self._earliest_us(self.consumed - 1)

    def consume_from_first(self, length: int) -> int:
        """Consume bytes; return the earliest time at which the first of them can have arrived."""
        earliest_us = self._earliest_us(self.consumed)
        self.consumed += length
        return earliest_us

    def next_unread_us(self) -> int:
        """Return the earliest time at which the first unread byte can have arrived."""
        return self._earliest_us(self.received)

    def _add(self, position: int, earliest_us: int) -> None:
        """Add a bound; raise it and later bounds so that none is earlier than a bound before it."""
        later_bounds: list[Bound] = []
        while self._bounds[-1].position > position:
            later_bounds.append(self._bounds.pop())
        earliest_us = max(earliest_us, self._bounds[-1].earliest_us)
        if self._bounds[-1].position == position:
            self._bounds.pop()
        self._bounds.append(Bound(position, earliest_us))
        for bound in reversed(later_bounds):
            self._bounds.append(Bound(bound.position, max(bound.earliest_us, earliest_us)))

    def _earliest_us(self, position: int) -> int:
        """Return the bound of one byte, and drop the bounds of the bytes before it."""
        while len(self._bounds) > 1 and self._bounds[1].position <= position:
            self._bounds.popleft()
        return self._bounds[0].earliest_us
