"""What the module does with leases of the fleet's budgets, as a sum; and with one that has run out."""

from __future__ import annotations

import unittest.mock
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hyp
from hypothesis import strategies as st

from lupintack import interface as i
from lupintack.budgets.spending import Budget, BudgetKind
from lupintack.clock import now_us
from lupintack.core.actor import Core
from lupintack.core.leases import Leases, MeasuredDemand, measure_demand
from lupintack.core.member_table import MemberTable
from lupintack.core.messages import ClientRequest
from lupintack.core.settings_update import SettingsUpdate
from lupintack.core.table_updates import Endpoint, ListUpdate, member_id
from lupintack.decisions.concurrency import OriginFillLimit
from lupintack.decisions.slow_start import Demand, quota
from lupintack.fleet.budget_leases import core_leases, demand, in_use
from tests import helpers as h
from tests.test_slow_start import STARTED_MS, router_after_start, tokens_spent


@pytest.mark.parametrize("number", [h.CACHES[0], h.PARENTS[0]])
@hyp(max_examples=15, deadline=None)
@given(slots=st.lists(st.integers(0, 8), min_size=1, max_size=8).filter(lambda found: sum(found) <= 8))
def test_what_leases_give_never_sums_to_more_than_a_cold_members_budget(
    number: int, slots: list[int]
) -> None:
    """Whatever the settings say of how many routers there are; and a process without a slot sends nothing."""
    told: dict[str, Any] = {"router_count": 3, "routers_by_zone": (2, 0, 0), "router_index": 0}
    whole = router_after_start(number, router_count=1, routers_by_zone=(1, 0, 0), router_index=0)
    bound = tokens_spent([whole], number, whole.settings)
    routers = [
        router_after_start(number, **told, warming_cache_share=n / 8, warming_parent_share=n / 8)
        for n in slots
    ]
    assert tokens_spent(routers, number, routers[0].settings) <= bound * 1.001
    for made, n in zip(routers, slots, strict=True):
        assert (tokens_spent([made], number, made.settings) > 0.0) == (n > 0)


def test_a_slot_that_has_gone_takes_what_it_had_gathered_along() -> None:
    made = router_after_start(h.PARENTS[0], warming_parent_share=1.0, warming_cache_share=1.0)
    peer, known = made.endpoints.by_id[h.PARENTS[0]], made.settings
    assert peer.slow_start.refill(STARTED_MS + 500.0, known.overload_window_ms, 1, 1.0) > 0.0
    assert peer.slow_start.refill(STARTED_MS + 501.0, known.overload_window_ms, 1, 0.0) == 0.0
    assert peer.slow_start.refill(STARTED_MS + 501.0, known.overload_window_ms, 1, 1.0) == 0.0


def origin_only(**told: Any) -> Any:
    """A router whose parents are gone: every fill names the origin."""
    made = h.router(**told)
    made.handle(0.0, [h.delta(*(h.member(n, i.MemberState.REMOVED) for n in h.PARENTS))])
    return made


def test_no_more_fills_at_the_store_than_the_lease_has_and_the_next_is_answered_at_once() -> None:
    made = origin_only(max_origin_fills=2)
    seen = []
    for n in range(4):
        seen += h.fetches(made.handle(1.0 + n, [h.request(n, 100 + n, now=1.0 + n)]))
    named = [one for one in seen if h.ORIGIN in (one.source, one.member)]
    held = [one for one in seen if one not in named]
    assert (len(named), len(held)) == (2, 2), "the others ask for what their cache holds"
    refused = h.final_answers(made.handle(9.0, [h.attempt_ended(held[0], i.Outcome.MISS)]))
    assert [isinstance(one, i.Reject) and one.retry_after_ms > 0 for one in refused] == [True]
    made.handle(10.0, [h.attempt_ended(named[0], i.Outcome.OK, is_final=True)])
    (again,) = h.fetches(made.handle(11.0, [h.request(9, 900, now=11.0)]))
    assert again.source == h.ORIGIN
    assert made.origin_fills.demand(11.0) > 2.9


def test_a_write_is_no_fill() -> None:
    made = origin_only(max_origin_fills=0)
    actions = made.handle(1.0, [h.request(1, 7, cls=h.UNSAFE, now=1.0)])
    assert [a.member for a in actions if isinstance(a, i.Fetch)]


