"""The interface of the decisions: settings, events that they receive and actions that they return.

Times are milliseconds on the router's own clock, sizes are kilobytes. A member (cache, parent or origin) is
identified by an opaque integer; 0 means no member.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import IntEnum

UNKNOWN_GROUP = -1
"""The group of an object whose request names none: purges of every group concern it."""


class Idempotency(IntEnum):
    """Whether a request may run twice: always, under its idempotency key within a window, or never."""

    IDEMPOTENT = 0
    KEYED = 1
    NOT_IDEMPOTENT = 2


class Outcome(IntEnum):
    """Result of an attempt."""

    OK = 0
    ERROR = 1
    REJECTED = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    DISCARDED = 7
    MISS = 8


OUTCOMES_WITHOUT_EFFECT = frozenset(
    {Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.DISCARDED, Outcome.MISS}
)
"""Outcomes that prove that an attempt had no effect."""


class CacheStatus(IntEnum):
    """How a cache obtained its answer, if it reports that; see `Settings.reports_fill_source`."""

    UNKNOWN = 0
    HIT = 1
    FILLED = 2
    FILLED_FROM_ORIGIN = 3
    COALESCED = 4
    STALE = 5
    SOURCE_REJECTED = 6
    SOURCE_FAILED = 7
    SOURCE_MISS = 8
    FILL_AT_CAPACITY = 9
    ORIGIN_FAILED = 10


class ListKind(IntEnum):
    """Kind of a `MemberList`."""

    FULL = 0
    DELTA = 1
    CACHED = 2
    FAILED = 3


class MemberState(IntEnum):
    """State of a member in the member list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


@dataclass(slots=True, frozen=True)
class ServiceClass:
    """One request class. With a `fresh_ms` of 0 a copy is fresh until it is purged."""

    name: str = ""
    latency_objective_ms: float = 0.0
    latency_objective_stretch: float = 0.0
    deadline_ms: float = 0.0
    priority_weight: float = 1.0
    late_weight: float = 0.0
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: str = "all"
    deduplication_window_ms: float = 0.0
    is_streamed: bool = False
    fresh_ms: float = 0.0
    max_stale_ms: float = 0.0
    stale_weight: float = 1.0
    is_write: bool = False
    has_parts: bool = False


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings of one router. The defaults are those of a deployment without optional features."""

    classes: tuple[ServiceClass, ...]
    router_index: int = 0
    zone: int = 0
    router_count: int = 1
    routers_by_zone: tuple[int, ...] = ()
    max_attempts: int = 1
    allows_hedging: bool = False
    allows_cancellation: bool = False
    max_retry_after_ms: float = 0.0
    max_in_flight: int = 20000
    requires_subscription: bool = False
    poll_within_ms: float = 0.0
    drain_grace_ms: float = 0.0
    answer_grace_ms: float = 0.0
    initial_capacity_share: float = 1.0
    slow_start_ms: float = 0.0
    overload_multiple: float = 1.0
    overload_window_ms: float = 1000.0
    process_count: int = 1  # processes of this router that share its budgets during an upgrade
    # Leases of this process: shares of the budget of each cache and parent in slow start, 0 to 1, and the
    # concurrent fills at the origin. Negative: no lease; budgets are divided by the number of routers.
    warming_cache_share: float = -1.0
    warming_parent_share: float = -1.0
    max_origin_fills: int = -1
    parent_kind: int = -1
    origin_kind: int = -1
    parent_initial_capacity_share: float = 1.0
    parent_slow_start_ms: float = 0.0
    parent_overload_multiple: float = 1.0
    purge_grace_ms: float = 0.0
    purge_settle_ms: float = 0.0
    coalesces_fills: bool = False
    reports_fill_source: str = "none"
    allows_origin_direct: bool = False
    member_weights: str = "none"
    client_kb_per_s: float = 0.0
    load_report_fields: tuple[str, ...] = ()
    has_local_cache: bool = False


@dataclass(slots=True, frozen=True)
class Member:
    """One member of the member list. A `started_ms` of 0 means long ago."""

    id: int
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: MemberState = MemberState.READY
    capacity: float = 1.0
    started_ms: float = 0.0

    def __post_init__(self) -> None:
        """Replace an invalid capacity by 1, and an invalid start by 0."""
        if not (math.isfinite(self.capacity) and self.capacity > 0):
            object.__setattr__(self, "capacity", 1.0)
        if not math.isfinite(self.started_ms):
            object.__setattr__(self, "started_ms", 0.0)


@dataclass(slots=True, frozen=True)
class MemberList:
    """The member list, or its changes."""

    kind: ListKind
    members: tuple[Member, ...] = ()
    version: int = 0


@dataclass(slots=True, frozen=True)
class Request:
    """A client's request; it gets exactly one final answer, by its deadline.

    group: of the object, or UNKNOWN_GROUP.
    local_copy_age_ms: age of the copy in the local cache, negative without one; local_link_wait_ms: wait
    until the local cache's link is free.
    first_attempt_ms, first_attempt_member: the first attempt that may have run for an earlier request with
    this idempotency key; 0 means none. Where its window was shorter than the class's is now, it is given as
    sent so much earlier that its window ends when it did.
    """

    id: int
    class_index: int
    object_id: int
    deadline_ms: float
    size_kb: float = 0.0
    group: int = 0
    part: int = 0
    tenant: int = 0
    is_retry: bool = False
    is_write: bool = False
    local_copy_age_ms: float = -1.0
    local_link_wait_ms: float = 0.0
    first_attempt_ms: float = 0.0
    first_attempt_member: int = 0

    def __post_init__(self) -> None:
        """Replace an invalid size by 0, which means unknown."""
        if not (math.isfinite(self.size_kb) and self.size_kb > 0):
            object.__setattr__(self, "size_kb", 0.0)


@dataclass(slots=True, frozen=True)
class AttemptStarted:
    """A streamed answer has begun; this attempt is the one that is forwarded to the client."""

    request: int
    attempt: int
    member: int
    elapsed_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """The end of an attempt; `is_final` when its request has been answered."""

    request: int
    attempt: int
    member: int
    outcome: Outcome
    elapsed_ms: float = 0.0
    is_final: bool = False
    cache_status: CacheStatus = CacheStatus.UNKNOWN
    fill_wait_ms: float = 0.0
    load_report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client has disconnected; its request gets no answer."""

    request: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set by `SetTimer` has expired."""

    token: int


@dataclass(slots=True, frozen=True)
class HealthCheckEnded:
    """The result of a health check."""

    member: int
    outcome: Outcome
    elapsed_ms: float = 0.0
    load_report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from another router."""

    sender: int
    payload: bytes = b""


