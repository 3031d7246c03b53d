"""A connection to the router over HTTP/2, which carries many attempts at a time."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from h2.errors import ErrorCodes

from lupintack.client.attempt import Attempt, Reply, reply_of_status
from lupintack.http2.config import WireConfig
from lupintack.http2.role import Header, Role
from lupintack.http2.schedule import Priority
from lupintack.http2.wire import Wire
from lupintack.limits.retries import ClientAttemptResult

CONNECT_S = 2.0
INITIAL_MAX_STREAMS = 100  # until the server's SETTINGS arrive
# A server opens no streams (push is off), but h2 takes a response on a cancelled stream for a new stream:
# with max_streams=0 it would close the connection.
WIRE_CONFIG = WireConfig(
    is_client=True,
    max_streams=100,
    max_header_list_bytes=65_536,
    stream_window=1 << 20,
    connection_window=16 << 20,
)


@dataclass(slots=True, eq=False)
class Stream:
    """A stream with its attempt and the response so far."""

    attempt: Attempt
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    chunks: list[bytes] = field(default_factory=list)


class Http2Connection(Role):
    """One connection. Opening it raises OSError if the router can't be reached."""

    def __init__(self, address: tuple[str, int], on_capacity: Callable[[], None]) -> None:
        """Connect. `on_capacity` is called whenever a stream or the connection has ended."""
        self.on_capacity = on_capacity
        self.lock = threading.Lock()
        self.streams: dict[int, Stream] = {}
        self.is_closing = False  # no new streams
        self.is_closed = False
        sock = socket.create_connection(address, timeout=CONNECT_S)
        sock.settimeout(None)
        self.wire = Wire(sock, WIRE_CONFIG, self, self._start_thread)
        self._start_thread(self.wire.run, "client connection")

    @staticmethod
    def _start_thread(target: Callable[[], None], name: str) -> None:
        threading.Thread(target=target, name=name, daemon=True).start()

    def begin(self, attempt: Attempt) -> bool:
        """Send an attempt on a new stream; return False, with nothing sent, if none can be opened now."""
        with self.lock:
            if self.is_closing or self.is_closed or len(self.streams) >= self._max_streams():
                return False
        headers = [
            (b":method", attempt.method.encode()),
            (b":scheme", b"http"),
            (b":authority", b"lupintack"),
            (b":path", attempt.path.encode("latin-1")),
            *(
                (name.lower().encode("latin-1"), value.encode("latin-1"))
                for name, value in attempt.headers.items()
            ),
        ]
        if attempt.body:
            headers.append((b"content-length", b"%d" % len(attempt.body)))

        def on_opened(stream: int) -> None:
            with self.lock:
                self.streams[stream] = Stream(attempt)

        return self.wire.open(headers, attempt.body, Priority(), on_opened) != 0

    def _max_streams(self) -> int:
        return min(INITIAL_MAX_STREAMS, self.wire.session.remote_settings.max_concurrent_streams)

    def cancel(self, attempt: Attempt) -> None:
        """Reset the stream of an attempt that is not waited for any longer."""
        with self.lock:
            numbers = [number for number, stream in self.streams.items() if stream.attempt is attempt]
            for number in numbers:
                del self.streams[number]
        for number in numbers:
            self.wire.reset(number, ErrorCodes.CANCEL)

    def close(self) -> None:
        """Close the connection; open attempts end as UNKNOWN."""
        self.is_closing = True
        self.wire.go_away(last=True)
        self.wire.finish("closed by us")
        self.wire.abort("closed by us")

    def usable(self) -> bool:
        """Return whether the connection may take new streams, now or once others have ended."""
        return not (self.is_closing or self.is_closed)

    # Events of the connection

    def on_headers(self, stream_id: int, headers: Sequence[Header]) -> None:
        """Store the status and the header fields of a response."""
        with self.lock:
            stream = self.streams.get(stream_id)
        if stream is not None:
            fields = {name.decode("latin-1"): value.decode("latin-1") for name, value in headers}
            status = fields.pop(":status", "0")
            stream.status = int(status) if status.isdigit() else 0
            stream.headers = fields

    def on_data(self, stream_id: int, data: bytes) -> None:
        """Store a part of a response body."""
        with self.lock:
            stream = self.streams.get(stream_id)
        if stream is not None:
            stream.chunks.append(data)

    def on_end(self, stream_id: int) -> None:
        """Finish the attempt with its response, or as UNKNOWN if the response is incomplete."""
        stream = self._take(stream_id)
        if stream is not None:
            body = b"".join(stream.chunks)
            length = stream.headers.get("content-length", "")
            is_truncated = length.isdigit() and int(length) != len(body) and stream.status != 304
            if is_truncated or not stream.status:
                stream.attempt.finish(Reply(ClientAttemptResult.UNKNOWN, why="an answer that is not whole"))
            else:
                stream.attempt.finish(reply_of_status(stream.status, stream.headers, body))
            self.on_capacity()

    def on_reset(self, stream_id: int, code: int) -> None:
        """Finish the attempt without a response."""
        stream = self._take(stream_id)
        if stream is not None:
            # RFC 9113, section 8.7: nothing of a refused stream was processed
            is_refused = code == ErrorCodes.REFUSED_STREAM
            end = ClientAttemptResult.NOT_PROCESSED if is_refused else ClientAttemptResult.UNKNOWN
            stream.attempt.finish(Reply(end, why=f"reset with code {code}"))
            self.on_capacity()

    def on_goaway(self, last: int, code: int) -> None:
        """Open no new streams, and finish the attempts whose streams the server has not accepted."""
        with self.lock:
            self.is_closing = True
            unprocessed = [number for number in self.streams if number > last]
            streams = [self.streams.pop(number) for number in unprocessed]
            is_idle = not self.streams
        # RFC 9113, section 6.8: streams above the last id were not processed, and will not be
        for stream in streams:
            stream.attempt.finish(Reply(ClientAttemptResult.NOT_PROCESSED, why="the connection goes away"))
        if is_idle and last < (1 << 31) - 1:
            self.wire.finish("closed: gone away")
        self.on_capacity()

    def on_closed(self, reason: str) -> None:
        """Finish all open attempts without a response."""
        with self.lock:
            self.is_closed = True
            streams, self.streams = list(self.streams.values()), {}
        for stream in streams:
            stream.attempt.finish(Reply(ClientAttemptResult.UNKNOWN, why=f"the connection ended: {reason}"))
        self.on_capacity()

    def _take(self, stream_id: int) -> Stream | None:
        with self.lock:
            return self.streams.pop(stream_id, None)
