"""Handoff in an upgrade: learned state and local copies, from the old process to the new one. No I/O.

Both processes run on one machine, so the router's times are valid in both. Every field is validated when it
is read, and an invalid handoff is ignored. The JSON keys must not change between versions.
"""

from __future__ import annotations

import json
import math
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from lupintack.core.core_state import CoreState
from lupintack.core.local_cache import CachedCopy, LocalCache
from lupintack.core.messages import Answer
from lupintack.decisions.learned_state import (
    MAX_LEARNED_REQUESTS,
    LearnedClass,
    LearnedEndpoint,
    LearnedState,
    learned_state,
    restore,
)
from lupintack.decisions.router import Router
from lupintack.interface import UNKNOWN_GROUP

VERSION = 1
RECORD_HEADER = struct.Struct(">II")  # lengths of a record's JSON and of its body
MAX_JSON_BYTES = 4 << 20
MAX_BODY_BYTES = 240_000


class HandoffError(ValueError):
    """A record of the handoff is invalid."""


@dataclass(slots=True)
class HandoffRequest:
    """A request for the core's state; `on_state` is called in the core's turn, and must not block."""

    on_state: Callable[[HandoffState], None]


@dataclass(slots=True)
class HandoffState:
    """A snapshot of the core's state, taken in one turn."""

    learned: dict[str, Any]
    copies: list[tuple[tuple[int, int], CachedCopy]]  # the least recently used first

    def records(self, max_copy_bytes: int) -> Iterator[bytes]:
        """Yield the file's parts in order: the learned state, then the most recently used copies that fit."""
        yield from encode_record(self.learned)
        size, first = 0, len(self.copies)
        while first and size + len(self.copies[first - 1][1].answer.body) <= max_copy_bytes:
            first -= 1
            size += len(self.copies[first][1].answer.body)
        for (object_id, part), copy in self.copies[first:]:
            answer = copy.answer
            fields = [object_id, part, copy.group, answer.tag, answer.issued_ms]
            yield from encode_record(fields, answer.body)


def encode_record(fields: object, body: bytes | bytearray | memoryview = b"") -> Iterator[bytes]:
    """Yield a record's parts: the header with the fields, then the body if there is one."""
    text = json.dumps(fields).encode()
    yield RECORD_HEADER.pack(len(text), len(body)) + text
    if body:
        yield bytes(body)


def capture_state(state: CoreState) -> HandoffState:
    """Return the router's learned state and the local copies; called in the core's turn.

    Copies whose group is from metadata stay here: another process can't tell whether that has changed.
    """
    items = state.local_cache.copies.items() if state.local_cache is not None else ()
    copies = [(key, copy) for key, copy in items if copy.metadata_version is None]
    return HandoffState(learned_record(state.router), copies)


def learned_record(router: Router) -> dict[str, Any]:
    """Return a router's learned state as the JSON record that is written."""
    learned = learned_state(router)
    return {
        "version": VERSION,
        "classes": {name: list(means) for name, means in learned.classes.items()},
        "split": learned.priority_threshold,
        "seen": [[object_id, part, at_ms] for (object_id, part), at_ms in learned.last_requests],
        "peers": {
            str(id_): [finite_or_none(value) for value in endpoint]
            for id_, endpoint in learned.endpoints.items()
        },
    }


def finite_or_none(value: float | None) -> float | None:
    """Return the value, or None for an infinity, which JSON doesn't have."""
    return value if value is not None and math.isfinite(value) else None


def restore_record(router: Router, record: Any) -> bool:
    """Restore a record to a router that has its first list; return False if the record is invalid."""
    try:
        if record["version"] != VERSION:
            return False
        learned = read_learned_state(record)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError):
        return False
    restore(router, learned)
    return True


def read_learned_state(record: Any) -> LearnedState:
    """Validate a record field by field; skip classes and members with another number of values than now.

    Raises KeyError, TypeError, ValueError, AttributeError or OverflowError for an invalid record.
    """
    classes = {str(name): [finite_number(x) for x in means] for name, means in record["classes"].items()}
    last_requests = [
        ((int(object_id), int(part)), finite_number(at_ms))
        for object_id, part, at_ms in record["seen"][:MAX_LEARNED_REQUESTS]
    ]
    endpoints = {
        int(id_): [None if x is None else finite_number(x) for x in values]
        for id_, values in record["peers"].items()
    }
    return LearnedState(
        classes={
            name: LearnedClass(*means)
            for name, means in classes.items()
            if len(means) == len(LearnedClass._fields)
        },
        priority_threshold=finite_number(record["split"]),
        last_requests=last_requests,
        endpoints={
            id_: LearnedEndpoint(*values)
            for id_, values in endpoints.items()
            if len(values) == len(LearnedEndpoint._fields)
        },
    )


def finite_number(value: Any) -> float:
    """Return the value; raise HandoffError if it is not a finite number."""
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
        raise HandoffError(f"not a finite number: {value!r:.40}")
    return value


def read_records(read_bytes: Callable[[int], bytes]) -> Iterator[tuple[Any, bytes]]:
    """Yield (fields, body) of each record; raise HandoffError, or ValueError for malformed JSON."""
    while head := read_bytes(RECORD_HEADER.size):
        if len(head) < RECORD_HEADER.size:
            raise HandoffError(f"a record header was cut short after {len(head)} bytes")
        text_length, body_length = RECORD_HEADER.unpack(head)
        if text_length > MAX_JSON_BYTES or body_length > MAX_BODY_BYTES:
            raise HandoffError(f"record too large: JSON bytes {text_length}, body bytes {body_length}")
        text, body = read_bytes(text_length), read_bytes(body_length)
        if len(text) < text_length or len(body) < body_length:
            raise HandoffError(f"a record was cut short after {len(text) + len(body)} bytes")
        yield json.loads(text), body


def restore_copy(copies: LocalCache, fields: Any, body: bytes) -> None:
    """Store one copy; raise ValueError or TypeError if the record is not a valid copy."""
    object_id, part, group, tag, issued_ms = fields
    numbers = (object_id, part, issued_ms)
    is_group = type(group) is int and group >= UNKNOWN_GROUP
    if not (body and isinstance(tag, str) and is_group and all(type(x) is int and x >= 0 for x in numbers)):
        raise HandoffError(f"not a valid copy: {fields!r:.80}")
    copies.put((object_id, part), group, Answer(body, tag, issued_ms))
