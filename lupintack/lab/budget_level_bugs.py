"""Bugs planted in budgets of two levels; seeded simulations, a search or a script must detect each."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from lupintack.budgets.allocator import Allocator
from lupintack.budgets.hierarchy import TwoLevelNode
from lupintack.budgets.lease import LeaseHolder
from lupintack.budgets.messages import LeaseGrant, LeaseRequest
from lupintack.lab.budget_bugs import REAL_HANDLE_REQUEST, Grant, PlantedBug, planted
from lupintack.lab.budget_level_check import LevelBounds, clock_rates, replay, search
from lupintack.lab.budget_level_state import OTHER, Rates, Step
from lupintack.lab.budget_levels import LEVEL_FAULT_KINDS, LevelsWorld

ROUTERS = 9
AFTER_ALL_LEASES_US = 200_000  # true time at which all leases of the search's initial state have expired


@dataclass(frozen=True)
class PlantedLevelBug(PlantedBug):
    """A planted bug that seeds reveal, or a search or a script where one is given."""

    fault_kinds: tuple[str, ...] = LEVEL_FAULT_KINDS
    level_bounds: LevelBounds | None = None  # of a search that finds the bug
    steps: tuple[Step, ...] = ()  # a script that reveals the bug, for one that seeds rarely reveal


def _leave_expiry_unbounded(self: TwoLevelNode, allocator: Allocator, now: int) -> None:
    """Grant a region's leases for their full duration, even beyond the end of the parent lease."""
    REAL_SET_POOL(self, allocator, now)
    allocator.expires_by_us = None


def _make_only_voter(self: TwoLevelNode, *arguments: Any, **keywords: Any) -> None:
    """Make each voter of a region its only voter."""
    REAL_INIT(self, *arguments, **keywords)
    if self.name in self.region.voters:
        self.region.voters = (self.name,)


def _grant_without_waiting(self: TwoLevelNode, allocator: Allocator) -> None:
    """Let a new allocator of a region grant as if all of its predecessor's leases had expired."""
    allocator.elected_us -= self.terms.lease_us
    REAL_PREPARE_REGION(self, allocator)


def _forget_older_tenure(self: Allocator, request: LeaseRequest, now: int) -> Grant | None:
    """Drop the ledger entry of a region's previous allocator when a new one requests a lease."""
    if request.name in self.shared_names and request.epoch == self.epoch:
        for key in [key for key in self.ledger if key[0] == request.name and key[1] != request.start]:
            del self.ledger[key]
    return REAL_HANDLE_REQUEST(self, request, now)


def _omit_in_use(self: TwoLevelNode, allocator: Allocator, now: int) -> None:
    """Omit from the report the amounts that a region's routers still hold of a larger parent lease."""
    REAL_REPORT(self, allocator, now)
    self.fleet.set_demand(self.fleet.demand)


def _reserve_twice(self: TwoLevelNode, allocator: Allocator) -> None:
    """Let the fleet's allocator grant the amounts reserved for the regions as well."""
    REAL_PREPARE_FLEET(self, allocator)
    regions, pool = len(self.plan.weights), self.plan.region_pool
    total = tuple(
        amount + reserved * regions for amount, reserved in zip(allocator.allocatable, pool, strict=False)
    )
    allocator.allocatable = total
    allocator.shares.set_totals(total)
    allocator.ledger.set_limits(total)


def _accept_older_epoch(self: LeaseHolder, grant: Grant, now: int) -> bool:
    """Accept a grant of an older epoch of the fleet's allocator, whichever request it answers."""
    is_own_grant = (grant.name, grant.start) == (self.name, self.start)
    if isinstance(grant, LeaseGrant) and is_own_grant and grant.epoch != self.epoch and not self.is_answered:
        grant = grant._replace(sequence=self.sequence)
        self.epoch = grant.epoch
    return REAL_ACCEPT(self, grant, now)


REAL_SET_POOL, REAL_REPORT = TwoLevelNode._set_pool, TwoLevelNode._report_to_fleet
REAL_INIT, REAL_ACCEPT = TwoLevelNode.__init__, LeaseHolder.accept
REAL_PREPARE_REGION, REAL_PREPARE_FLEET = TwoLevelNode._prepare_region, TwoLevelNode._prepare_fleet

# A grant of F1 arrives after F2 has leased the same units to the other region.
LATE_GRANT = (
    Step("ask parent"),
    Step("deliver", "F1"),
    Step("follow fleet"),
    Step("time", at_us=AFTER_ALL_LEASES_US),
    Step("ask", OTHER),
    Step("deliver", "F2"),
    Step("deliver", OTHER),
    Step("ask parent"),
    Step("deliver", "R1"),
)

PLANTED_LEVEL_BUGS: dict[str, PlantedLevelBug] = {
    "child-outlives-parent": PlantedLevelBug(
        "a region's leases outlive the parent lease",
        TwoLevelNode,
        "_set_pool",
        _leave_expiry_unbounded,
        ("region-cut", "region-pause"),
    ),
    "two-in-a-region": PlantedLevelBug(
        "a region has two allocators at a time", TwoLevelNode, "__init__", _make_only_voter
    ),
    "region-no-wait": PlantedLevelBug(
        "a region's new allocator grants amounts that its predecessor's leases still hold",
        TwoLevelNode,
        "_prepare_region",
        _grant_without_waiting,
        level_bounds=LevelBounds(6, 2, 1, 0, 0, 0, 1),
    ),
    "booking-forgotten": PlantedLevelBug(
        "the ledger entry of a region's previous allocator is dropped",
        Allocator,
        "handle_request",
        _forget_older_tenure,
        level_bounds=LevelBounds(6, 2, 1, 0, 0, 0, 1),
    ),
    "smaller-upwards-first": PlantedLevelBug(
        "a parent lease shrinks before the leases drawn on it", TwoLevelNode, "_report_to_fleet", _omit_in_use
    ),
    "reserve-twice": PlantedLevelBug(
        "a region's reserve is counted at both levels", TwoLevelNode, "_prepare_fleet", _reserve_twice
    ),
    "older-parent-epoch": PlantedLevelBug(
        "a grant of an older epoch of the fleet's allocator is accepted",
        LeaseHolder,
        "accept",
        _accept_older_epoch,
        steps=LATE_GRANT,
    ),
}


def find_level_bug_by_seeds(name: str, seeds: int) -> int | None:
    """Return the first seed whose run breaks the invariant with the bug and not without it."""
    bug = PLANTED_LEVEL_BUGS[name]
    for seed in range(seeds):
        with planted(bug):
            broken = LevelsWorld(seed, routers=ROUTERS, kinds=bug.fault_kinds).run().violation_count
        if broken and not LevelsWorld(seed, routers=ROUTERS, kinds=bug.fault_kinds).run().violation_count:
            return seed
    return None


def find_level_bug_by_search(name: str) -> tuple[list[str], Rates | None]:
    """Return the shortest script that the search finds and its clock rates; empty if there is none."""
    bug = PLANTED_LEVEL_BUGS[name]
    if bug.level_bounds is not None:
        with planted(bug):
            result = search(bug.level_bounds, clock_rates()[0])
        if result.script:
            return result.script, clock_rates()[0]
    return [], None


def find_level_bug_by_script(name: str) -> str:
    """Return the first violation in a run of the bug's script, with all clocks at one rate; "" for none."""
    bug = PLANTED_LEVEL_BUGS[name]
    with planted(bug):
        broken = [
            str(violation)
            for step_violations in replay(bug.steps, clock_rates()[0])
            for violation in step_violations
        ]
    return broken[0] if broken else ""
