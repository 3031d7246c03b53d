"""Messages between the core, its fronts and the members' links. Times are monotonic microseconds."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from lupintack.core.attempt_status import AttemptStatus
from lupintack.core.entity_tags import NO_TAGS, CachedTags
from lupintack.interface import CacheStatus

OUTDATED_METADATA = -1  # in place of a number of changes: the metadata had changed when it was read


class ResponseSink(Protocol):
    """Receives a request's single final answer for its front. Calls must not block."""

    def serve(self, answer: Answer, not_modified: bool) -> None:
        """Send an answer; `not_modified`: the client's own copy is current."""

    def reject(self, retry_after_ms: int) -> None:
        """Reject the request as not executed; `retry_after_ms` of 0: no time for a retry is given."""

    def fail(self) -> None:
        """Report that the request failed; it may have had an effect."""

    def report_conflict(self) -> None:
        """Report that the request's id is in use for another request."""

    def is_disconnected(self) -> bool:
        """Return whether the client has left, by the kernel's state: the front may not have noticed yet."""


@dataclass(slots=True)
class ClientRequest:
    """A request that a front has read."""

    wire_id: str
    class_index: int
    item: str
    object_id: int
    part: int
    group: int  # of the object, or UNKNOWN_GROUP
    deadline_us: int
    sink: ResponseSink
    is_retry: bool = False
    is_write: bool = False
    body: bytes = b""
    cached_tags: CachedTags = NO_TAGS  # of the client's own copies; none for a write
    idempotency_key: str = ""  # the same for all attempts of the client; "": it sent none
    size_kb: float = 0.0  # of the part, as the settings count; 0: unknown
    number: int = 0  # given by the core
    class_name: str = ""  # as read by the front: the index may belong to another class by now
    # Number of the last purge before its group was read from metadata, which may have changed since: a later
    # purge of any group concerns the request. None: its group can't change.
    group_read_at_purge: int | None = None
    # How often metadata had changed when the group was read from it, or OUTDATED_METADATA: a copy of the
    # answer is used until the next change. None: its group can't change.
    metadata_version: int | None = None
    is_disconnected: bool = False  # set before the core's turn handles it, and checked at each write

    @property
    def cached_tag(self) -> str:
        """The tag of the client's copy that members are told of, empty without one."""
        return self.cached_tags.first


@dataclass(slots=True)
class ClientDisconnection:
    """The client of a request has left."""

    request: ClientRequest


@dataclass(slots=True)
class Answer:
    """A member's answer to an attempt."""

    body: bytes | bytearray | memoryview = b""
    tag: str = ""
    issued_ms: int = 0
    cache_status: CacheStatus = CacheStatus.UNKNOWN
    source_wait_ms: float = 0.0
    load_report: tuple[float, ...] = ()


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt, as the core passes it to a member's link."""

    request: ClientRequest
    number: int
    member: int
    source: int
    class_name: str
    source_name: str
    retention_priority: int
    max_age_ms: float
    coalesce: bool
    revalidate: bool
    only_if_cached: bool
    decided_us: int
    purges_known: int  # number of the last purge that the router had received
    is_outdated: Callable[[Attempt], bool] = field(repr=False)
    link: MemberLink | None = None
    not_after_us: int = 0  # it may not be written after this; 0: no bound

    def is_obsolete(self, now_us: int) -> bool:
        """Return whether the attempt may not be written any more.

        True if its client has left, a list change or a purge since its decision forbids it, or its
        deduplication window or lease is over.
        """
        is_disconnected = self.request.is_disconnected or self.request.sink.is_disconnected()
        return is_disconnected or 0 < self.not_after_us <= now_us or self.is_outdated(self)


@dataclass(slots=True)
class AttemptResult:
    """The end of an attempt, with the answer where there is one."""

    attempt: Attempt
    status: AttemptStatus
    answer: Answer | None = None


@dataclass(slots=True)
class Shutdown:
    """The process is shutting down: `on_all_answered` is called whenever no request awaits its answer."""

    on_all_answered: Callable[[], None]


class ReadSharedKeys:
    """Other processes of this router have shared keys, or are to be told of some."""


@dataclass(slots=True)
class SharedKeysGap:
    """Keys of other processes may be unknown here; `at_us`: until when they were accepted."""

    at_us: int


class FailOpenRequests:
    """The process exits now: every unanswered request is failed."""


class MemberLink(Protocol):
    """The connections to one member, as the core uses them. Calls must not block."""

    def send(self, attempt: Attempt) -> None:
        """Write an attempt to a connection, or queue it until one is free."""

    def cancel(self, attempt: Attempt, notify: bool = False) -> None:
        """Abandon an attempt; with `notify`, notify the member first and report the end of the attempt."""

    def drain(self) -> None:
        """Take no more attempts; close each connection once it is idle."""

    def tick(self) -> None:
        """Check for idle and silent connections; called every 250 ms."""

    def is_idle(self) -> bool:
        """Return whether no connection and no attempt is left."""
