"""When the process was kept from running: stopped by a signal, or short of processor time.

One thread ticks every few milliseconds. A gap between two ticks is a pause: threads that have waited for
bytes may come to them long after these arrived. Times are in microseconds of the monotonic clock.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

MIN_PAUSE_US = 80_000  # well over the interval of the ticks, and under the slack of a deadline
MIN_RECOVERY_US = 100_000
MAX_RECOVERY_US = 1_000_000
MAX_PAUSES = 4


class Pause(NamedTuple):
    """A time in which the process did not run."""

    began_us: int
    ended_us: int

    def recovery_us(self) -> int:
        """Return how long after its end threads may still come to what arrived in it."""
        return max(MIN_RECOVERY_US, min(MAX_RECOVERY_US, (self.ended_us - self.began_us) // 2))


class PauseLog:
    """The last pauses. Any thread may read it."""

    def __init__(self) -> None:
        """Begin before the first tick: no pause is known."""
        self._last_tick_us = 0
        self._pauses: deque[Pause] = deque(maxlen=MAX_PAUSES)

    def tick(self, now_us: int) -> None:
        """Note that the process runs."""
        last_us, self._last_tick_us = self._last_tick_us, now_us
        if last_us and now_us - last_us > MIN_PAUSE_US:
            self._pauses.append(Pause(last_us, now_us))

    def paused_since_us(self, now_us: int) -> int | None:
        """Return since when bytes may have waited that a thread comes to now; None: it was not kept from it.

        The thread that asks may run before the one that ticks.
        """
        began_us = None
        if self._last_tick_us and now_us - self._last_tick_us > MIN_PAUSE_US:
            began_us = self._last_tick_us
        for pause in reversed(tuple(self._pauses)):
            reached_us = now_us if began_us is None else began_us
            if reached_us - pause.ended_us <= pause.recovery_us():
                began_us = pause.began_us
        return began_us


PROCESS = PauseLog()
"""Of this process; the core's thread ticks."""
