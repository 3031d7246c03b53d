"""Budget messages between processes. Rows hold an amount for each budget, in the budget's unit."""

from __future__ import annotations

from typing import NamedTuple


class Epoch(NamedTuple):
    """Identifies one tenure of one process. A process never reuses a counter, so epochs are unique."""

    counter: int
    name: str
    start: int


class VoteRequest(NamedTuple):
    """A request to a voter to elect an epoch or renew its term."""

    epoch: Epoch
    round: int


class VoteReply(NamedTuple):
    """A voter's answer to one round."""

    voter: str
    epoch: Epoch
    round: int
    granted: bool
    highest_counter: int  # the highest counter that this voter has seen


class VoteRelease(NamedTuple):
    """A notification that the epoch's process no longer relies on the voter's promise."""

    epoch: Epoch


class LeaseRequest(NamedTuple):
    """A holder's request for a lease.

    After sending it, the holder accepts no grant for an earlier sequence number, so `leased_amounts` is an
    upper bound on the amounts it has from earlier grants. `in_use`: units of concurrent budgets that it has
    not released yet, including those above its present lease; they stay booked for it and are not granted to
    other holders.
    """

    name: str
    start: int
    sequence: int
    epoch: Epoch | None  # of the allocator addressed; None if unknown
    demand: tuple[int, ...]
    leased_amounts: tuple[int, ...]
    leaving: bool = False
    in_use: tuple[int, ...] = ()


class LeaseGrant(NamedTuple):
    """The amounts that a holder may spend, starting from its request."""

    epoch: Epoch
    name: str
    start: int
    sequence: int
    amounts: tuple[int, ...]


class SubLeaseGrant(NamedTuple):
    """The amounts that a holder may spend, granted from a parent lease of its allocator.

    `lease_us`: the time for which the allocator books the lease, on the allocator's clock; the holder uses it
    for a shorter time.
    """

    epoch: Epoch
    name: str
    start: int
    sequence: int
    amounts: tuple[int, ...]
    lease_us: int


class Redirect(NamedTuple):
    """The allocator's epoch as known to the receiver of a request; None if unknown."""

    epoch: Epoch | None


Message = VoteRequest | VoteReply | VoteRelease | LeaseRequest | LeaseGrant | Redirect | SubLeaseGrant
