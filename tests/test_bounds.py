"""Long runs in which members, objects, purges and bans come and go: every table keeps its bound."""

from __future__ import annotations

import pytest

from lupintack.core import local_cache, purge_memory
from lupintack.core.member_table import MemberTable
from lupintack.core.messages import Answer
from lupintack.core.table_updates import Endpoint
from lupintack.decisions import popularity, purges, rendezvous, selection
from lupintack.interface import (
    AttemptEnded,
    CacheStatus,
    Fetch,
    ListKind,
    MemberList,
    MemberState,
    Outcome,
    Purged,
    Request,
)  # fmt: skip
from lupintack.lifecycle.bans import INCLUSION_MEMORY_MS, Bans
from tests import helpers as h

RUNS = 6000


def test_removed_members_are_forgotten_after_thousands_of_changes() -> None:
    table = MemberTable(6000.0)
    for n in range(RUNS):
        endpoint = Endpoint(f"s-{n}", ("127.0.0.1", 1))
        table.update_list(False, (endpoint,))
        if n >= 20:
            table.update_list(False, (Endpoint(f"s-{n - 20}", None, state=MemberState.REMOVED),))
    while not table.mailbox.empty():
        update = table.mailbox.get()
        assert update is not None
        table.apply(update)
    assert len(table.usable_endpoints) == len(table.listed_endpoints) == 20


def test_the_router_forgets_removed_members_and_old_purges() -> None:
    router = h.router()
    for n in range(RUNS):
        now = 1000.0 + n * 20.0
        new, old = h.member(1000 + n), h.member(1000 + n - 20, state=MemberState.REMOVED)
        router.handle(now, [MemberList(ListKind.DELTA, (new, old)), Purged(n + 1, 0, 0.0)])
    assert len(router.endpoints.by_id) <= len(h.CACHES) + len(h.PARENTS) + 1 + 21
    settled_ms = router.settings.purge_settle_ms + purges.PURGE_MARGIN_MS
    assert len(router.purges.purge_times) <= settled_ms / 20.0 + 2


def test_object_tables_of_the_decisions_keep_their_bounds(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(popularity, "MAX_TRACKED_PARTS", 500)
    monkeypatch.setattr(selection, "MAX_SOURCE_OVERRIDES", 20)
    monkeypatch.setattr(rendezvous, "MAX_CACHED_OBJECTS", 100)
    router = h.router()
    for n in range(RUNS // 4):
        now = 1000.0 + n * 20.0
        actions = router.handle(now, [Request(n + 1, 0, n * 7919, now + 3000.0, 0.0, 0, n % 3)])
        fetch = next((a for a in actions if isinstance(a, Fetch)), None)
        if fetch is not None:
            ended = AttemptEnded(
                n + 1, 0, fetch.member, Outcome.ERROR, 10.0, False, CacheStatus.SOURCE_REJECTED
            )
            router.handle(now + 1.0, [ended])
        router.finish_request(n + 1)
    assert len(router.popularity.last_requests) == 500 and not router.requests
    assert 0 < len(router.selector.source_overrides) <= 20
    for ranking in (router.endpoints.cache_ranking, router.endpoints.parent_ranking):
        assert 0 < len(ranking.cached_candidates) <= 100


def test_purges_and_copies_keep_their_bounds() -> None:
    table = MemberTable(6000.0)
    cache = local_cache.LocalCache(100_000, 1e6)
    for n in range(purge_memory.MAX_REMEMBERED_PURGES + 500):
        table.purge(n + 1, 0, 1e12)
        update = table.mailbox.get()
        assert update is not None
        table.apply(update)
        cache.purge(n + 1, 0, 1.0)
        cache.put((n, 0), 17, Answer(b"x" * 1000, "t", 2000))
    assert len(table.purge_memory.purges) <= purge_memory.MAX_REMEMBERED_PURGES + 1
    assert len(cache.purged_unix_ms) <= local_cache.MAX_PURGES
    assert (
        cache.used_bytes <= 100_000
        and len(cache.copies) * (1000 + local_cache.COPY_OVERHEAD_BYTES) == cache.used_bytes
    )


def test_included_members_are_forgotten_after_their_slow_start() -> None:
    bans = Bans()
    for n in range(RUNS):
        bans.exclude(f"s-{n}", n * 1000.0)
        bans.include(f"s-{n}", n * 1000.0)
    assert not bans.excluded and len(bans.included) <= INCLUSION_MEMORY_MS / 1000.0 + 1
