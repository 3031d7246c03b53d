"""Transient failures of system calls lose no request and cost little throughput.

The tests run real processes in which calls fail by a seeded random plan.
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
from lupintack.standins.edge import START_TIMEOUT_S, ClientRecord, Edge, End
from lupintack.standins.net import free_ports

PHASE_S = 1.2  # total time with faults, and the same time without
TURNS = 4  # of each kind
MIN_SERVED_SHARE = 0.9  # of all requests
MIN_THROUGHPUT_SHARE = 0.5  # of the requests that end without faults in the same comparison


def fault(call: str, name: str, part: float, **options: Any) -> dict[str, Any]:
    return {"call": call, "errno": name, "part": part, **options}


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
class Comparison:
    """Requests with and without faults, in alternate turns short enough to see the same machine load."""

    requests: list[ClientRecord]
    with_faults: list[ClientRecord]
    without_faults: list[ClientRecord]


def compare(edge: Edge, new_connections: bool, plan: dict[str, Any]) -> Comparison:
    """Run a comparison, on new or kept connections; requests that end between turns count for neither."""
    edge.requests, edge.stopping = [], threading.Event()
    if new_connections:
        threads = [threading.Thread(target=send_on_new_connections, args=(edge,)) for _ in range(6)]
        for thread in threads:
            thread.start()
        edge.clients += threads
    else:
        edge.load(6, gap_s=0.01)
    turns: list[tuple[float, float]] = []
    for turn in range(2 * TURNS):
        edge.set_fault_plan(**(plan | {"seed": 7 + turn} if turn % 2 == 0 else {}))
        began_s = time.monotonic()
        time.sleep(PHASE_S / TURNS)
        turns.append((began_s, time.monotonic()))
    edge.set_fault_plan()
    requests = edge.stop()
    return Comparison(requests, ended_in(turns[::2], requests), ended_in(turns[1::2], requests))


def ended_in(turns: list[tuple[float, float]], requests: list[ClientRecord]) -> list[ClientRecord]:
    return [
        request
        for request in requests
        if any(began_s <= request.ended_s < ended_s for began_s, ended_s in turns)
    ]


def send_on_new_connections(edge: Edge) -> None:
    while not edge.stopping.is_set():
        sock = edge.connect()
        if sock is not None:
            edge.send_request(sock)
            sock.close()
        time.sleep(0.01)


@pytest.mark.parametrize(
    "call_name", ["accept", "connect", "socket", "setsockopt", "recv", "send", "short", "a"]
)
def test_transient_call_failures_lose_no_request(edge: Edge, call_name: str) -> None:
    """Each error of a call in sequence, on one process, alternating with turns of 0.3 s without faults.

    Guards against a throughput below half of what the machine achieves at that time.
    """
    edge.start()
    edge.ready()
    new_connections = call_name in ("accept", "setsockopt")
    for name, plan in PLANS.items():
        if name.split()[0] != call_name:
            continue
        comparison = compare(edge, new_connections, plan)
        unanswered = [request for request in comparison.requests if request.end is not End.ANSWERED]
        count, count_without_faults = len(comparison.with_faults), len(comparison.without_faults)
        served = sum(request.status == 200 for request in comparison.with_faults)
        assert not unanswered, (name, len(unanswered), len(comparison.requests), edge.log()[-2000:])
        assert served >= MIN_SERVED_SHARE * count, (name, served, count, edge.log()[-2000:])
        assert count >= MIN_THROUGHPUT_SHARE * count_without_faults, (name, count, count_without_faults)


class FailingWrites:
    """A socket with listed outcomes of its writes, bytes accepted or errors; later writes are complete."""

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
def test_short_write_is_continued_immediately(outcomes: tuple[int | OSError, ...]) -> None:
    """Guards against a thread for each short write: its start delayed the core's turn and later messages."""
    sock = FailingWrites(*outcomes)
    assert sockets.send_parts_now(sock, [b"head ", b"body"]) == []  # type: ignore[arg-type]
    assert sock.written == b"head body"


def test_write_that_would_block_returns_unsent_parts() -> None:
    for last in (BlockingIOError(), OSError(errno.ENOMEM, "")):
        sock = FailingWrites(7, *[last] * sockets.MAX_SEND_NOW_TRIES)
        unsent = sockets.send_parts_now(sock, [b"head ", b"body"])  # type: ignore[arg-type]
        assert (sock.written, [bytes(view) for view in unsent]) == (b"head bo", [b"dy"])


def test_local_connect_errors_do_not_count_against_member(edge: Edge) -> None:
    """Guards against local errors counted as the member's, whose request then went to another member."""
    edge.start()
    edge.ready()
    for name in ("EADDRNOTAVAIL", "EAGAIN", "ENOBUFS"):
        edge.kill()
        edge.start()
        edge.ready()
        edge.set_fault_plan(seed=7, faults=[fault("connect", name, 1.0, first=2)])
        sock = edge.connect()
        assert sock is not None
        edge.calls.clear()
        record, _ = edge.send_request(sock)
        sock.close()
        edge.set_fault_plan()
        assert (record.status, len(edge.calls)) == (200, 1), (name, edge.calls)
        edge.signal(signal.SIGUSR1)
        until = time.monotonic() + 3.0
        while edge.log().count("event=counters") < 1:
            assert time.monotonic() < until
            time.sleep(0.02)
        counters = edge.log().rpartition("event=counters")[2]
        assert "member.connect_failed" not in counters, counters
        (edge.tmp / "log").write_text("")


