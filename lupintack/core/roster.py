"""The actor of the list: who may be sent to, and what was purged, from whatever tells of it.

A source of news (the notice board; CDNI purges; an etcd watch may stand beside them) calls `pool` and
`purge`. The roster's tables are what a peer asks again at the moment of a write, and every change is passed
on to the module's actor. Nothing here waits for the module.
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

LOG = logging.getLogger("roster")
PURGES = 8192  # purges remembered for the check at the write; beyond that the oldest binds every object


@dataclass(frozen=True, slots=True)
class Host:
    """A member as a source of news words it; numbers are places in the settings' lists."""

    name: str
    dial: tuple[str, int] | None
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: State = State.READY
    size: float = 1.0
    born_unix_ms: float = 0.0


@dataclass(slots=True)
class PoolNews:
    """Changes of the list, or all of it."""

    whole: bool
    hosts: tuple[Host, ...]
    version: int = 0


@dataclass(slots=True)
class PurgeNews:
    """A purge of an object, or of a group where object_id is None; done is called once it holds."""

    object_id: int | None
    group: int
    unix_ms: float
    done: Callable[[], None] | None = None


class BansNews:
    """The operators have taken members out, or put some back."""


News = PoolNews | PurgeNews | BansNews


@dataclass(slots=True)
class Change:
    """What the module's actor hears: events, the hosts behind the ids, and whom to tell when it holds."""

    events: tuple[Event, ...]
    hosts: tuple[tuple[int, Host], ...] = ()
    done: Callable[[], None] | None = None
    purge: PurgeNews | None = None
    number: int = 0  # of the purge, counted by the roster; 0 for other news
    upto: int = 0  # which news the module knows once it has heard this: `Roster.news`


def member_id(host: str) -> int:
    """A number for a host id: stable over restarts, everywhere the same, and never 0, which names nobody."""
    return int.from_bytes(hashlib.blake2b(host.encode(), digest_size=8).digest(), "big") or 1


