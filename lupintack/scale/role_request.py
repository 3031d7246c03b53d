"""What one request costs the decision module, by the number of members that it knows.

One event is a request and the end of its one attempt, a hit. `cpu_us` is with all caches in the own location
and objects whose scores the module still has; `new_object_cpu_us` where they are worked out. The details have
the same with all but eight caches in other locations, and with as many parents as the size.
"""

from __future__ import annotations

from time import thread_time_ns

from lupintack import interface as i
from lupintack.decisions.router import Router
from lupintack.scale.slope import Parameters, Role, Sample, deep_bytes

LOCATIONS = 140  # sites of the fleet that is planned for
LOCAL_CACHES = 8  # caches of the own location where the others are elsewhere
FEW_PARENTS = 4
CACHE, PARENT, ORIGIN = 0, 1, 2  # kinds
OBJECTS = 500  # well under those whose scores are kept
NEW_OBJECTS = 1 << 40
PARTS = 9
REQUEST_INTERVAL_MS = 80.0  # between two requests
ANSWER_MS = 50.0
DEADLINE_MS = 5000.0
WARMUP_REQUESTS = 1000
REQUESTS = 500  # in one repeat
LIST_EVENTS = 20


class RequestTraffic:
    """One router and its requests, one after another."""

    def __init__(self, members: list[i.Member], seed: int) -> None:
        """A router that was told of these members."""
        self.members = members
        self.router = Router(settings(), seed)
        self.router.handle(0.0, [i.MemberList(i.ListKind.FULL, tuple(members))])
        self.now_ms = 1.0
        self.number = 0
        self.actions = 0

    def request(self, objects: int = OBJECTS) -> None:
        """One request, and the end of the attempt that it leads to."""
        self.now_ms += REQUEST_INTERVAL_MS
        self.number += 1
        object_id = self.number * 7919 % objects
        part = self.number % PARTS
        request = i.Request(self.number, 0, object_id, self.now_ms + DEADLINE_MS, part=part)
        actions = self.router.handle(self.now_ms, [request])
        self.actions += len(actions)
        for action in actions:
            if isinstance(action, i.Fetch):
                attempt_ended = i.AttemptEnded(
                    self.number,
                    0,
                    action.member,
                    i.Outcome.OK,
                    ANSWER_MS,
                    True,
                    i.CacheStatus.HIT,
                    0.0,
                    (0.4,),
                )
                self.router.handle(self.now_ms + ANSWER_MS, [attempt_ended])

    def list_event(self) -> None:
        """One member's line comes again."""
        self.number += 1
        member = self.members[self.number % len(self.members)]
        self.router.handle(self.now_ms, [i.MemberList(i.ListKind.DELTA, (member,))])


class RequestSubject:
    """The three routers of one size."""

    def __init__(self, parameters: Parameters) -> None:
        """A router with as many members as `parameters` has."""
        size, seed = parameters.size, parameters.seed
        self.own = RequestTraffic(members(size, size, FEW_PARENTS), seed)
        self.elsewhere = RequestTraffic(members(size, min(LOCAL_CACHES, size), FEW_PARENTS), seed)
        self.parents = RequestTraffic(members(min(LOCAL_CACHES, size), min(LOCAL_CACHES, size), size), seed)
        for traffic in (self.own, self.elsewhere, self.parents):
            for _ in range(WARMUP_REQUESTS):
                traffic.request()

    def step(self) -> None:
        """One request with all caches in the own location."""
        self.own.request()

    def sample(self) -> Sample:
        """One repeat."""
        before = self.own.actions
        own_us = request_cpu_us(self.own)
        actions = (self.own.actions - before) / REQUESTS
        details = {
            "new_object_cpu_us": request_cpu_us(self.own, NEW_OBJECTS),
            "elsewhere_cpu_us": request_cpu_us(self.elsewhere),
            "elsewhere_new_object_cpu_us": request_cpu_us(self.elsewhere, NEW_OBJECTS),
            "parents_cpu_us": request_cpu_us(self.parents),
            "parents_new_object_cpu_us": request_cpu_us(self.parents, NEW_OBJECTS),
            "list_event_cpu_us": list_event_cpu_us(self.own),
        }
        return Sample(own_us, messages=actions, details=details)

    def state_bytes(self) -> int:
        """Of the router with all caches in the own location."""
        return deep_bytes(self.own.router)

    def close(self) -> None:
        """Nothing is open."""


def request_cpu_us(traffic: RequestTraffic, objects: int = OBJECTS) -> float:
    """Processor time of one request, over a repeat; known objects are asked for once before."""
    for _ in range(OBJECTS if objects == OBJECTS else 0):
        traffic.request()
    began = thread_time_ns()
    for _ in range(REQUESTS):
        traffic.request(objects)
    return round((thread_time_ns() - began) / 1000 / REQUESTS, 3)


def list_event_cpu_us(traffic: RequestTraffic) -> float:
    """Processor time of one list event alone."""
    began = thread_time_ns()
    for _ in range(LIST_EVENTS):
        traffic.list_event()
    return round((thread_time_ns() - began) / 1000 / LIST_EVENTS, 3)


def members(caches: int, local_caches: int, parents: int) -> list[i.Member]:
    """Caches, the first `near` in the own location 0, then parents and the origin in one further location."""
    result = []
    for number in range(caches):
        location = 0 if number < local_caches else 1 + number % (LOCATIONS - 1)
        result.append(
            i.Member(10_000 + number, location, CACHE, 0, i.MemberState.READY, 4.0 + number % 2 * 3)
        )
    result += [i.Member(100 + n, LOCATIONS, PARENT, 0, i.MemberState.READY, 20.0) for n in range(parents)]
    result.append(i.Member(1, LOCATIONS, ORIGIN))
    return result


def settings() -> i.Settings:
    """Settings that allow second attempts, direct reads and cancelling."""
    cls = i.ServiceClass(
        name="a", latency_objective_ms=500.0, latency_objective_stretch=2.0, deadline_ms=DEADLINE_MS
    )
    return i.Settings(
        classes=(cls,),
        zone=0,
        router_count=40,
        routers_by_zone=(8,) * LOCATIONS,
        max_attempts=6,
        allows_hedging=True,
        allows_cancellation=True,
        max_retry_after_ms=1000.0,
        initial_capacity_share=0.3,
        slow_start_ms=15000.0,
        overload_multiple=2.0,
        parent_kind=PARENT,
        origin_kind=ORIGIN,
        parent_initial_capacity_share=0.07,
        parent_slow_start_ms=20000.0,
        parent_overload_multiple=2.0,
        allows_origin_direct=True,
        reports_fill_source="all",
        member_weights="rough",
        load_report_fields=("cpu_share",),
    )


ROLE = Role(
    name="request",
    per="request",
    size_is="members",
    make=RequestSubject,
    memory_bytes=lambda parameters: 30_000_000 + 60_000 * parameters.size,
)
