"""A listening socket that two processes of one router may share while an upgrade runs."""

from __future__ import annotations

import socket
import struct

BACKLOG = 512  # connections that the kernel has taken and we have not


def bound(address: tuple[str, int], look_s: float, reuse: bool) -> socket.socket:
    """Bound, and not listening yet; an accept gives up after `look_s`.

    A port must not be listened on before all is ready: what the kernel takes is owed an answer, and on a
    shared port each process gets what it listens for.
    """
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, struct.pack("ll", 0, int(look_s * 1e6)))
        if reuse:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock
