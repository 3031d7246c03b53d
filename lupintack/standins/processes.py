"""Router processes on one port in front of stand-in members, and clients that count request outcomes."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

from lupintack.standins.fleet import Fleet
from lupintack.standins.net import free_ports

ROOT = Path(__file__).parents[2]
RUN = ("-m", "lupintack")


def call(address: tuple[str, int], method: str, target: str) -> tuple[int, str]:
    """Send a request to an admin address; return status and body, status 0 if the connection is refused."""
    try:
        with socket.create_connection(address, timeout=2.0) as sock:
            sock.sendall(f"{method} {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            data = b""
            while chunk := sock.recv(4096):
                data += chunk
    except ConnectionRefusedError:
        return 0, ""
    head, _, body = data.decode().partition("\r\n\r\n")
    return int(head.split()[1]), body.strip()


def are_threads_stopped(pid: int) -> bool:
    """Return whether every thread of a process is stopped, by a signal that was sent before."""
    for task in Path(f"/proc/{pid}/task").iterdir():
        state = (task / "stat").read_text().rpartition(")")[2].split()[0]
        if state != "T":
            return False
    return True


class Processes:
    """A stand-in fleet, a port, and the router processes started on it."""

    def __init__(
        self, tmp: Path, arguments: tuple[str, ...] = RUN, fleet: Fleet | None = None, **limits: object
    ) -> None:
        self.tmp = tmp
        self.arguments = arguments
        self.environment: dict[str, str] = {}  # of the processes that are started from now on
        self.fleet = fleet or Fleet()
        self.listen = ("127.0.0.1", free_ports(1)[0])
        self.configuration_file = tmp / "config.json"
        self.configuration_file.write_text(
            json.dumps(self.fleet.configuration(f"127.0.0.1:{self.listen[1]}", **limits))
        )
        self.running: list[subprocess.Popen[bytes]] = []

    def start(self, wait: bool = True) -> tuple[subprocess.Popen[bytes], tuple[str, int]]:
        admin_address = ("127.0.0.1", free_ports(1)[0])
        env = {k: v for k, v in os.environ.items() if not k.startswith(("EDGE_", "LUPINTACK_"))}
        env |= {
            "EDGE_CONFIG": str(self.configuration_file),
            "EDGE_ADMIN_ADDR": f"127.0.0.1:{admin_address[1]}",
        }
        env |= {"TMPDIR": str(self.tmp), "EDGE_LISTEN": f"127.0.0.1:{self.listen[1]}", "EDGE_NAME": "n0"}
        env |= self.environment
        with (self.tmp / f"log{len(self.running)}").open("w") as log:
            process = subprocess.Popen(
                [sys.executable, *self.arguments], env=env, cwd=ROOT, stdout=log, stderr=log
            )
        self.running.append(process)
        deadline_s = time.monotonic() + 15
        while wait and call(admin_address, "GET", "/api/ready")[0] != 200:
            assert process.poll() is None and time.monotonic() < deadline_s, self.log(len(self.running) - 1)
            time.sleep(0.02)
        return process, admin_address

    def log(self, number: int) -> str:
        return (self.tmp / f"log{number}").read_text()

    def wait_for_log(self, number: int, text: str) -> None:
        """Wait until the log of a process contains a text."""
        deadline_s = time.monotonic() + 5
        while text not in self.log(number):
            assert time.monotonic() < deadline_s, self.log(number)
            time.sleep(0.02)

    def close(self) -> None:
        for process in self.running:
            process.kill()
            process.wait()
        self.fleet.close()


class Load:
    """Client threads on persistent and new connections that count the outcome of each request."""

    def __init__(self, address: tuple[str, int], clients: int) -> None:
        self.address = address
        self.stopping = threading.Event()
        self.accepts_no_connections = threading.Event()  # once set, no new connections are opened
        self.open: set[int] = set()  # clients that hold a connection
        self.outcomes: list[str] = []
        self.threads = [threading.Thread(target=self.run, args=(n,)) for n in range(clients)]
        for thread in self.threads:
            thread.start()

    def run(self, number: int) -> None:
        sock: socket.socket | None = None
        count = 0
        while not self.stopping.is_set():
            if sock is None and self.accepts_no_connections.is_set():
                break
            count += 1
            outcome = "refused"
            is_new_connection = sock is None
            try:
                if sock is None:
                    sock = socket.create_connection(self.address, timeout=3.0)
                    self.open.add(number)
                outcome = "unheard"
                head = f"GET /ops/map-tiles/{count % 50:016x} HTTP/1.1\r\nHost: x\r\n"
                head += f"Req-Id: {number:08x}{count:08x}\r\nReq-Wait-Ms: 2000\r\n\r\n"
                sock.sendall(head.encode())
                data = b""
                while b"\r\n\r\n" not in data:
                    chunk = sock.recv(65536)
                    if not chunk:
                        raise ConnectionResetError
                    data += chunk
                head_bytes, _, body = data.partition(b"\r\n\r\n")
                length = int(head_bytes.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
                while len(body) < length:
                    chunk = sock.recv(65536)
                    if not chunk:
                        outcome = "cut"
                        raise ConnectionResetError
                    body += chunk
                outcome = head_bytes.split(b" ")[1].decode()
                if b"connection: close" in head_bytes.lower() or number % 4 == 0:
                    sock.close()
                    sock = None
            except OSError:
                if sock is not None:
                    sock.close()
                sock = None
                if outcome == "unheard" and not is_new_connection:
                    outcome = "crossed"  # the router closed an idle connection just then: retried once
            self.outcomes.append(outcome)
            if sock is None:
                self.open.discard(number)
            time.sleep(0.005)
        if sock is not None:
            sock.close()

    def wait_ended(self, timeout_s: float = 10.0) -> None:
        """Wait until no client has an open connection."""
        deadline_s = time.monotonic() + timeout_s
        while self.open:
            assert time.monotonic() < deadline_s, self.open
            time.sleep(0.002)

    def stop(self) -> dict[str, int]:
        self.stopping.set()
        for thread in self.threads:
            thread.join()
        return {outcome: self.outcomes.count(outcome) for outcome in sorted(set(self.outcomes))}
