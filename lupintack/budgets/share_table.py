"""What each holder should have, by what all have asked for: the shares of an allocator's holders.

Demands may change at any time. Targets are those of the last snapshot, until the next one is taken.
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

WRAPPED = 1 << 62  # above all places: added to those that come last after a rotation


class ShareTable(Protocol):
    """Shares of whole units, as `max_min_fair` divides them."""

    def update(self, key: HolderKey, demand: Amounts, weight: int) -> None:
        """Set what a holder asks for; a new holder comes last in the order."""

    def remove(self, key: HolderKey) -> None:
        """Forget a holder, if it is known."""

    def set_wholes(self, wholes: Amounts) -> None:
        """Set what there is to divide of each budget."""

    def take_snapshot(self, turn: int) -> None:
        """From now on targets are by the demands as they are now.

        Units of a budget that has fewer units than holders rotate with `turn`.
        """

    def target(self, key: HolderKey) -> Amounts:
        """Return a holder's shares by the last snapshot; zeros if the holder came after it."""

    def total_demand(self) -> Amounts:
        """Return the sum of what all holders ask for now."""

    def clone(self) -> ShareTable:
        """Return a copy that shares nothing that changes."""


class WeightedShareTable:
    """Shares by weight, of few holders: a snapshot goes through all of them."""

    def __init__(self, wholes: Amounts) -> None:
        """Begin without holders."""
        self.wholes = wholes
        self.demands: dict[HolderKey, tuple[Amounts, int]] = {}
        self.targets: dict[HolderKey, Amounts] = {}

    def update(self, key: HolderKey, demand: Amounts, weight: int) -> None:
        """Set what a holder asks for, and its weight."""
        self.demands[key] = (demand, weight)

    def remove(self, key: HolderKey) -> None:
        """Forget a holder."""
        self.demands.pop(key, None)

    def set_wholes(self, wholes: Amounts) -> None:
        """Set what there is to divide of each budget."""
        self.wholes = wholes

    def take_snapshot(self, turn: int) -> None:
        """Work out the shares of all holders."""
        shares = []
        for budget, whole in enumerate(self.wholes):
            demands = [Demand(key, demand[budget], weight) for key, (demand, weight) in self.demands.items()]
            # Units rotate only where some holder has none: each move leaves them idle for a request or two.
            shares.append(max_min_fair(whole, demands, turn if whole < len(demands) else 0))
        self.targets = {key: tuple([share[key] for share in shares]) for key in self.demands}

    def target(self, key: HolderKey) -> Amounts:
        """Return a holder's shares by the last snapshot."""
        return self.targets.get(key, (0,) * len(self.wholes))

    def total_demand(self) -> Amounts:
        """Return the sum of what all holders ask for now."""
        rows = [demand for demand, _ in self.demands.values()]
        return tuple(map(sum, zip(*rows, strict=True))) if rows else (0,) * len(self.wholes)

    def clone(self) -> WeightedShareTable:
        """Return a copy that shares nothing that changes."""
        other = copy(self)
        other.demands = self.demands.copy()
        return other


@dataclass(slots=True)
class HolderDemand:
    """One holder of an `EqualShareTable`."""

    place: int  # rises in the order in which holders came
    demand: Amounts
    came_in: int  # the last snapshot before it came
    wants: list[tuple[int, int]]  # of `demand`: each budget that it wants, and the amount
    changed_in: int = -1  # the last snapshot after which the demand changed
    wants_then: list[tuple[int, int]] | None = None  # what it wanted at that snapshot


class Shortage(NamedTuple):
    """A budget of which more is asked for than there is: all get their need or the level, some one more."""

    level: int
    one_more_from: tuple[int, int] | None  # an amount and a place: from here on one unit above the level
    rotates: bool  # the place is one after the rotation


class Surplus(NamedTuple):
    """A budget of which there is more than is asked for, and a unit for each holder."""

    each: int  # lent to each holder, above its need
    one_more_below: int  # and one more to holders with places below this


