"""Costs of keyed requests and of CDNI purges, compared between two versions.

    python benchmarks/keys_and_purges.py --other FOLDER [--rounds 7]

FOLDER holds another version's `lupintack` package. Each round runs both versions in turn, each in its own
process; figures are the median, minimum and maximum of the rounds. "keyed request": microseconds from
its acceptance to its attempt, at 100 requests/s; "after a burst": the first one after 8,000 keys have
expired; "key": bytes of memory of each of 8,000 keys; "purge": microseconds from a command to its purge in
the member table, with free workers.
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
import subprocess
import sys
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[1]
CODE = """
import gc, json, logging, statistics, threading, time, tracemalloc
from unittest import mock
from lupintack import interface as i
from lupintack.core.actor import Core
from lupintack.core.member_table import MemberTable
from lupintack.core.messages import ClientRequest
from lupintack.core.table_updates import Endpoint
from lupintack.fronts.cdni.conf import Cdni, Upstream
from lupintack.fronts.cdni.front import CdniFront

class Link:
    def send(self, attempt): pass
    def cancel(self, attempt, notify=False): pass

class Sink:
    def is_disconnected(self): return False

logging.disable(logging.CRITICAL)
post = i.ServiceClass(name="post", deadline_ms=3000.0, idempotency=i.Idempotency.KEYED,
                      deduplication_window_ms=2000.0, is_write=True)
sink = Sink()

def new_core():
    settings = i.Settings(classes=(post,), origin_kind=2)
    core = Core(settings, 7, MemberTable(6000.0), lambda number, host: Link())
    core.member_links.endpoints[11] = Endpoint("s-1", ("127.0.0.1", 1))
    return core

def request(core, n, gap_us):
    state = core.state
    state.now_us += gap_us
    item = ClientRequest(f"{n:016x}", 0, "0" * 16, 5, 0, 0, state.now_us + 3_000_000, sink,
                         is_write=True, idempotency_key=f"{n:032x}", class_name="post")
    start = time.perf_counter_ns()
    core.intake.accept(item)
    core.perform(i.Fetch(item.number, 11, 11))
    took = time.perf_counter_ns() - start
    core.requests.by_number.clear(); core.requests.number_by_wire_id.clear()
    return took / 1000

core = new_core()
for n in range(2000): request(core, n, 10_000)
gc.collect()
gc.disable()
steady = statistics.median(request(core, n, 10_000) for n in range(2000, 12000))
core = new_core()
tracemalloc.start()
before = tracemalloc.get_traced_memory()[0]
for n in range(8000):
    request(core, n, 10)
    core.timers.__init__()
key_bytes = (tracemalloc.get_traced_memory()[0] - before) / 8000
tracemalloc.stop()
core.state.now_us += 60_000_000
burst = request(core, 8000, 10)

table = MemberTable(6000.0)
threading.Thread(target=table.run, daemon=True).start()
table.notify = lambda change: change.on_applied() if change.on_applied else None
upstream = Upstream("AS64496:0")
cdni = Cdni(("127.0.0.1", 0), "AS64500:0", "http://cdni", upstreams={upstream.id: upstream})
spawn = lambda call, name: threading.Thread(target=call, daemon=True).start()
front = CdniFront(cdni, core, table, lambda: True, spawn)
command = {"trigger": {"type": "purge", "content.ccid": ["17"]}, "cdn-path": [upstream.id]}
def purge():
    last, start = table.purge_memory.last_number, time.perf_counter_ns()
    front.triggers.handle_command(command)
    while table.purge_memory.last_number == last: time.sleep(0)
    return (time.perf_counter_ns() - start) / 1000
purged = statistics.median(purge() for _ in range(300))
print(json.dumps({"keyed request": steady, "after a burst": burst, "key": key_bytes, "purge": purged}))
"""


def measure(folder: Path) -> dict[str, float]:
    """Return the figures of one round of a version."""
    env = os.environ | {"PYTHONPATH": str(folder)}
    run = subprocess.run([sys.executable, "-c", CODE], env=env, cwd=folder, capture_output=True, check=True)
    figures: dict[str, float] = json.loads(run.stdout)
    return figures


def main() -> None:
    """Print the figures of both versions."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--other", type=Path, required=True, help="folder with another version of the package"
    )
    parser.add_argument("--rounds", type=int, default=7)
    options = parser.parse_args()
    folders = {"other": options.other.resolve(), "this": REPOSITORY}
    rounds: dict[str, list[dict[str, float]]] = {name: [] for name in folders}
    for _ in range(options.rounds):
        for name, folder in folders.items():
            rounds[name].append(measure(folder))
    for label in rounds["this"][0]:
        for name in folders:
            values = [figures[label] for figures in rounds[name]]
            median, minimum, maximum = statistics.median(values), min(values), max(values)
            print(f"{label:14} {name:6} {median:8.1f} ({minimum:.1f} to {maximum:.1f})")


if __name__ == "__main__":
    main()
