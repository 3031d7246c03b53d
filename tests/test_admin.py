"""The second address: its five calls, and the effect of bans and evacuations on traffic."""

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
from lupintack.standins.net import address_of, listen
from tests.scenario import MessageReader, Scenario
from tests.site import eventually

TILE = "/ops/map-tiles/00000000000000aa"


def test_calls_are_answered_with_status_and_text() -> None:
    Scenario().run(f"""
        operator call GET /api/ready 200 body:ready*
        operator call POST /api/ready 405 allow:GET
        operator call GET /api/exclude?name=s-1 405 allow:POST
        operator call GET /api/nothing 404
        operator call GET / 404
        operator call GET {TILE} 404
        operator call POST /api/exclude 400 body:name=ID*
        operator call POST /api/exclude?name= 400
        operator call POST /api/exclude?name=s-1&name=s-2 400 body:*once*
        operator call POST /api/exclude?nome=s-1 400
        operator call POST /api/exclude?name=%zz 400
        operator call POST /api/exclude?name=%ff 400
        operator call POST /api/exclude?name=s-9 404
        operator call POST /api/include?name=s-9 404
        operator call POST /api/exclude?name=o-1 409 body:*origin*
        operator call POST /api/exclude?name=%73-1 200 body:out*
        operator call POST /api/exclude?name=s-1 200 body:out*already*
        operator call POST /api/include?name=s-1 200 body:back*
        operator call POST /api/include?name=s-1 200 body:was*not*out*
        operator call POST /api/evacuate 200
        operator call POST /api/evacuate 200
        operator call GET /api/ready 503 body:evacua*
        operator call POST /api/rejoin 200
        operator call POST /api/rejoin 200
        operator call GET /api/ready 200
    """)


def test_silent_and_partial_calls_do_not_block_others() -> None:
    scenario = Scenario()
    assert scenario.node.admin is not None
    admin_address = scenario.node.admin.sock.getsockname()
    silent = [socket.create_connection(admin_address) for _ in range(50)]
    for sock in silent[::2]:
        sock.sendall(b"GET /api/re")
    started_s = time.monotonic()
    scenario.run("operator call GET /api/ready 200", close=False)
    assert time.monotonic() - started_s < 1.0
    for sock in silent:
        sock.close()
    scenario.close()


def test_calls_are_answered_while_the_core_is_blocked() -> None:
    scenario = Scenario()
    with scenario.node.core.mailbox.turn_lock:  # a turn that does not return
        scenario.run(
            """
            operator call GET /api/ready 200
            operator call POST /api/exclude?name=s-1 200
            operator call POST /api/include?name=s-1 200
            operator call POST /api/evacuate 200
            operator call POST /api/rejoin 200
            """,
            close=False,
        )
    scenario.close()


def test_ban_applies_at_the_write_and_overrides_the_list() -> None:
    """A request that waits for a connection when its member is banned is not written.

    A list that reports the member ready changes nothing until it is included; then it warms up.
    """
    scenario = Scenario()
    scenario.run(
        """
        discovery expect watch 1
        operator call POST /api/exclude?name=s-1 200
        operator call POST /api/exclude?name=s-1 200
        """,
        close=False,
    )
    banned_id = member_id("s-1")
    for change in ('"Ready"', '"Terminating"', '"Gone"', '"Ready"'):
        rev = scenario.node.discovery.last_revision + 1
        line = "{line s-1 Ready}".replace("Ready", change.strip('"'))
        scenario.run(
            f"""discovery send {{"rev":{rev},"pool":{{"whole":false,"seq":{rev},"hosts":[{line}]}}}}""", False
        )
        eventually(lambda rev=rev: scenario.node.discovery.last_revision == rev)  # type: ignore[misc]
        eventually(lambda: scenario.node.member_table.mailbox.empty())
        assert banned_id in scenario.node.member_table.banned
        endpoint = scenario.node.member_table.usable_endpoints.get(banned_id)
        assert endpoint is None or endpoint.state.name != "READY"
    for n in range(20):
        scenario.run(
            f"""
            client a send GET /ops/map-tiles/{n:016x}
            cache expect w at=s-2
            cache send w ok - one
            client a expect 200 body=one
            """,
            close=False,
        )
    scenario.run("operator call POST /api/include?name=s-1 200", close=False)
    eventually(lambda: scenario.node.core.router.endpoints.by_id.get(banned_id) is not None)
    peer = scenario.node.core.router.endpoints.by_id[banned_id]
    assert (
        peer.is_ready
        and peer.slow_start.started_ms > 0
        and peer.slow_start.factor(peer.slow_start.started_ms)
        == peer.slow_start.config.initial_capacity_share
    )
    scenario.close()


