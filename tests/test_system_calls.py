"""System calls that fail for a moment lose no request, and cost little: real processes, calls that fail on a
seed.
"""

from __future__ import annotations

import errno
import json
import signal
import socket
import threading
import time
from dataclasses import dataclass
from typing import Any

import pytest

from lupintack import sockets
from lupintack.sockets import MAX_ACCEPT_DELAY_S, MAX_TRIES, AcceptFailures
from lupintack.standins.edge import START_PATIENCE_S, ClientRecord, Edge, End
from lupintack.standins.net import free_ports

LOOK_S = 1.2  # beside faults, and as long without
TURNS = 4  # of each in a look
SERVED_PART = 0.9  # of all requests
PACE_PART = 0.5  # of the requests that are served without faults in the same look


def fault(call: str, name: str, part: float, **more: Any) -> dict[str, Any]:
    return {"call": call, "errno": name, "part": part, **more}


ACCEPT = (
    "ECONNABORTED",
    "EPROTO",
    "EINTR",
    "ENETDOWN",
    "EHOSTUNREACH",
    "EPERM",
    "ENFILE",
    "ENOBUFS",
    "ENOMEM",
)
PLANS: dict[str, dict[str, Any]] = {
    **{f"accept {name}": {"faults": [fault("accept", name, 0.5)]} for name in ACCEPT},
    **{
        f"connect {name}": {"faults": [fault("connect", name, 0.3)]}
        for name in ("EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS", "EAGAIN", "EHOSTUNREACH")
    },
    **{
        f"socket {name}": {"faults": [fault("socket", name, 0.3)]} for name in ("ENFILE", "ENOBUFS", "EMFILE")
    },
    **{f"setsockopt {name}": {"faults": [fault("setsockopt", name, 0.33)]} for name in ("ENOBUFS", "ENOMEM")},
    **{f"recv {name}": {"faults": [fault("recv", name, 0.15)]} for name in ("EINTR", "ENOBUFS", "ENOMEM")},
    **{f"send {name}": {"faults": [fault("send", name, 0.15)]} for name in ("EINTR", "ENOBUFS", "ENOMEM")},
    "short reads and writes": {"short": 0.3},
    **{
        f"a standing connection shows {name}": {
            "faults": [fault("recv", name, 0.02, connected=True, broken=True)]
        }
        for name in ("ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET", "ENETUNREACH")
    },
}


@dataclass
class Look:
    """Clients beside calls that fail and that don't, in turns as short as a machine's load changes."""

    requests: list[ClientRecord]
    beside_faults: list[ClientRecord]
    without_faults: list[ClientRecord]


def played(edge: Edge, new_connections: bool, plan: dict[str, Any]) -> Look:
    """A look, each request on a new connection or on kept ones; what ends between turns counts for none."""
    edge.requests, edge.over = [], threading.Event()
    if new_connections:
        threads = [threading.Thread(target=one_by_one, args=(edge,)) for _ in range(6)]
        for thread in threads:
            thread.start()
        edge.clients += threads
    else:
        edge.load(6, gap_s=0.01)
    turns: list[tuple[float, float]] = []
    for turn in range(2 * TURNS):
        edge.shim(**(plan | {"seed": 7 + turn} if turn % 2 == 0 else {}))
        began_s = time.monotonic()
        time.sleep(LOOK_S / TURNS)
        turns.append((began_s, time.monotonic()))
    edge.shim()
    requests = edge.stop()
    return Look(requests, ended_in(turns[::2], requests), ended_in(turns[1::2], requests))


def ended_in(turns: list[tuple[float, float]], requests: list[ClientRecord]) -> list[ClientRecord]:
    return [one for one in requests if any(began_s <= one.ended_s < ended_s for began_s, ended_s in turns)]


def one_by_one(edge: Edge) -> None:
    while not edge.over.is_set():
        sock = edge.connect()
        if sock is not None:
            edge.send_request(sock)
            sock.close()
        time.sleep(0.01)


@pytest.mark.parametrize("calls", ["accept", "connect", "socket", "setsockopt", "recv", "send", "short", "a"])
def test_calls_that_fail_for_a_moment_lose_nothing(edge: Edge, calls: str) -> None:
    """Each error of a call in turn, on one process, for as long as without any, by turns of 0.3 s.

    Guards against a pace that falls to less than half of what the machine had to give just then.
    """
    edge.start()
    edge.ready()
    new = calls in ("accept", "setsockopt")
    for name, plan in PLANS.items():
        if name.split()[0] != calls:
            continue
        look = played(edge, new, plan)
        cut = [one for one in look.requests if one.end is not End.ANSWERED]
        count, pace = len(look.beside_faults), len(look.without_faults)
        served = sum(one.status == 200 for one in look.beside_faults)
        assert not cut, (name, len(cut), len(look.requests), edge.log()[-2000:])
        assert served >= SERVED_PART * count, (name, served, count, edge.log()[-2000:])
        assert count >= PACE_PART * pace, (name, count, pace)


