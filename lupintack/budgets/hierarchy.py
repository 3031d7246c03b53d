"""One process's part in budgets of two levels: the fleet's, and its region's.

It always asks its region's allocator for leases. The process that is its region's allocator asks the fleet's
allocator for what it grants, beyond what is reserved for the region. Either level elects its allocator among
its own voters, by the same rules.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from functools import partial
from operator import gt
from typing import TYPE_CHECKING

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
    """Whom a message or an event concerns."""

    FLEET = "fleet"
    REGION = "region"


@dataclass(frozen=True, slots=True)
class LevelPromise:
    """A voter's promise at one level, to be stored before anything is sent."""

    level: Level
    promise: Promise


@dataclass(frozen=True, slots=True)
class LevelSend:
    """A message to a process, at one level."""

    to: str
    level: Level
    message: Message


@dataclass(frozen=True, slots=True)
class LevelEvent:
    """What happened at one level: won, lost or lapsed; `detail` names the epoch."""

    level: Level
    event: str
    detail: str


@dataclass(slots=True)
class LevelActions:
    """What a call asks for, in this order: store the promises, then send."""

    promises: list[LevelPromise] = field(default_factory=list)
    sends: list[LevelSend] = field(default_factory=list)
    events: list[LevelEvent] = field(default_factory=list)

    def add(self, level: Level, actions: Actions) -> None:
        """Take over the actions of one level's node."""
        if actions.promise is not None:
            self.promises.append(LevelPromise(level, actions.promise))
        self.sends += [LevelSend(to, level, message) for to, message in actions.sends]
        self.events += [LevelEvent(level, event, detail) for event, detail in actions.events]


def tenure_number(epoch: Epoch) -> int:
    """A number for one tenure of a regional allocator; no two tenures have the same epoch."""
    text = f"{epoch.counter}\0{epoch.name}\0{epoch.start}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=7).digest(), "big")