@dataclass(slots=True, frozen=True)
class Purged:
    """Copies of the object (of the whole group, where object_id is 0) older than age_ms are outdated.

    A group of UNKNOWN_GROUP means every object.
    """

    object_id: int
    group: int
    age_ms: float


Event = (
    MemberList
    | Request
    | AttemptStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | HealthCheckEnded
    | PeerMessage
    | Purged
)


@dataclass(slots=True, frozen=True)
class Fetch:
    """Send an attempt to a member, with the source of a fill. A `max_age_ms` of 0 means the default.

    coalesce: wait for a fill in flight; revalidate: serve a stale copy and refresh it in the background;
    only_if_cached: the source may not fill a miss. An attempt has no timeout of its own: its member would
    continue to work after it, and without hedging no other attempt may start before its end.
    """

    request: int
    member: int
    source: int
    max_age_ms: float = 0.0
    retention_priority: int = 0
    coalesce: bool = False
    revalidate: bool = False
    only_if_cached: bool = False


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel an attempt."""

    request: int
    attempt: int


@dataclass(slots=True, frozen=True)
class Reject:
    """Final answer: rejected without effect, so that a retry is safe."""

    request: int
    retry_after_ms: float = 0.0
    reason: str = ""  # for the log


@dataclass(slots=True, frozen=True)
class ServeLocalCopy:
    """Final answer: the copy in the local cache."""

    request: int


@dataclass(slots=True, frozen=True)
class StoreLocalCopy:
    """Store the answer of the attempt that has just ended in the local cache."""

    request: int


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed; the request may have run."""

    request: int
    reason: str = ""  # for the log


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Request a `TimerFired` with this token at `at_ms`."""

    at_ms: float
    token: int


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Subscribe to changes of the member list."""


@dataclass(slots=True, frozen=True)
class Log:
    """A log line, about a member if one is given."""

    text: str
    member: int = 0


Action = Fetch | Cancel | Reject | Fail | ServeLocalCopy | StoreLocalCopy | SetTimer | Subscribe | Log
