"""Reservations: a part of each budget that configured names may spend even without an allocator."""

from __future__ import annotations

from collections.abc import Sequence


def reservations(total: int, per_mille: int, names: Sequence[str]) -> dict[str, int]:
    """Return each name's part: equal and rounded down; the rest of the budget is allocated by leases.

    Only one process of a name spends it at a time, the one that holds the name's lock (docs/budgets.md).
    """
    distinct = sorted(set(names))
    each = total * per_mille // 1000 // len(distinct) if distinct else 0
    return dict.fromkeys(distinct, each)


def allocatable(total: int, per_mille: int, names: Sequence[str]) -> int:
    """Return the total minus its reservations."""
    return total - sum(reservations(total, per_mille, names).values())
