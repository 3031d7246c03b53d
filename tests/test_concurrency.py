"""Fewer fills are asked for while they come late on their way, by every router alike."""

from __future__ import annotations

import pytest

from lupintack import interface as i
from lupintack.decisions.concurrency import AdaptiveLimit, AdaptiveLimitConfig
from lupintack.decisions.router import Router
from tests import helpers as h

TERMS = AdaptiveLimitConfig(
    threshold=0.2, increase=0.1, decrease=0.7, min_share=0.1, window_ms=1000.0, min_samples=8
)


@pytest.mark.parametrize(
    ("bad", "spans", "allowed"),
    [(0, 3, 1.0), (1, 3, 1.0), (2, 1, 0.7), (8, 1, 0.7), (8, 2, 0.49), (8, 50, 0.1)],
)
def test_the_share_falls_with_bad_spans_to_its_floor(bad: int, spans: int, allowed: float) -> None:
    strain = AdaptiveLimit(TERMS)
    for span in range(1, spans + 1):
        for n in range(TERMS.min_samples):
            strain.record(span * 1000.0, n < bad)
    assert strain.allowed_share == pytest.approx(allowed)


def test_few_outcomes_or_a_short_time_are_no_judgement() -> None:
    few, soon = AdaptiveLimit(TERMS), AdaptiveLimit(TERMS)
    for n in range(TERMS.min_samples - 1):
        few.record(5000.0 + n, True)
    for n in range(100):
        soon.record(n * 9.9, True)
    assert few.allowed_share == soon.allowed_share == 1.0


def test_the_share_comes_back_by_steps() -> None:
    strain = AdaptiveLimit(TERMS)
    strain.allowed_share = 0.3
    seen = []
    for n in range(1, 91):
        strain.record(n * 200.0, False)
        seen.append(strain.allowed_share)
    assert seen == sorted(seen) and seen[-1] == 1.0
    assert max(b - a for a, b in zip(seen, seen[1:], strict=False)) == pytest.approx(0.1)


def late_fills(made: Router, waited: float, rounds: int = 40) -> None:
    """Objects never asked for before; half of the answers come late, and waited so many ms at the source."""
    now = 1000.0
    for n in range(1, rounds + 1):
        now += 100.0
        actions = made.handle(now, [h.request(n, object_id=n, now=now)])
        fetch = h.fetches(actions)[0]
        if n % 2:
            made.handle(
                now, [h.attempt_ended(fetch, i.Outcome.OK, is_final=True, cache_status=i.CacheStatus.FILLED)]
            )
            continue
        timer = next(a for a in actions if isinstance(a, i.SetTimer))
        now = timer.at_ms
        made.handle(now, [i.TimerFired(timer.token)])
        note = i.CacheStatus.FILLED_FROM_ORIGIN
        made.handle(
            now,
            [
                h.attempt_ended(
                    fetch,
                    i.Outcome.OK,
                    elapsed_ms=900.0,
                    fill_wait_ms=waited,
                    is_final=True,
                    cache_status=note,
                )
            ],
        )


def test_fills_late_on_their_way_restrain_further_ones() -> None:
    made = h.router(reports_fill_source="all")  # the waits are told
    late_fills(made, waited=50.0)
    assert made.fill_limits.late.allowed_share < 0.8


def test_fills_that_waited_for_their_source_do_not() -> None:
    made = h.router(reports_fill_source="all")
    late_fills(made, waited=800.0)
    assert made.fill_limits.late.allowed_share == 1.0


def test_a_fill_held_back_names_no_origin() -> None:
    """The origin holds everything: 'give what you hold' is no restraint there. No parent is up here."""
    made = h.router()
    made.handle(500.0, [h.delta(*(h.member(p, state=0) for p in h.PARENTS))])
    made.fill_limits.late.allowed_share = 0.5
    sent = []
    for n in range(1, 101):
        actions = made.handle(1000.0 + n, [h.request(n, object_id=n, now=1000.0 + n)])
        sent += h.fetches(actions)
        made.handle(1000.0 + n, [h.attempt_ended(f, i.Outcome.MISS) for f in h.fetches(actions)])
    assert all(f.source != h.ORIGIN for f in sent if f.only_if_cached)
    assert 30 < sum(f.source == h.ORIGIN for f in sent) < 70


def test_an_ageing_copy_does_only_where_the_own_fill_is_held_back() -> None:
    """A copy past its fresh time earns less: it is no answer to a request whose fill may be asked for."""
    made = h.router()
    made.fill_limits.late.allowed_share = 0.5
    fresh = made.settings.classes[h.EXPIRING].fresh_ms
    sent = []
    own = 0
    for n in range(1, 201):
        now = n * 100.0
        actions = made.handle(
            now, [h.request(n, n, h.EXPIRING, now, local_copy_age_ms=fresh + 500.0 if n % 2 else -1.0)]
        )
        own += any(isinstance(a, i.ServeLocalCopy) for a in actions)
        sent += h.fetches(actions)
        made.handle(now, [h.attempt_ended(f, i.Outcome.OK, is_final=True) for f in h.fetches(actions)])
        made.fill_limits.late.allowed_share = 0.5
    held = [f for f in sent if f.only_if_cached]
    assert 30 < own < 70 and 30 < len(held) < 70
    assert all((f.max_age_ms > fresh) == f.only_if_cached for f in sent)
