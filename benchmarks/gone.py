"""How soon a client's leaving is noticed, in a busy process with hundreds of connections.

    python benchmarks/gone.py [--clients 300] [--load 8]

Each client asks for an object that its cache is slow with; then each leaves, one after another, by a close,
by a reset, or with 10 KB behind its request, while others ask as fast as they are answered. Measured is the
time from the leaving to the cache's hearing that the attempt is given up, which is more than that in which a
further one could begin. Stand-ins and clients run in this process and share its interpreter.
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
    """What a process has used."""
    told = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(told[11]) + int(told[12])) / 100.0


def part(times: list[float], share: float) -> float:
    """A quantile, in milliseconds."""
    return sorted(times)[min(len(times) - 1, int(len(times) * share))] * 1000.0


def main() -> None:
    """Play, and print a line for each kind of leaving."""
    words = argparse.ArgumentParser()
    words.add_argument("--clients", type=int, default=300)
    words.add_argument("--load", type=int, default=8)
    told = words.parse_args()
    resource.setrlimit(resource.RLIMIT_NOFILE, (8192, 8192))
    fleet = Fleet(Terms(delay_s=lambda name, cls: SLOW_S * (cls == "river-video")))
    out: set[str] = set()
    ended: dict[str, float] = {}
    lock = threading.Lock()

    def watch(name: str, fields: dict[str, str]) -> Callable[[], None]:
        item = fields["item"]
        with lock:
            out.add(item)

        def over() -> None:
            with lock:
                ended.setdefault(item, time.monotonic())

        return over

    fleet.watch = watch
    with tempfile.TemporaryDirectory() as tmp:
        play = Processes(Path(tmp), fleet=fleet, sockets=4096)
        try:
            process, _ = play.start()
            clients = []
            for n in range(told.clients):
                sock = socket.create_connection(play.listen)
                item = f"{0xABC000 + n:016x}"
                head = f"GET /ops/river-video/{item} HTTP/1.1\r\nHost: x\r\nReq-Id: {item}\r\n"
                sock.sendall(f"{head}Req-Wait-Ms: 60000\r\n\r\n".encode() + b"x" * 10_240 * (n % 3 == 2))
                clients.append((item, sock, n % 3))
            until = time.monotonic() + 20
            while len(out) < told.clients and time.monotonic() < until:
                time.sleep(0.01)
            load = Load(play.listen, told.load) if told.load else None
            before, began = cpu_s(process.pid), time.monotonic()
            time.sleep(2.0)
            held = (cpu_s(process.pid) - before) / (time.monotonic() - began)
            left: dict[str, tuple[float, int]] = {}
            for item, sock, kind in clients:
                if kind == 1:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                left[item] = (time.monotonic(), kind)
                sock.close()
                time.sleep(0.01)
            time.sleep(1.0)
            served = load.stop().get("200", 0) if load is not None else 0
            for kind, name in enumerate(KINDS):
                took = [ended[i] - at for i, (at, k) in left.items() if k == kind and i in ended]
                lost = sum(1 for i, (_, k) in left.items() if k == kind and i in out and i not in ended)
                p50, p99, most = (part(took, share) for share in (0.5, 0.99, 1.0))
                print(f"{name}: p50 {p50:.1f} ms, p99 {p99:.1f}, max {most:.1f}, not noticed {lost}")
            print(f"CPU with all of them waiting and the load beside: {held:.2f} of a core; {served} served")
        finally:
            play.close()


if __name__ == "__main__":
    main()
