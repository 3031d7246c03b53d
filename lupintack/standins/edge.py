"""One router process with stand-in members, a proxy in front of discovery, and clients that keep records.

Times are monotonic seconds of this process. `Edge.calls` has the requests that members received, and
`Edge.requests` those of the clients with their answers; a test or the soak compares the two.
"""

from __future__ import annotations

import json
import os
import secrets
import select
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Any

from lupintack.standins import deployment
from lupintack.standins.fleet import Call, Fleet
from lupintack.standins.net import free_ports
from lupintack.standins.processes import RUN, are_threads_stopped, call
from lupintack.standins.proxy import Proxy

HEAD_END = b"\r\n\r\n"
ROOT = Path(__file__).parents[2]
SHIM = Path(__file__).parent / "shim"
PLAN_RELOAD_S = 0.06  # until a running process has read a new plan
START_TIMEOUT_S = 30.0
CLIENT_TIMEOUT_S = 8.0
STOP_TIMEOUT_S = 5.0  # for SIGSTOP to take effect


class End(Enum):
    """How a request ended for its client."""

    OPEN = "open"
    ANSWERED = "answered"
    CUT = "cut"  # closed or reset after it was written, without a complete answer
    CROSSED = "crossed"  # the same on a connection that was idle before: the client may retry it
    UNREACHED = "unreached"  # connection failed
    LEFT = "left"  # the client closed first


@dataclass(slots=True)
class ClientRecord:
    """One request and its answer at the client."""

    wire_id: str
    cls: str
    item: str
    wait_ms: int
    sent_s: float = 0.0
    ended_s: float = 0.0
    end: End = End.OPEN
    status: int = 0
    answers: int = 0
    issued_ms: int = 0  # from the body, if stamped


