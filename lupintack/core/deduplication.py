"""Keeps attempts under an idempotency key within the deduplication window of the first that may have run."""

from __future__ import annotations

from typing import NamedTuple

from lupintack.core.core_state import CoreState
from lupintack.core.messages import Attempt, ClientRequest
from lupintack.interface import Idempotency, ServiceClass
from lupintack.limits.idempotency_cache import IdempotencyCache, IdempotencyKey, PossibleRun


class FirstRun(NamedTuple):
    """The first attempt that may have run, as the router is told of it."""

    member: int
    sent_us: int  # or earlier: so that a window of the present length ends when the earliest one does


class Deduplication:
    """Applies the idempotency keys of clients. Used by the core's turn alone."""

    def __init__(self, state: CoreState, cache: IdempotencyCache) -> None:
        """`cache`: the attempts that may have run."""
        self._state = state
        self._cache = cache

    def reserve(self, request: ClientRequest) -> bool:
        """Keep room for a new request's key; return False if there is none and the request must be refused.

        The key is kept for the request and for another try of its client: a rejection allows one at any age
        of the first attempt.
        """
        service_class = self._class_of(request)
        if not request.idempotency_key or service_class.idempotency is not Idempotency.KEYED:
            return True
        is_reserved = self._reserve(request, service_class)
        if not is_reserved:
            self._state.counters["idempotency_keys.refused"] += 1
        return is_reserved

    def first_run(self, request: ClientRequest) -> FirstRun | None:
        """Return the first attempt that may have run under a request's key, or None."""
        service_class = self._class_of(request)
        if not request.idempotency_key or service_class.idempotency is Idempotency.IDEMPOTENT:
            return None
        key = IdempotencyKey(service_class.name, request.idempotency_key)
        run, window_us = self._cache.first_run(key), _window_us(service_class)
        window_end_us = self._cache.window_end_us(key, window_us)
        if run is None or window_end_us is None:
            return None
        return FirstRun(run.member, window_end_us - window_us)

    def record(self, attempt: Attempt) -> bool:
        """Limit a keyed attempt to the window of its key's first attempt, and record it.

        Return False if it can't be recorded and must not be sent.
        """
        request = attempt.request
        service_class = self._class_of(request)
        if not request.idempotency_key or service_class.idempotency is not Idempotency.KEYED:
            return True
        key = IdempotencyKey(service_class.name, request.idempotency_key)
        window_us = _window_us(service_class)
        attempt.not_after_us = self._cache.window_end_us(key, window_us) or 0
        run = PossibleRun(self._state.now_us, attempt.member, request.number, attempt.number, window_us)
        # The class may have been keyed only after the request was read: then no room was kept.
        is_recorded = self._reserve(request, service_class) and self._cache.add_run(key, run)
        if not is_recorded:
            self._state.counters["idempotency_keys.held_back"] += 1
        return is_recorded

    def on_no_effect(self, attempt: Attempt) -> None:
        """Forget an attempt that is proved to have had no effect."""
        request = attempt.request
        if request.idempotency_key:
            key = IdempotencyKey(attempt.class_name, request.idempotency_key)
            self._cache.remove_run(key, request.number, attempt.number)

    def _reserve(self, request: ClientRequest, service_class: ServiceClass) -> bool:
        """Keep a request's key until its client has waited and could have made another try."""
        key = IdempotencyKey(service_class.name, request.idempotency_key)
        now_us = self._state.now_us
        waited_us = max(request.deadline_us, now_us)
        expires_us = waited_us + int(service_class.deadline_ms * 1000) + _window_us(service_class)
        return self._cache.reserve(key, now_us, expires_us)

    def _class_of(self, request: ClientRequest) -> ServiceClass:
        return self._state.settings.classes[request.class_index]


def _window_us(service_class: ServiceClass) -> int:
    return int(service_class.deduplication_window_ms * 1000)
