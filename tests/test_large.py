"""Large requests: the decisions answer them like others of their class, and the core counts them by size."""

from __future__ import annotations

import heapq
import math
from random import Random

import pytest

from lupintack import interface as i
from lupintack.decisions.router import Router
from lupintack.limits.size_buckets import SizeBucket, SizeBuckets
from lupintack.standins import deployment
from tests import helpers as h
from tests.scenario import Scenario

CLASS = i.ServiceClass(
    name="a", latency_objective_ms=600.0, latency_objective_stretch=2.0, deadline_ms=5000.0
)
MEAN_KB, SIGMA, KB_PER_MS = 1500.0, 1.2, 5.0
FULL_SPEED_TRANSFERS = 10  # transfers that a cache sends at full rate; more of them share it
STEP_MS = 10.0


def simulate(load: float, sizes_known: bool, for_ms: float = 25_000.0) -> list[tuple[float, bool]]:
    """Return the size of each request and whether it was answered, at `load` times the caches' capacity."""
    random, results, number, arrivals_due, now = Random(1), list[tuple[float, bool]](), 0, 0.0, 0.0
    router = Router(h.settings(classes=(CLASS,), router_count=1, routers_by_zone=(1, 0, 0)), 7)
    router.handle(now, [h.full_list()])
    timers: list[tuple[float, int]] = []
    sizes: dict[int, float] = {}
    started_ms: dict[int, float] = {}
    open_attempts: dict[tuple[int, int], list[float]] = {}  # member, remaining KB, start time

    def perform(actions: list[i.Action]) -> None:
        for action in actions:
            if isinstance(action, i.SetTimer):
                heapq.heappush(timers, (action.at_ms, action.token))
            elif isinstance(action, i.Fetch):
                attempt_number = router.requests[action.request].attempt_count - 1
                open_attempts[action.request, attempt_number] = [action.member, sizes[action.request], now]
            elif isinstance(action, i.Cancel):
                open_attempts.pop((action.request, action.attempt), None)
            elif isinstance(action, (i.Reject, i.Fail)):
                results.append((sizes[action.request], False))

    def end(key: tuple[int, int], outcome: i.Outcome) -> None:
        member, _, sent = open_attempts.pop(key)
        is_answered = outcome is i.Outcome.OK
        if is_answered:
            results.append((sizes[key[0]], True))
        cache_status = i.CacheStatus.HIT if is_answered else i.CacheStatus.UNKNOWN
        perform(
            list(
                router.handle(
                    now, [i.AttemptEnded(*key, int(member), outcome, now - sent, is_answered, cache_status)]
                )
            )
        )

    while now < for_ms:
        now += STEP_MS
        members = [attempt[0] for attempt in open_attempts.values()]
        for attempt in open_attempts.values():
            attempt[1] -= KB_PER_MS * STEP_MS * min(1.0, FULL_SPEED_TRANSFERS / members.count(attempt[0]))
        for key, attempt in list(open_attempts.items()):
            if attempt[1] <= 0.0:
                end(key, i.Outcome.OK)
            elif now >= started_ms[key[0]] + CLASS.deadline_ms:
                end(key, i.Outcome.TIMEOUT)
        while timers and timers[0][0] <= now:
            perform(list(router.handle(now, [i.TimerFired(heapq.heappop(timers)[1])])))
        arrivals_due += load * len(h.CACHES) * FULL_SPEED_TRANSFERS * KB_PER_MS / MEAN_KB * STEP_MS
        while arrivals_due >= 1.0:
            arrivals_due, number = arrivals_due - 1.0, number + 1
            size = sizes[number] = math.exp(random.gauss(math.log(MEAN_KB) - SIGMA**2 / 2, SIGMA))
            started_ms[number] = now
            request = i.Request(
                number, 0, random.randrange(1, 400), now + CLASS.deadline_ms, size if sizes_known else 0.0
            )
            perform(list(router.handle(now, [request])))
    return sorted(results)


@pytest.mark.parametrize("sizes_known", [True, False])
@pytest.mark.parametrize(("load", "min_ratio"), [(0.5, 2 / 3), (0.8, 2 / 3), (1.1, 1 / 2)])
def test_largest_requests_are_answered_in_the_required_share(
    load: float, min_ratio: float, sizes_known: bool
) -> None:
    """At least two thirds of the class's answered share below capacity, at least half above it."""
    results = simulate(load, sizes_known)
    shares = []
    for group in (
        results,
        results[len(results) * 9 // 10 :],
        results[len(results) * 7 // 10 : len(results) * 9 // 10],
    ):
        shares.append(sum(answered for _, answered in group) / len(group))
    print(
        f"load {load}, sizes_known {sizes_known}: all, largest tenth, next fifth:",
        *(f"{share:.2f}" for share in shares),
    )
    assert min(shares[1:]) >= min_ratio * shares[0]


def test_size_buckets_follow_the_sizes_of_each_class() -> None:
    random, buckets = Random(3), SizeBuckets()
    counts = dict.fromkeys(SizeBucket, 0)
    for n in range(6000):
        bucket = buckets.classify("a", random.lognormvariate(7.0, 1.0))
        buckets.classify("b", 1.0)
        if n >= 1000:
            counts[bucket] += 1
    assert 0.07 < counts[SizeBucket.LARGEST] / 5000 < 0.13 and 0.16 < counts[SizeBucket.LARGE] / 5000 < 0.24
    assert buckets.classify("b", 2.0) is SizeBucket.LARGEST
    for n in range(1000):
        buckets.classify(f"c{n}", 1.0)
    assert len(buckets.log_quantiles) <= 64


def test_answers_are_counted_by_size_if_the_client_sends_sizes() -> None:
    scenario = Scenario(settings=deployment.SECOND_SETTINGS)
    target = "/ops/media/00000000000000ae"
    scenario.run(f"""
        client a send GET {target} Req-Kb:100
        cache expect w
        cache send w ok - bytes
        client a expect 200
        client a send GET {target}?nth=1 Req-Kb:4000
        cache expect w
        cache send w ok - bytes
        client a expect 200
        client a send GET {target}?nth=2
        cache expect w
        cache send w ok - bytes
        client a expect 200
    """)
    counts = {k: v for k, v in scenario.node.core.counters.items() if k.startswith("size.")}
    assert counts == {"size.rest.answered.served": 1, "size.largest.answered.served": 1}
