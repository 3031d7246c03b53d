"""Time inside the program: whole microseconds on the monotonic clock; converted only at the edges."""

from __future__ import annotations

import time

MODULE_EPOCH_MS = 1e9
"""Added for the module, to which a start of 0 or less means long ago, also on a machine that just booted."""


def now_us() -> int:
    """The monotonic clock."""
    return time.monotonic_ns() // 1000


def module_ms(at_us: int) -> float:
    """A moment as the module counts it."""
    return at_us / 1000.0 + MODULE_EPOCH_MS


def from_module_ms(at_ms: float) -> int:
    """A moment that the module named."""
    return int((at_ms - MODULE_EPOCH_MS) * 1000.0)


def unix_age_us(unix_ms: float) -> int:
    """How long ago a moment of the system's Unix clock was; negative when it is still to come."""
    return time.time_ns() // 1000 - int(unix_ms * 1000)


def unix_ms(at_us: int) -> int:
    """A monotonic moment on the system's Unix clock."""
    return (time.time_ns() // 1000 - (now_us() - at_us)) // 1000
