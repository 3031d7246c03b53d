"""The soak on fixed seeds, and that each of its counts can fail: `python -m lupintack.standins.soak` plays
more.
"""

from __future__ import annotations

import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from lupintack.standins import soak
from lupintack.standins.proxy import Fault
from lupintack.standins.soak import Soak, play
from lupintack.standins.soak_counts import Result, closing_line
from lupintack.standins.soak_pauses import PausePlan
from lupintack.standins.soak_signals import TERM, Step

SEEDS = range(101, 107)
BESIDE = 2


class Directed(Soak):
    """A run whose script hits what a planted fault needs: caches that break off, and a quiet discovery."""

    def delay(self, name: str, cls: str) -> float:
        return 0.1 if self.resetting else super().delay(name, cls)

    def inject_member_fault(self) -> None:
        self.resetting |= {"s-1", "s-2"}
        self.later(2.0, self.resetting.clear)

    def spoil_discovery(self) -> None:
        self.say("discovery is left alone")


class Purging(Directed):
    """A run in which every object is purged, and no member fails."""

    def inject_member_fault(self) -> None:
        self.say("members are left alone")

    def purge(self) -> None:
        for number in range(1, soak.ITEMS + 1):
            self.purge_item(f"{number:016x}")


class ColdReturn(Directed):
    """A run in which one cache comes back cold while there is no other, and nothing else happens."""

    def inject_member_fault(self) -> None:
        self.say("members are left alone")

    def restart(self) -> None:
        self.say("the process is left alone")

    def member_comes_and_goes(self) -> None:
        for _ in range(3):  # on a busy machine the clients ask for less than one would need
            self.drain(["s-1", "s-2"])
            time.sleep(0.4)
            self.drain(["s-1", "s-2"], "Gone")
            time.sleep(0.4)
            self.back("s-1")
            time.sleep(1.5)


class LateDiscovery(Directed):
    """A run that begins with members that drain while discovery's bytes are held back."""

    def start(self) -> None:
        if not self.history.starts:
            self.drain(["s-1", "p-1"])
            self.edge.proxy.fault = Fault.DELAYED
            self.later(2.5, lambda: setattr(self.edge.proxy, "fault", Fault.NONE))
        super().start()


class Stopped(Directed):
    """A run whose process stands still for longer than its clients wait."""

    def inject_machine_fault(self) -> None:
        self.pause(PausePlan(2.0, 0.01, False, 0.0))


class Terminated(Directed):
    """A run with a planned restart, and the kill at the earliest."""

    def restart(self) -> None:
        assert self.edge.process is not None
        self.end_planned(self.edge.process, [Step(TERM, 0.0)])
        self.history.kills_s.append((time.monotonic(), True))
        self.edge.kill()
        self.start()
        self.wait_ready()


@pytest.fixture(scope="module")
def results() -> list[Result]:
    """The runs of the fixed seeds."""
    with ThreadPoolExecutor(BESIDE) as pool:
        found = list(pool.map(play, SEEDS))
    print(closing_line(found))
    return found


def test_no_rule_is_broken_on_fixed_seeds(results: list[Result]) -> None:
    """All counts but that of deadlines, which a machine with far too much to do can break."""
    broken = [
        (one.seed, one.counts.line(), one.script, one.notes)
        for one in results
        if one.counts.broken() > one.counts.long_deadlines
    ]
    assert not broken, broken
    assert all(one.served > one.requests / 2 for one in results)


def test_no_deadline_is_passed_on_too_long_on_fixed_seeds(results: list[Result]) -> None:
    late = [(one.seed, one.script, one.notes) for one in results if one.counts.long_deadlines]
    assert not late, late


def directed(seed: int, planted: str, kind: type[Soak]) -> Result:
    with tempfile.TemporaryDirectory() as folder:
        run = kind(seed, Path(folder), planted)
        try:
            return run.play()
        finally:
            run.close()


PLANTED: dict[str, tuple[str, type[Soak]]] = {
    "old_list": ("drained", LateDiscovery),
    "no_answer": ("unanswered", Soak),
    "two_answers": ("answered_twice", Soak),
    "second_run": ("written_twice", Directed),
    "gone_client": ("after_leaving", Directed),
    "long_deadline": ("long_deadlines", Soak),
    "no_budget": ("over_cold_budget", ColdReturn),
    "deaf_to_purges": ("stale", Purging),
    "failed_for_rejected": ("wrongly_failed", Stopped),
    "late_end": ("late_ends", Terminated),
}


@pytest.mark.parametrize("names", [list(PLANTED)[:5], list(PLANTED)[5:]])
def test_each_count_can_fail(names: list[str]) -> None:
    def run(name: str) -> int:
        count, kind = PLANTED[name]
        # What a script hits by chance, and on a busy machine seldom, is looked for in several.
        seeds = {Soak: (1, 2), Directed: (1, 2, 3, 4)}.get(kind, (1,))
        return sum(getattr(directed(seed, name, kind).counts, count) for seed in seeds)

    with ThreadPoolExecutor(2 * BESIDE) as pool:
        found = dict(zip(names, pool.map(run, names), strict=True))
    print(found)
    assert all(found.values()), found


def test_a_run_is_drawn_from_its_seed_alone() -> None:
    scripts = []
    for _ in range(2):
        with tempfile.TemporaryDirectory() as folder:
            run = Soak(3, Path(folder))
            scripts.append([run.random.random() for _ in range(20)] + [float(run.crowded)])
            run.close()
    assert scripts[0] == scripts[1] and soak.RUN_S > 0
