"""Records of a request that awaits its answer and of its attempts in flight."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from lupintack.decisions.endpoints import EndpointState
from lupintack.decisions.popularity import PRIORITY_FIRST_REQUEST
from lupintack.interface import Request, ServiceClass


@dataclass(slots=True, eq=False)
class AttemptState:
    """One attempt in flight."""

    endpoint: EndpointState
    source: EndpointState | None
    sent_ms: float
    is_trial: bool
    """Whether it is a trial request of an ejected endpoint or source."""

    objective_at_ms: float
    uses_origin_fill: bool
    is_overdue: bool = False
    is_cancelled: bool = False


@dataclass(slots=True, eq=False)
class RequestState:
    """A request that awaits its final answer."""

    request: Request
    service_class: ServiceClass
    transfer_ms: float
    max_attempts: int
    is_write: bool = False
    is_first_request: bool = False
    """Whether no earlier request for this object and part is in the history."""

    withholds_fill: bool = False
    """Whether the source may only return a copy that it has, without a fill."""

    retention_priority: int = PRIORITY_FIRST_REQUEST
    open_attempts: dict[int, AttemptState] = field(default_factory=dict)
    tried_members: list[int] = field(default_factory=list)
    tried_sources: list[int] = field(default_factory=list)
    attempt_count: int = 0
    first_attempt_ms: float = -math.inf
    """Send time of the first attempt that may have had an effect."""

    first_attempt_endpoint: EndpointState | None = None
    first_attempt: AttemptState | None = None
    """That attempt, where it is one of this request's own."""

    errored_attempts: list[AttemptState] = field(default_factory=list)
    reason: str = ""
    """Why it was rejected, or how its last attempt failed; for the log."""

    def add_attempt(self, attempt: AttemptState) -> None:
        """Count an attempt that is sent."""
        if self.first_attempt_endpoint is None:
            self.first_attempt_ms = attempt.sent_ms
            self.first_attempt_endpoint = attempt.endpoint
            self.first_attempt = attempt
        self.open_attempts[self.attempt_count] = attempt
        self.attempt_count += 1
        self.tried_members.append(attempt.endpoint.id)
        if attempt.source:
            self.tried_sources.append(attempt.source.id)
