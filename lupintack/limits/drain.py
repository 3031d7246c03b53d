"""When a client is notified that its connection ends, and when it is told which streams were taken. No I/O.

RFC 9113, section 6.8: first a GOAWAY with the highest id there is, as requests may be on their way; then,
when a PING has come back or GRACE_US has passed, one with the last stream that was taken. Streams up to that
one are answered; a client knows of the later ones that none was processed.
"""

from __future__ import annotations

from enum import Enum, auto

GRACE_US = 200_000  # for clients that don't answer a PING, or are far away


class DrainPhase(Enum):
    """Progress of a connection's end."""

    OPEN = auto()
    ANNOUNCED = auto()  # that it will end; new streams are still taken
    FINAL = auto()  # which streams were taken; new ones are refused
    CLOSED = auto()  # all is answered and written


class Drain:
    """The end of one connection."""

    def __init__(self) -> None:
        """Begin with a connection that does not end."""
        self.phase = DrainPhase.OPEN
        self.announced_us = 0

    def begin(self, now_us: int) -> bool:
        """Return whether the first GOAWAY is due now: once."""
        if self.phase is not DrainPhase.OPEN:
            return False
        self.phase = DrainPhase.ANNOUNCED
        self.announced_us = now_us
        return True

    def finish(self, now_us: int, ping_acknowledged: bool = False, immediately: bool = False) -> bool:
        """Return whether the last GOAWAY is due now: once, after a round trip or the grace."""
        if self.phase is DrainPhase.ANNOUNCED and (
            ping_acknowledged or immediately or now_us - self.announced_us >= GRACE_US
        ):
            self.phase = DrainPhase.FINAL
            return True
        return False

    def accepts_streams(self) -> bool:
        """Return whether a new stream is still taken."""
        return self.phase in (DrainPhase.OPEN, DrainPhase.ANNOUNCED)

    def complete(self, open_streams: int, unwritten: int) -> bool:
        """Return whether the connection can close now: once, when all is answered and written."""
        if self.phase is DrainPhase.FINAL and not open_streams and not unwritten:
            self.phase = DrainPhase.CLOSED
            return True
        return False
