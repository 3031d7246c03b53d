"""HTTP/1.1 server of a front: accepts connections, evicts idle ones, and closes them at shutdown."""

from __future__ import annotations

import logging
import socket
import struct
import threading
import time
from collections.abc import Callable
from functools import partial

from lupintack import sockets
from lupintack.clock import now_us
from lupintack.fronts.exchange import Exchange
from lupintack.fronts.http1_connection import Http1Connection
from lupintack.fronts.listener import bind_socket, listen, pause_after_failed_accept
from lupintack.logs import LineLimit, fields

LOG = logging.getLogger("http1")
MIN_IDLE_S = 0.04  # a connection is not closed to make room while its first request may be on its way
CHECK_INTERVAL_S = 0.1  # between two checks for overdue connections
EVICTION_INTERVAL_S = 0.01  # between two evictions of idle connections
WRITE_TIMEOUT_S = 10  # a client that accepts no bytes for this long is disconnected
# Bounds the accepting of queued connections after the listener stops, if no place becomes free.
ACCEPT_DRAIN_S = 0.3
FULL_PAUSE_S = 0.002  # between two checks for a free place
LOG_LINES_PER_S = 5  # for failed accepts


class Http1Server:
    """Listens on one address; runs a thread per connection, up to a limit."""

    def __init__(
        self,
        address: tuple[str, int],
        handle: Callable[[Exchange], None],
        spawn: Callable[[Callable[[], None], str], None],
        count: Callable[[str], None],
        max_connections: int,
        max_body_bytes: int,
        reuse: bool = False,
        bodyless: bool = False,
    ) -> None:
        """Bind the address. `reuse`: another process may bind it too; `bodyless`: requests have no body."""
        self.handle = handle
        self.spawn = spawn
        self.count = count
        self.max_connections = max_connections
        # Places that are kept free by closing idle connections.
        self.reserved_connections = max(1, max_connections // 8)
        self.max_body_bytes = max_body_bytes
        self.bodyless = bodyless
        self.closing = False
        self.accepting = True
        self.accept_finished = False  # no further connection will be accepted
        self.reading = True
        self.reuse = reuse
        self.connections: set[Http1Connection] = set()
        self.checked_us = self.evicted_us = 0  # time of the last check, of the last eviction
        self.accept_log_limit = LineLimit(LOG_LINES_PER_S)
        self.lock = threading.Lock()
        # The accept timeout lets the accepting thread check open connections between two accepts.
        self.sock = bind_socket(address, CHECK_INTERVAL_S, reuse)

    def open(self) -> None:
        """Listen; raise ListenError if another process has the port."""
        listen(self.sock)

    def run(self) -> None:
        """Accept connections and close overdue ones; close the listening socket at the end."""
        try:
            self.accept_connections()
        finally:
            self.accept_finished = True
            self.sock.close()

    def accept_connections(self) -> None:
        """Accept until `stop_accepting`, then only queued connections: the close would reset them."""
        deadline_us = 0
        failures = sockets.AcceptFailures(self.count)
        while True:
            now = now_us()
            if not self.accepting:
                if not deadline_us:
                    deadline_us = now + int(ACCEPT_DRAIN_S * 1e6)
                    self.sock.setblocking(False)
                if now >= deadline_us:
                    return
            self.check_connections(now)
            if len(self.connections) >= self.max_connections:
                time.sleep(FULL_PAUSE_S)
                continue
            try:
                sock, peer_address = self.sock.accept()
            except BlockingIOError:
                if deadline_us:
                    return
                continue  # no new connection within the accept timeout
            except OSError as error:
                evict = partial(self.evict_idle_connections, now)
                pause_after_failed_accept(error, failures, self.accept_log_limit, LOG, evict, self.accepting)
                continue
            failures.on_success()
            self.start_connection(sock, str(peer_address[0]))

    def start_connection(self, sock: socket.socket, peer_ip: str) -> None:
        """Start the thread of a new connection."""
        self.set_options(sock)
        conn = Http1Connection(self, sock, peer_ip)
        with self.lock:
            self.connections.add(conn)
            reading_stopped = not self.reading
        if reading_stopped:
            # The client may have sent a request while this thread was delayed; it is still read.
            with conn.lock:
                conn.end_reading()
        try:
            self.spawn(conn.run, "client")
        except RuntimeError as error:
            LOG.error("can't start a thread for a client", extra=fields(reason=error))
            conn.end()

    def set_options(self, sock: socket.socket) -> None:
        """Set the options of a client's socket; count a failure, as a close would cost more."""
        limit = struct.pack("ll", WRITE_TIMEOUT_S, 0)
        if not all(
            [
                sockets.set_option(sock, socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
                sockets.set_option(sock, socket.SOL_SOCKET, socket.SO_SNDTIMEO, limit),
                sockets.set_option(
                    sock, socket.SOL_SOCKET, socket.SO_RCVTIMEO, struct.pack("ll", 0, 0)
                ),  # otherwise inherited from the listener
            ]
        ):
            self.count("client.option_not_set")

    def check_connections(self, now: int) -> None:
        """Close overdue connections, and evict idle ones before their places are needed.

        This bounds the descriptors of clients, as the connections to members need the rest. While no place is
        free, new connections wait in the kernel's queue.
        """
        if now - self.checked_us >= CHECK_INTERVAL_S * 1e6:
            self.checked_us = now
            self.close_overdue(now)
        is_nearly_full = len(self.connections) >= self.max_connections - self.reserved_connections
        if is_nearly_full and now - self.evicted_us >= EVICTION_INTERVAL_S * 1e6:
            self.evicted_us = now
            self.evict_idle_connections(now)

    def close_overdue(self, now: int) -> None:
        """Close connections on which a request, or the rest of one, is overdue."""
        with self.lock:
            conns = list(self.connections)
        for conn in conns:
            if conn.is_overdue(now):
                self.count("closed.silent")
                conn.expire()

    def evict_idle_connections(self, now: int) -> None:
        """Close connections without an open request: first those that never had one, then the longest idle.

        Without this, clients that open connections and send nothing, or one request, would lock others out.
        A connection with an open request is never closed.
        """
        with self.lock:
            conns = list(self.connections)
        ending = sum(conn.expired or conn.closed for conn in conns)
        idle = [(conn.had_request and not conn.is_lingering, -conn.idle_us(now), conn) for conn in conns]
        idle = [candidate for candidate in idle if -candidate[1] >= MIN_IDLE_S * 1e6]
        idle.sort(key=lambda candidate: candidate[:2])
        for _, _, conn in idle[: max(0, self.reserved_connections - ending)]:
            self.count("closed.for_room")
            conn.expire(immediately=True)

    def close_answers(self, closing: bool) -> None:
        """Set whether the connection is closed after each answer."""
        self.closing = closing

    def connection_count(self) -> int:
        """Return the number of open client connections."""
        return len(self.connections)

    def drain(self) -> None:
        """Do nothing: HTTP/1.1 can announce a close only in an answer, by `Connection: close`."""

    def stop_accepting(self) -> None:
        """Stop accepting within CHECK_INTERVAL_S; connections that the kernel has queued are still served."""
        self.accepting = False

    def end_idle(self, idle_us: int) -> None:
        """Close connections without an open request for `idle_us`, even while a request is arriving."""
        now = now_us()
        with self.lock:
            conns = list(self.connections)
        for conn in conns:
            if conn.idle_us(now) >= idle_us:
                self.count("closed.emptied")
                conn.expire()

    def remove_connection(self, conn: Http1Connection) -> None:
        """Remove a closed connection."""
        with self.lock:
            self.connections.discard(conn)

    def stop_reading(self) -> None:
        """Read no new requests on open connections; open requests are answered."""
        self.closing = True
        with self.lock:
            self.reading = False
            conns = list(self.connections)
        for conn in conns:
            with conn.lock:
                conn.is_last = True
                if conn.open_exchange is None and not conn.writing:
                    conn.end_reading()

    def busy(self) -> bool:
        """Return whether any request is unanswered, or may be, as connections have unread bytes.

        Counting open requests would miss one that arrived last: its connection is still in the accept queue,
        or its thread is about to read it, or has read it and not opened it yet.
        """
        if not self.accepting and not self.accept_finished:
            return True
        with self.lock:
            conns = list(self.connections)
        return any(conn.has_unanswered() for conn in conns)
