"""Decides that a router has failed: when a quorum of its observers has reported it for long enough.

A single observer may have lost its own links. Therefore the observers of a subject exchange reports, and each
decides on the reports of all of them. Decisions made close together in time are grouped, so that the loss of
a site is one change.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from lupintack.membership.config import MembershipConfig
from lupintack.membership.view import State

MIN_QUORUM = 2
MIN_SITES = 2  # of the agreeing observers, where the subject's observers are in at least two sites


@dataclass(frozen=True, slots=True)
class FailureReport:
    """An observer's report on one process, and when it was received."""

    start: int
    incarnation: int
    is_unreachable: bool
    silent_us: int
    received_us: int

    def silence_us(self, now_us: int) -> int:
        """Return the duration of the silence at `now_us`."""
        return self.silent_us + now_us - self.received_us


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A suspected process, and the observers whose reports count."""

    name: str
    start: int
    incarnation: int
    observers: Sequence[str]
    timeout_factor: float = 1.0


class FailureDecision(NamedTuple):
    """A suspect for which `FAILED` or `ENDED` was decided."""

    name: str
    state: State


class Assessment(NamedTuple):
    """The state that the reports on a suspect prove, None for none, and whether a proof is expected soon."""

    state: State | None
    is_imminent: bool


class FailureArbiter:
    """Collects the reports on the suspects that this router observes, and decides on them."""

    def __init__(self, config: MembershipConfig) -> None:
        """Start without reports."""
        self.config = config
        self.reports: dict[str, dict[str, FailureReport]] = {}  # by subject, then by observer
        self.first_decision_us: int | None = None  # when the oldest pending decision became possible

    def add_report(self, observer: str, subject: str, report: FailureReport) -> None:
        """Store a report, replacing the observer's earlier one."""
        self.reports.setdefault(subject, {})[observer] = report

    def withdraw(self, subject: str) -> None:
        """Discard the reports on a subject that is alive or has been decided."""
        self.reports.pop(subject, None)

    def expire(self, now_us: int) -> None:
        """Discard reports older than `report_ttl_us`."""
        ttl_us = self.config.report_ttl_us
        for subject, reports in list(self.reports.items()):
            recent = {
                observer: report
                for observer, report in reports.items()
                if now_us - report.received_us < ttl_us
            }
            if recent:
                self.reports[subject] = recent
            else:
                del self.reports[subject]

    def quorum(self, observer_count: int) -> int:
        """Return the number of a subject's observers that must agree."""
        return max(min(MIN_QUORUM, observer_count), math.ceil(self.config.quorum_share * observer_count))

    def evaluate(
        self, suspicion: Suspicion, now_us: int, site_of: Callable[[str], str], refusals_only: bool
    ) -> Assessment:
        """Assess one suspicion; with `refusals_only`, only refused connections are a proof."""
        reports = self._valid_reports(suspicion)
        if not reports:
            return Assessment(None, False)
        quorum = self.quorum(len(suspicion.observers))
        min_sites = min(MIN_SITES, len({site_of(name) for name in suspicion.observers}))

        def agree(observers: Sequence[str]) -> bool:
            return len(observers) >= quorum and len({site_of(name) for name in observers}) >= min_sites

        unreachable = [observer for observer, report in reports.items() if report.is_unreachable]
        if agree(unreachable):
            return Assessment(State.ENDED, True)
        timeout_us = self._timeout_us(suspicion, len(reports), quorum)
        silence_us = {observer: report.silence_us(now_us) for observer, report in reports.items()}
        silent = [observer for observer, silence in silence_us.items() if silence >= timeout_us]
        # Silence may be a network partition, whose smaller side must not remove the other routers.
        has_failed = agree(silent) and not refusals_only
        near_us = timeout_us - self.config.max_decision_delay_us
        is_imminent = len(unreachable) > 0 or any(silence >= near_us for silence in silence_us.values())
        return Assessment(State.FAILED if has_failed else None, is_imminent)

    def _valid_reports(self, suspicion: Suspicion) -> dict[str, FailureReport]:
        process = (suspicion.start, suspicion.incarnation)
        return {
            observer: report
            for observer, report in self.reports.get(suspicion.name, {}).items()
            if observer in suspicion.observers and (report.start, report.incarnation) == process
        }

    def _timeout_us(self, suspicion: Suspicion, report_count: int, quorum: int) -> float:
        """Return the silence that proves a failure: shorter the more observers agree."""
        longest_us, shortest_us = self.config.max_failure_timeout_us, self.config.failure_timeout_us
        beyond_quorum = max(1, len(suspicion.observers) - quorum)
        agreement = min(1.0, max(0, report_count - quorum) / beyond_quorum)
        return (longest_us - (longest_us - shortest_us) * agreement) * suspicion.timeout_factor

    def decide(
        self, now_us: int, suspicions: Sequence[Suspicion], site_of: Callable[[str], str], refusals_only: bool
    ) -> list[FailureDecision]:
        """Return the routers that have failed or ended.

        Decisions are delayed shortly, or longer while others are imminent, and returned together.
        """
        decided, near_count = [], 0
        for suspicion in suspicions:
            assessment = self.evaluate(suspicion, now_us, site_of, refusals_only)
            if assessment.state is not None:
                decided.append(FailureDecision(suspicion.name, assessment.state))
            elif assessment.is_imminent:
                near_count += 1
        if not decided:
            self.first_decision_us = None
            return []
        if self.first_decision_us is None:
            self.first_decision_us = now_us
        delay_us = self.config.max_decision_delay_us if near_count else self.config.decision_delay_us
        if now_us - self.first_decision_us < delay_us:
            return []
        self.first_decision_us = None
        return decided

    def wake_us(self) -> int:
        """Return when pending decisions are due, or 0 without any."""
        if self.first_decision_us is None:
            return 0
        return self.first_decision_us + self.config.decision_delay_us
