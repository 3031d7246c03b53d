"""Tests of HTTP/2 towards clients: requests, refusals, floods, windows, and the end of connections."""

from __future__ import annotations

import select
import socket
import time
from collections.abc import Callable, Sequence
from queue import Queue
from threading import Thread
from types import SimpleNamespace
from typing import Any

import pytest
from hpack import Encoder
from hyperframe.frame import (
    ContinuationFrame,
    DataFrame,
    Frame,
    HeadersFrame,
    PingFrame,
    RstStreamFrame,
    SettingsFrame,
    WindowUpdateFrame,
)

from lupintack import sockets
from lupintack.clock import now_us
from lupintack.fronts import http2_connection, http2_fields
from lupintack.standins.fleet import Terms, content
from tests.app import PREFACE, App
from tests.site import ACK, TILE, VIDEO, Site, eventually, site

CALM, REFUSED, PROTOCOL, NO_ERROR = 11, 7, 1, 0


def delayed(delay_s: dict[str, float]) -> Terms:
    """Return terms under which the stand-ins delay the answers of some classes."""
    return Terms(delay_s=lambda name, cls: delay_s.get(cls, 0.0))


# Requests and answers


class DelayedReads:
    """Delays reads of connections to an address, as in a process that gets no CPU time."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.delay_by_address: dict[tuple[str, int], float] = {}
        self.read = sockets.read
        monkeypatch.setattr(sockets, "read", self.read_late)

    def read_late(self, sock: socket.socket, size: int) -> bytes:
        select.select([sock], [], [])
        time.sleep(self.delay_by_address.get(sock.getsockname(), 0.0))
        return self.read(sock, size)


def test_request_read_after_its_client_closed_the_connection_gets_no_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The connection's end is read after its requests, which used to be sent to members before that."""
    reads = DelayedReads(monkeypatch)
    with site() as testbed:
        app = testbed.app()
        assert app.read_response(app.send_request("GET", TILE)).status == 200
        reads.delay_by_address[testbed.http2] = 0.3
        app.send_request("GET", VIDEO)
        app.sock.close()
        eventually(lambda: testbed.count("received.river-video") == 1 and not testbed.front.connections)
        assert testbed.member_requests("river-video") == 0


def test_stream_reset_before_it_is_read_gets_no_attempt(monkeypatch: pytest.MonkeyPatch) -> None:
    """A request and its reset were read together, and the request was sent before the reset was handled."""
    reset = http2_connection.Http2Connection.on_reset

    def slow_reset(conn: http2_connection.Http2Connection, stream: int, code: int) -> None:
        time.sleep(0.3)
        reset(conn, stream, code)

    monkeypatch.setattr(http2_connection.Http2Connection, "on_reset", slow_reset)
    reads = DelayedReads(monkeypatch)
    with site() as testbed:
        app = testbed.app()
        assert app.read_response(app.send_request("GET", TILE)).status == 200
        reads.delay_by_address[testbed.http2] = 0.1
        app.reset(app.send_request("GET", VIDEO))
        app.reset(app.send_request("PUT", ACK, b"seen"))
        eventually(lambda: testbed.count("http2.reset") == 2)
        assert testbed.member_requests("river-video") == 0 and testbed.member_requests("alert-ack") == 0
        eventually(lambda: testbed.front.stream_table.open == 0 and testbed.front.stream_table.bytes == 0)
        reads.delay_by_address.clear()
        assert app.read_response(app.send_request("GET", TILE)).status == 200, "the connection stays open"


