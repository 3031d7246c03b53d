"""Unit tests of the outlier detector: ejections, trial requests and recovery."""

from __future__ import annotations

import pytest

from lupintack import interface as i
from lupintack.decisions import outlier_detection as od
from tests import decision_parts as parts
from tests import helpers as h


@pytest.mark.parametrize(
    ("failures", "failing_neighbours", "origin_direct", "ejected"),
    [
        (3, 0, False, False),
        (4, 0, False, True),
        (4, 1, False, True),
        (4, 2, False, False),  # only one of the three others is healthy
        (4, 3, False, False),
        (4, 3, True, True),  # requests may be sent to parents directly
    ],
)
def test_consecutive_failures_eject_cache_while_most_others_are_healthy(
    failures: int, failing_neighbours: int, origin_direct: bool, ejected: bool
) -> None:
    table = parts.endpoint_table(allows_origin_direct=origin_direct)
    outliers, actions = parts.detector(table)
    for cache in table.caches[1 : 1 + failing_neighbours]:
        cache.health.consecutive_failures = 1
    for _ in range(failures):
        outliers.record_cache_failure(parts.attempt_state(table.caches[0]), 100.0)
    assert outliers.is_ejected(table.caches[0], 100.0) == ejected
    assert [type(action) for action in actions] == [i.Log] * ejected


@pytest.mark.parametrize(
    ("own", "peers", "reports", "ejected"),
    [
        ((0.0, 2.0), (0.0, 0.0), "hit", False),  # (successes, failures) before one more failure
        ((0.0, 6.0), (0.0, 0.0), "hit", True),
        ((0.0, 1.0), (0.0, 0.0), "hit", False),  # too few
        ((20.0, 2.0), (20.0, 0.0), "hit", False),
        ((6.0, 5.0), (20.0, 0.0), "hit", True),
        ((6.0, 5.0), (6.0, 5.0), "hit", False),  # its peers fail as often
        ((20.0, 5.0), (40.0, 0.0), "hit", False),
        ((20.0, 5.0), (40.0, 0.0), "none", True),  # lower margin, as unreported hits count as successes
    ],
)
def test_parent_is_ejected_if_its_failed_share_is_outlier(
    own: tuple[float, float], peers: tuple[float, float], reports: str, ejected: bool
) -> None:
    table = parts.endpoint_table(reports_fill_source=reports)
    outliers, _ = parts.detector(table)
    for parent in table.parents:
        parent.health.successes, parent.health.failures = peers
    parent = table.by_id[h.PARENTS[0]]
    parent.health.successes, parent.health.failures = own
    outliers.record_failed_fill(parent, parts.attempt_state(table.caches[0], parent), 100.0)
    assert outliers.is_ejected(parent, 100.0) == ejected and outliers.fill_count == 1.0


def test_origin_is_never_ejected_and_last_parent_is_compared_with_it() -> None:
    table = parts.endpoint_table()
    outliers, _ = parts.detector(table)
    origin, (last, *others) = table.by_id[h.ORIGIN], table.parents
    for parent in others:
        outliers.eject(parent, "test", 100.0)
    for endpoint in (origin, last):
        for _ in range(10):
            outliers.record_failed_fill(endpoint, parts.attempt_state(table.caches[0], endpoint), 100.0)
    assert not outliers.is_ejected(origin, 100.0) and not outliers.is_ejected(last, 100.0)
    origin.health.failures, origin.health.successes = 0.0, 20.0
    outliers.record_failed_fill(last, parts.attempt_state(table.caches[0], last), 100.0)
    assert outliers.is_ejected(last, 100.0)


@pytest.mark.parametrize(
    ("ejections", "draw", "expected_ms"),
    [(0, 0.5, 2500.0), (1, 0.5, 5000.0), (2, 0.5, od.MAX_EJECTION_MS), (0, 0.0, 1500.0), (9, 0.0, 8000.0)],
)
def test_ejection_time_doubles_up_to_maximum(ejections: int, draw: float, expected_ms: float) -> None:
    table = parts.endpoint_table()
    outliers, _ = parts.detector(table, draw)
    health = table.caches[0].health
    health.ejections, health.consecutive_failures, health.failures = ejections, 5, 6.0
    outliers.eject(table.caches[0], "test", 100.0)
    assert health.ejected_until_ms == pytest.approx(100.0 + expected_ms)
    assert (health.ejections, health.consecutive_failures, health.failures) == (ejections + 1, 0, 0.0)


def test_trials_are_rare_and_two_timely_answers_end_ejection() -> None:
    table = parts.endpoint_table()
    outliers, actions = parts.detector(table)
    cache = table.caches[0]
    assert not outliers.claim_trial(cache, 50.0), "not ejected"
    outliers.eject(cache, "test", 100.0)
    assert not outliers.claim_trial(cache, 2599.0)
    assert outliers.claim_trial(cache, 2600.0) and not outliers.claim_trial(cache, 2999.0)
    assert outliers.claim_trial(cache, 3000.0)
    outliers.record_success(cache, parts.attempt_state(cache), 3100.0)
    outliers.record_success(cache, parts.attempt_state(cache, is_trial=True, is_overdue=True), 3100.0)
    assert cache.health.trial_successes == 0, "neither a trial request nor in time"
    for _ in range(od.TRIAL_SUCCESSES_TO_RECOVER):
        assert outliers.is_ejected(cache, 3100.0)
        outliers.record_success(cache, parts.attempt_state(cache, is_trial=True), 3100.0)
    assert not outliers.is_ejected(cache, 3100.0)
    assert len(actions) == 1, "the second log line is suppressed by the interval"


def test_failed_trial_ejects_again_but_late_failure_does_not() -> None:
    table = parts.endpoint_table()
    outliers, _ = parts.detector(table)
    cache = table.caches[0]
    outliers.eject(cache, "test", 100.0)
    outliers.record_cache_failure(parts.attempt_state(cache), 200.0)
    assert cache.health.ejections == 1
    outliers.record_cache_failure(parts.attempt_state(cache, is_trial=True), 2700.0)
    assert cache.health.ejections == 2 and cache.health.ejected_until_ms == 7700.0


@pytest.mark.parametrize(("failing", "ejected", "expected"), [(4, 0, True), (2, 2, True), (3, 0, False)])
def test_location_is_down_if_each_cache_is_ejected_or_only_fails(
    failing: int, ejected: int, expected: bool
) -> None:
    table = parts.endpoint_table()
    outliers, _ = parts.detector(table)
    for cache in table.caches[:failing]:
        cache.health.consecutive_failures = od.CONSECUTIVE_FAILURES_TO_EJECT
    for cache in table.caches[failing : failing + ejected]:
        outliers.eject(cache, "test", 100.0)
    assert outliers.is_location_down(100.0) == expected


def test_attempt_is_likely_lost_at_ejected_endpoint_or_source() -> None:
    table = parts.endpoint_table()
    outliers, _ = parts.detector(table)
    attempt = parts.attempt_state(table.caches[0], table.parents[0])
    assert not outliers.is_likely_lost(attempt, 100.0)
    outliers.eject(table.parents[0], "test", 100.0)
    assert outliers.is_likely_lost(attempt, 100.0)
    assert not outliers.is_likely_lost(parts.attempt_state(table.caches[0]), 100.0)
