"""Tests of slow clients: slow reads, split requests, silent connections, and disconnections."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Iterator

import pytest

from lupintack.standins.fleet import SIZES, Terms, content
from tests.site import Site, eventually, site

SIZE = 240_000
READ_BYTES_PER_S = 1_000_000
VIDEO = "/ops/river-video/{:016x}"


@pytest.fixture
def testbed() -> Iterator[Site]:
    with site(Terms(sizes={**SIZES, "river-video": SIZE})) as running_site:
        yield running_site


def request(number: int, path: str, wait_ms: int = 300) -> bytes:
    head = f"GET {path} HTTP/1.1\r\nHost: x\r\nReq-Id: {number:016x}\r\nReq-Wait-Ms: {wait_ms}\r\n\r\n"
    return head.encode()


def read_slowly(sock: socket.socket) -> bytes:
    """Read a whole answer at READ_BYTES_PER_S; this takes about as long as the client's wait."""
    sock.settimeout(5.0)
    data, started = b"", time.monotonic()
    while True:
        head, separator, body = data.partition(b"\r\n\r\n")
        if separator:
            length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            if len(body) >= length:
                return body
        received = sock.recv(8192)
        assert received, f"cut off after {len(data)} bytes"
        data += received
        time.sleep(max(0.0, started + len(data) / READ_BYTES_PER_S - time.monotonic()))


def test_slow_readers_get_whole_answers_and_delay_no_other_client(testbed: Site) -> None:
    """Thirty clients read for 0.24 s and more, with a wait of 0.3 s; meanwhile a fast client is answered
    without delay, and no thread is left afterwards.
    """
    threads_before = threading.active_count()
    results: list[bool] = []

    def slow(number: int) -> None:
        with socket.create_connection(testbed.http1) as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
            sock.sendall(request(number + 1, VIDEO.format(number)))
            results.append(read_slowly(sock) == content(f"{number:016x}", "0", SIZE))

    threads = [threading.Thread(target=slow, args=(n,)) for n in range(30)]
    for thread in threads:
        thread.start()
    with socket.create_connection(testbed.http1) as quick:
        for n in range(10):
            quick.sendall(request(1000 + n, f"/ops/map-tiles/{1000 + n:016x}", 2500))
            assert len(read_slowly(quick)) == SIZES["map-tiles"]
    for thread in threads:
        thread.join()
    assert results == [True] * 30
    eventually(lambda: not testbed.node.http1.connections)
    # Connections to members stay open for a while.
    eventually(lambda: threading.active_count() <= threads_before + 24)


@pytest.mark.parametrize("step", [1, 7])
def test_request_split_at_any_byte_is_served(testbed: Site, step: int) -> None:
    raw = request(1, VIDEO.format(5), 3000)
    with socket.create_connection(testbed.http1) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for offset in range(0, len(raw), step):
            sock.sendall(raw[offset : offset + step])
        assert read_slowly(sock) == content(f"{5:016x}", "0", SIZE)


def test_clients_that_disconnect_during_an_answer_leak_nothing(testbed: Site) -> None:
    for n in range(20):
        sock = socket.create_connection(testbed.http1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        sock.sendall(request(n + 1, VIDEO.format(n), 3000))
        if n % 2:
            sock.recv(100)
        sock.close()
    eventually(lambda: not testbed.node.http1.connections)
    eventually(lambda: not testbed.node.core.requests_in_flight)


def test_silent_connections_are_closed_and_released(testbed: Site) -> None:
    silent = [socket.create_connection(testbed.http1) for _ in range(10)]
    for sock in silent[::2]:
        sock.sendall(request(7, VIDEO.format(1))[:40])
    for sock in silent:
        sock.settimeout(5.0)
        while sock.recv(4096):
            pass
        sock.close()
    eventually(lambda: not testbed.node.http1.connections)
