"""Pauses of the router process in the soak: their lengths, and what arrives during them."""

from __future__ import annotations

import threading
import time
from random import Random
from typing import NamedTuple

from lupintack.standins.edge import ClientRecord, Edge, End, read_answer

ARRIVAL_S = 0.01  # for bytes to pass the proxy and reach the kernel
LENGTHS_S = (0.06, 0.15, 0.3, 1.0, 2.5)
LAST_BYTES_S = (0.01, 0.03, 0.06, 0.2)  # from the last bytes of discovery to the end of the pause
BETWEEN_S = (0.002, 0.03)  # between two pauses in a row
CLIENTS_IN_PAUSE = 12


class PausePlan(NamedTuple):
    """One pause, or two in a row."""

    length_s: float
    last_bytes_s: float
    is_double: bool
    between_s: float


def draw_pause(random: Random) -> PausePlan:
    """Return a random pause."""
    length_s = random.choice(LENGTHS_S)
    last_bytes_s = min(random.choice(LAST_BYTES_S), length_s / 2)
    return PausePlan(length_s, last_bytes_s, random.random() < 0.3, random.choice(BETWEEN_S))


def heartbeat(edge: Edge) -> None:
    """Send the last revision, so that recent bytes follow the unread ones."""
    server = edge.fleet.discovery_server
    with server.lock:
        server.send(b"%d\n" % server.rev)
    time.sleep(ARRIVAL_S)


class PipelinedRequests:
    """Two pipelined requests on one connection, both unread during the pause."""

    def __init__(self, edge: Edge, wait_ms: int) -> None:
        self.edge = edge
        self.wait_ms = wait_ms
        self.sock = edge.connect()
        self.records: list[ClientRecord] = []
        if self.sock is not None:
            edge.send_request(self.sock, wait_ms=wait_ms)

    def send_one(self) -> None:
        """Write the next request."""
        if self.sock is None:
            return
        record = self.edge.new_record("map-tiles", self.wait_ms)
        self.records.append(record)
        head = f"GET /ops/map-tiles/{record.item} HTTP/1.1\r\nHost: x\r\nReq-Id: {record.wire_id}\r\n"
        record.sent_s = time.monotonic()
        try:
            self.sock.sendall(f"{head}Req-Wait-Ms: {self.wait_ms}\r\n\r\n".encode())
        except OSError:
            record.end = End.CROSSED  # the connection was idle before
            record.ended_s = time.monotonic()

    def read_answers(self) -> threading.Thread:
        """Read the answers on a new thread, which is returned."""
        thread = threading.Thread(target=self._read, daemon=True)
        thread.start()
        return thread

    def _read(self) -> None:
        is_reusable = True
        for record in self.records:
            if record.end is not End.OPEN:
                continue
            try:
                if self.sock is None or not is_reusable:
                    raise EOFError  # the previous answer closed the connection
                record.status, is_reusable = read_answer(self.sock)
                record.answers, record.end = 1, End.ANSWERED
            except (OSError, EOFError):
                record.end = End.CROSSED
            record.ended_s = time.monotonic()
        if self.sock is not None:
            self.sock.close()
