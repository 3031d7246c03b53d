"""Simulated fleets with budgets on a virtual clock.

Each process's clock has its own rate, faults are drawn from seeds, and the invariant is checked whenever the
sum of all leases can grow.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Sequence
from dataclasses import replace
from random import Random
from typing import Any

from lupintack.budgets.hierarchy import Level
from lupintack.budgets.invariant import BudgetState, single_level, violations
from lupintack.budgets.node import Actions, BudgetNode
from lupintack.budgets.terms import MILLION, Terms
from lupintack.lab.budget_hosts import Host, Node
from lupintack.lab.budget_results import SECOND_US, Result
from lupintack.lab.clock import VirtualClock
from lupintack.lab.faults import Fault, draw_faults
from lupintack.lab.network import Network
from lupintack.lab.network_faults import inject_network_fault

FAULT_KINDS = (
    "kill",
    "restart",
    "rolling",
    "pause",
    "loss",
    "delay",
    "double",
    "oneway",
    "mute",
    "deaf",
    "site",
    "halves",
    "islands",
    "flap",
    "divider",
)
SETTLE_US = 22 * SECOND_US  # after the last fault
SAMPLE_INTERVAL_US = 250_000
VOTER_COUNT = 5
START_US = 14 * SECOND_US  # by then the first tenure's wait for earlier leases is over
FAULT_DELAY_US = 12 * SECOND_US  # added to the time of each drawn fault


class World:
    """One run of a simulated fleet with budgets."""

    def __init__(
        self,
        seed: int,
        routers: int = 200,
        terms: Terms | None = None,
        kinds: Sequence[str] = FAULT_KINDS,
        totals: Sequence[int] = (2000, 60),
        script: Sequence[Fault] | None = None,
        node_class: type[BudgetNode] = BudgetNode,
    ) -> None:
        """Prepare a run of `routers` hosts, with faults drawn from `seed` unless a script is given."""
        self.totals, self.node_class = tuple(totals), node_class
        names = [f"n{n}" for n in range(routers)]
        site_count = max(1, min(8, routers // 3))
        sites = {name: f"site{n % site_count}" for n, name in enumerate(names)}
        self.voters = names[:VOTER_COUNT] if routers >= VOTER_COUNT else names[:3]
        self.set_up(seed, sites, terms or Terms())
        self.plan_faults(kinds, script)

    def set_up(self, seed: int, site_by_name: dict[str, str], terms: Terms) -> None:
        """Create the hosts at their sites, each with its own clock, and the network between them."""
        self.random = Random(seed)
        self.clock = VirtualClock()
        self.terms = terms
        self.network = Network(self.random, site_by_name)
        drift = terms.drift_ppm / MILLION
        self.hosts = {
            name: Host(
                name,
                site_by_name[name],
                self.random.randrange(1 << 40),
                self.random.choice((1.0 - drift, 1.0, 1.0 + drift)),
            )
            for name in site_by_name
        }
        self.result = Result(seed, len(site_by_name))
        self.digest = hashlib.blake2b(digest_size=8)

    def plan_faults(self, kinds: Sequence[str], script: Sequence[Fault] | None) -> None:
        """Use the faults of the script, or draw faults of these kinds, and set when the run ends."""
        if script is not None:
            self.faults = list(script)
        else:
            self.faults = [
                replace(drawn, at_us=drawn.at_us + FAULT_DELAY_US) for drawn in self.draw_faults(kinds)
            ]
        self.faults_end_us = max((fault.end_us() for fault in self.faults), default=8 * SECOND_US)
        self.faults_begin_us = min((fault.at_us for fault in self.faults), default=8 * SECOND_US)
        self.end_us = self.faults_end_us + SETTLE_US

    def draw_faults(self, kinds: Sequence[str]) -> list[Fault]:
        """Return faults drawn from the seed, before FAULT_DELAY_US is added to their times."""
        other_kinds = [kind for kind in kinds if kind != "divider"]
        faults = draw_faults(self.random, list(self.hosts), self.network.sites, other_kinds)
        if "divider" in kinds:
            at = 8 * SECOND_US + self.random.randrange(10 * SECOND_US)
            faults.append(Fault(at, "divider", 30 * SECOND_US if self.random.random() < 0.3 else 0))
        return faults

    def run(self) -> Result:
        """Run the simulation to its end and return the result."""
        for name in self.hosts:
            self.launch(name)
        for fault in self.faults:
            self.clock.schedule(fault.at_us, self.begin_fault, fault)
        self.clock.schedule(START_US, self.sample)
        self.clock.run(self.end_us)
        self.result.has_voter_majority = self.can_elect()
        self.result.hash = self.digest.hexdigest()
        return self.result

    def can_elect(self) -> bool:
        """Return whether a majority of the voters is alive."""
        return self.has_live_majority(self.voters)

    def has_live_majority(self, names: Sequence[str]) -> bool:
        """Return whether more than half of these hosts have a process."""
        return sum(self.hosts[name].node is not None for name in names) * 2 > len(names)

    # Processes

    def launch(self, name: str) -> None:
        """Start a process; with a probability of 0.25 its stored promises are lost."""
        host = self.hosts[name]
        host.starts += 1
        now = host.local_us(self.clock.now_us)
        if self.random.random() < 0.25:
            host.stored_promises = {}
        host.node = self.make_node(host, Random(self.random.getrandbits(64)), now)
        host.lease_amounts, host.lease_ends_us, host.starved_since_us = (), 0.0, self.clock.now_us
        self.draw_demand(host)
        self.schedule_tick(host)

    def make_node(self, host: Host, random: Random, now: int) -> Node:
        """Return the budget node of a process that starts now."""
        stored = host.stored_promises.get(Level.FLEET)
        return self.node_class(
            host.name, host.starts, self.voters, self.totals, self.terms, random, now, stored
        )

    def draw_demand(self, host: Host) -> None:
        """Set a demand of 2, 4 or 20 times an equal share, so that demand moves between hosts."""
        assert host.node is not None
        host.node.set_demand(
            [total * self.random.choice((2, 4, 20)) // len(self.hosts) + 1 for total in self.totals]
        )

    def kill(self, host: Host) -> None:
        """End a process without a graceful shutdown."""
        host.node, host.inbox, host.lease_amounts, host.lease_ends_us = None, [], (), 0.0

    def call_node(self, host: Host, node: Node, method: Callable[..., Any], *arguments: Any) -> None:
        """Call a process's node, or queue the call while the process is paused."""
        if host.node is not node:
            return
        if host.pause_count:
            if len(host.inbox) < 500:
                host.inbox.append((method, arguments))
            return
        self.perform(host, method(*arguments, host.local_us(self.clock.now_us)))
        self.record_lease(host, node)
        self.schedule_tick(host)

    def perform(self, host: Host, actions: Actions) -> None:
        """Perform the actions of a call; the promise is stored before any message is sent."""
        if actions.promise is not None:
            host.stored_promises[Level.FLEET] = actions.promise
        for to, message in actions.sends:
            self.send(host, to, message)
        for event, detail in actions.events:
            self.record_event(host, event, detail)

    def record_event(self, host: Host, event: str, detail: str) -> None:
        """Add an event to the run's figures and hash."""
        self.result.epochs += event == "won"
        self.digest.update(f"{self.clock.now_us} {host.name} {event} {detail}".encode())

    def schedule_tick(self, host: Host) -> None:
        """Schedule a process's next tick."""
        node = host.node
        if node is not None and host.planned_tick_us != node.wake_us:
            host.planned_tick_us = node.wake_us
            if node.wake_us < 1 << 61:
                self.clock.schedule(host.true_us(node.wake_us), self.tick, host, node, node.wake_us)

    def tick(self, host: Host, node: Node, planned_us: int) -> None:
        """Tick a process, unless another tick has been scheduled since or the process is paused."""
        if host.node is node and host.planned_tick_us == planned_us:
            if host.pause_count:
                return
            host.planned_tick_us = -1
            if self.random.random() < 0.1:
                self.draw_demand(host)
            self.call_node(host, node, node.tick)

    def send(self, host: Host, to: str, *arguments: Any) -> None:
        """Send a message; `arguments` are those of the node's `receive` between the sender and the time."""
        self.result.messages += 1
        other = self.hosts[to]
        for delay_us in self.network.delivery_delays(host.name, to):
            self.clock.schedule(self.clock.now_us + delay_us, self.deliver, other, host.name, *arguments)

    def deliver(self, host: Host, sender: str, *arguments: Any) -> None:
        """Deliver a message to the host's current process, if any."""
        if host.node is not None:
            self.call_node(host, host.node, host.node.receive, sender, *arguments)

    # Invariant and samples

    def record_lease(self, host: Host, node: Node) -> None:
        """Record a process's lease and check the invariant if it changed: only accepted grants raise sums."""
        now = host.local_us(self.clock.now_us)
        lease_amounts = node.leased_amounts(now)
        lease_ends_us = (
            float((node.holder.until_us - host.clock_offset_us) / host.clock_rate)
            if any(lease_amounts)
            else 0.0
        )
        if lease_amounts == host.lease_amounts and lease_ends_us == host.lease_ends_us:
            return
        host.lease_amounts, host.lease_ends_us = lease_amounts, lease_ends_us
        if all(lease_amounts):
            host.starved_since_us = -1
        self.digest.update(f"{host.name} {lease_amounts}".encode())
        self.check_invariant()

    def check_invariant(self) -> None:
        """Count the invariant's current violations, and keep the texts of the first five."""
        for violation in violations(self.budget_state()):
            self.result.violation_count += 1
            if len(self.result.violations) < 5:
                self.result.violations.append(f"{self.clock.now_us / SECOND_US:.3f} s: {violation}")

    def hosts_with_lease(self) -> list[Host]:
        """Return the hosts with a process, running or paused, whose lease has not expired."""
        now = self.clock.now_us
        return [host for host in self.hosts.values() if host.node is not None and now < host.lease_ends_us]

    def budget_state(self) -> BudgetState:
        """Return all unexpired leases."""
        return single_level(self.totals, [host.lease_amounts for host in self.hosts_with_lease()])

    def leased_share(self) -> float:
        """Return the share of the first budget that is leased now."""
        return sum(host.lease_amounts[0] for host in self.hosts_with_lease()) / self.totals[0]

    def sample(self) -> None:
        """Sample the leased share, and schedule the next sample."""
        now = self.clock.now_us
        share = self.leased_share()
        self.result.leased_shares.append(share)
        if now < self.faults_begin_us:
            self.result.calm_leased_shares.append(share)
        if now >= self.faults_end_us:
            if share < 0.9:
                self.result.converge_us = -1
            elif self.result.converge_us < 0:
                self.result.converge_us = now - self.faults_end_us
        if now > self.faults_end_us:
            for host in self.hosts.values():
                if host.node is not None and host.node.leased_amounts(host.local_us(now))[0] == 0:
                    host.starved_since_us = now if host.starved_since_us < 0 else host.starved_since_us
                    since = max(host.starved_since_us, self.faults_end_us)
                    self.result.starved_us = max(self.result.starved_us, now - since)
                else:
                    host.starved_since_us = -1
        self.clock.schedule(now + SAMPLE_INTERVAL_US, self.sample)

    # Faults

    def begin_fault(self, fault: Fault) -> None:
        """Begin a fault."""
        now = self.clock.now_us
        hosts = [self.hosts[name] for name in fault.targets if name in self.hosts]
        match fault.kind:
            case "kill":
                for host in hosts:
                    self.kill(host)
            case "restart" | "rolling":
                for n, host in enumerate(hosts):
                    at = now + fault.duration_us * n // max(1, len(hosts))
                    self.clock.schedule(at, self.stop, host, fault.kind == "rolling")
                    self.clock.schedule(at + 300_000, self.launch, host.name)
            case "divider":
                self.disrupt([host for host in self.hosts.values() if self.allocates(host)], fault)
            case "pause":
                self.pause(hosts, fault.end_us())
            case _:
                sites = (host.site for host in self.hosts.values())
                restore = inject_network_fault(self.network, self.clock, fault, sites, self.set_islands)
                if restore is not None:
                    self.clock.schedule(fault.end_us(), restore)

    def allocates(self, host: Host) -> bool:
        """Return whether this process is the fleet's allocator or still acts as one after its term."""
        return isinstance(host.node, BudgetNode) and host.node.allocator is not None

    def disrupt(self, hosts: Sequence[Host], fault: Fault) -> None:
        """Pause processes for the fault's duration; without one, kill and restart them two seconds later."""
        if fault.duration_us:
            self.pause(hosts, fault.end_us())
            return
        for host in hosts:
            self.kill(host)
            self.clock.schedule(self.clock.now_us + 2 * SECOND_US, self.launch, host.name)

    def stop(self, host: Host, leaving: bool) -> None:
        """End a process, with a graceful shutdown or without."""
        if host.node is not None and leaving and not host.pause_count:
            self.call_node(host, host.node, host.node.leave)
        self.kill(host)

    def pause(self, hosts: Sequence[Host], until_us: int) -> None:
        """Pause processes until `until_us`."""
        for host in hosts:
            host.pause_count += 1
            self.clock.schedule(until_us, self.resume, host)

    def resume(self, host: Host) -> None:
        """End one pause of a process; after the last one, run the calls queued meanwhile."""
        host.pause_count -= 1
        if host.pause_count or host.node is None:
            return
        node, inbox, host.inbox, host.planned_tick_us = host.node, host.inbox, [], -1
        if self.random.random() < 0.5:
            self.call_node(host, node, node.tick)
        for method, arguments in inbox:
            self.call_node(host, node, method, *arguments)
        self.call_node(host, node, node.tick)

    def set_islands(self, islands: dict[str, int]) -> None:
        """Set the islands into which the hosts are partitioned."""
        self.network.islands = islands
