"""Generated event sequences for one router: its actions keep rules 1, 2, 3 and 5."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from lupintack import interface as i
from tests import helpers as h

STEP = st.tuples(
    st.sampled_from(["ask", "ask", "ask", "end", "end", "purge", "list", "timer", "gone"]),
    st.integers(0, 9),
    st.sampled_from(list(i.Outcome)),
    st.floats(0.0, 900.0),
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(STEP, min_size=5, max_size=80), st.booleans())
def test_rules_hold(steps: list[tuple[str, int, i.Outcome, float]], copies: bool) -> None:
    made = h.router(allows_hedging=copies)
    now = 0.0
    asks: dict[int, i.Request] = {}
    over: set[int] = set()
    out: dict[tuple[int, int], i.Fetch] = {}
    risky: dict[int, list[tuple[i.Fetch, float]]] = {}
    count: dict[int, int] = {}
    timers: list[i.SetTimer] = []
    bad = set[int]()
    purged: dict[int, float] = {}
    for n, (what, pick, outcome, gap) in enumerate(steps):
        now += gap
        events: list[i.Event] = []
        ending: int | None = None
        if what == "ask":
            asks[n] = h.request(n, pick + 1, pick % 4, now)
            events.append(asks[n])
        elif what == "end" and out:
            key = sorted(out)[pick % len(out)]
            fetch = out.pop(key)
            final = outcome == i.Outcome.OK or key[0] in over
            if outcome not in i.OUTCOMES_WITHOUT_EFFECT:
                risky.setdefault(key[0], []).append((fetch, now))
            ending = key[0] if outcome == i.Outcome.OK else None
            events.append(h.attempt_ended(fetch, outcome, key[1], is_final=final))
        elif what == "purge":
            purged[pick + 1] = now - gap
            events.append(i.Purged(pick + 1, 0, gap))
        elif what == "list":
            target = (*h.CACHES, *h.PARENTS)[pick % 7]
            state = (1, 2, 0)[n % 3]
            bad = bad - {target} if state == 1 else bad | {target}
            events.append(h.delta(h.member(target, state, now if state == 1 else 0.0)))
        elif what == "timer" and timers:
            events.append(i.TimerFired(timers.pop(pick % len(timers)).token))
        elif what == "gone" and asks:
            ending = sorted(asks)[pick % len(asks)]
            events.append(i.ClientDisconnected(ending))
        if ending is not None:
            over.add(ending)
        for action in made.handle(now, events):
            if isinstance(action, i.SetTimer):
                timers.append(action)
            elif isinstance(action, (i.Reject, i.Fail)):
                assert action.request not in over
                over.add(action.request)
                cls = made.settings.classes[asks[action.request].class_index]
                waiting = any(key[0] == action.request for key in out)
                if isinstance(action, i.Reject) and cls.idempotency != i.Idempotency.IDEMPOTENT:
                    assert not risky.get(action.request) and not waiting
            elif isinstance(action, i.Fetch):
                request = asks[action.request]
                assert action.request not in over and now < request.deadline_ms
                assert action.member not in bad and action.source not in bad
                repeat = made.settings.classes[request.class_index].idempotency
                waiting = any(key[0] == action.request for key in out)
                assert copies or not waiting
                if repeat == i.Idempotency.NOT_IDEMPOTENT:
                    assert not waiting and not risky.get(action.request)
                if repeat == i.Idempotency.KEYED:
                    assert all(f.member % 2 == action.member % 2 for f, _ in risky.get(action.request, []))
                if request.object_id in purged and now - purged[request.object_id] < 6000.0:
                    since = now - purged[request.object_id]
                    assert 0.0 < action.max_age_ms <= max(since, 0.02) and not action.coalesce
                number = count[action.request] = count.get(action.request, -1) + 1
                out[action.request, number] = action
    for n, key in enumerate(sorted(out)):
        final = key[0] in over
        for action in made.handle(
            now + 6000.0 + n, [h.attempt_ended(out[key], i.Outcome.TIMEOUT, key[1], is_final=final)]
        ):
            if isinstance(action, (i.Reject, i.Fail)):
                assert action.request not in over
                over.add(action.request)
            assert not isinstance(action, i.Fetch)
    assert set(asks) <= over
