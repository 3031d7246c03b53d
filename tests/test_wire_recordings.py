"""Encoded and decoded messages on each wire match those recorded with an earlier version."""

from __future__ import annotations

import socket
import threading
import time
import tomllib
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

import pytest

from lupintack.budgets import messages as budget_messages
from lupintack.budgets.codec import BudgetCodec, TwoLevelCodec
from lupintack.budgets.hierarchy import Level
from lupintack.budgets.messages import Epoch
from lupintack.config import Names
from lupintack.core.entity_tags import NO_TAGS, parse_if_none_match
from lupintack.core.messages import Answer, Attempt, ClientRequest
from lupintack.core.purge_memory import PurgeMemory
from lupintack.core.timestamps import CopyClock
from lupintack.discovery.client import DiscoveryClient
from lupintack.discovery.events import EventError, parse_event
from lupintack.fleet.exchange import ExchangeService
from lupintack.fronts.admin import Admin, AdminResult
from lupintack.fronts.cdni import conf as cdni_conf
from lupintack.fronts.cdni.front import CdniFront
from lupintack.fronts.exchange import Exchange
from lupintack.fronts.http1 import Http1Server
from lupintack.fronts.http2 import Http2Server
from lupintack.fronts.platform import ClientSink, Platform
from lupintack.interface import Idempotency, ServiceClass
from lupintack.limits.streams import StreamTerms
from lupintack.membership.messages import FullState, Message, MessageCodec, SuspicionReport
from lupintack.peers import connection, connection_pool, peer, platform_wire, resp
from lupintack.peers.config import PeerConfig
from tests.recordings import as_bytes, as_text, plain, recorded
from tests.site import eventually

REQUESTS = recorded("wires/platform_requests.json")
ANSWERS = recorded("wires/platform_answers.json")
HTTP1 = recorded("wires/platform_http1.json")
HTTP2 = recorded("wires/platform_http2.json")
SECOND_ADDRESS = recorded("wires/second_address.json")
CDNI = recorded("wires/cdni.json")
DISCOVERY = recorded("wires/discovery.json")
ROUTERS = recorded("wires/routers.json")
EXCHANGE = recorded("wires/router_exchange.json")

TIMEOUT_S = 5.0
LOOPBACK = "127.0.0.1"
REQUEST_FIELDS = (
    "wire_id", "class_index", "item", "object_id", "part", "group", "is_retry", "is_write", "body",
    "cached_tag", "idempotency_key", "size_kb", "class_name",
)  # fmt: skip
CLASS_NAMES = ("map-tiles", "alert-ack", "alert-log")
HTTP2_DATA, HTTP2_HEADERS, HTTP2_RESET, HTTP2_GOAWAY = 0, 1, 3, 7
HTTP2_HEAD_BYTES = 9
END_STREAM = 1


def spawn(call: Callable[[], None], name: str) -> None:
    """Run a function on a new thread."""
    threading.Thread(target=call, name=name, daemon=True).start()


def ignore(name: str) -> None:
    """Ignore a counter."""


# Stand-ins for the components behind a front


class RecordingCore:
    """Records requests, and answers each immediately as the last hex digit of its object id determines."""

    def __init__(self) -> None:
        classes = (
            ServiceClass("map-tiles"),
            ServiceClass("alert-ack", idempotency=Idempotency.KEYED, is_write=True),
            ServiceClass("alert-log", idempotency=Idempotency.NOT_IDEMPOTENT, is_write=True),
        )
        self.settings = SimpleNamespace(classes=classes)
        self.counters = SimpleNamespace(increment=ignore)
        self.member_table = SimpleNamespace(purge_memory=PurgeMemory(0.0))
        self.submitted: list[dict[str, Any]] = []

    def submit(self, request: ClientRequest) -> None:
        """Record a request and answer it."""
        fields = {name: plain(getattr(request, name)) for name in REQUEST_FIELDS}
        sink = request.sink
        if isinstance(sink, ClientSink):
            fields["wait_us"] = request.deadline_us - sink.exchange.request.received_us
        self.submitted.append(fields)
        kind = request.object_id % 16
        if kind == 1:
            sink.serve(Answer(b"BODY\x00\xff", "v1", 5), False)
        elif kind == 2:
            sink.serve(Answer(b"", "v1", 5), True)
        elif kind == 3:
            sink.reject(250)
        elif kind == 4:
            sink.reject(0)
        elif kind == 5:
            sink.fail()
        elif kind == 6:
            sink.report_conflict()
        else:
            sink.serve(Answer(bytearray(b""), "", 0), False)


