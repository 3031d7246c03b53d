"""The operators' requirements of 2026-12-02, with a test for each; those on system calls are in
test_system_calls.py.

The budget of a server in slow start is tested in test_ramp.py and test_fleet.py, attempts for disconnected
clients in test_client_disconnection.py, closes of connections with unread data in test_closes.py and
test_crossings.py.
"""

from __future__ import annotations

import itertools
import json
import os
import signal
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import IO

import pytest

from lupintack import operator
from lupintack.config import parse
from lupintack.core.ban_keeper import BanKeeper
from lupintack.core.member_table import MemberTable
from lupintack.fronts.cdni import conf as cdni_conf
from lupintack.lifecycle.bans import Bans
from lupintack.lifecycle.folder import BANS_COPY_FILE, BANS_FILE, Folder, read_ban_files
from lupintack.node import Node
from lupintack.standins.edge import ClientRecord, Edge, End, read_answer
from lupintack.standins.fleet import Fleet
from lupintack.standins.net import free_ports
from lupintack.standins.processes import call as call_admin
from lupintack.standins.proxy import Fault
from tests.site import CDNI

SLACK_S = 0.15  # of a deadline that is passed on
STEPS_S = (30.0, 3600.0, -30.0, -3600.0)


def head(number: int, wait_ms: int) -> str:
    """Return a request's head without the final empty line."""
    lines = f"GET /ops/map-tiles/{number:016x} HTTP/1.1\r\nHost: x\r\nReq-Id: {number:016x}\r\n"
    return f"{lines}Req-Wait-Ms: {wait_ms}\r\n"


# The deadline passed to a server is at most the client's remaining time


def test_pipelined_request_passes_on_at_most_remaining_time(edge: Edge) -> None:
    """Guards against a deadline that counts from the read, after the response to the previous request."""
    edge.fleet.terms.delay_s = lambda name, cls: 0.6
    edge.start()
    edge.ready()
    sock = edge.connect()
    assert sock is not None
    sent: dict[str, float] = {}
    for number in range(3):
        wire_id = f"{number + 1:016x}"
        sent[wire_id] = time.monotonic()
        sock.sendall(f"{head(number + 1, 2500)}\r\n".encode())
        time.sleep(0.1)
    statuses = [read_answer(sock)[0] for _ in sent]
    assert statuses == [200, 200, 200]
    for call in edge.calls:
        left_s = sent[call.wire_id] + 2.5 - call.at_s
        assert int(call.fields["limit"]) / 1000 <= left_s + SLACK_S, (call, left_s)


def test_many_pipelined_requests_in_one_write_pass_on_at_most_remaining_time(edge: Edge) -> None:
    """The requests are sent in one write, which is larger than one read."""
    edge.fleet.terms.delay_s = lambda name, cls: 0.1
    edge.start()
    edge.ready()
    sock = edge.connect()
    assert sock is not None
    count, padding = 12, "X-Padding: " + "x" * 3000
    heads = [head(n, 2500) + f"{padding}\r\n\r\n" for n in range(1, count + 1)]
    began = time.monotonic()
    sock.sendall("".join(heads).encode())
    for _ in range(count):
        read_answer(sock)
    assert len(edge.calls) >= count
    for call in edge.calls:
        assert int(call.fields["limit"]) / 1000 <= began + 2.5 - call.at_s + SLACK_S


# Steps of the wall clock


@pytest.mark.parametrize("step_s", STEPS_S)
def test_wall_clock_step_loses_no_response_and_no_purge(edge: Edge, step_s: float) -> None:
    """Guards against +30 s making a recent purge appear settled, and -3,600 s discarding every response."""
    edge.start()
    edge.ready()
    edge.load(6, gap_s=0.01, items=5)
    time.sleep(0.5)
    edge.set_fault_plan(step_s=step_s)
    time.sleep(0.3)
    edge.fleet.discovery_server.purge(asset=f"{1:016x}")
    published_s = time.monotonic()
    time.sleep(1.0)
    requests = edge.stop()
    assert {request.end for request in requests} == {End.ANSWERED}
    assert all(request.status == 200 for request in requests), edge.log()[-2000:]
    later_calls = [
        call for call in edge.calls if call.fields["item"] == f"{1:016x}" and call.at_s > published_s + 0.35
    ]
    assert later_calls, "the purged object was requested again"
    for call in later_calls:
        assert int(call.fields["within"]) / 1000 <= call.at_s - published_s + 0.05, call


