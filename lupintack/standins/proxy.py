"""A TCP proxy on loopback that injects faults: delays, silence, fragmentation, duplication, refusal."""

from __future__ import annotations

import socket
import threading
import time
from enum import Enum

from lupintack.standins.net import address_of, close, listen

CHUNK_BYTES = 65536
PIECE_BYTES = 7
PIECE_GAP_S = 0.004
POLL_INTERVAL_S = 0.005


class Fault(Enum):
    """A fault in the bytes from the target."""

    NONE = "none"
    DELAYED = "held"  # buffered, and delivered in order after the fault
    PIECES = "pieces"  # PIECE_BYTES at a time
    DOUBLED = "doubled"  # each complete line is sent twice


class Proxy:
    """Forwards connections to one target; a test may change `fault` while they are open."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.fault = Fault.NONE
        self.silent = False  # new connections are accepted but not forwarded
        self.delay_s = 0.0  # before the first bytes of a new connection
        self.conns: list[socket.socket] = []
        self.lock = threading.Lock()
        self.accepted = 0
        self.closed = False
        self.refusing = False
        self.sock = listen(self.serve)
        self.address = address_of(self.sock)

    def serve(self, sock: socket.socket) -> None:
        """Forward one connection in both directions until either side closes."""
        with self.lock:
            self.accepted += 1
            self.conns.append(sock)
        if self.silent:
            return
        host, _, port = self.target.rpartition(":")
        try:
            upstream = socket.create_connection((host, int(port)), timeout=5.0)
        except OSError:
            self.shut_down(sock)
            return
        upstream.settimeout(None)
        with self.lock:
            self.conns.append(upstream)
        threading.Thread(target=self.copy, args=(sock, upstream, False), daemon=True).start()
        self.copy(upstream, sock, True)

    def copy(self, source: socket.socket, sink: socket.socket, is_faulty: bool) -> None:
        """Forward one direction; `is_faulty`: `fault` applies to it."""
        remaining = b""
        if is_faulty:
            time.sleep(self.delay_s)
        try:
            while data := source.recv(CHUNK_BYTES):
                while is_faulty and self.fault is Fault.DELAYED:
                    time.sleep(POLL_INTERVAL_S)
                if is_faulty and self.fault is Fault.PIECES:
                    for start in range(0, len(data), PIECE_BYTES):
                        sink.sendall(data[start : start + PIECE_BYTES])
                        time.sleep(PIECE_GAP_S)
                elif is_faulty and self.fault is Fault.DOUBLED:
                    *lines, remaining = (remaining + data).split(b"\n")
                    sink.sendall(b"".join(line + b"\n" + line + b"\n" for line in lines))
                else:
                    sink.sendall(remaining + data)
                    remaining = b""
        except OSError:
            pass
        self.shut_down(source)
        self.shut_down(sink)

    @staticmethod
    def shut_down(sock: socket.socket) -> None:
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def refuse_connections(self) -> None:
        """Refuse connections and close the open ones; do nothing if they are refused already."""
        with self.lock:
            if self.refusing:
                return
            self.refusing = True
        host, _, port = self.address.partition(":")
        close(self.sock)
        self.sock = socket.socket()  # bound only: reserves the port
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((host, int(port)))
        self.cut()

    def accept_connections(self) -> None:
        """Accept connections again after `refuse_connections`."""
        with self.lock:
            if self.closed or not self.refusing:
                return
            self.refusing = False
        address = self.sock.getsockname()
        self.sock.close()
        self.sock = listen(self.serve, address)

    def cut(self) -> None:
        """Close the open connections."""
        with self.lock:
            conns, self.conns = self.conns, []
        for sock in conns:
            self.shut_down(sock)

    def close(self) -> None:
        """Close the listener and all connections."""
        self.closed = True
        close(self.sock)
        self.cut()
