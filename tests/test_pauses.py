"""After a pause a process dates the bytes it has received by the arrival of the oldest ones.

Guards against unread bytes that are dated by later bytes of the same connection, since the kernel reports
only when the last ones arrived: a drain by the heartbeat of discovery after it, or a request by the next
request.
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

GAPS_MS = (0, 10, 30, 60, 400, 2000)  # between the bytes under test and the last ones
ARRIVAL_S = 0.01  # until bytes have passed the proxy and reached the kernel
NOTIFIED_S = 0.25  # after an event: far below the shortest grace, above the need of a busy machine
SLACK_S = 0.15  # of a deadline that is passed on
OPERATOR = '[http2]\nenabled = true\nlisten = "{http2}"\n'


def send_heartbeat(edge: Edge) -> None:
    """Send discovery's last revision, as the server does each second."""
    server = edge.fleet.discovery_server
    with server.lock:
        server.send(b"%d\n" % server.rev)
    time.sleep(ARRIVAL_S)


class StoppedEdge:
    """A router with open connections whose clients send requests while its process is stopped."""

    def __init__(self, edge: Edge, clients: int = 20) -> None:
        self.edge = edge
        edge.fleet.terms.stamped = True
        edge.start()
        edge.ready()
        self.item = "00000000000000aa"
        self.socks = [sock for sock in (edge.connect() for _ in range(clients)) if sock is not None]
        for sock in self.socks:
            edge.send_request(sock, item=self.item)
        self.first_request = len(edge.requests)
        self.threads: list[threading.Thread] = []
        self.published_s = 0.0
        self.unix_ms = 0

    def stop(self) -> None:
        self.edge.signal(signal.SIGSTOP)
        time.sleep(0.02)

    def publish_event(self, is_purge: bool) -> None:
        """Publish a purge, or a drain of the members that would serve the requests."""
        self.published_s, self.unix_ms = time.monotonic(), int(time.time() * 1000)
        if is_purge:
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

    def resume(self) -> None:
        self.edge.signal(signal.SIGCONT)

    def check(self, is_purge: bool) -> None:
        """Assert one response per request, and none from a purged copy or a drained member."""
        for thread in self.threads:
            thread.join()
        requests = self.edge.requests[self.first_request :]
        assert {request.end for request in requests} == {End.ANSWERED}
        if is_purge:
            stale = [request for request in requests if 0 < request.issued_ms < self.unix_ms]
            assert not stale, (len(stale), stale[0])
        late = [] if is_purge else self.edge.calls_to(["s-1", "p-1"], self.published_s + NOTIFIED_S)
        assert not late, (len(late), late[0].at_s - self.published_s)


# Discovery: unread events before the last bytes


@pytest.mark.parametrize(
    ("is_purge", "gap_ms"), [*((False, gap_ms) for gap_ms in GAPS_MS), (True, 400), (True, 2000)]
)
def test_event_applies_after_pause_regardless_of_later_bytes(edge: Edge, is_purge: bool, gap_ms: int) -> None:
    """Guards against an unread drain or purge that is dated by the heartbeat of discovery after it."""
    stopped = StoppedEdge(edge)
    stopped.stop()
    time.sleep(0.2)
    if gap_ms < 60:  # sending takes 50 ms itself
        stopped.send_requests()
    stopped.publish_event(is_purge)
    time.sleep(max(gap_ms - 50, 0) / 1000 if gap_ms >= 60 else gap_ms / 1000)
    if gap_ms >= 60:
        stopped.send_requests()
    send_heartbeat(edge)
    stopped.resume()
    stopped.check(is_purge)


@pytest.mark.parametrize("pause_ms", [60, 120, 300])
def test_event_applies_after_short_pause(edge: Edge, pause_ms: int) -> None:
    stopped = StoppedEdge(edge)
    stopped.stop()
    stopped.publish_event(False)
    stopped.send_requests()
    time.sleep(max(0.0, pause_ms / 1000 - 0.08))
    send_heartbeat(edge)
    stopped.resume()
    stopped.check(False)


