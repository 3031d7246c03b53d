"""Full-state exchanges over TCP, and connection probes: one thread, non-blocking sockets.

A frame is a length of four bytes and an encoded message. The number of connections, their bytes and their
duration are bounded.
"""

from __future__ import annotations

import errno
import logging
import selectors
import socket
import struct
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from lupintack.clock import now_us
from lupintack.logs import fields

LOG = logging.getLogger("fleet")
LENGTH_PREFIX = struct.Struct(">I")
MAX_FRAME_BYTES = 1 << 20
MAX_READ_BYTES = 65_536
MAX_INBOUND_CONNECTIONS = 16  # at this number a new one closes the oldest
MAX_CONNECTION_PROBES = 32
MAX_PENDING_WORK = 256
EXCHANGE_TIMEOUT_US = 1_000_000  # from the start of the connect to the end of the exchange
CONNECTION_PROBE_TIMEOUT_US = 400_000
POLL_INTERVAL_S = 0.02
NEVER_US = 1 << 62


@dataclass(frozen=True, slots=True)
class PendingWork:
    """A connection to open: an exchange with `frame` and `on_answer`, or a probe with `on_probe_result`."""

    destination: tuple[str, int]
    frame: bytes = b""
    on_answer: Callable[[bytes], None] | None = None
    on_probe_result: Callable[[bool], None] | None = None

    @property
    def is_probe(self) -> bool:
        """Whether nothing is sent on the connection."""
        return self.on_probe_result is not None


@dataclass(slots=True)
class ExchangeConnection:
    """One open connection."""

    sock: socket.socket
    deadline_us: int
    write_buffer: bytearray = field(default_factory=bytearray)
    read_buffer: bytearray = field(default_factory=bytearray)
    is_inbound: bool = False
    is_connecting: bool = False
    on_frame: Callable[[bytes], bytes | None] | None = None  # returns the answer; set to None before the call
    on_probe_result: Callable[[bool], None] | None = None  # takes whether the connection was refused

    @property
    def is_probe(self) -> bool:
        """Whether the connection is a probe."""
        return self.on_probe_result is not None


