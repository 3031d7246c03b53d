"""A regional allocator's lease from the fleet's allocator, and the amounts certainly booked there now."""

from __future__ import annotations

from lupintack.budgets.lease import LeaseHolder


class ParentLease:
    """Computes the limit for the leases to a region's routers in addition to the region's reservation.

    The fleet's allocator books for a region at least the last grant and the amounts that the last request
    reported as in use. A grant may be smaller than the previous one while routers still have leases from that
    one. The reported amounts cover these leases until they end; a report alone never increases the coverage.
    """

    def __init__(self, holder: LeaseHolder) -> None:
        """`holder`: a new holder, used for this tenure's lease from the fleet's allocator."""
        self.holder = holder
        self.covered = holder.zero
        self.seen_request = 0
        self.seen_grant = 0

    def update(self, now_us: int) -> None:
        """Update the coverage from the requests sent and grants accepted since the last call."""
        request = self.holder.last_request
        if request is not None and request.sequence != self.seen_request:
            self.seen_request = request.sequence
            reported = map(max, request.leased_amounts, request.in_use)
            self.covered = tuple(map(min, self.covered, reported))
        if request is not None and self.holder.is_answered and request.sequence != self.seen_grant:
            self.seen_grant = request.sequence
            carried = map(min, self.covered, request.in_use)
            self.covered = tuple(map(max, self.holder.amounts, carried))
        if now_us >= self.holder.until_us:
            self.covered = self.holder.zero

    def ends_us(self, now_us: int) -> int | None:
        """Return the end of the lease on this clock, or None if it has expired."""
        return self.holder.until_us if now_us < self.holder.until_us else None
