"""The client: calls, their attempts, deadlines and backoff.

One thread passes attempts to connections, runs timers, and ends calls at their deadline. Results are typed
values, never exceptions; docs/client.md describes their use; examples/ has a program.
"""

from __future__ import annotations

import heapq
import itertools
import secrets
import threading
from collections import deque
from collections.abc import Callable, Iterable
from concurrent.futures import Future
from dataclasses import dataclass
from random import Random
from types import TracebackType

from lupintack.client.attempt import Attempt, Reply
from lupintack.client.http1 import Http1ConnectionPool
from lupintack.client.http2 import Http2Connection
from lupintack.client.results import Failed, Holds, Refused, Result, Served, Unknown
from lupintack.clock import now_us
from lupintack.core.entity_tags import TAG
from lupintack.limits.retries import ClientAttemptResult, RetryBudget, RetryTerms

UNSAFE = frozenset(("alert-ack",))
MAX_WAIT_MS = 60_000
MAX_PART = 65_535
MAX_GROUP = 255


@dataclass(slots=True, eq=False)
class Call:
    """One request of the caller, over all its attempts."""

    cls: str
    item: str
    part: int
    group: int | None
    body: bytes
    have: str
    began_us: int
    deadline_us: int
    future: Future[Result]
    tries: int = 0
    attempt: Attempt | None = None

    def result(self, timeout: float | None = None) -> Result:
        """Wait for the result and return it; raise TimeoutError after `timeout` seconds, if given."""
        return self.future.result(timeout)


