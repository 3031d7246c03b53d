"""A small deployment for tests of the module alone."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from lupintack import interface as i
from lupintack.limits.scoreboard import score
from lupintack.policy import Router

CACHES = (11, 12, 13, 14)
PARENTS = (21, 22, 23)
ORIGIN = 31
SAFE, PAGE, KEYED, UNSAFE = range(4)


def classes() -> tuple[i.ServiceClass, ...]:
    """A class of each kind of effect; the second has a fresh time."""
    base: dict[str, Any] = {"aim": 500.0, "aim_stretch": 2.0, "deadline": 5000.0}
    return (
        i.ServiceClass(name="a", **base),
        i.ServiceClass(name="b", fresh_for=8000.0, usable_after=10000.0, **base),
        i.ServiceClass(name="c", repeat=i.Repeat.KEYED, dedup_group="cell", dedup_window=1000.0, **base),
        i.ServiceClass(name="d", repeat=i.Repeat.UNSAFE, write=True, **base),
    )


def settings(**changes: Any) -> i.Settings:
    """Settings that allow much, with changes."""
    values: dict[str, Any] = {
        "classes": classes(),
        "zone": 0,
        "siblings": 4,
        "routers_by_zone": (2, 2, 0),
        "max_attempts": 6,
        "second_copies": True,
        "can_cancel": True,
        "max_retry_after": 1000.0,
        "drain_grace": 250.0,
        "answer_grace": 8.0,
        "cold_from": 0.15,
        "warm_after": 16000.0,
        "cold_multiple": 3.0,
        "cold_span": 1500.0,
        "parent_kind": 1,
        "origin_kind": 2,
        "parent_cold_from": 0.08,
        "parent_ramp": 21000.0,
        "parent_multiple": 2.0,
        "purge_grace": 500.0,
        "purge_settles": 6000.0,
        "joins": True,
        "tells": "hit",
        "weights": "rough",
        "client_kb_per_s": 5000.0,
    }
    return i.Settings(**(values | changes))


def member(id_: int, state: int = 1, started: float = 0.0, size: float = 10.0) -> i.Member:
    """A line of the list, by the number's range: caches of zone 0, parents of zone 2, the origin."""
    kind = 0 if id_ in CACHES else 1 if id_ in PARENTS else 2
    return i.Member(id_, 2 if kind else 0, kind, id_ % 2, i.State(state), size, started)


def full_list(**states: Any) -> i.MemberList:
    """The whole fleet, ready."""
    return i.MemberList(i.ListKind.FULL, tuple(member(m) for m in (*CACHES, *PARENTS, ORIGIN)))


def delta(*members: i.Member) -> i.MemberList:
    """Changes of the list."""
    return i.MemberList(i.ListKind.DELTA, members)


def router(now: float = 0.0, **changes: Any) -> Router:
    """A router that knows its fleet."""
    made = Router(settings(**changes), 7)
    made.handle(now, [full_list()])
    return made


def ask(id_: int, object_id: int = 5, cls: int = SAFE, now: float = 0.0, **changes: Any) -> i.Request:
    """A request of about 300 ms of sending time."""
    values: dict[str, Any] = {"deadline": now + 5000.0, "size_kb": 1500.0, "write": cls == UNSAFE}
    return i.Request(id_, cls, object_id, **(values | changes))


def ended(fetch: i.Fetch, outcome: i.Outcome, attempt: int = 0, **changes: Any) -> i.AttemptEnded:
    """How an attempt ended."""
    return i.AttemptEnded(fetch.request, attempt, fetch.member, outcome, **({"elapsed": 100.0} | changes))


def fetches(actions: Iterable[i.Action]) -> list[i.Fetch]:
    """The attempts among the actions."""
    return [a for a in actions if isinstance(a, i.Fetch)]


def finals(actions: Iterable[i.Action]) -> list[i.Refuse | i.Fail]:
    """The final answers among the actions."""
    return [a for a in actions if isinstance(a, (i.Refuse, i.Fail))]


def score_top(object_id: int) -> int:
    """The cache on top of an object's board."""
    return max(CACHES, key=lambda m: score(object_id, m))
