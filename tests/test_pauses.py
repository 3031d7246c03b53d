"""A process that was kept from running acts on what was sent to it meanwhile, by when its oldest bytes came.

The kernel tells when the last bytes of a connection arrived. Older bytes that lie unread before them used to
count as just as young: discovery's beat behind a drain, a second request behind a first one.
"""

from __future__ import annotations

import signal
import socket
import threading
import time
from collections.abc import Callable, Iterator

import pytest

from lupintack.cli.demo import Router
from lupintack.config import Names
from lupintack.core.member_table import MemberTable
from lupintack.core.table_updates import TableChange
from lupintack.discovery.client import DiscoveryClient
from lupintack.discovery.connection import LineBuffer
from lupintack.standins.edge import Edge, End, read_answer, read_response
from lupintack.standins.fleet import Call, Fleet, Terms
from tests.app import App
from tests.site import eventually, site

GAPS_MS = (0, 10, 30, 60, 400, 2000)  # between the bytes that matter and the last ones
ARRIVAL_S = 0.01  # until bytes are through the proxy and in the kernel
TOLD_S = 0.25  # after an event: far under the shortest grace, over what a busy machine needs
SLACK_S = 0.15  # of a deadline that is passed on
OPERATOR = '[http2]\nenabled = true\nlisten = "{http2}"\n'


def beat(edge: Edge) -> None:
    """Discovery says its last revision, as it does each second."""
    server = edge.fleet.discovery_server
    with server.lock:
        server.send(b"%d\n" % server.rev)
    time.sleep(ARRIVAL_S)


class StoppedEdge:
    """A router with open connections whose clients have sent requests while its process stands still."""

    def __init__(self, edge: Edge, clients: int = 20) -> None:
        self.edge = edge
        edge.fleet.terms.stamped = True
        edge.start()
        edge.ready()
        self.item = "00000000000000aa"
        self.socks = [sock for sock in (edge.connect() for _ in range(clients)) if sock is not None]
        for sock in self.socks:
            edge.send_request(sock, item=self.item)
        self.first = len(edge.requests)
        self.threads: list[threading.Thread] = []
        self.told_s = 0.0
        self.unix_ms = 0

    def stop(self) -> None:
        self.edge.signal(signal.SIGSTOP)
        time.sleep(0.02)

    def tell(self, purged: bool) -> None:
        """An event of discovery's that forbids what the requests would get."""
        self.told_s, self.unix_ms = time.monotonic(), int(time.time() * 1000)
        if purged:
            self.edge.fleet.discovery_server.purge(asset=self.item)
        else:
            self.edge.publish_health("s-1", "Terminating")
            self.edge.publish_health("p-1", "Terminating")
        time.sleep(ARRIVAL_S)

    def send_requests(self) -> None:
        self.threads = [
            threading.Thread(target=self.edge.send_request, args=(sock,), kwargs={"item": self.item})
            for sock in self.socks
        ]
        for thread in self.threads:
            thread.start()
        time.sleep(0.05)

    def go_on(self) -> None:
        self.edge.signal(signal.SIGCONT)

    def check(self, purged: bool) -> None:
        """Each request has one answer, and none by what was told to be over."""
        for thread in self.threads:
            thread.join()
        requests = self.edge.requests[self.first :]
        assert {one.end for one in requests} == {End.ANSWERED}
        if purged:
            stale = [one for one in requests if 0 < one.issued_ms < self.unix_ms]
            assert not stale, (len(stale), stale[0])
        late = [] if purged else self.edge.calls_to(["s-1", "p-1"], self.told_s + TOLD_S)
        assert not late, (len(late), late[0].at_s - self.told_s)


# Discovery: what lies unread before its last bytes


