"""The membership compared with plain SWIM and heartbeats, without some of its parts, and by fleet size.

    python benchmarks/members.py OUT [--routers 50] [--seeds 20] [--jobs 8] [--sizes 20,50,100,200]

Runs vary in loss and in length of pauses. Writes charts and CSV files into OUT, and a JSON line per point.
The 95% intervals are Wilson's for a share of runs, and of 500 resamplings for a median. Needs the extra
`lab`.
"""

from __future__ import annotations

import json
import math
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path
from random import Random
from statistics import median
from time import process_time
from typing import Any

import click

from lupintack.cli.lab import CONFIG_WITHOUT, MEMBERSHIP_FACTORIES
from lupintack.lab.charts import plot_lines
from lupintack.lab.faults import Fault
from lupintack.lab.members import World
from lupintack.lab.outcome import Result
from lupintack.lab.simulated_fleet import SECOND
from lupintack.membership.config import MembershipConfig

Point = tuple[float, float, float, float]
Run = tuple[str, tuple[str, ...], str, float, int, int]
FIELDS = {"false_runs": "share of runs with a false removal", "detect_s": "crash to told, s"}


def draw_faults(kind: str, size: float, seed: int, routers: int) -> list[Fault]:
    """Return faults: loss or pauses from 6 s to 18 s, and one router killed at 9 s."""
    random = Random(seed)
    names = [f"n{n}" for n in range(routers)]
    victim = random.choice(names[3:])
    result = [Fault(9 * SECOND, "kill", 0, (victim,))]
    if kind == "loss" and size:
        result.append(Fault(6 * SECOND, "loss", 12 * SECOND, (), size))
    if kind == "pause" and size:
        others = [name for name in names if name != victim]
        for at in (6, 11):
            who = tuple(random.sample(others, max(1, routers // 5)))
            result.append(Fault(at * SECOND, "pause", int(size * SECOND), who))
    return sorted(result, key=lambda fault: fault.at_us)


def run_one(run: Run) -> tuple[Run, Result, float]:
    """Play one run; return it with its result and its CPU time in seconds."""
    protocol, off, kind, size, seed, routers = run
    terms = MembershipConfig()
    for name in off:
        terms = replace(terms, **CONFIG_WITHOUT[name])
    started = process_time()
    result = World(
        seed,
        routers,
        terms,
        script=draw_faults(kind, size, seed, routers),
        create=MEMBERSHIP_FACTORIES[protocol],
    ).run()
    return run, result, process_time() - started


def wilson(hits: int, runs: int) -> tuple[float, float, float]:
    """Return a share with the bounds of its Wilson interval."""
    z, share = 1.96, hits / runs
    middle = (share + z * z / (2 * runs)) / (1 + z * z / runs)
    half = z * math.sqrt(share * (1 - share) / runs + z * z / (4 * runs * runs)) / (1 + z * z / runs)
    return share, max(0.0, min(share, middle - half)), min(1.0, max(share, middle + half))


def bootstrap_median(values: Sequence[float]) -> tuple[float, float, float]:
    """Return a median with the bounds of its bootstrap interval."""
    random = Random(1)
    if not values:
        return math.nan, math.nan, math.nan
    medians = sorted(median(random.choices(values, k=len(values))) for _ in range(500))
    return median(values), medians[12], medians[487]


def point(
    series: str, kind: str, size: float, collected: Sequence[tuple[Run, Result, float]]
) -> dict[str, Any]:
    """Return the figures of one point, as they are printed on one line."""
    results = [entry[1] for entry in collected]
    times = [median(r.detect_us) / SECOND for r in results if r.detect_us]
    false = wilson(sum(r.false_removals > 0 for r in results), len(results))
    return {
        "series": series,
        "kind": kind,
        "size": size,
        "runs": len(results),
        "false_runs": [round(v, 3) for v in false],
        "false_removals": sum(r.false_removals for r in results),
        "missed": sum(r.missed for r in results),
        "detect_s": [round(v, 2) for v in bootstrap_median(times)],
        "bytes_per_s": round(sum(r.bytes_per_s for r in results) / len(results)),
        "cpu_s_per_run": round(sum(entry[2] for entry in collected) / len(collected), 1),
    }


@click.command()
@click.argument("out", type=click.Path(path_type=Path))
@click.option("--routers", default=50)
@click.option("--seeds", default=20)
@click.option("--jobs", default=8)
@click.option("--sizes", default="20,50,100,200")
def main(out: Path, routers: int, seeds: int, jobs: int, sizes: str) -> None:
    """Play all runs, print the points and draw the charts."""
    out.mkdir(parents=True, exist_ok=True)
    variants = [(name, name, ()) for name in MEMBERSHIP_FACTORIES] + [
        (f"without {name}", "membership", (name,)) for name in CONFIG_WITHOUT
    ]
    grid = {"loss": (0.0, 0.1, 0.2, 0.3), "pause": (0.0, 3.0, 5.0, 7.0)}
    runs: dict[Run, str] = {}
    for label, protocol, off in variants:
        for kind, values in grid.items():
            for size in values:
                runs |= {(protocol, off, kind, size, seed, routers): label for seed in range(seeds)}
    for count in (int(text) for text in sizes.split(",") if text):
        seeds_of_size = range(max(2, min(seeds, 400 // count)))
        runs |= {("membership", (), "size", 0.0, seed, count): "membership" for seed in seeds_of_size}
    collected: dict[tuple[str, str, float], list[tuple[Run, Result, float]]] = {}
    with ProcessPoolExecutor(jobs) as pool:
        for run, result, cpu in pool.map(run_one, runs):
            size = float(run[5]) if run[2] == "size" else run[3]
            collected.setdefault((runs[run], run[2], size), []).append((run, result, cpu))
    points = [point(*key, value) for key, value in collected.items()]
    for point_figures in points:
        click.echo(json.dumps(point_figures))
    groups = {
        "beside": tuple(MEMBERSHIP_FACTORIES),
        "parts": ("membership", *(variant[0] for variant in variants[3:])),
    }
    axis_labels = {"loss": "share of datagrams lost", "pause": "length of pauses of one in five, s"}
    for kind, x in axis_labels.items():
        for field, y in FIELDS.items():
            for group, names in groups.items():
                series: dict[str, list[Point]] = {}
                for point_figures in points:
                    if point_figures["kind"] == kind and point_figures["series"] in names:
                        at = (point_figures["size"], *point_figures[field])
                        series.setdefault(point_figures["series"], []).append(at)
                file = out / f"members-{group}-{kind}-{field}.png"
                plot_lines(file, series, x, y, f"{routers} routers, {seeds} seeds")


if __name__ == "__main__":
    main()
