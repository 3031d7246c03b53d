"""Unit tests of the endpoint table and its ranking for each tier."""

from __future__ import annotations

import math

import pytest

from lupintack import interface as i
from lupintack.decisions.endpoints import MAX_WEIGHT, EndpointState
from lupintack.decisions.rendezvous import RendezvousRanking
from tests import decision_parts as parts
from tests import helpers as h


def ids(ranking: RendezvousRanking[EndpointState]) -> list[int]:
    return [endpoint.id for endpoint in ranking.members]


def test_each_tier_has_ranking_of_its_ready_endpoints() -> None:
    table = parts.endpoint_table()
    assert ids(table.cache_ranking) == list(h.CACHES)
    assert ids(table.parent_ranking) == list(h.PARENTS)
    assert ids(table.origin_ranking) == [h.ORIGIN]
    assert table.origin is table.by_id[h.ORIGIN] and len(table.by_id) == 8


@pytest.mark.parametrize(
    ("event", "left"),
    [
        (h.delta(h.member(11, state=0)), {12, 13, 14}),
        (h.delta(h.member(11, state=2)), {12, 13, 14}),
        (h.delta(h.member(11, state=1)), set(h.CACHES)),
        (i.MemberList(i.ListKind.FULL, (h.member(12), h.member(31))), {12}),
        (i.MemberList(i.ListKind.CACHED, (h.member(12), h.member(31))), {12}),
        (h.delta(i.Member(11, zone=1)), {12, 13, 14}),  # moved to another zone
        (h.delta(i.Member(15, zone=1)), set(h.CACHES)),
    ],
)
def test_caches_after_list_event(event: i.MemberList, left: set[int]) -> None:
    table = parts.endpoint_table()
    table.apply(event, 10.0, 0.0)
    assert set(ids(table.cache_ranking)) == left


def test_restarted_endpoint_discards_state_of_previous_process() -> None:
    table = parts.endpoint_table()
    cache = table.by_id[11]
    cache.health.ejections, cache.health.consecutive_failures, cache.health.failures = 2, 3, 4.0
    cache.slow_start.tokens_ms, cache.slow_start.lost_ms, cache.load.reported = 5.0, 6.0, 0.7
    cache.weight = 1.2
    table.apply(h.delta(h.member(11)), 500.0, 0.0)
    assert (cache.health.ejections, cache.weight) == (2, 1.2), "no restart"
    table.apply(h.delta(h.member(11, started_ms=400.0)), 500.0, 0.0)
    assert table.by_id[11] is cache and cache.slow_start.started_ms == 400.0
    assert (cache.health.ejections, cache.health.consecutive_failures, cache.health.failures) == (0, 0, 0.0)
    assert (cache.slow_start.tokens_ms, cache.slow_start.lost_ms) == (0.0, -math.inf)
    assert cache.load.reported is None and cache.weight == 1.0


def test_start_in_future_counts_as_now() -> None:
    table = parts.endpoint_table()
    table.apply(h.delta(h.member(11, started_ms=9e9)), 500.0, 0.0)
    assert table.by_id[11].slow_start.started_ms == 500.0


@pytest.mark.parametrize(
    ("member", "routers", "share"),
    [
        (h.member(11), 2, 0.15),  # caches of zone 0
        (h.member(21), 4, 0.08),  # parents serve all routers
        (i.Member(15, zone=2), 1, 0.15),  # no router in that zone: counts as one
        (i.Member(15, zone=9), 4, 0.15),  # an unknown zone
    ],
)
def test_new_endpoint_has_slow_start_of_its_tier(member: i.Member, routers: int, share: float) -> None:
    slow_start = parts.endpoint_table().new_endpoint(member, 0.0, 0.0).slow_start
    assert (slow_start.router_count, slow_start.config.initial_capacity_share) == (routers, share)


def test_new_settings_change_router_count_and_tiers() -> None:
    table = parts.endpoint_table()
    cache = table.by_id[11]
    table.apply_settings(h.settings(routers_by_zone=(7, 2, 0), zone=2), 10.0, 0.0)
    assert cache.slow_start.router_count == 7
    assert ids(table.cache_ranking) == [] and ids(table.parent_ranking) == list(h.PARENTS)


@pytest.mark.parametrize(("weight", "expected"), [(1.2, 1.2), (9.0, MAX_WEIGHT), (0.0, 1 / MAX_WEIGHT)])
def test_weight_is_bounded_and_share_follows_root_of_capacity(weight: float, expected: float) -> None:
    cache = parts.endpoint_table().by_id[11]
    cache.set_weight(weight)
    assert cache.weight == expected and cache.share == pytest.approx(expected * 10.0**0.5)
