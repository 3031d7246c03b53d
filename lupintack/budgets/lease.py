"""The holder's side of a lease: amounts of budgets that are valid until a time on its own clock."""

from __future__ import annotations

from lupintack.budgets.messages import Epoch, LeaseGrant, LeaseRequest, SubLeaseGrant
from lupintack.budgets.terms import Terms


class LeaseHolder:
    """The lease of one process. A new process starts without one; its predecessor's lease expires."""

    def __init__(self, name: str, start: int, budget_count: int, terms: Terms) -> None:
        """Create a holder of `budget_count` amounts, all 0."""
        self.name, self.start, self.terms = name, start, terms
        self.zero = (0,) * budget_count
        self.amounts = self.zero
        self.until_us = 0
        self.sequence = 0
        self.requested_us = 0
        self.epoch: Epoch | None = None  # of the pending or last request
        self.is_answered = True
        self.last_request: LeaseRequest | None = None

    def leased_amounts(self, now_us: int) -> tuple[int, ...]:
        """Return the amounts that may be spent now; call this at the time of the spend."""
        return self.amounts if now_us < self.until_us else self.zero

    def request(
        self,
        epoch: Epoch | None,
        demand: tuple[int, ...],
        now_us: int,
        leaving: bool = False,
        in_use: tuple[int, ...] = (),
    ) -> LeaseRequest:
        """Return the next request. It invalidates all earlier requests, answered or not."""
        if leaving:
            self.amounts, self.until_us = self.zero, 0
        self.sequence += 1
        self.epoch, self.requested_us, self.is_answered = epoch, now_us, False
        self.last_request = LeaseRequest(
            self.name, self.start, self.sequence, epoch, demand, self.leased_amounts(now_us), leaving, in_use
        )
        return self.last_request

    def accept(self, grant: LeaseGrant | SubLeaseGrant, now_us: int) -> bool:
        """Accept a grant for the last request, and return whether the lease is valid now.

        The lease's time is measured from the request, which was sent before the lease was granted.
        """
        if (grant.name, grant.start, grant.sequence) != (self.name, self.start, self.sequence):
            return False
        if grant.epoch != self.epoch or self.is_answered or len(grant.amounts) != len(self.zero):
            return False
        self.is_answered = True
        self.amounts = grant.amounts
        lease_us = self.terms.lease_us
        if isinstance(grant, SubLeaseGrant):
            lease_us = min(lease_us, grant.lease_us)
        self.until_us = self.requested_us + self.terms.drift_safe(lease_us)
        return now_us < self.until_us
