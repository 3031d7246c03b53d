"""A router's budgets at one level or at two, as `BudgetService` drives them: node, wire and status by level.

Both have the same methods: the service knows neither the version of the wire nor how many voters a name is.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

from lupintack.budgets.codec import BudgetCodec, TwoLevelCodec
from lupintack.budgets.hierarchy import Level, LevelActions, LevelSend, TwoLevelNode
from lupintack.budgets.node import Actions, BudgetNode
from lupintack.budgets.regions import RegionPlan
from lupintack.budgets.reservation import allocatable, reservations
from lupintack.budgets.spending import Budget
from lupintack.budgets.terms import Terms
from lupintack.budgets.voter import Promise
from lupintack.membership.messages import MessageCodec

PromiseReader = Callable[[Level], Promise | None]  # what the process before promised at a level


@dataclass(frozen=True, slots=True)
class ReceivedDatagram:
    """A decoded datagram: its sender, the address for answers, and the call on the node."""

    sender: str
    address: str
    call: Callable[[int], LevelActions | Actions]


@dataclass(frozen=True, slots=True)
class RouterIdentity:
    """The identity and terms of this process."""

    name: str
    start: int
    voters: tuple[str, ...]  # of the fleet's level
    terms: Terms


class Levels(Protocol):
    """The interface of either kind to the service."""

    budgets: tuple[Budget, ...]
    reservations: tuple[int, ...]  # of each budget, for this name

    @property
    def node(self) -> BudgetNode | TwoLevelNode:
        """The node that is ticked."""

    @property
    def holder_node(self) -> BudgetNode:
        """The level at which this process holds leases to spend."""

    def become_voter(self, read_promise: PromiseReader, now: int) -> None:
        """Vote for this process's name from now on, at each level where the name is a voter."""

    def decode(self, raw: bytes) -> ReceivedDatagram:
        """Decode a datagram; raises Bad for one that can't be read."""

    def encode(self, sender: str, address: str, send: LevelSend) -> bytes:
        """Return the datagram for a message."""

    def status(self, now: int) -> dict[str, Any]:
        """Return the fields for operators that differ between the kinds."""


class OneLevel:
    """The fleet's allocator leases to each router."""

    def __init__(
        self,
        router: RouterIdentity,
        budgets: Sequence[Budget],
        names: Sequence[str],
        codec: MessageCodec,
        now: int,
    ) -> None:
        """`names`: those that have reservations."""
        self.budgets = tuple(budgets)
        self.reservations = tuple(
            reservations(b.total_units, b.reserved_per_mille, names).get(router.name, 0) for b in self.budgets
        )
        allocatable_units = [allocatable(b.total_units, b.reserved_per_mille, names) for b in self.budgets]
        self.codec = BudgetCodec(codec, len(self.budgets))
        self.node = BudgetNode(
            router.name,
            router.start,
            router.voters,
            allocatable_units,
            router.terms,
            Random(router.start),
            now,
            votes=False,
        )

    @property
    def holder_node(self) -> BudgetNode:
        """The only level."""
        return self.node

    def become_voter(self, read_promise: PromiseReader, now: int) -> None:
        """See Levels."""
        self.node.become_voter(read_promise(Level.FLEET), now)

    def decode(self, raw: bytes) -> ReceivedDatagram:
        """See Levels."""
        sender, address, message = self.codec.decode(raw)
        return ReceivedDatagram(sender, address, lambda now: self.node.receive(sender, message, now))

    def encode(self, sender: str, address: str, send: LevelSend) -> bytes:
        """See Levels."""
        return self.codec.encode(sender, address, send.message)

    def status(self, now: int) -> dict[str, Any]:
        """See Levels."""
        return {"level": Level.FLEET.value}


class TwoLevels:
    """The region's allocator leases to each router of the region, and holds a lease of the fleet's."""

    def __init__(self, router: RouterIdentity, plan: RegionPlan, codec: MessageCodec, now: int) -> None:
        """A router of this plan's region."""
        self.budgets, self.plan = plan.budgets, plan
        is_voter = router.name in plan.region.voters
        self.reservations = plan.name_reservations if is_voter else (0,) * len(plan.budgets)
        self.codec = TwoLevelCodec(codec, plan.region.name, plan.fleet_wide, len(plan.budgets))
        self.node = TwoLevelNode(
            router.name, router.start, router.voters, plan, router.terms, Random(router.start), now
        )

    @property
    def holder_node(self) -> BudgetNode:
        """The region's level."""
        return self.node.region

    def become_voter(self, read_promise: PromiseReader, now: int) -> None:
        """See Levels."""
        self.node.become_voter(read_promise, now)

    def decode(self, raw: bytes) -> ReceivedDatagram:
        """See Levels."""
        sender, address, level, message = self.codec.decode(raw)
        return ReceivedDatagram(sender, address, lambda now: self.node.receive(sender, level, message, now))

    def encode(self, sender: str, address: str, send: LevelSend) -> bytes:
        """See Levels."""
        return self.codec.encode(sender, address, send.level, send.message)

    def status(self, now: int) -> dict[str, Any]:
        """See Levels."""
        fleet = self.node.fleet
        return {
            "level": Level.REGION.value,
            "region": self.plan.region.name,
            "fleet": {
                **allocation_status(fleet, now),
                "given": allocated_units(fleet, now),
                "budgets": [budget.name for budget in self.budgets[: self.plan.fleet_wide]],
            },
            "parent_lease": self._parent_lease(now),
        }

    def _parent_lease(self, now: int) -> dict[str, Any] | None:
        """Return the parent lease that this process has as its region's allocator; None for others."""
        node = self.node
        if not node.region.is_allocator(now):
            return None
        fleet_wide = self.plan.fleet_wide
        return {
            "ends_ms": max(0, node.fleet.holder.until_us - now) // 1000,
            "amounts": list(node.fleet.leased_amounts(now)),
            "covered": list(node.parent.covered),
            "reserved": list(self.plan.region_pool[:fleet_wide]),
        }


def build_levels(
    router: RouterIdentity,
    budgets: Sequence[Budget],
    names: Sequence[str],
    codec: MessageCodec,
    plan: RegionPlan | None,
    now: int,
) -> Levels:
    """Return budgets of two levels where there is a plan, else of one."""
    if plan is not None:
        return TwoLevels(router, plan, codec, now)
    return OneLevel(router, budgets, names, codec, now)


def allocation_status(node: BudgetNode, now: int) -> dict[str, Any]:
    """Return who allocates at a level, as far as this process knows, and whom it promised its vote."""
    is_allocator = node.is_allocator(now)
    return {
        "epoch": list(node.leader) if node.leader is not None else None,
        "divides": is_allocator,
        "ready": is_allocator and node.allocator is not None and now >= node.allocator.ready_us,
        "votes_for": list(node.voter.promised_to(now) or ()) if node.voter is not None else None,
    }


def allocated_units(node: BudgetNode, now: int) -> list[int] | None:
    """Return the granted units of each budget at a level; None where this process doesn't allocate there."""
    if node.allocator is None or not node.is_allocator(now):
        return None
    return list(node.allocator.allocated())


def as_level_actions(node_actions: LevelActions | Actions) -> LevelActions:
    """Return the actions of one level as those of the fleet's level."""
    if isinstance(node_actions, LevelActions):
        return node_actions
    actions = LevelActions()
    actions.add(Level.FLEET, node_actions)
    return actions
