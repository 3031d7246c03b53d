"""Simulated hosts, each with its router process and the periods in which a fault impaired it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol

from lupintack.membership.actions import Actions
from lupintack.membership.config import MembershipConfig
from lupintack.membership.messages import FullState, Message, max_message_bytes
from lupintack.membership.state_machine import Membership
from lupintack.membership.view import Record


class SimulatedMembership(Protocol):
    """Interface between the simulation and the membership or a baseline that replaces it."""

    wake_us: int

    def start(self, now_us: int) -> Actions:
        """Start the membership."""

    def tick(self, now_us: int) -> Actions:
        """Perform the actions that are due."""

    def receive(self, raw_length: int, message: Message, now_us: int) -> Actions:
        """Handle a datagram."""

    def on_probe_result(self, name: str, start: int, refused: bool, now_us: int) -> Actions:
        """Handle the result of a connection probe."""

    def on_full_state(self, received: FullState, now_us: int) -> tuple[FullState, Actions]:
        """Answer a full-state exchange."""

    def on_full_state_answer(self, received: FullState, now_us: int) -> Actions:
        """Handle the answer to an exchange."""

    def leave(self, now_us: int) -> Actions:
        """Leave the membership gracefully."""


MembershipFactory = Callable[[Record, MembershipConfig, Random, Sequence[str]], SimulatedMembership]
Call = tuple[Callable[..., Actions], tuple[Any, ...]]


def create_membership(
    me: Record, config: MembershipConfig, random: Random, seeds: Sequence[str]
) -> SimulatedMembership:
    """Return the membership that routers run in production."""
    return Membership(me, config, random, seeds, max_message_bytes)


@dataclass(slots=True)
class Impairment:
    """A period in which a fault keeps a host from taking part in the membership."""

    from_us: int
    until_us: int | None = None  # None while it lasts


@dataclass(slots=True)
class Host:
    """One router's host."""

    name: str
    site: str
    membership: SimulatedMembership | None = None  # of the running process
    start: int = 0
    ended_us: dict[int, int] = field(default_factory=dict)  # when each process ended, by its start
    is_unreachable: bool = False  # the host is down too: connections to it are not refused
    pause_count: int = 0  # number of pauses in effect
    inbox: list[Call] = field(default_factory=list)  # calls queued until the end of a pause
    planned_us: int = -1  # time of the next scheduled tick
    impairments: list[Impairment] = field(default_factory=list)
    notified: dict[str, int] = field(default_factory=dict)  # starts of the members last reported, by name
    sent_bytes: int = 0
    changes: int = 0
    launched_us: int = 0

    @property
    def is_up(self) -> bool:
        """Whether a process runs."""
        return self.membership is not None
