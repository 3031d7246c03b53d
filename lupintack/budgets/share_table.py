"""Computation of the shares of an allocator's holders from all holders' demands.

Demands may change at any time. The targets change only when the next snapshot is taken.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from copy import copy
from dataclasses import dataclass, replace
from typing import NamedTuple, Protocol

from lupintack.budgets.amounts import Amounts, changed_budgets
from lupintack.budgets.demand_index import DemandIndex
from lupintack.budgets.ledger import HolderKey
from lupintack.budgets.shares import Demand, max_min_fair

WRAP_OFFSET = 1 << 62  # above all positions; added to those that a rotation moves to the end


class ShareTable(Protocol):
    """Divides whole units among holders, with the results of `max_min_fair`."""

    def update(self, key: HolderKey, demand: Amounts, weight: int) -> None:
        """Set a holder's demand; a new holder is added at the end of the order."""

    def remove(self, key: HolderKey) -> None:
        """Remove a holder if present."""

    def set_totals(self, totals: Amounts) -> None:
        """Set the units of each budget to divide."""

    def take_snapshot(self, rotation: int) -> None:
        """Compute the targets from the present demands.

        The units of a budget with fewer units than holders rotate among them with `rotation`.
        """

    def target(self, key: HolderKey) -> Amounts:
        """Return a holder's shares from the last snapshot; zeros if it was added later."""

    def total_demand(self) -> Amounts:
        """Return the sum of all holders' present demands."""

    def clone(self) -> ShareTable:
        """Return a copy that shares no mutable state."""


class WeightedShareTable:
    """Divides units by weight among few holders: a snapshot iterates over all of them."""

    def __init__(self, totals: Amounts) -> None:
        """Create a table without holders."""
        self.totals = totals
        self.demands: dict[HolderKey, tuple[Amounts, int]] = {}
        self.targets: dict[HolderKey, Amounts] = {}

    def update(self, key: HolderKey, demand: Amounts, weight: int) -> None:
        """Set a holder's demand and weight."""
        self.demands[key] = (demand, weight)

    def remove(self, key: HolderKey) -> None:
        """Remove a holder."""
        self.demands.pop(key, None)

    def set_totals(self, totals: Amounts) -> None:
        """Set the units of each budget to divide."""
        self.totals = totals

    def take_snapshot(self, rotation: int) -> None:
        """Compute the shares of all holders."""
        shares = []
        for budget, total in enumerate(self.totals):
            demands = [Demand(key, demand[budget], weight) for key, (demand, weight) in self.demands.items()]
            # Rotate only if units are fewer than holders: each move leaves them idle for one or two requests.
            shares.append(max_min_fair(total, demands, rotation if total < len(demands) else 0))
        self.targets = {key: tuple([share[key] for share in shares]) for key in self.demands}

    def target(self, key: HolderKey) -> Amounts:
        """Return a holder's shares from the last snapshot."""
        return self.targets.get(key, (0,) * len(self.totals))

    def total_demand(self) -> Amounts:
        """Return the sum of all holders' present demands."""
        rows = [demand for demand, _ in self.demands.values()]
        return tuple(map(sum, zip(*rows, strict=True))) if rows else (0,) * len(self.totals)

    def clone(self) -> WeightedShareTable:
        """Return a copy that shares no mutable state."""
        other = copy(self)
        other.demands = self.demands.copy()
        return other


@dataclass(slots=True)
class HolderDemand:
    """One holder of an `EqualShareTable`."""

    position: int  # increases in the order in which holders were added
    demand: Amounts
    added_in_snapshot: int  # the last snapshot before it was added
    nonzero_demand: list[tuple[int, int]]  # index and amount of each non-zero demand
    changed_in_snapshot: int = -1  # the last snapshot after which the demand changed
    snapshot_demand: list[tuple[int, int]] | None = None  # `nonzero_demand` at that snapshot


