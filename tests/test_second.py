"""Hard cases of the second deployment, by the module alone: purges, no reports, cold members."""

from __future__ import annotations

from typing import Any

import pytest

from lupintack import interface as i
from lupintack.decisions.router import Router
from tests import helpers as h

# As the second deployment words them.
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


@pytest.mark.parametrize("heard_before", [0.0, 1.0, 499.0, 501.0, 5999.0])
def test_a_purge_binds_from_when_it_is_heard_not_from_when_its_slack_is_over(heard_before: float) -> None:
    for cls in (h.SAFE, h.EXPIRING):
        made = h.router(1000.0, **SECOND)
        made.handle(2000.0, [i.Purged(5, 0, 40.0)])
        now = 2000.0 + heard_before
        fetch = h.fetches(made.handle(now, [h.request(1, 5, cls, now)]))[0]
        assert 0.0 < fetch.max_age_ms < heard_before + 40.0 + 0.01 and not fetch.coalesce


def test_sizes_that_differ_between_two_requests_for_one_part_are_each_requests_own() -> None:
    made = h.router(**SECOND)
    for n, size in enumerate((1500.0, 15.0, 0.0)):
        made.handle(n * 10.0, [h.request(n, 5, now=n * 10.0, size_kb=size)])
    works = [made.requests[n].transfer_ms for n in range(3)]
    assert works[0] == pytest.approx(300.0) and works[1] == pytest.approx(3.0)
    assert works[2] == pytest.approx((300.0 + 3.0) / 2)  # not told: the mean


def fleet(count: int, now: float) -> list[Router]:
    """So many routers of one location, that share nothing."""
    told = {**SECOND, "router_count": count, "routers_by_zone": (count, 0, 0)}
    made = [Router(h.settings(**told, router_index=n), n) for n in range(count)]
    for one in made:
        one.handle(now, [h.full_list()])
    return made


@pytest.mark.parametrize("count", [3, 40])
def test_no_report_ever_and_all_caches_replaced_within_22_s(count: int) -> None:
    """Each guesses alone; the sum to a new cache keeps the rule, none of them stands idle, and none falls."""
    routers, names = fleet(count, 0.0), list(h.CACHES)
    sent: dict[int, list[tuple[float, float]]] = {}
    born: dict[int, float] = {}
    refused = asked = 0
    for step in range(3000):
        now = step * 10.0
        events: list[i.Event] = []
        if step and step % 550 == 0 and len(born) < len(h.CACHES):  # one after another, in 22 s
            old = names[len(born)]
            fresh = old + 100
            born[fresh] = now
            new = i.Member(fresh, 0, 0, 0, started_ms=now, capacity=10.0)
            events.append(h.delta(i.Member(old, 0, 0, 0, i.MemberState.REMOVED), new))
        for one in routers:
            if events:
                one.handle(now, events)
        one = routers[step % count]
        asked += 1
        actions = one.handle(now, [h.request(step, step % 211 + 1, now=now, size_kb=250.0)])
        refused += len(h.final_answers(actions))
        for fetch in h.fetches(actions):
            for number in {fetch.member, fetch.source}:
                sent.setdefault(number, []).append((now, 50.0))
            one.handle(
                now, [h.attempt_ended(fetch, i.Outcome.OK, is_final=True, cache_status=i.CacheStatus.FILLED)]
            )
    assert refused < asked * 0.05
    for cache, at in born.items():
        assert sent.get(cache), "it is never used"
        for begin in range(0, 14, 2):
            window = [(t, w) for t, w in sent[cache] if begin * 1000.0 <= t - at < begin * 1000.0 + 1000.0]
            warmth = 0.25 + 0.75 * begin / 14.0
            assert sum(w for _, w in window) <= 4.0 * warmth * 10.0 * 1000.0
    gone = {old: at for old, at in zip(names, born.values(), strict=False)}
    assert all(t <= gone[old] for old in gone for t, _ in sent.get(old, []))


@pytest.mark.parametrize("count", [4, 40])
def test_an_upper_cache_that_starts_at_8_percent_is_not_pushed_over_by_any_number(count: int) -> None:
    routers = fleet(count, 1000.0)
    cold = h.PARENTS[0]
    news = h.delta(h.member(cold, 1, 1000.0, 40.0))
    sent: list[tuple[float, float]] = []
    for one in routers:
        one.handle(1000.0, [news])
    for step in range(2500):
        now = 1000.0 + step * 2.0
        one = routers[step % count]
        for fetch in h.fetches(one.handle(now, [h.request(step, step, now=now, size_kb=1500.0)])):
            if cold in (fetch.member, fetch.source):
                sent.append((now, 300.0))
            one.handle(
                now, [h.attempt_ended(fetch, i.Outcome.OK, is_final=True, cache_status=i.CacheStatus.FILLED)]
            )
    assert sent, "nobody uses it"
    for at, _ in sent:
        work = sum(w for t, w in sent if at <= t < at + 1000.0)
        warmth = 0.082 + (1 - 0.082) * (at - 1000.0) / 20_000.0
        assert work <= 2.0 * warmth * 40.0 * 1000.0


def test_no_cache_is_ever_named_as_a_source_whatever_the_settings_allow() -> None:
    made = h.router(**SECOND)
    for n in range(200):
        for fetch in h.fetches(made.handle(n * 5.0, [h.request(n, n, now=n * 5.0)])):
            assert fetch.source in (fetch.member, *h.PARENTS, h.ORIGIN)  # itself: no fill
