"""Processor time of one router process for a request, by the size of the answer, over real connections.

    python -m lupintack.scale.request_path [--sizes 1000,50000,235000] [--repeats 5] [--seconds 3]

Clients and stand-in caches share the process of this program; only the router process is counted (its user
and system time by the kernel, less its idle pace). One JSON line a size. Size 0: no requests, the idle pace
itself, in microseconds a second.
"""

from __future__ import annotations

import json
import os
import statistics
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import click

from lupintack.scale.slope import REPEATS
from lupintack.standins.fleet import SIZES, Fleet, Terms
from lupintack.standins.processes import Load, Processes

CLIENTS = 16
CLASS = "map-tiles"  # what the clients ask for
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
IDLE_S = 2.0


class Spent(NamedTuple):
    """One repeat."""

    cpu_us: float  # a request
    requests_per_s: float
    core: float  # of one core in use, in the mean
    other: int  # requests that ended otherwise than with 200


def cpu_s(process: int) -> float:
    """User and system time of a process so far."""
    fields = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_kib(process: int) -> int:
    """Resident memory."""
    lines = Path(f"/proc/{process}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS:"))


def play(where: tuple[str, int], process: int, seconds: float, idle_core: float) -> Spent:
    """Clients for so long, and what the router spent on each request."""
    began, before = time.monotonic(), cpu_s(process)
    load = Load(where, CLIENTS)
    time.sleep(seconds)
    outcomes = load.stop()
    took = time.monotonic() - began
    busy = cpu_s(process) - before - idle_core * took
    served = outcomes.get("200", 0)
    return Spent(busy * 1e6 / max(1, served), served / took, busy / took, sum(outcomes.values()) - served)


def idle(repeats: int, seconds: float) -> dict[str, float]:
    """A router process that nobody asks for anything."""
    with tempfile.TemporaryDirectory() as folder:
        site = Processes(Path(folder))
        try:
            router, _ = site.start()
            time.sleep(IDLE_S)
            found = [idle_us(router.pid, seconds) for _ in range(repeats)]
            resident = resident_kib(router.pid)
        finally:
            site.close()
    return {
        "body_bytes": 0,
        "cpu_us": round(statistics.median(found)),
        "cpu_us_min": round(min(found)),
        "cpu_us_max": round(max(found)),
        "repeats": repeats,
        "rss_kib": resident,
    }


def idle_us(process: int, seconds: float) -> float:
    """Processor time of a second, over some."""
    began, before = time.monotonic(), cpu_s(process)
    time.sleep(seconds)
    return (cpu_s(process) - before) * 1e6 / (time.monotonic() - began)


def measure(size: int, repeats: int, seconds: float) -> dict[str, float]:
    """All repeats of one size of answers, on one router process."""
    with tempfile.TemporaryDirectory() as folder:
        site = Processes(Path(folder), fleet=Fleet(Terms(sizes=SIZES | {CLASS: size})))
        try:
            router, _ = site.start()
            time.sleep(0.5)
            before = cpu_s(router.pid)
            time.sleep(IDLE_S)
            idle_core = (cpu_s(router.pid) - before) / IDLE_S
            play(site.listen, router.pid, seconds / 2, idle_core)  # copies and connections are there then
            found = [play(site.listen, router.pid, seconds, idle_core) for _ in range(repeats)]
            resident = resident_kib(router.pid)
        finally:
            site.close()
    times = [one.cpu_us for one in found]
    return {
        "body_bytes": size,
        "cpu_us": round(statistics.median(times), 1),
        "cpu_us_min": round(min(times), 1),
        "cpu_us_max": round(max(times), 1),
        "repeats": repeats,
        "requests_per_s": round(statistics.median(one.requests_per_s for one in found), 1),
        "core": round(statistics.median(one.core for one in found), 3),
        "idle_core": round(idle_core, 4),
        "not_200": sum(one.other for one in found),
        "rss_kib": resident,
    }


@click.command()
@click.option("--sizes", default="0,1000,12000,50000,120000,235000", show_default=True)
@click.option("--repeats", default=REPEATS, show_default=True, type=click.IntRange(1, 100))
@click.option("--seconds", default=3.0, show_default=True, type=click.FloatRange(0.5, 60.0))
def main(sizes: str, repeats: int, seconds: float) -> None:
    """Measure each size."""
    for size in (int(text) for text in sizes.split(",")):
        found = measure(size, repeats, seconds) if size else idle(repeats, seconds)
        click.echo(json.dumps(found))


if __name__ == "__main__":
    main()
