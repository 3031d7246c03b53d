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
def test_one_final_answer_and_no_effect_twice(cls: int, outcome: i.Outcome) -> None:
    made = h.router()
    out = h.fetches(made.handle(0.0, [h.request(1, cls=cls)]))
    answers: list[i.Reject | i.Fail] = []
    sent = list(out)
    risk = False
    n = 0
    while out:
        fetch, n = out[0], n + 1
        ran = outcome not in i.OUTCOMES_WITHOUT_EFFECT
        risk = risk or ran
        final = outcome == i.Outcome.OK
        actions = made.handle(n * 10.0, [h.attempt_ended(fetch, outcome, n - 1, is_final=final)])
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
    late = made.handle(
        9000.0,
        [h.attempt_ended(sent[-1], outcome, n - 1), i.ClientDisconnected(1), i.TimerFired((1 << 8) + 1)],
    )
    assert not h.fetches(late) and not h.final_answers(late)


def test_unsafe_request_is_not_cut_short_nor_doubled() -> None:
    made = h.router()
    actions = made.handle(0.0, [h.request(1, cls=h.UNSAFE)])
    fetch = h.fetches(actions)[0]
    assert fetch.source == h.ORIGIN and fetch.retention_priority == 0
    sent = simulator_wire.encode([(0, [fetch])])[-simulator_wire.ACTION_SIZE :]
    assert sent[0] == 68 and sent[26:34] == bytes(8)  # no time-out of its own, as the simulator reads it
    timers = [a for a in actions if isinstance(a, i.SetTimer)]
    assert made.handle(4000.0, [i.TimerFired(t.token) for t in timers]) == []


def test_unsafe_request_that_never_ran_is_tried_again_and_then_refused_not_failed() -> None:
    """Each proof counts, not the first alone: a client told "failed" could not safely come back."""
    made = h.router()
    out = h.fetches(made.handle(0.0, [h.request(1, cls=h.UNSAFE)]))
    tries, done = 0, list[i.Reject | i.Fail]()
    while out:
        tries += 1
        actions = made.handle(tries * 10.0, [h.attempt_ended(out[0], i.Outcome.REJECTED, tries - 1)])
        out, done = h.fetches(actions), h.final_answers(actions)
    assert tries > 2 and isinstance(done[0], i.Reject)


def test_keyed_request_is_not_resent_after_its_window() -> None:
    made = h.router()
    fetch = h.fetches(made.handle(0.0, [h.request(1, cls=h.KEYED)]))[0]
    actions = made.handle(1500.0, [h.attempt_ended(fetch, i.Outcome.RESET)])
    assert not h.fetches(actions) and isinstance(h.final_answers(actions)[0], i.Fail)


def test_refused_at_once_with_the_time_to_come_back() -> None:
    made = h.router()
    gone = tuple(h.member(c, state=0) for c in h.CACHES)
    answer = h.final_answers(made.handle(1.0, [h.delta(*gone), h.request(1)]))[0]
    assert isinstance(answer, i.Reject) and 0 < answer.retry_after_ms <= 1000.0


@pytest.mark.parametrize("state", [0, 2])
def test_drain_and_removal_are_heeded_in_the_same_batch(state: int) -> None:
    for object_id in range(1, 30):
        made = h.router()
        first = h.fetches(made.handle(0.0, [h.request(1, object_id)]))[0]
        news = h.delta(h.member(first.member, state), h.member(first.source, state))
        actions = made.handle(
            10.0, [news, h.request(2, object_id), h.attempt_ended(first, i.Outcome.REJECTED)]
        )
        sent = h.fetches(actions)
        assert len(sent) == 2
        assert all(f.member != first.member and f.source != first.source for f in sent)


def test_drain_is_heeded_by_holds_and_second_copies() -> None:
    made = h.router()
    first = h.fetches(made.handle(1.0, [h.request(1)]))[0]
    held = h.fetches(made.handle(50.0, [h.attempt_ended(first, i.Outcome.REJECTED)]))[0].source
    made.handle(60.0, [h.delta(h.member(held, 2))])
    assert h.fetches(made.handle(70.0, [h.request(2)]))[0].source != held
    silent = h.router()
    actions = silent.handle(0.0, [h.request(1)])
    first = h.fetches(actions)[0]
    silent.handle(10.0, [h.delta(*(h.member(c, 2) for c in h.CACHES if c != first.member))])
    timer = next(a for a in actions if isinstance(a, i.SetTimer))
    assert all(
        f.member == first.member for f in h.fetches(silent.handle(timer.at_ms, [i.TimerFired(timer.token)]))
    )


@pytest.mark.parametrize("which", ["cache", "parent"])
def test_all_routers_together_stay_under_a_cold_members_budget(which: str) -> None:
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
        made = h.router(1000.0)
        made.handle(1000.0, fleet)
        routers.append((n, made))
    for step in range(4000):
        now = 1000.0 + step * 1.5
        for n, made in routers:
            ask = h.request(step * 8 + n, step, now=now, size_kb=1500.0)
            for fetch in h.fetches(made.handle(now, [ask])):
                sent += [now] * (cold in (fetch.member, fetch.source))
                made.handle(now, [h.attempt_ended(fetch, i.Outcome.OK, is_final=True)])
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


