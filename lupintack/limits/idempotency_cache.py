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
MAX_RUNS_PER_KEY = 64  # attempts of all requests with one key
MAX_EXPIRIES_PER_CALL = 16  # keys looked at in one call: bounds what one attempt pays for others


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
    is_bounded: bool = True  # counts against the bound
    runs: list[PossibleRun] = field(default_factory=list)


class KeyExpiry(NamedTuple):
    """When to look at a key's record, which may expire later by then."""

    at_us: int
    key: IdempotencyKey


class IdempotencyCache:
    """The attempts that may have run, by key. Each key expires by its own time. Not thread-safe.

    A full cache takes no further key, and no further attempt under a full key: what it can't record must not
    be sent, as its effect could be repeated.
    """

    def __init__(self, counters: Counter[str], max_keys: int = MAX_KEYS) -> None:
        """Begin empty; keep at most `max_keys` keys, and count the expired ones in `counters`."""
        self.counters = counters
        self.max_keys = max_keys
        self.records: dict[IdempotencyKey, KeyRecord] = {}
        self.bounded_count = 0  # of the records that count against the bound
        self._expiries: list[KeyExpiry] = []  # a heap with one entry for each record

    def reserve(self, key: IdempotencyKey, now_us: int, expires_us: int, is_bounded: bool = True) -> bool:
        """Keep a key until `expires_us` at least; return False if the cache is full and lacks it.

        `is_bounded`: False for keys that another process has accepted, whose number the shared log bounds.
        """
        record = self.records.get(key)
        if record is not None:
            record.expires_us = max(record.expires_us, expires_us)
            return True
        self._drop_expired(now_us)
        if is_bounded and self.bounded_count >= self.max_keys:
            return False
        self.records[key] = KeyRecord(expires_us, is_bounded)
        self.bounded_count += is_bounded
        heapq.heappush(self._expiries, KeyExpiry(expires_us, key))
        return True

    def first_run(self, key: IdempotencyKey) -> PossibleRun | None:
        """Return the attempt that opened the deduplication window, or None where none is recorded."""
        record = self.records.get(key)
        return record.runs[0] if record is not None and record.runs else None

    def window_end_us(self, key: IdempotencyKey, window_us: int) -> int | None:
        """Return until when duplicates of all possible runs are dropped, or None where none is recorded.

        `window_us`: of the class by the present settings. Windows that settings have changed may end in
        another order than that of the attempts.
        """
        record = self.records.get(key)
        if record is None or not record.runs:
            return None
        return min(run.window_end_us(window_us) for run in record.runs)

    def add_run(self, key: IdempotencyKey, run: PossibleRun) -> bool:
        """Record an attempt under a reserved key; return False if the key is full: it must not be sent."""
        runs = self.records[key].runs
        if len(runs) >= MAX_RUNS_PER_KEY:
            return False
        runs.append(run)
        return True

    def remove_run(self, key: IdempotencyKey, request: int, attempt: int) -> bool:
        """Remove an attempt that is proved to have had no effect; return whether it was recorded."""
        record = self.records.get(key)
        if record is None:
            return False
        count = len(record.runs)
        record.runs = [run for run in record.runs if (run.request, run.attempt) != (request, attempt)]
        return len(record.runs) < count

    def _drop_expired(self, now_us: int) -> None:
        """Drop some of the keys that have expired."""
        for _ in range(MAX_EXPIRIES_PER_CALL):
            if not self._expiries or self._expiries[0].at_us >= now_us:
                return
            key = self._expiries[0].key
            record = self.records[key]
            expires_us = record.expires_us
            if expires_us >= now_us:
                heapq.heapreplace(self._expiries, KeyExpiry(expires_us, key))
                continue
            heapq.heappop(self._expiries)
            del self.records[key]
            self.bounded_count -= record.is_bounded
            self.counters["idempotency_keys.expired"] += 1
