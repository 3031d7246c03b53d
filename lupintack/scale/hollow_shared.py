"""Membership tables whose entries are shared by the routers of one process.

Thousands of hollow routers in one process would hold thousands of copies of equal records. These tables keep
one object for all equal entries, and otherwise behave as the tables of a real router.
"""

from __future__ import annotations

from bisect import insort
from functools import lru_cache

from lupintack.membership.observers import ObserverRings, ring_positions
from lupintack.membership.view import Record, View

MAX_SHARED_ENTRIES = 65_536

_records: dict[Record, Record] = {}


def shared_record(record: Record) -> Record:
    """Return the object that represents all equal records."""
    if len(_records) > MAX_SHARED_ENTRIES:
        _records.clear()
    return _records.setdefault(record, record)


@lru_cache(maxsize=MAX_SHARED_ENTRIES)
def ring_entries(name: str) -> tuple[tuple[int, str], ...]:
    """Return a name's entry on each ring."""
    return tuple((position, name) for position in ring_positions(name))


class SharedView(View):
    """A view whose records are shared."""

    def merge(self, record: Record, now: int) -> bool:
        """Merge a record as View.merge does."""
        return super().merge(shared_record(record), now)


class SharedRings(ObserverRings):
    """Rings whose entries are shared."""

    def add(self, name: str) -> None:
        """Add a name as ObserverRings.add does."""
        if name not in self.names:
            entries = ring_entries(name)
            self.names.add(entries[0][1])
            for ring, entry in zip(self.rings, entries, strict=False):
                insort(ring, entry)
