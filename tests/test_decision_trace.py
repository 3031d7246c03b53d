"""Seeded event sequences in several deployments, checked by one hash of all returned actions."""

from __future__ import annotations

import dataclasses
import hashlib
import heapq
import typing
from random import Random
from typing import Any

from lupintack import interface as i
from lupintack.decisions.router import Router

EXPECTED = "dd71f21c2a3ab510"
STEPS = 1500
CACHES = tuple(range(11, 19))
PARENTS = tuple(range(21, 25))
ORIGINS = (31, 32)
ACTION_TYPES = typing.get_args(i.Action)
SAFE, FRESH, KEYED, WRITE, KEYED_ALL = range(5)


def service_classes() -> tuple[i.ServiceClass, ...]:
    """Classes of each kind of idempotency, one with a freshness lifetime, one of writes.

    Fields are positional because the expected hash was computed with a version whose fields had other names.
    """
    safe, keyed, unsafe = (i.Idempotency(n) for n in range(3))
    return (
        i.ServiceClass("safe", 500.0, 2.0, 5000.0, 1.0, 0.0, safe),
        i.ServiceClass("fresh", 400.0, 1.0, 4000.0, 2.0, 0.5, safe, "all", 0.0, True, 8000.0, 10000.0, 0.5),
        i.ServiceClass("keyed", 500.0, 0.0, 3000.0, 1.0, 0.0, keyed, "cell", 1000.0),
        i.ServiceClass("write", 600.0, 0.0, 3000.0, 1.0, 0.0, unsafe, "all", 0.0, False, 0.0, 0.0, 1.0, True),
        i.ServiceClass("keyed all", 500.0, 0.0, 3000.0, 1.0, 0.0, keyed, "all", 2000.0),
    )


def deployments() -> list[i.Settings]:
    """Settings of deployments that differ in allowed features and in reports."""
    return [
        deployment(True, True, True, "hit", False),
        deployment(True, True, True, "all", True, local_cache=True),
        deployment(False, True, False, "none", True),
        deployment(False, False, False, "all", False),
        deployment(True, False, True, "all", True, leases=(0.25, 0.5, 4)),
    ]


def deployment(
    hedging: bool,
    cancellation: bool,
    coalescing: bool,
    fill_reports: str,
    origin_direct: bool,
    local_cache: bool = False,
    leases: tuple[float, float, int] = (-1.0, -1.0, -1),
) -> i.Settings:
    """One deployment; fields are positional, in the order of `Settings`."""
    values: tuple[Any, ...] = (
        *(service_classes(), 1, 0, 5, (3, 2, 0)),
        *(5, hedging, cancellation, 1000.0, 20000, True, 0.0, 250.0, 8.0),
        *(0.15, 6000.0, 3.0, 1500.0, 1, *leases),
        *(1, 2, 0.08, 7000.0, 2.0, 500.0, 6000.0),
        *(coalescing, fill_reports, origin_direct, "rough", 5000.0, ("queue", "cpu_share"), local_cache),
    )
    return i.Settings(*values)


