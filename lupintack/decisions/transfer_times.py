"""Estimates of transfer times: by the size of the request if known, else the mean of its class. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from lupintack.interface import ServiceClass


@dataclass(frozen=True, slots=True)
class TransferTimeConfig:
    """Initial values of the means, and how fast they adapt."""

    initial_objective_share: float
    """First mean of a class, as a share of its latency objective."""

    smoothing: float
    """Minimum weight of the newest sample, 0 to 1."""


TRANSFER_TIME_CONFIG = TransferTimeConfig(initial_objective_share=1.0, smoothing=0.02)


class TransferTimeEstimator:
    """Mean times of each class in milliseconds: of all answers, and of those without a fill.

    A known size determines the time of the request itself and also counts towards the means of its class.
    """

    __slots__ = (
        "answer_ms", "answer_samples", "class_names", "client_kb_per_s", "config", "deadline_ms",
        "transfer_ms", "transfer_samples",
    )  # fmt: skip

    def __init__(
        self, config: TransferTimeConfig, classes: Sequence[ServiceClass], client_kb_per_s: float
    ) -> None:
        """Start with means derived from the latency objective of each class."""
        self.config = config
        self.client_kb_per_s = client_kb_per_s
        self.answer_ms: list[float] = []
        self.transfer_ms: list[float] = []
        self.answer_samples: list[int] = []
        self.transfer_samples: list[int] = []
        self.deadline_ms: list[float] = []
        self.class_names: list[str] = []
        self.apply_settings(classes, client_kb_per_s)

    def apply_settings(self, classes: Sequence[ServiceClass], client_kb_per_s: float) -> None:
        """Replace the classes; a class that keeps its name and index keeps its means."""
        self.client_kb_per_s = client_kb_per_s
        for index, service_class in enumerate(classes):
            # Assigning to a slice past the end appends.
            index_slice = slice(index, index + 1)
            if index >= len(self.class_names) or self.class_names[index] != service_class.name:
                initial_ms = service_class.latency_objective_ms * self.config.initial_objective_share
                self.answer_ms[index_slice] = [initial_ms]
                self.transfer_ms[index_slice] = [initial_ms]
                self.answer_samples[index_slice] = [0]
                self.transfer_samples[index_slice] = [0]
            self.class_names[index_slice] = [service_class.name]
            self.deadline_ms[index_slice] = [service_class.deadline_ms]

    def estimate_ms(self, class_index: int, size_kb: float) -> float:
        """Return the transfer time of a new request; a size of 0 means unknown.

        An implausible size affects only its own request: in the means it counts at most as the deadline.
        """
        if not size_kb or self.client_kb_per_s <= 0:
            return self.answer_ms[class_index]
        stated_ms = size_kb / self.client_kb_per_s * 1000.0
        self.record(class_index, min(stated_ms, self.deadline_ms[class_index]), True)
        return stated_ms

    def record(self, class_index: int, elapsed_ms: float, transfer_only: bool) -> None:
        """Add the time of one answer to the means; `transfer_only` means that it includes no fill.

        Charging fill times to the budget of an endpoint in slow start would leave half of that budget unused.
        """
        self._add(self.answer_ms, self.answer_samples, class_index, elapsed_ms)
        if transfer_only:
            self._add(self.transfer_ms, self.transfer_samples, class_index, elapsed_ms)
        if not self.transfer_samples[class_index]:
            # A class without hits, such as writes: the mean of all answers is the upper bound.
            self.transfer_ms[class_index] = min(self.transfer_ms[class_index], self.answer_ms[class_index])

    def _add(self, means: list[float], samples: list[int], class_index: int, elapsed_ms: float) -> None:
        samples[class_index] += 1
        weight = max(self.config.smoothing, 1.0 / samples[class_index])
        means[class_index] += (elapsed_ms - means[class_index]) * weight
