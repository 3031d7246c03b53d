"""Unit tests of slow start, demand, fill limits and jitter."""

from __future__ import annotations

import math

import pytest

from lupintack.decisions.concurrency import FillLimits, OriginFillLimit
from lupintack.decisions.jitter import JITTER_FRACTION, Jitter
from lupintack.decisions.slow_start import BorrowedCalls, Demand, SlowStart, SlowStartConfig, quota
from tests import decision_parts as parts

CONFIG = SlowStartConfig(initial_capacity_share=0.2, duration_ms=10_000.0, overload_multiple=2.0)


def slow_start(routers: int = 1, capacity: float = 10.0, config: SlowStartConfig = CONFIG) -> SlowStart:
    return SlowStart(config, capacity, routers, BorrowedCalls(7), 0.0)


@pytest.mark.parametrize(
    ("started_ms", "lost_ms", "now_ms", "expected"),
    [
        (0.0, -math.inf, 0.0, 1.0),  # started long ago
        (1000.0, -math.inf, 1000.0, 0.2),
        (1000.0, -math.inf, 6500.0, 0.6),  # the ramp is 10% longer than the setting
        (1000.0, -math.inf, 11_999.0, 1.0),
        (1000.0, -math.inf, 12_000.0, 1.0),
        (1000.0, -math.inf, 500.0, 0.2),  # a start in the future
        (0.0, 2000.0, 2000.0, 0.2),
        (1000.0, 6500.0, 6500.0, 0.2),  # the later of start and loss
    ],
)
def test_ramp_begins_at_start_or_loss_of_process(
    started_ms: float, lost_ms: float, now_ms: float, expected: float
) -> None:
    ramp = slow_start()
    ramp.started_ms, ramp.lost_ms = started_ms, lost_ms
    assert ramp.factor(now_ms) == pytest.approx(expected, abs=1e-4)


def test_zero_duration_means_full_capacity() -> None:
    ramp = slow_start(config=SlowStartConfig(0.2, 0.0, 2.0))
    ramp.started_ms = 1000.0
    assert ramp.factor(1000.0) == 1.0


@pytest.mark.parametrize(
    ("lease", "processes", "expected"),
    [(-1.0, 1, 2.0), (-1.0, 2, 1.0), (0.25, 1, 2.0), (0.25, 2, 2.0), (9.0, 1, 8.0)],
)
def test_quota_is_lease_or_divided_by_router_and_process_counts(
    lease: float, processes: int, expected: float
) -> None:
    assert quota(8.0, 4, processes, lease) == expected


def test_tokens_accumulate_at_half_rate_up_to_half_of_window() -> None:
    ramp = slow_start()
    ramp.started_ms = 1.0
    rate = 0.2 * 10.0 * 1.6  # initial share x capacity x share of the overload multiple
    assert ramp.total_rate(1.0) == pytest.approx(rate)
    assert ramp.refill(1.0, 1000.0) == pytest.approx(rate / 2, rel=1e-3)
    assert ramp.refill(101.0, 1000.0) == pytest.approx(rate / 2 * 101.0, rel=0.05)
    assert ramp.refill(5000.0, 1000.0) == pytest.approx(ramp.total_rate(5000.0) * 500.0)


def test_call_requires_tokens_and_always_counts_as_demand() -> None:
    ramp = slow_start()
    ramp.started_ms = 1.0
    assert not ramp.may_send(300.0, 2.0, 1000.0, 1, -1.0)
    assert ramp.may_send(300.0, 900.0, 1000.0, 1, -1.0)
    assert ramp.demand.share(1.0, 900.0) > 0.2


@pytest.mark.parametrize(
    ("saved_ms", "max_saved_ms", "allowed"),
    [(0.0, 100.0, False), (-5.0, 100.0, False), (200.0, 400.0, False), (299.9, 299.9, True)],
)
def test_call_is_borrowed_only_if_quota_is_below_one_call(
    saved_ms: float, max_saved_ms: float, allowed: bool
) -> None:
    calls = BorrowedCalls(7)
    calls.max_saved_ms = max_saved_ms
    assert calls.may_borrow(saved_ms, 300.0, 0.0, 1000.0) == allowed


def test_number_of_borrowing_routers_matches_their_quotas() -> None:
    allowed = 0
    for number in range(1000):
        calls = BorrowedCalls(number * 0x9E3779B97F4A7C15 % 2**64)
        calls.max_saved_ms = 60.0
        allowed += calls.may_borrow(60.0, 300.0, 0.0, 1000.0)
    assert 150 < allowed < 250


def test_random_numbers_differ_by_state_and_are_in_range() -> None:
    draws = [BorrowedCalls(number).next_random() for number in range(200)]
    assert len(set(draws)) == 200 and all(0.0 < draw <= 1.0 for draw in draws)


@pytest.mark.parametrize(
    ("total_rate", "now_ms", "expected"), [(1.0, 0.0, 0.1), (0.5, 0.0, 0.2), (0.0, 0.0, 0.0), (1.0, 1e6, 0.0)]
)
def test_demand_is_decaying_share_of_rate(total_rate: float, now_ms: float, expected: float) -> None:
    demand = Demand()
    assert demand.share(total_rate, now_ms) == 0.0
    demand.add(200.0, 0.0)
    assert demand.share(total_rate, now_ms) == pytest.approx(expected)


@pytest.mark.parametrize(
    ("failed", "late", "allowed", "restricting"),
    [(1.0, 1.0, 1.0, False), (0.5, 1.0, 0.5, True), (0.5, 0.3, 0.3, True)],
)
def test_lower_of_two_fill_limits_applies(
    failed: float, late: float, allowed: float, restricting: bool
) -> None:
    limits = FillLimits()
    limits.failed.allowed_share, limits.late.allowed_share = failed, late
    assert (limits.allowed_share(), limits.is_restricting()) == (allowed, restricting)


@pytest.mark.parametrize(("max_fills", "granted"), [(-1, 4), (0, 0), (2, 2), (9, 4)])
def test_origin_fills_are_limited(max_fills: int, granted: int) -> None:
    limit = OriginFillLimit()
    assert sum(limit.acquire(max_fills, 0.0) for _ in range(4)) == granted == limit.in_flight
    limit.release(False)
    assert limit.in_flight == granted
    if granted:
        limit.release(True)
        assert limit.in_flight == granted - 1


@pytest.mark.parametrize(
    ("draw", "factor"), [(0.0, 1 - JITTER_FRACTION), (0.5, 1.0), (1.0, 1 + JITTER_FRACTION)]
)
def test_jitter_is_bounded_by_its_fraction(draw: float, factor: float) -> None:
    assert Jitter(parts.FixedRandom(draw)).spread(100.0) == pytest.approx(100.0 * factor)
