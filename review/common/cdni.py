"""Stand-ins for peer CDNs, and the configuration file of the CDNI front."""

from __future__ import annotations

import json
import socket
import threading
import time
from collections.abc import Callable
from pathlib import Path

from lupintack.standins.net import free_ports
from review.common.client import Answer, Connection
from review.common.record import Record

UPSTREAM_ID = "AS64496:0"
COMMAND = "application/cdni; ptype=ci-trigger-command"
STATUS = "application/cdni; ptype=ci-trigger-status"
FINAL = ("complete", "processed", "failed", "cancelled")


class CdniFile:
    """The CDNI front's address and file."""

    def __init__(self, folder: Path, hosts: str, upstream: str = "", more: str = "") -> None:
        """`hosts`: the tables of the hosts; `upstream`: further keys of the upstream CDN."""
        port = free_ports(1)[0]
        self.address = f"127.0.0.1:{port}"
        self.base = f"http://{self.address}"
        self.path = folder / "cdni.toml"
        self.path.write_text(
            f'enabled = true\nlisten = "{self.address}"\nid = "AS64500:0"\nbase = "{self.base}"\n'
            f'{hosts}\n[[upstream]]\nid = "{UPSTREAM_ID}"\n{upstream}\n{more}\n'
        )


def send_trigger(address: str, record: Record, kind: str, **selectors: list[str]) -> Answer:
    """Send a trigger as the upstream CDN, and return the answer."""
    spec = {"type": kind} | {key.replace("_", "."): value for key, value in selectors.items()}
    body = json.dumps({"trigger": spec, "cdn-path": [UPSTREAM_ID]}).encode()
    connection = Connection(address, record, "uCDN")
    record.write("uCDN", f"trigger {spec}")
    answer = connection.request("POST", "/triggers", {"Content-Type": COMMAND, "Accept": STATUS}, body)
    connection.close()
    if answer.status != 201:
        raise RuntimeError(f"the trigger was not taken: {answer.status} {answer.body!r}")
    return answer


def trigger_status(address: str, record: Record, location: str) -> str:
    """Return the status of a trigger."""
    connection = Connection(address, record, "uCDN")
    path = location.removeprefix(f"http://{address}")
    answer = connection.request("GET", path, {"Accept": STATUS})
    connection.close()
    status = str(json.loads(answer.body)["status"])
    record.write("uCDN", f"{location} is {status}")
    return status


def await_trigger(address: str, record: Record, location: str, wait_s: float) -> str:
    """Wait for the end of a trigger; return its last status."""
    until_s = time.monotonic() + wait_s
    while (status := trigger_status(address, record, location)) not in FINAL:
        if time.monotonic() > until_s:
            break
        time.sleep(0.05)
    return status


Reply = tuple[int, str, bytes]  # status, further header lines, body


class PeerCdn:
    """A peer CDN's HTTP server: one call per connection; while cut off, it takes calls and is silent."""

    def __init__(self, name: str, reply: Callable[[str, str], Reply], record: Record) -> None:
        """`reply` returns the answer to a method and a path."""
        self.name, self.reply, self.record = name, reply, record
        self.is_cut_off = False
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.base = f"http://127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Serve each connection on a thread."""
        while True:
            sock, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        """Answer one call."""
        try:
            data = b""
            while b"\r\n\r\n" not in data:
                chunk = sock.recv(65536)
                if not chunk:
                    return
                data += chunk
            method, path, _ = data.split(b"\r\n", 1)[0].decode().split(" ")
            self.record.write(self.name, f"called {method} {path}" + " (silent)" * self.is_cut_off)
            if self.is_cut_off:
                while sock.recv(65536):
                    pass
                return
            status, lines, body = self.reply(method, path)
            head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\nConnection: close\r\n{lines}\r\n"
            sock.sendall(head.encode() + body)
        except OSError:
            pass
        finally:
            sock.close()
