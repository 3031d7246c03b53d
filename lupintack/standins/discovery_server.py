"""A stand-in discovery server that sends numbered events to its watchers."""

from __future__ import annotations

import json
import socket
import threading
import time
from typing import Any

from lupintack.standins.net import address_of, close, listen


class DiscoveryServer:
    """Sends events to each watcher, and once a second the last revision, which is all the protocol promises.

    Revision 1 is in the configuration of the routers. `sends_revision_on_watch`: the last revision is also
    sent to a new watcher after the events that it missed. `sends_revision_if_current`: only to one that
    missed none.
    """

    def __init__(self, sends_revision_on_watch: bool = True) -> None:
        self.sends_revision_on_watch = sends_revision_on_watch
        self.sends_revision_if_current = False
        self.lock = threading.Lock()
        self.events: list[tuple[int, bytes]] = []
        self.rev = 1
        self.watchers: list[socket.socket] = []
        self.closed = threading.Event()
        self.sock = listen(self.serve)
        self.address = address_of(self.sock)
        threading.Thread(target=self.run_heartbeat, name="board", daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        """Handle `watch N`: send all events after revision N, then keep the connection as a watcher."""
        with sock, sock.makefile("rb") as reader:
            try:
                command, _, number = reader.readline().decode("latin-1").strip().partition(" ")
                if command != "watch" or not number.isdigit():
                    return
                with self.lock:
                    for rev, raw in self.events:
                        if rev > int(number):
                            sock.sendall(raw)
                    if self.sends_revision_on_watch or (
                        self.sends_revision_if_current and int(number) == self.rev
                    ):
                        sock.sendall(b"%d\n" % self.rev)
                    self.watchers.append(sock)
                reader.read()
            except OSError:
                pass
            finally:
                with self.lock:
                    self.watchers = [watcher for watcher in self.watchers if watcher is not sock]

    def publish(self, event: dict[str, Any]) -> None:
        """Send a pool or flush event with the next revision."""
        with self.lock:
            self.rev += 1
            raw = json.dumps({"rev": self.rev, **event}).encode() + b"\n"
            self.events.append((self.rev, raw))
            self.send(raw)

    def purge(self, asset: str = "", collection: int = 0) -> None:
        """Publish the purge of an object, or of a collection if no object is given."""
        subject: dict[str, Any] = {"asset": asset} if asset else {"collection": collection}
        self.publish({"flush": {**subject, "ms": int(time.time() * 1000)}})

    def run_heartbeat(self) -> None:
        while not self.closed.wait(1.0):
            with self.lock:
                self.send(b"%d\n" % self.rev)

    def send(self, raw: bytes) -> None:
        for sock in self.watchers:
            try:
                sock.sendall(raw)
            except OSError:
                pass

    def refuse_connections(self) -> None:
        """Refuse new connections and close the open ones."""
        host, _, port = self.address.partition(":")
        close(self.sock)
        self.sock = socket.socket()  # keeps the port
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((host, int(port)))
        with self.lock:
            for sock in self.watchers:
                sock.shutdown(socket.SHUT_RDWR)

    def accept_connections(self) -> None:
        """Accept connections again; events published in the meantime are sent to new watchers."""
        address = self.sock.getsockname()
        self.sock.close()
        self.sock = listen(self.serve, address)

    def close(self) -> None:
        self.closed.set()
        close(self.sock)
