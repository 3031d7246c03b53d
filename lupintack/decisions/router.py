"""The dispatcher of the decisions; its types, events and actions are in lupintack/interface.py.

A Router is created from settings and a seed, and turns (now, events) into actions; its state follows from its
own events alone. Normally rendezvous hashing of the object selects a cache of the router's own zone, and the
parent that fills it among all parents. docs/design.md describes the exceptions.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from random import Random

from lupintack.decisions import retries
from lupintack.decisions.admission import AdmissionControl
from lupintack.decisions.attempt_planner import AttemptPlan, AttemptPlanner
from lupintack.decisions.attribution import OutcomeAttribution
from lupintack.decisions.concurrency import FillLimits, OriginFillLimit
from lupintack.decisions.endpoint_table import EndpointTable
from lupintack.decisions.endpoints import EndpointState
from lupintack.decisions.jitter import Jitter
from lupintack.decisions.load_reports import LoadReports
from lupintack.decisions.outlier_detection import OutlierDetector
from lupintack.decisions.popularity import PopularityRanker
from lupintack.decisions.purges import PurgeLog
from lupintack.decisions.request_state import AttemptState, RequestState
from lupintack.decisions.retries import RetryBudget
from lupintack.decisions.selection import EndpointSelector
from lupintack.decisions.transfer_times import TRANSFER_TIME_CONFIG, TransferTimeEstimator
from lupintack.interface import (
    Action,
    AttemptEnded,
    AttemptStarted,
    CacheStatus,
    Cancel,
    ClientDisconnected,
    Event,
    Fail,
    Fetch,
    Idempotency,
    ListKind,
    Member,
    MemberList,
    Purged,
    Reject,
    Request,
    ServeLocalCopy,
    SetTimer,
    Settings,
    Subscribe,
    TimerFired,
)

RESUBSCRIBE_MS = 1000.0  # after a failed subscription to the endpoint list
MIN_USABLE_PARENTS = 2  # with fewer, a slow fill is moved to another source when it is overdue
MAX_LOAD_TO_HEDGE_SAME_CACHE = 0.6  # above it, an overdue answer is assumed to be slow rather than lost

_SUBSCRIBE_TOKEN = 0
_ATTEMPT_BITS = 8  # low bits of a timer token; the high bits are the request id


class Router:
    """The decisions of one router."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """`seed`: of the random generator; the routers of a fleet have different seeds."""
        self._settings = settings
        self.now_ms = 0.0
        self.actions: list[Action] = []
        self.requests: dict[int, RequestState] = {}
        self.attempts: dict[tuple[int, int], AttemptState] = {}
        self._is_subscribed = not settings.requires_subscription
        self._random = Random(seed)
        jitter = Jitter(self._random)
        self.endpoints = EndpointTable(settings)
        self.transfer_times = TransferTimeEstimator(
            TRANSFER_TIME_CONFIG, settings.classes, settings.client_kb_per_s
        )
        self.popularity = PopularityRanker()
        self.purges = PurgeLog()
        self.fill_limits = FillLimits()
        self.origin_fills = OriginFillLimit()
        self.retry_budget = RetryBudget()
        self.load_reports = LoadReports(self.endpoints, settings.load_report_fields)
        self.outliers = OutlierDetector(settings, self.endpoints, jitter, self._emit)
        self.selector = EndpointSelector(
            settings, self.endpoints, self.outliers, self.transfer_times, self._random
        )
        self.admission = AdmissionControl(settings, self.endpoints, self.outliers, self.fill_limits, jitter)
        self.planner = AttemptPlanner(
            settings, self.endpoints, self.outliers, self.selector, self.admission, self.origin_fills
        )
        self.attribution = OutcomeAttribution(
            settings, self.outliers, self.fill_limits, self.transfer_times, self._emit
        )
        self._handlers: dict[type, Callable[..., None]] = {
            Request: self.on_request,
            AttemptEnded: self.on_attempt_ended,
            TimerFired: self.on_timer,
            MemberList: self.on_endpoint_list,
            Purged: self.on_purged,
            ClientDisconnected: self.on_client_disconnected,
            AttemptStarted: self.on_attempt_started,
        }

    @property
    def settings(self) -> Settings:
        """The settings in use.

        Assigning others replaces quotas and limits that are read with each decision; settings that rankings
        and estimates are computed from require `apply_settings`.
        """
        return self._settings

    @settings.setter
    def settings(self, settings: Settings) -> None:
        self._settings = settings
        self.endpoints.settings = settings
        self.outliers.settings = settings
        self.selector.settings = settings
        self.admission.settings = settings
        self.planner.settings = settings
        self.attribution.settings = settings

    def apply_settings(self, settings: Settings) -> None:
        """Replace the settings; a class that keeps its name and index keeps its learned state."""
        self.settings = settings
        self.transfer_times.apply_settings(settings.classes, settings.client_kb_per_s)
        self.endpoints.apply_settings(settings, self.now_ms, self.outliers.fill_count)

    def handle(self, now_ms: float, events: Iterable[Event]) -> Sequence[Action]:
        """Return the actions for events that occur at `now_ms`; a clock that goes back is ignored."""
        if math.isfinite(now_ms):
            self.now_ms = max(self.now_ms, now_ms)
        self.actions = []
        if not self._is_subscribed:
            self._is_subscribed = True
            self.actions.append(Subscribe())
        handlers = self._handlers
        for event in events:
            handler = handlers.get(type(event))
            if handler is not None:
                handler(event)
        return self.actions

    def _emit(self, action: Action) -> None:
        self.actions.append(action)

    # Events

    def on_endpoint_list(self, event: MemberList) -> None:
        """Apply the endpoint list or its changes; after a failed subscription, schedule another one."""
        if event.kind != ListKind.FAILED:
            self.endpoints.apply(event, self.now_ms, self.outliers.fill_count)
        elif self._settings.requires_subscription:
            self._emit(SetTimer(self.now_ms + RESUBSCRIBE_MS, _SUBSCRIBE_TOKEN))

    def on_purged(self, event: Purged) -> None:
        """Record a purge, so that no older copy is accepted until all caches have applied it."""
        self.purges.record(event, self.now_ms, self._settings.purge_settle_ms)

    def on_client_disconnected(self, event: ClientDisconnected) -> None:
        """Remove the request and cancel its attempts."""
        self.finish_request(event.request)

    def on_attempt_started(self, event: AttemptStarted) -> None:
        """Keep the attempt that streams the answer, and cancel the other attempts."""
        self.finish_request(event.request, event.attempt)

    def on_request(self, request: Request) -> None:
        """Register a request, then serve the local copy, send an attempt or reject it."""
        state = self._register(request)
        if request.local_copy_age_ms >= 0.0 and self.purges.may_serve_local_copy(
            state, self._settings, self.now_ms
        ):
            del self.requests[request.id]
            self._emit(ServeLocalCopy(request.id))
        elif not self._send(state):
            self._reject(state)

    def on_timer(self, event: TimerFired) -> None:
        """Subscribe again, or treat an attempt as overdue."""
        if event.token == _SUBSCRIBE_TOKEN:
            self._emit(Subscribe())
            return
        request_id = event.token >> _ATTEMPT_BITS
        number = event.token % (1 << _ATTEMPT_BITS) - 1
        attempt = self.attempts.get((request_id, number))
        if attempt is None or attempt.is_overdue:
            return
        attempt.is_overdue = True
        self.attribution.record_overdue(attempt, self.now_ms)
        state = self.requests.get(request_id)
        if state is None or number not in state.open_attempts:
            return
        if not self.retry_budget.may_hedge(state, self.now_ms):
            return
        if self.outliers.is_likely_lost(attempt, self.now_ms):
            self._replace_lost_attempt(state, attempt, number)
        else:
            self._hedge_slow_attempt(state, attempt)

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """Record the outcome; finish, retry or reject the request."""
        attempt = self.attempts.pop((event.request, event.attempt), None)
        state = self.requests.get(event.request)
        if attempt is not None:
            attempt.endpoint.load.change_in_flight(self.now_ms, -1)
            self.origin_fills.release(attempt.uses_origin_fill)
            self.load_reports.record(attempt.endpoint, event.load_report, self.now_ms)
            self.attribution.record_end(attempt, event, state, self.now_ms)
        if state is None:
            return
        state.open_attempts.pop(event.attempt, None)
        if event.is_final:
            self.finish_request(event.request)
            return
        if attempt is not None:
            retries.forget_attempt_without_effect(state, attempt, event.outcome)
        if not state.open_attempts:
            self._retry_or_reject(state, attempt, event)

    # Requests

    def _register(self, request: Request) -> RequestState:
        """Return the state of a new request."""
        settings, now_ms = self._settings, self.now_ms
        service_class = settings.classes[request.class_index]
        transfer_ms = self.transfer_times.estimate_ms(request.class_index, request.size_kb)
        is_write = request.is_write or service_class.is_write
        state = RequestState(request, service_class, transfer_ms, settings.max_attempts, is_write)
        self.requests[request.id] = state
        if request.first_attempt_member:
            state.first_attempt_ms = request.first_attempt_ms
            state.first_attempt_endpoint = self._listed_or_unknown(request.first_attempt_member)
        self.retry_budget.earn()
        state.retention_priority, state.is_first_request = self.popularity.rank(
            request.object_id, request.part, request.size_kb, is_write, now_ms
        )
        allowed_share = self.fill_limits.allowed_share()
        state.withholds_fill = allowed_share < 1.0 and self._random.random() > allowed_share
        return state

    def _listed_or_unknown(self, member_id: int) -> EndpointState:
        """Return an endpoint by id; an unlisted one gets a zone and a cell that match no other."""
        listed = self.endpoints.by_id.get(member_id)
        if listed is not None:
            return listed
        unknown = Member(member_id, -1, -1, -1)
        return self.endpoints.new_endpoint(unknown, self.now_ms, self.outliers.fill_count)

    def finish_request(self, request_id: int, winner: int = -1) -> None:
        """Remove a request that needs no further answer, and cancel all its attempts except the winner."""
        state = self.requests.pop(request_id, None)
        if (
            state is None
            or not self._settings.allows_cancellation
            or state.service_class.idempotency != Idempotency.IDEMPOTENT
        ):
            return
        for number in state.open_attempts:
            if number != winner:
                self._emit(Cancel(request_id, number))

    def _reject(self, state: RequestState) -> None:
        """Send the final answer of a request that is not served: `Reject` if a retry is safe, else `Fail`."""
        request_id = state.request.id
        is_safe = retries.is_safe_to_retry_by_client(state)
        self.finish_request(request_id)
        retry_after_ms = self.admission.retry_after_ms()
        if is_safe:
            self._emit(Reject(request_id, retry_after_ms, state.reason))
        else:
            self._emit(Fail(request_id, state.reason))

    # Attempts

    def _send(self, state: RequestState, preferred: EndpointState | None = None) -> bool:
        """Send an attempt, to `preferred` if that endpoint may receive it; return whether one was sent."""
        now_ms = self.now_ms
        plan = self.planner.plan(state, now_ms, preferred)
        if plan is None:
            return False
        self._charge_slow_start(plan, state)
        request_id, number = state.request.id, state.attempt_count
        overdue_ms = now_ms + retries.overdue_after_ms(plan.objective_ms, state.transfer_ms)
        timer = SetTimer(overdue_ms, (request_id << _ATTEMPT_BITS) + number + 1)
        self.actions += (self._fetch(plan, state), timer)
        attempt = AttemptState(
            plan.endpoint,
            plan.source,
            now_ms,
            plan.is_cache_trial or plan.is_source_trial,
            now_ms + plan.objective_ms,
            plan.uses_origin_fill,
        )
        self.attempts[request_id, number] = attempt
        state.add_attempt(attempt)
        plan.endpoint.load.change_in_flight(now_ms, 1)
        return True

    def _charge_slow_start(self, plan: AttemptPlan, state: RequestState) -> None:
        """Charge the attempt to the slow-start budgets of the endpoints that it may reach."""
        now_ms = self.now_ms
        for endpoint in (plan.endpoint, plan.source):
            if endpoint is not None and endpoint.slow_start.factor(now_ms) < 1.0:
                class_index = state.request.class_index
                endpoint.slow_start.tokens_ms -= self.transfer_times.transfer_ms[class_index]

    def _fetch(self, plan: AttemptPlan, state: RequestState) -> Fetch:
        bound = self.purges.freshness_bound(state, self._settings, self.now_ms)
        return Fetch(
            state.request.id,
            plan.endpoint.id,
            (plan.source or plan.endpoint).id,
            bound.max_age_ms,
            state.retention_priority,
            bound.may_coalesce,
            state.service_class.fresh_ms > 0 and not plan.only_if_cached,
            plan.only_if_cached,
        )

    def _hedge_slow_attempt(self, state: RequestState, attempt: AttemptState) -> None:
        """Send another attempt to the same cache: the answer may be lost, and a coalesced fill is cheap."""
        settings, now_ms = self._settings, self.now_ms
        usable_parents = sum(
            not self.outliers.is_ejected(parent, now_ms) for parent in self.endpoints.parents
        )
        if usable_parents < MIN_USABLE_PARENTS:
            self.selector.override_source(state, attempt, now_ms)
        load = attempt.endpoint.load.reported or 0.0
        has_capacity = not self.fill_limits.is_restricting() and load < MAX_LOAD_TO_HEDGE_SAME_CACHE
        if settings.coalesces_fills and settings.allows_hedging and has_capacity:
            self.retry_budget.spend(self._send(state, attempt.endpoint))

    def _replace_lost_attempt(self, state: RequestState, attempt: AttemptState, number: int) -> None:
        """Send a second attempt elsewhere, or cancel this one so that another may follow its end."""
        settings = self._settings
        if not self.outliers.is_ejected(attempt.endpoint, self.now_ms):
            self.selector.override_source(state, attempt, self.now_ms)
        if settings.allows_hedging:
            self.retry_budget.spend(self._send(state))
        elif settings.allows_cancellation and state.attempt_count < settings.max_attempts:
            attempt.is_cancelled = True
            self._emit(Cancel(state.request.id, number))

    def _retry_or_reject(
        self, state: RequestState, attempt: AttemptState | None, event: AttemptEnded
    ) -> None:
        """Retry a request whose last attempt has ended, or send its final answer."""
        # Retries of many routers could overload an origin that has just failed.
        state.withholds_fill |= event.cache_status == CacheStatus.ORIGIN_FAILED
        state.reason = f"its last attempt ended as {event.outcome.name.lower()}"
        if self.retry_budget.may_retry(state, attempt, event, self._settings, self.now_ms):
            if (
                attempt is not None
                and not attempt.is_cancelled
                and retries.may_be_failed_fill(event, self._settings.reports_fill_source)
            ):
                self.selector.override_source(state, attempt, self.now_ms)
            if self._send(state):
                self.retry_budget.spend(True)
                return
        self._reject(state)
