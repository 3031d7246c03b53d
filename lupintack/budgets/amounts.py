"""Amounts of all budgets side by side: one tuple, a number for each budget.

Most amounts do not change from one request of a holder to its next. So tuples are compared whole, in calls
that run through them without a step of the interpreter for each budget, and only what differs is worked on.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import compress, count
from operator import gt, ne

Amounts = tuple[int, ...]


def changed_budgets(before: Amounts, after: Amounts) -> Iterable[int]:
    """The numbers of the budgets whose amounts differ."""
    return compress(count(), map(ne, before, after))


def limited(amounts: Amounts, limits: Amounts) -> Amounts:
    """Each amount, at most its limit."""
    if amounts == limits or not any(map(gt, amounts, limits)):
        return amounts
    return tuple([a if a <= b else b for a, b in zip(amounts, limits, strict=True)])


def largest(first: Amounts, second: Amounts) -> Amounts:
    """The larger of two amounts for each budget."""
    if first == second:
        return first
    found = list(first)
    for budget in changed_budgets(first, second):
        if second[budget] > first[budget]:
            found[budget] = second[budget]
    return tuple(found)