class FailingWrites:
    """A socket whose writes go as a list says: bytes that are taken, or an error's number; then all is."""

    def __init__(self, *outcomes: int | OSError) -> None:
        self.outcomes = list(outcomes)
        self.written = b""

    def sendmsg(self, parts: list[memoryview], ancillary: object = (), flags: int = 0) -> int:
        data = b"".join(parts)
        outcome = self.outcomes.pop(0) if self.outcomes else len(data)
        if isinstance(outcome, OSError):
            raise outcome
        self.written += data[:outcome]
        return min(outcome, len(data))


@pytest.mark.parametrize(
    "outcomes", [(5,), (5, 1, 2), (OSError(errno.EINTR, ""),), (3, OSError(errno.ENOBUFS, ""))]
)
def test_a_write_that_falls_short_goes_on_at_once(outcomes: tuple[int | OSError, ...]) -> None:
    """Guards against a thread for each short write: its start held up the core's turn and all behind it."""
    sock = FailingWrites(*outcomes)
    assert sockets.send_parts_now(sock, [b"head ", b"body"]) == []  # type: ignore[arg-type]
    assert sock.written == b"head body"


def test_a_write_that_would_wait_leaves_the_rest() -> None:
    for last in (BlockingIOError(), OSError(errno.ENOMEM, "")):
        sock = FailingWrites(7, *[last] * sockets.MAX_SEND_NOW_TRIES)
        left = sockets.send_parts_now(sock, [b"head ", b"body"])  # type: ignore[arg-type]
        assert (sock.written, [bytes(one) for one in left]) == (b"head bo", [b"dy"])


def test_connects_that_this_machine_could_not_begin_do_not_count_against_the_member(edge: Edge) -> None:
    """Each used to be a failed connect of the member's, whose request went to another one."""
    edge.start()
    edge.ready()
    for name in ("EADDRNOTAVAIL", "EAGAIN", "ENOBUFS"):
        edge.kill()
        edge.start()
        edge.ready()
        edge.shim(seed=7, faults=[fault("connect", name, 1.0, first=2)])
        sock = edge.connect()
        assert sock is not None
        edge.calls.clear()
        record, _ = edge.send_request(sock)
        sock.close()
        edge.shim()
        assert (record.status, len(edge.calls)) == (200, 1), (name, edge.calls)
        edge.signal(signal.SIGUSR1)
        until = time.monotonic() + 3.0
        while edge.log().count("event=counters") < 1:
            assert time.monotonic() < until
            time.sleep(0.02)
        counters = edge.log().rpartition("event=counters")[2]
        assert "member.connect_failed" not in counters, counters
        (edge.tmp / "log").write_text("")


def test_a_client_s_connection_that_breaks_in_any_way_is_a_client_that_left(edge: Edge) -> None:
    """ETIMEDOUT used to end the thread without a word: its attempts went on for a client that was gone."""
    edge.fleet.terms.delay_s = lambda name, cls: 0.4
    edge.fleet.terms.fault = lambda name, cls: "error"  # so that another attempt would follow
    edge.start()
    edge.ready()
    sock = edge.connect()
    assert sock is not None
    head = "GET /ops/map-tiles/00000000000000aa HTTP/1.1\r\nHost: x\r\nReq-Id: 9b1f03aa5c7e2d41\r\n"
    sock.sendall(f"{head}Req-Wait-Ms: 3000\r\n\r\n".encode())
    until = time.monotonic() + 3.0
    while not edge.calls:
        assert time.monotonic() < until
        time.sleep(0.01)
    edge.shim(seed=7, faults=[fault("recv", "ETIMEDOUT", 1.0, connected=False)])
    sock.sendall(b"X")  # wakes its thread, whose next read fails
    time.sleep(1.0)
    edge.shim()
    sock.close()
    assert len(edge.calls) == 1, "an attempt for a client whose connection had broken"


def test_an_accept_waits_only_for_what_the_machine_lacks() -> None:
    counted: list[str] = []
    failures = AcceptFailures(counted.append)
    assert [failures.on_failure(OSError(103, "aborted")) for _ in range(50)] == [0.0] * 50
    for _ in range(MAX_TRIES):
        last = failures.on_failure(OSError(103, "aborted"))
    assert last == MAX_ACCEPT_DELAY_S, "an error that stays must not take the whole processor"
    failures.on_success()
    pauses = [failures.on_failure(OSError(23, "table full")) for _ in range(10)]
    assert pauses[0] < 0.002 and pauses == sorted(pauses) and pauses[-1] == MAX_ACCEPT_DELAY_S
    assert set(counted) == {"accept.econnaborted", "accept.enfile"}


