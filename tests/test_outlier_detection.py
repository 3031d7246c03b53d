"""Symptoms, and whom they are held against."""

from __future__ import annotations

import pytest

from lupintack import interface as i
from lupintack.decisions.rendezvous import score
from lupintack.decisions.request_state import RequestState
from lupintack.decisions.router import Router
from tests import helpers as h


def drive(made: Router, outcome: dict[int, str], until: float = 6000.0, start: float = 0.0) -> list[i.Fetch]:
    """Requests every 20 ms; a member in outcome is "hung" or "errors", all others answer after 100 ms."""
    sent: list[i.Fetch] = []
    due: list[tuple[float, i.Event]] = []
    numbers: dict[int, int] = {}
    step = int(start / 20.0)
    while step * 20.0 < until:
        now = step * 20.0
        events = [e for at, e in due if at <= now]
        due = [(at, e) for at, e in due if at > now]
        events.append(h.request(step, step % 97 + 1, now=now, size_kb=250.0))
        for action in made.handle(now, events):
            if isinstance(action, i.SetTimer):
                due.append((action.at_ms, i.TimerFired(action.token)))
            if isinstance(action, i.Fetch):
                sent.append(action)
                number = numbers[action.request] = numbers.get(action.request, -1) + 1
                hit = action.request % 4 != 0
                state = outcome.get(action.member, "ok" if hit else outcome.get(action.source, "ok"))
                if state == "errors":
                    due.append((now + 20.0, h.attempt_ended(action, i.Outcome.ERROR, number)))
                elif state == "ok":
                    note = i.CacheStatus.HIT if hit else i.CacheStatus.FILLED
                    due.append(
                        (
                            now + 100.0,
                            h.attempt_ended(action, i.Outcome.OK, number, is_final=True, cache_status=note),
                        )
                    )
        step += 1
    return sent


def late_share(sent: list[i.Fetch], member: int) -> float:
    tail = sent[-100:]
    return sum(member in (f.member, f.source) for f in tail) / len(tail)


def test_hung_cache_goes_out_of_use_and_comes_back_by_a_trickle() -> None:
    made = h.router()
    assert late_share(drive(made, {11: "hung"}), 11) < 0.08
    assert late_share(drive(made, {}, 24000.0, 6000.0), 11) > 0.1


def test_failing_cache_goes_out_of_use() -> None:
    made = h.router()
    assert late_share(drive(made, {11: "errors"}), 11) < 0.08


def test_hung_parent_goes_out_of_use_and_no_cache_does() -> None:
    made = h.router()
    sent = drive(made, {21: "hung"})
    assert late_share(sent, 21) < 0.08
    assert all(not h.is_ejected(made, made.endpoints.by_id[c]) for c in h.CACHES)


def test_when_all_parents_look_bad_nobody_is_ejected_and_fills_are_cut() -> None:
    made = h.router()
    sent = drive(made, {p: "hung" for p in (*h.PARENTS, h.ORIGIN)}, 4000.0)
    assert all(not h.is_ejected(made, made.endpoints.by_id[m]) for m in (*h.CACHES, *h.PARENTS))
    assert any(f.only_if_cached for f in sent[-50:]) and made.fill_limits.failed.allowed_share < 0.6


def test_one_bad_object_condemns_nobody() -> None:
    made = h.router()
    for n in range(2):
        fetch = h.fetches(made.handle(n * 50.0, [h.request(n, now=n * 50.0)]))[0]
        made.handle(n * 50.0 + 10.0, [h.attempt_ended(fetch, i.Outcome.ERROR)])
    assert all(not h.is_ejected(made, p) for p in made.endpoints.by_id.values())


def test_overload_is_shed_at_once_and_the_small_are_served_longer() -> None:
    made = h.router()
    refused: dict[float, int] = {}
    for n in range(600):
        size = (3000.0, 300.0)[n % 2]
        if h.final_answers(made.handle(1.0, [h.request(n, 5, size_kb=size)])):
            refused.setdefault(size, n)
    assert refused[3000.0] < refused[300.0]


