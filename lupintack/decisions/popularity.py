"""Retention priority of a part of an object, by the time since its last request and its size. Pure."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import NamedTuple

MAX_TRACKED_PARTS = 40000  # several retention times of busy traffic
REQUEST_HISTORY_MS = 60000.0  # several retention times; bounds the table as new objects keep arriving
THRESHOLD_STEP = 0.05  # step of the running quantile of log(gap x size)
TOP_PRIORITY_SHARE = 0.25  # of the repeated requests; a larger share retains objects that were popular once

NOT_RETAINED = 0
PRIORITY_FIRST_REQUEST = 1
PRIORITY_REPEATED = 2
PRIORITY_POPULAR = 3


class Popularity(NamedTuple):
    """How long a cache should retain a part of an object."""

    retention_priority: int
    is_first_request: bool


class PopularityRanker:
    """Remembers the last request of each part, and divides repeated requests by a running quantile."""

    __slots__ = ("last_requests", "priority_threshold")

    def __init__(self) -> None:
        """Start with an empty history."""
        self.last_requests: OrderedDict[tuple[int, int], float] = OrderedDict()
        self.priority_threshold = 0.0  # of log(gap in ms x size in KB); 0 before the first repeat

    def rank(self, object_id: int, part: int, size_kb: float, is_write: bool, now_ms: float) -> Popularity:
        """Record a request and return its popularity; a size of 0 means unknown."""
        last_ms = self._remember((object_id, part), now_ms)
        if is_write:
            return Popularity(NOT_RETAINED, False)
        if last_ms is None:
            return Popularity(PRIORITY_FIRST_REQUEST, True)
        cost = math.log(max(1.0, now_ms - last_ms) * (size_kb or 1.0))
        threshold = self.priority_threshold
        priority = PRIORITY_POPULAR if cost <= threshold else PRIORITY_REPEATED
        step = THRESHOLD_STEP * (TOP_PRIORITY_SHARE if cost > threshold else TOP_PRIORITY_SHARE - 1.0)
        self.priority_threshold = threshold + step if threshold else cost
        return Popularity(priority, False)

    def _remember(self, key: tuple[int, int], now_ms: float) -> float | None:
        """Record a request, and return the time of the previous one or None."""
        requests = self.last_requests
        last_ms = requests.pop(key, None)
        requests[key] = now_ms
        for _ in range(2):
            if (
                len(requests) > MAX_TRACKED_PARTS
                or next(iter(requests.values())) < now_ms - REQUEST_HISTORY_MS
            ):
                requests.popitem(last=False)
        return last_ms
