"""Records of all routers, merged by a join: the result depends neither on their order nor on duplicates.

A record is the last known state of a process, identified by its name and start. Only the process itself
increments its incarnation; others may set `suspect`, `failed` or `ended` for the incarnation in their view.
The greatest of (start, incarnation, state, ...) wins.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from functools import lru_cache
from hashlib import blake2b
from typing import NamedTuple

VIEW_ID_BYTES = 8
VIEW_ID_CACHE_ENTRIES = 65_536
START_LIMIT = 1 << 62


class State(IntEnum):
    """A router's state; within an incarnation the greater one wins, so `LEFT` overrides `FAILED`."""

    JOINING = 0
    ALIVE = 1
    UNACKNOWLEDGED = 2  # set by the router itself: it receives messages, but none of its own are answered
    SUSPECT = 3
    FAILED = 4  # silent for longer than the failure timeout, reported by a quorum
    ENDED = 5  # connections of its observers were refused: the process no longer exists
    LEFT = 6


COUNTED_STATES = frozenset({State.ALIVE, State.UNACKNOWLEDGED, State.SUSPECT})
TERMINAL_STATES = frozenset({State.FAILED, State.ENDED, State.LEFT})


class Record(NamedTuple):
    """The state of one process."""

    name: str
    start: int  # increases with each process of the name
    incarnation: int
    state: State
    site: str
    address: str  # host:port for its datagrams and exchanges

    def rank(self) -> tuple[int, int, int, str, str]:
        """Return the sort key of the total order that decides between two records of one name."""
        return (self.start, self.incarnation, self.state, self.site, self.address)


def join(current: Record | None, other: Record) -> Record:
    """Return the record with the higher rank; commutative, associative and idempotent."""
    return other if current is None or other.rank() > current.rank() else current


@lru_cache(maxsize=VIEW_ID_CACHE_ENTRIES)
def view_id_part(name: str, start: int) -> int:
    """Return a process's contribution to the view id."""
    return int.from_bytes(blake2b(f"{start}/{name}".encode(), digest_size=VIEW_ID_BYTES).digest(), "big")


class View:
    """All records of one router, bounded in number.

    Records of routers that left or failed expire after the tombstone TTL; when the table is full, the oldest
    of them is evicted earlier. A new name is refused when there is none to evict.
    """

    def __init__(self, max_records: int, tombstone_ttl_us: int) -> None:
        """Start empty."""
        self.max_records = max_records
        self.tombstone_ttl_us = tombstone_ttl_us
        self.records: dict[str, Record] = {}
        self.since_us: dict[str, int] = {}  # when each record was merged into this view
        self.terminal_since_us: dict[str, int] = {}  # routers that left or failed, oldest first
        self.suspects: set[str] = set()
        self.failed: set[str] = set()  # not proved to have ended: a partition may separate them
        self.names: set[str] = set()  # the members
        self.id = 0  # equal on two routers that count the same processes
        self.refused = 0  # number of new names refused because the table was full

    def merge(self, record: Record, now_us: int) -> bool:
        """Merge a record; return whether anything changed."""
        old = self.records.get(record.name)
        if join(old, record) is old:
            return False
        if old is None and len(self.records) >= self.max_records and not self._evict_oldest():
            self.refused += 1
            return False
        self._uncount(old)
        self.records[record.name], self.since_us[record.name] = record, now_us
        self._count(record, now_us)
        return True

    def _count(self, record: Record, now_us: int) -> None:
        if record.state in COUNTED_STATES:
            self.names.add(record.name)
            self.id ^= view_id_part(record.name, record.start)
        if record.state is State.SUSPECT:
            self.suspects.add(record.name)
        if record.state in TERMINAL_STATES:
            self.terminal_since_us[record.name] = now_us
        if record.state is State.FAILED:
            self.failed.add(record.name)

    def _uncount(self, old: Record | None) -> None:
        if old is None:
            return
        if old.state in COUNTED_STATES:
            self.names.discard(old.name)
            self.id ^= view_id_part(old.name, old.start)
        self.suspects.discard(old.name)
        self.failed.discard(old.name)
        self.terminal_since_us.pop(old.name, None)

    def _evict_oldest(self) -> bool:
        oldest = next(iter(self.terminal_since_us), None)
        if oldest is None:
            return False
        self.forget(oldest)
        return True

    def forget(self, name: str) -> None:
        """Remove a record."""
        self._uncount(self.records.pop(name, None))
        self.since_us.pop(name, None)

    def expire(self, now_us: int) -> list[str]:
        """Remove the expired records of routers that left or failed; return their names."""
        expired = []
        for name, since_us in self.terminal_since_us.items():
            if now_us - since_us < self.tombstone_ttl_us:
                break
            expired.append(name)
        for name in expired:
            self.forget(name)
        return expired

    def is_counted(self, name: str) -> bool:
        """Return whether a name belongs to a member."""
        return name in self.names

    def newer_than(self, other_records: Iterable[Record]) -> list[Record]:
        """Return the records that override one of `other_records`, or that are missing there."""
        known = {record.name: record for record in other_records}
        return [
            record
            for record in self.records.values()
            if join(known.get(record.name), record) is not known.get(record.name)
        ]
