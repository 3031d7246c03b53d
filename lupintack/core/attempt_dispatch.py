"""Starts attempts: passes the router's decisions to the links of the chosen members."""

from __future__ import annotations

import logging
from collections.abc import Callable

from lupintack.core.attempt_results import AttemptResults
from lupintack.core.attempt_status import AttemptStatus
from lupintack.core.core_state import CoreState
from lupintack.core.deduplication import Deduplication
from lupintack.core.leases import Leases, needs_lease
from lupintack.core.member_links import MemberLinks
from lupintack.core.messages import Attempt
from lupintack.core.request_log import RequestLog
from lupintack.core.request_table import RequestInFlight, RequestTable
from lupintack.core.table_updates import Endpoint
from lupintack.interface import Event, Fetch
from lupintack.logs import fields

LOG = logging.getLogger("core")


class AttemptDispatcher:
    """Sends the router's attempts to members. Used by the core's turn alone."""

    def __init__(
        self,
        state: CoreState,
        requests: RequestTable,
        links: MemberLinks,
        results: AttemptResults,
        deduplication: Deduplication,
        request_log: RequestLog,
        defer_event: Callable[[Event], None],
    ) -> None:
        """`defer_event` queues an event for the next turn."""
        self._state = state
        self._requests = requests
        self._links = links
        self._results = results
        self._deduplication = deduplication
        self._request_log = request_log
        self._defer_event = defer_event

    def start(self, action: Fetch) -> None:
        """Send one attempt to its member; if it may not be sent, report its end in the router's next turn."""
        entry = self._requests.get(action.request)
        if entry is None:
            LOG.error("attempt for an unknown request", extra=fields(request=action.request))
            return
        endpoint = self._links.endpoints.get(action.member)
        attempt = self._new_attempt(action, entry)
        entry.attempts_sent += 1
        request = entry.request
        is_recorded = self._deduplication.record(attempt)
        if self._state.leases is not None:
            self._limit_to_lease(self._state.leases, action, entry, attempt)
        is_late = self._state.now_us >= request.deadline_us
        if (
            entry.is_answered
            or request.is_disconnected
            or endpoint is None
            or endpoint.dial is None
            or is_late
            or not is_recorded
        ):
            self._defer_event(self._results.to_event(entry, attempt, AttemptStatus.NOT_NEEDED, None))
            return
        self._send(entry, attempt, endpoint, endpoint.dial)

    def cancel(self, number: int, attempt_number: int) -> None:
        """Cancel an attempt at its member.

        The attempt stays open until the member has been notified: until then no other attempt may run
        concurrently with it.
        """
        entry = self._requests.get(number)
        attempt = entry.open_attempts.get(attempt_number) if entry is not None else None
        if attempt is not None and attempt.link is not None:
            attempt.link.cancel(attempt, notify=True)

    def _new_attempt(self, action: Fetch, entry: RequestInFlight) -> Attempt:
        has_source = action.source != action.member
        return Attempt(
            request=entry.request,
            number=entry.attempts_sent,
            member=action.member,
            source=action.source if has_source else 0,
            class_name=self._state.settings.classes[entry.request.class_index].name,
            source_name=self._links.name(action.source) if has_source else "",
            retention_priority=action.retention_priority,
            max_age_ms=action.max_age_ms,
            coalesce=action.coalesce,
            revalidate=action.revalidate,
            only_if_cached=action.only_if_cached,
            decided_us=self._state.now_us,
            purges_known=self._state.purges_known,
            is_outdated=self._state.member_table.is_outdated,
        )

    def _limit_to_lease(
        self, leases: Leases, action: Fetch, entry: RequestInFlight, attempt: Attempt
    ) -> None:
        """Forbid writing an attempt that spends a lease after the lease's end, however long it is queued."""
        state = self._state
        service_class = state.settings.classes[entry.request.class_index]
        is_write = entry.request.is_write or service_class.is_write
        if needs_lease(state.router, action, leases, is_write):
            lease_end_us = leases.valid_until_us
            attempt.not_after_us = (
                min(attempt.not_after_us, lease_end_us) if attempt.not_after_us else lease_end_us
            )

    def _send(
        self, entry: RequestInFlight, attempt: Attempt, endpoint: Endpoint, address: tuple[str, int]
    ) -> None:
        entry.open_attempts[attempt.number] = attempt
        self._state.counters["sent." + attempt.class_name] += 1
        if attempt.number or self._request_log.is_after_member_change(self._state.now_us):
            self._request_log.log_attempt(
                self._state.now_us, entry, attempt, endpoint.name, self._state.updates_known
            )
        attempt.link = self._links.link_to(attempt.member, endpoint, address)
        attempt.link.send(attempt)
