"""The five rules of the decisions, checked on the actions of whole routers."""

from __future__ import annotations

import math

import pytest

from lupintack import interface as i
from lupintack import simulator_wire
from tests import helpers as h

FAILED_OUTCOMES = [outcome for outcome in i.Outcome if outcome not in (i.Outcome.OK,)]


@pytest.mark.parametrize("cls", [h.SAFE, h.EXPIRING, h.KEYED, h.UNSAFE])
@pytest.mark.parametrize("outcome", list(i.Outcome))
def test_one_final_answer_and_no_repeated_effect(cls: int, outcome: i.Outcome) -> None:
    router = h.router()
    open_fetches = h.fetches(router.handle(0.0, [h.request(1, cls=cls)]))
    answers: list[i.Reject | i.Fail] = []
    sent = list(open_fetches)
    may_have_run = False
    n = 0
    while open_fetches:
        fetch, n = open_fetches[0], n + 1
        has_effect = outcome not in i.OUTCOMES_WITHOUT_EFFECT
        may_have_run = may_have_run or has_effect
        final = outcome == i.Outcome.OK
        actions = router.handle(n * 10.0, [h.attempt_ended(fetch, outcome, n - 1, is_final=final)])
        open_fetches, done = h.fetches(actions), h.final_answers(actions)
        answers += done
        sent += open_fetches
        if open_fetches and cls == h.UNSAFE:
            assert not has_effect
        if open_fetches and cls == h.KEYED and may_have_run:
            assert open_fetches[0].member % 2 == sent[0].member % 2
        if done and may_have_run and cls in (h.KEYED, h.UNSAFE):
            assert isinstance(done[0], i.Fail)
    assert len(answers) == (0 if outcome == i.Outcome.OK else 1)
    late_actions = router.handle(
        9000.0,
        [h.attempt_ended(sent[-1], outcome, n - 1), i.ClientDisconnected(1), i.TimerFired((1 << 8) + 1)],
    )
    assert not h.fetches(late_actions) and not h.final_answers(late_actions)


def test_unsafe_request_has_no_timeout_and_no_hedge() -> None:
    router = h.router()
    actions = router.handle(0.0, [h.request(1, cls=h.UNSAFE)])
    fetch = h.fetches(actions)[0]
    assert fetch.source == h.ORIGIN and fetch.retention_priority == 0
    sent = simulator_wire.encode([(0, [fetch])])[-simulator_wire.ACTION_SIZE :]
    assert sent[0] == 68 and sent[26:34] == bytes(8)  # no timeout of its own in the simulator's encoding
    timers = [a for a in actions if isinstance(a, i.SetTimer)]
    assert router.handle(4000.0, [i.TimerFired(t.token) for t in timers]) == []


def test_unsafe_request_without_effect_is_retried_then_rejected() -> None:
    """Each rejection proves that nothing ran; after a `Fail` the client could not safely retry."""
    router = h.router()
    open_fetches = h.fetches(router.handle(0.0, [h.request(1, cls=h.UNSAFE)]))
    attempts, done = 0, list[i.Reject | i.Fail]()
    while open_fetches:
        attempts += 1
        actions = router.handle(
            attempts * 10.0, [h.attempt_ended(open_fetches[0], i.Outcome.REJECTED, attempts - 1)]
        )
        open_fetches, done = h.fetches(actions), h.final_answers(actions)
    assert attempts > 2 and isinstance(done[0], i.Reject)


def test_keyed_request_is_not_retried_after_deduplication_window() -> None:
    router = h.router()
    fetch = h.fetches(router.handle(0.0, [h.request(1, cls=h.KEYED)]))[0]
    actions = router.handle(1500.0, [h.attempt_ended(fetch, i.Outcome.RESET)])
    assert not h.fetches(actions) and isinstance(h.final_answers(actions)[0], i.Fail)


def test_request_is_rejected_immediately_with_retry_after() -> None:
    router = h.router()
    removed = tuple(h.member(c, state=0) for c in h.CACHES)
    answer = h.final_answers(router.handle(1.0, [h.delta(*removed), h.request(1)]))[0]
    assert isinstance(answer, i.Reject) and 0 < answer.retry_after_ms <= 1000.0


