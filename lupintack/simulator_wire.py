"""Codec of the simulator's wire: decodes events and encodes actions."""

from __future__ import annotations

import math
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from lupintack import interface as i

HEADER = struct.Struct(">IdI")
EVENT_SIZE = 56
ACTION_SIZE = 40
LIST_ENTRY = struct.Struct(">IHHBHBfd")
_INSTANCE = struct.Struct(">H")
_INSTANCE_STARTED = struct.Struct(">QII")
_LIST_ENTRIES = struct.Struct(">HII")
_MEMBER_LIST = struct.Struct(">BIH")
_REQUEST = struct.Struct(">IHHQdfffH")
_ATTEMPT_STARTED = struct.Struct(">IHIHd")
_ATTEMPT_ENDED = struct.Struct(">IHIHBdBIdB4f")
_HEALTH_CHECK_ENDED = struct.Struct(">IHBdB4f")
_PURGED = struct.Struct(">QHd")
_PEER_MESSAGE = struct.Struct(">HII")
_RETRY_FLAG, _WRITE_FLAG = 2, 4
_COALESCE_FLAG, _ONLY_IF_CACHED_FLAG, _REVALIDATE_FLAG = 1, 2, 8
_MAX_LIST_NUMBER = 15
_MEMBER_LIST_CODE, _LIST_ENTRIES_CODE, _INSTANCE_CODE = 2, 12, 13  # of events
_SUBSCRIBE, _FETCH, _SET_TIMER, _FAIL, _INSTANCE_ACTIONS, _REJECT = 67, 68, 69, 70, 71, 72  # of actions
_INSTANCE_FAILED, _LOG, _CANCEL = 74, 75, 77
_NO_TIMEOUT = 0.0


class SimulatorWireError(ValueError):
    """The bytes violate the wire format."""


@dataclass(slots=True, frozen=True)
class InstanceStarted:
    """An instance has started."""

    seed: int
    settings: bytes


@dataclass(slots=True, frozen=True)
class InstanceStopped:
    """An instance was killed."""


@dataclass(slots=True, frozen=True)
class InstanceFailed:
    """The decision code of an instance has failed."""

    text: str


InstanceEvent = i.Event | InstanceStarted | InstanceStopped


@dataclass(slots=True)
class Decoder:
    """Decodes batches; keeps the numbered member lists, which all instances of a process share."""

    lists: dict[int, tuple[i.Member, ...]] = field(default_factory=dict)

    def events(self, body: bytes, count: int) -> Iterator[tuple[int, InstanceEvent]]:
        """Yield (instance, event) for each event; raise SimulatorWireError for an invalid record."""
        tail_start = count * EVENT_SIZE
        if tail_start > len(body):
            raise SimulatorWireError(f"{count} records do not fit in {len(body)} bytes")
        instance = -1
        for position in range(0, tail_start, EVENT_SIZE):
            code = body[position]
            if code == _INSTANCE_CODE:
                (instance,) = _INSTANCE.unpack_from(body, position + 1)
            elif code == _LIST_ENTRIES_CODE:
                self._read_list(body, position + 1, tail_start)
            elif instance < 0:
                raise SimulatorWireError("event record before any instance record")
            else:
                yield instance, self._event(code, body, position + 1, tail_start)

    def _read_list(self, body: bytes, position: int, tail_start: int) -> None:
        number, offset, entries = _LIST_ENTRIES.unpack_from(body, position)
        if number > _MAX_LIST_NUMBER:
            raise SimulatorWireError(f"list number {number} out of range")
        raw = _slice(body, tail_start, offset, entries * LIST_ENTRY.size)
        self.lists[number] = tuple(_member(raw, n) for n in range(0, len(raw), LIST_ENTRY.size))

    def _event(self, code: int, body: bytes, position: int, tail_start: int) -> InstanceEvent:
        try:
            if code == _MEMBER_LIST_CODE:
                return self._member_list(body, position)
            reader = _EVENT_READERS.get(code)
            if reader is not None:
                return reader(body, position, tail_start)
        except SimulatorWireError:
            raise
        except ValueError as error:
            raise SimulatorWireError(f"event {code}: {error}") from None
        raise SimulatorWireError(f"unknown event code {code}")

    def _member_list(self, body: bytes, position: int) -> i.MemberList:
        kind, version, number = _MEMBER_LIST.unpack_from(body, position)
        if kind == i.ListKind.FAILED:
            return i.MemberList(i.ListKind.FAILED)
        if number not in self.lists:
            raise SimulatorWireError(f"list {number} is unknown")
        return i.MemberList(i.ListKind(kind), self.lists[number], version)


def _instance_started(body: bytes, position: int, tail_start: int) -> InstanceStarted:
    seed, offset, length = _INSTANCE_STARTED.unpack_from(body, position)
    return InstanceStarted(seed, _slice(body, tail_start, offset, length))


def _instance_stopped(body: bytes, position: int, tail_start: int) -> InstanceStopped:
    return InstanceStopped()


def _request(body: bytes, position: int, tail_start: int) -> i.Request:
    request, cls, tenant, object_id, deadline, size, group, part, flags = _REQUEST.unpack_from(body, position)
    return i.Request(
        request,
        cls,
        object_id,
        deadline,
        size,
        _finite_int(group),
        _finite_int(part),
        tenant,
        bool(flags & _RETRY_FLAG),
        bool(flags & _WRITE_FLAG),
    )


def _attempt_started(body: bytes, position: int, tail_start: int) -> i.AttemptStarted:
    request, attempt, host, port, elapsed = _ATTEMPT_STARTED.unpack_from(body, position)
    return i.AttemptStarted(request, attempt, host << 16 | port, elapsed)


