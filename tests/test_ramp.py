"""The budget of a cold member, summed over all routers that share it: kept in every window, and made use of.

One location of `routers` instances, whose traffic differs tenfold, hears of a member that has just started.
All that reaches the member counts: attempts there, fills named there, further tries. The rule's figure
follows from the settings: N calls of mean work in the span, and 2 x root of N + 2 put down to chance.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterator
from random import Random

import pytest

from lupintack import interface as i
from lupintack.decisions.router import Router
from tests import helpers as h

WORK_MS = 200.0  # of 1,000 KB at 5,000 KB/s
SIZE = 10.0
ANSWER_MS = 250.0
TICK_MS = 10.0


class Location:
    """`routers` instances in one zone before four caches and three parents; one answer by the table."""

    def __init__(self, routers: int, seed: int = 1, **changes: object) -> None:
        self.random = Random(seed)
        self.known = {
            "router_count": routers,
            "routers_by_zone": (routers, 0, 0),
            "reports_fill_source": "all",
        } | changes
        self.routers = [self.new(n) for n in range(routers)]
        self.now, self.number, self.owed = 0.0, 0, 0.0
        self.due: list[tuple[float, int, int, i.Event]] = []
        self.sent: list[tuple[float, i.Fetch, int]] = []
        self.refused = 0
        self.busy = [self.random.uniform(0.1, 1.0) for _ in range(routers)]
        self.down: set[int] = set()
        for n in range(routers):
            self.handle(n, h.full_list())

    def new(self, n: int, **changes: object) -> Router:
        told = {"router_index": n, "zone": 0} | self.known | changes
        return Router(h.settings(**told), self.random.randrange(1 << 30))

    def handle(self, n: int, *events: i.Event) -> None:
        for action in self.routers[n].handle(self.now, events):
            if isinstance(action, i.SetTimer):
                self.later(action.at_ms, n, i.TimerFired(action.token))
            elif isinstance(action, i.Reject):
                self.refused += 1
            elif isinstance(action, i.Fetch):
                self.sent.append((self.now, action, n))
                attempt = self.routers[n].requests[action.request].attempt_count - 1
                lost = action.member in self.down
                outcome = i.Outcome.CONNECT_FAILED if lost else i.Outcome.OK
                took, note = (5.0, i.CacheStatus.UNKNOWN) if lost else (ANSWER_MS, i.CacheStatus.FILLED)
                ended = h.attempt_ended(
                    action, outcome, attempt, elapsed_ms=took, is_final=not lost, cache_status=note
                )
                self.later(self.now + took, n, ended)

    def later(self, at: float, n: int, event: i.Event) -> None:
        self.number += 1
        heapq.heappush(self.due, (at, self.number, n, event))

    def tell(self, event: i.Event, within_ms: float = 0.0) -> None:
        """All hear it, each at its own time within so long."""
        for n in range(len(self.routers)):
            self.later(self.now + self.random.uniform(0.0, within_ms), n, event)

    def later_to_all(self, at: float, event: i.Event) -> None:
        for n in range(len(self.routers)):
            self.later(at, n, event)

    def run(self, for_ms: float, per_s: float, each: Callable[[], None] = lambda: None) -> None:
        """Requests for new objects, drawn by how busy the routers are; answers as they come due."""
        until = self.now + for_ms
        while self.now < until:
            self.now += TICK_MS
            each()
            while self.due and self.due[0][0] <= self.now:
                _, _, n, event = heapq.heappop(self.due)
                self.handle(n, event)
            self.owed += per_s * TICK_MS / 1000.0
            while self.owed >= 1.0:
                self.owed -= 1.0
                self.number += 1
                n = self.random.choices(range(len(self.routers)), self.busy)[0]
                self.handle(n, h.request(self.number, self.number, h.SAFE, self.now, size_kb=1000.0))

    def to(self, id_: int) -> list[float]:
        return [at for at, f, _ in self.sent if id_ in (f.member, f.source)]

    def restart(self, n: int, news: i.Event) -> None:
        """Another process under that name: it knows the list, and nothing else."""
        self.routers[n] = self.new(n)
        self.due = [one for one in self.due if one[2] != n]
        heapq.heapify(self.due)
        self.handle(n, h.full_list(), news)

    def upgrade(self, n: int, news: i.Event) -> None:
        """A second process beside it: each is told that they share the budget."""
        router = self.new(n, process_count=2)
        self.routers[n].apply_settings(router.settings)
        self.routers.append(router)
        self.busy.append(self.busy[n])
        self.handle(len(self.routers) - 1, h.full_list(), news)


def worst(times: list[float], span: float, calls: Callable[[float], float]) -> float:
    """The fullest window as a part of its limit: N calls, and what is put down to chance."""
    found, first = 0.0, 0
    for last in range(len(times)):
        while times[first] <= times[last] - span:
            first += 1
        n = calls(times[first])
        found = max(found, (last - first + 1) / (n + 2.0 * math.sqrt(n) + 2.0))
    return found


def nothing(play: Location, news: i.Event) -> Iterator[None]:
    """Nothing else happens."""
    while True:
        yield


def restarts(play: Location, news: i.Event) -> Iterator[None]:
    """Three in ten are restarted amid the ramp, one after another."""
    for n in range(max(1, len(play.routers) * 3 // 10)):
        for _ in range(20):
            yield
        play.restart(n, news)
    yield from nothing(play, news)


def upgrades(play: Location, news: i.Event) -> Iterator[None]:
    """Every third has two processes from early on."""
    for _ in range(50):
        yield
    for n in range(0, len(play.routers), 3):
        play.upgrade(n, news)
    yield from nothing(play, news)


COUNTS = [3, 20, 30, 200]
STORIES = {"quiet": (nothing, 0.0), "told late": (nothing, 2_000.0), "restarts": (restarts, 0.0),
           "upgrades": (upgrades, 0.0)}  # fmt: skip


@pytest.mark.parametrize("story", STORIES)
@pytest.mark.parametrize("kind", ["cache", "parent"])
@pytest.mark.parametrize("routers", COUNTS)
def test_all_routers_keep_slow_start_budget_and_use_it(routers: int, kind: str, story: str) -> None:
    play = Location(routers)
    known = play.routers[0].settings
    play.run(500.0, 200.0)
    born = play.now
    if kind == "cache":
        new = i.Member(15, 0, 0, 1, i.MemberState.READY, SIZE, born)
        cold, ramp, multiple = known.initial_capacity_share, known.slow_start_ms, known.overload_multiple
    else:
        new = i.Member(24, 2, 1, 0, i.MemberState.READY, SIZE, born)
        cold, ramp, multiple = (
            known.parent_initial_capacity_share,
            known.parent_slow_start_ms,
            known.parent_overload_multiple,
        )

    def calls(at: float) -> float:
        """N at a moment: calls of mean work in the span that the settings allow the member."""
        warm = cold + (1.0 - cold) * min(1.0, (at - born) / ramp)
        return multiple * SIZE * warm * known.overload_window_ms / WORK_MS

    events, within = STORIES[story]
    step = events(play, h.delta(new))
    play.tell(h.delta(new), within)
    play.run(ramp * 0.6, 400.0, lambda: next(step))
    sent = play.to(new.id)
    fullest = worst(sent, known.overload_window_ms, calls)
    early = [at for at in sent if at < born + ramp * 0.2]  # the coldest part of the ramp
    whole = sum(calls(born + n * 100.0) * 100.0 / known.overload_window_ms for n in range(int(ramp * 0.002)))
    print(f"{kind}, {routers}, {story}: {fullest:.2f} of the limit, {len(early) / whole:.2f} of N early")
    assert fullest <= 1.0
    assert len(early) >= LEAST * whole, "nought, or next to it"


LEAST = 0.03  # of N: with 200 routers each asks for this member once in some seconds


@pytest.mark.parametrize("routers", COUNTS)
def test_cache_that_recovers_before_list_event_is_not_overloaded(routers: int) -> None:
    """Refused connections say that it will be a cold one; the list tells of its start a second after that.

    N counts from its return. A router that has not asked meanwhile knows nothing of it before the list tells;
    the rule counts those that had been told.
    """
    play = Location(routers)
    known = play.routers[0].settings
    one = h.CACHES[0]
    play.run(3_000.0, 200.0)
    play.down.add(one)
    play.run(3_000.0, 200.0)
    play.down.discard(one)
    back = play.now
    play.later_to_all(back + 1_000.0, h.delta(i.Member(one, 0, 0, one % 2, i.MemberState.READY, SIZE, back)))
    play.run(known.slow_start_ms * 0.4, 400.0)

    def calls(at: float) -> float:
        warm = known.initial_capacity_share + (1.0 - known.initial_capacity_share) * min(
            1.0, (at - back) / known.slow_start_ms
        )
        return known.overload_multiple * SIZE * warm * known.overload_window_ms / WORK_MS

    told = [at for at in play.to(one) if at >= back + 1_000.0]
    assert worst(told, known.overload_window_ms, calls) <= 1.0
    assert told, "never used again"
    untold = [at for at in play.to(one) if back <= at < back + 1_000.0]
    fullest = worst(told, known.overload_window_ms, calls)
    print(f"{routers}: {fullest:.2f} of the limit, {len(untold)} calls before it is told")
