"""Whole units divided by need: max-min fair by weight, nothing lost and nothing made by rounding."""

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
    """Return parts that sum to `total` where there is any demand, and never to more.

    Each gets its need, or as much by weight as any that gets less than its need. What nobody needs is lent in
    equal parts. Units that don't divide evenly are given by `turn`: where there are fewer units than holders
    the caller moves it on, and each has its time.
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
    for demand in order:  # what rounding left, to those that lack something
        if remaining and shares[demand.key] < demand.amount:
            shares[demand.key] += 1
            remaining -= 1
    for n, demand in enumerate(order):
        shares[demand.key] += remaining // len(order) + (n < remaining % len(order))
    return shares


def smooth_demand(previous: int, needed_units: int) -> int:
    """Return the next demand after `needed_units` were needed: up at once, down by an eighth at a time."""
    return needed_units if needed_units >= previous else max(needed_units, previous - max(1, previous // 8))