def test_broken_client_connection_counts_as_disconnect(edge: Edge) -> None:
    """Guards against ETIMEDOUT ending the thread silently, while attempts continue for the lost client."""
    edge.fleet.terms.delay_s = lambda name, cls: 0.4
    edge.fleet.terms.fault = lambda name, cls: "error"  # so that a retry would follow
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
    edge.set_fault_plan(seed=7, faults=[fault("recv", "ETIMEDOUT", 1.0, connected=False)])
    sock.sendall(b"X")  # wakes its thread, whose next read fails
    time.sleep(1.0)
    edge.set_fault_plan()
    sock.close()
    assert len(edge.calls) == 1, "no retry for a client whose connection is broken"


def test_accept_is_delayed_only_for_resource_errors() -> None:
    counters: list[str] = []
    failures = AcceptFailures(counters.append)
    assert [failures.on_failure(OSError(103, "aborted")) for _ in range(50)] == [0.0] * 50
    for _ in range(MAX_TRIES):
        last = failures.on_failure(OSError(103, "aborted"))
    assert last == MAX_ACCEPT_DELAY_S, "a permanent error must not cause a busy loop"
    failures.on_success()
    delays_s = [failures.on_failure(OSError(23, "table full")) for _ in range(10)]
    assert delays_s[0] < 0.002 and delays_s == sorted(delays_s) and delays_s[-1] == MAX_ACCEPT_DELAY_S
    assert set(counters) == {"accept.econnaborted", "accept.enfile"}


def test_exclusions_are_saved_after_folder_write_errors(edge: Edge) -> None:
    """An exclusion takes effect immediately, is reported as not saved, and is saved once writes succeed."""
    edge.start()
    edge.ready()
    assert edge.call_admin("/api/exclude?name=s-1", "POST")[0] == 200
    for name in ("ENOSPC", "EIO"):
        edge.set_fault_plan(seed=7, faults=[fault("fsync", name, 1.0), fault("pwrite", name, 1.0)])
        assert edge.call_admin("/api/exclude?name=s-2", "POST")[0] == 500
        edge.set_fault_plan()
        until = time.monotonic() + 3.0
        while b"s-2" not in next(edge.tmp.glob("lupintack-*/bans.json")).read_bytes():
            assert time.monotonic() < until, edge.log()
            time.sleep(0.05)
        edge.kill()
        edge.start()
        edge.ready()
        assert edge.call_admin("/api/include?name=s-2", "POST")[0] == 200
        assert edge.call_admin("/api/exclude?name=s-1", "POST")[1].startswith("out already")


FOLDER_CALLS = {
    "lock": [fault("open", "EIO", 1.0, path="/lock")],
    "flock": [fault("flock", "ENOLCK", 1.0)],
    "own file": [fault("open", "ENOSPC", 1.0, path="/run.")],
    "writes": [fault("pwrite", "EIO", 1.0), fault("fsync", "EIO", 1.0)],
    "first file of bans": [fault("open", "EIO", 1.0, path="/bans.json")],
}


def kill_after_exclusion(edge: Edge) -> None:
    """Exclude s-1 by an operator's request, and kill the process."""
    edge.start()
    edge.ready()
    assert edge.call_admin("/api/exclude?name=s-1", "POST")[0] == 200
    edge.kill()


def assert_ban_applies(edge: Edge, duration_s: float) -> None:
    """Assert that clients are served and that s-1 gets no calls."""
    edge.calls.clear()
    edge.load(4, gap_s=0.02)
    time.sleep(duration_s)
    edge.stop()
    assert edge.calls and not edge.calls_to(["s-1"])


@pytest.mark.parametrize("failing_calls", FOLDER_CALLS)
def test_folder_unusable_at_start_is_read_and_used_later(edge: Edge, failing_calls: str) -> None:
    """An excluded member gets no calls whichever call fails, and later exclusions are saved once that is
    possible.
    """
    kill_after_exclusion(edge)
    edge.set_fault_plan(seed=7, faults=FOLDER_CALLS[failing_calls])
    edge.start()
    edge.ready()
    assert_ban_applies(edge, 1.0)
    edge.call_admin("/api/exclude?name=s-2", "POST")
    edge.set_fault_plan()
    until = time.monotonic() + 5.0
    while b"s-2" not in next(edge.tmp.glob("lupintack-*/bans.json")).read_bytes():
        assert time.monotonic() < until, edge.log()
        time.sleep(0.05)
    saved = next(edge.tmp.glob("lupintack-*/bans.json")).read_bytes()
    assert b"s-1" in saved, "the first exclusion is saved as well"


