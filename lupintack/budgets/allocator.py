"""The allocator of one epoch: what each holder may still have, and what can be granted.

The ledger's sum never exceeds what is allocatable. An epoch knows nothing of what older ones granted; until
all of that has expired it grants a holder no more than the holder says it has, so no sum grows.
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

COVER_WAIT_PART = 4  # a new tenure waits for its parent lease for this part of a lease's time


def equal_weight(name: str) -> int:
    """Every holder has the same weight."""
    return 1


@dataclass(slots=True)
class Allocator:
    """A tenure from the moment at which a majority was known.

    An allocator that grants from a lease of its own has a `ceiling` (what is surely booked for it now) beside
    what it shares out, and an end for its leases. Successive holders of a name in `shared_names` (the
    allocators of one region) have one booking: the largest of their entries counts, not the sum.
    """

    epoch: Epoch
    allocatable: Amounts  # of each budget: the whole without its floors
    terms: Terms
    elected_us: int
    weight_of: Callable[[str], int] = equal_weight
    ceiling: Amounts | None = field(init=False, default=None)  # None: what is allocatable
    expires_by_us: int | None = None  # no lease ends later than this; None: each has its full time
    shares_computed_us: int = field(init=False, default=-1)  # -1: they have to be computed anew
    zero: Amounts = field(init=False)
    ledger: Ledger = field(init=False)
    shares: ShareTable = field(init=False)

    def __post_init__(self) -> None:
        """Begin with an empty ledger."""
        self.zero = (0,) * len(self.allocatable)
        self.ledger = Ledger(self.allocatable)
        equal = self.weight_of is equal_weight
        self.shares = EqualShareTable(self.allocatable) if equal else WeightedShareTable(self.allocatable)

    @property
    def shared_names(self) -> frozenset[str]:
        """Names of which successive holders have one booking."""
        return self.ledger.shared_names

    @shared_names.setter
    def shared_names(self, names: frozenset[str]) -> None:
        self.ledger.share_names(names)

    def set_allocatable(self, allocatable: Amounts, ceiling: Amounts) -> None:
        """What is shared out from now on, and the most that the ledger may come to by a grant."""
        if allocatable != self.allocatable:
            self.allocatable = allocatable
            self.shares.set_wholes(allocatable)
            self.shares_computed_us = -1
        self.ceiling = ceiling
        self.ledger.set_limits(ceiling)

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
            or len(request.held) != len(self.allocatable)
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
        ends = now + self.terms.lease_us
        if self.expires_by_us is not None:
            ends = min(ends, self.expires_by_us)
        if ends <= now:
            return None
        ready_us = self.ready_us
        ready = now >= ready_us
        in_use = request.in_use if len(request.in_use) == len(self.allocatable) else self.zero
        # What it says it holds is the most it can have of earlier grants, for it takes none of them any more.
        # Of this tenure's own it never holds more than is booked.
        keep = request.held
        if ready and old is None:
            keep = self.zero
        elif ready and old is not None and keep != old.granted:
            keep = limited(keep, old.amounts)
        # What was granted before lasts until its own end, also where this grant ends sooner or gets lost.
        booked_until = max(ends, min(ready_us, now + self.terms.lease_us))
        if old is not None:
            booked_until = max(booked_until, old.until_us)
        if request.leaving:
            self.shares.update(key, self.zero, 1)
            self.shares_computed_us = -1
            self.ledger.book(key, LedgerEntry(request.sequence, self.zero, in_use, booked_until, self.zero))
            return None
        # What runs on past its lease is given to nobody. It makes no sum of leases grow: it is not given to
        # this holder either.
        if in_use != self.zero:
            keep = largest(keep, in_use)
        if old is None and request.name in self.shared_names:
            self.forget_demand(request.name)
        target = given = self._target(key, request, old is None, now)
        if not ready:
            given = limited(given, request.held)
        if ready or self.ceiling is not None:
            given = self.limited_to_available(key, given)
        amounts = largest(keep, given)
        if self._waits_for_cover(now) and self.lacks_cover(target, request.held, given):
            unanswered = LedgerEntry(request.sequence, request.demand, amounts, booked_until, self.zero)
            self.ledger.book(key, unanswered)
            return None
        mine = LedgerEntry(request.sequence, request.demand, amounts, booked_until, given, ends, ends - now)
        self.ledger.book(key, mine)
        return self.grant(request, mine)

    def _waits_for_cover(self, now: int) -> bool:
        """Whether a new tenure may still get its first parent lease."""
        return self.ceiling is not None and now < self.elected_us + self.terms.lease_us // COVER_WAIT_PART

    def lacks_cover(self, target: Amounts, held: Amounts, given: Amounts) -> bool:
        """Whether less than what a holder has of an older tenure is given only for lack of a parent lease.

        For a while such a request is better left unanswered: its holder keeps its lease and asks again.
        """
        return any(min(t, h) > g for t, h, g in zip(target, held, given, strict=True))

    def left_unanswered(self, request: LeaseRequest) -> bool:
        """Whether this is a holder's last request, and no answer was given to it; it may be given again."""
        entry = self.ledger.get((request.name, request.start))
        last = entry is not None and entry.sequence == request.sequence
        return last and entry is not None and not entry.granted_until_us and not request.leaving

    def forget_demand(self, name: str) -> None:
        """A new holder of a shared name takes the place of the older ones: these ask for nothing more."""
        for key, entry in self.ledger.sharing.get(name, {}).items():
            entry.demand = self.zero
            self.shares.update(key, self.zero, max(1, self.weight_of(name)))

    def grant(self, request: LeaseRequest, entry: LedgerEntry) -> LeaseGrant | SubLeaseGrant:
        """The answer to a request, as booked."""
        told = (self.epoch, request.name, request.start, request.sequence, entry.granted)
        return LeaseGrant(*told) if self.ceiling is None else SubLeaseGrant(*told, entry.granted_lease_us)

    def expire(self, now: int) -> None:
        """Forget what can't be alive any more."""
        for key in self.ledger.expire(now):
            self.shares.remove(key)
            self.shares_computed_us = -1

    def available_to(self, key: HolderKey) -> Amounts:
        """What nobody but this holder may have."""
        return self.ledger.available_to(key)

    def limited_to_available(self, key: HolderKey, amounts: Amounts) -> Amounts:
        """Each amount, at most what nobody but this holder may have."""
        return self.ledger.limited_to_available(key, amounts)

    def allocated(self) -> Amounts:
        """The ledger's sum."""
        return tuple(self.ledger.sums)

    def total_demand(self) -> Amounts:
        """What all holders in the ledger have asked for."""
        return self.shares.total_demand()

    def compute_shares(self, now: int) -> None:
        """What each should have, by what all have asked for."""
        self.shares_computed_us = now
        self.shares.take_snapshot(now // self.terms.lease_us)

    def targets(self) -> dict[HolderKey, Amounts]:
        """What each holder should have by the shares computed last; empty if they are to be computed anew."""
        if self.shares_computed_us < 0:
            return {}
        return {key: self.shares.target(key) for key in self.ledger}

    def clone(self) -> Allocator:
        """Return a copy that can go its own way."""
        other = copy(self)
        other.ledger, other.shares = self.ledger.clone(), self.shares.clone()
        return other

    def _target(self, key: HolderKey, request: LeaseRequest, is_new: bool, now: int) -> Amounts:
        """Take the holder's demand, and return its target by shares that are not older than they may be."""
        self.shares.update(key, request.demand, max(1, self.weight_of(request.name)))
        due_us = self.shares_computed_us + self.terms.share_interval_us
        if is_new or self.shares_computed_us < 0 or now >= due_us:
            self.compute_shares(now)
        return self.shares.target(key)
