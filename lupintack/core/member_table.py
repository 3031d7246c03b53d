"""The member table: which members may receive attempts and what was purged, from all sources of updates.

A source (discovery, CDNI purges) calls `update_list` and `purge`. Peers check the table immediately before
each write, and each change is passed to the core. Nothing here waits for the core.
"""

from __future__ import annotations

import logging
import math
import threading
from collections.abc import Callable, Iterable
from dataclasses import replace
from queue import Empty, SimpleQueue

from lupintack.clock import UNIX_OFFSET_US, module_ms, now_us
from lupintack.core.list_validity import ListValidity
from lupintack.core.messages import Attempt, ClientRequest
from lupintack.core.purge_memory import PurgeMemory
from lupintack.core.source_reads import SourceReadId, SourceReads
from lupintack.core.table_updates import (
    BansUpdate,
    Endpoint,
    IdentifiedEndpoint,
    ListConfirmed,
    ListExpiryCheck,
    ListUpdate,
    PurgeUpdate,
    SourceRead,
    TableChange,
    Update,
    member_id,
    purge_of_object,
)
from lupintack.core.timestamps import LogClock
from lupintack.interface import ListKind, Member, MemberList, MemberState, Purged
from lupintack.lifecycle.bans import Bans
from lupintack.logs import LineLimit, fields

LOG = logging.getLogger("member_table")
MAX_LOG_LINES_PER_S = 40  # about changed members


