"""Faults, and the endpoints that they are counted against, with a whole router."""

from __future__ import annotations

import pytest

from lupintack import interface as i
from lupintack.decisions.rendezvous import score
from lupintack.decisions.request_state import RequestState
from lupintack.decisions.router import Router
from tests import helpers as h


def send_requests(
    router: Router, outcome: dict[int, str], until: float = 6000.0, start: float = 0.0
) -> list[i.Fetch]:
    """Send a request every 20 ms; members in `outcome` are "hung" or "errors", others answer after 100 ms."""
    sent: list[i.Fetch] = []
    queue: list[tuple[float, i.Event]] = []
    numbers: dict[int, int] = {}
    step = int(start / 20.0)
    while step * 20.0 < until:
        now = step * 20.0
        events = [event for at, event in queue if at <= now]
        queue = [(at, event) for at, event in queue if at > now]
        events.append(h.request(step, step % 97 + 1, now=now, size_kb=250.0))
        for action in router.handle(now, events):
            if isinstance(action, i.SetTimer):
                queue.append((action.at_ms, i.TimerFired(action.token)))
            if isinstance(action, i.Fetch):
                sent.append(action)
                number = numbers[action.request] = numbers.get(action.request, -1) + 1
                hit = action.request % 4 != 0
                state = outcome.get(action.member, "ok" if hit else outcome.get(action.source, "ok"))
                if state == "errors":
                    queue.append((now + 20.0, h.attempt_ended(action, i.Outcome.ERROR, number)))
                elif state == "ok":
                    status = i.CacheStatus.HIT if hit else i.CacheStatus.FILLED
                    queue.append(
                        (
                            now + 100.0,
                            h.attempt_ended(action, i.Outcome.OK, number, is_final=True, cache_status=status),
                        )
                    )
        step += 1
    return sent


def share_in_last_100(sent: list[i.Fetch], member: int) -> float:
    tail = sent[-100:]
    return sum(member in (f.member, f.source) for f in tail) / len(tail)


def test_hung_cache_is_ejected_and_recovers_by_trial_requests() -> None:
    router = h.router()
    assert share_in_last_100(send_requests(router, {11: "hung"}), 11) < 0.08
    assert share_in_last_100(send_requests(router, {}, 24000.0, 6000.0), 11) > 0.1


def test_failing_cache_is_ejected() -> None:
    router = h.router()
    assert share_in_last_100(send_requests(router, {11: "errors"}), 11) < 0.08


def test_hung_parent_is_ejected_without_any_cache() -> None:
    router = h.router()
    sent = send_requests(router, {21: "hung"})
    assert share_in_last_100(sent, 21) < 0.08
    assert all(not h.is_ejected(router, router.endpoints.by_id[c]) for c in h.CACHES)


def test_if_all_parents_hang_none_is_ejected_and_fills_are_limited() -> None:
    router = h.router()
    sent = send_requests(router, {p: "hung" for p in (*h.PARENTS, h.ORIGIN)}, 4000.0)
    assert all(not h.is_ejected(router, router.endpoints.by_id[m]) for m in (*h.CACHES, *h.PARENTS))
    assert any(f.only_if_cached for f in sent[-50:]) and router.fill_limits.failed.allowed_share < 0.6


def test_one_failing_object_ejects_no_endpoint() -> None:
    router = h.router()
    for n in range(2):
        fetch = h.fetches(router.handle(n * 50.0, [h.request(n, now=n * 50.0)]))[0]
        router.handle(n * 50.0 + 10.0, [h.attempt_ended(fetch, i.Outcome.ERROR)])
    assert all(not h.is_ejected(router, p) for p in router.endpoints.by_id.values())


def test_overload_is_shed_immediately_and_large_requests_first() -> None:
    router = h.router()
    first_rejected: dict[float, int] = {}
    for n in range(600):
        size = (3000.0, 300.0)[n % 2]
        if h.final_answers(router.handle(1.0, [h.request(n, 5, size_kb=size)])):
            first_rejected.setdefault(size, n)
    assert first_rejected[3000.0] < first_rejected[300.0]


