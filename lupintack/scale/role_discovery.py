"""Cost of a purge to the stand-in of the discovery service, by number of watchers, over loopback.

`cpu_us` is the processor time of the thread that sends one purge to all watchers; the watchers read in a
separate process. `last_s` is the time from the call until the last watcher has the line.
"""

from __future__ import annotations

import threading
import time
from time import thread_time_ns

from lupintack.scale.slope import Parameters, Role, Sample, deep_bytes
from lupintack.scale.watchers import WatcherProcess
from lupintack.standins.discovery_server import DiscoveryServer

STACK_BYTES = 256 * 1024
IDLE_S = 2.2  # at least two heartbeats
SETTLE_S = 0.05  # lets the watchers' process start waiting
OWN_DESCRIPTORS = 64


class DiscoverySubject:
    """A discovery stand-in and its watchers."""

    def __init__(self, parameters: Parameters, idle_s: float = IDLE_S) -> None:
        """`idle_s`: duration of the measurement of idle watchers; 0: none."""
        self.size = parameters.size
        self.number = 0
        stack = threading.stack_size(STACK_BYTES)
        try:
            self.discovery_server = DiscoveryServer()
            host, _, port = self.discovery_server.address.rpartition(":")
            self.watchers = WatcherProcess((host, int(port)), self.size)
        finally:
            threading.stack_size(stack)
        self.await_watchers()
        self.idle_bytes_per_s = self.watchers.idle(idle_s) if idle_s else 0.0

    def await_watchers(self) -> None:
        """Wait until the stand-in has registered all watchers."""
        while len(self.discovery_server.watchers) < self.size:
            time.sleep(0.01)

    def sample(self) -> Sample:
        """Measure one purge."""
        self.number += 1
        asset = f"{self.number:016x}"
        self.watchers.start_waiting(asset.encode())
        time.sleep(SETTLE_S)
        began_us, began = time.monotonic_ns() // 1000, thread_time_ns()
        self.discovery_server.purge(asset)
        cpu_us = (thread_time_ns() - began) / 1000
        arrivals = self.watchers.arrivals()
        details = {
            "first_s": round((arrivals.first_us - began_us) / 1e6, 4),
            "last_s": round((arrivals.last_us - began_us) / 1e6, 4),
            "missing": float(arrivals.missing),
            "idle_bytes_per_s_per_watcher": round(self.idle_bytes_per_s, 2),
        }
        return Sample(cpu_us, len(self.discovery_server.events[-1][1]), float(self.size), details)

    def state_bytes(self) -> int:
        """Return the memory of the event log, without sockets and threads."""
        return deep_bytes(self.discovery_server.events)

    def close(self) -> None:
        """End the watchers' process and the stand-in."""
        self.watchers.close()
        self.discovery_server.close()


ROLE = Role(
    name="discovery",
    per="purge to all watchers",
    size_label="watchers",
    make=DiscoverySubject,
    memory_bytes=lambda parameters: 80_000_000 + 300_000 * parameters.size,
    descriptors=lambda parameters: parameters.size + OWN_DESCRIPTORS,
)
