"""The allocator before its running sums: it goes through all holders. The reference of test_allocator.py.

The ledger's sum never exceeds what is allocatable. An epoch knows nothing of what older ones granted; until
all of that has expired it grants a holder no more than the holder says it has, so no sum grows.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from lupintack.budgets.allocator import COVERAGE_WAIT_DIVISOR
from lupintack.budgets.messages import Epoch, LeaseGrant, LeaseRequest, SubLeaseGrant
from lupintack.budgets.shares import Demand, max_min_fair
from lupintack.budgets.terms import Terms


def equal_weight(name: str) -> int:
    """Every holder has the same weight."""
    return 1


@dataclass(slots=True)
class LedgerEntry:
    """One holder: what it may have, and until when by the giver's clock."""

    sequence: int
    demand: tuple[int, ...]
    amounts: tuple[int, ...]  # the most that it may have of any grant
    until_us: int
    granted: tuple[int, ...]  # by the last grant
    granted_until_us: int = 0
    granted_lease_us: int = 0
    weight: int = 1


@dataclass(slots=True)
class ReferenceAllocator:
    """A tenure from the moment at which a majority was known.

    An allocator that grants from a lease of its own has a `ceiling` (what is surely booked for it now) beside
    what it shares out, and an end for its leases. Successive holders of a name in `shared_names` (the
    allocators of one region) have one booking: the largest of their entries counts, not the sum.
    """

    epoch: Epoch
    allocatable: tuple[int, ...]  # of each budget: the whole without its floors
    terms: Terms
    elected_us: int
    weight_of: Callable[[str], int] = equal_weight
    ledger: dict[tuple[str, int], LedgerEntry] = field(default_factory=dict)
    targets: dict[tuple[str, int], tuple[int, ...]] = field(default_factory=dict)
    shares_computed_us: int = -1
    ceiling: tuple[int, ...] | None = None  # None: what is allocatable
    expires_by_us: int | None = None  # no lease ends later than this; None: each has its full time
    shared_names: frozenset[str] = frozenset()

    def set_allocatable(self, allocatable: tuple[int, ...], ceiling: tuple[int, ...]) -> None:
        """What is shared out from now on, and the most that the ledger may come to by a grant."""
        if allocatable != self.allocatable:
            self.allocatable = allocatable
            self.shares_computed_us = -1
        self.ceiling = ceiling

    @property
    def ready_us(self) -> int:
        """From here on nothing that an older tenure gave can be alive.

        It gave before its term ended, which was before this one's majority; a holder counts
        drift_safe(lease_us), which is over everywhere after lease_us of this clock.
        """
        return self.elected_us + self.terms.lease_us

    def handle_request(self, request: LeaseRequest, now: int) -> LeaseGrant | SubLeaseGrant | None:
        """What this holder is given. The term must hold at `now`; None: the request says nothing to it."""
        if (
            request.epoch != self.epoch
            or len(request.demand) != len(self.allocatable)
            or len(request.leased_amounts) != len(self.allocatable)
        ):
            return None
        key = (request.name, request.start)
        self.expire(now)
        old = self.ledger.get(key)
        if old is not None and request.sequence <= old.sequence and not self.left_unanswered(request):
            same = request.sequence == old.sequence and now < old.granted_until_us
            return self.grant(request, old) if same else None
        if old is None and len(self.ledger) >= self.terms.max_holders:
            return None
        # What it says it holds is the most it can have of earlier grants, for it takes none of them any more.
        # Of this tenure's own it never holds more than is booked.
        if now < self.ready_us:
            keep = request.leased_amounts
        else:
            keep = tuple(map(min, request.leased_amounts, old.amounts)) if old is not None else self.zero
        left = self.zero
        if len(request.in_use) == len(self.allocatable):
            # What runs on past its lease is given to nobody. It makes no sum of leases grow: it is not given
            # to this holder either.
            left = request.in_use
            keep = tuple(map(max, keep, left))
        ends = now + self.terms.lease_us
        if self.expires_by_us is not None:
            ends = min(ends, self.expires_by_us)
        if ends <= now:
            return None
        # What was granted before lasts until its own end, also where this grant ends sooner or gets lost.
        booked_until = max(
            ends, old.until_us if old is not None else 0, min(self.ready_us, now + self.terms.lease_us)
        )
        if request.leaving:
            self.ledger[key] = LedgerEntry(request.sequence, self.zero, left, booked_until, self.zero)
            self.shares_computed_us = -1
            return None
        if old is None and request.name in self.shared_names:
            self.forget_demand(request.name)
        mine = self.ledger[key] = LedgerEntry(
            request.sequence,
            request.demand,
            keep,
            booked_until,
            self.zero,
            weight=max(1, self.weight_of(request.name)),
        )
        if (
            old is None
            or now >= self.shares_computed_us + self.terms.share_interval_us
            or self.shares_computed_us < 0
        ):
            self.compute_shares(now)
        target = self.targets.get(key, self.zero)
        if now < self.ready_us:
            given = tuple(map(min, target, request.leased_amounts))
        else:
            given = target
        if now >= self.ready_us or self.ceiling is not None:
            given = tuple(max(0, min(t, f)) for t, f in zip(given, self.available_to(key), strict=True))
        mine.amounts = tuple(map(max, keep, given))
        if self.ceiling is not None and now < self.elected_us + self.terms.lease_us // COVERAGE_WAIT_DIVISOR:
            if any(min(t, h) > g for t, h, g in zip(target, request.leased_amounts, given, strict=True)):
                return None
        mine.granted, mine.granted_until_us, mine.granted_lease_us = given, ends, ends - now
        return self.grant(request, mine)

    def left_unanswered(self, request: LeaseRequest) -> bool:
        """Whether this is a holder's last request, and no answer was given to it."""
        entry = self.ledger.get((request.name, request.start))
        last = entry is not None and entry.sequence == request.sequence
        return last and entry is not None and not entry.granted_until_us and not request.leaving

    def forget_demand(self, name: str) -> None:
        """A new holder of a shared name takes the place of the older ones."""
        for (other, _), entry in self.ledger.items():
            if other == name:
                entry.demand = self.zero

    def grant(self, request: LeaseRequest, entry: LedgerEntry) -> LeaseGrant | SubLeaseGrant:
        """The answer to a request, as booked."""
        told = (self.epoch, request.name, request.start, request.sequence, entry.granted)
        return LeaseGrant(*told) if self.ceiling is None else SubLeaseGrant(*told, entry.granted_lease_us)

    @property
    def zero(self) -> tuple[int, ...]:
        """Nothing of each budget."""
        return (0,) * len(self.allocatable)

    def expire(self, now: int) -> None:
        """Forget what can't be alive any more."""
        gone = [key for key, one in self.ledger.items() if now >= one.until_us]
        for key in gone:
            del self.ledger[key]
        if gone:
            self.shares_computed_us = -1

    def available_to(self, key: tuple[str, int]) -> tuple[int, ...]:
        """What nobody but this holder may have."""
        shared = key[0] if key[0] in self.shared_names else None
        spent = self.booked(lambda other: other != key and (shared is None or other[0] != shared))
        limit = self.ceiling if self.ceiling is not None else self.allocatable
        return tuple(most - sum_ for most, sum_ in zip(limit, spent, strict=True))

    def allocated(self) -> tuple[int, ...]:
        """The ledger's sum."""
        return self.booked(lambda key: True)

    def total_demand(self) -> tuple[int, ...]:
        """What all holders in the ledger have asked for."""
        return tuple(map(sum, zip(self.zero, *(one.demand for one in self.ledger.values()), strict=True)))

    def booked(self, counts: Callable[[tuple[str, int]], bool]) -> tuple[int, ...]:
        """The sum over some entries; of the holders of a shared name the largest amounts count."""
        bookings: dict[tuple[str, int], tuple[int, ...]] = {}
        for key, one in self.ledger.items():
            if counts(key):
                owner = (key[0], 0) if key[0] in self.shared_names else key
                bookings[owner] = tuple(map(max, bookings.get(owner, self.zero), one.amounts))
        return tuple(map(sum, zip(self.zero, *bookings.values(), strict=True)))

    def compute_shares(self, now: int) -> None:
        """What each should have, by what all have asked for."""
        self.shares_computed_us = now
        parts = []
        for n, whole in enumerate(self.allocatable):
            # Units rotate only where some holder has none: each move leaves them idle for a request or two.
            turn = now // self.terms.lease_us if whole < len(self.ledger) else 0
            demands = [Demand(key, one.demand[n], one.weight) for key, one in self.ledger.items()]
            parts.append(max_min_fair(whole, demands, turn))
        self.targets = {key: tuple(part[key] for part in parts) for key in self.ledger}
