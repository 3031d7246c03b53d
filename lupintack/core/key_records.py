"""Records by which one process of a router tells the others of attempts under idempotency keys. Pure."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any


class KeyRecordError(ValueError):
    """A record is none of this version."""


@dataclass(frozen=True, slots=True)
class RunShared:
    """An attempt that may run from now on; times are on the machine's monotonic clock.

    `run_id` identifies the request among those of all processes, `attempt` the attempt within it.
    """

    class_name: str
    key: str
    run_id: int
    attempt: int
    sent_us: int
    member: int
    window_us: int
    expires_us: int


@dataclass(frozen=True, slots=True)
class RunWithdrawn:
    """An attempt that had no effect."""

    class_name: str
    key: str
    run_id: int
    attempt: int


KeyRecord = RunShared | RunWithdrawn
_RUN_SHARED_TYPES = (str, str, int, int, int, int, int, int)
_RUN_WITHDRAWN_TYPES = (str, str, int, int)


def encode_key_records(records: list[KeyRecord]) -> bytes:
    """Return one record of the log for several of keys."""
    return json.dumps([_to_row(record) for record in records]).encode()


def _to_row(record: KeyRecord) -> list[str | int]:
    row: list[str | int] = [record.class_name, record.key, record.run_id, record.attempt]
    if isinstance(record, RunShared):
        row += [record.sent_us, record.member, record.window_us, record.expires_us]
    return row


def decode_key_records(raw: bytes) -> list[KeyRecord]:
    """Return the records of keys in a record of the log; raise KeyRecordError if any is none."""
    try:
        return [_read_row(row) for row in _read_list(json.loads(raw))]
    except (ValueError, TypeError, RecursionError) as error:
        raise KeyRecordError(f"not records of keys: {error}") from None


def _read_list(value: Any) -> list[list[Any]]:
    if not isinstance(value, list) or not all(isinstance(row, list) for row in value):
        raise KeyRecordError(f"not records of keys: {value!r:.80}")
    return value


def _read_row(row: list[Any]) -> KeyRecord:
    types = tuple(map(type, row))
    if types == _RUN_SHARED_TYPES:
        return RunShared(*row)
    if types == _RUN_WITHDRAWN_TYPES:
        return RunWithdrawn(*row)
    raise KeyRecordError(f"not a record of a key: {row!r:.80}")
