"""Stand-in caches, parents and an origin that answer requests and count the executed writes.

They store objects as requested, fill a miss if the request names a source, and answer after a delay set by
the test. They do not model load; the lab does.
"""

from __future__ import annotations

import hashlib
import heapq
import itertools
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from lupintack import sockets
from lupintack.peers import resp
from lupintack.standins import deployment
from lupintack.standins.audit import CONNECTION_LOST, Audit, MemberAttempt, MemberLocation
from lupintack.standins.discovery_server import DiscoveryServer
from lupintack.standins.net import address_of, close, listen

SIZES = {"river-video": 120_000, "map-tiles": 12_000, "alert-ack": 40}
ERROR_STATUSES = ("refused", "error")  # faults that are sent as a status
LATE_S = 0.4


def content(item: str, chunk: str, size: int) -> bytes:
    """Return the bytes of a part: the same at each member, different for each part."""
    seed = f"{item}/{chunk} ".encode()
    return (seed * (size // len(seed) + 1))[:size]


@dataclass
class Terms:
    """Behaviour of the stand-ins; a test may change it while they run."""

    sizes: dict[str, int] = field(default_factory=lambda: dict(SIZES))
    delay_s: Callable[[str, str], float] = lambda name, cls: 0.0
    fault: Callable[[str, str], str] = lambda name, cls: ""  # refused, error, lost, late or closed
    there: bytes = b"yes"  # the answer to `there`
    stamped: bool = False  # the bytes of a copy begin with the time at which it was issued


@dataclass(frozen=True, slots=True)
class Call:
    """A `want` command and when it arrived at the member, in monotonic seconds; it may be read later."""

    at_s: float
    member: str
    wire_id: str
    fields: dict[str, str]


class DelayedCalls:
    """Calls functions after a delay on one thread, which is started by the first of them."""

    def __init__(self) -> None:
        self.cond = threading.Condition()
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.thread: threading.Thread | None = None

    def call(self, delay_s: float, callback: Callable[[], None]) -> None:
        with self.cond:
            heapq.heappush(self.heap, (time.monotonic() + delay_s, next(self.order), callback))
            self.cond.notify()
            if self.thread is None:
                self.thread = threading.Thread(target=self.run, name="stand-in later", daemon=True)
                self.thread.start()

    def run(self) -> None:
        while True:
            with self.cond:
                while not self.heap or self.heap[0][0] > time.monotonic():
                    self.cond.wait(self.heap[0][0] - time.monotonic() if self.heap else None)
                callback = heapq.heappop(self.heap)[2]
            callback()


class Member:
    """One cache, parent or origin."""

    def __init__(self, name: str, kind: str, fleet: Fleet) -> None:
        self.name = name
        self.kind = kind
        self.fleet = fleet
        self.copies: dict[tuple[str, str], tuple[bytes, int]] = {}  # bytes, issued ms
        self.requests_by_class: Counter[str] = Counter()
        self.connections: list[socket.socket] = []
        self.sock = listen(self.serve)
        self.address = address_of(self.sock)

    def serve(self, sock: socket.socket) -> None:
        """Handle the commands of one connection; answers are sent in any order."""
        lock = threading.Lock()
        dropped: set[str] = set()
        self.connections.append(sock)
        reader = resp.Reader(sock)
        audit, open_attempts = self.fleet.audit, list[MemberAttempt]()
        connection = next(self.fleet.connection_numbers)
        on_finish: dict[str, Callable[[], None]] = {}  # callbacks of the open requests, by their ids

        def finish(wire_id: str) -> None:
            if (callback := on_finish.pop(wire_id, None)) is not None:
                callback()

        def reply(wire_id: str, raw: bytes) -> None:
            finish(wire_id)
            with lock:
                if wire_id in dropped:
                    dropped.discard(wire_id)
                    return
                try:
                    sock.sendall(raw)
                except OSError:
                    pass

        def cut() -> None:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # already closed

        try:
            while True:
                parts = reader.read_array()
                command = bytes(parts[0])
                if command == b"there":
                    with lock:
                        sock.sendall(resp.encode_command(bytes(parts[1]), self.fleet.terms.there, b"-", b""))
                elif command == b"never_mind":
                    finish(bytes(parts[1]).decode())
                    with lock:
                        dropped.add(bytes(parts[1]).decode())
                    if audit is not None:
                        audit.on_attempt_cancelled(self.name, bytes(parts[1]).decode())
                elif command != b"want":
                    raise resp.FrameError(f"command {command!r} is not allowed in this deployment")
                else:
                    wire_id, body = bytes(parts[1]).decode(), bytes(parts[3])
                    fields = resp.parse_fields(parts[2])
                    attempt, open_attempts = None, [other for other in open_attempts if not other.ended_s]
                    if audit is not None:
                        attempt = audit.on_attempt_started(self.name, wire_id, fields, body, connection)
                        open_attempts.append(attempt)
                    dropped.discard(wire_id)
                    if self.fleet.on_call is not None:
                        received_s = time.monotonic() - sockets.since_received_us(sock) / 1e6
                        self.fleet.on_call(Call(received_s, self.name, wire_id, fields))
                    if self.fleet.watch is not None:
                        on_finish[wire_id] = self.fleet.watch(self.name, fields)
                    self.answer_request(wire_id, fields, body, reply, cut, attempt)
        except resp.FrameError as error:
            if audit is not None:
                audit.add_violation("-", f"to {self.name}: {error}")
        except (OSError, EOFError):
            pass
        finally:
            self.connections.remove(sock)
            sock.close()
            for wire_id in list(on_finish):
                finish(wire_id)
            for attempt in open_attempts:
                if audit is not None:
                    audit.on_attempt_ended(attempt, CONNECTION_LOST)

    def answer_request(
        self,
        wire_id: str,
        fields: dict[str, str],
        body: bytes,
        reply: Callable[[str, bytes], None],
        cut: Callable[[], None],
        attempt: MemberAttempt | None,
    ) -> None:
        """Answer a `want` command after the delay of its class, or inject the fault that the test has set."""
        cls = fields.get("cls", "")
        self.requests_by_class[cls] += 1
        terms, audit = self.fleet.terms, self.fleet.audit
        fault = terms.fault(self.name, cls)

        def answer() -> None:
            status, answer_fields, data = (
                (fault.encode(), "-", b"") if fault in ERROR_STATUSES else self.get(cls, fields, body)
            )
            if fault == "lost":
                return
            if attempt is not None and audit is not None:
                if status in (b"ok", b"current"):
                    audit.check_copy_age(attempt, int(resp.parse_fields(answer_fields.encode())["issued"]))
                audit.on_attempt_ended(attempt, CONNECTION_LOST if fault == "closed" else status.decode())
            if fault == "closed":
                cut()
            else:
                reply(wire_id, resp.encode_command(wire_id.encode(), status, answer_fields.encode(), data))

        delay = terms.delay_s(self.name, cls) + LATE_S * (fault == "late")
        if delay > 0:
            self.fleet.delayed_calls.call(delay, answer)
        else:
            answer()

    def get(self, cls: str, fields: dict[str, str], body: bytes) -> tuple[bytes, str, bytes]:
        """Return status, fields and bytes of the answer."""
        item, chunk = fields.get("item", ""), fields.get("chunk", "0")
        size = self.fleet.terms.sizes.get(cls, 1000)
        reported_fields = self.fleet.settings["domain"].get("says", "none")
        if cls in self.fleet.writes:
            if self.kind != "origin" and not fields.get("miss"):
                return b"nothing", "-", b""
            self.fleet.run(item, fields.get("nonce", ""), self.fleet.writes[cls])
            source_field = ",tell=f" if reported_fields != "none" else ""
            return (
                b"ok",
                f"entity=a1,issued={int(time.time() * 1000)}{source_field}",
                content(item, chunk, size),
            )
        now = int(time.time() * 1000)
        copy = self.copies.get((item, chunk))
        if copy is not None and "within" in fields and now - copy[1] > int(fields["within"]):
            copy = None  # older than the request accepts
        hit_word = "h"
        if copy is None:
            if self.kind == "box" and not fields.get("miss"):
                return b"nothing", "-", b""
            hit_word = "f"
            body_bytes = content(item, chunk, size)
            copy = (b"issued=%d " % now + body_bytes if self.fleet.terms.stamped else body_bytes), now
            if int(fields.get("prio", "0")) > 0 and len(self.copies) < 4096:
                self.copies[item, chunk] = copy
        tag = hashlib.blake2b(copy[0], digest_size=6).hexdigest()
        answer_fields = f"entity={tag},issued={copy[1]}"
        if reported_fields != "none":
            answer_fields += f",tell={hit_word}"
        if reported_fields == "all":
            answer_fields += ",delay=0"
        report = self.fleet.settings.get("report", {})
        if report.get("via", "answers") == "answers" and report.get("fields"):
            answer_fields += ",meter=" + ";".join(f"{name}:0.1" for name in report["fields"])
        if fields.get("mine") == tag:
            return b"current", answer_fields, b""
        return b"ok", answer_fields, copy[0]

    def cut(self) -> None:
        """Close every connection, but not the listener."""
        for sock in list(self.connections):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def close(self) -> None:
        close(self.sock)
        self.cut()


class Fleet:
    """The members of a small deployment and its discovery server."""

    def __init__(
        self,
        terms: Terms | None = None,
        hosts: dict[str, str] | None = None,
        settings: dict[str, Any] | None = None,
        strict: bool = False,
    ) -> None:
        self.terms = terms or Terms()
        self.settings = settings or deployment.SETTINGS
        class_writes = zip(self.settings["services"], self.settings["domain"]["class-write"], strict=False)
        self.writes = {service["name"]: service for service, write in class_writes if write}
        hosts = hosts or deployment.HOSTS
        sites = {"box": self.settings["azs"][self.settings["zone"]]}
        # Called with the member and fields of each `want`; the returned function is called when it ends.
        self.watch: Callable[[str, dict[str, str]], Callable[[], None]] | None = None
        self.on_call: Callable[[Call], None] | None = None  # called with each `want`
        self.audit = None
        if strict:
            locations = {name: MemberLocation(kind, sites.get(kind, "hub")) for name, kind in hosts.items()}
            self.audit = Audit(self.settings, locations)
        self.keys: dict[str, float] = {}
        self.connection_numbers = itertools.count(1)  # of the members' connections
        self.delayed_calls = DelayedCalls()
        self.lock = threading.Lock()
        self.ran: Counter[str] = Counter()  # executions of each write, by its key or object
        self.discovery_server = DiscoveryServer()
        self.members = {name: Member(name, kind, self) for name, kind in hosts.items()}

    def dials(self) -> dict[str, str]:
        return {name: member.address for name, member in self.members.items()}

    def configuration(self, listen: str = "127.0.0.1:0", **options: object) -> dict[str, object]:
        """Return the configuration of an edge router with this fleet."""
        base = deployment.configuration(self.dials(), self.discovery_server.address, listen, **options)  # type: ignore[arg-type]
        return base | {"settings": self.settings}

    def run(self, item: str, key: str, service: dict[str, Any]) -> None:
        """Execute a write, unless the origin executed one with its key within the deduplication window."""
        with self.lock:
            now = time.monotonic()
            if key and now - self.keys.get(key, -1e9) < service.get("dedup-window", 0.0) / 1000.0:
                return
            self.keys[key] = now
            self.ran[key or item] += 1

    def close(self) -> None:
        self.discovery_server.close()
        for member in self.members.values():
            member.close()
        if self.audit is not None:
            self.audit.close()
