"""Times of routine operations on real processes under steady load: minimum, median and maximum of each.

    python benchmarks/service.py [--runs 10] [--clients 24] [--json FILE]

start: from the start of the process to ready on the second address. ban: from the call to its response, and
the requests that the cache gets after that. empty: from the evacuate call to the end of the last client
connection; eight of them are idle. call: responses of the second address to other calls. upgrades: the
results of requests, with and without steering of new connections, and the peak of memory and descriptors of
both processes together. Each is run `--runs` times for some seconds, on loopback.
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import socket
import statistics
import subprocess
import tempfile
import threading
import time
from collections import defaultdict
from pathlib import Path
from typing import Any

from lupintack.standins.processes import RUN, Load, Processes, call

RUN_UNSTEERED = (
    "-c",
    "import lupintack.process.upgrade_coordinator as u; u.steer = lambda sock, place: False\n"
    "from lupintack.__main__ import start; start()",
)
MEMORY_MB = 80
IDLE_CONNECTIONS = 8


def spread(values: list[float]) -> dict[str, float]:
    return {
        "min": round(min(values), 2),
        "median": round(statistics.median(values), 2),
        "max": round(max(values), 2),
        "runs": len(values),
    }


def open_idle_connection(address: tuple[str, int]) -> socket.socket:
    """Return an idle connection that has served one request."""
    sock = socket.create_connection(address, timeout=10.0)
    sock.sendall(b"GET /alive HTTP/1.1\r\nHost: x\r\n\r\n")
    assert b" 200 " in sock.recv(4096)
    return sock


def timed_call_ms(address: tuple[str, int], method: str, target: str) -> float:
    """Return the milliseconds of one call, which must be answered with 200."""
    began = time.monotonic()
    status, text = call(address, method, target)
    assert status == 200, (status, text)
    return (time.monotonic() - began) * 1000


def measure_service(runs: int, clients: int) -> dict[str, Any]:
    """Measure start, ban, evacuation and the calls' response times under load, each run on a new process."""
    times: dict[str, list[float]] = defaultdict(list)
    for _ in range(runs):
        with tempfile.TemporaryDirectory() as folder:
            site = Processes(Path(folder))
            began = time.monotonic()
            _, admin = site.start()
            times["start_ms"].append((time.monotonic() - began) * 1000)
            load = Load(site.listen, clients)
            time.sleep(0.5)
            member = site.fleet.members["s-1"]
            assert member.requests_by_class.total() > 0, "the cache was not in use"
            idle = [open_idle_connection(site.listen) for _ in range(IDLE_CONNECTIONS)]
            times["ban_ms"].append(timed_call_ms(admin, "POST", "/api/exclude?name=s-1"))
            requests_before = member.requests_by_class.total()
            time.sleep(0.5)
            times["wants_after_ban"].append(member.requests_by_class.total() - requests_before)
            times["call_ms"] += [timed_call_ms(admin, "GET", "/api/ready") for _ in range(5)]
            times["call_ms"].append(timed_call_ms(admin, "POST", "/api/include?name=s-1"))
            # The front stops new connections 0.3 s after the first not-ready response; this load stops
            # opening them when it is told to.
            began = time.monotonic()
            times["call_ms"].append(timed_call_ms(admin, "POST", "/api/evacuate"))
            load.accepts_no_connections.set()
            load.wait_ended()
            for sock in idle:
                assert not sock.recv(1)
                sock.close()
            times["empty_ms"].append((time.monotonic() - began) * 1000)
            load.stop()
            site.close()
    return {name: spread(values) for name, values in times.items()}


def process_usage(process: subprocess.Popen[bytes]) -> tuple[int, int]:
    """Return the proportional memory in KiB and the open descriptors of a process; 0 if it has ended."""
    try:
        text = Path(f"/proc/{process.pid}/smaps_rollup").read_text()
        pss = next(int(line.split()[1]) for line in text.splitlines() if line.startswith("Pss:"))
        return pss, len(os.listdir(f"/proc/{process.pid}/fd"))
    except OSError:
        return 0, 0


def measure_upgrades(command: tuple[str, ...], runs: int, clients: int) -> dict[str, Any]:
    """Measure `runs` upgrades, one after another, under load."""
    with tempfile.TemporaryDirectory() as folder:
        site = Processes(Path(folder), command, memory_mb=MEMORY_MB, sockets=384)
        old, _ = site.start()
        load = Load(site.listen, clients)
        time.sleep(1.0)
        memory, sockets, took_ms = [], [], []
        for _ in range(runs):
            running_before = len(site.running)
            finished = threading.Event()
            samples: list[tuple[int, int]] = []

            def watch(finished: threading.Event = finished, samples: list[tuple[int, int]] = samples) -> None:
                while not finished.wait(0.02):
                    usages = [process_usage(process) for process in site.running[-2:]]
                    samples.append((sum(usage[0] for usage in usages), sum(usage[1] for usage in usages)))

            watcher = threading.Thread(target=watch)
            watcher.start()
            began = time.monotonic()
            new, _ = site.start()
            assert len(site.running) == running_before + 1
            old.send_signal(signal.SIGTERM)
            assert old.wait(10) == 0
            took_ms.append((time.monotonic() - began) * 1000)
            finished.set()
            watcher.join()
            memory.append(max(sample[0] for sample in samples) / 1024)
            sockets.append(float(max(sample[1] for sample in samples)))
            old = new
        outcomes = load.stop()
        site.close()
    return {
        "upgrade_ms": spread(took_ms), "memory_mb_both": spread(memory), "descriptors_both": spread(sockets),
        "outcomes": outcomes, "limits": {"memory_mb": MEMORY_MB, "sockets": 384},
    }  # fmt: skip


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=10)
    parser.add_argument("--clients", type=int, default=24)
    parser.add_argument("--json", type=Path)
    args = parser.parse_args()
    results = {
        "service": measure_service(args.runs, args.clients),
        "steered": measure_upgrades(RUN, args.runs, args.clients),
        "unsteered": measure_upgrades(RUN_UNSTEERED, args.runs, args.clients),
    }
    print(json.dumps(results, indent=2))
    if args.json:
        args.json.write_text(json.dumps(results, indent=2) + "\n")


if __name__ == "__main__":
    main()
