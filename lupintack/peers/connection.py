"""One connection to a member: a reader thread connects and reads it, any thread writes to it."""

from __future__ import annotations

import logging
import socket
import struct
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from lupintack import sockets
from lupintack.clock import now_us
from lupintack.core import client_liveness
from lupintack.core.attempt_status import AttemptStatus
from lupintack.core.messages import Attempt, AttemptResult
from lupintack.logs import fields
from lupintack.peers import platform_wire, resp
from lupintack.peers.config import PeerConfig
from lupintack.peers.messages import SlotReleased, YieldConnection

LOG = logging.getLogger("peers")
SEND_TIMEOUT_US = 1_000_000  # the connection is closed if the member accepts no data for this long
MAX_BACKLOG_BYTES = 262_144
REMEMBERED_CANCELLED_IDS = 64
MAX_UNEXPECTED_ANSWERS = 64  # in a row


@dataclass(frozen=True, slots=True)
class Connected:
    """A connection is established."""

    connection: Connection


@dataclass(frozen=True, slots=True)
class Disconnected:
    """A connection has ended, or could not be established."""

    connection: Connection
    status: AttemptStatus


class ConnectionOwner(Protocol):
    """The actor of a member, as used by its connections; called on any thread."""

    name: str
    address: tuple[str, int]
    config: PeerConfig
    has_waiting: bool

    @property
    def report_result(self) -> Callable[[AttemptResult], None]:
        """Report the result of an attempt."""

    @property
    def spawn(self) -> Callable[[Callable[[], None], str], None]:
        """Run a function on a new thread with this name."""

    def enqueue(self, message: Connected | Disconnected | SlotReleased | YieldConnection) -> None:
        """Put a message into the actor's mailbox."""


