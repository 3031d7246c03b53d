"""Tests of two-level budgets: the invariant in simulated fleets of several regions, and a partition."""

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
LONG_TERMS = Terms(  # four times the defaults; an hour is still more than a hundred leases
    promise_us=12 * SECOND_US,
    lease_us=32 * SECOND_US,
    renew_interval_us=4 * SECOND_US,
    request_interval_us=6 * SECOND_US,
)
TERMS = Terms()
EPOCH = Epoch(1, "a", 1)
BOUNDS = (RegionBounds("west", (2,), (5,)), RegionBounds("east", (1,), ()))
VALID_STATE = BudgetState(
    (10,),
    BOUNDS,
    [RegionAmounts("west", (4, 2)), RegionAmounts("west", (3, 3)), RegionAmounts("east", (6,))],
    [RegionAmounts("west", (5,)), RegionAmounts("west", (3,)), RegionAmounts("east", (5,))],
    [RegionAmounts("west", (5,)), RegionAmounts("east", (5,))],
)


def test_invariant_holds_up_to_each_bound() -> None:
    assert not violations(VALID_STATE)
    assert not violations(single_level((5, 7), [(2, 7), (3, 0)]))
    assert violations(single_level((5, 7), [(2, 7), (4, 0)])) == [
        Violation(FLEET, "leases of routers", 0, 6, 5)
    ]


@pytest.mark.parametrize(
    ("changed", "expected"),
    [
        (
            replace(VALID_STATE, leases=[*VALID_STATE.leases, RegionAmounts("east", (1,))], bookings=None),
            Violation(FLEET, "leases of routers", 0, 14, 13),
        ),
        (
            replace(VALID_STATE, parent_leases=[*VALID_STATE.parent_leases, RegionAmounts("east", (6,))]),
            Violation(FLEET, "parent leases", 0, 11, 10),
        ),
        (
            replace(VALID_STATE, leases=[*VALID_STATE.leases, RegionAmounts("west", (0, 1))]),
            Violation("west", "leases of its own", 1, 6, 5),
        ),
        (
            replace(VALID_STATE, bookings=[RegionAmounts("west", (4,)), RegionAmounts("east", (6,))]),
            Violation("west", "leases beyond booking", 0, 7, 6),
        ),
    ],
)
def test_each_bound_is_checked_independently(changed: BudgetState, expected: Violation) -> None:
    assert violations(changed) == [expected]


@pytest.mark.parametrize("first", range(0, 8, 2))
def test_seeded_fleets_of_three_regions_never_exceed_bounds(first: int) -> None:
    for seed in range(first, first + 2):
        result = LevelsWorld(seed).run()
        assert not result.violation_count, result.violations


def test_region_cut_off_for_an_hour_uses_its_reserve_and_own_budgets() -> None:
    """The region uses its reserve, except for units moving between routers, and no units of other regions."""
    cut = Fault(60 * SECOND_US, "region-cut", HOUR_US, ("r1",))
    world = LevelsWorld(5, routers=9, script=[cut], terms=LONG_TERMS)
    result = world.run()
    assert not result.violation_count, result.violations
    (cut_region,) = world.cuts
    assert len(cut_region.reserve_share) > 10_000  # samples, four per second
    assert min(cut_region.reserve_share) >= 0.8 and max(cut_region.reserve_share) == 1.0
    assert min(cut_region.own_share) >= 0.8
    assert 0 <= cut_region.recovery_us < 2 * LONG_TERMS.lease_us


def test_same_seed_gives_same_run() -> None:
    assert LevelsWorld(3, routers=9).run() == LevelsWorld(3, routers=9).run()


def test_lab_budgets_command_simulates_regions() -> None:
    arguments = ["lab", "budgets", "--regions", "3", "--routers", "9", "--seeds", "0-1", "--json"]
    run = CliRunner().invoke(main, arguments)
    assert run.exit_code == 0, run.output
    assert json.loads(run.output)["oversum"] == 0
    run = CliRunner().invoke(main, ["lab", "budgets", "--regions", "9", "--routers", "9", "--json"])
    assert run.exit_code == 2 and "routers" in run.output


def test_new_tenure_without_parent_lease_does_not_reduce_holders_lease() -> None:
    """A zero grant would revoke a router's lease from the older tenure."""
    allocator = Allocator(EPOCH, (10,), TERMS, 0)
    allocator.set_allocatable((10,), (0,))
    assert allocator.handle_request(LeaseRequest("h", 1, 1, EPOCH, (9,), (6,)), 1) is None
    assert allocator.total_demand() == (9,) and allocator.allocated() == (6,)
    allocator.set_allocatable((10,), (4,))
    later = TERMS.lease_us // 4  # after this wait, a smaller grant is better than letting the lease expire
    grant = allocator.handle_request(LeaseRequest("h", 1, 2, EPOCH, (9,), (6,)), later)
    assert grant is not None and grant.amounts == (4,)
    grant = allocator.handle_request(LeaseRequest("i", 1, 1, EPOCH, (9,), (0,)), 2)
    assert grant is not None and grant.amounts == (0,)  # it has no older lease to keep


