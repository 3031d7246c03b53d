"""Plans the routers of a scale run, their regions, zones and sites, and the budgets that they share."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

VOTERS = 5
REGION_VOTERS = 3
MAX_ROUTERS = 3_000
STORE_FILLS_PER_ROUTER = 4  # units of the total for each router
WARMING_PARENT_SLOTS = 64
WARMING_CACHE_SLOTS_PER_ROUTER = 2
RESERVED_PER_MILLE = 100


class ScaleError(ValueError):
    """A run can't be started; the text gives the reason in one line."""


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Numbers of routers, regions, zones and sites."""

    routers: int
    regions: int
    zones: int
    sites: int

    def check(self) -> None:
        """Raise ScaleError if a group would be empty or there are too many routers."""
        if not 1 <= self.regions <= self.zones <= self.sites <= self.routers:
            raise ScaleError(
                "regions <= zones <= sites <= routers is required, each at least 1, not "
                f"{self.regions}, {self.zones}, {self.sites}, {self.routers}"
            )
        if self.routers > MAX_ROUTERS:
            raise ScaleError(f"--routers: at most {MAX_ROUTERS}, not {self.routers}")


class RouterPlan(msgspec.Struct, frozen=True):
    """One hollow router: its name, site, zone, region, and port on loopback."""

    name: str
    site: str
    zone: str
    region: str
    port: int

    @property
    def address(self) -> str:
        """The address of its datagrams and exchanges."""
        return f"127.0.0.1:{self.port}"


class BudgetPlan(msgspec.Struct, frozen=True):
    """One budget that all routers share: a limit of concurrent units."""

    name: str
    total: int
    site: str = ""  # empty: used at all sites
    reserved_per_mille: int = RESERVED_PER_MILLE


class RegionSetup(msgspec.Struct, frozen=True):
    """A region with an allocator of its own: its voters and sites."""

    name: str
    voters: tuple[str, ...]
    sites: tuple[str, ...]


def plan_routers(size: FleetSize, ports: Sequence[int]) -> tuple[RouterPlan, ...]:
    """Return the routers of a run, evenly distributed over the groups; `ports`: one for each."""
    routers = []
    for number, port in zip(range(size.routers), ports, strict=True):
        site = number % size.sites
        zone = site % size.zones
        region = zone % size.regions
        routers.append(RouterPlan(f"h{number:04d}", f"s{site:03d}", f"z{zone:02d}", f"r{region:02d}", port))
    return tuple(routers)


def plan_voters(routers: Sequence[RouterPlan]) -> tuple[RouterPlan, ...]:
    """Return the voters, which are also the seeds: the first routers, which are in different groups."""
    count = VOTERS if len(routers) >= VOTERS else 1
    return tuple(routers[:count])


def plan_regions(routers: Sequence[RouterPlan]) -> tuple[RegionSetup, ...]:
    """Return all regions for budgets of two levels, with the first routers of each as voters."""
    setups = []
    for region in sorted({router.region for router in routers}):
        members = [router for router in routers if router.region == region]
        count = REGION_VOTERS if len(members) >= REGION_VOTERS else 1
        voters = tuple(router.name for router in members[:count])
        setups.append(RegionSetup(region, voters, tuple(sorted({router.site for router in members}))))
    return tuple(setups)


def plan_budgets(routers: Sequence[RouterPlan], site_budgets: bool) -> tuple[BudgetPlan, ...]:
    """Return two budgets of the whole fleet and, with `site_budgets`, one for each site."""
    budgets = [
        BudgetPlan("cold-parents", WARMING_PARENT_SLOTS),
        BudgetPlan("store-fills", STORE_FILLS_PER_ROUTER * len(routers)),
    ]
    if site_budgets:
        counts = Counter(router.site for router in routers)
        budgets += [
            BudgetPlan(f"cold-caches.{site}", WARMING_CACHE_SLOTS_PER_ROUTER * count, site)
            for site, count in sorted(counts.items())
        ]
    return tuple(budgets)
