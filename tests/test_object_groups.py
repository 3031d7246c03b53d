"""Purges of groups reach requests and copies of objects whose group is not known, or was named otherwise."""

from __future__ import annotations

import math
import time
from types import SimpleNamespace
from typing import Any

import pytest

from lupintack.core.handoff import capture_state, restore_copy
from lupintack.core.local_cache import NO_COPY_MS, LocalCache
from lupintack.core.messages import OUTDATED_METADATA, Answer, ClientRequest
from lupintack.core.purge_memory import PurgeMemory
from lupintack.decisions.purges import PurgeLog
from lupintack.decisions.router import Router
from lupintack.interface import UNKNOWN_GROUP, Purged, Settings
from tests.scenario import Scenario

TILE = "/ops/map-tiles/00000000000000aa"
SETTLE_MS = 6000.0
SINK: Any = SimpleNamespace()
NOBODY_KNOWS = f"client a send GET {TILE}"


def request_for(group: int) -> ClientRequest:
    return ClientRequest("0" * 16, 0, "00000000000000aa", 0xAA, 0, group, 1 << 62, SINK)


def cache_with_copy(group: int, age_ms: int = 100) -> LocalCache:
    cache = LocalCache(1 << 20, 1e6)
    cache.put((0xAA, 0), group, Answer(b"map", "t", int(time.time() * 1000) - age_ms))
    assert len(cache.copies) == 1
    return cache


@pytest.mark.parametrize(
    ("filed_under", "asked_for", "is_found"),
    [
        (17, 17, True),
        (17, 3, False),  # a purge of 3 would not have dropped it
        (17, UNKNOWN_GROUP, False),
        (UNKNOWN_GROUP, 17, True),
        (UNKNOWN_GROUP, UNKNOWN_GROUP, True),
    ],
)
def test_copy_is_found_only_if_purges_of_the_request_would_have_dropped_it(
    filed_under: int, asked_for: int, is_found: bool
) -> None:
    """Guards against a copy that a purge missed, as the request that brought it named another group."""
    cache, request = cache_with_copy(filed_under), request_for(asked_for)
    assert (cache.age_ms(request) != NO_COPY_MS) == is_found
    assert (cache.start_transfer(request, 0) is not None) == is_found


def test_copy_whose_group_is_from_metadata_is_used_until_that_changes() -> None:
    cache, request = LocalCache(1 << 20, 1e6), request_for(17)
    cache.metadata_version = lambda: versions[0]
    versions, answer = [1], Answer(b"map", "t", int(time.time() * 1000) - 100)
    for version in (0, OUTDATED_METADATA):
        request.metadata_version = version
        cache.store(request, answer)
        assert not cache.copies, "it had changed before the answer came"
    request.metadata_version = 1
    cache.store(request, answer)
    assert cache.age_ms(request_for(17)) != NO_COPY_MS
    state: Any = SimpleNamespace(router=Router(Settings(classes=()), 1), local_cache=cache)
    assert not capture_state(state).copies, "another process could not tell whether it has changed"
    versions[0] = 2
    assert cache.age_ms(request_for(17)) == NO_COPY_MS and cache.start_transfer(request, 0) is None


@pytest.mark.parametrize(
    ("filed_under", "purged", "is_dropped"),
    [
        (17, 17, True),
        (17, 3, False),
        (UNKNOWN_GROUP, 3, True),
        (17, UNKNOWN_GROUP, True),
        (UNKNOWN_GROUP, UNKNOWN_GROUP, True),
    ],
)
@pytest.mark.parametrize("is_dated", [False, True])
def test_purge_of_a_group_drops_its_copies_and_those_of_unknown_group(
    filed_under: int, purged: int, is_dropped: bool, is_dated: bool
) -> None:
    """Guards against a copy that no purge of a group finds; a dated purge also keeps older copies out."""
    cache = cache_with_copy(filed_under)
    cache.purge(None, purged, time.time() * 1000 if is_dated else None)
    assert bool(cache.copies) != is_dropped
    cache.put((0xAA, 0), filed_under, Answer(b"map", "t", int(time.time() * 1000) - 50))
    assert bool(cache.copies) == (not is_dated or not is_dropped)


@pytest.mark.parametrize(
    ("group", "purged", "is_concerned"),
    [(17, 17, True), (17, 3, False), (UNKNOWN_GROUP, 3, True), (17, UNKNOWN_GROUP, True)],
)
def test_purge_of_a_group_binds_requests_of_unknown_group(
    group: int, purged: int, is_concerned: bool
) -> None:
    """Guards against a request that is answered from a copy older than a purge, as it named no group."""
    log, memory = PurgeLog(), PurgeMemory(SETTLE_MS)
    log.record(Purged(0, purged, 0.0), 1000.0, SETTLE_MS)
    assert log.last_purge_ms(0xAA, group) == (1000.0 if is_concerned else -math.inf)
    number = memory.remember(None, purged, 1)
    assert memory.is_purged_since(0xAA, group, number - 1) == is_concerned
    assert not memory.is_purged_since(0xAA, group, number)


def test_purge_of_an_object_concerns_no_other_of_unknown_group() -> None:
    log, memory = PurgeLog(), PurgeMemory(SETTLE_MS)
    log.record(Purged(5, 0, 0.0), 1000.0, SETTLE_MS)
    number = memory.remember(5, 0, 1)
    assert log.last_purge_ms(0xAA, UNKNOWN_GROUP) == -math.inf
    assert not memory.is_purged_since(0xAA, UNKNOWN_GROUP, number - 1)


def test_request_without_a_group_is_bound_and_its_copy_dropped_by_any_purge_of_a_group() -> None:
    """Guards against X-Batch that is absent and taken for 0: the own copy outlived the purge of its group."""
    fill = "cache expect {0}\ncache send {0} ok entity=t,issued={{now}},tell=f map\nclient a expect 200"
    scenario = Scenario(link_bytes_per_s=1e6)
    scenario.run(
        f"""
        discovery expect watch 1
        {NOBODY_KNOWS}
        {fill.format("one")}
        {NOBODY_KNOWS}
        {fill.format("two")}
        {NOBODY_KNOWS} X-Batch:17
        client a expect 200 body=map
        cache expect nothing 30
        """,
        close=False,
    )
    cache = scenario.node.core.local_cache
    assert cache is not None and [copy.group for copy in cache.copies.values()] == [UNKNOWN_GROUP]
    scenario.run(f"""
        discovery send {{"rev":2,"flush":{{"collection":17,"ms":{{now}}}}}}
        discovery applied 2
        {NOBODY_KNOWS}
        cache expect three within=?*
    """)
    assert not cache.copies


def test_handoff_keeps_a_copy_of_unknown_group_as_such() -> None:
    cache = LocalCache(1 << 20, 1e6)
    restore_copy(cache, [0xAA, 0, UNKNOWN_GROUP, "t", int(time.time() * 1000)], b"map")
    assert [copy.group for copy in cache.copies.values()] == [UNKNOWN_GROUP]


def test_purge_of_the_object_with_id_0_binds_its_requests() -> None:
    """Guards against a purge of that object which the decisions take for one of group 0."""
    Scenario().run("""
        discovery expect watch 1
        discovery send {"rev":2,"flush":{"asset":"0000000000000000","ms":{now}}}
        discovery applied 2
        client a send GET /ops/map-tiles/0000000000000000 X-Batch:17
        cache expect w within=?*
    """)
