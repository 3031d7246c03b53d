"""Cost of a reload (SIGHUP) and of list events to a router, by number of members.

`cpu_us` is for a complete reload: the platform and operator files are read, checked and compared, and the new
settings are applied in the core's turn. Each file differs from the previous one.
"""

from __future__ import annotations

import copy
import json
import logging
import tempfile
from pathlib import Path
from time import thread_time_ns
from typing import Any

from lupintack import config
from lupintack.discovery.client import SILENCE_TIMEOUT_S
from lupintack.discovery.connection import LineBuffer
from lupintack.node import Node
from lupintack.reload import reload_files
from lupintack.scale.slope import Parameters, Role, Sample, SlopeError, deep_bytes
from lupintack.standins import deployment

RELOADS = 5  # in one repeat
DELTAS = 20


class ReloadSubject:
    """A router with bound sockets that is not started: its turns run on the calling thread."""

    def __init__(self, parameters: Parameters) -> None:
        """Create a router with as many members as the size of `parameters`."""
        self.folder = tempfile.TemporaryDirectory()
        self.file = Path(self.folder.name) / "config.json"
        self.environ = {"EDGE_CONFIG": str(self.file)}
        self.platform_config = configuration(parameters.size)
        self.hosts = self.platform_config["known"]["notices"][0]["pool"]["hosts"]
        self.version = 0
        self.write()
        self.node = Node(config.load(self.environ))
        self.node.member_table.notify = self.node.core.on_endpoints_changed
        self.node.discovery.load_initial_log(self.platform_config["known"])
        self.receive_updates()
        self.log = logging.getLogger("lupintack")
        self.log_level = self.log.level
        self.log.setLevel(logging.CRITICAL)

    def write(self) -> None:
        """Write a platform configuration that differs from the last one in a class's latency objective."""
        self.version += 1
        self.platform_config["settings"]["services"][0]["aim"] = 600.0 + self.version
        self.file.write_text(json.dumps(self.platform_config))

    def step(self) -> None:
        """Run one reload."""
        if not reload_files(self.node, self.environ):
            raise SlopeError("the router rejected the new configuration")

    def sample(self) -> Sample:
        """Measure one repeat."""
        spent_ns = 0
        for _ in range(RELOADS):
            self.write()
            began = thread_time_ns()
            self.step()
            spent_ns += thread_time_ns() - began
        details = {"full_list_cpu_us": self.full_list_us(), "delta_cpu_us": self.delta_us()}
        return Sample(round(spent_ns / 1000 / RELOADS, 3), self.file.stat().st_size, 1.0, details)

    def full_list_us(self) -> float:
        """Return the processor time of an event with the full list."""
        return self.event_us({"pool": {"seq": 1, "whole": True, "hosts": self.hosts}})

    def delta_us(self) -> float:
        """Return the mean processor time of an event with one member."""
        host_lines = [self.hosts[number % len(self.hosts)] for number in range(DELTAS)]
        times = [self.event_us({"pool": {"seq": 1, "whole": False, "hosts": [line]}}) for line in host_lines]
        return round(sum(times) / DELTAS, 3)

    def event_us(self, event: dict[str, Any]) -> float:
        """Return the processor time of one event, from its line to the decision module."""
        raw = json.dumps({"rev": self.node.discovery.last_revision + 1, **event}).encode()
        began = thread_time_ns()
        self.node.discovery.process_line(raw, LineBuffer(0, SILENCE_TIMEOUT_S))
        self.receive_updates()
        return (thread_time_ns() - began) / 1000

    def receive_updates(self) -> None:
        """Apply the queued updates, as the member table's thread does."""
        while not self.node.member_table.mailbox.empty():
            update = self.node.member_table.mailbox.get_nowait()
            assert update is not None
            self.node.member_table.receive(update)

    def state_bytes(self) -> int:
        """Return the memory of the tables of members, member links and endpoints."""
        core = self.node.core
        return deep_bytes(
            self.node.member_table.listed_endpoints,
            self.node.member_table.usable_endpoints,
            core.member_links.endpoints,
            core.router.endpoints.by_id,
        )

    def close(self) -> None:
        """Close the router's sockets and remove the folder."""
        self.log.setLevel(self.log_level)
        self.node.end()
        self.folder.cleanup()


def configuration(members: int) -> dict[str, Any]:
    """Return a platform configuration with that many members, most of them caches of the own location."""
    platform_config = deployment.configuration({}, "127.0.0.1:9")
    host_lines = [
        deployment.host_entry(f"s-{n:05}", f"10.0.{n // 250}.{n % 250 + 1}:7000") for n in range(members)
    ]
    notice = {"rev": 1, "pool": {"seq": 1, "whole": True, "hosts": host_lines}}
    platform_config["known"] = {"rev": 1, "notices": [notice]}
    return copy.deepcopy(platform_config)


ROLE = Role(
    name="reload",
    per="reload",
    size_label="members",
    make=ReloadSubject,
    memory_bytes=lambda parameters: 60_000_000 + 20_000 * parameters.size,
    descriptors=lambda parameters: 32,
)
