"""Injection of process and host faults into a simulated fleet; `network_faults` has those of the network."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from lupintack.lab.faults import Fault
from lupintack.lab.hosts import Host, Impairment
from lupintack.lab.network_faults import inject_network_fault
from lupintack.lab.simulated_fleet import SimulatedFleet
from lupintack.membership.messages import Message, MessageKind, max_message_bytes
from lupintack.membership.view import State

RESTART_US = 300_000
ROLLING_RESTART_US = 400_000
FLOOD_INTERVAL_US = 5000


class FaultInjector:
    """Injects faults and ends them after their duration; faults may overlap."""

    def __init__(self, fleet: SimulatedFleet) -> None:
        """Start without faults."""
        self.fleet = fleet
        self.clock = fleet.clock
        self.island_impairments: list[Impairment] = []
        self.islands_changed_us = 0

    def inject(self, fault: Fault) -> None:
        """Begin a fault at the current time."""
        hosts = [self.fleet.hosts[name] for name in fault.targets if name in self.fleet.hosts]
        match fault.kind:
            case "kill" | "vanish":
                for host in hosts:
                    host.is_unreachable = fault.kind == "vanish"
                    self.fleet.stop_process(host)
            case "restart":
                self._restart(hosts)
            case "leave":
                for host in hosts:
                    self.fleet.leave(host)
            case "rolling":
                self._restart_rolling(hosts, fault.duration_us)
            case "pause":
                self._pause(hosts, fault)
            case "flood":
                self.clock.schedule(self.clock.now_us, self._flood, fault.end_us())
            case "join":
                self._add_hosts(fault.targets)
            case _:
                self._impair_network(fault)

    def _restart(self, hosts: Sequence[Host]) -> None:
        for host in hosts:
            self.fleet.stop_process(host)
            self.clock.schedule(self.clock.now_us + RESTART_US, self.fleet.launch, host.name)

    def _restart_rolling(self, hosts: Sequence[Host], duration_us: int) -> None:
        for number, host in enumerate(hosts):
            at_us = self.clock.now_us + duration_us * number // max(1, len(hosts))
            self.clock.schedule(at_us, self.fleet.leave, host)
            self.clock.schedule(at_us + ROLLING_RESTART_US, self.fleet.launch, host.name)

    def _pause(self, hosts: Sequence[Host], fault: Fault) -> None:
        for host in hosts:
            host.pause_count += 1
        impairments = self._impair(fault.targets)

        def end() -> None:
            for host in hosts:
                self.fleet.resume(host)
            self._end_impairments(impairments)

        self.clock.schedule(fault.end_us(), end)

    def _add_hosts(self, names: Sequence[str]) -> None:
        fleet = self.fleet
        for name in names:
            site = fleet.random.choice(sorted({host.site for host in fleet.hosts.values()}))
            fleet.hosts[name] = Host(name, site)
            fleet.network.sites[name] = site
            fleet.launch(name)

    def _impair_network(self, fault: Fault) -> None:
        fleet = self.fleet
        sites = (host.site for host in fleet.hosts.values())
        heal = inject_network_fault(fleet.network, self.clock, fault, sites, self.set_islands)
        impaired: Sequence[str] = ()
        if fault.kind == "delay":
            impaired = fleet.names
        elif fault.kind in ("mute", "deaf"):
            impaired = fault.targets
        impairments = self._impair(impaired)

        def end() -> None:
            if heal is not None:
                heal()
            self._end_impairments(impairments)

        self.clock.schedule(fault.end_us(), end)

    def _impair(self, names: Sequence[str]) -> list[Impairment]:
        impairments = [Impairment(self.clock.now_us) for _ in names]
        for name, impairment in zip(names, impairments, strict=True):
            self.fleet.hosts[name].impairments.append(impairment)
        return impairments

    def _end_impairments(self, impairments: Sequence[Impairment]) -> None:
        for impairment in impairments:
            impairment.until_us = self.clock.now_us

    def set_islands(self, islands: dict[str, int]) -> None:
        """Replace the islands of the network; hosts outside the largest one are impaired."""
        self._end_impairments(self.island_impairments)
        self.island_impairments = []
        network, names = self.fleet.network, self.fleet.hosts
        network.islands, self.islands_changed_us = islands, self.clock.now_us
        sizes = Counter(network.island_of(name) for name in names)
        if len(sizes) > 1:
            largest = max(sizes, key=lambda island: (sizes[island], -island))
            has_majority = sizes[largest] * 2 > len(names)
            outside = [name for name in names if not has_majority or network.island_of(name) != largest]
            self.island_impairments = self._impair(outside)

    def _flood(self, until_us: int) -> None:
        """Send replays of old datagrams, and datagrams of earlier processes, to running routers."""
        fleet, now_us = self.fleet, self.clock.now_us
        host = fleet.hosts[fleet.random.choice(fleet.names)]
        other = fleet.hosts[fleet.random.choice(fleet.names)]
        if host.membership is not None and other.start:
            replay = Message(
                MessageKind.PING,
                other.name,
                other.start - fleet.random.randrange(2),
                0,
                State.ALIVE,
                other.site,
                f"{other.name}:1",
                fleet.random.randrange(1, 4),
            )
            fleet.call(host, host.membership.receive, max_message_bytes(replay), replay)
        if now_us < until_us:
            self.clock.schedule(now_us + FLOOD_INTERVAL_US, self._flood, until_us)
