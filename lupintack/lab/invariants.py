"""Invariants of a membership, checked during a simulation."""

from __future__ import annotations

from lupintack.membership.state_machine import Membership
from lupintack.membership.view import State, view_id_part


class InvariantError(AssertionError):
    """An invariant of the membership is violated."""


def check_own_record(membership: Membership) -> None:
    """Raise InvariantError if a router's view lacks its own record, or that record has a failure state."""
    me = membership.me
    record = membership.view.records.get(membership.name)
    is_behind = record is None or record.rank() < me.rank()
    if is_behind or (not membership.state.is_silent and record != me):
        raise InvariantError(f"{me.name}: own record in its view is {record}, expected {me}")
    if me.state in (State.SUSPECT, State.FAILED, State.ENDED):
        raise InvariantError(f"{me.name}: own record has the state of a failed router")


def check_tables(membership: Membership) -> None:
    """Raise InvariantError if the view id or the rings don't match the members, or a table is too large."""
    view, state = membership.view, membership.state
    view_id = 0
    for name in view.names:
        view_id ^= view_id_part(name, view.records[name].start)
    if view_id != view.id or view.names != state.rings.names:
        raise InvariantError(f"{state.name}: the view id or the rings don't match the members")
    if len(view.records) > membership.config.max_records or len(state.gossip.queued) > len(view.records):
        raise InvariantError(f"{state.name}: a table exceeds its bound")
