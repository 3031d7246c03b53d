"""The member table: who may be sent to, and what was purged, from whatever tells of it.

A source of updates (discovery; CDNI purges; an etcd watch may stand beside them) calls `update_list` and
`purge`. The tables are what a peer asks again at the moment of a write, and every change is passed on to the
module's actor. Nothing here waits for the module.
"""

from __future__ import annotations

import hashlib
import logging
import math
import threading
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, replace
from queue import SimpleQueue

from lupintack.clock import module_ms, now_us, unix_age_us
from lupintack.core.messages import ClientRequest, Order
from lupintack.interface import Event, ListKind, Member, MemberList, Purged, State
from lupintack.lifecycle.bans import Bans
from lupintack.logs import fields

LOG = logging.getLogger("member_table")
PURGES = 8192  # purges remembered for the check at the write; beyond that the oldest binds every object


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A member as a source of updates words it; numbers are places in the settings' lists."""

    name: str
    dial: tuple[str, int] | None
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: State = State.READY
    size: float = 1.0
    born_unix_ms: float = 0.0


@dataclass(slots=True)
class ListUpdate:
    """Changes of the list, or all of it."""

    whole: bool
    hosts: tuple[Endpoint, ...]
    version: int = 0


@dataclass(slots=True)
class PurgeUpdate:
    """A purge of an object, or of a group where object_id is None; done is called once it holds."""

    object_id: int | None
    group: int
    unix_ms: float
    done: Callable[[], None] | None = None


class BansUpdate:
    """The operators have taken members out, or put some back."""


Update = ListUpdate | PurgeUpdate | BansUpdate


@dataclass(slots=True)
class Change:
    """What the module's actor hears: events, the hosts behind the ids, and whom to tell when it holds."""

    events: tuple[Event, ...]
    hosts: tuple[tuple[int, Endpoint], ...] = ()
    done: Callable[[], None] | None = None
    purge: PurgeUpdate | None = None
    number: int = 0  # of the purge, counted by the table; 0 for other updates
    upto: int = 0  # which updates the module knows once it has this: `MemberTable.updates`


def member_id(host: str) -> int:
    """A number for a host id: stable over restarts, everywhere the same, and never 0, which names nobody."""
    return int.from_bytes(hashlib.blake2b(host.encode(), digest_size=8).digest(), "big") or 1


