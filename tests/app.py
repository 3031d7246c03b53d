"""A stand-in for an app: an HTTP/2 client that can also send raw frames, which no library would send."""

from __future__ import annotations

import secrets
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from h2 import events as e
from h2.exceptions import ProtocolError
from hyperframe.frame import Frame

from lupintack.http2.session import Session

TIMEOUT_S = 5.0
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"


@dataclass
class Stream:
    """The response on one stream so far."""

    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    ended: bool = False
    reset_code: int = -1
    response_count: int = 0

    @property
    def status(self) -> int:
        return int(self.headers.get(":status", "0"))

    def has_ended(self) -> bool:
        return self.ended or self.reset_code >= 0


class App:
    """One HTTP/2 connection; it reads from the socket only while a method waits."""

    def __init__(
        self, address: tuple[str, int], window: int = 1 << 20, auto_window_update: bool = True
    ) -> None:
        """Connect. With `auto_window_update`, return flow control windows as soon as data is received."""
        self.sock = socket.create_connection(address, timeout=TIMEOUT_S)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.auto_window_update = auto_window_update
        self.session = Session(True, 100, 65_536, window)
        self.streams: dict[int, Stream] = {}
        self.goaways: list[tuple[int, int]] = []
        self.informational_streams: list[int] = []
        self.closed = False
        self.session.initiate_connection()
        if window > 65_535 and auto_window_update:
            self.session.increment_flow_control_window(16 << 20)
        self.flush()

    def flush(self) -> None:
        data = self.session.data_to_send()
        if data:
            self.sock.sendall(data)

    def send_frames(self, *frames: Frame | bytes) -> None:
        """Send frames as they are, without a check by the HTTP/2 library."""
        self.sock.sendall(
            b"".join(frame if isinstance(frame, bytes) else frame.serialize() for frame in frames)
        )

    def request_headers(self, method: str, path: str, **more: str) -> list[tuple[bytes, bytes]]:
        """Return a request's fields in order; keywords such as `Req_Id=...` add or replace fields."""
        headers = {
            ":method": method, ":scheme": "http", ":authority": "x", ":path": path,
            "req-id": secrets.token_hex(8), "req-wait-ms": "2500",
        }  # fmt: skip
        headers |= {name.replace("_", "-").lower(): value for name, value in more.items()}
        return [(name.encode(), value.encode()) for name, value in headers.items() if value]

    def send_request(
        self, method: str, path: str, body: bytes | None = None, end_stream: bool = True, **more: str
    ) -> int:
        """Send a request on the next stream; return the stream's id."""
        return self.send_request_with(self.request_headers(method, path, **more), body, end_stream)

    def send_request_with(
        self, headers: list[tuple[bytes, bytes]], body: bytes | None = None, end_stream: bool = True
    ) -> int:
        stream = self.session.get_next_available_stream_id()
        self.streams[stream] = Stream()
        self.session.send_headers(stream, headers, end_stream=end_stream and not body)
        if body:
            for offset in range(0, len(body), 16384):
                chunk = body[offset : offset + 16384]
                self.session.send_data(
                    stream, chunk, end_stream=end_stream and offset + len(chunk) == len(body)
                )
        self.flush()
        return stream

    def reset(self, stream: int, code: int = 8) -> None:
        self.session.reset_stream(stream, code)
        self.streams[stream].reset_code = code
        self.flush()

    def read_until(self, condition: Callable[[], bool], timeout_s: float = TIMEOUT_S) -> None:
        """Read until `condition()`; raise TimeoutError after `timeout_s`, EOFError if the connection ends."""
        deadline = time.monotonic() + timeout_s
        while not condition():
            if self.closed:
                raise EOFError("closed")
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                raise TimeoutError(
                    f"{len([s for s in self.streams.values() if not s.has_ended()])} streams open"
                )
            self.sock.settimeout(remaining_s)
            try:
                data = self.sock.recv(65536)
            except ConnectionError:
                data = b""
            if not data:
                self.closed = True
                continue
            self.receive(data)

    def receive(self, data: bytes) -> None:
        for event in self.session.receive_data(data):
            stream = self.streams.get(getattr(event, "stream_id", 0) or 0, Stream())
            if isinstance(event, e.ResponseReceived):
                assert not stream.response_count, "a second answer"
                stream.response_count += 1
                stream.headers = {k.decode(): v.decode() for k, v in event.headers}
            elif isinstance(event, e.InformationalResponseReceived):
                self.informational_streams.append(event.stream_id)
            elif isinstance(event, e.DataReceived):
                stream.body += event.data
                if self.auto_window_update and event.flow_controlled_length:
                    self.session.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
            elif isinstance(event, e.StreamEnded):
                stream.ended = True
            elif isinstance(event, e.StreamReset):
                if not stream.ended and event.remote_reset:
                    stream.reset_code = int(event.error_code)
            elif isinstance(event, e.ConnectionTerminated):
                self.goaways.append((event.last_stream_id or 0, int(event.error_code or 0)))
        try:
            self.flush()
        except OSError:
            self.closed = True

    def read_response(self, stream: int, timeout_s: float = TIMEOUT_S) -> Stream:
        """Wait for the end of one stream and return it."""
        self.read_until(self.streams[stream].has_ended, timeout_s)
        return self.streams[stream]

    def read_until_closed(self, timeout_s: float = TIMEOUT_S) -> list[tuple[int, int]]:
        """Wait for the end of the connection; return the GOAWAY frames received: last stream id and error."""
        try:
            self.read_until(lambda: False, timeout_s)
        except (EOFError, ProtocolError):
            pass
        return self.goaways

    def close(self) -> None:
        self.sock.close()
