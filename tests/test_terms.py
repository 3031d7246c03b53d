"""The operators' terms of 2026-12-02, each with a test of its own; those on system calls:
test_system_calls.py.

The budget of a server in slow start is held by test_ramp.py and test_fleet.py, attempts for clients that have
left by test_client_disconnection.py, closes over what was read by test_closes.py and test_crossings.py.
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
from lupintack.standins.processes import call as call_staff
from lupintack.standins.proxy import Fault
from tests.site import CDNI

SLACK_S = 0.15  # of a deadline that is passed on
STEPS_S = (30.0, 3600.0, -30.0, -3600.0)


def head(number: int, wait_ms: int) -> str:
    """A request's head, but for the empty line."""
    told = f"GET /ops/map-tiles/{number:016x} HTTP/1.1\r\nHost: x\r\nReq-Id: {number:016x}\r\n"
    return f"{told}Req-Wait-Ms: {wait_ms}\r\n"


# The deadline passed to a server is at most what the client has left


def test_a_pipelined_request_passes_on_no_more_than_its_client_has_left(edge: Edge) -> None:
    """Its time used to count from when it was read, behind the answer to the one before it."""
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


def test_many_pipelined_at_once_pass_on_no_more_either(edge: Edge) -> None:
    """All in one write, more than one read takes."""
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


# A wall clock that is stepped


@pytest.mark.parametrize("step_s", STEPS_S)
def test_a_step_while_it_runs_costs_no_answer_and_hides_no_purge(edge: Edge, step_s: float) -> None:
    """+30 s made a purge one that had settled, -3,600 s threw every answer away."""
    edge.start()
    edge.ready()
    edge.load(6, gap_s=0.01, items=5)
    time.sleep(0.5)
    edge.shim(step_s=step_s)
    time.sleep(0.3)
    edge.fleet.discovery_server.purge(asset=f"{1:016x}")
    told = time.monotonic()
    time.sleep(1.0)
    requests = edge.stop()
    assert {one.end for one in requests} == {End.ANSWERED}
    assert all(one.status == 200 for one in requests), edge.log()[-2000:]
    after = [one for one in edge.calls if one.fields["item"] == f"{1:016x}" and one.at_s > told + 0.35]
    assert after, "the purged object was asked for again"
    for call in after:
        assert int(call.fields["within"]) / 1000 <= call.at_s - told + 0.05, call


@pytest.mark.parametrize("step_s", STEPS_S)
def test_a_clock_that_is_wrong_at_the_start_costs_no_answer_and_hides_no_purge(
    edge: Edge, step_s: float
) -> None:
    edge.shim(step_s=step_s)
    edge.start()
    edge.ready()
    edge.load(6, gap_s=0.01, items=5)
    time.sleep(0.5)
    edge.fleet.discovery_server.purge(asset=f"{1:016x}")
    told = time.monotonic()
    time.sleep(0.8)
    requests = edge.stop()
    assert {one.end for one in requests} == {End.ANSWERED}
    served = sum(one.status == 200 for one in requests)
    assert served > 0.97 * len(requests), (served, len(requests), edge.log()[-2000:])
    after = [one for one in edge.calls if one.fields["item"] == f"{1:016x}" and one.at_s > told + 0.35]
    assert after and all(int(one.fields["within"]) / 1000 <= one.at_s - told + 0.05 for one in after)


# A process that is kept from running


def stopped_while(edge: Edge, what: Callable[[], None]) -> None:
    """The process stands still for a while in which the client does something."""
    edge.signal(signal.SIGSTOP)
    what()
    time.sleep(0.4)
    edge.signal(signal.SIGCONT)


def test_a_client_that_left_before_its_request_was_read_gets_no_attempt(edge: Edge) -> None:
    """On a machine with too much to do the first requests behind a start were read some 0.4 s late, and those
    whose clients had left meanwhile were sent on: only the thread that waits for the client noticed that.
    """
    edge.start()
    edge.ready()
    time.sleep(0.3)
    for _ in range(5):
        sock = edge.connect()
        assert sock is not None
        edge.calls.clear()
        stopped_while(edge, lambda sock=sock: edge.send_and_disconnect(sock, 1200, 0.0))  # type: ignore[misc]
        time.sleep(0.3)
        assert not edge.calls


