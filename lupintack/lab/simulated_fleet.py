"""A fleet of routers' memberships on a virtual clock and network."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from lupintack.lab.clock import VirtualClock
from lupintack.lab.hosts import Host, MembershipFactory, SimulatedMembership
from lupintack.lab.invariants import InvariantError, check_own_record, check_tables
from lupintack.lab.network import Network
from lupintack.membership.actions import Actions, ConnectionProbe
from lupintack.membership.changes import MembershipChange
from lupintack.membership.config import MembershipConfig
from lupintack.membership.gossip import max_record_bytes
from lupintack.membership.messages import FullState, Message, WireRecord, max_message_bytes, trusted_record
from lupintack.membership.state_machine import Membership
from lupintack.membership.view import Record, State, View

SECOND = 1_000_000
JOINED_BY_US = 5 * SECOND  # bytes are counted from this time on
EXCHANGE_TIMEOUT_US = SECOND
EXCHANGE_OVERHEAD_BYTES = 60
MAX_INBOX_CALLS = 2000  # stands for the size of a socket's buffer
STEPS_PER_TABLE_CHECK = 512
SEED_COUNT = 3


class SimulatedFleet:
    """Hosts whose processes exchange messages; a subclass launches them and injects faults."""

    def __init__(
        self, random: Random, sites: dict[str, str], config: MembershipConfig, create: MembershipFactory
    ) -> None:
        """Create a host for each name in `sites`, without a process."""
        self.random = random
        self.clock = VirtualClock()
        self.config = config
        self.create = create
        self.network = Network(random, sites)
        self.hosts = {name: Host(name, site) for name, site in sites.items()}
        self.names = list(sites)
        self.seeds = self.names[:SEED_COUNT]
        self.steps = 0

    def on_change(self, host: Host, change: MembershipChange) -> None:
        """Handle a change that a router reports to its users."""

    def running(self) -> list[Host]:
        """Return the hosts whose process runs and is not paused."""
        return [host for host in self.hosts.values() if host.is_up and not host.pause_count]

    def view_id(self, host: Host) -> int:
        """Return the view id of a host's membership, or 0 if it has none."""
        view = getattr(host.membership, "view", None)
        return view.id if isinstance(view, View) else 0

    # Processes

    def launch(self, name: str) -> None:
        """Start a process on a host."""
        host = self.hosts[name]
        host.start = max(host.start + 1, self.clock.now_us + 1)
        me = Record(name, host.start, 0, State.JOINING, host.site, f"{name}:1")
        random = Random(self.random.getrandbits(64))
        host.membership = self.create(me, self.config, random, self.seed_addresses(host))
        host.is_unreachable, host.notified, host.launched_us = False, {}, self.clock.now_us
        self.call(host, host.membership.start)

    def seed_addresses(self, host: Host) -> list[str]:
        """Return the seeds that a router is configured with."""
        return [f"{seed}:1" for seed in self.seeds if seed != host.name]

    def stop_process(self, host: Host) -> None:
        """End a process without a graceful leave."""
        if host.membership is not None:
            host.ended_us[host.start] = self.clock.now_us
            host.membership, host.inbox = None, []

    def leave(self, host: Host) -> None:
        """Let a process leave gracefully, and end it; do nothing while it is paused."""
        if host.membership is not None and not host.pause_count:
            self.execute(host, host.membership.leave(self.clock.now_us))
            self.stop_process(host)

    def resume(self, host: Host) -> None:
        """End one pause; after the last one, run the overdue tick and the queued calls."""
        host.pause_count -= 1
        if host.pause_count or host.membership is None:
            return
        inbox, host.inbox = host.inbox, []
        # A real process may serve either its timer or its socket first.
        if self.random.random() < 0.5:
            self.call(host, host.membership.tick)
        for method, arguments in inbox:
            if host.membership is not None:
                self.call(host, method, *arguments)
        if host.membership is not None:
            self.call(host, host.membership.tick)

    def call(self, host: Host, method: Callable[..., Actions], *arguments: Any) -> None:
        """Call a process, or queue the call while it is paused; do nothing if the process has ended."""
        if host.membership is None or getattr(method, "__self__", None) is not host.membership:
            return
        if host.pause_count:
            if len(host.inbox) < MAX_INBOX_CALLS:
                host.inbox.append((method, arguments))
            return
        self.steps += 1
        self.execute(host, method(*arguments, self.clock.now_us))

    def execute(self, host: Host, actions: Actions) -> None:
        """Perform the actions of a call, and check the invariants."""
        membership = host.membership
        if membership is None:
            return
        for name, address, message in actions.sends:
            self.send(host, name, address, message)
        for probe in actions.connection_probes:
            self._probe_connection(host, membership, probe)
        for _, address, full_state in actions.exchanges:
            self.exchange(host, address, full_state)
        for change in actions.changes:
            self.on_change(host, change)
        if isinstance(membership, Membership):
            check_own_record(membership)
            if self.steps % STEPS_PER_TABLE_CHECK == 0:
                check_tables(membership)
        self.schedule_tick(host)

    def schedule_tick(self, host: Host) -> None:
        """Schedule the next tick if its time has changed."""
        membership = host.membership
        if membership is not None and host.planned_us != membership.wake_us:
            host.planned_us = membership.wake_us
            self.clock.schedule(membership.wake_us, self._tick, host, membership, membership.wake_us)

    def _tick(self, host: Host, membership: SimulatedMembership, planned_us: int) -> None:
        if host.membership is membership and host.planned_us == planned_us and not host.pause_count:
            host.planned_us = -1
            self.call(host, membership.tick)

    # Network

    def host_at(self, address: str) -> Host | None:
        """Return the host at an address, or None if there is none."""
        return self.hosts.get(address.partition(":")[0])

    def send(self, host: Host, name: str, address: str, message: Message) -> None:
        """Send a datagram; raise InvariantError if it is too long."""
        length = max_message_bytes(message) + records_bytes(message.records)
        if length > self.config.max_datagram_bytes:
            raise InvariantError(f"{host.name}: a datagram of {length} bytes")
        host.sent_bytes += length * (self.clock.now_us > JOINED_BY_US)
        other = self.host_at(address)
        if other is None:
            return
        for delay_us in self.network.delivery_delays(host.name, other.name):
            self.clock.schedule(self.clock.now_us + delay_us, self._arrive, other, length, message)

    def _arrive(self, host: Host, length: int, message: Message) -> None:
        if host.membership is not None:
            self.call(host, host.membership.receive, length, message)

    def _delay_us(self, host: Host, other: Host) -> int:
        is_local = host.site == other.site
        delay_us = self.network.local_delay_us if is_local else self.network.remote_delay_us
        return delay_us + self.network.conditions.delay_us

    def _can_connect(self, host: Host, other: Host) -> bool:
        network = self.network
        return not network.is_cut(host.name, other.name) and not network.is_cut(other.name, host.name)

    def _probe_connection(self, host: Host, membership: SimulatedMembership, probe: ConnectionProbe) -> None:
        other = self.host_at(probe.address)
        if other is None or other.is_up or other.is_unreachable or not self._can_connect(host, other):
            return
        at_us = self.clock.now_us + 2 * self._delay_us(host, other)
        result = (probe.name, probe.start, True)
        self.clock.schedule(at_us, self.call, host, membership.on_probe_result, *result)

    def exchange(self, host: Host, address: str, full_state: FullState) -> None:
        """Begin an exchange over TCP, unless it could not complete before its timeout."""
        other = self.host_at(address)
        if other is None or not self._can_connect(host, other):
            return
        delay_us = self._delay_us(host, other)
        if 4 * delay_us > EXCHANGE_TIMEOUT_US:
            return
        self._count_exchange(host, full_state)
        at_us = self.clock.now_us + 2 * delay_us
        self.clock.schedule(at_us, self._answer_exchange, host, host.membership, other, full_state)

    def _answer_exchange(
        self, host: Host, membership: SimulatedMembership, other: Host, full_state: FullState
    ) -> None:
        if other.membership is None or other.pause_count or host.membership is not membership:
            return
        answer, actions = other.membership.on_full_state(full_state, self.clock.now_us)
        self.execute(other, actions)
        self._count_exchange(other, answer)
        at_us = self.clock.now_us + self._delay_us(host, other)
        self.clock.schedule(at_us, self.call, host, membership.on_full_state_answer, answer)

    def _count_exchange(self, host: Host, full_state: FullState) -> None:
        if self.clock.now_us > JOINED_BY_US:
            host.sent_bytes += EXCHANGE_OVERHEAD_BYTES + records_bytes(full_state.records)


def records_bytes(records: Sequence[WireRecord]) -> int:
    """Return an upper bound of the encoded size of the records, in bytes."""
    return sum(max_record_bytes(trusted_record(record)) for record in records)
