"""Use of the budget `store-fills` by eight router processes under faults, counted by a stand-in store.

    python benchmarks/spending.py OUT [--seconds 8] [--whole 24] [--clients 6]

Each interval of `seconds` begins with a fault: none, the allocator killed, started again, paused, and cut off
in one direction, and six of eight routers killed and started again. The same load is run with budgets off.
Writes OUT/spending.png and .csv with the faults marked, and a JSON line for each interval: the peak of
concurrent fills at the store, and their mean as a share of the budget. The promise is 0.6 s, the lease 1.6 s.
Needs the extra `lab`.
"""

from __future__ import annotations

import csv
import json
import tempfile
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import click

from lupintack.lab.charts import create_figure
from lupintack.standins.deployment import HOSTS
from lupintack.standins.fleet import Fleet, Terms
from lupintack.standins.routers import Routers
from lupintack.standins.store import Clients, OpenRequests

Mark = tuple[float, str]


def find_allocator(routers: Routers) -> str:
    """Return the name of the allocator that may grant leases; "" if there is none."""
    for name in routers.running:
        budgets = (routers.status(name) if name not in routers.paused else {}).get("budgets") or {}
        if budgets.get("ready"):
            return name
    return ""


def run_fleet(
    whole: int, seconds: float, clients: int, on: bool, fill_s: float
) -> tuple[OpenRequests, list[Mark], dict[str, int], float]:
    """Run the fleet once; return its level, its marks, the clients' outcomes, and the time of its end."""
    table: dict[str, Any] = {
        "enabled": on, "voters": ["n0", "n1", "n2"], "at_once": {"store-fills": whole}, "floor_percent": 13,
        "promise_ms": 600, "lease_ms": 1600,
    }  # fmt: skip
    fleet = Fleet(Terms(delay_s=lambda name, cls: fill_s), {n: k for n, k in HOSTS.items() if k != "parent"})
    level = OpenRequests()
    fleet.watch = level.watch
    marks: list[Mark] = []

    def run_interval(text: str, *faults: Callable[[], None]) -> None:
        for fault in faults:
            fault()
        marks.append((time.monotonic(), text))
        time.sleep(seconds)

    with tempfile.TemporaryDirectory() as folder:
        routers = Routers(Path(folder), 8, tables=lambda name: {"budgets": table}, fleet=fleet)
        try:
            routers.start()
            if on:
                routers.wait_until(lambda: bool(find_allocator(routers)), 20.0, "one divides")
                time.sleep(3.0)
            load = Clients(routers.listen, clients)
            time.sleep(2.0)
            run_interval("no fault")
            first_allocator = find_allocator(routers) or "n0"
            run_interval("divider killed", lambda: routers.kill([first_allocator]))
            run_interval("started again", lambda: routers.launch(first_allocator))
            second_allocator = find_allocator(routers) or "n1"
            run_interval("divider paused", lambda: routers.pause([second_allocator]))
            run_interval("and resumed", lambda: routers.resume([second_allocator]))
            third_allocator = find_allocator(routers) or "n2"
            others = [name for name in routers.names if name != third_allocator]
            run_interval(
                "divider heard by nobody",
                lambda: routers.switch.set_rule(routers.switch.pairs([third_allocator], others), cut=True),
            )
            run_interval("and again", routers.switch.clear_rules)
            restarted = routers.names[2:]
            run_interval(
                "six of eight killed, started",
                lambda: routers.kill(restarted),
                *(partial(routers.launch, name) for name in restarted),
            )
            outcomes = dict(load.stop())
            return level, marks, outcomes, time.monotonic()
        finally:
            routers.close()


@click.command()
@click.argument("out", type=click.Path(path_type=Path))
@click.option("--seconds", default=8.0)
@click.option("--whole", default=24)
@click.option("--clients", default=6)
@click.option("--fill-ms", default=200, help="Duration of a fill; clients and routers add 20 to 30 ms.")
def main(out: Path, seconds: float, whole: int, clients: int, fill_ms: int) -> None:
    """Run with budgets off and on, print the figures, and draw the chart."""
    out.mkdir(parents=True, exist_ok=True)
    figure, axes = create_figure()
    rows: list[list[object]] = []
    for on, label in ((False, "budgets off"), (True, "budgets on")):
        level, marks, outcomes, end = run_fleet(whole, seconds, clients, on, fill_ms / 1000)
        started_at = marks[0][0]
        for (at, text), (until, _) in zip(marks, [*marks[1:], (end, "")], strict=True):
            fills_out = [out for when, out in level.steps if at <= when < until]
            line = {"series": label, "stretch": text, "most": max(fills_out, default=0)}
            click.echo(json.dumps(line | {"mean_share": round(level.mean(at, until) / whole, 3)}))
        click.echo(json.dumps({"series": label, "answers": outcomes}))
        times = [started_at + n / 10 for n in range(int((end - started_at) * 10))]
        means = [level.mean(at, at + 0.1) for at in times]
        axes.plot([at - started_at for at in times], means, linewidth=1.0, label=label)
        rows += [
            [label, round(at - started_at, 1), round(mean, 2)] for at, mean in zip(times, means, strict=True)
        ]
        if on:
            for at, text in marks:
                axes.axvline(at - started_at, color="grey", linewidth=0.6)
                axes.text(at - started_at, whole * 1.02, f" {text}", rotation=90, fontsize=6, va="bottom")
    axes.axhline(whole, color="black", linewidth=0.8, linestyle="--")
    axes.set_xlabel("s")
    axes.set_ylabel("fills out at the store, mean of 0.1 s")
    axes.legend(loc="upper right", fontsize=7)
    figure.tight_layout()
    figure.savefig(out / "spending.png")
    with (out / "spending.csv").open("w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(["series", "s", "fills_out"])
        writer.writerows(rows)


if __name__ == "__main__":
    main()
