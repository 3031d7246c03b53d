"""Keeps attempts under an idempotency key within the deduplication window of the first that may have run."""

from __future__ import annotations

from typing import NamedTuple

from lupintack.core.core_state import CoreState
from lupintack.core.key_records import RunShared, RunWithdrawn
from lupintack.core.messages import Attempt, ClientRequest, ReadSharedKeys, SharedKeysGap
from lupintack.core.record_log import RecordLog
from lupintack.core.shared_keys import SharedKeys
from lupintack.interface import Idempotency, ServiceClass
from lupintack.limits.idempotency_cache import IdempotencyCache, IdempotencyKey, PossibleRun

MAX_CLIENT_WAIT_US = 120_000_000  # of a request that another process has read


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
        self._shared: SharedKeys | None = None

    def share(self, log: RecordLog) -> None:
        """Share keys with the router's other processes; called before the first request."""
        self._shared = SharedKeys(log, self._cache, self._state.counters)

    def has_pending(self) -> bool:
        """Return whether the log has keys of others, or is to have some of this process; on any thread."""
        return self._shared is not None and self._shared.has_pending()

    def on_shared_keys(self, message: ReadSharedKeys | SharedKeysGap) -> None:
        """Bring the shared keys up to date."""
        if self._shared is None:
            return
        if isinstance(message, SharedKeysGap):
            self._shared.on_gap(message.at_us)
        self._shared.synchronize()

    def reserve(self, request: ClientRequest) -> bool:
        """Keep room for a new request's key; return False if there is none and the request must be refused.

        The key is kept for the request and for another try of its client: a rejection allows one at any age
        of the first attempt. A retry whose first attempt may be known to another process alone is refused
        too.
        """
        service_class = self._class_of(request)
        if not request.idempotency_key or service_class.idempotency is not Idempotency.KEYED:
            return True
        counters = self._state.counters
        if self._shared is not None:
            self._shared.read()
            if self._lacks_first_attempt(self._shared, request, service_class):
                counters["idempotency_keys.unknown"] += 1
                return False
        is_reserved = self._reserve(request, service_class)
        if not is_reserved:
            counters["idempotency_keys.refused"] += 1
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

        Return False if it can't be recorded, here or for the other processes, and must not be sent.
        """
        request = attempt.request
        service_class = self._class_of(request)
        if not request.idempotency_key or service_class.idempotency is not Idempotency.KEYED:
            return True
        if self._shared is None:
            is_recorded = self._record(attempt, service_class) is not None
        else:
            is_recorded = self._record_for_all(self._shared, attempt, service_class)
        if not is_recorded:
            self._state.counters["idempotency_keys.held_back"] += 1
        return is_recorded

    def on_no_effect(self, attempt: Attempt) -> None:
        """Forget an attempt that is proved to have had no effect."""
        request = attempt.request
        if not request.idempotency_key:
            return
        key = IdempotencyKey(attempt.class_name, request.idempotency_key)
        is_known = self._cache.remove_run(key, request.number, attempt.number)
        if is_known and self._shared is not None:
            run_id = self._shared.run_id(request.number)
            self._shared.withdraw(RunWithdrawn(key.class_name, key.value, run_id, attempt.number))

    def _record_for_all(self, shared: SharedKeys, attempt: Attempt, service_class: ServiceClass) -> bool:
        """Record an attempt in this process, and for the other ones; forget it if that fails."""
        request = attempt.request

        def record() -> RunShared | None:
            run = self._record(attempt, service_class)
            if run is None:
                return None
            return RunShared(
                service_class.name,
                request.idempotency_key,
                shared.run_id(request.number),
                run.attempt,
                run.sent_us,
                run.member,
                run.window_us,
                self._expiry_us(request, service_class),
            )

        lifetime_us = self._expiry_us(request, service_class) - self._state.now_us
        if shared.share(record, lifetime_us):
            return True
        key = IdempotencyKey(service_class.name, request.idempotency_key)
        self._cache.remove_run(key, request.number, attempt.number)
        return False

    def _record(self, attempt: Attempt, service_class: ServiceClass) -> PossibleRun | None:
        """Record an attempt in this process; return None if there is no room."""
        request, window_us = attempt.request, _window_us(service_class)
        key = IdempotencyKey(service_class.name, request.idempotency_key)
        attempt.not_after_us = self._cache.window_end_us(key, window_us) or 0
        run = PossibleRun(self._state.now_us, attempt.member, request.number, attempt.number, window_us)
        # The class may have been keyed only after the request was read: then no room was kept.
        is_recorded = self._reserve(request, service_class) and self._cache.add_run(key, run)
        return run if is_recorded else None

    def _lacks_first_attempt(
        self, shared: SharedKeys, request: ClientRequest, service_class: ServiceClass
    ) -> bool:
        """Return whether a client's retry may follow an attempt that this process doesn't know."""
        key = IdempotencyKey(service_class.name, request.idempotency_key)
        if not request.is_retry or self._cache.first_run(key) is not None:
            return False
        lifetime_us = MAX_CLIENT_WAIT_US + _retry_time_us(service_class)
        return shared.may_lack_runs(self._state.now_us, lifetime_us)

    def _reserve(self, request: ClientRequest, service_class: ServiceClass) -> bool:
        """Keep a request's key until its client has waited and could have made another try."""
        key = IdempotencyKey(service_class.name, request.idempotency_key)
        return self._cache.reserve(key, self._state.now_us, self._expiry_us(request, service_class))

    def _expiry_us(self, request: ClientRequest, service_class: ServiceClass) -> int:
        return max(request.deadline_us, self._state.now_us) + _retry_time_us(service_class)

    def _class_of(self, request: ClientRequest) -> ServiceClass:
        return self._state.settings.classes[request.class_index]


def _retry_time_us(service_class: ServiceClass) -> int:
    """Return how long after its end a request's key matters."""
    return int(service_class.deadline_ms * 1000) + _window_us(service_class)


def _window_us(service_class: ServiceClass) -> int:
    return int(service_class.deduplication_window_ms * 1000)
