"""Cost of the membership to a router by fleet size, in a simulated fleet (`membership_world`).

`cpu_us`, `bytes` and `messages` are per router and second in an idle fleet. Then a few routers each restart,
are killed, or vanish without notice; the details have the cost of a restart to each other router, and the
detection times of kills and vanished routers. `role_cut` measures the cut of a region.
"""

from __future__ import annotations

import socket
from itertools import pairwise
from statistics import median
from time import thread_time_ns

from lupintack.fleet.fleet_address import FleetAddress
from lupintack.fleet.transport import FleetTransport as FleetTransport
from lupintack.lab.faults import Fault
from lupintack.membership.messages import FullState
from lupintack.membership.state_machine import Membership
from lupintack.scale.membership_world import SECOND_US, JoinedWorld, Phase, region_count
from lupintack.scale.slope import Parameters, Role, Sample, deep_bytes

IDLE_FROM_S, IDLE_TO_S = 6, 14
RESTARTS_TO_S = 30
KILLS_TO_S = 44
SILENT_TO_S = 64
PHASES_S = (IDLE_FROM_S, IDLE_TO_S, RESTARTS_TO_S, KILLS_TO_S, SILENT_TO_S)
RESTARTS, KILLS, SILENT = 4, 2, 2
EVENT_INTERVAL_S = 1.0  # between two events of one kind
DATAGRAMS = 2000
DATAGRAM_BYTES = 200
ENTRY_BYTES = 700  # measured, for one entry of one router's view


class MembershipSubject:
    """Fleets of one size, one for each repeat, each with the next seed."""

    def __init__(self, parameters: Parameters) -> None:
        """Prepare runs of the size and seed of `parameters`."""
        self.size, self.seed = parameters.size, parameters.seed
        self.world: JoinedWorld | None = None
        self.socket_us = datagram_us()

    def build(self) -> JoinedWorld:
        """Return a joined fleet with its scheduled marks."""
        names = [f"n{number}" for number in range(self.size)]
        world = JoinedWorld(self.seed, self.size, script(names), region_count(self.size))
        self.seed += 1
        world.start_joined()
        world.schedule(PHASES_S)
        return world

    def sample(self) -> Sample:
        """Measure one run."""
        self.world = None  # frees the previous fleet first
        world = self.world = self.build()
        world.run_to(SILENT_TO_S * SECOND_US)
        idle, restarts, _, _ = [Phase(first, last, world) for first, last in pairwise(world.marks)]
        result = world.result
        detections = [mark.detections for mark in world.marks]
        per_restart = 1.0 / (RESTARTS * self.size)
        idle_times = restarts.seconds / idle.seconds
        details = {
            "socket_us_per_datagram": self.socket_us,
            "restart_bytes_per_router": (restarts.bytes - idle.bytes * idle_times) * per_restart,
            "restart_cpu_us_per_router": (restarts.cpu_us - idle.cpu_us * idle_times) * per_restart,
            "exchanges_per_restart": (restarts.exchanges - idle.exchanges * idle_times) / RESTARTS,
            "kill_told_p50_s": detection_s(result.detect_us[detections[2] : detections[3]], median),
            "kill_told_max_s": detection_s(result.detect_us[detections[2] : detections[3]], max),
            "silent_told_p50_s": detection_s(result.detect_us[detections[3] :], median),
            "silent_told_max_s": detection_s(result.detect_us[detections[3] :], max),
            "false_removals": float(result.false_removals),
        }
        details |= status_page(running_membership(world))
        details |= full_exchange(world, running_membership(world))
        rounded = {name: round(value, 3) for name, value in details.items()}
        return Sample(
            round(idle.cpu_us_per_s, 3), round(idle.bytes_per_s, 1), round(idle.messages_per_s, 2), rounded
        )

    def state_bytes(self) -> int:
        """Return the memory of one router's own tables."""
        assert self.world is not None
        membership = running_membership(self.world)
        return deep_bytes(
            membership.view,
            membership.state.rings,
            membership.detector.observed,
            membership.replay_filter.senders,
            membership.state.gossip.queued,
            membership.state.notifier.notified,
        )

    def close(self) -> None:
        """Free the fleet."""
        self.world = None


def running_membership(world: JoinedWorld) -> Membership:
    """Return the membership of a running router."""
    return next(host.membership for host in world.hosts.values() if isinstance(host.membership, Membership))


def status_page(membership: Membership) -> dict[str, float]:
    """Measure the answer to `lupintack fleet status`, which lists all members."""
    fleet_address = FleetAddress("n0", "site0", ("127.0.0.1", 0), "slope", "a secret of this run", (), {})
    fleet = FleetTransport(fleet_address, membership.config, 1, lambda change: None, lambda: True)
    try:
        fleet.membership = membership
        began = thread_time_ns()
        page = fleet.status_line()
        return {"status_cpu_us": (thread_time_ns() - began) / 1000, "status_bytes": float(len(page))}
    finally:
        fleet.exchanges.listener.close()  # its thread was never started
        fleet.close()


def full_exchange(world: JoinedWorld, membership: Membership) -> dict[str, float]:
    """Measure a join at the seed: decoding the request and encoding the answer with all records."""
    me = (
        membership.name,
        membership.me.start,
        membership.me.incarnation,
        int(membership.me.state),
        membership.me.site,
        membership.me.address,
    )
    request = world.codec.encode(FullState(me, 0, []))
    began = thread_time_ns()
    answer, _ = membership.on_full_state(world.codec.decode_full_state(request), world.clock.now_us)
    raw = world.codec.encode(answer)
    return {
        "exchange_cpu_us": (thread_time_ns() - began) / 1000,
        "exchange_bytes": float(len(request) + len(raw)),
    }


def detection_s(times_us: list[int], statistic: object) -> float:
    """Return the median or maximum detection time in seconds; 0 without detections."""
    if not times_us:
        return 0.0
    return (max(times_us) if statistic is max else median(times_us)) / SECOND_US


def script(names: list[str]) -> list[Fault]:
    """Return restarts, kills and vanish faults of non-seed routers, fewer in a small fleet."""
    victims = iter(names[3:])
    faults = []
    plans = (("restart", RESTARTS, IDLE_TO_S), ("kill", KILLS, RESTARTS_TO_S), ("vanish", SILENT, KILLS_TO_S))
    for kind, count, from_s in plans:
        for number in range(count):
            name = next(victims, None)
            if name is not None:
                faults.append(
                    Fault(int((from_s + number * EVENT_INTERVAL_S) * SECOND_US) + 1, kind, 0, (name,))
                )
    return faults


def datagram_us() -> float:
    """Return the processor time to send and receive one datagram, including both system calls."""
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver,
    ):
        receiver.bind(("127.0.0.1", 0))
        destination, raw = receiver.getsockname(), bytes(DATAGRAM_BYTES)
        began = thread_time_ns()
        for _ in range(DATAGRAMS):
            sender.sendto(raw, destination)
            receiver.recvfrom(2048)
        return round((thread_time_ns() - began) / 1000 / DATAGRAMS, 3)


ROLE = Role(
    name="membership",
    per="router-second, idle",
    size_label="routers",
    make=MembershipSubject,
    memory_bytes=lambda parameters: 60_000_000 + ENTRY_BYTES * parameters.size**2,
    descriptors=lambda parameters: 16,
)
