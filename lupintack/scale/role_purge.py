"""Cost of a purge to a router, from the discovery line to the decision module and the local cache.

The size is the number of purges in a burst. `cpu_us` is for current purges, which reach the decision module;
`missed_cpu_us` for past purges, as after a cut; `copies_cpu_us` for a router with local copies.
"""

from __future__ import annotations

import json
import time
from time import thread_time_ns

from lupintack.config import Names
from lupintack.core.actor import Core
from lupintack.core.local_cache import LocalCache
from lupintack.core.member_table import MemberTable
from lupintack.core.messages import Answer, MemberLink
from lupintack.core.table_updates import Endpoint
from lupintack.discovery.client import SILENCE_TIMEOUT_S, DiscoveryClient
from lupintack.discovery.connection import LineBuffer
from lupintack.interface import ServiceClass, Settings
from lupintack.scale.slope import Parameters, Role, Sample, deep_bytes

PURGES_PER_S = 25  # in a fleet of the planned size
PURGE_SETTLE_MS = 6000.0
COPY_BYTES = 10_000
COPIES = 2_000  # local copies of that size: about the capacity of 168 MB of memory
COPY_PURGES = 100  # in one repeat with local copies
LINK_BYTES_PER_S = 1e9


class PurgeReader:
    """Discovery client, member table and core of one router, run on the calling thread."""

    def __init__(self, seed: int, copies: int = 0) -> None:
        """Create a router with `copies` local copies."""
        settings = Settings(
            classes=(ServiceClass(name="a", deadline_ms=5000.0),), purge_settle_ms=PURGE_SETTLE_MS
        )
        self.member_table = MemberTable(settings.purge_settle_ms)
        self.copies = LocalCache((COPY_BYTES + 600) * 4 * copies, LINK_BYTES_PER_S) if copies else None
        self.core = Core(settings, seed, self.member_table, no_connection, self.copies)
        self.member_table.notify = self.core.on_endpoints_changed
        self.line_buffer = LineBuffer(0, SILENCE_TIMEOUT_S)
        self.discovery = DiscoveryClient(None, Names(("a",), ("z",), ("box",), ()), self.member_table, seed)
        issued_ms = int(time.time() * 1000)
        for number in range(copies):
            answer = Answer(body=bytes(COPY_BYTES), issued_ms=issued_ms)
            assert self.copies is not None
            self.copies.put((-1 - number, 0), 0, answer)

    def read(self, raw: bytes) -> None:
        """Process one line of discovery completely."""
        self.discovery.process_line(raw, self.line_buffer)
        update = self.member_table.mailbox.get_nowait()
        assert update is not None
        self.member_table.receive(update)


class PurgeSubject:
    """Measures purges in a burst of one size."""

    def __init__(self, parameters: Parameters) -> None:
        """Create a router without purges."""
        self.size, self.seed = parameters.size, parameters.seed
        self.reader = PurgeReader(self.seed)

    def sample(self) -> Sample:
        """Measure one repeat, with three separate routers."""
        now_lines, missed_lines = purge_lines(self.size, 0.0), purge_lines(self.size, 1000.0 / PURGES_PER_S)
        self.reader = PurgeReader(self.seed)
        now_us = purge_cpu_us(self.reader, now_lines)
        missed = PurgeReader(self.seed)
        missed_us = purge_cpu_us(missed, missed_lines)
        details = {
            "all_s": round(now_us * self.size / 1e6, 3),
            "missed_cpu_us": missed_us,
            "missed_all_s": round(missed_us * self.size / 1e6, 3),
            "missed_floor_binds_all": float(missed.member_table.purge_memory.last_purge_of_all > 0),
            "missed_at_module": float(len(missed.core.router.purges.purge_times)),
            "floor_binds_all": float(self.reader.member_table.purge_memory.last_purge_of_all > 0),
            "module_floor_binds_all": float(self.reader.core.router.purges.floor_ms > 0),
            "copies_cpu_us": purge_cpu_us(PurgeReader(self.seed, COPIES), purge_lines(COPY_PURGES, 0.0)),
        }
        return Sample(now_us, sum(map(len, now_lines)) / self.size, 1.0, details)

    def state_bytes(self) -> int:
        """Return the memory of both purge tables."""
        return deep_bytes(
            self.reader.member_table.purge_memory.purges, self.reader.core.router.purges.purge_times
        )

    def close(self) -> None:
        """Do nothing: no resources are open."""


def purge_cpu_us(reader: PurgeReader, raw_lines: list[bytes]) -> float:
    """Return the mean processor time of one purge over all lines."""
    began = thread_time_ns()
    for raw in raw_lines:
        reader.read(raw)
    return round((thread_time_ns() - began) / 1000 / len(raw_lines), 3)


def purge_lines(count: int, interval_ms: float) -> list[bytes]:
    """Return discovery lines with purges of distinct objects, `interval_ms` apart, the last one now."""
    now_ms = int(time.time() * 1000)
    raw_lines = []
    for number in range(1, count + 1):
        purge_ms = int(now_ms - (count - number) * interval_ms)
        flush = {"asset": f"{number:016x}", "ms": purge_ms}
        raw_lines.append(json.dumps({"rev": number, "flush": flush}).encode())
    return raw_lines


def no_connection(number: int, host: Endpoint) -> MemberLink:
    """Raise AssertionError: no request is sent in this measurement."""
    raise AssertionError(f"unexpected connection to {host.name}")


ROLE = Role(
    name="purge",
    per="purge",
    size_label="purges in a burst",
    make=PurgeSubject,
    memory_bytes=lambda parameters: 120_000_000 + 1_200 * parameters.size,
)
