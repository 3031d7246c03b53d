"""What a scale run needs of the machine, and whether it has that: asked before anything is started."""

from __future__ import annotations

import os
import resource
from dataclasses import dataclass
from pathlib import Path

from lupintack.scale.hollow_plan import FleetSize, ScaleError

MIB = 1 << 20
MAX_PROCESSES = 200
MAX_MEMORY_BYTES = 10 << 30
MIN_ROUTERS_PER_PROCESS = 10
PROCESSES_PER_CORE = 2
WATCHERS_PER_DISCOVERY = 500

# Descriptors
DESCRIPTORS_PER_ROUTER = 5  # datagrams, listener, its selector, discovery, the lock of its name
DESCRIPTORS_PER_PROCESS = 64  # standard streams, libraries, and room for exchanges that come and go
EXCHANGES_PER_ROUTER = 2  # beyond those, on average, at the busiest moment

# Memory in bytes, a little over what runs of 50, 100 and 200 took, and tables of 1,000 and 3,000 records
COORDINATOR_BYTES = 32 * MIB
HOLLOW_PROCESS_BYTES = 28 * MIB
HOLLOW_ROUTER_BYTES = 120 * 1024
RECORD_BYTES = 700  # of one other router at one router
DISCOVERY_PROCESS_BYTES = 28 * MIB
WATCHER_BYTES = 32 * 1024
REAL_PROCESS_BYTES = 45 * MIB


@dataclass(frozen=True, slots=True)
class Machine:
    """What the machine allows."""

    cores: int
    memory_bytes: int
    descriptors: int

    @staticmethod
    def here() -> Machine:
        """This machine, as the kernel tells it."""
        line = next(x for x in Path("/proc/meminfo").read_text().splitlines() if x.startswith("MemTotal:"))
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        return Machine(len(os.sched_getaffinity(0)), int(line.split()[1]) * 1024, soft)


@dataclass(frozen=True, slots=True)
class Processes:
    """How many processes of each kind a run starts."""

    hollow: int
    discovery: int
    real: int

    @property
    def total(self) -> int:
        """All, the coordinator among them."""
        return self.hollow + self.discovery + self.real + 1


def plan_processes(size: FleetSize, hollow: int, real: int, machine: Machine) -> Processes:
    """The processes of a run; `hollow`: as wanted, 0 for what suits the machine."""
    default_count = min(PROCESSES_PER_CORE * machine.cores, -(-size.routers // MIN_ROUTERS_PER_PROCESS))
    return Processes(
        min(hollow or default_count, size.routers), -(-size.routers // WATCHERS_PER_DISCOVERY), real
    )


def estimate_memory(size: FleetSize, processes: Processes) -> int:
    """Bytes that all processes of a run will take."""
    per_router = HOLLOW_ROUTER_BYTES + RECORD_BYTES * size.routers + WATCHER_BYTES
    fixed = (
        COORDINATOR_BYTES
        + processes.hollow * HOLLOW_PROCESS_BYTES
        + processes.discovery * DISCOVERY_PROCESS_BYTES
    )
    return fixed + size.routers * per_router + processes.real * REAL_PROCESS_BYTES


def estimate_descriptors(size: FleetSize, processes: Processes) -> int:
    """Descriptors of the process that needs most."""
    routers = -(-size.routers // processes.hollow)
    hollow = DESCRIPTORS_PER_PROCESS + routers * (DESCRIPTORS_PER_ROUTER + EXCHANGES_PER_ROUTER)
    discovery = DESCRIPTORS_PER_PROCESS + WATCHERS_PER_DISCOVERY
    coordinator = DESCRIPTORS_PER_PROCESS + 2 * processes.total
    return max(hollow, discovery, coordinator)


def check(size: FleetSize, processes: Processes, machine: Machine) -> None:
    """Raise ScaleError where the machine does not allow the run."""
    if processes.total > MAX_PROCESSES:
        raise ScaleError(f"processes: {processes.total} would run, at most {MAX_PROCESSES} may")
    needed, allowed = estimate_memory(size, processes), min(MAX_MEMORY_BYTES, machine.memory_bytes // 2)
    if needed > allowed:
        raise ScaleError(f"memory: about {needed // MIB} MiB would be taken, {allowed // MIB} MiB may be")
    descriptors = estimate_descriptors(size, processes)
    if descriptors > machine.descriptors:
        raise ScaleError(
            f"descriptors: a process would need {descriptors}, and may open {machine.descriptors} (ulimit -n)"
        )
