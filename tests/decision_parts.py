"""Builders for unit tests of the decisions: endpoints, requests and attempts without a router."""

from __future__ import annotations

from typing import Any

from lupintack import interface as i
from lupintack.decisions.endpoint_table import EndpointTable
from lupintack.decisions.endpoints import EndpointState
from lupintack.decisions.jitter import Jitter
from lupintack.decisions.outlier_detection import OutlierDetector
from lupintack.decisions.request_state import AttemptState, RequestState
from tests import helpers as h


class FixedRandom:
    """Returns the same number each time, and the first item of a sequence; with 0.5, jitter has no effect."""

    def __init__(self, draw: float = 0.5) -> None:
        self.draw = draw

    def random(self) -> float:
        return self.draw

    def choice(self, seq: Any, /) -> Any:
        return seq[0]


def endpoint_table(now_ms: float = 0.0, **changes: Any) -> EndpointTable:
    """An endpoint table with the members of `helpers.full_list`."""
    table = EndpointTable(h.settings(**changes))
    table.apply(h.full_list(), now_ms, 0.0)
    return table


def detector(table: EndpointTable, draw: float = 0.5) -> tuple[OutlierDetector, list[i.Action]]:
    """An outlier detector for a table, and the list of actions that it emits."""
    actions: list[i.Action] = []
    return OutlierDetector(table.settings, table, Jitter(FixedRandom(draw)), actions.append), actions


def request_state(cls: int = h.SAFE, object_id: int = 5, **changes: Any) -> RequestState:
    """The state of a new request of a service class."""
    request = h.request(1, object_id, cls, **changes)
    service_class = h.classes()[cls]
    return RequestState(request, service_class, 300.0, 6, request.is_write or service_class.is_write)


def attempt_state(
    endpoint: EndpointState, source: EndpointState | None = None, sent_ms: float = 0.0, **changes: Any
) -> AttemptState:
    """An attempt in flight, not a trial request, with an objective of 500 ms."""
    values: dict[str, Any] = {
        "is_trial": False,
        "objective_at_ms": sent_ms + 500.0,
        "uses_origin_fill": False,
    }
    return AttemptState(endpoint, source, sent_ms, **(values | changes))