class Shortage(NamedTuple):
    """A budget with more demand than units: each holder gets min(demand, level), some one unit more."""

    level: int
    one_more_from: tuple[int, int] | None  # lowest amount and position with one more unit
    rotates: bool  # whether the position is a rotated one


class Surplus(NamedTuple):
    """A budget that covers all demands and has at least one unit for each holder; the rest is lent."""

    each: int  # lent to each holder in addition to its demand
    one_more_below: int  # holders at positions below this get one more


class EqualShareTable:
    """Divides units among holders of equal weight, in time that does not grow with their number.

    A change of a demand updates the index of each changed budget. A snapshot computes one level for each
    changed budget, or for every budget if holders were added or removed or the rotation changed. Targets are
    computed from the levels.
    """

    def __init__(self, totals: Amounts) -> None:
        """Create a table without holders."""
        self.totals = totals
        self.zero = (0,) * len(totals)
        self.holders: dict[HolderKey, HolderDemand] = {}
        self.positions: list[int] = []  # of all holders, ascending
        self.next_position = 0
        self.indexes = [DemandIndex() for _ in totals]
        self.stale_budgets = set(range(len(totals)))
        self.holders_changed = True
        # State of the last snapshot
        self.snapshot = 0
        self.first_rank = 0  # rank of the first holder in the rotation
        self.first_position = 0
        self.shortages: list[Shortage | None] = [None] * len(totals)
        self.surpluses: dict[int, Surplus] = {}  # of budgets with at least as many units as holders
        # For budgets with fewer units than holders: rotated positions below this are lent one unit.
        self.lent_one_below: dict[int, int] = {}
        self.lent_one_steps: list[int] = []  # the distinct positions in `lent_one_below`, ascending
        self.lent_one_rows: dict[int, list[int]] = {}  # lent units by step of `lent_one_steps`

    def update(self, key: HolderKey, demand: Amounts, weight: int) -> None:
        """Set a holder's demand; `weight` is ignored, as all weights are equal."""
        holder = self.holders.get(key)
        if holder is None:
            holder = self.holders[key] = HolderDemand(self.next_position, self.zero, self.snapshot, [])
            self.positions.append(self.next_position)
            self.next_position += 1
            self.holders_changed = True
        if holder.demand == demand:
            return
        if holder.changed_in_snapshot != self.snapshot:
            holder.changed_in_snapshot, holder.snapshot_demand = self.snapshot, holder.nonzero_demand
        for budget in changed_budgets(holder.demand, demand):
            self._change_index(budget, holder.demand[budget], demand[budget], holder.position)
        holder.demand = demand
        holder.nonzero_demand = [(budget, amount) for budget, amount in enumerate(demand) if amount]

    def remove(self, key: HolderKey) -> None:
        """Remove a holder."""
        holder = self.holders.pop(key, None)
        if holder is None:
            return
        for budget, amount in holder.nonzero_demand:
            self._change_index(budget, amount, 0, holder.position)
        del self.positions[bisect_left(self.positions, holder.position)]
        self.holders_changed = True

    def set_totals(self, totals: Amounts) -> None:
        """Set the units of each budget to divide."""
        self.stale_budgets.update(changed_budgets(self.totals, totals))
        self.totals = totals

    def take_snapshot(self, rotation: int) -> None:
        """Compute the levels of the budgets that have changed."""
        self.snapshot += 1
        count = len(self.positions)
        first = rotation % count if count else 0
        budgets = self.stale_budgets
        if self.holders_changed or first != self.first_rank:
            budgets = set(range(len(self.totals)))
            self.first_rank, self.first_position = first, self.positions[first] if count else 0
        lent_one_before = self.lent_one_below.copy()
        for budget in budgets:
            self._compute_levels(budget, count)
        if self.lent_one_below != lent_one_before:
            self.lent_one_steps = sorted(set(self.lent_one_below.values()))
            self.lent_one_rows = {}
        self.stale_budgets = set()
        self.holders_changed = False

    def target(self, key: HolderKey) -> Amounts:
        """Return a holder's shares from the last snapshot."""
        holder = self.holders[key]
        if holder.added_in_snapshot == self.snapshot:
            return self.zero
        nonzero_demand = holder.nonzero_demand
        if holder.changed_in_snapshot == self.snapshot and holder.snapshot_demand is not None:
            nonzero_demand = holder.snapshot_demand
        position = holder.position
        rotated_position = position if position >= self.first_position else position + WRAP_OFFSET
        target = self._lent_to(position, rotated_position)
        for budget, amount in nonzero_demand:
            shortage = self.shortages[budget]
            if shortage is None or amount <= shortage.level:
                target[budget] += amount
                continue
            target[budget] = shortage.level
            own = (amount, rotated_position if shortage.rotates else position)
            if shortage.one_more_from is not None and own >= shortage.one_more_from:
                target[budget] += 1
        return tuple(target)

    def total_demand(self) -> Amounts:
        """Return the sum of all holders' present demands."""
        return tuple([index.total for index in self.indexes])

    def clone(self) -> EqualShareTable:
        """Return a copy that shares no mutable state."""
        other = copy(self)
        other.holders = {key: replace(holder) for key, holder in self.holders.items()}
        other.positions = self.positions.copy()
        other.indexes = [index.clone() for index in self.indexes]
        other.stale_budgets = self.stale_budgets.copy()
        other.shortages = self.shortages.copy()
        other.surpluses = self.surpluses.copy()
        other.lent_one_below = self.lent_one_below.copy()
        other.lent_one_rows = self.lent_one_rows.copy()
        return other

    def _change_index(self, budget: int, old: int, new: int, position: int) -> None:
        index = self.indexes[budget]
        if old:
            index.remove(old, position)
        if new:
            index.add(new, position)
        self.stale_budgets.add(budget)

    def _compute_levels(self, budget: int, count: int) -> None:
        total, index = self.totals[budget], self.indexes[budget]
        # Rotate only if units are fewer than holders: each move leaves them idle for one or two requests.
        rotates = total < count
        self.surpluses.pop(budget, None)
        self.lent_one_below.pop(budget, None)
        if total <= 0 or not count:
            self.shortages[budget] = Shortage(0, None, rotates)
        elif index.total > total:
            self.shortages[budget] = self._shortage(total, index, rotates)
        else:
            self.shortages[budget] = None
            each, remainder = divmod(total - index.total, count)
            below = self._rotated_position(remainder, rotates)
            if not rotates:
                self.surpluses[budget] = Surplus(each, below)
            elif remainder:
                self.lent_one_below[budget] = below

    def _shortage(self, total: int, index: DemandIndex, rotates: bool) -> Shortage:
        level, remainder = index.water_level(total)
        if not remainder:
            return Shortage(level, None, rotates)
        first_position = self.first_position if rotates else 0
        amount, position = index.rank_from_top(remainder, first_position)
        rotated = position if position >= first_position else position + WRAP_OFFSET
        return Shortage(level, (amount, rotated), rotates)

    def _lent_to(self, position: int, rotated_position: int) -> list[int]:
        """Return the units of each budget lent to a holder in addition to its demand."""
        step = bisect_right(self.lent_one_steps, rotated_position)
        row = self.lent_one_rows.get(step)
        if row is None:
            row = self.lent_one_rows[step] = [0] * len(self.totals)
            for budget, below in self.lent_one_below.items():
                row[budget] = int(rotated_position < below)
        lent = row.copy()
        for budget, surplus in self.surpluses.items():
            lent[budget] = surplus.each + (position < surplus.one_more_below)
        return lent

    def _rotated_position(self, rank: int, rotates: bool) -> int:
        """Return the rotated position of the holder with this rank, as compared in `target`."""
        rank += self.first_rank if rotates else 0
        count = len(self.positions)
        return self.positions[rank] if rank < count else self.positions[rank - count] + WRAP_OFFSET
