"""The second address: the five calls, and what a ban and an evacuation do to traffic."""

from __future__ import annotations

import dataclasses
import json
import resource
import socket
import threading
import time
import unittest.mock
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lupintack import admin_service
from lupintack.core.member_table import MemberTable
from lupintack.core.messages import Attempt, ClientRequest
from lupintack.core.table_updates import Endpoint, ListUpdate, member_id
from lupintack.interface import MemberState
from lupintack.lifecycle.bans import Bans, parse
from lupintack.lifecycle.upgrade_peer import UpgradePeer
from lupintack.peers import resp
from lupintack.standins.net import at, listen
from tests.scenario import MessageReader, Scenario
from tests.site import eventually

TILE = "/ops/map-tiles/00000000000000aa"


def test_each_call_has_its_answer() -> None:
    Scenario().run(f"""
        staff call GET /api/ready 200 body:ready*
        staff call POST /api/ready 405 allow:GET
        staff call GET /api/exclude?name=s-1 405 allow:POST
        staff call GET /api/nothing 404
        staff call GET / 404
        staff call GET {TILE} 404
        staff call POST /api/exclude 400 body:name=ID*
        staff call POST /api/exclude?name= 400
        staff call POST /api/exclude?name=s-1&name=s-2 400 body:*once*
        staff call POST /api/exclude?nome=s-1 400
        staff call POST /api/exclude?name=%zz 400
        staff call POST /api/exclude?name=%ff 400
        staff call POST /api/exclude?name=s-9 404
        staff call POST /api/include?name=s-9 404
        staff call POST /api/exclude?name=o-1 409 body:*origin*
        staff call POST /api/exclude?name=%73-1 200 body:out*
        staff call POST /api/exclude?name=s-1 200 body:out*already*
        staff call POST /api/include?name=s-1 200 body:back*
        staff call POST /api/include?name=s-1 200 body:was*not*out*
        staff call POST /api/evacuate 200
        staff call POST /api/evacuate 200
        staff call GET /api/ready 503 body:evacua*
        staff call POST /api/rejoin 200
        staff call POST /api/rejoin 200
        staff call GET /api/ready 200
    """)


def test_silent_and_partial_calls_block_nothing() -> None:
    play = Scenario()
    assert play.node.admin is not None
    where = play.node.admin.sock.getsockname()
    silent = [socket.create_connection(where) for _ in range(50)]
    for one in silent[::2]:
        one.sendall(b"GET /api/re")
    began = time.monotonic()
    play.run("staff call GET /api/ready 200", close=False)
    assert time.monotonic() - began < 1.0
    for one in silent:
        one.close()
    play.close()


def test_answers_do_not_wait_for_the_core() -> None:
    play = Scenario()
    with play.node.core.mailbox.turn_lock:  # a turn that does not end
        play.run(
            """
            staff call GET /api/ready 200
            staff call POST /api/exclude?name=s-1 200
            staff call POST /api/include?name=s-1 200
            staff call POST /api/evacuate 200
            staff call POST /api/rejoin 200
            """,
            close=False,
        )
    play.close()


def test_a_ban_binds_at_the_write_and_overrides_the_list() -> None:
    """What waits for a connect when the ban comes is not written, and a list that calls it ready changes
    nothing until the call back, after which it is cold.
    """
    play = Scenario()
    play.run(
        """
        board expect watch 1
        staff call POST /api/exclude?name=s-1 200
        staff call POST /api/exclude?name=s-1 200
        """,
        close=False,
    )
    one = member_id("s-1")
    for change in ('"Ready"', '"Terminating"', '"Gone"', '"Ready"'):
        rev = play.node.discovery.last_revision + 1
        line = "{line s-1 Ready}".replace("Ready", change.strip('"'))
        play.run(
            f"""board send {{"rev":{rev},"pool":{{"whole":false,"seq":{rev},"hosts":[{line}]}}}}""", False
        )
        eventually(lambda rev=rev: play.node.discovery.last_revision == rev)  # type: ignore[misc]
        eventually(lambda: play.node.member_table.mailbox.empty())
        assert one in play.node.member_table.banned
        host = play.node.member_table.usable_endpoints.get(one)
        assert host is None or host.state.name != "READY"
    for n in range(20):
        play.run(
            f"""
            client a send GET /ops/map-tiles/{n:016x}
            cache expect w at=s-2
            cache send w ok - one
            client a expect 200 body=one
            """,
            close=False,
        )
    play.run("staff call POST /api/include?name=s-1 200", close=False)
    eventually(lambda: play.node.core.router.endpoints.by_id.get(one) is not None)
    peer = play.node.core.router.endpoints.by_id[one]
    assert (
        peer.is_ready
        and peer.slow_start.started_ms > 0
        and peer.slow_start.factor(peer.slow_start.started_ms)
        == peer.slow_start.config.initial_capacity_share
    )
    play.close()


