"""Tests of two-level budgets: the split of totals among regions, and the coverage of a parent lease."""

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
    """Return regions of three voters and two sites each."""
    return [
        Region(f"r{n}", tuple(f"r{n}v{i}" for i in range(3)), (f"r{n}s0", f"r{n}s1")) for n in range(count)
    ]


@given(st.integers(0, 5000), st.integers(0, 1000), st.integers(1, 30))
def test_fleet_wide_budget_is_split_completely_among_both_levels(
    total: int, reserved: int, count: int
) -> None:
    region_list = regions(count)
    budget = Budget("fills", total, BudgetKind.CONCURRENT, reserved_per_mille=reserved)
    plans = [plan_region([budget], region_list, region) for region in region_list]
    regional_units = sum(plan.region_pool[0] + 3 * plan.name_reservations[0] for plan in plans)
    assert {plan.fleet_allocatable[0] + regional_units for plan in plans} == {total}


def test_site_budget_belongs_only_to_its_region() -> None:
    region_list = regions(2)
    budgets = [Budget("cold.r0s1", 60, BudgetKind.CONCURRENT), Budget("fills", 90, BudgetKind.CONCURRENT)]
    own_plan, other_plan = (plan_region(budgets, region_list, region) for region in region_list)
    assert [budget.name for budget in own_plan.budgets] == ["fills", "cold.r0s1"] and own_plan.fleet_wide == 1
    assert own_plan.region_pool[1] + 3 * own_plan.name_reservations[1] == 60
    assert [budget.name for budget in other_plan.budgets] == ["fills"]
    assert region_of_site(region_list, "r1s0").name == "r1"
    with pytest.raises(RegionError, match="nowhere"):
        region_of_site(region_list, "nowhere")


def test_smaller_grant_covers_earlier_leases_until_they_expire() -> None:
    """The fleet's allocator books the amounts a request reports in use, so the region's leases may run on."""
    terms = Terms()
    holder = LeaseHolder("west", 7, 1, terms)
    parent = ParentLease(holder)

    def coverage_after(amount: int, in_use: int, now: int) -> tuple[int, ...]:
        request = holder.request(EPOCH, (100,), now, in_use=(in_use,))
        parent.update(now)
        assert holder.accept(LeaseGrant(EPOCH, "west", 7, request.sequence, (amount,)), now)
        parent.update(now)
        return parent.covered

    assert coverage_after(100, 0, 1_000) == (100,)
    assert coverage_after(60, 90, 2_000) == (90,)
    holder.request(EPOCH, (100,), 3_000, in_use=(70,))
    parent.update(3_000)
    assert parent.covered == (70,)  # from this request on, only the reported amount is certainly booked
    assert coverage_after(60, 200, 4_000) == (70,)  # a report alone does not increase the coverage
    parent.update(holder.until_us)
    assert parent.covered == (0,) and parent.ends_us(holder.until_us) is None
