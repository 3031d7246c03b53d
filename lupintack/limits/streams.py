"""Limits of the clients' HTTP/2 connections, and when one is closed for its cost. No I/O, no clock.

One `StreamTable` serves a listener. It has an account for each connection: its streams, its buffered bytes
and its budgets. All times are whole microseconds that the caller passes in; nothing here blocks or sends.

Shares follow a dynamic threshold: a connection may use `share` times the capacity that is still free. The
limit of one connection thus shrinks as others connect, the one with the highest use is the first to be
refused, and some capacity always remains for a new connection. With a share of 1 and n busy connections each
gets 1/(n+1) of the total.

The decisions on the wire (RFC 9113, section 7): REFUSE is REFUSED_STREAM and applies only to a stream that
did not reach the core, so that a client may retry it, including an alert-ack; CALM is GOAWAY with
ENHANCE_YOUR_CALM.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum, auto

WRITE_RESERVE_DIVISOR = 8  # 1/8 of all bytes is reserved for responses to writes: these may have run


class StreamDecision(Enum):
    """A decision about a stream or a connection."""

    ACCEPT = auto()
    REFUSE = auto()  # the stream, before any processing
    AT_CAPACITY = auto()  # the bytes of a response: it is sent without them
    CALM = auto()  # close the connection


class Cost(Enum):
    """Frames that cost a client little to send and a server more to handle."""

    RESET = auto()  # a stream that its client reset or made fail
    CONTROL = auto()  # PING, SETTINGS, PRIORITY, empty DATA
    WINDOW = auto()  # WINDOW_UPDATE


class Due(Enum):
    """Timeouts that end a stream or a connection."""

    STALLED = auto()  # a stream's response: its window stays closed or opens too slowly
    BODY_LATE = auto()  # a stream's request: it is still incomplete
    FIRST_LATE = auto()  # a connection: it has had no request
    SHUT = auto()  # a connection: its own window stays closed
    IDLE = auto()  # a connection: no stream has been open for too long
    AGED = auto()  # a connection: its maximum age is reached


@dataclass(frozen=True, slots=True)
class StreamTerms:
    """The limits; docs/operating.md describes what each protects."""

    streams: int = 100
    share: float = 1.0
    open_requests: int = 2000
    stream_bytes: int = 262_144
    connection_bytes: int = 2_097_152
    all_bytes: int = 8_388_608
    window_shut_us: int = 10_000_000
    crawl_bytes: int = 1024
    body_us: int = 2_000_000
    first_us: int = 2_000_000
    idle_us: int = 60_000_000
    age_us: int = 0
    age_jitter: float = 0.1
    resets_per_s: int = 50
    resets_burst: int = 200
    controls_per_s: int = 20
    controls_burst: int = 100
    windows_per_s: int = 2000
    windows_burst: int = 10_000

    def budget(self, cost: Cost) -> tuple[int, int]:
        """Return the rate per second and the burst of a cost."""
        if cost is Cost.RESET:
            return self.resets_per_s, self.resets_burst
        if cost is Cost.CONTROL:
            return self.controls_per_s, self.controls_burst
        return self.windows_per_s, self.windows_burst


@dataclass(slots=True)
class Bucket:
    """A token bucket that starts full. Levels are in millionths of a token, to avoid rounding losses."""

    level: int
    at_us: int

    def take(self, per_s: int, burst: int, now_us: int) -> bool:
        """Take one token; return False where the bucket is empty."""
        gained = max(0, now_us - self.at_us) * per_s
        self.level = min(burst * 1_000_000, self.level + gained)
        self.at_us = max(self.at_us, now_us)
        if self.level < 1_000_000:
            return False
        self.level -= 1_000_000
        return True


@dataclass(slots=True)
class StallTimer:
    """Measures how long writing has been blocked by a closed window, until enough bytes are written."""

    since_us: int = -1
    accumulated_us: int = 0
    written: int = 0

    def on_window_closed(self, now_us: int) -> None:
        """Start counting the time with a closed window."""
        if self.since_us < 0:
            self.since_us = now_us

    def on_window_opened(self, now_us: int) -> None:
        """Stop counting."""
        if self.since_us >= 0:
            self.accumulated_us += max(0, now_us - self.since_us)
            self.since_us = -1

    def on_written(self, count: int, enough: int) -> None:
        """Reset the timer after `enough` bytes, so that a window opened byte by byte does not reset it."""
        self.written += count
        if self.written >= enough:
            self.written = self.accumulated_us = 0

    def stalled_us(self, now_us: int) -> int:
        """Return the time with a closed window since the last reset."""
        return self.accumulated_us + (max(0, now_us - self.since_us) if self.since_us >= 0 else 0)


@dataclass(slots=True)
class StreamAccount:
    """One stream's share of its connection's account."""

    since_us: int
    is_accepted: bool = False  # the core has the request
    request_bytes: int = 0  # buffered bytes of an incomplete request
    response_bytes: int = 0  # unwritten bytes of a response
    stall: StallTimer = field(default_factory=StallTimer)


@dataclass(slots=True)
class ConnectionAccount:
    """One connection's account."""

    since_us: int
    age_us: int
    streams: dict[int, StreamAccount] = field(default_factory=dict)
    bytes: int = 0
    budgets: dict[Cost, Bucket] = field(default_factory=dict)
    stall: StallTimer = field(default_factory=StallTimer)
    idle_since_us: int = 0  # since when no stream has been open
    had_request: bool = False
    refused: int = 0


