"""The module's actor: its mailbox, its turn, its timers, the requests owed and the attempts out.

One turn takes what has come in, reads the clock once, tells the module, and does what it answers. The turn
runs on whichever thread has just posted, if no other is running it: on one core a hand-over to a thread of
the actor's own costs two switches a message (docs/design.md has the figures). Exactly one final answer goes
to each request: whoever marks its record as over gives it.
"""

from __future__ import annotations

import heapq
import logging
import os
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from lupintack.clock import from_module_ms, module_ms, now_us
from lupintack.core.copies import PROOF_US, Copies
from lupintack.core.counters import Counters
from lupintack.core.ending import Ending
from lupintack.core.handoff import HandoffRequest, take
from lupintack.core.hosted import Fleet
from lupintack.core.leases import Leases, spends
from lupintack.core.member_table import Change, Endpoint, MemberTable
from lupintack.core.messages import Answer, ClientRequest, Ended, Left, Link, Order
from lupintack.core.request_log import RequestLog
from lupintack.core.settings_update import SettingsUpdate, apply
from lupintack.core.trace import wanted
from lupintack.interface import (
    NEVER_RAN,
    Action,
    AttemptEnded,
    Cancel,
    ClientGone,
    Event,
    Fail,
    Fetch,
    Keep,
    Log,
    Refuse,
    Repeat,
    Request,
    ServeOwn,
    SetTimer,
    Settings,
    State,
    TimerFired,
)
from lupintack.limits.bands import Bands
from lupintack.limits.keys import Keys, Risk
from lupintack.logs import fields
from lupintack.policy import Router

LOG = logging.getLogger("core")
TURN_MOST = 64  # messages in one turn: the clock must not grow old under a flood
TURNS_MOST = 4  # turns that a poster runs before it goes back to its own work
NAP_S = 0.01  # the timer's thread looks again this often: no timer is set closer than that
TICK_US = 250_000  # between two looks of the peers after idle and silent connections
DUE_LIMIT, DUE_TOKEN = 0, 1


@dataclass(slots=True)
class Owed:
    """A request whose final answer is owed, or whose attempts are still out."""

    ask: ClientRequest
    safe: bool
    sent: int = 0
    over: bool = False
    band: str = ""  # of its told size, for the counters; "": none was told
    live: dict[int, Order] = field(default_factory=dict)
    last_end: Ending | None = None  # of its attempts, for the log


@dataclass(slots=True)
class Stop:
    """The end: done is called whenever nothing is owed."""

    done: Callable[[], None]


class Close:
    """The very end: what is still owed is failed now."""


Message = ClientRequest | Left | Ended | Change | SettingsUpdate | HandoffRequest | Stop | Close


def same(one: ClientRequest, other: ClientRequest) -> bool:
    """Whether two requests ask for the same."""
    mine, theirs = ((a.cls, a.item, a.part, a.group, a.token) for a in (one, other))
    return mine == theirs