@pytest.mark.parametrize(
    ("purged", "gap_ms"), [*((False, gap_ms) for gap_ms in GAPS_MS), (True, 400), (True, 2000)]
)
def test_an_event_binds_behind_a_pause_however_young_the_bytes_behind_it_are(
    edge: Edge, purged: bool, gap_ms: int
) -> None:
    """Guards against an unread drain or purge that counts as young as discovery's beat behind it."""
    stopped = StoppedEdge(edge)
    stopped.stop()
    time.sleep(0.2)
    if gap_ms < 60:  # sending takes 50 ms itself
        stopped.send_requests()
    stopped.tell(purged)
    time.sleep(max(gap_ms - 50, 0) / 1000 if gap_ms >= 60 else gap_ms / 1000)
    if gap_ms >= 60:
        stopped.send_requests()
    beat(edge)
    stopped.go_on()
    stopped.check(purged)


@pytest.mark.parametrize("pause_ms", [60, 120, 300])
def test_an_event_binds_behind_a_short_pause(edge: Edge, pause_ms: int) -> None:
    stopped = StoppedEdge(edge)
    stopped.stop()
    stopped.tell(False)
    stopped.send_requests()
    time.sleep(max(0.0, pause_ms / 1000 - 0.08))
    beat(edge)
    stopped.go_on()
    stopped.check(False)


def test_an_event_binds_behind_two_pauses_in_a_row(edge: Edge) -> None:
    stopped = StoppedEdge(edge)
    stopped.stop()
    stopped.tell(False)
    stopped.send_requests()
    time.sleep(0.4)
    beat(edge)
    stopped.go_on()
    time.sleep(0.002)
    edge.signal(signal.SIGSTOP)
    time.sleep(0.4)
    beat(edge)
    stopped.go_on()
    stopped.check(False)


# Discovery: the reader's thread alone is late, or the table's


class Watch:
    """A discovery client on a real connection, before a member table whose turn the test takes."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.table = MemberTable(6000.0, 2)
        self.table.require_proof(7_100_000)
        self.changes: list[TableChange] = []
        self.table.notify = self.changes.append
        names = Names(("a",), ("z",), ("box", "parent", "origin"), ())
        self.client = DiscoveryClient(self.listener.getsockname(), names, self.table)
        self.thread = threading.Thread(target=self.client.run, daemon=True)
        self.thread.start()
        self.sock = self.accept()
        self.send(b"0\n")
        eventually(lambda: self.table.mailbox.qsize() > 0)
        self.settle()

    def accept(self) -> socket.socket:
        sock, _ = self.listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.recv(100)
        return sock

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def hold_reader(self) -> None:
        """The reader's thread comes no further than to the next line."""
        self.client.lock.acquire()
        self.send(b"0\n")
        time.sleep(0.03)

    def settle(self) -> None:
        """The table's turn, with all that waits for it."""
        time.sleep(0.05)
        while not self.table.mailbox.empty():
            update = self.table.mailbox.get()
            assert update is not None
            self.table.receive(update)

    def close(self) -> None:
        self.client.stopped.set()
        self.sock.close()
        self.listener.close()
        self.thread.join(5.0)


@pytest.fixture
def watch() -> Iterator[Watch]:
    one = Watch()
    try:
        yield one
    finally:
        one.close()


PURGE = b'{"rev": 1, "flush": {"asset": "00000000000000aa", "ms": 1}}\n'


@pytest.mark.parametrize("gap_ms", [60, 400])
def test_bytes_that_a_late_reader_has_not_read_count_from_the_oldest(watch: Watch, gap_ms: int) -> None:
    """Guards against later bytes that move the age of those before them."""
    watch.hold_reader()
    watch.send(PURGE)
    time.sleep(gap_ms / 1000)
    watch.send(b"1\n")
    time.sleep(ARRIVAL_S)
    has_unread = watch.client.has_unread()
    watch.client.lock.release()
    assert has_unread
    eventually(lambda: not watch.client.has_unread())


