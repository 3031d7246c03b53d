"""The client of the discovery service: it watches the log of events and fills the member table.

It runs on one thread, which reconnects until the process ends. The member table is confirmed only by a
revision that proves it current (see `RevisionTracker`).
"""

from __future__ import annotations

import contextlib
import logging
import socket
import threading
from collections.abc import Callable, Mapping
from random import Random
from typing import Any

from lupintack.clock import now_us
from lupintack.config import Names
from lupintack.core.counters import Counters
from lupintack.core.member_table import MemberTable
from lupintack.core.source_reads import MAX_UNAPPLIED_US
from lupintack.discovery.connection import LineBuffer, ReceivedBytes, receive_bytes, wait_for_bytes
from lupintack.discovery.event_applier import EventApplier
from lupintack.discovery.events import LineError, parse_line, watch_request
from lupintack.discovery.unread import UnreadBytes
from lupintack.logs import fields

LOG = logging.getLogger("discovery")
SILENCE_TIMEOUT_S = 1.8  # discovery sends a line each second
SLOW_TIMEOUT_FACTOR = 2  # longer timeout of every second consecutive connection without a line
CONNECT_TIMEOUT_S = 1.0  # plus SILENCE_TIMEOUT_S: well below the 4 s after which a change counts as notified
RECONNECT_DELAY_S = 0.2
FAST_RECONNECT_DELAY_S = RECONNECT_DELAY_S / 10  # after a connection that received a line
RECONNECT_JITTER = 0.4  # share of the delay; without it all routers would reconnect simultaneously
PROOF_WAIT_S = 0.05  # after events on a new connection; a watch that is current may get a proof immediately
MAX_EARLY_RECONNECTS = 2  # consecutive, until a connection proves the list current
MAX_READS_AFTER_PROOF = 16
MIN_WAIT_S = 0.01
MAX_LOGGED_LINE_BYTES = 100


class EarlyReconnectError(ConnectionError):
    """A new connection may prove the list current sooner than the next line of this one."""


