"""Reads of the table's sources that are not in the table yet, by arrival time of their bytes. Thread-safe."""

from __future__ import annotations

import threading
from typing import NamedTuple

MAX_UNAPPLIED_US = 50_000  # after the bytes' arrival; from then on writes wait for the table


class SourceReadId(NamedTuple):
    """One read of a source."""

    number: int


class SourceReads:
    """Tracks whether data that a source has sent should be in the table by now."""

    def __init__(self) -> None:
        """Start with no read."""
        self._lock = threading.Lock()
        self._arrived_us: dict[SourceReadId, int] = {}
        self._last_number = 0

    def begin(self, arrived_us: int) -> SourceReadId:
        """Register a read of bytes that arrived at `arrived_us` at the earliest; called before the read."""
        with self._lock:
            self._last_number += 1
            read = SourceReadId(self._last_number)
            self._arrived_us[read] = arrived_us
        return read

    def end(self, read: SourceReadId, now_us: int) -> bool:
        """Record that all of a read is in the table; return whether writes waited, or may have, for it."""
        with self._lock:
            arrived_us = self._arrived_us.pop(read, now_us)
        return now_us - arrived_us > MAX_UNAPPLIED_US

    def is_behind(self, now_us: int) -> bool:
        """Return whether bytes have been read, arrived too long ago, and are not in the table yet."""
        if not self._arrived_us:
            return False
        with self._lock:
            oldest_us = min(self._arrived_us.values(), default=now_us)
        return now_us - oldest_us > MAX_UNAPPLIED_US
