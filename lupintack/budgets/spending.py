"""Spending limits of one holder for rates and concurrent uses, with atomic spends on several budgets."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

MICROSECONDS_PER_SECOND = 1_000_000


class BudgetKind(Enum):
    """The kind of a budget's unit."""

    RATE = "second"  # units per second
    CONCURRENT = "at once"  # units in use at the same time


@dataclass(frozen=True, slots=True)
class Budget:
    """One budget of the fleet: its name, its total in units, its reserved part and its burst."""

    name: str
    total_units: int
    kind: BudgetKind
    unit: str = "requests"
    reserved_per_mille: int = 100
    burst_us: int = 250_000  # for rates: the longest time for which unspent units accumulate


@dataclass(slots=True)
class Balance:
    """One holder's balance of one budget."""

    budget: Budget
    lease: int = 0
    reservation: int = 0
    lease_until_us: int = 0
    accumulated: int = 0  # millionths of a unit
    updated_us: int = 0
    in_use: int = 0

    def set_amounts(self, lease: int, lease_until_us: int, reservation: int, now_us: int) -> None:
        """Accumulate units up to `now_us` from the previous amounts while valid, then set the new amounts."""
        if self.budget.kind is BudgetKind.RATE:
            elapsed_us = min(max(0, now_us - self.updated_us), self.budget.burst_us)
            leased_us = min(elapsed_us, max(0, min(now_us, self.lease_until_us) - self.updated_us))
            gained = min(self.reservation, reservation) * elapsed_us + min(self.lease, lease) * leased_us
            self.accumulated = min(
                self.accumulated + gained,
                self.max_accumulated(lease if now_us < lease_until_us else 0, reservation),
            )
        self.lease, self.reservation, self.lease_until_us, self.updated_us = (
            lease,
            reservation,
            lease_until_us,
            now_us,
        )

    def max_accumulated(self, lease: int, reservation: int) -> int:
        """Return the limit for `accumulated`; a smaller lease discards any excess."""
        return (lease + reservation) * self.budget.burst_us

    def amount(self, now_us: int) -> int:
        """Return the reservation, plus the lease while it is valid."""
        return self.reservation + (self.lease if now_us < self.lease_until_us else 0)

    def available_units(self, now_us: int) -> int:
        """Return the number of units that can be spent now."""
        if self.budget.kind is BudgetKind.CONCURRENT:
            return max(0, self.amount(now_us) - self.in_use)
        return (
            min(
                self.accumulated,
                self.max_accumulated(self.amount(now_us) - self.reservation, self.reservation),
            )
            // MICROSECONDS_PER_SECOND
        )

    def wait_us(self, units: int, now_us: int) -> int:
        """Return the microseconds until `units` are available; -1 if waiting alone can't provide them."""
        amount = self.amount(now_us)
        if (
            self.budget.kind is BudgetKind.CONCURRENT
            or amount * self.budget.burst_us < units * MICROSECONDS_PER_SECOND
        ):
            return -1
        return max(0, -(-(units * MICROSECONDS_PER_SECOND - self.accumulated) // amount))


class SpendLimiter:
    """The balances of one holder for all budgets."""

    def __init__(self, budgets: Sequence[Budget], now_us: int) -> None:
        """Create the balances, with all amounts zero."""
        self.balances = {budget.name: Balance(budget, updated_us=now_us) for budget in budgets}

    def set_amounts(
        self, leases: Sequence[int], lease_until_us: int, reservations: Sequence[int], now_us: int
    ) -> None:
        """Set leases, their end and reservations; rows are in the order of the budgets."""
        for balance, lease, reservation in zip(self.balances.values(), leases, reservations, strict=True):
            balance.set_amounts(lease, lease_until_us, reservation, now_us)

    def spend(self, units_by_budget: Mapping[str, int], now_us: int) -> str:
        """Spend all units or none; return the first budget that lacks units, or "" on success.

        `now_us` must be the time of the spend, so that a lease that has expired since it was received does
        not count.
        """
        for name, units in units_by_budget.items():
            balance = self.balances[name]
            balance.set_amounts(balance.lease, balance.lease_until_us, balance.reservation, now_us)
            if balance.available_units(now_us) < units:
                return name
        for name, units in units_by_budget.items():
            balance = self.balances[name]
            if balance.budget.kind is BudgetKind.RATE:
                balance.accumulated -= units * MICROSECONDS_PER_SECOND
            else:
                balance.in_use += units
        return ""

    def release(self, name: str, units: int = 1) -> None:
        """Release units of a concurrent budget."""
        balance = self.balances[name]
        if balance.budget.kind is BudgetKind.CONCURRENT:
            balance.in_use = max(0, balance.in_use - units)
