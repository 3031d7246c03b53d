"""One HTTP/1.1 connection of a front: reads requests and writes answers, one request at a time.

The connection's thread reads. The thread that calls `answer` writes the bytes that the kernel accepts without
waiting; a separate thread writes the rest, so that a slow client delays no other.
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
from lupintack.fronts.exchange import ConnectionOwner, HttpError, HttpRequest, checked_response, do_nothing
from lupintack.fronts.http1_messages import encode_head, parse_head

LOG = logging.getLogger("http1")
MAX_HEAD_BYTES = 8192
HEAD_END = b"\r\n\r\n"
READ_BYTES = 16384
REQUEST_TIMEOUT_S = 2.0  # for a connection's first complete request, and for the rest of any started one
IDLE_TIMEOUT_S = 6.0  # between requests; above the 4 s after which clients close idle connections
DISCONNECT_POLL_S = 0.03  # between two checks for a disconnection, where no read can wait for it
# A line end that other servers may accept and this one rejects.
BARE_LINE_END = re.compile(rb"(?<!\r)\n|\r[^\n]")


class Http1ConnectionOwner(ConnectionOwner, Protocol):
    """The part of the server that its connections use."""

    bodyless: bool  # requests have no body
    closing: bool  # the connection is closed after each answer

    def remove_connection(self, conn: Http1Connection) -> None:
        """Remove a closed connection."""


class Http1Exchange:
    """One request on a connection, answered once."""

    def __init__(self, conn: Http1Connection, request: HttpRequest) -> None:
        """Create the exchange for a request on a connection."""
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
        """Write the answer; return False if the client has disconnected or was answered before."""
        status, headers, body = checked_response(status, headers, body, self.conn.server.count)
        close = close or self.request.close or self.conn.server.closing or self.conn.is_last
        close_headers = [("Connection", "close")] if close else []
        length = None if status in (204, 304) else len(body)
        data = [encode_head(status, [*headers, *close_headers], length)]
        if len(body) and self.request.method != "HEAD" and length is not None:
            data.append(bytes(body) if len(body) < READ_BYTES else body)  # type: ignore[arg-type]
        return self.conn.reply(self, data, close)

    def is_disconnected(self) -> bool:
        """Return whether the client has disconnected."""
        return self.conn.closed or client_liveness.has_closed(self.conn.sock)


class Http1Connection:
    """One client's connection."""

    def __init__(self, server: Http1ConnectionOwner, sock: socket.socket, peer_ip: str) -> None:
        """Use an accepted socket; `run` serves it."""
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
        self.is_last = False  # no request is read after the current one
        self.had_request = False  # a complete request has been received
        # The last answer is written, and received bytes are dropped for a bounded time.
        self.is_lingering = False
        self.expired = False
        self.closes_immediately = False
        self.reading_ended = False  # this side has shut down reading
        self.is_closing = False  # this side has shut down, and waits for the client to close
        self.socket_closed = False  # the socket is closed, or about to be
        self.end_reason = ""  # name of the counter for the end of the connection
        # Start of the wait for the first request, the rest of one, or the next.
        self.waiting_since_us = now_us()

    def run(self) -> None:
        """Serve requests until the connection ends; the main function of its thread."""
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
        except Exception:  # the client gets an answer to an internal error, not a silent close
            self.end_reason = "fault"
            LOG.exception("request failed")
            self.server.count("rejected.500")
            self.write_all([encode_head(500, [("Connection", "close")], 0)])
        finally:
            self.end()

    def serve_one(self) -> bool:
        """Read one request, call the handler and wait for the answer; return whether to read on."""
        end = self.read_to_head_end()
        if end < 0:
            return False
        exchange = Http1Exchange(self, self.read_request(end))
        with self.lock:
            self.open_exchange = exchange
        self.server.handle(exchange)
        return self.await_answer(exchange)

    def read_to_head_end(self) -> int:
        """Read until the buffer holds a head; return the offset of its end, -1 at the connection's end."""
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
        """Parse the request whose head ends at this offset of the buffer, and read its body."""
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
        """Wait until a request is answered or its client has disconnected; return whether to read another.

        A read that returns no bytes shows that the client has disconnected. The state of the connection is
        polled instead where no read may wait: while the buffer holds the next request, whose answer would
        never be written; behind bytes that are not read while a request is open; and after this side has shut
        down reading.
        """
        while True:
            with self.lock:
                if self.open_exchange is not exchange and not self.writing:
                    return not (self.closed or self.is_last)
                must_poll = self.reading_ended or len(self.buffer) > 0
                if must_poll:
                    self.answered.wait(DISCONNECT_POLL_S)
            ended = (self.read_early() or exchange.is_disconnected()) if must_poll else not self.read_more()
            if not ended:
                continue
            with self.lock:
                unanswered = self.open_exchange is exchange
                self.open_exchange = None
                # If only this side has ended the reading, `end` still closes in order.
                self.closed = unanswered or not self.reading_ended
            if unanswered:
                exchange.on_disconnected()
            return False

    def read_more(self) -> bool:
        """Wait for bytes and buffer them; return False at the end of the connection."""
        while True:
            self.reads.before_read()
            try:
                data = sockets.read(self.sock, READ_BYTES)
                break
            except BlockingIOError:
                continue  # a timeout inherited from the listener that could not be removed
            except OSError as error:  # any failure counts as a disconnection
                self.end_reason = f"broken.{type(error).__name__.lower()}"
                return False
        self.on_received(data)
        return bool(data)

    def read_early(self) -> bool:
        """Read bytes that arrive while a request is open; return whether the connection is broken.

        Otherwise the time of a pipelined request would count from when it is read after the open one, and its
        attempts would get a later deadline than the client's.
        """
        if self.reading_ended or len(self.buffer) >= self.max_early_bytes:
            return False
        self.reads.before_read()
        try:
            # A result of no bytes is ignored: the caller checks for a disconnection.
            self.on_received(self.sock.recv(READ_BYTES, socket.MSG_DONTWAIT))
        except BlockingIOError:
            pass
        except OSError as error:
            self.end_reason = f"broken.{type(error).__name__.lower()}"
            return not sockets.is_transient(error)
        return False

    def on_received(self, data: bytes) -> None:
        """Buffer bytes with bounds on their arrival time: a process that was paused reads them much later."""
        self.buffer += data
        self.reads.after_read(len(data))

    def consume(self, length: int) -> int:
        """Remove bytes from the buffer; return the earliest time at which the last can have arrived."""
        del self.buffer[:length]
        return self.reads.consume(length)

    def incomplete_request(self, part: str) -> HttpError:
        """Return the error for an incomplete request; `part`: the part that is cut off."""
        if self.expired:
            return HttpError(408, f"the rest of the {part} does not come")
        return HttpError(400, f"the request ends inside its {part}")

    def idle_us(self, now: int) -> int:
        """Return how long no request has been open; -1 while one is open or the connection ends."""
        if self.open_exchange is not None or self.writing or self.expired or self.closed:
            return -1
        return now - self.waiting_since_us

    def has_unanswered(self) -> bool:
        """Return whether a request is unanswered, or may be, or its answer is being written.

        `reply` closes the request and learns which bytes remain in one step under the lock. A check without
        the lock could run between the two, and the process would exit with half of an answer written.
        """
        with self.lock:
            return self.open_exchange is not None or self.writing or self.has_unread() or self.is_closing

    def has_unread(self) -> bool:
        """Return whether reading was shut down and received bytes may still be unread."""
        return self.reading_ended and not self.socket_closed

    def is_overdue(self, now: int) -> bool:
        """Return whether the client has sent nothing, or part of a request, for too long."""
        limit = IDLE_TIMEOUT_S if self.had_request and not self.buffer else REQUEST_TIMEOUT_S
        return self.idle_us(now) >= limit * 1e6

    def expire(self, immediately: bool = False) -> None:
        """Shut down reading; a request that has arrived and is not read yet is still answered.

        `immediately`: the descriptor is needed, so bytes that are still on their way are not waited for.
        """
        with self.lock:
            if self.open_exchange is None and not self.writing and not self.expired:
                self.expired, self.closes_immediately = True, immediately
                self.end_reading()

    def end_reading(self) -> None:
        """Shut down reading, under the lock, with no open request; bytes that have arrived are read."""
        self.is_last = self.reading_ended = True
        try:
            self.sock.shutdown(socket.SHUT_RD)
        except OSError:
            pass

    def reply(self, exchange: Http1Exchange, data: list[bytes], close: bool) -> bool:
        """Write the answer of the open request: what the kernel accepts now, the rest on a thread."""
        with self.lock:
            if self.open_exchange is not exchange or self.closed:
                return False
            self.open_exchange = None
            # Breaks the reference cycle with the exchange; cycles are costly to collect.
            exchange.on_disconnected = do_nothing
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
        """Write as much as the kernel accepts without waiting; return the rest."""
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
        """Continue after an answer is written, or shut down after the last; under the lock."""
        self.answered.notify_all()
        self.waiting_since_us = now_us()
        if self.closed or self.is_last:
            try:
                self.sock.shutdown(socket.SHUT_WR if not self.closed else socket.SHUT_RDWR)
            except OSError:
                pass

    def write_all(self, data: list[bytes]) -> None:
        """Write parts on this thread, and stop without an error if the client has disconnected."""
        try:
            for part in data:
                sockets.write(self.sock, part)
        except OSError:
            pass

    def usual_end_reason(self) -> str:
        """Return the reason for an end without an error: this side, the last answer, or the client."""
        if self.reading_ended:
            return "by_us"
        return "last_answer" if self.is_last else "by_client"

    def end(self) -> None:
        """Close the connection, after a writer has finished."""
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
        self.server.remove_connection(self)
