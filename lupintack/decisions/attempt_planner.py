"""Plans the next attempt of a request: its endpoint, its fill source, and whether it may be sent. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from lupintack.decisions import retries
from lupintack.decisions.admission import REDIRECT_LATENCY_RATIO, AdmissionControl
from lupintack.decisions.concurrency import OriginFillLimit
from lupintack.decisions.endpoint_table import EndpointTable
from lupintack.decisions.endpoints import EndpointState
from lupintack.decisions.outlier_detection import OutlierDetector
from lupintack.decisions.request_state import RequestState
from lupintack.decisions.selection import EndpointSelector
from lupintack.interface import Settings


@dataclass(slots=True, eq=False)
class AttemptPlan:
    """The endpoint of an attempt and the source that fills a miss there.

    Without a source, only a cached copy is requested.
    """

    endpoint: EndpointState
    source: EndpointState | None
    is_cache_trial: bool
    is_source_trial: bool
    only_if_cached: bool
    objective_ms: float = 0.0
    uses_origin_fill: bool = False

    def drop_source(self) -> None:
        """Request only a copy that the endpoint already has."""
        self.source = None
        self.is_source_trial = False


def latency_objective_ms(state: RequestState) -> float:
    """Return the time in which the request should be answered, by its class and its transfer time."""
    service_class = state.service_class
    stretch_ms = service_class.latency_objective_stretch * state.transfer_ms
    return min(service_class.latency_objective_ms + stretch_ms, service_class.deadline_ms)


class AttemptPlanner:
    """Combines selection, retries, admission and the limit of origin fills into a plan."""

    __slots__ = (
        "_admission", "_endpoints", "_origin_fills", "_outliers", "_selector", "settings",
    )  # fmt: skip

    def __init__(
        self,
        settings: Settings,
        endpoints: EndpointTable,
        outliers: OutlierDetector,
        selector: EndpointSelector,
        admission: AdmissionControl,
        origin_fills: OriginFillLimit,
    ) -> None:
        """Store the components that a plan is made from."""
        self.settings = settings
        self._endpoints = endpoints
        self._outliers = outliers
        self._selector = selector
        self._admission = admission
        self._origin_fills = origin_fills

    def plan(
        self, state: RequestState, now_ms: float, preferred: EndpointState | None = None
    ) -> AttemptPlan | None:
        """Return the next attempt, at `preferred` if that endpoint may receive it.

        Return None and set `state.reason` if no attempt may be sent. A returned plan that uses a fill at the
        origin has already been counted there.
        """
        if now_ms >= state.request.deadline_ms:
            state.reason = "its deadline has passed"
            return None
        if state.attempt_count >= min(state.max_attempts, self.settings.max_attempts):
            state.reason = "its maximum of attempts is reached"
            return None
        plan = self._choose_endpoints(state, now_ms, preferred)
        if plan is None or not self._admit(plan, state, now_ms):
            return None
        return plan if self._reserve_origin_fill(plan, state, now_ms) else None

    def _choose_endpoints(
        self, state: RequestState, now_ms: float, preferred: EndpointState | None
    ) -> AttemptPlan | None:
        settings, origin = self.settings, self._endpoints.origin
        cache, is_cache_trial = self._selector.select_cache(state, now_ms)
        if preferred is not None and self._selector.may_receive(preferred, state, now_ms):
            cache, is_cache_trial = preferred, False
        if state.is_write:
            source, is_source_trial = origin, False
        else:
            source, is_source_trial = self._selector.select_source(state, now_ms)
        endpoint = cache
        if settings.allows_origin_direct and (
            cache is None or (not is_cache_trial and self._outliers.is_location_down(now_ms))
        ):
            # If no cache of the location answers, requests are sent to parents directly.
            endpoint, source = source, origin
        if endpoint is None:
            state.reason = "no member is available"
            return None
        if not retries.may_repeat(state, endpoint, now_ms):
            state.reason = "it may have run"
            return None
        only_if_cached = state.withholds_fill and not state.is_write
        return AttemptPlan(endpoint, source, is_cache_trial, is_source_trial, only_if_cached)

    def _admit(self, plan: AttemptPlan, state: RequestState, now_ms: float) -> bool:
        """Set the objective; redirect or shed a first attempt at a busy cache."""
        plan.objective_ms = latency_objective_ms(state)
        if state.attempt_count or state.is_write or plan.is_cache_trial:
            return True
        ratio = self._admission.latency_ratio(state, plan.endpoint, plan.objective_ms, now_ms)
        if ratio > REDIRECT_LATENCY_RATIO:
            idle = self._admission.idle_cache(state, now_ms)
            if idle is not None:
                plan.endpoint = idle
            elif self._admission.must_shed(ratio, plan.endpoint):
                state.reason = "its cache is busy"
                return False
            else:
                # A cached copy can still be served in time; a fill would wait behind the other requests.
                plan.drop_source()
        return True

    def _reserve_origin_fill(self, plan: AttemptPlan, state: RequestState, now_ms: float) -> bool:
        """Count a fill at the origin; without capacity there, request only a cached copy."""
        origin = self._endpoints.origin
        if plan.only_if_cached and plan.source is origin:
            plan.drop_source()  # the origin has every object, so only-if-cached would not prevent the fill
        if state.is_write or origin is None or (plan.endpoint is not origin and plan.source is not origin):
            return True
        if self._origin_fills.acquire(self.settings.max_origin_fills, now_ms):
            plan.uses_origin_fill = True
        elif plan.endpoint is origin:
            state.reason = "the limit of origin fills is reached"
            return False
        else:
            plan.drop_source()
        return True
