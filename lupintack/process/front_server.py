"""What the servers of all fronts have in common, as the process's lifecycle and upgrades use it."""

from __future__ import annotations

import socket
from typing import Protocol


class FrontServer(Protocol):
    """A listener with the clients' connections that it has accepted."""

    sock: socket.socket
    accept_finished: bool  # no further connection will be accepted

    def open(self) -> None:
        """Begin to listen."""

    def run(self) -> None:
        """Accept connections until the end; the body of a thread."""

    def connection_count(self) -> int:
        """Return how many connections are open."""

    def close_answers(self, closing: bool) -> None:
        """Let each answer from now on end its connection, or not."""

    def end_idle(self, idle_us: int) -> None:
        """End the connections that have been idle for so long."""

    def drain(self) -> None:
        """End connections as they become idle."""

    def stop_accepting(self) -> None:
        """Accept what is queued, and nothing more."""

    def stop_reading(self) -> None:
        """Read no more requests."""

    def busy(self) -> bool:
        """Return whether an answer is still to be written."""
