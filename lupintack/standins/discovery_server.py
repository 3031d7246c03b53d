"""A stand-in notice board: numbered events to whoever watches."""

from __future__ import annotations

import json
import socket
import threading
import time
from typing import Any

from lupintack.standins.net import at, close, listen


class DiscoveryServer:
    """Event 1 is in the routers' configuration; each second every watcher gets the last number.

    The protocol does not promise more. `prompt`: also right behind what a new watcher has missed;
    `prompt_if_current`: at once to one that has missed nothing.
    """

    def __init__(self, prompt: bool = True) -> None:
        self.prompt = prompt
        self.prompt_if_current = False
        self.lock = threading.Lock()
        self.events: list[tuple[int, bytes]] = []
        self.rev = 1
        self.watchers: list[socket.socket] = []
        self.closed = threading.Event()
        self.sock = listen(self.serve)
        self.address = at(self.sock)
        threading.Thread(target=self.run_heartbeat, name="board", daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        """`watch N`, then all that came after N."""
        with sock, sock.makefile("rb") as reader:
            try:
                command, _, number = reader.readline().decode("latin-1").strip().partition(" ")
                if command != "watch" or not number.isdigit():
                    return
                with self.lock:
                    for rev, raw in self.events:
                        if rev > int(number):
                            sock.sendall(raw)
                    if self.prompt or (self.prompt_if_current and int(number) == self.rev):
                        sock.sendall(b"%d\n" % self.rev)
                    self.watchers.append(sock)
                reader.read()
            except OSError:
                pass
            finally:
                with self.lock:
                    self.watchers = [watcher for watcher in self.watchers if watcher is not sock]

    def publish(self, event: dict[str, Any]) -> None:
        """A pool or a flush, as an event of the next number."""
        with self.lock:
            self.rev += 1
            raw = json.dumps({"rev": self.rev, **event}).encode() + b"\n"
            self.events.append((self.rev, raw))
            self.send(raw)

    def purge(self, asset: str = "", collection: int = 0) -> None:
        """An object's purge, or a group's where no object is named."""
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

    def down(self) -> None:
        """Connections are refused, and those there are end."""
        host, _, port = self.address.partition(":")
        close(self.sock)
        self.sock = socket.socket()  # keeps the port
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((host, int(port)))
        with self.lock:
            for sock in self.watchers:
                sock.shutdown(socket.SHUT_RDWR)

    def back(self) -> None:
        """It is there again, with all that was told meanwhile."""
        address = self.sock.getsockname()
        self.sock.close()
        self.sock = listen(self.serve, address)

    def close(self) -> None:
        self.closed.set()
        close(self.sock)
