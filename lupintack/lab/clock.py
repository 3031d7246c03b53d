"""A virtual clock with scheduled calls, whose order is deterministic."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class VirtualClock:
    """Runs scheduled calls in order of time; those of the same microsecond in order of scheduling."""

    def __init__(self) -> None:
        """Start at time 0 with nothing scheduled."""
        self.now_us = 0
        self.heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.scheduled = 0

    def schedule(self, at_us: int, callback: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call; a time in the past is replaced by the current time."""
        self.scheduled += 1
        heapq.heappush(self.heap, (max(at_us, self.now_us), self.scheduled, callback, arguments))

    def run(self, until_us: int) -> None:
        """Run all calls due up to `until_us`, and advance the time to it."""
        heap = self.heap
        while heap and heap[0][0] <= until_us:
            self.now_us, _, callback, arguments = heapq.heappop(heap)
            callback(*arguments)
        self.now_us = until_us
