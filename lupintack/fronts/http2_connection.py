"""One cleartext HTTP/2 connection of a front: each stream is one exchange, served like one on HTTP/1.1.

`limits/streams.py` decides what a connection may hold, `http2/schedule.py` what is written next, and
`limits/drain.py` when a connection ends; this module applies their decisions to the wire. A stream is refused
with REFUSED_STREAM only before the core has received it. docs/http2.md describes the life of a stream.
"""

from __future__ import annotations

import logging
import socket
import threading
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from h2.errors import ErrorCodes

from lupintack.clock import now_us
from lupintack.core import client_liveness
from lupintack.fronts import http2_fields, platform_headers
from lupintack.fronts.exchange import ConnectionOwner, HttpError, HttpRequest, checked_response, do_nothing
from lupintack.fronts.http1_detection import refuse_http1, speaks_http1
from lupintack.http2.config import WireConfig
from lupintack.http2.role import Header, Role
from lupintack.http2.schedule import Priority, parse_priority
from lupintack.http2.wire import Wire
from lupintack.limits.drain import Drain
from lupintack.limits.streams import Cost, StreamDecision, StreamTable, StreamTerms

LOG = logging.getLogger("http2")
COSTS = {"control": Cost.CONTROL, "window": Cost.WINDOW}
DEFAULT_PRIORITY = Priority()


class Http2ConnectionOwner(ConnectionOwner, Protocol):
    """The part of the server that its connections use."""

    blocking: bool  # `handle` may wait
    retry_after_ms: int  # retry time sent to a client that is rejected at capacity
    terms: StreamTerms
    wire_config: WireConfig
    stream_table: StreamTable  # streams and bytes of all connections
    lock: threading.Lock  # of the stream table

    @property
    def free_requests(self) -> Callable[[], int]:
        """Return the function for how many more requests the core accepts."""

    @property
    def default_priority(self) -> Callable[[HttpRequest], Priority]:
        """Return the function for the priority of a request without a priority field."""

    def call_later(self, call: Callable[[], None]) -> None:
        """Run a call in the next check; for callers under a lock that the call must not hold."""

    def remove_connection(self, conn: Http2Connection) -> None:
        """Remove a closed connection."""


class StreamExchange:
    """One request on a stream, answered once."""

    __slots__ = (
        "conn", "stream", "request", "peer_ip", "on_disconnected", "disconnected", "stated_length", "chunks",
        "received_bytes", "priority", "is_complete",
    )  # fmt: skip

    def __init__(self, conn: Http2Connection, stream: int, request: HttpRequest, stated_length: int) -> None:
        """`stated_length`: the content-length of the request, -1 if it has none."""
        self.conn = conn
        self.stream = stream
        self.request = request
        self.peer_ip = conn.peer_ip
        self.on_disconnected: Callable[[], None] = do_nothing
        self.stated_length = stated_length  # from content-length; -1 without it
        self.chunks: list[bytes] = []
        self.received_bytes = 0
        self.priority = DEFAULT_PRIORITY
        self.is_complete = False  # the whole request has been received
        self.disconnected = False  # the stream was reset, or the connection has ended

    def answer(
        self,
        status: int,
        headers: Iterable[tuple[str, object]] = (),
        body: bytes | bytearray | memoryview = b"",
        close: bool = False,
    ) -> bool:
        """Write the answer; return False if the client has disconnected or was answered before."""
        # Holds the lock from the removal of the open exchange until the answer is queued: between the two, a
        # drain would see no open exchange and nothing to write, and end the connection.
        with self.conn.wire.lock:
            response = checked_response(status, headers, body, self.conn.server.count)
            return self.conn.reply(self, *response)

    def is_disconnected(self) -> bool:
        """Return whether the client has disconnected; the kernel reports it before the end is read."""
        return self.disconnected or client_liveness.has_closed(self.conn.sock)


