"""Outgoing messages: piggybacked gossip, gossip pushed without delay, full states."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from lupintack.membership.actions import Actions, ConnectionProbe, Datagram, Exchange
from lupintack.membership.gossip import max_record_bytes
from lupintack.membership.local_state import LocalState
from lupintack.membership.messages import FullState, Message, MessageKind, SuspicionReport, wire_record
from lupintack.membership.view import TERMINAL_STATES, Record, State

if TYPE_CHECKING:
    from random import Random

PING_PADDING = bytes(48)  # space for gossip in the ack, which is never longer than its ping
UNKNOWN_RECEIVER = (0, 0, -1)


class Outbox:
    """The actions collected during one call, and the size and rate limits of messages."""

    def __init__(self, state: LocalState, random: Random, encoded_size: Callable[[Message], int]) -> None:
        """Start empty; `encoded_size` returns the encoded size of a message, or an upper bound of it."""
        self.state = state
        self.config = state.config
        self.random = random
        self.encoded_size = encoded_size
        self.actions = Actions()
        self.sequence = 0
        self.push_allowance_bytes = self.config.push_burst_bytes
        self.push_refilled_us = 0

    def take_actions(self) -> Actions:
        """Return the collected actions and reset the collection."""
        actions, self.actions = self.actions, Actions()
        return actions

    def add_connection_probe(self, name: str, start: int, address: str) -> None:
        """Add a connection probe of a router's process."""
        self.actions.connection_probes.append(ConnectionProbe(name, start, address))

    def add_exchange(self, name: str, address: str, full_state: FullState) -> None:
        """Add a full-state exchange to start."""
        self.actions.exchanges.append(Exchange(name, address, full_state))

    def reset_push_allowance(self) -> None:
        """Allow a full burst of pushed gossip."""
        self.push_allowance_bytes = self.config.push_burst_bytes

    def push_gossip(self, now_us: int, fanout: int) -> None:
        """Send gossip to random routers without waiting for the next probes, limited in bytes per second."""
        refill = (now_us - self.push_refilled_us) * self.config.push_bytes_per_s / 1e6
        self.push_allowance_bytes = min(self.config.push_burst_bytes, self.push_allowance_bytes + refill)
        self.push_refilled_us = now_us
        view = self.state.view
        others = sorted(name for name in view.names if name != self.state.name and name not in view.suspects)
        for name in self.random.sample(others, min(fanout, len(others))):
            if self.push_allowance_bytes < self.config.max_datagram_bytes / 4:
                return
            self.push_allowance_bytes -= self.send(name, view.records[name].address, MessageKind.GOSSIP)

    def send(
        self,
        name: str,
        address: str,
        kind: MessageKind,
        nonce: int = 0,
        target: str = "",
        reports: Sequence[SuspicionReport] = (),
        max_bytes: int = 0,
    ) -> int:
        """Add one datagram with the gossip that fits; return its size in bytes, or 0 if none is sent.

        A positive `max_bytes` is the length of the request being answered: a forged sender address must not
        make this router send more bytes than it received (amplification).
        """
        if not address:
            return 0
        message = self._message(name, kind, nonce, target, reports)
        length = self.encoded_size(message)
        free = min(max_bytes or self.config.max_datagram_bytes, self.config.max_datagram_bytes) - length
        if max_bytes and free < 0:
            message.site, message.address, message.target = "", "", ""
            length = self.encoded_size(message)
            if length > max_bytes:
                return 0
            free = max_bytes - length
        gossip_bytes = self._add_gossip(message, name, free)
        self.actions.sends.append(Datagram(name, address, message))
        return length + gossip_bytes

    def _message(
        self, name: str, kind: MessageKind, nonce: int, target: str, reports: Sequence[SuspicionReport]
    ) -> Message:
        self.sequence += 1
        record = self.state.view.records.get(name)
        receiver = UNKNOWN_RECEIVER
        if record is not None:
            receiver = (record.start, record.incarnation, int(record.state))
        return Message(
            kind,
            *self.state.me,
            sequence=self.sequence,
            view_id=self.state.view.id,
            nonce=nonce,
            target=target,
            receiver_seen=receiver,
            records=[],
            reports=list(reports),
            padding=PING_PADDING if kind is MessageKind.PING else b"",
        )

    def _add_gossip(self, message: Message, name: str, free_bytes: int) -> int:
        # A datagram to an unreachable router is probably lost, and would use up retransmissions.
        record = self.state.view.records.get(name)
        is_unreached = record is not None and record.state in (State.SUSPECT, *TERMINAL_STATES)
        if is_unreached and message.kind is not MessageKind.ACK:
            return 0
        records = self.state.gossip.take(free_bytes, len(self.state.view.names))
        if records:
            message.records = [wire_record(record) for record in records]
        return sum(map(max_record_bytes, records))

    def full_state(self, records: Sequence[Record], is_answer: bool = False) -> FullState:
        """Return the message of an exchange with these records."""
        me = wire_record(self.state.me)
        return FullState(me, self.state.view.id, [wire_record(record) for record in records], is_answer)
