"""The ledger of an allocator: the amounts booked for each holder, running sums and an expiry queue."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from copy import copy
from dataclasses import dataclass
from functools import reduce
from heapq import heappop, heappush

from lupintack.budgets.amounts import Amounts, changed_budgets, exceeding_budgets, largest

HolderKey = tuple[str, int]  # a holder's name and its start


@dataclass(slots=True)
class LedgerEntry:
    """The booking of one holder: amounts, and their expiry on the allocator's clock."""

    sequence: int
    demand: Amounts
    amounts: Amounts  # upper bound on the amounts it may have from any grant
    until_us: int
    granted: Amounts  # by the last grant
    granted_until_us: int = 0
    granted_lease_us: int = 0


class Ledger(Mapping[HolderKey, LedgerEntry]):
    """The entries of all holders, in the order in which the holders were added.

    Amounts change only through `set_entry` and `del`, which update the sums without iterating over all
    entries. For the holders of a shared name, only the largest amounts count in the sums.
    """

    def __init__(self, limits: Amounts) -> None:
        """Create an empty ledger; `limits`: the sums up to which grants may book."""
        self.entries: dict[HolderKey, LedgerEntry] = {}
        self.limits = limits
        self.zero = (0,) * len(limits)
        self.sums = [0] * len(limits)
        self.overbooked: set[int] = set()  # the budgets whose sum is above the limit
        # One item for each holder: the time at which to check its entry. If a lease was changed to end
        # sooner, there are two items, and `queued` has the time of the current one.
        self.expiry_queue: list[tuple[int, HolderKey]] = []
        self.queued: dict[HolderKey, int] = {}
        self.shared_names: frozenset[str] = frozenset()
        self.shared_entries: dict[str, dict[HolderKey, LedgerEntry]] = {}  # the entries of each shared name

    def __getitem__(self, key: HolderKey) -> LedgerEntry:
        """Return a holder's entry; KeyError without one."""
        return self.entries[key]

    def __iter__(self) -> Iterator[HolderKey]:
        """Iterate over the holders in the order in which they were added."""
        return iter(self.entries)

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self.entries)

    def __delitem__(self, key: HolderKey) -> None:
        """Remove an entry and subtract its amounts from the sums."""
        before = self.booking(key)
        del self.entries[key]
        self.queued.pop(key, None)
        if key[0] in self.shared_names:
            del self.shared_entries[key[0]][key]
            if not self.shared_entries[key[0]]:
                del self.shared_entries[key[0]]
        self._adjust_sums(before, self.booking(key))

    def set_limits(self, limits: Amounts) -> None:
        """Set the sums up to which grants may book. Sums already above the limits don't change."""
        if limits != self.limits:
            self.limits = limits
            self.overbooked = {n for n, (a, b) in enumerate(zip(self.sums, limits, strict=True)) if a > b}

    def set_shared_names(self, names: frozenset[str]) -> None:
        """Count successive holders of each of these names as one booking."""
        entries, self.entries = self.entries, {}
        self.sums, self.overbooked = [0] * len(self.zero), set()
        self.shared_names, self.shared_entries = names, {}
        for key, entry in entries.items():
            self.set_entry(key, entry)

    def set_entry(self, key: HolderKey, entry: LedgerEntry) -> None:
        """Set a holder's entry; a known holder keeps its position in the order."""
        before = self.booking(key)
        self.entries[key] = entry
        if key[0] in self.shared_names:
            self.shared_entries.setdefault(key[0], {})[key] = entry
        self._adjust_sums(before, self.booking(key))
        # A later expiry needs no new item: `expire` requeues the entry when the queued item is due.
        queued_us = self.queued.get(key)
        if queued_us is None or entry.until_us < queued_us:
            self._enqueue(key, entry.until_us)

    def booking(self, key: HolderKey) -> Amounts:
        """Return the amounts counted in the sums for this holder, or for its name if that is shared."""
        if key[0] in self.shared_names:
            entries = self.shared_entries.get(key[0], {}).values()
            return reduce(largest, [entry.amounts for entry in entries], self.zero)
        entry = self.entries.get(key)
        return entry.amounts if entry is not None else self.zero

    def available_to(self, key: HolderKey) -> Amounts:
        """Return the amounts not booked for holders other than this one and those sharing its name."""
        own = self.booking(key)
        return tuple([a - s + o for a, s, o in zip(self.limits, self.sums, own, strict=True)])

    def limited_to_available(self, key: HolderKey, amounts: Amounts) -> Amounts:
        """Return the amounts, each limited to the amount available to the holder."""
        own = self.booking(key)
        result: list[int] | None = None
        # If a sum is within its limit, the amounts already booked for the holder are always available to it.
        for budget in {*self.overbooked, *exceeding_budgets(amounts, own)}:
            available = max(0, self.limits[budget] - self.sums[budget] + own[budget])
            if amounts[budget] > available:
                result = result if result is not None else list(amounts)
                result[budget] = available
        return tuple(result) if result is not None else amounts

    def expire(self, now_us: int) -> list[HolderKey]:
        """Remove the expired entries and return their keys."""
        expired: list[HolderKey] = []
        while self.expiry_queue and self.expiry_queue[0][0] <= now_us:
            queued_us, key = heappop(self.expiry_queue)
            if self.queued.get(key) != queued_us:
                continue  # replaced by another item, or the entry was removed
            until_us = self.entries[key].until_us
            if now_us < until_us:
                self._enqueue(key, until_us)
                continue
            del self[key]
            expired.append(key)
        return expired

    def clone(self) -> Ledger:
        """Return a copy that shares no mutable state."""
        other = copy(self)
        other.entries = {key: copy(entry) for key, entry in self.entries.items()}
        other.shared_entries = {
            name: {key: other.entries[key] for key in entries}
            for name, entries in self.shared_entries.items()
        }
        other.sums = self.sums.copy()
        other.overbooked = self.overbooked.copy()
        other.expiry_queue = self.expiry_queue.copy()
        other.queued = self.queued.copy()
        return other

    def _enqueue(self, key: HolderKey, until_us: int) -> None:
        self.queued[key] = until_us
        heappush(self.expiry_queue, (until_us, key))

    def _adjust_sums(self, before: Amounts, after: Amounts) -> None:
        if before == after:
            return
        for budget in changed_budgets(before, after):
            self.sums[budget] += after[budget] - before[budget]
            if self.sums[budget] > self.limits[budget]:
                self.overbooked.add(budget)
            else:
                self.overbooked.discard(budget)
