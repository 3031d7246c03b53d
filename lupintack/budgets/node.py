"""One process's part in the budgets: a holder always; where configured a voter, and at times the allocator.

(now, message or tick) in; messages, a promise to keep and events out. What it knows of the others is who
votes: the membership may be wrong in any way, for it isn't asked.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from lupintack.budgets.allocator import Allocator, equal_weight
from lupintack.budgets.election import Election
from lupintack.budgets.lease import LeaseHolder
from lupintack.budgets.messages import (
    Epoch,
    LeaseGrant,
    LeaseRequest,
    Message,
    Redirect,
    SubLeaseGrant,
    VoteRelease,
    VoteReply,
    VoteRequest,
)
from lupintack.budgets.terms import Terms
from lupintack.budgets.voter import Promise, Voter

if TYPE_CHECKING:
    from random import Random


NEVER_US = 1 << 62
MAX_DOUBLINGS = 4  # doublings of a round's time, and of the wait before the next


@dataclass(slots=True)
class Actions:
    """What a call asks for, in this order: keep the promise, then send."""

    promise: Promise | None = None
    sends: list[tuple[str, Message]] = field(default_factory=list)
    events: list[tuple[str, str]] = field(default_factory=list)  # what, and of which epoch or why


class BudgetNode:
    """The part of one process."""

    def __init__(
        self,
        name: str,
        start: int,
        voters: Sequence[str],
        allocatable: Sequence[int],
        terms: Terms,
        random: Random,
        now: int,
        stored: Promise | None = None,
        weight_of: Callable[[str], int] = equal_weight,
        votes: bool = True,
        holds: bool = True,
        prepare: Callable[[Allocator], None] = lambda allocator: None,
    ) -> None:
        """`allocatable`: of each budget the whole less its reservations; `stored`: see Voter; `holds`: if
        it asks for leases from the start; `prepare`: sets up the allocator of an epoch that was just won.
        """
        self.name, self.start, self.terms, self.random = name, start, terms, random
        self.voters = tuple(sorted(set(voters)))
        self.allocatable = tuple(allocatable)
        self.weight_of = weight_of
        self.prepare = prepare
        self.holds = holds
        self.holder = LeaseHolder(name, start, len(self.allocatable), terms)
        self.voter: Voter | None = None
        if votes:
            self.become_voter(stored, now)
        self.demand = (0,) * len(self.allocatable)
        self.in_use = self.demand  # of things at once, those that are out
        self.election: Election | None = None
        self.allocator: Allocator | None = None
        self.counter = 0
        self.next_renewal_us = 0
        self.failed_rounds = 0  # rounds in vain since one was won, or a part was given
        self.next_candidacy_us = now + self._later(terms.candidacy_delay_us)
        self.leader: Epoch | None = None
        self.attempts = 0
        self.voided = (
            0  # requests that the next one voided, less those answered: the way is longer than the wait
        )
        self.next_request_us = now if holds else NEVER_US
        self.max_retry_us = terms.lease_us // 2
        self.redirected_us = 0
        self.leased = False
        self.left = False
        self.actions = Actions()

    @property
    def wake_us(self) -> int:
        """When to be ticked next."""
        times = [] if self.left else [self.next_request_us]
        if self.leased:
            times.append(self.holder.until_us)
        if self.voter is not None and not self.left:
            times.append(self.next_renewal_us if self.election is not None else self.next_candidacy_us)
        return min(times, default=NEVER_US)

    # What it is called with

    def tick(self, now: int) -> Actions:
        """What is due."""
        if not self.left:
            if self.voter is not None:
                self._hold_or_stand(self.voter, now)
            if now >= self.next_request_us:
                self._request_lease(now)
        self._lapse(now)
        return self._done()

    def set_demand(self, demand: Sequence[int], in_use: Sequence[int] = ()) -> None:
        """What the next request says: demand, and what is out of things at once."""
        self.demand = tuple(demand)
        self.in_use = tuple(in_use) or (0,) * len(self.allocatable)

    def receive(self, sender: str, message: Message, now: int) -> Actions:
        """A message from another process, or from this one."""
        if not self.left:
            self._receive(sender, message, now)
        self._lapse(now)
        return self._done()

    def become_voter(self, stored: Promise | None, now: int) -> None:
        """From now on this process is its name's voter, where that is one; one of a name's at most."""
        if self.voter is None and self.name in self.voters:
            self.voter = Voter(self.name, self.terms, stored, now)

    def rejoin(self, now: int) -> None:
        """Back at work after a leave of this very process."""
        if self.left:
            self.left, self.leader, self.attempts = False, None, 0
            self.next_request_us = now if self.holds else NEVER_US
            self.next_candidacy_us = now + self._later(self.terms.candidacy_delay_us)

    def start_holding(self, name: str, start: int, now: int) -> None:
        """Ask for leases from now on, as this holder, which has none yet."""
        self.holds, self.attempts, self.leased = True, 0, False
        self.holder = LeaseHolder(name, start, len(self.allocatable), self.terms)
        self.next_request_us = now

    def stop_holding(self) -> None:
        """Ask for nothing any more; what was held is booked for its time, and not given back."""
        self.holds, self.leased = False, False
        self.holder.amounts, self.holder.until_us = self.holder.zero, 0
        self.next_request_us = NEVER_US

    def held(self, now: int) -> tuple[int, ...]:
        """What may be spent by lease; asked at the spend."""
        return self.holder.held(now)

    def leave(self, now: int) -> Actions:
        """On purpose: the lease is given back, the word of the others is free at once."""
        if not self.left:
            self.left = True
            if self.holds and self.leader is not None and not self.is_allocator(now):
                request = self.holder.request(self.leader, self.demand, now, True, self.in_use)
                self.actions.sends.append((self.leader.name, request))
            self.holder.amounts, self.holder.until_us = self.holder.zero, 0
            self._resign(now)
        self._lapse(now)
        return self._done()

    # Voting and dividing

    def _later(self, us: int) -> int:
        return us + int(2 * us * self.random.random())

    def is_allocator(self, now: int) -> bool:
        """Whether this process allocates now."""
        return self.allocator is not None and self.election is not None and self.election.is_valid(now)

    def _hold_or_stand(self, voter: Voter, now: int) -> None:
        standing = self.election
        if standing is None:
            if voter.promised_to(now) is not None or now < voter.abstain_until_us:
                self.next_candidacy_us = max(
                    self.next_candidacy_us, now + self._later(self.terms.candidacy_delay_us)
                )
            elif now >= self.next_candidacy_us:
                self.counter = max(voter.highest_counter, self.counter) + 1
                self.election = Election(Epoch(self.counter, self.name, self.start), self.voters, self.terms)
                self._start_round(voter, now)
        elif self.allocator is not None and not standing.is_valid(now):
            self.actions.events.append(("lost", str(standing.epoch.counter)))
            self._resign(now)
        elif now >= self.next_renewal_us:
            if self.allocator is not None:
                self._start_round(voter, now)
            else:
                self.failed_rounds += 1
                self._resign(now)

    def _start_round(self, voter: Voter, now: int) -> None:
        assert self.election is not None
        vote = self.election.start_round(now)
        if self.allocator is not None:
            self.next_renewal_us = now + self.terms.renew_interval_us
        else:
            # Guards against answers that take longer than a round: they came to rounds that were over.
            most = self.terms.promise_us * 2 // 3
            self.next_renewal_us = now + min(
                self.terms.round_timeout_us << min(self.failed_rounds, MAX_DOUBLINGS), most
            )
        self.actions.sends += [(name, vote) for name in self.voters if name != self.name]
        answer = voter.handle_request(vote, now)
        self.actions.promise = voter.promise
        self._handle_vote_reply(answer, now)

    def _handle_vote_reply(self, reply: VoteReply, now: int) -> None:
        self.counter = max(self.counter, reply.highest_counter)
        if self.election is None or not self.election.handle_reply(reply, now):
            return
        if self.allocator is None:
            self.failed_rounds = 0
            self.allocator = Allocator(self.election.epoch, self.allocatable, self.terms, now, self.weight_of)
            self.prepare(self.allocator)
            self.next_renewal_us = now + self.terms.renew_interval_us
            self.actions.events.append(("won", str(self.election.epoch.counter)))
            self.leader, self.attempts = self.election.epoch, 0
            self.next_request_us = now if self.holds else NEVER_US

    def _resign(self, now: int) -> None:
        """This epoch is never counted on again, so the voters' words for it are free."""
        if self.election is None:
            return
        release = VoteRelease(self.election.epoch)
        self.election = self.allocator = None
        self.actions.sends += [(name, release) for name in self.voters if name != self.name]
        if self.voter is not None:
            self.voter.handle_release(release, now)
        # And against voters that stand at the same time again and again, each with its own word.
        self.next_candidacy_us = now + self._later(
            self.terms.candidacy_delay_us << min(self.failed_rounds, MAX_DOUBLINGS)
        )

    # Holding

    def _request_lease(self, now: int) -> None:
        """Ask the allocator, as far as it is known; else any voter, which says who it is."""
        if self.attempts >= 2 and self.leader is not None:
            self.leader = None
        self.voided += self.attempts > 0
        request = self.holder.request(self.leader, self.demand, now, in_use=self.in_use)
        wait = min(self.terms.retry_us << min(max(self.attempts, self.voided), 8), self.max_retry_us)
        self.next_request_us = now + wait + int(wait * self.random.random() / 4)
        self.attempts += 1
        to = self.leader.name if self.leader is not None else self.random.choice(self.voters)
        if to == self.name:
            self._receive(self.name, request, now)
        else:
            self.actions.sends.append((to, request))

    def _receive(self, sender: str, message: Message, now: int) -> None:
        if isinstance(message, VoteRequest):
            if self.voter is not None:
                answer = self.voter.handle_request(message, now)
                self.actions.promise = self.voter.promise
                self.actions.sends.append((sender, answer))
        elif isinstance(message, VoteReply):
            self._handle_vote_reply(message, now)
        elif isinstance(message, VoteRelease):
            if self.voter is not None:
                self.voter.handle_release(message, now)
                if not self.failed_rounds:  # else all that stood in vain would stand together once more
                    self.next_candidacy_us = min(
                        self.next_candidacy_us, now + self._later(self.terms.candidacy_delay_us // 4)
                    )
        elif isinstance(message, LeaseRequest):
            self._handle_lease_request(sender, message, now)
        elif isinstance(message, LeaseGrant | SubLeaseGrant):
            if self.holds and self.holder.accept(message, now):
                self.attempts, self.leased, self.voided = 0, True, max(0, self.voided - 1)
                self.next_request_us = now + int(
                    self.terms.request_interval_us * (0.9 + self.random.random() / 5)
                )
        elif not self.holds:
            return
        elif message.epoch is not None and message.epoch != self.leader and now >= self.redirected_us:
            # Guards against two that each send it to the other: one turn in a while.
            self.leader, self.attempts = message.epoch, 0
            self.next_request_us, self.redirected_us = now, now + self.terms.retry_us // 2
            self._request_lease(now)

    def _handle_lease_request(self, sender: str, request: LeaseRequest, now: int) -> None:
        answer: Message | None
        if self.is_allocator(now) and self.allocator is not None:
            answer = self.allocator.handle_request(request, now)
            if answer is None and request.epoch != self.allocator.epoch:
                answer = Redirect(self.allocator.epoch)
        else:
            answer = Redirect(self.voter.promised_to(now) if self.voter is not None else None)
        if answer is None or request.leaving:
            return
        if sender == self.name:
            self._receive(sender, answer, now)
        else:
            self.actions.sends.append((sender, answer))

    def _lapse(self, now: int) -> None:
        if self.leased and now >= self.holder.until_us:
            self.leased = False
            self.actions.events.append(("lapsed", ""))

    def _done(self) -> Actions:
        out, self.actions = self.actions, Actions()
        return out
