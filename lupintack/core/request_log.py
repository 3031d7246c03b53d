"""Log lines on single requests: refusals, failures, further attempts, and attempts beside a change of the
list.

Each kind is bounded a second; what is suppressed is counted in the next line. The counters stay complete.
"""

from __future__ import annotations

import logging

from lupintack.core.messages import ClientRequest
from lupintack.logs import LineLimit, fields

LOG = logging.getLogger("requests")
LINES_PER_S = 10  # of each kind
NEAR_US = 500_000  # after a change of the list each attempt is worth a line


class RequestLog:
    """Used by the core's turn alone."""

    def __init__(self) -> None:
        self.limits: dict[str, LineLimit] = {}
        self.near_until_us = 0

    def list_changed(self, now_us: int) -> None:
        """Members have changed: the attempts that follow tell by which list they were decided."""
        self.near_until_us = now_us + NEAR_US

    def near(self, now_us: int) -> bool:
        """Whether the list has changed a moment ago."""
        return now_us < self.near_until_us

    def line(self, event: str, now_us: int, request: ClientRequest, **told: object) -> None:
        """One line, unless its kind has had its share of this second."""
        limit = self.limits.get(event)
        if limit is None:
            limit = self.limits[event] = LineLimit(LINES_PER_S)
        suppressed = limit.allow(now_us)
        if suppressed >= 0:
            LOG.info(event, extra=fields(request=request.wire_id, **told, suppressed=suppressed))
