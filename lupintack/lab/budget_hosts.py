"""A router of a simulated fleet with budgets: its process, its clock and its stored promises."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from lupintack.budgets.hierarchy import Level, TwoLevelNode
from lupintack.budgets.node import BudgetNode
from lupintack.budgets.voter import Promise

Node = BudgetNode | TwoLevelNode


@dataclass(slots=True)
class Host:
    """One router: its process, its clock and its stored promises."""

    name: str
    site: str
    clock_offset_us: int
    clock_rate: float
    node: Node | None = None
    starts: int = 0
    stored_promises: dict[Level, Promise] = field(default_factory=dict)  # by level; kept on disk
    pause_count: int = 0
    inbox: list[tuple[Callable[..., Any], tuple[Any, ...]]] = field(default_factory=list)
    planned_tick_us: int = -1
    lease_ends_us: float = 0.0  # in true time
    lease_amounts: tuple[int, ...] = ()
    starved_since_us: int = 0  # since when it lacks a lease of some budget; -1 while it has all

    def local_us(self, at_true_us: int) -> int:
        """Return the time of this host's clock at a true time."""
        return self.clock_offset_us + int(at_true_us * self.clock_rate)

    def true_us(self, at_local_us: int) -> int:
        """Return a true time at which the clock has reached this time."""
        return int((at_local_us - self.clock_offset_us) / self.clock_rate) + 1
