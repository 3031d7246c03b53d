"""The core's timers: deadlines of requests, and timers that the router has set."""

from __future__ import annotations

import heapq
from enum import IntEnum
from typing import NamedTuple


class TimerKind(IntEnum):
    """The purpose of a timer."""

    REQUEST_DEADLINE = 0
    ROUTER = 1


class Timer(NamedTuple):
    """One timer, ordered by its time and then by the order in which timers were set."""

    at_us: int
    sequence: int
    kind: TimerKind
    token: int  # a request's number, or the router's own token


class TimerQueue:
    """Timers ordered by time, in monotonic microseconds. Modified by the core's turn alone."""

    def __init__(self) -> None:
        """Start empty."""
        self._timers: list[Timer] = []
        self._last_sequence = 0

    def set(self, at_us: int, kind: TimerKind, token: int) -> None:
        """Add a timer."""
        self._last_sequence += 1
        heapq.heappush(self._timers, Timer(at_us, self._last_sequence, kind, token))

    def is_due(self, now_us: int) -> bool:
        """Return whether a timer is due. May be called from any thread."""
        return bool(self._timers) and self._timers[0].at_us <= now_us

    def pop_due(self, now_us: int) -> Timer | None:
        """Remove and return the next timer that is due, or None."""
        if not self._timers or self._timers[0].at_us > now_us:
            return None
        return heapq.heappop(self._timers)
