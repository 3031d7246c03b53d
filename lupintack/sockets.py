"""Distinguishes transient failures of system calls on sockets from the end of a connection.

Linux may fail a call because memory or buffers are short, interrupt it, or report the error of one connection
on its listener (accept(2), connect(2), recv(2), send(2)). None of these errors indicates a fault of the peer.
"""

from __future__ import annotations

import contextlib
import errno
import socket
import struct
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

TRANSIENT_ERRORS = frozenset({errno.EINTR, errno.ENOBUFS, errno.ENOMEM})
"""Errors of a read or a write that leave the connection usable: the call can be retried."""
LOCAL_ERRORS = TRANSIENT_ERRORS | {errno.EADDRNOTAVAIL, errno.EMFILE, errno.ENFILE, errno.EAGAIN}
"""Errors of a connect that failed on this machine, before anything was sent."""
RESOURCE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
"""Errors of an accept that recur until resources are released. All others concern one connection."""
RETRY_DELAY_S = 0.001  # between two tries of a call that failed with a transient error
MAX_TRIES = 200
MAX_CONNECT_TRIES = 3
MAX_SEND_NOW_TRIES = 4  # without a delay, for a write that must not block
# Linux, include/uapi/linux/tcp.h: tcpi_last_data_recv in ms; then tcpi_bytes_received, tcpi_data_segs_in
LAST_DATA_RECEIVED = struct.Struct("=52xI")
LAST_DATA_SENT = struct.Struct("=44xI")  # tcpi_last_data_sent in ms
RECEIVE_INFO = struct.Struct("=52xI72xQ16xI")
MIN_ACCEPT_DELAY_S = 0.0001  # between two tries of an accept; doubles with each consecutive failure
MAX_ACCEPT_DELAY_S = 0.02
SHORTAGE_DELAY_S = 0.001  # from this delay on the shortage is not transient: idle connections are evicted


def is_transient(error: OSError) -> bool:
    """Return whether a read or write may be retried on the same connection."""
    return error.errno in TRANSIENT_ERRORS


def read(sock: socket.socket, size: int) -> bytes:
    """Receive, with retries of transient errors; raise BlockingIOError after the socket's own timeout."""
    for _ in range(MAX_TRIES):
        try:
            return sock.recv(size)
        except OSError as error:
            if not is_transient(error):
                raise
        time.sleep(RETRY_DELAY_S)
    return sock.recv(size)


def since_received_us(sock: socket.socket) -> int:
    """Return how long ago the last bytes arrived, in microseconds; 0 where that isn't known.

    The kernel counts in ticks of a few milliseconds, on a clock that steps of the wall clock do not affect.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.size)
        return int(LAST_DATA_RECEIVED.unpack(info)[0]) * 1000
    except (OSError, struct.error):  # not TCP, or a kernel that reports fewer fields
        return 0


class ReceiveInfo(NamedTuple):
    """The data that has arrived on a connection, whether it has been read or not."""

    since_last_us: int  # time since the last bytes arrived, in whole kernel ticks
    bytes_received: int  # total; the end of the stream may be counted as one byte
    segments: int  # that carried data


def receive_info(sock: socket.socket) -> ReceiveInfo | None:
    """Return what has arrived on a connection; None where the kernel does not report it."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, RECEIVE_INFO.size)
        since_last_ms, bytes_received, segments = RECEIVE_INFO.unpack(info)
    except (OSError, struct.error):  # not TCP, closed, or a kernel that reports fewer fields
        return None
    return ReceiveInfo(since_last_ms * 1000, bytes_received, segments)


