"""Selection of the cache and the fill source of an attempt, by rendezvous ranking. Pure."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from lupintack.decisions import retries
from lupintack.decisions.endpoint_table import EndpointTable
from lupintack.decisions.endpoints import EndpointState
from lupintack.decisions.jitter import RandomSource
from lupintack.decisions.outlier_detection import OutlierDetector
from lupintack.decisions.request_state import AttemptState, RequestState
from lupintack.decisions.transfer_times import TransferTimeEstimator
from lupintack.interface import Idempotency, Settings

SOURCE_OVERRIDE_MS = 5000.0
MAX_SOURCE_OVERRIDES = 4096  # the oldest override is dropped first


class Selection(NamedTuple):
    """A selected endpoint, and whether the attempt is a trial request of an ejected one."""

    endpoint: EndpointState | None
    is_trial: bool


class SourceOverride(NamedTuple):
    """A parent that fills an object instead of the first parent of the ranking."""

    member_id: int
    until_ms: float


class EndpointSelector:
    """Selects the first usable endpoint of a ranking, and stores overrides of fill sources."""

    __slots__ = (
        "_endpoints", "_outliers", "_random", "_transfer_times", "settings", "source_overrides",
    )  # fmt: skip

    def __init__(
        self,
        settings: Settings,
        endpoints: EndpointTable,
        outliers: OutlierDetector,
        transfer_times: TransferTimeEstimator,
        random: RandomSource,
    ) -> None:
        """Store the components that a selection is made from; `random` selects the source of an override."""
        self.settings = settings
        self.source_overrides: OrderedDict[int, SourceOverride] = OrderedDict()
        self._endpoints = endpoints
        self._outliers = outliers
        self._transfer_times = transfer_times
        self._random = random

    def has_budget(self, endpoint: EndpointState, need_ms: float, now_ms: float) -> bool:
        """Return whether an endpoint may be sent `need_ms` of transfer.

        In slow start the budget is a hard limit: each attempt and each fill that may reach it counts.
        """
        slow_start = endpoint.slow_start
        if slow_start.factor(now_ms) >= 1.0:
            return True
        settings = self.settings
        is_parent = endpoint.member.kind == settings.parent_kind
        lease = settings.warming_parent_share if is_parent else settings.warming_cache_share
        return slow_start.may_send(
            need_ms, now_ms, settings.overload_window_ms, settings.process_count, lease
        )

    def may_receive(self, endpoint: EndpointState, state: RequestState, now_ms: float) -> bool:
        """Return whether an endpoint is ready and has budget for the request."""
        need_ms = self._transfer_times.transfer_ms[state.request.class_index]
        return endpoint.is_ready and self.has_budget(endpoint, need_ms, now_ms)

    def select_cache(self, state: RequestState, now_ms: float) -> Selection:
        """Return the first cache of the router's location that may receive the request."""
        need_ms = self._transfer_times.transfer_ms[state.request.class_index]
        ranking = self._endpoints.cache_ranking
        first = ranking.first(state.request.object_id)
        # Fast path: the first cache is almost always usable and at full capacity.
        if (
            first
            and not state.attempt_count
            and not first.health.ejections
            and self.has_budget(first, need_ms, now_ms)
        ):
            return Selection(first, False)
        candidates = [
            cache
            for cache in ranking.ranked(state.request.object_id)
            if self.has_budget(cache, need_ms, now_ms) and retries.may_repeat(state, cache, now_ms)
        ]
        is_idempotent = state.service_class.idempotency == Idempotency.IDEMPOTENT
        cache, is_trial = self._first_usable(candidates, state.tried_members, is_idempotent, now_ms)
        return Selection(cache or next(iter(candidates), None), is_trial)

    def select_source(self, state: RequestState, now_ms: float) -> Selection:
        """Return the first usable parent of any location, or the origin."""
        object_id = state.request.object_id
        need_ms = self._transfer_times.transfer_ms[state.request.class_index]
        override = self._override(state, now_ms)
        if (
            override is not None
            and not self._outliers.is_ejected(override, now_ms)
            and self.has_budget(override, need_ms, now_ms)
        ):
            return Selection(override, False)
        ranking = self._endpoints.parent_ranking
        first = ranking.first(object_id)
        if (
            first
            and not state.attempt_count
            and not first.health.ejections
            and self.has_budget(first, need_ms, now_ms)
        ):
            return Selection(first, False)
        candidates = [
            parent for parent in ranking.ranked(object_id) if self.has_budget(parent, need_ms, now_ms)
        ]
        # Only a first request is likely to need a fill, and so to test the parent.
        may_try = state.is_first_request and state.service_class.idempotency == Idempotency.IDEMPOTENT
        parent, is_trial = self._first_usable(candidates, state.tried_sources, may_try, now_ms)
        return Selection(parent or self._endpoints.origin or next(iter(candidates), None), is_trial)

    def override_source(self, state: RequestState, attempt: AttemptState, now_ms: float) -> None:
        """After a failed fill, move the object's fills to another parent at random for a limited time."""
        origin = self._endpoints.origin
        others = [
            parent
            for parent in self._endpoints.parents
            if parent is not attempt.source and not self._outliers.is_ejected(parent, now_ms)
        ]
        others = others or ([origin] if origin else [])
        if attempt.source is None or attempt.source is origin or not others:
            return
        object_id = state.request.object_id
        self.source_overrides.pop(object_id, None)
        self.source_overrides[object_id] = SourceOverride(
            self._random.choice(others).id, now_ms + SOURCE_OVERRIDE_MS
        )
        if len(self.source_overrides) > MAX_SOURCE_OVERRIDES:
            self.source_overrides.popitem(last=False)

    def _override(self, state: RequestState, now_ms: float) -> EndpointState | None:
        """Return the parent of the object's current override, unless this request has tried it."""
        override = self.source_overrides.get(state.request.object_id)
        if override is None or override.until_ms <= now_ms or override.member_id in state.tried_sources:
            return None
        return self._endpoints.by_id.get(override.member_id)

    def _first_usable(
        self, candidates: list[EndpointState], tried: list[int], may_try: bool, now_ms: float
    ) -> Selection:
        """Return the first candidate that is not ejected or is due for a trial; tried ones come last."""
        for endpoint in candidates:
            if endpoint.id in tried:
                continue
            is_trial = may_try and self._outliers.claim_trial(endpoint, now_ms)
            if is_trial or not self._outliers.is_ejected(endpoint, now_ms):
                return Selection(endpoint, is_trial)
        usable = (candidate for candidate in candidates if not self._outliers.is_ejected(candidate, now_ms))
        return Selection(next(usable, None), False)
