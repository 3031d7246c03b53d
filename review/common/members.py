"""Stand-in caches, parents and origin, by the platform's protocol page."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lupintack.peers import resp
from review.common.record import Record

HOSTS = {"s-1": "box", "s-2": "box", "p-1": "parent", "p-2": "parent", "o-1": "origin"}


@dataclass
class Want:
    """One request that has reached a member."""

    member: Member
    sock: socket.socket
    lock: threading.Lock
    id: str
    fields: dict[str, str]
    at_s: float

    def answer(self, word: str, fields: str = "-", body: bytes = b"") -> None:
        """Write an answer; a connection that has ended takes none."""
        self.member.record.write(self.member.name, f"answers {self.id} {word} {fields}")
        with self.lock, contextlib.suppress(OSError):
            self.sock.sendall(resp.encode_command(self.id.encode(), word.encode(), fields.encode(), body))

    def reset_connection(self) -> None:
        """Reset the connection under the request."""
        self.member.record.write(self.member.name, f"resets the connection under {self.id}")
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.sock.shutdown(socket.SHUT_RD)
        self.sock.close()


Handler = Callable[[Want], None]


class Member:
    """One member: passes each `want` to a handler on a thread of its own, and answers `there`."""

    def __init__(self, name: str, kind: str, handle: Handler, record: Record) -> None:
        """Listen on a loopback address."""
        self.name, self.kind, self.handle, self.record = name, kind, handle, record
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Serve each connection on a thread."""
        while True:
            sock, _ = self.listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        """Read the commands of one connection."""
        lock = threading.Lock()
        reader = resp.Reader(sock)
        try:
            while True:
                parts = [bytes(part) for part in reader.read_array()]
                if parts[0] == b"there":
                    with lock:
                        sock.sendall(resp.encode_command(parts[1], b"yes", b"-", b""))
                elif parts[0] == b"never_mind":
                    self.record.write(self.name, f"never_mind {parts[1].decode()}")
                else:
                    self.take_want(sock, lock, parts)
        except resp.FrameError as error:
            self.record.write(self.name, f"can't read the connection: {error}")
        except (OSError, EOFError):
            pass
        sock.close()

    def take_want(self, sock: socket.socket, lock: threading.Lock, parts: list[bytes]) -> None:
        """Pass on one request."""
        fields = resp.parse_fields(bytearray(parts[2]))
        want = Want(self, sock, lock, parts[1].decode(), fields, time.monotonic())
        self.record.write(self.name, f"want {want.id} {parts[2].decode()} ({len(parts[3])} bytes)")
        threading.Thread(target=self.handle, args=(want,), daemon=True).start()


@dataclass
class Copy:
    """A copy of an object's part."""

    issued_ms: int
    body: bytes

    @property
    def tag(self) -> str:
        """Name the copy by when the origin gave it out."""
        return f"c{self.issued_ms}"

    def fields(self, word: str) -> str:
        """Return the fields of an answer with this copy."""
        return f"entity={self.tag},issued={self.issued_ms},tell={word},delay=0,meter=cpu_share:0.1"


class Caches:
    """All members of a small deployment, which hold copies and fill misses from the origin."""

    def __init__(self, settings: dict[str, Any], record: Record) -> None:
        """Start the members without copies."""
        self.settings, self.record = settings, record
        self.fill_s = 0.04  # the origin answers in 32 to 70 ms
        self.lock = threading.Lock()
        self.copies: dict[tuple[str, str, str], Copy] = {}
        self.fresh_ms = {
            service["name"]: fresh
            for service, fresh in zip(settings["services"], settings["domain"]["fresh-for"], strict=True)
        }
        self.members = {name: Member(name, kind, self.handle, record) for name, kind in HOSTS.items()}

    def dials(self) -> dict[str, str]:
        """Return the members' addresses by name."""
        return {name: member.address for name, member in self.members.items()}

    def drop_older(self, issued_before_ms: int) -> None:
        """Drop the copies from before a purge, as caches do within the time that the settings name."""
        with self.lock:
            for key in [key for key, copy in self.copies.items() if copy.issued_ms < issued_before_ms]:
                del self.copies[key]
        self.record.write("caches", f"dropped all copies issued before {issued_before_ms}")

    def handle(self, want: Want) -> None:
        """Answer a read: a hit, a fill from the origin, or nothing."""
        fields, name = want.fields, want.member.name
        key = (name, fields["item"], fields.get("chunk", "0"))
        oldest_ms = int(fields.get("within", "0")) or self.fresh_ms[fields["cls"]] or 1 << 60
        with self.lock:
            copy = self.copies.get(key)
        if copy is not None and time.time() * 1000 - copy.issued_ms <= oldest_ms:
            self.answer(want, "ok", copy.fields("h"), copy.body)
            return
        if want.member.kind == "box" and ("miss" not in fields or "no-fetch" in fields.get("f", "")):
            want.answer("nothing", "tell=l" if "miss" in fields else "-")
            return
        time.sleep(self.fill_s)
        issued_ms = int(time.time() * 1000)
        copy = Copy(issued_ms, f"{key[1]}/{key[2]} issued {issued_ms}\n".encode() * 40)
        if want.member.kind == "box" and int(fields.get("prio", "0")) > 0:
            with self.lock:
                self.copies[key] = copy
        self.answer(want, "ok", copy.fields("f"), copy.body)

    def answer(self, want: Want, word: str, fields: str, body: bytes) -> None:
        """Write an answer with a copy."""
        want.answer(word, fields, body)
