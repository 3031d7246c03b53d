"""A voter: promises its vote to one epoch at a time, and after a restart keeps the promise or abstains."""

from __future__ import annotations

from dataclasses import dataclass

from lupintack.budgets.messages import Epoch, VoteRelease, VoteReply, VoteRequest
from lupintack.budgets.terms import Terms


@dataclass(frozen=True, slots=True)
class Promise:
    """No other epoch gets this voter's vote before `until_us` on this machine's monotonic clock."""

    epoch: Epoch
    until_us: int
    highest_counter: int


class Voter:
    """The voter in one process."""

    def __init__(self, name: str, terms: Terms, stored: Promise | None, now_us: int) -> None:
        """`stored`: the previous process's promise, or None without a valid vote file.

        Without it, this process abstains while a promise of the previous process can still be relied on. Such
        promises were made before `now_us`, and an allocator relies on them for less than `promise_us` on any
        clock.
        """
        self.name, self.terms = name, terms
        self.promise = stored
        self.highest_counter = stored.highest_counter if stored is not None else 0
        self.abstain_until_us = now_us + terms.promise_us if stored is None else now_us

    def promised_to(self, now_us: int) -> Epoch | None:
        """Return the epoch that has this voter's promise now, or None."""
        return self.promise.epoch if self.promise is not None and now_us < self.promise.until_us else None

    def handle_request(self, request: VoteRequest, now_us: int) -> VoteReply:
        """Grant the vote to the epoch that has the promise, or to any epoch if none has it.

        Only the duration of promises keeps terms from overlapping, so an epoch's counter need not be the
        highest: a voter whose own election failed has a higher counter than the allocator, and must still be
        able to vote for it.
        """
        bound = self.promised_to(now_us)
        free = bound is None and now_us >= self.abstain_until_us
        granted = bound == request.epoch or free
        self.highest_counter = max(self.highest_counter, request.epoch.counter)
        if granted:
            self.promise = Promise(request.epoch, now_us + self.terms.promise_us, self.highest_counter)
        return VoteReply(self.name, request.epoch, request.round, granted, self.highest_counter)

    def handle_release(self, release: VoteRelease, now_us: int) -> None:
        """Drop the promise before it expires, as its epoch no longer relies on it."""
        if self.promised_to(now_us) == release.epoch:
            self.promise = None