def test_event_applies_after_two_consecutive_pauses(edge: Edge) -> None:
    stopped = StoppedEdge(edge)
    stopped.stop()
    stopped.publish_event(False)
    stopped.send_requests()
    time.sleep(0.4)
    send_heartbeat(edge)
    stopped.resume()
    time.sleep(0.002)
    edge.signal(signal.SIGSTOP)
    time.sleep(0.4)
    send_heartbeat(edge)
    stopped.resume()
    stopped.check(False)


# Discovery: only the reader's thread, or only the table's, is delayed


class Watch:
    """A discovery client on a real connection, with a member table whose turns the test runs."""

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
        """Block the reader's thread at its next line."""
        self.client.lock.acquire()
        self.send(b"0\n")
        time.sleep(0.03)

    def settle(self) -> None:
        """Run the table's turn with all pending updates."""
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
    new_watch = Watch()
    try:
        yield new_watch
    finally:
        new_watch.close()


PURGE = b'{"rev": 1, "flush": {"asset": "00000000000000aa", "ms": 1}}\n'


@pytest.mark.parametrize("gap_ms", [60, 400])
def test_unread_bytes_are_dated_by_the_oldest(watch: Watch, gap_ms: int) -> None:
    """Guards against later bytes that change the age of earlier ones."""
    watch.hold_reader()
    watch.send(PURGE)
    time.sleep(gap_ms / 1000)
    watch.send(b"1\n")
    time.sleep(ARRIVAL_S)
    has_unread = watch.client.has_unread()
    watch.client.lock.release()
    assert has_unread
    eventually(lambda: not watch.client.has_unread())


def test_recent_bytes_do_not_block_writes(watch: Watch) -> None:
    """A recent heartbeat does not block writes, even after a long time without lines."""
    time.sleep(0.3)
    watch.hold_reader()
    watch.client.lock.release()
    time.sleep(0.3)
    watch.client.lock.acquire()
    watch.send(b"0\n")
    results = [watch.client.has_unread() for _ in range(20)]
    watch.client.lock.release()
    assert not any(results)


def test_events_read_but_not_yet_in_table_block_writes(watch: Watch) -> None:
    """Guards against a pause between the read of discovery's bytes and the table's turn."""
    assert not watch.table.is_behind()
    watch.send(PURGE)
    time.sleep(0.1)
    assert not watch.client.has_unread(), "the bytes have been read"
    assert watch.table.is_behind()
    watch.settle()
    assert not watch.table.is_behind()
    assert watch.changes, "the core repeats the decisions on blocked writes"


def test_read_between_two_checks_of_a_write_is_detected(watch: Watch) -> None:
    """Guards against checking pending reads before the kernel: bytes may be read between the two checks."""
    wait, has_unread = watch.client.wait_for_bytes, watch.client.has_unread
    may_read = threading.Event()

    def wait_then_block(lines: LineBuffer, sock: socket.socket) -> None:
        wait(lines, sock)
        may_read.wait(5.0)

    def has_unread_late() -> bool:
        may_read.set()
        time.sleep(0.1)
        return has_unread()

    watch.client.wait_for_bytes = wait_then_block  # type: ignore[method-assign]
    watch.send(b"0\n")
    watch.settle()
    watch.send(PURGE)
    time.sleep(0.1)
    watch.table.has_unread = has_unread_late
    assert watch.table.is_behind()


@pytest.mark.parametrize("gap_ms", [60, 400])
def test_proof_is_dated_by_its_own_bytes(watch: Watch, gap_ms: int) -> None:
    """Guards against a proof that is dated by later bytes of the same read."""
    watch.hold_reader()
    before_us = time.monotonic_ns() // 1000
    watch.send(b"0\n")
    time.sleep(gap_ms / 1000)
    watch.send(b"{")  # of an incomplete line
    time.sleep(ARRIVAL_S)
    watch.client.lock.release()
    time.sleep(0.05)
    watch.settle()
    assert watch.table.validity.proved_us <= before_us + 30_000, watch.table.validity.proved_us - before_us


