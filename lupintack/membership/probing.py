"""Health checks of the observed routers: pings, indirect probes, and pings relayed for other observers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from lupintack.membership.detector import FailureDetector, Probe, ProbeAction
from lupintack.membership.local_state import LocalState
from lupintack.membership.messages import Message, MessageKind
from lupintack.membership.outbox import Outbox

if TYPE_CHECKING:
    from random import Random

MAX_RELAYS = 256
NONCE_BITS = 48


@dataclass(frozen=True, slots=True)
class Relay:
    """A ping that was sent for another router."""

    requester: str
    requester_nonce: int
    expires_us: int


class Prober:
    """The probes of one router, and the pings that it relays for others."""

    def __init__(self, state: LocalState, detector: FailureDetector, outbox: Outbox, random: Random) -> None:
        """Start without relayed pings."""
        self.state = state
        self.config = state.config
        self.detector = detector
        self.outbox = outbox
        self.random = random
        self.relays: dict[int, Relay] = {}  # by the nonce of the relayed ping

    def update_observed(self, now_us: int) -> None:
        """Update the observed routers from the observer rings."""
        state = self.state
        state.observers_changed = False
        self.detector.suspects = frozenset(state.view.suspects - {state.name})
        names = state.rings.observed_by(state.name, self.detector.suspects)
        self.detector.observe((name for name in names if name != state.name), now_us)

    def send(self, probe: Probe) -> None:
        """Send a ping or, after a missed ack, a connection probe and requests for indirect pings."""
        view = self.state.view
        record = view.records[probe.name]
        if probe.action is ProbeAction.PING:
            self.outbox.send(probe.name, record.address, MessageKind.PING, probe.nonce)
            return
        self.outbox.add_connection_probe(probe.name, record.start, record.address)
        helpers = sorted(view.names - view.suspects - {probe.name, self.state.name})
        for helper in self.random.sample(helpers, min(self.config.indirect_probe_count, len(helpers))):
            address = view.records[helper].address
            self.outbox.send(helper, address, MessageKind.PING_REQUEST, probe.nonce, probe.name)

    def relay_ping(self, request: Message, now_us: int) -> None:
        """Ping the target of another router's request, if it is known and a relay is free."""
        target = self.state.view.records.get(request.target)
        if target is None or target.name == self.state.name:
            return
        if len(self.relays) >= MAX_RELAYS:
            self.relays = {nonce: relay for nonce, relay in self.relays.items() if relay.expires_us > now_us}
            if len(self.relays) >= MAX_RELAYS:
                return
        nonce = self.random.getrandbits(NONCE_BITS)
        expires_us = now_us + 2 * self.config.max_ack_timeout_us
        self.relays[nonce] = Relay(request.sender, request.nonce, expires_us)
        self.outbox.send(target.name, target.address, MessageKind.PING, nonce)

    def on_relayed_ack(self, ack: Message) -> bool:
        """Forward the ack of a relayed ping to its requester; return whether it was one."""
        relay = self.relays.pop(ack.nonce, None)
        if relay is None:
            return False
        requester = self.state.view.records.get(relay.requester)
        if requester is not None:
            self.outbox.send(
                requester.name, requester.address, MessageKind.INDIRECT_ACK, relay.requester_nonce, ack.sender
            )
        return True
