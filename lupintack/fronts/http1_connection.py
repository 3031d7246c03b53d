"""One HTTP/1.1 connection of a front: requests in, answers out, one request at a time.

Its thread reads. An answer is written by the thread that has it, as far as the kernel takes it at once; what
is left goes to a thread of its own, so that a slow client delays no other.
"""

from __future__ import annotations

import logging
import re
import socket
import threading
from collections.abc import Callable, Iterable
from typing import Protocol

from lupintack import sockets
from lupintack.clock import now_us
from lupintack.core import client_liveness
from lupintack.dated_reads import DatedReads
from lupintack.fronts import http1_closing
from lupintack.fronts.exchange import ConnectionOwner, HttpError, HttpRequest, do_nothing
from lupintack.fronts.http1_messages import encode_head, parse_head

LOG = logging.getLogger("http1")
MAX_HEAD_BYTES = 8192
HEAD_END = b"\r\n\r\n"
READ_BYTES = 16384
REQUEST_TIMEOUT_S = 2.0  # for a connection's first whole request, and for the rest of any that has begun
IDLE_TIMEOUT_S = 6.0  # between requests: over the 4 s after which clients close idle connections
DISCONNECT_POLL_S = 0.03  # between two looks whether a client has left, where its end can't be waited for
BARE_LINE_END = re.compile(rb"(?<!\r)\n|\r[^\n]")  # a line end that others may read as one, and we don't


class Http1ConnectionOwner(ConnectionOwner, Protocol):
    """A server, as its connections use it."""

    bodyless: bool  # requests have no body here
    closing: bool  # each answer ends its connection

    def forget(self, conn: Http1Connection) -> None:
        """Forget a connection that is over."""


class Http1Exchange:
    """One request on a connection; answered once."""

    def __init__(self, conn: Http1Connection, request: HttpRequest) -> None:
        """Take the connection and its request."""
        self.conn = conn
        self.request = request
        self.peer_ip = conn.peer_ip
        self.on_disconnected: Callable[[], None] = do_nothing

    def answer(
        self,
        status: int,
        headers: Iterable[tuple[str, object]] = (),
        body: bytes | bytearray | memoryview = b"",
        close: bool = False,
    ) -> bool:
        """Write the one answer; return False where the client has left, or there was an answer before."""
        close = close or self.request.close or self.conn.server.closing or self.conn.is_last
        more = [("Connection", "close")] if close else []
        length = None if status in (204, 304) else len(body)
        data = [encode_head(status, [*headers, *more], length)]
        if len(body) and self.request.method != "HEAD" and length is not None:
            data.append(bytes(body) if len(body) < READ_BYTES else body)  # type: ignore[arg-type]
        return self.conn.reply(self, data, close)

    def is_disconnected(self) -> bool:
        """Return whether the client has left."""
        return self.conn.closed or client_liveness.has_closed(self.conn.sock)