def test_a_ban_survives_a_restart_and_foreign_state_does_not_stop_a_start(tmp_path: Path) -> None:
    play = Scenario(tmp=str(tmp_path))
    play.run("staff call POST /api/exclude?name=s-2 200")
    play = Scenario(tmp=str(tmp_path))
    assert play.node.member_table.banned == {member_id("s-2")}
    folder = play.node.admin_service.folder
    assert folder is not None
    bans = folder.bans_path
    play.run("staff call POST /api/include?name=s-2 200")
    assert found_at_a_start(tmp_path) == frozenset()
    bans.write_bytes(b"")
    assert found_at_a_start(tmp_path) == frozenset()


def found_at_a_start(tmp_path: Path) -> frozenset[int]:
    play = Scenario(tmp=str(tmp_path))
    found = play.node.member_table.banned
    play.close()
    return found


def test_a_ban_that_can_t_be_saved_is_in_force_and_answered_with_500(tmp_path: Path) -> None:
    play = Scenario(tmp=str(tmp_path))
    folder = play.node.admin_service.folder
    assert folder is not None
    with folder.locked():
        play.run("staff call POST /api/exclude?name=s-1 500 body:*not*kept*", close=False)
    assert play.node.member_table.banned == {member_id("s-1")}
    play.run("staff call POST /api/exclude?name=s-2 200", close=False)
    assert play.node.member_table.banned == {member_id("s-1"), member_id("s-2")}, "the first one still holds"
    assert set(parse(folder.bans_path.read_bytes()).excluded) == {"s-1", "s-2"}
    with folder.locked():
        play.run("staff call POST /api/include?name=s-1 500", close=False)
    play.run("staff call POST /api/exclude?name=s-2 200")
    assert set(parse(folder.bans_path.read_bytes()).excluded) == {"s-2"}


def test_evacuate_ends_kept_connections_and_answers_what_is_open() -> None:
    play = Scenario()
    play.run(
        f"""
        client kept send GET /alive
        client kept expect 200
        client used send GET /alive
        client used expect 200
        client half send raw 'GET {TILE} HTT'
        client slow send GET {TILE} Req-Wait-Ms:4000
        cache expect w
        staff call POST /api/evacuate 200
        client used send GET {TILE}?nth=2
        cache expect v
        cache send v ok - two
        client used expect 200 Connection:close body=two
        client new send GET {TILE}?nth=3
        cache expect u
        cache send u ok - three
        client new expect 200 Connection:close body=three
        client kept expect closed
        client half expect 408
        cache send w ok - one
        client slow expect 200 Connection:close body=one
        """,
        close=False,
    )
    eventually(lambda: not play.node.http1.connections)
    eventually(lambda: play.node.admin_service.lifecycle.phase.value == "evacuated")
    play.run(
        f"""
        staff call POST /api/rejoin 200
        staff call GET /api/ready 200
        client back send GET {TILE}?nth=4
        cache expect w
        cache send w ok - four
        client back expect 200 Connection: body=four
        client back send GET /alive
        client back expect 200
        """
    )


def test_evacuate_and_rejoin_within_a_second() -> None:
    play = Scenario()
    for _ in range(3):
        play.run(
            """
            staff call POST /api/evacuate 200
            staff call GET /api/ready 503
            staff call POST /api/rejoin 200
            staff call GET /api/ready 200
            """,
            close=False,
        )
    play.run("client a send GET /alive\nclient a expect 200 Connection:")


def test_term_while_evacuated_ends_and_rejoin_is_refused() -> None:
    Scenario().run("""
        staff call POST /api/evacuate 200
        router send TERM
        wait 50
        staff call POST /api/rejoin 409 body:stopping*
        router expect stopped
    """)


def test_lines_are_one_line() -> None:
    play = Scenario()
    assert play.node.admin is not None
    with socket.create_connection(play.node.admin.sock.getsockname()) as sock:
        sock.sendall(b"POST /api/exclude?name=s-1%0a HTTP/1.1\r\nHost: x\r\n\r\n")
        status, _, body = MessageReader(sock).read_message()
    assert " 400 " in status and body.count("\n") == 1
    play.close()


def excluded_at_the_write(play: Scenario, whose: str) -> list[str]:
    """Take out the member, or the source, of the next attempt between its decision and its write."""
    out: list[str] = []
    stale = play.node.member_table.is_outdated

    def asked(attempt: Attempt) -> bool:
        if not out:
            number = attempt.member if whose == "member" else attempt.source
            out.append(play.node.member_table.usable_endpoints[number].name)
            assert play.node.admin_service.exclude(out[0]).status == 200
        return stale(attempt)

    play.node.member_table.is_outdated = asked  # type: ignore[method-assign]
    return out


