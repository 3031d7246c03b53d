"""The platform's protocol to members: encodes attempts as commands and parses answers for the core.

The names of the protocol's commands, fields and values occur only in this module.
"""

from __future__ import annotations

import math
import re
from typing import NamedTuple

from lupintack.clock import now_us
from lupintack.core.attempt_status import AttemptStatus
from lupintack.core.entity_tags import TAG
from lupintack.core.messages import Answer, Attempt, ClientRequest
from lupintack.core.timestamps import CopyClock
from lupintack.interface import CacheStatus
from lupintack.peers import resp
from lupintack.peers.resp import FrameError

STATUSES = {
    b"ok": AttemptStatus.SERVED,
    b"current": AttemptStatus.NOT_MODIFIED,
    b"nothing": AttemptStatus.MISS,
    b"refused": AttemptStatus.REJECTED,
    b"error": AttemptStatus.ERROR,
    b"stale": AttemptStatus.EXPIRED,
}
STATUSES_WITH_COPY = frozenset({AttemptStatus.SERVED, AttemptStatus.NOT_MODIFIED})
CACHE_STATUSES = {letter: CacheStatus(number) for number, letter in enumerate("hfojsrblnx", 1)}
FIELD_NAMES = frozenset({"entity", "issued", "tell", "delay", "meter"})
REQUIRED_FIELDS = 4  # of an attempt
ANSWER_STRINGS = 4
HEALTH_CHECK_ANSWER_STRINGS = (2, 4)
HEALTH_CHECK_WORDS = (b"yes", b"no")
MAX_ERROR_TEXT_CHARACTERS = 200  # error texts that quote an answer are cut to this

WIRE_ID = re.compile(rb"[0-9a-f]{16}")
HEALTH_CHECK_TAG = re.compile(rb"\d{1,20}")
ISSUED_MS = re.compile(r"[0-9]{1,15}")


class InvalidFieldError(FrameError):
    """A field's value is not what the protocol allows."""

    def __init__(self, field: str, value: object, expected: str) -> None:
        """`expected`: a description of valid values."""
        super().__init__(f"field {field!r} is not {expected}: {value!r}"[:MAX_ERROR_TEXT_CHARACTERS])
        self.field = field
        self.value = value


class UnencodableFieldError(ValueError):
    """A value that can't be written into the fields of a command."""


class Flags(NamedTuple):
    """Options of an attempt at its member."""

    coalesce: bool
    only_if_cached: bool
    revalidate: bool

    def encode(self) -> str:
        """Return the value of the field `f`, empty for none."""
        words = zip(("wait-for", "no-fetch", "background"), self, strict=True)
        return "+".join(word for word, is_on in words if is_on)


_BOOLEANS = (False, True)
ENCODED_FLAGS: dict[tuple[bool, bool, bool], str] = {
    flags: flags.encode()
    for flags in (
        Flags(first, second, third) for first in _BOOLEANS for second in _BOOLEANS for third in _BOOLEANS
    )
}


