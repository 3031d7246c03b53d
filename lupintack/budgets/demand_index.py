"""Index of all holders' demands for one budget: computes shares without iterating over the holders."""

from __future__ import annotations

from bisect import bisect_left, insort
from copy import copy


class DemandIndex:
    """Non-zero demands: sorted by amount, and counted by ranges of amounts.

    `counts[h][n]` and `sums[h][n]` are the number and the sum of the amounts in the half-open range from
    n * 2**h to (n + 1) * 2**h. They form a binary tree over amounts that stores only non-empty ranges.
    """

    def __init__(self) -> None:
        """Create an empty index."""
        self.total = 0
        self.ordered: list[tuple[int, int]] = []  # amount and position of the holder
        self.counts: list[dict[int, int]] = [{}]
        self.sums: list[dict[int, int]] = [{}]

    def add(self, amount: int, position: int) -> None:
        """Add a demand; `amount` must be above zero."""
        while amount >> len(self.counts):
            # Add a root; all existing demands are in its lower half.
            self.counts.append({0: len(self.ordered)} if self.ordered else {})
            self.sums.append({0: self.total} if self.ordered else {})
        insort(self.ordered, (amount, position))
        self.total += amount
        for height, (counts, sums) in enumerate(zip(self.counts, self.sums, strict=True)):
            node = amount >> height
            counts[node] = counts.get(node, 0) + 1
            sums[node] = sums.get(node, 0) + amount

    def remove(self, amount: int, position: int) -> None:
        """Remove a demand that was added."""
        del self.ordered[bisect_left(self.ordered, (amount, position))]
        self.total -= amount
        for height, (counts, sums) in enumerate(zip(self.counts, self.sums, strict=True)):
            node = amount >> height
            counts[node] -= 1
            sums[node] -= amount
            if not counts[node]:
                del counts[node], sums[node]

    def water_level(self, available: int) -> tuple[int, int]:
        """Return the highest level at which the sum of min(amount, level) fits in `available`, and the rest.

        Must be called only if the sum of demands is above `available`.
        """
        level, below, sum_below = 0, 0, 0  # `below`: the number of demands below the level
        used = 0
        for height in range(len(self.counts) - 1, -1, -1):
            node = level >> height
            higher = level + (1 << height)
            count = below + self.counts[height].get(node, 0)
            total = sum_below + self.sums[height].get(node, 0)
            needed = total + higher * (len(self.ordered) - count)
            if needed <= available:
                level, below, sum_below, used = higher, count, total, needed
        return level, available - used

    def rank_from_top(self, count: int, first_position: int) -> tuple[int, int]:
        """Return amount and position of the smallest of the `count` largest demands.

        Among equal amounts, positions from `first_position` on sort before the positions below it.
        """
        ordered = self.ordered
        amount = ordered[-count][0]
        begin = bisect_left(ordered, (amount, -1))  # positions are not negative
        end = bisect_left(ordered, (amount + 1, -1), lo=begin)
        size = end - begin
        rotated_offset = bisect_left(ordered, (amount, first_position), lo=begin, hi=end) - begin
        from_end = count - (len(ordered) - end)
        return ordered[begin + (rotated_offset + size - from_end) % size]

    def clone(self) -> DemandIndex:
        """Return a copy that shares no mutable state."""
        other = copy(self)
        other.ordered = self.ordered.copy()
        other.counts = [nodes.copy() for nodes in self.counts]
        other.sums = [nodes.copy() for nodes in self.sums]
        return other
