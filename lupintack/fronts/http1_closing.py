"""Closes an HTTP/1.1 connection without losing bytes of its last answer.

Closing a socket with unread bytes resets the connection, and the client loses the part of the last answer
that it has not read. So bytes that the client still sends are read and dropped for a bounded time first.
"""

from __future__ import annotations

import socket
import time
from collections.abc import Callable

from lupintack import sockets
from lupintack.clock import now_us
from lupintack.core import client_liveness

READ_BYTES = 65536
LINGER_TIMEOUT_S = 1.5
CLOSE_GRACE_S = 0.1  # the platform's protocol lets a request cross this side's FIN for 50 ms
POLL_INTERVAL_S = 0.01


def linger(sock: socket.socket, is_expired: Callable[[], bool]) -> None:
    """Shut down writing after an error answer, and read until the client closes or `is_expired`."""
    deadline_us = now_us() + int(LINGER_TIMEOUT_S * 1e6)
    try:
        sock.shutdown(socket.SHUT_WR)
        while (remaining_us := deadline_us - now_us()) > 0 and not is_expired():
            sock.settimeout(remaining_us / 1e6)
            if not sockets.read(sock, READ_BYTES):
                return
    except OSError:
        pass  # the connection has ended


def await_close(sock: socket.socket, closes_immediately: Callable[[], bool]) -> None:
    """Shut down writing, and drop received bytes until the client has closed too.

    `closes_immediately`: returns True once the descriptor is needed; the wait then ends.
    """
    started_us = now_us()
    try:
        sock.shutdown(socket.SHUT_WR)
        sock.setblocking(False)
        while not client_liveness.has_closed(sock):
            elapsed_us = now_us() - started_us
            if elapsed_us >= LINGER_TIMEOUT_S * 1e6:
                return
            try:
                if sockets.read(sock, READ_BYTES):
                    continue
            except BlockingIOError:
                pass
            is_quiet = elapsed_us >= CLOSE_GRACE_S * 1e6 and not client_liveness.has_undelivered_data(sock)
            if closes_immediately() or is_quiet:
                return
            time.sleep(POLL_INTERVAL_S)
    except OSError:
        pass  # the connection has ended
