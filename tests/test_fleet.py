"""Forty routers that hear the same news in one moment, and what they all together do to one member."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from functools import partial

import pytest

from lupintack import interface as i
from lupintack.config import Names
from lupintack.core.member_table import MemberTable
from lupintack.decisions.router import Router
from lupintack.discovery.client import DiscoveryClient
from tests import helpers as h

ROUTERS = 40
ZONES = 5
ANSWER_MS = 250.0
Sent = tuple[float, i.Fetch]


def caches(zone: int) -> tuple[int, ...]:
    """Four in each location."""
    return tuple(1000 + zone * 100 + n for n in range(4))


def member(id_: int, state: int = 1, started_ms: float = 0.0, capacity: float = 10.0) -> i.Member:
    """Caches from 1,000 on by location, parents from 21 on, as in the helpers, and the origin."""
    if id_ < 1000:
        parent = id_ != h.ORIGIN
        return i.Member(id_, 2, 1 if parent else 2, 0, i.MemberState(state), capacity, started_ms)
    return i.Member(id_, (id_ - 1000) // 100 % ZONES, 0, 0, i.MemberState(state), capacity, started_ms)


class Fleet:
    """Forty instances, eight in a location; a request each 80 ms at each, and an answer by the table.

    `fates` gives a member's outcome as a request's answer or as the fill's source; all others answer in time.
    """

    def __init__(self, count: int = ROUTERS, **changes: object) -> None:
        zones = tuple(len(range(z, count, ZONES)) for z in range(ZONES))
        values = {"router_count": count, "routers_by_zone": zones, "reports_fill_source": "all"} | changes
        self.routers = [Router(h.settings(router_index=n, zone=n % ZONES, **values), n) for n in range(count)]
        self.now = 0.0
        self.number = 0
        self.sent: list[list[Sent]] = [[] for _ in range(count)]
        self.refused: list[tuple[float, float]] = []
        self.fates: dict[int, tuple[i.Outcome, i.CacheStatus]] = {}
        self.due: list[tuple[float, int, int, i.Event]] = []
        ids = [c for z in range(ZONES) for c in caches(z)]
        self.tell(i.MemberList(i.ListKind.FULL, tuple(member(m) for m in (*ids, *h.PARENTS, h.ORIGIN))))

    def tell(self, *events: i.Event) -> None:
        """All hear it in one moment."""
        for n in range(len(self.routers)):
            self.handle(n, *events)

    def handle(self, n: int, *events: i.Event) -> None:
        for action in self.routers[n].handle(self.now, events):
            if isinstance(action, i.SetTimer):
                self.later(action.at_ms, n, i.TimerFired(action.token))
            elif isinstance(action, i.Reject):
                self.refused.append((self.now, action.retry_after_ms))
            elif isinstance(action, i.Fetch):
                self.sent[n].append((self.now, action))
                attempt = self.routers[n].requests[action.request].attempt_count - 1
                good = (i.Outcome.OK, i.CacheStatus.FILLED)
                outcome, note = self.fates.get(action.member, self.fates.get(action.source, good))
                took = ANSWER_MS if outcome is i.Outcome.OK else 5.0
                final = outcome is i.Outcome.OK
                ended = h.attempt_ended(
                    action, outcome, attempt, elapsed_ms=took, is_final=final, cache_status=note
                )
                self.later(self.now + took, n, ended)

    def later(self, at: float, n: int, event: i.Event) -> None:
        self.number += 1
        heapq.heappush(self.due, (at, self.number, n, event))

    def run(self, until: float, cls: int = h.SAFE, objects: int = 0) -> None:
        """Load and answers until then; objects are always new, or so many in turn."""
        while self.now < until:
            self.now += 10.0
            while self.due and self.due[0][0] <= self.now:
                _, _, n, event = heapq.heappop(self.due)
                self.handle(n, event)
            for n in range(len(self.routers)):
                if (self.now // 10 + n) % 8 == 0:
                    self.number += 1
                    key = self.number % objects + 1 if objects else self.number
                    self.handle(n, h.request(self.number, key, cls, self.now, size_kb=1000.0))

    def to(self, id_: int) -> list[float]:
        """When a member was sent to, or named as a source."""
        return sorted(at for sent in self.sent for at, f in sent if id_ in (f.member, f.source))


def fullest(times: list[float], span: float, weight: Callable[[float], float]) -> float:
    """The most that falls within any span, as a part of what `weight` allows at its beginning."""
    worst, first = 0.0, 0
    for last in range(len(times)):
        while times[first] <= times[last] - span:
            first += 1
        worst = max(worst, (last - first + 1) / weight(times[first]))
    return worst


WORK_MS = 200.0  # of the 1,000 KB above, sent at 5,000 KB/s


@pytest.mark.parametrize("count", [3, 40])
def test_all_routers_keep_slow_start_budget_of_parent_and_use_it(count: int) -> None:
    fleet = Fleet(count)
    fleet.run(2000.0)
    born = fleet.now
    fleet.tell(h.delta(member(24, started_ms=born), *(member(p, state=0) for p in h.PARENTS[:2])))
    fleet.run(born + 12_000.0)
    known = fleet.routers[0].settings

    def warm(at: float) -> float:
        """Capacity in requests a second: the member's own, told nowhere, at its coldest."""
        share = (
            known.parent_initial_capacity_share
            + (1 - known.parent_initial_capacity_share) * (at - born) / known.parent_slow_start_ms
        )
        return 10.0 * share * 1000.0 / WORK_MS

    span = known.overload_window_ms
    sent = fleet.to(24)
    allowed = known.parent_overload_multiple
    assert fullest(sent, span, lambda at: allowed * warm(at) * span / 1000.0) <= 1.0
    # And it is made use of: by the whole fleet's demand, or by a good part of what the budget allows.
    second = [at for at in sent if at > born + 6_000.0]
    wanted = 0.25 * sum(warm(born + 6_000.0 + n * 100.0) * 0.1 for n in range(60))
    assert len(second) >= min(wanted, count * 12.5 * 6 * 0.3)


