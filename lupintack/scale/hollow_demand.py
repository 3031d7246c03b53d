"""Random demand of a hollow router, redrawn every few seconds so that leases change."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from lupintack.scale.hollow_plan import BudgetPlan

REDRAW_INTERVAL_US = 5_000_000
MAX_SHARE_FACTOR = 2.5  # times an equal share; the mean of 1.25 makes demand exceed the total a little


class Demand:
    """The demand of one router of a site."""

    def __init__(self, budgets: Sequence[BudgetPlan], routers: int, site: str, random: Random) -> None:
        """`routers`: number of routers of the fleet, which share the budgets without a site."""
        self.budgets, self.routers, self.site, self.random = tuple(budgets), routers, site, random
        self.units: tuple[int, ...] = ()
        self.redraw_us = 0

    def draw(self, now: int) -> tuple[int, ...]:
        """Return the demand for each budget, in units, and redraw it when due."""
        if now >= self.redraw_us:
            self.redraw_us = now + int(REDRAW_INTERVAL_US * (0.5 + self.random.random()))
            self.units = tuple(self._draw_budget(budget) for budget in self.budgets)
        return self.units

    def _draw_budget(self, budget: BudgetPlan) -> int:
        if budget.site and budget.site != self.site:
            return 0
        share = budget.total if budget.site else budget.total / self.routers
        return min(budget.total, round(share * MAX_SHARE_FACTOR * self.random.random()))
