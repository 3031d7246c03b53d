"""Unit tests of transfer times by request size and by the means of the classes."""

from __future__ import annotations

import pytest

from lupintack.decisions.transfer_times import TransferTimeConfig, TransferTimeEstimator
from lupintack.interface import ServiceClass

CONFIG = TransferTimeConfig(initial_objective_share=0.5, smoothing=0.25)
CLASSES = (
    ServiceClass("a", latency_objective_ms=400.0, deadline_ms=1000.0),
    ServiceClass("b", latency_objective_ms=600.0, deadline_ms=3000.0),
)


@pytest.mark.parametrize(
    ("kb_per_s", "sizes", "expected"),
    [
        (1000.0, [0.0], 200.0),  # size unknown: half of the objective
        (1000.0, [300.0], 300.0),
        (1000.0, [300.0, 0.0], 300.0),  # the mean of the requests before
        (1000.0, [300.0, 500.0, 0.0], 400.0),
        (1000.0, [9e9, 0.0], 1000.0),  # an implausible size counts as the deadline
        (0.0, [300.0], 200.0),  # rate unknown
    ],
)
def test_transfer_time_of_last_request(kb_per_s: float, sizes: list[float], expected: float) -> None:
    times = TransferTimeEstimator(CONFIG, CLASSES, kb_per_s)
    assert [times.estimate_ms(0, size) for size in sizes][-1] == pytest.approx(expected)


def test_implausible_size_determines_its_own_time() -> None:
    assert TransferTimeEstimator(CONFIG, CLASSES, 1000.0).estimate_ms(0, 9e9) == 9e9


@pytest.mark.parametrize(
    ("samples", "answer_ms", "transfer_ms"),
    [
        ([(100.0, True)], 100.0, 100.0),
        ([(900.0, False)], 900.0, 200.0),
        ([(100.0, False)], 100.0, 100.0),  # without transfer samples, the mean of all answers is the bound
        ([(100.0, True), (500.0, False)], 300.0, 100.0),
        (
            [(100.0, True)] * 4 + [(500.0, True)],
            200.0,
            200.0,
        ),  # the newest sample has a weight of at least a quarter
    ],
)
def test_means_of_all_answers_and_of_transfers(
    samples: list[tuple[float, bool]], answer_ms: float, transfer_ms: float
) -> None:
    times = TransferTimeEstimator(CONFIG, CLASSES, 0.0)
    for elapsed_ms, transfer_only in samples:
        times.record(0, elapsed_ms, transfer_only)
    assert (times.answer_ms[0], times.transfer_ms[0]) == pytest.approx((answer_ms, transfer_ms))
    assert (times.answer_ms[1], times.transfer_ms[1]) == (300.0, 300.0), "another class"


def test_class_with_same_name_and_index_keeps_its_means() -> None:
    times = TransferTimeEstimator(CONFIG, CLASSES, 0.0)
    for index in (0, 1):
        times.record(index, 50.0, True)
    times.apply_settings((CLASSES[0], ServiceClass("c", latency_objective_ms=80.0), CLASSES[1]), 7.0)
    assert times.answer_ms == [50.0, 40.0, 300.0] and times.transfer_samples == [1, 0, 0]
    assert times.client_kb_per_s == 7.0