class Connection:
    """A connection, and its open attempts by their ids."""

    def __init__(self, peer: ConnectionOwner) -> None:
        """`peer`: the actor of the member. The connection is established by `run`."""
        self.peer = peer
        self.sock: socket.socket | None = None
        self.is_connected = False  # stays true when it has ended
        self.end_status: AttemptStatus | None = None
        self.open_attempts: dict[str, Attempt] = {}
        self.cancelled_ids: deque[str] = deque(maxlen=REMEMBERED_CANCELLED_IDS)
        self.abandoned_ids: set[str] = set()  # no request waits for these; they may not be cancelled
        self.unexpected_answers = 0  # in a row
        self.lock = threading.Lock()
        self.backlog = bytearray()  # data that the kernel did not accept; written before any new data
        self.last_used_us = now_us()
        self.unanswered_since_us = 0  # time of the first write since data was received; 0: none
        self.health_check_sent_us = 0  # reset when data is received; 0: none
        self.health_check_failed = False
        self.is_yielding = False  # to be closed to free a descriptor for another member's first connection
        self.is_closing = False  # its member has closed it

    def is_open(self) -> bool:
        """Return whether it is established and has not ended."""
        return self.is_connected and self.end_status is None

    def is_reusable(self) -> bool:
        """Return whether it is not about to be closed by either side."""
        return not (self.is_yielding or self.is_closing)

    def is_closed_by_member(self) -> bool:
        """Return whether the member has closed or reset it, even before the reader thread sees it."""
        return self.sock is not None and client_liveness.has_closed(self.sock)

    def attempts_at_member(self) -> int:
        """Return the number of attempts that its member may be working on, including abandoned ones."""
        return len(self.open_attempts) + len(self.abandoned_ids)

    def is_exhausted(self) -> bool:
        """Return whether abandoned attempts use all of its streams, so that it must be closed."""
        return not self.open_attempts and len(self.abandoned_ids) >= self.peer.config.max_streams

    def is_idle(self) -> bool:
        """Return whether it may be closed for another member: it has no open attempt, and is not ending."""
        return self.is_open() and not self.open_attempts and self.is_reusable()

    def accepts_attempts(self) -> bool:
        """Return whether an attempt may be written now, apart from the bound on open attempts."""
        return self.is_open() and not self.backlog and self.is_reusable()

    def may_receive_answer(self, wire_id: str) -> bool:
        """Return whether an answer to an earlier attempt with this id may still come."""
        return wire_id in self.open_attempts or wire_id in self.cancelled_ids or wire_id in self.abandoned_ids

    def run(self) -> None:
        """Connect, read until the connection ends, and report the end of the attempts that are still open."""
        status = self.connect()
        if status is None:
            self.peer.enqueue(Connected(self))
            status = self.read_answers()
            if self.health_check_failed:
                status = AttemptStatus.HEALTH_CHECK_FAILED
        self.peer.config.count("yielded" if self.is_yielding else status.name.lower())
        with self.lock:
            self.end_status = status
            unanswered = list(self.open_attempts.values())
            self.open_attempts.clear()
            if self.sock is not None:
                sockets.close(self.sock)
        for attempt in unanswered:
            self.peer.report_result(AttemptResult(attempt, status))
        self.peer.enqueue(Disconnected(self, status))

    def connect(self) -> AttemptStatus | None:
        """Connect; return the status of a failure, or None."""
        try:
            family = socket.AF_INET6 if ":" in self.peer.address[0] else socket.AF_INET
            self.sock = sockets.connect(family, self.peer.address, self.peer.config.connect_timeout_us / 1e6)
        except TimeoutError:
            return AttemptStatus.CONNECT_TIMED_OUT
        except ConnectionRefusedError:
            return AttemptStatus.CONNECT_REFUSED
        except OSError:
            return AttemptStatus.CONNECT_FAILED
        self.set_options(self.sock)
        return None

    def set_options(self, sock: socket.socket) -> None:
        """Set the socket options; a failure to set one is counted and otherwise ignored."""
        send_timeout = struct.pack("ll", SEND_TIMEOUT_US // 1_000_000, SEND_TIMEOUT_US % 1_000_000)
        # Detects an answer that stops short on a connection that stays open.
        stall_timeout = struct.pack("ll", int(resp.STALL_TIMEOUT_S), int(resp.STALL_TIMEOUT_S % 1 * 1e6))
        are_set = [
            sockets.set_option(sock, socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
            sockets.set_option(sock, socket.SOL_SOCKET, socket.SO_SNDTIMEO, send_timeout),
            sockets.set_option(sock, socket.SOL_SOCKET, socket.SO_RCVTIMEO, stall_timeout),
        ]
        if not all(are_set):
            self.peer.config.count("option_not_set")

    def read_answers(self) -> AttemptStatus:
        """Read and report answers until the connection ends; return the status of its end."""
        assert self.sock is not None
        reader = resp.Reader(self.sock)
        try:
            while True:
                parts = list(reader.read_array())
                self.last_used_us, self.health_check_sent_us, self.unanswered_since_us = now_us(), 0, 0
                if not platform_wire.is_health_check_answer(parts):
                    self.on_answer(parts)
        except resp.FrameError as error:
            LOG.warning("bad frame", extra=fields(peer=self.peer.name, reason=error))
            return AttemptStatus.BAD_FRAME
        except resp.EndOfStreamError:
            return AttemptStatus.CLOSED
        except OSError:
            return AttemptStatus.RESET
        except Exception:  # a fault of this program; the open attempts must still end
            LOG.exception("cannot process answer")
            return AttemptStatus.BAD_FRAME

    def on_answer(self, parts: list[bytearray]) -> None:
        """Report the answer to an attempt; raise FrameError if the protocol does not allow it."""
        if len(parts) != 4 or not platform_wire.WIRE_ID.fullmatch(parts[0]):
            raise resp.FrameError(f"answer of {len(parts)} strings, or with an invalid id")
        wire_id = parts[0].decode("latin-1")
        attempt = self.open_attempts.get(wire_id)
        # None after a cancel, for a second answer, and for an answer to an unknown id.
        self.unexpected_answers = 0 if attempt is not None else self.unexpected_answers + 1
        if self.unexpected_answers > MAX_UNEXPECTED_ANSWERS:
            # Bounds the processor time that one member can take from the others with such answers.
            raise resp.FrameError("too many unexpected answers")
        if attempt is not None:
            config = self.peer.config
            status, answer = platform_wire.parse_answer(
                parts, attempt.request, config.load_report_fields, config.copy_clock
            )
            if self.open_attempts.pop(wire_id, None) is attempt:
                self.peer.report_result(AttemptResult(attempt, status, answer))
        self.abandoned_ids.discard(wire_id)
        if self.peer.has_waiting:
            self.peer.enqueue(SlotReleased())

    def send(self, data: bytes) -> bool:
        """Write data without blocking; return False if none of it was written.

        Data that the kernel does not accept immediately is written by a separate thread.
        """
        with self.lock:
            if self.end_status is not None or self.sock is None or len(self.backlog) > MAX_BACKLOG_BYTES:
                return False
            if not self.unanswered_since_us:
                self.unanswered_since_us = now_us()
            try:
                written = 0 if self.backlog else sockets.send_now(self.sock, data)
            except OSError:
                self.close()
                return False
            if written < len(data):
                has_writer = bool(self.backlog)
                self.backlog += data[written:]
                if not has_writer:
                    self.peer.spawn(self.flush_backlog, f"{self.peer.name} writer")
        return True

    def flush_backlog(self) -> None:
        """Write the backlog; close the connection if the member accepts no data for `SEND_TIMEOUT_US`."""
        while True:
            with self.lock:
                data = bytes(self.backlog)
            try:
                if self.sock is not None:
                    sockets.write(self.sock, data)
            except OSError:
                self.close()
                return
            with self.lock:
                del self.backlog[: len(data)]
                if not self.backlog:
                    break
        self.peer.enqueue(SlotReleased())

    def cancel(self, attempt: Attempt, notify: bool) -> bool:
        """Stop waiting for an attempt; return False if it has ended in the meantime.

        Where the settings forbid cancellation, the member may work on the attempt until it answers or the
        connection ends.
        """
        wire_id, allows_cancellation = attempt.request.wire_id, self.peer.config.allows_cancellation
        if not allows_cancellation:
            # Before it is removed from the open attempts, as its answer may arrive at any time.
            self.abandoned_ids.add(wire_id)
        if self.open_attempts.pop(wire_id, None) is not attempt:
            self.abandoned_ids.discard(wire_id)
            return False
        self.cancelled_ids.append(wire_id)
        if allows_cancellation:
            written = self.send(platform_wire.encode_cancel(wire_id))
            if notify and (self.backlog or not written):
                self.close()  # the cancel was not sent: only the end of the connection cancels the attempt
        return True

    def yield_descriptor(self) -> None:
        """Close to free the descriptor for another member, unless an attempt is open again."""
        if self.open_attempts:
            self.is_yielding = False
        else:
            self.close()

    def close(self) -> None:
        """Shut the socket down; the reader thread then ends and reports the connection."""
        try:
            if self.sock is not None:
                self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # it has ended already
