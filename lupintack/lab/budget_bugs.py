"""Bugs planted in the budget protocol; the search or the seeded simulations must detect each."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Any
from unittest.mock import patch

from lupintack.budgets.allocator import Allocator
from lupintack.budgets.election import Election
from lupintack.budgets.messages import LeaseGrant, LeaseRequest, SubLeaseGrant, VoteReply, VoteRequest
from lupintack.budgets.terms import Terms
from lupintack.budgets.voter import Promise, Voter
from lupintack.lab.budget_check import Bounds, clock_rates, search
from lupintack.lab.budgets import FAULT_KINDS, World

ROUTERS = 9


@dataclass(frozen=True)
class PlantedBug:
    """A planted bug: its description, the patched attribute, and the runs that show it."""

    description: str
    owner: Any
    attribute: str
    replacement: Any
    fault_kinds: tuple[str, ...] = FAULT_KINDS
    drift_ppm: int = Terms().drift_ppm
    bounds: Bounds | None = None  # of a search that also finds the bug


def _without_drift(self: Terms, us: int) -> int:
    return us


def _grant_any_vote(self: Voter, vote: VoteRequest, now: int) -> VoteReply:
    self.highest_counter = max(self.highest_counter, vote.epoch.counter)
    self.promise = Promise(vote.epoch, now + self.terms.promise_us, self.highest_counter)
    return VoteReply(self.name, vote.epoch, vote.round, True, self.highest_counter)


def _accept_any_reply(self: Election, reply: VoteReply, now: int) -> bool:
    if reply.epoch != self.epoch or reply.round != self.round or not reply.granted:
        return False
    self.until_us = self.rounds[self.round].sent_us + self.terms.drift_safe(self.terms.promise_us)
    return True


def _forget_previous_grant(
    self: Allocator, request: LeaseRequest, now: int
) -> LeaseGrant | SubLeaseGrant | None:
    """Record only this grant in the ledger, without the amounts of the previous grant."""
    grant = REAL_HANDLE_REQUEST(self, request, now)
    entry = self.ledger.get((request.name, request.start))
    if grant is not None and entry is not None:
        self.ledger.set_entry((request.name, request.start), replace(entry, amounts=grant.amounts))
    return grant


def _expire_early(self: Allocator, now: int) -> None:
    """Remove a holder's ledger entry after three quarters of its lease."""
    for key in [k for k, entry in self.ledger.items() if now >= entry.until_us - self.terms.lease_us // 4]:
        del self.ledger[key]


Grant = LeaseGrant | SubLeaseGrant
REAL_HANDLE_REQUEST: Callable[[Allocator, LeaseRequest, int], Grant | None] = Allocator.handle_request


def _ignore_term_end(self: Election, now: int) -> bool:
    return self.until_us > 0


def _ignore_other_holders(self: Allocator, key: tuple[str, int], amounts: tuple[int, ...]) -> tuple[int, ...]:
    return amounts


PLANTED_BUGS: dict[str, PlantedBug] = {
    "no-wait": PlantedBug(
        "a new tenure grants before the previous tenure's leases have expired",
        Allocator,
        "ready_us",
        property(lambda self: self.elected_us),
        bounds=Bounds(7, 1, 0, 0, 1, 0),
    ),
    "giver-clock": PlantedBug(
        "a lease ends by the allocator's clock, without a margin for drift",
        Terms,
        "drift_safe",
        _without_drift,
        ("site", "kill", "pause", "halves"),
        50_000,
    ),
    "endless-term": PlantedBug(
        "an allocator ignores the end of its term",
        Election,
        "is_valid",
        _ignore_term_end,
        ("halves", "islands", "site"),
    ),
    "two-words": PlantedBug(
        "a voter grants its vote to every candidate", Voter, "handle_request", _grant_any_vote
    ),
    "minority": PlantedBug("one vote is enough", Election, "handle_reply", _accept_any_reply),
    "book-forgets": PlantedBug(
        "the ledger drops the amounts of the previous grant",
        Allocator,
        "handle_request",
        _forget_previous_grant,
    ),
    "book-early": PlantedBug("the ledger entry expires before the lease", Allocator, "expire", _expire_early),
    "blind": PlantedBug(
        "the amounts of other holders are ignored", Allocator, "limited_to_available", _ignore_other_holders
    ),
}


@contextmanager
def planted(bug: PlantedBug) -> Iterator[None]:
    """Patch the bug into its class while the context is open."""
    with patch.object(bug.owner, bug.attribute, bug.replacement):
        yield


def find_by_search(name: str) -> tuple[list[str], tuple[int, ...]]:
    """Return the shortest script that the search finds and its clock rates; empty if there is none."""
    bug = PLANTED_BUGS[name]
    if bug.bounds is not None:
        with planted(bug):
            for rates in clock_rates():
                result = search(bug.bounds, rates)
                if result.script:
                    return result.script, rates
    return [], ()


def find_by_seeds(name: str, seeds: int) -> int | None:
    """Return the first seed whose run breaks the invariant with the bug and not without it."""
    bug = PLANTED_BUGS[name]
    terms = Terms(drift_ppm=bug.drift_ppm)
    for seed in range(seeds):
        with planted(bug):
            broken = World(seed, ROUTERS, terms, bug.fault_kinds).run().violation_count
        if broken and not World(seed, ROUTERS, terms, bug.fault_kinds).run().violation_count:
            return seed
    return None
