"""What processes say to one another about budgets. An amount stands for each budget, in its own unit."""

from __future__ import annotations

from typing import NamedTuple


class Epoch(NamedTuple):
    """One tenure of one process: it never uses a counter twice, so no two tenures have one epoch."""

    counter: int
    name: str
    start: int


class VoteRequest(NamedTuple):
    """One that wants to divide, or to go on dividing, asks a voter."""

    epoch: Epoch
    round: int


class VoteReply(NamedTuple):
    """A voter's answer to a round."""

    voter: str
    epoch: Epoch
    round: int
    granted: bool
    highest_counter: int  # the highest counter that this voter has seen


class VoteRelease(NamedTuple):
    """The epoch's process will never again count on what it was promised."""

    epoch: Epoch


class LeaseRequest(NamedTuple):
    """A holder asks for its parts.

    Once it has left, no grant to an earlier number is taken any more: so `held` is the most that this holder
    has of earlier grants, from now on. `in_use`: things at once that it began and that have not
    ended, also such as its lease would not let it begin any more: they are kept for it, and not granted
    to others.
    """

    name: str
    start: int
    sequence: int
    epoch: Epoch | None  # of the tenure that it asks; None: it does not know it yet
    demand: tuple[int, ...]
    held: tuple[int, ...]
    leaving: bool = False
    in_use: tuple[int, ...] = ()


class LeaseGrant(NamedTuple):
    """What a holder may spend, from its ask on."""

    epoch: Epoch
    name: str
    start: int
    sequence: int
    amounts: tuple[int, ...]


class Redirect(NamedTuple):
    """Who divides, as far as the one that was asked knows; epoch None: nobody that it knows of."""

    epoch: Epoch | None


Message = VoteRequest | VoteReply | VoteRelease | LeaseRequest | LeaseGrant | Redirect
