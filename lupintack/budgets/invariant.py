"""The invariant of docs/budgets.md, checked by one function for budgets with one or two levels.

The lab, the model check and the tests record the live leases as a `BudgetState` and call `violations`.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from operator import gt
from typing import NamedTuple

FLEET = "fleet"


class RegionBounds(NamedTuple):
    """The amounts that a region may lease to its routers without a parent lease."""

    region: str
    reserve: tuple[int, ...]  # for each fleet-wide budget
    own: tuple[int, ...] = ()  # for each budget of the region's own sites


class RegionAmounts(NamedTuple):
    """Amounts in a region, fleet-wide budgets first: a router's lease, a parent lease or a booking."""

    region: str
    amounts: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class BudgetState:
    """All live leases at one instant of true time, at both levels.

    `leases`: one for each live router, including paused ones. `parent_leases`: the amounts that each process
    acting for a region has been granted by the fleet's allocator. `bookings`: the ledger of the fleet's
    allocator; None if there is no such allocator that has waited for older tenures to expire.
    """

    fleet_allocatable: tuple[int, ...]
    regions: tuple[RegionBounds, ...]
    leases: Sequence[RegionAmounts]
    parent_leases: Sequence[RegionAmounts] = ()
    bookings: Sequence[RegionAmounts] | None = None


class Violation(NamedTuple):
    """A sum above its bound; `budget` is an index into the region's or the fleet's list of budgets."""

    scope: str  # FLEET, or the region's name
    rule: str
    budget: int
    sum: int
    bound: int

    def __str__(self) -> str:
        """Return the violation as one line."""
        return f"{self.scope}: {self.rule} of budget {self.budget}: {self.sum} of {self.bound}"


def single_level(totals: tuple[int, ...], leases: Sequence[tuple[int, ...]]) -> BudgetState:
    """Return the state of a fleet without regions, as one region without a reserve."""
    bounds = RegionBounds(FLEET, (0,) * len(totals))
    return BudgetState(totals, (bounds,), [RegionAmounts(FLEET, amounts) for amounts in leases])


def violations(state: BudgetState) -> list[Violation]:
    """Return each bound that is exceeded; empty while the invariant holds."""
    leased = _leased_by_region(state)
    result = _fleet_violations(state, leased)
    if state.parent_leases:
        result += _parent_violations(state)
    for bounds in state.regions:
        if bounds.own or state.bookings is not None:
            result += _region_violations(state, bounds, leased[bounds.region])
    return result


def _leased_by_region(state: BudgetState) -> dict[str, list[int]]:
    result = {bounds.region: [0] * (len(bounds.reserve) + len(bounds.own)) for bounds in state.regions}
    for region, amounts in state.leases:
        sums = result[region]
        for n, amount in enumerate(amounts):
            sums[n] += amount
    return result


def _exceeded_bounds(
    scope: str, rule: str, sums: Sequence[int], bounds: Sequence[int], first: int = 0
) -> list[Violation]:
    if not any(map(gt, sums, bounds)):
        return []
    pairs = enumerate(zip(sums, bounds, strict=True), first)
    return [Violation(scope, rule, n, total, bound) for n, (total, bound) in pairs if total > bound]


def _fleet_violations(state: BudgetState, leased: dict[str, list[int]]) -> list[Violation]:
    """Check that the routers' leases sum to at most the total minus the reservations of names."""
    sums = list(map(sum, zip(*(row[: len(state.fleet_allocatable)] for row in leased.values()), strict=True)))
    reserves = zip(*(bounds.reserve for bounds in state.regions), strict=True)
    bounds = [total + sum(row) for total, row in zip(state.fleet_allocatable, reserves, strict=True)]
    return _exceeded_bounds(FLEET, "leases of routers", sums, bounds)


def largest_by_region(rows: Sequence[RegionAmounts]) -> dict[str, tuple[int, ...]]:
    """Return the largest amounts of each region, as its successive allocators share one booking."""
    result: dict[str, tuple[int, ...]] = {}
    for region, amounts in rows:
        result[region] = tuple(map(max, result.get(region, amounts), amounts))
    return result


def _parent_violations(state: BudgetState) -> list[Violation]:
    """Check that parent leases sum to at most what the fleet's allocator may grant."""
    rows = largest_by_region(state.parent_leases).values()
    sums = [sum(row[n] for row in rows) for n in range(len(state.fleet_allocatable))]
    return _exceeded_bounds(FLEET, "parent leases", sums, state.fleet_allocatable)


def _region_violations(state: BudgetState, bounds: RegionBounds, leased: list[int]) -> list[Violation]:
    """Check a region's own budgets, and that the fleet has booked its leases above its reserve."""
    fleet_wide = len(bounds.reserve)
    result = _exceeded_bounds(bounds.region, "leases of its own", leased[fleet_wide:], bounds.own, fleet_wide)
    if state.bookings is not None:
        allocated = largest_by_region(state.bookings).get(bounds.region, (0,) * fleet_wide)
        backed = [reserve + amount for reserve, amount in zip(bounds.reserve, allocated, strict=True)]
        result += _exceeded_bounds(bounds.region, "leases beyond booking", leased[:fleet_wide], backed)
    return result