def test_more_routers_use_parent_as_it_warms_up() -> None:
    fleet = Fleet()
    fleet.run(1_000.0)
    fleet.tell(h.delta(member(24, started_ms=fleet.now)))
    fleet.run(10_000.0)

    def using(since: float) -> int:
        return sum(any(f.source == 24 and since <= at < since + 2_000.0 for at, f in s) for s in fleet.sent)

    assert 1 <= using(1_000.0) < using(8_000.0)
    assert using(8_000.0) >= 5


def test_fill_time_is_not_charged_to_slow_start_budget() -> None:
    router = h.router(reports_fill_source="all")
    for n in range(200):
        fetch = h.fetches(router.handle(n * 50.0, [h.request(n, n + 1, now=n * 50.0, size_kb=0.0)]))[0]
        took, note = ((100.0, i.CacheStatus.HIT), (900.0, i.CacheStatus.FILLED))[n % 2]
        router.handle(
            n * 50.0,
            [h.attempt_ended(fetch, i.Outcome.OK, elapsed_ms=took, is_final=True, cache_status=note)],
        )
    router.handle(10_000.0, [h.delta(h.member(h.PARENTS[0], started_ms=4_000.0))])
    cold = router.endpoints.by_id[h.PARENTS[0]]
    for n in range(300, 400):
        before = cold.slow_start.refill(10_000.0 + n, router.settings.overload_window_ms)
        fetch = h.fetches(router.handle(10_000.0 + n, [h.request(n, n, now=10_000.0 + n, size_kb=0.0)]))[0]
        router.handle(10_000.0 + n, [h.attempt_ended(fetch, i.Outcome.OK, is_final=True, elapsed_ms=0.0)])
        if fetch.source == cold.id:
            assert before - cold.slow_start.tokens_ms == pytest.approx(100.0, abs=15.0)
            return
    raise AssertionError("the cold parent is never used")


