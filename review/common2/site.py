"""A stand-in site: a notice board, and members that follow the protocol page.

Members are caches, parents and one origin. Each speaks RESP, keeps copies where it is told to, heeds `within`
and fills a miss from the named source. The origin runs writes, and drops the repeat of a key for the window
of its class. Fills between members take no sockets.
"""

from __future__ import annotations

import contextlib
import hashlib
import json
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lupintack.standins import deployment
from review.common2.frame import Record
from review.common2.net import address_of, listen

MAX_STRING_BYTES = 300_000
BODY_BYTES = 2000


class UnreadableError(Exception):
    """A command that the protocol does not allow; the member closes the connection."""


@dataclass(frozen=True)
class Copy:
    """A copy of one part, as the origin gave it out."""

    body: bytes
    tag: str
    issued_ms: int


@dataclass
class Want:
    """A `want` command at a member, and when it had come whole."""

    member: Member
    sock: socket.socket
    lock: threading.Lock
    wire_id: str
    fields: dict[str, str]
    body: bytes
    at_s: float
    copy: Copy | None = None  # that answered it

    def answer(self, word: str, fields: str = "-", body: bytes = b"") -> None:
        """Send an answer."""
        self.member.site.record.write(
            self.member.name, f"answers {self.wire_id} {word} {fields} ({len(body)} bytes)"
        )
        data = encode([self.wire_id.encode(), word.encode(), fields.encode(), body])
        with self.lock, contextlib.suppress(OSError):  # the router may have closed the connection
            self.sock.sendall(data)

    def break_connection(self) -> None:
        """Close the connection without an answer."""
        self.member.site.record.write(self.member.name, f"breaks the connection under {self.wire_id}")
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)


class Reader:
    """Reads RESP arrays of bulk strings."""

    def __init__(self, sock: socket.socket) -> None:
        """Read from this connection."""
        self.file = sock.makefile("rb")

    def read_length(self, prefix: bytes) -> int:
        """Return the number on a line that begins with `prefix`; raise EOFError at the end."""
        line = self.file.readline(64)
        if not line:
            raise EOFError
        if line[:1] != prefix or not line.endswith(b"\r\n") or not line[1:-2].isdigit():
            raise UnreadableError(f"{line!r} in place of {prefix!r} and a length")
        return int(line[1:-2])

    def read(self) -> list[bytes]:
        """Return the strings of the next array."""
        strings = []
        for _ in range(self.read_length(b"*")):
            size = self.read_length(b"$")
            if size > MAX_STRING_BYTES:
                raise UnreadableError(f"a string of {size} bytes")
            raw = self.file.read(size + 2)
            if len(raw) < size + 2:
                raise EOFError
            if raw[size:] != b"\r\n":
                raise UnreadableError("no line end after a string")
            strings.append(raw[:size])
        return strings


def encode(strings: list[bytes]) -> bytes:
    """Return an array of bulk strings."""
    return b"*%d\r\n" % len(strings) + b"".join(b"$%d\r\n%b\r\n" % (len(s), s) for s in strings)


def parse_fields(text: str) -> dict[str, str]:
    """Return the fields of `name=value,name=value`."""
    fields = {}
    for part in text.split(",") if text != "-" else []:
        name, mark, value = part.partition("=")
        if not mark:
            raise UnreadableError(f"{part!r} is no field")
        fields[name] = value
    return fields


