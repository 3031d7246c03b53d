"""Budget protocol of one process: always a lease holder, a voter if configured, the allocator if elected.

Each call takes the current time, and a message or a tick, and returns messages to send, a promise to store
and events. The node depends only on the configured voters, not on the membership.
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
MAX_DOUBLINGS = 4  # limit for the backoff of the round timeout and of the candidacy delay


@dataclass(slots=True)
class Actions:
    """The actions that follow a call, in this order: store the promise, then send the messages."""

    promise: Promise | None = None
    sends: list[tuple[str, Message]] = field(default_factory=list)
    events: list[tuple[str, str]] = field(default_factory=list)  # event name, and the epoch or ""


class BudgetNode:
    """Holds a lease, votes and allocates for one process at one level."""

    def __init__(
        self,
        name: str,
        start: int,
        voters: Sequence[str],
        allocatable: Sequence[int],
        terms: Terms,
        random: Random,
        now_us: int,
        stored: Promise | None = None,
        weight_of: Callable[[str], int] = equal_weight,
        votes: bool = True,
        requests_leases: bool = True,
        prepare: Callable[[Allocator], None] = lambda allocator: None,
    ) -> None:
        """`allocatable`: for each budget, the total minus its reservations; `stored`: see Voter;
        `requests_leases`: from the start; `prepare`: called with the new allocator after a won election.
        """
        self.name, self.start, self.terms, self.random = name, start, terms, random
        self.voters = tuple(sorted(set(voters)))
        self.allocatable = tuple(allocatable)
        self.weight_of = weight_of
        self.prepare = prepare
        self.requests_leases = requests_leases
        self.holder = LeaseHolder(name, start, len(self.allocatable), terms)
        self.voter: Voter | None = None
        if votes:
            self.become_voter(stored, now_us)
        self.demand = (0,) * len(self.allocatable)
        self.in_use = self.demand  # of concurrent budgets
        self.election: Election | None = None
        self.allocator: Allocator | None = None
        self.epoch_counter = 0
        self.next_renewal_us = 0
        self.failed_rounds = 0  # failed rounds since the last election that was won
        self.next_candidacy_us = now_us + self._jittered_us(terms.candidacy_delay_us)
        self.leader: Epoch | None = None
        self.unanswered_requests = 0
        self.voided_requests = 0  # requests replaced before their answer, minus grants accepted since
        self.next_request_us = now_us if requests_leases else NEVER_US
        self.max_retry_us = terms.lease_us // 2
        self.next_redirect_us = 0
        self.has_lease = False
        self.has_left = False
        self.actions = Actions()

    @property
    def wake_us(self) -> int:
        """The time of the next tick, in microseconds."""
        times = [] if self.has_left else [self.next_request_us]
        if self.has_lease:
            times.append(self.holder.until_us)
        if self.voter is not None and not self.has_left:
            times.append(self.next_renewal_us if self.election is not None else self.next_candidacy_us)
        return min(times, default=NEVER_US)

    def tick(self, now_us: int) -> Actions:
        """Do the work that is due."""
        if not self.has_left:
            if self.voter is not None:
                self._renew_or_campaign(self.voter, now_us)
            if now_us >= self.next_request_us:
                self._request_lease(now_us)
        self._check_expiry(now_us)
        return self._take_actions()

    def set_demand(self, demand: Sequence[int], in_use: Sequence[int] = ()) -> None:
        """Set the demand that the next request reports, and the units in use of concurrent budgets."""
        self.demand = tuple(demand)
        self.in_use = tuple(in_use) or (0,) * len(self.allocatable)

    def receive(self, sender: str, message: Message, now_us: int) -> Actions:
        """Handle a message from another process, or from this one."""
        if not self.has_left:
            self._receive(sender, message, now_us)
        self._check_expiry(now_us)
        return self._take_actions()

    def become_voter(self, stored: Promise | None, now_us: int) -> None:
        """Start voting if this process's name is a voter; at most one process of a name may vote."""
        if self.voter is None and self.name in self.voters:
            self.voter = Voter(self.name, self.terms, stored, now_us)

    def rejoin(self, now_us: int) -> None:
        """Request leases again after `leave`."""
        if self.has_left:
            self.has_left, self.leader, self.unanswered_requests = False, None, 0
            self.next_request_us = now_us if self.requests_leases else NEVER_US
            self.next_candidacy_us = now_us + self._jittered_us(self.terms.candidacy_delay_us)

    def start_holding(self, name: str, start: int, now_us: int) -> None:
        """Start requesting leases as a new holder of this name and start."""
        self.requests_leases, self.unanswered_requests, self.has_lease = True, 0, False
        self.holder = LeaseHolder(name, start, len(self.allocatable), self.terms)
        self.next_request_us = now_us

    def stop_holding(self) -> None:
        """Stop requesting leases; the last lease is not released and stays booked until it expires."""
        self.requests_leases, self.has_lease = False, False
        self.holder.amounts, self.holder.until_us = self.holder.zero, 0
        self.next_request_us = NEVER_US

    def leased_amounts(self, now_us: int) -> tuple[int, ...]:
        """Return the leased amounts; call this at the time of the spend."""
        return self.holder.leased_amounts(now_us)

    def leave(self, now_us: int) -> Actions:
        """Shut down gracefully: release the lease and the voters' promises."""
        if not self.has_left:
            self.has_left = True
            if self.requests_leases and self.leader is not None and not self.is_allocator(now_us):
                request = self.holder.request(self.leader, self.demand, now_us, True, self.in_use)
                self.actions.sends.append((self.leader.name, request))
            self.holder.amounts, self.holder.until_us = self.holder.zero, 0
            self._resign(now_us)
        self._check_expiry(now_us)
        return self._take_actions()

    # Voting and allocating

    def _jittered_us(self, delay_us: int) -> int:
        return delay_us + int(2 * delay_us * self.random.random())

    def is_allocator(self, now_us: int) -> bool:
        """Return whether this process is the allocator now."""
        return self.allocator is not None and self.election is not None and self.election.is_valid(now_us)

    def _renew_or_campaign(self, voter: Voter, now_us: int) -> None:
        election = self.election
        if election is None:
            if voter.promised_to(now_us) is not None or now_us < voter.abstain_until_us:
                self.next_candidacy_us = max(
                    self.next_candidacy_us, now_us + self._jittered_us(self.terms.candidacy_delay_us)
                )
            elif now_us >= self.next_candidacy_us:
                self.epoch_counter = max(voter.highest_counter, self.epoch_counter) + 1
                epoch = Epoch(self.epoch_counter, self.name, self.start)
                self.election = Election(epoch, self.voters, self.terms)
                self._start_round(voter, now_us)
        elif self.allocator is not None and not election.is_valid(now_us):
            self.actions.events.append(("lost", str(election.epoch.counter)))
            self._resign(now_us)
        elif now_us >= self.next_renewal_us:
            if self.allocator is not None:
                self._start_round(voter, now_us)
            else:
                self.failed_rounds += 1
                self._resign(now_us)

    def _start_round(self, voter: Voter, now_us: int) -> None:
        assert self.election is not None
        request = self.election.start_round(now_us)
        if self.allocator is not None:
            self.next_renewal_us = now_us + self.terms.renew_interval_us
        else:
            # A longer timeout keeps slow replies from arriving after their round has ended.
            max_wait_us = self.terms.promise_us * 2 // 3
            self.next_renewal_us = now_us + min(
                self.terms.round_timeout_us << min(self.failed_rounds, MAX_DOUBLINGS), max_wait_us
            )
        self.actions.sends += [(name, request) for name in self.voters if name != self.name]
        answer = voter.handle_request(request, now_us)
        self.actions.promise = voter.promise
        self._handle_vote_reply(answer, now_us)

    def _handle_vote_reply(self, reply: VoteReply, now_us: int) -> None:
        self.epoch_counter = max(self.epoch_counter, reply.highest_counter)
        if self.election is None or not self.election.handle_reply(reply, now_us):
            return
        if self.allocator is None:
            self.failed_rounds = 0
            self.allocator = Allocator(
                self.election.epoch, self.allocatable, self.terms, now_us, self.weight_of
            )
            self.prepare(self.allocator)
            self.next_renewal_us = now_us + self.terms.renew_interval_us
            self.actions.events.append(("won", str(self.election.epoch.counter)))
            self.leader, self.unanswered_requests = self.election.epoch, 0
            self.next_request_us = now_us if self.requests_leases else NEVER_US

    def _resign(self, now_us: int) -> None:
        """End this epoch and release the voters' promises to it."""
        if self.election is None:
            return
        release = VoteRelease(self.election.epoch)
        self.election = self.allocator = None
        self.actions.sends += [(name, release) for name in self.voters if name != self.name]
        if self.voter is not None:
            self.voter.handle_release(release, now_us)
        # The growing delay separates voters that repeatedly become candidates at the same time.
        self.next_candidacy_us = now_us + self._jittered_us(
            self.terms.candidacy_delay_us << min(self.failed_rounds, MAX_DOUBLINGS)
        )

    # Requesting leases

    def _request_lease(self, now_us: int) -> None:
        """Request a lease from the allocator if known, otherwise from a random voter, which redirects."""
        if self.unanswered_requests >= 2 and self.leader is not None:
            self.leader = None
        self.voided_requests += self.unanswered_requests > 0
        request = self.holder.request(self.leader, self.demand, now_us, in_use=self.in_use)
        wait = min(
            self.terms.retry_us << min(max(self.unanswered_requests, self.voided_requests), 8),
            self.max_retry_us,
        )
        self.next_request_us = now_us + wait + int(wait * self.random.random() / 4)
        self.unanswered_requests += 1
        to = self.leader.name if self.leader is not None else self.random.choice(self.voters)
        if to == self.name:
            self._receive(self.name, request, now_us)
        else:
            self.actions.sends.append((to, request))

    def _receive(self, sender: str, message: Message, now_us: int) -> None:
        if isinstance(message, VoteRequest):
            self._handle_vote_request(sender, message, now_us)
        elif isinstance(message, VoteReply):
            self._handle_vote_reply(message, now_us)
        elif isinstance(message, VoteRelease):
            self._handle_vote_release(message, now_us)
        elif isinstance(message, LeaseRequest):
            self._handle_lease_request(sender, message, now_us)
        elif isinstance(message, LeaseGrant | SubLeaseGrant):
            self._handle_lease_grant(message, now_us)
        elif self.requests_leases:
            self._handle_redirect(message, now_us)

    def _handle_vote_request(self, sender: str, message: VoteRequest, now_us: int) -> None:
        if self.voter is not None:
            answer = self.voter.handle_request(message, now_us)
            self.actions.promise = self.voter.promise
            self.actions.sends.append((sender, answer))

    def _handle_vote_release(self, message: VoteRelease, now_us: int) -> None:
        if self.voter is None:
            return
        self.voter.handle_release(message, now_us)
        if not self.failed_rounds:  # otherwise all failed candidates would retry at the same time
            delay_us = self._jittered_us(self.terms.candidacy_delay_us // 4)
            self.next_candidacy_us = min(self.next_candidacy_us, now_us + delay_us)

    def _handle_lease_grant(self, message: LeaseGrant | SubLeaseGrant, now_us: int) -> None:
        if not self.requests_leases or not self.holder.accept(message, now_us):
            return
        self.unanswered_requests = 0
        self.has_lease = True
        self.voided_requests = max(0, self.voided_requests - 1)
        interval_us = self.terms.request_interval_us * (0.9 + self.random.random() / 5)
        self.next_request_us = now_us + int(interval_us)

    def _handle_redirect(self, message: Redirect, now_us: int) -> None:
        if message.epoch is None or message.epoch == self.leader or now_us < self.next_redirect_us:
            return
        # Follow at most one redirect per interval: two processes may redirect to each other.
        self.leader, self.unanswered_requests = message.epoch, 0
        self.next_request_us, self.next_redirect_us = now_us, now_us + self.terms.retry_us // 2
        self._request_lease(now_us)

    def _handle_lease_request(self, sender: str, request: LeaseRequest, now_us: int) -> None:
        answer: Message | None
        if self.is_allocator(now_us) and self.allocator is not None:
            answer = self.allocator.handle_request(request, now_us)
            if answer is None and request.epoch != self.allocator.epoch:
                answer = Redirect(self.allocator.epoch)
        else:
            answer = Redirect(self.voter.promised_to(now_us) if self.voter is not None else None)
        if answer is None or request.leaving:
            return
        if sender == self.name:
            self._receive(sender, answer, now_us)
        else:
            self.actions.sends.append((sender, answer))

    def _check_expiry(self, now_us: int) -> None:
        if self.has_lease and now_us >= self.holder.until_us:
            self.has_lease = False
            self.actions.events.append(("lapsed", ""))

    def _take_actions(self) -> Actions:
        actions, self.actions = self.actions, Actions()
        return actions
