"""A router's budgets as a service: a thread for ticks, and datagrams on the membership's socket.

Votes and the lock of the router name are files in `$TMPDIR`; without it this process neither votes nor has
reservations. Each change of the leased amounts is passed to `on_lease_change`.
"""

from __future__ import annotations

import logging
import threading
from collections import Counter, deque
from collections.abc import Callable, Sequence
from typing import Any

from lupintack.budgets.hierarchy import LevelActions, LevelSend
from lupintack.budgets.messages import VoteReply, VoteRequest
from lupintack.budgets.node import Actions
from lupintack.budgets.regions import RegionPlan
from lupintack.budgets.spending import Budget, SpendLimiter
from lupintack.budgets.terms import Terms
from lupintack.clock import now_us
from lupintack.fleet.budget_levels import (
    Levels,
    RouterIdentity,
    allocated_units,
    allocation_status,
    as_level_actions,
    build_levels,
)
from lupintack.fleet.vote_files import NameLock, VoteFiles
from lupintack.logs import LineLimit, fields
from lupintack.membership.messages import MessageCodec, MessageError
from lupintack.settings.budget_plan import budget as budget

LOG = logging.getLogger("budgets")
LOG_LIMIT = LineLimit(1)  # lines a second
MAX_LOGGED_LEASES = 64  # recent leases on the status page
MAX_WAIT_S = 0.25
MAX_ADDRESSES = 4096
SLOW_STORE_DIVISOR = 10  # of the promise: a round stores at the candidate and at a voter, one after the other
MAX_DEMAND_INTERVAL_US = 500_000  # between two calls of `request_demand`


