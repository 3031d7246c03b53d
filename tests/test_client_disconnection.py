"""Client disconnections: nothing more is sent for the request, and they are noticed while it waits.

Each test forces the order of events by a gate, at a connect or in a handler. `delayed_connects` delays the
connects to members, `settings` makes a deployment with changed limits.
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
from lupintack.fronts.cdni.delivery import ContentGroup, Delivery
from lupintack.peers.connection import Connection
from lupintack.peers.peer import Peer
from lupintack.standins.deployment import SETTINGS
from tests.app import App
from tests.scenario import Scenario
from tests.site import ACK, Site, eventually, site

TILE = "/ops/map-tiles/00000000000000aa"


def settings(**limits: object) -> dict[str, Any]:
    merged = copy.deepcopy(SETTINGS)
    merged["limits"] |= limits
    return merged


@contextmanager
def delayed_connects() -> Iterator[threading.Event]:
    """Delay connects to members until the event is set."""
    gate, real = threading.Event(), Connection.connect

    def connect(conn: Connection) -> AttemptStatus | None:
        gate.wait(10)
        return real(conn)

    with unittest.mock.patch.object(Connection, "connect", connect):
        try:
            yield gate
        finally:
            gate.set()


def wait_for_count(scenario: Scenario | Site, name: str, times: int) -> None:
    """Wait until a counter has the value `times`."""
    eventually(lambda: scenario.node.core.counters[name] == times)


def links(scenario: Scenario | Site) -> list[Peer]:
    return [link for _, link in scenario.node.core.member_links.open_links.values() if isinstance(link, Peer)]


def has_waiting_attempts(scenario: Scenario | Site) -> bool:
    """Return whether an attempt waits for a connection."""
    return any(link.waiting_attempts for link in links(scenario))


def all_connected(scenario: Scenario) -> bool:
    """Return whether every connection is established, and no attempt waits for one."""
    return all(
        conn.is_connected for link in links(scenario) for conn in link.pool.connections
    ) and not has_waiting_attempts(scenario)


class WaitingAttemptTest(unittest.TestCase):
    """An attempt that waits for a connection is not written once its client has disconnected."""

    def assert_not_sent(self, scenario: Scenario, line: str, disconnect: Callable[[], None]) -> None:
        with delayed_connects() as gate:
            scenario.run(line, close=False)
            eventually(lambda: has_waiting_attempts(scenario))
            disconnect()
            wait_for_count(scenario, "disconnected", 1)
            gate.set()
            eventually(lambda: all_connected(scenario))
        scenario.run("cache expect nothing 50")
        self.assertEqual(scenario.node.core.counters["ended.outdated"], 1)

    def test_request_is_not_sent_for_any_class_with_and_without_cancelling(self) -> None:
        """Guards against withdrawing attempts only if they are safe to repeat and cancelling is allowed."""
        for cancelling in (True, False):
            for line in (f"client a send GET {TILE}", f"client a send PUT {ACK} body=seen"):
                with self.subTest(line=line, cancelling=cancelling):
                    scenario = Scenario(settings=settings(cancelling=cancelling))
                    self.assert_not_sent(scenario, line, partial(scenario.run, "client a close", close=False))

    def test_reset_counts_as_disconnection(self) -> None:
        scenario = Scenario()

        def reset() -> None:
            sock = scenario.clients.pop("a").sock
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()

        self.assert_not_sent(scenario, f"client a send PUT {ACK} body=seen", reset)

    def test_shutdown_of_writing_counts_as_disconnection(self) -> None:
        scenario = Scenario()

        def shut_down_writing() -> None:
            scenario.clients["a"].sock.shutdown(socket.SHUT_WR)

        self.assert_not_sent(scenario, f"client a send PUT {ACK} body=seen", shut_down_writing)

    def test_http2_stream_reset_and_connection_close_count_as_disconnection(self) -> None:
        for ends_connection in (False, True):
            with self.subTest(connection=ends_connection), site() as running_site, delayed_connects() as gate:
                app = running_site.app()
                stream = app.send_request("PUT", ACK, b"seen")
                eventually(partial(has_waiting_attempts, running_site))
                if ends_connection:
                    app.close()
                else:
                    app.reset(stream)
                wait_for_count(running_site, "disconnected", 1)
                gate.set()
                wait_for_count(running_site, "ended.outdated", 1)
                self.assertEqual(running_site.member_requests("alert-ack"), 0)


class DelayedTurnTest(unittest.TestCase):
    """The core's turn is delayed: requests of clients that left in the meantime are not sent."""

    def test_request_is_not_sent_if_the_client_disconnects_before_its_turn(self) -> None:
        scenario = Scenario()
        core = scenario.node.core
        with core.mailbox.turn_lock:
            scenario.run(f"client a send PUT {ACK} body=seen", close=False)
            eventually(lambda: len(core.mailbox.messages) == 1)
            scenario.run("client a close", close=False)
            eventually(lambda: len(core.mailbox.messages) == 2)
        core.mailbox.wake_event.set()
        eventually(lambda: core.counters["disconnected"] == 1)
        scenario.run("cache expect nothing 50")
        self.assertEqual((core.counters["sent.alert-ack"], core.requests_in_flight), (0, {}))

    def test_no_further_attempt_if_the_client_disconnects_while_a_result_is_queued(self) -> None:
        """No further attempt is sent, although the disconnection is queued behind the attempt's result."""
        scenario = Scenario()
        core = scenario.node.core
        scenario.run(f"client a send GET {TILE}\ncache expect w", close=False)
        with core.mailbox.turn_lock:
            scenario.run("cache send w nothing tell=s", close=False)
            eventually(lambda: len(core.mailbox.messages) == 1)
            # As the front's thread sets it, before its message is in the mailbox.
            next(iter(core.requests_in_flight.values())).request.is_disconnected = True
        core.mailbox.wake_event.set()
        eventually(lambda: core.counters["ended.miss"] == 1)
        scenario.run("cache expect nothing 50", close=False)
        scenario.run("client a close", close=False)
        eventually(lambda: not core.requests_in_flight)
        scenario.close()
        self.assertEqual(core.counters["sent.map-tiles"], 1)


