"""State of the search over budgets of two levels, and the invariant that is checked in each state."""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable
from copy import copy
from dataclasses import dataclass, field
from typing import NamedTuple

from lupintack.budgets.allocator import Allocator
from lupintack.budgets.hierarchy import TwoLevelNode
from lupintack.budgets.invariant import BudgetState, RegionAmounts, RegionBounds, Violation, violations
from lupintack.budgets.lease import LeaseHolder
from lupintack.budgets.messages import LeaseGrant, LeaseRequest, SubLeaseGrant
from lupintack.budgets.regions import Region, RegionPlan
from lupintack.budgets.spending import Budget, BudgetKind
from lupintack.budgets.terms import MILLION, Terms

TERMS = Terms(
    promise_us=3_000,
    lease_us=5_000,
    drift_ppm=100_000,
    request_interval_us=800,
    retry_us=200,
    share_interval_us=0,
)
FLEET_TOTAL_UNITS, RESERVE, DEMAND = 2, 1, 3
REGION, OTHER = "west", "east"
FLEET_ALLOCATORS, REGION_ALLOCATORS, ROUTERS = ("F1", "F2"), ("R1", "R2"), ("a", "b")
BEGIN_US = 100_000
ENDLESS_US = 1 << 60
BOUNDS = (RegionBounds(REGION, (RESERVE,)), RegionBounds(OTHER, (0,)))
PLAN = RegionPlan(
    Region(REGION, REGION_ALLOCATORS, ()),
    ((REGION, 1), (OTHER, 1)),
    (Budget("fills", FLEET_TOTAL_UNITS + RESERVE, BudgetKind.CONCURRENT),),
    1,
    (FLEET_TOTAL_UNITS,),
    (RESERVE,),
    (0,),
)


class Envelope(NamedTuple):
    """A message in flight."""

    to: str
    sender: str
    message: LeaseRequest | LeaseGrant | SubLeaseGrant


class Step(NamedTuple):
    """One step of a process, of the network (`envelope`) or of time (`at_us`, in true time)."""

    kind: str
    name: str = ""
    envelope: Envelope | None = None
    at_us: int = 0

    def __str__(self) -> str:
        """Return the step as a line of a script."""
        return "\t".join(map(str, (self.kind, self.name, self.envelope or "", self.at_us)))


class Rates(NamedTuple):
    """Clock rates, in ppm, of the fleet's allocators, the region's allocators and the lease holders."""

    fleet: int
    region: int
    holders: int


def ledger_key(allocator: Allocator) -> Hashable:
    """Return everything that an allocator's next actions can depend on."""
    rows = [
        (
            key,
            entry.sequence,
            entry.demand,
            entry.amounts,
            entry.until_us,
            entry.granted,
            entry.granted_until_us,
        )
        for key, entry in allocator.ledger.items()
    ]
    return (allocator.epoch, allocator.elected_us, *rows)


def holder_key(holder: LeaseHolder) -> Hashable:
    """Return everything that a lease holder's next actions can depend on."""
    return (
        holder.name,
        holder.start,
        holder.amounts,
        holder.until_us,
        holder.is_answered,
        holder.last_request,
    )


def clone_node(node: TwoLevelNode) -> TwoLevelNode:
    """Return an independent copy; elections are shared, since they are never modified in place."""
    cloned = copy(node)
    cloned.fleet, cloned.region, cloned.parent = copy(node.fleet), copy(node.region), copy(node.parent)
    cloned.fleet.holder = copy(node.fleet.holder)
    if node.parent.holder is node.fleet.holder:
        cloned.parent.holder = cloned.fleet.holder
    if node.region.allocator is not None:
        cloned.region.allocator = node.region.allocator.clone()
    return cloned


def node_key(node: TwoLevelNode) -> Hashable:
    """Return everything that a region allocator's next actions can depend on."""
    allocator, parent = node.region.allocator, node.parent
    return (
        node.region.election is not None and node.region.election.until_us,
        allocator is not None and ledger_key(allocator),
        allocator is not None and (allocator.allocatable, allocator.ceiling, allocator.expires_by_us),
        holder_key(node.fleet.holder),
        node.fleet.requests_leases,
        node.fleet.demand,
        node.fleet.in_use,
        parent.covered,
        parent.seen_request,
        parent.seen_grant,
        node.tenure,
    )


@dataclass(slots=True)
class LevelState:
    """The state of all processes and messages, and counts of the bounded actions."""

    rates: Rates
    now: int = BEGIN_US
    fleet: dict[str, Allocator] = field(default_factory=dict)  # by tenure; the last is current
    nodes: dict[str, TwoLevelNode] = field(default_factory=dict)  # likewise, of the region
    holders: dict[str, LeaseHolder] = field(default_factory=dict)
    envelopes: list[Envelope] = field(default_factory=list)
    requests: int = 0
    parent_requests: int = 0
    duplicates: int = 0
    crashes: int = 0

    def fork(self) -> LevelState:
        """Return an independent copy."""
        forked = copy(self)
        forked.fleet = {name: value.clone() for name, value in self.fleet.items()}
        forked.nodes = {name: clone_node(value) for name, value in self.nodes.items()}
        forked.holders = {name: copy(value) for name, value in self.holders.items()}
        forked.envelopes = list(self.envelopes)
        return forked

    def key(self) -> int:
        """Return a hash; the search treats states of the same hash as equal."""
        counts = (self.now, self.requests, self.parent_requests, self.duplicates, self.crashes)
        fleet = tuple(map(ledger_key, self.fleet.values()))
        nodes = tuple(map(node_key, self.nodes.values()))
        holders = tuple(map(holder_key, self.holders.values()))
        return hash((counts, fleet, nodes, holders, frozenset(Counter(self.envelopes).items())))

    def local_us(self, rate_ppm: int) -> int:
        """Return the current time of a clock of this rate."""
        return self.now * rate_ppm // MILLION

    @property
    def allocator(self) -> Allocator:
        """The fleet's allocator of the current tenure."""
        return self.fleet[list(self.fleet)[-1]]

    @property
    def node(self) -> TwoLevelNode:
        """The region's allocator of the current tenure."""
        return self.nodes[list(self.nodes)[-1]]

    def violations(self) -> list[Violation]:
        """Return the invariant's violations in this state."""
        holder_us, region_us = self.local_us(self.rates.holders), self.local_us(self.rates.region)
        leases = [RegionAmounts(REGION, self.holders[name].leased_amounts(holder_us)) for name in ROUTERS]
        other = RegionAmounts(OTHER, self.holders[OTHER].leased_amounts(holder_us))
        parents = [
            RegionAmounts(REGION, node.fleet.leased_amounts(region_us)) for node in self.nodes.values()
        ]
        fleet_us = self.local_us(self.rates.fleet)
        bookings = None
        if fleet_us >= self.allocator.ready_us:
            ledger = self.allocator.ledger.items()
            bookings = [
                RegionAmounts(key[0], entry.amounts) for key, entry in ledger if fleet_us < entry.until_us
            ]
        return violations(
            BudgetState((FLEET_TOTAL_UNITS,), BOUNDS, [*leases, other], [*parents, other], bookings)
        )
