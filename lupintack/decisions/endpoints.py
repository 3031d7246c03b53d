"""State of one endpoint (a cache, a parent or the origin) as this router has observed it. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass

from lupintack.decisions.slow_start import SlowStart
from lupintack.interface import Member

HEALTH_DECAY_FILLS = 24.0  # counted in fills, not in time: one of many routers sees few fills in any period
MEAN_IN_FLIGHT_WINDOW_MS = 2000.0
CAPACITY_EXPONENT = 0.5  # capacity to share of the objects: memory grows more slowly than capacity
MAX_WEIGHT = 1.5  # its inverse is the minimum; the bounds limit how many objects move


@dataclass(slots=True, eq=False)
class EndpointHealth:
    """Outcomes of an endpoint's attempts, and its ejections."""

    decayed_at_fills: float
    last_answer_ms: float
    successes: float = 0.0
    failures: float = 0.0
    consecutive_failures: int = 0
    last_failure_ms: float = -math.inf
    ejected_until_ms: float = -math.inf
    ejections: int = 0
    trial_successes: int = 0
    next_trial_ms: float = -math.inf
    logged_ms: float = -math.inf

    def decay(self, fill_count: float) -> None:
        """Decay older outcomes by the number of fills that this router has counted since."""
        factor = math.exp((self.decayed_at_fills - fill_count) / HEALTH_DECAY_FILLS)
        self.successes *= factor
        self.failures *= factor
        self.decayed_at_fills = fill_count

    def restart(self) -> None:
        """Discard the outcomes and ejections of the previous process."""
        self.successes = self.failures = 0.0
        self.ejections = self.consecutive_failures = 0
        self.ejected_until_ms = -math.inf


@dataclass(slots=True, eq=False)
class EndpointLoad:
    """Attempts that this router has in flight, and the load that the endpoint reports."""

    in_flight: int = 0
    mean_in_flight: float = 0.0
    mean_updated_ms: float = 0.0
    reported: float | None = None

    def change_in_flight(self, now_ms: float, change: int) -> None:
        """Update the mean, then add `change`; the mean is the estimate of each other router's attempts."""
        decay = math.exp((self.mean_updated_ms - now_ms) / MEAN_IN_FLIGHT_WINDOW_MS)
        self.mean_in_flight = self.in_flight + (self.mean_in_flight - self.in_flight) * decay
        self.mean_updated_ms = now_ms
        self.in_flight += change


class EndpointState:
    """State that the router has observed for one endpoint."""

    __slots__ = ("health", "id", "is_ready", "load", "member", "share", "slow_start", "weight")

    def __init__(self, member: Member, health: EndpointHealth, slow_start: SlowStart) -> None:
        """Start as an endpoint that is not ready yet."""
        self.id = member.id
        self.member = member
        self.health = health
        self.slow_start = slow_start
        self.load = EndpointLoad()
        self.is_ready = False
        self.weight = 1.0
        self.share = 1.0  # of its tier's objects, relative to the other shares

    def set_weight(self, weight: float) -> None:
        """Set the weight and the share of the objects; the caller must update the ranking."""
        self.weight = min(MAX_WEIGHT, max(1.0 / MAX_WEIGHT, weight))
        self.share = self.weight * self.member.capacity**CAPACITY_EXPONENT

    def restart(self) -> None:
        """Discard the state of the previous process: a restarted endpoint is in slow start."""
        self.health.restart()
        self.slow_start.restart()
        self.load.reported = None
        self.weight = 1.0

    def update(self, member: Member, started_ms: float, is_ready: bool) -> None:
        """Apply an entry of the endpoint list."""
        if started_ms > self.slow_start.started_ms:
            self.restart()
        self.member = member
        self.slow_start.started_ms = started_ms
        self.slow_start.capacity = member.capacity
        self.is_ready = is_ready
