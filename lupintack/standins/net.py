"""Listeners on loopback, each connection served by a thread."""

from __future__ import annotations

import fcntl
import os
import secrets
import socket
import threading
from collections.abc import Callable
from pathlib import Path
from typing import BinaryIO

PORTS = range(15_000, 32_000)


class PortLocks:
    """The ports that this process was given, for as long as it lives.

    Other processes see them as record locks (fcntl(2)) on one file, a byte for each port, so that none has to
    be given back, whatever ends the process.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.file: BinaryIO | None = None  # never closed: that would give all of them back
        self.locked: set[int] = set()
        self.lock = threading.Lock()

    def take(self, port: int) -> bool:
        """Whether nobody has it, who asks here; then it is this process's."""
        with self.lock:
            if port in self.locked:
                return False
            if self.file is None:
                self.file = open(self.path, "ab")
            try:
                fcntl.lockf(self.file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
            except (BlockingIOError, PermissionError):
                return False
            self.locked.add(port)
            return True


# Not under $TMPDIR, which runs have one each of.
PORT_LOCKS = PortLocks(Path("/tmp") / f"lupintack-ports-{os.getuid()}")


def listen(
    serve: Callable[[socket.socket], None], address: tuple[str, int] = ("127.0.0.1", 0)
) -> socket.socket:
    """A listener; it ends when its socket is closed. Only loopback is ever listened on."""
    assert address[0].startswith("127.")
    sock = socket.create_server(address, backlog=512)

    def accept() -> None:
        while True:
            try:
                conn, _ = sock.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=serve, args=(conn,), name="stand-in", daemon=True).start()

    threading.Thread(target=accept, name="stand-in", daemon=True).start()
    return sock


def at(sock: socket.socket) -> str:
    """Where a socket listens, as host:port."""
    host, port = sock.getsockname()[:2]
    return f"{host}:{port}"


def close(sock: socket.socket) -> None:
    """End a listener at once, also while it waits in accept."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()


def free_ports(count: int) -> list[int]:
    """Ports of both kinds that nobody has, on loopback, below those that the kernel gives out by itself.

    Guards against a port that is somebody's by the time it is listened on, where tests run beside one
    another: the kernel may have given it to a connection meanwhile, or this function to another process.
    """
    reserved: dict[int, None] = {}
    while len(reserved) < count:
        port = PORTS.start + secrets.randbelow(len(PORTS))
        with socket.socket() as stream, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
            try:
                stream.bind(("127.0.0.1", port))
                datagrams.bind(("127.0.0.1", port))
            except OSError:
                continue
        if PORT_LOCKS.take(port):
            reserved[port] = None
    return list(reserved)
