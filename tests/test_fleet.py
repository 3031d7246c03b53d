"""Forty routers that receive the same events simultaneously, and their total load on one member."""

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
    """Return the ids of the four caches of a location."""
    return tuple(1000 + zone * 100 + n for n in range(4))


def member(id_: int, state: int = 1, started_ms: float = 0.0, capacity: float = 10.0) -> i.Member:
    """An entry of the member list; ids from 1,000 are caches by location, others are as in the helpers."""
    if id_ < 1000:
        parent = id_ != h.ORIGIN
        return i.Member(id_, 2, 1 if parent else 2, 0, i.MemberState(state), capacity, started_ms)
    return i.Member(id_, (id_ - 1000) // 100 % ZONES, 0, 0, i.MemberState(state), capacity, started_ms)


class Fleet:
    """Forty routers, eight in a location; each gets a request every 80 ms.

    `outcomes` has the outcome of attempts at a member or with that source; all other attempts succeed.
    """

    def __init__(self, count: int = ROUTERS, **changes: object) -> None:
        zones = tuple(len(range(z, count, ZONES)) for z in range(ZONES))
        values = {"router_count": count, "routers_by_zone": zones, "reports_fill_source": "all"} | changes
        self.routers = [Router(h.settings(router_index=n, zone=n % ZONES, **values), n) for n in range(count)]
        self.now = 0.0
        self.last_id = 0
        self.sent: list[list[Sent]] = [[] for _ in range(count)]
        self.rejections: list[tuple[float, float]] = []
        self.outcomes: dict[int, tuple[i.Outcome, i.CacheStatus]] = {}
        self.queue: list[tuple[float, int, int, i.Event]] = []
        ids = [c for z in range(ZONES) for c in caches(z)]
        self.broadcast(i.MemberList(i.ListKind.FULL, tuple(member(m) for m in (*ids, *h.PARENTS, h.ORIGIN))))

    def broadcast(self, *events: i.Event) -> None:
        """Pass events to all routers at the current time."""
        for n in range(len(self.routers)):
            self.handle(n, *events)

    def handle(self, n: int, *events: i.Event) -> None:
        for action in self.routers[n].handle(self.now, events):
            if isinstance(action, i.SetTimer):
                self.schedule(action.at_ms, n, i.TimerFired(action.token))
            elif isinstance(action, i.Reject):
                self.rejections.append((self.now, action.retry_after_ms))
            elif isinstance(action, i.Fetch):
                self.sent[n].append((self.now, action))
                attempt = self.routers[n].requests[action.request].attempt_count - 1
                success = (i.Outcome.OK, i.CacheStatus.FILLED)
                outcome, cache_status = self.outcomes.get(
                    action.member, self.outcomes.get(action.source, success)
                )
                elapsed_ms = ANSWER_MS if outcome is i.Outcome.OK else 5.0
                final = outcome is i.Outcome.OK
                ended = h.attempt_ended(
                    action, outcome, attempt, elapsed_ms=elapsed_ms, is_final=final, cache_status=cache_status
                )
                self.schedule(self.now + elapsed_ms, n, ended)

    def schedule(self, at: float, n: int, event: i.Event) -> None:
        self.last_id += 1
        heapq.heappush(self.queue, (at, self.last_id, n, event))

    def run(self, until: float, cls: int = h.SAFE, objects: int = 0) -> None:
        """Send requests and handle answers until a time; `objects` is the number of objects, 0: all new."""
        while self.now < until:
            self.now += 10.0
            while self.queue and self.queue[0][0] <= self.now:
                _, _, n, event = heapq.heappop(self.queue)
                self.handle(n, event)
            for n in range(len(self.routers)):
                if (self.now // 10 + n) % 8 == 0:
                    self.last_id += 1
                    key = self.last_id % objects + 1 if objects else self.last_id
                    self.handle(n, h.request(self.last_id, key, cls, self.now, size_kb=1000.0))

    def times_sent_to(self, id_: int) -> list[float]:
        """Return the times of attempts at a member or with it as the source."""
        return sorted(at for sent in self.sent for at, f in sent if id_ in (f.member, f.source))


def max_window_ratio(times: list[float], window_ms: float, limit: Callable[[float], float]) -> float:
    """Return the highest count in any window, as a share of `limit` at the start of the window."""
    highest, first = 0.0, 0
    for last in range(len(times)):
        while times[first] <= times[last] - window_ms:
            first += 1
        highest = max(highest, (last - first + 1) / limit(times[first]))
    return highest


TRANSFER_MS = 200.0  # 1,000 KB at 5,000 KB/s


@pytest.mark.parametrize("count", [3, 40])
def test_all_routers_keep_slow_start_budget_of_parent_and_use_it(count: int) -> None:
    fleet = Fleet(count)
    fleet.run(2000.0)
    started_ms = fleet.now
    fleet.broadcast(h.delta(member(24, started_ms=started_ms), *(member(p, state=0) for p in h.PARENTS[:2])))
    fleet.run(started_ms + 12_000.0)
    settings = fleet.routers[0].settings

    def capacity_per_s(at: float) -> float:
        """Return the capacity in requests per second during slow start."""
        share = (
            settings.parent_initial_capacity_share
            + (1 - settings.parent_initial_capacity_share) * (at - started_ms) / settings.parent_slow_start_ms
        )
        return 10.0 * share * 1000.0 / TRANSFER_MS

    window_ms = settings.overload_window_ms
    sent = fleet.times_sent_to(24)
    multiple = settings.parent_overload_multiple
    assert (
        max_window_ratio(sent, window_ms, lambda at: multiple * capacity_per_s(at) * window_ms / 1000.0)
        <= 1.0
    )
    # The budget is also used: by a part of the fleet's demand, or by a quarter of the capacity.
    later_times = [at for at in sent if at > started_ms + 6_000.0]
    expected = 0.25 * sum(capacity_per_s(started_ms + 6_000.0 + n * 100.0) * 0.1 for n in range(60))
    assert len(later_times) >= min(expected, count * 12.5 * 6 * 0.3)


def test_more_routers_use_parent_as_it_warms_up() -> None:
    fleet = Fleet()
    fleet.run(1_000.0)
    fleet.broadcast(h.delta(member(24, started_ms=fleet.now)))
    fleet.run(10_000.0)

    def routers_using(since: float) -> int:
        return sum(any(f.source == 24 and since <= at < since + 2_000.0 for at, f in s) for s in fleet.sent)

    assert 1 <= routers_using(1_000.0) < routers_using(8_000.0)
    assert routers_using(8_000.0) >= 5


def test_fill_time_is_not_charged_to_slow_start_budget() -> None:
    router = h.router(reports_fill_source="all")
    for n in range(200):
        fetch = h.fetches(router.handle(n * 50.0, [h.request(n, n + 1, now=n * 50.0, size_kb=0.0)]))[0]
        elapsed_ms, cache_status = ((100.0, i.CacheStatus.HIT), (900.0, i.CacheStatus.FILLED))[n % 2]
        router.handle(
            n * 50.0,
            [
                h.attempt_ended(
                    fetch, i.Outcome.OK, elapsed_ms=elapsed_ms, is_final=True, cache_status=cache_status
                )
            ],
        )
    router.handle(10_000.0, [h.delta(h.member(h.PARENTS[0], started_ms=4_000.0))])
    endpoint = router.endpoints.by_id[h.PARENTS[0]]
    for n in range(300, 400):
        before = endpoint.slow_start.refill(10_000.0 + n, router.settings.overload_window_ms)
        fetch = h.fetches(router.handle(10_000.0 + n, [h.request(n, n, now=10_000.0 + n, size_kb=0.0)]))[0]
        router.handle(10_000.0 + n, [h.attempt_ended(fetch, i.Outcome.OK, is_final=True, elapsed_ms=0.0)])
        if fetch.source == endpoint.id:
            assert before - endpoint.slow_start.tokens_ms == pytest.approx(100.0, abs=15.0)
            return
    raise AssertionError("the parent in slow start is never used")


def test_class_without_hits_uses_mean_of_all_answers() -> None:
    """Writes are reported as filled from the origin, so the class never has a hit to learn from."""
    router = h.router(reports_fill_source="all")
    for n in range(20):
        fetch = h.fetches(router.handle(n * 50.0, [h.request(n, n + 1, h.UNSAFE, n * 50.0, size_kb=0.0)]))[0]
        cache_status = i.CacheStatus.FILLED_FROM_ORIGIN
        router.handle(
            n * 50.0,
            [h.attempt_ended(fetch, i.Outcome.OK, elapsed_ms=60.0, is_final=True, cache_status=cache_status)],
        )
    assert router.transfer_times.transfer_ms[h.UNSAFE] == pytest.approx(60.0)


def window_capacity(settings: i.Settings, at: float, since: float) -> float:
    """Return the requests that a cache in slow start may get in an overload window."""
    capacity_share = settings.initial_capacity_share + (1 - settings.initial_capacity_share) * min(
        1.0, (at - since) / settings.slow_start_ms
    )
    return settings.overload_multiple * 10.0 * capacity_share * settings.overload_window_ms / TRANSFER_MS


def test_60_percent_of_caches_replaced_in_one_or_twenty_events() -> None:
    for steps in (1, 20):
        fleet = Fleet()
        fleet.run(1000.0)
        old = [c for z in range(ZONES) for c in caches(z)[:3]][:12]
        new = [c + 500 for c in old]
        started_ms = {}
        for step in range(steps):
            part = slice(step * len(old) // steps, (step + 1) * len(old) // steps)
            started_ms.update({c: fleet.now for c in new[part]})
            fleet.broadcast(
                h.delta(
                    *(member(c, state=0) for c in old[part]),
                    *(member(c, started_ms=fleet.now) for c in new[part]),
                )
            )
            fleet.run(fleet.now + 7000.0 / steps)
        fleet.run(fleet.now + 6000.0)
        settings = fleet.routers[0].settings
        for c in new:
            sent = fleet.times_sent_to(c)
            assert sent, f"{c} is never used"
            assert (
                max_window_ratio(
                    sent, settings.overload_window_ms, partial(window_capacity, settings, since=started_ms[c])
                )
                <= 1.0
            )
        last = {c: max(fleet.times_sent_to(c), default=0.0) for c in old}
        assert all(at <= started_ms[c + 500] for c, at in last.items()), "sent to a removed cache"


def max_in_window(times: list[float], window_ms: float) -> int:
    """Return the highest count in any window."""
    return round(max_window_ratio(times, window_ms, lambda at: 1.0)) if times else 0


def test_trials_of_ejected_member_are_rare_until_it_recovers() -> None:
    fleet = Fleet()
    failing_id = h.PARENTS[0]
    fleet.outcomes[failing_id] = (i.Outcome.ERROR, i.CacheStatus.SOURCE_FAILED)
    fleet.run(6_000.0)
    assert all(h.is_ejected(router, router.endpoints.by_id[failing_id]) for router in fleet.routers)
    fleet.run(20_000.0)
    trials = [at for at in fleet.times_sent_to(failing_id) if at > 8_000.0]
    assert 0 < max_in_window(trials, 1_000.0) <= ROUTERS * 4
    assert max_in_window(trials, 50.0) <= ROUTERS / 2, "all routers send trials simultaneously"
    assert max(b - a for a, b in zip(trials, trials[1:], strict=False)) < 4_000.0
    del fleet.outcomes[failing_id]
    fleet.run(40_000.0)
    assert not any(h.is_ejected(router, router.endpoints.by_id[failing_id]) for router in fleet.routers)


def test_reactions_to_same_event_are_spread() -> None:
    fleet = Fleet()
    fleet.run(500.0)
    ids = [c for z in range(ZONES) for c in caches(z)]
    fleet.broadcast(h.delta(*(member(c, state=0) for c in (*ids, *h.PARENTS, h.ORIGIN))))
    fleet.run(700.0)
    waits = [wait_ms for at, wait_ms in fleet.rejections if at > 500.0]
    assert len(waits) >= ROUTERS and len({round(w) for w in waits}) > 30
    assert 50.0 < min(waits) and max(waits) <= fleet.routers[0].settings.max_retry_after_ms
    other_router = h.router(max_retry_after_ms=20.0)
    other_router.handle(1.0, [h.delta(*(h.member(m, state=0) for m in (*h.CACHES, *h.PARENTS, h.ORIGIN)))])
    rejection = h.final_answers(other_router.handle(2.0, [h.request(1, now=2.0)]))[0]
    assert isinstance(rejection, i.Reject) and rejection.retry_after_ms == 20.0
    delays = [
        DiscoveryClient(None, Names((), (), (), ()), MemberTable(0.0), seed).reconnect_delay_s(
            received_line=False
        )
        for seed in range(40)
    ]
    assert len({round(s * 1000) for s in delays}) > 20 and 0.1 < min(delays) < max(delays) < 0.3


@pytest.mark.parametrize("outcome", [i.Outcome.CONNECT_FAILED, i.Outcome.RESET, i.Outcome.TIMEOUT])
def test_failing_cache_is_ejected_alone(outcome: i.Outcome) -> None:
    """The cache refuses connections, resets them, or accepts requests without an answer."""
    fleet = Fleet()
    failing_id = caches(0)[1]
    fleet.outcomes[failing_id] = (outcome, i.CacheStatus.UNKNOWN)
    fleet.run(8_000.0)
    for router in fleet.routers:
        assert {p.id for p in router.endpoints.caches if h.is_ejected(router, p)} <= {failing_id}
    assert all(
        h.is_ejected(router, router.endpoints.by_id[failing_id])
        for router in fleet.routers
        if failing_id in router.endpoints.by_id and router.endpoints.caches[0].member.zone == 0
    )
    del fleet.outcomes[failing_id]
    fleet.run(40_000.0)
    assert not any(h.is_ejected(router, p) for router in fleet.routers for p in router.endpoints.caches)


@pytest.mark.parametrize("outcome", [i.Outcome.CONNECT_FAILED, i.Outcome.RESET, i.Outcome.TIMEOUT])
def test_unsafe_request_never_runs_twice_during_faults(outcome: i.Outcome) -> None:
    fleet = Fleet()
    fleet.run(1_000.0)
    first = {id(s): len(s) for s in fleet.sent}
    fleet.outcomes |= {c: (outcome, i.CacheStatus.UNKNOWN) for c in caches(0)}
    fleet.broadcast(h.delta(*(member(c, state=0) for c in caches(1)[:2]), member(1500, started_ms=fleet.now)))
    fleet.run(4_000.0, cls=h.UNSAFE)
    for sent in fleet.sent:
        times: dict[int, list[i.Fetch]] = {}
        for _, f in sent[first[id(sent)] :]:
            times.setdefault(f.request, []).append(f)
        hit = {f.member for tries in times.values() for f in tries} & set(fleet.outcomes)
        assert hit or fleet.sent.index(sent) % ZONES
        for tries in times.values():
            ran = [
                n
                for n, f in enumerate(tries)
                if f.member in fleet.outcomes and outcome is not i.Outcome.CONNECT_FAILED
            ]
            assert not ran or ran[0] == len(tries) - 1, "retried after it may have run"


def test_member_that_returns_to_list_is_used_again() -> None:
    fleet = Fleet()
    fleet.run(1_000.0)
    parent = h.PARENTS[1]
    fleet.broadcast(h.delta(member(parent, state=0)))
    removed_ms = fleet.now
    fleet.run(3_000.0)
    assert not [at for at in fleet.times_sent_to(parent) if at > removed_ms]
    fleet.broadcast(h.delta(member(parent, started_ms=fleet.now)))
    returned_ms = fleet.now
    fleet.run(returned_ms + 15_000.0)
    assert [at for at in fleet.times_sent_to(parent) if at > returned_ms]


def test_purge_of_everything_applies_at_all_routers_immediately() -> None:
    fleet = Fleet()
    fleet.run(1_000.0, objects=50)
    at = fleet.now
    fleet.broadcast(i.Purged(0, 0, 200.0))
    fleet.run(at + 3_000.0, objects=50)
    after = [(t, f) for sent in fleet.sent for t, f in sent if t > at]
    assert len(after) > 1_000
    assert all(0.0 < f.max_age_ms <= t - at + 200.0 and not f.coalesce for t, f in after)


def test_failed_origin_gets_no_retries_from_any_router() -> None:
    fleet = Fleet()
    fleet.run(3_000.0)
    at = fleet.now
    fleet.outcomes |= {p: (i.Outcome.REJECTED, i.CacheStatus.ORIGIN_FAILED) for p in (*h.PARENTS, h.ORIGIN)}
    fleet.run(at + 1_000.0)
    after = [f for sent in fleet.sent for t, f in sent if t > at]
    fills: dict[int, int] = {}
    for f in after:
        fills[f.request] = fills.get(f.request, 0) + (not f.only_if_cached and f.source != f.member)
    assert len(fills) > 400 and max(fills.values()) == 1
