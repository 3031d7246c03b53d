"""Unit tests of the attempt planner: endpoint, source, and reasons for not sending an attempt."""

from __future__ import annotations

from typing import Any

import pytest

from lupintack.decisions.admission import AdmissionControl
from lupintack.decisions.attempt_planner import AttemptPlan, AttemptPlanner, latency_objective_ms
from lupintack.decisions.concurrency import FillLimits, OriginFillLimit
from lupintack.decisions.jitter import Jitter
from lupintack.decisions.selection import EndpointSelector
from lupintack.decisions.transfer_times import TRANSFER_TIME_CONFIG, TransferTimeEstimator
from tests import decision_parts as parts
from tests import helpers as h


class Setup:
    """A planner for the members of `helpers.full_list`, with its components."""

    def __init__(self, **changes: Any) -> None:
        self.table = parts.endpoint_table(**changes)
        settings = self.table.settings
        self.outliers, _ = parts.detector(self.table)
        self.times = TransferTimeEstimator(TRANSFER_TIME_CONFIG, settings.classes, 5000.0)
        random = parts.FixedRandom()
        self.selector = EndpointSelector(settings, self.table, self.outliers, self.times, random)
        self.limits, self.origin_fills = FillLimits(), OriginFillLimit()
        admission = AdmissionControl(settings, self.table, self.outliers, self.limits, Jitter(random))
        self.planner = AttemptPlanner(
            settings, self.table, self.outliers, self.selector, admission, self.origin_fills
        )
        self.caches = list(self.table.cache_ranking.ranked(5))
        self.parents = list(self.table.parent_ranking.ranked(5))

    def plan(self, cls: int = h.SAFE, now_ms: float = 100.0, **changes: Any) -> AttemptPlan | None:
        self.state = parts.request_state(cls, **changes)
        return self.planner.plan(self.state, now_ms)


def test_first_cache_is_filled_by_first_parent() -> None:
    setup = Setup()
    plan = setup.plan()
    assert plan is not None and (plan.endpoint, plan.source) == (setup.caches[0], setup.parents[0])
    assert not plan.is_cache_trial and not plan.is_source_trial and not plan.uses_origin_fill
    assert plan.objective_ms == 500.0 + 2.0 * 300.0


def test_write_goes_through_first_cache_to_origin() -> None:
    setup = Setup()
    plan = setup.plan(h.UNSAFE)
    assert plan is not None and (plan.endpoint, plan.source) == (setup.caches[0], setup.table.origin)
    assert not plan.uses_origin_fill and setup.origin_fills.in_flight == 0


def test_ejected_cache_and_parent_are_skipped_until_trial_is_due() -> None:
    setup = Setup()
    setup.outliers.eject(setup.caches[0], "test", 0.0)
    setup.outliers.eject(setup.parents[0], "test", 0.0)
    plan = setup.plan()
    assert plan is not None and (plan.endpoint, plan.source) == (setup.caches[1], setup.parents[1])
    plan = setup.plan(now_ms=2600.0)
    assert plan is not None and (plan.endpoint, plan.source) == (setup.caches[0], setup.parents[1])
    assert plan.is_cache_trial and not plan.is_source_trial, "only a first request tests a parent"


def test_parents_replace_lost_location_if_allowed() -> None:
    for direct in (False, True):
        setup = Setup(allows_origin_direct=direct)
        for cache in setup.caches:
            cache.health.consecutive_failures = 4
        plan = setup.plan()
        assert plan is not None
        expected = (setup.parents[0], setup.table.origin) if direct else (setup.caches[0], setup.parents[0])
        assert (plan.endpoint, plan.source) == expected


@pytest.mark.parametrize(
    ("cls", "now_ms", "attempts", "reason"),
    [
        (h.SAFE, 5000.0, 0, "its deadline has passed"),
        (h.SAFE, 100.0, 6, "its maximum of attempts is reached"),
        (h.UNSAFE, 100.0, 1, "no member is available"),
    ],
)
def test_rejected_attempt_has_reason(cls: int, now_ms: float, attempts: int, reason: str) -> None:
    setup = Setup()
    state = parts.request_state(cls)
    for _ in range(attempts):
        state.add_attempt(parts.attempt_state(setup.caches[0], setup.parents[0]))
    assert setup.planner.plan(state, now_ms) is None and state.reason == reason


def test_no_attempt_without_members() -> None:
    setup = Setup()
    setup.table.apply(
        h.delta(*(h.member(id_, state=0) for id_ in (*h.CACHES, *h.PARENTS, h.ORIGIN))), 1.0, 0.0
    )
    assert setup.plan() is None and setup.state.reason == "no member is available"


@pytest.mark.parametrize(
    ("busy", "in_flight", "place", "has_source"),
    [
        (0, 0, 0, True),
        (1, 30, 1, True),  # the next cache is idle
        (4, 30, 0, False),  # only a cached copy would be in time
        (4, 60, None, False),
    ],
)
def test_busy_location_redirects_then_limits_fills_then_sheds(
    busy: int, in_flight: int, place: int | None, has_source: bool
) -> None:
    setup = Setup()
    for cache in setup.caches[:busy]:
        cache.load.in_flight, cache.load.mean_updated_ms = in_flight, 100.0
    plan = setup.plan()
    if place is None:
        assert plan is None and setup.state.reason == "its cache is busy"
    else:
        assert plan is not None and plan.endpoint is setup.caches[place]
        assert (plan.source is not None) == has_source


@pytest.mark.parametrize(
    ("max_fills", "withholds", "source", "counted"),
    [(1, False, h.ORIGIN, 1), (-1, False, h.ORIGIN, 1), (0, False, None, 0), (1, True, None, 0)],
)
def test_origin_fill_requires_capacity(
    max_fills: int, withholds: bool, source: int | None, counted: int
) -> None:
    setup = Setup(max_origin_fills=max_fills)
    setup.table.apply(h.delta(*(h.member(id_, state=0) for id_ in h.PARENTS)), 1.0, 0.0)
    state = parts.request_state()
    state.withholds_fill = withholds
    plan = setup.planner.plan(state, 100.0)
    assert plan is not None and (plan.source.id if plan.source else None) == source
    assert plan.uses_origin_fill == bool(counted) and setup.origin_fills.in_flight == counted
    assert plan.only_if_cached == withholds


def test_failed_fill_moves_fills_to_another_parent_temporarily() -> None:
    setup = Setup()
    state = parts.request_state()
    attempt = parts.attempt_state(setup.caches[0], setup.parents[0])
    setup.selector.override_source(state, attempt, 100.0)
    others = [parent for parent in setup.table.parents if parent is not setup.parents[0]]
    assert setup.selector.select_source(parts.request_state(), 200.0).endpoint is others[0]
    assert setup.selector.select_source(parts.request_state(), 5100.0).endpoint is setup.parents[0]
    state.tried_sources = [others[0].id]
    assert setup.selector.select_source(state, 200.0).endpoint is setup.parents[0]


@pytest.mark.parametrize(("transfer_ms", "expected"), [(0.0, 500.0), (300.0, 1100.0), (4000.0, 5000.0)])
def test_objective_grows_with_transfer_time_up_to_deadline(transfer_ms: float, expected: float) -> None:
    state = parts.request_state()
    state.transfer_ms = transfer_ms
    assert latency_objective_ms(state) == expected
