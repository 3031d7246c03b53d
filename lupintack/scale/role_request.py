"""Cost of a request to the decision module, by number of members.

One event is a request and the end of its only attempt, a hit. `cpu_us` is with all caches in the own location
and objects whose scores are cached; `new_object_cpu_us` with objects whose scores are computed. The details
have both with all but eight caches in other locations, and with as many parents as the size.
"""

from __future__ import annotations

from time import thread_time_ns

from lupintack import interface as i
from lupintack.decisions.router import Router
from lupintack.scale.slope import Parameters, Role, Sample, deep_bytes

LOCATIONS = 140  # number of sites of the planned fleet
LOCAL_CACHES = 8  # caches in the own location when the others are in other locations
FEW_PARENTS = 4
CACHE, PARENT, ORIGIN = 0, 1, 2  # kinds
OBJECTS = 500  # well below the number of objects whose scores are cached
NEW_OBJECTS = 1 << 40
PARTS = 9
REQUEST_INTERVAL_MS = 80.0  # between two requests
ANSWER_MS = 50.0
DEADLINE_MS = 5000.0
WARMUP_REQUESTS = 1000
REQUESTS = 500  # in one repeat
LIST_EVENTS = 20


class RequestTraffic:
    """A router and a sequence of requests to it."""

    def __init__(self, members: list[i.Member], seed: int) -> None:
        """Create a router with these members."""
        self.members = members
        self.router = Router(settings(), seed)
        self.router.handle(0.0, [i.MemberList(i.ListKind.FULL, tuple(members))])
        self.now_ms = 1.0
        self.number = 0
        self.actions = 0

    def request(self, objects: int = OBJECTS) -> None:
        """Handle one request, and the end of its attempt."""
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
        """Handle a list event that repeats one member."""
        self.number += 1
        member = self.members[self.number % len(self.members)]
        self.router.handle(self.now_ms, [i.MemberList(i.ListKind.DELTA, (member,))])


class RequestSubject:
    """Three routers of one size: caches local, caches elsewhere, many parents."""

    def __init__(self, parameters: Parameters) -> None:
        """Create the routers and send their warm-up requests."""
        size, seed = parameters.size, parameters.seed
        self.own = RequestTraffic(members(size, size, FEW_PARENTS), seed)
        self.elsewhere = RequestTraffic(members(size, min(LOCAL_CACHES, size), FEW_PARENTS), seed)
        self.parents = RequestTraffic(members(min(LOCAL_CACHES, size), min(LOCAL_CACHES, size), size), seed)
        for traffic in (self.own, self.elsewhere, self.parents):
            for _ in range(WARMUP_REQUESTS):
                traffic.request()

    def step(self) -> None:
        """Handle one request with all caches in the own location."""
        self.own.request()

    def sample(self) -> Sample:
        """Measure one repeat."""
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
        """Return the memory of the router with all caches in the own location."""
        return deep_bytes(self.own.router)

    def close(self) -> None:
        """Do nothing: no resources are open."""


def request_cpu_us(traffic: RequestTraffic, objects: int = OBJECTS) -> float:
    """Return the mean processor time of a request; known objects are first requested once, unmeasured."""
    for _ in range(OBJECTS if objects == OBJECTS else 0):
        traffic.request()
    began = thread_time_ns()
    for _ in range(REQUESTS):
        traffic.request(objects)
    return round((thread_time_ns() - began) / 1000 / REQUESTS, 3)


def list_event_cpu_us(traffic: RequestTraffic) -> float:
    """Return the mean processor time of one list event."""
    began = thread_time_ns()
    for _ in range(LIST_EVENTS):
        traffic.list_event()
    return round((thread_time_ns() - began) / 1000 / LIST_EVENTS, 3)


def members(caches: int, local_caches: int, parents: int) -> list[i.Member]:
    """Return caches, the first `local_caches` in the own location 0, then parents and origin in another."""
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
    """Return settings that allow retries, hedged requests, direct reads and cancelling."""
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
    size_label="members",
    make=RequestSubject,
    memory_bytes=lambda parameters: 30_000_000 + 60_000 * parameters.size,
)
