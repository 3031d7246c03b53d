"""Unit tests of retries: which attempts may be repeated, when, and within which budget."""

from __future__ import annotations

from typing import Any

import pytest

from lupintack import interface as i
from lupintack.decisions import retries
from lupintack.decisions.retries import RetryBudget
from lupintack.interface import CacheStatus as Status
from lupintack.interface import Outcome
from tests import decision_parts as parts
from tests import helpers as h


@pytest.mark.parametrize(
    ("cls", "scope", "first_member", "next_member", "elapsed_ms", "allowed"),
    [
        (h.SAFE, "all", 11, 12, 10.0, True),
        (h.KEYED, "all", 11, 12, 10.0, True),
        (h.KEYED, "all", 11, 12, 1000.0, False),
        (h.KEYED, "cell", 11, 12, 10.0, False),
        (h.KEYED, "cell", 11, 13, 10.0, True),
        (h.KEYED, "zone", 11, 12, 10.0, True),
        (h.KEYED, "zone", 11, 21, 10.0, False),
        (h.KEYED, "unknown", 11, 12, 10.0, False),
        (h.UNSAFE, "all", 11, 11, 10.0, False),
    ],
)
def test_attempt_is_repeated_only_if_safe(
    cls: int, scope: str, first_member: int, next_member: int, elapsed_ms: float, allowed: bool
) -> None:
    endpoints = parts.endpoint_table().by_id
    state = parts.request_state(cls)
    values = {name: getattr(state.service_class, name) for name in i.ServiceClass.__slots__}
    state.service_class = i.ServiceClass(**(values | {"deduplication_scope": scope}))
    assert retries.may_repeat(state, endpoints[next_member], elapsed_ms), "no earlier attempt"
    state.add_attempt(parts.attempt_state(endpoints[first_member]))
    assert retries.may_repeat(state, endpoints[next_member], elapsed_ms) == allowed


@pytest.mark.parametrize(
    ("cls", "was_sent", "safe"),
    [(h.SAFE, True, True), (h.KEYED, False, True), (h.KEYED, True, False), (h.UNSAFE, True, False)],
)
def test_client_may_retry_idempotent_or_unsent_request(cls: int, was_sent: bool, safe: bool) -> None:
    state = parts.request_state(cls)
    if was_sent:
        state.add_attempt(parts.attempt_state(parts.endpoint_table().by_id[11]))
    assert retries.is_safe_to_retry_by_client(state) == safe


@pytest.mark.parametrize(
    ("outcome", "cleared"),
    [
        (Outcome.REJECTED, True),
        (Outcome.CONNECT_FAILED, True),
        (Outcome.DISCARDED, True),
        (Outcome.MISS, True),
        (Outcome.ERROR, False),
        (Outcome.RESET, False),
        (Outcome.TIMEOUT, False),
        (Outcome.CANCELLED, False),
    ],
)
def test_first_attempt_without_effect_is_cleared(outcome: Outcome, cleared: bool) -> None:
    state = parts.request_state(h.KEYED)
    attempt = parts.attempt_state(parts.endpoint_table().by_id[11])
    state.add_attempt(attempt)
    retries.forget_attempt_without_effect(state, attempt, outcome)
    assert state.first_attempt_endpoint is attempt.endpoint, "another attempt is still in flight"
    state.open_attempts.clear()
    retries.forget_attempt_without_effect(state, attempt, outcome)
    assert (state.first_attempt_endpoint is None) == cleared


def test_retry_of_the_same_millisecond_without_effect_clears_only_itself() -> None:
    """Guards against a write that runs twice: a refused retry was taken for the first attempt by its time."""
    state, endpoints = parts.request_state(h.KEYED), parts.endpoint_table().by_id
    first, retry = parts.attempt_state(endpoints[11]), parts.attempt_state(endpoints[13])
    for attempt, outcome in ((first, Outcome.RESET), (retry, Outcome.REJECTED)):
        state.add_attempt(attempt)
        state.open_attempts.clear()
        retries.forget_attempt_without_effect(state, attempt, outcome)
    assert state.first_attempt_endpoint is endpoints[11]
    assert not retries.may_repeat(state, endpoints[12], 0.0), "another cell"


def test_attempt_of_an_earlier_request_is_not_cleared_by_one_of_the_same_millisecond() -> None:
    """Guards against a write that runs twice: the attempt of a client's earlier try was forgotten."""
    state, endpoints = parts.request_state(h.KEYED), parts.endpoint_table().by_id
    state.first_attempt_ms, state.first_attempt_endpoint = 0.0, endpoints[11]
    retry = parts.attempt_state(endpoints[13])
    state.add_attempt(retry)
    state.open_attempts.clear()
    retries.forget_attempt_without_effect(state, retry, Outcome.REJECTED)
    assert state.first_attempt_endpoint is endpoints[11]