def test_without_second_copies_never_two_at_once() -> None:
    made = h.router(allows_hedging=False)
    actions = made.handle(0.0, [h.request(1)])
    made.outliers.eject(made.endpoints.by_id[h.fetches(actions)[0].member], "silent", made.now_ms)
    timer = next(a for a in actions if isinstance(a, i.SetTimer))
    cut = made.handle(timer.at_ms + 2000.0, [i.TimerFired(timer.token)])
    assert cut == [i.Cancel(1, 0)]
    first = h.fetches(actions)[0]
    again = h.fetches(made.handle(timer.at_ms + 2001.0, [h.attempt_ended(first, i.Outcome.CANCELLED)]))
    assert len(again) == 1


def test_with_neither_second_copies_nor_cancelling_only_the_end_of_an_attempt_lets_another_out() -> None:
    made = h.router(allows_hedging=False, allows_cancellation=False)
    actions = made.handle(0.0, [h.request(1)])
    first = h.fetches(actions)[0]
    made.outliers.eject(made.endpoints.by_id[first.member], "silent", made.now_ms)
    timer = next(a for a in actions if isinstance(a, i.SetTimer))
    assert made.handle(timer.at_ms + 500.0, [i.TimerFired(timer.token)]) == []
    again = h.fetches(made.handle(timer.at_ms + 600.0, [h.attempt_ended(first, i.Outcome.RESET)]))
    assert len(again) == 1 and again[0].member != first.member


def test_retries_are_bounded_when_everything_fails() -> None:
    made = h.router()
    sent = 0
    for n in range(400):
        out = h.fetches(made.handle(n * 20.0, [h.request(n, n, now=n * 20.0)]))
        number = 0
        while out:
            sent += 1
            out = h.fetches(made.handle(n * 20.0 + 5.0, [h.attempt_ended(out[0], i.Outcome.ERROR, number)]))
            number += 1
    assert sent <= 400 * 1.2 + 20


def test_overfull_cache_passes_objects_on_and_to_one_cache_only_unless_caches_join_fills() -> None:
    for joins in (True, False):
        made = h.router(coalesces_fills=joins)
        sent: set[int] = set()
        for n in range(60):
            sent |= {f.member for f in h.fetches(made.handle(1.0, [h.request(n, 5, size_kb=3000.0)]))}
        assert len(sent) > 2 if joins else len(sent) == 2


def test_last_parent_is_passed_over_for_the_origin_when_it_fails_and_the_origin_does_not() -> None:
    made = h.router()
    made.handle(0.0, [h.delta(*(h.member(p, 0) for p in h.PARENTS[1:]))])
    sent = drive(made, {21: "hung"}, 8000.0)
    assert late_share(sent, h.ORIGIN) > 0.8
    assert all(not h.is_ejected(made, made.endpoints.by_id[c]) for c in h.CACHES)


def test_refused_fills_count_against_the_parent_where_notes_are_not_told() -> None:
    made = h.router(reports_fill_source="none")
    for n in range(60):
        now = n * 50.0
        fetch = h.fetches(made.handle(now, [h.request(n, n + 1, now=now, size_kb=50.0)]))[0]
        bad = fetch.source == 21
        made.handle(
            now + 10.0,
            [h.attempt_ended(fetch, i.Outcome.REJECTED if bad else i.Outcome.OK, is_final=not bad)],
        )
    assert h.is_ejected(made, made.endpoints.by_id[21]) and not h.is_ejected(made, made.endpoints.by_id[22])


def test_slow_answers_alone_bring_no_second_attempt_at_a_router_that_asks_rarely() -> None:
    """Danger: one of a hundred routers hears from a cache twice a second; taken for silence, all stampede."""
    for copies in (True, False):
        made = h.router(allows_hedging=copies, coalesces_fills=False)
        first = made.handle(0.0, [h.request(1, size_kb=4000.0)])
        other = next(n for n in range(2, 99) if h.first_cache(n) == h.fetches(first)[0].member)
        second = h.fetches(made.handle(400.0, [h.request(2, other, now=400.0)]))[0]
        made.handle(700.0, [h.attempt_ended(second, i.Outcome.OK, is_final=True)])
        timer = next(a for a in first if isinstance(a, i.SetTimer))
        assert made.handle(timer.at_ms, [i.TimerFired(timer.token)]) == []
        assert all(p.health.consecutive_failures == 0 for p in made.endpoints.by_id.values())