class ExchangeService:
    """A listener, the exchanges that other routers start on it, and those that this router starts.

    `begin_exchange` and `probe_connection` may be called from any thread, other methods only from its own.
    """

    def __init__(self, listener: socket.socket, on_request: Callable[[bytes], bytes | None]) -> None:
        """Take ownership of a listener; `on_request` returns the answer to a frame, or None to close."""
        self.listener = listener
        self.on_request = on_request
        self.pending_work: deque[PendingWork] = deque(maxlen=MAX_PENDING_WORK)
        self.selector = selectors.DefaultSelector()
        self.connections: dict[socket.socket, ExchangeConnection] = {}
        self.stopped = threading.Event()
        self.counters = {"asked": 0, "begun": 0, "late": 0, "bad": 0, "knocks": 0, "refused": 0}
        self.counters |= {"exchanged.in": 0, "exchanged.out": 0}  # bytes

    def begin_exchange(
        self, destination: tuple[str, int], frame: bytes, on_answer: Callable[[bytes], None]
    ) -> None:
        """Send a frame and pass the answer, if one is received, to `on_answer`."""
        self.pending_work.append(PendingWork(destination, frame, on_answer))

    def probe_connection(self, destination: tuple[str, int], on_result: Callable[[bool], None]) -> None:
        """Connect, and pass to `on_result` whether the connection was refused; not called on a timeout."""
        self.pending_work.append(PendingWork(destination, on_probe_result=on_result))

    def run(self) -> None:
        """Serve until `stopped` is set."""
        self.open()
        while not self.stopped.is_set():
            self.poll(POLL_INTERVAL_S)
        self.close()

    def open(self) -> None:
        """Register the listener; required before the first poll."""
        self.listener.setblocking(False)
        self.selector.register(self.listener, selectors.EVENT_READ)

    def poll(self, timeout_s: float) -> None:
        """Start pending work, serve connections that get ready within the timeout, and close overdue ones."""
        while self.pending_work:
            self._open(self.pending_work.popleft())
        for key, events in self.selector.select(timeout_s):
            if key.fileobj is self.listener:
                self._accept()
                continue
            connection = self.connections.get(key.fileobj)  # type: ignore[call-overload]
            if connection is not None:
                self._serve(connection, events)
        self._close_overdue()

    def _close_overdue(self) -> None:
        now = now_us()
        overdue = [connection for connection in self.connections.values() if now >= connection.deadline_us]
        for connection in overdue:
            self.counters["late"] += not connection.is_probe
            self._close(connection)

    @property
    def wake_us(self) -> int:
        """When a poll is due without a ready socket; 0 for immediately."""
        if self.pending_work:
            return 0
        return min((connection.deadline_us for connection in self.connections.values()), default=NEVER_US)

    def close(self) -> None:
        """Close all connections and the listener."""
        for connection in list(self.connections.values()):
            self._close(connection)
        self.listener.close()
        self.selector.close()

    def _open(self, work: PendingWork) -> None:
        if work.is_probe:
            open_probes = sum(connection.is_probe for connection in self.connections.values())
            if open_probes >= MAX_CONNECTION_PROBES:
                return
        sock = socket.socket(socket.AF_INET6 if ":" in work.destination[0] else socket.AF_INET)
        sock.setblocking(False)
        self.counters["knocks" if work.is_probe else "begun"] += 1
        connection = self._outbound(work, sock)
        try:
            code = sock.connect_ex(work.destination)
        except OSError as error:  # not a valid address
            code = error.errno or errno.EINVAL
        if code not in (0, errno.EINPROGRESS):
            self._on_connected(connection, code)
            return
        self.connections[sock] = connection
        self.selector.register(sock, selectors.EVENT_WRITE)

    @staticmethod
    def _outbound(work: PendingWork, sock: socket.socket) -> ExchangeConnection:
        timeout_us = CONNECTION_PROBE_TIMEOUT_US if work.is_probe else EXCHANGE_TIMEOUT_US
        connection = ExchangeConnection(sock, now_us() + timeout_us, is_connecting=True)
        connection.on_probe_result = work.on_probe_result
        if work.on_answer is not None:
            connection.on_frame = work.on_answer
            connection.write_buffer += LENGTH_PREFIX.pack(len(work.frame)) + work.frame
        return connection

    def _accept(self) -> None:
        try:
            sock, _ = self.listener.accept()
        except OSError:
            return
        sock.setblocking(False)
        unanswered = [
            connection
            for connection in self.connections.values()
            if connection.is_inbound and connection.on_frame is not None
        ]
        if len(unanswered) >= MAX_INBOUND_CONNECTIONS:
            self._close(min(unanswered, key=lambda connection: connection.deadline_us))
        deadline_us = now_us() + EXCHANGE_TIMEOUT_US
        connection = ExchangeConnection(sock, deadline_us, is_inbound=True, on_frame=self.on_request)
        self.connections[sock] = connection
        self.selector.register(sock, selectors.EVENT_READ)

    def _on_connected(self, connection: ExchangeConnection, code: int) -> None:
        """Handle the end of a connect, with an errno or 0; close probes and failed connections."""
        if not connection.is_probe and not code:
            connection.is_connecting = False
            return
        if code == errno.ECONNREFUSED:
            self.counters["refused"] += 1
        if connection.on_probe_result is not None and code in (0, errno.ECONNREFUSED):
            connection.on_probe_result(code != 0)
        self._close(connection)

    def _serve(self, connection: ExchangeConnection, events: int) -> None:
        try:
            is_open = self._transfer(connection, events)
        except BlockingIOError:
            return
        except OSError:
            self._close(connection)
            return
        if not is_open:
            return
        if not connection.write_buffer and connection.on_frame is None:
            self._close(connection)  # the exchange is complete
            return
        interest = (selectors.EVENT_WRITE if connection.write_buffer else 0) | (
            selectors.EVENT_READ if connection.on_frame else 0
        )
        self.selector.modify(connection.sock, interest or selectors.EVENT_READ)

    def _transfer(self, connection: ExchangeConnection, events: int) -> bool:
        """Write and read without blocking; return whether the connection stays open."""
        if connection.is_connecting:
            code = connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            self._on_connected(connection, code)
            if connection.sock not in self.connections:
                return False
        if events & selectors.EVENT_WRITE and connection.write_buffer:
            sent = connection.sock.send(connection.write_buffer)
            self.counters["exchanged.out"] += sent
            del connection.write_buffer[:sent]
        if events & selectors.EVENT_READ:
            return self._read(connection)
        return True

    def _read(self, connection: ExchangeConnection) -> bool:
        """Read, and handle a complete frame; return whether the connection stays open."""
        data = connection.sock.recv(MAX_READ_BYTES)
        self.counters["exchanged.in"] += len(data)
        buffer = connection.read_buffer
        buffer += data
        length = LENGTH_PREFIX.unpack_from(buffer)[0] if len(buffer) >= LENGTH_PREFIX.size else 0
        if not data or length > MAX_FRAME_BYTES or connection.on_frame is None:
            self.counters["bad"] += bool(data)
            self._close(connection)
            return False
        end = LENGTH_PREFIX.size + length
        if length and len(buffer) >= end:
            on_frame, connection.on_frame = connection.on_frame, None
            self.counters["asked"] += connection.is_inbound
            answer = on_frame(bytes(buffer[LENGTH_PREFIX.size : end]))
            if answer is None:
                self._close(connection)
                return False
            connection.write_buffer += LENGTH_PREFIX.pack(len(answer)) + answer
        return True

    def _close(self, connection: ExchangeConnection) -> None:
        if self.connections.pop(connection.sock, None) is not None:
            try:
                self.selector.unregister(connection.sock)
            except (KeyError, ValueError) as error:
                LOG.warning("connection is not registered", extra=fields(reason=error))
        connection.sock.close()
