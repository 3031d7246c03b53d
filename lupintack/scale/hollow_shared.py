"""Tables of the membership that share their entries among the routers of one process.

A real router has these tables for itself. Thousands of hollow routers in one process would hold equal records
thousands of times; here equal ones are one object. What the tables answer is the same.
"""

from __future__ import annotations

from bisect import insort
from functools import lru_cache

from lupintack.membership.observers import ObserverRings, ring_positions
from lupintack.membership.view import Record, View

MAX_SHARED_ENTRIES = 65_536

_records: dict[Record, Record] = {}


def shared_record(record: Record) -> Record:
    """The one object that stands for all equal records."""
    if len(_records) > MAX_SHARED_ENTRIES:
        _records.clear()
    return _records.setdefault(record, record)


@lru_cache(maxsize=MAX_SHARED_ENTRIES)
def ring_entries(name: str) -> tuple[tuple[int, str], ...]:
    """A name's entry on each ring."""
    return tuple((position, name) for position in ring_positions(name))


class SharedView(View):
    """A view whose records are shared."""

    def merge(self, record: Record, now: int) -> bool:
        """As View.merge."""
        return super().merge(shared_record(record), now)


class SharedRings(ObserverRings):
    """Rings whose entries are shared."""

    def add(self, name: str) -> None:
        """As Rings.add."""
        if name not in self.names:
            entries = ring_entries(name)
            self.names.add(entries[0][1])
            for ring, entry in zip(self.rings, entries, strict=False):
                insort(ring, entry)