def test_a_request_that_is_read_late_passes_on_no_more_than_its_client_has_left(edge: Edge) -> None:
    edge.start()
    edge.ready()
    time.sleep(0.3)
    sock = edge.connect()
    assert sock is not None
    edge.calls.clear()
    record = ClientRecord("9b1f03aa5c7e2d41", "map-tiles", "00000000000000aa", 1200)
    head = f"GET /ops/map-tiles/{record.item} HTTP/1.1\r\nHost: x\r\nReq-Id: {record.wire_id}\r\n"
    stopped_while(edge, lambda: sock.sendall(f"{head}Req-Wait-Ms: 1200\r\n\r\n".encode()))
    until = time.monotonic() + 3.0
    while not edge.calls:
        assert time.monotonic() < until
        time.sleep(0.01)
    sock.close()
    assert int(edge.calls[0].fields["limit"]) <= 1200 - 400 + 150


# A folder that lasts


def test_bans_cut_at_any_byte_by_a_crash_are_in_force_at_the_next_start(tmp_path: Path) -> None:
    """A `bans.json` that was cut short started the router with no ban in force."""
    folder = Folder(str(tmp_path), "n0", "127.0.0.1:1")
    for out in ({"s-1": 1.0}, {"s-1": 1.0, "p-1": 2.0}):
        with folder.locked():
            folder.write_bans(Bans(dict(out)).dump())
    whole = (folder.path / BANS_FILE).read_bytes()
    found = set()
    for name, length in itertools.product((BANS_FILE, BANS_COPY_FILE), range(len(whole) + 1)):
        (folder.path / name).write_bytes(whole[:length])
        found.add(tuple(sorted(usable(read_ban_files(folder.path)).excluded)))
        (folder.path / name).write_bytes(whole)
    assert found == {("p-1", "s-1")}
    folder.close()


def usable(texts: list[bytes]) -> Bans:
    """As the process reads them."""
    bans = BanKeeper(MemberTable(6000.0)).first_valid(texts)
    assert bans is not None
    return bans


