"""Budgets of two levels: how wholes are split among regions, and what a parent lease covers."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lupintack.budgets.lease import LeaseHolder
from lupintack.budgets.messages import Epoch, LeaseGrant
from lupintack.budgets.parent_lease import ParentLease
from lupintack.budgets.regions import Region, RegionError, plan_region, region_of_site
from lupintack.budgets.spending import Budget, BudgetKind
from lupintack.budgets.terms import Terms

EPOCH = Epoch(1, "a", 1)


def regions(count: int) -> list[Region]:
    """Regions of three voters and two sites each."""
    return [
        Region(f"r{n}", tuple(f"r{n}v{i}" for i in range(3)), (f"r{n}s0", f"r{n}s1")) for n in range(count)
    ]


@given(st.integers(0, 5000), st.integers(0, 1000), st.integers(1, 30))
def test_fleet_wide_budget_is_split_completely_among_both_levels(
    whole: int, reserved: int, count: int
) -> None:
    found = regions(count)
    budget = Budget("fills", whole, BudgetKind.CONCURRENT, reserved_per_mille=reserved)
    plans = [plan_region([budget], found, one) for one in found]
    below = sum(plan.region_pool[0] + 3 * plan.name_reservations[0] for plan in plans)
    assert {plan.fleet_allocatable[0] + below for plan in plans} == {whole}


def test_site_budget_belongs_only_to_its_region() -> None:
    found = regions(2)
    budgets = [Budget("cold.r0s1", 60, BudgetKind.CONCURRENT), Budget("fills", 90, BudgetKind.CONCURRENT)]
    here, there = (plan_region(budgets, found, one) for one in found)
    assert [one.name for one in here.budgets] == ["fills", "cold.r0s1"] and here.fleet_wide == 1
    assert here.region_pool[1] + 3 * here.name_reservations[1] == 60
    assert [one.name for one in there.budgets] == ["fills"]
    assert region_of_site(found, "r1s0").name == "r1"
    with pytest.raises(RegionError, match="nowhere"):
        region_of_site(found, "nowhere")


def test_smaller_grant_covers_earlier_leases_until_they_expire() -> None:
    """The fleet's allocator books what a request reports, so its region may finish on that."""
    terms = Terms()
    holder = LeaseHolder("west", 7, 1, terms)
    parent = ParentLease(holder)

    def granted(amount: int, in_use: int, now: int) -> tuple[int, ...]:
        request = holder.request(EPOCH, (100,), now, in_use=(in_use,))
        parent.update(now)
        assert holder.accept(LeaseGrant(EPOCH, "west", 7, request.sequence, (amount,)), now)
        parent.update(now)
        return parent.covered

    assert granted(100, 0, 1_000) == (100,)
    assert granted(60, 90, 2_000) == (90,)
    holder.request(EPOCH, (100,), 3_000, in_use=(70,))
    parent.update(3_000)
    assert parent.covered == (70,)  # what the request reports is all that is surely booked from here on
    assert granted(60, 200, 4_000) == (70,)  # a report alone books nothing that may be leased
    parent.update(holder.until_us)
    assert parent.covered == (0,) and parent.ends_us(holder.until_us) is None
