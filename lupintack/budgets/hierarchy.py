"""Budget protocol of one process at two levels, the fleet's and its region's.

Every process requests leases from its region's allocator. The region's allocator requests parent leases from
the fleet's allocator for grants beyond the region's reservation. Each level elects its allocator among its
own voters, by the same rules.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from functools import partial
from operator import gt
from typing import TYPE_CHECKING, NamedTuple

from lupintack.budgets.allocator import Allocator
from lupintack.budgets.lease import LeaseHolder
from lupintack.budgets.messages import Epoch, LeaseRequest, Message
from lupintack.budgets.node import Actions, BudgetNode
from lupintack.budgets.parent_lease import ParentLease
from lupintack.budgets.regions import RegionPlan
from lupintack.budgets.terms import Terms
from lupintack.budgets.voter import Promise

if TYPE_CHECKING:
    from random import Random


class Level(Enum):
    """The level that a message or an event concerns."""

    FLEET = "fleet"
    REGION = "region"


@dataclass(frozen=True, slots=True)
class LevelPromise:
    """A voter's promise at one level, to be stored before any message is sent."""

    level: Level
    promise: Promise


@dataclass(frozen=True, slots=True)
class LevelSend:
    """A message to send to a process, at one level."""

    to: str
    level: Level
    message: Message


@dataclass(frozen=True, slots=True)
class LevelEvent:
    """An event at one level: won, lost or lapsed; `detail` names the epoch."""

    level: Level
    event: str
    detail: str


@dataclass(slots=True)
class LevelActions:
    """The actions that follow a call, in this order: store the promises, then send the messages."""

    promises: list[LevelPromise] = field(default_factory=list)
    sends: list[LevelSend] = field(default_factory=list)
    events: list[LevelEvent] = field(default_factory=list)

    def add(self, level: Level, actions: Actions) -> None:
        """Add the actions of one level's node."""
        if actions.promise is not None:
            self.promises.append(LevelPromise(level, actions.promise))
        self.sends += [LevelSend(to, level, message) for to, message in actions.sends]
        self.events += [LevelEvent(level, event, detail) for event, detail in actions.events]


class WaitingRequest(NamedTuple):
    """A router's request that waits for the parent lease, with its sender."""

    sender: str
    request: LeaseRequest


def tenure_number(epoch: Epoch) -> int:
    """Return a number that identifies one tenure of a regional allocator, derived from its unique epoch."""
    text = f"{epoch.counter}\0{epoch.name}\0{epoch.start}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=7).digest(), "big")


