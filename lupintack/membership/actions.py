"""Actions that the membership returns for its caller to execute."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from lupintack.membership.changes import MembershipChange
from lupintack.membership.messages import FullState, Message


class Datagram(NamedTuple):
    """A message to one router."""

    name: str  # empty for a seed whose name is still unknown
    address: str
    message: Message


class ConnectionProbe(NamedTuple):
    """A TCP connection attempt to check that a process still listens; only a refusal is evidence."""

    name: str
    start: int
    address: str


class Exchange(NamedTuple):
    """A full-state exchange to start."""

    name: str  # empty for a seed whose name is still unknown
    address: str
    full_state: FullState


@dataclass(slots=True)
class Actions:
    """The actions of one call into the membership, executed in the order of the fields."""

    sends: list[Datagram] = field(default_factory=list)
    connection_probes: list[ConnectionProbe] = field(default_factory=list)
    exchanges: list[Exchange] = field(default_factory=list)
    changes: list[MembershipChange] = field(default_factory=list)
