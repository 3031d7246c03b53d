"""Graceful shutdown of one HTTP/2 connection: when each of its two GOAWAY frames is due. No I/O.

RFC 9113, section 6.8: the first GOAWAY has the highest possible stream id, as requests may be in flight. The
second, sent once a PING is acknowledged or GRACE_US has passed, has the id of the last accepted stream.
Streams up to that id are answered; later ones were not processed, and the client can retry them.
"""

from __future__ import annotations

from enum import Enum, auto

GRACE_US = 200_000  # for clients that don't acknowledge a PING, or have a long round trip


class DrainPhase(Enum):
    """Progress of a connection's shutdown."""

    OPEN = auto()
    ANNOUNCED = auto()  # first GOAWAY sent; new streams are still accepted
    FINAL = auto()  # last GOAWAY sent; new streams are refused
    CLOSED = auto()  # all responses are written


class Drain:
    """The graceful shutdown of one connection."""

    def __init__(self) -> None:
        """Begin with a connection that is not shutting down."""
        self.phase = DrainPhase.OPEN
        self.announced_us = 0

    def begin(self, now_us: int) -> bool:
        """Begin the shutdown; return whether the first GOAWAY is due, True only once."""
        if self.phase is not DrainPhase.OPEN:
            return False
        self.phase = DrainPhase.ANNOUNCED
        self.announced_us = now_us
        return True

    def finalize(self, now_us: int, ping_acknowledged: bool = False, immediately: bool = False) -> bool:
        """Return whether the last GOAWAY is due, True only once: after a round trip or the grace period."""
        if self.phase is DrainPhase.ANNOUNCED and (
            ping_acknowledged or immediately or now_us - self.announced_us >= GRACE_US
        ):
            self.phase = DrainPhase.FINAL
            return True
        return False

    def accepts_streams(self) -> bool:
        """Return whether new streams are still accepted."""
        return self.phase in (DrainPhase.OPEN, DrainPhase.ANNOUNCED)

    def complete(self, open_streams: int, unwritten: int) -> bool:
        """Return whether the connection can close, True only once: all responses are written."""
        if self.phase is DrainPhase.FINAL and not open_streams and not unwritten:
            self.phase = DrainPhase.CLOSED
            return True
        return False