def test_a_folder_that_can_t_be_written_for_a_while_forgets_nothing(edge: Edge) -> None:
    """What staff said binds at once, is said not to be kept, and is kept once it can be."""
    edge.start()
    edge.ready()
    assert edge.staff("/api/exclude?name=s-1", "POST")[0] == 200
    for name in ("ENOSPC", "EIO"):
        edge.shim(seed=7, faults=[fault("fsync", name, 1.0), fault("pwrite", name, 1.0)])
        assert edge.staff("/api/exclude?name=s-2", "POST")[0] == 500
        edge.shim()
        until = time.monotonic() + 3.0
        while b"s-2" not in next(edge.tmp.glob("lupintack-*/bans.json")).read_bytes():
            assert time.monotonic() < until, edge.log()
            time.sleep(0.05)
        edge.kill()
        edge.start()
        edge.ready()
        assert edge.staff("/api/include?name=s-2", "POST")[0] == 200
        assert edge.staff("/api/exclude?name=s-1", "POST")[1].startswith("out already")


FOLDER_CALLS = {
    "lock": [fault("open", "EIO", 1.0, path="/lock")],
    "flock": [fault("flock", "ENOLCK", 1.0)],
    "own file": [fault("open", "ENOSPC", 1.0, path="/run.")],
    "writes": [fault("pwrite", "EIO", 1.0), fault("fsync", "EIO", 1.0)],
    "first file of bans": [fault("open", "EIO", 1.0, path="/bans.json")],
}


def killed_with_a_ban(edge: Edge) -> None:
    """A process whose staff has taken s-1 out, and which a crash has ended."""
    edge.start()
    edge.ready()
    assert edge.staff("/api/exclude?name=s-1", "POST")[0] == 200
    edge.kill()


def assert_ban_holds(edge: Edge, lasts_s: float) -> None:
    """Clients are served, and s-1 gets nothing of it."""
    edge.calls.clear()
    edge.load(4, gap_s=0.02)
    time.sleep(lasts_s)
    edge.stop()
    assert edge.calls and not edge.calls_to(["s-1"])


@pytest.mark.parametrize("calls", FOLDER_CALLS)
def test_a_folder_that_can_t_be_used_at_the_start_is_read_all_the_same_and_joined_later(
    edge: Edge, calls: str
) -> None:
    """Whatever fails there, a member that staff took out gets nothing, and what staff says next is kept once
    it can be.
    """
    killed_with_a_ban(edge)
    edge.shim(seed=7, faults=FOLDER_CALLS[calls])
    edge.start()
    edge.ready()
    assert_ban_holds(edge, 1.0)
    edge.staff("/api/exclude?name=s-2", "POST")
    edge.shim()
    until = time.monotonic() + 5.0
    while b"s-2" not in next(edge.tmp.glob("lupintack-*/bans.json")).read_bytes():
        assert time.monotonic() < until, edge.log()
        time.sleep(0.05)
    kept = next(edge.tmp.glob("lupintack-*/bans.json")).read_bytes()
    assert b"s-1" in kept, "what was said first is owed as well"


def test_bans_that_can_t_be_read_for_a_while_hold_the_start_up(edge: Edge) -> None:
    """After half a second the start went on without them, and what staff took out got traffic again."""
    killed_with_a_ban(edge)
    edge.shim(seed=7, faults=[fault("open", "EIO", 1.0, path="/bans")])
    edge.start()
    time.sleep(2.0)
    assert not edge.alive()
    edge.shim()
    edge.ready()
    assert_ban_holds(edge, 1.0)


def test_bans_that_stay_unread_do_not_hold_the_start_up_for_good(edge: Edge) -> None:
    """They are in force once they can be read; the log says that they are not."""
    killed_with_a_ban(edge)
    edge.shim(seed=7, faults=[fault("open", "EIO", 1.0, path="/bans")])
    edge.start()
    assert edge.ready() < 10.0
    assert "saved bans unreadable" in edge.log()
    edge.shim()
    time.sleep(1.0)
    assert_ban_holds(edge, 0.5)


def test_sigterm_ends_a_start_that_waits_for_its_bans(edge: Edge) -> None:
    """Nothing was taken on, and nothing may be served without them."""
    killed_with_a_ban(edge)
    edge.shim(seed=7, faults=[fault("open", "EIO", 1.0, path="/bans")])
    edge.start()
    until = time.monotonic() + START_PATIENCE_S
    while "saved bans unreadable" not in edge.log():
        assert time.monotonic() < until
        time.sleep(0.02)
    edge.signal(signal.SIGTERM)
    assert edge.process is not None and edge.process.wait(2.5) == 0
    assert "stopped before it served" in edge.log() and "phase=stopping" not in edge.log()


