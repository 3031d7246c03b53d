"""Outcome of a simulation: false and missed removals, detection times, agreement of views, bytes sent."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from lupintack.lab.fault_injection import FaultInjector
from lupintack.lab.hosts import Host
from lupintack.lab.simulated_fleet import JOINED_BY_US, SECOND, SimulatedFleet
from lupintack.membership.changes import MembershipChange
from lupintack.membership.state_machine import Membership

SETTLE_US = 16 * SECOND  # after the end of the last fault
MIN_EXCUSED_IMPAIRMENT_US = 5 * SECOND  # a host that was impaired for longer may be removed
EXCUSE_AFTER_US = 14 * SECOND  # a host may still be removed for this long after such an impairment
EXCUSE_AFTER_LAUNCH_US = 3 * SECOND
MAX_IMPAIRMENT_GAP_US = SECOND  # impairments that are closer are counted as one
SAMPLE_INTERVAL_US = 250_000


@dataclass(slots=True)
class Result:
    """The figures of one run."""

    seed: int
    routers: int
    false_removals: int = 0
    missed: int = 0
    surplus_views: int = 0
    detect_us: list[int] = field(default_factory=list)  # from a crash to its report by each router
    agree_us: int = -1  # from the end of the last fault until all views are equal and stay so
    bytes_per_s: float = 0.0
    changes: int = 0  # of the router that reported the most changes
    hash: str = ""
    broken_invariant: str = ""
    false_removal_texts: list[str] = field(default_factory=list)


class OutcomeRecorder:
    """Classifies each reported change of a fleet, and samples whether the views agree."""

    def __init__(
        self,
        fleet: SimulatedFleet,
        injector: FaultInjector,
        result: Result,
        faults_end_us: int,
        log: Callable[[str], None],
    ) -> None:
        """Record into `result`; `log` writes a line of the trace."""
        self.fleet = fleet
        self.injector = injector
        self.result = result
        self.faults_end_us = faults_end_us
        self.log = log
        self.digest = hashlib.blake2b(digest_size=8)
        self.agreed_since_us = -1

    def on_change(self, host: Host, change: MembershipChange) -> None:
        """Record a change that a router reports to its users, and classify its removals."""
        now_us = self.fleet.clock.now_us
        joined, removed = change.joined, change.removed
        members = {member.name for member in change.members}
        host.changes += 1
        self.digest.update(f"{now_us} {host.name} {sorted(joined)} {sorted(removed)}".encode())
        self.log(
            f"{host.name} reports: {len(members)} members, "
            f"joined {list(joined)[:6]}, removed {list(removed)[:6]}"
        )
        previously_notified = host.notified
        starts: dict[str, int] = {}
        if isinstance(host.membership, Membership):
            starts = host.membership.state.notifier.notified
        host.notified = {name: starts.get(name, 0) for name in members}
        for name in (*removed, *(name for name in joined if name in previously_notified)):
            self._classify(host, name, previously_notified.get(name, 0), name in removed)

    def _classify(self, host: Host, name: str, start: int, is_removed: bool) -> None:
        """Record the removal or replacement of a process as a detection or a false removal."""
        now_us = self.fleet.clock.now_us
        other = self.fleet.hosts.get(name)
        if other is None:
            return
        ended_us = other.ended_us.get(start)
        if ended_us is not None and host.launched_us < ended_us:
            if not self.is_excused(host):
                self.result.detect_us.append(now_us - ended_us)
        elif ended_us is None and is_removed and other.is_up:
            is_forbidden = self.in_minority_island(host) and not other.pause_count
            if is_forbidden or not (self.is_excused(other) or self.is_excused(host)):
                self.result.false_removals += 1
                self.result.false_removal_texts.append(f"{now_us / SECOND:.2f} s: {name} at {host.name}")
                self.log(f"FALSE removal of {name} at {host.name}")

    def in_minority_island(self, host: Host) -> bool:
        """Return whether a router's island has at most half of the routers: it must not remove any then."""
        network = self.fleet.network
        islands_age_us = self.fleet.clock.now_us - self.injector.islands_changed_us
        if not network.islands or islands_age_us < MIN_EXCUSED_IMPAIRMENT_US:
            return False
        island = network.island_of(host.name)
        names = [name for name, other in self.fleet.hosts.items() if other.is_up]
        return sum(network.island_of(name) == island for name in names) * 2 <= len(names)

    def is_excused(self, host: Host) -> bool:
        """Return whether a recent long impairment, or a recent launch, excuses removals of or by a host."""
        now_us = self.fleet.clock.now_us
        spans = sorted(
            (impairment.from_us, now_us if impairment.until_us is None else impairment.until_us)
            for impairment in host.impairments
        )
        begin_us, end_us = 0, -math.inf
        for from_us, until_us in spans:
            if from_us > end_us + MAX_IMPAIRMENT_GAP_US:
                begin_us = from_us
            end_us = max(end_us, until_us)
            length_us = int(end_us) - begin_us
            if length_us > MIN_EXCUSED_IMPAIRMENT_US and now_us - end_us < EXCUSE_AFTER_US:
                return True
        return now_us - host.launched_us < EXCUSE_AFTER_LAUNCH_US

    def sample_views(self) -> None:
        """Record since when the views of all running routers are equal."""
        fleet = self.fleet
        if fleet.clock.now_us >= self.faults_end_us:
            if len({fleet.view_id(host) for host in fleet.running()}) > 1:
                self.agreed_since_us = -1
            elif self.agreed_since_us < 0:
                self.agreed_since_us = fleet.clock.now_us
        fleet.clock.schedule(fleet.clock.now_us + SAMPLE_INTERVAL_US, self.sample_views)

    def summarize(self) -> Result:
        """Complete and return the result."""
        fleet, result, now_us = self.fleet, self.result, self.fleet.clock.now_us
        running, hosts = fleet.running(), fleet.hosts
        for host in running:
            for name, start in host.notified.items():
                ended_us = hosts[name].ended_us.get(start)
                result.missed += ended_us is not None and now_us - ended_us > SETTLE_US - SECOND
        result.surplus_views = len({fleet.view_id(host) for host in running}) - 1
        if self.agreed_since_us >= 0:
            result.agree_us = max(0, self.agreed_since_us - self.faults_end_us)
        sent_bytes = sum(host.sent_bytes for host in hosts.values())
        seconds = max(1e-6, (now_us - JOINED_BY_US) / SECOND)
        result.bytes_per_s = sent_bytes / max(1, len(hosts)) / seconds
        result.changes = max((host.changes for host in hosts.values()), default=0)
        result.hash = self.digest.hexdigest()
        return result