class StreamTable:
    """The accounts of one listener's connections. Not thread-safe: callers hold a lock."""

    def __init__(self, terms: StreamTerms) -> None:
        """Begin with no connections."""
        self.terms = terms
        self.accounts: dict[int, ConnectionAccount] = {}
        self.open = 0
        self.bytes = 0

    # Connections

    def connect(self, conn: int, now_us: int, chance: float = 0.0) -> None:
        """Add a connection; `chance`, in [0, 1), spreads the maximum ages of simultaneous connections."""
        age = int(self.terms.age_us * (1.0 - self.terms.age_jitter * chance))
        self.accounts[conn] = ConnectionAccount(now_us, age, idle_since_us=now_us)

    def disconnect(self, conn: int) -> None:
        """Remove a connection, and release all its streams and bytes."""
        account = self.accounts.pop(conn, None)
        if account is not None:
            self.open -= len(account.streams)
            self.bytes -= account.bytes

    def longest_idle(self, now_us: int, young_us: int) -> int | None:
        """Return the connection that is idle for longest, at least `young_us`, or None.

        Connections that have had no request come first.
        """
        candidates = [
            (account.had_request, account.idle_since_us, conn)
            for conn, account in self.accounts.items()
            if not account.streams and now_us - account.idle_since_us >= young_us
        ]
        return min(candidates)[2] if candidates else None

    # Streams

    def open_stream(self, conn: int, stream: int, now_us: int, free: int) -> StreamDecision:
        """Decide on a new request; `free` is the number of further requests that the core accepts."""
        account = self.accounts.get(conn)
        if account is None:
            return StreamDecision.REFUSE
        terms = self.terms
        open_streams = len(account.streams)
        left = min(free, terms.open_requests - self.open)
        connection_share = terms.share * max(0, terms.all_bytes - self.bytes)
        full = account.bytes >= min(connection_share, terms.connection_bytes)
        if (
            open_streams >= terms.streams
            or open_streams >= terms.share * left
            or left <= 0
            or (full and account.bytes > 0)
        ):
            account.refused += 1
            return StreamDecision.REFUSE
        account.streams[stream] = StreamAccount(now_us)
        account.had_request = True
        self.open += 1
        return StreamDecision.ACCEPT

    def add_request_bytes(self, conn: int, stream: int, count: int) -> StreamDecision:
        """Decide on bytes of a request's body, which are buffered until it is complete."""
        account, stream_account = self._find(conn, stream)
        if account is None or stream_account is None:
            return StreamDecision.REFUSE
        if not self._fits(account, count, self.terms.all_bytes):
            return StreamDecision.REFUSE
        stream_account.request_bytes += count
        account.bytes += count
        self.bytes += count
        return StreamDecision.ACCEPT

    def accept_request(self, conn: int, stream: int) -> None:
        """Record that the core has the complete request, and release its bytes."""
        account, stream_account = self._find(conn, stream)
        if account is not None and stream_account is not None:
            stream_account.is_accepted = True
            account.bytes -= stream_account.request_bytes
            self.bytes -= stream_account.request_bytes
            stream_account.request_bytes = 0

    def add_response_bytes(self, conn: int, stream: int, count: int, write: bool) -> StreamDecision:
        """Decide on a response's bytes; on AT_CAPACITY an error response without them is sent."""
        account, stream_account = self._find(conn, stream)
        if account is None or stream_account is None:
            return StreamDecision.AT_CAPACITY
        max_bytes = (
            self.terms.all_bytes
            if write
            else self.terms.all_bytes * (WRITE_RESERVE_DIVISOR - 1) // WRITE_RESERVE_DIVISOR
        )
        if stream_account.response_bytes + count > self.terms.stream_bytes or not self._fits(
            account, count, max_bytes
        ):
            return StreamDecision.AT_CAPACITY
        stream_account.is_accepted = True  # also for a response before the request is complete
        stream_account.response_bytes += count
        account.bytes += count
        self.bytes += count
        return StreamDecision.ACCEPT

    def release_response_bytes(self, conn: int, stream: int, count: int) -> None:
        """Release bytes of a response that have been written."""
        account, stream_account = self._find(conn, stream)
        if account is not None and stream_account is not None:
            count = min(count, stream_account.response_bytes)
            stream_account.response_bytes -= count
            account.bytes -= count
            self.bytes -= count
            stream_account.stall.on_written(count, self.terms.crawl_bytes)
            account.stall.on_written(count, self.terms.crawl_bytes)

    def on_window_closed(self, conn: int, stream: int, now_us: int) -> None:
        """Record that a closed window blocks a stream's response; stream 0 is the connection's own window."""
        account = self.accounts.get(conn)
        if account is not None:
            stream_account = account.streams.get(stream)
            if stream == 0:
                account.stall.on_window_closed(now_us)
            elif stream_account is not None:
                stream_account.stall.on_window_closed(now_us)

    def on_window_opened(self, conn: int, stream: int, now_us: int) -> None:
        """Record that the window is open again."""
        account = self.accounts.get(conn)
        if account is not None:
            stream_account = account.streams.get(stream)
            if stream == 0:
                account.stall.on_window_opened(now_us)
            elif stream_account is not None:
                stream_account.stall.on_window_opened(now_us)

    def close_stream(self, conn: int, stream: int, now_us: int) -> None:
        """Release a stream that has ended: its response is written, or it was reset or refused late."""
        account = self.accounts.get(conn)
        stream_account = account.streams.pop(stream, None) if account is not None else None
        if account is not None and stream_account is not None:
            self.open -= 1
            account.bytes -= stream_account.request_bytes + stream_account.response_bytes
            self.bytes -= stream_account.request_bytes + stream_account.response_bytes
            if not account.streams:
                account.idle_since_us = now_us

    # Budgets and timeouts

    def charge(self, conn: int, cost: Cost, now_us: int) -> StreamDecision:
        """Charge a frame to its budget; return CALM where the connection has exceeded it."""
        account = self.accounts.get(conn)
        if account is None:
            return StreamDecision.ACCEPT
        per_s, burst = self.terms.budget(cost)
        bucket = account.budgets.get(cost)
        if bucket is None:
            bucket = account.budgets[cost] = Bucket(burst * 1_000_000, now_us)
        return StreamDecision.ACCEPT if bucket.take(per_s, burst, now_us) else StreamDecision.CALM

    def due(self, now_us: int) -> Iterator[tuple[int, int, Due]]:
        """Yield connection, stream (0: the whole connection) and reason of each timeout that is due."""
        terms = self.terms
        for conn, account in list(self.accounts.items()):
            if account.stall.stalled_us(now_us) > terms.window_shut_us:
                yield conn, 0, Due.SHUT
            elif not account.had_request and now_us - account.since_us > terms.first_us:
                yield conn, 0, Due.FIRST_LATE
            elif not account.streams and now_us - account.idle_since_us > terms.idle_us:
                yield conn, 0, Due.IDLE
            elif account.age_us and now_us - account.since_us > account.age_us:
                yield conn, 0, Due.AGED
            for stream, stream_account in list(account.streams.items()):
                if not stream_account.is_accepted and now_us - stream_account.since_us > terms.body_us:
                    yield conn, stream, Due.BODY_LATE
                elif (
                    stream_account.response_bytes
                    and stream_account.stall.stalled_us(now_us) > terms.window_shut_us
                ):
                    yield conn, stream, Due.STALLED

    def explain(self) -> dict[str, int]:
        """Return the counts of connections, streams, bytes, streams of the fullest connection, refusals."""
        fullest = max((len(a.streams) for a in self.accounts.values()), default=0)
        refused = sum(a.refused for a in self.accounts.values())
        return {
            "connections": len(self.accounts), "open": self.open, "bytes": self.bytes, "fullest": fullest,
            "refused": refused,
        }  # fmt: skip

    def _fits(self, account: ConnectionAccount, count: int, max_bytes: int) -> bool:
        total = account.bytes + count
        share = self.terms.share * max(0, max_bytes - self.bytes)
        return (
            total <= self.terms.connection_bytes and self.bytes + count <= max_bytes and account.bytes < share
        )

    def _find(self, conn: int, stream: int) -> tuple[ConnectionAccount | None, StreamAccount | None]:
        account = self.accounts.get(conn)
        return account, account.streams.get(stream) if account is not None else None
