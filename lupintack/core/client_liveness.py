"""Checks by the kernel's TCP state whether the peer of a connection has closed it.

A read returns the end of the stream only after all bytes before it, and never once reading was shut down
locally. The TCP state shows it immediately, whatever is unread.
"""

from __future__ import annotations

import errno
import socket

# Linux, include/net/tcp_states.h
ESTABLISHED, CLOSE = 1, 7
FIN_WAIT1 = 4  # closed locally, and the FIN is not acknowledged yet
CLOSED_BY_PEER = frozenset({6, 7, 8, 9, 11})  # TIME_WAIT, CLOSE, CLOSE_WAIT, LAST_ACK, CLOSING


def tcp_state(sock: socket.socket) -> int:
    """Return the TCP state; CLOSE for a locally closed socket, ESTABLISHED if the kernel reports none."""
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except OSError as error:
        return CLOSE if error.errno == errno.EBADF else ESTABLISHED


def has_closed(sock: socket.socket) -> bool:
    """Return whether the peer has closed the connection, shut down its writing side, or reset it."""
    return tcp_state(sock) in CLOSED_BY_PEER


def has_undelivered_data(sock: socket.socket) -> bool:
    """Return whether the peer has yet to acknowledge the FIN of a closed stream, or bytes before it."""
    return tcp_state(sock) == FIN_WAIT1
