"""Builds the CDNI front of a process, and what it shares with the router's other processes."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from lupintack.clock import now_us
from lupintack.core.actor import Core
from lupintack.core.member_table import MemberTable
from lupintack.fronts.cdni.conf import Cdni
from lupintack.fronts.cdni.front import CdniFront
from lupintack.fronts.cdni.shared_state import CdniLogs, CdniSharedState
from lupintack.process.router_processes import RouterProcesses
from lupintack.process.shared_log import SharedLog
from lupintack.process.sharing import ProcessSharing

PURGE_LOG, ID_LOG = "purges.log", "ids.log"
PURGE_LOG_BYTES = 1 << 20  # 100 triggers that name 512 objects or collections each
ID_LOG_BYTES = 1 << 20  # 28,000 ids


class CdniParts(NamedTuple):
    """The front; `sharing` is None where this router never has a second process."""

    front: CdniFront
    sharing: ProcessSharing | None


def new_purge_log() -> SharedLog:
    """Return the log of purges, which drop copies however late they are read."""
    return SharedLog(PURGE_LOG, PURGE_LOG_BYTES, reads_expired=True)


def build_cdni(
    conf: Cdni,
    core: Core,
    member_table: MemberTable,
    ready: Callable[[], bool],
    spawn: Callable[[Callable[[], None], str], None],
    processes: RouterProcesses | None,
) -> CdniParts:
    """Build the front; `processes`: None where this router never has a second process."""
    if processes is None:
        front = CdniFront(conf, core, member_table, ready, spawn)
        _bind_copies(core, front)
        return CdniParts(front, None)
    purge_log, id_log = new_purge_log(), SharedLog(ID_LOG, ID_LOG_BYTES)
    member_table.has_unread_records = purge_log.has_unread
    # Numbers of triggers by the machine's clock, so that two processes give different ones.
    front = CdniFront(
        conf, core, member_table, ready, spawn, CdniLogs(purge_log, id_log), first_trigger=now_us() // 1000
    )
    _bind_copies(core, front)
    state = CdniSharedState(front.triggers.purges, front.delivery.run_once_ids, core.counters)
    sharing = ProcessSharing((purge_log, id_log), processes, state, lambda peer: peer.shares_purges)
    return CdniParts(front, sharing)


def _bind_copies(core: Core, front: CdniFront) -> None:
    """Let the router's own copies whose group is from metadata be used only until that changes."""
    if core.local_cache is not None:
        core.local_cache.metadata_version = lambda: front.store.version
