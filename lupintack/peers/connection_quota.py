"""The bound on connections to all members together."""

from __future__ import annotations

import threading
from collections import deque
from typing import Protocol

from lupintack.peers.messages import SlotReleased, YieldConnection, YieldingConnection


class QuotaUser(Protocol):
    """A member's actor, as the quota uses it."""

    def enqueue(self, message: SlotReleased | YieldConnection) -> None:
        """Put a message into the actor's mailbox."""


class QuotaConnection(YieldingConnection, Protocol):
    """A connection, as the quota uses it."""

    is_yielding: bool
    last_used_us: int

    @property
    def peer(self) -> QuotaUser:
        """The actor of its member."""

    def is_idle(self) -> bool:
        """Return whether nothing is open on it, and nobody has begun to close it."""


class ConnectionQuota:
    """The descriptors that all members' connections share; used from any thread.

    Guards against running out of them: a connect that fails for want of one would count as the member's
    failure, and neither clients nor discovery's connection would get any. A member's first connection may
    come out of a small reserve; beyond that it waits until the longest idle connection is closed for it.
    """

    def __init__(self, max_connections: int, reserve: int = 0) -> None:
        """`reserve`: connections beyond `max_connections` that only a member's first may use."""
        self.max_connections = max_connections
        self.reserve = reserve
        self.used = 0
        self.connections: set[QuotaConnection] = set()
        self.waiting_peers: deque[QuotaUser] = deque()
        self.lock = threading.Lock()

    def acquire(self, connection: QuotaConnection, is_first: bool) -> bool:
        """Return whether a connection may be opened.

        Where a member's first may not, the longest idle connection of another member is asked to close, and
        the member gets `SlotReleased` when one has.
        """
        with self.lock:
            if self.used < self.max_connections + self.reserve * is_first:
                self.used += 1
                self.connections.add(connection)
                return True
            if not is_first:
                return False
            if connection.peer not in self.waiting_peers:
                self.waiting_peers.append(connection.peer)
            longest_idle = self._longest_idle(connection.peer)
            if longest_idle is not None:
                longest_idle.is_yielding = True
        if longest_idle is not None:
            longest_idle.peer.enqueue(YieldConnection(longest_idle))
        return False

    def release(self, connection: QuotaConnection) -> None:
        """Return a closed connection's slot, and notify the first member that waits for one."""
        with self.lock:
            self.used -= 1
            self.connections.discard(connection)
            peer = self.waiting_peers.popleft() if self.waiting_peers else None
        if peer is not None:
            peer.enqueue(SlotReleased())

    def _longest_idle(self, peer: QuotaUser) -> QuotaConnection | None:
        """Return the longest idle connection of other members than `peer`; called under the lock."""
        idle = [
            connection
            for connection in self.connections
            if connection.is_idle() and connection.peer is not peer
        ]
        return min(idle, key=lambda connection: connection.last_used_us, default=None)
