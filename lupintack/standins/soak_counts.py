"""Counts the rules that a run of the soak broke, from the records of members, clients and signals."""

from __future__ import annotations

import math
import time
from dataclasses import dataclass, field, fields
from typing import NamedTuple

from lupintack.standins.edge import Edge, End

DELAY_S = 0.02  # of each answer of a member, its service time
GRACE_S = 0.5  # of a drain, in the settings of the deployment
PURGE_GRACE_S = 0.3
SLACK_S = 0.1  # 50 ms tolerance on sockets, and 50 ms for a busy machine
DEADLINE_SLACK_S = 0.15
LEFT_SLACK_S = 0.1
KILL_SLACK_S = 0.05
LATE_S = 0.5  # an answer later than this after its deadline counts as missing
INITIAL_CAPACITY_SHARE, SLOW_START_S, FALL_MULTIPLE, SHARE = 0.2, 4.0, 2.0, 1.0
MAX_READY_S = 10.0


@dataclass
class Counts:
    """Number of violations of each rule in a run."""

    drained: int = 0  # calls to or from draining servers after the grace time
    unanswered: int = 0
    answered_twice: int = 0
    written_twice: int = 0
    after_leaving: int = 0  # attempts more than 0.1 s after their client disconnected
    long_deadlines: int = 0
    over_cold_budget: int = 0
    stale: int = 0  # copies older than a purge
    wrongly_failed: int = 0  # 502, as if it may have run, without any attempt
    late_starts: int = 0
    late_ends: int = 0  # processes that only SIGKILL ended after a SIGTERM
    crashes: int = 0

    def broken(self) -> int:
        return sum(getattr(self, count_field.name) for count_field in fields(self))

    def line(self) -> str:
        return " ".join(
            f"{count_field.name}={getattr(self, count_field.name)}" for count_field in fields(self)
        )


@dataclass
class Notification:
    """A discovery event: when it was published, and from when it counts as notified."""

    at_s: float
    name: str
    effective_s: float


@dataclass
class Result:
    """The counts and the log of one run."""

    seed: int
    counts: Counts
    script: list[str]
    ready_s: list[float] = field(default_factory=list)
    requests: int = 0
    served: int = 0
    notes: list[str] = field(default_factory=list)


class Kill(NamedTuple):
    """A SIGKILL: when it was sent, when its process had ended, and whether it followed a SIGTERM."""

    sent_s: float
    ended_s: float
    is_planned: bool


@dataclass
class History:
    """The events of a run; times are monotonic seconds."""

    began_s: float = field(default_factory=time.monotonic)
    starts: list[tuple[float, float]] = field(default_factory=list)  # of each process: started, ready
    kills: list[Kill] = field(default_factory=list)
    pauses: list[tuple[float, float]] = field(default_factory=list)  # of the process: from, to
    late_ends: int = 0
    drains: list[Notification] = field(default_factory=list)
    returns: list[Notification] = field(default_factory=list)
    member_starts: list[Notification] = field(default_factory=list)  # starts of members
    # Purges: when, their Unix ms, the object, and from when they count as notified.
    purges: list[tuple[float, int, str, float]] = field(default_factory=list)


