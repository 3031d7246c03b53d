"""Budgets of two levels: the promise in seeded fleets of several regions, and a region that is cut off."""

from __future__ import annotations

import json
from dataclasses import replace
from random import Random

import pytest
from click.testing import CliRunner

from lupintack.budgets.allocator import Allocator
from lupintack.budgets.hierarchy import TwoLevelNode
from lupintack.budgets.invariant import (
    FLEET,
    BudgetState,
    RegionAmounts,
    RegionBounds,
    Violation,
    single_level,
    violations,
)
from lupintack.budgets.messages import Epoch, LeaseRequest
from lupintack.budgets.regions import Region, plan_region
from lupintack.budgets.spending import Budget, BudgetKind
from lupintack.budgets.terms import Terms
from lupintack.cli.main import main
from lupintack.lab import budget_level_check
from lupintack.lab.budget_level_bugs import (
    PLANTED_LEVEL_BUGS,
    find_level_bug_by_script,
    find_level_bug_by_search,
    find_level_bug_by_seeds,
)
from lupintack.lab.budget_levels import LevelsWorld
from lupintack.lab.budget_results import SECOND_US
from lupintack.lab.budgets import SAMPLE_INTERVAL_US, START_US
from lupintack.lab.faults import Fault

HOUR_US = 3600 * SECOND_US
LONG_TERMS = Terms(  # four times as long as usual: an hour is still over a hundred leases
    promise_us=12 * SECOND_US,
    lease_us=32 * SECOND_US,
    renew_interval_us=4 * SECOND_US,
    request_interval_us=6 * SECOND_US,
)
TERMS = Terms()
EPOCH = Epoch(1, "a", 1)
BOUNDS = (RegionBounds("west", (2,), (5,)), RegionBounds("east", (1,), ()))
KEPT = BudgetState(
    (10,),
    BOUNDS,
    [RegionAmounts("west", (4, 2)), RegionAmounts("west", (3, 3)), RegionAmounts("east", (6,))],
    [RegionAmounts("west", (5,)), RegionAmounts("west", (3,)), RegionAmounts("east", (5,))],
    [RegionAmounts("west", (5,)), RegionAmounts("east", (5,))],
)


def test_invariant_holds_up_to_each_bound() -> None:
    assert not violations(KEPT)
    assert not violations(single_level((5, 7), [(2, 7), (3, 0)]))
    assert violations(single_level((5, 7), [(2, 7), (4, 0)])) == [
        Violation(FLEET, "leases of routers", 0, 6, 5)
    ]


@pytest.mark.parametrize(
    ("changed", "found"),
    [
        (
            replace(KEPT, leases=[*KEPT.leases, RegionAmounts("east", (1,))], bookings=None),
            Violation(FLEET, "leases of routers", 0, 14, 13),
        ),
        (
            replace(KEPT, parent_leases=[*KEPT.parent_leases, RegionAmounts("east", (6,))]),
            Violation(FLEET, "parent leases", 0, 11, 10),
        ),
        (
            replace(KEPT, leases=[*KEPT.leases, RegionAmounts("west", (0, 1))]),
            Violation("west", "leases of its own", 1, 6, 5),
        ),
        (
            replace(KEPT, bookings=[RegionAmounts("west", (4,)), RegionAmounts("east", (6,))]),
            Violation("west", "leases beyond booking", 0, 7, 6),
        ),
    ],
)
def test_each_bound_is_checked_independently(changed: BudgetState, found: Violation) -> None:
    assert violations(changed) == [found]


@pytest.mark.parametrize("first", range(0, 8, 2))
def test_seeded_fleets_of_three_regions_never_exceed_bounds(first: int) -> None:
    for seed in range(first, first + 2):
        result = LevelsWorld(seed).run()
        assert not result.violation_count, result.violations


def test_region_cut_off_for_an_hour_uses_its_reserve_and_own_budgets() -> None:
    """All of the reserve but what moves between its routers, and none of what is the other regions'."""
    cut = Fault(60 * SECOND_US, "region-cut", HOUR_US, ("r1",))
    world = LevelsWorld(5, routers=9, script=[cut], terms=LONG_TERMS)
    result = world.run()
    assert not result.violation_count, result.violations
    (seen,) = world.cuts
    assert len(seen.reserve_share) > 10_000  # looks, four a second
    assert min(seen.reserve_share) >= 0.8 and max(seen.reserve_share) == 1.0
    assert min(seen.own_share) >= 0.8
    assert 0 <= seen.recovery_us < 2 * LONG_TERMS.lease_us


def test_same_seed_gives_same_run() -> None:
    assert LevelsWorld(3, routers=9).run() == LevelsWorld(3, routers=9).run()


def test_lab_budgets_command_simulates_regions() -> None:
    asked = ["lab", "budgets", "--regions", "3", "--routers", "9", "--seeds", "0-1", "--json"]
    run = CliRunner().invoke(main, asked)
    assert run.exit_code == 0, run.output
    assert json.loads(run.output)["oversum"] == 0
    run = CliRunner().invoke(main, ["lab", "budgets", "--regions", "9", "--routers", "9", "--json"])
    assert run.exit_code == 2 and "routers" in run.output


