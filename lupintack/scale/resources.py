"""Checks before a run starts that the machine has enough memory, processes and descriptors for it."""

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
DESCRIPTORS_PER_ROUTER = 5  # datagram socket, listener, its selector, discovery socket, name lock
DESCRIPTORS_PER_PROCESS = 64  # standard streams, libraries, and a reserve for short-lived exchanges
EXCHANGES_PER_ROUTER = 2  # additional, on average, at peak load

# Bytes of memory, slightly above measurements with 50, 100 and 200 routers, and 1,000 and 3,000 records
COORDINATOR_BYTES = 32 * MIB
HOLLOW_PROCESS_BYTES = 28 * MIB
HOLLOW_ROUTER_BYTES = 120 * 1024
RECORD_BYTES = 700  # of one router in the tables of another
DISCOVERY_PROCESS_BYTES = 28 * MIB
WATCHER_BYTES = 32 * 1024
REAL_PROCESS_BYTES = 45 * MIB


@dataclass(frozen=True, slots=True)
class Machine:
    """Resources of a machine."""

    cores: int
    memory_bytes: int
    descriptors: int

    @staticmethod
    def here() -> Machine:
        """Return the resources of this machine, as reported by the kernel."""
        line = next(x for x in Path("/proc/meminfo").read_text().splitlines() if x.startswith("MemTotal:"))
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        return Machine(len(os.sched_getaffinity(0)), int(line.split()[1]) * 1024, soft)


@dataclass(frozen=True, slots=True)
class Processes:
    """The number of processes of each kind in a run."""

    hollow: int
    discovery: int
    real: int

    @property
    def total(self) -> int:
        """The number of all processes, including the coordinator."""
        return self.hollow + self.discovery + self.real + 1


def plan_processes(size: FleetSize, hollow: int, real: int, machine: Machine) -> Processes:
    """Plan the processes of a run; `hollow`: the requested number, 0 for a default by the machine."""
    default_count = min(PROCESSES_PER_CORE * machine.cores, -(-size.routers // MIN_ROUTERS_PER_PROCESS))
    return Processes(
        min(hollow or default_count, size.routers), -(-size.routers // WATCHERS_PER_DISCOVERY), real
    )


def estimate_memory(size: FleetSize, processes: Processes) -> int:
    """Estimate the memory of all processes of a run, in bytes."""
    per_router = HOLLOW_ROUTER_BYTES + RECORD_BYTES * size.routers + WATCHER_BYTES
    fixed = (
        COORDINATOR_BYTES
        + processes.hollow * HOLLOW_PROCESS_BYTES
        + processes.discovery * DISCOVERY_PROCESS_BYTES
    )
    return fixed + size.routers * per_router + processes.real * REAL_PROCESS_BYTES


def estimate_descriptors(size: FleetSize, processes: Processes) -> int:
    """Estimate the descriptors of the process that needs the most."""
    routers = -(-size.routers // processes.hollow)
    hollow = DESCRIPTORS_PER_PROCESS + routers * (DESCRIPTORS_PER_ROUTER + EXCHANGES_PER_ROUTER)
    discovery = DESCRIPTORS_PER_PROCESS + WATCHERS_PER_DISCOVERY
    coordinator = DESCRIPTORS_PER_PROCESS + 2 * processes.total
    return max(hollow, discovery, coordinator)


def check(size: FleetSize, processes: Processes, machine: Machine) -> None:
    """Raise ScaleError if the machine lacks the resources for the run."""
    if processes.total > MAX_PROCESSES:
        raise ScaleError(f"processes: {processes.total} would run, at most {MAX_PROCESSES} are allowed")
    needed, allowed = estimate_memory(size, processes), min(MAX_MEMORY_BYTES, machine.memory_bytes // 2)
    if needed > allowed:
        raise ScaleError(f"memory: about {needed // MIB} MiB are needed, {allowed // MIB} MiB are allowed")
    descriptors = estimate_descriptors(size, processes)
    if descriptors > machine.descriptors:
        raise ScaleError(
            f"descriptors: a process would need {descriptors}, the limit is {machine.descriptors} (ulimit -n)"
        )
