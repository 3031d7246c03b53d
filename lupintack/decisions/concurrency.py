"""Limits of cache fills: an adaptive share while many fail or are late, and a maximum count at the origin.

Fills share links and sources, so too many concurrent ones are all late. A router sees only its own fills, but
they are a sample of the fleet's: each router allows the same share of its fills, chosen at random one by one,
so the fleet's total is limited without knowing the number of routers.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

ORIGIN_DEMAND_WINDOW_MS = 2000.0  # as long as two of the slowest fills


@dataclass(frozen=True, slots=True)
class AdaptiveLimitConfig:
    """When the allowed share shrinks, and how fast it changes."""

    threshold: float
    """Share of failed outcomes, 0 to 1, above which the allowed share shrinks."""

    increase: float
    """Added to the allowed share after a good window."""

    decrease: float
    """Factor of the allowed share after a bad window, below 1."""

    min_share: float
    """Lower bound of the allowed share: some fills are needed to detect that the cause has gone."""

    window_ms: float
    """Minimum length of a window of outcomes."""

    min_samples: int
    """Minimum number of outcomes in a window."""


FAILED_FILLS_CONFIG = AdaptiveLimitConfig(
    threshold=0.45, increase=0.3, decrease=0.7, min_share=0.1, window_ms=1000.0, min_samples=8
)
LATE_FILLS_CONFIG = AdaptiveLimitConfig(
    threshold=0.2, increase=0.1, decrease=0.7, min_share=0.1, window_ms=1000.0, min_samples=8
)


class AdaptiveLimit:
    """Additive increase and multiplicative decrease of the share of fills that are allowed."""

    __slots__ = ("allowed_share", "config", "failures", "successes", "window_started_ms")

    def __init__(self, config: AdaptiveLimitConfig) -> None:
        """Start with all fills allowed."""
        self.config = config
        self.allowed_share = 1.0
        self.successes = self.failures = 0
        self.window_started_ms = 0.0

    def record(self, now_ms: float, failed: bool) -> None:
        """Count one outcome; adapt the share at the end of a window of sufficient length and sample count."""
        self.failures += failed
        self.successes += not failed
        total = self.successes + self.failures
        if now_ms - self.window_started_ms < self.config.window_ms or total < self.config.min_samples:
            return
        if self.failures > self.config.threshold * total:
            self.allowed_share = max(self.config.min_share, self.allowed_share * self.config.decrease)
        else:
            self.allowed_share = min(1.0, self.allowed_share + self.config.increase)
        self.window_started_ms, self.successes, self.failures = now_ms, 0, 0


class FillLimits:
    """The share of fills that is requested, limited by failed and by late fills."""

    __slots__ = ("failed", "late")

    def __init__(self) -> None:
        """Start with all fills allowed."""
        self.failed = AdaptiveLimit(FAILED_FILLS_CONFIG)
        self.late = AdaptiveLimit(LATE_FILLS_CONFIG)

    def allowed_share(self) -> float:
        """Return the share of fills to request, above 0 and up to 1."""
        return min(self.failed.allowed_share, self.late.allowed_share)

    def is_restricting(self) -> bool:
        """Return whether fewer than all fills are requested."""
        return self.allowed_share() < 1.0


class OriginFillLimit:
    """Fills in flight at the origin, up to a limit; after it is lowered, fills in excess of it complete."""

    __slots__ = ("in_flight", "peak_demand", "peak_updated_ms")

    def __init__(self) -> None:
        """Start with no fill in flight."""
        self.in_flight = 0
        self.peak_demand = 0.0  # peak of concurrently requested fills, decaying
        self.peak_updated_ms = 0.0

    def acquire(self, max_fills: int, now_ms: float) -> bool:
        """Count one more fill and return True if the limit allows it; a negative limit means none."""
        self.peak_demand, self.peak_updated_ms = max(self.demand(now_ms), self.in_flight + 1.0), now_ms
        if 0 <= max_fills <= self.in_flight:
            return False
        self.in_flight += 1
        return True

    def release(self, uses_origin_fill: bool) -> None:
        """Release the slot of an attempt that has ended, if it was an origin fill."""
        self.in_flight -= uses_origin_fill

    def demand(self, now_ms: float) -> float:
        """Return the recent peak of concurrently requested fills, granted or not."""
        age_ms = self.peak_updated_ms - now_ms
        return max(float(self.in_flight), self.peak_demand * math.exp(age_ms / ORIGIN_DEMAND_WINDOW_MS))
