"""Reference for test_allocator.py: the allocator without running sums, which iterates over all holders.

The ledger's sums never exceed the allocatable amounts. An epoch has no record of the grants of older epochs.
Until all of these have expired, it grants a holder at most the amounts that the holder reports, so no sum
grows.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from lupintack.budgets.allocator import COVERAGE_WAIT_DIVISOR
from lupintack.budgets.messages import Epoch, LeaseGrant, LeaseRequest, SubLeaseGrant
from lupintack.budgets.shares import Demand, max_min_fair
from lupintack.budgets.terms import Terms


def equal_weight(name: str) -> int:
    """Return the same weight for every holder."""
    return 1


@dataclass(slots=True)
class LedgerEntry:
    """The booking of one holder: amounts, and their expiry on the allocator's clock."""

    sequence: int
    demand: tuple[int, ...]
    amounts: tuple[int, ...]  # upper bound on the amounts it may have from any grant
    until_us: int
    granted: tuple[int, ...]  # by the last grant
    granted_until_us: int = 0
    granted_lease_us: int = 0
    weight: int = 1


@dataclass(slots=True)
class ReferenceAllocator:
    """Allocates the budgets for one tenure, which starts when a majority of votes has been received.

    An allocator that grants from a parent lease also has a `ceiling` (the amounts that are certainly booked
    for it now) and an end for the leases it grants. Successive holders of a name in `shared_names` (the
    allocators of one region) share one booking: the largest of their entries counts, not the sum.
    """

    epoch: Epoch
    allocatable: tuple[int, ...]  # for each budget: the total minus its reservations
    terms: Terms
    elected_us: int
    weight_of: Callable[[str], int] = equal_weight
    ledger: dict[tuple[str, int], LedgerEntry] = field(default_factory=dict)
    targets: dict[tuple[str, int], tuple[int, ...]] = field(default_factory=dict)
    shares_computed_us: int = -1
    ceiling: tuple[int, ...] | None = None  # None: `allocatable` is the limit
    expires_by_us: int | None = None  # no lease ends after this; None: leases have their full length
    shared_names: frozenset[str] = frozenset()

    def set_allocatable(self, allocatable: tuple[int, ...], ceiling: tuple[int, ...]) -> None:
        """Set the amounts to allocate, and the limit up to which a grant may raise the ledger's sums."""
        if allocatable != self.allocatable:
            self.allocatable = allocatable
            self.shares_computed_us = -1
        self.ceiling = ceiling

    @property
    def ready_us(self) -> int:
        """The time from which no lease granted by an older tenure can still be valid.

        An older tenure granted leases only before its term ended, which was before this tenure's majority.
        A holder uses a lease for drift_safe(lease_us), which has passed on every clock after lease_us on
        this one.
        """
        return self.elected_us + self.terms.lease_us

    def handle_request(self, request: LeaseRequest, now_us: int) -> LeaseGrant | SubLeaseGrant | None:
        """Return the grant for a request, or None for no answer. The term must be valid at `now_us`."""
        if (
            request.epoch != self.epoch
            or len(request.demand) != len(self.allocatable)
            or len(request.leased_amounts) != len(self.allocatable)
        ):
            return None
        key = (request.name, request.start)
        self.expire(now_us)
        entry = self.ledger.get(key)
        if entry is not None and request.sequence <= entry.sequence and not self.left_unanswered(request):
            is_repeated = request.sequence == entry.sequence and now_us < entry.granted_until_us
            return self.grant(request, entry) if is_repeated else None
        if entry is None and len(self.ledger) >= self.terms.max_holders:
            return None
        # The reported amounts are an upper bound on its earlier grants, as it accepts none of these any more.
        # Of this tenure's grants it never has more than is booked.
        if now_us < self.ready_us:
            kept = request.leased_amounts
        else:
            kept = tuple(map(min, request.leased_amounts, entry.amounts)) if entry is not None else self.zero
        in_use = self.zero
        if len(request.in_use) == len(self.allocatable):
            # Units in use beyond the lease are granted neither to other holders nor to this one, so no sum of
            # leases grows by them.
            in_use = request.in_use
            kept = tuple(map(max, kept, in_use))
        end_us = now_us + self.terms.lease_us
        if self.expires_by_us is not None:
            end_us = min(end_us, self.expires_by_us)
        if end_us <= now_us:
            return None
        # Earlier grants stay booked until their own end, even if this grant ends sooner or is lost.
        booked_until_us = max(
            end_us,
            entry.until_us if entry is not None else 0,
            min(self.ready_us, now_us + self.terms.lease_us),
        )
        if request.leaving:
            self.ledger[key] = LedgerEntry(request.sequence, self.zero, in_use, booked_until_us, self.zero)
            self.shares_computed_us = -1
            return None
        if entry is None and request.name in self.shared_names:
            self.forget_demand(request.name)
        booked = self.ledger[key] = LedgerEntry(
            request.sequence,
            request.demand,
            kept,
            booked_until_us,
            self.zero,
            weight=max(1, self.weight_of(request.name)),
        )
        if (
            entry is None
            or now_us >= self.shares_computed_us + self.terms.share_interval_us
            or self.shares_computed_us < 0
        ):
            self.compute_shares(now_us)
        target = self.targets.get(key, self.zero)
        if now_us < self.ready_us:
            granted = tuple(map(min, target, request.leased_amounts))
        else:
            granted = target
        if now_us >= self.ready_us or self.ceiling is not None:
            granted = tuple(max(0, min(t, f)) for t, f in zip(granted, self.available_to(key), strict=True))
        booked.amounts = tuple(map(max, kept, granted))
        if (
            self.ceiling is not None
            and now_us < self.elected_us + self.terms.lease_us // COVERAGE_WAIT_DIVISOR
        ):
            if any(min(t, h) > g for t, h, g in zip(target, request.leased_amounts, granted, strict=True)):
                return None
        booked.granted, booked.granted_until_us, booked.granted_lease_us = granted, end_us, end_us - now_us
        return self.grant(request, booked)

    def left_unanswered(self, request: LeaseRequest) -> bool:
        """Return whether this is the holder's last request and is unanswered."""
        entry = self.ledger.get((request.name, request.start))
        last = entry is not None and entry.sequence == request.sequence
        return last and entry is not None and not entry.granted_until_us and not request.leaving

    def forget_demand(self, name: str) -> None:
        """Set the demand of a shared name's older holders to zero, as a new holder replaces them."""
        for (holder_name, _), entry in self.ledger.items():
            if holder_name == name:
                entry.demand = self.zero

    def grant(self, request: LeaseRequest, entry: LedgerEntry) -> LeaseGrant | SubLeaseGrant:
        """Return the grant message for a request, as booked."""
        identity = (self.epoch, request.name, request.start, request.sequence, entry.granted)
        return (
            LeaseGrant(*identity)
            if self.ceiling is None
            else SubLeaseGrant(*identity, entry.granted_lease_us)
        )

    @property
    def zero(self) -> tuple[int, ...]:
        """A zero amount for each budget."""
        return (0,) * len(self.allocatable)

    def expire(self, now_us: int) -> None:
        """Remove the entries whose leases have ended."""
        expired = [key for key, entry in self.ledger.items() if now_us >= entry.until_us]
        for key in expired:
            del self.ledger[key]
        if expired:
            self.shares_computed_us = -1

    def available_to(self, key: tuple[str, int]) -> tuple[int, ...]:
        """Return the amounts that are not booked for other holders."""
        shared = key[0] if key[0] in self.shared_names else None
        booked_for_others = self.booked(lambda other: other != key and (shared is None or other[0] != shared))
        limits = self.ceiling if self.ceiling is not None else self.allocatable
        return tuple(limit - booked for limit, booked in zip(limits, booked_for_others, strict=True))

    def allocated(self) -> tuple[int, ...]:
        """Return the ledger's sums."""
        return self.booked(lambda key: True)

    def total_demand(self) -> tuple[int, ...]:
        """Return the sum of all holders' demands."""
        return tuple(map(sum, zip(self.zero, *(entry.demand for entry in self.ledger.values()), strict=True)))

    def booked(self, includes: Callable[[tuple[str, int]], bool]) -> tuple[int, ...]:
        """Return the sum over some entries; of the holders of a shared name the largest amounts count."""
        bookings: dict[tuple[str, int], tuple[int, ...]] = {}
        for key, entry in self.ledger.items():
            if includes(key):
                booking_key = (key[0], 0) if key[0] in self.shared_names else key
                bookings[booking_key] = tuple(map(max, bookings.get(booking_key, self.zero), entry.amounts))
        return tuple(map(sum, zip(self.zero, *bookings.values(), strict=True)))

    def compute_shares(self, now_us: int) -> None:
        """Compute each holder's share from all demands."""
        self.shares_computed_us = now_us
        shares_by_budget = []
        for n, total in enumerate(self.allocatable):
            # Rotate only if units are fewer than holders: each move leaves them idle for one or two requests.
            rotation = now_us // self.terms.lease_us if total < len(self.ledger) else 0
            demands = [Demand(key, entry.demand[n], entry.weight) for key, entry in self.ledger.items()]
            shares_by_budget.append(max_min_fair(total, demands, rotation))
        self.targets = {key: tuple(shares[key] for shares in shares_by_budget) for key in self.ledger}
