"""Weighted max-min fair division of whole units that preserves the total when rounding."""

from __future__ import annotations

from collections.abc import Hashable, Sequence
from fractions import Fraction
from typing import NamedTuple


class Demand(NamedTuple):
    """One holder's demand for a budget."""

    key: Hashable
    amount: int
    weight: int = 1


def max_min_fair(total: int, demands: Sequence[Demand], rotation: int = 0) -> dict[Hashable, int]:
    """Return shares that sum to `total` if there is any entry in `demands`.

    Each holder gets its demand, or at least as much by weight as every other holder whose demand is not met.
    Units above the total demand are lent in equal parts. `rotation` selects the holders that get the units
    that don't divide evenly; if there are fewer units than holders, the caller advances it over time so that
    each holder gets some.
    """
    if not demands or total <= 0:
        return {demand.key: 0 for demand in demands}
    first = rotation % len(demands)
    order = [*demands[first:], *demands[:first]]
    shares: dict[Hashable, int] = {}
    remaining, weights = total, sum(demand.weight for demand in demands)
    for demand in sorted(order, key=lambda demand: Fraction(demand.amount, demand.weight)):
        shares[demand.key] = min(demand.amount, remaining * demand.weight // weights)
        remaining -= shares[demand.key]
        weights -= demand.weight
    for demand in order:  # units left by rounding go to holders with unmet demand
        if remaining and shares[demand.key] < demand.amount:
            shares[demand.key] += 1
            remaining -= 1
    for n, demand in enumerate(order):
        shares[demand.key] += remaining // len(order) + (n < remaining % len(order))
    return shares


def smooth_demand(previous: int, needed_units: int) -> int:
    """Return the next demand: increases apply immediately, decreases by one eighth per call."""
    return needed_units if needed_units >= previous else max(needed_units, previous - max(1, previous // 8))
