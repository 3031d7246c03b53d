"""Time until a busy router with hundreds of connections notices that a client has disconnected.

    python benchmarks/gone.py [--clients 300] [--load 8]

Each client requests an object that its cache serves slowly. Then the clients disconnect one after another: by
a close, by a reset, or by a close with 10 KB sent behind the request, under the load of other clients in a
closed loop. Measured is the time from the disconnection to the cancellation of the attempt at the cache,
which is more than the time in which another attempt could begin. Stand-ins and clients run in this process
and share its interpreter.
"""

from __future__ import annotations

import argparse
import resource
import socket
import struct
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path

from lupintack.standins.fleet import Fleet, Terms
from lupintack.standins.processes import Load, Processes

SLOW_S = 60.0
KINDS = ("close", "reset", "behind 10 KB")


def cpu_s(pid: int) -> float:
    """Return the CPU seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100.0


def quantile_ms(times: list[float], share: float) -> float:
    """Return a quantile of times in seconds, in milliseconds."""
    return sorted(times)[min(len(times) - 1, int(len(times) * share))] * 1000.0


def main() -> None:
    """Run the benchmark and print a line for each kind of disconnection."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--clients", type=int, default=300)
    parser.add_argument("--load", type=int, default=8)
    arguments = parser.parse_args()
    resource.setrlimit(resource.RLIMIT_NOFILE, (8192, 8192))
    fleet = Fleet(Terms(delay_s=lambda name, cls: SLOW_S * (cls == "river-video")))
    started: set[str] = set()
    ended: dict[str, float] = {}
    lock = threading.Lock()

    def watch(name: str, fields: dict[str, str]) -> Callable[[], None]:
        item = fields["item"]
        with lock:
            started.add(item)

        def on_cancelled() -> None:
            with lock:
                ended.setdefault(item, time.monotonic())

        return on_cancelled

    fleet.watch = watch
    with tempfile.TemporaryDirectory() as tmp:
        processes = Processes(Path(tmp), fleet=fleet, sockets=4096)
        try:
            process, _ = processes.start()
            clients = []
            for n in range(arguments.clients):
                sock = socket.create_connection(processes.listen)
                item = f"{0xABC000 + n:016x}"
                head = f"GET /ops/river-video/{item} HTTP/1.1\r\nHost: x\r\nReq-Id: {item}\r\n"
                sock.sendall(f"{head}Req-Wait-Ms: 60000\r\n\r\n".encode() + b"x" * 10_240 * (n % 3 == 2))
                clients.append((item, sock, n % 3))
            deadline = time.monotonic() + 20
            while len(started) < arguments.clients and time.monotonic() < deadline:
                time.sleep(0.01)
            load = Load(processes.listen, arguments.load) if arguments.load else None
            cpu_before, started_at = cpu_s(process.pid), time.monotonic()
            time.sleep(2.0)
            cores = (cpu_s(process.pid) - cpu_before) / (time.monotonic() - started_at)
            closed_at: dict[str, tuple[float, int]] = {}
            for item, sock, kind in clients:
                if kind == 1:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                closed_at[item] = (time.monotonic(), kind)
                sock.close()
                time.sleep(0.01)
            time.sleep(1.0)
            served = load.stop().get("200", 0) if load is not None else 0
            for kind, name in enumerate(KINDS):
                took = [ended[i] - at for i, (at, k) in closed_at.items() if k == kind and i in ended]
                unnoticed = sum(
                    1 for i, (_, k) in closed_at.items() if k == kind and i in started and i not in ended
                )
                p50, p99, maximum = (quantile_ms(took, share) for share in (0.5, 0.99, 1.0))
                print(f"{name}: p50 {p50:.1f} ms, p99 {p99:.1f}, max {maximum:.1f}, not noticed {unnoticed}")
            print(f"CPU with all of them waiting and the load beside: {cores:.2f} of a core; {served} served")
        finally:
            processes.close()


if __name__ == "__main__":
    main()
