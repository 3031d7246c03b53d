"""Attribution of outcomes to the cache, to the fill's source, or to neither. Pure."""

from __future__ import annotations

import math
from collections.abc import Callable

from lupintack.decisions.concurrency import FillLimits
from lupintack.decisions.outlier_detection import OutlierDetector
from lupintack.decisions.popularity import PRIORITY_FIRST_REQUEST
from lupintack.decisions.request_state import AttemptState, RequestState
from lupintack.decisions.transfer_times import TransferTimeEstimator
from lupintack.interface import Action, AttemptEnded, CacheStatus, Outcome, Settings, StoreLocalCopy

FILL_STATUSES = frozenset({CacheStatus.UNKNOWN, CacheStatus.FILLED, CacheStatus.FILLED_FROM_ORIGIN})
SOURCE_FAULTS = frozenset({CacheStatus.SOURCE_FAILED, CacheStatus.SOURCE_REJECTED})
CAPACITY_FAULTS = frozenset({CacheStatus.ORIGIN_FAILED, CacheStatus.FILL_AT_CAPACITY})
TRANSFER_ONLY_STATUSES = frozenset({CacheStatus.UNKNOWN, CacheStatus.HIT})
ANSWERED_OUTCOMES = frozenset({Outcome.OK, Outcome.ERROR, Outcome.REJECTED, Outcome.MISS})


class OutcomeAttribution:
    """Passes each outcome on to the components that learn from it."""

    __slots__ = ("_emit", "_fill_limits", "_outliers", "_transfer_times", "settings")

    def __init__(
        self,
        settings: Settings,
        outliers: OutlierDetector,
        fill_limits: FillLimits,
        transfer_times: TransferTimeEstimator,
        emit: Callable[[Action], None],
    ) -> None:
        """`emit` receives the actions that store an answer in the local cache."""
        self.settings = settings
        self._outliers = outliers
        self._fill_limits = fill_limits
        self._transfer_times = transfer_times
        self._emit = emit

    def record_overdue(self, attempt: AttemptState, now_ms: float) -> None:
        """Count an overdue attempt against the source if the cache has answered since, else the cache.

        A fixed time without answers is no evidence: a router may send a cache only two requests a second.
        """
        if attempt.endpoint.health.last_answer_ms <= attempt.sent_ms:
            self._outliers.record_cache_failure(attempt, now_ms)
        elif attempt.source is not None:
            self._outliers.record_failed_fill(attempt.source, attempt, now_ms)
            self._fill_limits.failed.record(now_ms, True)

    def record_end(
        self, attempt: AttemptState, event: AttemptEnded, state: RequestState | None, now_ms: float
    ) -> None:
        """Attribute the outcome of an attempt; `state` is None once its request has been answered."""
        outcome, status = event.outcome, event.cache_status
        if outcome in ANSWERED_OUTCOMES:
            self._record_response(attempt, outcome, now_ms)
        if outcome == Outcome.OK:
            self._record_answer(attempt, event, state, now_ms)
        elif status in SOURCE_FAULTS and attempt.source is not None:
            self._outliers.record_failed_fill(attempt.source, attempt, now_ms)
            self._fill_limits.failed.record(now_ms, True)
        elif status in CAPACITY_FAULTS or self._may_be_at_capacity(outcome):
            self._fill_limits.failed.record(now_ms, True)
            if outcome == Outcome.REJECTED and attempt.source is not None and status == CacheStatus.UNKNOWN:
                self._outliers.record_failed_fill(attempt.source, attempt, now_ms)
        elif outcome == Outcome.ERROR:
            # A request that fails at every cache is itself invalid: counted once another cache answers it.
            if state is not None:
                state.errored_attempts.append(attempt)
        elif outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
            self._record_lost_connection(attempt, outcome, now_ms)
        elif outcome == Outcome.TIMEOUT and not attempt.is_overdue:
            self.record_overdue(attempt, now_ms)

    def _record_response(self, attempt: AttemptState, outcome: Outcome, now_ms: float) -> None:
        """Record that an endpoint answers; an error does not reset its consecutive failures."""
        health = attempt.endpoint.health
        health.last_answer_ms = now_ms
        if outcome != Outcome.ERROR:
            health.consecutive_failures = 0

    def _may_be_at_capacity(self, outcome: Outcome) -> bool:
        """Return whether a rejection may be caused by a source without capacity."""
        return outcome == Outcome.REJECTED and self.settings.reports_fill_source != "all"

    def _record_answer(
        self, attempt: AttemptState, event: AttemptEnded, state: RequestState | None, now_ms: float
    ) -> None:
        """Count a success for the cache and the fill source, and a failure for caches that failed before."""
        if state is not None:
            self._learn_transfer_time(event, state)
        self._outliers.record_success(attempt.endpoint, attempt, now_ms)
        if state is not None:
            for failed in state.errored_attempts:
                self._outliers.record_cache_failure(failed, now_ms)
            is_repeated = state.retention_priority > PRIORITY_FIRST_REQUEST
            if self.settings.has_local_cache and event.is_final and is_repeated:
                self._emit(StoreLocalCopy(event.request))
        # Where hits are not reported, only a first request is likely to have needed a fill.
        is_likely_fill = self.settings.reports_fill_source != "none" or (
            state is not None and state.is_first_request
        )
        if attempt.source is not None and is_likely_fill and event.cache_status in FILL_STATUSES:
            self._outliers.fill_count += 1.0
            self._outliers.record_success(attempt.source, attempt, now_ms)
            self._record_fill_time(attempt, event, now_ms)

    def _learn_transfer_time(self, event: AttemptEnded, state: RequestState) -> None:
        """Learn from an answer whose request stated no size."""
        if state.request.size_kb or not event.elapsed_ms > 0 or not math.isfinite(event.elapsed_ms):
            return
        transfer_only = event.cache_status in TRANSFER_ONLY_STATUSES
        self._transfer_times.record(state.request.class_index, event.elapsed_ms, transfer_only)

    def _record_fill_time(self, attempt: AttemptState, event: AttemptEnded, now_ms: float) -> None:
        """Count a fill as timely or as delayed on the network path.

        A fill that waited for its source would have waited as long with fewer concurrent fills. Where that
        wait is not reported, only an answer after the objective indicates a congested path.
        """
        if not attempt.is_overdue:
            self._fill_limits.failed.record(now_ms, False)
        if self.settings.reports_fill_source == "all":
            was_delayed_on_path = event.fill_wait_ms * 2.0 < event.elapsed_ms
        else:
            was_delayed_on_path = now_ms > attempt.objective_at_ms
        self._fill_limits.late.record(now_ms, attempt.is_overdue and was_delayed_on_path)

    def _record_lost_connection(self, attempt: AttemptState, outcome: Outcome, now_ms: float) -> None:
        """Count one failure for a broken connection, however many attempts were in flight on it."""
        endpoint = attempt.endpoint
        if outcome == Outcome.RESET and attempt.sent_ms <= endpoint.health.last_failure_ms:
            return
        if outcome == Outcome.CONNECT_FAILED or endpoint.health.consecutive_failures:
            # The process is down even if it is listed as ready; it is in slow start when it answers again.
            endpoint.slow_start.lost_ms = now_ms
        self._outliers.record_cache_failure(attempt, now_ms)
