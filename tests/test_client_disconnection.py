"""A client that has gone: nothing more is sent for it, and it is noticed while its request waits.

Each test forces the order by a gate: a connection that comes up only when it is let, a handler that goes on
only then. `late` holds connects to members back, `settings` words a deployment that may or may not cancel.
"""

from __future__ import annotations

import copy
import socket
import struct
import threading
import unittest
import unittest.mock
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from typing import Any

from lupintack.core.attempt_status import AttemptStatus
from lupintack.fronts import http1_connection, http1_messages
from lupintack.fronts.cdni.conf import Content
from lupintack.fronts.cdni.delivery import Delivery
from lupintack.peers.connection import Connection
from lupintack.peers.peer import Peer
from lupintack.standins.deployment import SETTINGS
from tests.app import App
from tests.scenario import Scenario
from tests.site import ACK, Site, eventually, site

TILE = "/ops/map-tiles/00000000000000aa"


def settings(**limits: object) -> dict[str, Any]:
    made = copy.deepcopy(SETTINGS)
    made["limits"] |= limits
    return made


@contextmanager
def late() -> Iterator[threading.Event]:
    """Connections to members come up when the event is set."""
    gate, real = threading.Event(), Connection.connect

    def connect(conn: Connection) -> AttemptStatus | None:
        gate.wait(10)
        return real(conn)

    with unittest.mock.patch.object(Connection, "connect", connect):
        try:
            yield gate
        finally:
            gate.set()


def counted(play: Scenario | Site, name: str, times: int) -> None:
    """Wait until something was counted so often."""
    eventually(lambda: play.node.core.counters[name] == times)


def links(play: Scenario | Site) -> list[Peer]:
    return [link for _, link in play.node.core.member_links.open_links.values() if isinstance(link, Peer)]


def waits(play: Scenario | Site) -> bool:
    """Whether an attempt waits for a connection."""
    return any(link.waiting_attempts for link in links(play))


def up(play: Scenario) -> bool:
    """Whether every connection has come up, and nothing waits for one."""
    return all(conn.is_connected for link in links(play) for conn in link.pool.connections) and not waits(
        play
    )


class Waiting(unittest.TestCase):
    """A request that waits for a connection to a member is not written once its client has left."""

    def leave(self, play: Scenario, line: str, leave: Callable[[], None]) -> None:
        with late() as gate:
            play.run(line, close=False)
            eventually(lambda: waits(play))
            leave()
            counted(play, "disconnected", 1)
            gate.set()
            eventually(lambda: up(play))
        play.run("cache expect nothing 50")
        self.assertEqual(play.node.core.counters["ended.outdated"], 1)

    def test_whatever_its_class_and_whether_attempts_may_be_cancelled(self) -> None:
        """Only what is safe to repeat was withdrawn, and only where the settings allow cancelling."""
        for cancelling in (True, False):
            for line in (f"client a send GET {TILE}", f"client a send PUT {ACK} body=seen"):
                with self.subTest(line=line, cancelling=cancelling):
                    play = Scenario(settings=settings(cancelling=cancelling))
                    self.leave(play, line, partial(play.run, "client a close", close=False))

    def test_a_reset_counts_as_a_close(self) -> None:
        play = Scenario()

        def reset() -> None:
            sock = play.clients.pop("a").sock
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()

        self.leave(play, f"client a send PUT {ACK} body=seen", reset)

    def test_a_client_that_shuts_down_its_writing_counts_as_disconnected(self) -> None:
        play = Scenario()

        def half() -> None:
            play.clients["a"].sock.shutdown(socket.SHUT_WR)

        self.leave(play, f"client a send PUT {ACK} body=seen", half)

    def test_a_stream_that_is_reset_and_one_whose_connection_ends(self) -> None:
        for whole in (False, True):
            with self.subTest(connection=whole), site() as play, late() as gate:
                app = play.app()
                stream = app.ask("PUT", ACK, b"seen")
                eventually(partial(waits, play))
                if whole:
                    app.close()
                else:
                    app.reset(stream)
                counted(play, "disconnected", 1)
                gate.set()
                counted(play, "ended.outdated", 1)
                self.assertEqual(play.member_requests("alert-ack"), 0)