def test_without_hedging_second_attempt_follows_cancelled_one() -> None:
    router = h.router(allows_hedging=False)
    actions = router.handle(0.0, [h.request(1)])
    router.outliers.eject(router.endpoints.by_id[h.fetches(actions)[0].member], "silent", router.now_ms)
    timer = next(a for a in actions if isinstance(a, i.SetTimer))
    actions_after_timer = router.handle(timer.at_ms + 2000.0, [i.TimerFired(timer.token)])
    assert actions_after_timer == [i.Cancel(1, 0)]
    first = h.fetches(actions)[0]
    again = h.fetches(router.handle(timer.at_ms + 2001.0, [h.attempt_ended(first, i.Outcome.CANCELLED)]))
    assert len(again) == 1


def test_without_hedging_and_cancellation_second_attempt_follows_end_of_first() -> None:
    router = h.router(allows_hedging=False, allows_cancellation=False)
    actions = router.handle(0.0, [h.request(1)])
    first = h.fetches(actions)[0]
    router.outliers.eject(router.endpoints.by_id[first.member], "silent", router.now_ms)
    timer = next(a for a in actions if isinstance(a, i.SetTimer))
    assert router.handle(timer.at_ms + 500.0, [i.TimerFired(timer.token)]) == []
    again = h.fetches(router.handle(timer.at_ms + 600.0, [h.attempt_ended(first, i.Outcome.RESET)]))
    assert len(again) == 1 and again[0].member != first.member


def test_retries_are_bounded_if_all_attempts_fail() -> None:
    router = h.router()
    sent = 0
    for n in range(400):
        open_fetches = h.fetches(router.handle(n * 20.0, [h.request(n, n, now=n * 20.0)]))
        number = 0
        while open_fetches:
            sent += 1
            open_fetches = h.fetches(
                router.handle(n * 20.0 + 5.0, [h.attempt_ended(open_fetches[0], i.Outcome.ERROR, number)])
            )
            number += 1
    assert sent <= 400 * 1.2 + 20


def test_busy_cache_redirects_to_one_cache_only_unless_fills_are_coalesced() -> None:
    for coalesces in (True, False):
        router = h.router(coalesces_fills=coalesces)
        sent: set[int] = set()
        for n in range(60):
            sent |= {f.member for f in h.fetches(router.handle(1.0, [h.request(n, 5, size_kb=3000.0)]))}
        assert len(sent) > 2 if coalesces else len(sent) == 2


def test_last_parent_is_ejected_if_it_fails_and_origin_does_not() -> None:
    router = h.router()
    router.handle(0.0, [h.delta(*(h.member(p, 0) for p in h.PARENTS[1:]))])
    sent = send_requests(router, {21: "hung"}, 8000.0)
    assert share_in_last_100(sent, h.ORIGIN) > 0.8
    assert all(not h.is_ejected(router, router.endpoints.by_id[c]) for c in h.CACHES)


def test_rejected_fills_count_against_parent_without_fill_reports() -> None:
    router = h.router(reports_fill_source="none")
    for n in range(60):
        now = n * 50.0
        fetch = h.fetches(router.handle(now, [h.request(n, n + 1, now=now, size_kb=50.0)]))[0]
        failed = fetch.source == 21
        router.handle(
            now + 10.0,
            [h.attempt_ended(fetch, i.Outcome.REJECTED if failed else i.Outcome.OK, is_final=not failed)],
        )
    assert h.is_ejected(router, router.endpoints.by_id[21]) and not h.is_ejected(
        router, router.endpoints.by_id[22]
    )


def test_slow_answer_causes_no_second_attempt_at_low_request_rate() -> None:
    """One of 100 routers gets two answers a second from a cache; a gap between them is no failure."""
    for allows_hedging in (True, False):
        router = h.router(allows_hedging=allows_hedging, coalesces_fills=False)
        first = router.handle(0.0, [h.request(1, size_kb=4000.0)])
        other = next(n for n in range(2, 99) if h.first_cache(n) == h.fetches(first)[0].member)
        second = h.fetches(router.handle(400.0, [h.request(2, other, now=400.0)]))[0]
        router.handle(700.0, [h.attempt_ended(second, i.Outcome.OK, is_final=True)])
        timer = next(a for a in first if isinstance(a, i.SetTimer))
        assert router.handle(timer.at_ms, [i.TimerFired(timer.token)]) == []
        assert all(p.health.consecutive_failures == 0 for p in router.endpoints.by_id.values())


