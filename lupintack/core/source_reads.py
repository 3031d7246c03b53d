"""Reads of the table's sources that are not in the table yet, by when their bytes arrived. Thread-safe."""

from __future__ import annotations

import threading
from typing import NamedTuple

MAX_UNAPPLIED_US = 50_000  # since bytes arrived; writes wait for the table from then on


class SourceReadId(NamedTuple):
    """One read of a source."""

    number: int


class SourceReads:
    """Says whether what a source has sent should be in the table by now."""

    def __init__(self) -> None:
        """Begin with no read."""
        self._lock = threading.Lock()
        self._arrived_us: dict[SourceReadId, int] = {}
        self._last_number = 0

    def begin(self, arrived_us: int) -> SourceReadId:
        """Note a read of bytes that arrived at `arrived_us` at the earliest; called before it."""
        with self._lock:
            self._last_number += 1
            read = SourceReadId(self._last_number)
            self._arrived_us[read] = arrived_us
        return read

    def end(self, read: SourceReadId, now_us: int) -> bool:
        """Note that all of a read is in the table; return whether writes waited, or may have, for it."""
        with self._lock:
            arrived_us = self._arrived_us.pop(read, now_us)
        return now_us - arrived_us > MAX_UNAPPLIED_US

    def is_behind(self, now_us: int) -> bool:
        """Return whether bytes that arrived too long ago are read and not in the table."""
        if not self._arrived_us:
            return False
        with self._lock:
            oldest_us = min(self._arrived_us.values(), default=now_us)
        return now_us - oldest_us > MAX_UNAPPLIED_US