@pytest.mark.parametrize("step_s", STEPS_S)
def test_wrong_wall_clock_at_start_loses_no_response_and_no_purge(edge: Edge, step_s: float) -> None:
    edge.set_fault_plan(step_s=step_s)
    edge.start()
    edge.ready()
    edge.load(6, gap_s=0.01, items=5)
    time.sleep(0.5)
    edge.fleet.discovery_server.purge(asset=f"{1:016x}")
    published_s = time.monotonic()
    time.sleep(0.8)
    requests = edge.stop()
    assert {request.end for request in requests} == {End.ANSWERED}
    served = sum(request.status == 200 for request in requests)
    assert served > 0.97 * len(requests), (served, len(requests), edge.log()[-2000:])
    later_calls = [
        call for call in edge.calls if call.fields["item"] == f"{1:016x}" and call.at_s > published_s + 0.35
    ]
    assert later_calls and all(
        int(call.fields["within"]) / 1000 <= call.at_s - published_s + 0.05 for call in later_calls
    )


# A process that is paused


def run_while_stopped(edge: Edge, action: Callable[[], None]) -> None:
    """Stop the process for a while, and run `action` meanwhile."""
    edge.signal(signal.SIGSTOP)
    action()
    time.sleep(0.4)
    edge.signal(signal.SIGCONT)


def test_client_disconnected_before_its_request_is_read_gets_no_attempt(edge: Edge) -> None:
    """Guards against attempts for clients that disconnected before their request was read.

    On an overloaded machine the first requests after a start were read some 0.4 s late, and only the thread
    that waits for the client detected the disconnect.
    """
    edge.start()
    edge.ready()
    time.sleep(0.3)
    for _ in range(5):
        sock = edge.connect()
        assert sock is not None
        edge.calls.clear()
        run_while_stopped(edge, lambda sock=sock: edge.send_and_disconnect(sock, 1200, 0.0))  # type: ignore[misc]
        time.sleep(0.3)
        assert not edge.calls


def test_request_read_late_passes_on_at_most_remaining_time(edge: Edge) -> None:
    edge.start()
    edge.ready()
    time.sleep(0.3)
    sock = edge.connect()
    assert sock is not None
    edge.calls.clear()
    record = ClientRecord("9b1f03aa5c7e2d41", "map-tiles", "00000000000000aa", 1200)
    head = f"GET /ops/map-tiles/{record.item} HTTP/1.1\r\nHost: x\r\nReq-Id: {record.wire_id}\r\n"
    run_while_stopped(edge, lambda: sock.sendall(f"{head}Req-Wait-Ms: 1200\r\n\r\n".encode()))
    until = time.monotonic() + 3.0
    while not edge.calls:
        assert time.monotonic() < until
        time.sleep(0.01)
    sock.close()
    assert int(edge.calls[0].fields["limit"]) <= 1200 - 400 + 150


# A folder that survives crashes


def test_bans_truncated_at_any_byte_apply_at_next_start(tmp_path: Path) -> None:
    """Guards against a truncated `bans.json` that starts the router without any ban."""
    folder = Folder(str(tmp_path), "n0", "127.0.0.1:1")
    for excluded in ({"s-1": 1.0}, {"s-1": 1.0, "p-1": 2.0}):
        with folder.locked():
            folder.write_bans(Bans(dict(excluded)).dump())
    content = (folder.path / BANS_FILE).read_bytes()
    results = set()
    for name, length in itertools.product((BANS_FILE, BANS_COPY_FILE), range(len(content) + 1)):
        (folder.path / name).write_bytes(content[:length])
        results.add(tuple(sorted(parse_bans(read_ban_files(folder.path)).excluded)))
        (folder.path / name).write_bytes(content)
    assert results == {("p-1", "s-1")}
    folder.close()


def parse_bans(texts: list[bytes]) -> Bans:
    """Return the bans as the process reads them."""
    bans = BanKeeper(MemberTable(6000.0)).first_valid(texts)
    assert bans is not None
    return bans