def test_short_burst_is_not_multiplied_by_router_count() -> None:
    """With 40 routers in the location, only sustained load is an estimate of the other routers'."""
    router = h.router(routers_by_zone=(40, 2, 0), coalesces_fills=False)
    assert not h.final_answers(router.handle(0.0, [h.request(n, 5, size_kb=3000.0) for n in range(3)]))
    later = h.fetches(router.handle(4000.0, [h.request(9, 5, now=4000.0, size_kb=3000.0)]))
    assert [f.member for f in later] != [h.first_cache(5)]


def fetches_after_timer(router: Router, actions: list[i.Action]) -> list[i.Fetch]:
    """Return what is sent when the timer of the last attempt among the actions fires."""
    timer = [a for a in actions if isinstance(a, i.SetTimer)][-1]
    return h.fetches(router.handle(timer.at_ms, [i.TimerFired(timer.token)]))


def answering_cache_setup(router: Router, load: float = 0.2) -> list[i.Action]:
    """Send a request that stays open while its cache answers a later one; return its actions."""
    first = list(router.handle(0.0, [h.request(1, 5)]))
    other = next(n for n in range(6, 99) if h.first_cache(n) == h.first_cache(5))
    later = h.fetches(router.handle(100.0, [h.request(2, other, now=100.0)]))[0]
    router.handle(
        300.0,
        [
            h.attempt_ended(
                later, i.Outcome.OK, is_final=True, cache_status=i.CacheStatus.HIT, load_report=(load,)
            )
        ],
    )
    return first


def test_lost_answer_is_requested_again_from_same_cache() -> None:
    """Guards against not detecting lost answers of an otherwise healthy cache before clients give up."""
    router = h.router(load_report_fields=("cpu_share",))
    again = fetches_after_timer(router, answering_cache_setup(router))
    assert [f.member for f in again] == [h.first_cache(5)] and again[0].coalesce
    assert not h.is_ejected(router, router.endpoints.by_id[h.first_cache(5)])


def test_late_answer_of_busy_cache_is_not_hedged() -> None:
    router = h.router(load_report_fields=("cpu_share",))
    assert fetches_after_timer(router, answering_cache_setup(router, load=0.95)) == []
    for change in ({"coalesces_fills": False}, {"allows_hedging": False}):
        other = h.router(load_report_fields=("cpu_share",), **change)
        assert fetches_after_timer(other, answering_cache_setup(other)) == []


def test_if_fill_would_be_late_only_cached_copy_is_requested() -> None:
    """Rejecting requests under load would also reject hits, which put no load on the congested link."""
    router = h.router(coalesces_fills=False)
    kinds: list[str] = []
    for n in range(80):
        actions = router.handle(1.0, [h.request(n, 5, size_kb=1500.0)])
        for fetch in h.fetches(actions):
            kinds.append("only cached" if fetch.source == fetch.member else "fill")
            if kinds[-1] == "only cached":
                missed = router.handle(1.0, [h.attempt_ended(fetch, i.Outcome.MISS)])
                assert h.final_answers(missed) and not h.fetches(missed)
        kinds += ["rejected"] * len(h.final_answers(actions))
    assert kinds[0] == "fill" and "only cached" in kinds
    other = h.router(coalesces_fills=False)
    sent = [other.handle(1.0, [h.request(n, 5, size_kb=1500.0)]) for n in range(80)]
    assert h.final_answers(sent[-1]) and not h.final_answers(sent[0])


def test_busy_cache_loses_few_objects_slowly() -> None:
    """Objects differ, so one cache may be five times as busy as another even at low traffic."""
    router = h.router(load_report_fields=("busy_reqs", "cpu_share"))
    before = {o: router.endpoints.cache_ranking.ranked(o, 1)[0].id for o in range(400)}
    for step in range(3000):
        for cache in router.endpoints.caches:
            router.now_ms = step * 100.0
            router.load_reports.record(cache, (3.0, 0.9 if cache.id == 11 else 0.3), router.now_ms)
    after = {o: router.endpoints.cache_ranking.ranked(o, 1)[0].id for o in range(400)}
    moved = {o for o in before if before[o] != after[o]}
    assert moved and all(before[o] == 11 or after[o] != 11 for o in moved)
    assert len(moved) < 100
    assert [p.id for p in router.endpoints.parent_ranking.ranked(7)] == sorted(
        h.PARENTS, key=lambda m: -score(7, m)
    )