class Http1Connection:
    """One client's connection."""

    def __init__(self, server: Http1ConnectionOwner, sock: socket.socket, peer_ip: str) -> None:
        """Take an accepted socket; `run` serves it."""
        self.server = server
        self.sock = sock
        self.peer_ip = peer_ip
        self.buffer = bytearray()
        self.max_early_bytes = MAX_HEAD_BYTES + server.max_body_bytes
        self.reads = DatedReads(sock)
        self.lock = threading.Lock()
        self.answered = threading.Condition(self.lock)
        self.open_exchange: Http1Exchange | None = None
        self.writing = False
        self.closed = False
        self.is_last = False  # no request after this one
        self.had_request = False  # a whole request has come
        self.is_lingering = False  # it had its last answer, and is read on for a moment
        self.expired = False
        self.closes_immediately = False
        self.reading_ended = False  # we have ended the reading
        self.is_closing = False  # our end is said, and the client's is waited for
        self.socket_closed = False  # its socket is closed, or about to be
        self.end_reason = ""  # it ends, in a word, for the counters
        self.waiting_since_us = (
            now_us()
        )  # of what is waited for: its first request, the rest of one, the next

    def run(self) -> None:
        """Serve requests until the connection ends; the whole life of its thread."""
        try:
            while self.serve_one():
                pass
        except HttpError as error:
            self.end_reason = "bad_request"
            self.server.count(f"rejected.{error.status}")
            text = f"{error}\n".encode()
            extra = [("Content-Type", "text/plain"), ("Connection", "close")]
            self.write_all([encode_head(error.status, extra, len(text)) + text])
            self.is_lingering = True
            http1_closing.linger(self.sock, lambda: self.expired)
        except OSError as error:
            self.end_reason = f"broken.{type(error).__name__.lower()}"
        except Exception:  # a fault of ours must not show as a silent drop
            self.end_reason = "fault"
            LOG.exception("request failed")
            self.server.count("rejected.500")
            self.write_all([encode_head(500, [("Connection", "close")], 0)])
        finally:
            self.end()

    def serve_one(self) -> bool:
        """Read one request, hand it on and wait for its answer; return whether another may come."""
        end = self.read_to_head_end()
        if end < 0:
            return False
        exchange = Http1Exchange(self, self.read_request(end))
        with self.lock:
            self.open_exchange = exchange
        self.server.handle(exchange)
        return self.await_answer(exchange)

    def read_to_head_end(self) -> int:
        """Read until the buffer has a request's head; return where that ends, -1 at the connection's end."""
        end = self.buffer.find(HEAD_END)
        while end < 0:
            if len(self.buffer) > MAX_HEAD_BYTES:
                raise HttpError(431, "the head is too long")
            if BARE_LINE_END.search(self.buffer):
                raise HttpError(400, "a line ends in CR LF")
            has_begun = bool(self.buffer)
            if not self.read_more():
                if self.buffer.strip(b"\r\n"):
                    raise self.incomplete_request("head")
                return -1
            if not has_begun and self.had_request:
                self.waiting_since_us = now_us()
            while self.buffer[:2] == b"\r\n":
                self.consume(2)
            end = self.buffer.find(HEAD_END)
        return end

    def read_request(self, head_end: int) -> HttpRequest:
        """Return the request whose head ends there in the buffer, and read its body."""
        if head_end > MAX_HEAD_BYTES:
            raise HttpError(431, "the head is too long")
        request, length = parse_head(bytes(self.buffer[:head_end]), self.server.bodyless)
        if length > self.server.max_body_bytes:
            raise HttpError(413, "the body is too long")
        self.consume(head_end + len(HEAD_END))
        if length > len(self.buffer) and request.headers.get("expect", "").lower() == "100-continue":
            sockets.write(self.sock, b"HTTP/1.1 100 Continue\r\n\r\n")
        while len(self.buffer) < length:
            if not self.read_more():
                raise self.incomplete_request("body")
        request.body = bytes(self.buffer[:length])
        request.received_us = self.consume(length)
        self.had_request = True
        return request

    def await_answer(self, exchange: Http1Exchange) -> bool:
        """Wait until a request is answered or its client has left; return whether another may come.

        The end of what the client sends shows that it has left or, where that can't be waited for, the
        state of the connection. Guards against a read that waits for more while the next request lies in
        the buffer: its answer would never come. Nor can the end be waited for behind bytes that are not
        taken while a request is open, or where a request crossed this side's end of the reading.
        """
        while True:
            with self.lock:
                if self.open_exchange is not exchange and not self.writing:
                    return not (self.closed or self.is_last)
                polls = self.reading_ended or len(self.buffer) > 0
                if polls:
                    self.answered.wait(DISCONNECT_POLL_S)
            ended = (self.read_early() or exchange.is_disconnected()) if polls else not self.read_more()
            if not ended:
                continue
            with self.lock:
                unanswered = self.open_exchange is exchange
                self.open_exchange = None
                self.closed = (
                    unanswered or not self.reading_ended
                )  # else the end is ours: it is said, and seen off
            if unanswered:
                exchange.on_disconnected()
            return False

    def read_more(self) -> bool:
        """Wait for bytes; return False at the end of the connection."""
        while True:
            self.reads.before_read()
            try:
                data = sockets.read(self.sock, READ_BYTES)
                break
            except BlockingIOError:
                continue  # a limit inherited from the listener that could not be lifted
            except OSError as error:  # broken in any way: its client has left
                self.end_reason = f"broken.{type(error).__name__.lower()}"
                return False
        self.on_received(data)
        return bool(data)

    def read_early(self) -> bool:
        """Read bytes that arrive while a request is open; return whether the connection is broken.

        Guards against a pipelined request whose time would count from when it is read: the deadline that its
        attempts pass on would be later than the client's.
        """
        if self.reading_ended or len(self.buffer) >= self.max_early_bytes:
            return False
        self.reads.before_read()
        try:
            self.on_received(
                self.sock.recv(READ_BYTES, socket.MSG_DONTWAIT)
            )  # its end is looked for otherwise
        except BlockingIOError:
            pass
        except OSError as error:
            self.end_reason = f"broken.{type(error).__name__.lower()}"
            return not sockets.passes(error)
        return False

    def on_received(self, data: bytes) -> None:
        """Keep bytes and bounds on their arrival, which a process that was paused reads much later."""
        self.buffer += data
        self.reads.after_read(len(data))

    def consume(self, length: int) -> int:
        """Take bytes off the buffer; return when the last of them arrived, at the earliest."""
        del self.buffer[:length]
        return self.reads.consume(length)

    def incomplete_request(self, where: str) -> HttpError:
        """Return the error for a request that is not complete."""
        if self.expired:
            return HttpError(408, f"the rest of the {where} does not come")
        return HttpError(400, f"the request ends inside its {where}")

    def idle_us(self, now: int) -> int:
        """Return how long no request has been open; negative while one is."""
        if self.open_exchange is not None or self.writing or self.expired or self.closed:
            return -1
        return now - self.waiting_since_us

    def has_unanswered(self) -> bool:
        """Return whether a request is unanswered, or may be, or its answer is being written.

        Guards against an end of the process between the two halves of a long answer: while the kernel takes
        the first, the request is not open any more, and the rest is not known yet. Both change under the
        lock.
        """
        with self.lock:
            return self.open_exchange is not None or self.writing or self.has_unread() or self.is_closing

    def has_unread(self) -> bool:
        """Return whether its reading was ended, and its thread has yet to come to that end."""
        return self.reading_ended and not self.socket_closed

    def is_overdue(self, now: int) -> bool:
        """Return whether a client has sent nothing, or half a request, for too long."""
        limit = IDLE_TIMEOUT_S if self.had_request and not self.buffer else REQUEST_TIMEOUT_S
        return self.idle_us(now) >= limit * 1e6

    def expire(self, immediately: bool = False) -> None:
        """End the reading: a request that has arrived and is not read yet is answered.

        `at_once`: its descriptor is wanted, and what crosses the end is not waited for.
        """
        with self.lock:
            if self.open_exchange is None and not self.writing and not self.expired:
                self.expired, self.closes_immediately = True, immediately
                self.end_reading()

    def end_reading(self) -> None:
        """End the reading, under the lock and with no open request; what has arrived is still read."""
        self.is_last = self.reading_ended = True
        try:
            self.sock.shutdown(socket.SHUT_RD)
        except OSError:
            pass

    def reply(self, exchange: Http1Exchange, data: list[bytes], close: bool) -> bool:
        """Write the answer of the open request: what the kernel takes now, the rest on another thread."""
        with self.lock:
            if self.open_exchange is not exchange or self.closed:
                return False
            self.open_exchange = None
            exchange.on_disconnected = do_nothing  # it refers back to the exchange, and cycles are costly
            self.is_last = self.is_last or close
            remaining = self.write_now(data)
            if remaining:
                self.writing = True
            else:
                self.after_write()
        if remaining:
            self.server.spawn(lambda: self.write_remaining(remaining), "client writer")
        return True

    def write_now(self, data: list[bytes]) -> list[memoryview]:
        """Write what the kernel takes without waiting; return what is left."""
        try:
            return sockets.send_parts_now(self.sock, data)
        except OSError:
            self.closed = True
            return []

    def write_remaining(self, remaining: list[memoryview]) -> None:
        """Write the rest of an answer at its client's pace."""
        try:
            for view in remaining:
                sockets.write(self.sock, view)
        except OSError:
            with self.lock:
                self.closed = True
        with self.lock:
            self.writing = False
            self.after_write()

    def after_write(self) -> None:
        """Go on after an answer is out, or end; under the lock."""
        self.answered.notify_all()
        self.waiting_since_us = now_us()
        if self.closed or self.is_last:
            try:
                self.sock.shutdown(socket.SHUT_WR if not self.closed else socket.SHUT_RDWR)
            except OSError:
                pass

    def write_all(self, data: list[bytes]) -> None:
        """Write parts on this thread, for as long as the client takes them."""
        try:
            for part in data:
                sockets.write(self.sock, part)
        except OSError:
            pass

    def usual_end_reason(self) -> str:
        """Return who has ended the connection, where nothing went wrong."""
        if self.reading_ended:
            return "by_us"
        return "last_answer" if self.is_last else "by_client"

    def end(self) -> None:
        """End the connection, and wait until a writer has finished."""
        with self.lock:
            exchange, self.open_exchange = self.open_exchange, None
            if not self.end_reason:
                self.end_reason = self.usual_end_reason()
            self.server.count(f"client.closed.{self.end_reason}")
            self.is_closing = (
                not self.closed and not self.is_lingering and (self.is_last or self.reading_ended)
            )
            self.closed = True
            while self.writing:
                self.answered.wait()
        if exchange is not None:
            exchange.on_disconnected()
        if self.is_closing:
            http1_closing.await_close(self.sock, lambda: self.closes_immediately)
        self.socket_closed, self.is_closing = True, False
        sockets.close(self.sock)
        self.server.forget(self)
