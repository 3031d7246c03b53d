"""Attempts that may have run under an idempotency key, so that none is sent after the deduplication window.

A client's own retry is another request with the same key. The servers drop duplicates for a window that
begins with the first attempt that may have run, for any request with that key. A restarted router has no
record of earlier attempts: then only the key and the client's own tracking of the window apply. Times are in
microseconds.
"""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

MAX_KEYS = 8192
MAX_EXPIRIES_PER_CALL = 64  # keys looked at in one call: bounds what one attempt pays for others


class IdempotencyKey(NamedTuple):
    """A client's key within a class, which is named: new settings may give its number to another class."""

    class_name: str
    value: str


@dataclass(slots=True)
class PossibleRun:
    """An attempt that may have run."""

    sent_us: int
    member: int
    request: int
    attempt: int
    window_us: int  # of its class when it was sent

    def window_end_us(self, window_us: int) -> int:
        """Return until when duplicates are dropped; `window_us`: of the class by the present settings.

        The servers may have recorded the attempt under either setting, so the shorter window counts.
        """
        return self.sent_us + min(self.window_us, window_us)


@dataclass(slots=True)
class KeyRecord:
    """The possible runs under a key in the order in which they were sent, and until when they are kept."""

    expires_us: int
    runs: list[PossibleRun] = field(default_factory=list)


class KeyExpiry(NamedTuple):
    """When to look at a key's record, which may expire later by then."""

    at_us: int
    key: IdempotencyKey


class IdempotencyCache:
    """The attempts that may have run, by key. Each key expires by its own time. Not thread-safe."""

    def __init__(self, counters: Counter[str], max_keys: int = MAX_KEYS) -> None:
        """Begin empty; keep at most `max_keys` keys, and count the dropped ones in `counters`."""
        self.counters = counters
        self.max_keys = max_keys
        self.records: dict[IdempotencyKey, KeyRecord] = {}
        self._expiries: list[KeyExpiry] = []  # a heap with one entry for each record

    def first_run(self, key: IdempotencyKey) -> PossibleRun | None:
        """Return the attempt that opened the deduplication window, or None where none is recorded."""
        record = self.records.get(key)
        return record.runs[0] if record is not None and record.runs else None

    def extend(self, key: IdempotencyKey, expires_us: int) -> None:
        """Keep a key, if it is recorded, until `expires_us` at least."""
        record = self.records.get(key)
        if record is not None:
            record.expires_us = max(record.expires_us, expires_us)

    def on_attempt_sent(self, key: IdempotencyKey, run: PossibleRun, expires_us: int) -> None:
        """Record an attempt that is sent, and keep its key until `expires_us` at least."""
        self._drop_expired(run.sent_us)
        record = self.records.get(key)
        if record is None:
            if len(self.records) >= self.max_keys:
                self._drop_next("idempotency_keys.evicted")
            record = self.records[key] = KeyRecord(expires_us)
            heapq.heappush(self._expiries, KeyExpiry(expires_us, key))
        record.expires_us = max(record.expires_us, expires_us)
        record.runs.append(run)

    def on_no_effect(self, key: IdempotencyKey, request: int, attempt: int) -> None:
        """Remove an attempt that is proved to have had no effect."""
        record = self.records.get(key)
        if record is not None:
            record.runs = [run for run in record.runs if (run.request, run.attempt) != (request, attempt)]

    def _drop_expired(self, now_us: int) -> None:
        for _ in range(MAX_EXPIRIES_PER_CALL):
            if not self._expiries or self._expiries[0].at_us >= now_us:
                return
            key = self._expiries[0].key
            expires_us = self.records[key].expires_us
            if expires_us >= now_us:
                heapq.heapreplace(self._expiries, KeyExpiry(expires_us, key))
            else:
                self._drop_next("idempotency_keys.expired")

    def _drop_next(self, reason: str) -> None:
        del self.records[heapq.heappop(self._expiries).key]
        self.counters[reason] += 1
