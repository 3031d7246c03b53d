"""The connections to one member: which of them takes an attempt, and when one is closed."""

from __future__ import annotations

from lupintack.clock import now_us
from lupintack.core.attempt_status import AttemptStatus
from lupintack.core.messages import Attempt
from lupintack.peers import platform_wire
from lupintack.peers.connection import Connection, ConnectionOwner, Disconnected

MAX_CONNECTIONS = 24
SUSPECT_AFTER_US = 400_000  # without an answer since the first write that waits for one
HEALTH_CHECK_AFTER_US = 600_000
HEALTH_CHECK_TIMEOUT_US = 600_000
IDLE_TIMEOUT_SHARE = 0.7  # closed this early, so that no attempt crosses the member's own close


class ConnectionPool:
    """Used in the turn of the member's actor alone."""

    def __init__(self, peer: ConnectionOwner) -> None:
        """Take the actor of the member."""
        self.peer = peer
        self.connections: list[Connection] = []

    def is_full(self) -> bool:
        """Return whether the member may have no further connection."""
        return len(self.connections) >= MAX_CONNECTIONS

    def has_open(self) -> bool:
        """Return whether a connection is up."""
        return any(connection.is_open() for connection in self.connections)

    def connecting(self) -> int:
        """Return how many connections are not up yet."""
        return sum(not connection.is_connected for connection in self.connections)

    def pick(self, wire_id: str, allow_suspected: bool = False) -> Connection | None:
        """Return the connection with the fewest attempts that may take one with this id, or None.

        One that the member has closed is passed over, even where its thread has yet to see that: what is
        written there must count as run, and a request that is not idempotent would be lost.
        """
        while True:
            connection = self.least_loaded(wire_id, allow_suspected)
            if connection is None or not connection.is_closed_by_member():
                return connection
            connection.close()
            connection.is_closing = True

    def least_loaded(self, wire_id: str, allow_suspected: bool) -> Connection | None:
        """Return the connection with the fewest attempts, as far as their threads have seen."""
        best, lowest_load = None, self.peer.config.max_streams
        suspected_before_us = now_us() - SUSPECT_AFTER_US
        for connection in self.connections:
            # Guards against a silent connection: its attempts end by their deadlines, so that it would have
            # the fewest, and be given each new one, until its health check fails.
            if not allow_suspected and 0 < connection.unanswered_since_us < suspected_before_us:
                continue
            load = connection.attempts_at_member()
            if load >= lowest_load or not connection.accepts_attempts():
                continue
            # Guards against a late answer to a cancelled attempt being read as this one's: same id.
            if connection.may_receive_answer(wire_id):
                continue
            best, lowest_load = connection, load
            if not load:
                break
        return best

    def open(self) -> Connection | None:
        """Open a further connection; return None where the quota of all members leaves none."""
        connection = Connection(self.peer)
        if not self.peer.config.quota.acquire(connection, not self.connections):
            return None
        self.connections.append(connection)
        try:
            self.peer.spawn(connection.run, f"{self.peer.name} reader")
        except RuntimeError:  # no thread can be started: as good as no connection
            self.peer.enqueue(Disconnected(connection, AttemptStatus.CONNECT_FAILED))
        return connection

    def remove(self, connection: Connection) -> None:
        """Forget a connection that has ended, and return its slot."""
        if connection in self.connections:
            self.connections.remove(connection)
            self.peer.config.quota.release(connection)

    def find(self, attempt: Attempt) -> Connection | None:
        """Return the connection on which an attempt is open."""
        wire_id = attempt.request.wire_id
        for connection in self.connections:
            if connection.open_attempts.get(wire_id) is attempt:
                return connection
        return None

    def check_health(self) -> None:
        """Send a health check on silent connections, and close those that did not answer theirs.

        Guards against a member that was cut off: its old connections stay open and silent for good, also
        after it is back, and each attempt written to one would be lost.
        """
        now = now_us()
        for connection in self.connections:
            if not connection.is_open():
                continue
            sent_us, silent_since_us = connection.health_check_sent_us, connection.unanswered_since_us
            if sent_us and now - sent_us >= HEALTH_CHECK_TIMEOUT_US:
                connection.health_check_failed = True
                connection.close()
            elif not sent_us and silent_since_us and now - silent_since_us >= HEALTH_CHECK_AFTER_US:
                connection.send(platform_wire.encode_health_check(now))
                connection.health_check_sent_us = now

    def close_idle(self, is_draining: bool) -> None:
        """Close connections that were idle for long or are exhausted; all that are idle, where draining."""
        idle_limit_us = 0 if is_draining else int(self.peer.config.idle_timeout_us * IDLE_TIMEOUT_SHARE)
        now = now_us()
        for connection in self.connections:
            is_due = connection.is_exhausted() or now - connection.last_used_us >= idle_limit_us
            if is_due and connection.is_open() and not connection.open_attempts:
                connection.close()