class TwoLevelNode:
    """Holds a lease from its region, and votes and allocates at the levels where it is a voter."""

    def __init__(
        self,
        name: str,
        start: int,
        fleet_voters: Sequence[str],
        plan: RegionPlan,
        terms: Terms,
        random: Random,
        now_us: int,
        votes: bool = False,
        stored: Callable[[Level], Promise | None] = lambda level: None,
    ) -> None:
        """`votes`, `stored`: as in BudgetNode, for each level at which this name is a voter."""
        self.name, self.plan, self.terms = name, plan, terms
        make_node = partial(BudgetNode, name, start, terms=terms, random=random, now_us=now_us, votes=votes)
        self.fleet = make_node(
            fleet_voters,
            plan.fleet_allocatable,
            stored=stored(Level.FLEET),
            weight_of=plan.weight_of,
            requests_leases=False,
            prepare=self._prepare_fleet,
        )
        # Requests at this level are few and a region waits for each reply, so retries don't back off further.
        self.fleet.max_retry_us = terms.request_interval_us
        self.region = make_node(
            plan.region.voters, plan.region_pool, stored=stored(Level.REGION), prepare=self._prepare_region
        )
        self.tenure: Epoch | None = None  # the region's epoch while this process is its allocator
        self.parent = ParentLease(self.fleet.holder)
        self.waiting_requests: list[WaitingRequest] = []  # until a parent lease is granted
        self.retried_grant = 0  # sequence number of the grant after which waiting requests were last retried

    @property
    def wake_us(self) -> int:
        """The time of the next tick, in microseconds."""
        return min(self.fleet.wake_us, self.region.wake_us)

    @property
    def holder(self) -> LeaseHolder:
        """The lease of this process from its region's allocator."""
        return self.region.holder

    @property
    def has_lease(self) -> bool:
        """Whether this process's own lease had not expired at the last call."""
        return self.region.has_lease

    def leased_amounts(self, now_us: int) -> tuple[int, ...]:
        """Return the leased amounts of the plan's budgets; call this at the time of the spend."""
        return self.region.leased_amounts(now_us)

    def set_demand(self, demand: Sequence[int], in_use: Sequence[int] = ()) -> None:
        """Set the demand that the next request to the region's allocator reports."""
        self.region.set_demand(demand, in_use)

    def become_voter(self, stored: Callable[[Level], Promise | None], now_us: int) -> None:
        """Start voting under this process's name at each level where the name is a voter."""
        self.fleet.become_voter(stored(Level.FLEET), now_us)
        self.region.become_voter(stored(Level.REGION), now_us)

    def tick(self, now_us: int) -> LevelActions:
        """Do the work that is due at both levels."""
        actions = LevelActions()
        self._call(actions, Level.REGION, self.region.tick, now_us)
        self._call(actions, Level.FLEET, self.fleet.tick, now_us)
        return actions

    def receive(self, sender: str, level: Level, message: Message, now_us: int) -> LevelActions:
        """Handle a message from another process."""
        actions = LevelActions()
        node = self.fleet if level is Level.FLEET else self.region
        if level is Level.REGION and isinstance(message, LeaseRequest):
            # Lease requests are by far the most frequent messages and never change the allocator. The next
            # call reports their ledger changes before it sends a request to the fleet's allocator.
            self._connect_levels(now_us)
            actions.add(level, node.receive(sender, message, now_us))
            self._queue_if_unanswered(sender, message)
            return actions
        self._call(actions, level, lambda at: node.receive(sender, message, at), now_us)
        return actions

    def leave(self, now_us: int) -> LevelActions:
        """Shut down gracefully: release this process's lease; a region's parent lease is left to expire."""
        actions = LevelActions()
        self._call(actions, Level.REGION, self.region.leave, now_us)
        self._call(actions, Level.FLEET, self.fleet.leave, now_us)
        return actions

    def rejoin(self, now_us: int) -> None:
        """Request leases again after `leave`."""
        self.region.rejoin(now_us)
        self.fleet.rejoin(now_us)

    # Connection of the levels

    def _call(self, actions: LevelActions, level: Level, call: Callable[[int], Actions], now_us: int) -> None:
        self._connect_levels(now_us)
        actions.add(level, call(now_us))
        self._connect_levels(now_us)
        if self.waiting_requests and self.retried_grant != self.parent.seen_grant:
            self._retry_waiting_requests(actions, now_us)

    def _queue_if_unanswered(self, sender: str, request: LeaseRequest) -> None:
        """Queue a request that waits for the parent lease, as its sender retries only after a delay."""
        allocator = self.region.allocator
        if allocator is not None and allocator.left_unanswered(request):
            self.waiting_requests.append(WaitingRequest(sender, request))

    def _retry_waiting_requests(self, actions: LevelActions, now_us: int) -> None:
        """Retry the waiting requests after a change of the parent lease; some may have to wait further."""
        waiting_requests, self.waiting_requests = self.waiting_requests, []
        self.retried_grant = self.parent.seen_grant
        for sender, request in waiting_requests:
            allocator = self.region.allocator
            if allocator is not None and allocator.left_unanswered(request):
                self._call(actions, Level.REGION, partial(self.region.receive, sender, request), now_us)
                self._queue_if_unanswered(sender, request)

    def _connect_levels(self, now_us: int) -> None:
        """Hold a parent lease while this process is its region's allocator, and set the pool from it."""
        allocator = self.region.allocator if self.region.is_allocator(now_us) else None
        tenure = allocator.epoch if allocator is not None else None
        if tenure != self.tenure:
            self.tenure = tenure
            if tenure is None:
                self.fleet.stop_holding()
            else:
                self.fleet.start_holding(self.plan.region.name, tenure_number(tenure), now_us)
                self.parent = ParentLease(self.fleet.holder)
        if allocator is not None:
            allocator.expire(now_us)
            self.parent.update(now_us)
            self._set_pool(allocator, now_us)
            self._report_to_fleet(allocator, now_us)
            self._request_sooner(allocator, now_us)

    def _request_sooner(self, allocator: Allocator, now_us: int) -> None:
        """Advance the next request to the fleet's allocator if its booking differs from the needs.

        A new regional allocator learns its routers' demand with each of their requests. Units that routers
        returned after a smaller grant stay idle until a request reports this.
        """
        holder = self.fleet.holder
        last = holder.last_request
        if last is None or not holder.is_answered:
            return
        has_returned_units = any(map(gt, last.in_use, holder.amounts))
        needs_more = any(map(gt, last.demand, holder.amounts))
        if has_returned_units or needs_more or now_us < allocator.ready_us:
            earliest_us = holder.requested_us + self.terms.retry_us
            self.fleet.next_request_us = min(self.fleet.next_request_us, earliest_us)

    def _set_pool(self, allocator: Allocator, now_us: int) -> None:
        """Set the amounts that the region's allocator may grant, and the latest end of its leases.

        A lease that draws on the parent lease ends before the parent lease. A longer one is granted only if
        all bookings fit into the reservation, so leases that outlive the parent lease are covered without it.
        """
        parent_ends_us = self.parent.ends_us(now_us)
        # Near the parent lease's end, each router renews once more and gets a lease independent of it.
        usable = (
            parent_ends_us is not None and parent_ends_us - now_us > self.terms.request_interval_us * 5 // 4
        )
        zero = self.fleet.holder.zero
        allocator.expires_by_us = parent_ends_us if usable else None
        allocator.set_allocatable(
            self._with_reserved(self.fleet.holder.amounts if usable else zero, True),
            self._with_reserved(self.parent.covered if usable else zero, now_us >= allocator.ready_us),
        )

    def _with_reserved(self, leased: tuple[int, ...], counts_reservation: bool) -> tuple[int, ...]:
        """Return the leased amounts, plus the reservation if it counts, and the region's own budgets."""
        pool, fleet_wide = self.plan.region_pool, self.plan.fleet_wide
        reserved = pool[:fleet_wide] if counts_reservation else (0,) * fleet_wide
        return (*map(sum, zip(leased, reserved, strict=True)), *pool[fleet_wide:])

    def _report_to_fleet(self, allocator: Allocator, now_us: int) -> None:
        """Set the demand and the amounts in use for the next request to the fleet's allocator.

        Until the leases of older tenures have expired, these may still use the reservation.
        """
        pool = self.plan.region_pool[: self.plan.fleet_wide]
        usable_reservation = pool if now_us >= allocator.ready_us else (0,) * len(pool)
        demand = (max(0, a - r) for a, r in zip(allocator.total_demand(), pool, strict=False))
        in_use = (max(0, a - r) for a, r in zip(allocator.allocated(), usable_reservation, strict=False))
        self.fleet.set_demand(tuple(demand), tuple(in_use))

    def _prepare_region(self, allocator: Allocator) -> None:
        """Set up a new regional allocator: it has no parent lease, and the reservation may be in use."""
        zero = self.fleet.holder.zero
        allocator.set_allocatable(self._with_reserved(zero, True), self._with_reserved(zero, False))

    def _prepare_fleet(self, allocator: Allocator) -> None:
        """Set up a new fleet allocator: successive allocators of a region share one booking."""
        allocator.shared_names = frozenset(name for name, _ in self.plan.weights)
