"""The demo: one edge router as a process of its own, between stand-ins in this one, all on loopback."""

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
    """A router process before a fleet of stand-ins; RuntimeError where it does not come up."""

    def __init__(self, fleet: Fleet, operator: str = "", **configuration: Any) -> None:
        """`operator` is the text of its operator file, in which {http2} stands for the port."""
        self.folder = tempfile.TemporaryDirectory()
        one, two, three = free_ports(3)
        self.http1, self.http2 = ("127.0.0.1", one), ("127.0.0.1", two)
        self.admin = ("127.0.0.1", three)
        base = Path(self.folder.name)
        told = fleet.configuration(f"127.0.0.1:{one}", **configuration)
        told["admin_addr"] = f"127.0.0.1:{three}"
        (base / "config.json").write_text(json.dumps(told))
        (base / "operator.toml").write_text(operator.replace("{http2}", f"127.0.0.1:{two}"))
        self.log = (base / "log").open("w+")
        environ = {k: v for k, v in os.environ.items() if not k.startswith(("EDGE_", "LUPINTACK_"))}
        environ |= {
            "EDGE_CONFIG": str(base / "config.json"),
            "LUPINTACK_OPERATOR": str(base / "operator.toml"),
            "TMPDIR": str(base),  # where its bans are kept
        }
        environ["PYTHONPATH"] = str(Path(__file__).parents[2])
        words = [sys.executable, "-m", "lupintack"]
        self.process = subprocess.Popen(words, env=environ, stdout=self.log, stderr=self.log)
        try:
            self.await_ready()
        except RuntimeError:
            self.close()
            raise

    def await_ready(self) -> None:
        """Wait until it says that it is ready; RuntimeError where it does not in time."""
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
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
        """What it has logged."""
        self.log.flush()
        return Path(self.log.name).read_text().splitlines()

    def close(self) -> None:
        """End it, and wait until it has."""
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
    """The whole of it, as a context."""

    def __init__(self) -> None:
        """Start the stand-ins and the router; RuntimeError where it does not come up."""
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
        """End the router and the stand-ins."""
        self.router.close()
        self.fleet.close()

    def endpoints(self) -> dict[str, Any]:
        """Where to ask, and with what."""
        return {
            "http1": "{}:{}".format(*self.router.http1),
            "http2": "{}:{}".format(*self.router.http2),
            "admin": "{}:{}".format(*self.router.admin),
            "path": f"/ops/{CLS}/{1:016x}",
            "headers": {"Req-Id": "9b1f03aa5c7e2d41", "Req-Wait-Ms": str(WAIT_MS), "X-Batch": "17"},
        }

    def page(self) -> str:
        """The same for a reader."""
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
        """Until Ctrl-C, SIGTERM, or the router's end (RuntimeError)."""
        over = threading.Event()
        for number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(number, lambda *_: over.set())
        while not over.wait(0.2):
            if self.router.process.poll() is not None:
                raise RuntimeError(f"the router has ended: {self.router.lines()[-1:]}")

    def check(self, progress: bool = False) -> dict[str, Any]:
        """ASKED objects over each protocol: what came, and whether all of it was right."""
        out: dict[str, Any] = {"ok": True}
        for name, where in (("http1", self.router.http1), ("http2", self.router.http2)):
            if progress:
                print(f"{name}: {OBJECT_COUNT} objects", file=sys.stderr)
            out[name] = one = fetch_objects(where, name == "http2")
            out["ok"] = out["ok"] and one["served"] == OBJECT_COUNT
        return out


def fetch_objects(where: tuple[str, int], http2: bool) -> dict[str, Any]:
    """ASKED objects from one address, ten at a time."""
    counts = {"asked": OBJECT_COUNT, "served": 0, "refused": 0, "failed": 0, "wrong": 0}
    took: list[float] = []
    with Client(where, http2=http2) as client:
        calls = [client.begin(CLS, f"{n:016x}", wait_ms=WAIT_MS) for n in range(OBJECT_COUNT)]
        for n, call in enumerate(calls):
            result = call.result()
            took.append(result.took_us / 1000.0)
            if isinstance(result, Served):
                right = bytes(result.body) == content(f"{n:016x}", "0", SIZES[CLS])
                counts["served" if right else "wrong"] += 1
            elif isinstance(result, Refused):
                counts["refused"] += 1
            else:
                counts["failed" if isinstance(result, Failed) else "wrong"] += 1
    return {**counts, "median_ms": round(statistics.median(took), 2)}
