"""Many watchers of one discovery service in a separate process, which record when lines arrive.

The process ends when the pipe to its parent closes, however the parent ended.
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

CONNECT_TIMEOUT_S = 10.0
POLL_S = 0.05
ARRIVAL_TIMEOUT_S = 60.0
READ_BYTES = 65536


class Arrivals(NamedTuple):
    """Arrival of one event: monotonic microseconds at the first and last watcher, and missing watchers."""

    first_us: int
    last_us: int
    missing: int
    bytes_per_watcher: float


class Connect(NamedTuple):
    """Command: open this number of connections to an address."""

    address: tuple[str, int]
    connections: int


class AwaitText(NamedTuple):
    """Command: wait until each watcher has received this text."""

    text: bytes


class MeasureIdle(NamedTuple):
    """Command: read for some seconds, and return the bytes per watcher and second."""

    seconds: float


@dataclass(slots=True)
class Watchers:
    """The watchers' sockets and the number of received bytes."""

    selector: selectors.BaseSelector = field(default_factory=selectors.DefaultSelector)
    count: int = 0
    received_bytes: int = 0

    def connect(self, request: Connect) -> None:
        """Open all connections, and watch from revision 1."""
        for number in range(request.connections):
            sock = socket.create_connection(request.address, timeout=CONNECT_TIMEOUT_S)
            sock.sendall(b"watch 1\n")
            sock.setblocking(False)
            self.selector.register(sock, selectors.EVENT_READ, number)
        self.count = request.connections

    def read(self, on_data: Callable[[int, bytes], None], timeout: float) -> None:
        """Read all sockets with data, and call `on_data` for each."""
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
            on_data(key.data, data)

    def await_text(self, text: bytes, pipe: Connection) -> Arrivals:
        """Wait until all watchers have received the text; return the times of the first and the last."""
        received: set[int] = set()
        first = last = 0
        before = self.received_bytes
        until = time.monotonic() + ARRIVAL_TIMEOUT_S

        def on_data(number: int, data: bytes) -> None:
            nonlocal first, last
            if text in data:
                received.add(number)
                last = time.monotonic_ns() // 1000
                first = first or last

        while len(received) < self.count and time.monotonic() < until and not pipe.poll():
            self.read(on_data, POLL_S)
        return Arrivals(first, last, self.count - len(received), (self.received_bytes - before) / self.count)

    def idle(self, seconds: float) -> float:
        """Return the bytes per watcher and second while the service is idle."""
        before, began = self.received_bytes, time.monotonic()
        while (spent := time.monotonic() - began) < seconds:
            self.read(lambda number, data: None, POLL_S)
        return (self.received_bytes - before) / self.count / spent


def run_watchers(pipe: Connection) -> None:
    """Execute commands until the pipe closes."""
    watchers = Watchers()
    try:
        while True:
            if not pipe.poll(POLL_S):
                watchers.read(lambda number, data: None, 0.0)
                continue
            command = pipe.recv()
            if isinstance(command, Connect):
                watchers.connect(command)
                pipe.send(True)
            elif isinstance(command, AwaitText):
                pipe.send(watchers.await_text(command.text, pipe))
            elif isinstance(command, MeasureIdle):
                pipe.send(watchers.idle(command.seconds))
    except (EOFError, OSError, KeyboardInterrupt):
        return


class WatcherProcess:
    """Handle of the watchers' process in its parent."""

    def __init__(self, address: tuple[str, int], count: int) -> None:
        """Start the process with `count` connections to one discovery service."""
        context = multiprocessing.get_context("spawn")
        self.pipe, child_pipe = context.Pipe()
        self.process = context.Process(target=run_watchers, args=(child_pipe,), name="watchers", daemon=True)
        self.process.start()
        child_pipe.close()
        self.pipe.send(Connect(address, count))
        self.pipe.recv()

    def start_waiting(self, text: bytes) -> None:
        """Start waiting for the event with this text."""
        self.pipe.send(AwaitText(text))

    def arrivals(self) -> Arrivals:
        """Return the arrivals when all watchers have the event, or at the timeout."""
        arrivals = self.pipe.recv()
        assert isinstance(arrivals, Arrivals)
        return arrivals

    def idle(self, seconds: float) -> float:
        """Return the bytes per watcher and second over some seconds."""
        self.pipe.send(MeasureIdle(seconds))
        return float(self.pipe.recv())

    def close(self) -> None:
        """End the process."""
        self.pipe.close()
        self.process.join(5.0)
        if self.process.is_alive():
            self.process.kill()
            self.process.join()
