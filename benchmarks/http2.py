"""HTTP/2 compared with HTTP/1.1 on the same router, with the same stand-ins and load, in one run.

    python benchmarks/http2.py [--requests 4000] [--rounds 5] [--json FILE]

The router is a process on one core, the stand-ins are another process, and four processes make the load, all
on loopback and with a bounded count of requests. Figures are the median, minimum and maximum of the rounds;
CPU is that of the router process, from /proc. Then it measures the latency of streams with and without a
stalled stream on their connection, and of an alert-ack behind 50 river-videos, with the priority schedule and
with FIFO.
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
    headers = [("req-id", secrets.token_hex(8)), ("req-wait-ms", "3000")]
    path = f"/ops/{cls}/{n % 500:016x}"
    return [(":method", "GET"), (":scheme", "http"), (":authority", "x"), (":path", path), *headers]


class Http2Load:
    """One HTTP/2 connection of a closed loop."""

    def __init__(self, address: Address, window: int = 1 << 20) -> None:
        self.sock = socket.create_connection(address)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.session = Session(True, 100, 65_536, window)
        self.session.initiate_connection()
        self.session.increment_flow_control_window(1 << 28)
        self.sock.sendall(self.session.data_to_send())

    def send_request(self, cls: str, n: int) -> int:
        stream = self.session.get_next_available_stream_id()
        self.session.send_headers(stream, fields(cls, n), end_stream=True)
        return stream

    def run(
        self, depth: int, count: int, times_us: list[int], errors: list[str], cls: str = "map-tiles"
    ) -> None:
        """Send `count` requests, `depth` concurrently; append the times in microseconds."""
        started: dict[int, int] = {}
        sent = 0
        while sent < count or started:
            while sent < count and len(started) < depth:
                started[self.send_request(cls, sent)] = time.monotonic_ns()
                sent += 1
            self.sock.sendall(self.session.data_to_send())
            for event in self.session.receive_data(self.sock.recv(65536)):
                if isinstance(event, e.ResponseReceived):
                    if dict(event.headers)[b":status"] != b"200":
                        errors.append(str(dict(event.headers)[b":status"]))
                elif isinstance(event, e.DataReceived):
                    if event.flow_controlled_length:
                        self.session.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
                elif isinstance(event, (e.StreamEnded, e.StreamReset)) and event.stream_id in started:
                    times_us.append((time.monotonic_ns() - started.pop(event.stream_id)) // 1000)
                    if isinstance(event, e.StreamReset):
                        errors.append(f"reset {event.error_code}")


def run_http1_load(address: Address, count: int, times_us: list[int], errors: list[str]) -> None:
    """Send `count` requests on one connection, one at a time; append the times in microseconds."""
    with socket.create_connection(address) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for n in range(count):
            head = (
                f"GET /ops/map-tiles/{n % 500:016x} HTTP/1.1\r\nHost: x\r\nReq-Id: {secrets.token_hex(8)}\r\n"
            )
            started = time.monotonic_ns()
            sock.sendall(f"{head}Req-Wait-Ms: 3000\r\n\r\n".encode())
            data = sock.recv(65536)
            while b"\r\n\r\n" not in data:
                data += sock.recv(65536)
            head_received, _, body = data.partition(b"\r\n\r\n")
            remaining = int(head_received.lower().partition(b"content-length: ")[2].split()[0]) - len(body)
            while remaining > 0:
                remaining -= len(sock.recv(65536))
            times_us.append((time.monotonic_ns() - started) // 1000)
            if b" 200 " not in head_received[:20]:
                errors.append(head_received[:20].decode())


def run_worker(pipe: Any, kind: str, address: Address, connection_total: int, depth: int, count: int) -> None:
    """Run in a load process: open the connections, wait for the start, and send the times and errors back."""
    times_us: list[int] = []
    errors: list[str] = []
    if kind == "h2":
        connections = [Http2Load(address) for _ in range(connection_total)]
        jobs: list[Callable[[], None]] = [
            lambda connection=connection: connection.run(depth, count, times_us, errors)  # type: ignore[misc]
            for connection in connections
        ]
    else:
        jobs = [lambda: run_http1_load(address, count, times_us, errors) for _ in range(connection_total)]
    pipe.send("ready")
    pipe.recv()
    threads = [threading.Thread(target=job) for job in jobs]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    pipe.send((times_us, errors))


def run_stand_ins(pipe: Any) -> None:
    """Run a fleet of stand-ins in a process until a message arrives."""
    fleet = Fleet()
    pipe.send(fleet.configuration())
    pipe.recv()


class RemoteFleet:
    """A fleet in another process, with the interface that `Router` uses."""

    def __init__(self) -> None:
        self.pipe, child_pipe = CONTEXT.Pipe()
        self.process = CONTEXT.Process(target=run_stand_ins, args=(child_pipe,), daemon=True)
        self.process.start()
        self.fleet_configuration = self.pipe.recv()

    def configuration(self, listen: str, **more: object) -> dict[str, Any]:
        return {**self.fleet_configuration, "listen": listen}

    def close(self) -> None:
        self.pipe.send("end")
        self.process.join(5)


def process_usage(pid: int) -> tuple[float, int, int]:
    """Return the CPU seconds, resident KiB and open descriptors of a process."""
    parts = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu_s = (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")
    rss = int(Path(f"/proc/{pid}/status").read_text().split("VmRSS:")[1].split()[0])
    return cpu_s, rss, len(os.listdir(f"/proc/{pid}/fd"))


def run_round(
    router: Router, kind: str, connection_total: int, depth: int, requests: int
) -> dict[str, float]:
    """Run one round of one load shape; return its figures."""
    address = router.http2 if kind == "h2" else router.http1
    workers = min(WORKERS, connection_total)
    pipes, processes = [], []
    for n in range(workers):
        connection_count = connection_total // workers + (n < connection_total % workers)
        pipe, child_pipe = CONTEXT.Pipe()
        args = (child_pipe, kind, address, connection_count, depth, requests // connection_total)
        processes.append(CONTEXT.Process(target=run_worker, args=args, daemon=True))
        processes[-1].start()
        pipes.append(pipe)
    for pipe in pipes:
        pipe.recv()
    cpu_before, idle_rss, _ = process_usage(router.process.pid)
    started = time.monotonic()
    for pipe in pipes:
        pipe.send("go")
    time.sleep(0.3)
    _, _, descriptors = process_usage(router.process.pid)
    histogram, errors, done = HdrHistogram(1, HIGHEST_US, 3), 0, 0
    rss = idle_rss
    for pipe in pipes:
        while not pipe.poll(0.05):
            rss = max(rss, process_usage(router.process.pid)[1])
        times_us, worker_errors = pipe.recv()
        errors += len(worker_errors)
        done += len(times_us)
        for value in times_us:
            histogram.record_value(max(1, value))
    elapsed = time.monotonic() - started
    cpu_s_used = process_usage(router.process.pid)[0] - cpu_before
    for process in processes:
        process.join(5)
    return {
        "requests_per_s": done / elapsed,
        "cpu_us": cpu_s_used / done * 1e6,
        "p50_ms": histogram.get_value_at_percentile(50) / 1000,
        "p99_ms": histogram.get_value_at_percentile(99) / 1000,
        "p999_ms": histogram.get_value_at_percentile(99.9) / 1000,
        "descriptors": descriptors,
        "resident_kib": rss,
        "not_200": errors,
    }


LOAD_SHAPES = {"h1 100x1": ("h1", 100, 1), "h2 1x100": ("h2", 1, 100), "h2 10x10": ("h2", 10, 10)}


def p99_of_streams_ms(router: Router, count: int, with_stalled: bool) -> float:
    """Return the p99 in ms of 30 concurrent streams, with or without a stream whose window is exhausted."""
    connection = Http2Load(router.http2, window=16_384 if with_stalled else 1 << 20)
    received = 0
    while with_stalled and received < 16_384:
        connection.send_request("river-video", 1)
        connection.sock.sendall(connection.session.data_to_send())
        has_ended = False
        while received < 16_384 and not has_ended:
            for event in connection.session.receive_data(connection.sock.recv(65536)):
                received += len(event.data) if isinstance(event, e.DataReceived) else 0
                # A refused stream is reset: the loop sends the request again.
                has_ended = has_ended or isinstance(event, (e.StreamEnded, e.StreamReset))
    times_us: list[int] = []
    errors: list[str] = []
    connection.run(30, count, times_us, errors)
    connection.sock.close()
    histogram = HdrHistogram(1, HIGHEST_US, 3)
    for value in times_us:
        histogram.record_value(max(1, value))
    return float(histogram.get_value_at_percentile(99)) / 1000


def ack_behind_videos(fifo: bool, rate: int) -> float:
    """Return the ms from an alert-ack's request to its response, behind 50 river-videos on one connection.

    The client reads `rate` bytes per second.
    """
    fleet = Fleet(Terms(sizes={"river-video": 120_000, "map-tiles": 12_000, "alert-ack": 40}))
    http2_settings = {"enabled": True, "listen": "127.0.0.1:0", "all_kib": 65536, "connection_kib": 32768}
    node = Node(
        parse(fleet.configuration(), {}), None, operator.parse({"http2": http2_settings}, "operator.toml")
    )
    node.http2[0].wire_config = replace(node.http2[0].wire_config, fifo=fifo)
    node.start()
    address: Address = node.http2[0].sock.getsockname()
    connection = Http2Load(address)
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
    for n in range(50):
        connection.send_request("river-video", n)
    connection.sock.sendall(connection.session.data_to_send())
    while node.core.counters["answered.served"] < 50:
        time.sleep(0.01)
    headers = [(k, v) for k, v in fields("alert-ack", 7) if k != ":method"]
    ack = connection.session.get_next_available_stream_id()
    connection.session.send_headers(ack, [(":method", "PUT"), *headers], end_stream=False)
    connection.session.send_data(ack, b"seen", end_stream=True)
    connection.sock.sendall(connection.session.data_to_send())
    started, done, read = time.monotonic(), 0.0, 0
    while not done:
        data = connection.sock.recv(8192)
        read += len(data)
        for event in connection.session.receive_data(data):
            if isinstance(event, e.StreamEnded) and event.stream_id == ack:
                done = time.monotonic() - started
            elif isinstance(event, e.DataReceived) and event.flow_controlled_length:
                connection.session.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
        connection.sock.sendall(connection.session.data_to_send())
        time.sleep(max(0.0, read / rate - (time.monotonic() - started)))
    connection.sock.close()
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
@click.option(
    "--json", "file", type=click.Path(path_type=Path), help="Write the figures of every round to FILE."
)
def main(requests: int, rounds: int, file: Path | None) -> None:
    """Run all benchmarks; a round of 4,000 requests takes about a minute."""
    results: dict[str, list[dict[str, float]]] = {name: [] for name in LOAD_SHAPES}
    fleet = RemoteFleet()
    p99_ms: dict[bool, list[float]] = {True: [], False: []}
    cores = sorted(os.sched_getaffinity(0))
    os.sched_setaffinity(0, {cores[-1]})  # the router inherits it, with all its threads
    router = Router(fleet, OPERATOR)  # type: ignore[arg-type]
    os.sched_setaffinity(0, set(cores[:-1]))
    try:
        for number in range(rounds + 1):
            for name, (kind, connection_total, depth) in LOAD_SHAPES.items():
                figures = run_round(router, kind, connection_total, depth, requests)
                click.echo(f"{name}: {figures}", err=True)
                if number:  # the first round warms up caches and the interpreter
                    results[name].append(figures)
            for with_stalled in (False, True):
                value = p99_of_streams_ms(router, requests // 2, with_stalled)
                if number:
                    p99_ms[with_stalled].append(value)
            click.echo(f"round {number} of {rounds}", err=True)
    finally:
        router.close()
        fleet.close()
    acks = {fifo: [ack_behind_videos(fifo, 2_000_000) for _ in range(rounds)] for fifo in (False, True)}
    keys = list(results["h1 100x1"][0])
    click.echo(f"{'':16}" + "".join(f"{name:>30}" for name in LOAD_SHAPES))
    for key in keys:
        click.echo(f"{key:16}" + "".join(f"{spread([r[key] for r in results[n]]):>30}" for n in LOAD_SHAPES))
    for name in list(LOAD_SHAPES)[1:]:
        ratio = [a["cpu_us"] / b["cpu_us"] for a, b in zip(results[name], results["h1 100x1"], strict=True)]
        click.echo(f"CPU a request, {name} over HTTP/1.1: {spread(ratio)}")
    ratio = [a / b for a, b in zip(p99_ms[True], p99_ms[False], strict=True)]
    click.echo(
        f"p99 of 30 streams: {spread(p99_ms[False])} ms, beside a stalled one {spread(p99_ms[True])} ms,"
    )
    click.echo(f"    ratio {spread(ratio)}")
    click.echo(
        f"alert-ack behind 50 videos at 2 MB/s: {spread(acks[False])} ms, with FIFO {spread(acks[True])} ms"
    )
    if file is not None:
        report = {"shapes": results, "stalled": p99_ms[True], "without": p99_ms[False]}
        file.write_text(json.dumps(report | {"ack_ms": acks[False], "ack_fifo_ms": acks[True]}, indent=1))


if __name__ == "__main__":
    main()
