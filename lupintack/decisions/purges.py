"""Recent purges, and the maximum age of a copy that may answer a request after them. Pure."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import NamedTuple

from lupintack.decisions.request_state import RequestState
from lupintack.interface import UNKNOWN_GROUP, Purged, Settings

PURGE_MARGIN_MS = 4000.0  # a purge is remembered this long after it has settled
MAX_PURGES = 4096  # beyond that the oldest one is dropped and applies to every object
AGE_MARGIN_MS = 1.0  # subtracted from an age bound against rounding
MIN_AGE_MS = 0.01  # a max_age_ms of 0 means the default
LOCAL_COPY_MARGIN_MS = 50.0  # subtracted from the age bound: the copy ages further while it is sent
MAX_LOCAL_LINK_WAIT_RATIO = 0.2  # of the latency objective; beyond that a cache serves the request


class FreshnessBound(NamedTuple):
    """Which copies may answer a request."""

    max_age_ms: float
    """0 means the default of the cache."""

    may_coalesce: bool
    """Whether the request may join a fill that is already in flight."""


class PurgeLog:
    """The purges that have not settled yet, by object and by group."""

    __slots__ = ("floor_ms", "last_group_purge_ms", "purge_times")

    def __init__(self) -> None:
        """Start without any purge."""
        self.purge_times: OrderedDict[tuple[int, int], float] = OrderedDict()  # oldest first
        self.floor_ms = -math.inf  # newest purge of every object, or dropped before it settled
        self.last_group_purge_ms = -math.inf  # newest purge of any group

    def record(self, event: Purged, now_ms: float, purge_settle_ms: float) -> None:
        """Record a purge, and drop those that have settled."""
        if not math.isfinite(event.age_ms):
            return
        key = (1, event.object_id) if event.object_id else (0, event.group)
        purged_ms = now_ms - max(0.0, event.age_ms)
        if not event.object_id:
            self.last_group_purge_ms = max(self.last_group_purge_ms, purged_ms)
            if event.group == UNKNOWN_GROUP:
                self.floor_ms = max(self.floor_ms, purged_ms)
                return
        self.purge_times[key] = max(purged_ms, self.purge_times.get(key, -math.inf))
        self.purge_times.move_to_end(key)
        settled_ms = now_ms - purge_settle_ms - PURGE_MARGIN_MS
        while self.purge_times and (
            next(iter(self.purge_times.values())) < settled_ms or len(self.purge_times) > MAX_PURGES
        ):
            _, dropped_ms = self.purge_times.popitem(last=False)
            if dropped_ms >= settled_ms:
                self.floor_ms = max(self.floor_ms, dropped_ms)

    def last_purge_ms(self, object_id: int, group: int) -> float:
        """Return when an object of a group was last purged, or -inf if all its purges have settled."""
        times = self.purge_times
        of_group_ms = times.get((0, group), -math.inf)
        if group == UNKNOWN_GROUP:
            of_group_ms = self.last_group_purge_ms
        return max(self.floor_ms, times.get((1, object_id), -math.inf), of_group_ms)

    def freshness_bound(self, state: RequestState, settings: Settings, now_ms: float) -> FreshnessBound:
        """Return which copies may answer the next attempt of a request."""
        service_class = state.service_class
        max_age_ms = 0.0
        if service_class.fresh_ms > 0 and (state.attempt_count or state.withholds_fill):
            # No fill is requested, or one has failed: a stale copy is better than none.
            max_age_ms = service_class.fresh_ms + service_class.max_stale_ms
        purged_ms = self.last_purge_ms(state.request.object_id, state.request.group)
        if now_ms - purged_ms > settings.purge_settle_ms + PURGE_MARGIN_MS:
            return FreshnessBound(max_age_ms, settings.coalesces_fills)
        # Neither a copy nor a fill in flight from before the purge may answer.
        since_ms = max(MIN_AGE_MS, now_ms - purged_ms - AGE_MARGIN_MS)
        return FreshnessBound(min(since_ms, max_age_ms or service_class.fresh_ms or since_ms), False)

    def may_serve_local_copy(self, state: RequestState, settings: Settings, now_ms: float) -> bool:
        """Return whether the router's own copy is fresh enough and its link is free soon enough."""
        request, service_class = state.request, state.service_class
        bound = self.freshness_bound(state, settings, now_ms)
        max_age_ms = bound.max_age_ms or service_class.fresh_ms or math.inf
        max_wait_ms = MAX_LOCAL_LINK_WAIT_RATIO * service_class.latency_objective_ms
        return (
            request.local_copy_age_ms + LOCAL_COPY_MARGIN_MS <= max_age_ms
            and request.local_link_wait_ms <= max_wait_ms
        )