def test_fresh_bytes_hold_nothing_back(watch: Watch) -> None:
    """A beat that came a moment ago is no reason to wait, however long it was quiet before."""
    time.sleep(0.3)
    watch.hold_reader()
    watch.client.lock.release()
    time.sleep(0.3)
    watch.client.lock.acquire()
    watch.send(b"0\n")
    found = [watch.client.has_unread() for _ in range(20)]
    watch.client.lock.release()
    assert not any(found)


def test_what_is_read_and_not_in_the_table_yet_holds_writes_back(watch: Watch) -> None:
    """Guards against a pause between the read of discovery's bytes and the table's turn."""
    assert not watch.table.is_behind()
    watch.send(PURGE)
    time.sleep(0.1)
    assert not watch.client.has_unread(), "it is read"
    assert watch.table.is_behind()
    watch.settle()
    assert not watch.table.is_behind()
    assert watch.changes, "the core decides anew what was held back"


def test_a_read_between_the_two_looks_of_a_write_is_noticed(watch: Watch) -> None:
    """Guards against a look at the reads before the look at the kernel: the bytes go from there to here."""
    wait, look = watch.client.wait_for_bytes, watch.client.has_unread
    go_on = threading.Event()

    def wait_and_stop(lines: LineBuffer, sock: socket.socket) -> None:
        wait(lines, sock)
        go_on.wait(5.0)

    def look_late() -> bool:
        go_on.set()
        time.sleep(0.1)
        return look()

    watch.client.wait_for_bytes = wait_and_stop  # type: ignore[method-assign]
    watch.send(b"0\n")
    watch.settle()
    watch.send(PURGE)
    time.sleep(0.1)
    watch.table.has_unread = look_late
    assert watch.table.is_behind()


@pytest.mark.parametrize("gap_ms", [60, 400])
def test_a_proof_is_as_old_as_its_own_bytes(watch: Watch, gap_ms: int) -> None:
    """Guards against a proof that is dated by later bytes of the same read."""
    watch.hold_reader()
    before_us = time.monotonic_ns() // 1000
    watch.send(b"0\n")
    time.sleep(gap_ms / 1000)
    watch.send(b"{")  # of a line that is not complete
    time.sleep(ARRIVAL_S)
    watch.client.lock.release()
    time.sleep(0.05)
    watch.settle()
    assert watch.table.validity.proved_us <= before_us + 30_000, watch.table.validity.proved_us - before_us


def test_a_connection_that_replaces_another_counts_from_its_own_oldest_bytes(watch: Watch) -> None:
    watch.sock.close()
    watch.sock = watch.accept()
    watch.send(b"0\n")
    time.sleep(0.1)
    watch.hold_reader()
    watch.send(PURGE)
    time.sleep(0.1)
    watch.send(b"1\n")
    time.sleep(ARRIVAL_S)
    has_unread = watch.client.has_unread()
    watch.client.lock.release()
    assert has_unread


def test_a_purge_behind_a_request_in_one_turn_binds_that_request() -> None:
    """Guards against an attempt that is decided before a purge, and counts as decided with it."""
    with site(Terms(stamped=True)) as play:
        item, mailbox = "00000000000000aa", play.node.core.mailbox
        sock = socket.create_connection(play.http1, timeout=5.0)
        sock.sendall(request_head(1, 2500, item))
        assert read_response(sock)[0] == 200
        with mailbox.turn_lock:  # as a turn of another thread's: what comes waits
            sock.sendall(request_head(2, 2500, item))
            eventually(lambda: len(mailbox.messages) == 1)
            time.sleep(0.01)  # stamps are whole milliseconds
            unix_ms = int(time.time() * 1000)
            play.fleet.discovery_server.purge(asset=item)
            eventually(lambda: len(mailbox.messages) == 2)
        mailbox.run_pending()
        status, _, body = read_response(sock)
        sock.close()
        assert status == 200 and int(body[7:].split(b" ", 1)[0]) >= unix_ms, (unix_ms, body[:40])


