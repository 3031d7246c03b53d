"""`lupintack lab`: runs over seeds in several processes, and their figures on one line."""

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
MAKERS: dict[str, MembershipFactory] = {
    "membership": create_membership,
    "swim": swim,
    "heartbeats": heartbeats,
}
OFF: dict[str, dict[str, Any]] = {
    "health": {"max_health_score": 0, "listen_after_pause_us": 0, "pause_threshold_us": 1 << 60},
    "watchers": {"ring_count": 1},
    "confirmation": {"max_failure_timeout_us": MembershipConfig().failure_timeout_us, "quorum_share": 0.0},
}


class LabError(ValueError):
    """What was asked for can't be played."""


def seeds_of(text: str) -> range:
    """A-B, both ends played."""
    first, _, last = text.partition("-")
    if not (first.isdigit() and (last or first).isdigit()) or int(last or first) < int(first):
        raise LabError(f"--seeds: A-B is wanted, not {text!r}")
    return range(int(first), int(last or first) + 1)


def one(
    seed: int,
    routers: int,
    kinds: Sequence[str],
    script: Sequence[Fault] | None,
    other: str,
    off: Sequence[str],
) -> Result:
    """One run; a function of its own, so that another process can be given it."""
    terms = MembershipConfig()
    for name in off:
        terms = replace(terms, **OFF[name])
    return World(seed, routers, terms, kinds, script, MAKERS[other]).run()


