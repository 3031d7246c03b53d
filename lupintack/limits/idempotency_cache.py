"""Attempts that may have run under an idempotency key, so that none is sent after the deduplication window.

A client's own retry is another request with the same key. The servers drop duplicates for a window that
begins with the first attempt that may have run, for any request with that key. A restarted router has no
record of earlier attempts: then only the key and the client's own tracking of the window apply. Times are in
microseconds.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass


@dataclass(slots=True)
class PossibleRun:
    """An attempt that may have run."""

    sent_us: int
    member: int
    request: int
    attempt: int


class IdempotencyCache:
    """The attempts that may have run, by class and key, in the order in which they were sent.

    A key expires when its client can no longer retry, or as the oldest key of a full cache. Not thread-safe.
    """

    def __init__(self, counters: Counter[str], max_keys: int = 8192) -> None:
        """Begin empty; keep at most `max_keys` keys, and count the dropped ones in `counters`."""
        self.counters = counters
        self.max_keys = max_keys
        self.possible_runs: OrderedDict[tuple[int, str], list[PossibleRun]] = OrderedDict()

    def first_run(self, class_index: int, key: str) -> PossibleRun | None:
        """Return the attempt that opened the deduplication window, or None where none is recorded."""
        runs = self.possible_runs.get((class_index, key))
        return runs[0] if runs else None

    def on_attempt_sent(self, class_index: int, key: str, run: PossibleRun, keep_us: int) -> None:
        """Record an attempt that is sent; drop keys whose first attempt is older than `keep_us`."""
        self.possible_runs.setdefault((class_index, key), []).append(run)
        while True:
            oldest_run = next(iter(self.possible_runs.values()))[0]
            if oldest_run.sent_us + keep_us < run.sent_us:
                self.counters["idempotency_keys.expired"] += 1
            elif len(self.possible_runs) > self.max_keys:
                self.counters["idempotency_keys.evicted"] += 1
            else:
                return
            self.possible_runs.popitem(last=False)

    def on_no_effect(self, class_index: int, key: str, request: int, attempt: int) -> None:
        """Remove an attempt that is proved to have had no effect."""
        runs = self.possible_runs.get((class_index, key), [])
        remaining = [run for run in runs if (run.request, run.attempt) != (request, attempt)]
        if remaining:
            self.possible_runs[class_index, key] = remaining
        elif runs:
            del self.possible_runs[class_index, key]
