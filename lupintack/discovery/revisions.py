"""A watch's position in discovery's log of numbered events. Pure.

A list that was current may since have changed: the watch has caught up only when the open connection sends a
revision that equals the last one applied. A line of an older connection, a partial line or a lower revision
is no proof.
"""

from __future__ import annotations

from enum import Enum

MAX_STALE_REVISIONS = 3  # consecutive lower revisions on one connection: discovery has a different log
GAP_RECONNECTS = 2  # a gap that persists after this many new connections is skipped


class RevisionAction(Enum):
    """The action of the client for a line."""

    APPLY = "apply"  # the next event
    ALREADY_APPLIED = "already applied"
    COLLECT = "collect"  # an event of the complete log, which replaces the table at its end
    CAUGHT_UP = "caught up"  # no event before this line is missing
    STALE = "lower revision"  # a lower revision: no proof
    REPLACE = "replace"  # the complete log has been read: it replaces the table
    RECONNECT = "reconnect"  # an event is missing: a new watch from the last revision
    RECONNECT_FROM_START = "reconnect from start"  # it is still missing: a new watch from the beginning


class RevisionTracker:
    """The last revision applied, and what the open connection has proved."""

    def __init__(self) -> None:
        """Begin at revision 0, before the first connection."""
        self.last_revision = 0
        self.reads_complete_log = False  # the open connection began at revision 0
        self.needs_complete_log = False  # the next connection begins there
        self.gap_after_revision = -1
        self.gap_count = 0
        self.stale_count = 0

    def begin_watch(self) -> int:
        """Begin a new connection; return the revision after which it requests events."""
        self.reads_complete_log, self.needs_complete_log = self.needs_complete_log, False
        self.stale_count = 0
        return 0 if self.reads_complete_log else self.last_revision

    def on_event(self, revision: int) -> RevisionAction:
        """Return the action for an event; the caller calls `mark_applied` after APPLY."""
        if self.reads_complete_log:
            return RevisionAction.COLLECT
        if revision <= self.last_revision:
            return RevisionAction.ALREADY_APPLIED
        if revision == self.last_revision + 1:
            return RevisionAction.APPLY
        return self._on_gap(RevisionAction.APPLY)

    def on_revision(self, revision: int) -> RevisionAction:
        """Return the action for a line that holds a revision alone."""
        if self.reads_complete_log:
            return RevisionAction.REPLACE
        if revision == self.last_revision:
            self.stale_count = 0
            return RevisionAction.CAUGHT_UP
        if revision > self.last_revision:
            return self._on_gap(RevisionAction.CAUGHT_UP)
        self.stale_count += 1
        if self.stale_count < MAX_STALE_REVISIONS:
            return RevisionAction.STALE
        self.needs_complete_log = True
        return RevisionAction.RECONNECT_FROM_START

    def mark_applied(self, revision: int) -> None:
        """Record that the table has the event; an unusable event is skipped by the next one's revision."""
        self.last_revision = revision

    def mark_replaced(self, revision: int) -> None:
        """Record that the table has the complete log up to this revision."""
        self.reads_complete_log = False
        self.last_revision = revision

    def has_skipped_gap(self) -> bool:
        """Return whether events are missing that discovery no longer has."""
        return self.gap_after_revision == self.last_revision and self.gap_count > GAP_RECONNECTS

    def _on_gap(self, action_if_skipped: RevisionAction) -> RevisionAction:
        """Reconnect for missing events, then read the complete log, then skip them."""
        if self.gap_after_revision != self.last_revision:
            self.gap_after_revision, self.gap_count = self.last_revision, 0
        self.gap_count += 1
        if self.gap_count == 1:
            return RevisionAction.RECONNECT
        if self.gap_count == GAP_RECONNECTS:
            self.needs_complete_log = True
            return RevisionAction.RECONNECT_FROM_START
        return action_if_skipped
