"""Load reports of caches, and the weights that follow them. Pure."""

from __future__ import annotations

import math

from lupintack.decisions.endpoint_table import EndpointTable
from lupintack.decisions.endpoints import EndpointState

CPU_SHARE_FIELD = "cpu_share"
LOAD_SMOOTHING = 0.1  # weight of the newest report
LOAD_OFFSET = 0.05  # added to loads before they are compared, so that idle caches count as equal
REWEIGHT_INTERVAL_MS = 1000.0
REWEIGHT_EXPONENT = 0.05  # of (mean load / own load): loads converge within minutes


class LoadReports:
    """Tracks reported loads and slowly lowers the weight of busy caches.

    Objects differ so much that the loads of caches in one location differ fivefold even at low traffic. Quick
    or large moves of objects would cost more cache hits than they save in waiting, hence the small exponent
    and the bounds of a weight.
    """

    __slots__ = ("_cpu_share_index", "_endpoints", "_reweighted_ms")

    def __init__(self, endpoints: EndpointTable, report_fields: tuple[str, ...]) -> None:
        """`report_fields`: the names of the values of a report, in order."""
        self._endpoints = endpoints
        self._reweighted_ms = 0.0
        self._cpu_share_index = (
            report_fields.index(CPU_SHARE_FIELD) if CPU_SHARE_FIELD in report_fields else None
        )

    def record(self, endpoint: EndpointState, report: tuple[float, ...], now_ms: float) -> None:
        """Apply a report; one without a valid processor load is ignored."""
        index = self._cpu_share_index
        if index is None or index >= len(report) or not 0.0 <= report[index] < math.inf:
            return
        load, cpu_share = endpoint.load, min(1.0, report[index])
        if load.reported is None:
            load.reported = cpu_share
        else:
            load.reported += LOAD_SMOOTHING * (cpu_share - load.reported)
        if now_ms - self._reweighted_ms >= REWEIGHT_INTERVAL_MS:
            self._reweighted_ms = now_ms
            self._reweight(now_ms)

    def _reweight(self, now_ms: float) -> None:
        """Move the weights of caches at full capacity towards equal loads."""
        loads = [
            (cache, cache.load.reported + LOAD_OFFSET)
            for cache in self._endpoints.caches
            if cache.load.reported is not None and cache.slow_start.factor(now_ms) >= 1.0
        ]
        mean = sum(load for _, load in loads) / len(loads) if loads else 0.0
        for cache, load in loads:
            cache.set_weight(cache.weight * (mean / load) ** REWEIGHT_EXPONENT)
        self._endpoints.cache_ranking.weights_changed()