class MemberTable:
    """The actor that owns the endpoint list. Only its own thread writes the tables; any thread reads them."""

    def __init__(self, settle_ms: float, origin_kind: int = -1) -> None:
        """`settle_ms`: how long purges matter; `origin_kind`: the kind of member that needs no valid list."""
        self.mailbox: SimpleQueue[Update | None] = SimpleQueue()
        self.origin_kind = origin_kind
        self.listed_endpoints: dict[int, Endpoint] = {}  # as the list describes them
        self.usable_endpoints: dict[int, Endpoint] = {}  # the same with bans and the list's validity applied
        self.bans = Bans()  # replaced, never changed
        self.banned: frozenset[int] = frozenset()  # takes effect on writes as soon as it is set
        self.returned_us: dict[str, int] = {}  # when this process saw that a member's ban was lifted
        self.purge_memory = PurgeMemory(settle_ms)
        self.validity = ListValidity()
        self.update_count = 0  # incremented before the tables change, and sent with each change
        self.count_lock = threading.Lock()
        self.notified_us = now_us()  # when a source was last known to be alive
        self.clock = LogClock(UNIX_OFFSET_US)
        self.log_limit = LineLimit(MAX_LOG_LINES_PER_S)
        self.notify: Callable[[TableChange], None] = lambda change: None
        self.source_reads = SourceReads()  # reads whose updates are not in the table yet
        self.is_awaited = False  # the core defers attempts until a source has been read
        # Called by any thread; must not block: bytes of discovery, and records of other processes
        self.has_unread: Callable[[], bool] = lambda: False
        self.has_unread_records: Callable[[], bool] = lambda: False

    # Called by sources of updates and by the node

    def set_purge_settle_ms(self, settle_ms: float) -> None:
        """Set how long purges matter, by new settings."""
        self.purge_memory.set_settle_ms(settle_ms)

    def require_proof(self, validity_us: int) -> None:
        """Treat the list as of unknown age until it is confirmed; a proof is valid for `validity_us`.

        Called before any member is listed. Members may have drained unnoticed before a start or during a long
        silence, so until then only the origin is used, which is never taken out of service.
        """
        self.validity.require_proof(validity_us)

    def set_validity(self, validity_us: int) -> None:
        """Set how long a proof is valid, by new settings; FOREVER_US if discovery is not used."""
        self.validity.set_validity(validity_us, now_us())
        self.mailbox.put(ListExpiryCheck())  # wakes the table's thread, which waits by the old limit

    def update_list(
        self, is_complete: bool, endpoints: tuple[Endpoint, ...], version: int = 0, revision: int = 0
    ) -> None:
        """Queue changes of the list, or all of it."""
        self.mailbox.put(ListUpdate(is_complete, endpoints, version, revision))

    def observe_timestamps(self, unix_ms: Iterable[float]) -> None:
        """Observe timestamps of the log's clock before the log is applied and the table's thread runs."""
        now = now_us()
        for timestamp in unix_ms:
            self.observe_timestamp(timestamp, now)

    def confirm(self, proved_us: int) -> None:
        """Queue a proof: every change notified before that moment is in the table or in the mailbox."""
        self.mailbox.put(ListConfirmed(proved_us))

    def begin_read(self, arrived_us: int) -> SourceReadId:
        """Record that a source begins to read bytes that arrived at `arrived_us` at the earliest."""
        return self.source_reads.begin(arrived_us)

    def end_read(self, read: SourceReadId) -> None:
        """Queue the end of a read, after all updates that it contained."""
        self.mailbox.put(SourceRead(read))

    def release_held_back(self) -> None:
        """Queue a change for the core if attempts wait for a source, as its connection has ended."""
        if self.is_awaited:
            self.mailbox.put(SourceRead(None))

    def await_source(self) -> bool:
        """Return whether the table is behind its sources; the core is notified once it no longer is.

        The flag is set before the check: otherwise a read that ends in between would not notify the core.
        """
        self.is_awaited = True
        return self.is_behind()

    def purge(
        self,
        object_id: int | None,
        group: int,
        unix_ms: float | None,
        on_applied: Callable[[], None] | None = None,
        told_us: int | None = None,
    ) -> None:
        """Queue a purge of copies older than `unix_ms`, or else than `told_us`, or else than this call."""
        self.mailbox.put(PurgeUpdate(object_id, group, unix_ms, on_applied, told_us))

    def set_bans(self, bans: Bans) -> None:
        """Replace the operators' bans; they apply to writes immediately, before the mailbox is processed."""
        self.next_update()
        # Uses the time of this call, not the one in the file: another process's clock may be wrong.
        added = {name: now_us() for name, at in bans.included.items() if self.bans.included.get(name) != at}
        kept = {name: at for name, at in self.returned_us.items() if name in bans.included}
        self.returned_us = kept | added
        self.bans, self.banned = bans, frozenset(member_id(name) for name in bans.excluded)
        self.mailbox.put(BansUpdate())

    def next_update(self) -> int:
        """Count an update before it takes effect, and return its number."""
        with self.count_lock:
            self.update_count += 1
            return self.update_count

    def find(self, name: str) -> Endpoint | None:
        """Return a member as the list describes it, or None if it is not listed."""
        return self.listed_endpoints.get(member_id(name))

    def proof_age_ms(self) -> int:
        """Return the age of the last proof that the list was current, in milliseconds; negative: no proof."""
        return self.validity.proof_age_ms(now_us())

    # Called by peers immediately before a write, on any thread

    def is_behind(self) -> bool:
        """Return whether a source has sent data that should be in the table by now, and isn't.

        Checks the stages in the order in which bytes pass through them: unread, read, and then, by the
        caller, the table. In another order both checks could miss bytes that are read in between.
        """
        return self.has_unread() or self.has_unread_records() or self.source_reads.is_behind(now_us())

    def is_outdated(self, attempt: Attempt) -> bool:
        """Return whether an update since the decision forbids the attempt.

        A member may begin to drain, or the object may be purged, while an attempt is queued in a mailbox or
        for a connection; the platform's rules apply at the first byte, not at the decision. A purge applies
        by its number as soon as the table has it, even if the core has not received it yet. An expired list,
        or a table that is behind its sources, forbids the attempt too.
        """
        if self.depends_on_list(attempt) and (self.validity.has_expired(now_us()) or self.is_behind()):
            return True
        for number in (attempt.member, attempt.source):
            if number and not self._is_usable(number):
                return True
        return self.is_purged_since(attempt.request, attempt.purges_known)

    def depends_on_list(self, attempt: Attempt) -> bool:
        """Return whether the attempt goes to, or is filled from, any member but the origin."""
        numbers = (attempt.member, attempt.source)
        endpoints = (self.usable_endpoints.get(number) for number in numbers if number)
        return any(endpoint is None or endpoint.kind != self.origin_kind for endpoint in endpoints)

    def is_purged_since(self, request: ClientRequest, known_purge: int) -> bool:
        """Return whether a purge later than `known_purge` concerns the request."""
        if request.is_write:
            return False
        if self.purge_memory.is_purged_since(request.object_id, request.group, known_purge):
            return True
        return self.purge_memory.last_group_purge > known_purge and self.has_outdated_group(request)

    def has_outdated_group(self, request: ClientRequest) -> bool:
        """Return whether any group was purged after the request's group was read from metadata."""
        read_at = request.group_read_at_purge
        return read_at is not None and self.purge_memory.last_group_purge > read_at

    def _is_usable(self, number: int) -> bool:
        endpoint = self.usable_endpoints.get(number)
        return endpoint is not None and endpoint.state is MemberState.READY and number not in self.banned

    # The actor: all methods below run on the table's own thread

    def run(self) -> None:
        """Process updates until None is in the mailbox."""
        while True:
            try:
                update = self.mailbox.get(timeout=self.wait_s())
            except Empty:
                update = ListExpiryCheck()
            if update is None:
                return
            self.receive(update)

    def wait_s(self) -> float | None:
        """Return how long the list stays valid, in seconds; None: until the next update."""
        return self.validity.wait_s(now_us())

    def receive(self, update: Update) -> None:
        """Apply an update and notify the core of the change."""
        update_count = self.update_count + 1
        try:
            change = self.apply(update)
        except (ValueError, TypeError, OverflowError) as error:
            LOG.warning("unusable member table update", extra=fields(reason=error))
            change = TableChange((), update_count=update_count)  # the core may wait for this number
        if change is not None:
            self.notify(change)
        if self.validity.is_current:
            self.validity.confirmed.set()  # after `notify`: waiters expect the core to have the change

    def apply(self, update: Update) -> TableChange | None:
        """Apply an update; return the change for the core, or None where nothing changes for it."""
        if isinstance(update, ListConfirmed) and not self.on_confirmed(update):
            return None
        if isinstance(update, ListExpiryCheck) and not self.on_expiry_check():
            return None
        if isinstance(update, SourceRead) and not self.on_source_read(update):
            return None
        update_count = self.next_update()
        if isinstance(update, SourceRead):
            change = TableChange(())  # deferred attempts may be decided again
        elif isinstance(update, ListUpdate):
            change = self.on_list(update)
        elif isinstance(update, PurgeUpdate):
            change = self.on_purge(update)
        else:
            change = self.reapply_overlay()
        change.update_count = update_count
        return change

    def on_source_read(self, update: SourceRead) -> bool:
        """Record that a read is in the table; return whether attempts were, or may be, deferred for it."""
        was_late = update.read is not None and self.source_reads.end(update.read, now_us())
        if not self.is_awaited:
            return was_late
        self.is_awaited = False
        return True

    def on_confirmed(self, update: ListConfirmed) -> bool:
        """Record the proof; return whether it makes members usable."""
        if not self.validity.confirm(update.proved_us, now_us()):
            return False
        details = fields(members=len(self.listed_endpoints), proof_age_ms=self.proof_age_ms())
        LOG.info("list is current", extra=details)
        return True

    def on_expiry_check(self) -> bool:
        """Return whether the list has just expired."""
        if not self.validity.expire(now_us()):
            return False
        LOG.error("list is too old to act on", extra=fields(proof_age_ms=self.proof_age_ms(), used="origin"))
        return True

    def reapply_overlay(self) -> TableChange:
        """Apply bans and the list's validity again; return the change of the members affected."""
        bans = self.bans
        changed = [
            endpoint
            for number, endpoint in self.listed_endpoints.items()
            if self.effective_endpoint(bans, endpoint) != self.usable_endpoints.get(number)
        ]
        return self.on_list(ListUpdate(False, tuple(changed)))

    def effective_endpoint(self, bans: Bans, endpoint: Endpoint) -> Endpoint:
        """Return a listed member with the bans applied, and as draining while the list isn't current."""
        state, born_unix_ms = bans.apply_to(endpoint.name, endpoint.state, endpoint.born_unix_ms)
        needs_list = endpoint.kind != self.origin_kind
        if state is MemberState.READY and not self.validity.is_current and needs_list:
            state = MemberState.DRAINING
        is_same = state is endpoint.state and born_unix_ms == endpoint.born_unix_ms
        return endpoint if is_same else replace(endpoint, state=state, born_unix_ms=born_unix_ms)

    def observe_timestamp(self, unix_ms: float, now: int) -> None:
        """Observe a timestamp of the log's clock; 0 means that there is none."""
        if unix_ms > 0 and math.isfinite(unix_ms):
            self.clock.observe(int(unix_ms * 1000), now)

    def on_list(self, update: ListUpdate) -> TableChange:
        """Apply changes of the list, or all of it."""
        now = now_us()
        for listed in update.endpoints:
            self.observe_timestamp(listed.born_unix_ms, now)
        bans = self.bans
        changed = self._remove_unlisted(update) if update.is_complete else []
        members = []
        for listed in update.endpoints:
            number = member_id(listed.name)
            endpoint = self.effective_endpoint(bans, listed)
            previous = self.usable_endpoints.get(number)
            if previous is not None or not update.is_complete:
                self._log_state(previous, endpoint, update.revision)
            self.listed_endpoints[number], self.usable_endpoints[number] = listed, endpoint
            if endpoint.state is MemberState.REMOVED:
                del self.usable_endpoints[number], self.listed_endpoints[number]
            changed.append(IdentifiedEndpoint(number, endpoint))
            members.append(self._member(number, endpoint, now))
        kind = ListKind.FULL if update.is_complete else ListKind.DELTA
        return TableChange((MemberList(kind, tuple(members), update.version),), tuple(changed))

    def _remove_unlisted(self, update: ListUpdate) -> list[IdentifiedEndpoint]:
        """Remove the members that a complete list lacks, and return them in the state REMOVED."""
        listed = {member_id(endpoint.name) for endpoint in update.endpoints}
        unlisted = [number for number in self.usable_endpoints if number not in listed]
        self.listed_endpoints = {
            number: endpoint for number, endpoint in self.listed_endpoints.items() if number in listed
        }
        return [
            IdentifiedEndpoint(number, replace(self.usable_endpoints.pop(number), state=MemberState.REMOVED))
            for number in unlisted
        ]

    def _member(self, number: int, endpoint: Endpoint, now: int) -> Member:
        started_ms = self.started_ms(endpoint, now)
        zone, kind, cell = endpoint.zone, endpoint.kind, endpoint.cell
        return Member(number, zone, kind, cell, endpoint.state, endpoint.size, started_ms)

    def _log_state(self, previous: Endpoint | None, endpoint: Endpoint, revision: int) -> None:
        """Log a member's new state; a revision of 0 means that no discovery event changed it."""
        if not revision or (previous is not None and previous.state is endpoint.state):
            return
        suppressed = self.log_limit.allow(now_us())
        if suppressed < 0:
            return
        previous_state = previous.state.name.lower() if previous is not None else "none"
        state = endpoint.state.name.lower()
        details = fields(
            member=endpoint.name, state=state, before=previous_state, number=revision, suppressed=suppressed
        )
        LOG.info("member state", extra=details)

    def started_ms(self, endpoint: Endpoint, now: int) -> float:
        """Return when a member started or its ban was lifted, by the core's clock; 0: long ago.

        Later timestamps refine the result for the same start; the core keeps the first one that it received.
        """
        started_ms = 0.0
        if endpoint.born_unix_ms > 0 and math.isfinite(endpoint.born_unix_ms):
            started_ms = module_ms(now - self.clock.age_us(int(endpoint.born_unix_ms * 1000), now))
        returned_us = self.returned_us.get(endpoint.name)
        return max(started_ms, module_ms(returned_us)) if returned_us is not None else started_ms

    def on_purge(self, update: PurgeUpdate) -> TableChange:
        """Record a purge; one that has already settled yields no event for the decisions."""
        now = now_us()
        age_us = 0
        if update.unix_ms is not None and math.isfinite(update.unix_ms):
            age_us = self.clock.age_us(int(update.unix_ms * 1000), now)
        elif update.told_us is not None:
            age_us = max(0, now - update.told_us)
        number = self.purge_memory.remember(update.object_id, update.group, now)
        if update.object_id is None:
            event = Purged(0, update.group, age_us / 1000.0)
        else:
            event = purge_of_object(update.object_id, age_us / 1000.0)
        events = () if age_us > self.purge_memory.settle_us else (event,)
        return TableChange(events, on_applied=update.on_applied, purge=update, purge_number=number)