def test_a_write_that_is_killed_between_any_two_steps_leaves_one_state_whole(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    folder = Folder(str(tmp_path), "n0", "127.0.0.1:1")
    folder.write_bans(Bans({"s-1": 1.0}).dump())
    for step in range(6):
        done = itertools.count()

        def dies(real: object, done: Iterator[int] = done, step: int = step) -> object:
            def call(*args: object, **more: object) -> object:
                if next(done) >= step:
                    raise KeyboardInterrupt  # as good as a kill: nothing is tidied up
                return real(*args, **more)  # type: ignore[operator]

            return call

        with monkeypatch.context() as patch:
            patch.setattr(os, "fsync", dies(os.fsync))
            patch.setattr(os, "replace", dies(os.replace))
            try:
                folder.write_bans(Bans({"s-1": 1.0, "p-1": 2.0}).dump())
            except KeyboardInterrupt:
                pass
        assert "s-1" in usable(read_ban_files(folder.path)).excluded
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


@pytest.mark.parametrize("which", [0, 1])
def test_a_write_that_is_killed_half_done_leaves_one_state_whole(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, which: int
) -> None:
    """Of the two files, each in turn; bans written in place were lost with the rest of their file."""
    folder = Folder(str(tmp_path), "n0", "127.0.0.1:1")
    folder.write_bans(Bans({"s-1": 1.0}).dump())
    done = itertools.count()

    def half(path: Path, mode: str = "r") -> object:
        file = open(path, mode)
        return HalfWritten(file) if "w" in mode and next(done) == which else file

    with monkeypatch.context() as patch:
        patch.setattr("lupintack.lifecycle.folder.open", half, raising=False)
        with pytest.raises(KeyboardInterrupt):
            folder.write_bans(Bans({"s-1": 1.0, "p-1": 2.0}).dump())
    assert "s-1" in usable(read_ban_files(folder.path)).excluded
    folder.close()


# SIGTERM, SIGHUP and SIGKILL while a start waits for the list


def test_sigterm_while_the_list_is_waited_for_ends_at_once_and_nothing_was_taken(edge: Edge) -> None:
    edge.proxy.fault = Fault.DELAYED
    edge.start()
    until = time.monotonic() + 5.0
    while edge.staff("/api/ready")[0] != 503:
        assert time.monotonic() < until, edge.log()
        time.sleep(0.02)
    assert edge.staff("/api/ready")[1] == "starting; list not proved by discovery"
    assert edge.connect() is None, "what it does not take, the kernel must not take for it"
    began = time.monotonic()
    edge.signal(signal.SIGTERM)
    assert edge.process is not None and edge.process.wait(5) == 0
    assert time.monotonic() - began < 1.0
    assert "stopped before it served" in edge.log()


def test_no_front_takes_a_connection_before_the_list_is_current() -> None:
    """HTTP/1.1, HTTP/2 and CDNI over both: refused, and so never owed anything; the second address
    answers.
    """
    fleet = Fleet()
    fleet.discovery_server.prompt = False
    http2 = {"enabled": True, "listen": "127.0.0.1:0", "cdni_listen": "127.0.0.1:0"}
    wanted = operator.parse({"http2": http2}, "operator.toml")
    conf = parse(fleet.configuration() | {"admin_addr": "127.0.0.1:0"}, {})
    node = Node(conf, cdni_conf.parse(CDNI, "cdni.toml", conf.names.classes), wanted)
    try:
        node.begin()
        assert len(node.servers) == 4 and node.admin is not None
        for server in node.servers:
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection(server.sock.getsockname(), timeout=1.0)
        assert call_staff(node.admin.sock.getsockname(), "GET", "/api/ready")[0] == 503
        node.member_table.validity.confirmed.wait(3.0)
        node.serve()
        for server in node.servers:
            socket.create_connection(server.sock.getsockname(), timeout=1.0).close()
        assert call_staff(node.admin.sock.getsockname(), "GET", "/api/ready") == (200, "ready")
    finally:
        node.end()
        fleet.close()


def test_ready_is_said_only_once_every_front_listens() -> None:
    """Guards against a client that is sent to a port which refuses it, as another port was faster."""
    fleet = Fleet()
    http2 = {"enabled": True, "listen": "127.0.0.1:0"}
    wanted = operator.parse({"http2": http2}, "operator.toml")
    node = Node(parse(fleet.configuration() | {"admin_addr": "127.0.0.1:0"}, {}), None, wanted)
    http1, slow = node.servers
    open_at_once = slow.open

    def open_late() -> None:
        time.sleep(0.4)
        open_at_once()

    slow.open = open_late  # type: ignore[method-assign]
    try:
        node.begin()
        assert node.admin is not None
        admin = node.admin.sock.getsockname()
        node.member_table.validity.confirmed.wait(3.0)
        thread = threading.Thread(target=node.serve)
        thread.start()
        until = time.monotonic() + 3.0
        while call_staff(admin, "GET", "/api/ready")[0] != 200 and not says_alive(http1.sock.getsockname()):
            assert time.monotonic() < until
        socket.create_connection(http1.sock.getsockname(), timeout=1.0).close()
        socket.create_connection(slow.sock.getsockname(), timeout=1.0).close()
        thread.join()
    finally:
        node.end()
        fleet.close()


def says_alive(address: tuple[str, int]) -> bool:
    """Whether `/alive` says 200 there, at once."""
    try:
        with socket.create_connection(address, timeout=0.1) as sock:
            sock.sendall(b"GET /alive HTTP/1.1\r\nHost: x\r\n\r\n")
            return sock.recv(100).startswith(b"HTTP/1.1 200 ")
    except OSError:
        return False


def test_sighup_while_the_list_is_waited_for_moves_discovery_also_several_in_a_row(edge: Edge) -> None:
    edge.proxy.fault = Fault.DELAYED
    edge.start()
    while edge.staff("/api/ready")[0] != 503:
        time.sleep(0.02)
    for address in ("127.0.0.1:1", edge.proxy.address, edge.fleet.discovery_server.address):
        edge.write(board=address)
        edge.signal(signal.SIGHUP)
        time.sleep(0.05)
    took_s = edge.ready()
    assert took_s < 3.5, edge.log()
    assert edge.staff("/api/ready") == (200, "ready")


def test_without_discovery_the_origin_serves_and_the_list_is_used_once_news_comes(edge: Edge) -> None:
    edge.proxy.refuse()
    edge.start()
    took_s = edge.ready()
    assert took_s < 6.0
    assert edge.staff("/api/ready") == (200, "ready; list not proved by discovery; the origin alone serves")
    edge.load(4)
    time.sleep(0.5)
    assert {one.member for one in edge.calls} == {"o-1"}
    edge.publish_health("s-1", "Terminating")
    edge.proxy.back()
    until = time.monotonic() + 4.0
    while edge.staff("/api/ready")[1] != "ready":
        assert time.monotonic() < until, edge.log()
        time.sleep(0.02)
    time.sleep(0.5)
    edge.stop()
    assert "s-2" in {one.member for one in edge.calls} and not edge.calls_to(["s-1"])
    log = edge.log()
    assert "the origin serves alone" in log and 'event="list is current"' in log


def test_beside_an_older_process_that_serves_a_start_waits_longer_and_takes_nothing(edge: Edge) -> None:
    """What the older one knows the younger doesn't: it must not take its clients with the origin alone."""
    edge.start()
    edge.ready()
    older = edge.process
    edge.proxy.refuse()
    edge.admin = ("127.0.0.1", free_ports(1)[0])
    edge.start()
    time.sleep(5.0)
    assert edge.staff("/api/ready") == (503, "starting; list not proved by discovery")
    edge.load(4)
    time.sleep(0.5)
    assert {one.member for one in edge.calls} != {"o-1"}, "the older one serves still, and from its list"
    edge.proxy.back()
    until = time.monotonic() + 4.0
    while edge.staff("/api/ready") != (200, "ready"):
        assert time.monotonic() < until, edge.log()
        time.sleep(0.02)
    assert older is not None
    older.terminate()
    assert older.wait(5) == 0
    assert all(one.end is End.ANSWERED for one in edge.stop())


def test_a_silence_longer_than_the_rule_allows_stops_calls_to_all_but_the_origin(edge: Edge) -> None:
    """7 s and the shorter grace after the last proof; before that the list is used, as nothing forbids it."""
    edge.start()
    edge.ready()
    edge.load(4)
    time.sleep(0.3)
    edge.proxy.refuse()
    cut = time.monotonic()
    edge.publish_health("s-1", "Terminating")
    edge.publish_health("p-1", "Terminating")
    time.sleep(8.0)
    edge.proxy.back()
    time.sleep(1.0)
    requests = edge.stop()
    late = edge.calls_to(["s-1", "p-1"], cut + 7.3)
    assert not late, (len(late), late[0].at_s - cut)
    assert edge.calls_to(["s-2"], cut + 3.0), "the list is used for as long as it may be"
    assert all(one.end is End.ANSWERED for one in requests)
    assert 'event="list is too old to act on"' in edge.log()


def test_a_number_that_was_read_long_after_it_came_proves_no_more_than_that(edge: Edge) -> None:
    """A process kept from running found discovery's last line in the kernel, and held the list to be current
    as of its read: servers that had drained since, behind a discovery cut off, got new work for 7 s more.
    """
    edge.start()
    edge.ready()
    edge.signal(signal.SIGSTOP)
    time.sleep(1.5)  # a line or two come
    edge.proxy.fault = Fault.DELAYED
    cut = time.monotonic()
    edge.publish_health("s-1", "Terminating")
    edge.publish_health("p-1", "Terminating")
    time.sleep(8.0)
    edge.signal(signal.SIGCONT)
    edge.load(4)
    time.sleep(1.0)
    requests = edge.stop()
    late = edge.calls_to(["s-1", "p-1"], cut + 7.3)
    assert not late, (len(late), late[0].at_s - cut)
    assert requests and all(one.end is End.ANSWERED for one in requests)


@pytest.mark.parametrize("purged", [False, True])
def test_what_discovery_told_a_process_that_stood_still_binds_from_its_first_call_on(
    edge: Edge, purged: bool
) -> None:
    """Behind a pause of 2.2 s the first requests went out by the old list, as their threads came before that
    which reads discovery: 25 calls in 8 pauses of 20 requests each, 0.003 to 0.036 s after the pause. No such
    call is left where each write asks whether discovery has told something that lies unread.
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
    told = time.monotonic()
    unix_ms = int(time.time() * 1000)
    if purged:
        edge.fleet.discovery_server.purge(asset=item)
    else:
        edge.publish_health("s-1", "Terminating")
        edge.publish_health("p-1", "Terminating")
    time.sleep(2.0)
    first = len(edge.requests)
    threads = [
        threading.Thread(target=edge.send_request, args=(sock,), kwargs={"item": item}) for sock in socks
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.2)
    edge.signal(signal.SIGCONT)
    for thread in threads:
        thread.join()
    ends = Counter((one.end, one.status) for one in edge.requests[first:])
    assert {end for end, _ in ends} == {End.ANSWERED}, ends
    assert ends[End.ANSWERED, 200] >= len(socks) // 3, "some are refused: new attempts have their budget"
    if purged:
        assert not [one for one in edge.requests[first:] if 0 < one.issued_ms < unix_ms]
    else:
        late = edge.calls_to(["s-1", "p-1"], told + 1.0)
        assert not late, (len(late), late[0].at_s - told)


# What production adds


def test_requests_with_very_little_time_left_get_one_answer_each(edge: Edge) -> None:
    """A server may drop them without a word."""
    edge.fleet.terms.fault = lambda name, cls: "lost"
    edge.start()
    edge.ready()
    sock = edge.connect()
    assert sock is not None
    for wait_ms in (1, 2, 5, 10, 20, 40, 80):
        one, again = edge.send_request(sock, wait_ms=wait_ms)
        assert one.end is End.ANSWERED and one.answers == 1, (wait_ms, one)
        assert one.ended_s - one.sent_s < wait_ms / 1000 + 0.3, (wait_ms, one)
        if not again:
            sock = edge.connect()
            assert sock is not None
    sent = {one.wire_id: one for one in edge.requests}
    for call in edge.calls:
        left_s = sent[call.wire_id].sent_s + sent[call.wire_id].wait_ms / 1000 - call.at_s
        assert int(call.fields["limit"]) / 1000 <= left_s + SLACK_S, call


def test_caches_that_hang_through_a_whole_shutdown_cost_no_request_its_answer(edge: Edge) -> None:
    """Clients go on sending on open connections until the kill, which comes as early as it may."""
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
    cut = [one for one in requests if one.end in (End.CUT, End.OPEN)]
    assert not cut, (len(cut), len(requests), edge.log()[-2000:])
    assert edge.process.returncode == 0


@pytest.mark.parametrize("gap_s", [0.0, 0.3])
def test_sigterm_behind_a_sighup_that_takes_long_costs_no_request_its_answer(
    edge: Edge, gap_s: float
) -> None:
    """Guards against an end that counts from the end of the reload: the kill counts from SIGTERM."""
    edge.start()
    edge.ready()
    edge.load(6, gap_s=0.02, wait_ms=5000)
    time.sleep(0.5)
    edge.fleet.terms.delay_s = lambda name, cls: 30.0
    edge.shim(seed=7, faults=[{"call": "open", "errno": "EIO", "part": 1.0, "path": "config.json"}])
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
    cut = [one for one in requests if one.end in (End.CUT, End.OPEN)]
    assert not cut, (len(cut), len(requests), edge.log()[-2000:])
    assert has_ended and edge.process.returncode == 0


def test_connections_that_members_close_or_reset_while_idle_lose_nothing(edge: Edge) -> None:
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
    assert all(one.status == 200 for one in edge.requests)


# Many starts against one discovery


def test_a_table_without_discovery_is_always_current() -> None:
    table = MemberTable(6000.0)
    assert table.validity.confirmed.is_set() and table.wait_s() is None


def test_the_counters_say_how_old_the_list_is(edge: Edge) -> None:
    edge.start()
    edge.ready()
    edge.signal(signal.SIGUSR1)
    until = time.monotonic() + 3.0
    while "event=counters" not in edge.log():
        assert time.monotonic() < until
        threading.Event().wait(0.02)
    line = next(one for one in edge.log().splitlines() if "event=counters" in one)
    assert "list_current=True" in line or "list_current=true" in line
    assert "proof_age_ms=" in line and "discovery.connects=1" in line
    assert json.loads(edge.file.read_text())["board"] == edge.proxy.address
