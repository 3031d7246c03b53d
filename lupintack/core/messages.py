"""What passes between the core, its fronts and its peers. Times are monotonic microseconds."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from lupintack.core.ending import Ending
from lupintack.interface import Note


class Sink(Protocol):
    """Where a front wants the one final answer of a request. Calls must not block."""

    def served(self, answer: Answer, holds: bool) -> None: ...

    def refused(self, wait_ms: int) -> None: ...

    def failed(self) -> None: ...

    def rejected(self) -> None: ...

    def gone(self) -> bool:
        """Whether the client has left, as the system knows it now; also where its thread has yet to run."""


@dataclass(slots=True)
class ClientRequest:
    """A request that a front has taken."""

    wire_id: str
    cls: int
    item: str
    object_id: int
    part: int
    group: int
    deadline_us: int
    sink: Sink
    repeated: bool = False
    write: bool = False
    body: bytes = b""
    have: str = ""
    token: str = ""  # the client's idempotency key, the same for all its tries; "": it sent none
    size_kb: float = 0.0  # of the part, as the settings count; 0: not told
    number: int = 0  # given by the core
    cls_name: str = ""  # the class as the front knew it: its number may have gone to another since
    gone: bool = False  # its client has left; set before the core's turn hears of it, and read at each write


@dataclass(slots=True)
class Left:
    """The client of a request has left."""

    ask: ClientRequest


@dataclass(slots=True)
class Answer:
    """What a member answered to an attempt."""

    body: bytes | bytearray | memoryview = b""
    tag: str = ""
    issued_ms: int = 0
    note: Note = Note.UNTOLD
    waited_ms: float = 0.0
    load: tuple[float, ...] = ()


@dataclass(slots=True, eq=False)
class Order:
    """One attempt, as the core hands it to a peer."""

    ask: ClientRequest
    number: int
    member: int
    source: int
    cls_name: str
    source_host: str
    keep: int
    max_age_ms: float
    join: bool
    renew: bool
    held_only: bool
    decided_us: int
    purges_known: int  # the number of the last purge that the module knew
    stale: Callable[[Order], bool] = field(repr=False)
    link: Link | None = None
    until_us: int = 0  # the last moment at which it may be written, by the archive's window; 0: any

    def forbidden(self, now: int) -> bool:
        """Whether it may not be written any more: its client has left, the news since its decision forbid it,
        or the archive's window has passed.
        """
        left = self.ask.gone or self.ask.sink.gone()
        return left or 0 < self.until_us <= now or self.stale(self)


@dataclass(slots=True)
class Ended:
    """How an attempt ended."""

    order: Order
    ending: Ending
    answer: Answer | None = None


class Link(Protocol):
    """A member, as the core sees it. Calls must not block."""

    def send(self, order: Order) -> None: ...

    def give_up(self, order: Order, tell: bool = False) -> None: ...

    def retire(self) -> None: ...

    def tick(self) -> None: ...

    def done(self) -> bool: ...
