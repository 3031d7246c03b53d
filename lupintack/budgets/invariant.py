"""The promise of docs/budgets.md, as one function over all states of one level or of two.

The lab, the model check and the tests all state what lives now in these records and ask `violations`.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

FLEET = "fleet"


class RegionBounds(NamedTuple):
    """What a region may lease to its routers without a parent lease."""

    region: str
    reserve: tuple[int, ...]  # of each fleet-wide budget
    own: tuple[int, ...] = ()  # of each budget of the region's own sites


class RegionAmounts(NamedTuple):
    """Amounts of budgets, fleet-wide ones first, that concern a region: a router's lease, or a booking."""

    region: str
    amounts: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class BudgetState:
    """All that lives at one instant of true time, at either level.

    `leases`: one for each router that lives, also where it stands still. `parent_leases`: what each process
    that acts for a region has of the fleet's allocator. `bookings`: the ledger of the fleet's allocator; None
    where there is no such allocator whose wait for older tenures is over.
    """

    fleet_allocatable: tuple[int, ...]
    regions: tuple[RegionBounds, ...]
    leases: Sequence[RegionAmounts]
    parent_leases: Sequence[RegionAmounts] = ()
    bookings: Sequence[RegionAmounts] | None = None


class Violation(NamedTuple):
    """A sum above its bound: of a budget (by its place in the region's or the fleet's list), and where."""

    scope: str  # FLEET, or the region's name
    rule: str
    budget: int
    sum: int
    bound: int

    def __str__(self) -> str:
        """One line for people."""
        return f"{self.scope}: {self.rule} of budget {self.budget}: {self.sum} of {self.bound}"


def single_level(wholes: tuple[int, ...], leases: Sequence[tuple[int, ...]]) -> BudgetState:
    """The state of a fleet without regions: one region that has no reserve."""
    bounds = RegionBounds(FLEET, (0,) * len(wholes))
    return BudgetState(wholes, (bounds,), [RegionAmounts(FLEET, amounts) for amounts in leases])


def violations(state: BudgetState) -> list[Violation]:
    """Each bound that is passed now; nothing while the promise holds."""
    leased = _leased_by_region(state)
    found = _fleet_violations(state, leased)
    found += _parent_violations(state)
    for bounds in state.regions:
        found += _region_violations(state, bounds, leased[bounds.region])
    return found


def _leased_by_region(state: BudgetState) -> dict[str, list[int]]:
    found = {one.region: [0] * (len(one.reserve) + len(one.own)) for one in state.regions}
    for region, amounts in state.leases:
        sums = found[region]
        for n, amount in enumerate(amounts):
            sums[n] += amount
    return found


def _over(
    scope: str, rule: str, sums: Sequence[int], bounds: Sequence[int], first: int = 0
) -> list[Violation]:
    pairs = enumerate(zip(sums, bounds, strict=True), first)
    return [Violation(scope, rule, n, total, bound) for n, (total, bound) in pairs if total > bound]


def _fleet_violations(state: BudgetState, leased: dict[str, list[int]]) -> list[Violation]:
    """All live leases of routers: at most the whole less what is reserved for names."""
    count = len(state.fleet_allocatable)
    sums = [sum(row[n] for row in leased.values()) for n in range(count)]
    bounds = [
        whole + sum(bounds.reserve[n] for bounds in state.regions)
        for n, whole in enumerate(state.fleet_allocatable)
    ]
    return _over(FLEET, "leases of routers", sums, bounds)


def largest_by_region(rows: Sequence[RegionAmounts]) -> dict[str, tuple[int, ...]]:
    """Of a region's successive allocators the largest amounts count: they share one booking."""
    found: dict[str, tuple[int, ...]] = {}
    for region, amounts in rows:
        found[region] = tuple(map(max, found.get(region, amounts), amounts))
    return found


def _parent_violations(state: BudgetState) -> list[Violation]:
    """What the regions hold of the fleet's allocator: at most what it has to grant."""
    rows = largest_by_region(state.parent_leases).values()
    sums = [sum(row[n] for row in rows) for n in range(len(state.fleet_allocatable))]
    return _over(FLEET, "parent leases", sums, state.fleet_allocatable)


def _region_violations(state: BudgetState, bounds: RegionBounds, leased: list[int]) -> list[Violation]:
    """A region: its own sites' budgets, and fleet-wide ones beyond its reserve only where they are booked."""
    fleet_wide = len(bounds.reserve)
    found = _over(bounds.region, "leases of its own", leased[fleet_wide:], bounds.own, fleet_wide)
    if state.bookings is not None:
        booked = largest_by_region(state.bookings).get(bounds.region, (0,) * fleet_wide)
        backed = [reserve + amount for reserve, amount in zip(bounds.reserve, booked, strict=True)]
        found += _over(bounds.region, "leases beyond booking", leased[:fleet_wide], backed)
    return found
