"""Messages to the actor of a member, except those of its own connections."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from lupintack.core.messages import Attempt


class YieldingConnection(Protocol):
    """A connection that can be closed to free its descriptor for another member."""

    def yield_descriptor(self) -> None:
        """Close, unless an attempt has been written in the meantime."""


@dataclass(frozen=True, slots=True)
class Submit:
    """Write an attempt as soon as a connection accepts it."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt; with `notify`, its result is reported."""

    attempt: Attempt
    notify: bool = False


@dataclass(frozen=True, slots=True)
class SlotReleased:
    """A connection may accept another attempt, or another connection may be opened."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Close idle connections, and check the health of silent ones."""


@dataclass(frozen=True, slots=True)
class Drain:
    """Write no further attempts, and close each connection when it has no open attempt."""


@dataclass(frozen=True, slots=True)
class YieldConnection:
    """Close an idle connection to free its descriptor for another member."""

    connection: YieldingConnection
