"""Log lines about single requests: rejections, failures, further attempts, and attempts shortly after a
change of the member list.

Each kind is limited per second, and the next line has the number of suppressed ones. Counters stay complete.
"""

from __future__ import annotations

import logging

from lupintack.core.messages import Attempt, ClientRequest
from lupintack.core.request_table import RequestInFlight
from lupintack.interface import Fail, Reject
from lupintack.logs import LineLimit, fields

LOG = logging.getLogger("requests")
MAX_LINES_PER_S = 10  # of each kind
MEMBER_CHANGE_WINDOW_US = 500_000  # after a change of the member list; each attempt in it is logged


class RequestLog:
    """Writes rate-limited log lines. Used by the core's turn alone."""

    def __init__(self) -> None:
        """Start with every kind of line allowed."""
        self._limits: dict[str, LineLimit] = {}
        self._member_change_until_us = 0

    def on_members_changed(self, now_us: int) -> None:
        """Log the attempts that follow, to show which member list each was decided on."""
        self._member_change_until_us = now_us + MEMBER_CHANGE_WINDOW_US

    def is_after_member_change(self, now_us: int) -> bool:
        """Return whether the member list has changed within the window."""
        return now_us < self._member_change_until_us

    def log_attempt(
        self, now_us: int, entry: RequestInFlight, attempt: Attempt, member: str, update: int
    ) -> None:
        """Log a further attempt with the last status, or a first one after a change of the list.

        `update`: number of the last update that the router had received.
        """
        details: dict[str, object] = {
            "member": member,
            "source": attempt.source_name,
            "attempt": attempt.number,
            "update": update,
        }
        if attempt.number:
            if attempt.not_after_us:
                details["may_be_sent_for_ms"] = (attempt.not_after_us - now_us) // 1000
            last_status = entry.last_status
            after = last_status.name.lower() if last_status is not None else "nothing has ended"
            self.write("retry", now_us, entry.request, after=after, **details)
        else:
            self.write("attempt", now_us, entry.request, **details)

    def log_unserved(
        self, now_us: int, entry: RequestInFlight, action: Reject | Fail, class_name: str
    ) -> None:
        """Log a request that is rejected or failed, with the reason."""
        event = "request rejected" if isinstance(action, Reject) else "request failed"
        details = {"class_name": class_name, "reason": action.reason, "attempts": entry.attempts_sent}
        self.write(event, now_us, entry.request, **details)

    def write(self, event: str, now_us: int, request: ClientRequest, **details: object) -> None:
        """Write one line, unless its kind has reached this second's limit."""
        limit = self._limits.get(event)
        if limit is None:
            limit = self._limits[event] = LineLimit(MAX_LINES_PER_S)
        suppressed = limit.allow(now_us)
        if suppressed >= 0:
            LOG.info(event, extra=fields(request=request.wire_id, **details, suppressed=suppressed))