def since_established_us(sock: socket.socket) -> int:
    """Return how long ago a connection was established, in microseconds; 0 where that isn't known.

    The connection may have waited in the accept queue since. Until the first write, the kernel reports this
    time as the time since the last write (Linux, tcp_create_openreq_child).
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_SENT.size)
        return int(LAST_DATA_SENT.unpack(info)[0]) * 1000
    except (OSError, struct.error):  # not TCP, or a kernel that reports fewer fields
        return 0


def write(sock: socket.socket, data: bytes | bytearray | memoryview) -> None:
    """Send all bytes, with retries of transient errors."""
    view = memoryview(data)
    tries = 0
    while view:
        try:
            view = view[sock.send(view) :]
            tries = 0
        except OSError as error:
            tries += 1
            if not is_transient(error) or tries > MAX_TRIES:
                raise
            time.sleep(RETRY_DELAY_S)


def send_now(sock: socket.socket, data: bytes | bytearray | memoryview) -> int:
    """Send what the kernel accepts without blocking; return the number of bytes sent, which may be 0."""
    view = memoryview(data)
    return len(view) - sum(map(len, send_parts_now(sock, [view])))


def send_parts_now(sock: socket.socket, parts: Sequence[bytes | memoryview]) -> list[memoryview]:
    """Send what the kernel accepts of the parts without blocking; return the unsent parts.

    Short writes and transient errors are retried: only EAGAIN means that the call would block. The caller
    needs a thread to send the unsent parts.
    """
    left = [memoryview(part) for part in parts]
    failures = 0
    while left:
        try:
            left = _unsent_parts(left, sock.sendmsg(left, [], socket.MSG_DONTWAIT))
        except BlockingIOError:
            break
        except OSError as error:
            failures += 1
            if not is_transient(error):
                raise
            if failures >= MAX_SEND_NOW_TRIES:
                break
    return left


def _unsent_parts(views: Sequence[memoryview], sent: int) -> list[memoryview]:
    """Return the remaining parts after the first `sent` bytes."""
    left = []
    for view in views:
        if sent < len(view):
            left.append(view[sent:])
        sent = max(0, sent - len(view))
    return left


def set_option(sock: socket.socket, level: int, option: int, value: int | bytes) -> bool:
    """Set an optional socket option; return False where the system refuses it."""
    for _ in range(2):
        try:
            sock.setsockopt(level, option, value)
            return True
        except OSError:
            continue
    return False


def connect(sock_family: int, address: tuple[str, int], timeout_s: float) -> socket.socket:
    """Return a connected socket without a timeout; raise the OSError of the last try.

    A connect that failed on this machine is retried: it does not indicate a fault of the peer.
    """
    until = time.monotonic() + timeout_s
    for left in range(MAX_CONNECT_TRIES - 1, -1, -1):
        sock: socket.socket | None = None
        try:
            sock = socket.socket(sock_family)
            sock.settimeout(max(RETRY_DELAY_S, until - time.monotonic()))
            sock.connect(address)
            sock.settimeout(None)
            return sock
        except OSError as error:
            if sock is not None:
                close(sock)
            if not left or error.errno not in LOCAL_ERRORS:
                raise
        time.sleep(RETRY_DELAY_S)
    raise AssertionError("the last try returns or raises")


def close(sock: socket.socket) -> None:
    """Close a socket; an error concerns unsent bytes only, and is ignored."""
    with contextlib.suppress(OSError):
        sock.close()


class AcceptFailures:
    """Decides after a failed accept whether to retry immediately or after an increasing delay."""

    def __init__(self, count: Callable[[str], None]) -> None:
        """Begin without failures; `count` adds one to the named counter."""
        self.count = count
        self.consecutive_failures = 0

    def on_success(self) -> None:
        """Record that a connection was accepted."""
        self.consecutive_failures = 0

    def on_failure(self, error: OSError) -> float:
        """Count an error; return the delay in seconds, 0 for an error of one connection that has closed."""
        self.count(f"accept.{errno.errorcode.get(error.errno or 0, 'other').lower()}")
        if error.errno not in RESOURCE_ERRORS:
            # Guards against a busy loop on a permanent error, such as that of a closed listener.
            self.consecutive_failures += 1
            return 0.0 if self.consecutive_failures <= MAX_TRIES else MAX_ACCEPT_DELAY_S
        self.consecutive_failures += 1
        return min(
            MAX_ACCEPT_DELAY_S, MIN_ACCEPT_DELAY_S * float(1 << min(self.consecutive_failures - 1, 10))
        )