def test_invalid_load_reports_are_ignored() -> None:
    router = h.router(load_report_fields=("cpu_share",))
    for report in ((), (float("nan"),), (float("inf"),), (-3.0,)):
        router.load_reports.record(router.endpoints.caches[0], report, router.now_ms)
    assert all(p.load.reported is None and p.weight == 1.0 for p in router.endpoints.caches)


def pending_request(router: Router, object_id: int) -> RequestState:
    """The state of a request, for rankings."""
    return RequestState(h.request(1, object_id), router.settings.classes[0], 300.0, 6)


def test_cache_is_not_ejected_while_all_caches_fail() -> None:
    router = h.router()
    send_requests(router, dict.fromkeys(h.CACHES, "errors"))
    assert all(not h.is_ejected(router, router.endpoints.by_id[c]) for c in h.CACHES)


def test_failing_parent_is_ejected_at_low_fill_rate() -> None:
    """Guards against counts that decay in 4 s and never reach the failures needed for an ejection."""
    for interval_ms in (30.0, 2000.0):
        router = h.router()
        for n in range(60):
            now = n * interval_ms * 2
            actions = router.handle(now, [h.request(n, n + 1, now=now, size_kb=50.0)])
            fetch = h.fetches(actions)[0]
            failed = fetch.source == 21
            failure = (
                h.attempt_ended(fetch, i.Outcome.REJECTED, cache_status=i.CacheStatus.SOURCE_FAILED)
                if failed
                else None
            )
            router.handle(
                now + 10.0,
                [
                    failure
                    or h.attempt_ended(fetch, i.Outcome.OK, is_final=True, cache_status=i.CacheStatus.FILLED)
                ],
            )
            if h.is_ejected(router, router.endpoints.by_id[21]):
                break
        assert (
            n < 30
            and not h.is_ejected(router, router.endpoints.by_id[22])
            and not h.is_ejected(router, router.endpoints.by_id[23])
        )


def test_only_consecutive_failures_eject_cache() -> None:
    """Without resetting the count on successes, every busy cache would eventually be ejected."""
    for success_interval, ejected in ((1, True), (2, False)):
        router = h.router(max_attempts=1)
        for n in range(12):
            fetch = h.fetches(router.handle(n * 500.0, [h.request(n, 5, now=n * 500.0)]))[0]
            succeeds = n % success_interval == success_interval - 1 and success_interval > 1
            outcome = i.Outcome.OK if succeeds else i.Outcome.RESET
            router.handle(n * 500.0 + 50.0, [h.attempt_ended(fetch, outcome, is_final=succeeds)])
        assert (router.endpoints.by_id[h.first_cache(5)].health.ejections > 0) == ejected


def test_error_counts_against_cache_only_if_another_serves_request() -> None:
    """Invalid requests of one client fail at every cache, and would otherwise eject all caches."""
    for bad_request in (True, False):
        router = h.router()
        for n in range(8):
            now, sent = n * 500.0, 1
            fetch = h.fetches(router.handle(now, [h.request(n, now=now)]))[0]
            again = h.fetches(router.handle(now + 1.0, [h.attempt_ended(fetch, i.Outcome.ERROR)]))
            for fetch in again:
                sent += 1
                outcome = i.Outcome.ERROR if bad_request else i.Outcome.OK
                done = router.handle(
                    now + 2.0, [h.attempt_ended(fetch, outcome, 1, is_final=not bad_request)]
                )
                assert len(h.final_answers(done)) == bad_request and not h.fetches(done)
            assert sent <= 2
        assert (router.endpoints.by_id[h.first_cache(5)].health.ejections > 0) != bad_request