class RecordingMembers:
    """Records the purges that a front requests."""

    def __init__(self) -> None:
        self.purges: list[list[Any]] = []

    def purge(
        self, object_id: int | None, group: int, unix_ms: float | None, done: Callable[[], None] | None = None
    ) -> None:
        """Record a purge, and report it as in force immediately."""
        self.purges.append([object_id, group, unix_ms])
        if done is not None:
            done()


class StubAdminService:
    """Answers each operator call with a fixed result that contains its name."""

    def ready(self) -> AdminResult:
        """Return a success."""
        return AdminResult(200, "ready")

    def exclude(self, name: str) -> AdminResult:
        """Return a success, or 404 for the name `none`."""
        return AdminResult(404, "no such cache") if name == "none" else AdminResult(200, f"exclude {name}")

    def include(self, name: str) -> AdminResult:
        """Return a success."""
        return AdminResult(200, f"include {name}")

    def evacuate(self) -> AdminResult:
        """Return that the call was accepted."""
        return AdminResult(202, "evacuate")

    def rejoin(self) -> AdminResult:
        """Return a conflict."""
        return AdminResult(409, "rejoin")


# Connections


def start_http1_server(
    handle: Callable[[Exchange], None], max_body_bytes: int, bodyless: bool = False
) -> int:
    """Start an HTTP/1.1 server and return its port."""
    server = Http1Server((LOOPBACK, 0), handle, spawn, ignore, 8, max_body_bytes, bodyless=bodyless)
    server.open()
    spawn(server.run, "recorded server")
    return int(server.sock.getsockname()[1])


def exchange_http1(port: int, request: bytes) -> bytes:
    """Send a request on a new connection and return all data received until it ends."""
    received = b""
    with socket.create_connection((LOOPBACK, port), timeout=TIMEOUT_S) as sock:
        sock.sendall(request)
        while data := sock.recv(65536):
            received += data
    return received


def exchange_http2(port: int, request: bytes) -> bytes:
    """Send a request and return the data received until the end of stream 1 or of the connection."""
    received, position = b"", 0
    with socket.create_connection((LOOPBACK, port), timeout=TIMEOUT_S) as sock:
        sock.sendall(request)
        while True:
            while len(received) - position >= HTTP2_HEAD_BYTES:
                head = received[position : position + HTTP2_HEAD_BYTES]
                end = position + HTTP2_HEAD_BYTES + int.from_bytes(head[:3], "big")
                if len(received) < end:
                    break
                position = end
                kind, flags, stream = head[3], head[4], int.from_bytes(head[5:], "big")
                ends_stream = kind in (HTTP2_DATA, HTTP2_HEADERS) and flags & END_STREAM
                if (stream == 1 and (ends_stream or kind == HTTP2_RESET)) or kind == HTTP2_GOAWAY:
                    return received[:position]
            data = sock.recv(65536)
            if not data:
                return received
            received += data


def parse_array(data: bytes) -> list[bytearray]:
    """Return the strings of one encoded array."""
    ours, theirs = socket.socketpair()
    with ours, theirs:
        theirs.sendall(data)
        return list(resp.Reader(ours).read_array())


# Caches, parents and the origin