@pytest.mark.parametrize("whose", ["member", "source"])
def test_a_ban_between_decision_and_write_withdraws_the_attempt(whose: str) -> None:
    play = Scenario()
    out = excluded_at_the_write(play, whose)
    play.run(
        f"""
        client a send GET {TILE}
        cache expect w miss=*
        cache send w ok - one
        client a expect 200 body=one
        """,
        close=False,
    )
    assert out and play.last_attempt_member != out[0] and play.last_attempt_source != out[0]
    assert play.node.core.counters["ended.outdated"] == 1
    play.close()


def test_a_ban_holds_for_second_attempts_and_a_new_address() -> None:
    """A cache is out, and comes again on the list at another address: nothing reaches it until the call."""
    play = Scenario()
    play.run("board expect watch 1\nstaff call POST /api/exclude?name=s-1 200", close=False)
    play.members["s-1 moved"] = listen(play.member_server("s-1 moved"))
    moved = json.dumps(play.host_entry("s-1", dial=at(play.members["s-1 moved"])))
    play.run(f'board send {{"rev":2,"pool":{{"whole":false,"seq":2,"hosts":[{moved}]}}}}', close=False)
    eventually(lambda: play.node.discovery.last_revision == 2 and play.node.member_table.mailbox.empty())
    for n in range(12):
        play.run(
            f"""
            client a send GET /ops/map-tiles/{n:016x}
            cache expect w at=s-2
            cache send w error tell=h
            cache expect v at=*
            cache send v ok - one
            client a expect 200
            """,
            close=False,
        )
        assert not play.last_attempt_member.startswith("s-1")
    play.run("staff call POST /api/include?name=s-1 200", close=False)
    eventually(lambda: member_id("s-1") in play.node.core.router.endpoints.by_id)
    assert (
        play.node.core.member_links.endpoints[member_id("s-1")].dial
        == play.members["s-1 moved"].getsockname()
    )
    play.close()


def test_a_zone_without_caches_gives_a_warning_and_is_served_by_the_parents() -> None:
    Scenario().run(f"""
        staff call POST /api/exclude?name=s-1 200 body:out
        staff call POST /api/exclude?name=s-2 200 body:*no*cache*of*its*location*
        client a send GET {TILE}
        cache expect w at=p-*
        cache send w ok - one
        client a expect 200 body=one
        staff call POST /api/include?name=s-2 200 body:back*
        staff call POST /api/exclude?name=p-1 200 body:out
        staff call POST /api/exclude?name=p-2 200 body:*no*parent*
    """)


def test_a_request_between_a_ban_and_the_turn_that_applies_it_is_served() -> None:
    """The write knows a ban at once, the module when its turn comes: it is told the end of an attempt that
    the ban held back after the ban itself, and does not spend its tries on members that are out.
    """
    play = Scenario()
    told, notify = threading.Event(), play.node.member_table.notify
    play.node.member_table.notify = lambda change: (told.wait(5.0), notify(change))[1]
    play.run(
        f"""
        staff call POST /api/exclude?name=s-1 200
        staff call POST /api/exclude?name=s-2 200
        client a send GET {TILE}
        """,
        close=False,
    )
    eventually(
        lambda: (
            play.node.core.counters["received.map-tiles"] == 1
            and len(play.node.core.results.deferred_results) == 1
        )
    )
    told.set()
    play.run("cache expect w at=p-*\ncache send w ok - one\nclient a expect 200 body=one", close=False)
    assert play.node.core.counters["ended.outdated"] == 1
    play.close()


def test_a_cache_of_another_kind_is_one_of_the_location_still() -> None:
    play = Scenario()
    hosts = play.node.member_table.listed_endpoints
    hosts[member_id("s-2")] = dataclasses.replace(hosts[member_id("s-2")], kind=7)
    play.run("staff call POST /api/exclude?name=s-1 200 body:out")


def test_at_the_bound_of_exclusions_an_excluded_member_may_be_excluded_again() -> None:
    play = Scenario()
    with unittest.mock.patch.object(admin_service, "MAX_EXCLUDED_MEMBERS", 1):
        play.run("""
            staff call POST /api/exclude?name=s-1 200
            staff call POST /api/exclude?name=s-2 507
            staff call POST /api/exclude?name=s-1 200 body:out*already*
        """)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["s-1", "s-2", "p-1"]), st.sampled_from(["exclude", "include", "whole", *MemberState])
    ),
    max_size=30,
)


