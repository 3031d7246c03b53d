"""Reservations: a part of each whole that belongs to configured names, allocator or not."""

from __future__ import annotations

from collections.abc import Sequence


def reservations(whole: int, per_mille: int, names: Sequence[str]) -> dict[str, int]:
    """Return each name's part: equal, rounded down; the rest of the whole is allocated by leases.

    One process of a name spends it at a time, the one that holds the name's lock (docs/budgets.md).
    """
    distinct = sorted(set(names))
    each = whole * per_mille // 1000 // len(distinct) if distinct else 0
    return dict.fromkeys(distinct, each)


def allocatable(whole: int, per_mille: int, names: Sequence[str]) -> int:
    """Return the whole without its reservations."""
    return whole - sum(reservations(whole, per_mille, names).values())
