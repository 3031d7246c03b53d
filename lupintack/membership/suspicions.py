"""Suspicion of silent routers: reports between observers, and the removal of subjects that have failed."""

from __future__ import annotations

from lupintack.membership.detector import FailureDetector, ObservedRouter
from lupintack.membership.failure_arbiter import FailureReport, Suspicion
from lupintack.membership.local_state import LocalState
from lupintack.membership.messages import Message, MessageKind, SuspicionReport
from lupintack.membership.outbox import Outbox
from lupintack.membership.view import COUNTED_STATES, Record, State

MAX_REPORTS_PER_MESSAGE = 16
MAX_RECOVERY_EXPONENT = 3


class SuspicionTracker:
    """The suspicions in which one router takes part as an observer."""

    def __init__(self, state: LocalState, detector: FailureDetector, outbox: Outbox) -> None:
        """Start without suspicions."""
        self.state = state
        self.config = state.config
        self.detector = detector
        self.outbox = outbox

    @property
    def is_minority(self) -> bool:
        """Whether fewer than 60 percent of the members are unsuspected: this side may be the smaller one.

        A simple majority would suffice if all suspicions arose at the same time. In a partition of just under
        half of the fleet, some of the others are not yet suspected when the first could be removed. Members
        that were removed as silent still count; otherwise a small partition could remove a few members and
        become the majority of the remaining ones.
        """
        view = self.state.view
        total = len(view.names) + len(view.failed)
        unsuspected = len(view.names) - len(view.suspects - {self.state.name})
        return total > 1 and unsuspected * 5 < total * 3

    def suspect_silent(self, now_us: int) -> None:
        """Mark silent and unreachable routers as suspects, and report them to their other observers."""
        state = self.state
        if now_us < state.listen_until_us or state.is_silent:
            return
        reports: dict[str, list[SuspicionReport]] = {}
        for subject in self.detector.suspected(now_us):
            record = state.view.records.get(subject.name)
            if record is None or record.state not in COUNTED_STATES:
                continue
            report = self._suspect(subject, record, now_us)
            if report is None:
                continue
            for observer in self._observers_of(subject.name):
                if observer != state.name:
                    reports.setdefault(observer, []).append(report)
        self._send_reports(reports)

    def _observers_of(self, name: str) -> list[str]:
        return self.state.rings.observers_of(name, self.detector.suspects - {name})

    def _suspect(self, subject: ObservedRouter, record: Record, now_us: int) -> SuspicionReport | None:
        """Register this router's report; return the one to send, or None within the report interval."""
        state = self.state
        if record.state is not State.SUSPECT:
            record = state.mark(record, State.SUSPECT, now_us)
            state.reasons[subject.name] = _reason(state.name, subject.is_unreachable)
        silent_us = now_us - subject.last_seen_us
        own_report = FailureReport(
            record.start, record.incarnation, subject.is_unreachable, silent_us, now_us
        )
        state.arbiter.add_report(state.name, subject.name, own_report)
        interval_us = self.config.report_interval_us
        if now_us - state.reported_us.get(subject.name, -interval_us) < interval_us:
            return None
        state.reported_us[subject.name] = now_us
        return SuspicionReport(
            record.name, record.start, record.incarnation, subject.is_unreachable, silent_us // 1000
        )

    def _send_reports(self, reports: dict[str, list[SuspicionReport]]) -> None:
        for observer, subject_reports in reports.items():
            address = self.state.view.records[observer].address
            for first in range(0, len(subject_reports), MAX_REPORTS_PER_MESSAGE):
                batch = subject_reports[first : first + MAX_REPORTS_PER_MESSAGE]
                self.outbox.send(observer, address, MessageKind.REPORT, reports=batch)

    def on_reports(self, message: Message, now_us: int) -> None:
        """Register another observer's reports, except while this process listens after a local pause.

        Messages queued during the pause may be out of date.
        """
        state = self.state
        if now_us < state.listen_until_us:
            return
        for report in message.reports[:MAX_REPORTS_PER_MESSAGE]:
            record = state.view.records.get(report.subject)
            if record is None or record.state not in COUNTED_STATES or report.subject == state.name:
                continue
            if (record.start, record.incarnation) != (report.start, report.incarnation):
                continue
            received = FailureReport(
                report.start, report.incarnation, report.is_unreachable, report.silent_ms * 1000, now_us
            )
            state.arbiter.add_report(message.sender, report.subject, received)
            self.detector.probe_now(report.subject, now_us)
            state.reasons[report.subject] = _reason(message.sender, report.is_unreachable)

    def decide_failures(self, now_us: int) -> None:
        """Remove the suspects that this router observes and that enough of their observers report."""
        state = self.state
        if now_us < state.listen_until_us or state.is_silent or state.me.state is State.JOINING:
            return
        if not state.arbiter.reports:
            return
        state.arbiter.expire(now_us)
        refusals_only = self.is_minority or self._is_unsettled(now_us)
        for decision in state.arbiter.decide(now_us, self._suspicions(), state.site_of, refusals_only):
            reports = state.arbiter.reports.get(decision.name, {})
            state.reasons[decision.name] = ", ".join(
                _reason(observer, report.is_unreachable) for observer, report in sorted(reports.items())
            )
            state.mark(state.view.records[decision.name], decision.state, now_us)
            self.outbox.push_gossip(now_us, self.config.push_fanout)

    def _suspicions(self) -> list[Suspicion]:
        suspicions = []
        for name in self.state.arbiter.reports:
            record = self.state.view.records.get(name)
            if record is None or record.state is not State.SUSPECT:
                continue
            observers = self._observers_of(name)
            if self.state.name in observers:
                recoveries = min(MAX_RECOVERY_EXPONENT, len(self.state.recoveries.get(name, ())))
                factor = self.config.recovery_timeout_factor**recoveries
                suspicions.append(Suspicion(name, record.start, record.incarnation, observers, factor))
        return suspicions

    def _is_unsettled(self, now_us: int) -> bool:
        """Whether suspicions are still arising, so that the extent of a partition is not yet known."""
        view, config = self.state.view, self.config
        ages_us = [now_us - view.since_us[name] for name in view.suspects]
        settled_us = config.failure_timeout_us - config.suspicion_timeout_us + config.max_suspicion_settle_us
        if not ages_us or max(ages_us) >= settled_us:
            return False
        nearly_silent_us = config.probe_interval_us * 3 // 2
        more_expected = any(
            name not in view.suspects and now_us - subject.last_seen_us > nearly_silent_us
            for name, subject in self.detector.observed.items()
        )
        return more_expected or min(ages_us) < config.suspicion_settle_us


def _reason(observer: str, is_unreachable: bool) -> str:
    return f"{observer}: {'gone' if is_unreachable else 'silent'}"
