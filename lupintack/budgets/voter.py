"""A voter: its word is for one epoch at a time; it keeps it over a restart or says nothing for as long."""

from __future__ import annotations

from dataclasses import dataclass

from lupintack.budgets.messages import Epoch, VoteRelease, VoteReply, VoteRequest
from lupintack.budgets.terms import Terms


@dataclass(frozen=True, slots=True)
class Promise:
    """Nobody else has this voter's word until then, on this machine's monotonic clock."""

    epoch: Epoch
    until_us: int
    highest_counter: int


class Voter:
    """One process of a voter."""

    def __init__(self, name: str, terms: Terms, stored: Promise | None, now: int) -> None:
        """`stored`: what the process before promised, where its file can be believed; None: it can't.

        Without it this process abstains for as long as any promise of the one before can matter. That one's
        promises were made before `now`, and a divider counts on them for less than `promise_us` of any clock.
        """
        self.name, self.terms = name, terms
        self.promise = stored
        self.highest_counter = stored.highest_counter if stored is not None else 0
        self.abstain_until_us = now + terms.promise_us if stored is None else now

    def promised_to(self, now: int) -> Epoch | None:
        """The epoch that has this voter's word now."""
        return self.promise.epoch if self.promise is not None and now < self.promise.until_us else None

    def handle_request(self, request: VoteRequest, now: int) -> VoteReply:
        """Yes to the epoch that has its word, or to any when nobody has it.

        Only the time of a word keeps two terms apart, so an epoch's counter need not be the highest: a voter
        that stood in vain has a higher one than who divides, and must be able to hear of that one.
        """
        bound = self.promised_to(now)
        free = bound is None and now >= self.abstain_until_us
        yes = bound == request.epoch or free
        self.highest_counter = max(self.highest_counter, request.epoch.counter)
        if yes:
            self.promise = Promise(request.epoch, now + self.terms.promise_us, self.highest_counter)
        return VoteReply(self.name, request.epoch, request.round, yes, self.highest_counter)

    def handle_release(self, release: VoteRelease, now: int) -> None:
        """The word is free again before its time."""
        if self.promised_to(now) == release.epoch:
            self.promise = None