@pytest.mark.parametrize("state", [0, 2])
def test_drain_and_removal_apply_within_same_batch(state: int) -> None:
    for object_id in range(1, 30):
        router = h.router()
        first = h.fetches(router.handle(0.0, [h.request(1, object_id)]))[0]
        event = h.delta(h.member(first.member, state), h.member(first.source, state))
        actions = router.handle(
            10.0, [event, h.request(2, object_id), h.attempt_ended(first, i.Outcome.REJECTED)]
        )
        sent = h.fetches(actions)
        assert len(sent) == 2
        assert all(f.member != first.member and f.source != first.source for f in sent)


def test_drain_applies_to_overrides_and_hedged_requests() -> None:
    router = h.router()
    first = h.fetches(router.handle(1.0, [h.request(1)]))[0]
    override_source = h.fetches(router.handle(50.0, [h.attempt_ended(first, i.Outcome.REJECTED)]))[0].source
    router.handle(60.0, [h.delta(h.member(override_source, 2))])
    assert h.fetches(router.handle(70.0, [h.request(2)]))[0].source != override_source
    other_router = h.router()
    actions = other_router.handle(0.0, [h.request(1)])
    first = h.fetches(actions)[0]
    other_router.handle(10.0, [h.delta(*(h.member(c, 2) for c in h.CACHES if c != first.member))])
    timer = next(a for a in actions if isinstance(a, i.SetTimer))
    assert all(
        f.member == first.member
        for f in h.fetches(other_router.handle(timer.at_ms, [i.TimerFired(timer.token)]))
    )


@pytest.mark.parametrize("tier", ["cache", "parent"])
def test_all_routers_together_stay_within_slow_start_budget(tier: str) -> None:
    """Every attempt and every possible fill counts, in any window, with all routers starting together."""
    warming_id = h.CACHES[0] if tier == "cache" else h.PARENTS[0]
    others = (*h.CACHES[1:], *h.PARENTS) if tier == "cache" else (*h.CACHES, *h.PARENTS[1:])
    removed = tuple(h.member(m, 0) for m in others if (m in h.CACHES) == (warming_id in h.CACHES))
    fleet = [
        i.MemberList(i.ListKind.CACHED, h.full_list().members),
        h.delta(h.member(warming_id, 1, 1000.0, 40.0), *removed),
    ]
    settings = h.settings()
    count = 2 if tier == "cache" else settings.router_count
    sent: list[float] = []
    routers = []
    for n in range(count):
        router = h.router(1000.0)
        router.handle(1000.0, fleet)
        routers.append((n, router))
    for step in range(4000):
        now = 1000.0 + step * 1.5
        for n, router in routers:
            request = h.request(step * 8 + n, step, now=now, size_kb=1500.0)
            for fetch in h.fetches(router.handle(now, [request])):
                sent += [now] * (warming_id in (fetch.member, fetch.source))
                router.handle(now, [h.attempt_ended(fetch, i.Outcome.OK, is_final=True)])
    initial_share, ramp_ms, multiple = (
        (settings.initial_capacity_share, settings.slow_start_ms, settings.overload_multiple)
        if tier == "cache"
        else (
            settings.parent_initial_capacity_share,
            settings.parent_slow_start_ms,
            settings.parent_overload_multiple,
        )
    )
    assert sent
    for begin_ms in sent:
        work_ms = 300.0 * sum(begin_ms <= t < begin_ms + settings.overload_window_ms for t in sent)
        capacity_share = initial_share + (1 - initial_share) * (begin_ms - 1000.0) / ramp_ms
        assert work_ms <= multiple * capacity_share * 40.0 * settings.overload_window_ms


def test_restart_begins_slow_start_and_discards_tokens() -> None:
    router = h.router()
    router.handle(5000.0, [h.delta(h.member(11, 1, 4000.0))])
    assert (
        router.endpoints.by_id[11].slow_start.factor(5000.0) < 0.3
        and router.endpoints.by_id[11].slow_start.tokens_ms == 0.0
    )
    assert router.endpoints.by_id[12].slow_start.factor(5000.0) == 1.0


@pytest.mark.parametrize("cls", [h.SAFE, h.EXPIRING])
@pytest.mark.parametrize("whole_group", [False, True])
def test_purge_limits_age_until_it_settles(cls: int, whole_group: bool) -> None:
    router = h.router()
    purge = i.Purged(0 if whole_group else 5, 3, 40.0)
    actions = router.handle(1000.0, [purge, h.request(1, cls=cls, group=3)])
    now = 1000.0
    for n in range(2, 60):
        fetch = h.fetches(actions)[0]
        assert 0.0 < fetch.max_age_ms <= now - 960.0 and not fetch.coalesce
        now += 100.0
        done = h.attempt_ended(fetch, i.Outcome.OK, is_final=True)
        actions = router.handle(now, [done, h.request(n, cls=cls, now=now, group=3)])
    other = h.fetches(router.handle(now, [h.request(900, 6, now=now, group=4)]))[0]
    assert other.max_age_ms == 0.0 and other.coalesce


