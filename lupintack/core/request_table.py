"""The table of requests in flight: from their acceptance until they are answered and no attempt is open."""

from __future__ import annotations

from dataclasses import dataclass, field

from lupintack.core.attempt_status import AttemptStatus
from lupintack.core.messages import Attempt, ClientRequest

MAX_REQUEST_NUMBER = 0xFFFFFFF0


@dataclass(slots=True)
class RequestInFlight:
    """A request that awaits its final answer or has open attempts."""

    request: ClientRequest
    is_idempotent: bool
    attempts_sent: int = 0
    is_answered: bool = False
    size_bucket: str = ""  # counter prefix for requests of this size; "": the client gave no size
    open_attempts: dict[int, Attempt] = field(default_factory=dict)
    last_status: AttemptStatus | None = None  # of its latest attempt that ended, for the log


def is_same_request(request: ClientRequest, other: ClientRequest) -> bool:
    """Return whether two requests are for the same part of the same object under the same key."""
    first, second = ((a.class_index, a.item, a.part, a.group, a.idempotency_key) for a in (request, other))
    return first == second


class RequestTable:
    """Requests in flight by number and by wire id. The core's turn alone writes it."""

    def __init__(self) -> None:
        """Start empty."""
        self.by_number: dict[int, RequestInFlight] = {}
        self.number_by_wire_id: dict[str, int] = {}
        self.by_metadata: dict[int, ClientRequest] = {}  # those whose group was read from metadata
        self._finished_numbers: list[int] = []
        self._last_number = 0

    def get(self, number: int) -> RequestInFlight | None:
        """Return the request with this number, or None if it is no longer in flight."""
        return self.by_number.get(number)

    def find_by_wire_id(self, wire_id: str) -> RequestInFlight | None:
        """Return the latest request with this wire id, or None if none is in flight."""
        return self.by_number.get(self.number_by_wire_id.get(wire_id, 0))

    def add(self, request: ClientRequest, is_idempotent: bool) -> RequestInFlight:
        """Assign a number to a request, and register it."""
        self._last_number = self._last_number % MAX_REQUEST_NUMBER + 1
        number = request.number = self._last_number
        entry = self.by_number[number] = RequestInFlight(request, is_idempotent)
        self.number_by_wire_id[request.wire_id] = number
        if request.group_read_at_purge is not None:
            self.by_metadata[number] = request
        return entry

    def has_unanswered(self) -> bool:
        """Return whether any request still awaits its final answer. May be called from any thread."""
        return not all(entry.is_answered for entry in list(self.by_number.values()))

    def forget_if_finished(self, entry: RequestInFlight) -> None:
        """Mark a request that is answered and has no open attempt for removal at the end of the turn.

        The router may start an attempt in the turn in which its request ended; it must be numbered like any
        other, so the entry is kept until then.
        """
        if entry.is_answered and not entry.open_attempts:
            self._finished_numbers.append(entry.request.number)

    def remove_finished(self) -> None:
        """Remove the requests that finished in this turn."""
        if not self._finished_numbers:
            return
        for number in self._finished_numbers:
            entry = self.by_number.pop(number, None)
            self.by_metadata.pop(number, None)
            if entry is not None and self.number_by_wire_id.get(entry.request.wire_id) == number:
                del self.number_by_wire_id[entry.request.wire_id]
        self._finished_numbers.clear()
