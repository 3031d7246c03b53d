"""Closes that cross what the other side sends: an answer is whole, and no request is taken and then dropped.

Each test forces the order by a gate at the point where two events can cross (docs/crossings.md).
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


def only(play: Scenario) -> http1_connection.Http1Connection:
    """The one connection that a client holds."""
    return next(iter(play.node.http1.connections))


def rest(sock: socket.socket) -> bytes:
    """All that still comes; ConnectionResetError where the other side's close was over unread bytes."""
    found = b""
    while data := sock.recv(65536):
        found += data
    return found


@contextmanager
def before(where: Any, name: str) -> Iterator[tuple[threading.Event, threading.Event]]:
    """A call that says when it is reached, and goes on when it is let."""
    reached, gate, real = threading.Event(), threading.Event(), getattr(where, name)

    def held(*args: Any, **more: Any) -> Any:
        reached.set()
        gate.wait(10)
        return real(*args, **more)

    with unittest.mock.patch.object(where, name, held):
        try:
            yield reached, gate
        finally:
            gate.set()


class Pipelined(unittest.TestCase):
    def test_a_request_that_came_with_the_one_before_is_served_however_long_that_one_takes(self) -> None:
        """Its thread waited for more bytes while the request lay in the buffer, and then dropped it."""
        looks: list[int] = []
        real = http1_connection.Http1Exchange.is_disconnected

        def gone(exchange: http1_connection.Http1Exchange) -> bool:
            looks.append(1)
            return real(exchange)

        play = Scenario()
        head = "GET {}?nth={} HTTP/1.1\\r\\nHost:x\\r\\nReq-Id:00000000000000a{}\\r\\n"
        both = "".join(head.format(TILE, n, n) + "Req-Wait-Ms:2000\\r\\n\\r\\n" for n in (1, 2))
        with unittest.mock.patch.object(http1_connection.Http1Exchange, "is_disconnected", gone):
            play.run(f"client a send raw '{both}'\ncache expect w chunk=1", close=False)
            eventually(lambda: len(looks) > 3)
            play.run("""
                cache send w ok - one
                client a expect 200 body=one
                cache expect v chunk=2
                cache send v ok - two
                client a expect 200 body=two
            """)


class Last(unittest.TestCase):
    """The last answer of a connection arrives whole, whatever else the client has sent."""

    def test_an_answer_that_ends_the_connection_with_bytes_unread_behind_its_request(self) -> None:
        play = Scenario()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)  # most of the answer waits at the router
        sock.connect(play.node.http1.sock.getsockname())
        play.clients["a"] = MessageReader(sock)
        play.run(
            f"""
            client a send GET {TILE} Connection:close
            cache expect w
            client a send raw {"x" * 40_000}
            cache send w ok - 200000
        """,
            close=False,
        )
        conn = only(play)
        # Its thread has come to the end of it: it has closed, or reads on until the answer has arrived.
        eventually(lambda: conn.sock.fileno() < 0 or getattr(conn, "is_closing", False))
        found = rest(sock)
        self.assertEqual(len(found.partition(b"\r\n\r\n")[2]), 200_000)
        eventually(lambda: not play.node.http1.connections)
        play.close()


class Crossing(unittest.TestCase):
    """A request that crosses the end of a resting connection meets an end of the stream, not a reset."""

    def cross(self, play: Scenario, end: str) -> None:
        play.run(
            f"""
            client a send GET {TILE}
            cache expect w
            cache send w ok - one
            client a expect 200
        """,
            close=False,
        )
        conn = only(play)
        with before(http1_connection.Http1Connection, "end") as (reached, gate):
            if end == "idle":
                conn.expire()
            else:
                play.run("router send TERM", close=False)
            assert reached.wait(5)
            play.run(f"client a send GET {TILE}?nth=1", close=False)
            gate.set()
            self.assertEqual(rest(play.clients["a"].sock), b"")  # the client sends it again elsewhere
        if end == "term":
            play.run("router expect stopped", close=False)
        play.run("cache expect nothing 50")
        self.assertEqual(play.node.core.counters["received.map-tiles"], 1)

    def test_of_one_that_was_idle_for_long(self) -> None:
        self.cross(Scenario(), "idle")

    def test_of_one_that_rested_until_the_router_ended(self) -> None:
        self.cross(Scenario(), "term")


class Accepting(unittest.TestCase):
    def test_a_connection_that_the_accepting_thread_comes_to_after_the_reading_was_ended(self) -> None:
        """The thread was held up, by a full table or a busy machine: its client has written its request."""
        play = Scenario()
        with before(play.node.http1, "close_overdue") as (reached, gate):
            assert reached.wait(5)
            play.run(f"client a send GET {TILE}", close=False)
            done = threading.Event()
            real = play.node.http1.stop_reading

            def ended() -> None:
                real()
                done.set()

            play.node.http1.stop_reading = ended  # type: ignore[method-assign]
            play.run("router send TERM", close=False)
            assert done.wait(5)
            play.stop_thread.join(0.3)
            self.assertTrue(play.stop_thread.is_alive())
            gate.set()
            play.run("""
                cache expect w
                cache send w ok - one
                client a expect 200 Connection:close body=one
                router expect stopped
            """)
