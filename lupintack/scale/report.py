"""Computes the result of a scale run from the measurements of its processes. No I/O, no clock."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from lupintack.scale.hollow_messages import MAX_TICK_DELAY_US, Finished, LeaseStatus, Removal, RouterReport
from lupintack.scale.hollow_plan import BudgetPlan, FleetSize

REMOVAL_GRACE_US = 20_000_000  # a fault may cause removals for this long after its end
MIN_DETECTABLE_OUTAGE_US = 5_000_000  # a shorter pause or cut must not cause removals
MAX_LISTED_REMOVALS = 5
DETECTION_TIMEOUT_US = 25_000_000  # a kill later than this before the end may be undetected


class Role(Enum):
    """The role of a process in the control plane."""

    ROUTER = "router"
    VOTER = "voter"
    REGION_ALLOCATOR = "region_allocator"
    ALLOCATOR = "allocator"
    DISCOVERY = "discovery"


class DowntimeKind(Enum):
    """Why a router was down."""

    KILLED = "kill"
    LEFT = "leave"
    PAUSED = "pause"


@dataclass(slots=True)
class Downtime:
    """An interval in which a router was not running, or was paused."""

    name: str
    kind: DowntimeKind
    from_us: int
    until_us: int | None = None


@dataclass(slots=True)
class CutTime:
    """An interval in which some routers were cut off from all others."""

    names: frozenset[str]
    from_us: int
    until_us: int | None = None


@dataclass(slots=True)
class History:
    """The faults of a run with their times, and the measurements of the coordinator."""

    began_us: int = 0
    ended_us: int = 0
    downtimes: list[Downtime] = field(default_factory=list)
    cuts: list[CutTime] = field(default_factory=list)
    settled: bool = False  # the routers converged before the measurement began
    settle_s: float = 0.0
    max_rss_bytes: int = 0
    discovery_cpu_s: list[float] = field(default_factory=list)  # of each discovery process

    def open_downtime(self, name: str) -> Downtime | None:
        """Return a router's downtime that has not ended, or None."""
        return next((d for d in reversed(self.downtimes) if d.name == name and d.until_us is None), None)


@dataclass(frozen=True, slots=True)
class Detection:
    """Delays from the kill of a router to the removal reported by each other router."""

    delays_us: tuple[int, ...]
    missed: int  # pairs of a killed router and an observer that did not report its removal


def percentile(values: Sequence[float], fraction: float) -> float | None:
    """Return the nearest-rank percentile; None without values."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[max(0, math.ceil(fraction * len(ordered)) - 1)]


def count_percentile(counts: Mapping[int, int], fraction: float) -> int | None:
    """Return the nearest-rank percentile of values given with their counts; None without values."""
    rank = math.ceil(fraction * sum(counts.values()))
    seen = 0
    for value in sorted(counts):
        seen += counts[value]
        if seen >= rank:
            return value
    return None


def role_of(report: RouterReport) -> Role:
    """Return the highest role that a router had."""
    if report.allocator:
        return Role.ALLOCATOR
    if report.region_allocator:
        return Role.REGION_ALLOCATOR
    return Role.VOTER if report.voter else Role.ROUTER


def cpu_share(report: RouterReport) -> float:
    """Return the share of one core that a router used."""
    parts = (report.membership, report.budgets, report.discovery, report.settings)
    return sum(usage.cpu_ns for usage in parts) / 1000 / max(1, report.measured_us)


def bytes_per_s(report: RouterReport) -> float:
    """Return the traffic in both directions, without UDP, TCP and IP headers."""
    parts = (report.membership, report.budgets, report.discovery)
    return sum(usage.bytes_in + usage.bytes_out for usage in parts) * 1e6 / max(1, report.measured_us)


def largest_excess(leases: Iterable[LeaseStatus], budgets: Sequence[BudgetPlan]) -> int:
    """Return the largest excess of all leases over a budget's total at any instant, in units; 0: none."""
    changes_by_budget: list[list[tuple[int, int]]] = [[] for _ in budgets]
    for lease in leases:
        for index, units in lease.amounts:
            if lease.until_us > lease.from_us:
                changes_by_budget[index].append((lease.from_us, units))
                changes_by_budget[index].append((lease.until_us, -units))
    excess = 0
    for budget, changes in zip(budgets, changes_by_budget, strict=True):
        held = 0
        for _, units in sorted(changes):  # at equal times, lease ends sort before starts
            held += units
            excess = max(excess, held - budget.total)
    return excess