class Member:
    """One cache, parent or origin."""

    def __init__(self, site: Site, name: str, kind: str) -> None:
        """Listen on a free port."""
        self.site, self.name, self.kind = site, name, kind
        self.copies: dict[tuple[str, str], Copy] = {}
        self.sock = listen(self.serve)
        self.address = address_of(self.sock)

    def serve(self, sock: socket.socket) -> None:
        """Serve one connection of the router."""
        reader, lock = Reader(sock), threading.Lock()
        try:
            while True:
                strings = reader.read()
                at_s = time.monotonic()
                if strings and strings[0] == b"want" and len(strings) == 4:
                    text = strings[2].decode("latin-1")
                    self.site.record.write(self.name, f"want {strings[1].decode()} {text}")
                    want = Want(self, sock, lock, strings[1].decode(), parse_fields(text), strings[3], at_s)
                    with self.site.lock:
                        self.site.wants.append(want)
                    threading.Thread(target=self.site.handle, args=(want,), daemon=True).start()
                elif strings and strings[0] == b"there" and len(strings) == 2:
                    with lock:
                        sock.sendall(encode([strings[1], b"yes", b"-", b""]))
                elif not strings or strings[0] != b"never_mind":
                    raise UnreadableError(f"command {strings[:1]!r}")
        except UnreadableError as error:
            self.site.record.write(self.name, f"can't read a command: {error}")
            self.site.unreadable.append(f"{self.name}: {error}")
        except (EOFError, OSError):
            pass
        finally:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


