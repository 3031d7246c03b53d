"""The client: calls, tries, deadlines, and waits between tries.

One thread hands tries to lines, waits for what is due, and ends what is late. Results come as typed values,
and never as exceptions; docs/client.md shows the use, examples/ has programs.
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
from lupintack.client.http1 import Http1Lines
from lupintack.client.http2 import Http2Line
from lupintack.client.results import Failed, Holds, Refused, Result, Served, Unknown
from lupintack.clock import now_us
from lupintack.limits.retries import ClientAttemptResult, RetryBudget, RetryTerms

UNSAFE = frozenset(("alert-ack",))
WAIT_MOST_MS = 60_000


@dataclass(slots=True, eq=False)
class Call:
    """One request of the caller's, over all its tries."""

    cls: str
    item: str
    part: int
    group: int
    body: bytes
    have: str
    began_us: int
    deadline_us: int
    future: Future[Result]
    tries: int = 0
    attempt: Attempt | None = None

    def result(self, timeout: float | None = None) -> Result:
        """Wait for the end of it; TimeoutError after `timeout` seconds, if given."""
        return self.future.result(timeout)


class Client:
    """Calls to one edge router, from any thread. Use it as a context, or call `close`."""

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
        """`connections` bounds those of HTTP/1.1; HTTP/2 uses one. `unsafe` names classes that never run
        twice.
        """
        self.address = address
        self.unsafe = frozenset(unsafe)
        self.retries = RetryBudget(retries)
        self.random = Random(seed)
        self.lines = None if http2 else Http1Lines(address, connections)
        self.line: Http2Line | None = None
        self.old: list[Http2Line] = []  # going away, with tries on them
        self.cond = threading.Condition()
        self.due: list[tuple[int, int, Callable[[], None]]] = []
        self.waiting: deque[Call] = deque()  # tries that no line has taken yet
        self.order = itertools.count()
        self.closed = False
        self.open: set[Call] = set()
        self.thread = threading.Thread(target=self._run, name="client", daemon=True)
        self.thread.start()

    # Calls

    def get(
        self, cls: str, item: str, *, part: int = 0, group: int = 0, have: str = "", wait_ms: int = 2000
    ) -> Result:
        """Bytes of an object's part; `have` is the tag of the caller's copy."""
        return self.begin(cls, item, part=part, group=group, have=have, wait_ms=wait_ms).result()

    def put(self, cls: str, item: str, body: bytes, *, group: int = 0, wait_ms: int = 2000) -> Result:
        """A write, such as an alert-ack."""
        return self.begin(cls, item, group=group, body=body, wait_ms=wait_ms).result()

    def begin(
        self,
        cls: str,
        item: str,
        *,
        part: int = 0,
        group: int = 0,
        body: bytes | None = None,
        have: str = "",
        wait_ms: int = 2000,
    ) -> Call:
        """The same without waiting; with a body, or an unsafe class, it is a write. ValueError for bad
        words.
        """
        if not 0 < wait_ms <= WAIT_MOST_MS:
            raise ValueError(f"wait_ms: 1 to {WAIT_MOST_MS} is wanted, not {wait_ms}")
        if len(item) != 16 or any(c not in "0123456789abcdef" for c in item):
            raise ValueError(f"item: 16 hex digits are wanted, not {item!r}")
        if not cls.isascii() or not cls.replace("-", "").isalnum():
            raise ValueError(f"cls: a name is wanted, not {cls!r}")
        now = now_us()
        call = Call(cls, item, part, group, body or b"", have, now, now + wait_ms * 1000, Future())
        with self.cond:
            if self.closed:
                raise ValueError("the client is closed")
            self.open.add(call)
            self.retries.on_first_attempt()
            self.waiting.append(call)
            heapq.heappush(self.due, (call.deadline_us, next(self.order), lambda: self._late(call)))
            self.cond.notify()
        return call

    def close(self) -> None:
        """End the lines; calls that are open end as unknown."""
        with self.cond:
            if self.closed:
                return
            self.closed = True
            self.cond.notify()
        self.thread.join()
        for line in [*self.old, *([self.line] if self.line else [])]:
            line.close()
        if self.lines is not None:
            self.lines.close()
        for call in list(self.open):
            self._end(call, Reply(ClientAttemptResult.UNKNOWN, why="the client was closed"))

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
            with self.cond:
                now = now_us()
                if self.closed:
                    return
                calls = []
                while self.due and self.due[0][0] <= now:
                    calls.append(heapq.heappop(self.due)[2])
                if not calls and not self._ready():
                    left = (self.due[0][0] - now) / 1e6 if self.due else None
                    self.cond.wait(left)
                    continue
            for one in calls:
                one()
            self._hand_out()

    def _ready(self) -> bool:
        """Whether a waiting try may find a line now."""
        return bool(self.waiting) and not self.full

    full = False  # the line takes no more streams until one has ended

    def _freed(self) -> None:
        with self.cond:
            self.full = False
            self.cond.notify()

    def _hand_out(self) -> None:
        """Waiting tries to lines."""
        while True:
            with self.cond:
                if not self.waiting or self.full or self.closed:
                    return
                call = self.waiting.popleft()
            if call.future.done():
                continue
            attempt = self._attempt(call)
            if self.lines is not None:
                call.attempt = attempt
                self.lines.begin(attempt)
                continue
            try:
                line = self._line()
            except OSError as error:
                call.attempt = attempt
                attempt.finish(
                    Reply(ClientAttemptResult.NOT_PROCESSED, why=f"no connection: {error.strerror or error}")
                )
                continue
            call.attempt = attempt
            with self.cond:
                self.full = True  # before the line is asked: what it frees from now on clears it
            if line.begin(attempt):
                with self.cond:
                    self.full = False
            else:
                call.tries -= 1
                call.attempt = None
                with self.cond:
                    self.waiting.appendleft(call)
                    if not line.usable() or not line.streams:
                        self.full = False

    def _line(self) -> Http2Line:
        """The line that takes streams, or a new one."""
        line = self.line
        if line is None or not line.usable():
            self.old = [one for one in self.old if not one.dead]
            if line is not None and not line.dead:
                self.old.append(line)
            self.line = line = Http2Line(self.address, self._freed)
        return line

    def _attempt(self, call: Call) -> Attempt:
        call.tries += 1
        now = now_us()
        headers = {
            "Req-Id": secrets.token_hex(8),  # new with every try
            "Req-Wait-Ms": str(max(1, (call.deadline_us - now) // 1000)),
            "X-Batch": str(call.group),
        }
        if call.tries > 1:
            headers["Req-Retry"] = "1"
        if call.have:
            headers["If-None-Match"] = f'"{call.have}"'
        write = bool(call.body) or call.cls in self.unsafe
        part = f"?nth={call.part}" if call.part else ""
        path = f"/ops/{call.cls}/{call.item}{part}"
        safe = call.cls not in self.unsafe and not write

        def done(reply: Reply) -> None:
            self._tried(call, attempt, reply)

        method = "PUT" if write else "GET"
        attempt = Attempt(method, path, headers, call.body, safe, call.deadline_us, done)
        return attempt

    # Ends: on any thread

    def _tried(self, call: Call, attempt: Attempt, reply: Reply) -> None:
        """A try has ended: another one, or the call's end."""
        with self.cond:
            if call.future.done():
                return
            wait = reply.headers.get("srv-wait-ms", "0")
            wait_us = int(wait) * 1000 if wait.isascii() and wait.isdigit() and len(wait) < 8 else 0
            at = None
            if not self.closed:
                at = self.retries.next_attempt_us(
                    reply.end,
                    attempt.safe,
                    call.tries,
                    wait_us,
                    now_us(),
                    call.deadline_us,
                    self.random.random(),
                )
            if at is not None:
                call.attempt = None
                heapq.heappush(self.due, (at, next(self.order), lambda: self._again(call)))
                self.cond.notify()
                return
        self._end(call, reply)

    def _again(self, call: Call) -> None:
        with self.cond:
            self.waiting.append(call)

    def _late(self, call: Call) -> None:
        """The deadline: nothing more is waited for."""
        if call.future.done():
            return
        attempt = call.attempt
        if attempt is None:
            why = "no time was left" if call.tries == 0 else "no time was left for another try"
            self._end(call, Reply(ClientAttemptResult.NOT_PROCESSED, why=why))
            return
        attempt.over = True
        for line in [*self.old, *([self.line] if self.line else [])]:
            line.give_up(attempt)
        self._end(call, Reply(ClientAttemptResult.UNKNOWN, why="no answer by the deadline"))
        self._freed()

    def _end(self, call: Call, reply: Reply) -> None:
        """The result, once."""
        with self.cond:
            if call.future.done():
                return
            self.open.discard(call)
            call.future.set_result(result(reply, call.tries, now_us() - call.began_us))


def result(reply: Reply, tries: int, took_us: int) -> Result:
    """The last try's end as the caller's result."""
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
