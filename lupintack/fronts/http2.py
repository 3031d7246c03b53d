"""Cleartext HTTP/2 for the fronts, by prior knowledge: each stream is one exchange, served as HTTP/1.1's are.

What a connection may hold is decided in `limits/streams.py`, what is written next in `http2/schedule.py`,
when a connection ends in `limits/drain.py`; here they meet the wire. A stream is refused with REFUSED_STREAM
only while the core has not received it. docs/http2.md has the life of a stream.
"""

from __future__ import annotations

import logging
import select
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterable, Sequence
from random import Random

from h2.errors import ErrorCodes

from lupintack import sockets
from lupintack.clock import now_us
from lupintack.fronts import fields as words
from lupintack.fronts.exchange import Bad, Exchange, HttpRequest, nothing
from lupintack.fronts.listener import bound, listen
from lupintack.http2.schedule import Priority, parse
from lupintack.http2.wire import Header, Role, Wire, WireTerms
from lupintack.limits.drain import Drain
from lupintack.limits.streams import Book, Cost, Due, StreamTerms, Verdict
from lupintack.logs import LineLimit, fields

LOG = logging.getLogger("http2")
SWEEP_S = 0.05  # between two looks at what time has brought
ACCEPT_S = 0.1  # between two looks whether to accept still
LAST_S = 0.3  # for what is queued when the listening ends, where no place is free for it
FULL_S = 0.002  # between two looks for room
YOUNG_US = 40_000  # a connection is not closed to make room while its first request may be on its way
LINES_PER_S = 5  # on accepts that fail
READ_IN = 8  # bytes that tell HTTP/1.1 from the preface
COSTS = {"control": Cost.CONTROL, "window": Cost.WINDOW}
PLAIN = Priority()
ALIEN = (
    b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Type: text/plain\r\nContent-Length: 51\r\n\r\n"
    b"this port speaks HTTP/2 only, by prior knowledge.\r\n"
)


class StreamExchange:
    """One request on a stream; answered once."""

    __slots__ = (
        "conn", "stream", "request", "peer_ip", "on_left", "left", "want", "chunks", "had", "priority",
        "whole",
    )  # fmt: skip

    def __init__(self, conn: Conn, stream: int, request: HttpRequest, want: int) -> None:
        self.conn = conn
        self.stream = stream
        self.request = request
        self.peer_ip = conn.peer_ip
        self.on_left: Callable[[], None] = nothing
        self.want = want  # the body's length as stated; -1 where it isn't
        self.chunks: list[bytes] = []
        self.had = 0
        self.priority = PLAIN
        self.whole = False  # all of the request has come
        self.left = False  # the client has given it up, or its connection is gone

    def answer(
        self,
        status: int,
        headers: Iterable[tuple[str, object]] = (),
        body: bytes | bytearray | memoryview = b"",
        close: bool = False,
    ) -> bool:
        """The one answer; False where the client has left or an answer was given before."""
        # One lock from the first look to the last byte: guards against a drain that finds nothing open and
        # nothing to write between the two, and ends the connection.
        with self.conn.wire.lock:
            return self.conn.reply(self, status, list(headers), body)

    def gone(self) -> bool:
        """Whether the client has left."""
        return self.left