class Client:
    """Sends calls to one edge router, from any thread. Use it as a context manager, or call `close`."""

    def __init__(
        self,
        address: tuple[str, int],
        *,
        http2: bool = True,
        connections: int = 10,
        unsafe: Iterable[str] = UNSAFE,
        retries: RetryTerms = RetryTerms(),  # noqa: B008 - it is frozen
        seed: int | None = None,
    ) -> None:
        """Start the thread of the client.

        `connections` is the limit for HTTP/1.1; HTTP/2 uses one. Calls of the classes in `unsafe` are never
        repeated if they may have run.
        """
        self.address = address
        self.unsafe = frozenset(unsafe)
        self.retries = RetryBudget(retries)
        self.random = Random(seed)
        self.http1_pool = None if http2 else Http1ConnectionPool(address, connections)
        self.http2_connection: Http2Connection | None = None
        self.draining_connections: list[Http2Connection] = []  # going away, with attempts on them
        self.condition = threading.Condition()
        self.timers: list[tuple[int, int, Callable[[], None]]] = []
        self.waiting: deque[Call] = deque()  # no connection has taken their attempts yet
        self.timer_sequence = itertools.count()
        self.closed = False
        self.open: set[Call] = set()
        self.thread = threading.Thread(target=self._run, name="client", daemon=True)
        self.thread.start()

    # Calls

    def get(
        self,
        cls: str,
        item: str,
        *,
        part: int = 0,
        group: int | None = None,
        have: str = "",
        wait_ms: int = 2000,
    ) -> Result:
        """Fetch a part of an object; `have` is the tag of the caller's copy.

        Without the object's group, the router takes every group's purge for one of the object.
        """
        return self.begin(cls, item, part=part, group=group, have=have, wait_ms=wait_ms).result()

    def put(
        self, cls: str, item: str, body: bytes, *, group: int | None = None, wait_ms: int = 2000
    ) -> Result:
        """Send a write, such as an alert-ack."""
        return self.begin(cls, item, group=group, body=body, wait_ms=wait_ms).result()

    def begin(
        self,
        cls: str,
        item: str,
        *,
        part: int = 0,
        group: int | None = None,
        body: bytes | None = None,
        have: str = "",
        wait_ms: int = 2000,
    ) -> Call:
        """Begin a call without waiting for its result; with a body or an unsafe class it is a write.

        Raises ValueError for invalid arguments and for a closed client.
        """
        if not 0 < wait_ms <= MAX_WAIT_MS:
            raise ValueError(f"wait_ms: expected 1 to {MAX_WAIT_MS}, not {wait_ms}")
        if len(item) != 16 or any(c not in "0123456789abcdef" for c in item):
            raise ValueError(f"item: expected 16 hex digits, not {item!r}")
        if not cls.isascii() or not cls.replace("-", "").isalnum():
            raise ValueError(f"cls: expected a name, not {cls!r}")
        if have and not TAG.fullmatch(have):
            raise ValueError(f"have: expected a tag without quotes, as it was answered, not {have!r}")
        if not 0 <= part <= MAX_PART or (group is not None and not 0 <= group <= MAX_GROUP):
            raise ValueError(f"part, group: expected 0 to {MAX_PART} and {MAX_GROUP}, not {part}, {group}")
        now = now_us()
        call = Call(cls, item, part, group, body or b"", have, now, now + wait_ms * 1000, Future())
        with self.condition:
            if self.closed:
                raise ValueError("the client is closed")
            self.open.add(call)
            self.retries.on_first_attempt()
            self.waiting.append(call)
            heapq.heappush(
                self.timers, (call.deadline_us, next(self.timer_sequence), lambda: self._on_deadline(call))
            )
            self.condition.notify()
        return call

    def close(self) -> None:
        """Close the connections; open calls end as Unknown."""
        with self.condition:
            if self.closed:
                return
            self.closed = True
            self.condition.notify()
        self.thread.join()
        for connection in [
            *self.draining_connections,
            *([self.http2_connection] if self.http2_connection else []),
        ]:
            connection.close()
        if self.http1_pool is not None:
            self.http1_pool.close()
        for call in list(self.open):
            self._finish(call, Reply(ClientAttemptResult.UNKNOWN, why="the client was closed"))

    def __enter__(self) -> Client:
        """Return this client."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, value: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Close this client."""
        self.close()

    # The client's thread

    def _run(self) -> None:
        while True:
            with self.condition:
                now = now_us()
                if self.closed:
                    return
                expired = []
                while self.timers and self.timers[0][0] <= now:
                    expired.append(heapq.heappop(self.timers)[2])
                if not expired and not self._can_send():
                    timeout_s = (self.timers[0][0] - now) / 1e6 if self.timers else None
                    self.condition.wait(timeout_s)
                    continue
            for callback in expired:
                callback()
            self._send_waiting()

    def _can_send(self) -> bool:
        """Return whether the attempt of a waiting call may be sent now."""
        return bool(self.waiting) and not self.at_stream_limit

    at_stream_limit = False  # the HTTP/2 connection takes no more streams until one has ended

    def _on_capacity(self) -> None:
        with self.condition:
            self.at_stream_limit = False
            self.condition.notify()

    def _send_waiting(self) -> None:
        """Send the attempts of waiting calls, as far as connections take them."""
        while True:
            with self.condition:
                if not self.waiting or self.at_stream_limit or self.closed:
                    return
                call = self.waiting.popleft()
            if call.future.done():
                continue
            attempt = self._new_attempt(call)
            if self.http1_pool is not None:
                call.attempt = attempt
                self.http1_pool.begin(attempt)
                continue
            try:
                connection = self._open_connection()
            except OSError as error:
                call.attempt = attempt
                attempt.finish(
                    Reply(ClientAttemptResult.NOT_PROCESSED, why=f"no connection: {error.strerror or error}")
                )
                continue
            call.attempt = attempt
            with self.condition:
                # Set before `begin`: a stream that ends from now on clears it.
                self.at_stream_limit = True
            if connection.begin(attempt):
                with self.condition:
                    self.at_stream_limit = False
            else:
                call.tries -= 1
                call.attempt = None
                with self.condition:
                    self.waiting.appendleft(call)
                    if not connection.usable() or not connection.streams:
                        self.at_stream_limit = False

    def _open_connection(self) -> Http2Connection:
        """Return the connection that takes streams, or open a new one."""
        connection = self.http2_connection
        if connection is None or not connection.usable():
            self.draining_connections = [old for old in self.draining_connections if not old.is_closed]
            if connection is not None and not connection.is_closed:
                self.draining_connections.append(connection)
            self.http2_connection = connection = Http2Connection(self.address, self._on_capacity)
        return connection

    def _new_attempt(self, call: Call) -> Attempt:
        call.tries += 1
        now = now_us()
        headers = {
            "Req-Id": secrets.token_hex(8),  # a new one for each attempt
            "Req-Wait-Ms": str(max(1, (call.deadline_us - now) // 1000)),
        }
        if call.group is not None:
            headers["X-Batch"] = str(call.group)
        if call.tries > 1:
            headers["Req-Retry"] = "1"
        if call.have:
            headers["If-None-Match"] = f'"{call.have}"'
        is_write = bool(call.body) or call.cls in self.unsafe
        part = f"?nth={call.part}" if call.part else ""
        path = f"/ops/{call.cls}/{call.item}{part}"
        is_safe = call.cls not in self.unsafe and not is_write

        def on_done(reply: Reply) -> None:
            self._on_attempt_end(call, attempt, reply)

        method = "PUT" if is_write else "GET"
        attempt = Attempt(method, path, headers, call.body, is_safe, call.deadline_us, on_done)
        return attempt

    # Ends of attempts and calls, on any thread

    def _on_attempt_end(self, call: Call, attempt: Attempt, reply: Reply) -> None:
        """Schedule a retry after an attempt, or end the call."""
        with self.condition:
            if call.future.done():
                return
            wait = reply.headers.get("srv-wait-ms", "0")
            wait_us = int(wait) * 1000 if wait.isascii() and wait.isdigit() and len(wait) < 8 else 0
            retry_at_us = None
            if not self.closed:
                retry_at_us = self.retries.next_attempt_us(
                    reply.end,
                    attempt.safe,
                    call.tries,
                    wait_us,
                    now_us(),
                    call.deadline_us,
                    self.random.random(),
                )
            if retry_at_us is not None:
                call.attempt = None
                heapq.heappush(
                    self.timers, (retry_at_us, next(self.timer_sequence), lambda: self._queue_retry(call))
                )
                self.condition.notify()
                return
        self._finish(call, reply)

    def _queue_retry(self, call: Call) -> None:
        with self.condition:
            self.waiting.append(call)

    def _on_deadline(self, call: Call) -> None:
        """End a call whose deadline has passed, and cancel its attempt."""
        if call.future.done():
            return
        attempt = call.attempt
        if attempt is None:
            why = "no time was left" if call.tries == 0 else "no time was left for another try"
            self._finish(call, Reply(ClientAttemptResult.NOT_PROCESSED, why=why))
            return
        attempt.over = True
        for connection in [
            *self.draining_connections,
            *([self.http2_connection] if self.http2_connection else []),
        ]:
            connection.cancel(attempt)
        self._finish(call, Reply(ClientAttemptResult.UNKNOWN, why="no answer by the deadline"))
        self._on_capacity()

    def _finish(self, call: Call, reply: Reply) -> None:
        """Set the result of a call, unless it has one."""
        with self.condition:
            if call.future.done():
                return
            self.open.discard(call)
            call.future.set_result(call_result(reply, call.tries, now_us() - call.began_us))


def call_result(reply: Reply, tries: int, took_us: int) -> Result:
    """Return the result of the last attempt as the result of the call."""
    tag = reply.headers.get("etag", "").strip('"')
    if reply.end is ClientAttemptResult.SERVED:
        return Served(tries=tries, took_us=took_us, body=reply.body, tag=tag)
    if reply.end is ClientAttemptResult.NOT_MODIFIED:
        return Holds(tries=tries, took_us=took_us, tag=tag)
    if reply.end in (ClientAttemptResult.REJECTED, ClientAttemptResult.NOT_PROCESSED):
        wait = reply.headers.get("srv-wait-ms", "0")
        wait_ms = int(wait) if wait.isascii() and wait.isdigit() and len(wait) < 8 else 0
        return Refused(
            tries=tries, took_us=took_us, wait_ms=wait_ms, why=reply.why or f"status {reply.status}"
        )
    if reply.end is ClientAttemptResult.FAILED:
        text = reply.body[:200].decode("utf-8", "replace").strip()
        return Failed(tries=tries, took_us=took_us, status=reply.status, text=text)
    return Unknown(tries=tries, took_us=took_us, why=reply.why)