def test_class_without_hits_uses_mean_of_all_answers() -> None:
    """Acks run at the origin and are told as filled by it: there is never a hit to learn from."""
    router = h.router(reports_fill_source="all")
    for n in range(20):
        fetch = h.fetches(router.handle(n * 50.0, [h.request(n, n + 1, h.UNSAFE, n * 50.0, size_kb=0.0)]))[0]
        note = i.CacheStatus.FILLED_FROM_ORIGIN
        router.handle(
            n * 50.0,
            [h.attempt_ended(fetch, i.Outcome.OK, elapsed_ms=60.0, is_final=True, cache_status=note)],
        )
    assert router.transfer_times.transfer_ms[h.UNSAFE] == pytest.approx(60.0)


def room(known: i.Settings, at: float, since: float) -> float:
    """Requests that a cold cache can bear within the rule's span, at its coldest."""
    warm = known.initial_capacity_share + (1 - known.initial_capacity_share) * min(
        1.0, (at - since) / known.slow_start_ms
    )
    return known.overload_multiple * 10.0 * warm * known.overload_window_ms / WORK_MS


def test_60_percent_of_caches_replaced_in_one_or_twenty_events() -> None:
    for steps in (1, 20):
        fleet = Fleet()
        fleet.run(1000.0)
        old = [c for z in range(ZONES) for c in caches(z)[:3]][:12]
        new = [c + 500 for c in old]
        born = {}
        for step in range(steps):
            part = slice(step * len(old) // steps, (step + 1) * len(old) // steps)
            born.update({c: fleet.now for c in new[part]})
            fleet.tell(
                h.delta(
                    *(member(c, state=0) for c in old[part]),
                    *(member(c, started_ms=fleet.now) for c in new[part]),
                )
            )
            fleet.run(fleet.now + 7000.0 / steps)
        fleet.run(fleet.now + 6000.0)
        known = fleet.routers[0].settings
        for c in new:
            sent = fleet.to(c)
            assert sent, f"{c} is never used"
            assert fullest(sent, known.overload_window_ms, partial(room, known, since=born[c])) <= 1.0
        last = {c: max(fleet.to(c), default=0.0) for c in old}
        assert all(at <= born[c + 500] for c, at in last.items()), "sent to a cache that is gone"


def together(times: list[float], span: float) -> int:
    """The most that falls within any span."""
    return round(fullest(times, span, lambda at: 1.0)) if times else 0


def test_trials_of_ejected_member_are_rare_until_it_recovers() -> None:
    fleet = Fleet()
    bad = h.PARENTS[0]
    fleet.fates[bad] = (i.Outcome.ERROR, i.CacheStatus.SOURCE_FAILED)
    fleet.run(6_000.0)
    assert all(h.is_ejected(router, router.endpoints.by_id[bad]) for router in fleet.routers)
    fleet.run(20_000.0)
    trials = [at for at in fleet.to(bad) if at > 8_000.0]
    assert 0 < together(trials, 1_000.0) <= ROUTERS * 4
    assert together(trials, 50.0) <= ROUTERS / 2, "all try in one moment"
    assert max(b - a for a, b in zip(trials, trials[1:], strict=False)) < 4_000.0
    del fleet.fates[bad]
    fleet.run(40_000.0)
    assert not any(h.is_ejected(router, router.endpoints.by_id[bad]) for router in fleet.routers)


def test_reactions_to_same_event_are_spread() -> None:
    fleet = Fleet()
    fleet.run(500.0)
    ids = [c for z in range(ZONES) for c in caches(z)]
    fleet.tell(h.delta(*(member(c, state=0) for c in (*ids, *h.PARENTS, h.ORIGIN))))
    fleet.run(700.0)
    waits = [later for at, later in fleet.refused if at > 500.0]
    assert len(waits) >= ROUTERS and len({round(w) for w in waits}) > 30
    assert 50.0 < min(waits) and max(waits) <= fleet.routers[0].settings.max_retry_after_ms
    tight = h.router(max_retry_after_ms=20.0)
    tight.handle(1.0, [h.delta(*(h.member(m, state=0) for m in (*h.CACHES, *h.PARENTS, h.ORIGIN)))])
    told = h.final_answers(tight.handle(2.0, [h.request(1, now=2.0)]))[0]
    assert isinstance(told, i.Reject) and told.retry_after_ms == 20.0
    again = [
        DiscoveryClient(None, Names((), (), (), ()), MemberTable(0.0), seed).reconnect_delay_s(
            received_line=False
        )
        for seed in range(40)
    ]
    assert len({round(s * 1000) for s in again}) > 20 and 0.1 < min(again) < max(again) < 0.3


@pytest.mark.parametrize("outcome", [i.Outcome.CONNECT_FAILED, i.Outcome.RESET, i.Outcome.TIMEOUT])
def test_failing_cache_is_ejected_alone(outcome: i.Outcome) -> None:
    """Full and refusing connections, resetting, or taking and saying nothing."""
    fleet = Fleet()
    bad = caches(0)[1]
    fleet.fates[bad] = (outcome, i.CacheStatus.UNKNOWN)
    fleet.run(8_000.0)
    for router in fleet.routers:
        assert {p.id for p in router.endpoints.caches if h.is_ejected(router, p)} <= {bad}
    assert all(
        h.is_ejected(router, router.endpoints.by_id[bad])
        for router in fleet.routers
        if bad in router.endpoints.by_id and router.endpoints.caches[0].member.zone == 0
    )
    del fleet.fates[bad]
    fleet.run(40_000.0)
    assert not any(h.is_ejected(router, p) for router in fleet.routers for p in router.endpoints.caches)


@pytest.mark.parametrize("outcome", [i.Outcome.CONNECT_FAILED, i.Outcome.RESET, i.Outcome.TIMEOUT])
def test_unsafe_request_never_runs_twice_during_faults(outcome: i.Outcome) -> None:
    fleet = Fleet()
    fleet.run(1_000.0)
    first = {id(s): len(s) for s in fleet.sent}
    fleet.fates |= {c: (outcome, i.CacheStatus.UNKNOWN) for c in caches(0)}
    fleet.tell(h.delta(*(member(c, state=0) for c in caches(1)[:2]), member(1500, started_ms=fleet.now)))
    fleet.run(4_000.0, cls=h.UNSAFE)
    for sent in fleet.sent:
        times: dict[int, list[i.Fetch]] = {}
        for _, f in sent[first[id(sent)] :]:
            times.setdefault(f.request, []).append(f)
        hit = {f.member for tries in times.values() for f in tries} & set(fleet.fates)
        assert hit or fleet.sent.index(sent) % ZONES
        for tries in times.values():
            ran = [
                n
                for n, f in enumerate(tries)
                if f.member in fleet.fates and outcome is not i.Outcome.CONNECT_FAILED
            ]
            assert not ran or ran[0] == len(tries) - 1, "sent again after it may have run"


def test_member_that_returns_to_list_is_used_again() -> None:
    fleet = Fleet()
    fleet.run(1_000.0)
    parent = h.PARENTS[1]
    fleet.tell(h.delta(member(parent, state=0)))
    gone = fleet.now
    fleet.run(3_000.0)
    assert not [at for at in fleet.to(parent) if at > gone]
    fleet.tell(h.delta(member(parent, started_ms=fleet.now)))
    back = fleet.now
    fleet.run(back + 15_000.0)
    assert [at for at in fleet.to(parent) if at > back]


def test_purge_of_everything_applies_at_all_routers_immediately() -> None:
    fleet = Fleet()
    fleet.run(1_000.0, objects=50)
    at = fleet.now
    fleet.tell(i.Purged(0, 0, 200.0))
    fleet.run(at + 3_000.0, objects=50)
    after = [(t, f) for sent in fleet.sent for t, f in sent if t > at]
    assert len(after) > 1_000
    assert all(0.0 < f.max_age_ms <= t - at + 200.0 and not f.coalesce for t, f in after)


def test_failed_origin_gets_no_retries_from_any_router() -> None:
    fleet = Fleet()
    fleet.run(3_000.0)
    at = fleet.now
    fleet.fates |= {p: (i.Outcome.REJECTED, i.CacheStatus.ORIGIN_FAILED) for p in (*h.PARENTS, h.ORIGIN)}
    fleet.run(at + 1_000.0)
    after = [f for sent in fleet.sent for t, f in sent if t > at]
    fills: dict[int, int] = {}
    for f in after:
        fills[f.request] = fills.get(f.request, 0) + (not f.only_if_cached and f.source != f.member)
    assert len(fills) > 400 and max(fills.values()) == 1
