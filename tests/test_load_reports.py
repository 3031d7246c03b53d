"""Unit tests of load reports and of the weights derived from them."""

from __future__ import annotations

import math

import pytest

from lupintack.decisions.load_reports import LoadReports
from tests import decision_parts as parts


@pytest.mark.parametrize(
    ("fields", "report", "expected"),
    [
        (("cpu_share",), (0.4,), 0.4),
        (("queue", "cpu_share"), (9.0, 0.4), 0.4),
        (("cpu_share",), (7.0,), 1.0),
        (("queue",), (0.4,), None),
        ((), (0.4,), None),
        (("cpu_share",), (), None),
        (("cpu_share",), (-0.1,), None),
        (("cpu_share",), (math.nan,), None),
        (("cpu_share",), (math.inf,), None),
    ],
)
def test_first_valid_report_sets_load(
    fields: tuple[str, ...], report: tuple[float, ...], expected: float | None
) -> None:
    table = parts.endpoint_table()
    LoadReports(table, fields).record(table.by_id[11], report, 0.0)
    assert table.by_id[11].load.reported == expected


def test_later_reports_are_smoothed() -> None:
    table = parts.endpoint_table()
    reports = LoadReports(table, ("cpu_share",))
    for value in (0.2, 0.7):
        reports.record(table.by_id[11], (value,), 0.0)
    assert table.by_id[11].load.reported == pytest.approx(0.25)


def test_weights_shift_to_idle_caches_at_most_once_per_second() -> None:
    table = parts.endpoint_table()
    reports = LoadReports(table, ("cpu_share",))
    for cache, load in ((11, 0.9), (12, 0.1)):
        reports.record(table.by_id[cache], (load,), 999.0)
    assert {cache.weight for cache in table.caches} == {1.0}
    reports.record(table.by_id[11], (0.9,), 1000.0)
    weights = [table.by_id[cache].weight for cache in (11, 12, 13)]
    assert weights[0] < 1.0 < weights[1] and weights[2] == 1.0, "cache 13 has not reported"
    reports.record(table.by_id[11], (0.9,), 1999.0)
    assert [table.by_id[cache].weight for cache in (11, 12, 13)] == weights


def test_cache_in_slow_start_is_not_compared() -> None:
    table = parts.endpoint_table()
    reports = LoadReports(table, ("cpu_share",))
    table.by_id[12].slow_start.started_ms = 500.0
    for cache, load in ((11, 0.9), (12, 0.1), (11, 0.9)):
        reports.record(table.by_id[cache], (load,), 1000.0)
    assert {cache.weight for cache in table.caches} == {1.0}
