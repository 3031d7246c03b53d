"""The five rules, from the module's own actions."""

from __future__ import annotations

import math

import pytest

from lupintack import interface as i
from lupintack import simulator_wire
from tests import helpers as h

BAD = [o for o in i.Outcome if o not in (i.Outcome.OK,)]


@pytest.mark.parametrize("cls", [h.SAFE, h.EXPIRING, h.KEYED, h.UNSAFE])
@pytest.mark.parametrize("outcome", list(i.Outcome))
def test_one_final_answer_and_no_repeated_effect(cls: int, outcome: i.Outcome) -> None:
    router = h.router()
    out = h.fetches(router.handle(0.0, [h.request(1, cls=cls)]))
    answers: list[i.Reject | i.Fail] = []
    sent = list(out)
    risk = False
    n = 0
    while out:
        fetch, n = out[0], n + 1
        ran = outcome not in i.OUTCOMES_WITHOUT_EFFECT
        risk = risk or ran
        final = outcome == i.Outcome.OK
        actions = router.handle(n * 10.0, [h.attempt_ended(fetch, outcome, n - 1, is_final=final)])
        out, done = h.fetches(actions), h.final_answers(actions)
        answers += done
        sent += out
        if out and cls == h.UNSAFE:
            assert not ran
        if out and cls == h.KEYED and risk:
            assert out[0].member % 2 == sent[0].member % 2
        if done and risk and cls in (h.KEYED, h.UNSAFE):
            assert isinstance(done[0], i.Fail)
    assert len(answers) == (0 if outcome == i.Outcome.OK else 1)
    late = router.handle(
        9000.0,
        [h.attempt_ended(sent[-1], outcome, n - 1), i.ClientDisconnected(1), i.TimerFired((1 << 8) + 1)],
    )
    assert not h.fetches(late) and not h.final_answers(late)


def test_unsafe_request_has_no_timeout_and_no_hedge() -> None:
    router = h.router()
    actions = router.handle(0.0, [h.request(1, cls=h.UNSAFE)])
    fetch = h.fetches(actions)[0]
    assert fetch.source == h.ORIGIN and fetch.retention_priority == 0
    sent = simulator_wire.encode([(0, [fetch])])[-simulator_wire.ACTION_SIZE :]
    assert sent[0] == 68 and sent[26:34] == bytes(8)  # no time-out of its own, as the simulator reads it
    timers = [a for a in actions if isinstance(a, i.SetTimer)]
    assert router.handle(4000.0, [i.TimerFired(t.token) for t in timers]) == []


def test_unsafe_request_without_effect_is_retried_then_rejected() -> None:
    """Each proof counts, not the first alone: a client told "failed" could not safely come back."""
    router = h.router()
    out = h.fetches(router.handle(0.0, [h.request(1, cls=h.UNSAFE)]))
    tries, done = 0, list[i.Reject | i.Fail]()
    while out:
        tries += 1
        actions = router.handle(tries * 10.0, [h.attempt_ended(out[0], i.Outcome.REJECTED, tries - 1)])
        out, done = h.fetches(actions), h.final_answers(actions)
    assert tries > 2 and isinstance(done[0], i.Reject)


def test_keyed_request_is_not_retried_after_deduplication_window() -> None:
    router = h.router()
    fetch = h.fetches(router.handle(0.0, [h.request(1, cls=h.KEYED)]))[0]
    actions = router.handle(1500.0, [h.attempt_ended(fetch, i.Outcome.RESET)])
    assert not h.fetches(actions) and isinstance(h.final_answers(actions)[0], i.Fail)


def test_request_is_rejected_immediately_with_retry_after() -> None:
    router = h.router()
    gone = tuple(h.member(c, state=0) for c in h.CACHES)
    answer = h.final_answers(router.handle(1.0, [h.delta(*gone), h.request(1)]))[0]
    assert isinstance(answer, i.Reject) and 0 < answer.retry_after_ms <= 1000.0


@pytest.mark.parametrize("state", [0, 2])
def test_drain_and_removal_apply_within_same_batch(state: int) -> None:
    for object_id in range(1, 30):
        router = h.router()
        first = h.fetches(router.handle(0.0, [h.request(1, object_id)]))[0]
        news = h.delta(h.member(first.member, state), h.member(first.source, state))
        actions = router.handle(
            10.0, [news, h.request(2, object_id), h.attempt_ended(first, i.Outcome.REJECTED)]
        )
        sent = h.fetches(actions)
        assert len(sent) == 2
        assert all(f.member != first.member and f.source != first.source for f in sent)


def test_drain_applies_to_overrides_and_hedged_requests() -> None:
    router = h.router()
    first = h.fetches(router.handle(1.0, [h.request(1)]))[0]
    held = h.fetches(router.handle(50.0, [h.attempt_ended(first, i.Outcome.REJECTED)]))[0].source
    router.handle(60.0, [h.delta(h.member(held, 2))])
    assert h.fetches(router.handle(70.0, [h.request(2)]))[0].source != held
    silent = h.router()
    actions = silent.handle(0.0, [h.request(1)])
    first = h.fetches(actions)[0]
    silent.handle(10.0, [h.delta(*(h.member(c, 2) for c in h.CACHES if c != first.member))])
    timer = next(a for a in actions if isinstance(a, i.SetTimer))
    assert all(
        f.member == first.member for f in h.fetches(silent.handle(timer.at_ms, [i.TimerFired(timer.token)]))
    )


