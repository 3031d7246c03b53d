"""Split of a fleet's budgets among its regions: voters, reservations and allocations.

With regions there are two levels. The fleet's allocator leases fleet-wide budgets to one allocator per
region, which leases to its routers only from that and from the region's reservation. The budget of a site is
allocated only in the site's own region.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from lupintack.budgets.reservation import allocatable, reservations
from lupintack.budgets.spending import Budget


class RegionError(ValueError):
    """The configuration of the regions is invalid; the message states the reason."""


@dataclass(frozen=True, slots=True)
class Region:
    """A region: the names of its voters, and its sites."""

    name: str
    voters: tuple[str, ...]
    sites: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RegionPlan:
    """The budgets of one region's routers: fleet-wide budgets first, then those of the region's sites."""

    region: Region
    weights: tuple[tuple[str, int], ...]  # weight of each region at the fleet's allocator
    budgets: tuple[Budget, ...]
    fleet_wide: int  # the number of `budgets` that the fleet's allocator allocates
    fleet_allocatable: tuple[int, ...]  # for fleet-wide budgets: the total minus the regions' reservations
    region_pool: tuple[int, ...]  # for all `budgets`: allocatable without a parent lease
    name_reservations: tuple[int, ...]  # for all `budgets`: reservation of each voter of the region

    def weight_of(self, region: str) -> int:
        """Return the weight of a region at the fleet's allocator."""
        return dict(self.weights).get(region, 1)


def region_of_site(regions: Sequence[Region], site: str) -> Region:
    """Return the region of a site. Raise RegionError if there is none or more than one."""
    matches = [region for region in regions if site in region.sites]
    if len(matches) != 1:
        raise RegionError(f"site {site!r} is in {len(matches)} regions, but must be in exactly one")
    return matches[0]


def plan_region(budgets: Sequence[Budget], regions: Sequence[Region], region: Region) -> RegionPlan:
    """Return a region's plan: a budget `BUDGET.SITE` belongs only to the region of SITE, if there is one."""
    owners = {site: other.name for other in regions for site in other.sites}
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
