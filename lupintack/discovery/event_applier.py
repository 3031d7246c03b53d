"""Applies discovery's events to the member table, once each and in the order of their revisions."""

from __future__ import annotations

import logging
from collections.abc import Mapping
from typing import Any

from lupintack.config import Names
from lupintack.core.counters import Counters
from lupintack.core.member_table import MemberTable
from lupintack.discovery.complete_log import CompleteLog
from lupintack.discovery.events import (
    DiscoveryLine,
    Event,
    EventError,
    ListEvent,
    PurgeEvent,
    event_timestamps_unix_ms,
    parse_event,
    parse_initial_log,
)
from lupintack.discovery.revisions import RevisionAction, RevisionTracker
from lupintack.logs import fields

LOG = logging.getLogger("discovery")
MAX_LOGGED_NOTICE_CHARACTERS = 200


class GapError(ValueError):
    """An event is missing: the connection has to be closed, and the next one requests it."""


class EventApplier:
    """Selects and performs the action for each line by its revision. Not thread-safe."""

    def __init__(self, names: Names, member_table: MemberTable, counters: Counters) -> None:
        """Begin at revision 0; `names` holds the zones and kinds that endpoints refer to."""
        self.names = names
        self.member_table = member_table
        self.counters = counters
        self.revisions = RevisionTracker()
        self.complete_log = CompleteLog(0)  # the part received so far, on a connection that reads it

    @property
    def last_revision(self) -> int:
        """The revision of the last event in the table."""
        return self.revisions.last_revision

    def load_initial_log(self, known: Mapping[str, Any]) -> None:
        """Apply the events of the configuration. They prove nothing: their age is unknown."""
        log = parse_initial_log(known)
        events = [self._parse_notice(notice) for notice in log.raw_events]
        # All timestamps first: each bounds the offset of the log's clock, and so the age of all events.
        self.member_table.observe_timestamps(event_timestamps_unix_ms(events))
        for event in events:
            self._apply(event)
        self.revisions.last_revision = max(self.last_revision, log.revision)

    def begin_watch(self) -> int:
        """Begin a new connection; return the revision after which it requests events."""
        self.complete_log = CompleteLog(self.last_revision)
        return self.revisions.begin_watch()

    def process(self, line: DiscoveryLine) -> bool:
        """Process a line; return whether it proves the table current. Raises GapError."""
        if line.notice is None:
            action = self.revisions.on_revision(line.revision)
        else:
            action = self.revisions.on_event(line.revision)
        match action:
            case RevisionAction.APPLY:
                self._apply(self._parse_notice(line.notice))
            case RevisionAction.COLLECT:
                self._collect(line.notice)
            case RevisionAction.CAUGHT_UP:
                return self._on_caught_up()
            case RevisionAction.REPLACE:
                return self._replace_table(line.revision) and self._on_caught_up()
            case RevisionAction.STALE:
                self.counters.increment("discovery.behind")
            case RevisionAction.RECONNECT | RevisionAction.RECONNECT_FROM_START:
                self.counters.increment("discovery.gap")
                raise GapError(f"{line.revision} received after {self.last_revision}")
        return False

    def _parse_notice(self, notice: Any) -> Event | None:
        """Return the event, or None for one that cannot be used; the next event's revision skips it."""
        try:
            return parse_event(notice, self.names)
        except EventError as error:
            self.counters.increment("discovery.unusable")
            text = str(notice)[:MAX_LOGGED_NOTICE_CHARACTERS]
            LOG.warning("unusable discovery event", extra=fields(reason=error, notice=text))
            return None

    def _apply(self, event: Event | None) -> None:
        """Apply an event, unless it is unusable or already in the table."""
        if event is None or event.revision <= self.last_revision:
            return
        if isinstance(event, ListEvent):
            self.member_table.update_list(event.is_complete, event.endpoints, event.version, event.revision)
        elif isinstance(event, PurgeEvent):
            self.member_table.purge(event.object_id, event.group, event.unix_ms)
        self.revisions.mark_applied(event.revision)

    def _collect(self, notice: Any) -> None:
        event = self._parse_notice(notice)
        if event is not None:
            self.complete_log.add(event)

    def _on_caught_up(self) -> bool:
        if self.revisions.has_skipped_gap():
            self.counters.increment("discovery.passed_over")
        return True

    def _replace_table(self, revision: int) -> bool:
        """Replace the table by the complete log in one step; return False where the log has no list."""
        log, self.complete_log = self.complete_log, CompleteLog(self.last_revision)
        if log.has_complete_list:
            self.member_table.update_list(True, log.listed_endpoints(), log.version, revision)
        for purge in log.purges:
            self.member_table.purge(purge.object_id, purge.group, purge.unix_ms)
        self.revisions.mark_replaced(revision if log.has_complete_list else self.last_revision)
        self.counters.increment("discovery.replaced" if log.has_complete_list else "discovery.not_replaced")
        summary = fields(events=log.event_count, list=log.has_complete_list, last=self.last_revision)
        LOG.warning("complete discovery log read", extra=summary)
        return log.has_complete_list
