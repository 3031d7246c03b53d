"""The core: an actor that runs the decision module between the fronts and the members.

One turn takes a batch of messages from the mailbox, reads the clock once, passes the resulting events to the
router, and performs the actions that it returns. `mailbox` describes which thread runs a turn.
"""

from __future__ import annotations

import logging
import os
from collections.abc import Callable, Mapping

from lupintack.clock import from_module_ms, module_ms, now_us
from lupintack.core.attempt_dispatch import AttemptDispatcher
from lupintack.core.attempt_results import AttemptResults
from lupintack.core.attempt_status import AttemptStatus
from lupintack.core.core_state import CoreState
from lupintack.core.deduplication import Deduplication
from lupintack.core.handoff import HandoffRequest, capture_state
from lupintack.core.leases import Leases
from lupintack.core.local_cache import LocalCache
from lupintack.core.mailbox import Mailbox, Message
from lupintack.core.member_links import Connect, MemberLinks
from lupintack.core.member_table import MemberTable
from lupintack.core.messages import (
    AttemptResult,
    ClientDisconnection,
    ClientRequest,
    FailOpenRequests,
    ReadSharedKeys,
    SharedKeysGap,
    Shutdown,
)
from lupintack.core.request_intake import RequestIntake
from lupintack.core.request_log import RequestLog
from lupintack.core.request_table import RequestInFlight, RequestTable
from lupintack.core.responder import Responder
from lupintack.core.settings_update import SettingsUpdate, apply
from lupintack.core.table_updates import TableChange, purge_of_object
from lupintack.core.timers import TimerKind, TimerQueue
from lupintack.core.trace import writer
from lupintack.decisions.router import Router
from lupintack.interface import (
    Action,
    Cancel,
    ClientDisconnected,
    Event,
    Fail,
    Fetch,
    Log,
    Reject,
    ServeLocalCopy,
    SetTimer,
    Settings,
    StoreLocalCopy,
    TimerFired,
)
from lupintack.limits.idempotency_cache import IdempotencyCache
from lupintack.logs import fields
from lupintack.pauses import PROCESS_PAUSES

LOG = logging.getLogger("core")
TIMER_INTERVAL_S = 0.01  # period of the timer check, and so the resolution of timers
LINK_TICK_INTERVAL_US = 250_000


