"""Client retries: which requests may be retried, when, and how often in total."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lupintack.limits.retries import ClientAttemptResult, RetryBudget, RetryTerms

DEADLINE_US = 10_000_000


@pytest.mark.parametrize("result", list(ClientAttemptResult))
@pytest.mark.parametrize("safe", [True, False])
def test_which_results_allow_retry(result: ClientAttemptResult, safe: bool) -> None:
    allowed = RetryBudget().next_attempt_us(result, safe, 1, 0, 0, DEADLINE_US, 0.0) is not None
    harmless = result in (ClientAttemptResult.REJECTED, ClientAttemptResult.NOT_PROCESSED)
    assert allowed == (
        harmless or (safe and result in (ClientAttemptResult.FAILED, ClientAttemptResult.UNKNOWN))
    )


def test_wait_is_retry_after_or_exponential_with_jitter() -> None:
    retries = RetryBudget()
    assert (
        retries.next_attempt_us(ClientAttemptResult.REJECTED, True, 1, 400_000, 0, DEADLINE_US, 0.0)
        == 400_000
    )
    assert (
        retries.next_attempt_us(ClientAttemptResult.REJECTED, True, 1, 400_000, 0, DEADLINE_US, 0.5)
        == 500_000
    )
    assert retries.next_attempt_us(ClientAttemptResult.UNKNOWN, True, 1, 0, 0, DEADLINE_US, 0.0) == 50_000
    assert retries.next_attempt_us(ClientAttemptResult.UNKNOWN, True, 3, 0, 0, DEADLINE_US, 0.0) == 200_000
    assert retries.next_attempt_us(ClientAttemptResult.NOT_PROCESSED, False, 1, 0, 7, DEADLINE_US, 0.9) == 7


def test_no_retry_beyond_maximum_or_deadline() -> None:
    retries = RetryBudget(RetryTerms(tries=2))
    assert retries.next_attempt_us(ClientAttemptResult.REJECTED, True, 2, 0, 0, DEADLINE_US, 0.0) is None
    assert (
        retries.next_attempt_us(ClientAttemptResult.REJECTED, True, 1, DEADLINE_US, 0, DEADLINE_US, 0.0)
        is None
    )


def test_budget_is_share_of_first_attempts() -> None:
    retries = RetryBudget(RetryTerms(share=0.2, saved=10))
    granted = 0
    for _ in range(1000):
        retries.on_first_attempt()
        granted += (
            retries.next_attempt_us(ClientAttemptResult.UNKNOWN, True, 1, 0, 0, DEADLINE_US, 0.0) is not None
        )
    assert 200 <= granted <= 210 and retries.withheld == 1000 - granted


@given(
    st.lists(
        st.tuples(
            st.sampled_from(list(ClientAttemptResult)), st.booleans(), st.integers(1, 5), st.floats(0, 0.99)
        )
    )
)
def test_unsafe_request_is_not_retried_after_unknown_result(
    steps: list[tuple[ClientAttemptResult, bool, int, float]],
) -> None:
    retries = RetryBudget()
    for result, safe, tries, draw in steps:
        attempt_us = retries.next_attempt_us(result, safe, tries, 0, 100, DEADLINE_US, draw)
        if attempt_us is not None:
            assert 100 <= attempt_us < DEADLINE_US and tries < retries.terms.tries
            assert safe or result in (ClientAttemptResult.REJECTED, ClientAttemptResult.NOT_PROCESSED)
        assert 0 <= retries.saved_millionths <= retries.terms.saved * 1_000_000