def test_ban_survives_a_restart_and_invalid_stored_bans_do_not_prevent_a_start(tmp_path: Path) -> None:
    scenario = Scenario(tmp=str(tmp_path))
    scenario.run("operator call POST /api/exclude?name=s-2 200")
    scenario = Scenario(tmp=str(tmp_path))
    assert scenario.node.member_table.banned == {member_id("s-2")}
    folder = scenario.node.admin_service.folder
    assert folder is not None
    bans_path = folder.bans_path
    scenario.run("operator call POST /api/include?name=s-2 200")
    assert banned_after_start(tmp_path) == frozenset()
    bans_path.write_bytes(b"")
    assert banned_after_start(tmp_path) == frozenset()


def banned_after_start(tmp_path: Path) -> frozenset[int]:
    """Start and end a node; return the members that it excluded."""
    scenario = Scenario(tmp=str(tmp_path))
    banned = scenario.node.member_table.banned
    scenario.close()
    return banned


def test_unsaved_ban_is_in_force_and_answered_with_500(tmp_path: Path) -> None:
    scenario = Scenario(tmp=str(tmp_path))
    folder = scenario.node.admin_service.folder
    assert folder is not None
    with folder.locked():
        scenario.run("operator call POST /api/exclude?name=s-1 500 body:*not*kept*", close=False)
    assert scenario.node.member_table.banned == {member_id("s-1")}
    scenario.run("operator call POST /api/exclude?name=s-2 200", close=False)
    assert scenario.node.member_table.banned == {member_id("s-1"), member_id("s-2")}, (
        "the first ban is still in force"
    )
    assert set(parse(folder.bans_path.read_bytes()).excluded) == {"s-1", "s-2"}
    with folder.locked():
        scenario.run("operator call POST /api/include?name=s-1 500", close=False)
    scenario.run("operator call POST /api/exclude?name=s-2 200")
    assert set(parse(folder.bans_path.read_bytes()).excluded) == {"s-2"}


