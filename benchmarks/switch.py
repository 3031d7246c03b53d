"""Time from a fault until all routers agree on the members: eight router processes behind the test switch.

    python benchmarks/switch.py [--runs 5] [--count 8]

Probes take 200 ms and other times are shortened to match (standins/routers.py FAST): a silent machine is
removed after 1.6 to 2.6 s, not 6.5 to 10. Prints a line for each case: minimum, median and maximum in
seconds.
"""

from __future__ import annotations

import json
import tempfile
import time
from collections import defaultdict
from pathlib import Path
from statistics import median

import click

from lupintack.standins.routers import FAST, Routers


def run_cases(count: int, times_by_case: dict[str, list[float]]) -> None:
    """Run all cases, one after another, with the same processes."""
    with tempfile.TemporaryDirectory() as folder:
        routers = Routers(Path(folder), count, sites=3)
        names, last = routers.names, routers.names[-1]
        others = names[:-1]
        try:
            routers.start()
            times_by_case["cold start"].append(routers.wait_for_agreement(names))
            routers.kill([last])
            times_by_case["killed: its port refuses"].append(routers.wait_for_agreement(others))
            routers.launch(last)
            times_by_case["started again"].append(routers.wait_for_agreement(names))
            routers.pause([last])
            times_by_case["paused for good"].append(routers.wait_for_agreement(others, 30.0))
            routers.resume([last])
            times_by_case["and woken"].append(routers.wait_for_agreement(names))
            routers.switch.set_rule(routers.switch.pairs([last], others), cut=True)
            began = time.monotonic()
            is_removed = lambda: all(routers.members(name) == set(others) for name in others)  # noqa: E731
            routers.wait_until(is_removed, 30.0, "the others have removed it")
            times_by_case["heard by nobody, and hears"].append(time.monotonic() - began)
            routers.switch.clear_rules()
            times_by_case["and heard again"].append(routers.wait_for_agreement(names))
            restarted = names[2:]
            routers.kill(restarted)
            for name in restarted:
                routers.launch(name)
            times_by_case["six killed and started again"].append(routers.wait_for_agreement(names, 30.0))
            routers.terminate(last)
            times_by_case["left"].append(routers.wait_for_agreement(others))
        finally:
            routers.close()


@click.command()
@click.option("--runs", default=5)
@click.option("--count", default=8)
def main(runs: int, count: int) -> None:
    """Run the cases and print their times."""
    times_by_case: dict[str, list[float]] = defaultdict(list)
    click.echo(json.dumps({"terms": FAST, "routers": count, "runs": runs}))
    for number in range(runs):
        try:
            run_cases(count, times_by_case)
        except AssertionError as error:
            click.echo(json.dumps({"run": number, "fault": str(error)[:300]}))
    for case, times in [(case, times) for case, times in times_by_case.items() if times]:
        minimum, middle, maximum = (round(f(times), 2) for f in (min, median, max))
        click.echo(
            json.dumps({"case": case, "n": len(times), "min": minimum, "median": middle, "max": maximum})
        )


if __name__ == "__main__":
    main()
