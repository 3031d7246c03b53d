"""Seeded tests: many streams with resets, disconnections, slow readers and a drain; corrupted frames."""

from __future__ import annotations

import socket
import threading
import time
from random import Random

import pytest
from hyperframe.frame import RstStreamFrame

from lupintack.standins.fleet import Terms, content
from tests.app import App
from tests.site import eventually, site

SIZES = {"river-video": 60_000, "map-tiles": 6_000, "alert-ack": 40}


class ClientRun:
    """Requests of one client: streams of all classes, each followed until it ends."""

    def __init__(self, app: App, seed: int, number: int, streams: int) -> None:
        self.app = app
        self.random = Random(seed)
        self.number = number
        self.streams = streams
        self.kinds: dict[int, tuple[str, str, str]] = {}
        self.disconnects = seed % 5 == 4  # this client disconnects in the middle
        self.reads_slowly = seed % 5 == 3  # this client reads slowly
        self.failure = ""

    def run(self) -> None:
        try:
            self.send_requests()
        except EOFError:
            pass
        except Exception as error:  # asserted on the test's thread
            self.failure = repr(error)

    def send_requests(self) -> None:
        app, random = self.app, self.random
        for n in range(self.streams):
            cls = random.choices(("river-video", "map-tiles", "alert-ack"), (3, 5, 2))[0]
            item = f"{self.number:08x}{n:08x}"
            body = b"seen" * random.randrange(1, 50) if cls == "alert-ack" else None
            stream = app.send_request("PUT" if body else "GET", f"/ops/{cls}/{item}", body)
            self.kinds[stream] = (cls, item, "0")
            if random.random() < 0.15:
                victim = random.choice(list(self.kinds))
                if not app.streams[victim].has_ended():
                    app.reset(victim)
            if self.reads_slowly:
                time.sleep(0.001)
            if self.disconnects and n == self.streams // 2:
                app.close()
                return
            while sum(not record.has_ended() for record in app.streams.values()) > 40:
                app.read_until(lambda: sum(not record.has_ended() for record in app.streams.values()) <= 40)
        app.read_until(lambda: all(record.has_ended() for record in app.streams.values()))


@pytest.mark.parametrize("seed", [1, 2])
def test_each_of_a_thousand_streams_ends_exactly_once(seed: int) -> None:
    random = Random(seed)
    terms = Terms(sizes=SIZES, delay_s=lambda name, cls: random.choice((0.0, 0.0, 0.005, 0.03)))
    with site(terms, resets_burst=2000) as testbed:
        clients = [ClientRun(testbed.app(), 10 * seed + n, n, 125) for n in range(10)]
        threads = [threading.Thread(target=client.run) for client in clients]
        for thread in threads:
            thread.start()
        eventually(
            lambda: testbed.count("http2.streams") >= 1000 or any(client.failure for client in clients), 30.0
        )
        testbed.stop()
        for thread in threads:
            thread.join(10)
        testbed.wait_stopped(8.0)
        assert not [client.failure for client in clients if client.failure]
        end_counts = {"served": 0, "reset": 0, "refused": 0, "open": 0}
        for client in clients:
            for stream, (cls, item, part) in client.kinds.items():
                response = client.app.streams[stream]
                assert response.response_count <= 1
                if response.ended:
                    assert response.status in (200, 429, 502, 503)
                    if response.status == 200:
                        assert response.body == content(item, part, SIZES[cls])
                    end_counts["served" if response.status == 200 else "refused"] += 1
                elif response.reset_code >= 0:
                    end_counts["reset"] += 1
                else:
                    last = min((last for last, _ in client.app.goaways), default=0)
                    assert client.disconnects or stream > last, (
                        "neither answered, nor reset, nor above the id of the last GOAWAY"
                    )
                    end_counts["open"] += 1
        # The number of rejections depends on the machine's speed; that each stream ends once does not.
        assert end_counts["served"] > 0 and end_counts["reset"] > 0, end_counts
        ran = testbed.fleet.ran
        assert ran and max(ran.values()) == 1, "an alert-ack ran twice"
        core = testbed.node.core.counters
        end_counters = [
            "disconnected",
            *(f"answered.{outcome}" for outcome in ("served", "rejected", "failed", "local_copy")),
        ]
        # Each received request ends once; the last may still be in a reader's thread.
        eventually(
            lambda: sum(core[f"received.{cls}"] for cls in SIZES) == sum(core[way] for way in end_counters)
        )
        eventually(lambda: testbed.front.stream_table.open == 0 and testbed.front.stream_table.bytes == 0)


def corrupt(data: bytes, random: Random) -> bytes:
    """Return the bytes of frames with some changed, dropped, repeated, inserted or cut off."""
    corrupted_data = bytearray(data)
    for _ in range(random.randrange(1, 6)):
        position = random.randrange(len(corrupted_data))
        mutation = random.randrange(5)
        if mutation == 0:
            corrupted_data[position] = random.randrange(256)
        elif mutation == 1:
            del corrupted_data[position : position + random.randrange(1, 20)]
        elif mutation == 2:
            corrupted_data[position:position] = corrupted_data[position : position + random.randrange(1, 40)]
        elif mutation == 3:
            corrupted_data[position:position] = bytes(
                random.randrange(256) for _ in range(random.randrange(1, 12))
            )
        else:
            del corrupted_data[position:]
        if not corrupted_data:
            corrupted_data = bytearray(b"\0")
    return bytes(corrupted_data)


def send_corrupted_frames(app: App, name: str, random: Random) -> None:
    """Send six requests with corrupted frames after a valid preface, then close."""
    recorded: list[bytes] = []
    app.flush = lambda: recorded.append(app.session.data_to_send())  # type: ignore[method-assign]
    for n in range(6):
        cls = random.choice(("map-tiles", "alert-ack"))
        body = b"seen" if cls == "alert-ack" else None
        app.send_request("PUT" if body else "GET", f"/ops/{cls}/{name}{n:04x}", body)
    app.send_frames(corrupt(b"".join(recorded), random))
    if random.random() < 0.5:
        app.send_frames(RstStreamFrame(1, error_code=8))
    app.sock.shutdown(socket.SHUT_WR)
    app.sock.settimeout(5)
    try:
        while app.sock.recv(65536):
            pass
    except ConnectionError:
        pass
    app.close()


@pytest.mark.parametrize("seed", range(4))
def test_corrupted_frames_cause_no_traceback_hang_or_second_answer(
    seed: int, caplog: pytest.LogCaptureFixture
) -> None:
    random = Random(seed)
    with site(Terms(sizes=SIZES), first_ms=400, body_ms=300, window_shut_ms=400) as testbed:
        healthy = testbed.app()
        for round_ in range(40):
            send_corrupted_frames(App(testbed.http2), f"{seed:04x}{round_:08x}", random)
            if round_ % 10 == 0:
                assert (
                    healthy.read_response(healthy.send_request("GET", f"/ops/map-tiles/{round_:016x}")).status
                    == 200
                )
        assert (
            healthy.read_response(healthy.send_request("GET", "/ops/map-tiles/00000000000000aa")).status
            == 200
        )
        healthy.close()
        eventually(lambda: not testbed.front.connections and not testbed.node.core.requests_in_flight, 8.0)
        assert testbed.front.stream_table.open == 0 and testbed.front.stream_table.bytes == 0
        assert not testbed.fleet.ran or max(testbed.fleet.ran.values()) == 1
        assert not [r for r in caplog.records if r.exc_info], [r.getMessage() for r in caplog.records]
