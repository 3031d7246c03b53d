"""Operations on the amounts of all budgets, stored as one tuple with a number for each budget.

Most amounts do not change between two requests of a holder. Tuples are therefore compared with C-level
iterators instead of a bytecode loop over the budgets, and only the differing budgets are processed.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import compress, count
from operator import gt, ne

Amounts = tuple[int, ...]


def changed_budgets(before: Amounts, after: Amounts) -> Iterable[int]:
    """Return the indexes of the budgets whose amounts differ."""
    return compress(count(), map(ne, before, after))


def exceeding_budgets(amounts: Amounts, limits: Amounts) -> Iterable[int]:
    """Return the indexes of the budgets whose amounts are above the limits."""
    return compress(count(), map(gt, amounts, limits))


def replaced(amounts: Amounts, budgets: Iterable[int], by: Amounts) -> Amounts:
    """Return the amounts, with those at the indexes in `budgets` taken from `by`."""
    result: list[int] | None = None
    for budget in budgets:
        result = result if result is not None else list(amounts)
        result[budget] = by[budget]
    return tuple(result) if result is not None else amounts


def limited(amounts: Amounts, limits: Amounts) -> Amounts:
    """Return the amounts, each at most its limit."""
    return amounts if amounts == limits else replaced(amounts, exceeding_budgets(amounts, limits), limits)


def largest(first: Amounts, second: Amounts) -> Amounts:
    """Return the larger of two amounts for each budget."""
    return first if first == second else replaced(first, exceeding_budgets(second, first), second)
