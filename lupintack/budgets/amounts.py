"""Amounts of all budgets side by side: one tuple, a number for each budget."""

from __future__ import annotations

Amounts = tuple[int, ...]


def limited(amounts: Amounts, limits: Amounts) -> Amounts:
    """Each amount, at most its limit, and never below zero."""
    if amounts == limits:
        return amounts
    return tuple([a if a <= b else max(b, 0) for a, b in zip(amounts, limits, strict=True)])


def largest(first: Amounts, second: Amounts) -> Amounts:
    """The larger of two amounts for each budget."""
    if first == second:
        return first
    return tuple([a if a >= b else b for a, b in zip(first, second, strict=True)])
