"""Slopes: the cost of one event of a role at several sizes, measured on the production code.

A role module builds a `Subject` of one size. `measure` repeats its sample and records the spread; `fit` fits
a line. Processor time is measured with `thread_time` around the code under test; `count_operations` counts
interpreter instructions instead, so that tests of slopes do not depend on the load of the machine.
"""

from __future__ import annotations

import gc
import statistics
import sys
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from time import thread_time_ns
from types import FrameType, FunctionType, ModuleType
from typing import Any, NamedTuple, Protocol

REPEATS = 5
REFERENCE_ADDITIONS = 100_000
SHARED_TYPES = (type, ModuleType, FunctionType)  # part of the program, not of one role's state


class SlopeError(ValueError):
    """A slope can't be measured as requested; the text is one line for the user."""


class Parameters(NamedTuple):
    """Parameters of a subject."""

    size: int  # members, purges, watchers, routers or holders, by role
    budgets: int  # of the allocator; other roles ignore it
    seed: int


@dataclass(frozen=True, slots=True)
class Sample:
    """Result of one repeat, per event or per router and second."""

    cpu_us: float
    bytes: float = 0.0
    messages: float = 0.0
    details: Mapping[str, float] = field(default_factory=dict)


class Subject(Protocol):
    """A role at one size."""

    def sample(self) -> Sample:
        """Measure one repeat."""

    def state_bytes(self) -> int:
        """Return the memory of the role's own tables."""

    def close(self) -> None:
        """Release all resources that were opened."""


@dataclass(frozen=True, slots=True)
class Role:
    """Description of a role and its measurement."""

    name: str
    per: str  # unit of the results: an event, or a router and second
    size_label: str  # what the size counts
    make: Callable[[Parameters], Subject]
    memory_bytes: Callable[[Parameters], int]  # estimated upper bound
    descriptors: Callable[[Parameters], int] = lambda parameters: 0
    min_size: int = 1


@dataclass(frozen=True, slots=True)
class SlopePoint:
    """Results for one size. Processor time is the median of the repeats, with minimum and maximum.

    `reference_us` is the processor time of a fixed loop of additions, measured between the repeats: on a
    shared machine two threads share a core, which slows all measured times by the same factor.
    """

    role: str
    size: int
    budgets: int
    per: str
    cpu_us: float
    cpu_us_min: float
    cpu_us_max: float
    repeats: int
    seed: int
    bytes: float
    state_bytes: int
    messages: float
    reference_us: float
    details: Mapping[str, float]


class Line(NamedTuple):
    """A least-squares line."""

    slope: float
    intercept: float

    def at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.intercept + self.slope * size


def measure(role: Role, parameters: Parameters, repeats: int = REPEATS) -> SlopePoint:
    """Run all repeats of one size; the subject is closed, also after an error."""
    subject = role.make(parameters)
    try:
        samples, references = [], []
        for _ in range(repeats):
            samples.append(subject.sample())
            references.append(reference_us())
        state_bytes = subject.state_bytes()
    finally:
        subject.close()
    return make_point(role, parameters, samples, state_bytes, rounded_median(references))


def reference_us() -> float:
    """Return the processor time of a fixed loop."""
    total = 0
    began = thread_time_ns()
    for number in range(REFERENCE_ADDITIONS):
        total += number
    return (thread_time_ns() - began) / 1000


def make_point(
    role: Role, parameters: Parameters, samples: Sequence[Sample], state_bytes: int, reference: float
) -> SlopePoint:
    """Combine the repeats of one size into one point."""
    times = [sample.cpu_us for sample in samples]
    names = dict.fromkeys(name for sample in samples for name in sample.details)
    details = {
        name: rounded_median([s.details[name] for s in samples if name in s.details]) for name in names
    }
    return SlopePoint(
        role=role.name,
        size=parameters.size,
        budgets=parameters.budgets,
        per=role.per,
        cpu_us=rounded_median(times),
        cpu_us_min=round(min(times), 3),
        cpu_us_max=round(max(times), 3),
        repeats=len(samples),
        seed=parameters.seed,
        bytes=rounded_median([sample.bytes for sample in samples]),
        state_bytes=state_bytes,
        messages=rounded_median([sample.messages for sample in samples]),
        reference_us=reference,
        details=details,
    )


def rounded_median(values: Sequence[float]) -> float:
    """Return the median, rounded to three decimals."""
    return round(statistics.median(values), 3)


def fit(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Fit a least-squares line; for a single size, return a flat line at the mean."""
    if len(set(sizes)) < 2:
        return Line(0.0, statistics.fmean(values))
    regression = statistics.linear_regression(sizes, values)
    return Line(regression.slope, regression.intercept)


def count_operations(action: Callable[[], object]) -> int:
    """Count the interpreter instructions that the action executes, in all of its Python frames.

    The count is deterministic and independent of the machine's load. A loop inside a built-in function
    (`sorted`, `sum` over a map of built-ins) counts as one call.
    """
    count = 0

    def trace(frame: FrameType, event: str, argument: Any) -> Any:
        nonlocal count
        frame.f_trace_opcodes = True
        frame.f_trace_lines = False
        count += event == "opcode"
        return trace

    previous_trace = sys.gettrace()
    sys.settrace(trace)
    try:
        action()
    finally:
        sys.settrace(previous_trace)
    return count


def deep_bytes(*roots: object) -> int:
    """Return the memory of objects and everything they reference, except classes, modules and functions."""
    seen: set[int] = set()
    total = 0
    pending = [*roots]
    while pending:
        value = pending.pop()
        if id(value) in seen or isinstance(value, SHARED_TYPES):
            continue
        seen.add(id(value))
        total += sys.getsizeof(value)
        pending.extend(gc.get_referents(value))
    return total
