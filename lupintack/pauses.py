"""Detects pauses of the process: it was stopped by a signal, or got no processor time.

One thread ticks every few milliseconds. A gap between two ticks is a pause: other threads may read bytes long
after these arrived. Times are in microseconds of the monotonic clock.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

MIN_PAUSE_US = 80_000  # well above the tick interval, and below the slack of a deadline
MIN_RECOVERY_US = 100_000
MAX_RECOVERY_US = 1_000_000
MAX_PAUSES = 4


class Pause(NamedTuple):
    """A period in which the process did not run."""

    began_us: int
    ended_us: int

    def recovery_us(self) -> int:
        """Return how long after the pause threads may still read bytes that arrived during it."""
        return max(MIN_RECOVERY_US, min(MAX_RECOVERY_US, (self.ended_us - self.began_us) // 2))


class PauseLog:
    """The most recent pauses. Safe to read from any thread."""

    def __init__(self) -> None:
        """Begin before the first tick: no pause is known."""
        self._last_tick_us = 0
        self._pauses: deque[Pause] = deque(maxlen=MAX_PAUSES)

    def tick(self, now_us: int) -> None:
        """Record that the process is running."""
        last_us, self._last_tick_us = self._last_tick_us, now_us
        if last_us and now_us - last_us > MIN_PAUSE_US:
            self._pauses.append(Pause(last_us, now_us))

    def paused_since_us(self, now_us: int) -> int | None:
        """Return since when bytes that are read now may have been waiting; None where no pause delayed them.

        The calling thread may run before the one that ticks.
        """
        began_us = None
        if self._last_tick_us and now_us - self._last_tick_us > MIN_PAUSE_US:
            began_us = self._last_tick_us
        for pause in reversed(tuple(self._pauses)):
            reached_us = now_us if began_us is None else began_us
            if reached_us - pause.ended_us <= pause.recovery_us():
                began_us = pause.began_us
        return began_us


PROCESS_PAUSES = PauseLog()
"""The pauses of this process; the core's thread ticks."""
