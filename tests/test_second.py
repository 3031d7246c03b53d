"""Edge cases of the second deployment: purges, missing load reports, members in slow start."""

from __future__ import annotations

from typing import Any

import pytest

from lupintack import interface as i
from lupintack.decisions.router import Router
from tests import helpers as h

# The settings in which the second deployment differs.
SECOND: dict[str, Any] = {
    "allows_hedging": False,
    "reports_fill_source": "hit",
    "coalesces_fills": False,
    "load_report_fields": (),
    "overload_multiple": 4.0,
    "initial_capacity_share": 0.25,
    "overload_window_ms": 1000.0,
    "slow_start_ms": 14_000.0,
    "parent_initial_capacity_share": 0.082,
    "parent_slow_start_ms": 20_000.0,
    "parent_overload_multiple": 2.0,
    "purge_grace_ms": 500.0,
    "drain_grace_ms": 2000.0,
}


@pytest.mark.parametrize("elapsed_ms", [0.0, 1.0, 499.0, 501.0, 5999.0])
def test_purge_applies_from_its_receipt(elapsed_ms: float) -> None:
    for cls in (h.SAFE, h.EXPIRING):
        router = h.router(1000.0, **SECOND)
        router.handle(2000.0, [i.Purged(5, 0, 40.0)])
        now = 2000.0 + elapsed_ms
        fetch = h.fetches(router.handle(now, [h.request(1, 5, cls, now)]))[0]
        assert 0.0 < fetch.max_age_ms < elapsed_ms + 40.0 + 0.01 and not fetch.coalesce


def test_different_sizes_for_same_part_apply_per_request() -> None:
    router = h.router(**SECOND)
    for n, size in enumerate((1500.0, 15.0, 0.0)):
        router.handle(n * 10.0, [h.request(n, 5, now=n * 10.0, size_kb=size)])
    transfer_ms = [router.requests[n].transfer_ms for n in range(3)]
    assert transfer_ms[0] == pytest.approx(300.0) and transfer_ms[1] == pytest.approx(3.0)
    assert transfer_ms[2] == pytest.approx((300.0 + 3.0) / 2)  # size unknown: the mean


def fleet(count: int, now: float) -> list[Router]:
    """Return `count` independent routers of one location."""
    values = {**SECOND, "router_count": count, "routers_by_zone": (count, 0, 0)}
    routers = [Router(h.settings(**values, router_index=n), n) for n in range(count)]
    for router in routers:
        router.handle(now, [h.full_list()])
    return routers


@pytest.mark.parametrize("count", [3, 40])
def test_all_caches_replaced_within_22_s_without_load_reports(count: int) -> None:
    """Without load reports, the requests to each new cache stay within its budget, and it is used."""
    routers, cache_ids = fleet(count, 0.0), list(h.CACHES)
    sent: dict[int, list[tuple[float, float]]] = {}
    started_at: dict[int, float] = {}
    rejected = requested = 0
    for step in range(3000):
        now = step * 10.0
        events: list[i.Event] = []
        if step and step % 550 == 0 and len(started_at) < len(h.CACHES):  # every 5.5 s, 22 s in all
            old = cache_ids[len(started_at)]
            new_id = old + 100
            started_at[new_id] = now
            new = i.Member(new_id, 0, 0, 0, started_ms=now, capacity=10.0)
            events.append(h.delta(i.Member(old, 0, 0, 0, i.MemberState.REMOVED), new))
        for router in routers:
            if events:
                router.handle(now, events)
        router = routers[step % count]
        requested += 1
        actions = router.handle(now, [h.request(step, step % 211 + 1, now=now, size_kb=250.0)])
        rejected += len(h.final_answers(actions))
        for fetch in h.fetches(actions):
            for member_id in {fetch.member, fetch.source}:
                sent.setdefault(member_id, []).append((now, 50.0))
            router.handle(
                now, [h.attempt_ended(fetch, i.Outcome.OK, is_final=True, cache_status=i.CacheStatus.FILLED)]
            )
    assert rejected < requested * 0.05
    for cache, started_ms in started_at.items():
        assert sent.get(cache), "the new cache is never used"
        for begin in range(0, 14, 2):
            window = [
                (sent_ms, transfer)
                for sent_ms, transfer in sent[cache]
                if begin * 1000.0 <= sent_ms - started_ms < begin * 1000.0 + 1000.0
            ]
            capacity_share = 0.25 + 0.75 * begin / 14.0
            assert sum(transfer for _, transfer in window) <= 4.0 * capacity_share * 10.0 * 1000.0
    removed_at = {old: removed_ms for old, removed_ms in zip(cache_ids, started_at.values(), strict=False)}
    assert all(sent_ms <= removed_at[old] for old in removed_at for sent_ms, _ in sent.get(old, []))


@pytest.mark.parametrize("count", [4, 40])
def test_parent_starting_at_8_percent_is_not_overloaded(count: int) -> None:
    routers = fleet(count, 1000.0)
    warming_id = h.PARENTS[0]
    event = h.delta(h.member(warming_id, 1, 1000.0, 40.0))
    sent: list[tuple[float, float]] = []
    for router in routers:
        router.handle(1000.0, [event])
    for step in range(2500):
        now = 1000.0 + step * 2.0
        router = routers[step % count]
        for fetch in h.fetches(router.handle(now, [h.request(step, step, now=now, size_kb=1500.0)])):
            if warming_id in (fetch.member, fetch.source):
                sent.append((now, 300.0))
            router.handle(
                now, [h.attempt_ended(fetch, i.Outcome.OK, is_final=True, cache_status=i.CacheStatus.FILLED)]
            )
    assert sent, "the new parent is never used"
    for begin_ms, _ in sent:
        work_ms = sum(transfer for sent_ms, transfer in sent if begin_ms <= sent_ms < begin_ms + 1000.0)
        capacity_share = 0.082 + (1 - 0.082) * (begin_ms - 1000.0) / 20_000.0
        assert work_ms <= 2.0 * capacity_share * 40.0 * 1000.0


def test_source_is_never_another_cache() -> None:
    router = h.router(**SECOND)
    for n in range(200):
        for fetch in h.fetches(router.handle(n * 5.0, [h.request(n, n, now=n * 5.0)])):
            assert fetch.source in (fetch.member, *h.PARENTS, h.ORIGIN)  # the member itself means no fill