def test_new_tenure_without_parent_lease_does_not_reduce_holders_lease() -> None:
    """A grant of nothing would take from a router what it has of the older tenure."""
    allocator = Allocator(EPOCH, (10,), TERMS, 0)
    allocator.set_allocatable((10,), (0,))
    assert allocator.handle_request(LeaseRequest("h", 1, 1, EPOCH, (9,), (6,)), 1) is None
    assert allocator.total_demand() == (9,) and allocator.allocated() == (6,)
    allocator.set_allocatable((10,), (4,))
    later = TERMS.lease_us // 4  # there may be no more than this: part of a lease is better than its end
    given = allocator.handle_request(LeaseRequest("h", 1, 2, EPOCH, (9,), (6,)), later)
    assert given is not None and given.amounts == (4,)
    given = allocator.handle_request(LeaseRequest("i", 1, 1, EPOCH, (9,), (0,)), 2)
    assert given is not None and given.amounts == (0,)  # it has nothing to lose


def test_new_regional_allocator_replaces_old_one_in_shares() -> None:
    allocator = Allocator(EPOCH, (12,), TERMS, 0)
    allocator.shared_names = frozenset({"west", "east"})
    now = allocator.ready_us
    for name in ("west", "east"):
        allocator.handle_request(LeaseRequest(name, 1, 1, EPOCH, (20,), (0,)), now)
    now += TERMS.share_interval_us
    given = allocator.handle_request(LeaseRequest("east", 1, 2, EPOCH, (20,), (0,)), now)
    assert given is not None and given.amounts == (0,)  # west was first, and has all of it
    given = allocator.handle_request(LeaseRequest("west", 2, 1, EPOCH, (20,), (0,)), now + 1)
    assert given is not None and given.amounts == (6,)  # not 4 beside a share for the older one


def test_routers_keep_leases_while_regional_allocator_changes() -> None:
    """One of 18 routers was killed. Another may not have asked in time, as with one level."""
    lowest = []
    for seed in range(4):
        killed = Fault(31 * SECOND_US, "region-allocator", 0, ("r1",))
        result = LevelsWorld(seed, script=[killed], moving=False).run()
        assert not result.violation_count, result.violations
        lowest.append(min(result.leased_shares[(28 * SECOND_US - START_US) // SAMPLE_INTERVAL_US :]))
    assert min(lowest) > 0.75 and sum(lowest) / len(lowest) > 0.85


def test_request_waiting_for_parent_lease_is_answered_after_its_grant() -> None:
    """Its sender would ask again only after a while, and might lose its lease till then."""
    allocator = Allocator(EPOCH, (10,), TERMS, 0)
    allocator.set_allocatable((10,), (0,))
    request = LeaseRequest("h", 1, 1, EPOCH, (9,), (6,))
    assert allocator.handle_request(request, 1) is None and allocator.left_unanswered(request)
    allocator.set_allocatable((10,), (8,))
    given = allocator.handle_request(request, 2)
    assert given is not None and given.amounts == (6,) and not allocator.left_unanswered(request)
    assert allocator.handle_request(request, 3) == given  # a repeat is the same


@pytest.mark.parametrize("name", [name for name, flaw in PLANTED_LEVEL_BUGS.items() if not flaw.steps])
def test_planted_two_level_bug_is_detected_by_seeds(name: str) -> None:
    assert find_level_bug_by_seeds(name, 20) is not None


@pytest.mark.parametrize("name", [name for name, flaw in PLANTED_LEVEL_BUGS.items() if flaw.steps])
def test_planted_bug_rarely_shown_by_seeds_is_detected_by_its_script(name: str) -> None:
    assert find_level_bug_by_script(name)
    clean = budget_level_check.replay(PLANTED_LEVEL_BUGS[name].steps, budget_level_check.clock_rates()[0])
    assert not any(clean)


@pytest.mark.parametrize("name", [name for name, flaw in PLANTED_LEVEL_BUGS.items() if flaw.level_bounds])
def test_two_level_model_check_finds_planted_bug(name: str) -> None:
    script, _ = find_level_bug_by_search(name)
    assert script


def test_two_level_model_check_finds_no_violation() -> None:
    for rates in (budget_level_check.clock_rates()[0], budget_level_check.clock_rates()[2]):
        found = budget_level_check.search(budget_level_check.LevelBounds(max_depth=4), rates)
        assert not found.script and found.is_complete and found.states > 1000


def test_lab_commands_check_two_levels_and_plant_bug() -> None:
    asked = ["lab", "check", "budgets", "--levels", "2", "--depth", "2", "--json"]
    run = CliRunner().invoke(main, asked)
    assert run.exit_code == 0, run.output
    assert json.loads(run.output)["oversum"] is False and json.loads(run.output)["states"] > 100
    run = CliRunner().invoke(main, ["lab", "plant", "older-parent-epoch", "--json"])
    assert run.exit_code == 0 and json.loads(run.output)["caught_at"] == "script"


def test_region_with_unmet_demand_requests_parent_lease_sooner() -> None:
    region = Region("west", ("a",), ())
    plan = plan_region([Budget("fills", 100, BudgetKind.CONCURRENT)], [region], region)
    node = TwoLevelNode("a", 1, ("a",), plan, TERMS, Random(1), 0, votes=True)
    node.set_demand((10,))
    for now in range(0, 30 * SECOND_US, 50_000):
        node.tick(now)
    settled = node.fleet.holder.sequence
    for now in range(30 * SECOND_US, 40 * SECOND_US, 50_000):
        node.tick(now)
    calm = node.fleet.holder.sequence
    node.set_demand((1000,))
    for now in range(40 * SECOND_US, 50 * SECOND_US, 50_000):
        node.tick(now)
    assert node.leased_amounts(50 * SECOND_US) == (99,)  # all but the name's reservation
    assert calm - settled <= 10 < 18 <= node.fleet.holder.sequence - calm
