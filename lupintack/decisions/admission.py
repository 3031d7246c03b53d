"""Admission: expected latency at a busy cache, load shedding, and the Retry-After of a rejection. Pure."""

from __future__ import annotations

from collections.abc import Iterable

from lupintack.decisions.concurrency import FillLimits
from lupintack.decisions.endpoint_table import EndpointTable
from lupintack.decisions.endpoints import EndpointState
from lupintack.decisions.jitter import Jitter
from lupintack.decisions.outlier_detection import OutlierDetector
from lupintack.decisions.request_state import RequestState
from lupintack.interface import Settings

REDIRECT_LATENCY_RATIO = 0.4  # of the objective; above it another cache or only a cached copy is requested
SHED_LATENCY_RATIO = 0.75  # of the objective; above it a request is rejected
COALESCING_FACTOR = 1.8  # raises both thresholds where misses join fills in flight, and so wait less
MAX_ALTERNATIVE_CACHES = 2  # first caches of the ranking that are considered where each new copy is a fill
FULL_LOAD = 0.85  # requests that would have to wait at a cache with a higher reported load are rejected
MEAN_RETRY_AFTER_MS = 100.0


class AdmissionControl:
    """Decides whether a request's cache is too busy for it, and which one could take it."""

    __slots__ = ("_endpoints", "_fill_limits", "_jitter", "_outliers", "settings")

    def __init__(
        self,
        settings: Settings,
        endpoints: EndpointTable,
        outliers: OutlierDetector,
        fill_limits: FillLimits,
        jitter: Jitter,
    ) -> None:
        """Store the components that the load of a location is computed from."""
        self.settings = settings
        self._endpoints = endpoints
        self._outliers = outliers
        self._fill_limits = fill_limits
        self._jitter = jitter

    def expected_latency_ms(self, state: RequestState, endpoint: EndpointState, now_ms: float) -> float:
        """Return the time an answer would take at a busy cache, or 0 if the request would not wait.

        Each other router of the location is assumed to have as many attempts in flight there as this one had
        in the recent mean: this router's current count is a poor estimate of theirs.
        """
        load, slow_start = endpoint.load, endpoint.slow_start
        load.change_in_flight(now_ms, 0)
        others = (slow_start.router_count - 1) * load.mean_in_flight
        utilization = (load.in_flight + 1 + others) / max(1.0, endpoint.member.capacity)
        if utilization > 1.0 and self.settings.member_weights != "none":
            return state.transfer_ms * utilization
        return 0.0

    def latency_ratio(
        self, state: RequestState, cache: EndpointState, objective_ms: float, now_ms: float
    ) -> float:
        """Return the expected latency as a share of the objective, reduced where fills are coalesced."""
        ratio = self.expected_latency_ms(state, cache, now_ms) / objective_ms
        return ratio / (COALESCING_FACTOR if self.settings.coalesces_fills else 1.0)

    def must_shed(self, latency_ratio: float, cache: EndpointState) -> bool:
        """Return whether a request is rejected when no idle cache can take it."""
        return latency_ratio > SHED_LATENCY_RATIO or (cache.load.reported or 0.0) > FULL_LOAD

    def idle_cache(self, state: RequestState, now_ms: float) -> EndpointState | None:
        """Return the first idle cache of the ranking, or None if too few of the location's caches are idle.

        Without coalescing, each new copy costs another fill. When half of the location is busy, fills are the
        cause, and more of them would make it worse.
        """
        if self._fill_limits.is_restricting():
            return None
        ready = [
            cache
            for cache in self._endpoints.cache_ranking.ranked(state.request.object_id)
            if not self._outliers.is_ejected(cache, now_ms) and cache.slow_start.factor(now_ms) >= 1.0
        ]
        if not self.settings.coalesces_fills:
            idle_count = sum(self._is_idle(state, cache, now_ms) for cache in ready)
            ready = ready[:MAX_ALTERNATIVE_CACHES] if idle_count * 2 >= len(ready) else []
        return self._first_idle(state, ready, now_ms)

    def retry_after_ms(self) -> float:
        """Return how long the client of a rejected request is asked to wait."""
        return min(self._jitter.spread(MEAN_RETRY_AFTER_MS), self.settings.max_retry_after_ms)

    def _is_idle(self, state: RequestState, cache: EndpointState, now_ms: float) -> bool:
        return self.expected_latency_ms(state, cache, now_ms) <= 0.0

    def _first_idle(
        self, state: RequestState, caches: Iterable[EndpointState], now_ms: float
    ) -> EndpointState | None:
        return next((cache for cache in caches if self._is_idle(state, cache, now_ms)), None)