def test_restart_makes_a_member_cold_and_clears_its_record() -> None:
    made = h.router()
    made.handle(5000.0, [h.delta(h.member(11, 1, 4000.0))])
    assert (
        made.endpoints.by_id[11].slow_start.factor(5000.0) < 0.3
        and made.endpoints.by_id[11].slow_start.tokens_ms == 0.0
    )
    assert made.endpoints.by_id[12].slow_start.factor(5000.0) == 1.0


@pytest.mark.parametrize("cls", [h.SAFE, h.EXPIRING])
@pytest.mark.parametrize("whole_group", [False, True])
def test_purge_bounds_the_age_until_it_settles(cls: int, whole_group: bool) -> None:
    made = h.router()
    purge = i.Purged(0 if whole_group else 5, 3, 40.0)
    actions = made.handle(1000.0, [purge, h.request(1, cls=cls, group=3)])
    now = 1000.0
    for n in range(2, 60):
        fetch = h.fetches(actions)[0]
        assert 0.0 < fetch.max_age_ms <= now - 960.0 and not fetch.coalesce
        now += 100.0
        done = h.attempt_ended(fetch, i.Outcome.OK, is_final=True)
        actions = made.handle(now, [done, h.request(n, cls=cls, now=now, group=3)])
    other = h.fetches(made.handle(now, [h.request(900, 6, now=now, group=4)]))[0]
    assert other.max_age_ms == 0.0 and other.coalesce


def test_purge_binds_a_second_attempt_and_at_its_own_moment() -> None:
    made = h.router()
    fetch = h.fetches(made.handle(1000.0, [i.Purged(5, 3, 0.0), h.request(1, cls=h.EXPIRING)]))[0]
    assert fetch.max_age_ms > 0.0  # 0 would mean the default age
    again = h.fetches(made.handle(1200.0, [h.attempt_ended(fetch, i.Outcome.REJECTED)]))[0]
    assert 0.0 < again.max_age_ms <= 200.0


def test_purges_beyond_the_table_bind_every_object() -> None:
    made = h.router()
    made.handle(1000.0, [i.Purged(n, 0, 0.0) for n in range(1, 5000)])
    assert len(made.purges.purge_times) <= 4096
    assert 0.0 < h.fetches(made.handle(1100.0, [h.request(1, object_id=1)]))[0].max_age_ms <= 100.0


def test_senseless_input_changes_nothing_beyond_itself() -> None:
    made = h.router()
    twin = h.router()
    made.handle(
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
    assert made.handle(2.0, [h.request(1)]) == twin.handle(2.0, [h.request(1)])
    odd = (i.Member(12, 0, 9, 0, i.MemberState.READY, math.nan, math.inf), *[h.member(11, 1, 1e15)] * 2)
    assert h.fetches(made.handle(3.0, [h.delta(*odd), h.request(2, 8)]))


@pytest.mark.parametrize("count", [4, 30, 130])
def test_cold_parent_is_used_early_and_never_pushed_over_by_any_number_of_routers(count: int) -> None:
    """Danger: an equal share of 1 in 100 is less than one request, so a cold parent waited its ramp out."""
    cold, others = h.PARENTS[0], tuple(h.member(p, 0) for p in h.PARENTS[1:])
    news = h.delta(h.member(cold, 1, 1000.0, 30.0), *others)
    routers = [h.router(1000.0, router_count=count, router_index=n) for n in range(count)]
    sent: list[float] = []
    for made in routers:
        made.handle(1000.0, [news])
    for step in range(300):
        now = 1000.0 + step * 20.0
        for n, made in enumerate(routers):
            ask = h.request(step * count + n, step * 7 + n, now=now, size_kb=1500.0)
            for fetch in h.fetches(made.handle(now, [ask])):
                sent += [now] * (fetch.source == cold)
                made.handle(now, [h.attempt_ended(fetch, i.Outcome.OK, is_final=True)])
    assert sum(at < 4000.0 for at in sent) >= 3
    cfg = routers[0].settings
    for at in sent:
        work = 300.0 * sum(at <= t < at + cfg.overload_window_ms for t in sent)
        warmth = (
            cfg.parent_initial_capacity_share
            + (1 - cfg.parent_initial_capacity_share) * (at - 1000.0) / cfg.parent_slow_start_ms
        )
        assert work <= cfg.parent_overload_multiple * warmth * 30.0 * cfg.overload_window_ms


def test_routers_that_know_less_of_themselves_still_keep_the_cold_budget() -> None:
    """A number outside the count, or a count of zero, is no error and gives no larger share."""
    for me, count in ((9, 4), (0, 0), (3, 1)):
        made = h.router(1000.0, router_count=count, router_index=me)
        made.handle(1000.0, [h.delta(h.member(h.PARENTS[0], 1, 1000.0, 30.0))])
        allowed = made.endpoints.by_id[h.PARENTS[0]].slow_start.refill(3000.0, 1500.0)
        assert (
            0.0
            <= allowed
            <= 2.0 * made.endpoints.by_id[h.PARENTS[0]].slow_start.factor(3000.0) * 30.0 * 1500.0
        )
