"""The membership beside plain SWIM and heartbeats, by loss and pause; what each of its parts is worth; size.

    python benchmarks/members.py OUT [--routers 50] [--seeds 20] [--jobs 8] [--sizes 20,50,100,200]

Writes charts and CSV files into OUT, and a JSON line per point. Intervals: of a share of runs by Wilson, of a
median by 500 resamplings, both 95%. Needs the extra `lab`.
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


def faults(kind: str, size: float, seed: int, routers: int) -> list[Fault]:
    """Bad weather or pauses from 6 s to 18 s, and one router killed in the midst of it."""
    random = Random(seed)
    names = [f"n{n}" for n in range(routers)]
    victim = random.choice(names[3:])
    found = [Fault(9 * SECOND, "kill", 0, (victim,))]
    if kind == "loss" and size:
        found.append(Fault(6 * SECOND, "loss", 12 * SECOND, (), size))
    if kind == "pause" and size:
        others = [name for name in names if name != victim]
        for at in (6, 11):
            who = tuple(random.sample(others, max(1, routers // 5)))
            found.append(Fault(at * SECOND, "pause", int(size * SECOND), who))
    return sorted(found, key=lambda fault: fault.at_us)


def play(run: Run) -> tuple[Run, Result, float]:
    """One run, and the processor time of it."""
    other, off, kind, size, seed, routers = run
    terms = MembershipConfig()
    for name in off:
        terms = replace(terms, **CONFIG_WITHOUT[name])
    began = process_time()
    result = World(
        seed, routers, terms, script=faults(kind, size, seed, routers), create=MEMBERSHIP_FACTORIES[other]
    ).run()
    return run, result, process_time() - began


def wilson(hits: int, runs: int) -> tuple[float, float, float]:
    """A share with its interval."""
    z, share = 1.96, hits / runs
    middle = (share + z * z / (2 * runs)) / (1 + z * z / runs)
    half = z * math.sqrt(share * (1 - share) / runs + z * z / (4 * runs * runs)) / (1 + z * z / runs)
    return share, max(0.0, min(share, middle - half)), min(1.0, max(share, middle + half))


def resampled(values: Sequence[float]) -> tuple[float, float, float]:
    """A median with its interval."""
    random = Random(1)
    if not values:
        return math.nan, math.nan, math.nan
    found = sorted(median(random.choices(values, k=len(values))) for _ in range(500))
    return median(values), found[12], found[487]


def point(series: str, kind: str, size: float, found: Sequence[tuple[Run, Result, float]]) -> dict[str, Any]:
    """One line's worth."""
    results = [one[1] for one in found]
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
        "detect_s": [round(v, 2) for v in resampled(times)],
        "bytes_per_s": round(sum(r.bytes_per_s for r in results) / len(results)),
        "cpu_s_per_run": round(sum(one[2] for one in found) / len(found), 1),
    }


@click.command()
@click.argument("out", type=click.Path(path_type=Path))
@click.option("--routers", default=50)
@click.option("--seeds", default=20)
@click.option("--jobs", default=8)
@click.option("--sizes", default="20,50,100,200")
def main(out: Path, routers: int, seeds: int, jobs: int, sizes: str) -> None:
    """Play all, and draw."""
    out.mkdir(parents=True, exist_ok=True)
    ways = [(name, name, ()) for name in MEMBERSHIP_FACTORIES] + [
        (f"without {name}", "membership", (name,)) for name in CONFIG_WITHOUT
    ]
    grid = {"loss": (0.0, 0.1, 0.2, 0.3), "pause": (0.0, 3.0, 5.0, 7.0)}
    runs: dict[Run, str] = {}
    for label, other, off in ways:
        for kind, values in grid.items():
            for size in values:
                runs |= {(other, off, kind, size, seed, routers): label for seed in range(seeds)}
    for count in (int(text) for text in sizes.split(",") if text):
        more = range(max(2, min(seeds, 400 // count)))
        runs |= {("membership", (), "size", 0.0, seed, count): "membership" for seed in more}
    found: dict[tuple[str, str, float], list[tuple[Run, Result, float]]] = {}
    with ProcessPoolExecutor(jobs) as pool:
        for run, result, cpu in pool.map(play, runs):
            size = float(run[5]) if run[2] == "size" else run[3]
            found.setdefault((runs[run], run[2], size), []).append((run, result, cpu))
    points = [point(*key, value) for key, value in found.items()]
    for one in points:
        click.echo(json.dumps(one))
    groups = {"beside": tuple(MEMBERSHIP_FACTORIES), "parts": ("membership", *(way[0] for way in ways[3:]))}
    words = {"loss": "share of datagrams lost", "pause": "length of pauses of one in five, s"}
    for kind, x in words.items():
        for field, y in FIELDS.items():
            for group, picked in groups.items():
                series: dict[str, list[Point]] = {}
                for one in points:
                    if one["kind"] == kind and one["series"] in picked:
                        at = (one["size"], *one[field])
                        series.setdefault(one["series"], []).append(at)
                file = out / f"members-{group}-{kind}-{field}.png"
                plot_lines(file, series, x, y, f"{routers} routers, {seeds} seeds")


if __name__ == "__main__":
    main()
