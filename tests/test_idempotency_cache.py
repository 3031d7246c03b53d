"""Possible runs under an idempotency key: the first of them, and the expiry of keys."""

from __future__ import annotations

from collections import Counter

from lupintack.limits.idempotency_cache import IdempotencyCache, PossibleRun


def test_first_run_is_the_oldest_possible_run_of_any_request() -> None:
    cache = IdempotencyCache(Counter(), max_keys=3)
    for n in range(3):
        cache.on_attempt_sent(2, "a", PossibleRun(n * 10, 11 + n, n, 0), 1000)
    assert cache.first_run(2, "a") == PossibleRun(0, 11, 0, 0) and cache.first_run(1, "a") is None
    cache.on_no_effect(2, "a", 0, 0)
    assert cache.first_run(2, "a") == PossibleRun(10, 12, 1, 0)
    cache.on_no_effect(2, "a", 9, 9)
    cache.on_no_effect(2, "a", 1, 0)
    cache.on_no_effect(2, "a", 2, 0)
    assert cache.first_run(2, "a") is None and not cache.possible_runs


def test_keys_expire_by_age_and_oldest_first_beyond_the_limit() -> None:
    cache = IdempotencyCache(Counter(), max_keys=3)
    for n in range(5):
        cache.on_attempt_sent(2, str(n), PossibleRun(n, 11, n, 0), 1000)
    assert [key for _, key in cache.possible_runs] == ["2", "3", "4"]
    cache.on_attempt_sent(2, "new", PossibleRun(2000, 11, 9, 0), 1000)
    assert [key for _, key in cache.possible_runs] == ["new"]
