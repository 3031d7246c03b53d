"""Many watchers of one discovery service in a process of their own: they read lines and note when they come.

The process ends when the pipe to the one that started it closes, however that one ended.
"""

from __future__ import annotations

import multiprocessing
import selectors
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from multiprocessing.connection import Connection
from typing import NamedTuple

CONNECT_S = 10.0
LOOK_S = 0.05
ARRIVAL_S = 60.0
READ_BYTES = 65536


class Arrivals(NamedTuple):
    """One event at all watchers: monotonic microseconds of the first and the last, and who lacked it."""

    first_us: int
    last_us: int
    missing: int
    bytes_per_watcher: float


class Start(NamedTuple):
    """What the process is told: where to connect, how often."""

    address: tuple[str, int]
    connections: int


class Await(NamedTuple):
    """Wait until each watcher has had a line with this text."""

    text: bytes


class Idle(NamedTuple):
    """Read for so long, and say how many bytes came to each watcher."""

    seconds: float


@dataclass(slots=True)
class Watchers:
    """The sockets and what came on them."""

    selector: selectors.BaseSelector = field(default_factory=selectors.DefaultSelector)
    count: int = 0
    received_bytes: int = 0

    def connect(self, start: Start) -> None:
        """Open all connections, and ask for what comes from now on."""
        for number in range(start.connections):
            sock = socket.create_connection(start.address, timeout=CONNECT_S)
            sock.sendall(b"watch 1\n")
            sock.setblocking(False)
            self.selector.register(sock, selectors.EVENT_READ, number)
        self.count = start.connections

    def read(self, seen: Callable[[int, bytes], None], timeout: float) -> None:
        """Whatever has come."""
        for key, _ in self.selector.select(timeout):
            sock = key.fileobj
            assert isinstance(sock, socket.socket)
            try:
                data = sock.recv(READ_BYTES)
            except BlockingIOError:
                continue
            if not data:
                self.selector.unregister(sock)
                continue
            self.received_bytes += len(data)
            seen(key.data, data)

    def await_text(self, text: bytes, link: Connection) -> Arrivals:
        """When the first and the last watcher had it."""
        had: set[int] = set()
        first = last = 0
        before = self.received_bytes
        until = time.monotonic() + ARRIVAL_S

        def seen(number: int, data: bytes) -> None:
            nonlocal first, last
            if text in data:
                had.add(number)
                last = time.monotonic_ns() // 1000
                first = first or last

        while len(had) < self.count and time.monotonic() < until and not link.poll():
            self.read(seen, LOOK_S)
        return Arrivals(first, last, self.count - len(had), (self.received_bytes - before) / self.count)

    def idle(self, seconds: float) -> float:
        """Bytes a watcher and second while nothing is asked of them."""
        before, began = self.received_bytes, time.monotonic()
        while (spent := time.monotonic() - began) < seconds:
            self.read(lambda number, data: None, LOOK_S)
        return (self.received_bytes - before) / self.count / spent


def run(link: Connection) -> None:
    """The process: one request after another, until the pipe closes."""
    watchers = Watchers()
    try:
        while True:
            if not link.poll(LOOK_S):
                watchers.read(lambda number, data: None, 0.0)
                continue
            asked = link.recv()
            if isinstance(asked, Start):
                watchers.connect(asked)
                link.send(True)
            elif isinstance(asked, Await):
                link.send(watchers.await_text(asked.text, link))
            elif isinstance(asked, Idle):
                link.send(watchers.idle(asked.seconds))
    except (EOFError, OSError, KeyboardInterrupt):
        return


class WatcherProcess:
    """The process as its starter has it."""

    def __init__(self, address: tuple[str, int], count: int) -> None:
        """`count` connections to one discovery process."""
        context = multiprocessing.get_context("spawn")
        self.link, theirs = context.Pipe()
        self.process = context.Process(target=run, args=(theirs,), name="watchers", daemon=True)
        self.process.start()
        theirs.close()
        self.link.send(Start(address, count))
        self.link.recv()

    def begin(self, text: bytes) -> None:
        """From now on the next event is waited for."""
        self.link.send(Await(text))

    def arrivals(self) -> Arrivals:
        """Once all have had it, or the time for it is over."""
        found = self.link.recv()
        assert isinstance(found, Arrivals)
        return found

    def idle(self, seconds: float) -> float:
        """Bytes a watcher and second."""
        self.link.send(Idle(seconds))
        return float(self.link.recv())

    def close(self) -> None:
        """End it."""
        self.link.close()
        self.process.join(5.0)
        if self.process.is_alive():
            self.process.kill()
            self.process.join()
