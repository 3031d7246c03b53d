"""Outlier detection: ejects failing endpoints, tests them with trial requests, and readmits them. Pure.

A cache is ejected after consecutive failures, a parent when its share of failed fills exceeds that of its
peers.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from lupintack.decisions.endpoint_table import EndpointTable
from lupintack.decisions.endpoints import EndpointState
from lupintack.decisions.jitter import Jitter
from lupintack.decisions.request_state import AttemptState
from lupintack.interface import Action, Log, Settings

CONSECUTIVE_FAILURES_TO_EJECT = 4
OUTLIER_MARGIN = 0.3  # by which a parent's failed share must exceed its peers'
OUTLIER_MARGIN_WITHOUT_HIT_REPORTS = 0.12  # hits count as a parent's successes and dilute its failures
OUTLIER_STANDARD_ERRORS = 1.5  # of the parent's own share, added to the margin
PRIOR_SUCCESSES = 2.0  # assumed for each parent at the start
MIN_FAILURES_TO_EJECT = 2.5  # a single object that cannot be filled must not eject a parent
BASE_EJECTION_MS = 2500.0  # doubles with each further ejection
MAX_EJECTION_MS = 8000.0
MAX_DOUBLINGS = 6
TRIAL_INTERVAL_MS = 400.0
TRIAL_SUCCESSES_TO_RECOVER = 2
MIN_LOG_INTERVAL_MS = 5000.0  # between two log lines on one endpoint


class OutlierDetector:
    """Decides which endpoints are ejected, from the outcomes that it is given."""

    __slots__ = ("_emit", "_endpoints", "_jitter", "_margin", "fill_count", "settings")

    def __init__(
        self, settings: Settings, endpoints: EndpointTable, jitter: Jitter, emit: Callable[[Action], None]
    ) -> None:
        """`emit` receives the log lines."""
        self.settings = settings
        self.fill_count = 0.0
        self._endpoints = endpoints
        self._jitter = jitter
        self._emit = emit
        reports_hits = settings.reports_fill_source != "none"
        self._margin = OUTLIER_MARGIN if reports_hits else OUTLIER_MARGIN_WITHOUT_HIT_REPORTS

    def is_ejected(self, endpoint: EndpointState, now_ms: float) -> bool:
        """Return whether an endpoint is ejected or has not yet passed its trial requests."""
        health = endpoint.health
        return health.ejections > 0 and (
            health.trial_successes < TRIAL_SUCCESSES_TO_RECOVER or now_ms < health.ejected_until_ms
        )

    def claim_trial(self, endpoint: EndpointState, now_ms: float) -> bool:
        """Return whether an ejected endpoint may be sent a trial request now, and schedule the next one."""
        health = endpoint.health
        is_due = self.is_ejected(endpoint, now_ms) and now_ms >= max(
            health.ejected_until_ms, health.next_trial_ms
        )
        if is_due:
            health.next_trial_ms = now_ms + self._jitter.spread(TRIAL_INTERVAL_MS)
        return is_due

    def is_location_down(self, now_ms: float) -> bool:
        """Return whether no cache of the location answers.

        The list reports a lost location only after seconds. Until then all of its caches fail alike, so none
        is ejected by comparison with the others: consecutive failures count here as well.
        """
        for cache in self._endpoints.caches:
            only_fails = cache.health.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT
            if not only_fails and not self.is_ejected(cache, now_ms):
                return False
        return True

    def is_likely_lost(self, attempt: AttemptState, now_ms: float) -> bool:
        """Return whether an overdue attempt is likely lost rather than slow."""
        source = attempt.source
        return self.is_ejected(attempt.endpoint, now_ms) or (
            source is not None and self.is_ejected(source, now_ms)
        )

    def record_success(self, endpoint: EndpointState, attempt: AttemptState, now_ms: float) -> None:
        """Count an answer; a few timely answers to trial requests end an ejection."""
        health = endpoint.health
        health.decay(self.fill_count)
        health.successes += 1.0
        if attempt.is_trial and not attempt.is_overdue and self.is_ejected(endpoint, now_ms):
            health.trial_successes += 1
            if health.trial_successes >= TRIAL_SUCCESSES_TO_RECOVER:
                health.ejections, health.successes, health.failures = 0, 0.0, 0.0
                self._log(endpoint, "answers in time again: back in use", now_ms)

    def record_failed_fill(self, source: EndpointState, attempt: AttemptState, now_ms: float) -> None:
        """Count a failed fill, and eject a parent that is an outlier among its peers."""
        source.health.decay(self.fill_count)
        source.health.failures += 1.0
        self.fill_count += 1.0
        if self.is_ejected(source, now_ms):
            if attempt.is_trial:
                self.eject(source, "failed its trial", now_ms)
        elif self._is_outlier(source, now_ms):
            self.eject(source, "fails far more than its peers", now_ms)

    def record_cache_failure(self, attempt: AttemptState, now_ms: float) -> None:
        """Count a failure of a cache, and eject the cache after consecutive failures.

        While most other caches fail too, a cache is ejected only if requests may be sent to parents directly.
        """
        cache = attempt.endpoint
        cache.health.consecutive_failures += 1
        cache.health.last_failure_ms = now_ms
        if self.is_ejected(cache, now_ms):
            if attempt.is_trial:
                self.eject(cache, "failed its trial", now_ms)
        elif cache.health.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT:
            peers = [
                peer
                for peer in self._endpoints.caches
                if peer is not cache and not self.is_ejected(peer, now_ms)
            ]
            healthy = sum(peer.health.consecutive_failures == 0 for peer in peers)
            if healthy * 2 > len(peers) or self.settings.allows_origin_direct:
                self.eject(cache, "fails and answers nothing", now_ms)

    def eject(self, endpoint: EndpointState, reason: str, now_ms: float) -> None:
        """Eject an endpoint temporarily; its objects move to the next endpoint of the ranking."""
        health = endpoint.health
        wait_ms = self._jitter.spread(BASE_EJECTION_MS * 2.0 ** min(health.ejections, MAX_DOUBLINGS))
        health.ejected_until_ms = now_ms + min(MAX_EJECTION_MS, wait_ms)
        health.ejections += 1
        health.trial_successes = health.consecutive_failures = 0
        health.successes = health.failures = 0.0
        self._log(endpoint, f"{reason}: out of use", now_ms)

    def _is_outlier(self, parent: EndpointState, now_ms: float) -> bool:
        """Return whether a parent's share of failed fills exceeds that of its peers by the margin.

        When the cause is the router's own link or the origin, all parents fail alike and none is an outlier.
        """
        parents = self._endpoints.parents
        peers = [peer for peer in parents if peer is not parent and not self.is_ejected(peer, now_ms)]
        origin = self._endpoints.origin
        if not peers and origin is not None:
            peers = [origin]  # the last parent is compared with the origin by its fills
        health = parent.health
        if health.failures < MIN_FAILURES_TO_EJECT or parent not in parents or not peers:
            return False
        for peer in peers:
            peer.health.decay(self.fill_count)
        peer_failures = sum(peer.health.failures for peer in peers) + 0.5
        peer_fills = sum(peer.health.failures + peer.health.successes for peer in peers) + PRIOR_SUCCESSES
        expected_share = peer_failures / peer_fills
        own_fills = health.failures + health.successes + PRIOR_SUCCESSES
        variance = expected_share * max(0.0, 1.0 - expected_share) / own_fills
        margin = self._margin + OUTLIER_STANDARD_ERRORS * math.sqrt(variance)
        return health.failures / own_fills - expected_share > margin

    def _log(self, endpoint: EndpointState, text: str, now_ms: float) -> None:
        """Log a change of an endpoint, at most one line in `MIN_LOG_INTERVAL_MS`."""
        health = endpoint.health
        if now_ms - health.logged_ms >= MIN_LOG_INTERVAL_MS:
            health.logged_ms = now_ms
            self._emit(Log(text, endpoint.id))
