"""Mapping of the fleet's budgets, by their names in the operator file, to limits of the core, without I/O.

`store-fills` limits concurrent fills at the origin. `cold-parents` and `cold-caches.SITE` consist of slots: a
router with one of N slots may use one N-th of the budget of each warming parent, or of each warming cache of
that site. Budgets with other names are allocated and reported, but not spent here.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from lupintack.budgets.shares import smooth_demand
from lupintack.budgets.spending import Budget
from lupintack.core.leases import Leases, MeasuredDemand

ORIGIN_FILLS_BUDGET = "store-fills"
WARMING_PARENTS_BUDGET = "cold-parents"
WARMING_CACHES_PREFIX = "cold-caches."
DEMAND_HEADROOM = 1.25  # without headroom the first increase of the load would be rejected
UNLIMITED = -1


def core_leases(budgets: Sequence[Budget], amounts: Sequence[int], until_us: int, site: str) -> Leases:
    """Return the core's limits for the sums of reservations and leases."""
    units = {budget.name: amount for budget, amount in zip(budgets, amounts, strict=True)}
    totals = {budget.name: budget.total_units for budget in budgets}

    def share(name: str) -> float:
        if name not in units:
            return float(UNLIMITED)
        return units[name] / totals[name] if totals[name] else 0.0

    max_origin_fills = units.get(ORIGIN_FILLS_BUDGET, UNLIMITED)
    cache_share, parent_share = share(WARMING_CACHES_PREFIX + site), share(WARMING_PARENTS_BUDGET)
    return Leases(cache_share, parent_share, max_origin_fills, until_us)


def demand(
    budgets: Sequence[Budget], measured: MeasuredDemand, previous: Sequence[int], site: str
) -> tuple[int, ...]:
    """Return the demand of each budget: the measured use plus headroom, 0 for warming caches of other sites.

    It rises immediately and falls gradually.
    """
    shares = {
        WARMING_CACHES_PREFIX + site: measured.warming_cache_share,
        WARMING_PARENTS_BUDGET: measured.warming_parent_share,
    }
    demands = []
    for budget, previous_units in zip(budgets, previous, strict=True):
        if budget.name == ORIGIN_FILLS_BUDGET:
            units = math.ceil(measured.origin_fills * DEMAND_HEADROOM)
        elif budget.name in shares:
            units = math.ceil(shares[budget.name] * budget.total_units * DEMAND_HEADROOM)
        else:
            units = 0 if budget.name.startswith(WARMING_CACHES_PREFIX) else budget.total_units
        demands.append(smooth_demand(previous_units, min(budget.total_units, units)))
    return tuple(demands)


def in_use(budgets: Sequence[Budget], measured: MeasuredDemand) -> tuple[int, ...]:
    """Return the units in use of concurrent budgets, including those in use after a lease has ended."""
    return tuple(
        measured.origin_fills_in_flight if budget.name == ORIGIN_FILLS_BUDGET else 0 for budget in budgets
    )
