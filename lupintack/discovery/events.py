"""Parses discovery's JSON lines into typed events. Its field names are used only in this module. Pure."""

from __future__ import annotations

import json
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from lupintack.config import Names
from lupintack.core.table_updates import Endpoint
from lupintack.interface import MemberState

MEMBER_STATES = {"Ready": MemberState.READY, "Terminating": MemberState.DRAINING, "Gone": MemberState.REMOVED}
UNKNOWN_ZONE = 0xFFFF
UNKNOWN_KIND = 0xFF


class EventError(ValueError):
    """An event that cannot be used; the message holds the reason."""


class LineError(ValueError):
    """A line that holds neither an event nor a revision; the message holds the reason."""


class DiscoveryLine(NamedTuple):
    """One line of a watch: a revision, and the notice of that revision unless the line is a bare revision."""

    revision: int
    notice: Mapping[str, Any] | None


class InitialLog(NamedTuple):
    """The notices in the configuration, and the revision of their last one."""

    revision: int
    raw_events: tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class ListEvent:
    """Endpoints that have changed, or all of them."""

    revision: int
    is_complete: bool
    endpoints: tuple[Endpoint, ...]
    version: int

    def timestamps_unix_ms(self) -> tuple[float, ...]:
        """Return the event's timestamps by the log's clock, in Unix milliseconds."""
        return tuple(endpoint.born_unix_ms for endpoint in self.endpoints)


@dataclass(frozen=True, slots=True)
class PurgeEvent:
    """A purge of an object, or of a group where `object_id` is None: it makes older copies stale."""

    revision: int
    object_id: int | None
    group: int
    unix_ms: float

    def timestamps_unix_ms(self) -> tuple[float, ...]:
        """Return the event's timestamps by the log's clock, in Unix milliseconds."""
        return (self.unix_ms,)


@dataclass(frozen=True, slots=True)
class OtherEvent:
    """An event of an unknown kind: only its revision is used."""

    revision: int

    def timestamps_unix_ms(self) -> tuple[float, ...]:
        """Return no timestamps: none are known."""
        return ()


Event = ListEvent | PurgeEvent | OtherEvent


def watch_request(revision: int) -> bytes:
    """Return the request for the events after `revision`; 0 requests the log from its beginning."""
    return b"watch %d\n" % revision


def parse_line(raw: bytes) -> DiscoveryLine:
    """Parse a line of a watch; raises LineError for one that holds no revision."""
    try:
        value = json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise LineError(str(error)) from None
    is_object = isinstance(value, dict)
    revision = value.get("rev") if is_object else value
    if not isinstance(revision, int) or isinstance(revision, bool):
        raise LineError("no revision number")
    # A revision alone comes as a bare number or as an object with no other key.
    return DiscoveryLine(revision, value if is_object and len(value) > 1 else None)


def parse_initial_log(known: Mapping[str, Any]) -> InitialLog:
    """Read the log in the configuration, without parsing its notices."""
    return InitialLog(int(known.get("rev", 0)), tuple(known.get("notices", [])))


def parse_event(notice: Any, names: Names) -> Event:
    """Parse a notice into an event; raises EventError for one that cannot be used."""
    try:
        revision = int(notice["rev"])
        if "pool" in notice:
            return _parse_list(revision, notice["pool"], names)
        if "flush" in notice:
            return _parse_purge(revision, notice["flush"])
        return OtherEvent(revision)
    except (KeyError, ValueError, TypeError, AttributeError, OverflowError) as error:
        raise EventError(repr(error)) from None


def _parse_list(revision: int, pool: Mapping[str, Any], names: Names) -> ListEvent:
    endpoints = tuple(parse_endpoint(line, names) for line in pool.get("hosts", []))
    return ListEvent(revision, bool(pool.get("whole", False)), endpoints, int(pool.get("seq", 0)))


def _parse_purge(revision: int, flush: Mapping[str, Any]) -> PurgeEvent:
    object_id = int(flush["asset"], 16) if "asset" in flush else None
    group = int(flush["collection"]) if object_id is None else 0
    return PurgeEvent(revision, object_id, group, float(flush["ms"]))


def parse_endpoint(line: Mapping[str, Any], names: Names) -> Endpoint:
    """Parse an endpoint of the list; zones and kinds that the settings lack become UNKNOWN_*."""
    host, _, port = str(line.get("dial", "")).rpartition(":")
    zone, kind = str(line.get("site", "")), str(line.get("class", ""))
    capacity = float(line.get("share", 1.0))
    return Endpoint(
        name=str(line["host"]),
        dial=(host.strip("[]"), int(port)) if host and port.isdigit() else None,
        zone=names.zones.index(zone) if zone in names.zones else UNKNOWN_ZONE,
        kind=names.kinds.index(kind) if kind in names.kinds else UNKNOWN_KIND,
        cell=int(line.get("block", 0)),
        state=MEMBER_STATES[str(line.get("health", "Ready"))],
        size=capacity if math.isfinite(capacity) and capacity > 0 else 1.0,
        born_unix_ms=float(line.get("born_ms", 0.0)),
    )


def event_timestamps_unix_ms(events: Iterable[Event | None]) -> list[float]:
    """Return the timestamps of all events, in Unix milliseconds; None is an unusable event."""
    return [stamp for event in events if event is not None for stamp in event.timestamps_unix_ms()]
