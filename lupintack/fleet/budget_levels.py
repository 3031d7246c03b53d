"""A router's budgets at one level or at two, with one interface for `BudgetService`.

The service depends neither on the version of the encoding nor on the levels at which a name votes.
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

PromiseReader = Callable[[Level], Promise | None]  # returns a level's stored promise, if valid


@dataclass(frozen=True, slots=True)
class ReceivedDatagram:
    """A decoded datagram: its sender, the address for replies, and the call that applies it to the node."""

    sender: str
    address: str
    call: Callable[[int], LevelActions | Actions]


@dataclass(frozen=True, slots=True)
class RouterIdentity:
    """The identity and terms of this process."""

    name: str
    start: int
    voters: tuple[str, ...]  # voters at the fleet level
    terms: Terms


class Levels(Protocol):
    """The interface of `OneLevel` and `TwoLevels` to the service."""

    budgets: tuple[Budget, ...]
    reservations: tuple[int, ...]  # of each budget, for this name

    @property
    def node(self) -> BudgetNode | TwoLevelNode:
        """The node to tick."""

    @property
    def holder_node(self) -> BudgetNode:
        """The node of the level at which this process holds leases to spend."""

    def become_voter(self, read_promise: PromiseReader, now_us: int) -> None:
        """Start to vote under this process's name, at each level where the name is a voter."""

    def decode(self, raw: bytes) -> ReceivedDatagram:
        """Decode a datagram; raises MessageError for an invalid one."""

    def encode(self, sender: str, address: str, send: LevelSend) -> bytes:
        """Return the datagram for a message."""

    def status(self, now_us: int) -> dict[str, Any]:
        """Return the fields of the status page that depend on the number of levels."""


class OneLevel:
    """One level: the fleet's allocator leases budgets to each router."""

    def __init__(
        self,
        router: RouterIdentity,
        budgets: Sequence[Budget],
        names: Sequence[str],
        codec: MessageCodec,
        now_us: int,
    ) -> None:
        """`names`: the router names that have reservations."""
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
            now_us,
            votes=False,
        )

    @property
    def holder_node(self) -> BudgetNode:
        """The node of the only level."""
        return self.node

    def become_voter(self, read_promise: PromiseReader, now_us: int) -> None:
        """See Levels."""
        self.node.become_voter(read_promise(Level.FLEET), now_us)

    def decode(self, raw: bytes) -> ReceivedDatagram:
        """See Levels."""
        sender, address, message = self.codec.decode(raw)
        return ReceivedDatagram(sender, address, lambda now_us: self.node.receive(sender, message, now_us))

    def encode(self, sender: str, address: str, send: LevelSend) -> bytes:
        """See Levels."""
        return self.codec.encode(sender, address, send.message)

    def status(self, now_us: int) -> dict[str, Any]:
        """See Levels."""
        return {"level": Level.FLEET.value}


class TwoLevels:
    """Two levels: a region's allocator leases to its routers and holds a lease of the fleet's allocator."""

    def __init__(self, router: RouterIdentity, plan: RegionPlan, codec: MessageCodec, now_us: int) -> None:
        """Create the nodes of a router in the region of `plan`."""
        self.budgets, self.plan = plan.budgets, plan
        is_voter = router.name in plan.region.voters
        self.reservations = plan.name_reservations if is_voter else (0,) * len(plan.budgets)
        self.codec = TwoLevelCodec(codec, plan.region.name, plan.fleet_wide, len(plan.budgets))
        self.node = TwoLevelNode(
            router.name, router.start, router.voters, plan, router.terms, Random(router.start), now_us
        )

    @property
    def holder_node(self) -> BudgetNode:
        """The node of the region's level."""
        return self.node.region

    def become_voter(self, read_promise: PromiseReader, now_us: int) -> None:
        """See Levels."""
        self.node.become_voter(read_promise, now_us)

    def decode(self, raw: bytes) -> ReceivedDatagram:
        """See Levels."""
        sender, address, level, message = self.codec.decode(raw)
        return ReceivedDatagram(
            sender, address, lambda now_us: self.node.receive(sender, level, message, now_us)
        )

    def encode(self, sender: str, address: str, send: LevelSend) -> bytes:
        """See Levels."""
        return self.codec.encode(sender, address, send.level, send.message)

    def status(self, now_us: int) -> dict[str, Any]:
        """See Levels."""
        fleet = self.node.fleet
        return {
            "level": Level.REGION.value,
            "region": self.plan.region.name,
            "fleet": {
                **allocation_status(fleet, now_us),
                "given": allocated_units(fleet, now_us),
                "budgets": [budget.name for budget in self.budgets[: self.plan.fleet_wide]],
            },
            "parent_lease": self._parent_lease(now_us),
        }

    def _parent_lease(self, now_us: int) -> dict[str, Any] | None:
        """Return the parent lease of this process; None if it is not its region's allocator."""
        node = self.node
        if not node.region.is_allocator(now_us):
            return None
        fleet_wide = self.plan.fleet_wide
        return {
            "ends_ms": max(0, node.fleet.holder.until_us - now_us) // 1000,
            "amounts": list(node.fleet.leased_amounts(now_us)),
            "covered": list(node.parent.covered),
            "reserved": list(self.plan.region_pool[:fleet_wide]),
        }


def build_levels(
    router: RouterIdentity,
    budgets: Sequence[Budget],
    names: Sequence[str],
    codec: MessageCodec,
    plan: RegionPlan | None,
    now_us: int,
) -> Levels:
    """Return two levels if there is a plan, else one level."""
    if plan is not None:
        return TwoLevels(router, plan, codec, now_us)
    return OneLevel(router, budgets, names, codec, now_us)


def allocation_status(node: BudgetNode, now_us: int) -> dict[str, Any]:
    """Return a level's allocator as seen by this process, and the epoch that holds its promised vote."""
    is_allocator = node.is_allocator(now_us)
    return {
        "epoch": list(node.leader) if node.leader is not None else None,
        "divides": is_allocator,
        "ready": is_allocator and node.allocator is not None and now_us >= node.allocator.ready_us,
        "votes_for": list(node.voter.promised_to(now_us) or ()) if node.voter is not None else None,
    }


def allocated_units(node: BudgetNode, now_us: int) -> list[int] | None:
    """Return the granted units of each budget at a level; None if this process is not its allocator."""
    if node.allocator is None or not node.is_allocator(now_us):
        return None
    return list(node.allocator.allocated())


def as_level_actions(node_actions: LevelActions | Actions) -> LevelActions:
    """Return the actions of a one-level node as actions of the fleet level; others unchanged."""
    if isinstance(node_actions, LevelActions):
        return node_actions
    actions = LevelActions()
    actions.add(Level.FLEET, node_actions)
    return actions
