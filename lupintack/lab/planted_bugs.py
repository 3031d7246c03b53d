"""Bugs planted in the membership, which show that the lab's checks can fail.

A bug replaces one method or function of the membership during a run. It is detected when an invariant is
violated, a router is wrongly removed, a crash is missed or detected late, or the views don't converge.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any
from unittest.mock import patch

from lupintack.lab.faults import FAULT_KINDS
from lupintack.lab.members import World
from lupintack.lab.outcome import Result
from lupintack.lab.simulated_fleet import SECOND
from lupintack.membership import view
from lupintack.membership.anti_entropy import AntiEntropy
from lupintack.membership.detector import FailureDetector
from lupintack.membership.failure_arbiter import Assessment, FailureArbiter, Suspicion
from lupintack.membership.observers import ObserverRings
from lupintack.membership.state_machine import Membership
from lupintack.membership.suspicions import SuspicionTracker
from lupintack.membership.view import Record, State, View

MAX_DETECTION_US = 5 * SECOND
ROUTERS = 12


@dataclass(frozen=True)
class PlantedBug:
    """A planted bug: a replacement of `target.attribute`, and the faults that reveal it."""

    description: str
    target: Any
    attribute: str
    replacement: Any
    kinds: tuple[str, ...] = tuple(FAULT_KINDS)


def _always(value: Any) -> Callable[..., Any]:
    return lambda *positional, **named: value


def _join_last(current: Record | None, other: Record) -> Record:
    return other


def _refute_same_incarnation(self: Membership, incarnation: int, now_us: int) -> None:
    self.state.gossip.add(self.me)


def _evaluate_one_report(
    self: FailureArbiter, suspicion: Suspicion, now_us: int, site_of: Any, may_not_decide: bool
) -> Assessment:
    reports = self.reports.get(suspicion.name, {}).values()
    timeout_us = self.config.suspicion_timeout_us
    has_failed = any(report.silence_us(now_us) >= timeout_us for report in reports)
    return Assessment(State.FAILED if has_failed else None, bool(reports))


def _merge_without_uncount(self: View, record: Record, now_us: int) -> bool:
    old = self.records.get(record.name)
    if old is not None and record.rank() <= old.rank():
        return False
    self.records[record.name], self.since_us[record.name] = record, now_us
    self._count(record, now_us)
    return True


def _remove_nothing(self: ObserverRings, name: str) -> None:
    pass


def _observers_with_suspects(self: ObserverRings, name: str, skipped: Any = ()) -> list[str]:
    return self._neighbours(name, (), -1, False)


PLANTED_BUGS: dict[str, PlantedBug] = {
    "last-word": PlantedBug("the record received last wins", view, "join", _join_last, ("vanish",)),
    "same-incarnation": PlantedBug(
        "a refutation keeps the old incarnation", Membership, "_refute", _refute_same_incarnation, ("site",)
    ),
    "one-accuser": PlantedBug(
        "one observer's report removes a router", FailureArbiter, "evaluate", _evaluate_one_report
    ),
    "counted-twice": PlantedBug("the view id counts a process twice", View, "merge", _merge_without_uncount),
    "stale-ring": PlantedBug(
        "a removed router stays on the rings", ObserverRings, "remove", _remove_nothing, ("kill", "leave")
    ),
    "minority-decides": PlantedBug(
        "the minority side of a partition removes the others",
        SuspicionTracker,
        "is_minority",
        property(_always(False)),
        ("halves", "islands"),
    ),
    "dead-watchers": PlantedBug(
        "suspects remain observers", ObserverRings, "observers_of", _observers_with_suspects, ("kill",)
    ),
    "no-exchange": PlantedBug(
        "diverged views are never exchanged", AntiEntropy, "reconcile", _always(None), ("restart",)
    ),
    "deaf-to-knocks": PlantedBug(
        "refused connections are ignored", FailureDetector, "mark_unreachable", _always(None), ("kill",)
    ),
}


@contextmanager
def planted(bug: PlantedBug) -> Iterator[None]:
    """Replace the attribute while the context is open."""
    with patch.object(bug.target, bug.attribute, bug.replacement):
        yield


def describe_problem(result: Result) -> str:
    """Return the first problem of a run as text, or "" if there is none."""
    if result.broken_invariant:
        return result.broken_invariant
    if result.false_removals:
        return f"{result.false_removals} false removals"
    if result.missed:
        return f"{result.missed} missed"
    if result.surplus_views:
        return f"{result.surplus_views + 1} views at the end"
    return ""


def find_seed(name: str, seeds: int) -> tuple[int | None, str]:
    """Return the first seed whose run has a problem only with the planted bug, and that problem."""
    bug = PLANTED_BUGS[name]
    for seed in range(seeds):
        with planted(bug):
            problem = describe_problem_in_run(bug, seed)
        if problem and not describe_problem_in_run(bug, seed):
            return seed, problem
    return None, ""


def describe_problem_in_run(bug: PlantedBug, seed: int) -> str:
    """Run a seed with the bug's faults and return the first problem, or ""; the bug need not be planted."""
    result = World(seed, ROUTERS, kinds=bug.kinds).run()
    if bug.kinds == ("kill",) and max(result.detect_us, default=0) > MAX_DETECTION_US:
        return describe_problem(result) or f"a crash detected after {max(result.detect_us) / SECOND:.1f} s"
    return describe_problem(result)