@given(STEPS)
def test_a_banned_member_is_never_written_to(steps: list[tuple[str, str | MemberState]]) -> None:
    """Whatever is said and told in whatever order: before the member table knows it, and after."""
    member_table, bans = MemberTable(6000.0), Bans()
    other = Endpoint("r-1", ("127.0.0.1", 1))  # always there, and ready
    member_table.apply(ListUpdate(True, (other,)))
    for now, (name, what) in enumerate(steps):
        if isinstance(what, MemberState):
            member_table.update_list(False, (Endpoint(name, ("127.0.0.1", 1), state=what),))
        elif what == "whole":
            member_table.update_list(True, (other, Endpoint(name, ("127.0.0.1", 2))))
        else:
            bans = Bans(dict(bans.excluded), dict(bans.included))
            (bans.exclude if what == "exclude" else bans.include)(name, float(now))
            member_table.set_bans(bans)
        for applied in (False, True):
            while applied and not member_table.mailbox.empty():
                news = member_table.mailbox.get()
                assert news is not None
                member_table.apply(news)
            for one in bans.excluded:
                for member, source in ((member_id(one), 0), (member_id("r-1"), member_id(one))):
                    ask = ClientRequest(
                        "1", 0, "a", 1, 0, 0, 0, unittest.mock.Mock(is_disconnected=lambda: False)
                    )
                    how = ("", "", 0, 0.0, False, False, False, 0, 0, member_table.is_outdated)
                    assert member_table.is_outdated(Attempt(ask, 0, member, source, *how))
        for number, host in member_table.usable_endpoints.items():
            assert host.state is not MemberState.READY or host.name not in bans.excluded, number


def test_a_ban_that_could_not_be_saved_is_retried(tmp_path: Path) -> None:
    play = Scenario(tmp=str(tmp_path))
    folder = play.node.admin_service.folder
    assert folder is not None
    with folder.locked():
        play.run("staff call POST /api/exclude?name=s-1 500", close=False)
    eventually(
        lambda: folder.bans_path.exists() and set(parse(folder.bans_path.read_bytes()).excluded) == {"s-1"}
    )
    play.close()


def test_each_process_that_starts_gets_a_handoff_whatever_became_of_the_one_before(tmp_path: Path) -> None:
    play = Scenario(tmp=str(tmp_path))
    folder = play.node.admin_service.folder
    assert folder is not None
    for pid in (7, 8):
        heir = UpgradePeer(pid, folder.started_ns + pid, "starting")
        with unittest.mock.patch.object(folder, "find_peers", return_value=[heir]):
            play.node.admin_service.upgrade.update_peers()
            eventually((folder.path / f"legacy.{pid}").exists)
    play.close()


def test_evacuate_with_a_thousand_kept_connections() -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 8192), hard))
    play = Scenario(sockets=4096)
    try:
        where = play.node.http1.sock.getsockname()
        kept = []
        for _ in range(1000):  # each asks at once: one that said nothing for 2 s would be ended
            kept.append(socket.create_connection(where))
            kept[-1].sendall(b"GET /alive HTTP/1.1\r\nHost: x\r\n\r\n")
        for sock in kept:
            sock.settimeout(5.0)
            assert b" 200 " in sock.recv(4096)
        began = time.monotonic()
        play.run("staff call POST /api/evacuate 200", close=False)
        for sock in kept:
            assert not sock.recv(1)
            sock.close()
        assert time.monotonic() - began < 4.0  # of the front's four seconds
        eventually(lambda: play.node.admin_service.lifecycle.phase.value == "evacuated")
    finally:
        play.close()
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def test_evacuate_with_pipelined_requests_and_a_slow_reader() -> None:
    """The second of two requests sent at once is not taken: its connection has ended with the first answer.
    A reader that takes its time gets all of its answer, long after idle connections were ended.
    """
    play = Scenario()
    get = f"GET {TILE} HTTP/1.1\\r\\nHost: x\\r\\nReq-Id: %s\\r\\nReq-Wait-Ms: 3000\\r\\n\\r\\n"
    with unittest.mock.patch.object(resp, "MAX_BODY_BYTES", 9 << 20):
        play.run(
            f"""
            client slow send GET {TILE}?nth=7 Req-Wait-Ms:3000
            cache expect s
            cache send s ok - 8000000
            client two send raw '{get % ("0" * 15 + "1")}{get % ("0" * 15 + "2")}'
            cache expect w
            staff call POST /api/evacuate 200
            cache send w ok - one
            client two expect 200 Connection:close body=one
            client two expect closed
            cache expect nothing 50
            wait 1700
            client slow expect 200 body=xxx*
            """
        )
