"""The results of a call: one of the five subclasses of Result; none is raised as an exception."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """The fields of all results: the number of attempts, and the time of all together in microseconds."""

    tries: int
    took_us: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Served(Result):
    """The complete body and its tag."""

    body: bytes
    tag: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Holds(Result):
    """The caller's own copy is current."""

    tag: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Refused(Result):
    """The call was not processed; `wait_ms` is the time until a new one is welcome (0: none was given)."""

    wait_ms: int = 0
    why: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Failed(Result):
    """The router or a member answered with an error status; a write may have run."""

    status: int
    text: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Unknown(Result):
    """No response arrived. A write may have run, and is not repeated."""

    why: str