def test_broken_connection_is_one_failure_and_not_a_restart() -> None:
    """All attempts in flight on a connection end together, and would otherwise eject the cache."""
    router = h.router()
    sent = [h.fetches(router.handle(0.0, [h.request(n)]))[0] for n in range(6)]
    cache = router.endpoints.by_id[sent[0].member]
    for fetch in sent:
        router.handle(10.0, [h.attempt_ended(fetch, i.Outcome.RESET)])
    assert not cache.health.ejections and cache.slow_start.factor(20.0) == 1.0
    fetch = h.fetches(router.handle(20.0, [h.request(9, now=20.0)]))[0]
    router.handle(30.0, [h.attempt_ended(fetch, i.Outcome.RESET)])
    assert fetch.member == cache.id and cache.slow_start.factor(40.0) < 1.0


def test_lost_location_uses_parents_directly_and_its_caches_get_trials() -> None:
    """The list reports a lost location only after seconds; until then no request may be rejected for it."""
    router = h.router(allows_origin_direct=True)
    for n in range(60):
        now = 100.0 * n
        sent, attempt = h.fetches(router.handle(now, [h.request(n, object_id=n, now=now)])), 0
        while sent and sent[0].member in h.CACHES:
            sent = h.fetches(
                router.handle(now, [h.attempt_ended(sent[0], i.Outcome.CONNECT_FAILED, attempt)])
            )
            attempt += 1
        for fetch in sent:
            router.handle(now + 50.0, [h.attempt_ended(fetch, i.Outcome.OK, attempt, is_final=True)])
    sent = h.fetches(router.handle(6000.0, [h.request(n, n, now=6000.0) for n in range(100, 110)]))
    direct = [f for f in sent if f.member in h.PARENTS and f.source == h.ORIGIN]
    assert len(direct) >= 6
    writes = h.fetches(router.handle(6000.0, [h.request(111, cls=h.UNSAFE, now=6000.0)]))
    assert (writes[0].member, writes[0].source) == (h.ORIGIN, h.ORIGIN)
    # After the ejection time the caches are in slow start, and trial requests reach them again.
    later = []
    for n in range(200, 240):
        later += h.fetches(router.handle(20000.0 + n, [h.request(n, n, now=20000.0 + n)]))
    assert any(f.member in h.CACHES for f in later)


def router_after_fills(elapsed_ms: float, wait_ms: float, reports: str) -> Router:
    """Return a router after 40 fills (transfer 300 ms, objective 1100 ms, overdue after 740 ms)."""
    router = h.router(reports_fill_source=reports)
    for n in range(40):
        now = n * 60.0
        fetch = h.fetches(router.handle(now, [h.request(n, n + 1, now=now)]))[0]
        router.handle(now + 745.0, [i.TimerFired((n << 8) + 1)])
        end = h.attempt_ended(
            fetch,
            i.Outcome.OK,
            elapsed_ms=elapsed_ms,
            is_final=True,
            cache_status=i.CacheStatus.FILLED,
            fill_wait_ms=wait_ms,
        )
        router.handle(now + elapsed_ms, [end])
        router.now_ms = now  # set the clock back, as the requests overlap
    return router


def test_timely_fill_does_not_limit_others_without_wait_reports() -> None:
    """Observed fault: with at most 1 late fill of hundreds in 5 s, only a tenth of fills was allowed."""
    assert router_after_fills(800.0, 0.0, "hit").fill_limits.late.allowed_share == 1.0
    assert router_after_fills(1200.0, 0.0, "hit").fill_limits.late.allowed_share < 1.0
    assert router_after_fills(800.0, 100.0, "all").fill_limits.late.allowed_share < 1.0
    assert router_after_fills(800.0, 600.0, "all").fill_limits.late.allowed_share == 1.0


def test_implausible_size_affects_only_its_request() -> None:
    router = h.router()
    for n, size in enumerate((1500.0, 999_999_999.0, 0.0, 1500.0)):
        router.handle(n * 10.0, [h.request(n, 5, now=n * 10.0, size_kb=size)])
    assert max(router.transfer_times.answer_ms) <= router.settings.classes[0].deadline_ms
    assert router.requests[2].transfer_ms == pytest.approx(
        (300.0 + 5000.0) / 2
    )  # size unknown: the mean of two
