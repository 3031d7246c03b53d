"""The demands of all holders for one budget, kept so that shares are found without going through them."""

from __future__ import annotations

from bisect import bisect_left, insort
from copy import copy


class DemandIndex:
    """Non-zero demands: ordered by amount, and counted by ranges of amounts.

    `counts[h][n]` and `sums[h][n]` are the number and the sum of the amounts from n * 2**h up to, but
    without, (n + 1) * 2**h: a binary tree over amounts, of which only ranges that hold a demand are kept.
    """

    def __init__(self) -> None:
        """Begin without demands."""
        self.total = 0
        self.ordered: list[tuple[int, int]] = []  # an amount, and the place of the holder in the ledger
        self.counts: list[dict[int, int]] = [{}]
        self.sums: list[dict[int, int]] = [{}]

    def add(self, amount: int, place: int) -> None:
        """A holder asks for this amount, above zero."""
        while amount >> len(self.counts):
            # A new root: all that is known lies in its first half.
            self.counts.append({0: len(self.ordered)} if self.ordered else {})
            self.sums.append({0: self.total} if self.ordered else {})
        insort(self.ordered, (amount, place))
        self.total += amount
        for height, (counts, sums) in enumerate(zip(self.counts, self.sums, strict=True)):
            node = amount >> height
            counts[node] = counts.get(node, 0) + 1
            sums[node] = sums.get(node, 0) + amount

    def remove(self, amount: int, place: int) -> None:
        """A holder that asked for this amount asks for it no more."""
        del self.ordered[bisect_left(self.ordered, (amount, place))]
        self.total -= amount
        for height, (counts, sums) in enumerate(zip(self.counts, self.sums, strict=True)):
            node = amount >> height
            counts[node] -= 1
            sums[node] -= amount
            if not counts[node]:
                del counts[node], sums[node]

    def water_level(self, whole: int) -> tuple[int, int]:
        """Return the highest level at which all parts min(amount, level) fit into `whole`, and what is left.

        To be asked only where the demands' total is above `whole`.
        """
        level, below, sum_below = 0, 0, 0  # `below` demands are under the level; their amounts' sum
        used = 0
        for height in range(len(self.counts) - 1, -1, -1):
            node = level >> height
            higher = level + (1 << height)
            count = below + self.counts[height].get(node, 0)
            total = sum_below + self.sums[height].get(node, 0)
            needed = total + higher * (len(self.ordered) - count)
            if needed <= whole:
                level, below, sum_below, used = higher, count, total, needed
        return level, whole - used

    def rank_from_top(self, count: int, first_place: int) -> tuple[int, int]:
        """Return amount and place of the lowest of the `count` largest demands.

        Of equal amounts, holders from `first_place` on come before those that are ahead of it.
        """
        ordered = self.ordered
        amount = ordered[-count][0]
        begin = bisect_left(ordered, (amount, -1))  # no place is below zero
        end = bisect_left(ordered, (amount + 1, -1), lo=begin)
        size = end - begin
        turned = bisect_left(ordered, (amount, first_place), lo=begin, hi=end) - begin
        from_end = count - (len(ordered) - end)
        return ordered[begin + (turned + size - from_end) % size]

    def clone(self) -> DemandIndex:
        """Return a copy that shares nothing that changes."""
        other = copy(self)
        other.ordered = self.ordered.copy()
        other.counts = [nodes.copy() for nodes in self.counts]
        other.sums = [nodes.copy() for nodes in self.sums]
        return other
