"""The interface of the servers of all fronts that lifecycle and upgrades use."""

from __future__ import annotations

import socket
from typing import Protocol


class FrontServer(Protocol):
    """A listener and the client connections that it has accepted."""

    sock: socket.socket
    accept_finished: bool  # no further connection will be accepted

    def open(self) -> None:
        """Start listening."""

    def run(self) -> None:
        """Accept connections until stopped; runs in a thread of its own."""

    def connection_count(self) -> int:
        """Return the number of open connections."""

    def close_answers(self, closing: bool) -> None:
        """Set whether each answer closes its connection."""

    def end_idle(self, idle_us: int) -> None:
        """Close connections that have been idle for `idle_us`."""

    def drain(self) -> None:
        """Close connections as they become idle."""

    def stop_accepting(self) -> None:
        """Accept the queued connections, then no more."""

    def stop_reading(self) -> None:
        """Stop reading requests."""

    def busy(self) -> bool:
        """Return whether answers remain to be written."""