@given(
    whole=st.floats(0.01, 100.0), routers=st.integers(1, 300), processes=st.integers(1, 2),
)  # fmt: skip
def test_parts_by_number_sum_to_the_whole_at_most(whole: float, routers: int, processes: int) -> None:
    found = [quota(whole, routers, processes, -1.0) for _ in range(routers)]
    assert sum(found) * processes <= whole * (1 + 1e-9)


def test_what_was_wanted_fades_and_counts_what_was_not_had() -> None:
    one, store = Demand(), OriginFillLimit()
    for n in range(100):
        one.add(10.0, n * 10.0)  # 10 ms of sending each 10 ms: a rate of one
    assert 0.3 < one.share(1.0, 1000.0) < 1.0 and one.share(1.0, 60_000.0) < 1e-6
    assert [store.acquire(1, 0.0), store.acquire(1, 1.0), store.demand(1.0)] == [True, False, 2.0]
    store.release(True)
    assert store.demand(60_000.0) < 0.01


BUDGETS = (
    Budget("cold-caches.east", 8, BudgetKind.CONCURRENT),
    Budget("cold-caches.west", 8, BudgetKind.CONCURRENT),
    Budget("cold-parents", 4, BudgetKind.CONCURRENT),
    Budget("spare", 9, BudgetKind.RATE),
    Budget("store-fills", 40, BudgetKind.CONCURRENT),
)  # fmt: skip


def test_leases_and_needs_go_by_the_budgets_names() -> None:
    found = core_leases(BUDGETS, (2, 8, 1, 9, 7), 99, "east")
    assert found == Leases(0.25, 0.25, 7, 99)
    assert core_leases((), (), 0, "east") == Leases(-1.0, -1.0, -1, 0)
    report_demand = MeasuredDemand(warming_cache_share=0.3, warming_parent_share=5.0, origin_fills=10.0)
    assert demand(BUDGETS, report_demand, (0, 0, 0, 0, 0), "east") == (3, 0, 4, 9, 13)
    assert in_use(BUDGETS, MeasuredDemand(0.0, 0.0, 9.0, 4)) == (0, 0, 0, 0, 4)
    down = demand(BUDGETS, MeasuredDemand(0.0, 0.0, 0.0), (8, 0, 4, 9, 40), "east")
    assert down == (7, 0, 3, 9, 35), "down by and by"


def hosted(link: Any) -> Core:
    """A core before one cache and an origin, which hears leases as a fleet would tell them."""
    member_table = MemberTable(6000.0)
    core = Core(h.settings(), 7, member_table, lambda number, host: link)
    member_table.notify = core.on_endpoints_changed
    at = ("127.0.0.1", 9)
    hosts = (Endpoint("s-1", at, 0, 0), Endpoint("origin", at, 0, 2))
    member_table.receive(ListUpdate(True, hosts))
    return core


def test_an_attempt_decided_under_a_lease_is_not_written_once_it_has_run_out() -> None:
    link = unittest.mock.Mock()
    told: list[MeasuredDemand] = []
    core = hosted(link)
    until = now_us() + 60_000_000
    core.enqueue(
        SettingsUpdate(leases=Leases(max_origin_fills=5, valid_until_us=until), report_demand=told.append)
    )
    assert core.router.settings.max_origin_fills == 5 and told == [MeasuredDemand(0.0, 0.0, 0.0)]
    sink = unittest.mock.Mock(is_disconnected=lambda: False)
    core.submit(
        ClientRequest("0" * 16, h.SAFE, "0" * 16, 5, 0, 0, now_us() + 10_000_000, sink, class_name="a")
    )
    (order,) = [call.args[0] for call in link.send.call_args_list]
    assert order.source == member_id("origin") and order.not_after_us == until
    assert not order.is_obsolete(until - 1) and order.is_obsolete(until)
    core.enqueue(SettingsUpdate(leases=Leases(max_origin_fills=0, valid_until_us=0)))
    assert (
        core.router.settings.max_origin_fills == 0
        and measure_demand(core.router, core.router.now_ms).origin_fills >= 1.0
    )
