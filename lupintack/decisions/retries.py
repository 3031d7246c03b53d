"""Retries: their budget, which attempts may be repeated, and when an attempt is overdue. Pure."""

from __future__ import annotations

from lupintack.decisions.endpoints import EndpointState
from lupintack.decisions.request_state import AttemptState, RequestState
from lupintack.interface import (
    OUTCOMES_WITHOUT_EFFECT,
    AttemptEnded,
    CacheStatus,
    Idempotency,
    Outcome,
    Settings,
)

MAX_ERRORS_PER_REQUEST = 2  # errors from this many caches mean that the request itself is invalid
MIN_OVERDUE_MS = 250.0
RETRY_RESERVE_TRANSFERS = 0.8  # transfer times of the objective that are reserved for a second attempt
RETRY_RESERVE_MS = 120.0  # reserved in addition, for the fill
RETRIES_EARNED_PER_REQUEST = 0.15  # bounds the extra load that retries cause during a fault
MAX_SAVED_RETRIES = 15.0


def overdue_after_ms(objective_ms: float, transfer_ms: float) -> float:
    """Return the time after which an attempt is overdue, in time for a second one to meet the objective."""
    reserve_ms = RETRY_RESERVE_TRANSFERS * transfer_ms
    return max(MIN_OVERDUE_MS, objective_ms - reserve_ms - RETRY_RESERVE_MS)


def may_repeat(state: RequestState, endpoint: EndpointState, now_ms: float) -> bool:
    """Return whether an attempt at an endpoint is safe, given earlier ones that may have had an effect."""
    service_class, first = state.service_class, state.first_attempt_endpoint
    if service_class.idempotency == Idempotency.IDEMPOTENT or first is None:
        return True
    if service_class.idempotency == Idempotency.NOT_IDEMPOTENT:
        return False
    if now_ms - state.first_attempt_ms >= service_class.deduplication_window_ms:
        return False
    scope = service_class.deduplication_scope
    if scope == "zone":
        return first.member.zone == endpoint.member.zone
    if scope == "cell":
        return first.member.cell == endpoint.member.cell
    return scope == "all"


def is_safe_to_retry_by_client(state: RequestState) -> bool:
    """Return whether a client may safely send the request again."""
    service_class = state.service_class
    if service_class.idempotency == Idempotency.IDEMPOTENT or state.first_attempt_endpoint is None:
        return True
    return service_class.idempotency == Idempotency.KEYED and service_class.deduplication_scope == "all"


def forget_attempt_without_effect(state: RequestState, attempt: AttemptState, outcome: Outcome) -> None:
    """Clear the record of the first attempt if its outcome proves that it had no effect."""
    if outcome in OUTCOMES_WITHOUT_EFFECT and attempt is state.first_attempt and not state.open_attempts:
        state.first_attempt = state.first_attempt_endpoint = None


class RetryBudget:
    """Retries earned by requests; bounds the retries of the fleet, which would otherwise prolong a fault."""

    __slots__ = ("saved",)

    def __init__(self) -> None:
        """Start with a full budget."""
        self.saved = MAX_SAVED_RETRIES

    def earn(self) -> None:
        """Add the share of a retry that a new request earns."""
        self.saved = min(MAX_SAVED_RETRIES, self.saved + RETRIES_EARNED_PER_REQUEST)

    def is_available(self) -> bool:
        """Return whether a retry may be sent."""
        return self.saved >= 1.0

    def spend(self, sent: bool) -> None:
        """Subtract one retry if it was sent."""
        self.saved -= sent

    def may_retry(
        self,
        state: RequestState,
        attempt: AttemptState | None,
        event: AttemptEnded,
        settings: Settings,
        now_ms: float,
    ) -> bool:
        """Return whether a request whose last attempt has ended may be sent again."""
        if not self.is_available() or len(state.errored_attempts) >= MAX_ERRORS_PER_REQUEST:
            return False
        deadline_ms = state.request.deadline_ms
        was_cancelled = attempt is not None and attempt.is_cancelled
        in_time = was_cancelled or now_ms + state.transfer_ms < deadline_ms
        if not in_time:
            return False
        if event.outcome == Outcome.TIMEOUT and now_ms + settings.answer_grace_ms >= deadline_ms:
            return False
        # A miss means that no cached copy exists, and fills are limited.
        return event.outcome != Outcome.MISS or state.request.is_write

    def may_hedge(self, state: RequestState, now_ms: float) -> bool:
        """Return whether a request with an overdue attempt may have a second one."""
        if now_ms + state.transfer_ms >= state.request.deadline_ms:
            return False
        return (
            state.service_class.idempotency == Idempotency.IDEMPOTENT
            and len(state.open_attempts) <= 1
            and self.is_available()
        )


def may_be_failed_fill(event: AttemptEnded, reports_fill_source: str) -> bool:
    """Return whether an outcome may mean that the fill's source had no capacity, refused or timed out."""
    if event.cache_status != CacheStatus.UNKNOWN or reports_fill_source == "all":
        return event.cache_status in (CacheStatus.SOURCE_REJECTED, CacheStatus.SOURCE_FAILED)
    return event.outcome in (Outcome.REJECTED, Outcome.ERROR, Outcome.TIMEOUT)
