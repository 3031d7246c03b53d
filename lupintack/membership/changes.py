"""Notifications from the membership to its users: the members, the changes and how certain they are."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FleetMember:
    """A router that counts as a member of the fleet."""

    name: str
    site: str


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """The members after a change; `joined` and `removed` are relative to the previous change."""

    view_id: int  # equal on two routers that count the same processes
    members: tuple[FleetMember, ...]  # sorted by name, including this router
    joined: tuple[str, ...]
    removed: tuple[str, ...]
    suspect_count: int
    is_minority: bool  # this router may be on the smaller side of a network partition
    is_unacknowledged: bool  # this router receives messages, but none of its own are answered
    number: int  # sequence number of this change, from 1
