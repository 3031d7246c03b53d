"""Parses header fields and targets of the platform's requests; only this module contains their names."""

from __future__ import annotations

import re
from collections.abc import Mapping

from lupintack.core.entity_tags import NO_TAGS, CachedTags, parse_if_none_match
from lupintack.fronts.exchange import HttpError
from lupintack.interface import UNKNOWN_GROUP

HEALTH_TARGET = "/alive"
PART_PARAMETER = "nth"
MAX_PART = 65_535
MAX_WAIT_MS = 120_000
MAX_GROUP = 255
MAX_DIGITS = 9
RETRY_AFTER = "Srv-Wait-Ms"

_TARGET = re.compile(
    rf"/ops/(?P<class_name>[A-Za-z0-9_.-]{{1,64}})/(?P<item>[0-9a-f]{{16}})"
    rf"(?:\?{PART_PARAMETER}=(?P<part>\d{{1,9}}))?"
)
_REQUEST_ID = re.compile(r"[0-9a-f]{16}")
_IDEMPOTENCY_KEY = re.compile(r"[0-9A-Za-z_.-]{1,64}")  # characters that a field of an attempt may contain
_SIZE_KB = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")


def match_target(target: str) -> re.Match[str] | None:
    """Return the match of a content target with groups `class_name`, `item` and `part`, or None."""
    return _TARGET.fullmatch(target)


def has_request_id(headers: Mapping[str, str]) -> bool:
    """Return whether the request has an id."""
    return "req-id" in headers


def parse_request_id(headers: Mapping[str, str], default: str = "") -> str:
    """Return the request's id, or `default` without one; raise HttpError if it is not 16 hex digits."""
    request_id = headers.get("req-id", "") or default
    if not _REQUEST_ID.fullmatch(request_id):
        raise HttpError(400, "Req-Id: 16 hex digits are wanted")
    return request_id


def missing_request_id() -> HttpError:
    """Return the error for a request without an id that must not run twice."""
    return HttpError(400, "Req-Id is wanted: without it a repeat of this request can't be told")


def parse_wait_ms(headers: Mapping[str, str], default: str = "") -> int:
    """Return how long the client waits, in milliseconds."""
    return parse_number(headers.get("req-wait-ms", default), "Req-Wait-Ms", MAX_WAIT_MS)


def zero_wait() -> HttpError:
    """Return the error for a request with a wait of 0 ms."""
    return HttpError(400, "Req-Wait-Ms: nobody waits")


def parse_part(text: str | None) -> int:
    """Return the number of the part in a target, 0 without one."""
    return parse_number(text or "0", PART_PARAMETER, MAX_PART)


def parse_group(headers: Mapping[str, str]) -> int:
    """Return the content group, UNKNOWN_GROUP without one."""
    text = headers.get("x-batch")
    return UNKNOWN_GROUP if text is None else parse_number(text, "X-Batch", MAX_GROUP)


def parse_idempotency_key(headers: Mapping[str, str]) -> str:
    """Return the client's idempotency key, empty without one."""
    key = headers.get("req-token", "")
    if key and not _IDEMPOTENCY_KEY.fullmatch(key):
        raise HttpError(400, "Req-Token: 1 to 64 letters, digits, `_`, `.` or `-` are wanted")
    return key


def missing_idempotency_key() -> HttpError:
    """Return the error for a request of a keyed class without a key."""
    return HttpError(400, "Req-Token: a class with keys wants one")


def parse_size_kb(headers: Mapping[str, str]) -> float:
    """Return the part's size in KB, 0 without one."""
    text = headers.get("req-kb", "")
    if text and not _SIZE_KB.fullmatch(text):
        raise HttpError(400, "Req-Kb: a size in KB is wanted, such as 412.5")
    return float(text or 0.0)


def parse_cached_tags(headers: Mapping[str, str], is_write: bool) -> CachedTags:
    """Return the tags of the client's own copies; none for a write, as no copy of it is ever kept."""
    return NO_TAGS if is_write else parse_if_none_match(headers.get("if-none-match", ""))


def is_retry(headers: Mapping[str, str]) -> bool:
    """Return whether the client marks its request as a retry."""
    return headers.get("req-retry") == "1"


def entity_tag(tag: str) -> list[tuple[str, object]]:
    """Return the header fields for a copy's tag, none for an empty one."""
    return [("ETag", f'"{tag}"')] if tag else []


def retry_after(wait_ms: int) -> list[tuple[str, object]]:
    """Return the header fields for the time to wait before a retry, none for 0 ms."""
    return [(RETRY_AFTER, wait_ms)] if wait_ms > 0 else []


def parse_number(text: str, name: str, maximum: int) -> int:
    """Return the integer of a header field; raise HttpError if it is invalid or above `maximum`."""
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS and int(text) <= maximum):
        raise HttpError(400, f"{name}: a whole number up to {maximum} is wanted")
    return int(text)