class MemberTable:
    """The list's actor. Its tables are written by its own thread alone and read by any."""

    def __init__(self, settles_ms: float) -> None:
        self.mailbox: SimpleQueue[Update | None] = SimpleQueue()
        self.settle(settles_ms)
        self.listed: dict[int, Endpoint] = {}  # as the list says
        self.hosts: dict[int, Endpoint] = {}  # and with the operators' bans with_bans over it
        self.bans = Bans()  # replaced whole, never changed
        self.banned: frozenset[int] = frozenset()  # binds writes from when it is set
        self.purged: OrderedDict[tuple[bool, int], tuple[int, int]] = OrderedDict()  # when told, its number
        self.floor = 0  # the number of the last purge that is not remembered by itself
        self.last_purge = 0
        self.updates = 0  # counted up before the tables change, and told with each change (Change.upto)
        self.counting = threading.Lock()
        self.notified_us = now_us()  # when a source of updates last showed that it is there
        self.notify: Callable[[Change], None] = lambda change: None

    def settle(self, settles_ms: float) -> None:
        """How long purges matter, by new settings."""
        self.settles_us = int(settles_ms * 1000) + 4_000_000

    # What a source of updates calls

    def update_list(self, whole: bool, hosts: tuple[Endpoint, ...], version: int = 0) -> None:
        """The list has changed."""
        self.mailbox.put(ListUpdate(whole, hosts, version))

    def purge(
        self, object_id: int | None, group: int, unix_ms: float, done: Callable[[], None] | None = None
    ) -> None:
        """Copies older than that moment are out of date."""
        self.mailbox.put(PurgeUpdate(object_id, group, unix_ms, done))

    def ban(self, bans: Bans) -> None:
        """The operators' word, all of it: it binds every write from now on, whatever waits in the mailbox."""
        self.count()
        self.bans, self.banned = bans, frozenset(member_id(name) for name in bans.out)
        self.mailbox.put(BansUpdate())

    def count(self) -> int:
        """The number of an update, before anything is held to it."""
        with self.counting:
            self.updates += 1
            return self.updates

    def find(self, name: str) -> Endpoint | None:
        """A member as the list has it."""
        return self.listed.get(member_id(name))

    # What a peer asks at the moment of a write

    def stale(self, order: Order) -> bool:
        """Whether an update since the decision forbids the attempt.

        Guards against a want that waited in a mailbox, or for a connect, while a member began to drain or
        the object was purged: the rules count from the first byte, not from the decision. A purge counts from
        when the table has it, and by its number: one that the module had not heard of yet when it decided,
        as its turn came late, forbids the attempt as well, however the times lie.
        """
        for number in (order.member, order.source):
            host = self.hosts.get(number)
            if number and (host is None or host.state is not State.READY or number in self.banned):
                return True
        return self.purged_since(order.ask, order.heard)

    def purged_since(self, ask: ClientRequest, heard: int) -> bool:
        """Whether a purge binds a request of which the module, having heard those up to `heard`, knows
        nothing.
        """
        one, group = self.purged.get((True, ask.object_id)), self.purged.get((False, ask.group))
        last = max(self.floor, one[1] if one else 0, group[1] if group else 0)
        return last > heard and not ask.write

    # The actor

    def run(self) -> None:
        """Until None comes."""
        while (update := self.mailbox.get()) is not None:
            self.receive(update)

    def receive(self, update: Update) -> None:
        """Bring the tables up to date, and pass the change on."""
        upto = self.updates + 1
        try:
            change = self.apply(update)
        except (ValueError, TypeError, OverflowError) as error:
            LOG.warning("update can't be used", extra=fields(reason=error))
            change = Change((), upto=upto)  # nobody may wait for it
        self.notify(change)

    def apply(self, update: Update) -> Change:
        """Bring the tables up to date, and word the update for the module."""
        upto = self.count()
        if isinstance(update, ListUpdate):
            change = self.on_list(update)
        else:
            change = self.on_purge(update) if isinstance(update, PurgeUpdate) else self.on_bans()
        change.upto = upto
        return change

    def on_bans(self) -> Change:
        """What the bans make of the list now: those that it makes other than they were held are told."""
        bans = self.bans
        moved = [h for n, h in self.listed.items() if self.with_bans(bans, h) != self.hosts.get(n)]
        return self.on_list(ListUpdate(False, tuple(moved)))

    @staticmethod
    def with_bans(bans: Bans, host: Endpoint) -> Endpoint:
        state, born = bans.lay(host.name, host.state, host.born_unix_ms)
        same = state is host.state and born == host.born_unix_ms
        return host if same else replace(host, state=state, born_unix_ms=born)

    def on_list(self, update: ListUpdate) -> Change:
        now = now_us()
        bans = self.bans
        members = []
        pairs = []
        if update.whole:
            named = {member_id(host.name) for host in update.hosts}
            left = [number for number in self.hosts if number not in named]
            self.listed = {number: host for number, host in self.listed.items() if number in named}
            pairs = [(number, replace(self.hosts.pop(number), state=State.GONE)) for number in left]
        for listed in update.hosts:
            number = member_id(listed.name)
            host = self.with_bans(bans, listed)
            self.listed[number], self.hosts[number] = listed, host
            if host.state is State.GONE:
                del self.hosts[number], self.listed[number]  # who is not listed may not be sent to, either
            pairs.append((number, host))
            started = 0.0
            if host.born_unix_ms > 0:
                started = module_ms(now - unix_age_us(host.born_unix_ms))
            members.append(Member(number, host.zone, host.kind, host.cell, host.state, host.size, started))
        kind = ListKind.FULL if update.whole else ListKind.DELTA
        return Change((MemberList(kind, tuple(members), update.version),), tuple(pairs))

    def on_purge(self, update: PurgeUpdate) -> Change:
        now = now_us()
        age_us = max(0, unix_age_us(update.unix_ms)) if math.isfinite(update.unix_ms) else 0
        key = (update.object_id is not None, update.group if update.object_id is None else update.object_id)
        self.purged.pop(key, None)
        self.last_purge += 1
        self.purged[key] = (now, self.last_purge)
        while self.purged:
            oldest, (told, number) = next(iter(self.purged.items()))
            if told > now - self.settles_us and len(self.purged) <= PURGES:
                break
            if told > now - self.settles_us:
                self.floor = number
            del self.purged[oldest]
        event = Purged(update.object_id or 0, update.group, age_us / 1000.0)
        if age_us > self.settles_us:
            return Change((), done=update.done, purge=update, number=self.last_purge)
        return Change((event,), done=update.done, purge=update, number=self.last_purge)
