"""The allocator of one epoch: books the amounts of each holder and computes new grants.

The ledger's sums never exceed the allocatable amounts. An epoch has no record of the grants of older epochs.
Until all of these have expired, it grants a holder at most the amounts that the holder reports, so no sum
grows.
"""

from __future__ import annotations

from collections.abc import Callable
from copy import copy
from dataclasses import dataclass, field

from lupintack.budgets.amounts import Amounts, largest, limited
from lupintack.budgets.ledger import HolderKey, Ledger, LedgerEntry
from lupintack.budgets.messages import Epoch, LeaseGrant, LeaseRequest, SubLeaseGrant
from lupintack.budgets.share_table import EqualShareTable, ShareTable, WeightedShareTable
from lupintack.budgets.terms import Terms

COVERAGE_WAIT_DIVISOR = 4  # a new tenure waits for its parent lease for lease_us divided by this


def equal_weight(name: str) -> int:
    """Return the same weight for every holder."""
    return 1


@dataclass(slots=True)
class Allocator:
    """Allocates the budgets for one tenure, which starts when a majority of votes has been received.

    An allocator that grants from a parent lease also has a `ceiling` (the amounts that are certainly booked
    for it now) and an end for the leases it grants. Successive holders of a name in `shared_names` (the
    allocators of one region) share one booking: the largest of their entries counts, not the sum.
    """

    epoch: Epoch
    allocatable: Amounts  # for each budget: the total minus its reservations
    terms: Terms
    elected_us: int
    weight_of: Callable[[str], int] = equal_weight
    ceiling: Amounts | None = field(init=False, default=None)  # None: `allocatable` is the limit
    expires_by_us: int | None = None  # no lease ends after this; None: leases have their full length
    shares_computed_us: int = field(init=False, default=-1)  # -1: shares must be recomputed
    zero: Amounts = field(init=False)
    ledger: Ledger = field(init=False)
    shares: ShareTable = field(init=False)

    def __post_init__(self) -> None:
        """Create an empty ledger and share table."""
        self.zero = (0,) * len(self.allocatable)
        self.ledger = Ledger(self.allocatable)
        equal = self.weight_of is equal_weight
        self.shares = EqualShareTable(self.allocatable) if equal else WeightedShareTable(self.allocatable)

    @property
    def shared_names(self) -> frozenset[str]:
        """Names whose successive holders share one booking."""
        return self.ledger.shared_names

    @shared_names.setter
    def shared_names(self, names: frozenset[str]) -> None:
        self.ledger.set_shared_names(names)

    def set_allocatable(self, allocatable: Amounts, ceiling: Amounts) -> None:
        """Set the amounts to allocate, and the limit up to which a grant may raise the ledger's sums."""
        if allocatable != self.allocatable:
            self.allocatable = allocatable
            self.shares.set_totals(allocatable)
            self.shares_computed_us = -1
        self.ceiling = ceiling
        self.ledger.set_limits(ceiling)

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
        if not self._is_well_formed(request):
            return None
        key = (request.name, request.start)
        self.expire(now_us)
        entry = self.ledger.get(key)
        if entry is not None and request.sequence <= entry.sequence and not self.left_unanswered(request):
            is_repeated = request.sequence == entry.sequence and now_us < entry.granted_until_us
            return self.grant(request, entry) if is_repeated else None
        if entry is None and len(self.ledger) >= self.terms.max_holders:
            return None
        end_us = now_us + self.terms.lease_us
        if self.expires_by_us is not None:
            end_us = min(end_us, self.expires_by_us)
        if end_us <= now_us:
            return None
        if request.leaving:
            self._release(key, request, self._booked_until_us(entry, end_us, now_us))
            return None
        return self._allocate(key, request, end_us, now_us)

    def _is_well_formed(self, request: LeaseRequest) -> bool:
        """Return whether the request is for this epoch and has a number for each budget."""
        budget_count = len(self.allocatable)
        is_complete = len(request.demand) == budget_count and len(request.leased_amounts) == budget_count
        return request.epoch == self.epoch and is_complete

    def _booked_until_us(self, entry: LedgerEntry | None, end_us: int, now_us: int) -> int:
        """Return when a holder's entry expires, given a lease that ends at `end_us`.

        Earlier grants stay booked until their own end, even if this grant ends sooner or is lost.
        """
        until_us = max(end_us, min(self.ready_us, now_us + self.terms.lease_us))
        return max(until_us, entry.until_us) if entry is not None else until_us

    def _in_use(self, request: LeaseRequest) -> Amounts:
        return request.in_use if len(request.in_use) == len(self.allocatable) else self.zero

    def _release(self, key: HolderKey, request: LeaseRequest, until_us: int) -> None:
        """Reduce the booking of a leaving holder to the units that it still has in use."""
        self.shares.update(key, self.zero, 1)
        self.shares_computed_us = -1
        in_use = self._in_use(request)
        self.ledger.set_entry(key, LedgerEntry(request.sequence, self.zero, in_use, until_us, self.zero))

    def _kept_amounts(self, request: LeaseRequest, entry: LedgerEntry | None, is_ready: bool) -> Amounts:
        """Return the amounts that the holder may have in addition to this grant.

        The reported amounts are an upper bound on its earlier grants, as it accepts none of these any more.
        Of this tenure's grants it never has more than its entry records. Units in use beyond the lease are
        granted neither to other holders nor to this one, so no sum of leases grows by them.
        """
        kept = request.leased_amounts
        if is_ready and entry is None:
            kept = self.zero
        elif is_ready and entry is not None and kept != entry.granted:
            kept = limited(kept, entry.amounts)
        in_use = self._in_use(request)
        return kept if in_use == self.zero else largest(kept, in_use)

    def _allocate(
        self, key: HolderKey, request: LeaseRequest, end_us: int, now_us: int
    ) -> LeaseGrant | SubLeaseGrant | None:
        """Book a new grant and return it, or None if the request has to wait for the parent lease."""
        entry = self.ledger.get(key)
        is_ready = now_us >= self.ready_us
        kept = self._kept_amounts(request, entry, is_ready)
        until_us = self._booked_until_us(entry, end_us, now_us)
        if entry is None and request.name in self.shared_names:
            self.forget_demand(request.name)
        target = granted = self._target(key, request, entry is None, now_us)
        if not is_ready:
            granted = limited(granted, request.leased_amounts)
        if is_ready or self.ceiling is not None:
            granted = self.limited_to_available(key, granted)
        booked = LedgerEntry(request.sequence, request.demand, largest(kept, granted), until_us, self.zero)
        if self._waits_for_coverage(now_us) and self.lacks_coverage(target, request.leased_amounts, granted):
            self.ledger.set_entry(key, booked)
            return None
        booked.granted, booked.granted_until_us = granted, end_us
        booked.granted_lease_us = end_us - now_us
        self.ledger.set_entry(key, booked)
        return self.grant(request, booked)

    def _waits_for_coverage(self, now_us: int) -> bool:
        """Return whether a new tenure is still waiting for its first parent lease."""
        return (
            self.ceiling is not None
            and now_us < self.elected_us + self.terms.lease_us // COVERAGE_WAIT_DIVISOR
        )

    def lacks_coverage(self, target: Amounts, leased: Amounts, granted: Amounts) -> bool:
        """Return whether a grant is smaller than the older lease only because a parent lease is missing.

        Such a request stays unanswered for a while: its holder keeps its lease and repeats the request.
        """
        return any(min(t, h) > g for t, h, g in zip(target, leased, granted, strict=True))

    def left_unanswered(self, request: LeaseRequest) -> bool:
        """Return whether this is the holder's last request and is unanswered; it may be handled again."""
        entry = self.ledger.get((request.name, request.start))
        last = entry is not None and entry.sequence == request.sequence
        return last and entry is not None and not entry.granted_until_us and not request.leaving

    def forget_demand(self, name: str) -> None:
        """Set the demand of a shared name's older holders to zero, as a new holder replaces them."""
        for key, entry in self.ledger.shared_entries.get(name, {}).items():
            entry.demand = self.zero
            self.shares.update(key, self.zero, max(1, self.weight_of(name)))

    def grant(self, request: LeaseRequest, entry: LedgerEntry) -> LeaseGrant | SubLeaseGrant:
        """Return the grant message for a request, as booked."""
        identity = (self.epoch, request.name, request.start, request.sequence, entry.granted)
        if self.ceiling is None:
            return LeaseGrant(*identity)
        return SubLeaseGrant(*identity, entry.granted_lease_us)

    def expire(self, now_us: int) -> None:
        """Remove the entries whose leases have ended."""
        for key in self.ledger.expire(now_us):
            self.shares.remove(key)
            self.shares_computed_us = -1

    def available_to(self, key: HolderKey) -> Amounts:
        """Return the amounts that are not booked for other holders."""
        return self.ledger.available_to(key)

    def limited_to_available(self, key: HolderKey, amounts: Amounts) -> Amounts:
        """Return the amounts, limited to those that are not booked for other holders."""
        return self.ledger.limited_to_available(key, amounts)

    def allocated(self) -> Amounts:
        """Return the ledger's sums."""
        return tuple(self.ledger.sums)

    def total_demand(self) -> Amounts:
        """Return the sum of all holders' demands."""
        return self.shares.total_demand()

    def compute_shares(self, now_us: int) -> None:
        """Compute each holder's share from all demands."""
        self.shares_computed_us = now_us
        self.shares.take_snapshot(now_us // self.terms.lease_us)

    def targets(self) -> dict[HolderKey, Amounts]:
        """Return each holder's share as last computed; empty if the shares must be recomputed."""
        if self.shares_computed_us < 0:
            return {}
        return {key: self.shares.target(key) for key in self.ledger}

    def clone(self) -> Allocator:
        """Return an independent copy."""
        other = copy(self)
        other.ledger, other.shares = self.ledger.clone(), self.shares.clone()
        return other

    def _target(self, key: HolderKey, request: LeaseRequest, is_new: bool, now_us: int) -> Amounts:
        """Record the holder's demand and return its share, recomputed if older than `share_interval_us`."""
        self.shares.update(key, request.demand, max(1, self.weight_of(request.name)))
        due_us = self.shares_computed_us + self.terms.share_interval_us
        if is_new or self.shares_computed_us < 0 or now_us >= due_us:
            self.compute_shares(now_us)
        return self.shares.target(key)
