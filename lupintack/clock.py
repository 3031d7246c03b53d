"""Time inside the program: whole microseconds on the monotonic clock; converted only at the edges.

The machine's wall clock is read once, when the process starts. It may be stepped at any moment, by seconds or
an hour: ages, windows and waits are spans of real time, so a later reading would make a young copy old, or a
purge one that has long settled. `unix_now_ms` goes on from that reading at the monotonic clock's pace.
"""

from __future__ import annotations

import time

MODULE_EPOCH_MS = 1e9
"""Added for the module, to which a start of 0 or less means long ago, also on a machine that just booted."""


def now_us() -> int:
    """The monotonic clock."""
    return time.monotonic_ns() // 1000


UNIX_OFFSET_US = time.time_ns() // 1000 - now_us()
"""Unix time less the monotonic clock, as the process found it at its start."""


def module_ms(at_us: int) -> float:
    """A moment as the module counts it."""
    return at_us / 1000.0 + MODULE_EPOCH_MS


def from_module_ms(at_ms: float) -> int:
    """A moment that the module named."""
    return int((at_ms - MODULE_EPOCH_MS) * 1000.0)


def unix_now_ms() -> float:
    """Unix time in milliseconds, untouched by steps of the wall clock since the start of the process."""
    return (now_us() + UNIX_OFFSET_US) / 1000.0


def unix_ms(at_us: int) -> int:
    """A monotonic moment as Unix milliseconds."""
    return (at_us + UNIX_OFFSET_US) // 1000