class RunAnalysis:
    """Counts the violations in one run."""

    def __init__(self, history: History, edge: Edge, result: Result) -> None:
        self.history = history
        self.edge = edge
        self.result = result

    def note(self, text: str) -> None:
        if len(self.result.notes) < 20:
            self.result.notes.append(text)

    def at(self, moment_s: float) -> str:
        return f"{moment_s - self.history.began_s:.3f}"

    def count(self) -> Result:
        """Fill in all counts and return the result."""
        counts, edge = self.result.counts, self.edge
        self.result.requests = len(edge.requests)
        self.result.served = sum(client_record.status == 200 for client_record in edge.requests)
        self.count_calls(counts)
        self.count_requests(counts)
        counts.over_cold_budget = self.count_slow_start_excess()
        counts.written_twice = sum(runs > 1 for runs in self.edge.fleet.ran.values())
        counts.late_ends = self.history.late_ends
        counts.late_starts = sum(took_s > MAX_READY_S for took_s in self.result.ready_s)
        return self.result

    def count_calls(self, counts: Counts) -> None:
        records = {client_record.wire_id: client_record for client_record in self.edge.requests}
        for call in list(self.edge.calls):
            record = records.get(call.wire_id)
            if record is None:
                continue  # the client has not added its record yet
            for name in {call.member, call.fields.get("miss", "")}:
                if name and self.drained(name, call.at_s):
                    counts.drained += 1
                    self.note(
                        f"{self.at(call.at_s)} {call.wire_id} to {call.member} from {call.fields.get('miss')}"
                    )
            left_s = record.sent_s + record.wait_ms / 1000 - call.at_s
            if int(call.fields["limit"]) / 1000 > left_s + DEADLINE_SLACK_S:
                counts.long_deadlines += 1
                self.note(f"{self.at(call.at_s)} limit {call.fields['limit']} with {left_s:.3f} s left")
            if record.end is End.LEFT and call.at_s > record.ended_s + LEFT_SLACK_S:
                counts.after_leaving += 1
                self.note(
                    f"{self.at(call.at_s)} {call.wire_id} at {call.member}, left {self.at(record.ended_s)}"
                )

    def drained(self, name: str, at_s: float) -> bool:
        """Return whether a member must not get new work at a time, as its drain counts as notified."""
        returned_s = max((event.at_s for event in self.history.returns if event.name == name), default=0.0)
        for drain in self.history.drains:
            if drain.name != name or drain.at_s < returned_s:
                continue  # it has returned since then
            if at_s > self.notified_s(drain, at_s) + GRACE_S + SLACK_S:
                return True
        return False

    def notified_s(self, notification: Notification, at_s: float) -> float:
        """Return from when the process that ran at a time counts as notified: of events before its start,
        from their publication.
        """
        started = max((began for began, _ in self.history.starts if began <= at_s), default=0.0)
        return notification.at_s if notification.at_s < started else notification.effective_s

    def count_requests(self, counts: Counts) -> None:
        called = {call.wire_id for call in list(self.edge.calls)}
        edge_writes = self.edge.fleet.writes
        for record in self.edge.requests:
            if record.answers > 1:
                counts.answered_twice += 1
            # Requests cut off by a SIGKILL without SIGTERM, or written before that end, do not count.
            killed = any(
                record.sent_s - KILL_SLACK_S <= kill.ended_s and kill.sent_s <= record.ended_s + KILL_SLACK_S
                for kill in self.history.kills
                if not kill.is_planned
            )
            # A paused process answers only after the pause.
            paused_s = sum(
                max(0.0, min(end, record.ended_s) - max(began, record.sent_s))
                for began, end in self.history.pauses
            )
            late = (
                record.end is End.ANSWERED
                and record.ended_s - record.sent_s - paused_s > record.wait_ms / 1000 + LATE_S
            )
            if record.status == 502 and record.cls not in edge_writes and record.wire_id not in called:
                counts.wrongly_failed += 1
                self.note(f"{self.at(record.sent_s)} {record.wire_id} failed without an attempt")
            if (record.end in (End.CUT, End.OPEN) and not killed) or (late and not killed):
                counts.unanswered += 1
                self.note(
                    f"{self.at(record.sent_s)} {record.wire_id} {record.end.value}"
                    f" until {self.at(record.ended_s)}"
                )
            for purge_s, unix_ms, item, effective_s in self.history.purges:
                bound = effective_s + PURGE_GRACE_S + SLACK_S
                started = max(
                    (began for began, _ in self.history.starts if began <= record.sent_s), default=0.0
                )
                bound = min(bound, purge_s + PURGE_GRACE_S + SLACK_S) if purge_s < started else bound
                if (
                    record.issued_ms
                    and record.item == item
                    and record.issued_ms < unix_ms
                    and record.sent_s > bound
                ):
                    counts.stale += 1
                    self.note(f"{self.at(record.sent_s)} {record.wire_id} older than {self.at(purge_s)}")

    def count_slow_start_excess(self) -> int:
        """Return the number of cold members that got more calls in a second than slow start allows."""
        excess_windows = 0
        for start in self.history.member_starts:
            name, began = start.name, start.at_s
            call_times = sorted(call.at_s for call in self.edge.calls_to([name], began))
            call_times = [
                at for at in call_times if at < began + SLOW_START_S and at >= self.notified_s(start, at)
            ]
            for number, at in enumerate(call_times):
                call_count = sum(at <= other < at + 1.0 for other in call_times[number:])
                capacity_share = min(
                    1.0,
                    INITIAL_CAPACITY_SHARE
                    + (1.0 - INITIAL_CAPACITY_SHARE) * (at + 1.0 - began) / SLOW_START_S,
                )
                allowed = capacity_share * SHARE * FALL_MULTIPLE * 1.0 / DELAY_S
                deviation = math.sqrt(allowed)
                slack = 2 * deviation + 2 if allowed >= 30 else 3 * deviation + 3
                if call_count > allowed + slack:
                    excess_windows += 1
                    self.note(f"{self.at(at)} {name} got {call_count}, {allowed:.0f} allowed")
                    break
        return excess_windows


def count(history: History, edge: Edge, result: Result) -> Result:
    """Return the result of a run with its counts."""
    return RunAnalysis(history, edge, result).count()


def closing_line(results: list[Result]) -> str:
    """Return the line with the seeds, the runs, the sum of each count, and the longest start in seconds."""
    total = Counts()
    for result in results:
        for count in fields(total):
            setattr(total, count.name, getattr(total, count.name) + getattr(result.counts, count.name))
    seeds = f"{results[0].seed}-{results[-1].seed}"
    worst_ready_s = max(ready_s for result in results for ready_s in result.ready_s)
    requests = sum(result.requests for result in results)
    served = sum(result.served for result in results)
    head = f"seeds={seeds} runs={len(results)} requests={requests} served={served}"
    return f"{head} {total.line()} worst_ready_s={worst_ready_s:.2f}"
