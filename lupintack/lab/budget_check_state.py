"""State of the search over budgets of one level: three processes and the messages in flight."""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable, Sequence
from copy import copy
from dataclasses import dataclass, field
from typing import Any

from lupintack.budgets.allocator import Allocator
from lupintack.budgets.election import Election, Round
from lupintack.budgets.lease import LeaseHolder
from lupintack.budgets.messages import Message
from lupintack.budgets.terms import MILLION, Terms
from lupintack.budgets.voter import Promise, Voter

TERMS = Terms(promise_us=3_000, lease_us=5_000, drift_ppm=100_000)
NAMES = ("a", "b", "c")
TOTAL_UNITS = 2


@dataclass(slots=True)
class Process:
    """One of the three processes: a voter, a lease holder and, while elected, the allocator."""

    name: str
    rate_ppm: int
    voter: Voter
    holder: LeaseHolder
    start: int = 1
    counter: int = 0
    stored_promise: Promise | None = None
    election: Election | None = None
    allocator: Allocator | None = None

    def local_us(self, true: int) -> int:
        """Return the time of this process's clock at a true time."""
        return true * self.rate_ppm // MILLION

    def clone(self) -> Process:
        """Return an independent copy."""
        cloned = copy(self)
        cloned.voter, cloned.holder = copy(self.voter), copy(self.holder)
        if self.election is not None:
            cloned.election = copy(self.election)
            cloned.election.rounds = {
                number: Round(vote_round.sent_us, set(vote_round.granted_by))
                for number, vote_round in self.election.rounds.items()
            }
        if self.allocator is not None:
            cloned.allocator = self.allocator.clone()
        return cloned

    def key(self) -> Hashable:
        """Return everything that the process's next actions can depend on."""
        voter, holder, election, allocator = self.voter, self.holder, self.election, self.allocator
        parts: list[Any] = [
            self.start,
            self.counter,
            self.stored_promise,
            voter.promise,
            voter.highest_counter,
            voter.abstain_until_us,
            holder.amounts,
            holder.until_us,
            holder.sequence,
            holder.requested_us,
            holder.epoch,
            holder.is_answered,
        ]
        if election is not None:
            parts += [
                election.epoch,
                election.round,
                election.until_us,
                *(
                    (n, votes.sent_us, *sorted(votes.granted_by))
                    for n, votes in sorted(election.rounds.items())
                ),
            ]
        if allocator is not None:
            entries = [
                (k, b.sequence, b.demand, b.amounts, b.until_us, b.granted, b.granted_until_us)
                for k, b in allocator.ledger.items()
            ]
            parts += [
                allocator.elected_us,
                allocator.shares_computed_us,
                *entries,
                *allocator.targets().items(),
            ]
        return tuple(parts)


@dataclass(slots=True)
class State:
    """The state of all processes and messages, and counts of the bounded actions."""

    now: int
    processes: dict[str, Process]
    messages: list[tuple[str, str, Message]] = field(default_factory=list)  # receiver, sender, message
    candidacies: int = 0
    crashes: int = 0
    duplicates: int = 0
    requests: int = 0
    renewals: int = 0

    def excess_units(self) -> int:
        """Return the units leased by all processes in excess of the total."""
        leased = sum(
            process.holder.leased_amounts(process.local_us(self.now))[0]
            for process in self.processes.values()
        )
        return max(0, leased - TOTAL_UNITS)

    def fork(self, names: Sequence[str]) -> State:
        """Return a copy in which these processes can be changed; the others are shared."""
        forked = copy(self)
        forked.processes, forked.messages = dict(self.processes), list(self.messages)
        for name in names:
            forked.processes[name] = self.processes[name].clone()
        return forked

    def key(self) -> int:
        """Return a 64-bit hash; the search treats states of the same hash as equal."""
        in_flight = frozenset(Counter(self.messages).items())
        counts = (self.now, self.candidacies, self.crashes, self.duplicates, self.requests, self.renewals)
        return hash((counts, in_flight, *(process.key() for process in self.processes.values())))