class Core:
    """Hosts one instance of the module."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        member_table: MemberTable,
        connect: Callable[[int, Endpoint], Link],
        copies: Copies | None = None,
    ) -> None:
        self.settings = settings
        self.router = Router(settings, seed)
        self.random = Random(seed)
        self.member_table = member_table
        self.connect = connect
        self.copies = copies
        self.fresh: dict[int, tuple[ClientRequest, Answer]] = {}  # what this turn's attempts have brought
        self.mailbox: deque[Message] = deque()
        self.running = threading.Lock()
        self.wake = threading.Event()  # a poster leaves the rest to the core's own thread
        self.counters = Counters()
        self.owed: dict[int, Owed] = {}
        self.ids: dict[str, int] = {}  # the wires' ids of what is owed or still out
        self.hosts: dict[int, Endpoint] = {}
        self.links: dict[int, tuple[tuple[str, int], Link]] = {}
        self.retired: list[Link] = []
        self.timers: list[tuple[int, int, int, int]] = []
        self.again: list[Event] = []
        self.swept: list[int] = []
        self.last_number = 0
        self.timer_number = 0
        self.keys = Keys()
        self.bands = Bands()
        self.requests = RequestLog()
        self.purges_known = 0  # the number of the last purge that the module has been told of
        self.updates_known = 0  # and of the last news of any kind (MemberTable.news)
        self.early: list[Ended] = []  # attempts held back by news that the module has yet to hear
        self.now = now_us()
        self.numbers = {cls.name: n for n, cls in enumerate(settings.classes)}  # of classes that are served
        self.processes = 1  # that share the router's budgets
        self.fleet: Fleet | None = None  # the routers as they see one another; None: as the settings say
        self.leases: Leases | None = None  # of the fleet's budgets; None: the module goes by numbers
        self.stop: Stop | None = None
        self.closing = False  # the very end: what still comes is refused
        self.over = False  # the program goes on without this core, as tests do
        self.trace = wanted(os.environ)

    # What the others call

    def take(self, ask: ClientRequest) -> None:
        """A front has taken a request."""
        self.post(ask)

    def free(self) -> int:
        """How many more requests would be taken; asked by a front before it words one."""
        return self.settings.max_open - len(self.owed) - len(self.mailbox)

    def left(self, ask: ClientRequest) -> None:
        """The client of a request has left: nothing of it is written from here on."""
        ask.gone = True
        self.post(Left(ask))

    def ended(self, ended: Ended) -> None:
        """A peer tells how an attempt ended."""
        self.post(ended)

    def news(self, change: Change) -> None:
        """The member table tells what has changed."""
        self.post(change)

    # The turn

    def post(self, message: Message) -> None:
        """Into the mailbox; and the turn, unless another thread is in it and will see the message."""
        self.mailbox.append(message)
        self.drive()

    def drive(self, most: int = TURNS_MOST) -> None:
        """Turns until nothing waits, or `most` are done. The check after the release keeps a message from
        being left lying.

        Guards against a poster that is kept for as long as others post: the connection that its thread reads
        would stand still, under load for seconds. The core's own thread goes on in its place.
        """
        while (self.mailbox or self.again) and self.running.acquire(blocking=False):
            if most == 0:
                self.running.release()
                self.wake.set()
                return
            most -= 1
            try:
                batch: list[Message] = []
                while self.mailbox and len(batch) < TURN_MOST:
                    batch.append(self.mailbox.popleft())
                self.turn(batch)
            except Exception:  # not the poster's fault; the timers of the deadlines answer what is owed
                LOG.exception("turn failed")
            finally:
                self.running.release()

    def run(self) -> None:
        """The timers' thread, until `over`: what is still read after a Stop has its deadline, too."""
        tick = now_us() + TICK_US
        while not self.over:
            now = now_us()
            if self.timers and self.timers[0][0] <= now and self.running.acquire(blocking=False):
                try:
                    self.turn([])
                finally:
                    self.running.release()
            self.drive(-1)
            if now >= tick:
                tick = now + TICK_US
                for _, link in list(self.links.values()):
                    link.tick()
                # Guards against connections of a member that is gone being kept open for good.
                self.retired = [link for link in self.retired if not link.done()]
                for link in self.retired:
                    link.tick()
            if self.stop is not None and all(one.over for one in list(self.owed.values())):
                self.stop.done()
            if self.wake.wait(NAP_S):
                self.wake.clear()

    def turn(self, batch: list[Message]) -> None:
        """One turn of the loop."""
        self.now = now_us()
        events, self.again = self.again, []
        held: list[Callable[[], None]] = []
        for message in batch:
            if isinstance(message, ClientRequest):
                self.on_ask(message, events)
            elif isinstance(message, Ended):
                self.on_ended(message, events)
            elif isinstance(message, Left):
                self.on_left(message, events)
            elif isinstance(message, Change):
                self.on_change(message, events, held)
            elif isinstance(message, SettingsUpdate):
                apply(self, message)
            elif isinstance(message, HandoffRequest):
                message.done(take(self))
            elif isinstance(message, Close):
                self.on_close(events)
            else:
                self.stop = message
        self.on_timers(events)
        if events:
            actions = self.router.handle(module_ms(self.now), events)
            if self.trace is not None:
                self.trace(self.now, events, actions)
            for action in actions:
                self.act(action)
        for number in self.swept:
            one = self.owed.pop(number, None)
            if one is not None and self.ids.get(one.ask.wire_id) == number:
                del self.ids[one.ask.wire_id]
        self.swept.clear()
        self.fresh.clear()
        for done in held:
            done()

    # What comes in

    def on_ask(self, ask: ClientRequest, events: list[Event]) -> None:
        """Owe an answer, and tell the module."""
        if self.closing or len(self.owed) >= self.settings.max_open:
            self.counters["answered.refused"] += 1
            ask.sink.refused(int(self.settings.max_retry_after))
            return
        if ask.cls_name and self.numbers.get(ask.cls_name) != ask.cls:
            # Its class has gone, or has another number, since the front read it: nothing has run.
            self.counters["answered.refused"] += 1
            ask.sink.refused(0)
            return
        twin = self.owed.get(self.ids.get(ask.wire_id, 0))
        if twin is not None and not (twin.safe and same(twin.ask, ask)):
            # Guards against a client that uses an open id for something else: the caches know requests by
            # their ids, and would close a connection that others share.
            self.counters["answered.rejected"] += 1
            ask.sink.rejected()
            return
        cls = self.settings.classes[ask.cls]
        if ask.gone:
            # Guards against a client that left before the turn came: its Left finds nothing owed.
            self.counters["taken." + cls.name] += 1
            self.counters["left"] += 1
            return
        self.last_number = self.last_number % 0xFFFFFFF0 + 1
        number = ask.number = self.last_number
        one = self.owed[number] = Owed(ask, cls.repeat is Repeat.SAFE)
        if ask.size_kb > 0.0:
            one.band = f"size.{self.bands.take(cls.name, ask.size_kb).value}"
        self.ids[ask.wire_id] = number
        self.counters["taken." + cls.name] += 1
        self.set_timer(ask.deadline_us, DUE_LIMIT, number)
        due = module_ms(ask.deadline_us)
        age = wait = -1.0
        if self.copies is not None and self.now - self.member_table.proved_us < PROOF_US:
            # Guards against a purge that does not reach us: after some seconds it counts as told.
            copy, age = self.copies.find(ask)
            age = -1.0 if copy is not None and self.member_table.is_behind() else age
            wait = self.copies.wait_ms(self.now)
        risk = self.keys.first(ask.cls, ask.token) if cls.repeat is Repeat.KEYED else None
        events.append(
            Request(
                number, ask.cls, ask.object_id, due, ask.size_kb, ask.group, ask.part, 0, ask.repeated,
                ask.write, age, wait, module_ms(risk.at_us) if risk else 0.0, risk.member if risk else 0,
            )
        )  # fmt: skip

    def on_left(self, message: Left, events: list[Event]) -> None:
        """Nothing more is owed."""
        one = self.owed.get(message.ask.number)
        if one is not None and not one.over:
            self.end_with(one, "left")
            events.append(ClientGone(message.ask.number))
            self.sweep(message.ask.number, one)

    def on_ended(self, message: Ended, events: list[Event]) -> None:
        """An attempt has ended; the first good answer is the client's."""
        order, ending = message.order, message.ending
        one = self.owed.get(order.ask.number)
        if one is None or order.number not in one.live:
            return  # given up before: its end was told then
        if ending is Ending.WITHDRAWN and not one.over and self.awaits_update():
            # Guards against a module that chooses the same again until its tries are spent: the write knows
            # of updates at once, the module when its turn brings them. The end is told after these.
            self.early.append(message)
            return
        del one.live[order.number]
        self.counters[ending.label] += 1
        answer = message.answer
        if ending in (Ending.SERVED, Ending.HOLDS) and answer is not None and not one.over:
            self.end_with(one, "answered.served")
            one.ask.sink.served(answer, ending is Ending.HOLDS)
            if ending is Ending.SERVED and self.copies is not None and not self.purged_since(order):
                self.fresh[order.ask.number] = (order.ask, answer)
        one.last_end = ending
        events.append(self.verdict(one, order, ending, message))
        self.sweep(order.ask.number, one)

    def awaits_update(self) -> bool:
        """Whether the table knows of something that the module doesn't, or is about to."""
        table = self.member_table
        if self.updates_known < table.updates:
            return True
        if not table.is_behind():
            return False
        table.awaited = True
        return True

    def purged_since(self, order: Order) -> bool:
        """Whether a purge has come since an attempt was decided: its answer may be older, whatever its
        stamp.
        """
        return self.member_table.purged_since(order.ask, order.purges_known)

    def verdict(self, one: Owed, order: Order, ending: Ending, message: Ended | None) -> AttemptEnded:
        """The end of an attempt in the module's words."""
        answer = message.answer if message else None
        elapsed = (self.now - order.decided_us) / 1000.0
        outcome = ending.outcome
        if order.ask.token and outcome in NEVER_RAN:
            self.keys.never_ran(order.ask.cls, order.ask.token, order.ask.number, order.number)
        if answer is None:
            return AttemptEnded(order.ask.number, order.number, order.member, outcome, elapsed, one.over)
        return AttemptEnded(
            order.ask.number,
            order.number,
            order.member,
            outcome,
            elapsed,
            one.over,
            answer.note,
            answer.waited_ms,
            answer.load,
        )

    def on_change(self, change: Change, events: list[Event], held: list[Callable[[], None]]) -> None:
        """The list has changed, or something was purged."""
        self.purges_known = max(self.purges_known, change.number)
        self.updates_known = max(self.updates_known, change.upto)
        if change.purge is not None and self.copies is not None:
            self.copies.purge(change.purge.object_id, change.purge.group, change.purge.unix_ms)
        for number, host in change.hosts:
            self.hosts[number] = host
            if host.state is State.GONE:
                del self.hosts[number]  # replaced caches come under new ids, day after day
            link = self.links.get(number)
            if link is not None and (host.state is State.GONE or host.dial != link[0]):
                del self.links[number]
                link[1].retire()
                self.retired.append(link[1])
        if change.hosts:
            self.requests.list_changed(self.now)
        events.extend(change.events)
        if change.done is not None:
            held.append(change.done)
        early, self.early = self.early, []
        for message in early:
            self.on_ended(message, events)

    def on_close(self, events: list[Event]) -> None:
        """Answer everybody: the module hears that they are gone, and gives up what is out.

        Guards against a request that is read after this: sent on, it would be lost with the process.
        """
        self.closing = True
        for number, one in list(self.owed.items()):
            if not one.over:
                self.finish(number, one, Fail(number, "the process ends"))
                events.append(ClientGone(number))

    # Timers

    def set_timer(self, at_us: int, what: int, number: int) -> None:
        self.timer_number += 1
        heapq.heappush(self.timers, (at_us, self.timer_number, what, number))

    def on_timers(self, events: list[Event]) -> None:
        """The module's timers, and the requests whose time is up, whether they are over or not."""
        while self.timers and self.timers[0][0] <= self.now:
            _, _, what, number = heapq.heappop(self.timers)
            if what == DUE_TOKEN:
                events.append(TimerFired(number))
                continue
            one = self.owed.get(number)
            if one is None:
                continue
            if not one.over and not one.live:
                # Guards against a request that the module holds: its answer is due now, whatever it plans.
                self.finish(number, one, Fail(number, "held until its time was up"))
                events.append(ClientGone(number))
            # Also of a request that is over: what may not be cancelled, and never ends, would stay for good.
            for order in list(one.live.values()):
                self.end(one, order, Ending.DEADLINE, events)

    def end(self, one: Owed, order: Order, ending: Ending, events: list[Event]) -> None:
        """Stop waiting for an attempt."""
        one.live.pop(order.number, None)
        self.counters[ending.label] += 1
        if order.link is not None:
            order.link.give_up(order)
        events.append(self.verdict(one, order, ending, None))
        self.sweep(order.ask.number, one)

    # What the module answers

    def act(self, action: Action) -> None:
        """Do one thing."""
        if isinstance(action, Fetch):
            self.on_fetch(action)
        elif isinstance(action, SetTimer):
            self.set_timer(from_module_ms(action.when), DUE_TOKEN, action.token)
        elif isinstance(action, (Refuse, Fail)):
            one = self.owed.get(action.request)
            if one is not None and not one.over:
                self.finish(action.request, one, action)
        elif isinstance(action, Cancel):
            one = self.owed.get(action.request)
            order = one.live.get(action.attempt) if one is not None else None
            if order is not None and order.link is not None:
                # Its end is told once the member has been: until then another one may not be out beside it.
                order.link.give_up(order, tell=True)
        elif isinstance(action, ServeOwn):
            self.serve_own(action.request)
        elif isinstance(action, Keep):
            found = self.fresh.get(action.request)
            if found is not None and self.copies is not None:
                self.copies.keep(*found)
        elif isinstance(action, Log):
            host = self.hosts.get(action.member)
            LOG.info("module", extra=fields(member=host.name if host else "", text=action.text))

    def serve_own(self, number: int) -> None:
        """The final answer of a request from the router's own copy."""
        one = self.owed.get(number)
        if one is None or one.over or self.copies is None:
            return
        answer, holds = None, False
        table = self.member_table
        if not table.purged_since(one.ask, self.purges_known) and not table.is_behind():
            answer, holds = self.copies.take(one.ask, self.now)
        if answer is None:
            self.finish(number, one, Refuse(number, 0.0, "its own copy was purged"))  # nothing ran
            return
        self.end_with(one, "answered.own")
        one.ask.sink.served(answer, holds)
        self.sweep(number, one)

    def finish(self, number: int, one: Owed, action: Refuse | Fail) -> None:
        """The final answer of a request that is not served."""
        kind = "request refused" if isinstance(action, Refuse) else "request failed"
        cls_name = self.settings.classes[one.ask.cls].name
        self.requests.line(kind, self.now, one.ask, cls=cls_name, why=action.why, attempts=one.sent)
        if isinstance(action, Refuse):
            self.end_with(one, "answered.refused")
            one.ask.sink.refused(int(action.retry_after))
        else:
            self.end_with(one, "answered.failed")
            one.ask.sink.failed()
        self.sweep(number, one)

    def end_with(self, one: Owed, how: str) -> None:
        """Nothing more is owed; counted by how it ended, and beside the others of its class by its size."""
        one.over = True
        self.counters[how] += 1
        if one.band:
            self.counters[f"{one.band}.{how}"] += 1

    def sweep(self, number: int, one: Owed) -> None:
        """Forget a request that is over and has nothing out, once the turn has ended.

        Guards against an attempt that the module orders in the very turn in which its request ended: it
        must be numbered like any other before the record goes.
        """
        if one.over and not one.live:
            self.swept.append(number)

    def on_fetch(self, action: Fetch) -> None:
        """One attempt: out to its member, unless its request is over."""
        one = self.owed.get(action.request)
        if one is None:
            LOG.error("an attempt for no request", extra=fields(request=action.request))
            return
        host, source = self.hosts.get(action.member), self.hosts.get(action.source)
        order = Order(
            ask=one.ask,
            number=one.sent,
            member=action.member,
            source=0 if action.source == action.member else action.source,
            cls_name=self.settings.classes[one.ask.cls].name,
            source_host=source.name if source is not None and action.source != action.member else "",
            keep=action.keep,
            max_age_ms=action.max_age,
            join=action.join,
            renew=action.renew,
            held_only=action.held_only,
            decided_us=self.now,
            purges_known=self.purges_known,
            stale=self.member_table.stale,
        )
        one.sent += 1
        cls = self.settings.classes[one.ask.cls]
        if cls.repeat is Repeat.KEYED and one.ask.token:
            first = self.keys.first(one.ask.cls, one.ask.token)
            if first is not None:
                order.until_us = first.at_us + int(cls.dedup_window * 1000)
            risk = Risk(self.now, action.member, action.request, order.number)
            keep_us = int((cls.deadline + cls.dedup_window) * 1000)
            self.keys.sent(one.ask.cls, one.ask.token, risk, keep_us)
        if self.leases is not None and spends(self.router, action, self.leases, one.ask.write or cls.write):
            # The check at the write: what waited for a connect past the lease is not written under it.
            ends = self.leases.until_us
            order.until_us = min(order.until_us, ends) if order.until_us else ends
        late = self.now >= one.ask.deadline_us
        if one.over or one.ask.gone or host is None or host.dial is None or late:
            self.again.append(self.verdict(one, order, Ending.NOT_OWED, None))
            return
        one.live[order.number] = order
        self.counters["sent." + order.cls_name] += 1
        if order.number or self.requests.near(self.now):
            self.log_attempt(one, order, host.name)
        pair = self.links.get(action.member)
        if pair is None:
            pair = self.links[action.member] = (host.dial, self.connect(action.member, host))
        order.link = pair[1]
        order.link.send(order)

    def log_attempt(self, one: Owed, order: Order, member: str) -> None:
        """A further attempt, with the end of the one before; or one beside a change of the list."""
        after = one.last_end.name.lower() if one.last_end is not None else "nothing has ended"
        told = {
            "member": member,
            "source": order.source_host,
            "attempt": order.number,
            "update": self.updates_known,
        }
        if order.number:
            self.requests.line("attempt again", self.now, one.ask, after=after, **told)
        else:
            self.requests.line("attempt", self.now, one.ask, **told)