class Edge:
    """The process, its stand-ins and its clients."""

    def __init__(
        self, tmp: Path, fleet: Fleet | None = None, admin: bool = False, settings: Any = None, **options: Any
    ) -> None:
        self.tmp = tmp
        self.fleet = fleet or Fleet(settings=settings)
        self.fleet.discovery_server.sends_revision_on_watch = False
        self.calls: list[Call] = []
        self.fleet.on_call = self.calls.append
        self.proxy = Proxy(self.fleet.discovery_server.address)
        ports = free_ports(2)
        self.port = ports[0]
        self.admin = ("127.0.0.1", ports[1]) if admin else None
        self.file = tmp / "config.json"
        self.data = self.fleet.configuration(f"127.0.0.1:{self.port}", **options)
        self.write(board=self.proxy.address)
        self.requests: list[ClientRecord] = []
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.clients: list[threading.Thread] = []
        self.process: subprocess.Popen[bytes] | None = None
        self.processes: list[subprocess.Popen[bytes]] = []
        self.started_s = 0.0

    # The process

    def write(self, **changes: Any) -> None:
        """Change the configuration file; a running process reads it at SIGHUP."""
        self.data |= changes
        temporary_file = self.file.with_suffix(".new")
        temporary_file.write_text(json.dumps(self.data))
        temporary_file.replace(self.file)

    def set_fault_plan(self, **plan: Any) -> None:
        """Replace the plan of failing system calls of the process; see standins/shim/sitecustomize.py."""
        file = self.tmp / "shim.json"
        temporary_file = file.with_suffix(".new")
        temporary_file.write_text(json.dumps(plan))
        temporary_file.replace(file)
        time.sleep(PLAN_RELOAD_S)

    def start(self, env: dict[str, str] | None = None, arguments: Iterable[str] = RUN) -> None:
        """Start the process without waiting until it is ready."""
        environment = {k: v for k, v in os.environ.items() if not k.startswith(("EDGE_", "LUPINTACK_"))}
        environment |= {"EDGE_CONFIG": str(self.file), "TMPDIR": str(self.tmp), "EDGE_NAME": "n0"}
        environment |= {"PYTHONPATH": str(SHIM), "LUPINTACK_SHIM": str(self.tmp / "shim.json")}
        if self.admin is not None:
            environment["EDGE_ADMIN_ADDR"] = f"127.0.0.1:{self.admin[1]}"
        self.started_s = time.monotonic()
        with (self.tmp / "log").open("a") as log:
            self.process = subprocess.Popen(
                [sys.executable, *arguments], env=environment | (env or {}), cwd=ROOT, stdout=log, stderr=log
            )
        self.processes.append(self.process)

    def start_upgrade(self, arguments: Iterable[str] = RUN) -> subprocess.Popen[bytes]:
        """Start a second process along with the serving one, wait until it is ready, return the old one."""
        old = self.process
        assert old is not None and self.admin is not None
        self.admin = ("127.0.0.1", free_ports(1)[0])
        self.start(arguments=arguments)
        assert self.process is not None
        while self.call_admin("/api/ready")[0] != 200:
            assert self.process.poll() is None, self.log()
            assert time.monotonic() < self.started_s + START_TIMEOUT_S, self.log()
            time.sleep(0.01)
        return old

    def is_alive(self) -> bool:
        """Return whether `/alive` answers 200."""
        try:
            with socket.create_connection(("127.0.0.1", self.port), timeout=2.0) as sock:
                sock.sendall(b"GET /alive HTTP/1.1\r\nHost: x\r\n\r\n")
                return sock.recv(4096).startswith(b"HTTP/1.1 200 ")
        except OSError:
            return False

    def ready(self, timeout_s: float = START_TIMEOUT_S) -> float:
        """Wait until `/alive` answers 200; return the seconds since the start of the process."""
        assert self.process is not None
        while not self.is_alive():
            assert self.process.poll() is None, self.log()
            assert time.monotonic() < self.started_s + timeout_s, self.log()
            time.sleep(0.01)
        return time.monotonic() - self.started_s

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    def pause(self) -> None:
        """Send SIGSTOP and wait until every thread has stopped; they run on for some milliseconds."""
        assert self.process is not None
        self.process.send_signal(signal.SIGSTOP)
        until_s = time.monotonic() + STOP_TIMEOUT_S
        while not are_threads_stopped(self.process.pid):
            assert time.monotonic() < until_s, "the process has not stopped"
            time.sleep(0.001)

    def kill(self) -> None:
        """Send SIGKILL and wait for the end of the process."""
        assert self.process is not None
        self.process.kill()
        self.process.wait()

    def call_admin(self, target: str, method: str = "GET") -> tuple[int, str]:
        """Send a request to the admin address; return status and body."""
        assert self.admin is not None
        return call(self.admin, method, target)

    def log(self) -> str:
        return (self.tmp / "log").read_text()

    # Discovery and members

    def publish_health(self, name: str, health: str) -> float:
        """Publish the state of a member; return the time."""
        entry = deployment.host_entry(name, self.fleet.members[name].address, health)
        self.fleet.discovery_server.publish({"pool": {"seq": 2, "whole": False, "hosts": [entry]}})
        return time.monotonic()

    def calls_to(self, names: Iterable[str], after_s: float = 0.0) -> list[Call]:
        """Return the calls to these members, or with them as the source, after a time."""
        members = set(names)
        return [
            member_call
            for member_call in list(self.calls)
            if member_call.at_s > after_s
            and (member_call.member in members or member_call.fields.get("miss") in members)
        ]

    # Clients

    def new_record(self, cls: str, wait_ms: int, item: str = "") -> ClientRecord:
        """Add and return the record of a request that is about to be sent."""
        record = ClientRecord(secrets.token_hex(8), cls, item or secrets.token_hex(8), wait_ms)
        with self.lock:
            self.requests.append(record)
        return record

    def send_request(
        self,
        sock: socket.socket,
        cls: str = "map-tiles",
        item: str = "",
        wait_ms: int = 2000,
        was_idle: bool = False,
    ) -> tuple[ClientRecord, bool]:
        """Send a request and read its answer; return the record and whether the connection is reusable."""
        record = self.new_record(cls, wait_ms, item)
        is_write = cls in self.fleet.writes
        head = f"{'PUT' if is_write else 'GET'} /ops/{cls}/{record.item} HTTP/1.1\r\nHost: x\r\n"
        head += f"Req-Id: {record.wire_id}\r\nReq-Wait-Ms: {wait_ms}\r\n"
        head += "Content-Length: 4\r\n\r\nnote" if is_write else "\r\n"
        is_reusable = False
        record.sent_s = time.monotonic()
        try:
            sock.sendall(head.encode())
            record.status, is_reusable, body = read_response(sock)
            record.answers, record.end = 1 + has_unrequested_bytes(sock), End.ANSWERED
            if body.startswith(b"issued="):
                record.issued_ms = int(body[7:].split(b" ", 1)[0])
        except (OSError, EOFError):
            record.end = End.CROSSED if was_idle else End.CUT
        record.ended_s = time.monotonic()
        return record, is_reusable

    def send_and_disconnect(self, sock: socket.socket, wait_ms: int, close_after_s: float) -> None:
        """Send a request, and close the connection after `close_after_s`."""
        record = self.new_record("map-tiles", wait_ms)
        head = f"GET /ops/map-tiles/{record.item} HTTP/1.1\r\nHost: x\r\nReq-Id: {record.wire_id}\r\n"
        record.sent_s = time.monotonic()
        try:
            sock.sendall(f"{head}Req-Wait-Ms: {wait_ms}\r\n\r\n".encode())
            time.sleep(close_after_s)
        except OSError:
            pass
        record.end = End.LEFT
        sock.close()
        record.ended_s = time.monotonic()

    def connect(self) -> socket.socket | None:
        try:
            sock = socket.create_connection(("127.0.0.1", self.port), timeout=CLIENT_TIMEOUT_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            return sock
        except OSError:
            return None

    def load(self, clients: int, gap_s: float = 0.045, wait_ms: int = 2000, items: int = 0) -> None:
        """Start clients that send requests until `stop`, for `items` objects, or for new objects if 0."""

        def run(number: int) -> None:
            sock: socket.socket | None = None
            count = 0
            while not self.stopping.is_set():
                was_idle = sock is not None
                sock = sock or self.connect()
                if sock is None:
                    time.sleep(gap_s)
                    continue
                count += 1
                item = f"{(number * 7 + count) % items + 1:016x}" if items else ""
                _, is_reusable = self.send_request(sock, item=item, wait_ms=wait_ms, was_idle=was_idle)
                if not is_reusable:
                    sock.close()
                    sock = None
                time.sleep(gap_s)
            if sock is not None:
                sock.close()

        self.clients += [threading.Thread(target=run, args=(n,), daemon=True) for n in range(clients)]
        for thread in self.clients[-clients:]:
            thread.start()

    def stop(self) -> list[ClientRecord]:
        """Stop the clients and return their records."""
        self.stopping.set()
        for thread in self.clients:
            thread.join()
        return self.requests

    def close(self) -> None:
        self.stopping.set()
        for process in self.processes:
            process.kill()
            process.wait()
        self.proxy.close()
        self.fleet.close()
        for thread in self.clients:
            thread.join()


def has_unrequested_bytes(sock: socket.socket) -> bool:
    """Return whether further bytes follow an answer."""
    readable, _, _ = select.select([sock], [], [], 0)
    try:
        return bool(readable and sock.recv(1, socket.MSG_PEEK))
    except OSError:
        return False


def read_answer(sock: socket.socket) -> tuple[int, bool]:
    """Read an answer; return its status and whether the connection stays open. EOFError if truncated."""
    status, is_reusable, _ = read_response(sock)
    return status, is_reusable


def read_head(sock: socket.socket) -> bytes:
    """Read the head of an answer, without the empty line that ends it."""
    data = b""
    while HEAD_END not in data:
        available = sock.recv(65536, socket.MSG_PEEK)
        if not available:
            raise EOFError
        end = (data + available).find(HEAD_END)
        data += sock.recv(len(available) if end < 0 else end + len(HEAD_END) - len(data))
    return data.removesuffix(HEAD_END)


def read_response(sock: socket.socket) -> tuple[int, bool, bytes]:
    """Read an answer; like `read_answer`, but also return the body. What follows the answer stays unread."""
    head = read_head(sock)
    lines = head.decode("latin-1").lower().split("\r\n")
    length = next((int(line.split(":")[1]) for line in lines if line.startswith("content-length:")), 0)
    body = b""
    while len(body) < length:
        chunk = sock.recv(min(65536, length - len(body)))
        if not chunk:
            raise EOFError
        body += chunk
    return int(lines[0].split()[1]), "connection: close" not in lines, body
