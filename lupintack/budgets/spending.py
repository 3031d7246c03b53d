"""What a holder may spend now: rates, or things in use at once, of several budgets together or of none."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

SECOND = 1_000_000


class BudgetKind(Enum):
    """What a unit is of."""

    RATE = "second"  # a rate
    CONCURRENT = "at once"  # things out at the same time


@dataclass(frozen=True, slots=True)
class Budget:
    """One budget of the fleet: its name, the whole in units, and how much of it may come at once."""

    name: str
    whole: int
    per: BudgetKind
    unit: str = "requests"
    reserved_per_mille: int = 100
    burst_us: int = 250_000  # of a rate: what may have gathered


@dataclass(slots=True)
class Balance:
    """What one holder has of one budget."""

    budget: Budget
    lease: int = 0
    floor: int = 0
    until_us: int = 0  # of the lease
    level: int = 0  # millionths of a unit that have gathered
    at_us: int = 0
    out: int = 0

    def hold(self, lease: int, until_us: int, floor: int, now: int) -> None:
        """Gather up to now by what was held, and only for as long as it was held; then this is held."""
        if self.budget.per is BudgetKind.RATE:
            length = min(max(0, now - self.at_us), self.budget.burst_us)
            leased = min(length, max(0, min(now, self.until_us) - self.at_us))
            gained = min(self.floor, floor) * length + min(self.lease, lease) * leased
            self.level = min(self.level + gained, self.most(lease if now < until_us else 0, floor))
        self.lease, self.floor, self.until_us, self.at_us = lease, floor, until_us, now

    def most(self, lease: int, floor: int) -> int:
        """A lease that has shrunk, or gone, takes what gathered under it along."""
        return (lease + floor) * self.budget.burst_us

    def amount(self, now: int) -> int:
        """What is held now: the reservation, and the lease while it lasts."""
        return self.floor + (self.lease if now < self.until_us else 0)

    def room(self, now: int) -> int:
        """Whole units that could be taken now."""
        if self.budget.per is BudgetKind.CONCURRENT:
            return max(0, self.amount(now) - self.out)
        return min(self.level, self.most(self.amount(now) - self.floor, self.floor)) // SECOND

    def wait_us(self, units: int, now: int) -> int:
        """When there may be as much, by what is held now; -1: not by waiting alone."""
        amount = self.amount(now)
        if self.budget.per is BudgetKind.CONCURRENT or amount * self.budget.burst_us < units * SECOND:
            return -1
        return max(0, -(-(units * SECOND - self.level) // amount))


class SpendLimiter:
    """One holder's balances of all budgets."""

    def __init__(self, budgets: Sequence[Budget], now: int) -> None:
        """A limiter that holds nothing yet."""
        self.balances = {budget.name: Balance(budget, at_us=now) for budget in budgets}

    def hold(self, leases: Sequence[int], until_us: int, floors: Sequence[int], now: int) -> None:
        """What is held, in the order of the budgets: a lease until then, and floors for good."""
        for balance, lease, floor in zip(self.balances.values(), leases, floors, strict=True):
            balance.hold(lease, until_us, floor, now)

    def take(self, wants: Mapping[str, int], now: int) -> str:
        """Take all of it, or nothing; the name of the first budget that lacks, "" where it was taken.

        `now` is read at the spend itself: a lease that has run out since it was received gives nothing.
        """
        for name, units in wants.items():
            balance = self.balances[name]
            balance.hold(balance.lease, balance.until_us, balance.floor, now)
            if balance.room(now) < units:
                return name
        for name, units in wants.items():
            balance = self.balances[name]
            if balance.budget.per is BudgetKind.RATE:
                balance.level -= units * SECOND
            else:
                balance.out += units
        return ""

    def give_back(self, name: str, units: int = 1) -> None:
        """A thing that was out has ended."""
        balance = self.balances[name]
        if balance.budget.per is BudgetKind.CONCURRENT:
            balance.out = max(0, balance.out - units)
