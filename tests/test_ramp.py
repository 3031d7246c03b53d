"""The slow-start budget of a member, summed over all routers that share it: kept in every window, and used.

A location of `routers` routers, whose request rates differ tenfold, receives the start of a new member. All
requests that may reach the member count: attempts, retries, and attempts with it as the fill source. The
limit follows from the settings: N calls of mean transfer time per window, plus 2 x sqrt(N) + 2 for random
variation.
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

TRANSFER_MS = 200.0  # of 1,000 KB at 5,000 KB/s
CAPACITY = 10.0
ANSWER_MS = 250.0
TICK_MS = 10.0


class Location:
    """`routers` routers in one zone with four caches and three parents; all members that are up answer."""

    def __init__(self, routers: int, seed: int = 1, **changes: object) -> None:
        self.random = Random(seed)
        self.setting_values = {
            "router_count": routers,
            "routers_by_zone": (routers, 0, 0),
            "reports_fill_source": "all",
        } | changes
        self.routers = [self.new_router(n) for n in range(routers)]
        self.now, self.number, self.pending_requests = 0.0, 0, 0.0
        self.queue: list[tuple[float, int, int, i.Event]] = []
        self.sent: list[tuple[float, i.Fetch, int]] = []
        self.rejected_count = 0
        self.loads = [self.random.uniform(0.1, 1.0) for _ in range(routers)]
        self.down_members: set[int] = set()
        for n in range(routers):
            self.handle(n, h.full_list())

    def new_router(self, n: int, **changes: object) -> Router:
        values = {"router_index": n, "zone": 0} | self.setting_values | changes
        return Router(h.settings(**values), self.random.randrange(1 << 30))

    def handle(self, n: int, *events: i.Event) -> None:
        for action in self.routers[n].handle(self.now, events):
            if isinstance(action, i.SetTimer):
                self.schedule(action.at_ms, n, i.TimerFired(action.token))
            elif isinstance(action, i.Reject):
                self.rejected_count += 1
            elif isinstance(action, i.Fetch):
                self.sent.append((self.now, action, n))
                attempt = self.routers[n].requests[action.request].attempt_count - 1
                lost = action.member in self.down_members
                outcome = i.Outcome.CONNECT_FAILED if lost else i.Outcome.OK
                elapsed_ms, cache_status = (
                    (5.0, i.CacheStatus.UNKNOWN) if lost else (ANSWER_MS, i.CacheStatus.FILLED)
                )
                ended = h.attempt_ended(
                    action,
                    outcome,
                    attempt,
                    elapsed_ms=elapsed_ms,
                    is_final=not lost,
                    cache_status=cache_status,
                )
                self.schedule(self.now + elapsed_ms, n, ended)

    def schedule(self, at: float, n: int, event: i.Event) -> None:
        self.number += 1
        heapq.heappush(self.queue, (at, self.number, n, event))

    def broadcast(self, event: i.Event, within_ms: float = 0.0) -> None:
        """Pass an event to all routers, each at a random time within `within_ms`."""
        for n in range(len(self.routers)):
            self.schedule(self.now + self.random.uniform(0.0, within_ms), n, event)

    def schedule_for_all(self, at: float, event: i.Event) -> None:
        for n in range(len(self.routers)):
            self.schedule(at, n, event)

    def run(
        self, duration_ms: float, requests_per_s: float, before_tick: Callable[[], None] = lambda: None
    ) -> None:
        """Send requests for new objects, to routers at random by their loads, and handle due events."""
        until = self.now + duration_ms
        while self.now < until:
            self.now += TICK_MS
            before_tick()
            while self.queue and self.queue[0][0] <= self.now:
                _, _, n, event = heapq.heappop(self.queue)
                self.handle(n, event)
            self.pending_requests += requests_per_s * TICK_MS / 1000.0
            while self.pending_requests >= 1.0:
                self.pending_requests -= 1.0
                self.number += 1
                n = self.random.choices(range(len(self.routers)), self.loads)[0]
                self.handle(n, h.request(self.number, self.number, h.SAFE, self.now, size_kb=1000.0))

    def times_sent_to(self, id_: int) -> list[float]:
        return [at for at, f, _ in self.sent if id_ in (f.member, f.source)]

    def restart(self, n: int, event: i.Event) -> None:
        """Replace a router by a new process that has only the member list and `event`."""
        self.routers[n] = self.new_router(n)
        self.queue = [entry for entry in self.queue if entry[2] != n]
        heapq.heapify(self.queue)
        self.handle(n, h.full_list(), event)

    def upgrade(self, n: int, event: i.Event) -> None:
        """Start a second process of a router; both share the budget."""
        router = self.new_router(n, process_count=2)
        self.routers[n].apply_settings(router.settings)
        self.routers.append(router)
        self.loads.append(self.loads[n])
        self.handle(len(self.routers) - 1, h.full_list(), event)


def max_window_ratio(times: list[float], window_ms: float, max_calls: Callable[[float], float]) -> float:
    """Return the highest count in any window as a share of its limit: N calls plus random variation."""
    highest, first = 0.0, 0
    for last in range(len(times)):
        while times[first] <= times[last] - window_ms:
            first += 1
        n = max_calls(times[first])
        highest = max(highest, (last - first + 1) / (n + 2.0 * math.sqrt(n) + 2.0))
    return highest


def no_disturbance(location: Location, event: i.Event) -> Iterator[None]:
    """Do nothing."""
    while True:
        yield


def restarts(location: Location, event: i.Event) -> Iterator[None]:
    """Restart 30% of the routers during the ramp, one after another."""
    for n in range(max(1, len(location.routers) * 3 // 10)):
        for _ in range(20):
            yield
        location.restart(n, event)
    yield from no_disturbance(location, event)


def upgrades(location: Location, event: i.Event) -> Iterator[None]:
    """Upgrade every third router early in the ramp; both of its processes keep running."""
    for _ in range(50):
        yield
    for n in range(0, len(location.routers), 3):
        location.upgrade(n, event)
    yield from no_disturbance(location, event)


ROUTER_COUNTS = [3, 20, 30, 200]
SCENARIOS = {
    "undisturbed": (no_disturbance, 0.0),
    "delayed events": (no_disturbance, 2_000.0),
    "restarts": (restarts, 0.0),
    "upgrades": (upgrades, 0.0),
}


@pytest.mark.parametrize("scenario", SCENARIOS)
@pytest.mark.parametrize("kind", ["cache", "parent"])
@pytest.mark.parametrize("routers", ROUTER_COUNTS)
def test_all_routers_keep_slow_start_budget_and_use_it(routers: int, kind: str, scenario: str) -> None:
    location = Location(routers)
    settings = location.routers[0].settings
    location.run(500.0, 200.0)
    started_ms = location.now
    if kind == "cache":
        new_member = i.Member(15, 0, 0, 1, i.MemberState.READY, CAPACITY, started_ms)
        initial_share, ramp_ms, multiple = (
            settings.initial_capacity_share,
            settings.slow_start_ms,
            settings.overload_multiple,
        )
    else:
        new_member = i.Member(24, 2, 1, 0, i.MemberState.READY, CAPACITY, started_ms)
        initial_share, ramp_ms, multiple = (
            settings.parent_initial_capacity_share,
            settings.parent_slow_start_ms,
            settings.parent_overload_multiple,
        )

    def max_calls(at: float) -> float:
        """Return N at a time: calls of mean transfer time that the settings allow in a window."""
        capacity_share = initial_share + (1.0 - initial_share) * min(1.0, (at - started_ms) / ramp_ms)
        return multiple * CAPACITY * capacity_share * settings.overload_window_ms / TRANSFER_MS

    events, max_delay_ms = SCENARIOS[scenario]
    step = events(location, h.delta(new_member))
    location.broadcast(h.delta(new_member), max_delay_ms)
    location.run(ramp_ms * 0.6, 400.0, lambda: next(step))
    sent = location.times_sent_to(new_member.id)
    fullest = max_window_ratio(sent, settings.overload_window_ms, max_calls)
    early_times = [at for at in sent if at < started_ms + ramp_ms * 0.2]  # first fifth of the ramp
    total_calls = sum(
        max_calls(started_ms + n * 100.0) * 100.0 / settings.overload_window_ms
        for n in range(int(ramp_ms * 0.002))
    )
    print(
        f"{kind}, {routers}, {scenario}: {fullest:.2f} of the limit, "
        f"{len(early_times) / total_calls:.2f} of N early"
    )
    assert fullest <= 1.0
    assert len(early_times) >= MIN_SHARE * total_calls, "almost unused"


MIN_SHARE = 0.03  # of N: with 200 routers, each needs this member only every few seconds


@pytest.mark.parametrize("routers", ROUTER_COUNTS)
def test_cache_that_recovers_before_list_event_is_not_overloaded(routers: int) -> None:
    """Refused connections precede the list event, which follows a second after the recovery.

    N counts from the recovery. A router without requests in the meantime learns of the restart only from the
    list event, so only calls after the event are checked.
    """
    location = Location(routers)
    settings = location.routers[0].settings
    member_id = h.CACHES[0]
    location.run(3_000.0, 200.0)
    location.down_members.add(member_id)
    location.run(3_000.0, 200.0)
    location.down_members.discard(member_id)
    recovered_ms = location.now
    location.schedule_for_all(
        recovered_ms + 1_000.0,
        h.delta(i.Member(member_id, 0, 0, member_id % 2, i.MemberState.READY, CAPACITY, recovered_ms)),
    )
    location.run(settings.slow_start_ms * 0.4, 400.0)

    def max_calls(at: float) -> float:
        capacity_share = settings.initial_capacity_share + (1.0 - settings.initial_capacity_share) * min(
            1.0, (at - recovered_ms) / settings.slow_start_ms
        )
        return (
            settings.overload_multiple * CAPACITY * capacity_share * settings.overload_window_ms / TRANSFER_MS
        )

    after_event = [at for at in location.times_sent_to(member_id) if at >= recovered_ms + 1_000.0]
    assert max_window_ratio(after_event, settings.overload_window_ms, max_calls) <= 1.0
    assert after_event, "never used again"
    before_event = [
        at for at in location.times_sent_to(member_id) if recovered_ms <= at < recovered_ms + 1_000.0
    ]
    fullest = max_window_ratio(after_event, settings.overload_window_ms, max_calls)
    print(f"{routers}: {fullest:.2f} of the limit, {len(before_event)} calls before the list event")
