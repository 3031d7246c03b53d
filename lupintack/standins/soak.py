"""Soak test: runs one router process under a random script of faults and counts the rules it breaks.

    python -m lupintack.standins.soak --seeds 1-50 [--beside 3] [--planted NAME]

Faults: signals, upgrades, clock steps, failing system calls, pauses, discovery faults, and members that drain
or fail. Clients use connections until SIGKILL, sent at the platform's earliest time. A seed repeats a script.
"""

from __future__ import annotations

import math
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from random import Random
from typing import Any

import click

from lupintack.standins import deployment
from lupintack.standins.deployment import host_entry
from lupintack.standins.edge import Edge
from lupintack.standins.fleet import Fleet, Terms
from lupintack.standins.processes import RUN
from lupintack.standins.proxy import Fault, Proxy
from lupintack.standins.soak_clients import leave_early, write_requests
from lupintack.standins.soak_counts import (
    DELAY_S,
    FALL_MULTIPLE,
    GRACE_S,
    INITIAL_CAPACITY_SHARE,
    SHARE,
    SLOW_START_S,
    Counts,
    History,
    Notification,
    Result,
    closing_line,
    count,
)
from lupintack.standins.soak_pauses import (
    CLIENTS_IN_PAUSE,
    PausePlan,
    PipelinedRequests,
    draw_pause,
    heartbeat,
)
from lupintack.standins.soak_signals import TERM, Step, describe, draw_series, kill, send_series

WAIT_MS = 1200
NOTICE_S = 7.0  # after which an event counts as notified in any case
KILL_AFTER_S = WAIT_MS / 1000 + 0.7  # after SIGTERM: the longest deadline plus 0.7 s
RECONNECT_S = 2.2  # from the end of a discovery fault until all events have arrived, at most
RUN_DURATION_S = 8.0
CROWD_CONNECTIONS = 50
OBJECTS = 20  # that the clients request repeatedly
FAULTY_CALLS = (
    ("accept", 0.2, ("ECONNABORTED", "ENFILE", "EPROTO")),
    ("connect", 0.1, ("EADDRNOTAVAIL", "ENOBUFS", "ENETUNREACH")),
    ("recv", 0.02, ("EINTR", "ENOBUFS", "ENOMEM")),
    ("send", 0.02, ("EINTR", "ENOBUFS", "ENOMEM")),
    ("setsockopt", 0.1, ("ENOBUFS", "ENOMEM")),
)
SETTINGS: dict[str, Any] = deployment.SETTINGS | {
    "services": [service | {"deadline": float(WAIT_MS)} for service in deployment.CLASSES],
    "rules": deployment.SETTINGS["rules"]
    | {
        "drain-grace": GRACE_S * 1000,
        "cold-from": INITIAL_CAPACITY_SHARE,
        "warm-after": SLOW_START_S * 1000,
        "fall-multiple": FALL_MULTIPLE,
        "tip-after": 1000.0,
    },
}


