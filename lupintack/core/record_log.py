"""A log of records that the processes of one router share, as the parts that use it see it."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

OnRecord = Callable[[bytes], None]


class RecordLogError(OSError):
    """The log can't be read or written now, or has no room; what was to be shared is known here alone."""


class DamagedLogError(RecordLogError):
    """Records could not be read, and are lost to this process; it reads on from those that follow."""


class Gap(Enum):
    """Why records of another process may be unknown here."""

    UNREADABLE = "unreadable"  # this process has not opened the logs, which the others may use
    DAMAGED = "damaged"
    UNSHARED = "unshared"  # a living process shares nothing


class RecordLog(Protocol):
    """Records in one order for all processes, each of which reads on from its own position. Thread-safe."""

    def update(self, on_record: OnRecord, create: Callable[[], bytes | None], lifetime_us: int) -> None:
        """Read the new records of other processes, then add the one that `create` returns, if any.

        No other process adds a record between the two. `lifetime_us`: how long a process that starts later
        still needs it. Raises RecordLogError; then nothing was added.
        """

    def poll(self, on_record: OnRecord) -> None:
        """Read the new records of other processes; raise RecordLogError if that is not possible now."""

    def has_unread(self) -> bool:
        """Return whether there are records that `poll` would read; does not block."""
