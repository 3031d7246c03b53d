"""Races of two events at members and at shutdown; each test forces the bad order (docs/crossings.md)."""

from __future__ import annotations

import threading
import unittest
import unittest.mock

from lupintack.core import client_liveness
from lupintack.core.messages import FailOpenRequests
from lupintack.peers import connection, connection_pool, resp
from tests.scenario import Scenario
from tests.site import eventually
from tests.test_client_disconnection import delayed_connects, has_waiting_attempts, links, wait_for_count

TILE = "/ops/map-tiles/00000000000000aa"
ACK = "/ops/alert-ack/00000000000000ac"


class MemberCloseTest(unittest.TestCase):
    """A write to a closed connection would count as executed, and fail if the class may not be retried."""

    def test_write_racing_with_member_close_of_idle_connection_is_sent_on_another(self) -> None:
        self.write_during_close(has_open_attempt=False)

    def test_write_racing_with_close_of_connection_with_open_attempt_is_sent_on_another(self) -> None:
        self.write_during_close(has_open_attempt=True)

    def write_during_close(self, has_open_attempt: bool) -> None:
        scenario = Scenario()
        scenario.run(
            f"""
            client a send PUT {ACK} body=one
            cache expect w
            cache send w ok entity=e,issued={{now}} done
            client a expect 200
        """,
            close=False,
        )
        conn = next(conn for link in links(scenario) for conn in link.pool.connections)
        reached, gate, real = threading.Event(), threading.Event(), resp.Reader.read_more

        def delayed_read(reader: resp.Reader) -> None:
            try:
                real(reader)
            except (resp.EndOfStreamError, OSError):
                reached.set()
                gate.wait(10)  # the thread has read the end of stream, and has not reported it
                raise

        with unittest.mock.patch.object(resp.Reader, "read_more", delayed_read):
            # The thread waits in the unpatched method: an unexpected answer makes it call the patched one.
            scenario.run("cache send w ok entity=e,issued={now} twice", close=False)
            if has_open_attempt:
                scenario.run(f"client b send PUT {ACK} body=out\ncache expect u body=out", close=False)
            scenario.run("cache close w", close=False)
            assert conn.sock is not None
            sock = conn.sock
            eventually(lambda: client_liveness.has_closed(sock))
            scenario.run(
                f"""
                client a send PUT {ACK} body=two
                cache expect v body=two
                cache send v ok entity=e,issued={{now}} done
                client a expect 200
            """,
                close=False,
            )
            gate.set()
        if has_open_attempt:
            scenario.run("client b expect 502", close=False)
        scenario.close()
        self.assertEqual(scenario.node.core.counters["ended.served"], 2)


class ListChangeTest(unittest.TestCase):
    def test_waiting_attempt_is_not_sent_to_an_address_reassigned_to_another_member(self) -> None:
        scenario = Scenario()
        with delayed_connects() as gate:
            scenario.run(f"client a send GET {TILE} Req-Wait-Ms:3000", close=False)
            eventually(lambda: has_waiting_attempts(scenario))
            scenario.run("discovery expect watch 1", close=False)
            # All caches for the attempt change their address: the old ones belong to other members.
            line = '{"host":"%s","dial":"127.0.0.1:1","site":"edge","class":"box"}'
            moved = ",".join(line % name for name in ("s-1", "s-2"))
            scenario.run(f'discovery send {{"rev":2,"pool":{{"seq":2,"hosts":[{moved}]}}}}', close=False)
            wait_for_count(scenario, "ended.outdated", 1)
            gate.set()
        scenario.run("cache expect nothing 50\nclient a expect 50?")


class BadAnswerTest(unittest.TestCase):
    def test_too_many_unexpected_answers_close_the_connection(self) -> None:
        scenario = Scenario()
        unexpected = "*4\\r\\n$16\\r\\n00000000000000ff\\r\\n$2\\r\\nok\\r\\n$1\\r\\n-\\r\\n$1\\r\\nx\\r\\n"
        scenario.run(
            f"""
            client a send GET {TILE} Req-Wait-Ms:3000
            cache expect w
            cache send w raw {unexpected * (connection.MAX_UNEXPECTED_ANSWERS + 1)}
            cache expect v
            cache send v ok - good
            client a expect 200 body=good
        """,
            close=False,
        )
        scenario.close()
        self.assertEqual(scenario.node.core.counters["member.bad_frame"], 1)

    def test_answer_that_never_completes_fails_the_health_check(self) -> None:
        """Bytes arrive before each read times out; only complete answers prove that the member works."""
        scenario = Scenario()
        stopped = threading.Event()
        with (
            unittest.mock.patch.object(connection_pool, "HEALTH_CHECK_AFTER_US", 100_000),
            unittest.mock.patch.object(connection_pool, "HEALTH_CHECK_TIMEOUT_US", 100_000),
        ):
            scenario.run(
                f"""
                client a send GET {TILE} Req-Wait-Ms:4000
                cache expect w
                cache send w raw *4\\r\\n$16\\r\\n{{w}}\\r\\n$2\\r\\nok\\r\\n$1\\r\\n-\\r\\n$240000\\r\\n
            """,
                close=False,
            )
            sock = scenario.named_attempts["w"][0]

            def send_slowly() -> None:
                try:
                    while not stopped.wait(0.02):
                        sock.sendall(b"x")
                except OSError:
                    stopped.set()

            threading.Thread(target=send_slowly, daemon=True).start()
            scenario.run("cache expect there", close=False)
            wait_for_count(scenario, "member.health_check_failed", 1)
            scenario.run("cache expect v\ncache send v ok - good\nclient a expect 200 body=good", close=False)
            stopped.set()
        scenario.close()


class ShutdownTest(unittest.TestCase):
    def test_request_read_after_open_requests_were_failed_is_rejected(self) -> None:
        scenario = Scenario()
        scenario.node.core.enqueue(FailOpenRequests())
        scenario.run(f"""
            client a send PUT {ACK} body=late
            client a expect 503
            cache expect nothing 50
        """)