def test_new_regional_allocator_replaces_old_one_in_shares() -> None:
    allocator = Allocator(EPOCH, (12,), TERMS, 0)
    allocator.shared_names = frozenset({"west", "east"})
    now = allocator.ready_us
    for name in ("west", "east"):
        allocator.handle_request(LeaseRequest(name, 1, 1, EPOCH, (20,), (0,)), now)
    now += TERMS.share_interval_us
    grant = allocator.handle_request(LeaseRequest("east", 1, 2, EPOCH, (20,), (0,)), now)
    assert grant is not None and grant.amounts == (0,)  # west was first and holds all units
    grant = allocator.handle_request(LeaseRequest("west", 2, 1, EPOCH, (20,), (0,)), now + 1)
    assert grant is not None and grant.amounts == (6,)  # not 4: the older holder has no share


def test_routers_keep_leases_while_regional_allocator_changes() -> None:
    """One of 18 routers is killed. Another may not have renewed in time, as with one level."""
    lowest_shares = []
    for seed in range(4):
        killed = Fault(31 * SECOND_US, "region-allocator", 0, ("r1",))
        result = LevelsWorld(seed, script=[killed], moving=False).run()
        assert not result.violation_count, result.violations
        lowest_shares.append(min(result.leased_shares[(28 * SECOND_US - START_US) // SAMPLE_INTERVAL_US :]))
    assert min(lowest_shares) > 0.75 and sum(lowest_shares) / len(lowest_shares) > 0.85


def test_request_waiting_for_parent_lease_is_answered_after_its_grant() -> None:
    """Its sender would retry only after a delay, and its lease might expire before."""
    allocator = Allocator(EPOCH, (10,), TERMS, 0)
    allocator.set_allocatable((10,), (0,))
    request = LeaseRequest("h", 1, 1, EPOCH, (9,), (6,))
    assert allocator.handle_request(request, 1) is None and allocator.left_unanswered(request)
    allocator.set_allocatable((10,), (8,))
    grant = allocator.handle_request(request, 2)
    assert grant is not None and grant.amounts == (6,) and not allocator.left_unanswered(request)
    assert allocator.handle_request(request, 3) == grant  # a repeated request gets the same grant


@pytest.mark.parametrize("name", [name for name, bug in PLANTED_LEVEL_BUGS.items() if not bug.steps])
def test_planted_two_level_bug_is_detected_by_seeds(name: str) -> None:
    assert find_level_bug_by_seeds(name, 20) is not None


@pytest.mark.parametrize("name", [name for name, bug in PLANTED_LEVEL_BUGS.items() if bug.steps])
def test_planted_bug_rarely_shown_by_seeds_is_detected_by_its_script(name: str) -> None:
    assert find_level_bug_by_script(name)
    violations_without_bug = budget_level_check.replay(
        PLANTED_LEVEL_BUGS[name].steps, budget_level_check.clock_rates()[0]
    )
    assert not any(violations_without_bug)


@pytest.mark.parametrize("name", [name for name, bug in PLANTED_LEVEL_BUGS.items() if bug.level_bounds])
def test_two_level_model_check_finds_planted_bug(name: str) -> None:
    script, _ = find_level_bug_by_search(name)
    assert script


def test_two_level_model_check_finds_no_violation() -> None:
    for rates in (budget_level_check.clock_rates()[0], budget_level_check.clock_rates()[2]):
        result = budget_level_check.search(budget_level_check.LevelBounds(max_depth=4), rates)
        assert not result.script and result.is_complete and result.states > 1000


def test_lab_commands_check_two_levels_and_plant_bug() -> None:
    arguments = ["lab", "check", "budgets", "--levels", "2", "--depth", "2", "--json"]
    run = CliRunner().invoke(main, arguments)
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
    settled_requests = node.fleet.holder.sequence
    for now in range(30 * SECOND_US, 40 * SECOND_US, 50_000):
        node.tick(now)
    calm_requests = node.fleet.holder.sequence
    node.set_demand((1000,))
    for now in range(40 * SECOND_US, 50 * SECOND_US, 50_000):
        node.tick(now)
    assert node.leased_amounts(50 * SECOND_US) == (99,)  # all units but the name's reservation
    assert calm_requests - settled_requests <= 10 < 18 <= node.fleet.holder.sequence - calm_requests
