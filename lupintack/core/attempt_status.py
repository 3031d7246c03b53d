"""The ways in which an attempt or its connection can end, and the router's outcome for each."""

from __future__ import annotations

from enum import Enum, auto

from lupintack.interface import Outcome


class AttemptStatus(Enum):
    """How an attempt ended; outcome and label are attributes, as a look-up by an enum member is slow."""

    outcome: Outcome
    label: str

    SERVED = auto()  # a complete answer with a body
    NOT_MODIFIED = auto()  # the client's copy is current
    MISS = auto()  # the member has no copy
    REJECTED = auto()  # the member is at capacity
    ERROR = auto()  # the member's error
    EXPIRED = auto()  # the deadline had passed when the attempt reached the member
    DEADLINE_EXCEEDED = auto()  # no answer in time
    CANCELLED = auto()  # cancelled at the member, or the request was answered
    OUTDATED = auto()  # not written: a list change or a purge since the decision forbids it
    NOT_NEEDED = auto()  # not written: its request was answered, or its key can't be recorded
    CONNECT_REFUSED = auto()
    CONNECT_TIMED_OUT = auto()
    CONNECT_FAILED = auto()  # unreachable, or no descriptor left
    CLOSED = auto()  # the member closed the connection with the attempt open
    RESET = auto()
    BAD_FRAME = auto()  # bytes that are not an answer
    NOT_ENCODABLE = auto()  # not written: a value can't be expressed in the member's protocol
    NOT_WRITTEN = auto()  # the connection failed before its first byte
    HEALTH_CHECK_FAILED = auto()  # the connection's health check was not answered


OUTCOMES: dict[AttemptStatus, Outcome] = {
    AttemptStatus.SERVED: Outcome.OK,
    AttemptStatus.NOT_MODIFIED: Outcome.OK,
    AttemptStatus.MISS: Outcome.MISS,
    AttemptStatus.REJECTED: Outcome.REJECTED,
    AttemptStatus.ERROR: Outcome.ERROR,
    AttemptStatus.EXPIRED: Outcome.DISCARDED,
    AttemptStatus.DEADLINE_EXCEEDED: Outcome.TIMEOUT,
    AttemptStatus.CANCELLED: Outcome.CANCELLED,
    AttemptStatus.OUTDATED: Outcome.DISCARDED,
    AttemptStatus.NOT_NEEDED: Outcome.DISCARDED,
    AttemptStatus.NOT_ENCODABLE: Outcome.DISCARDED,
    AttemptStatus.NOT_WRITTEN: Outcome.DISCARDED,
    # Without a connection, nothing can have run.
    AttemptStatus.CONNECT_REFUSED: Outcome.CONNECT_FAILED,
    AttemptStatus.CONNECT_TIMED_OUT: Outcome.CONNECT_FAILED,
    AttemptStatus.CONNECT_FAILED: Outcome.CONNECT_FAILED,
    # After the first written byte, the attempt may have run.
    AttemptStatus.CLOSED: Outcome.RESET,
    AttemptStatus.RESET: Outcome.RESET,
    AttemptStatus.BAD_FRAME: Outcome.RESET,
    AttemptStatus.HEALTH_CHECK_FAILED: Outcome.TIMEOUT,
}

for _status in AttemptStatus:
    _status.outcome = OUTCOMES[_status]
    _status.label = "ended." + _status.name.lower()