def test_evacuation_closes_idle_connections_and_answers_open_requests() -> None:
    scenario = Scenario()
    scenario.run(
        f"""
        client kept send GET /alive
        client kept expect 200
        client used send GET /alive
        client used expect 200
        client half send raw 'GET {TILE} HTT'
        client slow send GET {TILE} Req-Wait-Ms:4000
        cache expect w
        operator call POST /api/evacuate 200
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
    eventually(lambda: not scenario.node.http1.connections)
    eventually(lambda: scenario.node.admin_service.lifecycle.phase.value == "evacuated")
    scenario.run(
        f"""
        operator call POST /api/rejoin 200
        operator call GET /api/ready 200
        client back send GET {TILE}?nth=4
        cache expect w
        cache send w ok - four
        client back expect 200 Connection: body=four
        client back send GET /alive
        client back expect 200
        """
    )


def test_evacuation_and_rejoin_within_a_second() -> None:
    scenario = Scenario()
    for _ in range(3):
        scenario.run(
            """
            operator call POST /api/evacuate 200
            operator call GET /api/ready 503
            operator call POST /api/rejoin 200
            operator call GET /api/ready 200
            """,
            close=False,
        )
    scenario.run("client a send GET /alive\nclient a expect 200 Connection:")


def test_sigterm_while_evacuated_ends_the_process_and_rejoin_is_rejected() -> None:
    Scenario().run("""
        operator call POST /api/evacuate 200
        router send TERM
        wait 50
        operator call POST /api/rejoin 409 body:stopping*
        router expect stopped
    """)


def test_error_answer_is_a_single_line() -> None:
    scenario = Scenario()
    assert scenario.node.admin is not None
    with socket.create_connection(scenario.node.admin.sock.getsockname()) as sock:
        sock.sendall(b"POST /api/exclude?name=s-1%0a HTTP/1.1\r\nHost: x\r\n\r\n")
        status, _, body = MessageReader(sock).read_message()
    assert " 400 " in status and body.count("\n") == 1
    scenario.close()


def exclude_before_write(scenario: Scenario, role: str) -> list[str]:
    """Exclude the member or the source of the next attempt between its decision and its write."""
    excluded: list[str] = []
    is_outdated = scenario.node.member_table.is_outdated

    def exclude_and_check(attempt: Attempt) -> bool:
        if not excluded:
            number = attempt.member if role == "member" else attempt.source
            excluded.append(scenario.node.member_table.usable_endpoints[number].name)
            assert scenario.node.admin_service.exclude(excluded[0]).status == 200
        return is_outdated(attempt)

    scenario.node.member_table.is_outdated = exclude_and_check  # type: ignore[method-assign]
    return excluded


@pytest.mark.parametrize("role", ["member", "source"])
def test_ban_between_decision_and_write_withdraws_the_attempt(role: str) -> None:
    scenario = Scenario()
    excluded = exclude_before_write(scenario, role)
    scenario.run(
        f"""
        client a send GET {TILE}
        cache expect w miss=*
        cache send w ok - one
        client a expect 200 body=one
        """,
        close=False,
    )
    assert (
        excluded
        and scenario.last_attempt_member != excluded[0]
        and scenario.last_attempt_source != excluded[0]
    )
    assert scenario.node.core.counters["ended.outdated"] == 1
    scenario.close()


def test_ban_applies_to_second_attempts_and_to_a_new_address() -> None:
    """An excluded cache that is listed again at another address gets no requests until it is included."""
    scenario = Scenario()
    scenario.run("discovery expect watch 1\noperator call POST /api/exclude?name=s-1 200", close=False)
    scenario.members["s-1 moved"] = listen(scenario.member_server("s-1 moved"))
    moved = json.dumps(scenario.host_entry("s-1", dial=address_of(scenario.members["s-1 moved"])))
    scenario.run(
        f'discovery send {{"rev":2,"pool":{{"whole":false,"seq":2,"hosts":[{moved}]}}}}', close=False
    )
    eventually(
        lambda: scenario.node.discovery.last_revision == 2 and scenario.node.member_table.mailbox.empty()
    )
    for n in range(12):
        scenario.run(
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
        assert not scenario.last_attempt_member.startswith("s-1")
    scenario.run("operator call POST /api/include?name=s-1 200", close=False)
    eventually(lambda: member_id("s-1") in scenario.node.core.router.endpoints.by_id)
    assert (
        scenario.node.core.member_links.endpoints[member_id("s-1")].dial
        == scenario.members["s-1 moved"].getsockname()
    )
    scenario.close()


def test_zone_without_caches_is_reported_and_served_by_the_parents() -> None:
    Scenario().run(f"""
        operator call POST /api/exclude?name=s-1 200 body:out
        operator call POST /api/exclude?name=s-2 200 body:*no*cache*of*its*location*
        client a send GET {TILE}
        cache expect w at=p-*
        cache send w ok - one
        client a expect 200 body=one
        operator call POST /api/include?name=s-2 200 body:back*
        operator call POST /api/exclude?name=p-1 200 body:out
        operator call POST /api/exclude?name=p-2 200 body:*no*parent*
    """)


def test_request_between_a_ban_and_the_turn_that_applies_it_is_served() -> None:
    """A ban applies to writes immediately, but to decisions only in a later turn of the core.

    The result of an attempt that the ban withdrew is therefore deferred until after the ban. Otherwise a
    request would use up its attempts on excluded members.
    """
    scenario = Scenario()
    released, notify = threading.Event(), scenario.node.member_table.notify
    scenario.node.member_table.notify = lambda change: (released.wait(5.0), notify(change))[1]
    scenario.run(
        f"""
        operator call POST /api/exclude?name=s-1 200
        operator call POST /api/exclude?name=s-2 200
        client a send GET {TILE}
        """,
        close=False,
    )
    eventually(
        lambda: (
            scenario.node.core.counters["received.map-tiles"] == 1
            and len(scenario.node.core.results.deferred_results) == 1
        )
    )
    released.set()
    scenario.run("cache expect w at=p-*\ncache send w ok - one\nclient a expect 200 body=one", close=False)
    assert scenario.node.core.counters["ended.outdated"] == 1
    scenario.close()


def test_cache_of_another_kind_counts_as_usable_in_its_zone() -> None:
    scenario = Scenario()
    listed = scenario.node.member_table.listed_endpoints
    listed[member_id("s-2")] = dataclasses.replace(listed[member_id("s-2")], kind=7)
    scenario.run("operator call POST /api/exclude?name=s-1 200 body:out")


def test_excluded_member_can_be_excluded_again_at_the_limit_of_exclusions() -> None:
    scenario = Scenario()
    with unittest.mock.patch.object(admin_service, "MAX_EXCLUDED_MEMBERS", 1):
        scenario.run("""
            operator call POST /api/exclude?name=s-1 200
            operator call POST /api/exclude?name=s-2 507
            operator call POST /api/exclude?name=s-1 200 body:out*already*
        """)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["s-1", "s-2", "p-1"]), st.sampled_from(["exclude", "include", "whole", *MemberState])
    ),
    max_size=30,
)


@given(STEPS)
def test_banned_member_is_never_written_to(steps: list[tuple[str, str | MemberState]]) -> None:
    """Holds for any order of bans and list changes, before and after the member table applies them."""
    member_table, bans = MemberTable(6000.0), Bans()
    other = Endpoint("r-1", ("127.0.0.1", 1))  # always listed and ready
    member_table.apply(ListUpdate(True, (other,)))
    for now, (name, change) in enumerate(steps):
        if isinstance(change, MemberState):
            member_table.update_list(False, (Endpoint(name, ("127.0.0.1", 1), state=change),))
        elif change == "whole":
            member_table.update_list(True, (other, Endpoint(name, ("127.0.0.1", 2))))
        else:
            bans = Bans(dict(bans.excluded), dict(bans.included))
            (bans.exclude if change == "exclude" else bans.include)(name, float(now))
            member_table.set_bans(bans)
        for applied in (False, True):
            while applied and not member_table.mailbox.empty():
                update = member_table.mailbox.get()
                assert update is not None
                member_table.apply(update)
            for excluded in bans.excluded:
                for member, source in ((member_id(excluded), 0), (member_id("r-1"), member_id(excluded))):
                    request = ClientRequest(
                        "1", 0, "a", 1, 0, 0, 0, unittest.mock.Mock(is_disconnected=lambda: False)
                    )
                    other_fields = ("", "", 0, 0.0, False, False, False, 0, 0, member_table.is_outdated)
                    assert member_table.is_outdated(Attempt(request, 0, member, source, *other_fields))
        for number, endpoint in member_table.usable_endpoints.items():
            assert endpoint.state is not MemberState.READY or endpoint.name not in bans.excluded, number


def test_saving_of_a_ban_is_retried(tmp_path: Path) -> None:
    scenario = Scenario(tmp=str(tmp_path))
    folder = scenario.node.admin_service.folder
    assert folder is not None
    with folder.locked():
        scenario.run("operator call POST /api/exclude?name=s-1 500", close=False)
    eventually(
        lambda: folder.bans_path.exists() and set(parse(folder.bans_path.read_bytes()).excluded) == {"s-1"}
    )
    scenario.close()


def test_each_starting_process_gets_a_handoff_after_an_earlier_one_disappeared(tmp_path: Path) -> None:
    scenario = Scenario(tmp=str(tmp_path))
    folder = scenario.node.admin_service.folder
    assert folder is not None
    for pid in (7, 8):
        successor = UpgradePeer(pid, folder.started_ns + pid, "starting")
        with unittest.mock.patch.object(folder, "find_peers", return_value=[successor]):
            scenario.node.admin_service.upgrade.update_peers()
            eventually((folder.path / f"legacy.{pid}").exists)
    scenario.close()


def test_evacuation_closes_a_thousand_idle_connections() -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 8192), hard))
    scenario = Scenario(sockets=4096)
    try:
        http1_address = scenario.node.http1.sock.getsockname()
        idle = []
        for _ in range(1000):  # each sends immediately: a connection without a request is closed after 2 s
            idle.append(socket.create_connection(http1_address))
            idle[-1].sendall(b"GET /alive HTTP/1.1\r\nHost: x\r\n\r\n")
        for sock in idle:
            sock.settimeout(5.0)
            assert b" 200 " in sock.recv(4096)
        started_s = time.monotonic()
        scenario.run("operator call POST /api/evacuate 200", close=False)
        for sock in idle:
            assert not sock.recv(1)
            sock.close()
        assert time.monotonic() - started_s < 4.0  # the load balancer in front allows four seconds
        eventually(lambda: scenario.node.admin_service.lifecycle.phase.value == "evacuated")
    finally:
        scenario.close()
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def test_evacuation_with_pipelined_requests_and_a_slow_reader() -> None:
    """The second of two pipelined requests is not accepted: the first answer closes their connection.

    A slow reader gets its whole answer, long after idle connections were closed.
    """
    scenario = Scenario()
    get = f"GET {TILE} HTTP/1.1\\r\\nHost: x\\r\\nReq-Id: %s\\r\\nReq-Wait-Ms: 3000\\r\\n\\r\\n"
    with unittest.mock.patch.object(resp, "MAX_BODY_BYTES", 9 << 20):
        scenario.run(
            f"""
            client slow send GET {TILE}?nth=7 Req-Wait-Ms:3000
            cache expect s
            cache send s ok - 8000000
            client two send raw '{get % ("0" * 15 + "1")}{get % ("0" * 15 + "2")}'
            cache expect w
            operator call POST /api/evacuate 200
            cache send w ok - one
            client two expect 200 Connection:close body=one
            client two expect closed
            cache expect nothing 50
            wait 1700
            client slow expect 200 body=xxx*
            """
        )
