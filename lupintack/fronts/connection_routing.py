"""Routes new connections to one of several listeners on a port, by a BPF program of one instruction."""

from __future__ import annotations

import socket
import struct
from array import array

SO_ATTACH_REUSEPORT_CBPF = 51  # Linux, needs no privilege; the socket module does not define it
RETURN = 0x06  # BPF_RET | BPF_K


def route_new_connections(sock: socket.socket, listener_index: int) -> bool:
    """Route new connections to the listener with this index; return False if the kernel refuses.

    Without it, connections in the accept queue of an older process are reset when that process closes its
    listener. If no listener has the index, as after a crash, the kernel distributes new connections as it
    would without the program.
    """
    program = array("B", struct.pack("HBBI", RETURN, 0, 0, listener_index))
    try:
        sock.setsockopt(
            socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, struct.pack("HP", 1, program.buffer_info()[0])
        )
    except OSError:
        return False
    return True