# Clients: the deadline passed to a server is at most what the client has left


def request_head(number: int, wait_ms: int, item: str = "") -> bytes:
    item = item or f"{number:016x}"
    told = f"GET /ops/map-tiles/{item} HTTP/1.1\r\nHost: x\r\nReq-Id: {number:016x}\r\n"
    return f"{told}Req-Wait-Ms: {wait_ms}\r\n\r\n".encode()


def wire_id(number: int) -> str:
    return f"{number:016x}"


def limits_over(calls: list[Call], sent_s: dict[str, float], wait_ms: int) -> dict[str, float]:
    """By how many seconds the limits of calls exceed what their clients had left, by request; the largest."""
    found: dict[str, float] = {}
    for call in calls:
        left_s = sent_s[call.wire_id] + wait_ms / 1000 - call.at_s
        over_s = int(call.fields["limit"]) / 1000 - left_s
        found[call.wire_id] = max(over_s, found.get(call.wire_id, over_s))
    return found


def send_two_while_stopped(
    send: Callable[[int], None], stop: Callable[[], None], go_on: Callable[[], None], gap_ms: int
) -> dict[str, float]:
    """Two requests on one connection whose reader stands still; when each was sent."""
    sent_s: dict[str, float] = {}
    stop()
    time.sleep(0.02)
    for number in (1, 2):
        sent_s[wire_id(number)] = time.monotonic()
        send(number)
        time.sleep(gap_ms / 1000 if number == 1 else ARRIVAL_S)
    go_on()
    return sent_s


@pytest.mark.parametrize("gap_ms", GAPS_MS)
def test_a_request_before_a_second_one_keeps_its_own_deadline_behind_a_pause(edge: Edge, gap_ms: int) -> None:
    """Guards against an unread request that counts from the arrival of the one behind it."""
    edge.start()
    edge.ready()
    sock = edge.connect()
    assert sock is not None
    edge.send_request(sock)
    edge.calls.clear()
    sent_s = send_two_while_stopped(
        lambda number: sock.sendall(request_head(number, 2500)),
        lambda: edge.signal(signal.SIGSTOP),
        lambda: edge.signal(signal.SIGCONT),
        gap_ms,
    )
    statuses = [read_answer(sock)[0] for _ in sent_s]
    over_s = limits_over(edge.calls, sent_s, 2500)
    assert statuses[1] == 200 and wire_id(2) in over_s
    assert max(over_s.values()) <= SLACK_S, over_s


class Http2Router:
    """A router process with HTTP/2 before stand-ins that record their calls."""

    def __init__(self) -> None:
        self.fleet = Fleet()
        self.calls: list[Call] = []
        self.fleet.on_call = self.calls.append
        self.router = Router(self.fleet, OPERATOR)
        self.app = App(self.router.http2)
        self.app.until(lambda: self.app.session.remote_settings.max_concurrent_streams == 100)
        self.app.answer(self.app.ask("GET", "/ops/map-tiles/00000000000000ff"))
        self.calls.clear()

    def send(self, number: int) -> None:
        self.app.ask("GET", f"/ops/map-tiles/{number:016x}", Req_Id=wire_id(number))

    def read_answers(self) -> None:
        self.app.until(lambda: all(stream.over() for stream in self.app.streams.values()))

    def close(self) -> None:
        self.app.close()
        self.router.close()
        self.fleet.close()


@pytest.fixture
def http2() -> Iterator[Http2Router]:
    one = Http2Router()
    try:
        yield one
    finally:
        one.close()


