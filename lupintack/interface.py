"""What the decision module is told and what it may answer: settings, events and actions.

No decisions are made here. Times are milliseconds on the router's own clock, sizes kilobytes. A member
(cache, parent or origin) is named by an integer that means nothing beyond its identity; 0 names nobody.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import IntEnum


class Repeat(IntEnum):
    """What a second run of a request would do: nothing, nothing among those that remember it, or harm."""

    SAFE = 0
    KEYED = 1
    UNSAFE = 2


class Outcome(IntEnum):
    """How an attempt ended."""

    OK = 0
    ERROR = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    MOOT = 7
    MISS = 8


NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT, Outcome.MISS})
"""The outcomes that prove that the attempt had no effect."""


class Note(IntEnum):
    """What an answer tells of the fill behind it, where caches tell."""

    UNTOLD = 0
    HIT = 1
    FILLED = 2
    FILLED_BY_ORIGIN = 3
    JOINED = 4
    STALE = 5
    SOURCE_REFUSED = 6
    SOURCE_LOST = 7
    SOURCE_LACKS = 8
    NO_FILL_PLACE = 9
    ORIGIN_FAILED = 10


class ListKind(IntEnum):
    """What a membership event carries."""

    FULL = 0
    DELTA = 1
    CACHED = 2
    FAILED = 3


class State(IntEnum):
    """What the membership list says of a member."""

    GONE = 0
    READY = 1
    DRAINING = 2


@dataclass(slots=True, frozen=True)
class ServiceClass:
    """One request class. A fresh_for of 0 means that a copy is good until it is purged."""

    name: str = ""
    aim: float = 0.0
    aim_stretch: float = 0.0
    deadline: float = 0.0
    worth: float = 1.0
    late_worth: float = 0.0
    repeat: Repeat = Repeat.SAFE
    dedup_group: str = "all"
    dedup_window: float = 0.0
    streamed: bool = False
    fresh_for: float = 0.0
    usable_after: float = 0.0
    stale_worth: float = 1.0
    write: bool = False
    parts: bool = False


@dataclass(slots=True, frozen=True)
class Settings:
    """What an instance knows at its start. The defaults are those of a deployment that allows nothing."""

    classes: tuple[ServiceClass, ...]
    me: int = 0
    zone: int = 0
    siblings: int = 1
    routers_by_zone: tuple[int, ...] = ()
    max_attempts: int = 1
    second_copies: bool = False
    can_cancel: bool = False
    max_retry_after: float = 0.0
    max_open: int = 20000
    must_subscribe: bool = False
    ask_within: float = 0.0
    drain_grace: float = 0.0
    answer_grace: float = 0.0
    cold_from: float = 1.0
    warm_after: float = 0.0
    cold_multiple: float = 1.0
    cold_span: float = 1000.0
    processes: int = 1  # of this router, that share its budgets while it is upgraded
    cold_caches: float = -1.0  # this process's leased part of a cold cache's budget; negative: by numbers
    cold_parents: float = -1.0  # and of each cold parent's
    store_fills: int = -1  # and fills at the origin at once; negative: no bound
    parent_kind: int = -1
    origin_kind: int = -1
    parent_cold_from: float = 1.0
    parent_ramp: float = 0.0
    parent_multiple: float = 1.0
    purge_grace: float = 0.0
    purge_settles: float = 0.0
    joins: bool = False
    tells: str = "none"
    direct: bool = False
    weights: str = "none"
    client_kb_per_s: float = 0.0
    report_fields: tuple[str, ...] = ()
    own_copies: bool = False


@dataclass(slots=True, frozen=True)
class Member:
    """One line of the membership list. A started of 0 means long ago."""

    id: int
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: State = State.READY
    size: float = 1.0
    started: float = 0.0

    def __post_init__(self) -> None:
        """A size that means nothing counts as 1, a start that means nothing as long ago."""
        if not (math.isfinite(self.size) and self.size > 0):
            object.__setattr__(self, "size", 1.0)
        if not math.isfinite(self.started):
            object.__setattr__(self, "started", 0.0)


@dataclass(slots=True, frozen=True)
class MemberList:
    """The membership list, or its changes."""

    kind: ListKind
    members: tuple[Member, ...] = ()
    version: int = 0


@dataclass(slots=True, frozen=True)
class Request:
    """A client's request, taken on; one final answer is owed by its deadline.

    own_age: of the router's own copy, negative where it has none; own_wait: until its link is free.
    risk_at, risk_member: the first attempt that may have run for an earlier request with this key; 0: none.
    """

    id: int
    cls: int
    object_id: int
    deadline: float
    size_kb: float = 0.0
    group: int = 0
    part: int = 0
    tenant: int = 0
    repeated: bool = False
    write: bool = False
    own_age: float = -1.0
    own_wait: float = 0.0
    risk_at: float = 0.0
    risk_member: int = 0

    def __post_init__(self) -> None:
        """A size that means nothing counts as not told."""
        if not (math.isfinite(self.size_kb) and self.size_kb > 0):
            object.__setattr__(self, "size_kb", 0.0)


@dataclass(slots=True, frozen=True)
class AttemptStarted:
    """A streamed answer has begun; the attempt is the client's from here on."""

    request: int
    attempt: int
    member: int
    elapsed: float = 0.0


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """How an attempt ended; final when nothing more is owed for its request."""

    request: int
    attempt: int
    member: int
    outcome: Outcome
    elapsed: float = 0.0
    final: bool = False
    note: Note = Note.UNTOLD
    fill_wait: float = 0.0
    load: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class ClientGone:
    """The client left; nothing more is owed."""

    request: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer that the instance had set."""

    token: int


@dataclass(slots=True, frozen=True)
class ProbeEnded:
    """What a probe found."""

    member: int
    outcome: Outcome
    elapsed: float = 0.0
    load: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from another instance."""

    sender: int
    payload: bytes = b""