class Site:
    """The members, the content of the origin and the notice board."""

    def __init__(self, record: Record, settings: dict[str, Any]) -> None:
        """Start with the members of the project's small deployment."""
        self.record, self.settings = record, settings
        self.lock = threading.Lock()
        self.versions: dict[str, int] = {}  # of an object at the origin; 1 where it is not here
        self.runs: list[tuple[float, str, str, str]] = []  # of writes: time, object, key, wire id
        self.run_s: dict[str, float] = {}  # the time of the last run, by key
        self.wants: list[Want] = []
        self.unreadable: list[str] = []
        self.on_write: Callable[[Want], bool] = lambda want: True  # False: the test answers itself
        classes, writes = settings["services"], settings["domain"]["class-write"]
        self.writes = {cls["name"]: cls for cls, write in zip(classes, writes, strict=True) if write}
        self.fresh_ms = {
            cls["name"]: fresh for cls, fresh in zip(classes, settings["domain"]["fresh-for"], strict=True)
        }
        self.members = {name: Member(self, name, kind) for name, kind in deployment.HOSTS.items()}
        self.board = Board(record)

    def configuration(self, **more: Any) -> dict[str, Any]:
        """Return the configuration of an edge router."""
        hosts = [
            {
                "host": member.name, "dial": member.address, "class": member.kind, "block": 0,
                "site": "edge" if member.kind == "box" else "hub", "health": "Ready", "share": 8,
                "born_ms": 0,
            }
            for member in self.members.values()
        ]  # fmt: skip
        notice = {"rev": 1, "pool": {"seq": 1, "whole": True, "hosts": hosts}}
        return {
            "name": "n3", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "board": self.board.address, "flow_bytes_per_s": 310_000, "link_bytes_per_s": 1_240_000,
            "known": {"rev": 1, "notices": [notice]}, "settings": self.settings,
        } | more  # fmt: skip

    def content(self, item: str, chunk: str) -> bytes:
        """Return the bytes of a part as the origin has it now."""
        seed = f"{item}/{chunk} version {self.versions.get(item, 1)}\n".encode()
        return (seed * (BODY_BYTES // len(seed) + 1))[:BODY_BYTES]

    def handle(self, want: Want) -> None:
        """Answer a request."""
        if want.fields.get("cls", "") in self.writes:
            self.handle_write(want)
            return
        copy, is_hit = self.find(want.member, want.fields, want.fields.get("miss", ""))
        if copy is None:
            want.answer("nothing", "tell=l")
            return
        want.copy = copy
        fields = f"entity={copy.tag},issued={copy.issued_ms},tell={'h' if is_hit else 'f'}"
        if self.settings["domain"]["says"] == "all":
            fields += ",delay=0"
        if self.settings["report"].get("fields"):
            fields += ",meter=" + ";".join(f"{name}:0.1" for name in self.settings["report"]["fields"])
        if want.fields.get("mine") == copy.tag:
            want.answer("current", fields)
        else:
            want.answer("ok", fields, copy.body)

    def find(self, member: Member, fields: dict[str, str], source: str) -> tuple[Copy | None, bool]:
        """Return the copy of a part at a member, filled from a source if it has none; and whether it had."""
        key = (fields.get("item", ""), fields.get("chunk", "0"))
        now_ms = int(time.time() * 1000)
        if member.kind == "origin":
            body = self.content(*key)
            return Copy(body, hashlib.blake2b(body, digest_size=6).hexdigest(), now_ms), False
        limit_ms = float(fields.get("within", 0)) or self.fresh_ms[fields["cls"]]
        with self.lock:
            held = member.copies.get(key)
        if held is not None and (not limit_ms or now_ms - held.issued_ms <= limit_ms):
            return held, True
        if member.kind == "parent":
            source = "o-1"
        if not source or source == member.name:
            return None, False
        copy, _ = self.find(self.members[source], fields, "")
        if copy is not None and (member.kind == "parent" or int(fields.get("prio", "0")) > 0):
            with self.lock:
                member.copies[key] = copy
        return copy, False

    def handle_write(self, want: Want) -> None:
        """Run a write at the origin, unless it is the repeat of a key within the window of its class."""
        if want.member.kind != "origin" and not want.fields.get("miss"):
            want.answer("nothing")
            return
        item, key = want.fields.get("item", ""), want.fields.get("nonce", "")
        window_s = self.writes[want.fields["cls"]].get("dedup-window", 0.0) / 1000.0 if key else 0.0
        with self.lock:
            is_repeat = bool(key) and want.at_s - self.run_s.get(key, -1e9) < window_s
            if not is_repeat:
                self.run_s[key] = want.at_s
                self.runs.append((want.at_s, item, key, want.wire_id))
        self.record.write(
            "origin",
            f"{'drops the repeat' if is_repeat else 'RUNS'} {item} key={key or '-'} id={want.wire_id}",
        )
        if self.on_write(want):
            self.answer_write(want)

    def answer_write(self, want: Want) -> None:
        """Send the good answer to a write."""
        want.answer("ok", f"entity=a1,issued={int(time.time() * 1000)},tell=f", b"done")

    def change(self, item: str) -> int:
        """Publish a new version of an object at the origin; return the Unix millisecond."""
        with self.lock:
            self.versions[item] = self.versions.get(item, 1) + 1
        now_ms = int(time.time() * 1000)
        self.record.write("origin", f"has version {self.versions[item]} of {item} since {now_ms}")
        return now_ms

    def drop_older(self, item: str, purged_ms: int) -> None:
        """Drop the copies of an object that are older than a purge, at all members."""
        self.record.write("members", f"drop copies of {item} older than {purged_ms}")
        with self.lock:
            for member in self.members.values():
                for key, copy in list(member.copies.items()):
                    if key[0] == item and copy.issued_ms < purged_ms:
                        del member.copies[key]


class Board:
    """The notice board: numbered events, and each second the last number."""

    def __init__(self, record: Record) -> None:
        """Listen; event 1 stands in the configuration of the routers."""
        self.record = record
        self.lock = threading.Lock()
        self.rev = 1
        self.events: list[tuple[int, bytes]] = []
        self.watchers: list[socket.socket] = []
        self.address = address_of(listen(self.serve))
        threading.Thread(target=self.beat, daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        """Serve one watch."""
        try:
            line = sock.makefile("rb").readline(64).split()
            if len(line) != 2 or line[0] != b"watch":
                sock.close()
                return
            with self.lock:
                for rev, raw in self.events:
                    if rev > int(line[1]):
                        sock.sendall(raw)
                self.watchers.append(sock)
        except OSError:
            pass

    def beat(self) -> None:
        """Send the last number each second."""
        while True:
            time.sleep(1.0)
            with self.lock:
                self.send(b"%d\n" % self.rev)

    def send(self, raw: bytes) -> None:
        """Send a line to all watchers; called under the lock."""
        for sock in list(self.watchers):
            try:
                sock.sendall(raw)
            except OSError:
                self.watchers.remove(sock)

    def publish(self, event: dict[str, Any]) -> None:
        """Publish an event under the next number."""
        with self.lock:
            self.rev += 1
            raw = json.dumps({"rev": self.rev, **event}).encode() + b"\n"
            self.events.append((self.rev, raw))
            self.record.write("board", raw.decode().strip())
            self.send(raw)
