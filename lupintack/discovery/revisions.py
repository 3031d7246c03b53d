"""Where a watch stands in discovery's log of numbered events. Pure.

A list that was true once is no proof that it still is: the watch has caught up only when the connection that
is open now says a number that is the last one held. A line of an older connection, half a line, or a lower
number proves nothing.
"""

from __future__ import annotations

from enum import Enum

BEHIND_MOST = 3  # lower numbers one after another on a connection: its log is another one


class Step(Enum):
    """What is to be done about a line."""

    APPLY = "apply"  # the next event
    KNOWN = "known"  # an event that was applied before
    COLLECT = "collect"  # an event of the whole log, to be laid over the table at its end
    CAUGHT_UP = "caught up"  # nothing that was told before this line is missing
    BEHIND = "behind"  # an old number: it proves nothing
    REPLACE = "replace"  # the whole log has come: it replaces the table
    ASK_AGAIN = "ask again"  # an event is missing: a new watch from the last one
    ASK_FOR_ALL = "ask for all"  # it stays missing, as after a compaction: a new watch from the beginning


class RevisionLog:
    """The last number held, and what the present connection has proved."""

    def __init__(self) -> None:
        self.last = 0
        self.whole_log = False  # the present connection began at 0
        self.ask_for_all = False  # the next one is to
        self.gap_from = -1  # the number behind which something is missing
        self.gap_tries = 0
        self.behind = 0

    def connect(self) -> int:
        """The number for the `watch` of a new connection."""
        self.whole_log, self.ask_for_all = self.ask_for_all, False
        self.behind = 0
        return 0 if self.whole_log else self.last

    def on_event(self, number: int) -> Step:
        """An event; `applied` follows where it is to be applied."""
        if self.whole_log:
            return Step.COLLECT
        if number <= self.last:
            return Step.KNOWN
        return Step.APPLY if number == self.last + 1 else self._gap(Step.APPLY)

    def on_number(self, number: int) -> Step:
        """The last number alone."""
        if self.whole_log:
            return Step.REPLACE
        if number == self.last:
            self.behind = 0
            return Step.CAUGHT_UP
        if number > self.last:
            return self._gap(Step.CAUGHT_UP)
        self.behind += 1
        if self.behind < BEHIND_MOST:
            return Step.BEHIND
        self.ask_for_all = True
        return Step.ASK_FOR_ALL

    def applied(self, number: int) -> None:
        """An event is in the table; one that can't be used is not, and the next one's number passes it
        over.
        """
        self.last = number

    def replaced(self, number: int) -> None:
        """The whole log up to this number is in the table."""
        self.whole_log = False
        self.last = number

    def passed_over(self) -> bool:
        """Whether something is missing that discovery does not have any more."""
        return self.gap_from == self.last and self.gap_tries > 2

    def _gap(self, otherwise: Step) -> Step:
        """Guards against a gap, as after a line that was spoilt: asked for twice, then passed over."""
        if self.gap_from != self.last:
            self.gap_from, self.gap_tries = self.last, 0
        self.gap_tries += 1
        if self.gap_tries == 1:
            return Step.ASK_AGAIN
        if self.gap_tries == 2:
            self.ask_for_all = True
            return Step.ASK_FOR_ALL
        return otherwise