def detections(history: History, removals: Sequence[Removal], observers: Sequence[str]) -> Detection:
    """Compute the detection delays; a router that restarts before its detection is due is not missed."""
    removal_times: dict[str, dict[str, list[int]]] = defaultdict(lambda: defaultdict(list))
    for removal in removals:
        for name in removal.names:
            removal_times[name][removal.observer].append(removal.at_us)
    down = {downtime.name for downtime in history.downtimes}
    delays = []
    missed = 0
    for downtime in history.downtimes:
        if downtime.kind is not DowntimeKind.KILLED:
            continue
        until = downtime.until_us if downtime.until_us is not None else history.ended_us
        for observer in observers:
            if observer == downtime.name or observer in down:
                continue
            first = min(
                (at for at in removal_times[downtime.name][observer] if at >= downtime.from_us), default=None
            )
            if first is not None and first <= until + DETECTION_TIMEOUT_US:
                delays.append(first - downtime.from_us)
            elif until - downtime.from_us >= DETECTION_TIMEOUT_US:
                missed += 1
    return Detection(tuple(delays), missed)


def false_removals(history: History, removals: Sequence[Removal]) -> dict[str, Removal]:
    """Return routers whose removal no fault of the script explains, each with its first such removal."""
    unexplained: dict[str, Removal] = {}
    for removal in removals:
        for name in removal.names:
            if not is_explained(history, removal, name):
                unexplained.setdefault(name, removal)
    return unexplained


def format_removals(history: History, false_removals: Mapping[str, Removal]) -> list[str]:
    """Describe the first few false removals, for troubleshooting."""
    return [
        f"{name} by {removal.observer} at {(removal.at_us - history.began_us) / 1e6:.1f} s"
        for name, removal in sorted(false_removals.items())[:MAX_LISTED_REMOVALS]
    ]


def is_explained(history: History, removal: Removal, name: str) -> bool:
    """Return whether a downtime of `name` or the observer, or a cut between them, explains a removal."""
    for downtime in history.downtimes:
        if downtime.name not in (name, removal.observer):
            continue
        silent_us = MIN_DETECTABLE_OUTAGE_US if downtime.kind is DowntimeKind.PAUSED else 0
        if covers_removal(downtime.from_us, downtime.until_us, removal.at_us, silent_us):
            return True
    return any(
        (name in cut.names) != (removal.observer in cut.names)
        and covers_removal(cut.from_us, cut.until_us, removal.at_us, MIN_DETECTABLE_OUTAGE_US)
        for cut in history.cuts
    )


def covers_removal(from_us: int, until_us: int | None, at_us: int, silent_us: int) -> bool:
    """Return whether a fault in this interval explains a removal at `at_us`."""
    end = until_us if until_us is not None else at_us
    return end - from_us >= silent_us and from_us + silent_us <= at_us <= end + REMOVAL_GRACE_US


def percentile_by_role(values: Mapping[Role, Sequence[float]], fraction: float) -> dict[str, float]:
    """Return a rounded percentile for each role."""
    percentiles = {}
    for role in Role:
        value = percentile(values.get(role, ()), fraction)
        if value is not None:
            percentiles[role.value] = round(value, 5)
    return percentiles


def ms_to_s(ms: int | None) -> float | None:
    """Convert milliseconds to seconds."""
    return None if ms is None else round(ms / 1000, 3)