class Conn(Role):
    """One client's connection."""

    def __init__(self, server: Http2Server, sock: socket.socket, peer_ip: str, number: int) -> None:
        self.server = server
        self.peer_ip = peer_ip
        self.number = number
        self.drain = Drain()
        self.open: dict[int, StreamExchange] = {}  # by stream: not answered yet
        self.halves: set[int] = set()  # answered before the request was whole
        self.lock = threading.Lock()
        self.last = 0  # the stream that the last GOAWAY named
        self.sock = sock
        self.wire = Wire(sock, server.wire_terms, self, server.spawn)

    def run(self) -> None:
        """The connection's thread."""
        try:
            alien = self._is_alien()
        except OSError:
            alien = True
        if alien:
            # Guards against a client that speaks HTTP/1.1 to the port: it gets words that it can read.
            self.server.count("http2.alien")
            try:
                self.sock.sendall(ALIEN)
                self.sock.shutdown(socket.SHUT_WR)
                self.sock.settimeout(1.0)
                while self.sock.recv(4096):
                    pass
            except OSError:
                pass
            self.sock.close()
            self.server.forget(self)
            return
        self.wire.run()

    def _is_alien(self) -> bool:
        """Whether the first bytes are HTTP/1.1; nothing is taken from the socket."""
        poll = select.poll()
        poll.register(self.sock, select.POLLIN)
        if not poll.poll(self.server.terms.first_us // 1000):
            return False  # silent: the sweep ends it
        first = self.sock.recv(READ_IN, socket.MSG_PEEK)
        return first[:3].isalpha() and not b"PRI * HTTP/2.0".startswith(first) and b"PRI" != first[:3]

    # Requests: on the reader's thread

    def on_headers(self, stream: int, headers: Sequence[Header]) -> None:
        server, now = self.server, now_us()
        server.count("http2.streams")
        # A stream that the last GOAWAY counted as taken may have been read, and not handed over, at that
        # moment.
        if self.drain.takes() or stream <= self.last:
            with server.lock:
                verdict = server.book.opens(self.number, stream, now, server.free())
        else:
            verdict = Verdict.REFUSE
        if verdict is not Verdict.TAKE:
            server.count("http2.refused")
            self.wire.reset(stream, ErrorCodes.REFUSED_STREAM)
            return
        try:
            request, want = words.parse(headers)
        except words.Malformed as error:
            self.malformed(stream, str(error))
            return
        except Bad as error:
            exchange = self.open[stream] = StreamExchange(self, stream, HttpRequest("GET", "/"), -1)
            self.rejected(exchange, error)
            return
        request.came_us = self.wire.received_us
        exchange = self.open[stream] = StreamExchange(self, stream, request, want)
        priority = server.prefer(request)
        if "priority" in request.headers:
            priority = parse(request.headers["priority"], priority)
        exchange.priority = priority
        if want > server.body_most:
            self.rejected(exchange, Bad(413, "the body is too long"))
        elif request.headers.get("expect", "").lower() == "100-continue":
            self.wire.inform(stream, [(b":status", b"100")])

    def on_trailers(self, stream: int, headers: Sequence[Header]) -> None:
        """Fields after the body are dropped; those that can't be there end the stream."""
        if any(name[:1] == b":" for name, _ in headers):
            self.malformed(stream, "a pseudo-field after the body")

    def on_data(self, stream: int, data: bytes) -> None:
        exchange = self.open.get(stream)
        if exchange is None or stream in self.halves:
            return
        exchange.had += len(data)
        if 0 <= exchange.want < exchange.had:
            self.malformed(stream, "a body longer than its content-length")
        elif exchange.had > self.server.body_most:
            self.rejected(exchange, Bad(413, "the body is too long"))
        else:
            with self.server.lock:
                verdict = self.server.book.reads(self.number, stream, len(data))
            if verdict is Verdict.TAKE:
                exchange.chunks.append(data)
            else:
                self.server.count("http2.refused")
                self.gone(stream)
                self.wire.reset(stream, ErrorCodes.REFUSED_STREAM)

    def on_end(self, stream: int) -> None:
        """The request is whole: to the core."""
        self.halves.discard(stream)
        exchange = self.open.get(stream)
        if exchange is None:
            return
        if exchange.want >= 0 and exchange.want != exchange.had:
            self.malformed(stream, "a body shorter than its content-length")
            return
        exchange.whole = True
        request = exchange.request
        request.body = exchange.chunks[0] if len(exchange.chunks) == 1 else b"".join(exchange.chunks)
        exchange.chunks = []
        if exchange.had:
            request.came_us = self.wire.received_us  # its time counts from its last byte
        with self.server.lock:
            self.server.book.taken(self.number, stream)
        if self.server.blocking:
            self.server.spawn(lambda: self.handle(exchange), "http2 stream")
        else:
            self.handle(exchange)

    def handle(self, exchange: StreamExchange) -> None:
        try:
            self.server.handle(exchange)
        except Bad as error:
            self.rejected(exchange, error)
        except Exception:  # a fault of ours must not show as a silent drop
            LOG.exception("request failed")
            self.server.count("rejected.500")
            exchange.answer(500)

    def rejected(self, exchange: StreamExchange, error: Bad) -> None:
        """An error that is answered, in words; what is still to come of the request is not wanted."""
        self.server.count(f"rejected.{error.status}")
        exchange.answer(error.status, [("Content-Type", "text/plain")], f"{error}\n".encode())

    def malformed(self, stream: int, text: str) -> None:
        """An error of the stream (RFC 9113, section 8.1.1); no cache hears of it."""
        self.server.count("http2.malformed")
        self.gone(stream)
        self.wire.reset(stream, ErrorCodes.PROTOCOL_ERROR)
        self.spend(Cost.RESET, "too many malformed requests")

    # Answers: on any thread

    def reply(
        self,
        exchange: StreamExchange,
        status: int,
        headers: list[tuple[str, object]],
        body: bytes | bytearray | memoryview,
    ) -> bool:
        """The answer of a stream, unless it is over; under the wire's lock."""
        stream, server = exchange.stream, self.server
        with self.lock:
            if self.open.pop(stream, None) is None:
                return False
        exchange.on_left = nothing  # it refers back to the exchange, and cycles are costly
        head_only = exchange.request.method == "HEAD" or status in (204, 304)
        if len(body) and not head_only:
            write = exchange.request.method not in ("GET", "HEAD")
            with server.lock:
                verdict = server.book.answers(self.number, stream, len(body), write)
            if verdict is not Verdict.TAKE:
                # Guards the memory: what can't wait is not served. A read may be tried again.
                server.count("http2.no_room")
                status, headers, body = (
                    (502, [], b"") if write else (503, [("Srv-Wait-Ms", server.wait_ms)], b"")
                )
        length = None if status in (204, 304) else len(body)
        told = words.answer(status, headers, length)
        data = b"" if head_only else body
        if not exchange.whole:
            # Before the bytes: all of them may be out when `send` returns.
            self.halves.add(stream)
        sent = self.wire.send(stream, told, data, exchange.priority)
        if not sent or not len(data):
            self.unwanted(stream)
            self.closed(stream)
        return sent

    # Ends

    def on_reset(self, stream: int, code: int) -> None:
        """The client has given a stream up."""
        self.server.count("http2.reset")
        self.gone(stream)
        self.spend(Cost.RESET, "too many resets")

    def gone(self, stream: int) -> None:
        """A stream is over with no answer, or in the middle of one."""
        with self.lock:
            exchange = self.open.pop(stream, None)
        self.closed(stream)
        if exchange is not None:
            exchange.left = True  # first: where the handler runs beside, it looks once on_left stands
            exchange.on_left()

    def closed(self, stream: int) -> None:
        """Nothing more of it."""
        self.halves.discard(stream)
        with self.server.lock:
            self.server.book.closes(self.number, stream, now_us())

    def on_over(self, why: str) -> None:
        """The connection is gone: so are the clients of what is open on it."""
        with self.lock:
            left, self.open = list(self.open.values()), {}
        self.server.forget(self)
        if not why.startswith("closed"):
            self.server.count("http2.ended." + why.partition(":")[0].replace(" ", "_"))
        for exchange in left:
            exchange.left = True
            exchange.on_left()

    # Budgets, bytes and windows: under the wire's lock

    def on_cost(self, kind: str) -> bool:
        with self.server.lock:
            return self.server.book.spends(self.number, COSTS[kind], now_us()) is Verdict.TAKE

    def spend(self, cost: Cost, text: str) -> None:
        with self.server.lock:
            verdict = self.server.book.spends(self.number, cost, now_us())
        if verdict is Verdict.CALM:
            self.wire.calm(text)

    def wrote(self, stream: int, count: int, whole: bool) -> None:
        with self.server.lock:
            self.server.book.wrote(self.number, stream, count)
            if whole:
                self.server.book.closes(self.number, stream, now_us())
        if whole:
            self.unwanted(stream)

    def unwanted(self, stream: int) -> None:
        """Its answer is out before its request was whole: the rest is not wanted (RFC 9113, section 8.1).

        Guards against streams that stay half open for good, which nothing counts any more.
        """
        if stream in self.halves:
            self.halves.discard(stream)
            self.server.later(lambda: self.wire.reset(stream, ErrorCodes.NO_ERROR))

    def shut(self, stream: int) -> None:
        with self.server.lock:
            self.server.book.shut(self.number, stream, now_us())

    def opened(self, stream: int) -> None:
        with self.server.lock:
            self.server.book.opened(self.number, stream, now_us())

    # The end of the connection

    def begin_drain(self, at_once: bool = False) -> None:
        """Tell the client that this connection ends: by and by, or with what has come."""
        with self.wire.lock:
            now = now_us()
            if self.drain.begin(now):
                self.wire.go_away(last=False)
            if self.drain.last(now, at_once=at_once):
                self.tell_last()

    def on_pong(self) -> None:
        with self.wire.lock:
            if self.drain.last(now_us(), came_back=True):
                self.tell_last()

    def tell_last(self) -> None:
        """The last GOAWAY; under the wire's lock."""
        self.last = self.wire.session.highest_inbound_stream_id
        self.wire.go_away(last=True)

    def owes(self) -> bool:
        """Whether an answer is owed or on its way, or may be, as the client was not told that this ends; not
        while one is being begun, which the lock excludes.
        """
        with self.wire.lock:
            wire = self.wire
            owed = wire.calling or self.open or wire.unwritten() or wire.lingers()
            return bool(owed or (self.drain.takes() and not wire.ended))

    def look(self, now: int) -> None:
        """What time brings to the end of a connection."""
        with self.wire.lock:
            if self.drain.last(now):
                self.tell_last()
            # Guards streams that have been read, and told as taken, but not been handed over yet.
            if not self.wire.calling and self.drain.over(len(self.open), self.wire.unwritten()):
                self.wire.finish("drained")
            self.wire.tick(now)


class Http2Server:
    """Listens on one address; every connection gets a reader's thread, up to a bound."""

    def __init__(
        self,
        address: tuple[str, int],
        handle: Callable[[Exchange], None],
        spawn: Callable[[Callable[[], None], str], None],
        count: Callable[[str], None],
        most: int,
        body_most: int,
        terms: StreamTerms,
        free: Callable[[], int],
        header_list: int = 8192,
        prefer: Callable[[HttpRequest], Priority] = lambda request: PLAIN,
        blocking: bool = False,
        wait_ms: int = 500,
        seed: int = 0,
        fifo: bool = False,
        reuse: bool = False,
    ) -> None:
        """`free` tells how many requests the core would still take; `blocking`: `handle` may wait."""
        self.handle = handle
        self.spawn = spawn
        self.count = count
        self.most = most
        self.body_most = body_most
        self.terms = terms
        self.free = free
        self.prefer = prefer
        self.blocking = blocking
        self.wait_ms = wait_ms
        self.random = Random(seed)
        self.wire_terms = WireTerms(streams=terms.streams, header_list=header_list, fifo=fifo)
        self.book = Book(terms)
        self.lock = threading.Lock()  # of the book; taken last, and nothing is called under it
        self.conns: dict[int, Conn] = {}
        self.calls: list[Callable[[], None]] = []
        self.accepting = True
        self.accepted = False  # all that will ever come
        self.draining = False
        self.last_number = 0
        self.lines = LineLimit(LINES_PER_S)
        self.sock = bound(address, ACCEPT_S, reuse)

    def open(self) -> None:
        """Listen; ListenError where another process has the port."""
        listen(self.sock)

    def apply(self, terms: StreamTerms) -> None:
        """Other bounds, for what comes from now on (SIGHUP)."""
        with self.lock:
            self.terms = self.book.terms = terms

    def run(self) -> None:
        """Accept until told to stop."""
        self.spawn(self.sweeps, "http2 sweep")
        waiting = select.poll()
        waiting.register(self.sock, select.POLLIN)
        try:
            self.accepts(waiting)
        finally:
            self.accepted = True
            self.sock.close()

    def accepts(self, waiting: select.poll) -> None:
        """New connections; after the word to stop, what is queued still, as a close would reset it."""
        until = 0
        failures = sockets.AcceptFailures(self.count)
        while True:
            if not self.accepting:
                if not until:
                    until = now_us() + int(LAST_S * 1e6)
                    self.sock.setblocking(False)
                if now_us() >= until:
                    return
            if len(self.conns) >= self.most:
                # Guards the descriptors: room is made by the end of a connection on which nothing is open,
                # once somebody waits for it.
                if waiting.poll(ACCEPT_S * 1000):
                    self.make_room()
                    time.sleep(FULL_S)
                continue
            try:
                sock, where = self.sock.accept()
            except BlockingIOError:
                if until:
                    return
                continue
            except OSError as error:
                pause_s = failures.failed(error)
                if pause_s and self.accepting:
                    if self.lines.allow(now_us()) >= 0:
                        LOG.warning("accept failed", extra=fields(reason=error))
                    if pause_s >= sockets.ACCEPT_LASTS_S:
                        self.make_room()
                    time.sleep(pause_s)
                continue
            failures.succeeded()
            never = struct.pack("ll", 0, 0)
            sockets.set_option(sock, socket.SOL_SOCKET, socket.SO_RCVTIMEO, never)  # inherited
            self.begin(sock, str(where[0]))

    def begin(self, sock: socket.socket, peer_ip: str) -> None:
        """A new connection."""
        self.last_number += 1
        conn = Conn(self, sock, peer_ip, self.last_number)
        with self.lock:
            self.book.connect(conn.number, now_us(), self.random.random())
            self.conns[conn.number] = conn
        self.count("http2.connections")
        try:
            self.spawn(conn.run, "http2 client")
        except RuntimeError as error:
            LOG.error("no thread for a client", extra=fields(reason=error))
            sock.close()
            self.forget(conn)

    def explain(self) -> dict[str, int]:
        """What is held just now, for the line of counters."""
        with self.lock:
            return self.book.explain()

    def forget(self, conn: Conn) -> None:
        with self.lock:
            self.conns.pop(conn.number, None)
            self.book.disconnect(conn.number)

    def later(self, call: Callable[[], None]) -> None:
        """A call that can't be made under the lock that its caller holds; the sweep makes it."""
        self.calls.append(call)

    def make_room(self) -> None:
        with self.lock:
            number = self.book.idlest(now_us(), YOUNG_US)
            conn = self.conns.get(number or 0)
        if conn is not None:
            self.count("http2.closed.for_room")
            conn.begin_drain(at_once=True)

    def sweeps(self) -> None:
        """Look after the connections, as long as there are any or more may come."""
        while self.accepting or self.conns:
            try:
                self.sweep(now_us())
            except Exception:  # one connection's fault must not end the care for the others
                LOG.exception("sweep failed")
            time.sleep(SWEEP_S)

    def sweep(self, now: int) -> None:
        """What time has brought."""
        calls, self.calls = self.calls, []
        for call in calls:
            call()
        with self.lock:
            found = list(self.book.due(now))
            conns = dict(self.conns)
        for number, stream, due in found:
            conn = conns.get(number)
            if conn is not None:
                self.end(conn, stream, due)
        for conn in conns.values():
            if self.draining:
                conn.begin_drain()
            conn.look(now)

    def end(self, conn: Conn, stream: int, due: Due) -> None:
        """A stream, or a connection, whose time is over."""
        self.count(f"http2.due.{due.name.lower()}")
        if due is Due.STALLED:
            conn.gone(stream)
            conn.wire.reset(stream, ErrorCodes.CANCEL)
        elif due is Due.BODY_LATE:
            exchange = conn.open.get(stream)
            if exchange is not None:
                conn.rejected(exchange, Bad(408, "the rest of the body does not come"))
        elif due is Due.SHUT:
            conn.wire.calm("the connection's window stays shut")
        elif due is Due.FIRST_LATE:
            conn.begin_drain(at_once=True)
            conn.wire.finish("first late")
        else:
            conn.begin_drain(at_once=due is Due.IDLE)

    def drain(self) -> None:
        """SIGTERM: each connection is told, and those that still come are."""
        self.draining = True
        for conn in list(self.conns.values()):
            conn.begin_drain()

    def close_answers(self, closing: bool) -> None:
        """Whether connections are told to end: those there are, and those that still come; told ones do."""
        if closing:
            self.drain()
        else:
            self.draining = False

    def held(self) -> int:
        """Connections that clients hold."""
        return len(self.conns)

    def end_idle(self, idle_us: int) -> None:
        """A connection that is told to end does so when all is answered: nothing idle is left behind."""

    def stop_accepting(self) -> None:
        """No new connections, within ACCEPT_S; what the kernel has taken by then is served."""
        self.accepting = False

    def stop_reading(self) -> None:
        """No new streams; what is open is answered still."""
        self.draining = True
        for conn in list(self.conns.values()):
            conn.begin_drain(at_once=True)

    def busy(self) -> bool:
        """Whether any answer is still owed or on its way, or may be: some have yet to be accepted."""
        more = not self.accepting and not self.accepted
        return more or any(conn.owes() for conn in list(self.conns.values()))