def encode_attempt(attempt: Attempt, now_us: int) -> bytes:
    """Return the command of an attempt; its limit is the time left until the client's deadline.

    Raises UnencodableFieldError for a value that a member would read as something else.
    """
    request = attempt.request
    limit_ms = max(1, (request.deadline_us - now_us) // 1000)
    fields = f"cls={attempt.class_name},item={request.item},chunk={request.part},limit={limit_ms}"
    count = REQUIRED_FIELDS
    if attempt.source_name:
        fields += f",miss={attempt.source_name}"
        count += 1
    if attempt.retention_priority:
        fields += f",prio={attempt.retention_priority}"
        count += 1
    if attempt.max_age_ms > 0:
        # Rounded down, but not to 0, which would mean the whole freshness lifetime.
        fields += f",within={max(1, math.floor(attempt.max_age_ms))}"
        count += 1
    flags = ENCODED_FLAGS[attempt.coalesce, attempt.only_if_cached, attempt.revalidate]
    if flags:
        fields += f",f={flags}"
        count += 1
    if request.idempotency_key:
        fields += f",nonce={request.idempotency_key}"
        count += 1
    if request.cached_tags.tags:
        fields += f",mine={request.cached_tag}"
        count += 1
    check_fields(fields, count)
    wire_id, body = request.wire_id.encode(), request.body
    head = b"*4\r\n$4\r\nwant\r\n$%d\r\n%b\r\n" % (len(wire_id), wire_id)
    return b"%b$%d\r\n%b\r\n$%d\r\n%b\r\n" % (head, len(fields), fields.encode(), len(body), body)


def check_fields(text: str, count: int) -> None:
    """Raise UnencodableFieldError unless a text is `count` fields of one name and one value in visible ASCII.

    With more separators than these have, a value holds one.
    """
    has_own_separators_alone = text.count(",") == count - 1 and text.count("=") == count
    if not (has_own_separators_alone and text.isascii() and text.isprintable() and " " not in text):
        raise UnencodableFieldError(f"can't be written as fields: {text!r}"[:MAX_ERROR_TEXT_CHARACTERS])


def encode_cancel(wire_id: str) -> bytes:
    """Return the command that cancels an attempt."""
    return resp.encode_command(b"never_mind", wire_id.encode())


def encode_health_check(now_us: int) -> bytes:
    """Return a health check of the connection, with the time as its tag."""
    return resp.encode_command(b"there", b"%d" % now_us)


def parse_answer(
    parts: list[bytearray], request: ClientRequest, load_report_fields: tuple[str, ...], clock: CopyClock
) -> tuple[AttemptStatus, Answer]:
    """Parse an answer of the strings id, word, fields and body; raise FrameError if any is invalid.

    A corrupted answer is rejected as a whole: if one part violates the protocol, the others cannot be trusted
    either, and a corrupted tag would be sent in the head of the client's answer.
    """
    status = STATUSES.get(bytes(parts[1]))
    if status is None:
        raise FrameError(f"unknown answer word {bytes(parts[1][:16])!r}")
    fields = resp.parse_fields(parts[2])
    if not FIELD_NAMES.issuperset(fields):
        raise FrameError(f"unknown field among {sorted(fields)!r}"[:MAX_ERROR_TEXT_CHARACTERS])
    tag, issued_ms = parse_copy(fields)
    needs_copy = status in STATUSES_WITH_COPY and not request.is_write
    if needs_copy and not (tag and issued_ms and clock.observe(issued_ms * 1000, now_us())):
        raise FrameError(f"copy without a tag or a plausible time: {tag!r}, {issued_ms}")
    if status is AttemptStatus.NOT_MODIFIED and not confirms_cached(request, tag, parts[3]):
        raise FrameError("not-modified answer for a copy that the client does not have")
    return status, Answer(
        body=parts[3],
        tag=tag,
        issued_ms=issued_ms,
        cache_status=parse_cache_status(fields),
        source_wait_ms=parse_number("delay", fields.get("delay", "0")),
        load_report=parse_load_report(fields.get("meter", ""), load_report_fields),
    )


def parse_copy(fields: dict[str, str]) -> tuple[str, int]:
    """Return the entity tag and the Unix time in ms of a copy; empty and 0 if the answer has none."""
    tag, issued = fields.get("entity", ""), fields.get("issued", "0")
    if tag and not TAG.fullmatch(tag):
        raise InvalidFieldError("entity", tag, "an entity tag")
    if not ISSUED_MS.fullmatch(issued):
        raise InvalidFieldError("issued", issued, "a Unix time in ms")
    return tag, int(issued)


def confirms_cached(request: ClientRequest, tag: str, body: bytearray) -> bool:
    """Return whether a not-modified answer has the tag of the client's copy, and no body."""
    return bool(tag) and tag == request.cached_tag and not body


def parse_cache_status(fields: dict[str, str]) -> CacheStatus:
    """Return the cache status in an answer, UNKNOWN if it has none."""
    if "tell" not in fields:
        return CacheStatus.UNKNOWN
    status = CACHE_STATUSES.get(fields["tell"])
    if status is None:
        raise InvalidFieldError("tell", fields["tell"], "a cache status")
    return status


def parse_number(field: str, text: str) -> float:
    """Return a field's number; raise InvalidFieldError unless it is finite and not negative."""
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0.0 <= value < math.inf:
        raise InvalidFieldError(field, text, "a finite non-negative number")
    return value


def parse_load_report(text: str, names: tuple[str, ...]) -> tuple[float, ...]:
    """Return a load report's values in the order of the settings, or none if one is missing."""
    if not text:
        return ()
    values = resp.parse_fields(text.encode(), ";", ":")
    if any(name not in values for name in names):
        return ()
    return tuple(parse_number(name, values[name]) for name in names)


def is_health_check_answer(parts: list[bytearray]) -> bool:
    """Return whether this answers a health check: its tag, `yes` or `no`, and optionally `-` and no body.

    A `no`, for instance from a member without capacity for a health check, also shows that the connection
    works. Handled as a bad frame, it would end the connection and all attempts on it.
    """
    if len(parts) not in HEALTH_CHECK_ANSWER_STRINGS or bytes(parts[1]) not in HEALTH_CHECK_WORDS:
        return False
    return HEALTH_CHECK_TAG.fullmatch(parts[0]) is not None
