"""Follows the logs that the processes of one router share, and reports where records may be missing."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Sequence
from typing import Protocol

from lupintack.clock import now_us
from lupintack.core.record_log import DamagedLogError, Gap, RecordLogError
from lupintack.lifecycle.upgrade_peer import UpgradePeer
from lupintack.logs import LineLimit, fields
from lupintack.process.router_processes import RouterProcesses
from lupintack.process.shared_log import SharedLog

LOG = logging.getLogger("process")
MAX_LINES_PER_S = 2
POLL_INTERVAL_S = 0.02
OPEN_INTERVAL_US = 200_000
GAP_INTERVAL_US = 100_000  # a purge that can't be heard of binds after this at most
MAX_OVERLAP_US = 6_000_000  # how long another process may serve beside this one, unseen


class SharedState(Protocol):
    """What is built from the records."""

    def poll(self) -> None:
        """Apply new records, and share what waits for it; raise RecordLogError if they can't be read."""

    def on_gap(self, gap: Gap) -> None:
        """Act as if any record had been missed until now."""


class ProcessSharing:
    """Keeps a process up to date with the others from before its first request until its end."""

    def __init__(
        self,
        logs: Sequence[SharedLog],
        processes: RouterProcesses,
        state: SharedState,
        is_shared_by: Callable[[UpgradePeer], bool],
    ) -> None:
        """`is_shared_by`: whether a process adds to these logs all that the others need."""
        self._logs = logs
        self._folder, self._peers = processes
        self._state = state
        self._is_shared_by = is_shared_by
        self._lines = LineLimit(MAX_LINES_PER_S)
        self._opened_us = 0  # when it was last tried
        self._gap_us = 0  # when one was last reported
        self._unseen_until_us = 0  # until then a process may live that this one doesn't see

    def start(self, spawn: Callable[[Callable[[], None], str], None], is_stopped: Callable[[], bool]) -> None:
        """Apply what other processes have shared, and follow it; called before the first request.

        The handoff has been received: its copies may be older than a purge.
        """
        self.expect_unseen()
        self.step()
        spawn(lambda: self.run(is_stopped), "process sharing")

    def expect_unseen(self) -> None:
        """Expect a process that this one may not see: at its start, and at its end."""
        self._unseen_until_us = now_us() + MAX_OVERLAP_US

    def run(self, is_stopped: Callable[[], bool]) -> None:
        """Follow the logs until `is_stopped`; runs in a thread of its own."""
        while not is_stopped():
            time.sleep(POLL_INTERVAL_S)
            try:
                self.step()
            except Exception:  # a failed round must not end the thread
                LOG.exception("sharing failed")

    def step(self) -> None:
        """Open the logs if they are not open, apply new records, and report a gap."""
        self._open()
        gap = self._find_gap()
        try:
            self._state.poll()
        except DamagedLogError:
            gap, self._gap_us = Gap.DAMAGED, 0
        except RecordLogError as error:
            self._log("shared log unreadable", error)
            gap = Gap.UNREADABLE
        now = now_us()
        if gap is not None and now - self._gap_us >= GAP_INTERVAL_US:
            self._gap_us = now
            self._log("records may be missing", gap.value)
            self._state.on_gap(gap)

    def _open(self) -> None:
        for log in self._logs:
            if log.close_if_removed():
                self.expect_unseen()
        folder, now = self._folder(), now_us()
        if folder is None or now - self._opened_us < OPEN_INTERVAL_US:
            return
        for log in self._logs:
            if not log.is_open:
                self._opened_us = now
                try:
                    log.open(folder.path)
                except RecordLogError as error:
                    self._log("shared log unusable", error)

    def _find_gap(self) -> Gap | None:
        peers = self._peers()
        if not all(map(self._is_shared_by, peers)):
            return Gap.UNSHARED
        if all(log.is_open for log in self._logs):
            return None
        may_be_unseen = now_us() < self._unseen_until_us
        return Gap.UNREADABLE if may_be_unseen or (peers and self._folder() is not None) else None

    def _log(self, event: str, reason: object) -> None:
        if self._lines.allow(now_us()) >= 0:
            LOG.error(event, extra=fields(reason=reason))
