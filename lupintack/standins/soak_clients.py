"""Clients of the soak that send writes, and clients that disconnect before their answer."""

from __future__ import annotations

import time
from random import Random

from lupintack.standins.edge import Edge

GAP_S = 0.05
MAX_STAY_S = 0.06  # before a client disconnects


def write_requests(edge: Edge, wait_ms: int) -> None:
    """Send writes until the end of the run, each for another object."""
    while not edge.stopping.is_set():
        sock = edge.connect()
        if sock is not None:
            edge.send_request(sock, cls="alert-ack", wait_ms=wait_ms)
            sock.close()
        time.sleep(GAP_S)


def leave_early(edge: Edge, wait_ms: int, seed: int) -> None:
    """Send requests and disconnect before the answer, until the end of the run."""
    random = Random(seed)
    while not edge.stopping.is_set():
        sock = edge.connect()
        if sock is not None:
            edge.send_and_disconnect(sock, wait_ms, random.uniform(0.0, MAX_STAY_S))
        time.sleep(GAP_S)