class Roster:
    """The list's actor. Its tables are written by its own thread alone and read by any."""

    def __init__(self, settles_ms: float) -> None:
        self.mailbox: SimpleQueue[News | None] = SimpleQueue()
        self.settle(settles_ms)
        self.listed: dict[int, Host] = {}  # as the list says
        self.hosts: dict[int, Host] = {}  # and with the operators' bans laid over it
        self.bans = Bans()  # replaced whole, never changed
        self.banned: frozenset[int] = frozenset()  # binds writes from when it is set
        self.purged: OrderedDict[tuple[bool, int], tuple[int, int]] = OrderedDict()  # when told, its number
        self.floor = 0  # the number of the last purge that is not remembered by itself
        self.last_purge = 0
        self.news = 0  # counted up before the tables change, and told with each change (Change.upto)
        self.counting = threading.Lock()
        self.heard_us = now_us()  # when a source of news last showed that it is there
        self.tell: Callable[[Change], None] = lambda change: None

    def settle(self, settles_ms: float) -> None:
        """How long purges matter, by new settings."""
        self.settles_us = int(settles_ms * 1000) + 4_000_000

    # What a source of news calls

    def pool(self, whole: bool, hosts: tuple[Host, ...], version: int = 0) -> None:
        """The list has changed."""
        self.mailbox.put(PoolNews(whole, hosts, version))

    def purge(
        self, object_id: int | None, group: int, unix_ms: float, done: Callable[[], None] | None = None
    ) -> None:
        """Copies older than that moment are out of date."""
        self.mailbox.put(PurgeNews(object_id, group, unix_ms, done))

    def ban(self, bans: Bans) -> None:
        """The operators' word, all of it: it binds every write from now on, whatever waits in the mailbox."""
        self.count()
        self.bans, self.banned = bans, frozenset(member_id(name) for name in bans.out)
        self.mailbox.put(BansNews())

    def count(self) -> int:
        """The number of a piece of news, before anything is held to it."""
        with self.counting:
            self.news += 1
            return self.news

    def find(self, name: str) -> Host | None:
        """A member as the list has it."""
        return self.listed.get(member_id(name))

    # What a peer asks at the moment of a write

    def stale(self, order: Order) -> bool:
        """Whether the news since the decision forbids the attempt.

        Guards against a want that waited in a mailbox, or for a connect, while a member began to drain or
        the object was purged: the rules count from the first byte, not from the decision. A purge counts from
        when the roster has it, and by its number: one that the module had not heard of yet when it decided,
        as its turn came late, forbids the attempt as well, however the times lie.
        """
        for number in (order.member, order.source):
            host = self.hosts.get(number)
            if number and (host is None or host.state is not State.READY or number in self.banned):
                return True
        return self.unheard(order.ask, order.heard)

    def unheard(self, ask: ClientRequest, heard: int) -> bool:
        """Whether a purge binds a request of which the module, having heard those up to `heard`, knows
        nothing.
        """
        one, group = self.purged.get((True, ask.object_id)), self.purged.get((False, ask.group))
        last = max(self.floor, one[1] if one else 0, group[1] if group else 0)
        return last > heard and not ask.write

    # The actor

    def run(self) -> None:
        """Until None comes."""
        while (news := self.mailbox.get()) is not None:
            self.take(news)

    def take(self, news: News) -> None:
        """Bring the tables up to date, and pass the change on."""
        upto = self.news + 1
        try:
            change = self.heed(news)
        except (ValueError, TypeError, OverflowError) as error:
            LOG.warning("news can't be used", extra=fields(reason=error))
            change = Change((), upto=upto)  # nobody may wait for it
        self.tell(change)

    def heed(self, news: News) -> Change:
        """Bring the tables up to date, and word the news for the module."""
        upto = self.count()
        if isinstance(news, PoolNews):
            change = self.on_pool(news)
        else:
            change = self.on_purge(news) if isinstance(news, PurgeNews) else self.on_bans()
        change.upto = upto
        return change

    def on_bans(self) -> Change:
        """What the bans make of the list now: those that it makes other than they were held are told."""
        bans = self.bans
        moved = [h for n, h in self.listed.items() if self.laid(bans, h) != self.hosts.get(n)]
        return self.on_pool(PoolNews(False, tuple(moved)))

    @staticmethod
    def laid(bans: Bans, host: Host) -> Host:
        state, born = bans.lay(host.name, host.state, host.born_unix_ms)
        same = state is host.state and born == host.born_unix_ms
        return host if same else replace(host, state=state, born_unix_ms=born)

    def on_pool(self, news: PoolNews) -> Change:
        now = now_us()
        bans = self.bans
        members = []
        pairs = []
        if news.whole:
            named = {member_id(host.name) for host in news.hosts}
            left = [number for number in self.hosts if number not in named]
            self.listed = {number: host for number, host in self.listed.items() if number in named}
            pairs = [(number, replace(self.hosts.pop(number), state=State.GONE)) for number in left]
        for listed in news.hosts:
            number = member_id(listed.name)
            host = self.laid(bans, listed)
            self.listed[number], self.hosts[number] = listed, host
            if host.state is State.GONE:
                del self.hosts[number], self.listed[number]  # who is not listed may not be sent to, either
            pairs.append((number, host))
            started = 0.0
            if host.born_unix_ms > 0:
                started = module_ms(now - unix_age_us(host.born_unix_ms))
            members.append(Member(number, host.zone, host.kind, host.cell, host.state, host.size, started))
        kind = ListKind.FULL if news.whole else ListKind.DELTA
        return Change((MemberList(kind, tuple(members), news.version),), tuple(pairs))

    def on_purge(self, news: PurgeNews) -> Change:
        now = now_us()
        age_us = max(0, unix_age_us(news.unix_ms)) if math.isfinite(news.unix_ms) else 0
        key = (news.object_id is not None, news.group if news.object_id is None else news.object_id)
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
        event = Purged(news.object_id or 0, news.group, age_us / 1000.0)
        if age_us > self.settles_us:
            return Change((), done=news.done, purge=news, number=self.last_purge)
        return Change((event,), done=news.done, purge=news, number=self.last_purge)
