"""How the processes of one router share its limits and its port during an upgrade. Pure.

Limits apply to the router, not to a process: its processes together stay within its descriptors and memory,
and within the slow-start budget of each member.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

HANDOFF_MEMORY_SHARE = 0.9  # of the memory limit, for the processes and the handoff together
PROCESS_MB = 24  # memory of one process without a local cache
MIN_MEMBER_SOCKETS = 8
HANDOFF_COPIES = 3  # for a moment it is in the old process, the file and the new process
LISTENER_CLOSED = "closed"  # published phase of a stopping process that no longer listens


class UpgradeSide(Enum):
    """The side of an upgrade that a process is on."""

    ALONE = "alone"
    OLD = "old"  # a younger process exists
    NEW = "new"  # only older processes exist


class ProcessAge(NamedTuple):
    """Orders the processes of a router, the oldest first. Processes of one machine share the clock."""

    started_ns: int
    pid: int


@dataclass(frozen=True)
class UpgradePeer:
    """Another living process of this router, as read from its file in the folder."""

    pid: int
    started_ns: int
    phase: str
    shares_purges: bool = False  # all that it takes by CDNI is in the shared logs; False in older versions
    shares_keys: bool = False  # all its idempotency keys are in the shared log

    @property
    def age(self) -> ProcessAge:
        """The key that orders this process among its peers by start."""
        return ProcessAge(self.started_ns, self.pid)


@dataclass(frozen=True)
class LimitShare:
    """The part of the router's limits that one process may use."""

    member_sockets: int
    memory_mb: int  # the local cache's size is derived from it; 0: no cache
    process_count: int  # processes that share each member's slow-start budget
    handoff_bytes: int = 0  # of cached copies that the old side may hand off


class ListenerTable:
    """Mirrors the kernel's table of listeners on one port, so the youngest process can route by index.

    When a listener closes, the kernel moves the last listener of the table to its index. While the index that
    is routed to is empty, the kernel spreads new connections over all listeners, also those about to close.
    """

    def __init__(self, older: list[UpgradePeer], own_pid: int) -> None:
        """Fill the table in the order in which the processes started to listen."""
        self.own_pid = own_pid
        self.pids = [peer.pid for peer in sorted(older, key=lambda peer: peer.age)] + [own_pid]

    @property
    def own_index(self) -> int:
        """The index of this process's listener, to which new connections are routed."""
        return self.pids.index(self.own_pid)

    def update(self, peers: list[UpgradePeer]) -> bool:
        """Remove listeners that have closed; return whether the own index has changed."""
        before = self.own_index
        listening = {peer.pid for peer in peers if peer.phase != LISTENER_CLOSED} | {self.own_pid}
        for pid in [pid for pid in self.pids if pid not in listening]:
            index = self.pids.index(pid)
            last = self.pids.pop()
            if index < len(self.pids):
                self.pids[index] = last
        return self.own_index != before


def must_outlast_older(own_age: ProcessAge, peers: list[UpgradePeer], stopping_phase: str) -> bool:
    """Return whether a stopping process has to keep listening because an older one is about to close.

    Guards against connections that reach its queue while the older process's index is empty.
    """
    has_younger = any(peer.age > own_age for peer in peers)
    return has_younger and any(peer.age < own_age and peer.phase == stopping_phase for peer in peers)


def has_younger_in_phase(own_age: ProcessAge, peers: list[UpgradePeer], phase: str) -> bool:
    """Return whether a younger process is in this phase."""
    return any(peer.phase == phase and peer.age > own_age for peer in peers)


def upgrade_side(own_age: ProcessAge, peers: list[UpgradePeer]) -> UpgradeSide:
    """Return the side of a process: old if any process is younger."""
    if not peers:
        return UpgradeSide.ALONE
    return UpgradeSide.OLD if any(peer.age > own_age for peer in peers) else UpgradeSide.NEW


def share_limits(
    side: UpgradeSide, peer_count: int, sockets: int, memory_mb: int, process_sockets: int
) -> LimitShare:
    """Divide member connections, memory and slow-start budgets among the processes.

    `sockets` is the number of member connections of a process that runs alone. `process_sockets` is the
    number of descriptors that each further process needs for itself; they are subtracted before the division.
    """
    if side is UpgradeSide.ALONE:
        return LimitShare(sockets, memory_mb, 1)
    process_count = peer_count + 1
    member_sockets = max(MIN_MEMBER_SOCKETS, (sockets - process_sockets * peer_count) // process_count)
    # The old side drops its local cache immediately, because clients move to the new one.
    is_old = side is UpgradeSide.OLD
    cache_memory_mb = 0 if is_old else max(0, memory_mb - PROCESS_MB * peer_count)
    spare_mb = max(0.0, memory_mb * HANDOFF_MEMORY_SHARE - PROCESS_MB * process_count) / HANDOFF_COPIES
    handoff_bytes = int(spare_mb * 1e6) if is_old else 0
    return LimitShare(member_sockets, cache_memory_mb, process_count, handoff_bytes)
