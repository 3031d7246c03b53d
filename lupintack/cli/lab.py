"""`lupintack lab`: runs simulations over seeds in several processes and summarizes their results."""

from __future__ import annotations

import hashlib
import sys
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from functools import partial
from pathlib import Path
from statistics import median
from typing import Any, TypeVar

from lupintack.lab import budget_check as searches
from lupintack.lab import budget_level_check as level_searches
from lupintack.lab import budget_levels, budget_results
from lupintack.lab import budgets as budget_worlds
from lupintack.lab.baselines import heartbeats, swim
from lupintack.lab.budget_bugs import PLANTED_BUGS, find_by_search, find_by_seeds
from lupintack.lab.budget_level_bugs import (
    PLANTED_LEVEL_BUGS,
    find_level_bug_by_script,
    find_level_bug_by_search,
    find_level_bug_by_seeds,
)
from lupintack.lab.faults import FAULT_KINDS, Fault, ScriptError, read_script
from lupintack.lab.hosts import MembershipFactory, create_membership
from lupintack.lab.members import World
from lupintack.lab.outcome import Result
from lupintack.lab.planted_bugs import PLANTED_BUGS as PLANTED_MEMBERSHIP_BUGS
from lupintack.lab.planted_bugs import find_seed
from lupintack.membership.config import MembershipConfig

Run = TypeVar("Run")
Seed = TypeVar("Seed")
MEMBERSHIP_FACTORIES: dict[str, MembershipFactory] = {
    "membership": create_membership,
    "swim": swim,
    "heartbeats": heartbeats,
}
CONFIG_WITHOUT: dict[str, dict[str, Any]] = {
    "health": {"max_health_score": 0, "listen_after_pause_us": 0, "pause_threshold_us": 1 << 60},
    "watchers": {"ring_count": 1},
    "confirmation": {"max_failure_timeout_us": MembershipConfig().failure_timeout_us, "quorum_share": 0.0},
}


class LabError(ValueError):
    """The arguments of a lab command can't be used."""


def parse_seeds(text: str) -> range:
    """Return the seeds of A-B, both ends included; raise LabError for any other text."""
    first, _, last = text.partition("-")
    if not (first.isdigit() and (last or first).isdigit()) or int(last or first) < int(first):
        raise LabError(f"--seeds: expected A-B, not {text!r}")
    return range(int(first), int(last or first) + 1)


def run_seed(
    seed: int,
    routers: int,
    kinds: Sequence[str],
    script: Sequence[Fault] | None,
    other: str,
    off: Sequence[str],
) -> Result:
    """Run one seed. A module-level function, so that it can be pickled for a worker process."""
    terms = MembershipConfig()
    for name in off:
        terms = replace(terms, **CONFIG_WITHOUT[name])
    return World(seed, routers, terms, kinds, script, MEMBERSHIP_FACTORIES[other]).run()


def run_memberships(
    routers: int,
    seeds: str,
    jobs: int,
    faults: str,
    script: Path | None,
    other: str,
    off: Sequence[str],
    trace: Callable[[str], None] | None,
    plot: Path | None,
) -> dict[str, Any]:
    """Run memberships over the seeds; return their summary. Raise LabError for unusable arguments."""
    kinds = tuple(name for name in faults.split(",") if name) or tuple(FAULT_KINDS)
    unknown = [name for name in kinds if name not in FAULT_KINDS] + [
        name for name in off if name not in CONFIG_WITHOUT
    ]
    if unknown or other not in MEMBERSHIP_FACTORIES:
        known = ", ".join((*FAULT_KINDS, *CONFIG_WITHOUT, *MEMBERSHIP_FACTORIES))
        raise LabError(f"{(unknown or [other])[0]!r} is not known; expected one of {known}")
    try:
        faults_in_script = read_script(script) if script is not None else None
    except ScriptError as error:
        raise LabError(str(error)) from None
    seed_range = parse_seeds(seeds)
    if trace is not None:
        results = [
            World(
                number, routers, None, kinds, faults_in_script, MEMBERSHIP_FACTORIES[other], trace=trace
            ).run()
            for number in seed_range
        ]
    else:
        run = partial(run_seed, routers=routers, kinds=kinds, script=faults_in_script, other=other, off=off)
        results = run_in_processes(run, seed_range, jobs)
    if plot is not None:
        from lupintack.lab.charts import plot_detection_times

        plot_detection_times(plot, results)
    return summarize_members(routers, results)


def run_in_processes(run: Callable[[Seed], Run], seeds: Sequence[Seed], jobs: int) -> list[Run]:
    """Return the results of all runs in the order of the seeds; show the progress on a terminal."""
    if jobs == 1:
        return [run(number) for number in seeds]
    results = []
    with ProcessPoolExecutor(jobs) as pool:
        for count, result in enumerate(pool.map(run, seeds, chunksize=1), 1):
            results.append(result)
            if sys.stderr.isatty():
                print(f"\r{count} of {len(seeds)}", end="", file=sys.stderr)
    return results


