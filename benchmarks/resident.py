"""Resident memory of `lupintack run` with every feature off, in this and in another checkout.

    python benchmarks/resident.py [--against FOLDER] [--times 5]

Each start has its own configuration; the figure is VmRSS in KiB, one second after `/alive` answers.
"""

from __future__ import annotations

import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import click

from lupintack.standins.fleet import Fleet

REPOSITORY = Path(__file__).parents[1]


def resident_kib(folder: Path, fleet: Fleet) -> int:
    """Start the program in `folder` and return its resident memory in KiB."""
    with socket.create_server(("127.0.0.1", 0)) as probe:
        port = probe.getsockname()[1]
    with tempfile.TemporaryDirectory() as temp:
        file = Path(temp) / "config.json"
        file.write_text(json.dumps(fleet.configuration(f"127.0.0.1:{port}", memory_mb=32, sockets=256)))
        environ = {**os.environ, "EDGE_CONFIG": str(file), "PYTHONPATH": str(folder)}
        environ |= {"MALLOC_ARENA_MAX": "2", "MALLOC_MMAP_THRESHOLD_": "1000000"}
        command = [sys.executable, "-B", "-P", "-m", "lupintack"]
        process = subprocess.Popen(command, env=environ, cwd=folder, stderr=subprocess.DEVNULL)
        try:
            for _ in range(500):
                try:
                    with socket.create_connection(("127.0.0.1", port)) as sock:
                        sock.sendall(b"GET /alive HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                        if b" 200 " in sock.recv(1000):
                            break
                except OSError:
                    time.sleep(0.02)
            time.sleep(1.0)
            status = Path(f"/proc/{process.pid}/status").read_text()
            return int(status.split("VmRSS:")[1].split()[0])
        finally:
            process.kill()
            process.wait()


@click.command()
@click.option("--against", type=click.Path(exists=True, path_type=Path), help="Another checkout.")
@click.option("--times", default=5, show_default=True, type=click.IntRange(1, 50))
def main(against: Path | None, times: int) -> None:
    """Start this checkout and the other in turn, and print the figures of each."""
    fleet = Fleet()
    folders = [REPOSITORY, *([against.resolve()] if against else [])]
    resident_by_folder: dict[Path, list[int]] = {folder: [] for folder in folders}
    for _ in range(times):
        for folder in folders:
            resident_by_folder[folder].append(resident_kib(folder, fleet))
    fleet.close()
    for name, folder in zip(("here", "against"), folders, strict=False):
        kib = resident_by_folder[folder]
        print(f"{name:8} median {statistics.median(kib):.0f} KiB, {min(kib)} to {max(kib)}, {times} starts")


if __name__ == "__main__":
    main()