def test_own_attempt_is_not_taken_for_a_hundred() -> None:
    """With 40 routers in the location one moment's attempts say nothing of theirs; lasting ones do."""
    made = h.router(routers_by_zone=(40, 2, 0), coalesces_fills=False)
    assert not h.final_answers(made.handle(0.0, [h.request(n, 5, size_kb=3000.0) for n in range(3)]))
    later = h.fetches(made.handle(4000.0, [h.request(9, 5, now=4000.0, size_kb=3000.0)]))
    assert [f.member for f in later] != [h.first_cache(5)]


def overdue(made: Router, actions: list[i.Action]) -> list[i.Fetch]:
    """What is sent when the timer of the last attempt among the actions fires."""
    timer = [a for a in actions if isinstance(a, i.SetTimer)][-1]
    return h.fetches(made.handle(timer.at_ms, [i.TimerFired(timer.token)]))


def lively(made: Router, load: float = 0.2) -> list[i.Action]:
    """A request that stays out while its cache answers a later one."""
    first = list(made.handle(0.0, [h.request(1, 5)]))
    other = next(n for n in range(6, 99) if h.first_cache(n) == h.first_cache(5))
    later = h.fetches(made.handle(100.0, [h.request(2, other, now=100.0)]))[0]
    made.handle(
        300.0,
        [
            h.attempt_ended(
                later, i.Outcome.OK, is_final=True, cache_status=i.CacheStatus.HIT, load_report=(load,)
            )
        ],
    )
    return first


def test_answer_lost_by_a_cache_that_answers_others_is_asked_for_again_there() -> None:
    """Danger: lost answers of a cache that is otherwise well raised no doubt, and clients gave up."""
    made = h.router(load_report_fields=("cpu_share",))
    again = overdue(made, lively(made))
    assert [f.member for f in again] == [h.first_cache(5)] and again[0].coalesce
    assert not h.is_ejected(made, made.endpoints.by_id[h.first_cache(5)])


def test_late_answer_of_a_busy_cache_is_not_taken_for_lost() -> None:
    made = h.router(load_report_fields=("cpu_share",))
    assert overdue(made, lively(made, load=0.95)) == []
    for change in ({"coalesces_fills": False}, {"allows_hedging": False}):
        other = h.router(load_report_fields=("cpu_share",), **change)
        assert overdue(other, lively(other)) == []


def test_when_a_fill_would_come_late_only_the_caches_own_copy_is_asked_for() -> None:
    """Danger: under load a refusal turns away hits as well, which cost the crowded link nothing."""
    made = h.router(coalesces_fills=False)
    kinds: list[str] = []
    for n in range(80):
        actions = made.handle(1.0, [h.request(n, 5, size_kb=1500.0)])
        for fetch in h.fetches(actions):
            kinds.append("look" if fetch.source == fetch.member else "fill")
            if kinds[-1] == "look":
                missed = made.handle(1.0, [h.attempt_ended(fetch, i.Outcome.MISS)])
                assert h.final_answers(missed) and not h.fetches(missed)
        kinds += ["refused"] * len(h.final_answers(actions))
    assert kinds[0] == "fill" and "look" in kinds
    late = h.router(coalesces_fills=False)
    sent = [late.handle(1.0, [h.request(n, 5, size_kb=1500.0)]) for n in range(80)]
    assert h.final_answers(sent[-1]) and not h.final_answers(sent[0])


def test_busy_cache_passes_a_few_objects_on_slowly_and_never_many() -> None:
    """Danger: objects differ, so one cache may be five times as busy as its neighbour on a quiet day."""
    made = h.router(load_report_fields=("busy_reqs", "cpu_share"))
    before = {o: made.endpoints.cache_ranking.ranked(o, 1)[0].id for o in range(400)}
    for step in range(3000):
        for cache in made.endpoints.caches:
            made.now_ms = step * 100.0
            made.load_reports.record(cache, (3.0, 0.9 if cache.id == 11 else 0.3), made.now_ms)
    after = {o: made.endpoints.cache_ranking.ranked(o, 1)[0].id for o in range(400)}
    moved = {o for o in before if before[o] != after[o]}
    assert moved and all(before[o] == 11 or after[o] != 11 for o in moved)
    assert len(moved) < 100
    assert [p.id for p in made.endpoints.parent_ranking.ranked(7)] == sorted(
        h.PARENTS, key=lambda m: -score(7, m)
    )


