"""Counts of events across a fleet, from the logs of routers run with LUPINTACK_TRACE=1 (docs/fleet.md).

    python benchmarks/fleet.py LOGS [--step 1000] [--zones]

Prints one column for each span of time: requests and their results, attempts by the member they were sent to
and by the source of their fills, and the results of attempts. Then it prints each member with the attempts
sent to it. With --zones the counts are printed for the routers of each zone, on a common time axis: it shows
how a site is lost and comes back.
"""

from __future__ import annotations

import argparse
import re
import sys
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from pathlib import Path

TRACE_LINE = re.compile(r"~ (\d+) (\w+) ?(.*)")


@dataclass
class Member:
    """A member as the routers' lists have it, and the attempts that they sent to it."""

    zone: int
    kind: int
    size: float
    is_new: bool
    listed_at: int
    removed_at: int = 0
    sent: Counter[int] = field(default_factory=Counter)
    named_as_source: Counter[int] = field(default_factory=Counter)
    outcomes: Counter[str] = field(default_factory=Counter)


class Fleet:
    """The trace lines of all routers, counted by spans of `step` ms."""

    def __init__(self, step: int) -> None:
        self.step = step
        self.rows: dict[int, Counter[str]] = defaultdict(Counter)
        self.members: dict[str, Member] = {}
        self.start = 0

    def read(self, path: Path) -> None:
        """Count the lines of one router's log."""
        attempt_counts: dict[str, int] = {}
        parts: dict[str, tuple[str, str]] = {}
        for line in path.read_text(errors="replace").splitlines():
            match = TRACE_LINE.search(line)
            if match is None:
                continue
            at, event, values = int(match[1]), match[2], match[3].split()
            self.start = self.start or at
            span = (at - self.start) // self.step
            row = self.rows[span]
            if event == "request":
                attempt_counts[values[0]] = 0
                row["asks"] += 1
                row[f"class{values[1]}"] += 1
                row["retries"] += int(values[4])
            elif event in ("reject", "fail", "local_copy"):
                row[event] += 1
            elif event == "fetch":
                attempt_counts[values[0]] = attempt_counts.get(values[0], 0) + 1
                parts[f"{values[0]}/{attempt_counts[values[0]] - 1}"] = (values[1], values[2])
                row["further"] += attempt_counts[values[0]] > 1
                self.count_fetch(span, values[1], values[2], row, values[4])
            elif event == "end":
                row["served"] += values[8] == "1" and values[3] == "OK"
                row["end " + values[3]] += 1
                row["note " + values[4]] += 1
                to, source = parts.pop(f"{values[0]}/{values[1]}", (values[2], ""))
                member = self.members.get(to)
                if member is not None:
                    member.outcomes[values[3]] += 1
                source_member = self.members.get(source)
                if source_member is not None and values[4] != "HIT":
                    source_member.outcomes["fill " + values[4]] += 1
            elif event == "list":
                row["lists"] += 1
                self.update_members(at, values[1:])

    def count_fetch(self, span: int, to: str, source: str, row: Counter[str], flags: str) -> None:
        row["fetches"] += 1
        row["held_only"] += flags[2] == "1"
        member, source_member = self.members.get(to), self.members.get(source)
        if member is not None:
            row[f"to kind{member.kind}"] += 1
            row["to new"] += member.is_new
            member.sent[span] += 1
        if source_member is not None and source != to:
            row[f"by kind{source_member.kind}"] += 1
            source_member.named_as_source[span] += 1

    def update_members(self, at: int, lines: list[str]) -> None:
        for line in lines:
            id_, zone, kind, state, size, started = line.split(":")
            member = self.members.setdefault(
                id_, Member(int(zone), int(kind), float(size), float(started) > 0, at - self.start)
            )
            if state != "READY":
                member.removed_at = member.removed_at or at - self.start

    def print_rows(self) -> None:
        names = sorted({name for row in self.rows.values() for name in row})
        names = [n for n in names if sum(row[n] for row in self.rows.values())]
        print("span".ljust(22), *(f"{span * self.step / 1000:6.1f}" for span in sorted(self.rows)))
        for name in names:
            print(name.ljust(22), *(f"{self.rows[span][name]:6d}" for span in sorted(self.rows)))
        print()

    def print_report(self) -> None:
        self.print_rows()
        for id_, member in sorted(self.members.items(), key=lambda pair: (pair[1].kind, pair[1].zone)):
            spans = range(max(self.rows) + 1)
            print(
                f"{id_:16} zone {member.zone} kind {member.kind} size {member.size:g} "
                f"{'new' if member.is_new else 'old'} "
                f"told {member.listed_at} left {member.removed_at} {dict(member.outcomes)}"
            )
            if sum(member.sent.values()):
                print("   sent ", *(member.sent[s] for s in spans))
            if sum(member.named_as_source.values()):
                print("   named", *(member.named_as_source[s] for s in spans))


def zone(path: Path) -> int:
    """Return a router's zone: that of the caches to which it sent most of its attempts."""
    kinds: dict[str, tuple[int, int]] = {}
    attempts: Counter[int] = Counter()
    text = path.read_text(errors="replace")
    for match in TRACE_LINE.finditer(text):
        values = match[3].split()
        if match[2] == "list":
            for line in values[1:]:
                id_, zone_id, kind, *_ = line.split(":")
                kinds[id_] = int(zone_id), int(kind)
        elif match[2] == "fetch" and values[1] in kinds:
            zone_id, member_kind = kinds[values[1]]
            attempts[zone_id] += member_kind == 0
    return max(attempts, key=lambda zone_id: attempts[zone_id], default=-1)


def print_zones(logs: Path, step: int) -> int:
    """Print the rows for the routers of each zone; all spans begin at the first line of any router."""
    groups: dict[int, list[Path]] = defaultdict(list)
    start_times = []
    for path in sorted(logs.glob("*.log")):
        first = TRACE_LINE.search(path.read_text(errors="replace"))
        if first is not None:
            start_times.append(int(first[1]))
            groups[zone(path)].append(path)
    for zone_id, paths in sorted(groups.items()):
        fleet = Fleet(step)
        fleet.start = min(start_times)
        for path in paths:
            fleet.read(path)
        print(f"zone {zone_id}: {len(paths)} routers")
        fleet.print_rows()
    return 0 if groups else 1


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("logs", type=Path)
    parser.add_argument("--step", type=int, default=1000, help="span in ms")
    parser.add_argument("--zones", action="store_true", help="print the rows for the routers of each zone")
    arguments = parser.parse_args()
    if arguments.zones:
        return print_zones(arguments.logs, arguments.step)
    fleet = Fleet(arguments.step)
    for path in sorted(arguments.logs.glob("*.log")):
        fleet.read(path)
    if not fleet.rows:
        print("no traced lines: were the routers started with LUPINTACK_TRACE=1?", file=sys.stderr)
        return 1
    fleet.print_report()
    return 0


if __name__ == "__main__":
    sys.exit(main())
