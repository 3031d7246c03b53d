"""What the CDNI front shares with the router's other processes: purges, and ids that must not run twice."""

from __future__ import annotations

from typing import NamedTuple

from lupintack.core.counters import Counters
from lupintack.core.record_log import Gap, RecordLog
from lupintack.fronts.cdni.purges import Purges
from lupintack.fronts.cdni.run_once_ids import RunOnceIds


class CdniLogs(NamedTuple):
    """The logs of one router."""

    purges: RecordLog
    ids: RecordLog


class CdniSharedState:
    """Applies the records of other processes, and acts safely where some may be missing."""

    def __init__(self, purges: Purges, run_once_ids: RunOnceIds, counters: Counters) -> None:
        """`counters`: has `cdni.gap.*` for each time that records may be missing."""
        self._purges = purges
        self._run_once_ids = run_once_ids
        self._counters = counters

    def poll(self) -> None:
        """Apply new purges, and tell of removed ids; raise RecordLogError if the purges can't be read.

        Ids of other processes are read with each new one.
        """
        try:
            self._purges.poll()
        finally:
            self._run_once_ids.share_removals()

    def on_gap(self, gap: Gap) -> None:
        """Take everything for purged; refuse ids, unless the log will still tell of all of them."""
        self._counters.increment(f"cdni.gap.{gap.value}")
        self._purges.assume_all_purged()
        if gap is not Gap.UNREADABLE:
            self._run_once_ids.refuse_unknown()