class TwoLevelNode:
    """A holder in its region, and where it votes or is elected a part of the allocation at either level."""

    def __init__(
        self,
        name: str,
        start: int,
        fleet_voters: Sequence[str],
        plan: RegionPlan,
        terms: Terms,
        random: Random,
        now: int,
        votes: bool = False,
        stored: Callable[[Level], Promise | None] = lambda level: None,
    ) -> None:
        """`votes`, `stored`: as BudgetNode's, for each level that this name votes at."""
        self.name, self.plan, self.terms = name, plan, terms
        self.fleet = BudgetNode(
            name,
            start,
            fleet_voters,
            plan.fleet_allocatable,
            terms,
            random,
            now,
            stored(Level.FLEET),
            plan.weight_of,
            votes,
            holds=False,
            prepare=self._prepare_fleet,
        )
        # Few ask there, and a whole region waits for the answer: retries stay as frequent as requests.
        self.fleet.max_retry_us = terms.request_interval_us
        self.region = BudgetNode(
            name,
            start,
            plan.region.voters,
            plan.region_pool,
            terms,
            random,
            now,
            stored(Level.REGION),
            votes=votes,
            prepare=self._prepare_region,
        )
        self.tenure: Epoch | None = None  # of the region, while this process allocates there
        self.parent = ParentLease(self.fleet.holder)
        self.unanswered: list[
            tuple[str, LeaseRequest]
        ] = []  # senders and requests, until a parent lease comes
        self.retried_grant = 0  # the grant of the fleet's allocator that these were last looked at with

    # What it is called with

    @property
    def wake_us(self) -> int:
        """When to be ticked next."""
        return min(self.fleet.wake_us, self.region.wake_us)

    @property
    def holder(self) -> LeaseHolder:
        """This process's own lease, from its region's allocator."""
        return self.region.holder

    @property
    def leased(self) -> bool:
        """Whether this process's own lease had not run out at the last call."""
        return self.region.leased

    def held(self, now: int) -> tuple[int, ...]:
        """What this process may spend by lease, of each budget of its plan; asked at the spend."""
        return self.region.held(now)

    def set_demand(self, demand: Sequence[int], in_use: Sequence[int] = ()) -> None:
        """What the next request to the region's allocator says."""
        self.region.set_demand(demand, in_use)

    def become_voter(self, stored: Callable[[Level], Promise | None], now: int) -> None:
        """From now on this process is its name's voter, at each level where the name is one."""
        self.fleet.become_voter(stored(Level.FLEET), now)
        self.region.become_voter(stored(Level.REGION), now)

    def tick(self, now: int) -> LevelActions:
        """What is due at either level."""
        actions = LevelActions()
        self._call(actions, Level.REGION, self.region.tick, now)
        self._call(actions, Level.FLEET, self.fleet.tick, now)
        return actions

    def receive(self, sender: str, level: Level, message: Message, now: int) -> LevelActions:
        """A message from another process."""
        actions = LevelActions()
        node = self.fleet if level is Level.FLEET else self.region
        if level is Level.REGION and isinstance(message, LeaseRequest):
            # By far the most messages, and none that changes who allocates: what it changes in the ledger is
            # reported by the next call, before that asks the fleet's allocator for anything.
            self._connect_levels(now)
            actions.add(level, node.receive(sender, message, now))
            self._keep_if_unanswered(sender, message)
            return actions
        self._call(actions, level, lambda at: node.receive(sender, message, at), now)
        return actions

    def leave(self, now: int) -> LevelActions:
        """On purpose: the own lease is given back, a region's parent lease runs out by itself."""
        actions = LevelActions()
        self._call(actions, Level.REGION, self.region.leave, now)
        self._call(actions, Level.FLEET, self.fleet.leave, now)
        return actions

    def rejoin(self, now: int) -> None:
        """Back at work after a leave of this very process."""
        self.region.rejoin(now)
        self.fleet.rejoin(now)

    # Between the levels

    def _call(self, actions: LevelActions, level: Level, what: Callable[[int], Actions], now: int) -> None:
        self._connect_levels(now)
        actions.add(level, what(now))
        self._connect_levels(now)
        if self.unanswered and self.retried_grant != self.parent.seen_grant:
            self._retry_unanswered(actions, now)

    def _keep_if_unanswered(self, sender: str, request: LeaseRequest) -> None:
        """Keep a request that waits for the parent lease: its sender would ask again only after a while."""
        allocator = self.region.allocator
        if allocator is not None and allocator.left_unanswered(request):
            self.unanswered.append((sender, request))

    def _retry_unanswered(self, actions: LevelActions, now: int) -> None:
        """Look again at what waits, with a parent lease that has changed; what still lacks it waits on."""
        waiting, self.unanswered = self.unanswered, []
        self.retried_grant = self.parent.seen_grant
        for sender, request in waiting:
            allocator = self.region.allocator
            if allocator is not None and allocator.left_unanswered(request):
                self._call(actions, Level.REGION, partial(self.region.receive, sender, request), now)
                self._keep_if_unanswered(sender, request)

    def _connect_levels(self, now: int) -> None:
        """Hold a lease of the fleet's while this process allocates in its region, and grant by it."""
        allocator = self.region.allocator if self.region.is_allocator(now) else None
        tenure = allocator.epoch if allocator is not None else None
        if tenure != self.tenure:
            self.tenure = tenure
            if tenure is None:
                self.fleet.stop_holding()
            else:
                self.fleet.start_holding(self.plan.region.name, tenure_number(tenure), now)
                self.parent = ParentLease(self.fleet.holder)
        if allocator is not None:
            allocator.expire(now)
            self.parent.update(now)
            self._set_pool(allocator, now)
            self._report(allocator, now)
            self._hasten_request(allocator, now)

    def _hasten_request(self, allocator: Allocator, now: int) -> None:
        """Ask the fleet's allocator sooner where it books more or less for the region than it will have.

        A new allocator of a region learns its routers' demand from request to request; and what routers have
        given back after a smaller grant is idle until a request says so.
        """
        holder = self.fleet.holder
        last = holder.last_request
        if last is None or not holder.answered:
            return
        returned = any(map(gt, last.in_use, holder.amounts))
        wanting = any(map(gt, last.demand, holder.amounts))
        if returned or wanting or now < allocator.ready_us:
            soon = holder.requested_us + self.terms.retry_us
            self.fleet.next_request_us = min(self.fleet.next_request_us, soon)

    def _set_pool(self, allocator: Allocator, now: int) -> None:
        """What the region's allocator may grant, and until when, by its reservation and its parent lease.

        A lease that draws on the parent lease ends before it. One that need not is granted only where all
        that is booked fits into the reservation, so what outlives the parent lease is covered without it.
        """
        ends = self.parent.ends_us(now)
        # Near its end each router asks once more, and is given a lease that does not end with it.
        usable = ends is not None and ends - now > self.terms.request_interval_us * 5 // 4
        none = self.fleet.holder.zero
        allocator.expires_by_us = ends if usable else None
        allocator.set_allocatable(
            self._with_reserved(self.fleet.holder.amounts if usable else none, True),
            self._with_reserved(self.parent.covered if usable else none, now >= allocator.ready_us),
        )

    def _with_reserved(self, leased: tuple[int, ...], reserved: bool) -> tuple[int, ...]:
        """Fleet-wide budgets: leased amounts, and the reservation where it counts; the region's own: all."""
        pool, fleet_wide = self.plan.region_pool, self.plan.fleet_wide
        first = tuple(a + (r if reserved else 0) for a, r in zip(leased, pool[:fleet_wide], strict=True))
        return first + pool[fleet_wide:]

    def _report(self, allocator: Allocator, now: int) -> None:
        """What the next request to the fleet's allocator says: the region's demand, and what backs leases.

        Until an older tenure's leases are over, the reservation may be in use by these.
        """
        pool = self.plan.region_pool[: self.plan.fleet_wide]
        free = pool if now >= allocator.ready_us else (0,) * len(pool)
        demand = (max(0, a - r) for a, r in zip(allocator.total_demand(), pool, strict=False))
        in_use = (max(0, a - r) for a, r in zip(allocator.allocated(), free, strict=False))
        self.fleet.set_demand(tuple(demand), tuple(in_use))

    def _prepare_region(self, allocator: Allocator) -> None:
        """Before its first grant: nothing of a parent lease yet, and the reservation may be in use."""
        none = self.fleet.holder.zero
        allocator.set_allocatable(self._with_reserved(none, True), self._with_reserved(none, False))

    def _prepare_fleet(self, allocator: Allocator) -> None:
        """Successive allocators of a region share what is booked for the region."""
        allocator.shared_names = frozenset(name for name, _ in self.plan.weights)