def test_new_connection_is_dated_by_its_own_oldest_bytes(watch: Watch) -> None:
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


def test_purge_after_request_in_same_turn_applies_to_request() -> None:
    """Guards against an attempt that is decided before a purge, but is treated as decided after it."""
    with site(Terms(stamped=True)) as router:
        item, mailbox = "00000000000000aa", router.node.core.mailbox
        sock = socket.create_connection(router.http1, timeout=5.0)
        sock.sendall(request_head(1, 2500, item))
        assert read_response(sock)[0] == 200
        with mailbox.turn_lock:  # as in a turn of another thread: messages wait
            sock.sendall(request_head(2, 2500, item))
            eventually(lambda: len(mailbox.messages) == 1)
            time.sleep(0.01)  # timestamps are whole milliseconds
            unix_ms = int(time.time() * 1000)
            router.fleet.discovery_server.purge(asset=item)
            eventually(lambda: len(mailbox.messages) == 2)
        mailbox.run_pending()
        status, _, body = read_response(sock)
        sock.close()
        assert status == 200 and int(body[7:].split(b" ", 1)[0]) >= unix_ms, (unix_ms, body[:40])


# Clients: the deadline passed to a server is at most what the client has left


def request_head(number: int, wait_ms: int, item: str = "") -> bytes:
    item = item or f"{number:016x}"
    head = f"GET /ops/map-tiles/{item} HTTP/1.1\r\nHost: x\r\nReq-Id: {number:016x}\r\n"
    return f"{head}Req-Wait-Ms: {wait_ms}\r\n\r\n".encode()


def wire_id(number: int) -> str:
    return f"{number:016x}"


def limit_excess_s(calls: list[Call], sent_s: dict[str, float], wait_ms: int) -> dict[str, float]:
    """Return the largest excess of each request's limits over its client's remaining time, in seconds."""
    largest_s: dict[str, float] = {}
    for call in calls:
        left_s = sent_s[call.wire_id] + wait_ms / 1000 - call.at_s
        excess_s = int(call.fields["limit"]) / 1000 - left_s
        largest_s[call.wire_id] = max(excess_s, largest_s.get(call.wire_id, excess_s))
    return largest_s


def send_two_while_stopped(
    send: Callable[[int], None], stop: Callable[[], None], resume: Callable[[], None], gap_ms: int
) -> dict[str, float]:
    """Send two requests on one connection whose reader is stopped; return when each was sent."""
    sent_s: dict[str, float] = {}
    stop()
    time.sleep(0.02)
    for number in (1, 2):
        sent_s[wire_id(number)] = time.monotonic()
        send(number)
        time.sleep(gap_ms / 1000 if number == 1 else ARRIVAL_S)
    resume()
    return sent_s


@pytest.mark.parametrize("gap_ms", GAPS_MS)
def test_request_keeps_its_deadline_when_another_follows_in_pause(edge: Edge, gap_ms: int) -> None:
    """Guards against an unread request that is dated by the arrival of the next one."""
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
    excess_s = limit_excess_s(edge.calls, sent_s, 2500)
    assert statuses[1] == 200 and wire_id(2) in excess_s
    assert max(excess_s.values()) <= SLACK_S, excess_s


class Http2Router:
    """A router process with HTTP/2 and stand-ins that record their calls."""

    def __init__(self) -> None:
        self.fleet = Fleet()
        self.calls: list[Call] = []
        self.fleet.on_call = self.calls.append
        self.router = Router(self.fleet, OPERATOR)
        self.app = App(self.router.http2)
        self.app.read_until(lambda: self.app.session.remote_settings.max_concurrent_streams == 100)
        self.app.read_response(self.app.send_request("GET", "/ops/map-tiles/00000000000000ff"))
        self.calls.clear()

    def send(self, number: int) -> None:
        self.app.send_request("GET", f"/ops/map-tiles/{number:016x}", Req_Id=wire_id(number))

    def read_answers(self) -> None:
        self.app.read_until(lambda: all(stream.has_ended() for stream in self.app.streams.values()))

    def close(self) -> None:
        self.app.close()
        self.router.close()
        self.fleet.close()