def test_reports_that_mean_nothing_move_nothing() -> None:
    made = h.router(load_report_fields=("cpu_share",))
    for report in ((), (float("nan"),), (float("inf"),), (-3.0,)):
        made.load_reports.record(made.endpoints.caches[0], report, made.now_ms)
    assert all(p.load.reported is None and p.weight == 1.0 for p in made.endpoints.caches)


def made_pending(made: Router, object_id: int) -> RequestState:
    """A request on which boards can be asked for."""
    return RequestState(h.request(1, object_id), made.settings.classes[0], 300.0, 6)


def test_cache_that_fails_while_its_neighbours_fail_too_stays_in_use() -> None:
    made = h.router()
    drive(made, dict.fromkeys(h.CACHES, "errors"))
    assert all(not h.is_ejected(made, made.endpoints.by_id[c]) for c in h.CACHES)


def test_bad_parent_is_found_by_a_router_that_fills_once_in_two_seconds() -> None:
    """Danger: counts that fade in 4 s never reach the three bad fills that a judgement wants."""
    for gap in (30.0, 2000.0):
        made = h.router()
        for n in range(60):
            now = n * gap * 2
            actions = made.handle(now, [h.request(n, n + 1, now=now, size_kb=50.0)])
            fetch = h.fetches(actions)[0]
            lost = fetch.source == 21
            done = (
                h.attempt_ended(fetch, i.Outcome.REJECTED, cache_status=i.CacheStatus.SOURCE_FAILED)
                if lost
                else None
            )
            made.handle(
                now + 10.0,
                [
                    done
                    or h.attempt_ended(fetch, i.Outcome.OK, is_final=True, cache_status=i.CacheStatus.FILLED)
                ],
            )
            if h.is_ejected(made, made.endpoints.by_id[21]):
                break
        assert (
            n < 30
            and not h.is_ejected(made, made.endpoints.by_id[22])
            and not h.is_ejected(made, made.endpoints.by_id[23])
        )


def test_only_failures_in_a_row_put_a_cache_out_of_use() -> None:
    """Danger: without the good answers in between every busy cache would be condemned in the end."""
    for bad_every, gone in ((1, True), (2, False)):
        made = h.router(max_attempts=1)
        for n in range(12):
            fetch = h.fetches(made.handle(n * 500.0, [h.request(n, 5, now=n * 500.0)]))[0]
            good = n % bad_every == bad_every - 1 and bad_every > 1
            outcome = i.Outcome.OK if good else i.Outcome.RESET
            made.handle(n * 500.0 + 50.0, [h.attempt_ended(fetch, outcome, is_final=good)])
        assert (made.endpoints.by_id[h.first_cache(5)].health.ejections > 0) == gone


def test_an_error_counts_against_a_cache_only_where_another_serves_the_request() -> None:
    """Danger: one bad client's requests err wherever they come, and would put every cache out of use."""
    for bad_request in (True, False):
        r = h.router()
        for n in range(8):
            now, sent = n * 500.0, 1
            fetch = h.fetches(r.handle(now, [h.request(n, now=now)]))[0]
            again = h.fetches(r.handle(now + 1.0, [h.attempt_ended(fetch, i.Outcome.ERROR)]))
            for fetch in again:
                sent += 1
                outcome = i.Outcome.ERROR if bad_request else i.Outcome.OK
                done = r.handle(now + 2.0, [h.attempt_ended(fetch, outcome, 1, is_final=not bad_request)])
                assert len(h.final_answers(done)) == bad_request and not h.fetches(done)
            assert sent <= 2
        assert (r.endpoints.by_id[h.first_cache(5)].health.ejections > 0) != bad_request