class Core:
    """Runs one router: accepts messages from any thread, and handles them in turns."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        member_table: MemberTable,
        connect: Connect,
        local_cache: LocalCache | None = None,
    ) -> None:
        """`connect` opens the link to a member; it is called at the member's first attempt."""
        self.router = Router(settings, seed)
        self.member_table = member_table
        self.local_cache = local_cache
        class_indexes = {cls.name: n for n, cls in enumerate(settings.classes)}
        self.state = CoreState(settings, self.router, member_table, local_cache, class_indexes, now_us())
        self.counters = self.state.counters
        self.mailbox = Mailbox(self.run_turn)
        self.requests = RequestTable()
        self.member_links = MemberLinks(connect)
        self.timers = TimerQueue()
        self.request_log = RequestLog()
        self.responder = Responder(self.state, self.requests, self.request_log)
        self.idempotency_cache = IdempotencyCache(self.counters)
        self.deduplication = deduplication = Deduplication(self.state, self.idempotency_cache)
        self.intake = RequestIntake(self.state, self.requests, self.timers, deduplication)
        self.results = AttemptResults(self.state, self.requests, self.responder, deduplication)
        self.attempts = AttemptDispatcher(
            self.state,
            self.requests,
            self.member_links,
            self.results,
            deduplication,
            self.request_log,
            self._defer_event,
        )
        self.shutdown: Shutdown | None = None
        self.is_stopped = False  # set by `close`; the process may go on without this core, as in tests
        self.trace = writer(os.environ)

    @property
    def settings(self) -> Settings:
        """The settings in force."""
        return self.state.settings

    @property
    def requests_in_flight(self) -> Mapping[int, RequestInFlight]:
        """The requests in flight by number."""
        return self.requests.by_number

    def start_with_leases(self, leases: Leases) -> None:
        """Put leases into force before the first turn."""
        self.state.leases = leases
        self.state.settings = self.router.settings = leases.apply_to(self.state.settings)

    # Called by other threads

    def submit(self, request: ClientRequest) -> None:
        """Accept a request that a front has read."""
        self.mailbox.enqueue(request)

    def free_capacity(self) -> int:
        """Return how many more requests would be accepted; fronts check it before they read one."""
        return self.settings.max_in_flight - len(self.requests.by_number) - len(self.mailbox.messages)

    def on_client_disconnected(self, request: ClientRequest) -> None:
        """Mark a request's client as disconnected: from here on the request is not written to a member."""
        request.is_disconnected = True
        self.mailbox.enqueue(ClientDisconnection(request))

    def on_attempt_result(self, result: AttemptResult) -> None:
        """Accept the result of an attempt from a member's link."""
        self.mailbox.enqueue(result)

    def on_endpoints_changed(self, change: TableChange) -> None:
        """Accept a change of the member table."""
        self.mailbox.enqueue(change)

    def enqueue(self, message: Message) -> None:
        """Post a message; the turn that handles it may run on the calling thread."""
        self.mailbox.enqueue(message)

    def run(self) -> None:
        """Run timers and pending turns until the core is closed; the body of the core's own thread.

        Continues after a Shutdown, as the deadlines of requests that are read after it must still be kept.
        """
        next_tick_us = now_us() + LINK_TICK_INTERVAL_US
        while not self.is_stopped:
            now = now_us()
            PROCESS_PAUSES.tick(now)
            if self.timers.is_due(now):
                self.mailbox.run_timer_turn()
            self.mailbox.run_pending()
            if now >= next_tick_us:
                next_tick_us = now + LINK_TICK_INTERVAL_US
                self.member_links.tick()
            if self.shutdown is not None and not self.requests.has_unanswered():
                self.shutdown.on_all_answered()
            self.mailbox.wait(TIMER_INTERVAL_S)

    def close(self) -> None:
        """Stop the core's thread and drain its links; requests in flight are not answered."""
        self.is_stopped = True
        self.mailbox.wake_event.set()
        self.member_links.close()

    # The turn

    def run_turn(self, batch: list[Message]) -> None:
        """Handle messages and due timers, and perform the router's actions.

        Member table changes are applied first: attempts decided in this turn are stamped with all updates
        that the turn contains.
        """
        self.state.now_us = now_us()
        events: list[Event] = []
        callbacks: list[Callable[[], None]] = []
        for message in batch:
            if isinstance(message, TableChange):
                self._on_change(message, events)
                if message.on_applied is not None:
                    callbacks.append(message.on_applied)
        events += self.mailbox.take_deferred_events()
        for message in batch:
            self._handle(message, events)
        self.fire_due_timers(events)
        if events:
            actions = self.router.handle(module_ms(self.state.now_us), events)
            if self.trace is not None:
                self.trace(self.state.now_us, events, actions)
            for action in actions:
                self.perform(action)
        self.requests.remove_finished()
        self.results.forget_fetched()
        for callback in callbacks:
            callback()

    def _handle(self, message: Message, events: list[Event]) -> None:
        """Handle one message other than a change of the member table."""
        if isinstance(message, ClientRequest):
            self._accept(message, events)
        elif isinstance(message, AttemptResult):
            self.results.on_result(message, events)
        elif isinstance(message, ClientDisconnection):
            self._on_client_disconnection(message, events)
        elif isinstance(message, SettingsUpdate):
            apply(self.state, message, self._class_indexes_in_use)
        elif isinstance(message, HandoffRequest):
            message.on_state(capture_state(self.state))
        elif isinstance(message, (ReadSharedKeys, SharedKeysGap)):
            self.deduplication.on_shared_keys(message)
        elif isinstance(message, FailOpenRequests):
            self._fail_open_requests(events)
        elif isinstance(message, Shutdown):
            self.shutdown = message

    def _accept(self, request: ClientRequest, events: list[Event]) -> None:
        event = self.intake.accept(request)
        if event is None:
            return
        if self.member_table.has_outdated_group(request):
            events.append(purge_of_object(request.object_id))
        events.append(event)

    def _on_client_disconnection(self, message: ClientDisconnection, events: list[Event]) -> None:
        entry = self.requests.get(message.request.number)
        if entry is not None and not entry.is_answered:
            self.responder.mark_answered(entry, "disconnected")
            events.append(ClientDisconnected(message.request.number))
            self.requests.forget_if_finished(entry)

    def _on_change(self, change: TableChange, events: list[Event]) -> None:
        """Apply a change of the member list, or a purge."""
        state = self.state
        state.purges_known = max(state.purges_known, change.purge_number)
        state.updates_known = max(state.updates_known, change.update_count)
        if change.purge is not None and state.local_cache is not None:
            state.local_cache.purge(change.purge.object_id, change.purge.group, change.purge.unix_ms)
        self.member_links.apply_endpoints(change.endpoints)
        if change.endpoints:
            self.request_log.on_members_changed(state.now_us)
        events.extend(change.events)
        if change.purge is not None and change.purge.object_id is None:
            self._purge_by_metadata(events)
        self.results.handle_deferred(events)

    def _purge_by_metadata(self, events: list[Event]) -> None:
        """After a purge of a group, purge the objects in flight whose metadata may name that group by now."""
        table = self.member_table
        requests = self.requests.by_metadata.values()
        outdated = {request.object_id for request in requests if table.has_outdated_group(request)}
        events.extend(purge_of_object(object_id) for object_id in outdated)

    def _class_indexes_in_use(self) -> set[int]:
        """Return the class indexes of requests in flight or queued in the mailbox."""
        used = {entry.request.class_index for entry in self.requests.by_number.values()}
        waiting = list(self.mailbox.messages)
        return used | {message.class_index for message in waiting if isinstance(message, ClientRequest)}

    def _fail_open_requests(self, events: list[Event]) -> None:
        """Fail every unanswered request; the router abandons their attempts.

        Closes the intake as well: a request that is read after this and forwarded would be lost with the
        process.
        """
        self.intake.is_closed = True
        for number, entry in list(self.requests.by_number.items()):
            if not entry.is_answered:
                self.responder.finish_unserved(entry, "the process is shutting down")
                events.append(ClientDisconnected(number))

    def fire_due_timers(self, events: list[Event]) -> None:
        """Queue events for the router's due timers, and end requests whose deadline has passed."""
        while (timer := self.timers.pop_due(self.state.now_us)) is not None:
            if timer.kind is TimerKind.ROUTER:
                events.append(TimerFired(timer.token))
            else:
                self._on_deadline(timer.token, events)

    def _on_deadline(self, number: int, events: list[Event]) -> None:
        entry = self.requests.get(number)
        if entry is None:
            return
        if not entry.is_answered and not entry.open_attempts:
            # The router still keeps the request waiting, but its answer is due now.
            self.responder.finish_unserved(entry, "deadline passed while it waited")
            events.append(ClientDisconnected(number))
        # Answered requests too: an attempt that can't be cancelled and never ends would stay open forever.
        for attempt in list(entry.open_attempts.values()):
            self.results.abandon(entry, attempt, AttemptStatus.DEADLINE_EXCEEDED, events)

    def _defer_event(self, event: Event) -> None:
        self.mailbox.deferred_events.append(event)

    # The router's actions

    def perform(self, action: Action) -> None:
        """Carry out one action of the router."""
        if isinstance(action, Fetch):
            self.attempts.start(action)
        elif isinstance(action, SetTimer):
            self.timers.set(from_module_ms(action.at_ms), TimerKind.ROUTER, action.token)
        elif isinstance(action, (Reject, Fail)):
            entry = self.requests.get(action.request)
            if entry is not None and not entry.is_answered:
                self.responder.finish(entry, action)
        elif isinstance(action, Cancel):
            self.attempts.cancel(action.request, action.attempt)
        elif isinstance(action, ServeLocalCopy):
            self.responder.serve_local_copy(action.request)
        elif isinstance(action, StoreLocalCopy):
            self.results.store_fetched(action.request)
        elif isinstance(action, Log):
            LOG.info("router", extra=fields(member=self.member_links.name(action.member), text=action.text))
