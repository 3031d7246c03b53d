"""Applies leases of shared budgets to the router's settings, and measures the demand they are divided by.

Everything here runs in the core's turn, without I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from lupintack.decisions.router import Router
from lupintack.interface import Fetch, Settings


@dataclass(frozen=True, slots=True)
class Leases:
    """This process's shares of budgets, valid until a time on its own clock; negative: no lease."""

    warming_cache_share: float = -1.0  # of the budget of each cache in slow start, 0 to 1
    warming_parent_share: float = -1.0
    max_origin_fills: int = -1  # concurrent
    valid_until_us: int = 0  # attempts decided under the leases are not sent after it

    def apply_to(self, settings: Settings) -> Settings:
        """Return the settings with these shares, in place of budgets divided by the number of routers."""
        return replace(
            settings,
            warming_cache_share=self.warming_cache_share,
            warming_parent_share=self.warming_parent_share,
            max_origin_fills=self.max_origin_fills,
        )


@dataclass(frozen=True, slots=True)
class MeasuredDemand:
    """Recent demand, granted or not: shares of a slow-start budget (may exceed 1), and origin fills."""

    warming_cache_share: float
    warming_parent_share: float
    origin_fills: float
    origin_fills_in_flight: int = 0


def differ_only_in_leases(first: Settings, second: Settings) -> bool:
    """Return whether two settings differ in leases at most, on which no ranking or estimate depends."""
    return Leases().apply_to(first) == Leases().apply_to(second)


def measure_demand(router: Router, now_ms: float) -> MeasuredDemand:
    """Return the recent demand: the largest share of any endpoint in slow start, and of origin fills."""
    shares = {True: 0.0, False: 0.0}
    origin = router.endpoints.origin
    for endpoint in router.endpoints.by_id.values():
        slow_start = endpoint.slow_start
        if endpoint is not origin and slow_start.factor(now_ms) < 1.0:
            is_parent = endpoint.member.kind == router.settings.parent_kind
            share = slow_start.demand.share(slow_start.total_rate(now_ms), now_ms)
            shares[is_parent] = max(shares[is_parent], share)
    fills = router.origin_fills
    return MeasuredDemand(shares[False], shares[True], fills.demand(now_ms), fills.in_flight)


def needs_lease(router: Router, action: Fetch, leases: Leases, is_write: bool) -> bool:
    """Return whether an attempt was decided under a lease, and so may not be sent after its expiry."""
    by_id, origin = router.endpoints.by_id, router.endpoints.origin
    for endpoint in (by_id.get(action.member), by_id.get(action.source)):
        if endpoint is None:
            continue
        if endpoint is origin:
            if leases.max_origin_fills >= 0 and not is_write:
                return True
        elif endpoint.slow_start.factor(router.now_ms) < 1.0:
            is_parent = endpoint.member.kind == router.settings.parent_kind
            if (leases.warming_parent_share if is_parent else leases.warming_cache_share) >= 0.0:
                return True
    return False
