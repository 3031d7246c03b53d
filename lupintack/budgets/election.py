"""Standing for an epoch and holding it: a term by the word of a majority, renewed round by round."""

from __future__ import annotations

from collections.abc import Sequence

from lupintack.budgets.messages import Epoch, VoteReply, VoteRequest
from lupintack.budgets.terms import Terms

ROUNDS = 4  # whose answers count


class Election:
    """One epoch of one process, from its first round to its end."""

    def __init__(self, epoch: Epoch, voters: Sequence[str], terms: Terms) -> None:
        self.epoch, self.voters, self.terms = epoch, frozenset(voters), terms
        self.round = 0
        self.rounds: dict[int, tuple[int, set[str]]] = {}  # of late: when each was sent, and who said yes
        self.until_us = 0  # the term's end; 0: no majority yet

    def start_round(self, now: int) -> VoteRequest:
        """A round. Answers to the last few count still, each for the term of its own round: where answers
        take longer than rounds are apart, none would ever be whole.
        """
        self.round += 1
        self.rounds[self.round] = now, set()
        self.rounds.pop(self.round - ROUNDS, None)
        return VoteRequest(self.epoch, self.round)

    def handle_reply(self, reply: VoteReply, now: int) -> bool:
        """Whether this answer makes, or renews, the term: it counts from the round's sending."""
        found = self.rounds.get(reply.round)
        if reply.epoch != self.epoch or found is None or not reply.granted or reply.voter not in self.voters:
            return False
        sent, voters = found
        voters.add(reply.voter)
        if len(voters) * 2 <= len(self.voters):
            return False
        until = sent + self.terms.drift_safe(self.terms.promise_us)
        if now >= until:
            return False
        self.until_us = max(self.until_us, until)
        return True

    def is_valid(self, now: int) -> bool:
        """Whether this process divides now."""
        return now < self.until_us
