"""HTTP/2 beside HTTP/1.1 on the same router, the same stand-ins and the same load, in one run.

    python benchmarks/http2.py [--requests 4000] [--rounds 5] [--json FILE]

The router is a process of its own on one core, the stand-ins are another, and the load comes from four more;
all on loopback, all bounded in count. Figures are medians of the rounds, with their spread. CPU is the
router's own, from /proc. Then: the other streams' times beside a stalled one, and an alert-ack behind 50
river-videos, with the schedule and with FIFO.
"""

from __future__ import annotations

import json
import multiprocessing as mp
import os
import secrets
import socket
import statistics
import threading
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import click
from h2 import events as e
from hdrh.histogram import HdrHistogram

from lupintack import operator
from lupintack.cli.demo import Router
from lupintack.config import parse
from lupintack.http2.session import Session
from lupintack.node import Node
from lupintack.standins.fleet import Fleet, Terms

CONTEXT = mp.get_context("spawn")
WORKERS = 4
HIGHEST_US = 30_000_000
OPERATOR = '[http2]\nenabled = true\nlisten = "{http2}"\nconnections = 128\nstreams = 200\nall_kib = 65536\n'
OPERATOR += "connection_kib = 32768\nopen_requests = 5000\n"
Address = tuple[str, int]


def fields(cls: str, n: int) -> list[tuple[str, str]]:
    told = [("req-id", secrets.token_hex(8)), ("req-wait-ms", "3000")]
    path = f"/ops/{cls}/{n % 500:016x}"
    return [(":method", "GET"), (":scheme", "http"), (":authority", "x"), (":path", path), *told]


