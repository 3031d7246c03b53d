"""Jitter for waits, so that the routers of a fleet do not act simultaneously. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol, TypeVar

JITTER_FRACTION = 0.4

Item = TypeVar("Item")


class RandomSource(Protocol):
    """Source of random numbers; the router owns the only seeded generator."""

    def random(self) -> float:
        """Return a number from 0 up to but not including 1."""

    def choice(self, seq: Sequence[Item], /) -> Item:
        """Return one item of a sequence that is not empty."""


class Jitter:
    """Randomizes waits with the router's seeded generator."""

    __slots__ = ("_random",)

    def __init__(self, random: RandomSource) -> None:
        """`random`: the source of one random number for each wait."""
        self._random = random

    def spread(self, wait_ms: float) -> float:
        """Return `wait_ms` changed by up to `JITTER_FRACTION` of it in either direction."""
        return wait_ms * (1.0 + JITTER_FRACTION * (2.0 * self._random.random() - 1.0))