def test_unreadable_bans_delay_start(edge: Edge) -> None:
    """Guards against a start that goes on without bans after 0.5 s, so that excluded members get requests."""
    kill_after_exclusion(edge)
    edge.set_fault_plan(seed=7, faults=[fault("open", "EIO", 1.0, path="/bans")])
    edge.start()
    time.sleep(2.0)
    assert not edge.is_alive()
    edge.set_fault_plan()
    edge.ready()
    assert_ban_applies(edge, 1.0)


def test_permanently_unreadable_bans_do_not_prevent_start(edge: Edge) -> None:
    """Bans apply once they can be read; until then the log reports that they are unreadable."""
    kill_after_exclusion(edge)
    edge.set_fault_plan(seed=7, faults=[fault("open", "EIO", 1.0, path="/bans")])
    edge.start()
    assert edge.ready() < 10.0
    assert "saved bans unreadable" in edge.log()
    edge.set_fault_plan()
    time.sleep(1.0)
    assert_ban_applies(edge, 0.5)


def test_sigterm_ends_start_that_waits_for_bans(edge: Edge) -> None:
    """No connection was accepted, and no request may be served without the bans."""
    kill_after_exclusion(edge)
    edge.set_fault_plan(seed=7, faults=[fault("open", "EIO", 1.0, path="/bans")])
    edge.start()
    until = time.monotonic() + START_TIMEOUT_S
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


@pytest.mark.parametrize("failing_calls", UPGRADE_CALLS)
def test_upgrade_receives_handoff_despite_call_failures(edge: Edge, failing_calls: str) -> None:
    """Guards against a start that ends where the handoff cannot be opened once, and against one that takes a
    single failed check of the old process for its end and no longer waits for it.
    """
    edge.start()
    edge.ready()
    edge.load(2)
    time.sleep(0.5)
    edge.stop()
    plan_path = edge.tmp / "upgrade.json"
    plan_path.write_text(json.dumps({"seed": 7, "faults": UPGRADE_CALLS[failing_calls]}))
    edge.start({"EDGE_ADMIN_ADDR": f"127.0.0.1:{free_ports(1)[0]}", "LUPINTACK_SHIM": str(plan_path)})
    until = time.monotonic() + START_TIMEOUT_S
    while edge.log().count("event=ready") < 2:
        assert edge.process is not None and edge.process.poll() is None, edge.log()
        assert time.monotonic() < until, edge.log()
        time.sleep(0.05)
    line = next((text for text in edge.log().splitlines() if 'event="handoff received"' in text), edge.log())
    assert "learned=true" in line and "fault=none" in line, line


def test_unwritten_state_is_written_at_next_check(edge: Edge) -> None:
    """Guards against one write per change: other processes then saw a serving one as starting forever."""
    edge.set_fault_plan(seed=7, faults=[fault("pwrite", "ENOSPC", 1.0, first=6)])
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
def test_start_survives_transient_listener_errors(edge: Edge, name: str, error: str) -> None:
    """Guards against a start that fails with `can't listen` on a transient error: any error of socket,
    setsockopt, bind or listen was taken for a port in use by another process.
    """
    edge.set_fault_plan(seed=7, faults=[fault(name, error, 1.0, first=6)])
    edge.start()
    edge.ready()
    assert edge.call_admin("/api/ready")[0] == 200
    sock = edge.connect()
    assert sock is not None
    record, _ = edge.send_request(sock)
    sock.close()
    assert record.status == 200, edge.log()


@pytest.mark.parametrize("error", ["ENFILE", "EIO", "EINTR"])
def test_configuration_read_is_retried(edge: Edge, error: str) -> None:
    """Guards against a start that ends, and a SIGHUP that is never applied, after one failed open."""
    edge.set_fault_plan(seed=7, faults=[fault("open", error, 1.0, path="config.json", first=6)])
    edge.start()
    edge.ready()
    edge.set_fault_plan(seed=8, faults=[fault("open", error, 1.0, path="config.json", first=12)])
    edge.write(board=edge.fleet.discovery_server.address)
    edge.signal(signal.SIGHUP)
    until = time.monotonic() + 5.0
    while 'event="discovery address changed"' not in edge.log():
        assert time.monotonic() < until, edge.log()
        time.sleep(0.02)
    assert "can't be used" not in edge.log()


def test_port_in_use_ends_start_with_message(edge: Edge) -> None:
    with socket.create_server(("127.0.0.1", edge.port)):
        edge.start()
        assert edge.process is not None
        assert edge.process.wait(START_TIMEOUT_S) == 2
    assert f"can't listen at 127.0.0.1:{edge.port}: Address already in use" in edge.log()


def test_unsupported_socket_options_are_ignored() -> None:
    with socket.socket() as sock:
        assert not sockets.set_option(sock, socket.IPPROTO_TCP, 9999, 1)
        assert sockets.set_option(sock, socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