def summarize_members(routers: int, results: Sequence[Result]) -> dict[str, Any]:
    """Return the summary of all runs, as it is printed on one line."""
    detect = sorted(us for result in results for us in result.detect_us)
    agree = [result.agree_us for result in results if result.agree_us >= 0]
    digest = hashlib.blake2b("".join(result.hash for result in results).encode(), digest_size=8).hexdigest()
    return {
        "runs": len(results),
        "routers": routers,
        "false_removals": sum(result.false_removals for result in results),
        "false_seeds": [result.seed for result in results if result.false_removals][:20],
        "missed": sum(result.missed for result in results),
        "disagree": sum(result.surplus_views > 0 for result in results),
        "disagree_seeds": [result.seed for result in results if result.surplus_views][:20],
        "broken": [
            f"{result.seed}: {result.broken_invariant}" for result in results if result.broken_invariant
        ][:5],
        "detect_p50_s": round(median(detect) / 1e6, 2) if detect else None,
        "detect_max_s": round(detect[-1] / 1e6, 2) if detect else None,
        "agree_max_s": round(max(agree) / 1e6, 2) if agree else None,
        "bytes_per_s": round(sum(result.bytes_per_s for result in results) / max(1, len(results))),
        "changes_max": max((result.changes for result in results), default=0),
        "hash": digest,
    }


def run_budgets(routers: int, seeds: str, jobs: int, regions: int = 0, levels: int = 2) -> dict[str, Any]:
    """Run fleets with budgets over the seeds; return their summary. `regions` 0: a fleet without regions."""
    if not regions:
        return budget_results.summarize(
            run_in_processes(partial(run_budget_seed, routers=routers), parse_seeds(seeds), jobs)
        )
    if regions * budget_levels.REGION_VOTERS > routers:
        raise LabError(
            f"--regions {regions}: each has {budget_levels.REGION_VOTERS} voters; more routers are needed"
        )
    run = partial(budget_levels.play, regions=regions, routers=routers, levels=levels)
    return budget_levels.summarize_levels(run_in_processes(run, parse_seeds(seeds), jobs))


def run_budget_seed(seed: int, routers: int) -> budget_results.Result:
    """Run one seed. A module-level function, so that it can be pickled for a worker process."""
    return budget_worlds.World(seed, routers).run()


def check_budgets(depth: int, states: int, jobs: int, levels: int = 1) -> dict[str, Any]:
    """Search all states of one or two allocation levels, once for each set of rates of the three clocks."""
    if levels == 2:
        level_bounds = level_searches.LevelBounds(max_depth=depth, max_states=states)
        results = run_in_processes(
            partial(level_searches.search, level_bounds), level_searches.clock_rates(), jobs
        )
    else:
        run = partial(search_budgets, searches.Bounds(max_depth=depth, max_states=states))
        results = run_in_processes(run, searches.clock_rates(), jobs)
    broken = next((result for result in results if result.script), None)
    return {
        "oversum": broken is not None,
        "clocks": len(results),
        "states": sum(result.states for result in results),
        "depth": min(result.depth for result in results),
        "whole": all(result.is_complete for result in results),
        "seconds": round(sum(result.seconds for result in results), 1),
        "script": broken.script if broken is not None else [],
        "rates": list(broken.rates) if broken is not None else [],
    }


def search_budgets(bounds: searches.Bounds, rates: tuple[int, ...]) -> searches.SearchResult:
    """Search the states of budgets within bounds at the given clock rates."""
    return searches.search(bounds, rates)


def describe_planted_bugs() -> dict[str, str]:
    """Return the names and descriptions of all bugs that can be planted."""
    budget_bugs = {**PLANTED_BUGS, **PLANTED_LEVEL_BUGS}
    descriptions = {name: bug.description for name, bug in budget_bugs.items()}
    return {name: bug.description for name, bug in PLANTED_MEMBERSHIP_BUGS.items()} | descriptions


def catch_planted_bug(name: str, seeds: int) -> dict[str, Any]:
    """Return how a planted bug is caught: the seed or script, and the failing check."""
    if name in PLANTED_BUGS:
        script, rates = find_by_search(name)
        caught_at = find_by_seeds(name, seeds)
        return {"name": name, "caught_at": caught_at, "by": script, "rates": list(rates), "seeds": seeds}
    if name in PLANTED_LEVEL_BUGS:
        return catch_planted_level_bug(name, seeds)
    if name not in PLANTED_MEMBERSHIP_BUGS:
        raise LabError(f"no bug {name!r}; expected one of {', '.join(describe_planted_bugs())}")
    seed, by = find_seed(name, seeds)
    return {"name": name, "caught_at": seed, "by": by, "seeds": seeds}


def catch_planted_level_bug(name: str, seeds: int) -> dict[str, Any]:
    """Return how a planted bug in budgets of two levels is caught: by its script, else at a seed."""
    script, rates = find_level_bug_by_search(name)
    replayed = find_level_bug_by_script(name)
    at: int | str | None = find_level_bug_by_seeds(name, seeds) if not replayed else "script"
    by = script or [text for text in (replayed,) if text]
    return {"name": name, "caught_at": at, "by": by, "rates": list(rates or ()), "seeds": seeds}
