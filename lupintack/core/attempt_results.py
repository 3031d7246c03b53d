"""Handles results of attempts: the client gets the first good answer, the router an event for each end."""

from __future__ import annotations

from typing import NamedTuple

from lupintack.core.attempt_status import AttemptStatus
from lupintack.core.core_state import CoreState
from lupintack.core.deduplication import Deduplication
from lupintack.core.messages import Answer, Attempt, AttemptResult, ClientRequest
from lupintack.core.request_table import RequestInFlight, RequestTable
from lupintack.core.responder import Responder
from lupintack.interface import OUTCOMES_WITHOUT_EFFECT, AttemptEnded, Event


class FetchedAnswer(NamedTuple):
    """An answer received in this turn, which the router may store in the local cache."""

    request: ClientRequest
    answer: Answer


class AttemptResults:
    """Closes attempts. Used by the core's turn alone."""

    def __init__(
        self, state: CoreState, requests: RequestTable, responder: Responder, deduplication: Deduplication
    ) -> None:
        """Start without deferred results."""
        self._state = state
        self._requests = requests
        self._responder = responder
        self._deduplication = deduplication
        self._fetched_answers: dict[int, FetchedAnswer] = {}
        self.deferred_results: list[AttemptResult] = []  # until the member table is updated

    def on_result(self, result: AttemptResult, events: list[Event]) -> None:
        """Close an attempt, and serve its answer where it is the request's first good one."""
        attempt, status = result.attempt, result.status
        entry = self._requests.get(attempt.request.number)
        if entry is None or attempt.number not in entry.open_attempts:
            return  # already abandoned, with its event
        if status is AttemptStatus.OUTDATED and not entry.is_answered and self._awaits_update():
            # Otherwise the router would choose the same member until its attempts are used up: a write sees
            # the table's updates immediately, the router only in a later turn.
            self.deferred_results.append(result)
            return
        del entry.open_attempts[attempt.number]
        self._state.counters[status.label] += 1
        answer = result.answer
        if (
            status in (AttemptStatus.SERVED, AttemptStatus.NOT_MODIFIED)
            and answer is not None
            and not entry.is_answered
        ):
            self._serve(entry, attempt, status, answer)
        entry.last_status = status
        events.append(self.to_event(entry, attempt, status, answer))
        self._requests.forget_if_finished(entry)

    def handle_deferred(self, events: list[Event]) -> None:
        """Handle the results that were deferred until an update of the member table."""
        deferred_results, self.deferred_results = self.deferred_results, []
        for result in deferred_results:
            self.on_result(result, events)

    def abandon(
        self, entry: RequestInFlight, attempt: Attempt, status: AttemptStatus, events: list[Event]
    ) -> None:
        """Stop waiting for an attempt."""
        entry.open_attempts.pop(attempt.number, None)
        self._state.counters[status.label] += 1
        if attempt.link is not None:
            attempt.link.cancel(attempt)
        events.append(self.to_event(entry, attempt, status, None))
        self._requests.forget_if_finished(entry)

    def to_event(
        self, entry: RequestInFlight, attempt: Attempt, status: AttemptStatus, answer: Answer | None
    ) -> AttemptEnded:
        """Build the router's event for an attempt's end; record that a keyed attempt had no effect."""
        request = attempt.request
        elapsed_ms = (self._state.now_us - attempt.decided_us) / 1000.0
        outcome = status.outcome
        if outcome in OUTCOMES_WITHOUT_EFFECT:
            self._deduplication.on_no_effect(attempt)
        if answer is None:
            return AttemptEnded(
                request.number, attempt.number, attempt.member, outcome, elapsed_ms, entry.is_answered
            )
        return AttemptEnded(
            request.number,
            attempt.number,
            attempt.member,
            outcome,
            elapsed_ms,
            entry.is_answered,
            answer.cache_status,
            answer.source_wait_ms,
            answer.load_report,
        )

    def store_fetched(self, number: int) -> None:
        """Store the answer that this turn has fetched for a request in the local cache."""
        fetched = self._fetched_answers.get(number)
        if fetched is not None and self._state.local_cache is not None:
            self._state.local_cache.store(fetched.request, fetched.answer)

    def forget_fetched(self) -> None:
        """Drop this turn's fetched answers; called at its end."""
        self._fetched_answers.clear()

    def _serve(self, entry: RequestInFlight, attempt: Attempt, status: AttemptStatus, answer: Answer) -> None:
        # A member is told of one tag of the client's; its answer may name the copy of another.
        not_modified = status is AttemptStatus.NOT_MODIFIED or attempt.request.cached_tags.match(answer.tag)
        self._responder.serve(entry, answer, not_modified)
        # The answer may predate a purge received since the attempt was decided, whatever its timestamp.
        if (
            status is AttemptStatus.SERVED
            and self._state.local_cache is not None
            and not self._state.member_table.is_purged_since(attempt.request, attempt.purges_known)
        ):
            self._fetched_answers[attempt.request.number] = FetchedAnswer(attempt.request, answer)

    def _awaits_update(self) -> bool:
        """Return whether the member table has, or is about to have, updates that the router lacks."""
        table = self._state.member_table
        return table.await_source() or self._state.updates_known < table.update_count
