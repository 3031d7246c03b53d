"""Assignment of observers: hash rings, on each of which a member is observed by its predecessor.

A change affects one neighbour on each ring. Together the rings form an expander graph: gossip along its edges
reaches every router in a few steps, and the loss of a few routers can't remove all observers of a member.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Collection
from functools import lru_cache
from hashlib import blake2b

MAX_RINGS = 8
MAX_RING_STEPS = 64  # maximum positions searched on one ring
POSITION_BYTES = 8
POSITION_CACHE_ENTRIES = 65_536


class RingCountError(ValueError):
    """A number of rings that is not supported."""

    def __init__(self, count: int) -> None:
        """Store the unsupported number."""
        super().__init__(f"{count} rings: must be between 1 and {MAX_RINGS}")
        self.count = count


@lru_cache(maxsize=POSITION_CACHE_ENTRIES)
def ring_positions(name: str) -> tuple[int, ...]:
    """Return a name's position on each ring."""
    digest = blake2b(name.encode(), digest_size=POSITION_BYTES * MAX_RINGS, person=b"rings").digest()
    offsets = range(0, len(digest), POSITION_BYTES)
    return tuple(int.from_bytes(digest[offset : offset + POSITION_BYTES], "big") for offset in offsets)


class ObserverRings:
    """The members, sorted by position on each ring."""

    def __init__(self, count: int) -> None:
        """Start with empty rings; raises RingCountError for an unsupported count."""
        if not 0 < count <= MAX_RINGS:
            raise RingCountError(count)
        self.rings: list[list[tuple[int, str]]] = [[] for _ in range(count)]
        self.names: set[str] = set()

    def add(self, name: str) -> None:
        """Add a member."""
        if name not in self.names:
            self.names.add(name)
            for ring, position in zip(self.rings, ring_positions(name), strict=False):
                insort(ring, (position, name))

    def remove(self, name: str) -> None:
        """Remove a member."""
        if name in self.names:
            self.names.discard(name)
            for ring, position in zip(self.rings, ring_positions(name), strict=False):
                del ring[bisect_left(ring, (position, name))]

    def observed_by(self, name: str, skipped: Collection[str] = ()) -> list[str]:
        """Return the members that `name` observes: on each ring, all up to the first that is not skipped."""
        return self._neighbours(name, skipped, step=1, include_skipped=True)

    def observers_of(self, name: str, skipped: Collection[str] = ()) -> list[str]:
        """Return the observers of a member: on each ring the nearest predecessor that is not skipped.

        Callers skip suspects: when observers fail together with their subject, others must replace them.
        """
        return self._neighbours(name, skipped, step=-1, include_skipped=False)

    def _neighbours(self, name: str, skipped: Collection[str], step: int, include_skipped: bool) -> list[str]:
        neighbours: dict[str, None] = {}
        for ring, position in zip(self.rings, ring_positions(name), strict=False):
            size = len(ring)
            index = bisect_left(ring, (position, name))
            is_on_ring = index < size and ring[index][1] == name
            index += is_on_ring if step > 0 else -1
            for _ in range(min(size - is_on_ring, MAX_RING_STEPS)):
                other = ring[index % size][1]
                index += step
                if other not in skipped:
                    neighbours[other] = None
                    break
                if include_skipped:
                    neighbours[other] = None
        return list(neighbours)