class BudgetService:
    """The budgets of a router: its node, stored votes, name lock and spending limits."""

    def __init__(
        self,
        name: str,
        start: int,
        fleet: str,
        tmp: str,
        budgets: Sequence[Budget],
        voters: Sequence[str],
        names: Sequence[str],
        terms: Terms,
        codec: MessageCodec,
        send: Callable[[str, str, bytes], None],
        address: str,
        on_lease_change: Callable[[tuple[int, ...], int], None] = lambda amounts, until_us: None,
        request_demand: Callable[[], None] = lambda: None,
        plan: RegionPlan | None = None,
    ) -> None:
        """`names`: the router names that have reservations. `send` takes a name, its last known address and
        bytes. `on_lease_change` takes the usable amounts and the time until which they last (0: no end).
        `request_demand` is called periodically and leads to a call of `set_demand`. Neither of these two may
        block. With a `plan`, budgets have two levels, and `budgets` and `names` are those of the plan.
        """
        self.on_lease_change, self.request_demand = on_lease_change, request_demand
        self.last_notified: tuple[tuple[int, ...], int] = ((), 0)
        # Demand is requested at least twice between two lease requests.
        self.demand_interval_us = min(MAX_DEMAND_INTERVAL_US, terms.request_interval_us // 3)
        self.demand: tuple[int, ...] = ()
        self.in_use: tuple[int, ...] = ()
        self.demand_requested_us = 0
        self.name, self.fleet, self.terms, self.send, self.address = name, fleet, terms, send, address
        now, router = now_us(), RouterIdentity(name, start, tuple(voters), terms)
        self.levels: Levels = build_levels(router, budgets, names, codec, plan, now)
        self.node, self.budgets = self.levels.node, self.levels.budgets
        self.vote_files = VoteFiles(name, fleet, plan.region.name if plan is not None else None, tmp, terms)
        self.name_lock = NameLock(name, fleet, tmp)
        self.name_reservations = self.levels.reservations
        self.limiter = SpendLimiter(self.budgets, now)
        self.lock = threading.Lock()
        self.wake = threading.Event()
        self.stopped = threading.Event()
        self.addresses: dict[str, str] = {}
        # The time of each grant, the end of the lease, and its amounts.
        self.leases: deque[tuple[int, int, tuple[int, ...]]] = deque(maxlen=MAX_LOGGED_LEASES)
        self.counts: Counter[str] = Counter()
        self.node.set_demand([b.total_units for b in self.budgets])

    def reservation(self, now: int) -> tuple[int, ...]:
        """Return the name's reservations if this process holds the name's lock, else zeros."""
        return self.name_reservations if self.holds_name_lock(now) else self.node.holder.zero

    def holds_name_lock(self, now: int) -> bool:
        """Return whether this process holds the name's lock; try to acquire it, and vote from then on."""
        if self.name_lock.try_acquire(now):
            self.levels.become_voter(lambda level: self.vote_files.read(level, now), now)
        return self.name_lock.is_held

    # Ticks and datagrams

    def run(self) -> None:
        """Run steps until the service is closed."""
        while not self.stopped.is_set():
            wait_us = self.step() - now_us()
            if self.wake.wait(min(MAX_WAIT_S, max(0.0005, wait_us / 1e6))):
                self.wake.clear()

    def step(self) -> int:
        """Run what is due; return when the next step is due if no datagram arrives earlier."""
        now = now_us()
        try:
            if now >= self.node.wake_us:
                self.call_node(self.node.tick)
            elif 0 < self.last_notified[1] <= now:
                self.call_node(lambda now: Actions())  # the lease has expired: notify
            if now >= self.demand_requested_us + self.demand_interval_us:
                self.demand_requested_us = now
                self.request_demand()
        except Exception:  # an exception in one step must not end the thread
            self.counts["faults"] += 1
            LOG.exception("budgets")
        return self.next_step_us

    @property
    def next_step_us(self) -> int:
        """When the next step is due, in microseconds."""
        lease_end_us = self.last_notified[1] or self.node.wake_us
        return min(self.node.wake_us, lease_end_us, self.demand_requested_us + self.demand_interval_us)

    def on_datagram(self, raw: bytes) -> None:
        """Handle a datagram."""
        try:
            datagram = self.levels.decode(raw)
        except MessageError as error:
            self.counts[f"dropped.{error.reason.value}"] += 1
            return
        self.addresses.pop(datagram.sender, None)
        if len(self.addresses) >= MAX_ADDRESSES:  # evict the sender with the oldest datagram
            del self.addresses[next(iter(self.addresses))]
        self.addresses[datagram.sender] = datagram.address
        self.call_node(datagram.call)
        self.wake.set()

    def call_node(self, method: Callable[[int], LevelActions | Actions]) -> None:
        """Call the node and execute its actions in order; promises are stored under the lock."""
        with self.lock:
            now = now_us()
            floor = self.reservation(now)
            if self.demand:
                # Units in use that the reservation covers need no lease. Reported as in use under a lease,
                # they could not be granted to any router for as long as the demand lasts.
                in_use = tuple(
                    max(0, used - reserved) for used, reserved in zip(self.in_use, floor, strict=True)
                )
                self.node.set_demand(self.demand, in_use)
            actions = as_level_actions(method(now))
            sends = self.store_promises(actions)
            holder = self.node.holder
            lease = (holder.until_us, holder.amounts)
            if self.node.has_lease and (not self.leases or lease != self.leases[-1][1:]):
                self.leases.append((now, *lease))
            self.limiter.set_amounts(holder.amounts, holder.until_us, floor, now)
            leased = self.node.leased_amounts(now)
            usable = tuple(map(sum, zip(leased, floor, strict=True))), holder.until_us if any(leased) else 0
            if usable != self.last_notified:
                # Under the lock, so that changes are reported in order.
                self.last_notified = usable
                self.on_lease_change(*usable)
        for send in sends:
            self.counts[f"sent.{type(send.message).__name__.lower()}"] += 1
            raw = self.levels.encode(self.name, self.address, send)
            self.send(send.to, self.addresses.get(send.to, ""), raw)
        for level_event in actions.events:
            level = {"budget_level": level_event.level.value} if len(self.vote_files.groups) > 1 else {}
            LOG.info(
                level_event.event, extra=fields(budgets=len(self.budgets), epoch=level_event.detail, **level)
            )

    def store_promises(self, actions: LevelActions) -> list[LevelSend]:
        """Store the promises; return the messages to send, without votes of levels whose write failed."""
        unstored = set()
        for level_promise in actions.promises:
            started_us = now_us()
            is_stored = self.vote_files.write(level_promise.level, level_promise.promise)
            self._count_slow_store(now_us() - started_us)
            if not is_stored:
                unstored.add(level_promise.level)
                if level_promise.level in self.vote_files.paths:
                    self.counts["unkept"] += 1
        return [
            send
            for send in actions.sends
            if send.level not in unstored or not isinstance(send.message, VoteRequest | VoteReply)
        ]

    def _count_slow_store(self, took_us: int) -> None:
        """Count a store that took so much of a promise that a round of votes may not end within it."""
        if took_us < self.terms.promise_us // SLOW_STORE_DIVISOR:
            return
        self.counts["stored_slowly"] += 1
        if LOG_LIMIT.allow(now_us()) >= 0:
            LOG.warning("promise stored slowly", extra=fields(took_ms=took_us // 1000))

    def set_demand(self, demand: tuple[int, ...], in_use: tuple[int, ...]) -> None:
        """Set the demand and use that the next lease requests report; thread-safe, does not block."""
        self.in_use, self.demand = in_use, demand

    def allocates(self, now: int) -> bool:
        """Return whether this process is the allocator of its region, or of the fleet with one level."""
        return self.levels.holder_node.is_allocator(now)

    def leave(self) -> None:
        """Release the lease and the voters' promises."""
        self.call_node(self.node.leave)

    def rejoin(self) -> None:
        """Request leases again after `leave`."""
        with self.lock:
            self.node.rejoin(now_us())
        self.wake.set()

    def spend(self, units_by_budget: dict[str, int]) -> str:
        """Spend units of all given budgets or of none; return the exhausted budget, or "" on success."""
        with self.lock:
            exhausted_budget = self.limiter.spend(units_by_budget, now_us())
        self.counts["refused" if exhausted_budget else "spent"] += 1
        return exhausted_budget

    def status(self) -> dict[str, Any]:
        """Return the budgets' part of the status page: totals, allocations, leases and the allocator."""
        with self.lock:
            now, node = now_us(), self.levels.holder_node
            allocated = allocated_units(node, now)
            return {
                "now_us": now,
                "start": node.start,
                **allocation_status(node, now),
                **self.levels.status(now),
                "lease_ends_ms": max(0, node.holder.until_us - now) // 1000,
                "budgets": [
                    {
                        "name": budget.name,
                        "whole": budget.total_units,
                        "per": budget.kind.value,
                        "floor": self.reservation(now)[n],
                        "lease": node.leased_amounts(now)[n],
                        "need": node.demand[n],
                        "given": allocated[n] if allocated is not None else None,
                    }
                    for n, budget in enumerate(self.budgets)
                ],
                "leases": [list(lease) for lease in self.leases],
                "counts": dict(sorted(self.counts.items())),
            }

    def close(self) -> None:
        """Stop the service and release the name's lock."""
        self.stopped.set()
        self.wake.set()
        with self.lock:
            self.name_lock.close()
