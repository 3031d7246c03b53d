"""Fleets of several regions on the virtual clock, with budgets of two levels or, for comparison, of one.

Each region has its own voters; the fleet's voters are in different regions. Demand moves between regions.
In addition to the faults of one level, a region's or the fleet's allocator is killed or paused, and a region
is cut off from all others.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random
from statistics import median
from typing import Any, NamedTuple

from lupintack.budgets.hierarchy import Level, LevelActions, TwoLevelNode
from lupintack.budgets.invariant import BudgetState, RegionAmounts, RegionBounds
from lupintack.budgets.messages import LeaseGrant, LeaseRequest
from lupintack.budgets.node import Actions, BudgetNode
from lupintack.budgets.regions import Region, RegionPlan, plan_region
from lupintack.budgets.spending import Budget, BudgetKind
from lupintack.budgets.terms import Terms
from lupintack.lab.budget_hosts import Host, Node
from lupintack.lab.budget_results import SECOND_US, Result, summarize
from lupintack.lab.budgets import FAULT_KINDS, World
from lupintack.lab.faults import Fault

LEVEL_FAULT_KINDS = ("fleet-allocator", "region-allocator", "region-cut", "region-pause")
SHARED_FAULT_KINDS = tuple(kind for kind in FAULT_KINDS if kind != "divider")
REGION_VOTERS = 3
FLEET_VOTERS = 5
SITES_PER_REGION = 2
ALLOCATOR_PAUSE_US = 30 * SECOND_US
REGION_PAUSE_US = 12 * SECOND_US  # of half of a region's routers; longer than a lease
DEMAND_PATTERN_US = 6 * SECOND_US  # duration of one distribution of demand over the regions
DEMAND_EIGHTHS = (1, 1, 2, 8)  # of each router's equal share, multiplied by 2 or 4
RECOVERED_RESERVE_SHARE = 1.0  # a region has recovered once it leases more than this share of its reserve


@dataclass(slots=True)
class Cut:
    """Samples of a region while it was cut off and had only its own budgets, and its recovery time."""

    region: str
    from_us: int
    until_us: int
    reserve_share: list[float] = field(default_factory=list)  # leased share of the reserve
    own_share: list[float] = field(default_factory=list)  # leased share of its sites' budgets
    recovery_us: int = -1  # from the cut's end until it leases more than its reserve; -1 if never


def region_of(name: str) -> str:
    """Return the region of a host or site, which is the prefix of its name."""
    return name.partition("-")[0]


class LevelsWorld(World):
    """One run of a simulated fleet of several regions."""

    def __init__(
        self,
        seed: int,
        regions: int = 3,
        routers: int = 18,
        terms: Terms | None = None,
        kinds: Sequence[str] = SHARED_FAULT_KINDS + LEVEL_FAULT_KINDS,
        total: int = 600,
        own_total: int = 60,
        script: Sequence[Fault] | None = None,
        levels: int = 2,
        moving: bool = True,
    ) -> None:
        """Prepare a run; `total` is the fleet-wide budget, `own_total` that of each region's first site.

        `moving`: demand moves between regions; else every region demands more than the total.
        With one level, a seed gives the same fleet, faults and demand, without the sites' budgets.
        """
        self.levels, self.moving = levels, moving
        names = [f"r{n % regions}-n{n // regions}" for n in range(max(routers, regions * REGION_VOTERS))]
        site_by_name = {
            name: f"r{n % regions}-s{n // regions % SITES_PER_REGION}" for n, name in enumerate(names)
        }
        self.region_names = [f"r{n}" for n in range(regions)]
        self.set_up(seed, site_by_name, terms or Terms())
        self.voters = self.choose_fleet_voters()
        self.plans = self.make_plans(total, own_total)
        plan = self.plans["r0"]
        self.totals = tuple(
            total + sum(region.region_pool[0] for region in self.plans.values())
            for total in plan.fleet_allocatable
        )
        self.demand_random = Random(seed)
        self.factors = dict.fromkeys(self.region_names, 1)
        self.cuts: list[Cut] = []
        self.plan_faults(kinds, script)

    def choose_fleet_voters(self) -> list[str]:
        """Return an odd number of routers, in different regions as far as possible."""
        count = (
            min(FLEET_VOTERS, len(self.hosts)) if len(self.region_names) >= FLEET_VOTERS else REGION_VOTERS
        )
        voters: list[str] = []
        for n in range(count):
            region = self.region_names[n % len(self.region_names)]
            voters.append(
                self.random.choice(
                    [host for host in self.hosts if region_of(host) == region and host not in voters]
                )
            )
        return voters

    def make_plans(self, total: int, own_total: int) -> dict[str, RegionPlan]:
        """Return the regions' plans for a fleet-wide budget and the budget of one site per region."""
        regions = []
        for name in self.region_names:
            voters = [host for host in self.hosts if region_of(host) == name][:REGION_VOTERS]
            sites = sorted({site for site in self.network.sites.values() if region_of(site) == name})
            regions.append(Region(name, tuple(voters), tuple(sites)))
        budgets = [Budget("fills", total, BudgetKind.CONCURRENT)]
        budgets += [Budget(f"cold.{name}-s0", own_total, BudgetKind.CONCURRENT) for name in self.region_names]
        return {region.name: plan_region(budgets, regions, region) for region in regions}

    def draw_faults(self, kinds: Sequence[str]) -> list[Fault]:
        """Return drawn faults of one level, followed by faults specific to two levels."""
        single_level_kinds = [kind for kind in kinds if kind not in LEVEL_FAULT_KINDS]
        faults = super().draw_faults(single_level_kinds) if single_level_kinds else []
        region, first = (
            self.random.choice(self.region_names),
            8 * SECOND_US + self.random.randrange(6 * SECOND_US),
        )
        for kind in LEVEL_FAULT_KINDS:
            if kind in kinds and self.random.random() < 0.6:
                at = first + self.random.randrange(8 * SECOND_US)
                faults.append(self.draw_level_fault(kind, region, at))
        return faults

    def draw_level_fault(self, kind: str, region: str, at: int) -> Fault:
        """Return a fault of an allocator, which is killed or paused, or of a region."""
        if kind == "region-cut":
            return Fault(at, kind, self.random.choice((5, 15, 40)) * SECOND_US, (region,))
        if kind == "region-pause":
            names = [name for name in self.hosts if region_of(name) == region]
            return Fault(at, "pause", REGION_PAUSE_US, tuple(self.random.sample(names, len(names) // 2)))
        length = ALLOCATOR_PAUSE_US if self.random.random() < 0.3 else 0
        return Fault(at, kind, length, (region,) if kind == "region-allocator" else ())

    # Processes

    def make_node(self, host: Host, random: Random, now: int) -> Node:
        """Return a node of both levels, or with one level a node that leases from the same sum."""
        if self.levels == 1:
            stored = host.stored_promises.get(Level.FLEET)
            return BudgetNode(
                host.name, host.starts, self.voters, self.totals, self.terms, random, now, stored
            )
        plan = self.plans[region_of(host.name)]
        return TwoLevelNode(
            host.name,
            host.starts,
            self.voters,
            plan,
            self.terms,
            random,
            now,
            votes=True,
            stored=host.stored_promises.get,
        )

    def draw_demand(self, host: Host) -> None:
        """Set a demand from far below to far above an equal share; it differs by region and over time."""
        assert host.node is not None
        region = region_of(host.name)
        routers = len(self.hosts) // len(self.region_names)
        factor = self.factors[region] * self.random.choice((2, 4))
        demand = [self.totals[0] * factor // 8 // len(self.hosts) + 1]
        if self.levels == 2:
            demand += [amount * 2 // routers + 1 for amount in self.plans[region].region_pool[1:]]
        host.node.set_demand(demand)

    def move_demand(self) -> None:
        """Draw a new distribution of demand over the regions; the last one stays once all faults are over."""
        for region in self.region_names:
            drawn = self.demand_random.choice(DEMAND_EIGHTHS)
            self.factors[region] = drawn if self.moving else max(DEMAND_EIGHTHS)
        if self.clock.now_us + DEMAND_PATTERN_US < self.faults_end_us:
            self.clock.schedule(self.clock.now_us + DEMAND_PATTERN_US, self.move_demand)

    def perform(self, host: Host, actions: Actions | LevelActions) -> None:
        """Perform the actions of a call of either kind of node."""
        if isinstance(actions, Actions):
            super().perform(host, actions)
            return
        for stored in actions.promises:
            host.stored_promises[stored.level] = stored.promise
        for send in actions.sends:
            self.send(host, send.to, send.level, send.message)
            if send.level is Level.FLEET and isinstance(send.message, LeaseRequest | LeaseGrant):
                self.check_invariant()  # the amounts booked for a region have changed or are about to
        for event in actions.events:
            is_fleet_level = event.level is Level.FLEET
            self.record_event(host, event.event if is_fleet_level else f"region {event.event}", event.detail)

    def run(self) -> Result:
        """Run the simulation to its end and return the result."""
        self.move_demand()
        return super().run()

    # Invariant and samples

    def budget_state(self) -> BudgetState:
        """Return all unexpired leases and ledger entries of both levels."""
        leases = [RegionAmounts(region_of(host.name), host.lease_amounts) for host in self.hosts_with_lease()]
        if self.levels == 1:
            return BudgetState(self.totals, tuple(RegionBounds(r, (0,)) for r in self.region_names), leases)
        bounds = tuple(
            RegionBounds(name, plan.region_pool[: plan.fleet_wide], plan.region_pool[plan.fleet_wide :])
            for name, plan in self.plans.items()
        )
        fleet_allocatable = self.plans[self.region_names[0]].fleet_allocatable
        return BudgetState(fleet_allocatable, bounds, leases, self.parent_leases(), self.bookings())

    def parent_leases(self) -> list[RegionAmounts]:
        """Return the parent lease of each process that requests leases for a region."""
        leases = []
        for host in self.hosts.values():
            if isinstance(host.node, TwoLevelNode) and host.node.fleet.requests_leases:
                leased_amounts = host.node.fleet.leased_amounts(host.local_us(self.clock.now_us))
                leases.append(RegionAmounts(region_of(host.name), leased_amounts))
        return leases

    def bookings(self) -> list[RegionAmounts] | None:
        """Return the ledger of the fleet's allocator once its wait for older leases is over, else None."""
        for host in self.hosts.values():
            now = host.local_us(self.clock.now_us)
            if isinstance(host.node, TwoLevelNode) and host.node.fleet.is_allocator(now):
                allocator = host.node.fleet.allocator
                if allocator is not None and now >= allocator.ready_us:
                    ledger = allocator.ledger.items()
                    return [
                        RegionAmounts(key[0], entry.amounts) for key, entry in ledger if now < entry.until_us
                    ]
        return None

    def can_elect(self) -> bool:
        """Return whether a majority of voters is alive, of the fleet's and of each region's."""
        if self.levels == 1:
            return super().can_elect()
        regions = all(self.has_live_majority(plan.region.voters) for plan in self.plans.values())
        return regions and super().can_elect()

    def sample(self) -> None:
        """Sample the leased share, and schedule the next sample."""
        super().sample()
        for cut in self.cuts:
            self.sample_cut(cut)

    def sample_cut(self, cut: Cut) -> None:
        """Sample a region once its parent lease must have expired during a cut, and its later recovery."""
        now = self.clock.now_us
        plan = self.plans[cut.region]
        leases = [
            host.lease_amounts for host in self.hosts_with_lease() if region_of(host.name) == cut.region
        ]
        amount = sum(amounts[0] for amounts in leases)
        if cut.from_us + 2 * self.terms.lease_us <= now < cut.until_us:
            cut.reserve_share.append(amount / plan.region_pool[0])
            own_pool = plan.region_pool[plan.fleet_wide :]
            if own_pool and self.levels == 2:
                cut.own_share.append(sum(amounts[1] for amounts in leases) / own_pool[0])
        if (
            now >= cut.until_us
            and cut.recovery_us < 0
            and amount > RECOVERED_RESERVE_SHARE * plan.region_pool[0]
        ):
            cut.recovery_us = now - cut.until_us

    # Faults

    def begin_fault(self, fault: Fault) -> None:
        """Begin a fault; with one level a region allocator's fault is applied to the region's first voter."""
        if fault.kind == "fleet-allocator":
            self.disrupt([host for host in self.hosts.values() if self.allocates(host)], fault)
        elif fault.kind == "region-allocator":
            self.disrupt(self.region_allocators(fault.targets[0]), fault)
        elif fault.kind == "region-cut":
            self.cuts.append(Cut(fault.targets[0], fault.at_us, fault.end_us()))
            pairs = self.pairs_across(fault.targets[0])
            self.network.cut_pairs.update(pairs)
            self.clock.schedule(fault.end_us(), self.network.cut_pairs.difference_update, pairs)
        else:
            super().begin_fault(fault)

    def pairs_across(self, region: str) -> set[tuple[str, str]]:
        """Return all pairs, in both directions, of a router inside the region and one outside."""
        inside = [name for name in self.hosts if region_of(name) == region]
        outside = [name for name in self.hosts if region_of(name) != region]
        outgoing = {(sender, receiver) for sender in inside for receiver in outside}
        return outgoing | {(receiver, sender) for sender, receiver in outgoing}

    def allocates(self, host: Host) -> bool:
        """Return whether this process is the fleet's allocator or still acts as one after its term."""
        if isinstance(host.node, TwoLevelNode):
            return host.node.fleet.allocator is not None
        return super().allocates(host)

    def region_allocators(self, region: str) -> list[Host]:
        """Return the processes that are a region's allocator or still act as one after their term."""
        hosts = [host for host in self.hosts.values() if region_of(host.name) == region]
        if self.levels == 1:
            return [host for host in hosts[:1] if host.node is not None]
        return [h for h in hosts if isinstance(h.node, TwoLevelNode) and h.node.region.allocator is not None]


class LevelsResult(NamedTuple):
    """The result of one run, and the samples of regions that were cut off."""

    result: Result
    cuts: list[Cut]


def play(seed: int, regions: int, routers: int, levels: int) -> LevelsResult:
    """Run one simulation; a function of the module, so that a process pool can pickle it."""
    world = LevelsWorld(seed, regions, routers, levels=levels)
    return LevelsResult(world.run(), world.cuts)


def summarize_levels(runs: Sequence[LevelsResult]) -> dict[str, Any]:
    """Return the figures of all runs, as with one level, and those of regions that were cut off."""
    cuts = [cut for run in runs for cut in run.cuts]
    reserve_shares = [share for cut in cuts for share in cut.reserve_share]
    own_shares = [share for cut in cuts for share in cut.own_share]
    recoveries_us = [cut.recovery_us for cut in cuts if cut.recovery_us >= 0]
    return summarize([run.result for run in runs]) | {
        "cuts": len(cuts),
        "cut_reserve_share": round(sum(reserve_shares) / len(reserve_shares), 3) if reserve_shares else None,
        "cut_own_share": round(sum(own_shares) / len(own_shares), 3) if own_shares else None,
        "whole_again_p50_s": round(median(recoveries_us) / SECOND_US, 2) if recoveries_us else None,
        "whole_again_max_s": round(max(recoveries_us) / SECOND_US, 2) if recoveries_us else None,
        "not_whole_again": len(cuts) - len(recoveries_us),
    }
