"""Election and renewal of an epoch: each round of votes with a majority grants or extends the term."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from lupintack.budgets.messages import Epoch, VoteReply, VoteRequest
from lupintack.budgets.terms import Terms

COUNTED_ROUNDS = 4  # replies to older rounds are ignored


@dataclass(slots=True)
class Round:
    """One round: the time its requests were sent, and the voters that granted it."""

    sent_us: int
    granted_by: set[str] = field(default_factory=set)


class Election:
    """Tracks one epoch of one process from its first round to its end."""

    def __init__(self, epoch: Epoch, voters: Sequence[str], terms: Terms) -> None:
        """Create an election of `epoch` among `voters`, without any round."""
        self.epoch, self.voters, self.terms = epoch, frozenset(voters), terms
        self.round = 0
        self.rounds: dict[int, Round] = {}
        self.until_us = 0  # end of the term; 0 before the first majority

    def start_round(self, now_us: int) -> VoteRequest:
        """Start the next round and return the request to send to all voters.

        Replies to the last few rounds still count, each for the term of its own round. Otherwise no round
        would ever be complete when replies take longer than the time between rounds.
        """
        self.round += 1
        self.rounds[self.round] = Round(now_us)
        self.rounds.pop(self.round - COUNTED_ROUNDS, None)
        return VoteRequest(self.epoch, self.round)

    def handle_reply(self, reply: VoteReply, now_us: int) -> bool:
        """Return whether this reply starts or extends the term, which is measured from its round's start."""
        vote_round = self.rounds.get(reply.round)
        if (
            reply.epoch != self.epoch
            or vote_round is None
            or not reply.granted
            or reply.voter not in self.voters
        ):
            return False
        vote_round.granted_by.add(reply.voter)
        if len(vote_round.granted_by) * 2 <= len(self.voters):
            return False
        until = vote_round.sent_us + self.terms.drift_safe(self.terms.promise_us)
        if now_us >= until:
            return False
        self.until_us = max(self.until_us, until)
        return True

    def is_valid(self, now_us: int) -> bool:
        """Return whether this process is the allocator of this epoch now."""
        return now_us < self.until_us
