"""Processor time of one router process for each request, by answer size, over real connections.

    python -m lupintack.scale.request_path [--sizes 1000,50000,235000] [--repeats 5] [--seconds 3]

Clients and stand-in caches run in the process of this program; only the router process is measured (its user
and system time by the kernel, minus its idle use). Prints one JSON line for each size. Size 0: no requests;
`cpu_us` is the idle use, in microseconds per second.
"""

from __future__ import annotations

import json
import statistics
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import click

from lupintack.scale.process_stats import cpu_s
from lupintack.scale.slope import REPEATS
from lupintack.standins.fleet import SIZES, Fleet, Terms
from lupintack.standins.processes import Load, Processes

CLIENTS = 16
SERVICE_CLASS = "map-tiles"  # of the clients' requests
IDLE_S = 2.0


class RequestCost(NamedTuple):
    """Results of one repeat."""

    cpu_us: float  # for each request
    requests_per_s: float
    core: float  # mean use, as a share of one core
    failures: int  # requests without status 200


def resident_kib(pid: int) -> int:
    """Return the resident memory of a process."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS:"))


def run_load(router_address: tuple[str, int], pid: int, seconds: float, idle_core: float) -> RequestCost:
    """Run clients for some seconds, and return the cost of a request to the router."""
    began, cpu_before_s = time.monotonic(), cpu_s(pid)
    load = Load(router_address, CLIENTS)
    time.sleep(seconds)
    outcomes = load.stop()
    elapsed_s = time.monotonic() - began
    spent_s = cpu_s(pid) - cpu_before_s - idle_core * elapsed_s
    served = outcomes.get("200", 0)
    return RequestCost(
        spent_s * 1e6 / max(1, served),
        served / elapsed_s,
        spent_s / elapsed_s,
        sum(outcomes.values()) - served,
    )


def measure_idle(repeats: int, seconds: float) -> dict[str, float]:
    """Measure a router process without requests."""
    with tempfile.TemporaryDirectory() as folder:
        processes = Processes(Path(folder))
        try:
            router, _ = processes.start()
            time.sleep(IDLE_S)
            times = [idle_us(router.pid, seconds) for _ in range(repeats)]
            resident = resident_kib(router.pid)
        finally:
            processes.close()
    return {
        "body_bytes": 0,
        "cpu_us": round(statistics.median(times)),
        "cpu_us_min": round(min(times)),
        "cpu_us_max": round(max(times)),
        "repeats": repeats,
        "rss_kib": resident,
    }


def idle_us(pid: int, seconds: float) -> float:
    """Return the processor time used in a second, averaged over `seconds`."""
    began, cpu_before_s = time.monotonic(), cpu_s(pid)
    time.sleep(seconds)
    return (cpu_s(pid) - cpu_before_s) * 1e6 / (time.monotonic() - began)


def measure(size: int, repeats: int, seconds: float) -> dict[str, float]:
    """Run all repeats for one answer size, on one router process."""
    with tempfile.TemporaryDirectory() as folder:
        processes = Processes(Path(folder), fleet=Fleet(Terms(sizes=SIZES | {SERVICE_CLASS: size})))
        try:
            router, _ = processes.start()
            time.sleep(0.5)
            cpu_before_s = cpu_s(router.pid)
            time.sleep(IDLE_S)
            idle_core = (cpu_s(router.pid) - cpu_before_s) / IDLE_S
            # This run fills the local caches and opens the connections.
            run_load(processes.listen, router.pid, seconds / 2, idle_core)
            costs = [run_load(processes.listen, router.pid, seconds, idle_core) for _ in range(repeats)]
            resident = resident_kib(router.pid)
        finally:
            processes.close()
    times = [cost.cpu_us for cost in costs]
    return {
        "body_bytes": size,
        "cpu_us": round(statistics.median(times), 1),
        "cpu_us_min": round(min(times), 1),
        "cpu_us_max": round(max(times), 1),
        "repeats": repeats,
        "requests_per_s": round(statistics.median(cost.requests_per_s for cost in costs), 1),
        "core": round(statistics.median(cost.core for cost in costs), 3),
        "idle_core": round(idle_core, 4),
        "not_200": sum(cost.failures for cost in costs),
        "rss_kib": resident,
    }


@click.command()
@click.option("--sizes", default="0,1000,12000,50000,120000,235000", show_default=True)
@click.option("--repeats", default=REPEATS, show_default=True, type=click.IntRange(1, 100))
@click.option("--seconds", default=3.0, show_default=True, type=click.FloatRange(0.5, 60.0))
def main(sizes: str, repeats: int, seconds: float) -> None:
    """Measure each size."""
    for size in (int(text) for text in sizes.split(",")):
        result = measure(size, repeats, seconds) if size else measure_idle(repeats, seconds)
        click.echo(json.dumps(result))


if __name__ == "__main__":
    main()
