"""Possible runs under an idempotency key: the first of them, and the expiry of keys."""

from __future__ import annotations

from collections import Counter

from lupintack.limits.idempotency_cache import IdempotencyCache, IdempotencyKey, PossibleRun

A = IdempotencyKey("post", "a")


def test_first_run_is_the_oldest_possible_run_of_any_request() -> None:
    cache = IdempotencyCache(Counter(), max_keys=3)
    for n in range(3):
        cache.on_attempt_sent(A, PossibleRun(n * 10, 11 + n, n, 0, 100), n * 10 + 1000)
    assert cache.first_run(A) == PossibleRun(0, 11, 0, 0, 100)
    assert cache.first_run(IdempotencyKey("vote", "a")) is None
    cache.on_no_effect(A, 0, 0)
    assert cache.first_run(A) == PossibleRun(10, 12, 1, 0, 100)
    cache.on_no_effect(A, 9, 9)
    cache.on_no_effect(A, 1, 0)
    cache.on_no_effect(A, 2, 0)
    assert cache.first_run(A) is None and not cache.records[A].runs


def test_keys_expire_by_age_and_oldest_first_beyond_the_limit() -> None:
    counters: Counter[str] = Counter()
    cache = IdempotencyCache(counters, max_keys=3)
    for n in range(5):
        cache.on_attempt_sent(IdempotencyKey("post", str(n)), PossibleRun(n, 11, n, 0, 100), n + 1000)
    assert [key.value for key in cache.records] == ["2", "3", "4"]
    cache.on_attempt_sent(IdempotencyKey("post", "new"), PossibleRun(2000, 11, 9, 0, 100), 3000)
    assert [key.value for key in cache.records] == ["new"]
    assert counters == {"idempotency_keys.evicted": 2, "idempotency_keys.expired": 3}


def test_key_expires_by_its_latest_attempt_whatever_the_order_of_times() -> None:
    cache = IdempotencyCache(Counter())
    cache.on_attempt_sent(A, PossibleRun(0, 11, 0, 0, 100), 500)
    for n in range(1, 40):
        cache.on_attempt_sent(IdempotencyKey("vote", str(n)), PossibleRun(n * 10, 11, n, 0, 100), n * 10 + 5)
        if n == 20:
            cache.on_attempt_sent(A, PossibleRun(200, 12, 0, 1, 100), 700)
        assert cache.first_run(A) == PossibleRun(0, 11, 0, 0, 100)
    cache.on_attempt_sent(IdempotencyKey("vote", "last"), PossibleRun(701, 11, 99, 0, 100), 800)
    assert list(cache.records) == [IdempotencyKey("vote", "last")]


def test_shorter_of_the_windows_then_and_now_counts() -> None:
    run = PossibleRun(1000, 11, 0, 0, 100)
    assert run.window_end_us(100) == 1100
    assert run.window_end_us(2000) == 1100
    assert run.window_end_us(50) == 1050
