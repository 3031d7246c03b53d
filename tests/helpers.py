"""Builders of a small deployment, of events and of routers for tests of the decisions."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from lupintack import interface as i
from lupintack.decisions.endpoints import EndpointState
from lupintack.decisions.rendezvous import score
from lupintack.decisions.router import Router

CACHES = (11, 12, 13, 14)
PARENTS = (21, 22, 23)
ORIGIN = 31
SAFE, EXPIRING, KEYED, UNSAFE = range(4)


def classes() -> tuple[i.ServiceClass, ...]:
    """One service class for each kind of idempotency; the second has a freshness lifetime."""
    base: dict[str, Any] = {
        "latency_objective_ms": 500.0,
        "latency_objective_stretch": 2.0,
        "deadline_ms": 5000.0,
    }
    return (
        i.ServiceClass(name="a", **base),
        i.ServiceClass(name="b", fresh_ms=8000.0, max_stale_ms=10000.0, **base),
        i.ServiceClass(
            name="c",
            idempotency=i.Idempotency.KEYED,
            deduplication_scope="cell",
            deduplication_window_ms=1000.0,
            **base,
        ),
        i.ServiceClass(name="d", idempotency=i.Idempotency.NOT_IDEMPOTENT, is_write=True, **base),
    )


def settings(**changes: Any) -> i.Settings:
    """Settings with most features enabled, and with the given changes."""
    values: dict[str, Any] = {
        "classes": classes(),
        "zone": 0,
        "router_count": 4,
        "routers_by_zone": (2, 2, 0),
        "max_attempts": 6,
        "allows_hedging": True,
        "allows_cancellation": True,
        "max_retry_after_ms": 1000.0,
        "drain_grace_ms": 250.0,
        "answer_grace_ms": 8.0,
        "initial_capacity_share": 0.15,
        "slow_start_ms": 16000.0,
        "overload_multiple": 3.0,
        "overload_window_ms": 1500.0,
        "parent_kind": 1,
        "origin_kind": 2,
        "parent_initial_capacity_share": 0.08,
        "parent_slow_start_ms": 21000.0,
        "parent_overload_multiple": 2.0,
        "purge_grace_ms": 500.0,
        "purge_settle_ms": 6000.0,
        "coalesces_fills": True,
        "reports_fill_source": "hit",
        "member_weights": "rough",
        "client_kb_per_s": 5000.0,
    }
    return i.Settings(**(values | changes))


def member(id_: int, state: int = 1, started_ms: float = 0.0, capacity: float = 10.0) -> i.Member:
    """An entry of the member list: by its id a cache of zone 0, a parent of zone 2 or the origin."""
    kind = 0 if id_ in CACHES else 1 if id_ in PARENTS else 2
    return i.Member(id_, 2 if kind else 0, kind, id_ % 2, i.MemberState(state), capacity, started_ms)


def full_list(**states: Any) -> i.MemberList:
    """A full list with all members ready."""
    return i.MemberList(i.ListKind.FULL, tuple(member(m) for m in (*CACHES, *PARENTS, ORIGIN)))


def delta(*members: i.Member) -> i.MemberList:
    """A list event with changes."""
    return i.MemberList(i.ListKind.DELTA, members)


def router(now: float = 0.0, **changes: Any) -> Router:
    """A router that has received the full list."""
    new_router = Router(settings(**changes), 7)
    new_router.handle(now, [full_list()])
    return new_router


def request(id_: int, object_id: int = 5, cls: int = SAFE, now: float = 0.0, **changes: Any) -> i.Request:
    """A request with a transfer time of about 300 ms."""
    values: dict[str, Any] = {"deadline_ms": now + 5000.0, "size_kb": 1500.0, "is_write": cls == UNSAFE}
    return i.Request(id_, cls, object_id, **(values | changes))


def attempt_ended(fetch: i.Fetch, outcome: i.Outcome, attempt: int = 0, **changes: Any) -> i.AttemptEnded:
    """The event that ends an attempt."""
    return i.AttemptEnded(fetch.request, attempt, fetch.member, outcome, **({"elapsed_ms": 100.0} | changes))


def fetches(actions: Iterable[i.Action]) -> list[i.Fetch]:
    """Return the `Fetch` actions."""
    return [action for action in actions if isinstance(action, i.Fetch)]


def final_answers(actions: Iterable[i.Action]) -> list[i.Reject | i.Fail]:
    """Return the rejections and failures among the actions."""
    return [action for action in actions if isinstance(action, (i.Reject, i.Fail))]


def first_cache(object_id: int) -> int:
    """Return the first cache of an object's ranking."""
    return max(CACHES, key=lambda cache: score(object_id, cache))


def is_ejected(router: Router, endpoint: EndpointState) -> bool:
    """Return whether a router has ejected an endpoint, at the router's current time."""
    return router.outliers.is_ejected(endpoint, router.now_ms)
