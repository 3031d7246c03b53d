"""Slow start: the budget of an endpoint that warms up after a start or a recovery. Pure.

The budget is a rate in milliseconds of transfer per millisecond that all routers share. A router's quota is
the share of a lease (docs/budgets.md), or follows from the number of routers. Demand is counted whether it
was met or not: the fleet divides the budget by demand.
"""

from __future__ import annotations

import math
from hashlib import blake2b
from typing import NamedTuple

DEMAND_WINDOW_MS = 2000.0  # as long as two of the slowest fills
WARMING_BUDGET_SHARE = 0.8  # of the overload multiple, for all routers together; sizes are estimates
MAX_WARMING_MULTIPLE = 2.0  # of the current capacity; above it answers are late
SLOW_START_MARGIN = 1.1  # factor of the stated slow-start time


def quota(total_rate: float, routers: int, processes: int, lease: float) -> float:
    """Return this process's part of an endpoint's rate; the parts of all sum to at most `total_rate`.

    `lease` is the share of a lease, 0 to 1; if it is negative, there is no lease and the rate is divided by
    the numbers of routers and processes. Each of the two processes of an upgrade has its own lease.
    """
    if lease >= 0.0:
        return total_rate * min(1.0, lease)
    return total_rate / routers / processes


class BorrowedCalls:
    """Calls on credit for a router whose quota is less than one call.

    A quota below one call would never be spent while the endpoint warms up; if each router saved up for a
    whole call, all routers would send it simultaneously. So a router may borrow one call per budget window
    with a probability equal to its fraction of a call, and must repay it before the next one. The random
    numbers are derived from the router's index and the endpoint's id, because routers may have equal seeds.
    """

    __slots__ = ("draw", "draw_until_ms", "generator_state", "max_saved_ms")

    def __init__(self, generator_state: int) -> None:
        """`generator_state`: 64 bits that differ between routers and between endpoints."""
        self.generator_state = generator_state
        self.max_saved_ms = 0.0  # maximum of saved tokens, ms of transfer
        self.draw = 1.0
        self.draw_until_ms = -math.inf

    def may_borrow(self, saved_ms: float, need_ms: float, now_ms: float, window_ms: float) -> bool:
        """Return whether a call of `need_ms` may be sent with `saved_ms`; a draw is valid for one window."""
        if self.max_saved_ms >= need_ms or saved_ms <= 0.0:
            return False
        if now_ms >= self.draw_until_ms:
            is_first = self.draw_until_ms == -math.inf
            # The first window has a random length, so that routers notified together do not draw together.
            self.draw_until_ms = now_ms + window_ms * (self.next_random() if is_first else 1.0)
            self.draw = self.next_random()
        return saved_ms >= self.draw * need_ms

    def next_random(self) -> float:
        """Return the next random number, above 0 and up to 1."""
        digest = blake2b(self.generator_state.to_bytes(8, "big"), digest_size=8).digest()
        self.generator_state = int.from_bytes(digest, "big")
        return (self.generator_state + 1) / 2.0**64


class Demand:
    """Recent demand for a rate, whether it was granted or not."""

    __slots__ = ("level_ms", "updated_ms")

    def __init__(self) -> None:
        """Start without any demand."""
        self.level_ms = 0.0  # ms of transfer, decaying
        self.updated_ms = 0.0

    def add(self, need_ms: float, now_ms: float) -> None:
        """Add one call of `need_ms`."""
        if self.level_ms:
            decay = math.exp((self.updated_ms - now_ms) / DEMAND_WINDOW_MS)
            self.level_ms = self.level_ms * decay + need_ms
        else:
            self.level_ms = need_ms
        self.updated_ms = now_ms

    def share(self, total_rate: float, now_ms: float) -> float:
        """Return the demand as a share of `total_rate`; it may exceed 1."""
        if total_rate <= 0.0 or not self.level_ms:
            return 0.0
        decay = math.exp((self.updated_ms - now_ms) / DEMAND_WINDOW_MS)
        return self.level_ms * decay / DEMAND_WINDOW_MS / total_rate


class SlowStartConfig(NamedTuple):
    """The slow start of one tier of endpoints."""

    initial_capacity_share: float
    duration_ms: float
    overload_multiple: float


class SlowStart:
    """The ramp of one endpoint, and this router's part of its budget."""

    __slots__ = (
        "borrowed_calls", "capacity", "config", "demand", "lost_ms", "router_count", "started_ms",
        "tokens_ms", "tokens_updated_ms",
    )  # fmt: skip

    def __init__(
        self,
        config: SlowStartConfig,
        capacity: float,
        router_count: int,
        borrowed_calls: BorrowedCalls,
        now_ms: float,
    ) -> None:
        """Start at full capacity; `capacity` is in concurrent calls."""
        self.config = config
        self.capacity = capacity
        self.router_count = router_count
        self.borrowed_calls = borrowed_calls
        self.demand = Demand()
        self.started_ms = 0.0  # 0 means long ago
        self.lost_ms = -math.inf  # when the process was last found to be down
        self.tokens_ms = 0.0
        self.tokens_updated_ms = now_ms

    def restart(self) -> None:
        """Discard the saved tokens and the loss of the previous process."""
        self.tokens_ms = 0.0
        self.lost_ms = -math.inf

    def factor(self, now_ms: float) -> float:
        """Return the current share of full capacity, 0 to 1."""
        if self.started_ms <= 0 and self.lost_ms == -math.inf:
            return 1.0
        started_ms = max(self.started_ms if self.started_ms > 0 else -math.inf, self.lost_ms)
        duration_ms = self.config.duration_ms * SLOW_START_MARGIN
        if duration_ms <= 0 or now_ms - started_ms >= duration_ms:
            return 1.0
        initial = self.config.initial_capacity_share
        return initial + (1.0 - initial) * max(0.0, now_ms - started_ms) / duration_ms

    def _multiple(self) -> float:
        return min(self.config.overload_multiple * WARMING_BUDGET_SHARE, MAX_WARMING_MULTIPLE)

    def total_rate(self, now_ms: float) -> float:
        """Return the budget of all routers together: ms of transfer per ms."""
        return self.factor(now_ms) * self.capacity * self._multiple()

    def refill(self, now_ms: float, window_ms: float, process_count: int = 1, lease: float = -1.0) -> float:
        """Add tokens for the time since the last call, and return them: ms of transfer.

        The sum over all routers is bounded in each window of `window_ms`, even while routers have different
        start times for the endpoint: a router with a later start time gets no more.
        """
        rate = quota(self.total_rate(now_ms), self.router_count, process_count, lease)
        # In the worst window a full bucket and its refill add up, so each gets half of the window's budget.
        overshoot = min(self.config.overload_multiple * WARMING_BUDGET_SHARE / self._multiple(), 2.0)
        max_saved_ms = self.borrowed_calls.max_saved_ms = rate * overshoot * window_ms / 2
        elapsed_ms = max(0.0, now_ms - self.tokens_updated_ms)
        self.tokens_ms = min(max_saved_ms, self.tokens_ms + rate / 2 * elapsed_ms)
        self.tokens_updated_ms = now_ms
        return self.tokens_ms

    def may_send(
        self, need_ms: float, now_ms: float, window_ms: float, process_count: int, lease: float
    ) -> bool:
        """Count a call of `need_ms` as demand, and return whether tokens or credit cover it."""
        self.demand.add(need_ms, now_ms)
        saved_ms = self.refill(now_ms, window_ms, process_count, lease)
        return saved_ms >= need_ms or self.borrowed_calls.may_borrow(saved_ms, need_ms, now_ms, window_ms)
