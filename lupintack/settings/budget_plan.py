"""The operator file's [budgets] as budgets and regions, with what the types can't say."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from lupintack.settings.errors import ConfigError

if TYPE_CHECKING:  # loaded only where budgets are divided
    from lupintack.budgets.regions import Region, RegionPlan
    from lupintack.budgets.spending import Budget
    from lupintack.settings.operator import Budgets

ALLOWED_VOTER_COUNTS = (1, 3, 5, 7, 9)


def budget(name: str, whole: int, once: bool, reserved_per_mille: int) -> Budget:
    """A budget as the operator file words it."""
    from lupintack.budgets.spending import Budget, BudgetKind

    kind = BudgetKind.CONCURRENT if once else BudgetKind.RATE
    return Budget(name, whole, kind, reserved_per_mille=reserved_per_mille)


def budget_list(table: Budgets) -> list[Budget]:
    """All budgets, in the order in which amounts stand in the routers' messages."""
    reserved = table.floor_percent * 10
    return [
        *(budget(name, whole, False, reserved) for name, whole in sorted(table.per_second.items())),
        *(budget(name, whole, True, reserved) for name, whole in sorted(table.at_once.items())),
    ]


def region_list(table: Budgets) -> list[Region]:
    """The regions by name; none: budgets have one level."""
    from lupintack.budgets.regions import Region

    return [Region(name, one.voters, one.sites) for name, one in sorted(table.regions.items())]


def plan_for(table: Budgets, name: str, site: str) -> RegionPlan | None:
    """What a router of this name and site goes by; None where budgets have one level.

    ConfigError where its site stands in no region, or where it votes in a region that is not its own.
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
                f"whose site {site!r} stands in [budgets.regions.{own.name}]"
            )
    return plan_region(budget_list(table), regions, own)


def check_budgets(table: Budgets, file: str) -> None:
    """ConfigError, in one line, for a table that can't be used as a whole."""
    if len(set(table.voters)) not in ALLOWED_VOTER_COUNTS:
        raise ConfigError(f"{file}: [budgets] voters: an odd number of different names is wanted")
    if set(table.per_second) & set(table.at_once):
        raise ConfigError(f"{file}: [budgets] at_once: a name stands in per_second, too")
    if table.regions and table.names:
        raise ConfigError(
            f"{file}: [budgets] names: with regions it is each region's voters that have floors"
        )
    _check_regions(region_list(table), file)
    _check_sizes(table, file)


def _check_regions(regions: Sequence[Region], file: str) -> None:
    """Each region has voters and sites, and none that another has."""
    owners: dict[tuple[str, str], str] = {}
    for region in regions:
        title = f"{file}: [budgets.regions.{region.name}]"
        if not region.name:
            raise ConfigError(f"{title}: a region's name is wanted")
        if len(region.voters) not in ALLOWED_VOTER_COUNTS or len(set(region.voters)) != len(region.voters):
            raise ConfigError(f"{title} voters: an odd number of different names is wanted")
        if not region.sites:
            raise ConfigError(f"{title} sites: one is wanted at least")
        for key, values in (("voters", region.voters), ("sites", region.sites)):
            for value in values:
                other = owners.setdefault((key, value), region.name)
                if other != region.name:
                    raise ConfigError(f"{title} {key}: {value!r} stands in [budgets.regions.{other}], too")


def _check_sizes(table: Budgets, file: str) -> None:
    """Each message goes into one datagram."""
    from lupintack.budgets.codec import MAX_AMOUNT, MAX_DATAGRAM_BYTES, largest_datagram_bytes
    from lupintack.budgets.regions import plan_region

    budgets, regions = budget_list(table), region_list(table)
    sizes = {}
    if not regions:
        sizes["[budgets]"] = largest_datagram_bytes([one.total_units for one in budgets])
    for region in regions:
        plan = plan_region(budgets, regions, region)
        # What a region asks of the fleet adds up what its routers ask, so no whole bounds it.
        sizes["[budgets.regions]"] = largest_datagram_bytes([MAX_AMOUNT] * plan.fleet_wide)
        size = largest_datagram_bytes([one.total_units for one in plan.budgets], region.name)
        sizes[f"[budgets.regions.{region.name}]"] = size
    for title, size in sizes.items():
        if size > MAX_DATAGRAM_BYTES:
            raise ConfigError(
                f"{file}: {title}: a request could take {size} bytes, a datagram has {MAX_DATAGRAM_BYTES}: "
                "fewer budgets, or smaller regions, are wanted"
            )
