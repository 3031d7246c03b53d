"""The purges of the last seconds, against which attempts are checked immediately before a write."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from lupintack.interface import UNKNOWN_GROUP

LONG_AGO_US = -(1 << 62)
MAX_REMEMBERED_PURGES = 8192  # beyond that the oldest one is treated as concerning every object
SETTLE_MARGIN_US = 4_000_000


class PurgeKey(NamedTuple):
    """An object or a group."""

    is_object: bool
    id: int


class RememberedPurge(NamedTuple):
    """When the table applied a purge, and the purge's number."""

    applied_us: int
    number: int


class PurgeMemory:
    """Purges by object and group, numbered in order. Written by the table's thread, read by any."""

    def __init__(self, settle_ms: float) -> None:
        """Start empty; see `set_settle_ms` for `settle_ms`."""
        self.set_settle_ms(settle_ms)
        self.purges: OrderedDict[PurgeKey, RememberedPurge] = OrderedDict()
        self.last_purge_of_all = 0  # number of the last purge of every object, or dropped before it settled
        self.last_group_purge = 0  # number of the last purge of any group
        self.last_group_purge_us = LONG_AGO_US  # when the table applied it
        self.last_number = 0

    def set_settle_ms(self, settle_ms: float) -> None:
        """Set the time after which a purge no longer matters, from the settings."""
        self.settle_us = int(settle_ms * 1000) + SETTLE_MARGIN_US

    def remember(self, object_id: int | None, group: int, now_us: int) -> int:
        """Remember a purge of an object, or of a group where `object_id` is None; return its number.

        A purge of UNKNOWN_GROUP concerns every object.
        """
        key = PurgeKey(False, group) if object_id is None else PurgeKey(True, object_id)
        self.purges.pop(key, None)
        self.last_number += 1
        self.purges[key] = RememberedPurge(now_us, self.last_number)
        if object_id is None:
            self.last_group_purge, self.last_group_purge_us = self.last_number, now_us
            if group == UNKNOWN_GROUP:
                self.last_purge_of_all = self.last_number
        self._drop_old(now_us)
        return self.last_number

    def is_purged_since(self, object_id: int, group: int, known_number: int) -> bool:
        """Return whether a purge later than `known_number` concerns the object or its group."""
        of_object = self.purges.get(PurgeKey(True, object_id))
        of_group = self.purges.get(PurgeKey(False, group))
        latest = self.last_purge_of_all
        if group == UNKNOWN_GROUP:
            latest = max(latest, self.last_group_purge)
        if of_object is not None:
            latest = max(latest, of_object.number)
        if of_group is not None:
            latest = max(latest, of_group.number)
        return latest > known_number

    def may_have_left_purged_group(self, changed_us: int, now_us: int) -> bool:
        """Return whether content may have been in a group that was purged before `changed_us`.

        That is when its group may have changed. Copies from before such a purge may still be in caches.
        """
        return min(changed_us, self.last_group_purge_us) > now_us - self.settle_us

    def _drop_old(self, now_us: int) -> None:
        """Drop purges that have settled, and the oldest ones beyond the bound."""
        while self.purges:
            oldest, purge = next(iter(self.purges.items()))
            matters = purge.applied_us > now_us - self.settle_us
            if matters and len(self.purges) <= MAX_REMEMBERED_PURGES:
                break
            if matters:
                self.last_purge_of_all = max(self.last_purge_of_all, purge.number)
            del self.purges[oldest]