def _attempt_ended(body: bytes, position: int, tail_start: int) -> i.AttemptEnded:
    request, attempt, host, port, outcome, elapsed, final, status, fill_wait, count, *load = (
        _ATTEMPT_ENDED.unpack_from(body, position)
    )
    return i.AttemptEnded(
        request,
        attempt,
        host << 16 | port,
        i.Outcome(outcome),
        elapsed,
        bool(final),
        i.CacheStatus(status),
        fill_wait,
        _load_report(count, tuple(load)),
    )


def _client_disconnected(body: bytes, position: int, tail_start: int) -> i.ClientDisconnected:
    return i.ClientDisconnected(int.from_bytes(body[position : position + 4], "big"))


def _timer_fired(body: bytes, position: int, tail_start: int) -> i.TimerFired:
    return i.TimerFired(int.from_bytes(body[position : position + 8], "big"))


def _health_check_ended(body: bytes, position: int, tail_start: int) -> i.HealthCheckEnded:
    host, port, outcome, elapsed, count, *load = _HEALTH_CHECK_ENDED.unpack_from(body, position)
    report = _load_report(count, tuple(load))
    return i.HealthCheckEnded(host << 16 | port, i.Outcome(outcome), elapsed, report)


def _peer_message(body: bytes, position: int, tail_start: int) -> i.PeerMessage:
    sender, offset, length = _PEER_MESSAGE.unpack_from(body, position)
    return i.PeerMessage(sender, _slice(body, tail_start, offset, length))


def _purged(body: bytes, position: int, tail_start: int) -> i.Purged:
    return i.Purged(*_PURGED.unpack_from(body, position))


_EVENT_READERS: dict[int, Callable[[bytes, int, int], InstanceEvent]] = {
    1: _instance_started,
    3: _request,
    4: _attempt_started,
    5: _attempt_ended,
    6: _client_disconnected,
    7: _timer_fired,
    8: _health_check_ended,
    9: _peer_message,
    10: _instance_stopped,
    11: _purged,
}
"""By the code of an event: a function of the body, the position after the code, and the start of the tail."""


def _slice(body: bytes, tail_start: int, offset: int, length: int) -> bytes:
    start = tail_start + offset
    if start + length > len(body):
        raise SimulatorWireError(f"tail field at {offset}, length {length}, runs past the frame")
    return body[start : start + length]


def _member(raw: bytes, position: int) -> i.Member:
    host, port, zone, kind, cell, state, size, started = LIST_ENTRY.unpack_from(raw, position)
    try:
        return i.Member(host << 16 | port, zone, kind, cell, i.MemberState(state), size, started)
    except ValueError as error:
        raise SimulatorWireError(f"list entry: {error}") from None


def _finite_int(value: float) -> int:
    return int(value) if math.isfinite(value) else 0


def _load_report(count: int, values: tuple[float, ...]) -> tuple[float, ...]:
    if count > len(values):
        raise SimulatorWireError(f"load report of {count} values")
    return values[:count]


def encode(batches: list[tuple[int, list[i.Action | InstanceFailed]]]) -> bytes:
    """Return the reply to a batch: the actions of each instance, in order."""
    records: list[bytes] = []
    tail = bytearray()
    for instance, actions in batches:
        if actions:
            records.append(struct.pack(">BH", _INSTANCE_ACTIONS, instance))
            records.extend(_encode_action(action, tail) for action in actions)
    body = b"".join(record.ljust(ACTION_SIZE, b"\0") for record in records) + bytes(tail)
    return struct.pack(">II", len(body), len(records)) + body


def _encode_action(action: i.Action | InstanceFailed, tail: bytearray) -> bytes:
    """Return an action's record, and append its text to the tail; raise TypeError for an unknown action."""
    match action:
        case i.Fetch():
            return _fetch_record(action)
        case i.Cancel():
            return struct.pack(">BIH", _CANCEL, action.request, action.attempt)
        case i.Reject():
            return struct.pack(">BId", _REJECT, action.request, action.retry_after_ms)
        case i.Fail():
            return struct.pack(">BI", _FAIL, action.request)
        case i.SetTimer():
            return struct.pack(">BdQ", _SET_TIMER, action.at_ms, action.token)
        case i.Subscribe():
            return struct.pack(">BB", _SUBSCRIBE, 1)
        case i.Log():
            return _text_record(_LOG, _member_prefix(action.member) + action.text, tail)
        case InstanceFailed():
            return _text_record(_INSTANCE_FAILED, action.text, tail)
    raise TypeError(f"not an action: {action!r}")


def _fetch_record(action: i.Fetch) -> bytes:
    flags = (
        _COALESCE_FLAG * action.coalesce
        | _REVALIDATE_FLAG * action.revalidate
        | _ONLY_IF_CACHED_FLAG * action.only_if_cached
    )
    return struct.pack(
        ">BIdBIHIHdB",
        _FETCH,
        action.request,
        action.max_age_ms,
        action.retention_priority,
        action.source >> 16,
        action.source & 0xFFFF,
        action.member >> 16,
        action.member & 0xFFFF,
        _NO_TIMEOUT,
        flags,
    )


def _text_record(code: int, text: str, tail: bytearray) -> bytes:
    raw = text.encode()
    offset = len(tail)
    tail += raw
    return struct.pack(">BII", code, offset, len(raw))


def _member_prefix(member: int) -> str:
    """Return the prefix of a log line with a member's address, empty for no member."""
    if not member:
        return ""
    host = ".".join(str(byte) for byte in (member >> 16).to_bytes(6, "big")[-4:])
    return f"{host}:{member & 0xFFFF} "
