"""Accepts clients' requests: refuses some immediately, and builds the router's events for the others."""

from __future__ import annotations

from typing import NamedTuple

from lupintack.clock import module_ms
from lupintack.core.core_state import CoreState
from lupintack.core.deduplication import Deduplication
from lupintack.core.local_cache import MAX_PROOF_AGE_US, NO_COPY_MS
from lupintack.core.messages import ClientRequest
from lupintack.core.request_table import RequestInFlight, RequestTable, is_same_request
from lupintack.core.table_updates import decision_object_id
from lupintack.core.timers import TimerKind, TimerQueue
from lupintack.interface import Idempotency, Request, ServiceClass
from lupintack.limits.size_buckets import SizeBuckets


class LocalCopy(NamedTuple):
    """The local copy that could serve a request, in ms; both negative if no cache may be used."""

    age_ms: float
    link_wait_ms: float


class RequestIntake:
    """Registers requests and describes them to the router. Used by the core's turn alone."""

    def __init__(
        self, state: CoreState, requests: RequestTable, timers: TimerQueue, deduplication: Deduplication
    ) -> None:
        """Start by accepting requests."""
        self._state = state
        self._requests = requests
        self._timers = timers
        self._deduplication = deduplication
        self._size_buckets = SizeBuckets()
        self.is_closed = False  # set when the process exits: every request is rejected

    def accept(self, request: ClientRequest) -> Request | None:
        """Register a request and return the event for the router; None if it is already settled."""
        if self._is_refused(request):
            return None
        service_class = self._state.settings.classes[request.class_index]
        if request.is_disconnected:
            # The client left before this turn: no entry exists when its ClientDisconnection is handled.
            self._state.counters["received." + service_class.name] += 1
            self._state.counters["disconnected"] += 1
            return None
        entry = self._register(request, service_class)
        return self._describe(entry)

    def _is_refused(self, request: ClientRequest) -> bool:
        """Refuse a request that can't be accepted; return whether it was refused."""
        state = self._state
        if self.is_closed or len(self._requests.by_number) >= state.settings.max_in_flight:
            state.counters["answered.rejected"] += 1
            request.sink.reject(int(state.settings.max_retry_after_ms))
            return True
        if request.class_name and state.class_indexes.get(request.class_name) != request.class_index:
            # Its class was removed or got another index since the front read it; nothing has run.
            state.counters["answered.rejected"] += 1
            request.sink.reject(0)
            return True
        other = self._requests.find_by_wire_id(request.wire_id)
        if other is not None and not (other.is_idempotent and is_same_request(other.request, request)):
            # The client reuses the id of an open request for another one: caches identify requests by id,
            # and would close a connection that other requests share.
            state.counters["answered.conflict"] += 1
            request.sink.report_conflict()
            return True
        if not self._deduplication.reserve(request):
            state.counters["answered.rejected"] += 1
            request.sink.reject(int(state.settings.max_retry_after_ms))
            return True
        return False

    def _register(self, request: ClientRequest, service_class: ServiceClass) -> RequestInFlight:
        entry = self._requests.add(request, service_class.idempotency is Idempotency.IDEMPOTENT)
        if request.size_kb > 0.0:
            bucket = self._size_buckets.classify(service_class.name, request.size_kb)
            entry.size_bucket = f"size.{bucket.value}"
        self._state.counters["received." + service_class.name] += 1
        self._timers.set(request.deadline_us, TimerKind.REQUEST_DEADLINE, request.number)
        return entry

    def _describe(self, entry: RequestInFlight) -> Request:
        """Build the event that lets the router decide on a request."""
        request = entry.request
        age_ms, wait_ms = self._local_copy(request)
        first_run = self._deduplication.first_run(request)
        return Request(
            request.number,
            request.class_index,
            decision_object_id(request.object_id),
            module_ms(request.deadline_us),
            request.size_kb,
            request.group,
            request.part,
            0,
            request.is_retry,
            request.is_write,
            age_ms,
            wait_ms,
            module_ms(first_run.sent_us) if first_run else 0.0,
            first_run.member if first_run else 0,
        )

    def _local_copy(self, request: ClientRequest) -> LocalCopy:
        """Return the local copy for a request; no copy if the cache may not be used."""
        state = self._state
        cache, table = state.local_cache, state.member_table
        if cache is None or state.now_us - table.validity.proved_us >= MAX_PROOF_AGE_US:
            # Without proof that the list is current, a purge may have been missed.
            return LocalCopy(NO_COPY_MS, -1.0)
        age_ms = cache.age_ms(request)
        if age_ms >= 0.0 and table.is_behind():
            age_ms = NO_COPY_MS
        return LocalCopy(age_ms, cache.link_wait_ms(state.now_us))
