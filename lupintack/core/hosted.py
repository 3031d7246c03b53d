"""What the core's helpers see of it: a small part, so that none of them imports the actor."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from lupintack.core.copies import Copies
from lupintack.core.leases import Leases
from lupintack.core.messages import ClientRequest
from lupintack.interface import Settings
from lupintack.policy import Router


@dataclass(frozen=True, slots=True)
class Fleet:
    """The routers that share budgets: in all, by zone, and this one's number among them."""

    siblings: int
    by_zone: tuple[int, ...]
    me: int


class Asked(Protocol):
    """A record of a request that is owed or still out."""

    @property
    def ask(self) -> ClientRequest: ...


class Hosted(Protocol):
    """The core, in its turn."""

    settings: Settings
    router: Router
    copies: Copies | None
    numbers: dict[str, int]
    processes: int
    fleet: Fleet | None
    leases: Leases | None

    @property
    def owed(self) -> Mapping[int, Asked]: ...

    @property
    def mailbox(self) -> deque[Any]: ...
