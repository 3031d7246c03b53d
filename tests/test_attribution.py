"""Unit tests of the attribution of outcomes to caches, sources and limits."""

from __future__ import annotations

from typing import Any

import pytest

from lupintack import interface as i
from lupintack.decisions.attribution import OutcomeAttribution
from lupintack.decisions.concurrency import FillLimits
from lupintack.decisions.transfer_times import TRANSFER_TIME_CONFIG, TransferTimeEstimator
from lupintack.interface import CacheStatus as Status
from lupintack.interface import Outcome
from tests import decision_parts as parts
from tests import helpers as h

NOW_MS = 300.0


class Setup:
    """An attribution with the components that it updates, and one attempt at a cache with a parent."""

    def __init__(self, **changes: Any) -> None:
        self.table = parts.endpoint_table(**changes)
        self.outliers, self.actions = parts.detector(self.table)
        self.limits = FillLimits()
        self.times = TransferTimeEstimator(TRANSFER_TIME_CONFIG, h.classes(), 5000.0)
        self.attribution = OutcomeAttribution(
            self.table.settings, self.outliers, self.limits, self.times, self.actions.append
        )
        self.cache, self.parent = self.table.caches[0], self.table.parents[0]
        self.attempt = parts.attempt_state(self.cache, self.parent, 100.0)
        self.state = parts.request_state()

    def end(self, outcome: Outcome, status: Status = Status.UNKNOWN, **changes: Any) -> None:
        event = i.AttemptEnded(1, 0, self.cache.id, outcome, 200.0, cache_status=status, **changes)
        self.attribution.record_end(self.attempt, event, self.state, NOW_MS)


@pytest.mark.parametrize(
    ("outcome", "status", "reports", "cache_failures", "parent_failures", "failed_fills"),
    [
        (Outcome.OK, Status.HIT, "hit", 0, 0.0, 0),
        (Outcome.MISS, Status.UNKNOWN, "hit", 0, 0.0, 0),
        (Outcome.ERROR, Status.UNKNOWN, "hit", 0, 0.0, 0),
        (Outcome.ERROR, Status.SOURCE_FAILED, "hit", 0, 1.0, 1),
        (Outcome.REJECTED, Status.SOURCE_REJECTED, "all", 0, 1.0, 1),
        (Outcome.REJECTED, Status.UNKNOWN, "hit", 0, 1.0, 1),
        (Outcome.REJECTED, Status.UNKNOWN, "all", 0, 0.0, 0),
        (Outcome.REJECTED, Status.FILL_AT_CAPACITY, "all", 0, 0.0, 1),
        (Outcome.ERROR, Status.ORIGIN_FAILED, "hit", 0, 0.0, 1),
        (Outcome.RESET, Status.UNKNOWN, "hit", 1, 0.0, 0),
        (Outcome.CONNECT_FAILED, Status.UNKNOWN, "hit", 1, 0.0, 0),
        (Outcome.TIMEOUT, Status.UNKNOWN, "hit", 1, 0.0, 0),
        (Outcome.CANCELLED, Status.UNKNOWN, "hit", 0, 0.0, 0),
        (Outcome.DISCARDED, Status.UNKNOWN, "hit", 0, 0.0, 0),
    ],
)
def test_outcome_counts_against_cache_or_parent_or_neither(
    outcome: Outcome,
    status: Status,
    reports: str,
    cache_failures: int,
    parent_failures: float,
    failed_fills: int,
) -> None:
    setup = Setup(reports_fill_source=reports)
    setup.end(outcome, status)
    assert setup.cache.health.consecutive_failures == cache_failures
    assert setup.parent.health.failures == parent_failures
    assert setup.limits.failed.failures == failed_fills


@pytest.mark.parametrize(
    ("outcome", "left"),
    [(Outcome.OK, 0), (Outcome.MISS, 0), (Outcome.REJECTED, 0), (Outcome.ERROR, 2), (Outcome.CANCELLED, 2)],
)
def test_any_answer_except_error_resets_consecutive_failures(outcome: Outcome, left: int) -> None:
    setup = Setup(reports_fill_source="all")
    setup.cache.health.consecutive_failures = 2
    setup.end(outcome)
    assert setup.cache.health.consecutive_failures == left


def test_overdue_attempt_counts_against_source_if_cache_answers_others() -> None:
    setup = Setup()
    setup.cache.health.last_answer_ms = 150.0
    setup.attribution.record_overdue(setup.attempt, NOW_MS)
    assert (setup.cache.health.consecutive_failures, setup.parent.health.failures) == (0, 1.0)


