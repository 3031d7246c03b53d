"""Bounds on the age of other machines' Unix timestamps, as this machine's wall clock may be wrong. Pure.

A timestamp can't lie in the future, so each one is a lower bound of the other machine's time. Two estimates
use that: `LogClock` never overstates the age of an event, `CopyClock` never understates that of a copy.
"""

from __future__ import annotations

MAX_AHEAD_US = 60_000_000  # a timestamp further ahead is corrupt, or this machine's clock is far off
WINDOW_US = 10_000_000  # a timestamp that is ahead by less is forgotten after two windows


class LogClock:
    """Lower bound of the age of a log's events: by its newest timestamp, and at most by this machine's clock.

    The wall clock may have been wrong at the start: by that clock alone a purge could have settled long ago,
    and a cache that has just started could be past its slow start.
    """

    def __init__(self, unix_offset_us: int) -> None:
        """`unix_offset_us`: this machine's Unix time minus its monotonic clock."""
        self.unix_offset_us = unix_offset_us
        self.log_offset_us: int | None = None  # lower bound of the log's time minus the monotonic clock

    def observe(self, stamp_us: int, now_us: int) -> None:
        """Use a timestamp of the log for the estimate."""
        offset = stamp_us - now_us
        if self.log_offset_us is None or offset > self.log_offset_us:
            self.log_offset_us = offset

    def age_us(self, stamp_us: int, now_us: int) -> int:
        """Return a lower bound of the age of a timestamp."""
        self.observe(stamp_us, now_us)
        assert self.log_offset_us is not None
        return max(0, now_us + min(self.unix_offset_us, self.log_offset_us) - stamp_us)


class CopyClock:
    """Upper bound of the age of copies: by the later of this machine's clock and the newest timestamps."""

    def __init__(self, unix_offset_us: int) -> None:
        """`unix_offset_us`: this machine's Unix time minus its monotonic clock."""
        self.unix_offset_us = unix_offset_us
        self.ahead_us = 0  # of this machine's clock, by the timestamps of this window
        self.previous_ahead_us = 0  # by those of the window before
        self.window_started_us = 0
        self.rejected_ahead_us: int | None = None  # how far ahead the last rejected timestamp was

    def observe(self, stamp_us: int, now_us: int) -> bool:
        """Use a timestamp for the estimate; return False if it is rejected as corrupt.

        One that agrees with the last rejected one is accepted: this machine's clock was wrong at the start.
        """
        self._rotate_window(now_us)
        ahead = stamp_us - now_us - self.unix_offset_us
        if ahead > MAX_AHEAD_US:
            previous_rejected, self.rejected_ahead_us = self.rejected_ahead_us, ahead
            if previous_rejected is None or abs(ahead - previous_rejected) > MAX_AHEAD_US:
                return False
            self.unix_offset_us += min(ahead, previous_rejected)
            self.rejected_ahead_us, ahead = None, max(0, ahead - previous_rejected)
        self.ahead_us = max(self.ahead_us, ahead)
        return True

    def age_us(self, stamp_us: int, now_us: int) -> int:
        """Return an upper bound of the age of a timestamp."""
        self._rotate_window(now_us)
        ahead = max(self.ahead_us, self.previous_ahead_us)
        return max(0, now_us + self.unix_offset_us + ahead - stamp_us)

    def _rotate_window(self, now_us: int) -> None:
        if now_us - self.window_started_us >= WINDOW_US:
            late = now_us - self.window_started_us >= 2 * WINDOW_US
            self.previous_ahead_us = 0 if late else self.ahead_us
            self.ahead_us, self.window_started_us = 0, now_us
