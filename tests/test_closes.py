"""Connection closes that race with data from the peer: answers are complete, and accepted requests are kept.

Each test forces the order of two racing events by a gate at the point of the race (docs/crossings.md).
"""

from __future__ import annotations

import socket
import threading
import unittest
import unittest.mock
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from lupintack.fronts import http1_connection
from tests.scenario import MessageReader, Scenario
from tests.site import eventually

TILE = "/ops/map-tiles/00000000000000aa"


def only_connection(scenario: Scenario) -> http1_connection.Http1Connection:
    """Return the only open client connection."""
    return next(iter(scenario.node.http1.connections))


def read_to_end(sock: socket.socket) -> bytes:
    """Read to the end of the stream; raise ConnectionResetError if the peer closed with unread bytes."""
    received = b""
    while data := sock.recv(65536):
        received += data
    return received


@contextmanager
def paused_before(owner: Any, name: str) -> Iterator[tuple[threading.Event, threading.Event]]:
    """Pause calls of a function: yields the event that it was reached and the event that lets it continue."""
    reached, gate, real = threading.Event(), threading.Event(), getattr(owner, name)

    def paused_call(*args: Any, **more: Any) -> Any:
        reached.set()
        gate.wait(10)
        return real(*args, **more)

    with unittest.mock.patch.object(owner, name, paused_call):
        try:
            yield reached, gate
        finally:
            gate.set()


class PipelinedRequestTest(unittest.TestCase):
    def test_pipelined_request_is_served_after_a_slow_first_request(self) -> None:
        """Guards against the connection's thread waiting for more bytes with a request in its buffer."""
        checks: list[int] = []
        real = http1_connection.Http1Exchange.is_disconnected

        def count_check(exchange: http1_connection.Http1Exchange) -> bool:
            checks.append(1)
            return real(exchange)

        scenario = Scenario()
        head = "GET {}?nth={} HTTP/1.1\\r\\nHost:x\\r\\nReq-Id:00000000000000a{}\\r\\n"
        requests = "".join(head.format(TILE, n, n) + "Req-Wait-Ms:2000\\r\\n\\r\\n" for n in (1, 2))
        with unittest.mock.patch.object(http1_connection.Http1Exchange, "is_disconnected", count_check):
            scenario.run(f"client a send raw '{requests}'\ncache expect w chunk=1", close=False)
            eventually(lambda: len(checks) > 3)
            scenario.run("""
                cache send w ok - one
                client a expect 200 body=one
                cache expect v chunk=2
                cache send v ok - two
                client a expect 200 body=two
            """)


class LastAnswerTest(unittest.TestCase):
    """The last answer on a connection arrives completely, even if the client has sent more bytes."""

    def test_final_answer_is_complete_although_request_bytes_are_unread(self) -> None:
        scenario = Scenario()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)  # most of the answer waits in the router
        sock.connect(scenario.node.http1.sock.getsockname())
        scenario.clients["a"] = MessageReader(sock)
        scenario.run(
            f"""
            client a send GET {TILE} Connection:close
            cache expect w
            client a send raw {"x" * 40_000}
            cache send w ok - 200000
        """,
            close=False,
        )
        conn = only_connection(scenario)
        # The thread has sent the answer: it has closed, or reads on until the answer is acknowledged.
        eventually(lambda: conn.sock.fileno() < 0 or getattr(conn, "is_closing", False))
        received = read_to_end(sock)
        self.assertEqual(len(received.partition(b"\r\n\r\n")[2]), 200_000)
        eventually(lambda: not scenario.node.http1.connections)
        scenario.close()


class IdleConnectionCloseTest(unittest.TestCase):
    """A request that races with the close of an idle connection meets an end of stream, not a reset."""

    def send_during_close(self, scenario: Scenario, cause: str) -> None:
        scenario.run(
            f"""
            client a send GET {TILE}
            cache expect w
            cache send w ok - one
            client a expect 200
        """,
            close=False,
        )
        conn = only_connection(scenario)
        with paused_before(http1_connection.Http1Connection, "end") as (reached, gate):
            if cause == "idle":
                conn.expire()
            else:
                scenario.run("router send TERM", close=False)
            assert reached.wait(5)
            scenario.run(f"client a send GET {TILE}?nth=1", close=False)
            gate.set()
            self.assertEqual(read_to_end(scenario.clients["a"].sock), b"")  # so it may retry elsewhere
        if cause == "term":
            scenario.run("router expect stopped", close=False)
        scenario.run("cache expect nothing 50")
        self.assertEqual(scenario.node.core.counters["received.map-tiles"], 1)

    def test_request_racing_with_idle_timeout_gets_end_of_stream(self) -> None:
        self.send_during_close(Scenario(), "idle")

    def test_request_racing_with_shutdown_gets_end_of_stream(self) -> None:
        self.send_during_close(Scenario(), "term")


class LateAcceptTest(unittest.TestCase):
    def test_connection_accepted_after_reading_stopped_is_served(self) -> None:
        """A full table or a busy machine may delay the accept until the client has written its request."""
        scenario = Scenario()
        with paused_before(scenario.node.http1, "close_overdue") as (reached, gate):
            assert reached.wait(5)
            scenario.run(f"client a send GET {TILE}", close=False)
            reading_stopped = threading.Event()
            real = scenario.node.http1.stop_reading

            def stop_reading() -> None:
                real()
                reading_stopped.set()

            scenario.node.http1.stop_reading = stop_reading  # type: ignore[method-assign]
            scenario.run("router send TERM", close=False)
            assert reading_stopped.wait(5)
            scenario.stop_thread.join(0.3)
            self.assertTrue(scenario.stop_thread.is_alive())
            gate.set()
            scenario.run("""
                cache expect w
                cache send w ok - one
                client a expect 200 Connection:close body=one
                router expect stopped
            """)