def result_line(
    size: FleetSize,
    processes: int,
    real: int,
    levels: int,
    budgets: Sequence[BudgetPlan],
    history: History,
    finished: Sequence[Finished],
) -> dict[str, Any]:
    """Return the result line of a run; docs/scale.md describes the fields."""
    reports = [report for process in finished for report in process.routers]
    removals = [removal for process in finished for removal in process.removals]
    purges, changes = Counter[int](), Counter[int]()
    for process in finished:
        purges.update(process.purge_ms)
        changes.update(process.change_ms)
    shares: dict[Role, list[float]] = defaultdict(list)
    for report in reports:
        shares[role_of(report)].append(cpu_share(report))
    length_s = max(1e-6, (history.ended_us - history.began_us) / 1e6)
    shares[Role.DISCOVERY] = [cpu_s / length_s for cpu_s in history.discovery_cpu_s]
    traffic = [bytes_per_s(report) for report in reports]
    detection = detections(history, removals, [report.name for report in reports])
    behind = len({report.name for report in reports if report.max_tick_delay_us > MAX_TICK_DELAY_US})
    leases = (lease for report in reports for lease in report.leases)
    unexplained = false_removals(history, removals)
    delays = [us / 1e6 for us in detection.delays_us]
    return {
        "routers": size.routers + real,
        "hollow": size.routers,
        "processes": processes,
        "regions": size.regions,
        "zones": size.zones,
        "sites": size.sites,
        "budgets": len(budgets),
        "levels": levels,
        "seconds": round(length_s, 1),
        "settled": history.settled,
        "settle_s": round(history.settle_s, 1),
        "cpu_share_p50": percentile_by_role(shares, 0.5),
        "cpu_share_max": percentile_by_role(shares, 1.0),
        "cpu_share_parts_p50": median_by_part(reports, "cpu"),
        "bytes_per_s_p50": rounded(percentile(traffic, 0.5), 0),
        "bytes_per_s_max": rounded(percentile(traffic, 1.0), 0),
        "bytes_per_s_parts_p50": median_by_part(reports, "bytes"),
        "rss_mb": round(history.max_rss_bytes / 2**20),
        "purges": sum(purges.values()),
        "purge_p50_s": ms_to_s(count_percentile(purges, 0.5)),
        "purge_p99_s": ms_to_s(count_percentile(purges, 0.99)),
        "purge_max_s": ms_to_s(max(purges, default=None)),
        "changes": sum(changes.values()),
        "change_p99_s": ms_to_s(count_percentile(changes, 0.99)),
        "detections": len(delays),
        "detect_p50_s": rounded(percentile(delays, 0.5), 2),
        "detect_max_s": rounded(percentile(delays, 1.0), 2),
        "detect_missed": detection.missed,
        "false_removals": len(unexplained),
        "falsely_removed": format_removals(history, unexplained),
        "oversum": largest_excess(leases, budgets),
        "late_max_s": rounded(max((report.max_tick_delay_us for report in reports), default=0) / 1e6, 3),
        "turn_max_s": rounded(max((process.max_turn_us for process in finished), default=0) / 1e6, 3),
        "turn_cpu_max_s": rounded(max((process.max_turn_cpu_ns for process in finished), default=0) / 1e9, 3),
        "process_cpu_share_max": rounded(
            max((process.loop_cpu_ns for process in finished), default=0) / 1e9 / length_s, 3
        ),
        "behind": behind,
        "overloaded": behind > 0 or not history.settled,
        "faults": sum(process.exceptions for process in finished),
    }


def median_by_part(reports: Sequence[RouterReport], resource: str) -> dict[str, float | None]:
    """Return the median use of each part of a router: share of a core, or bytes per second."""
    medians = {}
    for part in ("membership", "budgets", "discovery", "settings"):
        values = []
        for report in reports:
            usage = getattr(report, part)
            used = usage.cpu_ns / 1000 if resource == "cpu" else (usage.bytes_in + usage.bytes_out) * 1e6
            values.append(used / max(1, report.measured_us))
        medians[part] = rounded(percentile(values, 0.5), 5 if resource == "cpu" else 0)
    return medians


def rounded(value: float | None, digits: int) -> float | None:
    """Round a value unless it is None."""
    return None if value is None else round(value, digits)
