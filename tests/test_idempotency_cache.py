"""Possible runs under an idempotency key: the first of them, the expiry of keys, and the cache's bounds."""

from __future__ import annotations

import random
from collections import Counter

from lupintack.limits.idempotency_cache import (
    MAX_EXPIRIES_PER_CALL,
    MAX_RUNS_PER_KEY,
    IdempotencyCache,
    IdempotencyKey,
    PossibleRun,
)

A = IdempotencyKey("post", "a")


def add(cache: IdempotencyCache, key: IdempotencyKey, now_us: int, expires_us: int, request: int = 0) -> bool:
    """Reserve a key and record an attempt at member 11 under it."""
    run = PossibleRun(now_us, 11, request, 0, 100)
    return cache.reserve(key, now_us, expires_us) and cache.add_run(key, run)


def post(n: int) -> IdempotencyKey:
    return IdempotencyKey("post", str(n))


def test_first_run_is_the_oldest_possible_run_of_any_request() -> None:
    cache = IdempotencyCache(Counter(), max_keys=3)
    for n in range(3):
        assert add(cache, A, n * 10, n * 10 + 1000, request=n)
    assert cache.first_run(A) == PossibleRun(0, 11, 0, 0, 100)
    assert cache.first_run(IdempotencyKey("vote", "a")) is None
    cache.remove_run(A, 0, 0)
    assert cache.first_run(A) == PossibleRun(10, 11, 1, 0, 100)
    cache.remove_run(A, 9, 9)
    cache.remove_run(A, 1, 0)
    cache.remove_run(A, 2, 0)
    assert cache.first_run(A) is None and not cache.records[A].runs


def test_keys_expire_by_their_time_and_new_ones_are_refused_beyond_the_limit() -> None:
    counters: Counter[str] = Counter()
    cache = IdempotencyCache(counters, max_keys=3)
    assert [add(cache, post(n), n, n + 1000) for n in range(5)] == [True, True, True, False, False]
    assert [key.value for key in cache.records] == ["0", "1", "2"]
    assert add(cache, post(1), 5, 1500), "a key that is recorded is not refused"
    assert not add(cache, post(7), 1000, 2000), "the first expires after its time, not at it"
    assert add(cache, post(8), 1001, 2001) and not add(cache, post(9), 1001, 2001)
    assert [key.value for key in cache.records] == ["1", "2", "8"]
    assert add(cache, post(10), 2002, 3002)
    assert [key.value for key in cache.records] == ["10"]
    assert counters == {"idempotency_keys.expired": 4}


def test_key_expires_by_its_latest_extension_whatever_the_order_of_times() -> None:
    cache = IdempotencyCache(Counter())
    add(cache, A, 0, 500)
    for n in range(1, 40):
        add(cache, IdempotencyKey("vote", str(n)), n * 10, n * 10 + 5)
        if n == 20:
            add(cache, A, 200, 700)
            add(cache, A, 200, 300)  # an earlier expiry shortens nothing
        assert cache.first_run(A) == PossibleRun(0, 11, 0, 0, 100)
    add(cache, IdempotencyKey("vote", "last"), 701, 800)
    assert list(cache.records) == [IdempotencyKey("vote", "last")]


def test_runs_under_one_key_are_refused_beyond_the_limit() -> None:
    cache = IdempotencyCache(Counter())
    for n in range(MAX_RUNS_PER_KEY):
        assert add(cache, A, n, 1000, request=n)
    assert not add(cache, A, 500, 1000, request=500)
    assert len(cache.records[A].runs) == MAX_RUNS_PER_KEY
    cache.remove_run(A, 3, 0)
    assert add(cache, A, 501, 1000, request=501) and cache.first_run(A) == PossibleRun(0, 11, 0, 0, 100)


def test_one_call_drops_a_bounded_number_of_expired_keys() -> None:
    cache = IdempotencyCache(Counter())
    for n in range(3 * MAX_EXPIRIES_PER_CALL):
        add(cache, post(n), 0, 100)
    for left in (2, 1, 0):
        assert cache.reserve(post(1000 + left), 101, 500)
        assert len(cache.records) == left * MAX_EXPIRIES_PER_CALL + 3 - left


def test_no_key_is_dropped_before_its_time_in_any_order_of_calls() -> None:
    rng = random.Random(50)
    cache, expiries = IdempotencyCache(Counter(), max_keys=40), dict[IdempotencyKey, int]()
    now_us = 0
    for _ in range(5000):
        now_us += rng.randrange(20)
        key, expires_us = post(rng.randrange(200)), now_us + rng.randrange(2000)
        if cache.reserve(key, now_us, expires_us):
            expiries[key] = max(expiries.get(key, 0), expires_us)
        expiries = {k: at for k, at in expiries.items() if at >= now_us or k in cache.records}
        assert {k for k, at in expiries.items() if at >= now_us} <= set(cache.records)
        assert len(cache.records) <= 40


def test_shorter_of_the_windows_then_and_now_counts() -> None:
    run = PossibleRun(1000, 11, 0, 0, 100)
    assert run.window_end_us(100) == 1100
    assert run.window_end_us(2000) == 1100
    assert run.window_end_us(50) == 1050


def test_earliest_end_of_the_windows_counts_whatever_the_order_of_attempts() -> None:
    cache = IdempotencyCache(Counter())
    assert cache.window_end_us(A, 9000) is None
    for n, window_us in enumerate((5000, 50, 3000)):
        assert cache.reserve(A, n, 10_000)
        assert cache.window_end_us(A, 9000) == (None, 5000, 51)[n]
        assert cache.add_run(A, PossibleRun(n, 11, n, 0, window_us))
    assert cache.window_end_us(A, 9000) == 51 and cache.window_end_us(A, 20) == 20
    cache.remove_run(A, 1, 0)
    assert cache.window_end_us(A, 9000) == 3002
