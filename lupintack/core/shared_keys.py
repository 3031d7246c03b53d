"""The idempotency keys that the processes of one router share, through a log of all of them."""

from __future__ import annotations

import logging
import secrets
from collections import deque
from collections.abc import Callable
from itertools import islice

from lupintack.clock import now_us
from lupintack.core.counters import Counters
from lupintack.core.key_records import (
    KeyRecord,
    KeyRecordError,
    RunShared,
    RunWithdrawn,
    decode_key_records,
    encode_key_records,
)
from lupintack.core.record_log import DamagedLogError, RecordLog, RecordLogError
from lupintack.limits.idempotency_cache import IdempotencyCache, IdempotencyKey, PossibleRun
from lupintack.logs import LineLimit, fields

LOG = logging.getLogger("core")
MAX_LINES_PER_S = 2
MAX_WITHDRAWN_PER_RECORD = 64
WITHDRAWN_LIFETIME_US = 10_000_000  # for a process that starts later, such an attempt may have run
PROCESS_ID_BITS = 30
REQUEST_NUMBER_BITS = 32
NEVER_US = -(1 << 62)


class SharedKeys:
    """Keeps this process's cache of keys up to date with the others'. Used by the core's turn alone."""

    def __init__(self, log: RecordLog, cache: IdempotencyCache, counters: Counters) -> None:
        """`cache`: of this process, which also has the runs of the others."""
        self._log = log
        self._cache = cache
        self._counters = counters
        self._process_id = secrets.randbelow((1 << PROCESS_ID_BITS) - 1) + 1
        self._withdrawn: deque[RunWithdrawn] = deque()  # not told yet
        self._last_gap_us = NEVER_US
        self._lines = LineLimit(MAX_LINES_PER_S)

    def run_id(self, request_number: int) -> int:
        """Return the id of a request of this process among those of all processes."""
        return self._process_id << REQUEST_NUMBER_BITS | request_number

    def has_pending(self) -> bool:
        """Return whether `synchronize` has something to do; may be called by any thread."""
        return bool(self._withdrawn) or self._log.has_unread()

    def read(self) -> None:
        """Take over what other processes have added."""
        if self._log.has_unread():
            try:
                self._log.poll(self._on_record)
            except RecordLogError as error:
                self._on_unreadable(error)

    def synchronize(self) -> None:
        """Take over what others have added, and tell them of attempts without effect."""
        self.read()
        if self._withdrawn:
            try:
                self._log.update(self._on_record, self._encode_withdrawn, WITHDRAWN_LIFETIME_US)
            except RecordLogError as error:  # the others hold retries back for longer than they must
                self._log_error("withdrawn attempts not shared", error)

    def share(self, record: Callable[[], RunShared | None], lifetime_us: int) -> bool:
        """Take over what others have added, then record an attempt for all; return False if that fails.

        `record` records it in this process, and returns None if that is not possible.
        """
        run: RunShared | None = None

        def create() -> bytes | None:
            nonlocal run
            run = record()
            return None if run is None else encode_key_records([*self._next_withdrawn(), run])

        try:
            self._log.update(self._on_record, create, lifetime_us)
        except RecordLogError as error:
            if isinstance(error, DamagedLogError):
                self._on_unreadable(error)
            self._counters["idempotency_keys.not_shared"] += 1
            self._log_error("attempt not shared", error)
            return False
        return run is not None

    def withdraw(self, record: RunWithdrawn) -> None:
        """Tell the other processes, with the next record, that an attempt had no effect."""
        self._withdrawn.append(record)

    def on_gap(self, at_us: int) -> None:
        """Act as if any record until a time had been missed."""
        self._last_gap_us = max(self._last_gap_us, at_us)

    def may_lack_runs(self, now: int, lifetime_us: int) -> bool:
        """Return whether an attempt of the last `lifetime_us` may be known to another process alone."""
        return now - self._last_gap_us < lifetime_us

    def _encode_withdrawn(self) -> bytes:
        return encode_key_records(self._next_withdrawn())

    def _next_withdrawn(self) -> list[KeyRecord]:
        batch: list[KeyRecord] = list(islice(self._withdrawn, MAX_WITHDRAWN_PER_RECORD))
        for _ in batch:
            self._withdrawn.popleft()
        return batch

    def _on_record(self, raw: bytes) -> None:
        """Take over one record of the log."""
        try:
            records = decode_key_records(raw)
        except KeyRecordError as error:  # of a version that says more than this one understands
            self._on_unreadable(error)
            return
        now = now_us()
        for record in records:
            key = IdempotencyKey(record.class_name, record.key)
            if isinstance(record, RunWithdrawn):
                self._cache.remove_run(key, record.run_id, record.attempt)
            elif record.expires_us > now:
                run = PossibleRun(
                    record.sent_us, record.member, record.run_id, record.attempt, record.window_us
                )
                self._cache.reserve(key, now, record.expires_us, is_bounded=False)
                # Of a key with too many runs the first ones count; no further one is sent either.
                self._cache.add_run(key, run)

    def _on_unreadable(self, error: Exception) -> None:
        self.on_gap(now_us())
        self._log_error("keys of other processes may be missing", error)

    def _log_error(self, event: str, error: Exception) -> None:
        if self._lines.allow(now_us()) >= 0:
            LOG.error(event, extra=fields(reason=error))
