"""What one SIGHUP costs a router that knows N members, and what their list costs it.

`cpu_us` is for the whole of a reload: the platform's file and the operator's read, checked, compared, and
the new settings applied in the core's turn. Each file differs from the one before it.
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
    """A router that is bound and not started: its turns run on the calling thread."""

    def __init__(self, parameters: Parameters) -> None:
        """A configuration with as many members as `parameters` has."""
        self.folder = tempfile.TemporaryDirectory()
        self.file = Path(self.folder.name) / "config.json"
        self.environ = {"EDGE_CONFIG": str(self.file)}
        self.told = configuration(parameters.size)
        self.hosts = self.told["known"]["notices"][0]["pool"]["hosts"]
        self.version = 0
        self.write()
        self.node = Node(config.load(self.environ))
        self.node.member_table.notify = self.node.core.on_endpoints_changed
        self.node.discovery.load_initial_log(self.told["known"])
        self.take_list()
        self.log = logging.getLogger("lupintack")
        self.log_level = self.log.level
        self.log.setLevel(logging.CRITICAL)

    def write(self) -> None:
        """A file that differs from the last one by a class's aim."""
        self.version += 1
        self.told["settings"]["services"][0]["aim"] = 600.0 + self.version
        self.file.write_text(json.dumps(self.told))

    def step(self) -> None:
        """One reload."""
        if not reload_files(self.node, self.environ):
            raise SlopeError("the router refused the new configuration")

    def sample(self) -> Sample:
        """One repeat."""
        spent_ns = 0
        for _ in range(RELOADS):
            self.write()
            began = thread_time_ns()
            self.step()
            spent_ns += thread_time_ns() - began
        details = {"full_list_cpu_us": self.full_list_us(), "delta_cpu_us": self.delta_us()}
        return Sample(round(spent_ns / 1000 / RELOADS, 3), self.file.stat().st_size, 1.0, details)

    def full_list_us(self) -> float:
        """Processor time of the whole list as one event."""
        return self.event_us({"pool": {"seq": 1, "whole": True, "hosts": self.hosts}})

    def delta_us(self) -> float:
        """Processor time of an event with one member's line."""
        lines = [self.hosts[number % len(self.hosts)] for number in range(DELTAS)]
        times = [self.event_us({"pool": {"seq": 1, "whole": False, "hosts": [line]}}) for line in lines]
        return round(sum(times) / DELTAS, 3)

    def event_us(self, event: dict[str, Any]) -> float:
        """Processor time of one event, from its line to the module."""
        raw = json.dumps({"rev": self.node.discovery.last_revision + 1, **event}).encode()
        began = thread_time_ns()
        self.node.discovery.process_line(raw, LineBuffer(0, SILENCE_TIMEOUT_S))
        self.take_list()
        return (thread_time_ns() - began) / 1000

    def take_list(self) -> None:
        """What the member table's own thread does."""
        while not self.node.member_table.mailbox.empty():
            update = self.node.member_table.mailbox.get_nowait()
            assert update is not None
            self.node.member_table.receive(update)

    def state_bytes(self) -> int:
        """Of the member table, the core's table and the module."""
        core = self.node.core
        return deep_bytes(
            self.node.member_table.listed_endpoints,
            self.node.member_table.usable_endpoints,
            core.member_links.endpoints,
            core.router.endpoints.by_id,
        )

    def close(self) -> None:
        """The router's sockets, and the folder."""
        self.log.setLevel(self.log_level)
        self.node.end()
        self.folder.cleanup()


def configuration(members: int) -> dict[str, Any]:
    """The platform's configuration with so many members, most of them caches of the own location."""
    told = deployment.configuration({}, "127.0.0.1:9")
    lines = [
        deployment.host_entry(f"s-{n:05}", f"10.0.{n // 250}.{n % 250 + 1}:7000") for n in range(members)
    ]
    notice = {"rev": 1, "pool": {"seq": 1, "whole": True, "hosts": lines}}
    told["known"] = {"rev": 1, "notices": [notice]}
    return copy.deepcopy(told)


ROLE = Role(
    name="reload",
    per="reload",
    size_is="members",
    make=ReloadSubject,
    memory_bytes=lambda parameters: 60_000_000 + 20_000 * parameters.size,
    descriptors=lambda parameters: 32,
)
