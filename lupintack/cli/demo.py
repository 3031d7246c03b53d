"""The demo: an edge router in a child process, with stand-ins in this process, all on loopback."""

from __future__ import annotations

import json
import os
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from types import TracebackType
from typing import Any

from lupintack.client import Client, Failed, Refused, Served
from lupintack.standins.fleet import SIZES, Fleet, content
from lupintack.standins.net import free_ports

OBJECT_COUNT = 200
CLS = "map-tiles"
READY_S = 15.0
WAIT_MS = 2500


class Router:
    """A router process in front of a fleet of stand-ins; raises RuntimeError if it does not start."""

    def __init__(self, fleet: Fleet, operator: str = "", **settings: Any) -> None:
        """Start the process. `operator` is its operator file, with {http2} replaced by the HTTP/2 address."""
        self.folder = tempfile.TemporaryDirectory()
        http1_port, http2_port, admin_port = free_ports(3)
        self.http1, self.http2 = ("127.0.0.1", http1_port), ("127.0.0.1", http2_port)
        self.admin = ("127.0.0.1", admin_port)
        base = Path(self.folder.name)
        configuration = fleet.configuration(f"127.0.0.1:{http1_port}", **settings)
        configuration["admin_addr"] = f"127.0.0.1:{admin_port}"
        (base / "config.json").write_text(json.dumps(configuration))
        (base / "operator.toml").write_text(operator.replace("{http2}", f"127.0.0.1:{http2_port}"))
        self.log = (base / "log").open("w+")
        environ = {k: v for k, v in os.environ.items() if not k.startswith(("EDGE_", "LUPINTACK_"))}
        environ |= {
            "EDGE_CONFIG": str(base / "config.json"),
            "LUPINTACK_OPERATOR": str(base / "operator.toml"),
            "TMPDIR": str(base),  # the router stores its bans there
        }
        environ["PYTHONPATH"] = str(Path(__file__).parents[2])
        command = [sys.executable, "-m", "lupintack"]
        self.process = subprocess.Popen(command, env=environ, stdout=self.log, stderr=self.log)
        try:
            self.await_ready()
        except RuntimeError:
            self.close()
            raise

    def await_ready(self) -> None:
        """Wait until `/alive` answers 200; raise RuntimeError if the process ends or READY_S passes first."""
        deadline = time.monotonic() + READY_S
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                break
            try:
                with socket.create_connection(self.http1, timeout=1.0) as sock:
                    sock.sendall(b"GET /alive HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    if b" 200 " in sock.recv(1024):
                        return
            except OSError:
                pass
            time.sleep(0.02)
        raise RuntimeError(f"the router did not come up: {self.lines()[-1:] or 'it said nothing'}")

    def lines(self) -> list[str]:
        """Return the lines that the router has logged."""
        self.log.flush()
        return Path(self.log.name).read_text().splitlines()

    def close(self) -> None:
        """Terminate the router and wait for its end; kill it if it takes more than 8 s."""
        if self.process.poll() is None:
            self.process.terminate()
            try:
                self.process.wait(8.0)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        self.log.close()
        self.folder.cleanup()


class Demo:
    """A router with its stand-ins, as a context manager."""

    def __init__(self) -> None:
        """Start the stand-ins and the router; raise RuntimeError if the router does not start."""
        self.fleet = Fleet()
        try:
            self.router = Router(self.fleet, '[http2]\nenabled = true\nlisten = "{http2}"\n')
        except BaseException:
            self.fleet.close()
            raise

    def __enter__(self) -> Demo:
        """Return this demo."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, value: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Stop the router and the stand-ins."""
        self.router.close()
        self.fleet.close()

    def endpoints(self) -> dict[str, Any]:
        """Return the addresses, and the path and headers of a sample request."""
        return {
            "http1": "{}:{}".format(*self.router.http1),
            "http2": "{}:{}".format(*self.router.http2),
            "admin": "{}:{}".format(*self.router.admin),
            "path": f"/ops/{CLS}/{1:016x}",
            "headers": {"Req-Id": "9b1f03aa5c7e2d41", "Req-Wait-Ms": str(WAIT_MS), "X-Batch": "17"},
        }

    def page(self) -> str:
        """Return the endpoints as commands to paste into a shell."""
        endpoints = self.endpoints()
        headers = " ".join(f"-H '{name}: {value}'" for name, value in endpoints["headers"].items())
        return "\n".join([
            "The router serves; two caches, two parents, an origin and a notice board stand in behind it.",
            f"HTTP/1.1  curl -sD- {headers} http://{endpoints['http1']}{endpoints['path']}",
            f"HTTP/2    curl -sD- --http2-prior-knowledge {headers} http://{endpoints['http2']}{endpoints['path']}",
            f"staff     curl -s http://{endpoints['admin']}/api/ready",
            f"          curl -s -X POST 'http://{endpoints['admin']}/api/exclude?name=s-1'  (include: back)",
            f"          curl -s -X POST http://{endpoints['admin']}/api/evacuate  (rejoin: back to work)",
            "Ctrl-C ends it.",
        ])  # fmt: skip

    def wait(self) -> None:
        """Wait for Ctrl-C or SIGTERM; raise RuntimeError if the router ends first."""
        stopped = threading.Event()
        for number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(number, lambda *_: stopped.set())
        while not stopped.wait(0.2):
            if self.router.process.poll() is not None:
                raise RuntimeError(f"the router has ended: {self.router.lines()[-1:]}")

    def check(self, progress: bool = False) -> dict[str, Any]:
        """Fetch OBJECT_COUNT objects over each protocol; return the counts and whether all were served."""
        report: dict[str, Any] = {"ok": True}
        for name, address in (("http1", self.router.http1), ("http2", self.router.http2)):
            if progress:
                print(f"{name}: {OBJECT_COUNT} objects", file=sys.stderr)
            report[name] = counts = fetch_objects(address, name == "http2")
            report["ok"] = report["ok"] and counts["served"] == OBJECT_COUNT
        return report


def fetch_objects(address: tuple[str, int], http2: bool) -> dict[str, Any]:
    """Begin OBJECT_COUNT calls to one address together; return the counts and the median duration."""
    counts = {"asked": OBJECT_COUNT, "served": 0, "refused": 0, "failed": 0, "wrong": 0}
    durations_ms: list[float] = []
    with Client(address, http2=http2) as client:
        calls = [client.begin(CLS, f"{n:016x}", wait_ms=WAIT_MS) for n in range(OBJECT_COUNT)]
        for n, call in enumerate(calls):
            result = call.result()
            durations_ms.append(result.took_us / 1000.0)
            if isinstance(result, Served):
                is_correct = bytes(result.body) == content(f"{n:016x}", "0", SIZES[CLS])
                counts["served" if is_correct else "wrong"] += 1
            elif isinstance(result, Refused):
                counts["refused"] += 1
            else:
                counts["failed" if isinstance(result, Failed) else "wrong"] += 1
    return {**counts, "median_ms": round(statistics.median(durations_ms), 2)}
