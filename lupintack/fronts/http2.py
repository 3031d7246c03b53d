"""Cleartext HTTP/2 server of a front, by prior knowledge: accepts connections, and closes overdue ones."""

from __future__ import annotations

import logging
import select
import socket
import struct
import threading
import time
from collections.abc import Callable
from random import Random

from h2.errors import ErrorCodes

from lupintack import sockets
from lupintack.clock import now_us
from lupintack.fronts.exchange import Exchange, HttpError, HttpRequest
from lupintack.fronts.http2_connection import DEFAULT_PRIORITY, Http2Connection
from lupintack.fronts.listener import bind_socket, listen, pause_after_failed_accept
from lupintack.http2.config import WireConfig
from lupintack.http2.schedule import Priority
from lupintack.limits.streams import Due, StreamTable, StreamTerms
from lupintack.logs import LineLimit, fields

LOG = logging.getLogger("http2")
CHECK_INTERVAL_S = 0.05  # between two checks for overdue streams and connections
ACCEPT_TIMEOUT_S = 0.1  # between two checks whether to stop accepting
# Bounds the accepting of queued connections after the listener stops, if no place becomes free.
ACCEPT_DRAIN_S = 0.3
FULL_PAUSE_S = 0.002  # between two checks for a free place
MIN_IDLE_US = 40_000  # a connection is not closed to make room while its first request may be on its way
LOG_LINES_PER_S = 5  # for failed accepts


