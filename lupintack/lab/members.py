"""A simulated fleet under faults drawn from a seed or read from a script, and the outcome.

Only clocks and packets are modelled. A seed gives the same run and the same hash in any process.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from lupintack.lab.fault_injection import FaultInjector
from lupintack.lab.faults import FAULT_KINDS, Fault, draw_faults
from lupintack.lab.hosts import Host, MembershipFactory, create_membership
from lupintack.lab.invariants import InvariantError
from lupintack.lab.outcome import SAMPLE_INTERVAL_US, SETTLE_US, OutcomeRecorder, Result
from lupintack.lab.simulated_fleet import SECOND, SimulatedFleet
from lupintack.membership.changes import MembershipChange
from lupintack.membership.config import MembershipConfig

ALL_KINDS = tuple(FAULT_KINDS)
DEFAULT_FAULTS_END_US = 8 * SECOND
LAUNCH_PERIOD_US = 2 * SECOND  # all routers are launched within it
MAX_DEFAULT_SITES = 8
ROUTERS_PER_SITE = 4


class World(SimulatedFleet):
    """One run of a simulated fleet, with its faults and its recorded outcome."""

    def __init__(
        self,
        seed: int,
        routers: int = 200,
        config: MembershipConfig | None = None,
        kinds: Sequence[str] = ALL_KINDS,
        script: Sequence[Fault] | None = None,
        create: MembershipFactory = create_membership,
        site_count: int = 0,
        trace: Callable[[str], None] | None = None,
    ) -> None:
        """Prepare a fleet; faults of `kinds` are drawn unless there is a `script`."""
        random = Random(seed)
        count = site_count or max(1, min(MAX_DEFAULT_SITES, routers // ROUTERS_PER_SITE))
        sites = {f"n{number}": f"site{number % count}" for number in range(routers)}
        super().__init__(random, sites, config or MembershipConfig(), create)
        self.trace = trace
        self.faults = list(script) if script is not None else draw_faults(random, self.names, sites, kinds)
        faults_end_us = max((fault.end_us() for fault in self.faults), default=DEFAULT_FAULTS_END_US)
        self.end_us = faults_end_us + SETTLE_US
        self.result = Result(seed, routers)
        self.injector = FaultInjector(self)
        self.recorder = OutcomeRecorder(self, self.injector, self.result, faults_end_us, self.log)

    def run(self) -> Result:
        """Run the simulation to its end and return the result."""
        for number, name in enumerate(self.names):
            self.clock.schedule(number * LAUNCH_PERIOD_US // len(self.names), self.launch, name)
        for fault in self.faults:
            self.clock.schedule(fault.at_us, self.inject_fault, fault)
        self.clock.schedule(SAMPLE_INTERVAL_US, self.recorder.sample_views)
        try:
            self.clock.run(self.end_us)
        except InvariantError as error:
            self.result.broken_invariant = f"{error} at {self.clock.now_us / SECOND:.3f} s"
        return self.recorder.summarize()

    def log(self, text: str) -> None:
        """Add a line to the trace."""
        if self.trace is not None:
            self.trace(f"{self.clock.now_us / SECOND:9.3f} {text}")

    def inject_fault(self, fault: Fault) -> None:
        """Log a fault and inject it."""
        targets = " ".join(fault.targets[:12])
        self.log(f"fault {fault.kind} for {fault.duration_us / SECOND} s: {targets} {fault.magnitude or ''}")
        self.injector.inject(fault)

    def on_change(self, host: Host, change: MembershipChange) -> None:
        """Record a change that a router reports to its users."""
        self.recorder.on_change(host, change)