def test_write_killed_between_any_two_steps_leaves_a_valid_state(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    folder = Folder(str(tmp_path), "n0", "127.0.0.1:1")
    folder.write_bans(Bans({"s-1": 1.0}).dump())
    for step in range(6):
        completed = itertools.count()

        def fail_at_step(function: object, completed: Iterator[int] = completed, step: int = step) -> object:
            def call(*args: object, **options: object) -> object:
                if next(completed) >= step:
                    raise KeyboardInterrupt  # like a kill: nothing is cleaned up
                return function(*args, **options)  # type: ignore[operator]

            return call

        with monkeypatch.context() as patch:
            patch.setattr(os, "fsync", fail_at_step(os.fsync))
            patch.setattr(os, "replace", fail_at_step(os.replace))
            try:
                folder.write_bans(Bans({"s-1": 1.0, "p-1": 2.0}).dump())
            except KeyboardInterrupt:
                pass
        assert "s-1" in parse_bans(read_ban_files(folder.path)).excluded
    folder.close()


class HalfWritten:
    """A file whose writer is killed in the middle of its first write."""

    def __init__(self, file: IO[bytes]) -> None:
        self.file = file

    def __enter__(self) -> HalfWritten:
        return self

    def __exit__(self, *error: object) -> None:
        self.file.close()

    def write(self, text: bytes) -> None:
        self.file.write(text[: len(text) // 2])
        self.file.flush()
        raise KeyboardInterrupt


@pytest.mark.parametrize("file_index", [0, 1])
def test_write_killed_halfway_leaves_a_valid_state(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, file_index: int
) -> None:
    """Tests each of the two files. Guards against bans lost with a file that is written in place."""
    folder = Folder(str(tmp_path), "n0", "127.0.0.1:1")
    folder.write_bans(Bans({"s-1": 1.0}).dump())
    completed = itertools.count()

    def open_half_written(path: Path, mode: str = "r") -> object:
        file = open(path, mode)
        return HalfWritten(file) if "w" in mode and next(completed) == file_index else file

    with monkeypatch.context() as patch:
        patch.setattr("lupintack.lifecycle.folder.open", open_half_written, raising=False)
        with pytest.raises(KeyboardInterrupt):
            folder.write_bans(Bans({"s-1": 1.0, "p-1": 2.0}).dump())
    assert "s-1" in parse_bans(read_ban_files(folder.path)).excluded
    folder.close()


# SIGTERM, SIGHUP and SIGKILL while a start waits for the list


def test_sigterm_during_start_exits_immediately_without_accepting_connections(edge: Edge) -> None:
    edge.proxy.fault = Fault.DELAYED
    edge.start()
    until = time.monotonic() + 5.0
    while edge.call_admin("/api/ready")[0] != 503:
        assert time.monotonic() < until, edge.log()
        time.sleep(0.02)
    assert edge.call_admin("/api/ready")[1] == "starting; list not proved by discovery"
    assert edge.connect() is None, "the kernel must not accept connections for it"
    began = time.monotonic()
    edge.signal(signal.SIGTERM)
    assert edge.process is not None and edge.process.wait(5) == 0
    assert time.monotonic() - began < 1.0
    assert "stopped before it served" in edge.log()


def test_no_front_accepts_connections_before_list_is_current() -> None:
    """HTTP/1.1, HTTP/2 and CDNI over both refuse connections, so no request is lost; the admin address
    answers.
    """
    fleet = Fleet()
    fleet.discovery_server.sends_revision_on_watch = False
    http2 = {"enabled": True, "listen": "127.0.0.1:0", "cdni_listen": "127.0.0.1:0"}
    operator_settings = operator.parse({"http2": http2}, "operator.toml")
    conf = parse(fleet.configuration() | {"admin_addr": "127.0.0.1:0"}, {})
    node = Node(conf, cdni_conf.parse(CDNI, "cdni.toml", conf.names.classes), operator_settings)
    try:
        node.begin()
        assert len(node.servers) == 4 and node.admin is not None
        for server in node.servers:
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection(server.sock.getsockname(), timeout=1.0)
        assert call_admin(node.admin.sock.getsockname(), "GET", "/api/ready")[0] == 503
        node.member_table.validity.confirmed.wait(3.0)
        node.serve()
        for server in node.servers:
            socket.create_connection(server.sock.getsockname(), timeout=1.0).close()
        assert call_admin(node.admin.sock.getsockname(), "GET", "/api/ready") == (200, "ready")
    finally:
        node.end()
        fleet.close()


def test_ready_is_reported_only_after_every_front_listens() -> None:
    """Guards against clients directed to a port that refuses them, because another port was faster."""
    fleet = Fleet()
    http2 = {"enabled": True, "listen": "127.0.0.1:0"}
    operator_settings = operator.parse({"http2": http2}, "operator.toml")
    node = Node(parse(fleet.configuration() | {"admin_addr": "127.0.0.1:0"}, {}), None, operator_settings)
    http1, slow = node.servers
    open_now = slow.open

    def open_late() -> None:
        time.sleep(0.4)
        open_now()

    slow.open = open_late  # type: ignore[method-assign]
    try:
        node.begin()
        assert node.admin is not None
        admin = node.admin.sock.getsockname()
        node.member_table.validity.confirmed.wait(3.0)
        thread = threading.Thread(target=node.serve)
        thread.start()
        until = time.monotonic() + 3.0
        while call_admin(admin, "GET", "/api/ready")[0] != 200 and not is_alive(http1.sock.getsockname()):
            assert time.monotonic() < until
        socket.create_connection(http1.sock.getsockname(), timeout=1.0).close()
        socket.create_connection(slow.sock.getsockname(), timeout=1.0).close()
        thread.join()
    finally:
        node.end()
        fleet.close()


def is_alive(address: tuple[str, int]) -> bool:
    """Return whether `/alive` returns 200 at this address without delay."""
    try:
        with socket.create_connection(address, timeout=0.1) as sock:
            sock.sendall(b"GET /alive HTTP/1.1\r\nHost: x\r\n\r\n")
            return sock.recv(100).startswith(b"HTTP/1.1 200 ")
    except OSError:
        return False


def test_repeated_sighup_during_start_changes_discovery_address(edge: Edge) -> None:
    edge.proxy.fault = Fault.DELAYED
    edge.start()
    while edge.call_admin("/api/ready")[0] != 503:
        time.sleep(0.02)
    for address in ("127.0.0.1:1", edge.proxy.address, edge.fleet.discovery_server.address):
        edge.write(board=address)
        edge.signal(signal.SIGHUP)
        time.sleep(0.05)
    ready_after_s = edge.ready()
    assert ready_after_s < 3.5, edge.log()
    assert edge.call_admin("/api/ready") == (200, "ready")


def test_without_discovery_origin_serves_until_list_is_proved(edge: Edge) -> None:
    edge.proxy.refuse_connections()
    edge.start()
    ready_after_s = edge.ready()
    assert ready_after_s < 6.0
    assert edge.call_admin("/api/ready") == (
        200,
        "ready; list not proved by discovery; the origin alone serves",
    )
    edge.load(4)
    time.sleep(0.5)
    assert {call.member for call in edge.calls} == {"o-1"}
    edge.publish_health("s-1", "Terminating")
    edge.proxy.accept_connections()
    until = time.monotonic() + 4.0
    while edge.call_admin("/api/ready")[1] != "ready":
        assert time.monotonic() < until, edge.log()
        time.sleep(0.02)
    time.sleep(0.5)
    edge.stop()
    assert "s-2" in {call.member for call in edge.calls} and not edge.calls_to(["s-1"])
    log = edge.log()
    assert "the origin serves alone" in log and 'event="list is current"' in log


def test_start_during_upgrade_waits_longer_and_accepts_no_connections(edge: Edge) -> None:
    """The new process has no list, so it must not take over clients with only the origin to serve them."""
    edge.start()
    edge.ready()
    older = edge.process
    edge.proxy.refuse_connections()
    edge.admin = ("127.0.0.1", free_ports(1)[0])
    edge.start()
    time.sleep(5.0)
    assert edge.call_admin("/api/ready") == (503, "starting; list not proved by discovery")
    edge.load(4)
    time.sleep(0.5)
    assert {call.member for call in edge.calls} != {"o-1"}, "the older process still serves, by its list"
    edge.proxy.accept_connections()
    until = time.monotonic() + 4.0
    while edge.call_admin("/api/ready") != (200, "ready"):
        assert time.monotonic() < until, edge.log()
        time.sleep(0.02)
    assert older is not None
    older.terminate()
    assert older.wait(5) == 0
    assert all(request.end is End.ANSWERED for request in edge.stop())


def test_expired_list_stops_calls_to_all_but_origin(edge: Edge) -> None:
    """The list is used until 7 s and the shorter grace period after the last proof."""
    edge.start()
    edge.ready()
    edge.load(4)
    time.sleep(0.3)
    edge.proxy.refuse_connections()
    cut_off_s = time.monotonic()
    edge.publish_health("s-1", "Terminating")
    edge.publish_health("p-1", "Terminating")
    time.sleep(8.0)
    edge.proxy.accept_connections()
    time.sleep(1.0)
    requests = edge.stop()
    late = edge.calls_to(["s-1", "p-1"], cut_off_s + 7.3)
    assert not late, (len(late), late[0].at_s - cut_off_s)
    assert edge.calls_to(["s-2"], cut_off_s + 3.0), "the list is used while it is valid"
    assert all(request.end is End.ANSWERED for request in requests)
    assert 'event="list is too old to act on"' in edge.log()


def test_revision_read_late_proves_list_only_as_of_its_arrival(edge: Edge) -> None:
    """Guards against a proof dated by its read: a paused process read discovery's last line late, and took
    the list for current then. Servers drained since, with discovery cut off, got requests for 7 s more.
    """
    edge.start()
    edge.ready()
    edge.signal(signal.SIGSTOP)
    time.sleep(1.5)  # a line or two arrive
    edge.proxy.fault = Fault.DELAYED
    cut_off_s = time.monotonic()
    edge.publish_health("s-1", "Terminating")
    edge.publish_health("p-1", "Terminating")
    time.sleep(8.0)
    edge.signal(signal.SIGCONT)
    edge.load(4)
    time.sleep(1.0)
    requests = edge.stop()
    late = edge.calls_to(["s-1", "p-1"], cut_off_s + 7.3)
    assert not late, (len(late), late[0].at_s - cut_off_s)
    assert requests and all(request.end is End.ANSWERED for request in requests)


@pytest.mark.parametrize("purged", [False, True])
def test_events_received_in_pause_apply_from_first_call(edge: Edge, purged: bool) -> None:
    """Guards against requests sent by the old list after a pause, by threads that run before discovery's
    reader.

    After pauses of 2.2 s there were 25 such calls in 8 pauses of 20 requests each, 0.003 to 0.036 s after the
    pause; none since each write checks whether bytes from discovery are unread.
    """
    edge.fleet.terms.stamped = True
    edge.start()
    edge.ready()
    socks = [sock for sock in (edge.connect() for _ in range(30)) if sock is not None]
    item = "00000000000000aa"
    for sock in socks:
        edge.send_request(sock, item=item)
    edge.signal(signal.SIGSTOP)
    time.sleep(0.1)
    published_s = time.monotonic()
    unix_ms = int(time.time() * 1000)
    if purged:
        edge.fleet.discovery_server.purge(asset=item)
    else:
        edge.publish_health("s-1", "Terminating")
        edge.publish_health("p-1", "Terminating")
    time.sleep(2.0)
    first_request = len(edge.requests)
    threads = [
        threading.Thread(target=edge.send_request, args=(sock,), kwargs={"item": item}) for sock in socks
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.2)
    edge.signal(signal.SIGCONT)
    for thread in threads:
        thread.join()
    ends = Counter((request.end, request.status) for request in edge.requests[first_request:])
    assert {end for end, _ in ends} == {End.ANSWERED}, ends
    assert ends[End.ANSWERED, 200] >= len(socks) // 3, (
        "some are refused: the budget of new attempts is limited"
    )
    if purged:
        assert not [request for request in edge.requests[first_request:] if 0 < request.issued_ms < unix_ms]
    else:
        late = edge.calls_to(["s-1", "p-1"], published_s + 1.0)
        assert not late, (len(late), late[0].at_s - published_s)


# Conditions of production


def test_requests_with_little_time_left_get_one_response_each(edge: Edge) -> None:
    """The server may drop them without a response."""
    edge.fleet.terms.fault = lambda name, cls: "lost"
    edge.start()
    edge.ready()
    sock = edge.connect()
    assert sock is not None
    for wait_ms in (1, 2, 5, 10, 20, 40, 80):
        record, is_open = edge.send_request(sock, wait_ms=wait_ms)
        assert record.end is End.ANSWERED and record.answers == 1, (wait_ms, record)
        assert record.ended_s - record.sent_s < wait_ms / 1000 + 0.3, (wait_ms, record)
        if not is_open:
            sock = edge.connect()
            assert sock is not None
    sent = {record.wire_id: record for record in edge.requests}
    for call in edge.calls:
        left_s = sent[call.wire_id].sent_s + sent[call.wire_id].wait_ms / 1000 - call.at_s
        assert int(call.fields["limit"]) / 1000 <= left_s + SLACK_S, call


def test_hanging_caches_during_shutdown_lose_no_response(edge: Edge) -> None:
    """Clients keep sending on open connections until the kill, which happens as early as is allowed."""
    edge.start()
    edge.ready()
    edge.load(6, gap_s=0.02, wait_ms=1500)
    time.sleep(0.5)
    edge.fleet.terms.delay_s = lambda name, cls: 30.0
    time.sleep(0.2)
    assert edge.process is not None
    edge.signal(signal.SIGTERM)
    until = time.monotonic() + 3.0 + 0.7  # the deployment's longest deadline counts as 3 s
    while edge.process.poll() is None and time.monotonic() < until:
        time.sleep(0.01)
    edge.kill()
    requests = edge.stop()
    unanswered = [request for request in requests if request.end in (End.CUT, End.OPEN)]
    assert not unanswered, (len(unanswered), len(requests), edge.log()[-2000:])
    assert edge.process.returncode == 0


@pytest.mark.parametrize("gap_s", [0.0, 0.3])
def test_sigterm_after_slow_sighup_loses_no_response(edge: Edge, gap_s: float) -> None:
    """Guards against a shutdown timed from the end of the reload, while the kill is timed from SIGTERM."""
    edge.start()
    edge.ready()
    edge.load(6, gap_s=0.02, wait_ms=5000)
    time.sleep(0.5)
    edge.fleet.terms.delay_s = lambda name, cls: 30.0
    edge.set_fault_plan(seed=7, faults=[{"call": "open", "errno": "EIO", "part": 1.0, "path": "config.json"}])
    assert edge.process is not None
    edge.signal(signal.SIGHUP)
    time.sleep(gap_s)
    edge.signal(signal.SIGHUP)
    edge.signal(signal.SIGTERM)
    until = time.monotonic() + 3.0 + 0.7  # the deployment's longest deadline counts as 3 s
    while edge.process.poll() is None and time.monotonic() < until:
        time.sleep(0.01)
    has_ended = edge.process.poll() is not None
    edge.kill()
    requests = edge.stop()
    unanswered = [request for request in requests if request.end in (End.CUT, End.OPEN)]
    assert not unanswered, (len(unanswered), len(requests), edge.log()[-2000:])
    assert has_ended and edge.process.returncode == 0


def test_idle_connections_closed_by_members_lose_no_request(edge: Edge) -> None:
    edge.start()
    edge.ready()
    for _ in range(4):
        for _ in range(5):
            sock = edge.connect()
            assert sock is not None
            edge.send_request(sock)
            sock.close()
        for member in edge.fleet.members.values():
            member.cut()
    assert all(request.status == 200 for request in edge.requests)


# Many starts against one discovery


def test_table_without_discovery_is_always_current() -> None:
    table = MemberTable(6000.0)
    assert table.validity.confirmed.is_set() and table.wait_s() is None


def test_counters_report_age_of_list(edge: Edge) -> None:
    edge.start()
    edge.ready()
    edge.signal(signal.SIGUSR1)
    until = time.monotonic() + 3.0
    while "event=counters" not in edge.log():
        assert time.monotonic() < until
        threading.Event().wait(0.02)
    line = next(text for text in edge.log().splitlines() if "event=counters" in text)
    assert "list_current=True" in line or "list_current=true" in line
    assert "proof_age_ms=" in line and "discovery.connects=1" in line
    assert json.loads(edge.file.read_text())["board"] == edge.proxy.address