def recorded_attempt(case: dict[str, Any]) -> Attempt:
    """Return the attempt of a recorded command."""
    request = ClientRequest(
        wire_id=case["wire_id"],
        class_index=0,
        item=case["item"],
        object_id=int(case["item"], 16),
        part=case["part"],
        group=0,
        deadline_us=case["deadline_us"],
        sink=mock.Mock(is_disconnected=lambda: False),
        body=as_bytes(case["body"]),
        cached_tags=parse_if_none_match(f'"{case["cached_tag"]}"') if case["cached_tag"] else NO_TAGS,
        idempotency_key=case["idempotency_key"],
    )
    return Attempt(
        request=request,
        number=0,
        member=1,
        source=0,
        class_name=case["class_name"],
        source_name=case["source_name"],
        retention_priority=case["retention_priority"],
        max_age_ms=case["max_age_ms"],
        coalesce=case["coalesce"],
        revalidate=case["revalidate"],
        only_if_cached=case["only_if_cached"],
        decided_us=0,
        purges_known=0,
        is_outdated=lambda attempt: False,
    )


@pytest.mark.parametrize("case", REQUESTS["wants"], ids=lambda case: str(case["name"]))
def test_attempt_command_matches_recording(case: dict[str, Any]) -> None:
    assert as_text(platform_wire.encode_attempt(recorded_attempt(case), case["now_us"])) == case["bytes"]


def test_attempts_cancel_and_health_check_on_a_connection_match_recording() -> None:
    clock_us = [int(REQUESTS["now_us"])]
    plain_case, second_case = REQUESTS["wants"][0], dict(REQUESTS["wants"][1], wire_id="00000000000000a2")
    first, second = recorded_attempt(plain_case), recorded_attempt(second_case)
    expected = as_bytes(REQUESTS["connection"]["bytes"])
    received = b""
    listener = socket.create_server((LOOPBACK, 0))
    with listener, ExitStack() as patches:
        for module in (connection, connection_pool, peer):
            patches.enter_context(mock.patch.object(module, "now_us", lambda: clock_us[0]))
        config = PeerConfig(32, 1_000_000, 10_000_000, ("busy_reqs", "cpu_share"))
        member = peer.Peer("c1", listener.getsockname(), config, lambda result: None, spawn)
        member.send(first)
        sock, _ = listener.accept()
        with sock:
            sock.settimeout(TIMEOUT_S)
            received += sock.recv(65536)
            member.send(second)
            received += sock.recv(65536)
            member.cancel(first, True)
            received += sock.recv(65536)
            clock_us[0] += 700_000
            member.tick()
            while len(received) < len(expected):
                received += sock.recv(65536)
            member.tick()
            sock.settimeout(0.1)
            with pytest.raises(TimeoutError):
                sock.recv(1)
    assert received == expected


@pytest.mark.parametrize("case", ANSWERS["answers"], ids=lambda case: str(case["name"]))
def test_parsed_answer_matches_recording(case: dict[str, Any]) -> None:
    request = cast(ClientRequest, SimpleNamespace(is_write=case["is_write"], cached_tag=case["cached_tag"]))
    parts, clock = parse_array(as_bytes(case["bytes"])), CopyClock(ANSWERS["unix_offset_us"])
    with mock.patch.object(platform_wire, "now_us", lambda: ANSWERS["now_us"]):
        if case["status"] == "FrameError":
            with pytest.raises(resp.FrameError):
                platform_wire.parse_answer(parts, request, tuple(ANSWERS["reports"]), clock)
            return
        status, answer = platform_wire.parse_answer(parts, request, tuple(ANSWERS["reports"]), clock)
    assert status.name == case["status"]
    assert plain(answer, named=True) == case["answer"]


@pytest.mark.parametrize("case", ANSWERS["probe_answers"], ids=lambda case: repr(case["bytes"]))
def test_recognition_of_health_check_answers_matches_recording(case: dict[str, Any]) -> None:
    assert (
        platform_wire.is_health_check_answer(parse_array(as_bytes(case["bytes"]))) is case["is_probe_answer"]
    )


