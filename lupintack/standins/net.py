"""Listeners on loopback with a thread for each connection, and free ports."""

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
    """Ports reserved for this process until it exits.

    Each port is a record lock (fcntl(2)) on one byte of a shared file, so the kernel releases the ports
    however the process ends.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.file: BinaryIO | None = None  # never closed: closing it releases all locks
        self.locked: set[int] = set()
        self.lock = threading.Lock()

    def take(self, port: int) -> bool:
        """Reserve a port; return whether no process had reserved it."""
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


# Not under $TMPDIR, which is different for each run.
PORT_LOCKS = PortLocks(Path("/tmp") / f"lupintack-ports-{os.getuid()}")


def listen(
    serve: Callable[[socket.socket], None], address: tuple[str, int] = ("127.0.0.1", 0)
) -> socket.socket:
    """Listen on a loopback address until the returned socket is closed."""
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


def address_of(sock: socket.socket) -> str:
    """Return the address of a listening socket as host:port."""
    host, port = sock.getsockname()[:2]
    return f"{host}:{port}"


def close(sock: socket.socket) -> None:
    """Close a listener immediately, even if a thread is blocked in accept."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()


def free_ports(count: int) -> list[int]:
    """Return loopback ports that are free for TCP and UDP, below the kernel's ephemeral range.

    When tests run in parallel, a free port could be taken before it is bound: by the kernel for an outgoing
    connection, or by another process that calls this function. The range and the locks prevent both.
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
