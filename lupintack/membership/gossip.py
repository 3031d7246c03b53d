"""Gossip queue: changes piggybacked on other messages, each O(log n) times, the least sent first."""

from __future__ import annotations

import math
from dataclasses import dataclass

from lupintack.membership.config import MembershipConfig
from lupintack.membership.text import encoded_bytes
from lupintack.membership.view import Record, State

RECORD_OVERHEAD_BYTES = 26  # upper bound of an encoded record without its strings
GOSSIP_PRIORITY = {
    State.FAILED: 0,
    State.ENDED: 0,
    State.LEFT: 0,
    State.SUSPECT: 1,
    State.UNACKNOWLEDGED: 2,
    State.ALIVE: 2,
    State.JOINING: 3,
}


@dataclass(slots=True)
class QueuedRecord:
    """A change, and the number of times it was sent."""

    record: Record
    times_sent: int = 0

    def priority(self) -> tuple[int, int, int]:
        """Return the sort key: least sent first, then removals before additions."""
        return self.times_sent // 2, GOSSIP_PRIORITY[self.record.state], self.times_sent


def max_record_bytes(record: Record) -> int:
    """Return an upper bound of the encoded size of a record."""
    return RECORD_OVERHEAD_BYTES + sum(map(encoded_bytes, (record.name, record.site, record.address)))


class GossipQueue:
    """The changes still being sent, at most one for each name: a newer one replaces an older one."""

    def __init__(self, config: MembershipConfig) -> None:
        """Start empty."""
        self.config = config
        self.queued: dict[str, QueuedRecord] = {}

    def add(self, record: Record) -> None:
        """Queue a change that is new to this router."""
        self.queued[record.name] = QueuedRecord(record)

    def retransmit_limit(self, fleet_size: int) -> int:
        """Return the number of times that each change is sent."""
        return math.ceil(self.config.gossip_factor * math.log2(fleet_size + 2))

    def take(self, max_bytes: int, fleet_size: int) -> list[Record]:
        """Return the changes with the highest priority that fit into `max_bytes`, and count them as sent."""
        if not self.queued:
            return []
        records: list[Record] = []
        limit = self.retransmit_limit(fleet_size)
        for queued in sorted(self.queued.values(), key=QueuedRecord.priority):
            max_bytes -= max_record_bytes(queued.record)
            if max_bytes < 0:
                break
            records.append(queued.record)
            queued.times_sent += 1
            if queued.times_sent >= limit:
                del self.queued[queued.record.name]
        return records