@pytest.mark.parametrize("case", ANSWERS["frames"], ids=lambda case: str(case["name"]))
def test_parsed_and_rejected_arrays_match_recording(case: dict[str, Any]) -> None:
    ours, theirs = socket.socketpair()
    theirs.sendall(as_bytes(case["bytes"]))
    theirs.close()
    arrays: list[list[str]] = []
    with ours:
        reader = resp.Reader(ours)
        error = resp.EndOfStreamError if case["ends_with"] == "closed" else resp.FrameError
        with pytest.raises(error):
            while True:
                arrays.append([as_text(part) for part in reader.read_array()])
    assert arrays == case["arrays"]


# Clients


@pytest.fixture(scope="module")
def core() -> RecordingCore:
    """Return the core behind the platform's front."""
    return RecordingCore()


@pytest.fixture(scope="module")
def ready() -> list[bool]:
    """Return a one-element list with the readiness that the front reports."""
    return [True]


@pytest.fixture(scope="module")
def platform(core: RecordingCore, ready: list[bool]) -> Platform:
    """Return the platform's front."""
    return Platform(cast(Any, core), CLASS_NAMES, lambda: ready[0])


@pytest.fixture(scope="module")
def http1_port(platform: Platform) -> int:
    """Return the port of the platform's front over HTTP/1.1."""
    return start_http1_server(platform.handle, 48_000)


@pytest.fixture(scope="module")
def http2_port(platform: Platform) -> Iterator[int]:
    """Return the port of the platform's front over HTTP/2."""
    server = Http2Server(
        (LOOPBACK, 0), platform.handle, spawn, ignore, 8, 48_000, StreamTerms(), lambda: 100,
        default_priority=platform.default_priority,
    )  # fmt: skip
    server.open()
    spawn(server.run, "recorded HTTP/2 server")
    yield int(server.sock.getsockname()[1])


@pytest.mark.parametrize("case", HTTP1, ids=lambda case: str(case["name"]))
def test_http1_requests_and_responses_match_recording(
    case: dict[str, Any], http1_port: int, core: RecordingCore, ready: list[bool]
) -> None:
    core.submitted.clear()
    ready[0] = case.get("ready", True)
    assert as_text(exchange_http1(http1_port, as_bytes(case["request"]))) == case["response"]
    ready[0] = True
    assert core.submitted == case["taken"]


@pytest.mark.parametrize("case", HTTP2, ids=lambda case: str(case["name"]))
def test_http2_requests_and_frames_match_recording(
    case: dict[str, Any], http2_port: int, core: RecordingCore
) -> None:
    core.submitted.clear()
    assert exchange_http2(http2_port, bytes.fromhex(case["request"])).hex() == case["response"]
    assert core.submitted == case["taken"]


# The second address


@pytest.fixture(scope="module")
def admin_ports() -> dict[str, int]:
    """Return the ports of two second addresses, with and without a fleet view."""
    service = StubAdminService()
    return {
        "with_fleet": start_http1_server(
            Admin(service, lambda: '{"routers": []}').handle, 4096, bodyless=True
        ),
        "without_fleet": start_http1_server(Admin(service).handle, 4096, bodyless=True),
    }


@pytest.mark.parametrize("kind", sorted(SECOND_ADDRESS))
def test_second_address_answers_match_recording(kind: str, admin_ports: dict[str, int]) -> None:
    assert SECOND_ADDRESS[kind]
    for case in SECOND_ADDRESS[kind]:
        response = as_text(exchange_http1(admin_ports[kind], as_bytes(case["request"])))
        assert response == case["response"], case["name"]


# Other CDNs


def answer_call(sock: socket.socket, address: tuple[str, int], calls: list[dict[str, Any]]) -> None:
    """Read one request on a connection, record it and send the recorded reply."""
    received = b""
    while b"\r\n\r\n" not in received:
        received += sock.recv(65536)
    head, _, body = received.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length"):
            length = int(line.split(b":")[1])
    while len(body) < length:
        body += sock.recv(65536)
    calls.append({"to": list(address), "bytes": as_text(head + b"\r\n\r\n" + body)})
    missing = "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n"
    sock.sendall(as_bytes(CDNI["replies"].get(as_text(head.split(b" HTTP")[0]), missing)))
    sock.close()