class Http2Connection(Role):
    """One client's connection."""

    def __init__(self, server: Http2ConnectionOwner, sock: socket.socket, peer_ip: str, number: int) -> None:
        """Use an accepted socket; `number` identifies the connection in the stream table."""
        self.server = server
        self.peer_ip = peer_ip
        self.number = number
        self.drain = Drain()
        self.open_exchanges: dict[int, StreamExchange] = {}  # by stream; not answered yet
        self.half_open: set[int] = set()  # answered before the request was complete
        self.lock = threading.Lock()
        self.last_stream = 0  # the stream id in the last GOAWAY
        self.sock = sock
        self.wire = Wire(sock, server.wire_config, self, server.spawn)

    def run(self) -> None:
        """Serve the connection; the main function of its thread."""
        try:
            is_http1 = speaks_http1(self.sock, self.server.terms.first_us // 1000)
        except OSError:
            is_http1 = True
        if is_http1:
            self.server.count("http2.alien")
            refuse_http1(self.sock)
            self.server.remove_connection(self)
            return
        self.wire.run()

    # Requests, on the reader's thread

    def on_headers(self, stream: int, headers: Sequence[Header]) -> None:
        """Open an exchange for a request, or refuse its stream."""
        server, now = self.server, now_us()
        server.count("http2.streams")
        # The headers of a stream up to the last GOAWAY's id may have been read before that frame was sent.
        if self.drain.accepts_streams() or stream <= self.last_stream:
            with server.lock:
                decision = server.stream_table.open_stream(self.number, stream, now, server.free_requests())
        else:
            decision = StreamDecision.REFUSE
        if decision is not StreamDecision.ACCEPT:
            server.count("http2.refused")
            self.wire.reset(stream, ErrorCodes.REFUSED_STREAM)
            return
        try:
            request, stated_length = http2_fields.parse_request(headers)
        except http2_fields.MalformedRequestError as error:
            self.reset_malformed(stream, str(error))
            return
        except HttpError as error:
            exchange = self.open_exchanges[stream] = StreamExchange(self, stream, HttpRequest("GET", "/"), -1)
            self.answer_error(exchange, error)
            return
        request.received_us = self.wire.received_us
        exchange = self.open_exchanges[stream] = StreamExchange(self, stream, request, stated_length)
        priority = server.default_priority(request)
        if "priority" in request.headers:
            priority = parse_priority(request.headers["priority"], priority)
        exchange.priority = priority
        if stated_length > server.max_body_bytes:
            self.answer_error(exchange, HttpError(413, "the body is too long"))
        elif request.headers.get("expect", "").lower() == "100-continue":
            self.wire.send_informational(stream, [(b":status", b"100")])

    def on_trailers(self, stream: int, headers: Sequence[Header]) -> None:
        """Ignore trailers; reset the stream if they contain a pseudo-field."""
        if any(name[:1] == b":" for name, _ in headers):
            self.reset_malformed(stream, "a pseudo-field after the body")

    def on_data(self, stream: int, data: bytes) -> None:
        """Store a part of a request's body, within the bounds."""
        exchange = self.open_exchanges.get(stream)
        if exchange is None or stream in self.half_open:
            return
        exchange.received_bytes += len(data)
        if 0 <= exchange.stated_length < exchange.received_bytes:
            self.reset_malformed(stream, "a body longer than its content-length")
        elif exchange.received_bytes > self.server.max_body_bytes:
            self.answer_error(exchange, HttpError(413, "the body is too long"))
        else:
            with self.server.lock:
                decision = self.server.stream_table.add_request_bytes(self.number, stream, len(data))
            if decision is StreamDecision.ACCEPT:
                exchange.chunks.append(data)
            else:
                self.server.count("http2.refused")
                self.abandon_stream(stream)
                self.wire.reset(stream, ErrorCodes.REFUSED_STREAM)

    def on_end(self, stream: int) -> None:
        """Call the handler for a complete request."""
        self.half_open.discard(stream)
        exchange = self.open_exchanges.get(stream)
        if exchange is None:
            return
        if exchange.stated_length >= 0 and exchange.stated_length != exchange.received_bytes:
            self.reset_malformed(stream, "a body shorter than its content-length")
            return
        exchange.is_complete = True
        request = exchange.request
        request.body = exchange.chunks[0] if len(exchange.chunks) == 1 else b"".join(exchange.chunks)
        exchange.chunks = []
        if exchange.received_bytes:
            request.received_us = self.wire.received_us  # the time of a request counts from its last byte
        with self.server.lock:
            self.server.stream_table.accept_request(self.number, stream)
        if self.server.blocking:
            self.server.spawn(lambda: self.handle(exchange), "http2 stream")
        else:
            self.handle(exchange)

    def handle(self, exchange: StreamExchange) -> None:
        """Call the handler, and answer with an error if it raises one."""
        try:
            self.server.handle(exchange)
        except HttpError as error:
            self.answer_error(exchange, error)
        except Exception:  # the client gets an answer to an internal error, not a silent close
            LOG.exception("request failed")
            self.server.count("rejected.500")
            exchange.answer(500)

    def answer_error(self, exchange: StreamExchange, error: HttpError) -> None:
        """Answer with an error and its text; the rest of the request is ignored."""
        self.server.count(f"rejected.{error.status}")
        exchange.answer(error.status, [("Content-Type", "text/plain")], f"{error}\n".encode())

    def reset_malformed(self, stream: int, text: str) -> None:
        """Reset a stream whose request is malformed (RFC 9113, section 8.1.1); no member receives it."""
        self.server.count("http2.malformed")
        self.abandon_stream(stream)
        self.wire.reset(stream, ErrorCodes.PROTOCOL_ERROR)
        self.spend(Cost.RESET, "too many malformed requests")

    # Answers, on any thread

    def reply(
        self,
        exchange: StreamExchange,
        status: int,
        headers: list[tuple[str, object]],
        body: bytes | bytearray | memoryview,
    ) -> bool:
        """Write the answer of a stream, unless the stream has ended; under the wire's lock."""
        stream, server = exchange.stream, self.server
        with self.lock:
            if self.open_exchanges.pop(stream, None) is None:
                return False
        # Breaks the reference cycle with the exchange; cycles are costly to collect.
        exchange.on_disconnected = do_nothing
        head_only = exchange.request.method == "HEAD" or status in (204, 304)
        if len(body) and not head_only:
            is_write = exchange.request.method not in ("GET", "HEAD")
            with server.lock:
                decision = server.stream_table.add_response_bytes(self.number, stream, len(body), is_write)
            if decision is not StreamDecision.ACCEPT:
                # Bounds the memory: an answer that can't be buffered is not sent. Reads may be retried.
                server.count("http2.no_room")
                status, headers, body = (
                    (502, [], b"")
                    if is_write
                    else (503, [(platform_headers.RETRY_AFTER, server.retry_after_ms)], b"")
                )
        length = None if status in (204, 304) else len(body)
        fields = http2_fields.encode_response(status, headers, length)
        data = b"" if head_only else body
        if not exchange.is_complete:
            # Set before `send`, which may write all bytes before it returns.
            self.half_open.add(stream)
        sent = self.wire.send(stream, fields, data, exchange.priority)
        if not sent or not len(data):
            self.reset_half_open(stream)
            self.release_stream(stream)
        return sent

    # Ends of streams

    def on_reset(self, stream: int, code: int) -> None:
        """Handle a stream that the client has reset."""
        self.server.count("http2.reset")
        self.abandon_stream(stream)
        self.spend(Cost.RESET, "too many resets")

    def abandon_stream(self, stream: int) -> None:
        """End a stream without an answer, or in the middle of one."""
        with self.lock:
            exchange = self.open_exchanges.pop(stream, None)
        self.release_stream(stream)
        if exchange is not None:
            # Set first: a concurrent handler checks it after it has set on_disconnected.
            exchange.disconnected = True
            exchange.on_disconnected()

    def release_stream(self, stream: int) -> None:
        """Release what an ended stream has reserved."""
        self.half_open.discard(stream)
        with self.server.lock:
            self.server.stream_table.close_stream(self.number, stream, now_us())

    def on_closed(self, reason: str) -> None:
        """Handle the end of the connection: notify all open exchanges of the disconnection."""
        with self.lock:
            open_exchanges, self.open_exchanges = list(self.open_exchanges.values()), {}
        self.server.remove_connection(self)
        if not reason.startswith("closed"):
            self.server.count("http2.ended." + reason.partition(":")[0].replace(" ", "_"))
        for exchange in open_exchanges:
            exchange.disconnected = True
            exchange.on_disconnected()

    # Frame budgets, bytes and windows, under the wire's lock

    def on_cost(self, kind: str) -> bool:
        """Count a control or window frame; return False if the client has sent too many."""
        with self.server.lock:
            return (
                self.server.stream_table.charge(self.number, COSTS[kind], now_us()) is StreamDecision.ACCEPT
            )

    def spend(self, cost: Cost, text: str) -> None:
        """Count a cost, and end the connection if its budget is exceeded."""
        with self.server.lock:
            decision = self.server.stream_table.charge(self.number, cost, now_us())
        if decision is StreamDecision.CALM:
            self.wire.calm(text)

    def on_written(self, stream: int, count: int, is_complete: bool) -> None:
        """Count bytes of an answer that were framed."""
        with self.server.lock:
            self.server.stream_table.release_response_bytes(self.number, stream, count)
            if is_complete:
                self.server.stream_table.close_stream(self.number, stream, now_us())
        if is_complete:
            self.reset_half_open(stream)

    def reset_half_open(self, stream: int) -> None:
        """Reset a stream that was answered before its request was complete (RFC 9113, section 8.1).

        Otherwise such streams would stay half open until the connection ends, without being counted.
        """
        if stream in self.half_open:
            self.half_open.discard(stream)
            self.server.call_later(lambda: self.wire.reset(stream, ErrorCodes.NO_ERROR))

    def on_window_closed(self, stream: int) -> None:
        """Record that a stream, or the connection (0), waits for window."""
        with self.server.lock:
            self.server.stream_table.on_window_closed(self.number, stream, now_us())

    def on_window_opened(self, stream: int) -> None:
        """Record that a stream, or the connection (0), has window again."""
        with self.server.lock:
            self.server.stream_table.on_window_opened(self.number, stream, now_us())

    # End of the connection

    def begin_drain(self, immediately: bool = False) -> None:
        """Announce the end of the connection; `immediately`: send the last GOAWAY, too."""
        with self.wire.lock:
            now = now_us()
            if self.drain.begin(now):
                self.wire.go_away(last=False)
            if self.drain.finalize(now, immediately=immediately):
                self.send_last_goaway()

    def on_pong(self) -> None:
        """Send the last GOAWAY, as the PONG shows that the client has read the first."""
        with self.wire.lock:
            if self.drain.finalize(now_us(), ping_acknowledged=True):
                self.send_last_goaway()

    def send_last_goaway(self) -> None:
        """Send the last GOAWAY; under the wire's lock."""
        self.last_stream = self.wire.session.highest_inbound_stream_id
        self.wire.go_away(last=True)

    def has_unanswered(self) -> bool:
        """Return whether a request is unanswered, or may be, as the client may not have read a GOAWAY yet.

        The lock excludes the moment between the removal of an open exchange and the framing of its answer.
        """
        with self.wire.lock:
            wire = self.wire
            unanswered = (
                wire.is_calling or self.open_exchanges or wire.unwritten_bytes() or wire.is_lingering()
            )
            return bool(unanswered or (self.drain.accepts_streams() and not wire.ended))

    def check_drain(self, now: int) -> None:
        """Send the last GOAWAY when it is due, and end the connection once all requests are answered."""
        with self.wire.lock:
            if self.drain.finalize(now):
                self.send_last_goaway()
            # While the role is being called, streams may have been read and accepted, but not opened yet.
            if not self.wire.is_calling and self.drain.complete(
                len(self.open_exchanges), self.wire.unwritten_bytes()
            ):
                self.wire.finish("drained")
            self.wire.abort_if_lingering(now)