@pytest.mark.parametrize("gap_ms", [0, 400, 2000])
def test_a_stream_before_a_second_one_keeps_its_own_deadline_behind_a_pause(
    http2: Http2Router, gap_ms: int
) -> None:
    """Guards against a frame that counts from the arrival of the one behind it."""
    process = http2.router.process
    sent_s = send_two_while_stopped(
        http2.send,
        lambda: process.send_signal(signal.SIGSTOP),
        lambda: process.send_signal(signal.SIGCONT),
        gap_ms,
    )
    http2.read_answers()
    over_s = limits_over(http2.calls, sent_s, 2500)
    assert over_s and max(over_s.values()) <= SLACK_S, over_s


@pytest.mark.parametrize("cls", ["map-tiles", "alert-ack"])
def test_a_request_whose_time_ends_in_a_pause_is_refused_as_harmless(edge: Edge, cls: str) -> None:
    """Guards against a 502, which says that it may have run, for a request that went to nobody."""
    edge.start()
    edge.ready()
    sock = edge.connect()
    assert sock is not None
    edge.send_request(sock)
    edge.calls.clear()
    edge.signal(signal.SIGSTOP)
    thread = threading.Thread(target=edge.send_request, args=(sock, cls), kwargs={"wait_ms": 500})
    thread.start()
    time.sleep(1.0)
    edge.signal(signal.SIGCONT)
    thread.join()
    assert (edge.requests[-1].status, edge.calls) == (503, []), edge.log()[-500:]


def test_a_request_whose_time_ends_in_a_pause_is_told_when_to_come_back(edge: Edge) -> None:
    """Guards against clients that all come back at once, right behind a pause."""
    edge.start()
    edge.ready()
    sock = edge.connect()
    assert sock is not None
    edge.send_request(sock)
    edge.signal(signal.SIGSTOP)
    sock.sendall(request_head(1, 300))
    time.sleep(0.6)
    edge.signal(signal.SIGCONT)
    head = sock.recv(4096).lower()
    assert head.startswith(b"http/1.1 503 ") and b"\r\nsrv-wait-ms: " in head, head


# What is not late keeps its time


MAX_LOST_S = 0.4  # of a request's time, on a busy machine


def test_requests_in_several_writes_on_a_rested_connection_keep_their_time(edge: Edge) -> None:
    """Guards against an age that counts from the end of the request before."""
    edge.start()
    edge.ready()
    sock = edge.connect()
    assert sock is not None
    edge.send_request(sock)
    time.sleep(1.5)
    edge.calls.clear()
    sent_s = {wire_id(number): time.monotonic() for number in (1, 2, 3)}
    for number in (1, 2, 3):
        head = request_head(number, 2500)
        sock.sendall(head[:30])
        sock.sendall(head[30:])
    assert [read_answer(sock)[0] for _ in sent_s] == [200] * 3
    over_s = limits_over(edge.calls, sent_s, 2500)
    assert len(over_s) == 3 and min(over_s.values()) >= -MAX_LOST_S, over_s


def test_streams_in_several_writes_on_a_rested_connection_keep_their_time(http2: Http2Router) -> None:
    time.sleep(1.5)
    sent_s = {wire_id(number): time.monotonic() for number in (1, 2, 3)}
    for number in (1, 2, 3):
        http2.send(number)
    http2.read_answers()
    over_s = limits_over(http2.calls, sent_s, 2500)
    assert len(over_s) == 3 and min(over_s.values()) >= -MAX_LOST_S, over_s


def test_a_request_that_comes_at_the_end_of_a_pause_keeps_its_time(edge: Edge) -> None:
    edge.start()
    edge.ready()
    sock = edge.connect()
    assert sock is not None
    edge.send_request(sock)
    edge.calls.clear()
    edge.signal(signal.SIGSTOP)
    time.sleep(2.0)
    sent_s = {wire_id(1): time.monotonic()}
    sock.sendall(request_head(1, 2500))
    time.sleep(ARRIVAL_S)
    edge.signal(signal.SIGCONT)
    assert read_answer(sock)[0] == 200
    over_s = limits_over(edge.calls, sent_s, 2500)
    assert min(over_s.values()) >= -MAX_LOST_S, over_s
