"""Nine router processes in three regions with budgets of two levels, under longer faults than CI tests.

    python -m benchmarks.two_levels [--pause 30] [--cut 30] [--clients 4]

The promise is 3 s and the lease 8 s, the defaults of the operator file. Intervals: no fault, the allocator of
a region killed and started again, the fleet's allocator paused and resumed, a region cut off from the others
and reconnected. Prints a JSON line for each interval: the peak of concurrent fills at the stand-in store, and
their mean as a share of the budget. The last line has the peak sum of all leases and the most that may be
leased, for each budget of the fleet and for the budget of each region, and the outcomes of the clients'
requests by router.
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
from tests import test_two_levels as two_levels

TABLE = two_levels.PROCESS_TABLE | {"promise_ms": 3000, "lease_ms": 8000}
TIMEOUT_S = 90.0


class TwoLevelRun:
    """The router processes, with the figures of each interval."""

    def __init__(self, folder: Path, fill_s: float) -> None:
        self.level = store.OpenRequests()
        terms = caches.Terms(delay_s=lambda name, cls: fill_s)
        fleet = caches.Fleet(terms, {name: kind for name, kind in HOSTS.items() if kind != "parent"})
        fleet.watch = self.level.watch
        self.routers = Routers(
            folder,
            two_levels.ROUTERS,
            sites=two_levels.REGION_COUNT,
            tables=lambda name: {"budgets": TABLE},
            fleet=fleet,
        )
        self.recorder = two_levels.TwoLevelLeaseRecorder(self.routers)
        self.interval_start = 0.0

    def all_leased(self) -> bool:
        """Return whether all of the budget that all routers demand is leased."""
        self.recorder.sample()
        return self.recorder.last_leased_share(two_levels.FILLS) > 0.99

    def wait_for_allocation(self, text: str) -> None:
        """Wait until the fleet has an allocator and all of the budget is leased."""
        self.routers.wait_until(
            lambda: bool(self.recorder.fleet_allocator()) and self.all_leased(), TIMEOUT_S, text
        )

    def sample_for(self, seconds: float) -> None:
        """Sample the leases for the given time."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            self.recorder.sample()
            time.sleep(0.2)

    def report_interval(self, text: str) -> None:
        """Print the figures of the interval since the last report."""
        now = time.monotonic()
        fills_out = [out for when, out in self.level.steps if self.interval_start <= when < now]
        share = round(self.level.mean(self.interval_start, now) / two_levels.STORE_FILLS, 3)
        line = {
            "stretch": text,
            "seconds": round(now - self.interval_start, 1),
            "most": max(fills_out, default=0),
        }
        click.echo(json.dumps(line | {"mean_share": share}))
        self.interval_start = now

    def faults(self, pause_s: float, cut_s: float) -> None:
        """Cause all faults, one after another, and report each interval."""
        self.interval_start = time.monotonic()
        self.sample_for(10.0)
        self.report_interval("no fault")
        fleet_allocator = self.recorder.fleet_allocator()
        region = next(
            candidate
            for candidate in TABLE["regions"]
            if candidate != two_levels.REGION_OF.get(fleet_allocator)
        )
        killed = self.recorder.region_allocator(region)
        self.recorder.kill(killed)
        region_allocator = self.recorder.region_allocator
        self.routers.wait_until(
            lambda: bool(region_allocator(region)), TIMEOUT_S, "another one of its region"
        )
        self.report_interval("a region's allocator killed")
        self.routers.launch(killed)
        self.wait_for_allocation("all is leased after a kill")
        self.report_interval("and started again")
        paused = self.recorder.fleet_allocator()
        self.routers.pause([paused])
        self.sample_for(pause_s)
        self.report_interval("the fleet's allocator paused")
        self.routers.resume([paused])
        self.wait_for_allocation("all is leased after a pause")
        self.report_interval("and resumed")
        isolated = [name for name in self.routers.names if two_levels.REGION_OF[name] == "region2"]
        self.routers.switch.split(isolated, [name for name in self.routers.names if name not in isolated])
        self.sample_for(cut_s)
        self.report_interval("a region cut off")
        self.routers.switch.clear_rules()
        self.wait_for_allocation("all is leased after a cut")
        self.report_interval("and back")

    def peak_sums(self) -> dict[str, list[int]]:
        """Return for each budget the peak sum of leases, and the most that may be leased."""
        fleet_budgets = {"fills": two_levels.FILLS, "store-fills": two_levels.STORE}
        result = {
            name: [self.recorder.peak_sum(n), self.recorder.leasable(n)] for name, n in fleet_budgets.items()
        }
        for region in TABLE["regions"]:
            names = [name for name in self.routers.names if two_levels.REGION_OF[name] == region]
            result[region] = [
                self.recorder.peak_sum(two_levels.OWN, names),
                self.recorder.leasable(two_levels.OWN),
            ]
        return result


@click.command()
@click.option(
    "--pause", default=30.0, show_default=True, help="Seconds of the pause of the fleet's allocator."
)
@click.option("--cut", default=30.0, show_default=True, help="Seconds for which a region is cut off.")
@click.option(
    "--clients", default=4, show_default=True, help="Clients of each router, each with one request at a time."
)
@click.option("--fill-ms", default=200, show_default=True, help="Duration of a fill.")
def main(pause: float, cut: float, clients: int, fill_ms: int) -> None:
    """Run all faults once and print the figures."""
    with tempfile.TemporaryDirectory() as folder:
        run = TwoLevelRun(Path(folder), fill_ms / 1000)
        load = None
        try:
            run.routers.start()
            run.wait_for_allocation("all is leased")
            load = store.Clients(run.routers.listen, clients)
            run.sample_for(2.0)
            run.faults(pause, cut)
            load.stop()
            click.echo(json.dumps({"sums": run.peak_sums(),
                                   "store": [run.level.max_open(), two_levels.STORE_FILLS],
                                   "answers": load.by_router}))  # fmt: skip
        finally:
            if load is not None:
                load.stop()
            run.routers.close()


if __name__ == "__main__":
    main()
