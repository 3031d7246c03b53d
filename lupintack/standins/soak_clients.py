"""Clients of the soak that do more than ask again and again: some write, some leave before their answer."""

from __future__ import annotations

import time
from random import Random

from lupintack.standins.edge import Edge

GAP_S = 0.05
MAX_STAY_S = 0.06  # of a client that leaves early


def write_requests(edge: Edge, wait_ms: int) -> None:
    """Write until the run is over, each thing once."""
    while not edge.over.is_set():
        sock = edge.connect()
        if sock is not None:
            edge.send_request(sock, cls="alert-ack", wait_ms=wait_ms)
            sock.close()
        time.sleep(GAP_S)


def leave_early(edge: Edge, wait_ms: int, seed: int) -> None:
    """Ask and go before the answer, until the run is over."""
    random = Random(seed)
    while not edge.over.is_set():
        sock = edge.connect()
        if sock is not None:
            edge.send_and_disconnect(sock, wait_ms, random.uniform(0.0, MAX_STAY_S))
        time.sleep(GAP_S)
