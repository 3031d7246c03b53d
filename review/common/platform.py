"""Stand-in for the platform: starts routers with the deploy file's command, and the notice board."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import threading
import time
import tomllib
from pathlib import Path
from typing import Any

from lupintack.standins.net import free_ports
from review.common.record import Record

ROOT = Path(__file__).parents[2]
START_TIMEOUT_S = 30.0


class CannotRunError(Exception):
    """The case could not be set up."""


def run_command() -> str:
    """Return the command that runs one router."""
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"])


class Board:
    """The notice board: `watch N` is answered by later events, and each second by the last number."""

    def __init__(self) -> None:
        """Listen on a loopback address."""
        self.rev = 1
        self.lock = threading.Lock()
        self.watchers: list[socket.socket] = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.tell_last, daemon=True).start()

    def accept(self) -> None:
        """Take watchers: no event follows those of the start in these cases."""
        while True:
            sock, _ = self.listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.watchers.append(sock)

    def tell_last(self) -> None:
        """Write the last number each second."""
        while True:
            with self.lock:
                for sock in list(self.watchers):
                    try:
                        sock.sendall(b"%d\n" % self.rev)
                    except OSError:
                        self.watchers.remove(sock)
            time.sleep(1.0)


class Router:
    """One process of the edge router."""

    def __init__(self, name: str, folder: Path, config: dict[str, Any], record: Record) -> None:
        """Write the configuration; `folder` is the `$TMPDIR` that the processes of an upgrade share."""
        self.name, self.folder, self.record = name, folder, record
        self.config_file = folder.parent / "config.json"
        self.config_file.write_text(json.dumps(config))
        self.listen = str(config["listen"])
        self.process: subprocess.Popen[bytes] | None = None
        self.admin = ("127.0.0.1", free_ports(1)[0])
        self.log_file = folder.parent / f"{name}.log"

    def start(self, **environ: str) -> None:
        """Start the process by the deploy file's command."""
        own = ("EDGE_", "LUPINTACK_", "PYTHONPATH", "TROUBLE")
        env = {key: value for key, value in os.environ.items() if not key.startswith(own)}
        env |= {"EDGE_NAME": "n0", "EDGE_LISTEN": self.listen, "EDGE_CONFIG": str(self.config_file)}
        env |= {"EDGE_ADMIN_ADDR": f"127.0.0.1:{self.admin[1]}", "TMPDIR": str(self.folder)} | environ
        with self.log_file.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run_command()], cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.record.write(self.name, f"started, pid {self.process.pid}")

    def call_admin(self, method: str, target: str) -> int:
        """Return the status of a call to the second address, 0 without an answer."""
        try:
            with socket.create_connection(self.admin, timeout=2.0) as sock:
                sock.sendall(f"{method} {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                return int(sock.makefile("rb").readline().split()[1])
        except (OSError, IndexError, ValueError):
            return 0

    def wait_ready(self) -> None:
        """Wait for a yes at the second address."""
        until_s = time.monotonic() + START_TIMEOUT_S
        while self.call_admin("GET", "/api/ready") != 200:
            if self.process is None or self.process.poll() is not None or time.monotonic() > until_s:
                raise CannotRunError(f"{self.name} is not ready: {self.log_file.read_text()[-2000:]}")
            time.sleep(0.05)
        self.record.write(self.name, "says ready")

    def terminate(self) -> None:
        """Send SIGTERM."""
        assert self.process is not None
        self.record.write(self.name, "SIGTERM")
        self.process.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """End the process, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()
