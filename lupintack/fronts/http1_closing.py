"""Ends of an HTTP/1.1 connection that lose no byte of its last answer.

A close over unread bytes resets the connection, and what the client has not read of the last answer goes with
it: so the rest of what the client sends is read for a moment, and dropped.
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
CLOSE_GRACE_S = 0.1  # by the protocol a request may cross this side's end for 50 ms
POLL_INTERVAL_S = 0.01


def linger(sock: socket.socket, is_expired: Callable[[], bool]) -> None:
    """End this side after an error's answer, and read on until the client ends or `is_expired`."""
    until_us = now_us() + int(LINGER_TIMEOUT_S * 1e6)
    try:
        sock.shutdown(socket.SHUT_WR)
        while (left_us := until_us - now_us()) > 0 and not is_expired():
            sock.settimeout(left_us / 1e6)
            if not sockets.read(sock, READ_BYTES):
                return
    except OSError:
        pass  # the connection has ended


def await_close(sock: socket.socket, closes_immediately: Callable[[], bool]) -> None:
    """End this side, and drop what crosses that, until the client has closed, too.

    `closes_at_once`: the descriptor is wanted, and nothing is waited for.
    """
    began_us = now_us()
    try:
        sock.shutdown(socket.SHUT_WR)
        sock.setblocking(False)
        while not client_liveness.has_closed(sock):
            elapsed_us = now_us() - began_us
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
