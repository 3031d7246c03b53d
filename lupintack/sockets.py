"""Distinguishes transient failures of system calls on sockets from the end of a connection.

Linux may refuse a call for want of memory or buffers, interrupt it, or report an error that belongs to one
connection on the listener that would have accepted it (accept(2), connect(2), recv(2), send(2)). None of
these says anything about the other side.
"""

from __future__ import annotations

import contextlib
import errno
import socket
import struct
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

TRANSIENT = frozenset({errno.EINTR, errno.ENOBUFS, errno.ENOMEM})
"""Of a read or a write: the connection is as it was, and the call may be made again."""
LOCAL = TRANSIENT | {errno.EADDRNOTAVAIL, errno.EMFILE, errno.ENFILE, errno.EAGAIN}
"""Of a connect that this machine could not even begin."""
RESOURCES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
"""Of an accept: it will fail again until something is given back. All others belong to one connection."""
PAUSE_S = 0.001  # between two tries of a call that failed for a moment
TRIES = 200
CONNECT_TRIES = 3
SEND_NOW_TRIES = 4  # at once, of a write that must not wait
# Linux, include/uapi/linux/tcp.h: tcpi_last_data_recv in ms; with tcpi_bytes_received, tcpi_data_segs_in
LAST_DATA_RECEIVED = struct.Struct("=52xI")
LAST_DATA_SENT = struct.Struct("=44xI")  # tcpi_last_data_sent in ms
RECEIVED = struct.Struct("=52xI72xQ16xI")
ACCEPT_FIRST_S = 0.0001  # between two tries of an accept, doubled with each that fails in a row
ACCEPT_PAUSE_S = 0.02  # and at most
ACCEPT_LASTS_S = 0.001  # from this pause on the want is no matter of a moment: connections are ended for room


def passes(error: OSError) -> bool:
    """Return whether a read or write may be retried on the same connection."""
    return error.errno in TRANSIENT


def read(sock: socket.socket, size: int) -> bytes:
    """Receive, with retries of transient errors; raise BlockingIOError after the socket's own timeout."""
    for _ in range(TRIES):
        try:
            return sock.recv(size)
        except OSError as error:
            if not passes(error):
                raise
        time.sleep(PAUSE_S)
    return sock.recv(size)


def since_received_us(sock: socket.socket) -> int:
    """Return how long ago the last bytes arrived, in microseconds; 0 where that isn't known.

    The kernel counts in whole ticks of some milliseconds, on a clock that no step of the wall clock moves.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.size)
        return int(LAST_DATA_RECEIVED.unpack(info)[0]) * 1000
    except (OSError, struct.error):  # no TCP, or a kernel that tells less
        return 0


class ReceiveInfo(NamedTuple):
    """What has arrived on a connection, read or not."""

    since_last_us: int  # since the last bytes arrived, in whole ticks of the kernel
    bytes_received: int  # in all; the end of the stream may count as one
    segments: int  # with data


def receive_info(sock: socket.socket) -> ReceiveInfo | None:
    """Return what has arrived on a connection; None where the kernel does not tell."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, RECEIVED.size)
        since_last_ms, bytes_received, segments = RECEIVED.unpack(info)
    except (OSError, struct.error):  # no TCP, closed, or a kernel that tells less
        return None
    return ReceiveInfo(since_last_ms * 1000, bytes_received, segments)


def since_established_us(sock: socket.socket) -> int:
    """Return how long ago a connection was established, in microseconds; 0 where that isn't known.

    It may have waited to be accepted since. Until something is written, the kernel counts the time since the
    last write from there (Linux, tcp_create_openreq_child).
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_SENT.size)
        return int(LAST_DATA_SENT.unpack(info)[0]) * 1000
    except (OSError, struct.error):  # no TCP, or a kernel that tells less
        return 0


def write(sock: socket.socket, data: bytes | bytearray | memoryview) -> None:
    """Send all, with retries of transient errors."""
    view = memoryview(data)
    tries = 0
    while view:
        try:
            view = view[sock.send(view) :]
            tries = 0
        except OSError as error:
            tries += 1
            if not passes(error) or tries > TRIES:
                raise
            time.sleep(PAUSE_S)


def send_now(sock: socket.socket, data: bytes | bytearray | memoryview) -> int:
    """Return how many bytes the kernel takes without waiting; 0 where it takes none just now."""
    view = memoryview(data)
    return len(view) - sum(map(len, send_parts_now(sock, [view])))


def send_parts_now(sock: socket.socket, parts: Sequence[bytes | memoryview]) -> list[memoryview]:
    """Send parts as far as the kernel takes them without waiting; return what is left.

    A short write, or an error that may pass, does not say that the kernel would have to wait: only EAGAIN
    does. Whatever is left costs the caller a thread.
    """
    left = [memoryview(part) for part in parts]
    failures = 0
    while left:
        try:
            left = _without(left, sock.sendmsg(left, [], socket.MSG_DONTWAIT))
        except BlockingIOError:
            break
        except OSError as error:
            failures += 1
            if not passes(error):
                raise
            if failures >= SEND_NOW_TRIES:
                break
    return left


def _without(views: Sequence[memoryview], sent: int) -> list[memoryview]:
    """Return what is left of parts whose first `sent` bytes are sent."""
    left = []
    for view in views:
        if sent < len(view):
            left.append(view[sent:])
        sent = max(0, sent - len(view))
    return left


def set_option(sock: socket.socket, level: int, option: int, value: int | bytes) -> bool:
    """Set an option that the connection can do without; return False where the system refuses."""
    for _ in range(2):
        try:
            sock.setsockopt(level, option, value)
            return True
        except OSError:
            continue
    return False


def connect(sock_family: int, address: tuple[str, int], timeout_s: float) -> socket.socket:
    """Return a connected socket without a timeout; raise the last try's OSError.

    A connect that this machine could not begin is tried again: it is no sign of a fault at the other side.
    """
    until = time.monotonic() + timeout_s
    for left in range(CONNECT_TRIES - 1, -1, -1):
        sock: socket.socket | None = None
        try:
            sock = socket.socket(sock_family)
            sock.settimeout(max(PAUSE_S, until - time.monotonic()))
            sock.connect(address)
            sock.settimeout(None)
            return sock
        except OSError as error:
            if sock is not None:
                close(sock)
            if not left or error.errno not in LOCAL:
                raise
        time.sleep(PAUSE_S)
    raise AssertionError("the last try returns or raises")


def close(sock: socket.socket) -> None:
    """Close; an error is about unsent bytes, which nothing can be done about."""
    with contextlib.suppress(OSError):
        sock.close()


class AcceptFailures:
    """Decides after a failed accept: retry at once, or after a pause that grows."""

    def __init__(self, count: Callable[[str], None]) -> None:
        """`count`: adds one to a counter."""
        self.count = count
        self.in_a_row = 0

    def succeeded(self) -> None:
        """Note that a connection was accepted."""
        self.in_a_row = 0

    def failed(self, error: OSError) -> float:
        """Return the pause in seconds; 0 for an error of one connection that is gone."""
        self.count(f"accept.{errno.errorcode.get(error.errno or 0, 'other').lower()}")
        if error.errno not in RESOURCES:
            # An error that stays, as of a listener that is no more, must not take the whole processor.
            self.in_a_row += 1
            return 0.0 if self.in_a_row <= TRIES else ACCEPT_PAUSE_S
        self.in_a_row += 1
        return min(ACCEPT_PAUSE_S, ACCEPT_FIRST_S * float(1 << min(self.in_a_row - 1, 10)))
