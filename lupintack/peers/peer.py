"""The actor of one member: its mailbox, and the attempts that wait for a connection.

The actor runs on the thread that puts a message into its mailbox, unless another thread is running it, and
never blocks. An attempt waits here while no connection accepts it, and is checked again when it is written.
"""

from __future__ import annotations

import logging
import threading
from collections import deque
from collections.abc import Callable

from lupintack.clock import now_us
from lupintack.core.attempt_status import AttemptStatus
from lupintack.core.messages import Attempt, AttemptResult
from lupintack.logs import LineLimit, fields
from lupintack.peers import platform_wire
from lupintack.peers.config import PeerConfig
from lupintack.peers.connection import Connected, Connection, Disconnected
from lupintack.peers.connection_pool import ConnectionPool
from lupintack.peers.messages import CancelAttempt, Drain, SlotReleased, Submit, Tick, YieldConnection

LOG = logging.getLogger("peers")
LOG_LIMIT = LineLimit(2)  # lines a second
ATTEMPTS_BEFORE_NEW_CONNECTION = 4  # open on each connection before another connection is opened

Message = Submit | CancelAttempt | Connected | Disconnected | SlotReleased | Tick | Drain | YieldConnection


class Peer:
    """The actor of one member of the list at one address."""

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        config: PeerConfig,
        report_result: Callable[[AttemptResult], None],
        spawn: Callable[[Callable[[], None], str], None],
    ) -> None:
        """`report_result`: called on any thread; `spawn`: runs a function on a new thread with that name."""
        self.name = name
        self.address = address
        self.config = config
        self.report_result = report_result
        self.spawn = spawn
        self.mailbox: deque[Message] = deque()
        self.turn = threading.Lock()
        self.pool = ConnectionPool(self)
        self.waiting_attempts: deque[Attempt] = deque()
        self.has_waiting = False  # read by the reader threads: whether they must send SlotReleased
        self.draining = False

    def send(self, attempt: Attempt) -> None:
        """Write an attempt as soon as a connection accepts it."""
        self.enqueue(Submit(attempt))

    def cancel(self, attempt: Attempt, notify: bool = False) -> None:
        """Cancel an attempt; with `notify`, its result is reported."""
        self.enqueue(CancelAttempt(attempt, notify))

    def drain(self) -> None:
        """Write no further attempts, and close each connection when it has no open attempt."""
        self.enqueue(Drain())

    def tick(self) -> None:
        """Close idle connections, and check the health of silent ones."""
        self.enqueue(Tick())

    def is_idle(self) -> bool:
        """Return whether a drained member has neither connections nor waiting attempts left."""
        return not self.pool.connections and not self.waiting_attempts

    def enqueue(self, message: Message) -> None:
        """Put a message into the mailbox, and run the actor unless another thread is running it."""
        self.mailbox.append(message)
        while self.mailbox and self.turn.acquire(blocking=False):
            try:
                while self.mailbox:
                    self.handle(self.mailbox.popleft())
                if self.waiting_attempts:
                    self.dispatch_waiting()
            finally:
                self.turn.release()

    def handle(self, message: Message) -> None:
        """Handle one message, in the actor's turn."""
        if isinstance(message, Submit):
            self.waiting_attempts.append(message.attempt)
        elif isinstance(message, CancelAttempt):
            self.on_cancel(message)
        elif isinstance(message, Connected):
            message.connection.is_connected = True
        elif isinstance(message, Disconnected):
            self.on_disconnected(message)
        elif isinstance(message, Drain):
            self.on_drain()
        elif isinstance(message, YieldConnection):
            message.connection.yield_descriptor()
        elif isinstance(message, Tick):
            self.pool.close_idle(self.draining)
            self.pool.check_health()

    def on_cancel(self, message: CancelAttempt) -> None:
        """Cancel a written attempt if the settings allow that, or remove a waiting one.

        If they do not, the member may work on the attempt until it answers or the connection ends, even past
        the limit that it was given; only attempts of a request that has ended are cancelled then.
        """
        attempt = message.attempt
        if attempt in self.waiting_attempts:
            self.waiting_attempts.remove(attempt)
            status = AttemptStatus.OUTDATED  # nothing of it was written
        else:
            status = AttemptStatus.CANCELLED
            connection = self.pool.find(attempt)
            if connection is None or not connection.cancel(attempt, message.notify):
                return  # it has ended, and its result has been reported
        if message.notify:
            self.report_result(AttemptResult(attempt, status))

    def on_disconnected(self, message: Disconnected) -> None:
        """Remove a connection; if it never connected and no other is open, end the waiting attempts."""
        self.pool.remove(message.connection)
        if not message.connection.is_connected and not self.pool.has_open():
            self.end_waiting(message.status)

    def on_drain(self) -> None:
        """End the waiting attempts: the address may belong to another member by the time of a write."""
        self.draining = True
        self.end_waiting(AttemptStatus.OUTDATED)
        self.pool.close_idle(self.draining)

    def end_waiting(self, status: AttemptStatus) -> None:
        """Report a result with this status for each waiting attempt."""
        while self.waiting_attempts:
            self.report_result(AttemptResult(self.waiting_attempts.popleft(), status))

    def dispatch_waiting(self) -> None:
        """Assign waiting attempts to connections that accept them, and open connections for the others."""
        still_waiting: deque[Attempt] = deque()
        self.has_waiting = True  # before the connections are checked, or a released slot would be missed
        connecting = -1
        while self.waiting_attempts:
            attempt = self.waiting_attempts.popleft()
            if attempt.is_obsolete(now_us()):
                self.report_result(AttemptResult(attempt, AttemptStatus.OUTDATED))
                continue
            wire_id, is_full = attempt.request.wire_id, self.pool.is_full()
            connection = self.pool.pick(wire_id)
            if connection is not None and (
                is_full or len(connection.open_attempts) < ATTEMPTS_BEFORE_NEW_CONNECTION
            ):
                self.assign(connection, attempt)
                continue
            if connecting < 0:
                connecting = self.pool.connecting()
            if not is_full and connecting <= len(still_waiting):
                if self.pool.open() is not None:
                    connecting += 1
                elif connection := connection or self.pool.pick(wire_id, allow_suspected=True):
                    self.assign(connection, attempt)
                    continue
            still_waiting.append(attempt)
        self.waiting_attempts = still_waiting
        self.has_waiting = bool(still_waiting)

    def assign(self, connection: Connection, attempt: Attempt) -> None:
        """Write an attempt to a connection."""
        now = now_us()
        if now >= attempt.request.deadline_us:
            self.report_result(AttemptResult(attempt, AttemptStatus.NOT_NEEDED))
            return
        try:
            command = platform_wire.encode_attempt(attempt, now)
        except platform_wire.UnencodableFieldError as error:
            if LOG_LIMIT.allow(now) >= 0:
                LOG.error("attempt not encodable", extra=fields(peer=self.name, reason=error))
            self.report_result(AttemptResult(attempt, AttemptStatus.NOT_ENCODABLE))
            return
        wire_id = attempt.request.wire_id
        connection.last_used_us = now
        connection.open_attempts[wire_id] = attempt
        is_written = connection.send(command)
        if not is_written and connection.open_attempts.pop(wire_id, None) is attempt:
            self.report_result(AttemptResult(attempt, AttemptStatus.NOT_WRITTEN))
