"""Unit tests of admission: expected latency, idle caches, shedding and Retry-After."""

from __future__ import annotations

from typing import Any

import pytest

from lupintack.decisions.admission import AdmissionControl
from lupintack.decisions.concurrency import FillLimits
from lupintack.decisions.endpoint_table import EndpointTable
from lupintack.decisions.jitter import Jitter
from tests import decision_parts as parts


def admission(draw: float = 0.5, **changes: Any) -> tuple[AdmissionControl, EndpointTable, FillLimits]:
    table = parts.endpoint_table(**changes)
    outliers, _ = parts.detector(table)
    limits = FillLimits()
    jitter = Jitter(parts.FixedRandom(draw))
    return AdmissionControl(table.settings, table, outliers, limits, jitter), table, limits


@pytest.mark.parametrize(
    ("in_flight", "mean", "weights", "expected"),
    [
        (0, 0.0, "rough", 0.0),
        (9, 0.0, "rough", 0.0),  # the last of ten slots
        (10, 0.0, "rough", 330.0),
        (19, 0.0, "rough", 600.0),
        (9, 5.0, "rough", 450.0),  # one other router, estimated at a mean of five
        (19, 0.0, "none", 0.0),
    ],
)
def test_expected_latency_grows_beyond_capacity(
    in_flight: int, mean: float, weights: str, expected: float
) -> None:
    control, table, _ = admission(member_weights=weights)
    load = table.by_id[11].load
    load.in_flight, load.mean_in_flight, load.mean_updated_ms = in_flight, mean, 100.0
    result = control.expected_latency_ms(parts.request_state(), table.by_id[11], 100.0)
    assert result == pytest.approx(expected)


@pytest.mark.parametrize(("coalesces", "expected"), [(False, 0.66), (True, 0.66 / 1.8)])
def test_coalesced_fills_lower_latency_ratio(coalesces: bool, expected: float) -> None:
    control, table, _ = admission(coalesces_fills=coalesces)
    table.by_id[11].load.in_flight = 10
    table.by_id[11].load.mean_updated_ms = 100.0
    result = control.latency_ratio(parts.request_state(), table.by_id[11], 500.0, 100.0)
    assert result == pytest.approx(expected)


@pytest.mark.parametrize(
    ("ratio", "load", "expected_shed"),
    [(0.5, None, False), (0.76, None, True), (0.75, 0.85, False), (0.5, 0.86, True)],
)
def test_request_is_shed_by_latency_or_reported_load(
    ratio: float, load: float | None, expected_shed: bool
) -> None:
    control, table, _ = admission()
    table.by_id[11].load.reported = load
    assert control.must_shed(ratio, table.by_id[11]) == expected_shed


@pytest.mark.parametrize(
    ("coalesces", "busy_count", "expected_place"),
    [
        (True, 0, 0),
        (True, 1, 1),
        (True, 3, 3),
        (True, 4, None),
        (False, 1, 1),
        (False, 2, None),  # neither of the first two is idle
        (False, 3, None),
    ],
)
def test_first_idle_cache_of_ranking_is_chosen(
    coalesces: bool, busy_count: int, expected_place: int | None
) -> None:
    control, table, _ = admission(coalesces_fills=coalesces)
    state = parts.request_state()
    ranked = list(table.cache_ranking.ranked(state.request.object_id))
    for cache in ranked[:busy_count]:
        cache.load.in_flight, cache.load.mean_updated_ms = 30, 100.0
    expected = None if expected_place is None else ranked[expected_place]
    assert control.idle_cache(state, 100.0) is expected


def test_no_idle_cache_is_chosen_while_fills_are_limited() -> None:
    control, _, limits = admission()
    limits.late.allowed_share = 0.9
    assert control.idle_cache(parts.request_state(), 100.0) is None


@pytest.mark.parametrize(
    ("draw", "max_retry_after_ms", "expected"), [(0.5, 1000.0, 100.0), (0.0, 1000.0, 60.0), (0.5, 40.0, 40.0)]
)
def test_retry_after_has_jitter_and_maximum(draw: float, max_retry_after_ms: float, expected: float) -> None:
    control, _, _ = admission(draw, max_retry_after_ms=max_retry_after_ms)
    assert control.retry_after_ms() == pytest.approx(expected)
