"""Starts of real processes: a signal during the start, and many concurrent starts with silent peers."""

from __future__ import annotations

import json
import os
import re
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from lupintack.standins import deployment
from lupintack.standins.discovery_server import DiscoveryServer
from lupintack.standins.net import address_of, close, free_ports, listen
from lupintack.standins.processes import ROOT

PROCESS_COUNT = 20
CPU_COUNT = 2
READY_TIMEOUT_S = 10.0  # for nine of ten processes


def launch(config: Path, log: Path) -> subprocess.Popen[bytes]:
    env = {k: v for k, v in os.environ.items() if not k.startswith(("EDGE_", "LUPINTACK_"))}
    with log.open("wb") as out:
        return subprocess.Popen(
            [sys.executable, "-m", "lupintack"], env=env | {"EDGE_CONFIG": str(config)}, cwd=ROOT,
            stdout=out, stderr=out,
        )  # fmt: skip


def configuration(listen: str, discovery: str, member: str) -> dict[str, Any]:
    return deployment.configuration(dict.fromkeys(deployment.HOSTS, member), discovery, listen)


def wait_for_log(process: subprocess.Popen[bytes], log: Path, text: str) -> None:
    """Wait until the log of a running process contains a text."""
    deadline_s = time.monotonic() + 5.0
    while text not in log.read_text():
        assert process.poll() is None and time.monotonic() < deadline_s, log.read_text()
        time.sleep(0.01)


def is_alive(port: int) -> bool:
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=1.0) as sock:
            sock.sendall(b"GET /alive HTTP/1.1\r\nHost: x\r\n\r\n")
            return sock.recv(4096).startswith(b"HTTP/1.1 200 ")
    except OSError:
        return False


def test_sighup_while_configuration_is_read_does_not_end_the_process(tmp_path: Path) -> None:
    """Guards against a SIGHUP during the start that ends the process instead of reloading the configuration.

    The configuration file is a named pipe, so its reader blocks until the test writes.
    """
    pipe, listen_address = tmp_path / "config.json", f"127.0.0.1:{free_ports(1)[0]}"
    discovery = DiscoveryServer()
    os.mkfifo(pipe)
    process = launch(pipe, tmp_path / "log")
    try:
        data = json.dumps(configuration(listen_address, discovery.address, "127.0.0.1:1"))
        with pipe.open("w") as writer:  # returns once the process reads its configuration
            process.send_signal(signal.SIGHUP)
            writer.write(data)
        wait_for_log(process, tmp_path / "log", "event=ready")
        with pipe.open("w") as writer:  # the reload
            writer.write(data)
        wait_for_log(process, tmp_path / "log", 'event="configuration read"')
        process.terminate()
        assert process.wait(10) == 0
    finally:
        process.kill()
        process.wait()
        discovery.close()


def test_many_concurrent_starts_are_ready_in_time_with_silent_discovery_and_members(tmp_path: Path) -> None:
    """Discovery accepts connections and stays silent, and the members don't accept any."""
    silent_discovery = listen(lambda sock: None)
    hung_member = socket.create_server(("127.0.0.1", 0), backlog=1)
    processes: list[subprocess.Popen[bytes]] = []
    ports = free_ports(PROCESS_COUNT)
    try:
        started_s = time.monotonic()
        for n, port in enumerate(ports):
            file = tmp_path / f"{n}.json"
            file.write_text(
                json.dumps(
                    configuration(f"127.0.0.1:{port}", address_of(silent_discovery), address_of(hung_member))
                )
            )
            processes.append(launch(file, tmp_path / f"{n}.log"))
            os.sched_setaffinity(processes[-1].pid, set(sorted(os.sched_getaffinity(0))[:CPU_COUNT]))
        ready: dict[int, float] = {}
        while len(ready) < PROCESS_COUNT and time.monotonic() - started_s < 2 * READY_TIMEOUT_S:
            for n in set(range(PROCESS_COUNT)) - set(ready):
                if is_alive(ports[n]):
                    ready[n] = time.monotonic() - started_s
            time.sleep(0.02)
        times = sorted(ready.values())
        logs = [(tmp_path / f"{n}.log").read_text() for n in range(PROCESS_COUNT)]
        cpu_times = [re.search(r"cpu_ms=(\S+)", log) for log in logs]
        print(f"ready after {times[0]:.2f} to {times[-1]:.2f} s;", cpu_times[0][1] if cpu_times[0] else "")
        assert sum(ready_s < READY_TIMEOUT_S for ready_s in times) >= PROCESS_COUNT * 9 / 10, times
        ended = {
            n: (process.poll(), logs[n]) for n, process in enumerate(processes) if process.poll() is not None
        }
        assert not ended, ended
    finally:
        for process in processes:
            process.kill()
            process.wait()
        close(silent_discovery)
        hung_member.close()
