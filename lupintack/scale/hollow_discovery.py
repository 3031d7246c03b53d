"""The discovery connection of a hollow router, on a non-blocking socket.

`DiscoveryClient` builds the requests, processes the lines and computes the reconnect delay; the member table
keeps the list and purges as in a real router. This module only opens, reads and closes the connection.
"""

from __future__ import annotations

import errno
import selectors
import socket
from collections.abc import Callable

from lupintack.clock import now_us
from lupintack.config import Names, address
from lupintack.core.member_table import MemberTable
from lupintack.core.table_updates import TableChange
from lupintack.discovery.client import CONNECT_TIMEOUT_S, SILENCE_TIMEOUT_S, DiscoveryClient
from lupintack.discovery.connection import LineBuffer, ReceivedBytes

READ_BYTES = 65_536
CONNECT_US = int(CONNECT_TIMEOUT_S * 1e6)
PURGE_SETTLE_MS = 6_000.0  # as in the platform's settings


class DiscoveryConnection:
    """Watches discovery; its owner calls `on_readable` for a ready socket, and `on_wake` at `wake_us`."""

    def __init__(
        self,
        discovery_address: str,
        names: Names,
        seed: int,
        selector: selectors.BaseSelector,
        on_ready: Callable[[], None],
        on_change: Callable[[TableChange], None],
        reachable: Callable[[], bool],
    ) -> None:
        """`discovery_address`: host:port; `on_ready`: selector callback; `on_change`: table callback."""
        self.member_table = MemberTable(PURGE_SETTLE_MS)
        self.member_table.notify = on_change
        self.client = DiscoveryClient(address(discovery_address, "discovery"), names, self.member_table, seed)
        self.selector, self.on_ready, self.reachable = selector, on_ready, reachable
        self.sock: socket.socket | None = None
        self.lines: LineBuffer | None = None
        self.connect_until_us = 0
        self.reconnect_us = 0
        self.initial_notified_us = 0  # `notified_us` of the member table when this connection began
        self.bytes_in = self.bytes_out = 0

    @property
    def wake_us(self) -> int:
        """The time of the next timeout or connection attempt."""
        if self.lines is not None:
            return self.lines.deadline_us
        return self.connect_until_us if self.sock is not None else self.reconnect_us

    def on_wake(self, now: int) -> None:
        """Connect, or close a connection that timed out."""
        if now < self.wake_us:
            return
        if self.sock is None:
            self._connect(now)
        else:
            self._on_connection_lost(now)

    def on_readable(self) -> None:
        """Handle a socket that is connected, readable or closed."""
        if not self.reachable():
            self._unregister()
            return
        now = now_us()
        try:
            if self.sock is not None and self.lines is None:
                self._on_connected(self.sock, now)
            elif self.sock is not None and self.lines is not None:
                self._read(self.sock, self.lines)
        except BlockingIOError:
            return
        except (OSError, ValueError):
            self._on_connection_lost(now)

    def on_reachability_change(self) -> None:
        """Register an open connection with the selector again when discovery is reachable."""
        if self.sock is not None and self.reachable():
            self._register(selectors.EVENT_READ if self.lines is not None else selectors.EVENT_WRITE)

    def pause(self) -> None:
        """Stop reading until `resume`."""
        self._unregister()

    def resume(self) -> None:
        """Continue reading."""
        self.on_reachability_change()

    def close(self) -> None:
        """Close the connection."""
        if self.sock is not None:
            self._unregister()
            self.sock.close()
        self.sock = self.lines = None

    def _connect(self, now: int) -> None:
        assert self.client.address is not None
        self.initial_notified_us = self.member_table.notified_us
        self.connect_until_us = now + CONNECT_US
        sock = socket.socket()
        sock.setblocking(False)
        self.sock = sock
        if not self.reachable():
            return  # simulates a lost SYN: the attempt times out
        error_code = sock.connect_ex(self.client.address)
        if error_code not in (0, errno.EINPROGRESS):
            self._on_connection_lost(now)
            return
        self._register(selectors.EVENT_WRITE)

    def _on_connected(self, sock: socket.socket, now: int) -> None:
        error_code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_code:
            raise OSError(error_code, "refused")
        self.bytes_out += sock.send(self.client.watch_request())
        self.lines = LineBuffer(now, SILENCE_TIMEOUT_S)
        self._register(selectors.EVENT_READ)

    def _read(self, sock: socket.socket, lines: LineBuffer) -> None:
        data = sock.recv(READ_BYTES)
        self.bytes_in += len(data)
        self.client.receive(lines, ReceivedBytes(data, now_us()), self.client.generation)
        while not self.member_table.mailbox.empty():
            update = self.member_table.mailbox.get_nowait()
            if update is not None:
                self.member_table.receive(update)

    def _on_connection_lost(self, now: int) -> None:
        self.close()
        was_notified = self.member_table.notified_us != self.initial_notified_us
        self.reconnect_us = now + int(self.client.reconnect_delay_s(was_notified) * 1e6)

    def _register(self, events: int) -> None:
        assert self.sock is not None
        try:
            self.selector.modify(self.sock, events, self.on_ready)
        except KeyError:
            self.selector.register(self.sock, events, self.on_ready)

    def _unregister(self) -> None:
        if self.sock is not None:
            try:
                self.selector.unregister(self.sock)
            except KeyError:
                pass
