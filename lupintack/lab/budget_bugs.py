"""Flaws planted in the budgets' pure machines: the search or the seeded fleets have to catch each."""

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
from lupintack.lab.budget_check import Bounds, clocks, search
from lupintack.lab.budgets import KINDS, World

ROUTERS = 9


@dataclass(frozen=True)
class Flaw:
    """What is wrong, where, and what shows it."""

    text: str
    where: Any
    name: str
    wrong: Any
    kinds: tuple[str, ...] = KINDS
    drift_ppm: int = Terms().drift_ppm
    bounds: Bounds | None = None  # of a search that finds it, too


def _own(self: Terms, us: int) -> int:
    return us


def _any_vote(self: Voter, vote: VoteRequest, now: int) -> VoteReply:
    self.highest_counter = max(self.highest_counter, vote.epoch.counter)
    self.promise = Promise(vote.epoch, now + self.terms.promise_us, self.highest_counter)
    return VoteReply(self.name, vote.epoch, vote.round, True, self.highest_counter)


def _few(self: Election, told: VoteReply, now: int) -> bool:
    if told.epoch != self.epoch or told.round != self.round or not told.granted:
        return False
    self.until_us = self.rounds[self.round].sent_us + self.terms.drift_safe(self.terms.promise_us)
    return True


def _forget(self: Allocator, ask: LeaseRequest, now: int) -> LeaseGrant | SubLeaseGrant | None:
    """Books what is granted, not what may be held of the grant before."""
    found = REAL_ASKED(self, ask, now)
    one = self.ledger.get((ask.name, ask.start))
    if found is not None and one is not None:
        self.ledger.book((ask.name, ask.start), replace(one, amounts=found.amounts))
    return found


def _early(self: Allocator, now: int) -> None:
    """Forgets a holder at three quarters of its lease."""
    for key in [k for k, one in self.ledger.items() if now >= one.until_us - self.terms.lease_us // 4]:
        del self.ledger[key]


Grant = LeaseGrant | SubLeaseGrant
REAL_ASKED: Callable[[Allocator, LeaseRequest, int], Grant | None] = Allocator.handle_request


def _holds(self: Election, now: int) -> bool:
    return self.until_us > 0


def _blind(self: Allocator, key: tuple[str, int], amounts: tuple[int, ...]) -> tuple[int, ...]:
    return amounts


FLAWS: dict[str, Flaw] = {
    "no-wait": Flaw("a new tenure gives before the older one's leases are over", Allocator, "ready_us",
                    property(lambda self: self.elected_us), bounds=Bounds(7, 1, 0, 0, 1, 0)),
    "giver-clock": Flaw("a lease ends by the giver's clock, without the drift", Terms, "drift_safe", _own,
                        ("site", "kill", "pause", "halves"), 50_000),
    "endless-term": Flaw("who divides does not look at its term's end", Election, "is_valid", _holds,
                         ("halves", "islands", "site")),
    "two-words": Flaw("a voter gives its word to whoever asks", Voter, "handle_request", _any_vote),
    "minority": Flaw("one voter's word is enough", Election, "handle_reply", _few),
    "book-forgets": Flaw("the ledger forgets what may be held of the grant before", Allocator,
                           "handle_request", _forget),
    "book-early": Flaw("the book ends before the lease", Allocator, "expire", _early),
    "blind": Flaw("what the others may have is not looked at", Allocator, "limited_to_available", _blind),
}  # fmt: skip


@contextmanager
def in_place(flaw: Flaw) -> Iterator[None]:
    """While this holds, the flaw is there."""
    with patch.object(flaw.where, flaw.name, flaw.wrong):
        yield


def by_search(name: str) -> tuple[list[str], tuple[int, ...]]:
    """The shortest script that the search finds, and the clocks' rates; nothing for what is left to seeds."""
    flaw = FLAWS[name]
    if flaw.bounds is not None:
        with in_place(flaw):
            for rates in clocks():
                found = search(flaw.bounds, rates)
                if found.script:
                    return found.script, rates
    return [], ()


def by_seeds(name: str, seeds: int) -> int | None:
    """The first seed of a small fleet that breaks the promise with the flaw, and is clean without."""
    flaw = FLAWS[name]
    terms = Terms(drift_ppm=flaw.drift_ppm)
    for seed in range(seeds):
        with in_place(flaw):
            broken = World(seed, ROUTERS, terms, flaw.kinds).run().oversum
        if broken and not World(seed, ROUTERS, terms, flaw.kinds).run().oversum:
            return seed
    return None