class EqualShareTable:
    """Shares of holders of equal weight, in time that does not grow with their number.

    A change of a demand costs a step in each changed budget's index. A snapshot works out one level for each
    budget that has changed (for each budget, when holders came or left or the rotation moved on); a target is
    read off the levels.
    """

    def __init__(self, wholes: Amounts) -> None:
        """Begin without holders."""
        self.wholes = wholes
        self.zero = (0,) * len(wholes)
        self.holders: dict[HolderKey, HolderDemand] = {}
        self.places: list[int] = []  # of all holders, rising
        self.next_place = 0
        self.indexes = [DemandIndex() for _ in wholes]
        self.stale_budgets = set(range(len(wholes)))
        self.holders_changed = True
        # The last snapshot
        self.snapshot = 0
        self.first = 0  # the holder, by its rank, with which a rotation begins
        self.first_place = 0
        self.shortages: list[Shortage | None] = [None] * len(wholes)
        self.surpluses: dict[int, Surplus] = {}  # of budgets with a unit or more for each holder
        # Of budgets with fewer units than holders: one is lent to holders with places, rotated, below this.
        self.lent_one_below: dict[int, int] = {}
        self.lent_one_steps: list[int] = []  # the places above, rising: all that are between two get the same
        self.lent_one_rows: dict[int, list[int]] = {}  # of a holder, by the step that it is on

    def update(self, key: HolderKey, demand: Amounts, weight: int) -> None:
        """Set what a holder asks for. All weights are equal here."""
        holder = self.holders.get(key)
        if holder is None:
            holder = self.holders[key] = HolderDemand(self.next_place, self.zero, self.snapshot, [])
            self.places.append(self.next_place)
            self.next_place += 1
            self.holders_changed = True
        if holder.demand == demand:
            return
        if holder.changed_in != self.snapshot:
            holder.changed_in, holder.wants_then = self.snapshot, holder.wants
        for budget in changed_budgets(holder.demand, demand):
            self._change_index(budget, holder.demand[budget], demand[budget], holder.place)
        holder.demand = demand
        holder.wants = [(budget, amount) for budget, amount in enumerate(demand) if amount]

    def remove(self, key: HolderKey) -> None:
        """Forget a holder."""
        holder = self.holders.pop(key, None)
        if holder is None:
            return
        for budget, amount in holder.wants:
            self._change_index(budget, amount, 0, holder.place)
        del self.places[bisect_left(self.places, holder.place)]
        self.holders_changed = True

    def set_wholes(self, wholes: Amounts) -> None:
        """Set what there is to divide of each budget."""
        self.stale_budgets.update(changed_budgets(self.wholes, wholes))
        self.wholes = wholes

    def take_snapshot(self, turn: int) -> None:
        """Work out the levels of the budgets that have changed."""
        self.snapshot += 1
        count = len(self.places)
        first = turn % count if count else 0
        budgets = self.stale_budgets
        if self.holders_changed or first != self.first:
            budgets = set(range(len(self.wholes)))
            self.first, self.first_place = first, self.places[first] if count else 0
        lent_one_before = self.lent_one_below.copy()
        for budget in budgets:
            self._work_out(budget, count)
        if self.lent_one_below != lent_one_before:
            self.lent_one_steps = sorted(set(self.lent_one_below.values()))
            self.lent_one_rows = {}
        self.stale_budgets = set()
        self.holders_changed = False

    def target(self, key: HolderKey) -> Amounts:
        """Return a holder's shares by the last snapshot."""
        holder = self.holders[key]
        if holder.came_in == self.snapshot:
            return self.zero
        wants = holder.wants
        if holder.changed_in == self.snapshot and holder.wants_then is not None:
            wants = holder.wants_then
        place = holder.place
        rotated_place = place if place >= self.first_place else place + WRAPPED
        target = self._lent_to(place, rotated_place)
        for budget, amount in wants:
            shortage = self.shortages[budget]
            if shortage is None or amount <= shortage.level:
                target[budget] += amount
                continue
            target[budget] = shortage.level
            own = (amount, rotated_place if shortage.rotates else place)
            if shortage.one_more_from is not None and own >= shortage.one_more_from:
                target[budget] += 1
        return tuple(target)

    def total_demand(self) -> Amounts:
        """Return the sum of what all holders ask for now."""
        return tuple([index.total for index in self.indexes])

    def clone(self) -> EqualShareTable:
        """Return a copy that shares nothing that changes."""
        other = copy(self)
        other.holders = {key: replace(holder) for key, holder in self.holders.items()}
        other.places = self.places.copy()
        other.indexes = [index.clone() for index in self.indexes]
        other.stale_budgets = self.stale_budgets.copy()
        other.shortages = self.shortages.copy()
        other.surpluses = self.surpluses.copy()
        other.lent_one_below = self.lent_one_below.copy()
        other.lent_one_rows = self.lent_one_rows.copy()
        return other

    def _change_index(self, budget: int, old: int, new: int, place: int) -> None:
        index = self.indexes[budget]
        if old:
            index.remove(old, place)
        if new:
            index.add(new, place)
        self.stale_budgets.add(budget)

    def _work_out(self, budget: int, count: int) -> None:
        whole, index = self.wholes[budget], self.indexes[budget]
        # Units rotate only where some holder has none: each move leaves them idle for a request or two.
        rotates = whole < count
        self.surpluses.pop(budget, None)
        self.lent_one_below.pop(budget, None)
        if whole <= 0 or not count:
            self.shortages[budget] = Shortage(0, None, rotates)
        elif index.total > whole:
            self.shortages[budget] = self._shortage(whole, index, rotates)
        else:
            self.shortages[budget] = None
            each, rest = divmod(whole - index.total, count)
            below = self._rotated_place(rest, rotates)
            if not rotates:
                self.surpluses[budget] = Surplus(each, below)
            elif rest:
                self.lent_one_below[budget] = below

    def _shortage(self, whole: int, index: DemandIndex, rotates: bool) -> Shortage:
        level, rest = index.water_level(whole)
        if not rest:
            return Shortage(level, None, rotates)
        first_place = self.first_place if rotates else 0
        amount, place = index.rank_from_top(rest, first_place)
        rotated = place if place >= first_place else place + WRAPPED
        return Shortage(level, (amount, rotated), rotates)

    def _lent_to(self, place: int, rotated_place: int) -> list[int]:
        """Return what is lent to a holder of each budget, above its need."""
        step = bisect_right(self.lent_one_steps, rotated_place)
        row = self.lent_one_rows.get(step)
        if row is None:
            row = self.lent_one_rows[step] = [0] * len(self.wholes)
            for budget, below in self.lent_one_below.items():
                row[budget] = int(rotated_place < below)
        lent = row.copy()
        for budget, surplus in self.surpluses.items():
            lent[budget] = surplus.each + (place < surplus.one_more_below)
        return lent

    def _rotated_place(self, rank: int, rotates: bool) -> int:
        """The place, such as `target` compares it, of the holder of this rank."""
        rank += self.first if rotates else 0
        count = len(self.places)
        return self.places[rank] if rank < count else self.places[rank - count] + WRAPPED
