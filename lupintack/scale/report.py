"""The figures of a scale run, worked out from what its processes have measured. Pure: no I/O, no clock."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from lupintack.scale.hollow_messages import Finished, LeaseStatus, Removal, RouterReport
from lupintack.scale.hollow_plan import BudgetPlan, FleetSize

MAX_TICK_DELAY_US = 500_000  # a tick later than this: the router does not keep up
REMOVAL_GRACE_US = 20_000_000  # after a fault has ended, a removal that it caused may still be told
MIN_DETECTABLE_OUTAGE_US = 5_000_000  # a pause or cut this short must remove nobody
MAX_LISTED_REMOVALS = 5
DETECTION_TIMEOUT_US = 25_000_000  # a kill this close to the end need not have been told by then


class Role(Enum):
    """What a process does for control."""

    ROUTER = "router"
    VOTER = "voter"
    REGION_ALLOCATOR = "region_allocator"
    ALLOCATOR = "allocator"
    DISCOVERY = "discovery"


class DowntimeKind(Enum):
    """Why a router was not there."""

    KILLED = "kill"
    LEFT = "leave"
    PAUSED = "pause"


@dataclass(slots=True)
class Downtime:
    """A time in which a router was not running, or stood still."""

    name: str
    kind: DowntimeKind
    from_us: int
    until_us: int | None = None


@dataclass(slots=True)
class CutTime:
    """A time in which some routers were cut off from all others."""

    names: frozenset[str]
    from_us: int
    until_us: int | None = None


@dataclass(slots=True)
class History:
    """What the script did, when it was done, and what was seen from outside."""

    began_us: int = 0
    ended_us: int = 0
    downtimes: list[Downtime] = field(default_factory=list)
    cuts: list[CutTime] = field(default_factory=list)
    settled: bool = False  # all routers had one view before the measurement began
    settle_s: float = 0.0
    max_rss_bytes: int = 0
    discovery_cpu_s: list[float] = field(default_factory=list)  # of each discovery process

    def open_downtime(self, name: str) -> Downtime | None:
        """The one that has not ended."""
        return next((d for d in reversed(self.downtimes) if d.name == name and d.until_us is None), None)


@dataclass(frozen=True, slots=True)
class Detection:
    """How long after their kills routers were told to be gone, at each router that saw it."""

    delays_us: tuple[int, ...]
    missed: int  # pairs of a killed router and one that ran on and did not tell so


def percentile(values: Sequence[float], fraction: float) -> float | None:
    """The smallest value that so great a part does not exceed; None of nothing."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[max(0, math.ceil(fraction * len(ordered)) - 1)]


def count_percentile(counts: Mapping[int, int], fraction: float) -> int | None:
    """The same of values with how often each came."""
    rank = math.ceil(fraction * sum(counts.values()))
    seen = 0
    for value in sorted(counts):
        seen += counts[value]
        if seen >= rank:
            return value
    return None


def role_of(report: RouterReport) -> Role:
    """The most that a router did."""
    if report.allocator:
        return Role.ALLOCATOR
    if report.region_allocator:
        return Role.REGION_ALLOCATOR
    return Role.VOTER if report.voter else Role.ROUTER


def cpu_share(report: RouterReport) -> float:
    """Of one core."""
    parts = (report.membership, report.budgets, report.discovery, report.settings)
    return sum(usage.cpu_ns for usage in parts) / 1000 / max(1, report.measured_us)


def bytes_per_s(report: RouterReport) -> float:
    """Both directions, without the headers of UDP, TCP and IP."""
    parts = (report.membership, report.budgets, report.discovery)
    return sum(usage.bytes_in + usage.bytes_out for usage in parts) * 1e6 / max(1, report.measured_us)


def largest_excess(leases: Iterable[LeaseStatus], budgets: Sequence[BudgetPlan]) -> int:
    """By how many units all leases together passed a budget's whole, at the worst instant; 0: never."""
    changes_by_budget: list[list[tuple[int, int]]] = [[] for _ in budgets]
    for lease in leases:
        for index, units in lease.amounts:
            if lease.until_us > lease.from_us:
                changes_by_budget[index].append((lease.from_us, units))
                changes_by_budget[index].append((lease.until_us, -units))
    excess = 0
    for budget, changes in zip(budgets, changes_by_budget, strict=True):
        held = 0
        for _, units in sorted(changes):  # of one instant, what ends comes first
            held += units
            excess = max(excess, held - budget.total)
    return excess


def detections(history: History, removals: Sequence[Removal], observers: Sequence[str]) -> Detection:
    """From each kill to what each other router told; a router that was back first counts for nothing."""
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
    """The routers that were told to be gone though no fault of the script explains it, and who did first."""
    unexplained: dict[str, Removal] = {}
    for removal in removals:
        for name in removal.names:
            if not is_explained(history, removal, name):
                unexplained.setdefault(name, removal)
    return unexplained


def format_removals(history: History, false_removals: Mapping[str, Removal]) -> list[str]:
    """The first few, for whoever looks for the cause."""
    return [
        f"{name} by {removal.observer} at {(removal.at_us - history.began_us) / 1e6:.1f} s"
        for name, removal in sorted(false_removals.items())[:MAX_LISTED_REMOVALS]
    ]


def is_explained(history: History, removal: Removal, name: str) -> bool:
    """Whether a kill, a long pause or a long cut explains that this observer told of this router's end."""
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
    """Whether a fault of that time explains a removal at that moment."""
    end = until_us if until_us is not None else at_us
    return end - from_us >= silent_us and from_us + silent_us <= at_us <= end + REMOVAL_GRACE_US


def percentile_by_role(values: Mapping[Role, Sequence[float]], fraction: float) -> dict[str, float]:
    """A percentile of each role, rounded."""
    percentiles = {}
    for role in Role:
        value = percentile(values.get(role, ()), fraction)
        if value is not None:
            percentiles[role.value] = round(value, 5)
    return percentiles


def ms_to_s(ms: int | None) -> float | None:
    """Milliseconds as seconds."""
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
    """The run's one line; docs/scale.md says what each field is."""
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
    """The median of what each part of a router used: share of a core, or bytes a second."""
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
    """A figure as the line shows it."""
    return None if value is None else round(value, digits)
