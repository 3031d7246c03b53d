"""A holder's side: parts of the fleet's budgets, until a moment on its own clock."""

from __future__ import annotations

from lupintack.budgets.messages import Epoch, LeaseGrant, LeaseRequest
from lupintack.budgets.terms import Terms


class LeaseHolder:
    """The leases of one process. A new process has nothing: what the old one had dies by itself."""

    def __init__(self, name: str, start: int, budgets: int, terms: Terms) -> None:
        self.name, self.start, self.terms = name, start, terms
        self.zero = (0,) * budgets
        self.amounts = self.zero
        self.until_us = 0
        self.sequence = 0
        self.requested_us = 0
        self.epoch: Epoch | None = None  # of the ask that is out
        self.answered = True

    def held(self, now: int) -> tuple[int, ...]:
        """What may be spent now; to be asked at the spend itself."""
        return self.amounts if now < self.until_us else self.zero

    def request(
        self,
        epoch: Epoch | None,
        demand: tuple[int, ...],
        now: int,
        leaving: bool = False,
        in_use: tuple[int, ...] = (),
    ) -> LeaseRequest:
        """The next ask. With it all earlier ones are void, answered or not."""
        if leaving:
            self.amounts, self.until_us = self.zero, 0
        self.sequence += 1
        self.epoch, self.requested_us, self.answered = epoch, now, False
        return LeaseRequest(
            self.name, self.start, self.sequence, epoch, demand, self.held(now), leaving, in_use
        )

    def accept(self, grant: LeaseGrant, now: int) -> bool:
        """Takes a grant to the last ask; its time counts from that ask, which was before the grant."""
        if (grant.name, grant.start, grant.sequence) != (self.name, self.start, self.sequence):
            return False
        if grant.epoch != self.epoch or self.answered or len(grant.amounts) != len(self.zero):
            return False
        self.answered = True
        self.amounts = grant.amounts
        self.until_us = self.requested_us + self.terms.drift_safe(self.terms.lease_us)
        return now < self.until_us
