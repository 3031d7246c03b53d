"""The frame of a case: its record, its router processes, and the exit code of its script."""

from __future__ import annotations

import contextlib
import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from review.common2.net import Reply, request

ROOT = Path(__file__).parents[2]
START_TIMEOUT_S = 30.0
CASE_TIMEOUT_S = 110
PORTS = range(15_000, 32_000)
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2


class CaseError(Exception):
    """The case could not run; it says nothing about the rule."""


class Record:
    """The file `record.txt` of a case: one line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        """Begin an empty file; times are seconds since now."""
        self.began_s = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")  # noqa: SIM115 - closed with the process

    def write(self, who: str, text: str) -> None:
        """Add a line."""
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began_s:8.3f} {who:<9} {text}\n")
            self.file.flush()


class Router:
    """One process of the edge router, started with the command of the deploy file."""

    def __init__(self, name: str, process: subprocess.Popen[bytes], port: int, admin_port: int) -> None:
        """`port`: of the clients; `admin_port`: of the second address, 0 without one."""
        self.name = name
        self.process = process
        self.port = port
        self.admin_port = admin_port

    def is_ready(self) -> bool:
        """Return whether the process says that it is ready."""
        port, target = (self.admin_port, "/api/ready") if self.admin_port else (self.port, "/alive")
        return request(port, "GET", target, timeout_s=2.0).status == 200

    def wait_ready(self) -> None:
        """Wait until the process is ready; raise CaseError if it ends or takes too long."""
        until_s = time.monotonic() + START_TIMEOUT_S
        while not self.is_ready():
            if self.process.poll() is not None or time.monotonic() > until_s:
                raise CaseError(f"router {self.name} did not start")
            time.sleep(0.02)


class Case:
    """One case: a temporary folder, the processes that it started, and what broke the rule."""

    def __init__(self, folder: Path) -> None:
        """`folder`: where `record.txt` is written."""
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder / "record.txt")
        self.tmp = Path(tempfile.mkdtemp(prefix="review-"))
        self.routers: list[Router] = []
        self.violations: list[str] = []

    def start_router(
        self, name: str, configuration: dict[str, Any], port: int, admin_port: int = 0, cdni: str = ""
    ) -> Router:
        """Start `run` of the deploy file; a second call with the same port is an upgrade."""
        file = self.tmp / "config.json"
        file.write_text(json.dumps(configuration))
        environment = {k: v for k, v in os.environ.items() if not k.startswith(("EDGE_", "LUPINTACK_"))}
        environment |= {"EDGE_NAME": "n3", "EDGE_LISTEN": f"127.0.0.1:{port}", "EDGE_CONFIG": str(file)}
        shared = self.tmp / "tmp"
        shared.mkdir(exist_ok=True)
        environment["TMPDIR"] = str(shared)
        if admin_port:
            environment["EDGE_ADMIN_ADDR"] = f"127.0.0.1:{admin_port}"
        if cdni:
            cdni_file = self.tmp / "cdni.toml"
            cdni_file.write_text(cdni)
            environment["LUPINTACK_CDNI"] = str(cdni_file)
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with open(self.tmp / f"log-{name}", "wb") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        router = Router(name, process, port, admin_port)
        self.routers.append(router)
        self.record.write("platform", f"starts router process {name}")
        return router

    def terminate(self, router: Router) -> None:
        """Send SIGTERM, as the platform does to the old process of an upgrade."""
        self.record.write("platform", f"SIGTERM to router process {router.name}")
        router.process.send_signal(signal.SIGTERM)

    def broken(self, text: str) -> None:
        """Note that the rule was broken."""
        self.violations.append(text)
        self.record.write("RULE", f"broken: {text}")

    def close(self) -> None:
        """End all processes, keep their logs in the record, and remove the folder."""
        for router in self.routers:
            if router.process.poll() is None:
                router.process.kill()
            router.process.wait()
        for router in self.routers:
            log = (self.tmp / f"log-{router.name}").read_text(errors="replace")
            for line in log.splitlines()[-60:]:
                self.record.write(f"log {router.name}", line)
        shutil.rmtree(self.tmp, ignore_errors=True)


def main(folder: Path, play: Callable[[Case], None]) -> None:
    """Play a case and exit with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    case = Case(folder)

    def stop(number: int, frame: object) -> None:
        raise CaseError("the case took too long")

    signal.signal(signal.SIGALRM, stop)
    signal.alarm(CASE_TIMEOUT_S)
    code = COULD_NOT_RUN
    try:
        play(case)
        code = BROKEN if case.violations else HELD
    except (CaseError, OSError) as error:
        case.record.write("case", f"could not run: {error!r}")
    finally:
        signal.alarm(0)
        case.close()
    words = {BROKEN: "rule broken", HELD: "rule held", COULD_NOT_RUN: "could not run"}
    case.record.write("case", f"trouble={int(case.trouble)} {words[code]}")
    print(f"{folder.name}: {words[code]}", *case.violations, sep="\n  ", flush=True)
    os._exit(code)


def free_ports(count: int) -> list[int]:
    """Return loopback ports that are free for TCP, below those that the kernel gives to connections."""
    ports: list[int] = []
    while len(ports) < count:
        port = PORTS.start + secrets.randbelow(len(PORTS))
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind(("127.0.0.1", port))
            if port not in ports:
                ports.append(port)
    return ports


__all__ = ["Case", "CaseError", "Record", "Reply", "Router", "free_ports", "main"]
