"""CPU time of a request and of a list event with 60 members or more, compared between two versions.

    python benchmarks/decisions.py [--other FOLDER] [--rounds 7] [--members 60]

FOLDER holds another version's `lupintack` package (for example a worktree of an earlier commit). Each round
runs both versions in turn, each in its own process; figures are microseconds of CPU time: the median, minimum
and maximum of the rounds.
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
import subprocess
import sys
from pathlib import Path

# "after an event": each of the 20 requests after a list event, which have to compute the scores again.
LABELS = ("request", "list event", "after an event")
REPOSITORY = Path(__file__).resolve().parents[1]
CODE = """
import json, time
from lupintack import interface as i
from lupintack.decisions.router import Router
classes = (i.ServiceClass(name="a", latency_objective_ms=500.0, latency_objective_stretch=2.0,
    deadline_ms=5000.0, idempotency=i.Idempotency.IDEMPOTENT),)
settings = i.Settings(classes=classes, zone=0, router_count=40, routers_by_zone=(8,) * 5, max_attempts=6,
    allows_hedging=True, allows_cancellation=True, max_retry_after_ms=1000.0, initial_capacity_share=0.3,
    slow_start_ms=15000.0,
    overload_multiple=2.0, parent_kind=1, origin_kind=2, parent_initial_capacity_share=0.07,
    parent_slow_start_ms=20000.0, parent_overload_multiple=2.0, allows_origin_direct=True,
    reports_fill_source="all", member_weights="rough",
    load_report_fields=("cpu_share",))
members = [i.Member(100 + n, n % 5, 0, 0, i.MemberState.READY, 4.0 + n % 2 * 3) for n in range(CACHES)]
members += [i.Member(10 + n, 9, 1, 0, i.MemberState.READY, 20.0) for n in range(4)] + [i.Member(1, 9, 2)]
router = Router(settings, 7)
router.handle(0.0, [i.MemberList(i.ListKind.FULL, tuple(members))])
now, number = 1.0, 0
def requests(count):
    global now, number
    for _ in range(count):
        now += 80.0
        number += 1
        key, part = number * 7919 % 3000, number % 9
        for a in router.handle(now, [i.Request(number, 0, key, now + 5000.0, part=part)]):
            if isinstance(a, i.Fetch):
                end = i.AttemptEnded(
                    number, 0, a.member, i.Outcome.OK, 50.0, True, i.CacheStatus.HIT, 0.0, (0.4,)
                )
                router.handle(now + 50.0, [end])
requests(3000)
started = time.process_time()
requests(5000)
request = (time.process_time() - started) / 5000
started = time.process_time()
for n in range(400):
    changed = members[n % CACHES]
    state = i.MemberState.REMOVED if n // CACHES % 2 == 0 else i.MemberState.READY
    update = (i.Member(changed.id, changed.zone, 0, 0, state, 4.0),)
    router.handle(now, [i.MemberList(i.ListKind.DELTA, update)])
event = (time.process_time() - started) / 400
after = 0.0
for n in range(100):
    router.handle(now, [i.MemberList(i.ListKind.DELTA, (members[n % CACHES],))])
    started = time.process_time()
    requests(20)
    after += (time.process_time() - started) / 2000
print(json.dumps([request * 1e6, event * 1e6, after * 1e6]))
"""


def run_once(folder: Path, members: int) -> list[float]:
    output = subprocess.run(
        [sys.executable, "-c", f"CACHES = {members - 5}\n{CODE}"],
        env={**os.environ, "PYTHONPATH": str(folder)},
        cwd=folder,
        capture_output=True,
        text=True,
        check=True,
    ).stdout
    return [float(x) for x in json.loads(output)]


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--other", type=Path, help="folder with another version of the package")
    parser.add_argument("--rounds", type=int, default=7)
    parser.add_argument("--members", type=int, default=60)
    arguments = parser.parse_args()
    folders = {"this": REPOSITORY} | ({"other": arguments.other.resolve()} if arguments.other else {})
    results: dict[str, list[list[float]]] = {name: [] for name in folders}
    for _ in range(arguments.rounds):
        for name, folder in folders.items():
            results[name].append(run_once(folder, arguments.members))
    for name, rows in results.items():
        for label, values in zip(LABELS, zip(*rows, strict=True), strict=True):
            median, minimum, maximum = statistics.median(values), min(values), max(values)
            print(f"{name:6} {label:15} {median:8.1f} us ({minimum:.1f} to {maximum:.1f})")
    return 0


if __name__ == "__main__":
    sys.exit(main())
