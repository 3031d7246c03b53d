"""Nine router processes in three regions whose budgets have two levels, through longer faults than CI plays.

    python -m benchmarks.two_levels [--pause 30] [--cut 30] [--clients 4]

Promise 3 s and lease 8 s, as the operator file has them without other words. Stretches: no fault, the
allocator of a region killed and started again, the fleet's allocator paused, a region cut off from the others
and back. A JSON line a stretch: the most that was out at the stand-in store, and the mean as a share of the
whole. The last line: the highest sum of all leases at any instant beside what leases may come to, for each
budget of the fleet and for each region's own, and how the clients' requests ended, by router.
"""

from __future__ import annotations

import json
import tempfile
import time
from pathlib import Path

import click

from lupintack.standins import fleet as caches
from lupintack.standins import store
from lupintack.standins.deployment import HOSTS
from lupintack.standins.routers import Routers
from tests import test_two_levels as played

TABLE = played.PROCESS_TABLE | {"promise_ms": 3000, "lease_ms": 8000}
PATIENCE_S = 90.0


class Play:
    """The processes, and what is told of each stretch."""

    def __init__(self, folder: Path, fill_s: float) -> None:
        self.level = store.OpenRequests()
        terms = caches.Terms(delay_s=lambda name, cls: fill_s)
        fleet = caches.Fleet(terms, {name: kind for name, kind in HOSTS.items() if kind != "parent"})
        fleet.watch = self.level.watch
        self.routers = Routers(
            folder,
            played.ROUTERS,
            sites=played.REGION_COUNT,
            tables=lambda name: {"budgets": TABLE},
            fleet=fleet,
        )
        self.book = played.TwoLevelLeaseRecorder(self.routers)
        self.began = 0.0

    def all_leased(self) -> bool:
        """Of the budget that all want."""
        self.book.sample()
        return self.book.last_leased_share(played.FILLS) > 0.99

    def until(self, text: str) -> None:
        """Wait until one allocates to the regions, and all is leased."""
        self.routers.wait_until(
            lambda: bool(self.book.fleet_allocator()) and self.all_leased(), PATIENCE_S, text
        )

    def hold(self, seconds: float) -> None:
        """Let that time go by, and read what is told."""
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            self.book.sample()
            time.sleep(0.2)

    def stretch(self, text: str) -> None:
        """Tell of what went by since the last stretch."""
        now = time.monotonic()
        inside = [out for when, out in self.level.steps if self.began <= when < now]
        share = round(self.level.mean(self.began, now) / played.STORE_FILLS, 3)
        told = {"stretch": text, "seconds": round(now - self.began, 1), "most": max(inside, default=0)}
        click.echo(json.dumps(told | {"mean_share": share}))
        self.began = now

    def faults(self, pause_s: float, cut_s: float) -> None:
        """All stretches, one after another."""
        self.began = time.monotonic()
        self.hold(10.0)
        self.stretch("no fault")
        fleets = self.book.fleet_allocator()
        region = next(one for one in TABLE["regions"] if one != played.REGION_OF.get(fleets))
        killed = self.book.region_allocator(region)
        self.book.kill(killed)
        allocates = self.book.region_allocator
        self.routers.wait_until(lambda: bool(allocates(region)), PATIENCE_S, "another one of its region")
        self.stretch("a region's allocator killed")
        self.routers.launch(killed)
        self.until("all is leased after a kill")
        self.stretch("and started again")
        paused = self.book.fleet_allocator()
        self.routers.pause([paused])
        self.hold(pause_s)
        self.stretch("the fleet's allocator paused")
        self.routers.resume([paused])
        self.until("all is leased after a pause")
        self.stretch("and resumed")
        away = [name for name in self.routers.names if played.REGION_OF[name] == "region2"]
        self.routers.switch.split(away, [name for name in self.routers.names if name not in away])
        self.hold(cut_s)
        self.stretch("a region cut off")
        self.routers.switch.clear_rules()
        self.until("all is leased after a cut")
        self.stretch("and back")

    def sums(self) -> dict[str, list[int]]:
        """For each budget the highest sum of leases at any instant, and what leases may come to."""
        wide = {"fills": played.FILLS, "store-fills": played.STORE}
        found = {name: [self.book.peak_sum(n), self.book.leasable(n)] for name, n in wide.items()}
        for region in TABLE["regions"]:
            names = [name for name in self.routers.names if played.REGION_OF[name] == region]
            found[region] = [self.book.peak_sum(played.OWN, names), self.book.leasable(played.OWN)]
        return found


@click.command()
@click.option(
    "--pause", default=30.0, show_default=True, help="Seconds that the fleet's allocator stands still."
)
@click.option("--cut", default=30.0, show_default=True, help="Seconds that a region is apart.")
@click.option("--clients", default=4, show_default=True, help="Of each router; one request at a time each.")
@click.option("--fill-ms", default=200, show_default=True, help="Of a fill.")
def main(pause: float, cut: float, clients: int, fill_ms: int) -> None:
    """Play it once, and print."""
    with tempfile.TemporaryDirectory() as folder:
        play = Play(Path(folder), fill_ms / 1000)
        load = None
        try:
            play.routers.start()
            play.until("all is leased")
            load = store.Clients(play.routers.listen, clients)
            play.hold(2.0)
            play.faults(pause, cut)
            load.stop()
            click.echo(json.dumps({"sums": play.sums(), "store": [play.level.max_open(), played.STORE_FILLS],
                                   "answers": load.by_router}))  # fmt: skip
        finally:
            if load is not None:
                load.stop()
            play.routers.close()


if __name__ == "__main__":
    main()