def test_cdni_messages_match_recording() -> None:
    """The cases run in sequence: later ones depend on triggers and metadata of earlier ones."""
    calls: list[dict[str, Any]] = []
    core, members, connect = RecordingCore(), RecordingMembers(), socket.create_connection

    def connect_to_peer(address: tuple[str, int], timeout: float | None = None) -> socket.socket:
        if address[0] == LOOPBACK:
            return connect(address, timeout)
        ours, theirs = socket.socketpair()
        spawn(lambda: answer_call(theirs, address, calls), "peer CDN")
        return ours

    conf = cdni_conf.parse(tomllib.loads(CDNI["conf"]), "cdni.toml", tuple(CDNI["classes"]))
    front = CdniFront(conf, cast(Any, core), cast(Any, members), lambda: True, lambda call, name: None)
    port = start_http1_server(front.handle, 1 << 20)
    assert len(CDNI["cases"]) == 55
    with (
        mock.patch("socket.create_connection", connect_to_peer),
        mock.patch("time.time", lambda: CDNI["unix_s"]),
    ):
        for case in CDNI["cases"]:
            del core.submitted[:], calls[:], members.purges[:]
            response = as_text(exchange_http1(port, as_bytes(case["request"])))
            for queue in (front.triggers.purge_queue, front.triggers.preposition_queue):
                while not queue.empty():
                    front.triggers.execute(queue.get())
            for forwarder in front.triggers.forwarders:
                while not forwarder.is_idle():
                    forwarder.step()
            for request in core.submitted:
                request.pop("wait_us", None)
                if "preposition" in case["name"]:
                    request["wire_id"] = "RANDOM"
            actual = {
                "response": response, "taken": core.submitted, "calls": calls, "purges": members.purges,
            }  # fmt: skip
            assert actual == {key: case[key] for key in actual}, case["name"]


# Discovery


@pytest.mark.parametrize("case", DISCOVERY["watches"], ids=lambda case: str(case["last"]))
def test_watch_request_matches_recording(case: dict[str, Any]) -> None:
    table = mock.MagicMock(current=False, notified_us=0)
    names = Names(("map-tiles",), ("north", "south"), ("cache", "parent", "store"), ("busy_reqs",))
    with socket.create_server((LOOPBACK, 0)) as listener:
        client = DiscoveryClient(listener.getsockname(), names, table, 7)
        client.load_initial_log({"rev": case["last"]})
        client.start(spawn)
        sock, _ = listener.accept()
        with sock:
            sock.settimeout(TIMEOUT_S)
            received = b""
            while not received.endswith(b"\n"):
                received += sock.recv(100)
            client.stopped.set()
    assert as_text(received) == case["bytes"]


@pytest.mark.parametrize("case", DISCOVERY["events"], ids=lambda case: str(case["notice"])[:60])
def test_parsed_event_matches_recording(case: dict[str, Any]) -> None:
    names = Names(("map-tiles",), ("north", "south"), ("cache", "parent", "store"), ("busy_reqs",))
    if case["event"] is None:
        with pytest.raises(EventError):
            parse_event(case["notice"], names)
        return
    event = parse_event(case["notice"], names)
    assert [type(event).__name__, *plain(event)] == case["event"]


# Between routers


# Fields of Message by their names in the recording
RECORDED_FIELDS = {
    "seq": "sequence",
    "view": "view_id",
    "held": "receiver_seen",
    "news": "records",
    "pad": "padding",
}


def router_codec() -> MessageCodec:
    """Return the codec of the recorded fleet."""
    return MessageCodec(ROUTERS["fleet"], ROUTERS["secret"])