class Soak:
    """One run: a script drawn from the seed, and the counts of broken rules."""

    def __init__(self, seed: int, tmp: Path, planted: str = "") -> None:
        self.seed = seed
        self.random = Random(seed)
        self.arguments = ("-m", "lupintack.standins.planted", planted) if planted else RUN
        self.hanging: set[str] = set()
        self.resetting: set[str] = set()
        terms = Terms(delay_s=self.delay, fault=self.fault, stamped=True)
        self.fleet = Fleet(terms, settings=SETTINGS)
        self.has_crowd = self.random.random() < 0.25
        limits: dict[str, Any] = {"sockets": 160} if self.has_crowd else {}
        self.edge = Edge(tmp, fleet=self.fleet, admin=True, link_bytes_per_s=2e6, **limits)
        hosts = [
            host_entry(name, member.address) | {"share": SHARE} for name, member in self.fleet.members.items()
        ]
        pool = {"seq": 1, "whole": True, "hosts": hosts}
        self.edge.write(known={"rev": 1, "notices": [{"rev": 1, "pool": pool}]})
        self.result = Result(seed, Counts(), [])
        self.history = History()
        self.fault_until_s = 0.0  # of discovery
        self.timers: list[threading.Timer] = []

    # The members

    def delay(self, name: str, cls: str) -> float:
        return 30.0 if name in self.hanging else DELAY_S

    def fault(self, name: str, cls: str) -> str:
        return "closed" if name in self.resetting else ""

    # The script

    def log_step(self, text: str) -> None:
        self.result.script.append(f"{time.monotonic() - self.history.began_s:.2f} {text}")

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        timer = threading.Timer(delay_s, callback)
        timer.daemon = True
        self.timers.append(timer)
        timer.start()

    def notified_from(self, now: float) -> float:
        """Return the time from which an event counts as notified to the running process."""
        return (
            now + 0.1 if now > self.fault_until_s else min(now + NOTICE_S, self.fault_until_s + RECONNECT_S)
        )

    def drain(self, names: list[str], health: str = "Terminating") -> None:
        for name in names:
            at = self.edge.publish_health(name, health)
            self.history.drains.append(Notification(at, name, self.notified_from(at)))
            self.log_step(f"{name} {health}")

    def return_member(self, name: str) -> None:
        """Return a member to service with an empty cache, as a process that has just started."""
        now, unix_ms = time.monotonic(), int(time.time() * 1000)
        entry = host_entry(name, self.fleet.members[name].address) | {"share": SHARE, "born_ms": unix_ms}
        self.history.returns.append(Notification(now, name, now))
        self.fleet.members[name].copies.clear()
        self.fleet.discovery_server.publish({"pool": {"seq": 3, "whole": False, "hosts": [entry]}})
        self.history.member_starts.append(Notification(now, name, self.notified_from(now)))
        self.log_step(f"{name} returned, cold")

    def purge(self) -> None:
        self.purge_item(f"{self.random.randrange(1, OBJECTS + 1):016x}")

    def purge_item(self, item: str) -> None:
        now, unix_ms = time.monotonic(), int(time.time() * 1000)
        self.fleet.discovery_server.purge(asset=item)
        self.history.purges.append((now, unix_ms, item, self.notified_from(now)))

    def inject_discovery_fault(self) -> None:
        """Inject a fault of discovery for a random time."""
        proxy, duration_s = self.edge.proxy, self.random.choice((0.3, 1.0, 2.5, 4.0))
        kind = self.random.choice(("held", "refused", "silent", "doubled", "pieces", "moved", "cut"))
        self.log_step(f"discovery {kind} for {duration_s} s")
        if kind in ("held", "doubled", "pieces"):
            proxy.fault = {"held": Fault.DELAYED, "doubled": Fault.DOUBLED, "pieces": Fault.PIECES}[kind]
            self.call_later(duration_s, lambda: setattr(proxy, "fault", Fault.NONE))
        elif kind == "refused":
            proxy.refuse_connections()
            self.call_later(duration_s, proxy.accept_connections)
        elif kind == "silent":
            proxy.silent = True
            proxy.cut()
            self.call_later(duration_s, lambda: self.end_silence(proxy))
        elif kind == "moved":
            self.move()
        else:
            proxy.cut()
        if kind not in ("doubled", "pieces"):
            self.fault_until_s = max(self.fault_until_s, time.monotonic() + duration_s)

    @staticmethod
    def end_silence(proxy: Proxy) -> None:
        """Forward new connections again and close the silent ones."""
        proxy.silent = False
        proxy.cut()

    def move(self) -> None:
        """Move discovery to another address, back and again, by reloading the configuration."""
        for address in (
            self.fleet.discovery_server.address,
            self.edge.proxy.address,
            self.fleet.discovery_server.address,
        ):
            self.edge.write(board=address)
            self.send_hangup()
            time.sleep(self.random.choice((0.0, 0.03, 0.2)))

    def send_hangup(self) -> None:
        process = self.edge.process
        if process is not None and process.poll() is None:
            process.send_signal(signal.SIGHUP)

    def start(self) -> None:
        self.log_step("start")
        began = time.monotonic()
        self.edge.start(arguments=self.arguments)
        self.history.starts.append((began, math.inf))

    def wait_ready(self) -> None:
        took_s = self.edge.ready(60.0)
        began, _ = self.history.starts[-1]
        self.history.starts[-1] = (began, began + took_s)
        self.result.ready_s.append(took_s)
        self.log_step(f"ready after {took_s:.2f} s")

    def restart(self) -> None:
        """Restart by SIGTERM and the earliest SIGKILL, SIGKILL alone or during a start, or an upgrade."""
        kind = self.random.choice(
            ("series", "series", "series", "kill", "kill in start", "term in start", "upgrade", "upgrade")
        )
        process = self.edge.process
        assert process is not None
        if kind == "upgrade":
            self.upgrade()
            return
        if kind == "series":
            self.end_planned(process, draw_series(self.random))
        self.log_step(f"SIGKILL, {kind}")
        self.history.kills.append(kill(process, kind == "series"))
        if kind != "series":
            self.drain([self.random.choice(("s-1", "p-1"))])
        if kind.endswith("in start"):
            self.start()
            time.sleep(self.random.uniform(0.05, 1.0))
            if kind == "term in start" and self.edge.process is not None:
                self.end_planned(self.edge.process, [Step(TERM, 0.0)])
            assert self.edge.process is not None
            self.history.kills.append(kill(self.edge.process, kind == "term in start"))
            self.log_step(f"SIGKILL, {kind}")
        if self.random.random() < 0.6:
            self.inject_discovery_fault()
        self.start()
        self.wait_ready()

    def end_planned(self, process: subprocess.Popen[bytes], series: list[Step]) -> None:
        """Send signals that include SIGTERM, and wait for the end at most until SIGKILL may be sent."""
        self.log_step(describe(series))
        deadline_s = KILL_AFTER_S + send_series(process, series, self.on_pause)
        while process.poll() is None and time.monotonic() < deadline_s:
            time.sleep(0.005)
        self.history.late_ends += process.poll() is None

    def on_pause(self, began_s: float, ended_s: float) -> None:
        """Record a pause of the process."""
        self.history.pauses.append((began_s, ended_s))

    def upgrade(self) -> None:
        """Start a new process along with the old one, and end the old one when the new one is ready."""
        if self.random.random() < 0.5:
            self.drain([self.random.choice(("s-1", "p-1"))])
        if self.random.random() < 0.5:
            self.inject_discovery_fault()
        self.log_step("start of a new process")
        began = time.monotonic()
        old_process = self.edge.start_upgrade(arguments=self.arguments)
        self.result.ready_s.append(time.monotonic() - began)
        self.log_step(f"ready after {self.result.ready_s[-1]:.2f} s, SIGTERM to the old one")
        self.end_planned(old_process, draw_series(self.random))
        self.history.kills.append(kill(old_process, True))
        # Events that either process received late are counted from the start of the new one.
        self.history.starts.append((time.monotonic(), time.monotonic()))

    def play(self) -> Result:
        """Run the whole script and return the counts."""
        if self.random.random() < 0.5:
            self.drain([self.random.choice(("s-1", "s-2")), "p-1"][: self.random.choice((1, 2))])
            self.inject_discovery_fault()
        self.start()
        self.wait_ready()
        self.edge.load(8, gap_s=0.02, wait_ms=WAIT_MS, items=OBJECTS)
        client_threads = [
            threading.Thread(target=write_requests, args=(self.edge, WAIT_MS), daemon=True),
            threading.Thread(target=leave_early, args=(self.edge, WAIT_MS, self.seed), daemon=True),
        ]
        for thread in client_threads:
            thread.start()
        crowd = [self.edge.connect() for _ in range(CROWD_CONNECTIONS if self.has_crowd else 0)]
        end = time.monotonic() + RUN_DURATION_S
        steps: list[Callable[[], None]] = [self.restart, self.purge, self.purge, self.inject_member_fault]
        steps += [self.inject_discovery_fault, self.member_comes_and_goes, self.inject_machine_fault]
        self.random.shuffle(steps)
        for step in steps:
            time.sleep(self.random.uniform(0.1, 0.6))
            step()
        time.sleep(max(0.5, end - time.monotonic()))
        for sock in crowd:
            if sock is not None:
                sock.close()
        self.edge.stop()
        for thread in client_threads:
            thread.join()
        if self.edge.process is not None and self.edge.process.poll() is not None:
            self.result.counts.crashes += 1
        return count(self.history, self.edge, self.result)

    def inject_member_fault(self) -> None:
        """Make a member hang or reset its connections for a random time."""
        name = self.random.choice(("s-1", "s-2", "p-1", "p-2"))
        affected, action = self.random.choice(((self.hanging, "hangs"), (self.resetting, "resets")))
        affected.add(name)
        self.log_step(f"{name} {action}")
        self.call_later(self.random.choice((0.5, 1.5, 3.0)), lambda: affected.discard(name))

    def inject_machine_fault(self) -> None:
        """Step the wall clock, let system calls fail for a second, or pause the process."""
        kind = self.random.choice(("clock", "calls", "pause", "pause"))
        self.log_step(f"machine: {kind}")
        if kind == "clock":
            self.edge.set_fault_plan(step_s=self.random.choice((30.0, -30.0, 3600.0, -3600.0)))
        elif kind == "calls":
            faults = [
                {"call": call, "errno": self.random.choice(names), "part": part}
                for call, part, names in FAULTY_CALLS
            ]
            self.edge.set_fault_plan(seed=self.seed, short=0.1, faults=faults)
            self.call_later(1.0, self.edge.set_fault_plan)
        elif kind == "pause":
            self.pause(draw_pause(self.random))

    def pause(self, plan: PausePlan) -> None:
        """Pause the process once or twice in a row.

        During the pause, discovery events and later a heartbeat arrive, and each client pipelines requests.
        """
        self.log_step(f"pause {plan}")
        clients = [PipelinedRequests(self.edge, WAIT_MS) for _ in range(CLIENTS_IN_PAUSE)]
        for is_second in range(1 + plan.is_double):
            self.edge.signal(signal.SIGSTOP)
            began = time.monotonic()
            if not is_second:
                self.drain(["p-2"])
                self.purge()
            for client in clients:
                client.send_one()
            time.sleep(plan.length_s - plan.last_bytes_s)
            for client in clients:
                client.send_one()
            heartbeat(self.edge)
            time.sleep(max(0.0, began + plan.length_s - time.monotonic()))
            self.edge.signal(signal.SIGCONT)
            self.on_pause(began, time.monotonic())
            time.sleep(plan.between_s if plan.is_double else 0.0)
        self.edge.clients += [client.read_answers() for client in clients]  # joined at the end

    def member_comes_and_goes(self) -> None:
        """Drain and remove a cache, then return it with the same name and address."""
        name = self.random.choice(("s-1", "s-2"))
        self.drain([name])
        time.sleep(0.4)
        self.drain([name], "Gone")
        time.sleep(0.4)
        self.return_member(name)

    def close(self) -> None:
        for timer in self.timers:
            timer.cancel()
        self.edge.close()


def play(seed: int, planted: str = "") -> Result:
    """Play one run."""
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, Path(folder), planted)
        try:
            return soak.play()
        finally:
            soak.close()


@click.command()
@click.option("--seeds", default="1-50", help="FROM-TO")
@click.option("--beside", default=2, help="Number of concurrent runs.")
@click.option("--planted", default="", help="Name of a planted fault.")
def main(seeds: str, beside: int, planted: str) -> None:
    """Play the runs; print those that broke a rule, and the sums of all counts."""
    first, _, last = seeds.partition("-")
    numbers = range(int(first), int(last or first) + 1)
    results = []
    with ThreadPoolExecutor(beside) as pool:
        for result in pool.map(lambda seed: play(seed, planted), numbers):
            results.append(result)
            if result.counts.broken():
                click.echo(f"seed={result.seed} {result.counts.line()}")
                click.echo("\n".join(f"  {line}" for line in [*result.script, *result.notes]))
    click.echo(closing_line(results))
    sys.exit(1 if any(result.counts.broken() for result in results) else 0)


if __name__ == "__main__":
    main()
