"""Trace of the decisions' events and actions, one line each, for counts over a fleet (docs/fleet.md).

Disabled unless the environment has `LUPINTACK_TRACE=1`. Lines are written to standard error and read by
benchmarks/fleet.py: `~`, the Unix time in ms, a word and its values.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterable, Mapping

from lupintack.clock import unix_ms
from lupintack.interface import (
    Action,
    AttemptEnded,
    Cancel,
    Event,
    Fail,
    Fetch,
    Member,
    MemberList,
    Purged,
    Reject,
    Request,
    ServeLocalCopy,
)

ENABLE_VARIABLE = "LUPINTACK_TRACE"
STANDARD_ERROR = 2
FINAL_ANSWERS: dict[type, str] = {Reject: "reject", Fail: "fail", ServeLocalCopy: "local_copy"}


def event_line(event: Event) -> str:
    """Return an event's line, or "" for one that isn't traced."""
    match event:
        case Request():
            return _request_line(event)
        case AttemptEnded():
            return _attempt_line(event)
        case MemberList():
            return f"list {event.kind.name} {' '.join(map(_member_entry, event.members))}"
        case Purged():
            return f"purge {event.object_id:x} {event.group} {event.age_ms:.0f}"
    return ""


def _request_line(event: Request) -> str:
    return (
        f"request {event.id} {event.class_index} {event.object_id:x} {event.part} {int(event.is_retry)} "
        f"{event.local_copy_age_ms:.0f} {event.group}"
    )


def _attempt_line(event: AttemptEnded) -> str:
    load = ";".join(f"{value:.2f}" for value in event.load_report) or "-"
    return (
        f"end {event.request} {event.attempt} {event.member:x} {event.outcome.name} "
        f"{event.cache_status.name} {event.elapsed_ms:.0f} {event.fill_wait_ms:.0f} {load} "
        f"{int(event.is_final)}"
    )


def _member_entry(member: Member) -> str:
    return (
        f"{member.id:x}:{member.zone}:{member.kind}:{member.state.name}:{member.capacity:g}"
        f":{member.started_ms:.0f}"
    )


def action_line(action: Action) -> str:
    """Return an action's line, or "" for one that isn't traced."""
    if isinstance(action, Fetch):
        flags = f"{int(action.coalesce)}{int(action.revalidate)}{int(action.only_if_cached)}"
        return (
            f"fetch {action.request} {action.member:x} {action.source:x} {action.retention_priority} "
            f"{flags} {action.max_age_ms:.0f}"
        )
    if isinstance(action, (Reject, Fail, ServeLocalCopy)):
        return f"{FINAL_ANSWERS[type(action)]} {action.request}"
    if isinstance(action, Cancel):
        return f"cancel {action.request} {action.attempt}"
    return ""


def writer(environ: Mapping[str, str]) -> Callable[[int, Iterable[Event], Iterable[Action]], None] | None:
    """Return the function that traces one turn, or None if the environment doesn't enable the trace."""
    return write if environ.get(ENABLE_VARIABLE) == "1" else None


def write(now_us: int, events: Iterable[Event], actions: Iterable[Action]) -> None:
    """Write the lines of one turn in one system call."""
    at_ms = unix_ms(now_us)
    entries = [*map(event_line, events), *map(action_line, actions)]
    lines = [f"~ {at_ms} {entry}\n" for entry in entries if entry]
    if lines:
        os.write(STANDARD_ERROR, "".join(lines).encode())