def members(
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
    """The figures of all runs."""
    kinds = tuple(name for name in faults.split(",") if name) or tuple(FAULT_KINDS)
    wrong = [name for name in kinds if name not in FAULT_KINDS] + [name for name in off if name not in OFF]
    if wrong or other not in MAKERS:
        known = ", ".join((*FAULT_KINDS, *OFF, *MAKERS))
        raise LabError(f"{(wrong or [other])[0]!r} is not known; wanted is one of {known}")
    try:
        told = read_script(script) if script is not None else None
    except ScriptError as error:
        raise LabError(str(error)) from None
    numbers = seeds_of(seeds)
    if trace is not None:
        found = [World(n, routers, None, kinds, told, MAKERS[other], trace=trace).run() for n in numbers]
    else:
        play = partial(one, routers=routers, kinds=kinds, script=told, other=other, off=off)
        found = spread(play, numbers, jobs)
    if plot is not None:
        from lupintack.lab.charts import plot_detection_times

        plot_detection_times(plot, found)
    return figures(routers, found)


def spread(play: Callable[[Seed], Run], numbers: Sequence[Seed], jobs: int) -> list[Run]:
    """All runs, in the order of their seeds; progress on a terminal."""
    if jobs == 1:
        return [play(number) for number in numbers]
    found = []
    with ProcessPoolExecutor(jobs) as pool:
        for count, result in enumerate(pool.map(play, numbers, chunksize=1), 1):
            found.append(result)
            if sys.stderr.isatty():
                print(f"\r{count} of {len(numbers)}", end="", file=sys.stderr)
    return found


def figures(routers: int, found: Sequence[Result]) -> dict[str, Any]:
    """One line's worth."""
    detect = sorted(us for one in found for us in one.detect_us)
    agree = [one.agree_us for one in found if one.agree_us >= 0]
    digest = hashlib.blake2b("".join(one.hash for one in found).encode(), digest_size=8).hexdigest()
    return {
        "runs": len(found),
        "routers": routers,
        "false_removals": sum(one.false_removals for one in found),
        "false_seeds": [one.seed for one in found if one.false_removals][:20],
        "missed": sum(one.missed for one in found),
        "disagree": sum(one.surplus_views > 0 for one in found),
        "disagree_seeds": [one.seed for one in found if one.surplus_views][:20],
        "broken": [f"{one.seed}: {one.broken_invariant}" for one in found if one.broken_invariant][:5],
        "detect_p50_s": round(median(detect) / 1e6, 2) if detect else None,
        "detect_max_s": round(detect[-1] / 1e6, 2) if detect else None,
        "agree_max_s": round(max(agree) / 1e6, 2) if agree else None,
        "bytes_per_s": round(sum(one.bytes_per_s for one in found) / max(1, len(found))),
        "changes_max": max((one.changes for one in found), default=0),
        "hash": digest,
    }


def budgets(routers: int, seeds: str, jobs: int, regions: int = 0, levels: int = 2) -> dict[str, Any]:
    """The figures of all runs of fleets with budgets; `regions` 0: a fleet without them."""
    if not regions:
        return budget_results.summarize(spread(partial(budget_run, routers=routers), seeds_of(seeds), jobs))
    if regions * budget_levels.REGION_VOTERS > routers:
        raise LabError(
            f"--regions {regions}: each has {budget_levels.REGION_VOTERS} voters; more routers are wanted"
        )
    play = partial(budget_levels.play, regions=regions, routers=routers, levels=levels)
    return budget_levels.summarize_levels(spread(play, seeds_of(seeds), jobs))


def budget_run(seed: int, routers: int) -> budget_results.Result:
    """One run; a function of its own, so that another process can be given it."""
    return budget_worlds.World(seed, routers).run()


def check(depth: int, states: int, jobs: int, levels: int = 1) -> dict[str, Any]:
    """A search of one level or of two with each setting of the three clocks."""
    if levels == 2:
        level_bounds = level_searches.LevelBounds(max_depth=depth, max_states=states)
        found = spread(partial(level_searches.search, level_bounds), level_searches.clock_rates(), jobs)
    else:
        play = partial(search, searches.Bounds(max_depth=depth, max_states=states))
        found = spread(play, searches.clock_rates(), jobs)
    broken = next((one for one in found if one.script), None)
    return {
        "oversum": broken is not None,
        "clocks": len(found),
        "states": sum(one.states for one in found),
        "depth": min(one.depth for one in found),
        "whole": all(one.is_complete for one in found),
        "seconds": round(sum(one.seconds for one in found), 1),
        "script": broken.script if broken is not None else [],
        "rates": list(broken.rates) if broken is not None else [],
    }


def search(bounds: searches.Bounds, rates: tuple[int, ...]) -> searches.SearchResult:
    """Search the states of budgets within bounds, at these rates of the clocks."""
    return searches.search(bounds, rates)


def planted() -> dict[str, str]:
    """Return all planted bugs' names and descriptions."""
    budget_bugs = {**PLANTED_BUGS, **PLANTED_LEVEL_BUGS}
    descriptions = {name: bug.description for name, bug in budget_bugs.items()}
    return {name: bug.description for name, bug in PLANTED_MEMBERSHIP_BUGS.items()} | descriptions


def plant(name: str, seeds: int) -> dict[str, Any]:
    """Where a planted bug is caught."""
    if name in PLANTED_BUGS:
        script, rates = find_by_search(name)
        at = find_by_seeds(name, seeds)
        return {"name": name, "caught_at": at, "by": script, "rates": list(rates), "seeds": seeds}
    if name in PLANTED_LEVEL_BUGS:
        return plant_in_levels(name, seeds)
    if name not in PLANTED_MEMBERSHIP_BUGS:
        raise LabError(f"no bug {name!r}; wanted is one of {', '.join(planted())}")
    seed, by = find_seed(name, seeds)
    return {"name": name, "caught_at": seed, "by": by, "seeds": seeds}


def plant_in_levels(name: str, seeds: int) -> dict[str, Any]:
    """Where a bug in budgets of two levels is caught: at a seed, else by its script."""
    script, rates = find_level_bug_by_search(name)
    shown = find_level_bug_by_script(name)
    at: int | str | None = find_level_bug_by_seeds(name, seeds) if not shown else "script"
    by = script or [text for text in (shown,) if text]
    return {"name": name, "caught_at": at, "by": by, "rates": list(rates or ()), "seeds": seeds}