@pytest.mark.parametrize(
    ("objective_ms", "transfer_ms", "expected"),
    [(1000.0, 200.0, 720.0), (500.0, 300.0, 250.0), (100.0, 0.0, 250.0), (900.0, 0.0, 780.0)],
)
def test_attempt_is_overdue_in_time_for_second_attempt(
    objective_ms: float, transfer_ms: float, expected: float
) -> None:
    assert retries.overdue_after_ms(objective_ms, transfer_ms) == pytest.approx(expected)


@pytest.mark.parametrize(
    ("outcome", "now_ms", "changes", "allowed"),
    [
        (Outcome.ERROR, 100.0, {}, True),
        (Outcome.REJECTED, 100.0, {}, True),
        (Outcome.TIMEOUT, 4000.0, {}, True),
        (Outcome.MISS, 100.0, {}, False),
        (Outcome.MISS, 100.0, {"is_write": True}, True),
        (Outcome.ERROR, 4700.0, {}, False),  # the transfer takes 300 ms, the deadline is 5,000 ms
        (Outcome.TIMEOUT, 4995.0, {"cancelled": True}, False),
        (Outcome.CANCELLED, 4900.0, {"cancelled": True}, True),
        (Outcome.ERROR, 100.0, {"errors": 2}, False),
        (Outcome.ERROR, 100.0, {"saved": 0.9}, False),
    ],
)
def test_request_is_retried_only_in_time_and_within_budget(
    outcome: Outcome, now_ms: float, changes: dict[str, Any], allowed: bool
) -> None:
    state = parts.request_state(is_write=changes.get("is_write", False))
    attempt = parts.attempt_state(parts.endpoint_table().by_id[11])
    attempt.is_cancelled = changes.get("cancelled", False)
    state.errored_attempts = [attempt] * changes.get("errors", 0)
    budget = RetryBudget()
    budget.saved = changes.get("saved", budget.saved)
    event = i.AttemptEnded(1, 0, 11, outcome)
    assert budget.may_retry(state, attempt, event, h.settings(), now_ms) == allowed


@pytest.mark.parametrize(
    ("cls", "now_ms", "open_attempts", "saved", "allowed"),
    [
        (h.SAFE, 100.0, 1, 5.0, True),
        (h.SAFE, 4700.0, 1, 5.0, False),
        (h.SAFE, 100.0, 2, 5.0, False),
        (h.SAFE, 100.0, 1, 0.99, False),
        (h.KEYED, 100.0, 1, 5.0, False),
        (h.UNSAFE, 100.0, 1, 5.0, False),
    ],
)
def test_only_idempotent_request_is_hedged_once_and_in_time(
    cls: int, now_ms: float, open_attempts: int, saved: float, allowed: bool
) -> None:
    state = parts.request_state(cls)
    for _ in range(open_attempts):
        state.add_attempt(parts.attempt_state(parts.endpoint_table().by_id[11]))
    budget = RetryBudget()
    budget.saved = saved
    assert budget.may_hedge(state, now_ms) == allowed


def test_requests_earn_retries_up_to_maximum() -> None:
    budget = RetryBudget()
    for _ in range(15):
        budget.spend(True)
    budget.spend(False)
    assert budget.saved == 0.0 and not budget.is_available()
    for _ in range(7):
        budget.earn()
    assert budget.is_available()
    for _ in range(1000):
        budget.earn()
    assert budget.saved == retries.MAX_SAVED_RETRIES


@pytest.mark.parametrize(
    ("outcome", "status", "reports", "expected"),
    [
        (Outcome.REJECTED, Status.UNKNOWN, "hit", True),
        (Outcome.ERROR, Status.UNKNOWN, "none", True),
        (Outcome.TIMEOUT, Status.UNKNOWN, "none", True),
        (Outcome.RESET, Status.UNKNOWN, "none", False),
        (Outcome.REJECTED, Status.UNKNOWN, "all", False),
        (Outcome.ERROR, Status.SOURCE_REJECTED, "all", True),
        (Outcome.ERROR, Status.SOURCE_FAILED, "hit", True),
        (Outcome.ERROR, Status.ORIGIN_FAILED, "hit", False),
    ],
)
def test_outcomes_that_may_be_failed_fills(
    outcome: Outcome, status: Status, reports: str, expected: bool
) -> None:
    event = i.AttemptEnded(1, 0, 11, outcome, cache_status=status)
    assert retries.may_be_failed_fill(event, reports) == expected
