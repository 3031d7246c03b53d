"""What a hollow router wants of each budget: drawn anew every few seconds, so that leases move."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from lupintack.scale.hollow_plan import BudgetPlan

REDRAW_INTERVAL_US = 5_000_000
MAX_SHARE_FACTOR = 2.5  # times an equal share, at most: on average a little more is wanted than there is


class Demand:
    """The demand of one router of a site."""

    def __init__(self, budgets: Sequence[BudgetPlan], routers: int, site: str, random: Random) -> None:
        """`routers`: of the whole fleet, among which budgets without a site are wanted."""
        self.budgets, self.routers, self.site, self.random = tuple(budgets), routers, site, random
        self.units: tuple[int, ...] = ()
        self.redraw_us = 0

    def draw(self, now: int) -> tuple[int, ...]:
        """Units wanted of each budget at this moment."""
        if now >= self.redraw_us:
            self.redraw_us = now + int(REDRAW_INTERVAL_US * (0.5 + self.random.random()))
            self.units = tuple(self._draw_budget(budget) for budget in self.budgets)
        return self.units

    def _draw_budget(self, budget: BudgetPlan) -> int:
        if budget.site and budget.site != self.site:
            return 0
        share = budget.total if budget.site else budget.total / self.routers
        return min(budget.total, round(share * MAX_SHARE_FACTOR * self.random.random()))
