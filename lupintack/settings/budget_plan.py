"""Converts the operator file's [budgets] to budgets and regions, and checks what types can't express."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from lupintack.settings.errors import ConfigError

if TYPE_CHECKING:  # imported only if budgets are enabled
    from lupintack.budgets.regions import Region, RegionPlan
    from lupintack.budgets.spending import Budget
    from lupintack.settings.operator import Budgets

ALLOWED_VOTER_COUNTS = (1, 3, 5, 7, 9)


def budget(name: str, total: int, is_concurrent: bool, reserved_per_mille: int) -> Budget:
    """Return a budget as given in the operator file."""
    from lupintack.budgets.spending import Budget, BudgetKind

    kind = BudgetKind.CONCURRENT if is_concurrent else BudgetKind.RATE
    return Budget(name, total, kind, reserved_per_mille=reserved_per_mille)


def budget_list(table: Budgets) -> list[Budget]:
    """Return all budgets, in the order of the amounts in the routers' messages."""
    reserved = table.floor_percent * 10
    return [
        *(budget(name, total, False, reserved) for name, total in sorted(table.per_second.items())),
        *(budget(name, total, True, reserved) for name, total in sorted(table.at_once.items())),
    ]


def region_list(table: Budgets) -> list[Region]:
    """Return the regions ordered by name; empty if budgets have one level."""
    from lupintack.budgets.regions import Region

    return [Region(name, entry.voters, entry.sites) for name, entry in sorted(table.regions.items())]


def plan_for(table: Budgets, name: str, site: str) -> RegionPlan | None:
    """Return the region plan of a router by name and site; None if budgets have one level.

    Raises ConfigError if no region lists its site, or if it is a voter of a region that is not its own.
    """
    from lupintack.budgets.regions import RegionError, plan_region, region_of_site

    regions = region_list(table)
    if not regions:
        return None
    try:
        own = region_of_site(regions, site)
    except RegionError as error:
        raise ConfigError(f"[budgets.regions]: {error}") from None
    for region in regions:
        if name in region.voters and region is not own:
            raise ConfigError(
                f"[budgets.regions.{region.name}] voters: {name!r} is this router, "
                f"whose site {site!r} is listed in [budgets.regions.{own.name}]"
            )
    return plan_region(budget_list(table), regions, own)


def check_budgets(table: Budgets, file: str) -> None:
    """Raise ConfigError, in one line, if the values of the table contradict each other."""
    if len(set(table.voters)) not in ALLOWED_VOTER_COUNTS:
        raise ConfigError(f"{file}: [budgets] voters: expected an odd number of different names")
    if set(table.per_second) & set(table.at_once):
        raise ConfigError(f"{file}: [budgets] at_once: a name is also listed in per_second")
    if table.regions and table.names:
        raise ConfigError(
            f"{file}: [budgets] names: with regions, only the voters of each region have floors"
        )
    _check_regions(region_list(table), file)
    _check_sizes(table, file)


def _check_regions(regions: Sequence[Region], file: str) -> None:
    """Check that each region has voters and sites, and shares none with another region."""
    owners: dict[tuple[str, str], str] = {}
    for region in regions:
        title = f"{file}: [budgets.regions.{region.name}]"
        if not region.name:
            raise ConfigError(f"{title}: a region's name must not be empty")
        if len(region.voters) not in ALLOWED_VOTER_COUNTS or len(set(region.voters)) != len(region.voters):
            raise ConfigError(f"{title} voters: expected an odd number of different names")
        if not region.sites:
            raise ConfigError(f"{title} sites: expected at least one")
        for key, values in (("voters", region.voters), ("sites", region.sites)):
            for value in values:
                other = owners.setdefault((key, value), region.name)
                if other != region.name:
                    raise ConfigError(f"{title} {key}: {value!r} is also listed in [budgets.regions.{other}]")


def _check_sizes(table: Budgets, file: str) -> None:
    """Check that each message fits into one datagram."""
    from lupintack.budgets.codec import MAX_AMOUNT, MAX_DATAGRAM_BYTES, largest_datagram_bytes
    from lupintack.budgets.regions import plan_region

    budgets, regions = budget_list(table), region_list(table)
    sizes = {}
    if not regions:
        sizes["[budgets]"] = largest_datagram_bytes([budget.total_units for budget in budgets])
    for region in regions:
        plan = plan_region(budgets, regions, region)
        # A region's request to the fleet is the sum of its routers' requests, so no total bounds it.
        sizes["[budgets.regions]"] = largest_datagram_bytes([MAX_AMOUNT] * plan.fleet_wide)
        size = largest_datagram_bytes([budget.total_units for budget in plan.budgets], region.name)
        sizes[f"[budgets.regions.{region.name}]"] = size
    for title, size in sizes.items():
        if size > MAX_DATAGRAM_BYTES:
            raise ConfigError(
                f"{file}: {title}: a request could take {size} bytes, a datagram has {MAX_DATAGRAM_BYTES}: "
                "use fewer budgets or smaller regions"
            )