@dataclass(slots=True, frozen=True)
class Purged:
    """Copies of the object (of the whole group, where object_id is 0) older than age are out of date."""

    object_id: int
    group: int
    age: float


Event = (
    MemberList
    | Request
    | AttemptStarted
    | AttemptEnded
    | ClientGone
    | TimerFired
    | ProbeEnded
    | PeerMessage
    | Purged
)


@dataclass(slots=True, frozen=True)
class Fetch:
    """Ask a cache, and say where and how a miss is filled. A max_age of 0 means the default.

    join: wait for a fill that runs already; renew: serve an ageing copy and fetch it anew behind;
    held_only: the source gives what it holds and fetches nothing. It has no time limit of its own: its member
    would go on past that, and where second copies are barred no other may go out until it has ended.
    """

    request: int
    member: int
    source: int
    max_age: float = 0.0
    keep: int = 0
    join: bool = False
    renew: bool = False
    held_only: bool = False


@dataclass(slots=True, frozen=True)
class Cancel:
    """Stop waiting for an attempt."""

    request: int
    attempt: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: not done, a retry is harmless."""

    request: int
    retry_after: float = 0.0
    why: str = ""  # for the staff


@dataclass(slots=True, frozen=True)
class ServeOwn:
    """Final answer: the router's own copy."""

    request: int


@dataclass(slots=True, frozen=True)
class Keep:
    """Keep what an attempt has just brought as the router's own copy."""

    request: int


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed, nothing is promised."""

    request: int
    why: str = ""  # for the staff


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a TimerFired."""

    when: float
    token: int


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Ask the membership service for its changes from now on."""


@dataclass(slots=True, frozen=True)
class Log:
    """A line for the staff, on a member where one is named."""

    text: str
    member: int = 0


Action = Fetch | Cancel | Refuse | Fail | ServeOwn | Keep | SetTimer | Subscribe | Log