class H2Load:
    """One connection of a closed loop."""

    def __init__(self, address: Address, window: int = 1 << 20) -> None:
        self.sock = socket.create_connection(address)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.session = Session(True, 100, 65_536, window)
        self.session.initiate_connection()
        self.session.increment_flow_control_window(1 << 28)
        self.sock.sendall(self.session.data_to_send())

    def ask(self, cls: str, n: int) -> int:
        stream = self.session.get_next_available_stream_id()
        self.session.send_headers(stream, fields(cls, n), end_stream=True)
        return stream

    def run(self, depth: int, count: int, took: list[int], bad: list[str], cls: str = "map-tiles") -> None:
        """`count` requests, `depth` at once; times in microseconds."""
        began: dict[int, int] = {}
        sent = 0
        while sent < count or began:
            while sent < count and len(began) < depth:
                began[self.ask(cls, sent)] = time.monotonic_ns()
                sent += 1
            self.sock.sendall(self.session.data_to_send())
            for event in self.session.receive_data(self.sock.recv(65536)):
                if isinstance(event, e.ResponseReceived):
                    if dict(event.headers)[b":status"] != b"200":
                        bad.append(str(dict(event.headers)[b":status"]))
                elif isinstance(event, e.DataReceived):
                    if event.flow_controlled_length:
                        self.session.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
                elif isinstance(event, (e.StreamEnded, e.StreamReset)) and event.stream_id in began:
                    took.append((time.monotonic_ns() - began.pop(event.stream_id)) // 1000)
                    if isinstance(event, e.StreamReset):
                        bad.append(f"reset {event.error_code}")


def h1_load(address: Address, count: int, took: list[int], bad: list[str]) -> None:
    """One connection, one request at a time."""
    with socket.create_connection(address) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for n in range(count):
            head = (
                f"GET /ops/map-tiles/{n % 500:016x} HTTP/1.1\r\nHost: x\r\nReq-Id: {secrets.token_hex(8)}\r\n"
            )
            began = time.monotonic_ns()
            sock.sendall(f"{head}Req-Wait-Ms: 3000\r\n\r\n".encode())
            data = sock.recv(65536)
            while b"\r\n\r\n" not in data:
                data += sock.recv(65536)
            top, _, body = data.partition(b"\r\n\r\n")
            left = int(top.lower().partition(b"content-length: ")[2].split()[0]) - len(body)
            while left > 0:
                left -= len(sock.recv(65536))
            took.append((time.monotonic_ns() - began) // 1000)
            if b" 200 " not in top[:20]:
                bad.append(top[:20].decode())


def worker(pipe: Any, kind: str, address: Address, conns: int, depth: int, count: int) -> None:
    """A load process: its connections, then its times, when told to go."""
    took: list[int] = []
    bad: list[str] = []
    if kind == "h2":
        lines = [H2Load(address) for _ in range(conns)]
        jobs: list[Callable[[], None]] = [
            lambda line=line: line.run(depth, count, took, bad)  # type: ignore[misc]
            for line in lines
        ]
    else:
        jobs = [lambda: h1_load(address, count, took, bad) for _ in range(conns)]
    pipe.send("ready")
    pipe.recv()
    threads = [threading.Thread(target=job) for job in jobs]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    pipe.send((took, bad))


def stand_ins(pipe: Any) -> None:
    """The fleet, as a process."""
    fleet = Fleet()
    pipe.send(fleet.configuration())
    pipe.recv()


class Remote:
    """A fleet in another process, as `Router` wants one."""

    def __init__(self) -> None:
        self.pipe, other = CONTEXT.Pipe()
        self.process = CONTEXT.Process(target=stand_ins, args=(other,), daemon=True)
        self.process.start()
        self.told = self.pipe.recv()

    def configuration(self, listen: str, **more: object) -> dict[str, Any]:
        return {**self.told, "listen": listen}

    def close(self) -> None:
        self.pipe.send("end")
        self.process.join(5)


def proc(pid: int) -> tuple[float, int, int]:
    """CPU seconds, resident KiB and descriptors of a process."""
    parts = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu = (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")
    rss = int(Path(f"/proc/{pid}/status").read_text().split("VmRSS:")[1].split()[0])
    return cpu, rss, len(os.listdir(f"/proc/{pid}/fd"))


def play(router: Router, kind: str, conns: int, depth: int, requests: int) -> dict[str, float]:
    """One round of one shape."""
    address = router.http2 if kind == "h2" else router.http1
    workers = min(WORKERS, conns)
    pipes, processes = [], []
    for n in range(workers):
        mine = conns // workers + (n < conns % workers)
        pipe, other = CONTEXT.Pipe()
        args = (other, kind, address, mine, depth, requests // conns)
        processes.append(CONTEXT.Process(target=worker, args=args, daemon=True))
        processes[-1].start()
        pipes.append(pipe)
    for pipe in pipes:
        pipe.recv()
    cpu, idle_rss, _ = proc(router.process.pid)
    began = time.monotonic()
    for pipe in pipes:
        pipe.send("go")
    time.sleep(0.3)
    _, _, descriptors = proc(router.process.pid)
    histogram, bad, done = HdrHistogram(1, HIGHEST_US, 3), 0, 0
    rss = idle_rss
    for pipe in pipes:
        while not pipe.poll(0.05):
            rss = max(rss, proc(router.process.pid)[1])
        took, faults = pipe.recv()
        bad += len(faults)
        done += len(took)
        for one in took:
            histogram.record_value(max(1, one))
    elapsed = time.monotonic() - began
    used = proc(router.process.pid)[0] - cpu
    for process in processes:
        process.join(5)
    return {
        "requests_per_s": done / elapsed,
        "cpu_us": used / done * 1e6,
        "p50_ms": histogram.get_value_at_percentile(50) / 1000,
        "p99_ms": histogram.get_value_at_percentile(99) / 1000,
        "p999_ms": histogram.get_value_at_percentile(99.9) / 1000,
        "descriptors": descriptors,
        "resident_kib": rss,
        "not_200": bad,
    }


SHAPES = {"h1 100x1": ("h1", 100, 1), "h2 1x100": ("h2", 1, 100), "h2 10x10": ("h2", 10, 10)}


def stalled(router: Router, count: int, with_one: bool) -> float:
    """p99 of 30 streams at once on a connection, in ms, with or without a stream whose window is shut."""
    line = H2Load(router.http2, window=16_384 if with_one else 1 << 20)
    got = 0
    while with_one and got < 16_384:
        line.ask("river-video", 1)
        line.sock.sendall(line.session.data_to_send())
        over = False
        while got < 16_384 and not over:
            for event in line.session.receive_data(line.sock.recv(65536)):
                got += len(event.data) if isinstance(event, e.DataReceived) else 0
                over = over or isinstance(event, (e.StreamEnded, e.StreamReset))  # refused: ask again
    took: list[int] = []
    bad: list[str] = []
    line.run(30, count, took, bad)
    line.sock.close()
    histogram = HdrHistogram(1, HIGHEST_US, 3)
    for one in took:
        histogram.record_value(max(1, one))
    return float(histogram.get_value_at_percentile(99)) / 1000


def ack_behind_videos(fifo: bool, rate: int) -> float:
    """Milliseconds from an alert-ack's request to its answer, behind 50 river-videos on one connection that
    takes `rate` bytes a second."""
    fleet = Fleet(Terms(sizes={"river-video": 120_000, "map-tiles": 12_000, "alert-ack": 40}))
    told = {"enabled": True, "listen": "127.0.0.1:0", "all_kib": 65536, "connection_kib": 32768}
    node = Node(parse(fleet.configuration(), {}), None, operator.parse({"http2": told}, "operator.toml"))
    node.http2[0].wire_config = replace(node.http2[0].wire_config, fifo=fifo)
    node.start()
    address: Address = node.http2[0].sock.getsockname()
    line = H2Load(address)
    line.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
    for n in range(50):
        line.ask("river-video", n)
    line.sock.sendall(line.session.data_to_send())
    while node.core.counters["answered.served"] < 50:
        time.sleep(0.01)
    headers = [(k, v) for k, v in fields("alert-ack", 7) if k != ":method"]
    ack = line.session.get_next_available_stream_id()
    line.session.send_headers(ack, [(":method", "PUT"), *headers], end_stream=False)
    line.session.send_data(ack, b"seen", end_stream=True)
    line.sock.sendall(line.session.data_to_send())
    began, done, read = time.monotonic(), 0.0, 0
    while not done:
        data = line.sock.recv(8192)
        read += len(data)
        for event in line.session.receive_data(data):
            if isinstance(event, e.StreamEnded) and event.stream_id == ack:
                done = time.monotonic() - began
            elif isinstance(event, e.DataReceived) and event.flow_controlled_length:
                line.session.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
        line.sock.sendall(line.session.data_to_send())
        time.sleep(max(0.0, read / rate - (time.monotonic() - began)))
    line.sock.close()
    for server in node.servers:
        server.stop_accepting()
    node.discovery.stopped.set()
    fleet.close()
    return done * 1000


def spread(values: list[float]) -> str:
    return f"{statistics.median(values):.4g} ({min(values):.4g} to {max(values):.4g})"


@click.command()
@click.option("--requests", default=4000, show_default=True, type=click.IntRange(200, 100_000))
@click.option("--rounds", default=5, show_default=True, type=click.IntRange(1, 20))
@click.option("--json", "file", type=click.Path(path_type=Path), help="Keep every round's figures.")
def main(requests: int, rounds: int, file: Path | None) -> None:
    """All of it; about a minute a round of 4,000."""
    found: dict[str, list[dict[str, float]]] = {name: [] for name in SHAPES}
    fleet = Remote()
    beside: dict[bool, list[float]] = {True: [], False: []}
    cores = sorted(os.sched_getaffinity(0))
    os.sched_setaffinity(0, {cores[-1]})  # the router inherits it, with all its threads
    router = Router(fleet, OPERATOR)  # type: ignore[arg-type]
    os.sched_setaffinity(0, set(cores[:-1]))
    try:
        for number in range(rounds + 1):
            for name, (kind, conns, depth) in SHAPES.items():
                one = play(router, kind, conns, depth, requests)
                click.echo(f"{name}: {one}", err=True)
                if number:  # the first warms caches and the interpreter
                    found[name].append(one)
            for with_one in (False, True):
                value = stalled(router, requests // 2, with_one)
                if number:
                    beside[with_one].append(value)
            click.echo(f"round {number} of {rounds}", err=True)
    finally:
        router.close()
        fleet.close()
    acks = {fifo: [ack_behind_videos(fifo, 2_000_000) for _ in range(rounds)] for fifo in (False, True)}
    keys = list(found["h1 100x1"][0])
    click.echo(f"{'':16}" + "".join(f"{name:>30}" for name in SHAPES))
    for key in keys:
        click.echo(f"{key:16}" + "".join(f"{spread([r[key] for r in found[n]]):>30}" for n in SHAPES))
    for name in list(SHAPES)[1:]:
        ratio = [a["cpu_us"] / b["cpu_us"] for a, b in zip(found[name], found["h1 100x1"], strict=True)]
        click.echo(f"CPU a request, {name} over HTTP/1.1: {spread(ratio)}")
    ratio = [a / b for a, b in zip(beside[True], beside[False], strict=True)]
    click.echo(
        f"p99 of 30 streams: {spread(beside[False])} ms, beside a stalled one {spread(beside[True])} ms,"
    )
    click.echo(f"    ratio {spread(ratio)}")
    click.echo(
        f"alert-ack behind 50 videos at 2 MB/s: {spread(acks[False])} ms, with FIFO {spread(acks[True])} ms"
    )
    if file is not None:
        told = {"shapes": found, "stalled": beside[True], "without": beside[False]}
        file.write_text(json.dumps(told | {"ack_ms": acks[False], "ack_fifo_ms": acks[True]}, indent=1))


if __name__ == "__main__":
    main()
