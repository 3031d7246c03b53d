"""The adaptive limit of fills, and requests while fills are limited."""

from __future__ import annotations

import pytest

from lupintack import interface as i
from lupintack.decisions.concurrency import AdaptiveLimit, AdaptiveLimitConfig
from lupintack.decisions.router import Router
from tests import helpers as h

CONFIG = AdaptiveLimitConfig(
    threshold=0.2, increase=0.1, decrease=0.7, min_share=0.1, window_ms=1000.0, min_samples=8
)


@pytest.mark.parametrize(
    ("failures", "windows", "allowed"),
    [(0, 3, 1.0), (1, 3, 1.0), (2, 1, 0.7), (8, 1, 0.7), (8, 2, 0.49), (8, 50, 0.1)],
)
def test_share_falls_with_failed_windows_to_minimum(failures: int, windows: int, allowed: float) -> None:
    limit = AdaptiveLimit(CONFIG)
    for window in range(1, windows + 1):
        for n in range(CONFIG.min_samples):
            limit.record(window * 1000.0, n < failures)
    assert limit.allowed_share == pytest.approx(allowed)


def test_few_outcomes_or_short_time_do_not_change_share() -> None:
    limit_with_few_samples, limit_in_short_window = AdaptiveLimit(CONFIG), AdaptiveLimit(CONFIG)
    for n in range(CONFIG.min_samples - 1):
        limit_with_few_samples.record(5000.0 + n, True)
    for n in range(100):
        limit_in_short_window.record(n * 9.9, True)
    assert limit_with_few_samples.allowed_share == limit_in_short_window.allowed_share == 1.0


def test_share_recovers_in_steps() -> None:
    limit = AdaptiveLimit(CONFIG)
    limit.allowed_share = 0.3
    shares = []
    for n in range(1, 91):
        limit.record(n * 200.0, False)
        shares.append(limit.allowed_share)
    assert shares == sorted(shares) and shares[-1] == 1.0
    assert max(b - a for a, b in zip(shares, shares[1:], strict=False)) == pytest.approx(0.1)


def run_late_fills(router: Router, wait_ms: float, rounds: int = 40) -> None:
    """Request new objects; half of the fills are late after waiting `wait_ms` at their source."""
    now = 1000.0
    for n in range(1, rounds + 1):
        now += 100.0
        actions = router.handle(now, [h.request(n, object_id=n, now=now)])
        fetch = h.fetches(actions)[0]
        if n % 2:
            router.handle(
                now, [h.attempt_ended(fetch, i.Outcome.OK, is_final=True, cache_status=i.CacheStatus.FILLED)]
            )
            continue
        timer = next(a for a in actions if isinstance(a, i.SetTimer))
        now = timer.at_ms
        router.handle(now, [i.TimerFired(timer.token)])
        cache_status = i.CacheStatus.FILLED_FROM_ORIGIN
        router.handle(
            now,
            [
                h.attempt_ended(
                    fetch,
                    i.Outcome.OK,
                    elapsed_ms=900.0,
                    fill_wait_ms=wait_ms,
                    is_final=True,
                    cache_status=cache_status,
                )
            ],
        )


def test_fills_delayed_on_network_path_limit_further_ones() -> None:
    router = h.router(reports_fill_source="all")  # fill waits are reported
    run_late_fills(router, wait_ms=50.0)
    assert router.fill_limits.late.allowed_share < 0.8


def test_fills_that_waited_for_source_do_not_limit_others() -> None:
    router = h.router(reports_fill_source="all")
    run_late_fills(router, wait_ms=800.0)
    assert router.fill_limits.late.allowed_share == 1.0


def test_withheld_fill_never_uses_origin_as_source() -> None:
    """The origin has every object, so only-if-cached would not prevent a fill there; no parent is ready."""
    router = h.router()
    router.handle(500.0, [h.delta(*(h.member(p, state=0) for p in h.PARENTS))])
    router.fill_limits.late.allowed_share = 0.5
    sent = []
    for n in range(1, 101):
        actions = router.handle(1000.0 + n, [h.request(n, object_id=n, now=1000.0 + n)])
        sent += h.fetches(actions)
        router.handle(1000.0 + n, [h.attempt_ended(f, i.Outcome.MISS) for f in h.fetches(actions)])
    assert all(f.source != h.ORIGIN for f in sent if f.only_if_cached)
    assert 30 < sum(f.source == h.ORIGIN for f in sent) < 70


def test_stale_copy_is_accepted_only_if_fill_is_withheld() -> None:
    """A stale copy is worth less than a fresh one, so it may not answer a request whose fill is allowed."""
    router = h.router()
    router.fill_limits.late.allowed_share = 0.5
    fresh = router.settings.classes[h.EXPIRING].fresh_ms
    sent = []
    local_copies = 0
    for n in range(1, 201):
        now = n * 100.0
        actions = router.handle(
            now, [h.request(n, n, h.EXPIRING, now, local_copy_age_ms=fresh + 500.0 if n % 2 else -1.0)]
        )
        local_copies += any(isinstance(a, i.ServeLocalCopy) for a in actions)
        sent += h.fetches(actions)
        router.handle(now, [h.attempt_ended(f, i.Outcome.OK, is_final=True) for f in h.fetches(actions)])
        router.fill_limits.late.allowed_share = 0.5
    only_if_cached_fetches = [f for f in sent if f.only_if_cached]
    assert 30 < local_copies < 70 and 30 < len(only_if_cached_fetches) < 70
    assert all((f.max_age_ms > fresh) == f.only_if_cached for f in sent)