class DiscoveryClient:
    """Follows discovery and passes its events to the member table."""

    def __init__(
        self, address: tuple[str, int] | None, names: Names, member_table: MemberTable, seed: int = 0
    ) -> None:
        """Without an `address` the client does not connect; `seed` seeds the jitter of the reconnects."""
        self.address = address
        self.member_table = member_table
        member_table.has_unread = self.has_unread
        self.random = Random(seed)
        self.counters = Counters()
        self.applier = EventApplier(names, member_table, self.counters)
        self.lock = threading.Lock()  # guards the applier: the reader of an old address may still run
        self.sock: socket.socket | None = None
        self.unread: UnreadBytes | None = None  # of the open connection
        self.generation = 0  # counts changes of the address; readers of earlier generations end
        self.stopped = threading.Event()
        self.started = False
        self.early_reconnects = 0  # consecutive
        self.silent_connections = 0  # consecutive connections that have received no line

    @property
    def last_revision(self) -> int:
        """The revision of the last event in the table."""
        return self.applier.last_revision

    def load_initial_log(self, known: Mapping[str, Any]) -> None:
        """Apply the events of the configuration. They prove nothing: their age is unknown."""
        self.applier.load_initial_log(known)

    def change_address(self, address: tuple[str, int] | None) -> None:
        """Follow discovery at another address on a new thread, without waiting for reads from the old one."""
        with self.lock:
            if address == self.address:
                return
            self.address = address
            self.generation += 1
            sock = self.sock
        LOG.info("discovery address changed", extra=fields(to=address, last=self.last_revision))
        threading.Thread(target=self.run, name="discovery", daemon=True).start()
        if sock is not None:
            with contextlib.suppress(OSError):  # closed already
                sock.shutdown(socket.SHUT_RDWR)

    def start(self, spawn: Callable[[Callable[[], None], str], None]) -> None:
        """Run on a thread that `spawn` starts, unless already started."""
        if not self.started:
            self.started = True
            spawn(self.run, "discovery")

    def run(self) -> None:
        """Connect, watch, and reconnect from the last revision, until the address changes."""
        with self.lock:
            generation, address = self.generation, self.address
        while address is not None and generation == self.generation and not self.stopped.is_set():
            notified_us = self.member_table.notified_us
            self.counters.increment("discovery.connects")
            self._watch_once(address, generation)
            self.member_table.release_held_back()
            received_line = notified_us != self.member_table.notified_us
            self.stopped.wait(self.reconnect_delay_s(received_line))

    def _watch_once(self, address: tuple[str, int], generation: int) -> None:
        """Watch on one connection until it ends; log how it ended."""
        try:
            with socket.create_connection(address, timeout=CONNECT_TIMEOUT_S) as sock:
                self.sock, self.unread = sock, UnreadBytes(sock)
                self.watch(sock, generation)
        except EarlyReconnectError:
            self.counters.increment("discovery.early_reconnects")
        except (OSError, ValueError) as error:
            if generation == self.generation:
                self.counters.increment(f"discovery.lost.{type(error).__name__.lower()}")
                LOG.info("discovery connection lost", extra=fields(reason=error, last=self.last_revision))

    def reconnect_delay_s(self, received_line: bool) -> float:
        """Return the delay before the next connection; it depends on whether the last one received a line."""
        delay_s = FAST_RECONNECT_DELAY_S if received_line else RECONNECT_DELAY_S
        return delay_s * self.random.uniform(1.0 - RECONNECT_JITTER, 1.0 + RECONNECT_JITTER)

    def watch(self, sock: socket.socket, generation: int) -> None:
        """Read lines until the connection ends, discovery falls silent, or its address changes.

        Raises OSError or ValueError with the reason why the connection ends.
        """
        lines = LineBuffer(now_us(), self.silence_timeout_s())
        self.silent_connections += 1
        sock.sendall(self.watch_request(generation))
        unread = self.unread or UnreadBytes(sock)
        while generation == self.generation and not self.stopped.is_set():
            unread.before_read()
            self.wait_for_bytes(lines, sock)
            # Before the read: bytes read but not yet in the table must count as pending after a pause.
            arrived_us = unread.oldest_us()
            if now_us() - arrived_us > MAX_UNAPPLIED_US:
                self.counters.increment("discovery.late_reads")
            read = self.member_table.begin_read(arrived_us)
            try:
                self.receive(lines, receive_bytes(sock, unread), generation)
                self.read_after_proof(lines, sock, unread, generation)
                self.confirm_table(lines, generation)
            finally:
                self.member_table.end_read(read)

    def wait_for_bytes(self, lines: LineBuffer, sock: socket.socket) -> None:
        """Wait for the next bytes.

        Raises TimeoutError where discovery is silent, and EarlyReconnectError where a new connection could
        prove the list sooner: discovery sends its last revision immediately to a watch that misses no event,
        but up to a second after events.
        """
        timeout_s = max(MIN_WAIT_S, (lines.deadline_us - now_us()) / 1e6)
        lacks_proof = lines.event_count and not lines.has_proof and not self.member_table.validity.is_current
        may_reconnect = self.early_reconnects < MAX_EARLY_RECONNECTS and timeout_s > PROOF_WAIT_S
        if not lacks_proof or not may_reconnect:
            wait_for_bytes(sock, timeout_s)
            return
        try:
            wait_for_bytes(sock, PROOF_WAIT_S)
        except TimeoutError:
            self.early_reconnects += 1
            raise EarlyReconnectError("events received, but no proof that the list is complete") from None

    def has_unread(self) -> bool:
        """Return whether bytes from discovery may have been unread for long; called before each write.

        After a pause of the process a client's thread may run before the reader, and would act on the state
        from before the pause.
        """
        unread = self.unread
        if unread is None:
            return False
        try:
            return unread.has_any() and now_us() - unread.oldest_us() > MAX_UNAPPLIED_US
        except (OSError, ValueError):  # closed concurrently
            return False

    def silence_timeout_s(self) -> float:
        """Return the timeout for the first line of a new connection.

        Every second connection has a longer one, so that a slow discovery can still prove the list.
        """
        if self.silent_connections % 2:
            return SILENCE_TIMEOUT_S * SLOW_TIMEOUT_FACTOR
        return SILENCE_TIMEOUT_S

    def read_after_proof(
        self, lines: LineBuffer, sock: socket.socket, unread: UnreadBytes, generation: int
    ) -> None:
        """Read the bytes queued after a proof: an old proof may be followed directly by a drain."""
        sock.settimeout(0.0)
        for _ in range(MAX_READS_AFTER_PROOF if lines.proved_us else 0):
            unread.before_read()
            try:
                self.receive(lines, receive_bytes(sock, unread), generation)
            except BlockingIOError:
                break

    def watch_request(self, generation: int | None = None) -> bytes:
        """Begin a new watch and return its request; raises ConnectionAbortedError for an old generation."""
        with self.lock:
            if generation is not None and generation != self.generation:
                raise ConnectionAbortedError("the discovery address has changed")
            return watch_request(self.applier.begin_watch())

    def receive(self, lines: LineBuffer, received: ReceivedBytes, generation: int) -> None:
        """Process bytes of a connection; empty data means that discovery closed it.

        Raises ConnectionError or ValueError where the connection has to be closed.
        """
        if not received.data:
            raise ConnectionResetError("closed by discovery")
        lines.received_us = received.received_us
        for line in lines.split_lines(received.data):
            with self.lock:
                if generation == self.generation and self.process_line(line, lines):
                    self.member_table.notified_us = now_us()
                    lines.deadline_us = self.member_table.notified_us + int(SILENCE_TIMEOUT_S * 1e6)
                    self.silent_connections = 0

    def confirm_table(self, lines: LineBuffer, generation: int) -> None:
        """Confirm the member table after applying the events that preceded the proof."""
        with self.lock:
            if lines.proved_us and generation == self.generation:
                self.member_table.confirm(lines.proved_us)
            lines.proved_us = 0

    def process_line(self, raw: bytes, lines: LineBuffer) -> bool:
        """Process an event or a bare revision; return whether the line could be read. Raises GapError."""
        if not raw.strip():
            return False
        try:
            line = parse_line(raw)
        except LineError as error:
            text = raw[:MAX_LOGGED_LINE_BYTES]
            LOG.warning("invalid discovery line", extra=fields(reason=error, line=text))
            return False
        lines.event_count += line.notice is not None
        if self.applier.process(line):
            self._record_proof(lines)
        return True

    def _record_proof(self, lines: LineBuffer) -> None:
        """Record as of when the table is proved current.

        A connection's first revision proves only that no event from before the connection is missing; a later
        one proves nothing about the time after its arrival, even when it is read much later.
        """
        lines.proved_us = lines.received_us if lines.has_proof else lines.connected_us
        lines.has_proof = True
        self.early_reconnects = 0