def test_overdue_attempt_that_times_out_counts_once() -> None:
    setup = Setup()
    setup.attempt.is_overdue = True
    setup.end(Outcome.TIMEOUT)
    assert setup.cache.health.consecutive_failures == 0


def test_error_counts_against_cache_after_another_has_answered() -> None:
    setup = Setup()
    setup.end(Outcome.ERROR)
    assert setup.state.errored_attempts == [setup.attempt]
    other = parts.attempt_state(setup.table.caches[1], setup.parent, 200.0)
    event = i.AttemptEnded(1, 1, other.endpoint.id, Outcome.OK, 100.0)
    setup.attribution.record_end(other, event, setup.state, NOW_MS)
    assert setup.cache.health.consecutive_failures == 1


def test_broken_connection_counts_once_for_all_its_attempts() -> None:
    setup = Setup()
    setup.end(Outcome.RESET)
    setup.end(Outcome.RESET)
    assert setup.cache.health.consecutive_failures == 1
    assert setup.cache.slow_start.factor(NOW_MS) == 1.0


@pytest.mark.parametrize(("outcome", "failures_before"), [(Outcome.CONNECT_FAILED, 0), (Outcome.RESET, 1)])
def test_process_that_is_down_enters_slow_start(outcome: Outcome, failures_before: int) -> None:
    setup = Setup()
    setup.cache.health.consecutive_failures = failures_before
    setup.end(outcome)
    assert setup.cache.slow_start.lost_ms == NOW_MS and setup.cache.slow_start.factor(NOW_MS) < 1.0


@pytest.mark.parametrize(
    ("local_cache", "priority", "final", "stored"),
    [(True, 2, True, True), (True, 1, True, False), (True, 2, False, False), (False, 3, True, False)],
)
def test_final_answer_of_repeated_request_is_stored_locally(
    local_cache: bool, priority: int, final: bool, stored: bool
) -> None:
    setup = Setup(has_local_cache=local_cache)
    setup.state.retention_priority = priority
    setup.end(Outcome.OK, is_final=final)
    assert setup.actions == [i.StoreLocalCopy(1)] * stored


@pytest.mark.parametrize(
    ("reports", "first", "status", "counted"),
    [
        ("hit", False, Status.UNKNOWN, 1.0),
        ("hit", False, Status.FILLED, 1.0),
        ("hit", False, Status.HIT, 0.0),
        ("hit", False, Status.COALESCED, 0.0),
        ("none", False, Status.UNKNOWN, 0.0),
        ("none", True, Status.UNKNOWN, 1.0),
    ],
)
def test_likely_fill_counts_as_success_of_parent(
    reports: str, first: bool, status: Status, counted: float
) -> None:
    setup = Setup(reports_fill_source=reports)
    setup.state.is_first_request = first
    setup.end(Outcome.OK, status)
    assert setup.parent.health.successes == counted and setup.outliers.fill_count == counted


@pytest.mark.parametrize(
    ("reports", "overdue", "wait_ms", "objective_ms", "late"),
    [
        ("all", False, 0.0, 0.0, 0),
        ("all", True, 0.0, 0.0, 1),
        ("all", True, 150.0, 0.0, 0),  # waited at its source
        ("hit", True, 0.0, NOW_MS - 1.0, 1),
        ("hit", True, 0.0, NOW_MS, 0),
    ],
)
def test_fill_delayed_on_network_path_is_late(
    reports: str, overdue: bool, wait_ms: float, objective_ms: float, late: int
) -> None:
    setup = Setup(reports_fill_source=reports)
    setup.attempt.is_overdue, setup.attempt.objective_at_ms = overdue, objective_ms
    setup.end(Outcome.OK, Status.FILLED, fill_wait_ms=wait_ms)
    assert setup.limits.late.failures == late
    assert setup.limits.failed.successes == (not overdue)


@pytest.mark.parametrize(
    ("size_kb", "status", "samples"), [(0.0, Status.HIT, 1), (0.0, Status.FILLED, 0), (9.0, Status.HIT, 0)]
)
def test_transfer_time_is_learned_if_size_is_unknown(size_kb: float, status: Status, samples: int) -> None:
    setup = Setup()
    setup.state = parts.request_state(size_kb=size_kb)
    setup.end(Outcome.OK, status)
    assert setup.times.transfer_samples[h.SAFE] == samples
