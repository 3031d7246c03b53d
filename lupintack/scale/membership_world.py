"""A simulated fleet of the lab that starts joined and counts the processor time and bytes of each router.

The lab simulates clocks and packets; each datagram is encoded and decoded as on the wire. Every router begins
with all records, and none of them is queued for gossip. Only the membership and the codec are timed, not the
lab; sockets and threads are not included.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from random import Random
from time import thread_time_ns
from typing import Any, NamedTuple

from lupintack.lab.faults import Fault
from lupintack.lab.hosts import Host
from lupintack.lab.members import World
from lupintack.membership.actions import Actions
from lupintack.membership.config import MembershipConfig
from lupintack.membership.messages import FullState, Message, MessageCodec, WireRecord
from lupintack.membership.state_machine import Membership
from lupintack.membership.view import Record, State

SECOND_US = 1_000_000
MAX_REGIONS = 27  # a region is a site of the lab
MIN_ROUTERS_PER_REGION = 2


class Totals(NamedTuple):
    """The accumulated cost of some routers."""

    cpu_us: float
    bytes: int


class Mark(NamedTuple):
    """A snapshot of the totals by region."""

    at_us: int
    by_region: dict[str, Totals]
    datagrams: int
    exchanges: int
    detections: int


class JoinedWorld(World):
    """A fleet whose routers have the records of all others when the run begins."""

    def __init__(self, seed: int, routers: int, script: Sequence[Fault], sites: int) -> None:
        """Prepare a fleet of `routers` in `sites` and the faults of `script`."""
        super().__init__(seed, routers, MembershipConfig(), script=script, site_count=sites)
        self.codec = MessageCodec("slope", "a secret of this run")
        self.create = partial(create_membership, self.codec)
        self.spent_ns = dict.fromkeys(self.names, 0)
        self.datagrams = 0
        self.exchanges = 0
        self.marks: list[Mark] = []

    def start_joined(self) -> None:
        """Start all routers, each with the records of all others."""
        starts = {name: number + 1 for number, name in enumerate(self.names)}
        records = [
            (name, start, 1, int(State.ALIVE), self.hosts[name].site, f"{name}:1")
            for name, start in starts.items()
        ]
        for name, start in starts.items():
            self._start_joined_host(self.hosts[name], start, records)
        for name in self.names:
            self.schedule_tick(self.hosts[name])

    def _start_joined_host(self, host: Host, start: int, records: list[WireRecord]) -> None:
        host.start = start
        me = Record(host.name, start, 0, State.JOINING, host.site, f"{host.name}:1")
        random = Random(self.random.getrandbits(64))
        membership = create_membership(self.codec, me, self.config, random, self.seed_addresses(host))
        host.membership = membership
        membership.start(0)
        others = [*records[: start - 1], *records[start:]]
        membership.on_full_state_answer(FullState(others[0], 0, others), 0)
        state = membership.state
        state.gossip.queued.clear()
        membership.tick(0)
        state.notifier.notified = {name: record.start for name, record in state.view.records.items()}
        state.notifier.change_pending_us = 0
        host.notified = dict(state.notifier.notified)

    def schedule(self, marks_s: Sequence[int]) -> None:
        """Schedule the script's faults, and marks at these seconds."""
        for fault in self.faults:
            self.clock.schedule(fault.at_us, self.inject_fault, fault)
        for at_s in marks_s:
            self.clock.schedule(at_s * SECOND_US, self.mark)

    def run_to(self, until_us: int) -> None:
        """Run up to a time."""
        self.clock.run(until_us)

    def mark(self) -> None:
        """Record the totals now."""
        by_region: dict[str, Totals] = {}
        for host in self.hosts.values():
            before = by_region.get(host.site, Totals(0.0, 0))
            cpu_us = before.cpu_us + self.spent_ns[host.name] / 1000
            by_region[host.site] = Totals(cpu_us, before.bytes + host.sent_bytes)
        detections = len(self.result.detect_us)
        self.marks.append(Mark(self.clock.now_us, by_region, self.datagrams, self.exchanges, detections))

    # Overrides that measure each router's processor time

    def call(self, host: Host, method: Callable[..., Actions], *arguments: Any) -> None:
        """Call a router's membership; pauses are not simulated here."""
        if host.membership is None or getattr(method, "__self__", None) is not host.membership:
            return
        self.steps += 1
        began_ns = thread_time_ns()
        actions = method(*arguments, self.clock.now_us)
        self.spent_ns[host.name] += thread_time_ns() - began_ns
        self.execute(host, actions)

    def send(self, host: Host, name: str, address: str, message: Message) -> None:
        """Send a datagram, encoded as on the wire."""
        began_ns = thread_time_ns()
        raw = self.codec.encode(message)
        self.spent_ns[host.name] += thread_time_ns() - began_ns
        host.sent_bytes += len(raw)
        self.datagrams += 1
        other = self.host_at(address)
        if other is None:
            return
        for delay_us in self.network.delivery_delays(host.name, other.name):
            self.clock.schedule(self.clock.now_us + delay_us, self._receive_raw, other, raw)

    def _receive_raw(self, host: Host, raw: bytes) -> None:
        if host.membership is None:
            return
        began_ns = thread_time_ns()
        message = self.codec.decode(raw)
        self.spent_ns[host.name] += thread_time_ns() - began_ns
        self.call(host, host.membership.receive, len(raw), message)

    def exchange(self, host: Host, address: str, full_state: FullState) -> None:
        """Begin a full-state exchange; its bytes are counted by their upper bound, as in the lab."""
        self.exchanges += 1
        super().exchange(host, address, full_state)


def create_membership(
    codec: MessageCodec, me: Record, config: MembershipConfig, random: Random, seeds: Sequence[str]
) -> Membership:
    """Return the product's membership, with datagrams measured by the codec."""
    return Membership(me, config, random, seeds, codec.encoded_size)


def region_count(routers: int) -> int:
    """Return the number of regions of a fleet."""
    return max(1, min(MAX_REGIONS, routers // MIN_ROUTERS_PER_REGION))


class Phase:
    """The cost of the routers of one region, of the others, or of all between two marks."""

    def __init__(
        self, first: Mark, last: Mark, world: JoinedWorld, region: str = "", inside: bool = True
    ) -> None:
        """Sum up all routers, or with a `region` those in it, or outside it if `inside` is False."""

        def is_selected(name: str) -> bool:
            return not region or (name == region) == inside

        routers = sum(is_selected(host.site) for host in world.hosts.values())
        self.seconds = (last.at_us - first.at_us) / SECOND_US
        regions = [name for name in last.by_region if is_selected(name)]
        self.cpu_us = sum(last.by_region[n].cpu_us - first.by_region[n].cpu_us for n in regions)
        self.bytes = sum(last.by_region[n].bytes - first.by_region[n].bytes for n in regions)
        self.exchanges = last.exchanges - first.exchanges
        share = 1.0 / (routers * self.seconds)
        self.cpu_us_per_s = self.cpu_us * share
        self.bytes_per_s = self.bytes * share
        self.messages_per_s = (last.datagrams - first.datagrams) * share  # only meaningful for all routers
