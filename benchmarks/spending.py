"""Eight router processes that spend `store-fills` before a store that counts: a chart with the faults marked.

    python benchmarks/spending.py OUT [--seconds 8] [--whole 24] [--clients 6]

Each stretch of `seconds` begins with a fault: none, the divider killed, started again, paused, and cut
off one way, six of eight killed and started again. Beside it the same load with budgets off. Writes
OUT/spending.png and .csv, and a JSON line a stretch: the most that was out at the store at any instant, and
the mean as a share of the whole. Terms: promise 0.6 s, lease 1.6 s. Needs the extra `lab`.
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


def divider(play: Routers) -> str:
    """Who divides and is past its wait; "" for nobody."""
    for name in play.running:
        told = (play.status(name) if name not in play.paused else {}).get("budgets") or {}
        if told.get("ready"):
            return name
    return ""


def played(
    whole: int, seconds: float, clients: int, on: bool, fill_s: float
) -> tuple[OpenRequests, list[Mark], dict[str, int], float]:
    """One run; its level, its marks, what the clients were answered, and its end."""
    table: dict[str, Any] = {
        "enabled": on, "voters": ["n0", "n1", "n2"], "at_once": {"store-fills": whole}, "floor_percent": 13,
        "promise_ms": 600, "lease_ms": 1600,
    }  # fmt: skip
    fleet = Fleet(Terms(delay_s=lambda name, cls: fill_s), {n: k for n, k in HOSTS.items() if k != "parent"})
    level = OpenRequests()
    fleet.watch = level.watch
    marks: list[Mark] = []

    def stretch(text: str, *faults: Callable[[], None]) -> None:
        for fault in faults:
            fault()
        marks.append((time.monotonic(), text))
        time.sleep(seconds)

    with tempfile.TemporaryDirectory() as folder:
        play = Routers(Path(folder), 8, tables=lambda name: {"budgets": table}, fleet=fleet)
        try:
            play.start()
            if on:
                play.wait_until(lambda: bool(divider(play)), 20.0, "one divides")
                time.sleep(3.0)
            load = Clients(play.listen, clients)
            time.sleep(2.0)
            stretch("no fault")
            first = divider(play) or "n0"
            stretch("divider killed", lambda: play.kill([first]))
            stretch("started again", lambda: play.launch(first))
            second = divider(play) or "n1"
            stretch("divider paused", lambda: play.pause([second]))
            stretch("and resumed", lambda: play.resume([second]))
            third = divider(play) or "n2"
            others = [name for name in play.names if name != third]
            stretch(
                "divider heard by nobody",
                lambda: play.switch.set_rule(play.switch.pairs([third], others), cut=True),
            )
            stretch("and again", play.switch.clear_rules)
            some = play.names[2:]
            stretch(
                "six of eight killed, started",
                lambda: play.kill(some),
                *(partial(play.launch, name) for name in some),
            )
            outcomes = dict(load.stop())
            return level, marks, outcomes, time.monotonic()
        finally:
            play.close()


@click.command()
@click.argument("out", type=click.Path(path_type=Path))
@click.option("--seconds", default=8.0)
@click.option("--whole", default=24)
@click.option("--clients", default=6)
@click.option("--fill-ms", default=200, help="Of a fill; clients and routers take 20 to 30 ms beside it.")
def main(out: Path, seconds: float, whole: int, clients: int, fill_ms: int) -> None:
    """Play both, print, and draw."""
    out.mkdir(parents=True, exist_ok=True)
    drawn, axes = create_figure()
    rows: list[list[object]] = []
    for on, label in ((False, "budgets off"), (True, "budgets on")):
        level, marks, outcomes, end = played(whole, seconds, clients, on, fill_ms / 1000)
        zero = marks[0][0]
        for (at, text), (after, _) in zip(marks, [*marks[1:], (end, "")], strict=True):
            inside = [out for when, out in level.steps if at <= when < after]
            said = {"series": label, "stretch": text, "most": max(inside, default=0)}
            click.echo(json.dumps(said | {"mean_share": round(level.mean(at, after) / whole, 3)}))
        click.echo(json.dumps({"series": label, "answers": outcomes}))
        times = [zero + n / 10 for n in range(int((end - zero) * 10))]
        means = [level.mean(at, at + 0.1) for at in times]
        axes.plot([at - zero for at in times], means, linewidth=1.0, label=label)
        rows += [[label, round(at - zero, 1), round(mean, 2)] for at, mean in zip(times, means, strict=True)]
        if on:
            for at, text in marks:
                axes.axvline(at - zero, color="grey", linewidth=0.6)
                axes.text(at - zero, whole * 1.02, f" {text}", rotation=90, fontsize=6, va="bottom")
    axes.axhline(whole, color="black", linewidth=0.8, linestyle="--")
    axes.set_xlabel("s")
    axes.set_ylabel("fills out at the store, mean of 0.1 s")
    axes.legend(loc="upper right", fontsize=7)
    drawn.tight_layout()
    drawn.savefig(out / "spending.png")
    with (out / "spending.csv").open("w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(["series", "s", "fills_out"])
        writer.writerows(rows)


if __name__ == "__main__":
    main()
