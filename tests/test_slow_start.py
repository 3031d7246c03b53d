"""Sums of what several routers may send to one endpoint in slow start.

No other test detected bugs that were planted in this code by hand.
"""

from __future__ import annotations

import unittest.mock

import pytest

from lupintack.core import purge_memory
from lupintack.core.member_table import MemberTable
from lupintack.core.table_updates import PurgeUpdate
from lupintack.decisions.router import Router
from lupintack.interface import Settings
from tests import helpers as h

STARTED_MS = 1000.0


def router_after_start(member_id: int, **changes: object) -> Router:
    """A router that has just received the start of a member."""
    router = h.router(STARTED_MS, **changes)
    router.handle(STARTED_MS, [h.delta(h.member(member_id, 1, STARTED_MS, 40.0))])
    return router


def tokens_spent(routers: list[Router], member_id: int, settings: Settings) -> float:
    """Return the transfer time in ms that all routers may send a member in its first overload window."""
    total = 0.0
    for step in range(int(settings.overload_window_ms)):
        now = STARTED_MS + step
        for router in routers:
            endpoint = router.endpoints.by_id[member_id]
            own = router.settings
            lease = own.warming_parent_share if member_id in h.PARENTS else own.warming_cache_share
            tokens = endpoint.slow_start.refill(now, settings.overload_window_ms, own.process_count, lease)
            endpoint.slow_start.tokens_ms -= tokens
            total += tokens
    return total


@pytest.mark.parametrize("member_id", [h.CACHES[0], h.PARENTS[0]])
def test_both_processes_of_upgrade_share_quota_of_router(member_id: int) -> None:
    changes = {"router_count": 1, "routers_by_zone": (1, 0, 0), "router_index": 0}
    single = router_after_start(member_id, **changes)
    upgrading = [router_after_start(member_id, **changes, process_count=2) for _ in range(2)]
    single_spent = tokens_spent([single], member_id, single.settings)
    upgrading_spent = tokens_spent(upgrading, member_id, single.settings)
    assert 0.0 < upgrading_spent <= single_spent * 1.001


@pytest.mark.parametrize("router_count", [40, 250])
def test_quotas_of_parent_in_slow_start_sum_to_its_budget(router_count: int) -> None:
    """All routers request simultaneously with equal seeds; the calls they borrow match their quotas."""
    parent = h.PARENTS[0]
    routers = [
        router_after_start(parent, router_count=router_count, router_index=n) for n in range(router_count)
    ]
    settings = routers[0].settings
    now, need = STARTED_MS + 500.0, 300.0
    saved = [
        router.endpoints.by_id[parent].slow_start.refill(now, settings.overload_window_ms)
        for router in routers
    ]
    max_saved = sum(
        router.endpoints.by_id[parent].slow_start.borrowed_calls.max_saved_ms for router in routers
    )
    total_rate = (
        routers[0].endpoints.by_id[parent].slow_start.factor(now)
        * 40.0
        * min(settings.parent_overload_multiple * 0.8, 2.0)
    )
    assert 0.0 < sum(saved) <= max_saved <= total_rate * settings.overload_window_ms / 2 * 1.001
    allowed_routers = [
        router
        for router in routers
        if router.selector.has_budget(router.endpoints.by_id[parent], need, router.now_ms)
    ]
    assert 0 < len(allowed_routers) * need <= sum(saved) + 3.0 * (sum(saved) * need) ** 0.5
    budget = total_rate * settings.overload_window_ms
    assert tokens_spent(routers, parent, settings) <= budget * 1.25


def test_purge_dropped_from_full_table_still_applies_to_writes() -> None:
    with unittest.mock.patch.object(purge_memory, "MAX_REMEMBERED_PURGES", 4):
        member_table = MemberTable(6000.0)
        for object_id in range(1, 8):
            member_table.apply(PurgeUpdate(object_id, 0, 1e15))
        assert len(member_table.purge_memory.purges) == 4
        request = unittest.mock.Mock(object_id=1, group=9, is_write=False)
        assert (
            member_table.is_purged_since(request, 0)
            and member_table.is_purged_since(request, 2)
            and not member_table.is_purged_since(request, 3)
        )
        newest = unittest.mock.Mock(object_id=7, group=9, is_write=False)
        assert member_table.is_purged_since(newest, 6) and not member_table.is_purged_since(newest, 7)
