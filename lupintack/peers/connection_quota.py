"""The quota of connections that all members share."""

from __future__ import annotations

import threading
from collections import deque
from typing import Protocol

from lupintack.peers.messages import SlotReleased, YieldConnection, YieldingConnection


class QuotaUser(Protocol):
    """A member's actor, as used by the quota."""

    def enqueue(self, message: SlotReleased | YieldConnection) -> None:
        """Put a message into the actor's mailbox."""


class QuotaConnection(YieldingConnection, Protocol):
    """A connection, as used by the quota."""

    is_yielding: bool
    last_used_us: int

    @property
    def peer(self) -> QuotaUser:
        """The actor of its member."""

    def is_idle(self) -> bool:
        """Return whether it has no open attempt and is not about to be closed."""


class ConnectionQuota:
    """Bounds the descriptors used by the connections to all members; thread-safe.

    Without the bound, a connect that fails because descriptors ran out would count as the member's failure,
    and neither clients nor the connection to discovery would get any. A member's first connection may use a
    small reserve; when that is used up, it waits until the longest idle connection has been closed.
    """

    def __init__(self, max_connections: int, reserve: int = 0) -> None:
        """`reserve`: connections beyond `max_connections`, for the first connection of a member."""
        self.max_connections = max_connections
        self.reserve = reserve
        self.used = 0
        self.connections: set[QuotaConnection] = set()
        self.waiting_peers: deque[QuotaUser] = deque()
        self.lock = threading.Lock()

    def acquire(self, connection: QuotaConnection, is_first: bool) -> bool:
        """Return whether a connection may be opened.

        If a member's first connection may not, the longest idle connection of another member is requested to
        close, and the member gets `SlotReleased` when a connection has closed.
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
        """Release a closed connection's slot, and notify the first member that waits for one."""
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