@pytest.fixture
def http2() -> Iterator[Http2Router]:
    router = Http2Router()
    try:
        yield router
    finally:
        router.close()


@pytest.mark.parametrize("gap_ms", [0, 400, 2000])
def test_stream_keeps_its_deadline_when_another_follows_in_pause(http2: Http2Router, gap_ms: int) -> None:
    """Guards against a frame that is dated by the arrival of the next one."""
    process = http2.router.process
    sent_s = send_two_while_stopped(
        http2.send,
        lambda: process.send_signal(signal.SIGSTOP),
        lambda: process.send_signal(signal.SIGCONT),
        gap_ms,
    )
    http2.read_answers()
    excess_s = limit_excess_s(http2.calls, sent_s, 2500)
    assert excess_s and max(excess_s.values()) <= SLACK_S, excess_s


@pytest.mark.parametrize("cls", ["map-tiles", "alert-ack"])
def test_request_expired_in_pause_gets_503_without_attempt(edge: Edge, cls: str) -> None:
    """Guards against a 502, which means that it may have run, for a request that was sent to no member."""
    edge.start()
    edge.ready()
    sock = edge.connect()
    assert sock is not None
    edge.send_request(sock)
    edge.calls.clear()
    edge.pause()  # a request that comes while a thread still runs is served
    thread = threading.Thread(target=edge.send_request, args=(sock, cls), kwargs={"wait_ms": 500})
    thread.start()
    time.sleep(1.0)
    edge.signal(signal.SIGCONT)
    thread.join()
    assert (edge.requests[-1].status, edge.calls) == (503, []), edge.log()[-500:]


def test_request_expired_in_pause_gets_retry_delay(edge: Edge) -> None:
    """Guards against clients that all retry simultaneously after a pause."""
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


# Requests that are read in time keep their time


MAX_LOST_S = 0.4  # of a request's time, on a busy machine


def test_answers_that_come_together_are_read_one_by_one() -> None:
    """Guards against a stand-in client that drops the next answer where both lie in its buffer."""
    ours, theirs = socket.socketpair()
    with ours, theirs:
        ours.settimeout(5.0)
        bodies = [b"first", b"", b"third" * 20_000]
        for body in bodies[:2]:
            theirs.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        theirs.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r" % len(bodies[2]))
        assert [read_response(ours)[2] for _ in bodies[:2]] == bodies[:2]
        threading.Thread(target=theirs.sendall, args=(b"\n\r\n" + bodies[2],), daemon=True).start()
        assert read_response(ours) == (200, True, bodies[2])
        theirs.shutdown(socket.SHUT_WR)
        with pytest.raises(EOFError):
            read_response(ours)


def test_requests_in_several_writes_on_idle_connection_keep_their_time(edge: Edge) -> None:
    """Guards against an age that is measured from the end of the previous request."""
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
    excess_s = limit_excess_s(edge.calls, sent_s, 2500)
    assert len(excess_s) == 3 and min(excess_s.values()) >= -MAX_LOST_S, excess_s


def test_streams_in_several_writes_on_idle_connection_keep_their_time(http2: Http2Router) -> None:
    time.sleep(1.5)
    sent_s = {wire_id(number): time.monotonic() for number in (1, 2, 3)}
    for number in (1, 2, 3):
        http2.send(number)
    http2.read_answers()
    excess_s = limit_excess_s(http2.calls, sent_s, 2500)
    assert len(excess_s) == 3 and min(excess_s.values()) >= -MAX_LOST_S, excess_s


def test_request_at_end_of_pause_keeps_its_time(edge: Edge) -> None:
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
    excess_s = limit_excess_s(edge.calls, sent_s, 2500)
    assert min(excess_s.values()) >= -MAX_LOST_S, excess_s