UPGRADE_CALLS = {
    "the handoff opened": [fault("open", "EIO", 1.0, path="/legacy.", first=20)],
    "the handoff opened, for want of descriptors": [fault("open", "EMFILE", 1.0, path="/legacy.", first=20)],
    "its name removed": [fault("unlink", "EIO", 1.0, path="/legacy.")],
    "the other processes listed": [fault("listdir", "EIO", 0.5, path="/lupintack-")],
    "the other process looked at": [fault("open", "ENFILE", 0.5, path="/run.")],
}


@pytest.mark.parametrize("calls", UPGRADE_CALLS)
def test_a_start_beside_an_old_process_takes_over_what_that_left_whatever_fails(
    edge: Edge, calls: str
) -> None:
    """A handoff that could not be opened once ended the start; a look at the old process that failed once was
    taken for its end, so nothing was waited for any more.
    """
    edge.start()
    edge.ready()
    edge.load(2)
    time.sleep(0.5)
    edge.stop()
    plan = edge.tmp / "upgrade.json"
    plan.write_text(json.dumps({"seed": 7, "faults": UPGRADE_CALLS[calls]}))
    edge.start({"EDGE_ADMIN_ADDR": f"127.0.0.1:{free_ports(1)[0]}", "LUPINTACK_SHIM": str(plan)})
    until = time.monotonic() + START_PATIENCE_S
    while edge.log().count("event=ready") < 2:
        assert edge.process is not None and edge.process.poll() is None, edge.log()
        assert time.monotonic() < until, edge.log()
        time.sleep(0.05)
    line = next((one for one in edge.log().splitlines() if 'event="handoff received"' in one), edge.log())
    assert "learned=true" in line and "fault=none" in line, line


def test_a_state_that_could_not_be_written_is_written_with_the_next_look(edge: Edge) -> None:
    """It was written once for each change: to the other process, one that served was starting for good."""
    edge.shim(seed=7, faults=[fault("pwrite", "ENOSPC", 1.0, first=6)])
    edge.start()
    edge.ready()
    until = time.monotonic() + 3.0
    while b'"ready"' not in next(edge.tmp.glob("lupintack-*/run.*")).read_bytes():
        assert time.monotonic() < until, edge.log()
        time.sleep(0.05)


START_CALLS = (
    ("socket", "ENFILE"), ("socket", "ENOBUFS"), ("setsockopt", "ENOBUFS"), ("setsockopt", "ENOMEM"),
    ("bind", "EADDRINUSE"), ("bind", "EADDRNOTAVAIL"), ("bind", "ENOBUFS"), ("listen", "EADDRINUSE"),
)  # fmt: skip


@pytest.mark.parametrize(("name", "error"), START_CALLS)
def test_a_listener_that_can_t_be_made_at_once_does_not_end_the_start(
    edge: Edge, name: str, error: str
) -> None:
    """A router restarted under a fault that lasted a moment ended with `can't listen`, and was a failed
    start: any error of socket, setsockopt, bind or listen was taken for a port that somebody else has.
    """
    edge.shim(seed=7, faults=[fault(name, error, 1.0, first=6)])
    edge.start()
    edge.ready()
    assert edge.staff("/api/ready")[0] == 200
    sock = edge.connect()
    assert sock is not None
    record, _ = edge.send_request(sock)
    sock.close()
    assert record.status == 200, edge.log()


@pytest.mark.parametrize("error", ["ENFILE", "EIO", "EINTR"])
def test_a_configuration_that_can_t_be_read_at_once_is_read_a_moment_later(edge: Edge, error: str) -> None:
    """At a start, which was over, and at SIGHUP, whose new configuration was never read."""
    edge.shim(seed=7, faults=[fault("open", error, 1.0, path="config.json", first=6)])
    edge.start()
    edge.ready()
    edge.shim(seed=8, faults=[fault("open", error, 1.0, path="config.json", first=12)])
    edge.write(board=edge.fleet.discovery_server.address)
    edge.signal(signal.SIGHUP)
    until = time.monotonic() + 5.0
    while 'event="discovery address changed"' not in edge.log():
        assert time.monotonic() < until, edge.log()
        time.sleep(0.02)
    assert "can't be used" not in edge.log()


def test_a_port_that_stays_somebody_s_ends_the_start_with_a_word(edge: Edge) -> None:
    with socket.create_server(("127.0.0.1", edge.port)):
        edge.start()
        assert edge.process is not None
        assert edge.process.wait(START_PATIENCE_S) == 2
    assert f"can't listen at 127.0.0.1:{edge.port}: Address already in use" in edge.log()


def test_sockets_of_other_families_and_options_that_never_take_are_no_fault() -> None:
    with socket.socket() as sock:
        assert not sockets.set_option(sock, socket.IPPROTO_TCP, 9999, 1)
        assert sockets.set_option(sock, socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
