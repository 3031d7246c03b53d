"""Eight router processes behind the switch: a fault to the last router's verdict, five runs each.

    python benchmarks/switch.py [--runs 5] [--count 8]

Probes of 200 ms and bounds to match (standins/routers.py FAST), so that a silent machine is removed after 1.6
to 2.6 s, not 6.5 to 10. A line a case: seconds, least, median, most.
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


def play(count: int, found: dict[str, list[float]]) -> None:
    """All cases, one after another, with the same processes."""
    with tempfile.TemporaryDirectory() as folder:
        routers = Routers(Path(folder), count, sites=3)
        names, last = routers.names, routers.names[-1]
        others = names[:-1]
        try:
            routers.start()
            found["cold start"].append(routers.wait_for_agreement(names))
            routers.kill([last])
            found["killed: its port refuses"].append(routers.wait_for_agreement(others))
            routers.launch(last)
            found["started again"].append(routers.wait_for_agreement(names))
            routers.pause([last])
            found["paused for good"].append(routers.wait_for_agreement(others, 30.0))
            routers.resume([last])
            found["and woken"].append(routers.wait_for_agreement(names))
            routers.switch.set_rule(routers.switch.pairs([last], others), cut=True)
            began = time.monotonic()
            gone = lambda: all(routers.members(name) == set(others) for name in others)  # noqa: E731
            routers.wait_until(gone, 30.0, "the others have removed it")
            found["heard by nobody, and hears"].append(time.monotonic() - began)
            routers.switch.clear_rules()
            found["and heard again"].append(routers.wait_for_agreement(names))
            most = names[2:]
            routers.kill(most)
            for name in most:
                routers.launch(name)
            found["six killed and started again"].append(routers.wait_for_agreement(names, 30.0))
            routers.terminate(last)
            found["left"].append(routers.wait_for_agreement(others))
        finally:
            routers.close()


@click.command()
@click.option("--runs", default=5)
@click.option("--count", default=8)
def main(runs: int, count: int) -> None:
    """Play, and print."""
    found: dict[str, list[float]] = defaultdict(list)
    click.echo(json.dumps({"terms": FAST, "routers": count, "runs": runs}))
    for number in range(runs):
        try:
            play(count, found)
        except AssertionError as error:
            click.echo(json.dumps({"run": number, "fault": str(error)[:300]}))
    for case, times in [(case, times) for case, times in found.items() if times]:
        least, middle, most = (round(f(times), 2) for f in (min, median, max))
        click.echo(json.dumps({"case": case, "n": len(times), "min": least, "median": middle, "max": most}))


if __name__ == "__main__":
    main()
