"""The list of members: complete, changed, old, failed."""

from __future__ import annotations

from lupintack import interface as i
from lupintack.decisions.router import Router
from tests import helpers as h


def test_complete_list_removes_what_it_lacks_and_the_table_stays_bounded() -> None:
    made = h.router()
    for n in range(100):
        fresh = tuple(i.Member(1000 + n * 10 + k) for k in range(5))
        made.handle(float(n), [i.MemberList(i.ListKind.FULL, fresh)])
    assert sorted(made.endpoints.by_id) == [1990, 1991, 1992, 1993, 1994]
    assert h.fetches(made.handle(200.0, [h.request(1)]))[0].member in made.endpoints.by_id


def test_instance_that_starts_with_its_last_list_serves_from_it() -> None:
    made = Router(h.settings(), 1)
    old = i.MemberList(i.ListKind.CACHED, h.full_list().members)
    assert h.fetches(made.handle(0.0, [old, h.request(1)]))


def test_failed_list_keeps_the_old_one_and_is_asked_for_again() -> None:
    made = Router(h.settings(requires_subscription=True), 1)
    assert i.Subscribe() in made.handle(0.0, [h.full_list()])
    actions = made.handle(10.0, [i.MemberList(i.ListKind.FAILED), h.request(1)])
    assert h.fetches(actions)
    timer = next(a for a in actions if isinstance(a, i.SetTimer) and a.token == 0)
    assert made.handle(timer.at_ms, [i.TimerFired(0)]) == [i.Subscribe()]


def test_without_any_member_a_request_is_refused_at_once() -> None:
    made = Router(h.settings(), 1)
    assert isinstance(h.final_answers(made.handle(0.0, [h.request(1)]))[0], i.Reject)
