"""Split of a fleet's budgets among its regions: voters, reservations and allocations.

With regions there are two levels. The fleet's allocator leases fleet-wide budgets to one allocator a region,
which leases to its routers from that and from the region's reservation alone. A budget of one site is
allocated in the site's own region and is never seen elsewhere.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from lupintack.budgets.reservation import allocatable, reservations
from lupintack.budgets.spending import Budget


class RegionError(ValueError):
    """The regions can't be used as they are configured; the text says why."""


@dataclass(frozen=True, slots=True)
class Region:
    """A region: the names of its voters, and its sites."""

    name: str
    voters: tuple[str, ...]
    sites: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RegionPlan:
    """The plan of one region's routers: fleet-wide budgets first, then those of the region's own sites."""

    region: Region
    weights: tuple[tuple[str, int], ...]  # of each region at the fleet's allocator
    budgets: tuple[Budget, ...]
    fleet_wide: int  # how many of `budgets` are allocated by the fleet
    fleet_allocatable: tuple[int, ...]  # of fleet-wide budgets: the total less the regions' reservations
    region_pool: tuple[int, ...]  # of all `budgets`: what the region may allocate without a parent lease
    name_reservations: tuple[int, ...]  # of all `budgets`: for each voter of the region, allocated or not

    def weight_of(self, region: str) -> int:
        """Return the weight of a region at the fleet's allocator."""
        return dict(self.weights).get(region, 1)


def region_of_site(regions: Sequence[Region], site: str) -> Region:
    """Return the region of a site; raises RegionError where there is none, or more than one."""
    matches = [region for region in regions if site in region.sites]
    if len(matches) != 1:
        raise RegionError(f"site {site!r} stands in {len(matches)} regions, where one is wanted")
    return matches[0]


def plan_region(budgets: Sequence[Budget], regions: Sequence[Region], region: Region) -> RegionPlan:
    """Return a region's plan: `BUDGET.SITE` with a SITE of some region belongs to that region alone."""
    owners = {site: owner.name for owner in regions for site in owner.sites}
    fleet_wide = [budget for budget in budgets if site_of(budget.name) not in owners]
    region_budgets = [budget for budget in budgets if owners.get(site_of(budget.name)) == region.name]
    region_names = [other.name for other in regions]
    shares = [
        reservations(b.total_units, b.reserved_per_mille, region_names)[region.name] for b in fleet_wide
    ]
    totals = [*shares, *(b.total_units for b in region_budgets)]
    per_mille = [b.reserved_per_mille for b in (*fleet_wide, *region_budgets)]
    pairs = list(zip(totals, per_mille, strict=True))
    voter = region.voters[0]
    return RegionPlan(
        region=region,
        weights=tuple((other.name, max(1, len(other.sites))) for other in regions),
        budgets=(*fleet_wide, *region_budgets),
        fleet_wide=len(fleet_wide),
        fleet_allocatable=tuple(
            allocatable(b.total_units, b.reserved_per_mille, region_names) for b in fleet_wide
        ),
        region_pool=tuple(allocatable(total, part, region.voters) for total, part in pairs),
        name_reservations=tuple(reservations(total, part, region.voters)[voter] for total, part in pairs),
    )


def site_of(budget: str) -> str:
    """Return the SITE of a budget named `BUDGET.SITE`; "" for other names."""
    return budget.partition(".")[2]