@pytest.mark.parametrize("case", ROUTERS["messages"], ids=lambda case: str(case["bytes"][:30]))
def test_membership_message_matches_recording(case: dict[str, Any]) -> None:
    values = {RECORDED_FIELDS.get(key, key): value for key, value in case["fields"].items()}
    values["receiver_seen"] = tuple(values.get("receiver_seen", (0, 0, -1)))
    values["records"] = [tuple(record) for record in values.get("records", [])]
    values["reports"] = [SuspicionReport(*report) for report in values.get("reports", [])]
    values["padding"] = values.get("padding", "").encode()
    message = Message(**values)
    assert router_codec().encode(message).hex() == case["bytes"]
    assert router_codec().decode(bytes.fromhex(case["bytes"])) == message


@pytest.mark.parametrize("case", ROUTERS["full_states"], ids=lambda case: str(case["view"]))
def test_full_state_matches_recording(case: dict[str, Any]) -> None:
    records = [tuple(record) for record in case["records"]]
    message = FullState(tuple(case["sender"]), case["view"], cast(Any, records), case["answer"])
    assert router_codec().encode(message).hex() == case["bytes"]
    assert router_codec().decode_full_state(bytes.fromhex(case["bytes"])) == message


def budget_message(case: dict[str, Any]) -> Any:
    """Return the message of a recorded datagram.

    A list that contains a string is an epoch, any other list a tuple.
    """
    values = [
        value
        if not isinstance(value, list)
        else Epoch(*value)
        if any(isinstance(item, str) for item in value)
        else tuple(value)
        for value in case["fields"]
    ]
    return getattr(budget_messages, case["kind"])(*values)


@pytest.mark.parametrize("case", ROUTERS["budgets"], ids=lambda case: f"{case['kind']} {case['fields']}")
def test_budget_message_matches_recording(case: dict[str, Any]) -> None:
    codec, message = BudgetCodec(router_codec(), 2), budget_message(case)
    assert codec.encode("edge-1", "10.0.0.1:9092", message).hex() == case["bytes"]
    assert codec.decode(bytes.fromhex(case["bytes"])) == ("edge-1", "10.0.0.1:9092", message)


@pytest.mark.parametrize("case", ROUTERS["two_levels"], ids=lambda case: f"{case['kind']} {case['level']}")
def test_budget_message_of_two_levels_matches_recording(case: dict[str, Any]) -> None:
    codec, message = TwoLevelCodec(router_codec(), "north", 1, 2), budget_message(case)
    level = Level[case["level"]]
    assert codec.encode("edge-1", "10.0.0.1:9092", level, message).hex() == case["bytes"]
    assert tuple(codec.decode(bytes.fromhex(case["bytes"]))) == ("edge-1", "10.0.0.1:9092", level, message)


def test_framing_of_an_exchange_matches_recording() -> None:
    received: list[bytes] = []
    with socket.create_server((LOOPBACK, 0)) as peer, socket.create_server((LOOPBACK, 0)) as own:
        exchanges = ExchangeService(own, lambda frame: b"answer to " + frame)
        spawn(exchanges.run, "exchanges")
        exchanges.begin_exchange(peer.getsockname(), b"a frame", received.append)
        sock, _ = peer.accept()
        with sock:
            sock.settimeout(TIMEOUT_S)
            sent = b""
            while len(sent) < len(EXCHANGE["sent"]):
                sent += sock.recv(100)
            sock.sendall(b"\0\0\0\3abc")
            eventually(lambda: bool(received))
        with socket.create_connection(own.getsockname(), timeout=TIMEOUT_S) as client:
            client.sendall(b"\0\0\0\4ping")
            answered = b""
            while len(answered) < len(EXCHANGE["answered"]):
                answered += client.recv(100)
        exchanges.stopped.set()
        time.sleep(0.05)  # the service thread closes the listener
    assert as_text(sent) == EXCHANGE["sent"]
    assert as_text(answered) == EXCHANGE["answered"]
    assert [as_text(frame) for frame in received] == EXCHANGE["received"]
