"""Tests of the decision module's use of budget leases: sums over all routers, and expired leases."""

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
@given(slots=st.lists(st.integers(0, 8), min_size=1, max_size=8).filter(lambda slots: sum(slots) <= 8))
def test_leased_shares_never_exceed_cold_members_budget(number: int, slots: list[int]) -> None:
    """Holds for any configured number of routers; a process without a slot sends nothing."""
    changes: dict[str, Any] = {"router_count": 3, "routers_by_zone": (2, 0, 0), "router_index": 0}
    single_router = router_after_start(number, router_count=1, routers_by_zone=(1, 0, 0), router_index=0)
    bound = tokens_spent([single_router], number, single_router.settings)
    routers = [
        router_after_start(number, **changes, warming_cache_share=n / 8, warming_parent_share=n / 8)
        for n in slots
    ]
    assert tokens_spent(routers, number, routers[0].settings) <= bound * 1.001
    for router, n in zip(routers, slots, strict=True):
        assert (tokens_spent([router], number, router.settings) > 0.0) == (n > 0)


def test_lost_slot_discards_accumulated_units() -> None:
    router = router_after_start(h.PARENTS[0], warming_parent_share=1.0, warming_cache_share=1.0)
    endpoint, settings = router.endpoints.by_id[h.PARENTS[0]], router.settings
    assert endpoint.slow_start.refill(STARTED_MS + 500.0, settings.overload_window_ms, 1, 1.0) > 0.0
    assert endpoint.slow_start.refill(STARTED_MS + 501.0, settings.overload_window_ms, 1, 0.0) == 0.0
    assert endpoint.slow_start.refill(STARTED_MS + 501.0, settings.overload_window_ms, 1, 1.0) == 0.0


def origin_only(**changes: Any) -> Any:
    """Return a router whose parents are removed, so that every fill has the origin as its source."""
    router = h.router(**changes)
    router.handle(0.0, [h.delta(*(h.member(n, i.MemberState.REMOVED) for n in h.PARENTS))])
    return router


def test_origin_fills_are_limited_by_lease_and_excess_is_rejected_immediately() -> None:
    router = origin_only(max_origin_fills=2)
    fetches = []
    for n in range(4):
        fetches += h.fetches(router.handle(1.0 + n, [h.request(n, 100 + n, now=1.0 + n)]))
    origin_fetches = [fetch for fetch in fetches if h.ORIGIN in (fetch.source, fetch.member)]
    cache_fetches = [fetch for fetch in fetches if fetch not in origin_fetches]
    assert (len(origin_fetches), len(cache_fetches)) == (2, 2), "the others request only cached copies"
    rejections = h.final_answers(router.handle(9.0, [h.attempt_ended(cache_fetches[0], i.Outcome.MISS)]))
    assert [isinstance(action, i.Reject) and action.retry_after_ms > 0 for action in rejections] == [True]
    router.handle(10.0, [h.attempt_ended(origin_fetches[0], i.Outcome.OK, is_final=True)])
    (next_fetch,) = h.fetches(router.handle(11.0, [h.request(9, 900, now=11.0)]))
    assert next_fetch.source == h.ORIGIN
    assert router.origin_fills.demand(11.0) > 2.9


def test_write_does_not_count_as_origin_fill() -> None:
    router = origin_only(max_origin_fills=0)
    actions = router.handle(1.0, [h.request(1, 7, cls=h.UNSAFE, now=1.0)])
    assert [a.member for a in actions if isinstance(a, i.Fetch)]


@given(
    total=st.floats(0.01, 100.0), routers=st.integers(1, 300), processes=st.integers(1, 2),
)  # fmt: skip
def test_quotas_by_router_count_sum_to_at_most_total(total: float, routers: int, processes: int) -> None:
    quotas = [quota(total, routers, processes, -1.0) for _ in range(routers)]
    assert sum(quotas) * processes <= total * (1 + 1e-9)


