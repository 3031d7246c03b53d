"""Two events that cross, at members and at the end: the bad order forced each time (docs/crossings.md)."""

from __future__ import annotations

import threading
import unittest
import unittest.mock

from lupintack.core import client_liveness
from lupintack.core.messages import FailOpenRequests
from lupintack.peers import connection, connection_pool, resp
from tests.scenario import Scenario
from tests.site import eventually
from tests.test_client_disconnection import counted, late, links, waits

TILE = "/ops/map-tiles/00000000000000aa"
ACK = "/ops/alert-ack/00000000000000ac"


class MembersCloses(unittest.TestCase):
    """Written there it would count as run: failed for good where the class may not be repeated."""

    def test_a_write_that_crosses_the_members_own_close_of_an_idle_connection(self) -> None:
        self.cross(busy=False)

    def test_a_write_that_crosses_the_end_of_a_connection_on_which_another_is_out(self) -> None:
        self.cross(busy=True)

    def cross(self, busy: bool) -> None:
        play = Scenario()
        play.run(
            f"""
            client a send PUT {ACK} body=one
            cache expect w
            cache send w ok entity=e,issued={{now}} done
            client a expect 200
        """,
            close=False,
        )
        conn = next(conn for link in links(play) for conn in link.pool.connections)
        reached, gate, real = threading.Event(), threading.Event(), resp.Reader.read_more

        def seen_late(reader: resp.Reader) -> None:
            try:
                real(reader)
            except (resp.EndOfStreamError, OSError):
                reached.set()
                gate.wait(10)  # its thread has seen the end, and has not told of it
                raise

        with unittest.mock.patch.object(resp.Reader, "read_more", seen_late):
            # The thread waits in the method as it was: one answer that nobody asked for takes it round.
            play.run("cache send w ok entity=e,issued={now} twice", close=False)
            if busy:
                play.run(f"client b send PUT {ACK} body=out\ncache expect u body=out", close=False)
            play.run("cache close w", close=False)
            assert conn.sock is not None
            sock = conn.sock
            eventually(lambda: client_liveness.has_closed(sock))
            play.run(
                f"""
                client a send PUT {ACK} body=two
                cache expect v body=two
                cache send v ok entity=e,issued={{now}} done
                client a expect 200
            """,
                close=False,
            )
            gate.set()
        if busy:
            play.run("client b expect 502", close=False)
        play.close()
        self.assertEqual(play.node.core.counters["ended.served"], 2)


class Lists(unittest.TestCase):
    def test_an_attempt_that_waits_for_an_address_that_becomes_another_member_s(self) -> None:
        play = Scenario()
        with late() as gate:
            play.run(f"client a send GET {TILE} Req-Wait-Ms:3000", close=False)
            eventually(lambda: waits(play))
            play.run("board expect watch 1", close=False)
            # All caches that it could be at move: whoever has the old addresses now is another.
            line = '{"host":"%s","dial":"127.0.0.1:1","site":"edge","class":"box"}'
            moved = ",".join(line % name for name in ("s-1", "s-2"))
            play.run(f'board send {{"rev":2,"pool":{{"seq":2,"hosts":[{moved}]}}}}', close=False)
            counted(play, "ended.outdated", 1)
            gate.set()
        play.run("cache expect nothing 50\nclient a expect 50?")


class BadAnswers(unittest.TestCase):
    def test_answers_to_no_request_that_go_on_and_on_end_the_connection(self) -> None:
        play = Scenario()
        stray = "*4\\r\\n$16\\r\\n00000000000000ff\\r\\n$2\\r\\nok\\r\\n$1\\r\\n-\\r\\n$1\\r\\nx\\r\\n"
        play.run(
            f"""
            client a send GET {TILE} Req-Wait-Ms:3000
            cache expect w
            cache send w raw {stray * (connection.MAX_UNEXPECTED_ANSWERS + 1)}
            cache expect v
            cache send v ok - good
            client a expect 200 body=good
        """,
            close=False,
        )
        play.close()
        self.assertEqual(play.node.core.counters["member.bad_frame"], 1)

    def test_an_answer_that_drips_on_and_never_ends(self) -> None:
        """Bytes come before each read is given up; only whole answers count as a member that works."""
        play = Scenario()
        over = threading.Event()
        with (
            unittest.mock.patch.object(connection_pool, "HEALTH_CHECK_AFTER_US", 100_000),
            unittest.mock.patch.object(connection_pool, "HEALTH_CHECK_TIMEOUT_US", 100_000),
        ):
            play.run(
                f"""
                client a send GET {TILE} Req-Wait-Ms:4000
                cache expect w
                cache send w raw *4\\r\\n$16\\r\\n{{w}}\\r\\n$2\\r\\nok\\r\\n$1\\r\\n-\\r\\n$240000\\r\\n
            """,
                close=False,
            )
            sock = play.named_attempts["w"][0]

            def drip() -> None:
                try:
                    while not over.wait(0.02):
                        sock.sendall(b"x")
                except OSError:
                    over.set()

            threading.Thread(target=drip, daemon=True).start()
            play.run("cache expect there", close=False)
            counted(play, "member.health_check_failed", 1)
            play.run("cache expect v\ncache send v ok - good\nclient a expect 200 body=good", close=False)
            over.set()
        play.close()


class End(unittest.TestCase):
    def test_a_request_that_is_read_after_open_requests_were_failed(self) -> None:
        play = Scenario()
        play.node.core.enqueue(FailOpenRequests())
        play.run(f"""
            client a send PUT {ACK} body=late
            client a expect 503
            cache expect nothing 50
        """)