def test_purge_applies_immediately_and_to_retries() -> None:
    router = h.router()
    fetch = h.fetches(router.handle(1000.0, [i.Purged(5, 3, 0.0), h.request(1, cls=h.EXPIRING)]))[0]
    assert fetch.max_age_ms > 0.0  # 0 would mean the default age
    retry = h.fetches(router.handle(1200.0, [h.attempt_ended(fetch, i.Outcome.REJECTED)]))[0]
    assert 0.0 < retry.max_age_ms <= 200.0


def test_purges_beyond_maximum_apply_to_every_object() -> None:
    router = h.router()
    router.handle(1000.0, [i.Purged(n, 0, 0.0) for n in range(1, 5000)])
    assert len(router.purges.purge_times) <= 4096
    assert 0.0 < h.fetches(router.handle(1100.0, [h.request(1, object_id=1)]))[0].max_age_ms <= 100.0


def test_invalid_input_does_not_affect_other_events() -> None:
    router = h.router()
    reference = h.router()
    router.handle(
        1.0,
        [
            i.Purged(0, 999, math.nan),
            i.HealthCheckEnded(11, i.Outcome.OK),
            i.PeerMessage(3, b"\xff"),
            i.ClientDisconnected(77),
            i.TimerFired(123456),
            i.AttemptEnded(9, 9, 9, i.Outcome.RESET, math.nan, load_report=(math.nan, math.inf)),
        ],
    )
    assert router.handle(2.0, [h.request(1)]) == reference.handle(2.0, [h.request(1)])
    invalid_members = (
        i.Member(12, 0, 9, 0, i.MemberState.READY, math.nan, math.inf),
        *[h.member(11, 1, 1e15)] * 2,
    )
    assert h.fetches(router.handle(3.0, [h.delta(*invalid_members), h.request(2, 8)]))


@pytest.mark.parametrize("count", [4, 30, 130])
def test_parent_in_slow_start_is_used_early_and_within_budget(count: int) -> None:
    """Guards against an equal quota of less than one request, with which the parent was unused until warm."""
    warming_id, others = h.PARENTS[0], tuple(h.member(p, 0) for p in h.PARENTS[1:])
    event = h.delta(h.member(warming_id, 1, 1000.0, 30.0), *others)
    routers = [h.router(1000.0, router_count=count, router_index=n) for n in range(count)]
    sent: list[float] = []
    for router in routers:
        router.handle(1000.0, [event])
    for step in range(300):
        now = 1000.0 + step * 20.0
        for n, router in enumerate(routers):
            request = h.request(step * count + n, step * 7 + n, now=now, size_kb=1500.0)
            for fetch in h.fetches(router.handle(now, [request])):
                sent += [now] * (fetch.source == warming_id)
                router.handle(now, [h.attempt_ended(fetch, i.Outcome.OK, is_final=True)])
    assert sum(begin_ms < 4000.0 for begin_ms in sent) >= 3
    settings = routers[0].settings
    for begin_ms in sent:
        work_ms = 300.0 * sum(begin_ms <= t < begin_ms + settings.overload_window_ms for t in sent)
        capacity_share = (
            settings.parent_initial_capacity_share
            + (1 - settings.parent_initial_capacity_share)
            * (begin_ms - 1000.0)
            / settings.parent_slow_start_ms
        )
        assert (
            work_ms <= settings.parent_overload_multiple * capacity_share * 30.0 * settings.overload_window_ms
        )


def test_invalid_router_index_or_count_keeps_slow_start_budget() -> None:
    """An index beyond the count, or a count of zero, is no error and does not increase the quota."""
    for index, count in ((9, 4), (0, 0), (3, 1)):
        router = h.router(1000.0, router_count=count, router_index=index)
        router.handle(1000.0, [h.delta(h.member(h.PARENTS[0], 1, 1000.0, 30.0))])
        allowed = router.endpoints.by_id[h.PARENTS[0]].slow_start.refill(3000.0, 1500.0)
        assert (
            0.0
            <= allowed
            <= 2.0 * router.endpoints.by_id[h.PARENTS[0]].slow_start.factor(3000.0) * 30.0 * 1500.0
        )