def test_a_broken_connection_is_one_failure_and_no_sign_of_a_cold_process() -> None:
    """Danger: all that was out on it ends at once, and would put the cache out of use."""
    r = h.router()
    sent = [h.fetches(r.handle(0.0, [h.request(n)]))[0] for n in range(6)]
    top = r.endpoints.by_id[sent[0].member]
    for fetch in sent:
        r.handle(10.0, [h.attempt_ended(fetch, i.Outcome.RESET)])
    assert not top.health.ejections and top.slow_start.factor(20.0) == 1.0
    fetch = h.fetches(r.handle(20.0, [h.request(9, now=20.0)]))[0]
    r.handle(30.0, [h.attempt_ended(fetch, i.Outcome.RESET)])
    assert fetch.member == top.id and top.slow_start.factor(40.0) < 1.0


def test_a_dark_location_goes_straight_to_the_parents_and_its_caches_are_tried_on() -> None:
    """The list tells of a lost location only after seconds; meanwhile nothing may be refused for it."""
    r = h.router(allows_origin_direct=True)
    for n in range(60):
        now = 100.0 * n
        sent, attempt = h.fetches(r.handle(now, [h.request(n, object_id=n, now=now)])), 0
        while sent and sent[0].member in h.CACHES:
            sent = h.fetches(r.handle(now, [h.attempt_ended(sent[0], i.Outcome.CONNECT_FAILED, attempt)]))
            attempt += 1
        for fetch in sent:
            r.handle(now + 50.0, [h.attempt_ended(fetch, i.Outcome.OK, attempt, is_final=True)])
    sent = h.fetches(r.handle(6000.0, [h.request(n, n, now=6000.0) for n in range(100, 110)]))
    straight = [f for f in sent if f.member in h.PARENTS and f.source == h.ORIGIN]
    assert len(straight) >= 6
    wrote = h.fetches(r.handle(6000.0, [h.request(111, cls=h.UNSAFE, now=6000.0)]))
    assert (wrote[0].member, wrote[0].source) == (h.ORIGIN, h.ORIGIN)
    # Out of use for EJECT_MS, cold by then: the trickle of trials finds a cache that answers again.
    later = []
    for n in range(200, 240):
        later += h.fetches(r.handle(20000.0 + n, [h.request(n, n, now=20000.0 + n)]))
    assert any(f.member in h.CACHES for f in later)


def fills(elapsed: float, waited: float, tells: str) -> Router:
    """Forty first requests of 300 ms of sending time (aim 1100, overdue after 740), each filled so late."""
    made = h.router(reports_fill_source=tells)
    for n in range(40):
        now = n * 60.0
        fetch = h.fetches(made.handle(now, [h.request(n, n + 1, now=now)]))[0]
        made.handle(now + 745.0, [i.TimerFired((n << 8) + 1)])
        end = h.attempt_ended(
            fetch,
            i.Outcome.OK,
            elapsed_ms=elapsed,
            is_final=True,
            cache_status=i.CacheStatus.FILLED,
            fill_wait_ms=waited,
        )
        made.handle(now + elapsed, [end])
        made.now_ms = now  # the next one's clock: these run beside one another
    return made


def test_a_fill_in_time_holds_no_others_back_where_its_wait_is_not_told() -> None:
    """Seen: 0 to 1 fills of hundreds too late in 5 s, and a tenth of the fills let through all day."""
    assert fills(800.0, 0.0, "hit").fill_limits.late.allowed_share == 1.0
    assert fills(1200.0, 0.0, "hit").fill_limits.late.allowed_share < 1.0
    assert fills(800.0, 100.0, "all").fill_limits.late.allowed_share < 1.0
    assert fills(800.0, 600.0, "all").fill_limits.late.allowed_share == 1.0


def test_an_absurd_size_is_its_own_requests_matter() -> None:
    made = h.router()
    for n, size in enumerate((1500.0, 999_999_999.0, 0.0, 1500.0)):
        made.handle(n * 10.0, [h.request(n, 5, now=n * 10.0, size_kb=size)])
    assert max(made.transfer_times.answer_ms) <= made.settings.classes[0].deadline_ms
    assert made.requests[2].transfer_ms == pytest.approx((300.0 + 5000.0) / 2)  # not told: the mean of two
