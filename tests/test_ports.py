"""Ports allocated for stand-ins are unique among the processes of a machine.

Guards against two test workers that are given the same port: a port is chosen a second before its process
listens on it, and other workers allocate 60 ports at a time meanwhile. In CI, one of 20 routers exited at its
start for this reason.
"""

from __future__ import annotations

import subprocess
import sys

from lupintack.standins.net import PORTS, free_ports
from lupintack.standins.processes import ROOT

PORTS_PER_PROCESS = len(PORTS) // 10  # with random choice, two processes would share some hundred
SCRIPT = (
    "from lupintack.standins.net import free_ports; "
    f"print(*free_ports({PORTS_PER_PROCESS}), flush=True); input()"
)


def test_concurrent_processes_are_given_different_ports() -> None:
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", SCRIPT], cwd=ROOT, text=True, stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        for _ in range(3)
    ]
    try:
        allocated = [
            [int(port) for port in process.stdout.readline().split()]
            for process in processes
            if process.stdout
        ]
    finally:
        for process in processes:
            process.communicate("\n")
    ports = [port for process_ports in allocated for port in process_ports]
    assert len(ports) == 3 * PORTS_PER_PROCESS
    assert len(set(ports)) == len(ports)


def test_process_is_never_given_a_port_twice() -> None:
    ports = [port for _ in range(20) for port in free_ports(40)]
    assert len(set(ports)) == len(ports)
