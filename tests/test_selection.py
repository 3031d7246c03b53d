"""The ordinary path: one stable hash, a board per object, the hold and the keep rank."""

from __future__ import annotations

import os
import subprocess
import sys
from collections import Counter

from lupintack import interface as i
from lupintack.decisions.rendezvous import score
from lupintack.decisions.router import Router
from lupintack.decisions.selection import SOURCE_OVERRIDE_MS
from tests import helpers as h


def board(object_id: int, members: tuple[int, ...]) -> list[int]:
    return sorted(members, key=lambda m: -score(object_id, m))


def test_a_busy_caches_requests_go_to_the_next_one_while_half_the_location_is_free() -> None:
    """Danger: an object's fans would be refused beside idle caches, or flood them with fills."""
    r = h.router(coalesces_fills=False)
    sent = [h.fetches(r.handle(0.0, [h.request(n, 5, size_kb=3000.0)])) for n in range(80)]
    used = Counter(fetch[0].member for fetch in sent if fetch)
    first, second, *others = board(5, h.CACHES)
    assert set(used) == {first, second} and used[second] >= 8, used
    assert all(fetch[0].source in h.PARENTS for fetch in sent if fetch and fetch[0].member == second)
    for other in others:
        r.endpoints.by_id[other].load.change_in_flight(0.0, 60)
    refused = r.handle(0.0, [h.request(99, 5, size_kb=3000.0)])
    assert not [f for f in h.fetches(refused) if f.source in h.PARENTS]


def test_what_comes_new_all_day_is_not_kept_for_good() -> None:
    """New objects and replaced members come all day; what is kept of them has a bound."""
    r = h.router()
    for n in range(400):
        r.handle(n * 1000.0, [h.request(n, 1000 + n, now=n * 1000.0), h.delta(h.member(100 + n))])
        r.handle(n * 1000.0 + 1.0, [h.delta(h.member(100 + n, state=0)), i.ClientDisconnected(n)])
    assert len(r.popularity.last_requests) <= 62 and len(r.endpoints.by_id) == 8
    for kept in r.endpoints.cache_ranking.cached_candidates.values():
        assert len(kept.members) <= len(r.endpoints.caches) <= 9


def test_known_orders() -> None:
    assert score(5, 11) == 16751861280067734720
    assert [board(o, h.CACHES) for o in (1, 2, 3)] == [[11, 14, 12, 13], [12, 13, 11, 14], [13, 11, 12, 14]]


def test_removal_moves_only_the_removed_members_objects() -> None:
    for object_id in range(500):
        before, after = board(object_id, h.CACHES), board(object_id, h.CACHES[:-1])
        assert [m for m in before if m != h.CACHES[-1]] == after


def test_load_spreads_evenly() -> None:
    counts = Counter(board(object_id, h.CACHES)[0] for object_id in range(4000))
    assert all(900 < counts[m] < 1100 for m in h.CACHES)


def test_cache_and_parent_come_from_the_board_and_parts_stay_together() -> None:
    for object_id in range(1, 40):
        made = h.router()
        sent = [h.fetches(made.handle(1.0, [h.request(n, object_id, part=n)]))[0] for n in range(3)]
        assert {f.member for f in sent} == {board(object_id, h.CACHES)[0]}
        assert {f.source for f in sent} == {board(object_id, h.PARENTS)[0]}


def test_origin_fills_when_no_parent_is_up() -> None:
    made = h.router()
    gone = tuple(h.member(p, state=0) for p in h.PARENTS)
    assert h.fetches(made.handle(1.0, [h.delta(*gone), h.request(1)]))[0].source == h.ORIGIN


def test_failed_fill_holds_the_object_at_another_parent_for_a_while() -> None:
    made = h.router(allows_hedging=False)
    top = board(5, h.PARENTS)[0]
    first = h.fetches(made.handle(1.0, [h.request(1)]))[0]
    again = h.fetches(made.handle(50.0, [h.attempt_ended(first, i.Outcome.REJECTED)]))[0]
    assert again.source != top
    held = h.fetches(made.handle(100.0, [h.request(2, now=100.0)]))[0].source
    assert held != top
    after = 200.0 + SOURCE_OVERRIDE_MS
    assert h.fetches(made.handle(after, [h.request(3, now=after)]))[0].source == top


def test_keep_rank_is_lowest_first_and_falls_with_gap_times_size() -> None:
    made = h.router()
    ranks = []
    now = 0.0
    for n in range(40):
        now += 1000.0
        fetch = h.fetches(made.handle(now, [h.request(n, now=now)]))[0]
        ranks.append(fetch.retention_priority)
        made.handle(now, [h.attempt_ended(fetch, i.Outcome.OK, is_final=True)])
    assert ranks[0] == 1 and set(ranks[1:]) <= {2, 3}
    now += 100.0
    assert h.fetches(made.handle(now, [h.request(900, now=now)]))[0].retention_priority == 3
    now += 100000.0
    assert h.fetches(made.handle(now, [h.request(901, now=now)]))[0].retention_priority == 2


SAME = """
from tests import helpers as h
made = h.router()
print([made.handle(float(n), [h.request(n, n % 7, now=float(n), size_kb=9.0)]) for n in range(60)])
"""


def test_same_events_same_actions_under_any_hash_seed() -> None:
    outs = [
        subprocess.run(
            [sys.executable, "-c", SAME],
            env={**os.environ, "PYTHONHASHSEED": seed},
            capture_output=True,
            check=True,
        ).stdout
        for seed in ("1", "2")
    ]
    assert outs[0] == outs[1] and outs[0].count(b"Fetch") == 60


def test_a_member_of_four_times_the_size_gets_twice_the_objects_at_every_router() -> None:
    big = h.delta(h.member(h.CACHES[0], capacity=40.0), h.member(h.PARENTS[0], capacity=40.0))
    first: list[list[tuple[int, int]]] = []
    for seed in range(2):
        made = Router(h.settings(router_index=seed), seed)
        made.handle(0.0, [h.full_list(), big])
        first.append([])
        for n in range(1, 2001):
            fetch = h.fetches(made.handle(n * 1.0, [h.request(n, object_id=n, now=n * 1.0)]))[0]
            made.handle(n * 1.0, [h.attempt_ended(fetch, i.Outcome.OK, is_final=True)])
            first[-1].append((fetch.member, fetch.source))
    assert first[0] == first[1]
    caches = Counter(member for member, _ in first[0])
    parents = Counter(source for _, source in first[0])
    rest = sum(caches[m] for m in h.CACHES[1:]) / 3
    assert 1.6 < caches[h.CACHES[0]] / rest < 2.4
    assert 1.6 < parents[h.PARENTS[0]] / (sum(parents[p] for p in h.PARENTS[1:]) / 2) < 2.4
