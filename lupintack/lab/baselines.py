"""Baselines to compare the membership with: plain SWIM, and all-to-all heartbeats.

Both gossip and exchange views as the membership does; they differ in the probes and in how failures are
decided. Both wait as long as the membership does before they remove a silent router.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from lupintack.lab.hosts import SimulatedMembership
from lupintack.membership.config import MembershipConfig
from lupintack.membership.detector import Probe
from lupintack.membership.messages import MessageKind, max_message_bytes
from lupintack.membership.state_machine import Membership
from lupintack.membership.view import Record, State

SWIM_PROBE_MARGIN_US = 500_000  # average wait until a router is probed; the membership's timeout includes it
NEVER_US = 1 << 62


class Swim(Membership):
    """Probes one router in turn each interval; one router's suspicion fails a router on timeout."""

    def __init__(self, me: Record, config: MembershipConfig, random: Random, seeds: Sequence[str]) -> None:
        """Initialize without starting; `me` is this router's record."""
        super().__init__(me, config, random, seeds, max_message_bytes)
        self.random = random
        self.order: list[str] = []
        self.next_round_us = 0
        self.target = ""

    def _update_observed(self, now_us: int) -> None:
        self.state.observers_changed = False

    def _suspect_silent(self, now_us: int) -> None:
        """At the end of an interval, suspect a target that has not answered, and probe the next."""
        if now_us < self.next_round_us:
            return
        self.next_round_us = now_us + self.config.probe_interval_us
        self._suspect_target(now_us)
        while self.order and not self.view.is_counted(self.order[-1]):
            self.order.pop()
        if not self.order:
            self.order = sorted(self.view.names - {self.name})
            self.random.shuffle(self.order)
        self.target = self.order.pop() if self.order else ""
        self.detector.observed.clear()
        self.detector.observe([self.target] if self.target else [], now_us)
        self.detector.probe_now(self.target, now_us)

    def _suspect_target(self, now_us: int) -> None:
        observed = self.detector.observed.get(self.target)
        record = self.view.records.get(self.target)
        if observed is None or record is None:
            return
        if now_us - observed.last_seen_us < self.config.probe_interval_us:
            return
        if record.state in (State.ALIVE, State.UNACKNOWLEDGED):
            self.state.mark(record, State.SUSPECT, now_us)

    def _send_probe(self, probe: Probe) -> None:
        super()._send_probe(probe)
        self.outbox.actions.connection_probes.clear()

    def _decide_failures(self, now_us: int) -> None:
        timeout_us = self.config.failure_timeout_us - SWIM_PROBE_MARGIN_US
        expired = [name for name in self.view.suspects if now_us - self.view.since_us[name] >= timeout_us]
        for name in expired:
            if name != self.name:
                self.state.mark(self.view.records[name], State.FAILED, now_us)

    def _on_local_pause(self, gap_us: int, now_us: int) -> None:
        """Do nothing: plain SWIM does not detect its own pauses."""


class Heartbeats(Membership):
    """Sends to every router each interval; each router removes silent ones on its own timeout."""

    def __init__(self, me: Record, config: MembershipConfig, random: Random, seeds: Sequence[str]) -> None:
        """Initialize without starting; `me` is this router's record."""
        super().__init__(me, config, random, seeds, max_message_bytes)
        self.next_round_us = 0

    def _update_observed(self, now_us: int) -> None:
        self.state.observers_changed = False
        self.detector.observe(sorted(self.view.names - {self.name}), now_us)
        for observed in self.detector.observed.values():
            observed.next_probe_us = NEVER_US

    def _suspect_silent(self, now_us: int) -> None:
        if now_us < self.next_round_us:
            return
        self.next_round_us = now_us + self.config.probe_interval_us
        for name in sorted(self.view.names - {self.name}):
            self.outbox.send(name, self.view.records[name].address, MessageKind.GOSSIP)
        timeout_us = self.config.failure_timeout_us
        for observed in list(self.detector.observed.values()):
            record = self.view.records.get(observed.name)
            if record is None or not self.view.is_counted(observed.name):
                continue
            if now_us - observed.last_seen_us >= timeout_us:
                self.state.merge(record._replace(state=State.FAILED), now_us)

    def _decide_failures(self, now_us: int) -> None:
        """Do nothing: failures are decided without reports of other routers."""

    def _on_local_pause(self, gap_us: int, now_us: int) -> None:
        """Do nothing: pauses are not detected."""


def swim(me: Record, config: MembershipConfig, random: Random, seeds: Sequence[str]) -> SimulatedMembership:
    """Return plain SWIM."""
    return Swim(me, config, random, seeds)


def heartbeats(
    me: Record, config: MembershipConfig, random: Random, seeds: Sequence[str]
) -> SimulatedMembership:
    """Return all-to-all heartbeats."""
    return Heartbeats(me, config, random, seeds)
