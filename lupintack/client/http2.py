"""A line to the router over HTTP/2: many tries on one connection."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from h2.errors import ErrorCodes

from lupintack.client.attempt import Attempt, Reply, whole
from lupintack.http2.config import WireConfig
from lupintack.http2.role import Header, Role
from lupintack.http2.schedule import Priority
from lupintack.http2.wire import Wire
from lupintack.limits.retries import ClientAttemptResult

CONNECT_S = 2.0
FIRST_STREAMS = 100  # until the server's SETTINGS have come
# A server opens no streams (push is off), but h2 takes the answer to a stream that was given up for a new
# one: with 0 it would end the connection for it.
TERMS = WireConfig(
    is_client=True,
    max_streams=100,
    max_header_list_bytes=65_536,
    stream_window=1 << 20,
    connection_window=16 << 20,
)


@dataclass(slots=True, eq=False)
class Stream:
    """A try on its stream."""

    attempt: Attempt
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    chunks: list[bytes] = field(default_factory=list)


class Http2Line(Role):
    """One connection; OSError where it can't be made."""

    def __init__(self, address: tuple[str, int], freed: Callable[[], None]) -> None:
        """`freed` is called whenever a stream, or the line, has ended."""
        self.freed = freed
        self.lock = threading.Lock()
        self.streams: dict[int, Stream] = {}
        self.going = False  # no new streams
        self.dead = False
        sock = socket.create_connection(address, timeout=CONNECT_S)
        sock.settimeout(None)
        self.wire = Wire(sock, TERMS, self, self._spawn)
        self._spawn(self.wire.run, "client line")

    @staticmethod
    def _spawn(target: Callable[[], None], name: str) -> None:
        threading.Thread(target=target, name=name, daemon=True).start()

    def begin(self, attempt: Attempt) -> bool:
        """Send it on a stream of its own; False where the line takes none now, and no byte has left."""
        with self.lock:
            if self.going or self.dead or len(self.streams) >= self._most():
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

        def made(stream: int) -> None:
            with self.lock:
                self.streams[stream] = Stream(attempt)

        return self.wire.open(headers, attempt.body, Priority(), made) != 0

    def _most(self) -> int:
        return min(FIRST_STREAMS, self.wire.session.remote_settings.max_concurrent_streams)

    def give_up(self, attempt: Attempt) -> None:
        """Its time is over."""
        with self.lock:
            found = [number for number, one in self.streams.items() if one.attempt is attempt]
            for number in found:
                del self.streams[number]
        for number in found:
            self.wire.reset(number, ErrorCodes.CANCEL)

    def close(self) -> None:
        """The end; what is open ends as unknown."""
        self.going = True
        self.wire.go_away(last=True)
        self.wire.finish("closed by us")
        self.wire.abort("closed by us")

    def usable(self) -> bool:
        """Whether it may take a new stream now or later."""
        return not (self.going or self.dead)

    # What comes

    def on_headers(self, stream: int, headers: Sequence[Header]) -> None:
        """Keep the status and the fields of an answer."""
        with self.lock:
            one = self.streams.get(stream)
        if one is not None:
            told = {name.decode("latin-1"): value.decode("latin-1") for name, value in headers}
            status = told.pop(":status", "0")
            one.status = int(status) if status.isdigit() else 0
            one.headers = told

    def on_data(self, stream: int, data: bytes) -> None:
        """Keep a part of an answer's body."""
        with self.lock:
            one = self.streams.get(stream)
        if one is not None:
            one.chunks.append(data)

    def on_end(self, stream: int) -> None:
        """Finish the attempt with its answer, where that is complete."""
        one = self._take(stream)
        if one is not None:
            body = b"".join(one.chunks)
            length = one.headers.get("content-length", "")
            cut = length.isdigit() and int(length) != len(body) and one.status != 304
            if cut or not one.status:
                one.attempt.finish(Reply(ClientAttemptResult.UNKNOWN, why="an answer that is not whole"))
            else:
                one.attempt.finish(whole(one.status, one.headers, body))
            self.freed()

    def on_reset(self, stream: int, code: int) -> None:
        """Finish the attempt without an answer."""
        one = self._take(stream)
        if one is not None:
            never = code == ErrorCodes.REFUSED_STREAM  # RFC 9113, section 8.7: nothing of it was processed
            end = ClientAttemptResult.NOT_PROCESSED if never else ClientAttemptResult.UNKNOWN
            one.attempt.finish(Reply(end, why=f"reset with code {code}"))
            self.freed()

    def on_goaway(self, last: int, code: int) -> None:
        """Take no new streams, and finish the attempts of those that the server has not accepted."""
        with self.lock:
            self.going = True
            above = [number for number in self.streams if number > last]
            streams = [self.streams.pop(number) for number in above]
            empty = not self.streams
        for one in streams:  # RFC 9113, section 6.8: above the last id nothing was, or will be, processed
            one.attempt.finish(Reply(ClientAttemptResult.NOT_PROCESSED, why="the connection goes away"))
        if empty and last < (1 << 31) - 1:
            self.wire.finish("closed: gone away")
        self.freed()

    def on_closed(self, reason: str) -> None:
        """Finish what is open without an answer."""
        with self.lock:
            self.dead = True
            streams, self.streams = list(self.streams.values()), {}
        for one in streams:
            one.attempt.finish(Reply(ClientAttemptResult.UNKNOWN, why=f"the connection ended: {reason}"))
        self.freed()

    def _take(self, stream: int) -> Stream | None:
        with self.lock:
            return self.streams.pop(stream, None)