@pytest.mark.parametrize("which", ["cache", "parent"])
def test_all_routers_together_stay_within_slow_start_budget(which: str) -> None:
    """Every attempt and every possible fill counts, over any span, with all routers starting at once."""
    cold = h.CACHES[0] if which == "cache" else h.PARENTS[0]
    others = (*h.CACHES[1:], *h.PARENTS) if which == "cache" else (*h.CACHES, *h.PARENTS[1:])
    gone = tuple(h.member(m, 0) for m in others if (m in h.CACHES) == (cold in h.CACHES))
    fleet = [
        i.MemberList(i.ListKind.CACHED, h.full_list().members),
        h.delta(h.member(cold, 1, 1000.0, 40.0), *gone),
    ]
    cfg = h.settings()
    count = 2 if which == "cache" else cfg.router_count
    sent: list[float] = []
    routers = []
    for n in range(count):
        router = h.router(1000.0)
        router.handle(1000.0, fleet)
        routers.append((n, router))
    for step in range(4000):
        now = 1000.0 + step * 1.5
        for n, router in routers:
            ask = h.request(step * 8 + n, step, now=now, size_kb=1500.0)
            for fetch in h.fetches(router.handle(now, [ask])):
                sent += [now] * (cold in (fetch.member, fetch.source))
                router.handle(now, [h.attempt_ended(fetch, i.Outcome.OK, is_final=True)])
    start, ramp, multiple = (
        (cfg.initial_capacity_share, cfg.slow_start_ms, cfg.overload_multiple)
        if which == "cache"
        else (cfg.parent_initial_capacity_share, cfg.parent_slow_start_ms, cfg.parent_overload_multiple)
    )
    assert sent
    for at in sent:
        work = 300.0 * sum(at <= t < at + cfg.overload_window_ms for t in sent)
        warmth = start + (1 - start) * (at - 1000.0) / ramp
        assert work <= multiple * warmth * 40.0 * cfg.overload_window_ms


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
    again = h.fetches(router.handle(1200.0, [h.attempt_ended(fetch, i.Outcome.REJECTED)]))[0]
    assert 0.0 < again.max_age_ms <= 200.0


def test_purges_beyond_maximum_apply_to_every_object() -> None:
    router = h.router()
    router.handle(1000.0, [i.Purged(n, 0, 0.0) for n in range(1, 5000)])
    assert len(router.purges.purge_times) <= 4096
    assert 0.0 < h.fetches(router.handle(1100.0, [h.request(1, object_id=1)]))[0].max_age_ms <= 100.0


def test_invalid_input_does_not_affect_other_events() -> None:
    router = h.router()
    twin = h.router()
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
    assert router.handle(2.0, [h.request(1)]) == twin.handle(2.0, [h.request(1)])
    odd = (i.Member(12, 0, 9, 0, i.MemberState.READY, math.nan, math.inf), *[h.member(11, 1, 1e15)] * 2)
    assert h.fetches(router.handle(3.0, [h.delta(*odd), h.request(2, 8)]))


@pytest.mark.parametrize("count", [4, 30, 130])
def test_parent_in_slow_start_is_used_early_and_within_budget(count: int) -> None:
    """Danger: an equal share of 1 in 100 is less than one request, so a cold parent waited its ramp out."""
    cold, others = h.PARENTS[0], tuple(h.member(p, 0) for p in h.PARENTS[1:])
    news = h.delta(h.member(cold, 1, 1000.0, 30.0), *others)
    routers = [h.router(1000.0, router_count=count, router_index=n) for n in range(count)]
    sent: list[float] = []
    for router in routers:
        router.handle(1000.0, [news])
    for step in range(300):
        now = 1000.0 + step * 20.0
        for n, router in enumerate(routers):
            ask = h.request(step * count + n, step * 7 + n, now=now, size_kb=1500.0)
            for fetch in h.fetches(router.handle(now, [ask])):
                sent += [now] * (fetch.source == cold)
                router.handle(now, [h.attempt_ended(fetch, i.Outcome.OK, is_final=True)])
    assert sum(at < 4000.0 for at in sent) >= 3
    cfg = routers[0].settings
    for at in sent:
        work = 300.0 * sum(at <= t < at + cfg.overload_window_ms for t in sent)
        warmth = (
            cfg.parent_initial_capacity_share
            + (1 - cfg.parent_initial_capacity_share) * (at - 1000.0) / cfg.parent_slow_start_ms
        )
        assert work <= cfg.parent_overload_multiple * warmth * 30.0 * cfg.overload_window_ms


def test_invalid_router_index_or_count_keeps_slow_start_budget() -> None:
    """A number outside the count, or a count of zero, is no error and gives no larger share."""
    for me, count in ((9, 4), (0, 0), (3, 1)):
        router = h.router(1000.0, router_count=count, router_index=me)
        router.handle(1000.0, [h.delta(h.member(h.PARENTS[0], 1, 1000.0, 30.0))])
        allowed = router.endpoints.by_id[h.PARENTS[0]].slow_start.refill(3000.0, 1500.0)
        assert (
            0.0
            <= allowed
            <= 2.0 * router.endpoints.by_id[h.PARENTS[0]].slow_start.factor(3000.0) * 30.0 * 1500.0
        )