class Simulation:
    """One router and its members, with seeded faults; turns actions into later events."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.random = Random(seed)
        self.settings = settings
        self.router = Router(settings, seed)
        self.now = 0.0
        self.last_id = 0
        self.queue: list[tuple[float, int, i.Event]] = []
        self.sequence = 0
        self.open_attempts: set[tuple[int, int]] = set()
        self.attempts: dict[int, int] = {}
        self.faults: dict[int, str] = {}
        self.digest = hashlib.sha256()
        self.counts = dict.fromkeys(range(len(ACTION_TYPES)), 0)

    def schedule(self, delay: float, event: i.Event) -> None:
        """Queue an event; events at the same time keep their order."""
        self.sequence += 1
        heapq.heappush(self.queue, (self.now + delay, self.sequence, event))

    def member(self, id_: int, state: int = 1, started: float = 0.0) -> i.Member:
        """An entry of the endpoint list, by the range of the id."""
        kind = 0 if id_ < 20 else 1 if id_ < 30 else 2
        zone = id_ // 17 if kind == 0 else 2
        capacity = (4.0, 9.0, 10.0)[id_ % 3]
        return i.Member(id_, zone, kind, id_ % 2, i.MemberState(state), capacity, started)

    def handle(self, events: list[i.Event]) -> None:
        """Pass events to the router, add its actions to the hash, and queue the resulting events."""
        for action in self.router.handle(self.now, events):
            kind = ACTION_TYPES.index(type(action))
            self.counts[kind] += 1
            self.digest.update(repr((kind, dataclasses.astuple(action))).encode())
            if isinstance(action, i.SetTimer):
                self.schedule(max(0.0, action.at_ms - self.now), i.TimerFired(action.token))
            elif isinstance(action, i.Fetch):
                self.start(*dataclasses.astuple(action)[:3])
            elif isinstance(action, i.Cancel):
                self.schedule(1.0, self.ended(action.request, action.attempt, 0, 6, 1.0))

    def ended(
        self, request: int, attempt: int, member: int, outcome: int, elapsed: float, status: int = 0
    ) -> i.AttemptEnded:
        """The end of an attempt; a success is final."""
        final = outcome == 0
        load = (3.0, self.random.choice([0.2, 0.5, 0.7, 0.95])) if self.random.random() < 0.7 else ()
        wait = elapsed * self.random.random()
        end = i.Outcome(outcome)
        return i.AttemptEnded(
            request, attempt, member, end, elapsed, final, i.CacheStatus(status), wait, load
        )

    def start(self, request: int, member: int, source: int) -> None:
        """Choose the outcome of an attempt at random and queue its end."""
        attempt = self.attempts[request] = self.attempts.get(request, -1) + 1
        self.open_attempts.add((request, attempt))
        fault = self.faults.get(member) or (self.faults.get(source) if self.random.random() < 0.7 else "")
        elapsed = 30.0 + 400.0 * self.random.random()
        if not fault:
            status = self.random.choice([1, 1, 1, 2, 3, 4, 5, 0])
            outcome = self.random.choice([0] * 12 + [1, 2, 8])
        else:
            outcome = {"hung": 3, "errors": 1, "refuses": 2, "down": 4, "resets": 5, "slow": 0}[fault]
            status = self.random.choice([6, 7, 9, 10, 0]) if outcome in (1, 2) else 0
            elapsed = {"hung": 3000.0, "slow": 1500.0}.get(fault, elapsed / 10)
        self.schedule(elapsed, self.ended(request, attempt, member, outcome, elapsed, status))

    def step(self) -> None:
        """Advance the time; handle due events, new requests and occasional changes."""
        self.now += self.random.choice([1.0, 10.0, 20.0, 40.0, 90.0])
        events: list[i.Event] = []
        while self.queue and self.queue[0][0] <= self.now:
            event = heapq.heappop(self.queue)[2]
            if isinstance(event, i.AttemptEnded):
                key = (event.request, event.attempt)
                if key not in self.open_attempts:
                    continue
                self.open_attempts.discard(key)
            events.append(event)
        events += [self.request() for _ in range(self.random.choice([0, 1, 1, 1, 2, 6]))]
        if self.random.random() < 0.05:
            events.append(self.change())
        if self.random.random() < 0.03 and self.open_attempts:
            request, attempt = self.random.choice(sorted(self.open_attempts))
            choices: list[i.Event] = [i.ClientDisconnected(request), i.AttemptStarted(request, attempt, 0)]
            events.append(self.random.choice(choices))
        self.handle(events)

    def request(self) -> i.Request:
        """A request of any class; some have no size, an earlier attempt or a local copy."""
        self.last_id += 1
        random = self.random
        cls = random.choice([SAFE, SAFE, SAFE, FRESH, FRESH, KEYED, WRITE, KEYED_ALL])
        object_id = int(random.paretovariate(0.6)) % 400 + 1
        size = random.choice([0.0, 40.0, 300.0, 1500.0, 4000.0])
        deadline = self.now + random.choice([900.0, 3000.0, 5000.0])
        local = (random.choice([100.0, 5000.0, 9000.0]), random.choice([0.0, 300.0]))
        has_copy = self.settings.has_local_cache and random.random() < 0.3
        earlier = (self.now - 300.0, random.choice([11, 12, 99])) if random.random() < 0.1 else (0.0, 0)
        return i.Request(
            *(self.last_id, cls, object_id, deadline, size, object_id % 5, random.randrange(2), 0, False),
            *(cls == WRITE, *(local if has_copy else (-1.0, 0.0)), *earlier),
        )

    def change(self) -> i.Event:
        """Start or end a fault, or return a list event or a purge."""
        kind = self.random.randrange(8)
        member = self.random.choice((*CACHES, *PARENTS, *ORIGINS))
        if kind < 2:
            self.faults[member] = self.random.choice(["hung", "errors", "refuses", "down", "resets", "slow"])
        elif kind < 4:
            self.faults.clear()
        elif kind == 4:
            return i.MemberList(
                i.ListKind(1), (self.member(member, self.random.choice([0, 1, 1, 2]), self.now),)
            )
        elif kind == 5:
            full_members = tuple(self.member(id_) for id_ in (*CACHES, *PARENTS, *ORIGINS))
            return i.MemberList(i.ListKind(self.random.choice([0, 0, 2, 3])), full_members)
        return i.Purged(self.random.choice([0, 1, 2, 3]), self.random.randrange(5), 200.0)

    def run(self) -> None:
        """Run all steps; halfway the settings change as in a reload."""
        full_members = tuple(self.member(id_) for id_ in (*CACHES, *PARENTS, *ORIGINS))
        self.handle([i.MemberList(i.ListKind(0), full_members)])
        for step in range(STEPS):
            if step == STEPS // 2:
                self.router.apply_settings(deployments()[0])
            elif step == STEPS * 3 // 4:
                self.router.settings = self.settings
            self.step()


def test_same_events_lead_to_recorded_actions() -> None:
    total_digest = hashlib.sha256()
    counts = dict.fromkeys(range(len(ACTION_TYPES)), 0)
    for settings in deployments():
        for seed in (1, 2):
            simulation = Simulation(settings, seed)
            simulation.run()
            total_digest.update(simulation.digest.digest())
            for kind, count in simulation.counts.items():
                counts[kind] += count
    assert all(counts.values()), counts  # every type of action occurs
    assert total_digest.hexdigest()[:16] == EXPECTED