class Turn(unittest.TestCase):
    """The turn comes late: what left meanwhile is not begun."""

    def test_a_client_that_disconnects_before_the_turn_that_accepts_its_request(self) -> None:
        play = Scenario()
        core = play.node.core
        with core.mailbox.turn_lock:
            play.run(f"client a send PUT {ACK} body=seen", close=False)
            eventually(lambda: len(core.mailbox.messages) == 1)
            play.run("client a close", close=False)
            eventually(lambda: len(core.mailbox.messages) == 2)
        core.mailbox.wake_event.set()
        eventually(lambda: core.counters["disconnected"] == 1)
        play.run("cache expect nothing 50")
        self.assertEqual((core.counters["sent.alert-ack"], core.requests_in_flight), (0, {}))

    def test_a_client_that_disconnects_while_an_attempt_result_is_in_the_mailbox(self) -> None:
        """No further attempt, though its turn does not know yet why not: the word comes behind the end."""
        play = Scenario()
        core = play.node.core
        play.run(f"client a send GET {TILE}\ncache expect w", close=False)
        with core.mailbox.turn_lock:
            play.run("cache send w nothing tell=s", close=False)
            eventually(lambda: len(core.mailbox.messages) == 1)
            # As the front's thread sets it, before its word is in the mailbox.
            next(iter(core.requests_in_flight.values())).request.is_disconnected = True
        core.mailbox.wake_event.set()
        eventually(lambda: core.counters["ended.miss"] == 1)
        play.run("cache expect nothing 50", close=False)
        play.run("client a close", close=False)
        eventually(lambda: not core.requests_in_flight)
        play.close()
        self.assertEqual(core.counters["sent.map-tiles"], 1)


class Noticed(unittest.TestCase):
    """A client's end shows also where its bytes are not read."""

    def test_behind_bytes_that_are_not_taken_while_a_request_is_open(self) -> None:
        for much in (10, 30_000):
            with self.subTest(bytes=much):
                play = Scenario()
                play.run(
                    f"""
                    client a send GET {TILE}
                    cache expect w
                    client a send raw {"x" * much}
                """,
                    close=False,
                )
                conn = next(iter(play.node.http1.connections))
                eventually(partial(bool, conn.buffer))
                play.run("client a close\ncache expect never_mind w")

    def test_of_a_request_that_crossed_our_end_of_the_reading(self) -> None:
        play = Scenario()
        play.run(
            f"""
            client a send GET {TILE}
            cache expect w
            cache send w ok - one
            client a expect 200
        """,
            close=False,
        )
        gate, real = threading.Event(), http1_messages.parse_head

        def slow(raw: bytes, bodyless: bool = False) -> Any:
            gate.wait(5)
            return real(raw, bodyless)

        with unittest.mock.patch.object(http1_connection, "parse_head", slow):
            play.run(f"client a send GET {TILE}?nth=1\nrouter send TERM", close=False)
            eventually(lambda: all(conn.reading_ended for conn in play.node.http1.connections))
            gate.set()
            play.run("""
                cache expect v chunk=1
                client a close
                cache expect never_mind v
                router expect stopped
            """)

    def test_while_the_metadata_of_its_content_was_fetched(self) -> None:
        """CDNI on HTTP/2 handles a stream on a thread of its own, which looks once more before it sends."""
        gate, reached = threading.Event(), threading.Event()

        def slow(self: Delivery, content: Content, url: str, client_ip: str) -> int:
            reached.set()
            gate.wait(5)
            return content.group

        with unittest.mock.patch.object(Delivery, "group", slow), site(cdni_listen="127.0.0.1:0") as play:
            app = App(play.node.http2[1].sock.getsockname())
            play.apps.append(app)
            stream = app.ask("GET", "/content/own/maps/1.png")
            assert reached.wait(5)
            app.reset(stream)
            counted(play, "http2.reset", 1)
            gate.set()
            counted(play, "cdni.left", 1)
            self.assertEqual((play.count("received.map-tiles"), play.member_requests("map-tiles")), (0, 0))
