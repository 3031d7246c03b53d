"""Exchanges of whole views over TCP, and knocks: one thread over all of these connections, none of which
blocks.

A frame is four bytes of length and a sealed message. Bounded: connections, bytes and the time of each.
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
LENGTH = struct.Struct(">I")
FRAME_MOST = 1 << 20
CONNECTIONS = 16  # of others to us at once; beyond that the oldest gives way
KNOCKS = 32  # connects to see whether a process is there, at once
LIMIT_US = 1_000_000  # for an exchange, from its connect to its end
KNOCK_US = 400_000
TURN_S = 0.02  # between two looks for new work
NEVER_US = 1 << 62


@dataclass(slots=True)
class Line:
    """One connection."""

    sock: socket.socket
    until_us: int
    writes: bytearray = field(default_factory=bytearray)
    reads: bytearray = field(default_factory=bytearray)
    connecting: bool = False
    answered: Callable[[bytes], bytes | None] | None = None  # a whole frame has come; what is said back
    knocked: Callable[[bool], None] | None = None  # refused or not


class Exchanges:
    """The thread's own: a listener, what others ask on it, and what this router asks."""

    def __init__(self, listener: socket.socket, asked: Callable[[bytes], bytes | None]) -> None:
        self.listener = listener
        self.asked = asked
        self.work: deque[
            tuple[tuple[str, int], bytes, Callable[[bytes], None] | None, Callable[[bool], None] | None]
        ]
        self.work = deque(maxlen=256)
        self.selector = selectors.DefaultSelector()
        self.lines: dict[socket.socket, Line] = {}
        self.stopped = threading.Event()
        self.counts = {"asked": 0, "begun": 0, "late": 0, "bad": 0, "knocks": 0, "refused": 0}
        self.counts |= {"exchanged.in": 0, "exchanged.out": 0}  # bytes

    def begin(self, where: tuple[str, int], frame: bytes, answered: Callable[[bytes], None]) -> None:
        """Say a frame there, and hear what is answered."""
        self.work.append((where, frame, answered, None))

    def knock(self, where: tuple[str, int], knocked: Callable[[bool], None]) -> None:
        """Connect, and hear whether that was refused; nothing is said."""
        self.work.append((where, b"", None, knocked))

    def run(self) -> None:
        """Until it is stopped."""
        self.open()
        while not self.stopped.is_set():
            self.turn(TURN_S)
        self.close()

    def open(self) -> None:
        """Listen, before the first turn."""
        self.listener.setblocking(False)
        self.selector.register(self.listener, selectors.EVENT_READ)

    def turn(self, timeout_s: float) -> None:
        """Begin what was asked for, and do what is ready within this time and what is due after it."""
        while self.work:
            self._open(*self.work.popleft())
        for key, events in self.selector.select(timeout_s):
            if key.fileobj is self.listener:
                self._accept()
                continue
            line = self.lines.get(key.fileobj)  # type: ignore[call-overload]
            if line is not None:
                self._step(line, events)
        now = now_us()
        for line in [line for line in self.lines.values() if now >= line.until_us]:
            self.counts["late"] += line.knocked is None
            self._close(line)

    @property
    def wake_us(self) -> int:
        """When a turn is due though nothing is ready; 0 where something waits to be begun."""
        if self.work:
            return 0
        if not self.lines:
            return NEVER_US
        return min(line.until_us for line in self.lines.values())

    def close(self) -> None:
        """End all connections, and listen no more."""
        for line in list(self.lines.values()):
            self._close(line)
        self.listener.close()
        self.selector.close()

    def _open(
        self,
        where: tuple[str, int],
        frame: bytes,
        answered: Callable[[bytes], None] | None,
        knocked: Callable[[bool], None] | None,
    ) -> None:
        if knocked is not None and sum(line.knocked is not None for line in self.lines.values()) >= KNOCKS:
            return
        sock = socket.socket(socket.AF_INET6 if ":" in where[0] else socket.AF_INET)
        sock.setblocking(False)
        limit = KNOCK_US if knocked is not None else LIMIT_US
        line = Line(sock, now_us() + limit, connecting=True, knocked=knocked)
        self.counts["knocks" if knocked is not None else "begun"] += 1
        if answered is not None:

            def hear(raw: bytes) -> None:
                answered(raw)

            line.answered = hear
            line.writes += LENGTH.pack(len(frame)) + frame
        try:
            code = sock.connect_ex(where)
        except OSError as error:  # an address that can't be one
            code = error.errno or errno.EINVAL
        if code not in (0, errno.EINPROGRESS):
            self._connected(line, code)
            return
        self.lines[sock] = line
        self.selector.register(sock, selectors.EVENT_WRITE)

    def _accept(self) -> None:
        try:
            sock, _ = self.listener.accept()
        except OSError:
            return
        sock.setblocking(False)
        theirs = [line for line in self.lines.values() if not line.connecting and line.answered == self.asked]
        if len(theirs) >= CONNECTIONS:
            self._close(min(theirs, key=lambda line: line.until_us))
        line = Line(sock, now_us() + LIMIT_US, answered=self.asked)
        self.lines[sock] = line
        self.selector.register(sock, selectors.EVENT_READ)

    def _connected(self, line: Line, code: int) -> None:
        if line.knocked is not None or code:
            if code == errno.ECONNREFUSED:
                self.counts["refused"] += 1
            if line.knocked is not None and code in (0, errno.ECONNREFUSED):
                line.knocked(code != 0)
            self._close(line)
            return
        line.connecting = False

    def _step(self, line: Line, events: int) -> None:
        try:
            if line.connecting:
                self._connected(line, line.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))
                if line.sock not in self.lines:
                    return
            if events & selectors.EVENT_WRITE and line.writes:
                sent = line.sock.send(line.writes)
                self.counts["exchanged.out"] += sent
                del line.writes[:sent]
            if events & selectors.EVENT_READ and not self._read(line):
                return
        except BlockingIOError:
            return
        except OSError:
            self._close(line)
            return
        if not line.writes and line.answered is None:
            self._close(line)  # all is said
            return
        wanted = (selectors.EVENT_WRITE if line.writes else 0) | (
            selectors.EVENT_READ if line.answered else 0
        )
        self.selector.modify(line.sock, wanted or selectors.EVENT_READ)

    def _read(self, line: Line) -> bool:
        """Whether the connection goes on."""
        data = line.sock.recv(65536)
        self.counts["exchanged.in"] += len(data)
        line.reads += data
        length = LENGTH.unpack_from(line.reads)[0] if len(line.reads) >= LENGTH.size else 0
        if not data or length > FRAME_MOST or line.answered is None:
            self.counts["bad"] += bool(data)
            self._close(line)
            return False
        if length and len(line.reads) >= LENGTH.size + length:
            hear, line.answered = line.answered, None
            self.counts["asked"] += hear == self.asked
            answer = hear(bytes(line.reads[LENGTH.size : LENGTH.size + length]))
            if answer is None:
                self._close(line)
                return False
            line.writes += LENGTH.pack(len(answer)) + answer
        return True

    def _close(self, line: Line) -> None:
        if self.lines.pop(line.sock, None) is not None:
            try:
                self.selector.unregister(line.sock)
            except (KeyError, ValueError) as error:
                LOG.warning("not registered", extra=fields(reason=error))
        line.sock.close()
