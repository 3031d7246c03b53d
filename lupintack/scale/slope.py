"""Slopes: what one event of a role costs at several sizes, measured on the project's own code.

A role module builds a `Subject` of one size. `measure` repeats it and keeps the spread; `fit` draws the line.
Processor time is taken by `thread_time` around the code under test; `count_operations` counts instructions
of the interpreter instead, so that a test of a slope does not depend on how busy the machine is.
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
SHARED_TYPES = (type, ModuleType, FunctionType)  # belong to the program, not to the state of one role


class SlopeError(ValueError):
    """A slope that can't be measured as asked; the text is one line for the user."""


class Parameters(NamedTuple):
    """What a subject is built from."""

    size: int  # members, purges, watchers, routers or holders, as the role says
    budgets: int  # of the allocator; other roles pass over it
    seed: int


@dataclass(frozen=True, slots=True)
class Sample:
    """One repeat: for one event, or for one router and second."""

    cpu_us: float
    bytes: float = 0.0
    messages: float = 0.0
    details: Mapping[str, float] = field(default_factory=dict)


class Subject(Protocol):
    """One role at one size."""

    def sample(self) -> Sample:
        """One repeat."""

    def state_bytes(self) -> int:
        """Memory of the role's own tables."""

    def close(self) -> None:
        """End what it has opened."""


@dataclass(frozen=True, slots=True)
class Role:
    """How a role is measured."""

    name: str
    per: str  # what one figure is for: an event, or a router and second
    size_is: str  # what the size counts
    make: Callable[[Parameters], Subject]
    memory_bytes: Callable[[Parameters], int]  # about, at most
    descriptors: Callable[[Parameters], int] = lambda parameters: 0
    min_size: int = 1


@dataclass(frozen=True, slots=True)
class SlopePoint:
    """The figures of one size. Processor time is the median of the repeats, with the least and the most.

    `reference_us` is the processor time of a fixed loop of additions, taken beside the repeats: on a machine
    that others use, cores are shared by two threads, and all times grow by what this one shows.
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
        """The line's value."""
        return self.intercept + self.slope * size


def measure(role: Role, parameters: Parameters, repeats: int = REPEATS) -> SlopePoint:
    """All repeats of one size; what the subject opened is closed, also after an error."""
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
    """Processor time of a fixed loop."""
    total = 0
    began = thread_time_ns()
    for number in range(REFERENCE_ADDITIONS):
        total += number
    return (thread_time_ns() - began) / 1000


def make_point(
    role: Role, parameters: Parameters, samples: Sequence[Sample], state_bytes: int, reference: float
) -> SlopePoint:
    """The repeats of one size as one point."""
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
    """The median, to three places."""
    return round(statistics.median(values), 3)


def fit(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """The least-squares line through the points; a flat one through a single size."""
    if len(set(sizes)) < 2:
        return Line(0.0, statistics.fmean(values))
    regression = statistics.linear_regression(sizes, values)
    return Line(regression.slope, regression.intercept)


def count_operations(action: Callable[[], object]) -> int:
    """Instructions of the interpreter that the action runs, in all of its Python frames.

    The same for the same work, however busy the machine is. A loop inside a built-in function (`sorted`,
    `sum` over a map of built-ins) counts as one call.
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
    """Memory of these objects and of all that they refer to, classes, modules and functions aside."""
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
