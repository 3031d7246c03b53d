"""The connections to one member: picks one for an attempt, and closes idle and silent ones."""

from __future__ import annotations

from lupintack.clock import now_us
from lupintack.core.attempt_status import AttemptStatus
from lupintack.core.messages import Attempt
from lupintack.peers import platform_wire
from lupintack.peers.connection import Connection, ConnectionOwner, Disconnected

MAX_CONNECTIONS = 24
SUSPECT_AFTER_US = 400_000  # without an answer since the first unanswered write
HEALTH_CHECK_AFTER_US = 600_000
HEALTH_CHECK_TIMEOUT_US = 600_000
IDLE_TIMEOUT_SHARE = 0.7  # of the member's own time-out, so that no attempt crosses its close


class ConnectionPool:
    """The connections to one member; used only in the turn of its actor."""

    def __init__(self, peer: ConnectionOwner) -> None:
        """`peer`: the actor of the member."""
        self.peer = peer
        self.connections: list[Connection] = []

    def is_full(self) -> bool:
        """Return whether the member has its maximum of connections."""
        return len(self.connections) >= MAX_CONNECTIONS

    def has_open(self) -> bool:
        """Return whether a connection is established."""
        return any(connection.is_open() for connection in self.connections)

    def connecting(self) -> int:
        """Return the number of connections that are not established yet."""
        return sum(not connection.is_connected for connection in self.connections)

    def pick(self, wire_id: str, allow_suspected: bool = False) -> Connection | None:
        """Return the connection with the fewest attempts that accepts one with this id, or None.

        A connection that the member has closed is skipped, even before its reader thread sees that: an
        attempt written there must count as run, and a request that is not idempotent would be lost.
        """
        while True:
            connection = self.least_loaded(wire_id, allow_suspected)
            if connection is None or not connection.is_closed_by_member():
                return connection
            connection.close()
            connection.is_closing = True

    def least_loaded(self, wire_id: str, allow_suspected: bool) -> Connection | None:
        """Return the connection with the fewest attempts, without a check for closed sockets."""
        best, lowest_load = None, self.peer.config.max_streams
        suspected_before_us = now_us() - SUSPECT_AFTER_US
        for connection in self.connections:
            # The attempts on a silent connection end at their deadlines, so that it would have the fewest and
            # get each new one until its health check fails.
            if not allow_suspected and 0 < connection.unanswered_since_us < suspected_before_us:
                continue
            load = connection.attempts_at_member()
            if load >= lowest_load or not connection.accepts_attempts():
                continue
            # A late answer to a cancelled attempt with the same id would be taken for this attempt's.
            if connection.may_receive_answer(wire_id):
                continue
            best, lowest_load = connection, load
            if not load:
                break
        return best

    def open(self) -> Connection | None:
        """Open another connection; return None if the quota of all members is used up."""
        connection = Connection(self.peer)
        if not self.peer.config.quota.acquire(connection, not self.connections):
            return None
        self.connections.append(connection)
        try:
            self.peer.spawn(connection.run, f"{self.peer.name} reader")
        except RuntimeError:  # no thread can be started: handled as a failed connection
            self.peer.enqueue(Disconnected(connection, AttemptStatus.CONNECT_FAILED))
        return connection

    def remove(self, connection: Connection) -> None:
        """Remove a connection that has ended, and release its slot in the quota."""
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
        """Send health checks on silent connections, and close those whose health check timed out.

        The old connections to a member that was cut off stay open and silent, even when it is reachable
        again, and each attempt written to one would be lost.
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
        """Close connections that are exhausted or idle past the time-out; if draining, all idle ones."""
        idle_limit_us = 0 if is_draining else int(self.peer.config.idle_timeout_us * IDLE_TIMEOUT_SHARE)
        now = now_us()
        for connection in self.connections:
            is_due = connection.is_exhausted() or now - connection.last_used_us >= idle_limit_us
            if is_due and connection.is_open() and not connection.open_attempts:
                connection.close()