def test_demand_decays_and_includes_denied_fills() -> None:
    recent_demand, origin_limit = Demand(), OriginFillLimit()
    for n in range(100):
        recent_demand.add(10.0, n * 10.0)  # 10 ms of sending every 10 ms: a rate of 1
    assert 0.3 < recent_demand.share(1.0, 1000.0) < 1.0 and recent_demand.share(1.0, 60_000.0) < 1e-6
    assert [origin_limit.acquire(1, 0.0), origin_limit.acquire(1, 1.0), origin_limit.demand(1.0)] == [
        True,
        False,
        2.0,
    ]
    origin_limit.release(True)
    assert origin_limit.demand(60_000.0) < 0.01


BUDGETS = (
    Budget("cold-caches.east", 8, BudgetKind.CONCURRENT),
    Budget("cold-caches.west", 8, BudgetKind.CONCURRENT),
    Budget("cold-parents", 4, BudgetKind.CONCURRENT),
    Budget("spare", 9, BudgetKind.RATE),
    Budget("store-fills", 40, BudgetKind.CONCURRENT),
)  # fmt: skip


def test_leases_and_demand_are_mapped_by_budget_name() -> None:
    leases = core_leases(BUDGETS, (2, 8, 1, 9, 7), 99, "east")
    assert leases == Leases(0.25, 0.25, 7, 99)
    assert core_leases((), (), 0, "east") == Leases(-1.0, -1.0, -1, 0)
    measured = MeasuredDemand(warming_cache_share=0.3, warming_parent_share=5.0, origin_fills=10.0)
    assert demand(BUDGETS, measured, (0, 0, 0, 0, 0), "east") == (3, 0, 4, 9, 13)
    assert in_use(BUDGETS, MeasuredDemand(0.0, 0.0, 9.0, 4)) == (0, 0, 0, 0, 4)
    reduced = demand(BUDGETS, MeasuredDemand(0.0, 0.0, 0.0), (8, 0, 4, 9, 40), "east")
    assert reduced == (7, 0, 3, 9, 35), "demand decreases gradually"


def core_with_link(link: Any) -> Core:
    """Return a core with one cache and an origin; tests send it leases as the fleet module would."""
    member_table = MemberTable(6000.0)
    core = Core(h.settings(), 7, member_table, lambda number, host: link)
    member_table.notify = core.on_endpoints_changed
    address = ("127.0.0.1", 9)
    hosts = (Endpoint("s-1", address, 0, 0), Endpoint("origin", address, 0, 2))
    member_table.receive(ListUpdate(True, hosts))
    return core


def test_attempt_is_obsolete_after_its_lease_expires() -> None:
    link = unittest.mock.Mock()
    reported_demands: list[MeasuredDemand] = []
    core = core_with_link(link)
    until = now_us() + 60_000_000
    core.enqueue(
        SettingsUpdate(
            leases=Leases(max_origin_fills=5, valid_until_us=until), report_demand=reported_demands.append
        )
    )
    assert core.router.settings.max_origin_fills == 5 and reported_demands == [MeasuredDemand(0.0, 0.0, 0.0)]
    client_sink = unittest.mock.Mock(is_disconnected=lambda: False)
    core.submit(
        ClientRequest("0" * 16, h.SAFE, "0" * 16, 5, 0, 0, now_us() + 10_000_000, client_sink, class_name="a")
    )
    (attempt,) = [call.args[0] for call in link.send.call_args_list]
    assert attempt.source == member_id("origin") and attempt.not_after_us == until
    assert not attempt.is_obsolete(until - 1) and attempt.is_obsolete(until)
    core.enqueue(SettingsUpdate(leases=Leases(max_origin_fills=0, valid_until_us=0)))
    assert (
        core.router.settings.max_origin_fills == 0
        and measure_demand(core.router, core.router.now_ms).origin_fills >= 1.0
    )
