"""Time inside the program: whole microseconds on the monotonic clock, converted only at the interfaces.

The wall clock is read once, when the process starts. It may be stepped at any time, by seconds or an hour.
Ages, windows and delays are spans of real time, so a later reading could make a fresh copy appear old, or a
recent purge appear settled. `unix_now_ms` continues from the first reading at the monotonic clock's pace.
"""

from __future__ import annotations

import time

MODULE_EPOCH_MS = 1e9
"""Offset of the decision module's clock. The module takes a start time of 0 or less as long ago, so its times
have to be positive on a machine that has just booted."""


def now_us() -> int:
    """Return the time of the monotonic clock, in microseconds."""
    return time.monotonic_ns() // 1000


UNIX_OFFSET_US = time.time_ns() // 1000 - now_us()
"""Unix time minus the monotonic clock, as measured when the process started."""


def module_ms(at_us: int) -> float:
    """Convert a monotonic time to milliseconds of the decision module's clock."""
    return at_us / 1000.0 + MODULE_EPOCH_MS


def from_module_ms(at_ms: float) -> int:
    """Convert milliseconds of the decision module's clock to a monotonic time."""
    return int((at_ms - MODULE_EPOCH_MS) * 1000.0)


def unix_now_ms() -> float:
    """Return Unix time in milliseconds, unaffected by steps of the wall clock since the process started."""
    return (now_us() + UNIX_OFFSET_US) / 1000.0


def unix_ms(at_us: int) -> int:
    """Convert a monotonic time to Unix milliseconds."""
    return (at_us + UNIX_OFFSET_US) // 1000