class DetectionTest(unittest.TestCase):
    """A disconnection is noticed even while the client's bytes are not read."""

    def test_disconnection_behind_unread_bytes_is_noticed(self) -> None:
        for size in (10, 30_000):
            with self.subTest(bytes=size):
                scenario = Scenario()
                scenario.run(
                    f"""
                    client a send GET {TILE}
                    cache expect w
                    client a send raw {"x" * size}
                """,
                    close=False,
                )
                conn = next(iter(scenario.node.http1.connections))
                eventually(partial(bool, conn.buffer))
                scenario.run("client a close\ncache expect never_mind w")

    def test_disconnection_after_the_router_stopped_reading_is_noticed(self) -> None:
        scenario = Scenario()
        scenario.run(
            f"""
            client a send GET {TILE}
            cache expect w
            cache send w ok - one
            client a expect 200
        """,
            close=False,
        )
        gate, real = threading.Event(), http1_messages.parse_head

        def delayed(raw: bytes, bodyless: bool = False) -> Any:
            gate.wait(5)
            return real(raw, bodyless)

        with unittest.mock.patch.object(http1_connection, "parse_head", delayed):
            scenario.run(f"client a send GET {TILE}?nth=1\nrouter send TERM", close=False)
            eventually(lambda: all(conn.reading_ended for conn in scenario.node.http1.connections))
            gate.set()
            scenario.run("""
                cache expect v chunk=1
                client a close
                cache expect never_mind v
                router expect stopped
            """)

    def test_reset_while_cdni_metadata_is_fetched_is_noticed(self) -> None:
        """CDNI on HTTP/2 handles a stream in its own thread, which checks for a reset before it sends."""
        gate, reached = threading.Event(), threading.Event()

        def delayed(self: Delivery, content: Content, url: str, client_ip: str) -> ContentGroup:
            reached.set()
            gate.wait(5)
            return ContentGroup(content.host.group)

        with (
            unittest.mock.patch.object(Delivery, "resolve_group", delayed),
            site(cdni_listen="127.0.0.1:0") as running_site,
        ):
            app = App(running_site.node.http2[1].sock.getsockname())
            running_site.apps.append(app)
            stream = app.send_request("GET", "/content/own/maps/1.png")
            assert reached.wait(5)
            app.reset(stream)
            wait_for_count(running_site, "http2.reset", 1)
            gate.set()
            wait_for_count(running_site, "cdni.left", 1)
            self.assertEqual(
                (running_site.count("received.map-tiles"), running_site.member_requests("map-tiles")), (0, 0)
            )
