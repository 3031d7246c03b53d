"""The ports that stand-ins are given are nobody else's.

CI failed once as one of 20 routers had ended at its start. Its port is looked for before the process is
started and listened on a second later; meanwhile the runs of another worker, which want 60 ports at a time,
could be given the same one.
"""

from __future__ import annotations

import subprocess
import sys

from lupintack.standins.net import PORTS, free_ports
from lupintack.standins.processes import ROOT

EACH = len(PORTS) // 10  # of two processes that choose by chance, some hundred would be the same
ASK = f"from lupintack.standins.net import free_ports; print(*free_ports({EACH}), flush=True); input()"


def test_processes_that_ask_at_the_same_time_are_given_different_ports() -> None:
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", ASK], cwd=ROOT, text=True, stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        for _ in range(3)
    ]
    try:
        given = [[int(port) for port in one.stdout.readline().split()] for one in processes if one.stdout]
    finally:
        for one in processes:
            one.communicate("\n")
    ports = [port for some in given for port in some]
    assert len(ports) == 3 * EACH
    assert len(set(ports)) == len(ports)


def test_one_process_is_never_given_a_port_twice() -> None:
    ports = [port for _ in range(20) for port in free_ports(40)]
    assert len(set(ports)) == len(ports)
