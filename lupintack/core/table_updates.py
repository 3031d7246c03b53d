"""Messages to and from the member table: updates from its sources, and changes for the core."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from lupintack.core.source_reads import SourceReadId
from lupintack.interface import Event, MemberState, Purged


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A member as a source of updates describes it; `zone` and `kind` index the settings' lists."""

    name: str
    dial: tuple[str, int] | None
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: MemberState = MemberState.READY
    size: float = 1.0
    born_unix_ms: float = 0.0


class IdentifiedEndpoint(NamedTuple):
    """An endpoint with its member id."""

    member_id: int
    endpoint: Endpoint


@dataclass(slots=True)
class ListUpdate:
    """Changes of the member list, or the complete list."""

    is_complete: bool
    endpoints: tuple[Endpoint, ...]
    version: int = 0
    revision: int = 0  # of the discovery event, for the log; 0: no event


@dataclass(slots=True)
class PurgeUpdate:
    """A purge of an object, or of a group where `object_id` is None.

    `unix_ms` is by the clock of the purge's issuer; None: the purge is as old as `told_us`, when a process of
    this router was told of it, or as this update without that. `on_applied` is called once the purge is in
    force.
    """

    object_id: int | None
    group: int
    unix_ms: float | None
    on_applied: Callable[[], None] | None = None
    told_us: int | None = None


class BansUpdate:
    """The operators have banned members, or lifted bans."""


@dataclass(slots=True)
class ListConfirmed:
    """Every change notified before a moment is in the table, or precedes this update in the mailbox."""

    proved_us: int


class ListExpiryCheck:
    """The validity of the list may have ended."""


@dataclass(slots=True)
class SourceRead:
    """The end of a read of a source: its updates precede this one in the mailbox."""

    read: SourceReadId | None  # None: its connection has ended


Update = ListUpdate | PurgeUpdate | BansUpdate | ListConfirmed | ListExpiryCheck | SourceRead


@dataclass(slots=True)
class TableChange:
    """A change for the core: events for the decisions, and the endpoints of their member ids."""

    events: tuple[Event, ...]
    endpoints: tuple[IdentifiedEndpoint, ...] = ()
    on_applied: Callable[[], None] | None = None
    purge: PurgeUpdate | None = None
    purge_number: int = 0  # counted by the table; 0 for other updates
    update_count: int = 0  # the core has all updates up to this number (MemberTable.update_count)


def purge_of_object(object_id: int, age_ms: float = 0.0) -> Purged:
    """Return the decisions' event for a purge of an object."""
    return Purged(decision_object_id(object_id), 0, age_ms)


def decision_object_id(object_id: int) -> int:
    """Return an object's id for the decisions, where 0 means none: object 0 shares that of object 1."""
    return object_id or 1


def member_id(name: str) -> int:
    """Return the number of a member's name: the same on all routers and after restarts, and never 0."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big") or 1
