"""Several router processes, connected through a switch, in front of one stand-in fleet."""

from __future__ import annotations

import http.client
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from lupintack.standins.fleet import Fleet
from lupintack.standins.processes import ROOT
from lupintack.standins.switch import Switch

FAST: dict[str, Any] = {
    "probe_ms": 200,
    "suspect_ms": 500,
    "fail_ms": 1600,
    "fail_most_ms": 2600,
    "hold_ms": 1000,
}


def toml_table(values: dict[str, Any]) -> str:
    """Return the lines of a TOML table; nested tables are written inline."""

    def toml_value(value: Any) -> str:
        if isinstance(value, dict):
            return (
                "{"
                + ", ".join(f"{json.dumps(key)} = {toml_value(item)}" for key, item in value.items())
                + "}"
            )
        return json.dumps(value)

    return "\n".join(f"{key} = {toml_value(value)}" for key, value in values.items())


def counted_routers(status: dict[str, Any]) -> set[str]:
    """Return the names of the routers that a router counts as members, from its fleet status."""
    states = ("alive", "suspect", "unheard")
    return {router["name"] for router in status.get("routers", []) if router["state"] in states}


class Routers:
    """Router processes by name. Signals are only sent to the pids of processes started here."""

    def __init__(
        self,
        tmp: Path,
        count: int,
        sites: int = 2,
        terms: dict[str, Any] | None = None,
        arguments: tuple[str, ...] = ("-m", "lupintack"),
        tables: Callable[[str], dict[str, dict[str, Any]]] | None = None,
        fleet: Fleet | None = None,
    ) -> None:
        self.tmp = tmp
        self.names = [f"n{number}" for number in range(count)]
        self.sites = {name: f"site{number % sites}" for number, name in enumerate(self.names)}
        self.terms = FAST if terms is None else terms
        self.arguments = arguments
        self.tables = tables or (lambda name: {})
        self.fleet = fleet or Fleet()
        self.switch = Switch(self.names)
        ports = self.switch.spare_ports
        self.listen = dict(zip(self.names, ports[:count], strict=True))
        self.admin = dict(zip(self.names, ports[count:], strict=True))
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.paused: set[str] = set()

    def write_operator_file(self, name: str) -> Path:
        """Write the operator file of a router and return its path."""
        peer_addresses = self.switch.addresses_for(name)
        seeds = [peer_addresses[other] for other in self.names[:3] if other != name]
        host, port = self.switch.addresses[name]
        tables = {"enabled": True, "listen": f"{host}:{port}", "fleet": "test", "secret": "s", "seeds": seeds}
        tables |= {"site": self.sites[name], **self.terms}
        text = f"[membership]\n{toml_table(tables)}\n[membership.reach]\n{toml_table(peer_addresses)}\n"
        for title, values in self.tables(name).items():
            text += f"[{title}]\n{toml_table(values)}\n"
        file = self.tmp / f"{name}.toml"
        file.write_text(text)
        return file

    def start(self, names: Iterable[str] | None = None) -> None:
        """Start the processes with these names concurrently, and wait until they are ready."""
        started = self.names if names is None else list(names)
        for name in started:
            self.launch(name)
        for name in started:
            self.wait_until(
                lambda name=name: self.call(name, "/api/ready")[0] == 200,  # type: ignore[misc]
                15.0,
                f"{name} is ready",
            )

    def launch(self, name: str) -> None:
        """Start one process without waiting for it."""
        file = self.tmp / f"{name}.json"
        configuration = self.fleet.configuration(f"127.0.0.1:{self.listen[name]}")
        file.write_text(json.dumps(configuration | {"name": name, "seed": f"{len(name)}{ord(name[-1]):x}"}))
        env = {k: v for k, v in os.environ.items() if not k.startswith(("EDGE_", "LUPINTACK_"))}
        folder = self.tmp / f"tmp-{name}"
        folder.mkdir(exist_ok=True)
        env |= {"EDGE_CONFIG": str(file), "EDGE_NAME": name, "TMPDIR": str(folder)}
        env |= {
            "EDGE_ADMIN_ADDR": f"127.0.0.1:{self.admin[name]}",
            "LUPINTACK_OPERATOR": str(self.write_operator_file(name)),
        }
        with (self.tmp / f"{name}.log").open("a") as log:
            process = subprocess.Popen(
                [sys.executable, *self.arguments], env=env, cwd=ROOT, stdout=log, stderr=log
            )
        self.running[name] = process
        self.switch.open_ports(name)

    # Faults

    def kill(self, names: Iterable[str]) -> None:
        """Send SIGKILL; afterwards the ports of these processes refuse connections."""
        for name in names:
            process = self.running.pop(name)
            process.kill()
            process.wait()
            self.paused.discard(name)
            self.switch.close_ports(name)

    def terminate(self, name: str) -> None:
        """Send SIGTERM and wait for the end of the process."""
        process = self.running.pop(name)
        process.terminate()
        process.wait(15)
        self.switch.close_ports(name)

    def pause(self, names: Iterable[str]) -> None:
        for name in names:
            self.running[name].send_signal(signal.SIGSTOP)
            self.paused.add(name)

    def resume(self, names: Iterable[str]) -> None:
        for name in names:
            self.running[name].send_signal(signal.SIGCONT)
            self.paused.discard(name)

    # Queries

    def call(self, name: str, target: str) -> tuple[int, str]:
        """Send a GET to the admin address of a router; return status and body, status 0 without an answer."""
        connection = http.client.HTTPConnection("127.0.0.1", self.admin[name], timeout=2.0)
        try:
            connection.request("GET", target)
            response = connection.getresponse()
            return response.status, response.read().decode()
        except (OSError, http.client.HTTPException):
            return 0, ""
        finally:
            connection.close()

    def status(self, name: str) -> dict[str, Any]:
        """Return the fleet status of a router; empty if it does not answer."""
        status, text = self.call(name, "/api/fleet")
        fleet_status: dict[str, Any] = json.loads(text) if status == 200 else {}
        return fleet_status

    def members(self, name: str) -> set[str]:
        """Return the names of the routers that a router counts as members."""
        return counted_routers(self.status(name))

    def wait_for_agreement(self, expected: Iterable[str], timeout_s: float = 15.0) -> float:
        """Wait until all running routers have these members in one settled view; return the seconds."""
        expected_names, started_s = set(expected), time.monotonic()

        def is_agreed() -> bool:
            # Read once: a second read could return changes that are not settled yet.
            statuses = [self.status(name) for name in self.running if name not in self.paused]
            is_one_view = len({status.get("view") for status in statuses}) == 1 and all(
                s.get("settled") for s in statuses
            )
            return is_one_view and all(counted_routers(status) == expected_names for status in statuses)

        self.wait_until(is_agreed, timeout_s, f"all routers count {sorted(expected_names)}")
        return time.monotonic() - started_s

    def wait_until(self, condition: Callable[[], bool], timeout_s: float, description: str) -> None:
        """Wait until a condition holds; raise AssertionError with the description after the timeout."""
        deadline_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline_s:
                raise AssertionError(f"not within {timeout_s} s: {description}; {self.describe_views()}")
            time.sleep(0.03)

    def describe_views(self) -> list[str]:
        """Return a line on the view of each running router: its state, and the state of each other router."""
        lines = []
        for name in self.running:
            if name in self.paused:
                continue
            started_s = time.monotonic()
            status = self.status(name)
            took_ms = (time.monotonic() - started_s) * 1000
            if not status:
                lines.append(f"{name}: no answer in {took_ms:.0f} ms")
                continue
            others = [
                (
                    f"{router['name']} {router['state']} {router['incarnation']}"
                    f" {router['since_ms']} ms {router['why']}"
                ).strip()
                for router in status["routers"]
            ]
            state = {
                key: status[key] for key in ("state", "view", "settled", "minority", "health", "dropped")
            }
            budgets = status.get("budgets") or {}
            state |= {key: budgets.get(key) for key in ("divides", "epoch", "lease_ends_ms", "counts")}
            lines.append(f"{name}: {state}, {others}, answered in {took_ms:.0f} ms")
        return lines

    def log(self, name: str) -> str:
        return (self.tmp / f"{name}.log").read_text()

    def close(self) -> None:
        for process in self.running.values():
            process.kill()
            process.wait()
        self.switch.close()
        self.fleet.close()
