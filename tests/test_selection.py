"""Selection of caches and parents: rankings, overrides of fill sources and retention priorities."""

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


def ranking(object_id: int, members: tuple[int, ...]) -> list[int]:
    return sorted(members, key=lambda m: -score(object_id, m))


def test_requests_of_busy_cache_go_to_next_while_half_of_location_is_idle() -> None:
    """Guards against rejecting requests for a popular object beside idle caches, and against many fills."""
    router = h.router(coalesces_fills=False)
    sent = [h.fetches(router.handle(0.0, [h.request(n, 5, size_kb=3000.0)])) for n in range(80)]
    used = Counter(fetch[0].member for fetch in sent if fetch)
    first, second, *others = ranking(5, h.CACHES)
    assert set(used) == {first, second} and used[second] >= 8, used
    assert all(fetch[0].source in h.PARENTS for fetch in sent if fetch and fetch[0].member == second)
    for other in others:
        router.endpoints.by_id[other].load.change_in_flight(0.0, 60)
    last_actions = router.handle(0.0, [h.request(99, 5, size_kb=3000.0)])
    assert not [f for f in h.fetches(last_actions) if f.source in h.PARENTS]


def test_state_of_new_objects_and_members_is_bounded() -> None:
    """New objects and replaced members arrive continuously; the state kept for them must not grow."""
    router = h.router()
    for n in range(400):
        router.handle(n * 1000.0, [h.request(n, 1000 + n, now=n * 1000.0), h.delta(h.member(100 + n))])
        router.handle(n * 1000.0 + 1.0, [h.delta(h.member(100 + n, state=0)), i.ClientDisconnected(n)])
    assert len(router.popularity.last_requests) <= 62 and len(router.endpoints.by_id) == 8
    for candidates in router.endpoints.cache_ranking.cached_candidates.values():
        assert len(candidates.members) <= len(router.endpoints.caches) <= 9


def test_scores_and_rankings_match_recorded_values() -> None:
    assert score(5, 11) == 16751861280067734720
    assert [ranking(object_id, h.CACHES) for object_id in (1, 2, 3)] == [
        [11, 14, 12, 13],
        [12, 13, 11, 14],
        [13, 11, 12, 14],
    ]


def test_removal_moves_only_objects_of_removed_member() -> None:
    for object_id in range(500):
        before, after = ranking(object_id, h.CACHES), ranking(object_id, h.CACHES[:-1])
        assert [m for m in before if m != h.CACHES[-1]] == after


def test_objects_are_distributed_evenly() -> None:
    counts = Counter(ranking(object_id, h.CACHES)[0] for object_id in range(4000))
    assert all(900 < counts[m] < 1100 for m in h.CACHES)


def test_cache_and_parent_follow_ranking_for_all_parts() -> None:
    for object_id in range(1, 40):
        router = h.router()
        sent = [h.fetches(router.handle(1.0, [h.request(n, object_id, part=n)]))[0] for n in range(3)]
        assert {f.member for f in sent} == {ranking(object_id, h.CACHES)[0]}
        assert {f.source for f in sent} == {ranking(object_id, h.PARENTS)[0]}


def test_origin_fills_if_no_parent_is_ready() -> None:
    router = h.router()
    gone = tuple(h.member(p, state=0) for p in h.PARENTS)
    assert h.fetches(router.handle(1.0, [h.delta(*gone), h.request(1)]))[0].source == h.ORIGIN


def test_failed_fill_moves_object_to_another_parent_temporarily() -> None:
    router = h.router(allows_hedging=False)
    first_parent = ranking(5, h.PARENTS)[0]
    first = h.fetches(router.handle(1.0, [h.request(1)]))[0]
    again = h.fetches(router.handle(50.0, [h.attempt_ended(first, i.Outcome.REJECTED)]))[0]
    assert again.source != first_parent
    override_source = h.fetches(router.handle(100.0, [h.request(2, now=100.0)]))[0].source
    assert override_source != first_parent
    after = 200.0 + SOURCE_OVERRIDE_MS
    assert h.fetches(router.handle(after, [h.request(3, now=after)]))[0].source == first_parent


def test_retention_priority_is_lowest_at_first_and_falls_with_gap() -> None:
    router = h.router()
    ranks = []
    now = 0.0
    for n in range(40):
        now += 1000.0
        fetch = h.fetches(router.handle(now, [h.request(n, now=now)]))[0]
        ranks.append(fetch.retention_priority)
        router.handle(now, [h.attempt_ended(fetch, i.Outcome.OK, is_final=True)])
    assert ranks[0] == 1 and set(ranks[1:]) <= {2, 3}
    now += 100.0
    assert h.fetches(router.handle(now, [h.request(900, now=now)]))[0].retention_priority == 3
    now += 100000.0
    assert h.fetches(router.handle(now, [h.request(901, now=now)]))[0].retention_priority == 2


SCRIPT = """
from tests import helpers as h
router = h.router()
print([router.handle(float(n), [h.request(n, n % 7, now=float(n), size_kb=9.0)]) for n in range(60)])
"""


def test_actions_do_not_depend_on_hash_seed() -> None:
    outputs = [
        subprocess.run(
            [sys.executable, "-c", SCRIPT],
            env={**os.environ, "PYTHONHASHSEED": seed},
            capture_output=True,
            check=True,
        ).stdout
        for seed in ("1", "2")
    ]
    assert outputs[0] == outputs[1] and outputs[0].count(b"Fetch") == 60


def test_member_of_four_times_capacity_gets_twice_the_objects() -> None:
    larger_members = h.delta(h.member(h.CACHES[0], capacity=40.0), h.member(h.PARENTS[0], capacity=40.0))
    first: list[list[tuple[int, int]]] = []
    for seed in range(2):
        router = Router(h.settings(router_index=seed), seed)
        router.handle(0.0, [h.full_list(), larger_members])
        first.append([])
        for n in range(1, 2001):
            fetch = h.fetches(router.handle(n * 1.0, [h.request(n, object_id=n, now=n * 1.0)]))[0]
            router.handle(n * 1.0, [h.attempt_ended(fetch, i.Outcome.OK, is_final=True)])
            first[-1].append((fetch.member, fetch.source))
    assert first[0] == first[1]
    caches = Counter(member for member, _ in first[0])
    parents = Counter(source for _, source in first[0])
    mean_of_others = sum(caches[m] for m in h.CACHES[1:]) / 3
    assert 1.6 < caches[h.CACHES[0]] / mean_of_others < 2.4
    assert 1.6 < parents[h.PARENTS[0]] / (sum(parents[p] for p in h.PARENTS[1:]) / 2) < 2.4
