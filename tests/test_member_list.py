"""Member lists of discovery: full, cached and failed lists."""

from __future__ import annotations

from lupintack import interface as i
from lupintack.decisions.router import Router
from tests import helpers as h


def test_full_list_removes_missing_members_and_bounds_the_table() -> None:
    router = h.router()
    for n in range(100):
        members = tuple(i.Member(1000 + n * 10 + k) for k in range(5))
        router.handle(float(n), [i.MemberList(i.ListKind.FULL, members)])
    assert sorted(router.endpoints.by_id) == [1990, 1991, 1992, 1993, 1994]
    assert h.fetches(router.handle(200.0, [h.request(1)]))[0].member in router.endpoints.by_id


def test_router_serves_from_a_cached_list_at_startup() -> None:
    router = Router(h.settings(), 1)
    cached_list = i.MemberList(i.ListKind.CACHED, h.full_list().members)
    assert h.fetches(router.handle(0.0, [cached_list, h.request(1)]))


def test_failed_list_keeps_the_previous_list_and_is_requested_again() -> None:
    router = Router(h.settings(requires_subscription=True), 1)
    assert i.Subscribe() in router.handle(0.0, [h.full_list()])
    actions = router.handle(10.0, [i.MemberList(i.ListKind.FAILED), h.request(1)])
    assert h.fetches(actions)
    timer = next(action for action in actions if isinstance(action, i.SetTimer) and action.token == 0)
    assert router.handle(timer.at_ms, [i.TimerFired(0)]) == [i.Subscribe()]


def test_request_is_rejected_immediately_without_members() -> None:
    router = Router(h.settings(), 1)
    assert isinstance(h.final_answers(router.handle(0.0, [h.request(1)]))[0], i.Reject)
