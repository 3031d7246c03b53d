"""Replay protection: a sliding window of sequence numbers for each sending process."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from lupintack.membership.messages import DropReason, Message

REPLAY_WINDOW = 64  # sequence numbers up to the highest that are accepted once, in any order
MAX_SENDERS = 8192


class Arrival(Enum):
    """The order in which an accepted message arrived."""

    NEWEST = auto()  # the highest sequence number of its sender so far
    OUT_OF_ORDER = auto()


@dataclass(slots=True)
class SenderWindow:
    """The sequence numbers received from one process."""

    start: int
    highest: int
    received_mask: int = 1  # bit n: `highest` - n was received


class ReplayFilter:
    """The windows of all senders; the first one added is evicted when there are MAX_SENDERS."""

    def __init__(self) -> None:
        """Start without senders."""
        self.senders: dict[str, SenderWindow] = {}

    def accept(self, message: Message, known_start: int) -> Arrival | DropReason:
        """Record a message and return its order, or the reason to drop it.

        `known_start` is the start of the sender's process in the view, 0 if unknown.
        """
        window = self.senders.get(message.sender)
        if message.start < max(known_start, window.start if window else 0):
            return DropReason.OLD
        if window is None or message.start > window.start:
            self._open(message)
            return Arrival.NEWEST
        ahead = message.sequence - window.highest
        if ahead > 0:
            shifted = window.received_mask << min(ahead, REPLAY_WINDOW) | 1
            window.received_mask = shifted & ((1 << REPLAY_WINDOW) - 1)
            window.highest = message.sequence
            return Arrival.NEWEST
        if -ahead >= REPLAY_WINDOW or window.received_mask >> -ahead & 1:
            return DropReason.REPLAYED
        window.received_mask |= 1 << -ahead
        return Arrival.OUT_OF_ORDER

    def _open(self, message: Message) -> None:
        if message.sender not in self.senders and len(self.senders) >= MAX_SENDERS:
            del self.senders[next(iter(self.senders))]
        self.senders[message.sender] = SenderWindow(message.start, message.sequence)
