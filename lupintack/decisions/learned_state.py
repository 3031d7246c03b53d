"""A typed record of the learned state of the decisions, handed over from a process to its successor. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import islice
from typing import NamedTuple

from lupintack.decisions.endpoints import EndpointState
from lupintack.decisions.router import Router

MAX_LEARNED_REQUESTS = 10_000  # the most recent ones: a minute of busy traffic
MAX_START_DIFFERENCE_MS = 1000.0  # two processes read their clocks at different moments


class LearnedClass(NamedTuple):
    """Mean times of a service class, in the order of the handoff's record."""

    answer_ms: float
    transfer_ms: float
    answer_samples: float
    transfer_samples: float


class LearnedEndpoint(NamedTuple):
    """State of an endpoint, in the order of the handoff's record; None or infinity means never."""

    started_ms: float | None
    lost_ms: float | None
    ejected_until_ms: float | None
    ejections: float | None
    trial_successes: float | None
    consecutive_failures: float | None
    successes: float | None
    failures: float | None
    weight: float | None
    reported_load: float | None


@dataclass(frozen=True, slots=True)
class LearnedState:
    """State that neither the settings nor the endpoint list contain."""

    classes: dict[str, LearnedClass]
    priority_threshold: float
    last_requests: list[tuple[tuple[int, int], float]]
    """((object id, part), time in ms), the newest first."""

    endpoints: dict[int, LearnedEndpoint]


def learned_state(router: Router) -> LearnedState:
    """Return the learned state of a router."""
    times = router.transfer_times
    means = zip(times.answer_ms, times.transfer_ms, times.answer_samples, times.transfer_samples, strict=True)
    names = (service_class.name for service_class in router.settings.classes)
    popularity = router.popularity
    return LearnedState(
        classes={name: LearnedClass(*values) for name, values in zip(names, means, strict=False)},
        priority_threshold=popularity.priority_threshold,
        last_requests=list(islice(reversed(popularity.last_requests.items()), MAX_LEARNED_REQUESTS)),
        endpoints={id_: _learned_endpoint(endpoint) for id_, endpoint in router.endpoints.by_id.items()},
    )


def _learned_endpoint(endpoint: EndpointState) -> LearnedEndpoint:
    health, slow_start = endpoint.health, endpoint.slow_start
    return LearnedEndpoint(
        slow_start.started_ms,
        slow_start.lost_ms,
        health.ejected_until_ms,
        health.ejections,
        health.trial_successes,
        health.consecutive_failures,
        health.successes,
        health.failures,
        endpoint.weight,
        endpoint.load.reported,
    )


def restore(router: Router, learned: LearnedState) -> None:
    """Restore the state that another router learned, after the first list and before the first request."""
    times = router.transfer_times
    for index, service_class in enumerate(router.settings.classes):
        means = learned.classes.get(service_class.name)
        if means is not None:
            times.answer_ms[index] = means.answer_ms
            times.transfer_ms[index] = means.transfer_ms
            times.answer_samples[index] = int(means.answer_samples)
            times.transfer_samples[index] = int(means.transfer_samples)
    router.popularity.priority_threshold = learned.priority_threshold
    for key, requested_ms in reversed(learned.last_requests):
        router.popularity.last_requests[key] = requested_ms
    for id_, learned_endpoint in learned.endpoints.items():
        endpoint = router.endpoints.by_id.get(id_)
        if endpoint is None:
            continue
        # A later start in the list means that the process is not the one that was observed.
        if (learned_endpoint.started_ms or 0.0) >= endpoint.slow_start.started_ms - MAX_START_DIFFERENCE_MS:
            _restore_endpoint(endpoint, learned_endpoint)
    router.endpoints.weights_changed()


def _restore_endpoint(endpoint: EndpointState, learned: LearnedEndpoint) -> None:
    health = endpoint.health
    if learned.lost_ms is not None:
        endpoint.slow_start.lost_ms = learned.lost_ms
    if learned.ejected_until_ms is not None:
        health.ejected_until_ms = learned.ejected_until_ms
    health.ejections = int(learned.ejections or 0)
    health.trial_successes = int(learned.trial_successes or 0)
    health.consecutive_failures = int(learned.consecutive_failures or 0)
    health.successes, health.failures = learned.successes or 0.0, learned.failures or 0.0
    endpoint.load.reported = learned.reported_load
    endpoint.set_weight(learned.weight or 1.0)