class Http2Server:
    """Listens on one address; runs a reader thread per connection, up to a limit."""

    def __init__(
        self,
        address: tuple[str, int],
        handle: Callable[[Exchange], None],
        spawn: Callable[[Callable[[], None], str], None],
        count: Callable[[str], None],
        max_connections: int,
        max_body_bytes: int,
        terms: StreamTerms,
        free_requests: Callable[[], int],
        header_list: int = 8192,
        default_priority: Callable[[HttpRequest], Priority] = lambda request: DEFAULT_PRIORITY,
        blocking: bool = False,
        retry_after_ms: int = 500,
        seed: int = 0,
        fifo: bool = False,
        reuse: bool = False,
    ) -> None:
        """`free_requests`: returns how many more requests the core accepts; `blocking`: `handle` may wait."""
        self.handle = handle
        self.spawn = spawn
        self.count = count
        self.max_connections = max_connections
        self.max_body_bytes = max_body_bytes
        self.terms = terms
        self.free_requests = free_requests
        self.default_priority = default_priority
        self.blocking = blocking
        self.retry_after_ms = retry_after_ms
        self.random = Random(seed)
        self.wire_config = WireConfig(max_streams=terms.streams, max_header_list_bytes=header_list, fifo=fifo)
        self.stream_table = StreamTable(terms)
        # Of the stream table; acquired last, and nothing else is called under it.
        self.lock = threading.Lock()
        self.connections: dict[int, Http2Connection] = {}
        self.deferred_calls: list[Callable[[], None]] = []
        self.accepting = True
        self.accept_finished = False  # no further connection will be accepted
        self.draining = False
        self.last_connection_number = 0
        self.accept_log_limit = LineLimit(LOG_LINES_PER_S)
        self.sock = bind_socket(address, ACCEPT_TIMEOUT_S, reuse)

    def open(self) -> None:
        """Listen; raise ListenError if another process has the port."""
        listen(self.sock)

    def apply(self, terms: StreamTerms) -> None:
        """Use other bounds for everything that arrives from now on (SIGHUP)."""
        with self.lock:
            self.terms = self.stream_table.terms = terms

    def run(self) -> None:
        """Accept connections until `stop_accepting`."""
        self.spawn(self.run_checks, "http2 sweep")
        listener_poll = select.poll()
        listener_poll.register(self.sock, select.POLLIN)
        try:
            self.accept_connections(listener_poll)
        finally:
            self.accept_finished = True
            self.sock.close()

    def accept_connections(self, listener_poll: select.poll) -> None:
        """Accept until `stop_accepting`, then only queued connections: the close would reset them."""
        deadline_us = 0
        failures = sockets.AcceptFailures(self.count)
        while True:
            if not self.accepting:
                if not deadline_us:
                    deadline_us = now_us() + int(ACCEPT_DRAIN_S * 1e6)
                    self.sock.setblocking(False)
                if now_us() >= deadline_us:
                    return
            if len(self.connections) >= self.max_connections:
                # Bounds the descriptors: a connection without open streams is closed only once a new one
                # waits for its place.
                if listener_poll.poll(ACCEPT_TIMEOUT_S * 1000):
                    self.evict_idle_connection()
                    time.sleep(FULL_PAUSE_S)
                continue
            try:
                sock, peer_address = self.sock.accept()
            except BlockingIOError:
                if deadline_us:
                    return
                continue
            except OSError as error:
                evict = self.evict_idle_connection
                pause_after_failed_accept(error, failures, self.accept_log_limit, LOG, evict, self.accepting)
                continue
            failures.on_success()
            no_timeout = struct.pack("ll", 0, 0)
            sockets.set_option(sock, socket.SOL_SOCKET, socket.SO_RCVTIMEO, no_timeout)  # else inherited
            self.start_connection(sock, str(peer_address[0]))

    def start_connection(self, sock: socket.socket, peer_ip: str) -> None:
        """Start the thread of a new connection."""
        self.last_connection_number += 1
        conn = Http2Connection(self, sock, peer_ip, self.last_connection_number)
        with self.lock:
            self.stream_table.connect(conn.number, now_us(), self.random.random())
            self.connections[conn.number] = conn
        self.count("http2.connections")
        try:
            self.spawn(conn.run, "http2 client")
        except RuntimeError as error:
            LOG.error("can't start a thread for a client", extra=fields(reason=error))
            sock.close()
            self.remove_connection(conn)

    def explain(self) -> dict[str, int]:
        """Return the current numbers of connections, streams and bytes, for the log line of counters."""
        with self.lock:
            return self.stream_table.explain()

    def remove_connection(self, conn: Http2Connection) -> None:
        """Remove a closed connection."""
        with self.lock:
            self.connections.pop(conn.number, None)
            self.stream_table.disconnect(conn.number)

    def call_later(self, call: Callable[[], None]) -> None:
        """Run a call in the next check; for callers under a lock that the call must not hold."""
        self.deferred_calls.append(call)

    def evict_idle_connection(self) -> None:
        """Close the connection that has been idle for longest, to free a place for a new one."""
        with self.lock:
            number = self.stream_table.longest_idle(now_us(), MIN_IDLE_US)
            conn = self.connections.get(number or 0)
        if conn is not None:
            self.count("http2.closed.for_room")
            conn.begin_drain(immediately=True)

    def run_checks(self) -> None:
        """Check connections until the server has stopped accepting and none is left."""
        while self.accepting or self.connections:
            try:
                self.check_connections(now_us())
            except Exception:  # an error in one connection must not end the checks of the others
                LOG.exception("check of connections failed")
            time.sleep(CHECK_INTERVAL_S)

    def check_connections(self, now: int) -> None:
        """End overdue streams and connections, and advance the drain of connections."""
        deferred_calls, self.deferred_calls = self.deferred_calls, []
        for call in deferred_calls:
            call()
        with self.lock:
            overdue = list(self.stream_table.due(now))
            conns = dict(self.connections)
        for number, stream, due in overdue:
            conn = conns.get(number)
            if conn is not None:
                self.end_overdue(conn, stream, due)
        for conn in conns.values():
            if self.draining:
                conn.begin_drain()
            conn.check_drain(now)

    def end_overdue(self, conn: Http2Connection, stream: int, due: Due) -> None:
        """End an overdue stream or connection."""
        self.count(f"http2.due.{due.name.lower()}")
        if due is Due.STALLED:
            conn.abandon_stream(stream)
            conn.wire.reset(stream, ErrorCodes.CANCEL)
        elif due is Due.BODY_LATE:
            exchange = conn.open_exchanges.get(stream)
            if exchange is not None:
                conn.answer_error(exchange, HttpError(408, "the rest of the body does not come"))
        elif due is Due.SHUT:
            conn.wire.calm("the connection's window stays shut")
        elif due is Due.FIRST_LATE:
            conn.begin_drain(immediately=True)
            conn.wire.finish("first late")
        else:
            conn.begin_drain(immediately=due is Due.IDLE)

    def drain(self) -> None:
        """Announce the end on all connections, also on those accepted from now on (SIGTERM)."""
        self.draining = True
        for conn in list(self.connections.values()):
            conn.begin_drain()

    def close_answers(self, closing: bool) -> None:
        """Set whether the end is announced on connections; an announced end is not revoked."""
        if closing:
            self.drain()
        else:
            self.draining = False

    def connection_count(self) -> int:
        """Return the number of open client connections."""
        return len(self.connections)

    def end_idle(self, idle_us: int) -> None:
        """Do nothing: a draining connection is closed once all requests are answered, so none stays idle."""

    def stop_accepting(self) -> None:
        """Stop accepting within ACCEPT_TIMEOUT_S; connections that the kernel has queued are still served."""
        self.accepting = False

    def stop_reading(self) -> None:
        """Accept no new streams; open ones are answered."""
        self.draining = True
        for conn in list(self.connections.values()):
            conn.begin_drain(immediately=True)

    def busy(self) -> bool:
        """Return whether any request is unanswered, or may be, as connections may still be queued."""
        may_have_queued = not self.accepting and not self.accept_finished
        return may_have_queued or any(conn.has_unanswered() for conn in list(self.connections.values()))