def test_attempt_limit_of_a_late_read_stream_is_the_remaining_client_wait(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A request's wait was counted from its read, so a process without CPU time gave attempts too much."""
    reads = DelayedReads(monkeypatch)
    with site() as testbed:
        limits: dict[str, int] = {}
        testbed.fleet.on_call = lambda call: limits.update({call.wire_id: int(call.fields["limit"])})
        app = testbed.app()
        assert app.read_response(app.send_request("GET", TILE)).status == 200
        reads.delay_by_address[testbed.http2] = 0.4
        for stream in (
            app.send_request("GET", VIDEO, req_id="00000000000000a1", req_wait_ms="1200"),
            app.send_request("PUT", ACK, b"seen", req_id="00000000000000a2", req_wait_ms="1200"),
        ):
            assert app.read_response(stream).status == 200
        assert max(limits["00000000000000a1"], limits["00000000000000a2"]) <= 1200 - 400 + 150


def test_streams_are_served_like_http1_requests() -> None:
    with site() as testbed:
        app = testbed.app()
        streams = [app.send_request("GET", f"{TILE}?nth={n}", x_batch="17") for n in range(30)]
        video, ack = app.send_request("GET", VIDEO), app.send_request("PUT", ACK, b"seen")
        for n, stream in enumerate(streams):
            response = app.read_response(stream)
            assert response.status == 200 and response.body == content("00000000000000aa", str(n), 12_000)
            assert response.headers["content-length"] == "12000"
        assert app.read_response(video).body == content("00000000000000bb", "0", 120_000)
        assert app.read_response(ack).status == 200 and testbed.fleet.ran == {"00000000000000ac": 1}
        tag = app.streams[streams[0]].headers["etag"]
        revalidated = app.read_response(app.send_request("GET", f"{TILE}?nth=0", if_none_match=tag))
        assert revalidated.status == 304 and revalidated.body == b""
        assert app.read_response(app.send_request("HEAD", "/alive")).status == 200
        eventually(lambda: testbed.front.stream_table.open == 0 and testbed.front.stream_table.bytes == 0)


@pytest.mark.parametrize(
    "change, status",
    [
        ({":path": "/nothing"}, 404),
        ({":method": "PUT"}, 405),
        ({":method": "CONNECT"}, 501),
        ({"req-id": ""}, 400),
        ({"req-id": "x"}, 400),
        ({"req-wait-ms": "0"}, 400),
        ({"x-batch": "256"}, 400),
    ],
)
def test_invalid_request_gets_an_error_status_and_text(change: dict[str, str], status: int) -> None:
    with site() as testbed:
        app = testbed.app()
        fields = {k.decode(): v.decode() for k, v in app.request_headers("GET", TILE)} | change
        response = app.read_response(
            app.send_request_with([(k.encode(), v.encode()) for k, v in fields.items() if v])
        )
        assert response.status == status and response.body.endswith(b"\n")
        assert app.read_response(app.send_request("GET", TILE)).status == 200, "the connection stays open"


MALFORMED: list[Callable[[list[tuple[bytes, bytes]]], list[tuple[bytes, bytes]]]] = [
    lambda fields: [*fields, (b"Upper", b"case")],
    lambda fields: [*fields, (b"connection", b"close")],
    lambda fields: [*fields, (b"transfer-encoding", b"chunked")],
    lambda fields: [*fields, (b"te", b"gzip")],
    lambda fields: [*fields, (b":late", b"x")],
    lambda fields: [*fields, (b":path", b"/late")],
    lambda fields: [(b":method", b"GET"), *fields],
    lambda fields: [field for field in fields if field[0] != b":path"],
    lambda fields: [field for field in fields if field[0] != b":scheme"],
    lambda fields: [field for field in fields if field[0] != b":method"],
    lambda fields: [(b":path", b"") if field[0] == b":path" else field for field in fields],
    lambda fields: [*fields, (b"host", b"other")],
    lambda fields: [*fields, (b"content-length", b"1"), (b"content-length", b"2")],
    lambda fields: [*fields, (b"content-length", b"-1")],
    lambda fields: [*fields, (b"x", b" led by space")],
    lambda fields: [*fields, (b"x", b"a\r\nb: c")],
    lambda fields: [*fields, (b"x y", b"z")],
]


def test_malformed_request_resets_only_its_stream() -> None:
    with site() as testbed:
        app = testbed.app()
        for number, change in enumerate(MALFORMED):
            response = app.read_response(app.send_request_with(change(app.request_headers("GET", TILE))))
            assert response.reset_code == PROTOCOL, number
        assert app.read_response(app.send_request("GET", TILE)).status == 200
        assert (
            testbed.count("http2.malformed") == len(MALFORMED) and testbed.member_requests("map-tiles") <= 3
        )


def test_repeated_request_id_is_rejected() -> None:
    with site() as testbed:
        app = testbed.app()
        fields = [*app.request_headers("GET", TILE), (b"req-id", b"0123456789abcdef")]
        assert app.read_response(app.send_request_with(fields)).status == 400


def test_body_that_differs_from_its_content_length_resets_the_stream() -> None:
    with site() as testbed:
        app = testbed.app()
        long = app.send_request("PUT", ACK, b"12345", content_length="4")
        short = app.send_request("PUT", ACK, b"12345", content_length="6")
        none = app.send_request("PUT", ACK, content_length="6")
        assert [app.read_response(stream).reset_code for stream in (long, short, none)] == [PROTOCOL] * 3
        right = app.send_request("PUT", ACK, b"12345", content_length="5")
        assert app.read_response(right).status == 200 and testbed.fleet.ran["00000000000000ac"] == 1


def test_too_long_or_unexpected_body_is_rejected() -> None:
    with site() as testbed:
        app = testbed.app()
        assert app.read_response(app.send_request("PUT", ACK, b"x" * 48_000)).status == 200
        assert app.read_response(app.send_request("PUT", ACK, b"x" * 48_001)).status == 413
        assert app.read_response(app.send_request("PUT", ACK, b"x", content_length="48001")).status == 413
        assert app.read_response(app.send_request("GET", TILE, b"x")).status == 400
        assert testbed.fleet.ran["00000000000000ac"] == 1
        eventually(lambda: testbed.front.stream_table.open == 0)


def test_stream_answered_before_its_body_is_closed_and_released() -> None:
    with site() as testbed:
        app = connected_app(testbed)
        (conn,) = testbed.front.connections.values()
        early = [
            app.send_request("PUT", ACK, b"x", end_stream=False, content_length="48001") for _ in range(5)
        ]
        assert {app.read_response(stream).status for stream in early} == {413}
        eventually(lambda: all(conn.wire.session.streams[stream].closed for stream in early))
        assert not conn.half_open and testbed.front.stream_table.open == 0
        assert app.read_response(app.send_request("GET", TILE)).status == 200


def test_trailers_are_ignored_and_pseudo_field_trailers_reset_the_stream() -> None:
    with site() as testbed:
        app = testbed.app()
        ends = []
        for trailer in ((b"x-sum", b"1"), (b":path", b"/")):
            stream = app.send_request("PUT", ACK, b"seen", end_stream=False)
            app.session.send_headers(stream, [trailer], end_stream=True)
            app.flush()
            ends.append(app.read_response(stream))
        assert ends[0].status == 200 and ends[1].reset_code == PROTOCOL


def test_data_after_the_end_of_a_request_is_an_error_and_runs_nothing_twice() -> None:
    with site(delayed({"alert-ack": 0.2})) as testbed:
        app = testbed.app()
        stream = app.send_request("PUT", ACK, b"seen")
        app.send_frames(DataFrame(stream, b"more"))
        try:
            response = app.read_response(stream)
            assert response.reset_code >= 0 or response.status == 200
        except EOFError:
            assert app.goaways
        eventually(lambda: testbed.count("disconnected") + testbed.count("answered.served") == 1)
        assert testbed.fleet.ran["00000000000000ac"] <= 1


def test_expect_100_continue_is_answered_before_the_body() -> None:
    with site() as testbed:
        app = testbed.app()
        stream = app.send_request("PUT", ACK, end_stream=False, expect="100-continue")
        app.read_until(lambda: app.informational_streams == [stream])
        app.session.send_data(stream, b"seen", end_stream=True)
        app.flush()
        assert app.read_response(stream).status == 200


def test_incomplete_body_gets_408() -> None:
    with site(body_ms=200) as testbed:
        app = testbed.app()
        assert app.read_response(app.send_request("PUT", ACK, b"half", end_stream=False)).status == 408
        assert app.read_response(app.send_request("GET", TILE)).status == 200


def test_cdni_front_serves_http2() -> None:
    with site(cdni_listen="127.0.0.1:0") as testbed:
        app = App(testbed.node.http2[1].sock.getsockname())
        testbed.apps.append(app)
        assert app.read_response(app.send_request("GET", "/alive")).status == 200
        index = app.read_response(app.send_request("GET", "/metadata/hostindex"))
        assert index.status == 200 and "ptype=MI.HostIndex" in index.headers["content-type"]
        calls = [app.send_request("GET", f"/content/own/maps/{n:016x}") for n in range(20)]
        for n, call in enumerate(calls):
            assert app.read_response(call).body == content(f"{n:016x}", "0", 12_000)
        assert app.read_response(app.send_request("GET", "/content/other/maps/x")).status == 404
        assert (
            app.read_response(app.send_request("POST", "/triggers", b"{", content_type="text/plain")).status
            == 415
        )


# Alert-acks run once


def test_alert_ack_reset_before_during_and_after_its_attempt_ends_once() -> None:
    with site(delayed({"alert-ack": 0.15})) as testbed:
        app = testbed.app()
        before = app.send_request("PUT", ACK, b"half", end_stream=False)
        app.reset(before)
        in_flight = app.send_request("PUT", ACK, b"whole")
        eventually(lambda: testbed.member_requests("alert-ack") == 1)
        app.reset(in_flight)
        eventually(lambda: testbed.count("disconnected") == 1)
        answered = app.send_request("PUT", ACK, b"whole")
        assert app.read_response(answered).status == 200
        try:
            app.reset(answered)
        except Exception:  # the library rejects a reset of a closed stream, so send the frame directly
            app.send_frames(RstStreamFrame(answered, error_code=8))
        assert app.read_response(app.send_request("GET", TILE)).status == 200
        assert testbed.member_requests("alert-ack") == 2 and testbed.fleet.ran["00000000000000ac"] <= 2
        assert testbed.count("received.alert-ack") == 2
        assert testbed.count("disconnected") + testbed.count("answered.served") == 3, (
            "one end for each request, with the tile's"
        )


def test_closed_connection_ends_each_of_its_acks_once() -> None:
    with site(delayed({"alert-ack": 0.1})) as testbed:
        app = testbed.app()
        for n in range(10):
            app.send_request("PUT", f"/ops/alert-ack/{n:016x}", b"seen")
        eventually(lambda: testbed.member_requests("alert-ack") == 10)
        app.close()
        eventually(lambda: testbed.count("disconnected") == 10)
        other = testbed.app()
        assert other.read_response(other.send_request("GET", TILE)).status == 200
        assert testbed.member_requests("alert-ack") == 10 and set(testbed.fleet.ran.values()) <= {1}
        assert testbed.count("answered.served") == 1
        eventually(lambda: not testbed.node.core.requests_in_flight)  # attempts in flight run to their end


def test_request_id_in_use_on_another_stream_or_protocol_conflicts() -> None:
    with site(delayed({"map-tiles": 0.2, "alert-ack": 0.2})) as testbed:
        app = testbed.app()
        name = "0123456789abcdef"
        same_request = [app.send_request("GET", TILE, req_id=name) for _ in range(2)]
        other = app.send_request("GET", VIDEO, req_id=name)
        assert [app.read_response(stream).status for stream in same_request] == [200, 200], (
            "a repeated read is served"
        )
        assert app.read_response(other).status == 409
        first = app.send_request("PUT", ACK, b"seen", req_id=name)
        eventually(lambda: testbed.member_requests("alert-ack") == 1)
        with socket.create_connection(testbed.http1, timeout=5) as sock:
            lines = ["Host: x", f"Req-Id: {name}", "Req-Wait-Ms: 2000", "Content-Length: 4", "", "seen"]
            sock.sendall("\r\n".join([f"PUT {ACK} HTTP/1.1", *lines]).encode())
            assert b" 409 " in sock.recv(1000)
        assert app.read_response(first).status == 200 and testbed.fleet.ran == {"00000000000000ac": 1}


# Floods


def test_rapid_reset_of_ten_thousand_streams_ends_the_connection() -> None:
    with site(delayed({"map-tiles": 0.05}), first_ms=30_000, resets_burst=200, resets_per_s=50) as testbed:
        app, good = testbed.app(), connected_app(testbed)
        encoder = Encoder()
        frames = []
        for n in range(10_000):
            head = HeadersFrame(2 * n + 1, encoder.encode(app.request_headers("GET", f"{TILE}?nth={n}")))
            head.flags |= {"END_HEADERS", "END_STREAM"}
            frames += [head, RstStreamFrame(2 * n + 1, error_code=8)]
        try:
            app.send_frames(*frames)
        except OSError:
            pass
        assert (0, CALM) in [(0, code) for _, code in app.read_until_closed()] or app.closed
        eventually(lambda: testbed.count("http2.ended.calm") == 1)
        assert testbed.count("http2.streams") < 1000 and testbed.member_requests("map-tiles") < 1000
        assert good.read_response(good.send_request("GET", VIDEO)).status == 200
        eventually(lambda: not testbed.node.core.requests_in_flight)


def connected_app(testbed: Site) -> App:
    app = testbed.app()
    assert app.read_response(app.send_request("GET", TILE)).status == 200
    return app


def assert_calmed(app: App, *frames: Frame | bytes) -> None:
    """Send the frames, and check that the connection ends with ENHANCE_YOUR_CALM."""
    try:
        app.send_frames(*frames)
    except OSError:
        pass
    assert [code for _, code in app.read_until_closed()] == [CALM]


def settings(n: int) -> Frame:
    return SettingsFrame(0, {3: 100 + n})


FLOODS: dict[str, Callable[[App], Sequence[Frame | bytes]]] = {
    "ping": lambda app: [PingFrame(0, b"%08d" % n) for n in range(1000)],
    "settings": lambda app: [settings(n) for n in range(1000)],
    "empty data": lambda app: (
        [DataFrame(app.send_request("PUT", ACK, end_stream=False), b"") for _ in range(1)] * 1000
    ),
    "window": lambda app: [WindowUpdateFrame(0, window_increment=1) for _ in range(20_000)],
    "unknown": lambda app: [b"\x00\x00\x00\x42\x00\x00\x00\x00\x00" for _ in range(1000)],
}


@pytest.mark.parametrize("kind", list(FLOODS))
def test_flood_of_control_frames_ends_the_connection(kind: str) -> None:
    with site() as testbed:
        app = connected_app(testbed)
        assert_calmed(app, *FLOODS[kind](app))
        assert connected_app(testbed)


def test_endless_continuation_and_header_bomb_end_the_connection() -> None:
    with site() as testbed:
        app = connected_app(testbed)
        encoder = Encoder()
        block = encoder.encode([(b"x", b"y" * 100)])
        frames: list[Frame] = [HeadersFrame(3, block)]
        frames += [ContinuationFrame(3, b"\x00" * 16_000) for _ in range(4)]
        try:
            app.send_frames(*frames)
        except OSError:
            pass
        assert app.read_until_closed() and app.goaways[0][1] in (CALM, PROTOCOL)
        app = connected_app(testbed)
        frames = [HeadersFrame(3, block), *(ContinuationFrame(3, b"") for _ in range(1000))]
        try:
            app.send_frames(*frames)
        except OSError:
            pass
        assert app.read_until_closed() and app.goaways[0][1] in (CALM, PROTOCOL)
        app = connected_app(testbed)
        # One entry of 4,000 bytes in the HPACK table, and a thousand references of one byte to it.
        bomb = Encoder().encode([(b"x", b"y" * 3900)])
        head = HeadersFrame(3, bomb + b"\xbe" * 1000)
        head.flags |= {"END_HEADERS", "END_STREAM"}
        assert_calmed(app, head)
        assert connected_app(testbed)


def test_invalid_preface_and_http1_are_refused() -> None:
    with site() as testbed:
        with socket.create_connection(testbed.http2, timeout=5) as sock:
            sock.sendall(PREFACE[:14] + b"X" * 30)
            sock.settimeout(5)
            while sock.recv(1000):
                pass
        with socket.create_connection(testbed.http2, timeout=5) as sock:
            sock.sendall(b"GET /alive HTTP/1.1\r\nHost: x\r\n\r\n")
            response = b"".join(iter(lambda: sock.recv(1000), b""))
        assert response.startswith(b"HTTP/1.1 400 ") and response.endswith(b"by prior knowledge.\r\n")
        assert len(response.partition(b"\r\n\r\n")[2]) == int(
            response.partition(b"Content-Length: ")[2].split()[0]
        )
        assert testbed.count("http2.alien") == 1 and connected_app(testbed)


def test_silent_and_idle_connections_are_closed() -> None:
    with site(first_ms=150, idle_ms=150) as testbed:
        silent = socket.create_connection(testbed.http2, timeout=5)
        app = connected_app(testbed)
        assert app.read_until_closed() == [((1 << 31) - 1, NO_ERROR), (1, NO_ERROR)]
        while silent.recv(1000):
            pass
        eventually(lambda: not testbed.front.connections)
        silent.close()


# Windows


def test_closed_stream_window_resets_only_its_stream() -> None:
    with site(window_shut_ms=300) as testbed:
        app = testbed.app(window=0, auto_window_update=False)
        shut = app.send_request("GET", VIDEO)
        open_ = app.send_request("GET", TILE)
        app.session.increment_flow_control_window(20_000, open_)
        app.flush()
        assert app.read_response(open_).status == 200
        assert app.read_response(shut).reset_code == 8
        eventually(lambda: testbed.front.stream_table.bytes == 0 and testbed.front.stream_table.open == 0)


def test_window_updates_of_one_byte_do_not_keep_a_stream_open() -> None:
    with site(window_shut_ms=300) as testbed:
        app = testbed.app(window=0, auto_window_update=False)
        stream = app.send_request("GET", VIDEO)
        started = time.monotonic()
        while not app.streams[stream].has_ended():
            assert time.monotonic() - started < 5
            app.session.increment_flow_control_window(1, stream)
            app.flush()
            try:
                app.read_until(app.streams[stream].has_ended, 0.01)
            except TimeoutError:
                pass
        assert app.streams[stream].reset_code == 8 and 0 < len(app.streams[stream].body) < 1024


def test_stream_without_window_does_not_block_other_streams() -> None:
    with site() as testbed:
        app = testbed.app(window=30_000, auto_window_update=False)
        app.session.increment_flow_control_window(16 << 20)
        stalled = app.send_request("GET", VIDEO)
        app.read_until(lambda: len(app.streams[stalled].body) == 30_000)
        for n in range(30):
            assert len(app.read_response(app.send_request("GET", f"{TILE}?nth={n}")).body) == 12_000
        assert not app.streams[stalled].has_ended()
        app.session.increment_flow_control_window(120_000, stalled)
        app.flush()
        assert app.read_response(stalled).body == content("00000000000000bb", "0", 120_000)


def test_settings_may_shrink_the_window_below_the_bytes_in_flight() -> None:
    with site() as testbed:
        app = testbed.app(window=50_000, auto_window_update=False)
        stream = app.send_request("GET", VIDEO)
        app.read_until(lambda: len(app.streams[stream].body) == 50_000)
        app.session.update_settings({4: 10_000})  # the stream's window is now -40,000
        app.session.increment_flow_control_window(1 << 20)
        app.flush()
        assert (
            len(app.read_response(app.send_request("GET", "/alive")).headers)
            and not app.streams[stream].has_ended()
        )
        app.session.increment_flow_control_window(40_000, stream)  # and now 0
        app.flush()
        with pytest.raises(TimeoutError):
            app.read_until(lambda: len(app.streams[stream].body) > 50_000, 0.2)
        app.session.increment_flow_control_window(80_000, stream)
        app.flush()
        app.read_until(lambda: app.streams[stream].ended)
        assert app.streams[stream].body == content("00000000000000bb", "0", 120_000)


def test_window_overflow_is_a_flow_control_error() -> None:
    with site() as testbed:
        app = testbed.app(window=0, auto_window_update=False)
        stream = app.send_request("GET", VIDEO)
        app.read_until(lambda: app.streams[stream].response_count == 1)
        app.send_frames(
            WindowUpdateFrame(stream, window_increment=(1 << 31) - 1),
            WindowUpdateFrame(stream, window_increment=9),
        )
        assert app.read_response(stream).reset_code == 3 or app.goaways
        app = connected_app(testbed)
        app.send_frames(*(WindowUpdateFrame(0, window_increment=(1 << 31) - 1) for _ in range(2)))
        assert [code for _, code in app.read_until_closed()] == [3]


def test_closed_connection_window_ends_the_connection() -> None:
    with site(window_shut_ms=200) as testbed:
        app = testbed.app(auto_window_update=False)
        stream = app.send_request("GET", VIDEO)
        assert [code for _, code in app.read_until_closed()] == [CALM]
        assert not app.streams[stream].ended and connected_app(testbed)


# Shares and limits


def test_one_client_can_not_use_the_share_of_another() -> None:
    with site(delayed({"map-tiles": 0.3}), open_requests=40) as testbed:
        greedy, other = testbed.app(), testbed.app()
        many = [greedy.send_request("GET", f"{TILE}?nth={n}") for n in range(40)]
        eventually(lambda: testbed.count("http2.streams") == 40)
        few = [other.send_request("GET", f"{TILE}?nth={100 + n}") for n in range(9)]
        responses = [greedy.read_response(stream) for stream in many]
        assert sum(stream.status in (200, 503) for stream in responses) == 20
        assert [stream.reset_code for stream in responses].count(REFUSED) == 20
        assert all(other.read_response(stream).status in (200, 503) for stream in few), (
            "the front refuses none of them"
        )


def test_answers_over_the_byte_limit_are_rejected_and_acks_are_answered() -> None:
    with site(
        Terms(sizes={"river-video": 200_000, "map-tiles": 100, "alert-ack": 40}),
        all_kib=256,
        connection_kib=256,
    ) as testbed:
        app = testbed.app(window=0, auto_window_update=False)
        first = app.send_request("GET", VIDEO)
        app.read_until(lambda: app.streams[first].response_count == 1)
        second = app.read_response(app.send_request("GET", f"{VIDEO}?nth=1"))
        # The connection is over its share now: the stream is refused, or rejected with a retry time.
        assert second.reset_code == REFUSED or (
            second.status == 503 and second.headers["srv-wait-ms"] == "500"
        )
        other = testbed.app()
        assert other.read_response(other.send_request("PUT", ACK, b"seen")).status == 200


def test_idle_connection_is_evicted_for_a_new_one_at_the_limit() -> None:
    with site(connections=3) as testbed:
        idle = [connected_app(testbed) for _ in range(3)]
        with pytest.raises(TimeoutError):
            idle[0].read_until(lambda: False, 0.2)  # no eviction until a new connection needs the place
        newcomer = connected_app(testbed)
        assert idle[0].read_until_closed()[-1][1] == NO_ERROR
        assert newcomer.read_response(newcomer.send_request("GET", TILE)).status == 200


# End of connections


def test_drain_answers_requests_in_flight_and_refuses_later_streams() -> None:
    with site(delayed({"map-tiles": 0.8}), streams=200) as testbed:
        app = testbed.app()
        app.read_until(lambda: app.session.remote_settings.max_concurrent_streams == 200)
        streams = [app.send_request("GET", f"{TILE}?nth={n}") for n in range(100)]
        eventually(lambda: testbed.count("received.map-tiles") == 100)
        testbed.stop()
        app.read_until(lambda: len(app.goaways) == 1)
        assert app.goaways == [((1 << 31) - 1, NO_ERROR)]
        between = app.send_request("GET", f"{TILE}?nth=100")
        app.read_until(lambda: len(app.goaways) == 2)
        last = app.goaways[1][0]
        late = app.send_request("GET", f"{TILE}?nth=101")
        assert late > last
        assert {app.read_response(stream).status for stream in streams} <= {200, 503}, (
            "each request is answered"
        )
        response = app.streams[between]
        if between <= last:
            assert app.read_response(between).status in (200, 503)
        assert response.has_ended() or between > last
        assert app.streams[late].reset_code in (REFUSED, -1) and not app.streams[late].response_count
        assert app.read_until_closed() and len(app.goaways) == 2
        testbed.wait_stopped()


def test_stream_between_the_two_goaways_is_served() -> None:
    with site(delayed({"map-tiles": 0.2})) as testbed:
        app = testbed.app()
        app.send_request("GET", TILE)
        eventually(lambda: testbed.count("received.map-tiles") == 1)
        testbed.front.drain()  # the app has not read it, nor answered the PING
        between = app.send_request("GET", f"{TILE}?nth=1")
        assert app.read_response(between).status in (200, 503)
        assert app.read_until_closed()[-1] == (between, NO_ERROR)


def test_drain_serves_streams_read_before_the_last_goaway() -> None:
    """A stream that the last GOAWAY accepts is answered, even if the front handles its headers later."""
    with site() as testbed:
        app = connected_app(testbed)
        (conn,) = testbed.front.connections.values()
        conn.wire.is_calling = True
        conn.wire.session.highest_inbound_stream_id = 3  # read, but not handled yet
        conn.begin_drain(immediately=True)
        assert app.streams and conn.last_stream == 3
        conn.on_headers(3, app.request_headers("GET", TILE))
        assert conn.open_exchanges.pop(3).request.target == TILE, "not refused: the last GOAWAY accepts it"
        conn.check_drain(now_us())
        assert not conn.wire.ended
        conn.wire.is_calling = False
        conn.check_drain(now_us())
        assert conn.wire.ended and app.read_until_closed()


def test_drain_does_not_end_a_connection_while_an_answer_is_being_framed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with site() as testbed:
        app = connected_app(testbed)
        (conn,) = testbed.front.connections.values()
        checks: list[Thread] = []

        def slow_answer(*args: Any) -> Any:
            conn.wire.is_calling = False
            checks.append(Thread(target=conn.check_drain, args=(now_us(),)))
            checks[0].start()
            checks[0].join(0.1)  # the check waits for the lock; without the lock it would find nothing open
            return http2_fields.encode_response(*args)

        conn.wire.is_calling = True  # otherwise the periodic check ends the connection before the request
        conn.begin_drain(immediately=True)
        conn.last_stream = 3  # the last GOAWAY accepts the next stream
        monkeypatch.setattr(
            http2_connection,
            "http2_fields",
            SimpleNamespace(parse_request=http2_fields.parse_request, encode_response=slow_answer),
        )
        assert app.read_response(app.send_request("GET", TILE)).status == 200
        checks[0].join()


def test_server_is_busy_while_an_answer_is_being_framed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Between the removal of an open exchange and its answer's frames, nothing is open or unwritten."""
    with site() as testbed:
        app, results = connected_app(testbed), Queue[bool]()
        (conn,) = testbed.front.connections.values()
        check = Thread(target=lambda: results.put(testbed.front.busy()), daemon=True)

        def send(*args: Any) -> bool:
            check.start()
            check.join(0.3)  # a check that does not wait for this answer is done by now
            monkeypatch.setattr(conn.wire, "unwritten_bytes", lambda: 1)
            return True

        monkeypatch.setattr(conn.wire, "send", send)
        app.send_request("GET", TILE)
        assert results.get(timeout=5.0)
        monkeypatch.undo()


def test_drained_connection_waits_for_the_client_to_close_for_a_bounded_time() -> None:
    """Closing with unread bytes would reset the connection, and the client would lose unread frames."""
    with site() as testbed:
        app, silent = connected_app(testbed), connected_app(testbed)
        conns = list(testbed.front.connections.values())
        for conn in conns:
            conn.begin_drain(immediately=True)
        eventually(lambda: all(conn.wire.ended for conn in conns))
        app.send_request("GET", TILE)  # arrives after the server's end, and is read
        assert testbed.front.busy() and all(conn.wire.is_lingering() for conn in conns)
        app.close()
        eventually(lambda: not conns[0].wire.is_lingering())
        conns[1].check_drain(conns[1].wire.ended_us + 10_000_000)
        eventually(lambda: not testbed.front.connections and not testbed.front.busy())
        silent.close()


def test_client_that_never_reads_does_not_delay_shutdown_beyond_its_limit() -> None:
    with site(Terms(sizes={"river-video": 240_000, "map-tiles": 100, "alert-ack": 40})) as testbed:
        app = testbed.app(window=1 << 24)
        for n in range(60):
            app.send_request("GET", f"{VIDEO}?nth={n}")
        eventually(lambda: testbed.member_requests("river-video") >= 30)
        started = time.monotonic()
        testbed.stop()
        testbed.wait_stopped(5.0)
        assert time.monotonic() - started < 3.7, "the longest deadline, taken as 3 s, plus 0.7 s"


def test_connection_at_its_maximum_age_gets_a_goaway() -> None:
    with site() as testbed:
        testbed.change_limits(age_us=300_000)
        app = testbed.app()
        answered = 0
        while not app.goaways:
            assert app.read_response(app.send_request("GET", TILE)).status == 200
            answered += 1
        assert answered and app.read_until_closed()[-1][1] == NO_ERROR


def test_sighup_applies_new_limits_and_logs_settings_that_need_a_restart(
    tmp_path: object, caplog: pytest.LogCaptureFixture
) -> None:
    from pathlib import Path

    from lupintack.reload import reload_operator_file

    file = Path(str(tmp_path)) / "operator.toml"
    with site() as testbed:
        listen = "listen = '127.0.0.1:0'\n"
        file.write_text(f"[http2]\nenabled = true\n{listen}open_requests = 7\nconnections = 9")
        with caplog.at_level("INFO"):
            assert reload_operator_file(testbed.node, {"LUPINTACK_OPERATOR": str(file)})
        assert testbed.front.stream_table.terms.open_requests == 7
        assert any("http2.connections" in str(getattr(r, "kv", "")) for r in caplog.records)
        file.write_text("[http2]\nenabled = true\nopen_requests = 0")
        assert not reload_operator_file(testbed.node, {"LUPINTACK_OPERATOR": str(file)})
        assert testbed.front.stream_table.terms.open_requests == 7


def test_evacuate_drains_connections_and_rejoin_accepts_new_ones() -> None:
    with site() as testbed:
        app = testbed.app()
        assert app.read_response(app.send_request("GET", TILE)).status == 200
        assert testbed.node.admin_service.evacuate().status == 200
        app.read_until(lambda: bool(app.goaways))
        assert app.read_until_closed()[-1][1] == NO_ERROR
        late = testbed.app()  # clients may still connect for a moment
        assert late.read_response(late.send_request("GET", TILE)).status == 200
        late.read_until(lambda: bool(late.goaways))
        assert testbed.node.admin_service.rejoin().status == 200
        back = testbed.app()
        assert back.read_response(back.send_request("GET", TILE)).status == 200
        time.sleep(0.3)  # longer than the grace time after which a draining connection gets its last GOAWAY
        assert back.read_response(back.send_request("GET", TILE)).status == 200 and not back.goaways
