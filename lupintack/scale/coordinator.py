"""Starts the processes of a scale run, publishes events, injects the script's faults, collects results."""

from __future__ import annotations

import heapq
import json
import os
import queue
import secrets
import shutil
import tempfile
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

from lupintack.clock import now_us
from lupintack.scale import hollow_messages as messages
from lupintack.scale.hollow_plan import FleetSize, plan_budgets, plan_regions, plan_routers, plan_voters
from lupintack.scale.process_stats import children_of, cpu_s, rss_bytes
from lupintack.scale.report import CutTime, Downtime, DowntimeKind, History, result_line
from lupintack.scale.resources import Processes
from lupintack.scale.run_process import Child, RunError
from lupintack.scale.script import Fault, FaultKind, Script, select
from lupintack.standins import deployment
from lupintack.standins.net import free_ports

SECOND_US = 1_000_000
DAY_S = 86_400
SAMPLE_INTERVAL_US = 1_000_000  # between two samples of the memory of all processes
SETTLE_TIMEOUT_S = 90.0  # for all routers to join and converge before the measurement
SETTLE_TIMEOUT_PER_ROUTER_S = 0.15
FINISH_TIMEOUT_S = 120.0  # for all processes to send their results
STOP_TIMEOUT_S = 5.0  # for a process to exit before it is killed
CACHES = 630


@dataclass(frozen=True, slots=True)
class Options:
    """Options of a run."""

    size: FleetSize
    processes: Processes
    seconds: float
    seed: int
    script: Script
    site_budgets: bool = False
    two_levels: bool = False
    purges_per_s: float = 25.0
    changes_per_day: float = 11_000.0
    starts_per_s: float = 20.0


class Coordinator:
    """Controls one run. `close` ends all processes of the run, also after an error."""

    def __init__(self, options: Options, ports: Sequence[int] | None = None) -> None:
        """Plan the fleet without starting it; `ports`: of the routers, free ports by default."""
        self.options = options
        self.secret = secrets.token_hex(8)
        self.discovery_cpu: list[float] = []
        self.routers = plan_routers(options.size, ports or free_ports(options.size.routers))
        self.voters = plan_voters(self.routers)
        self.budgets = plan_budgets(self.routers, options.site_budgets)
        self.regions = plan_regions(self.routers) if options.two_levels else ()
        self.random = Random(options.seed)
        self.tmp = Path(tempfile.mkdtemp(prefix="lupintack-scale-"))
        self.replies: queue.Queue[tuple[Child, messages.Reply | None]] = queue.Queue()
        self.hollow: list[Child] = []
        self.discovery: list[Child] = []
        self.addresses: dict[int, str] = {}  # of discovery processes, by their index
        self.real: list[Child] = []
        self.owners: dict[str, Child] = {}
        self.finished: list[messages.Finished] = []
        self.history = History()
        self.timers: list[tuple[int, int, Callable[[], None]]] = []
        self.counter = 0
        self.cut_ids: list[int] = []
        self.change_count = 0
        self.settings_file = self.tmp / "settings.json"

    def run(self) -> dict[str, Any]:
        """Execute the whole run and return its result line."""
        options, processes = self.options, self.options.processes
        self.start_processes()
        self.settle()
        self.start_measurement()
        self.run_timers()
        self.finish()
        return result_line(
            options.size,
            processes.total,
            processes.real,
            2 if self.regions else 1,
            self.budgets,
            self.history,
            self.finished,
        )

    def close(self) -> None:
        """End every process of this run."""
        until = time.monotonic() + STOP_TIMEOUT_S
        children = [*self.hollow, *self.discovery, *self.real]
        for child in children:
            if child.process.stdin is not None and not child.process.stdin.closed:
                try:
                    child.process.stdin.close()
                except OSError:
                    pass
        for child in children:
            child.stop(until)
        shutil.rmtree(self.tmp, ignore_errors=True)

    # Start

    def start_processes(self) -> None:
        """Start the processes of discovery, hollow and real routers; `settle` starts the hollow routers."""
        processes = self.options.processes
        self.discovery = [self._child("hollow_discovery_process", n) for n in range(processes.discovery)]
        self.wait(lambda: len(self.addresses) == len(self.discovery), SETTLE_TIMEOUT_S, "discovery to listen")
        addresses = tuple(self.addresses[n] for n in range(len(self.discovery)))
        self._write_settings(0)
        self.hollow = [self._child("hollow_process", n) for n in range(processes.hollow)]
        for number, child in enumerate(self.hollow):
            assigned = tuple(router.name for router in self.routers[number :: len(self.hollow)])
            self.owners |= dict.fromkeys(assigned, child)
            child.send(self._setup(assigned, addresses))
        if processes.real:
            self.real = [self._child("hollow_real_process", 0)]
            self.real[0].send(self._setup(tuple(f"real{n}" for n in range(processes.real)), addresses))

    def _child(self, module: str, number: int) -> Child:
        return Child(module, self.tmp / f"{module}-{number}.log", self.replies)

    def _setup(self, assigned: tuple[str, ...], addresses: tuple[str, ...]) -> messages.Setup:
        return messages.Setup(
            self.options.seed, f"scale-{self.options.seed}", self.secret, self.routers, assigned,
            tuple(router.name for router in self.voters), self.budgets, addresses, str(self.tmp),
            str(self.settings_file), self.regions,
        )  # fmt: skip

    def settle(self) -> None:
        """Start all routers, and wait until their views agree and allocators are elected."""
        began = now_us()
        for number, router in enumerate(self.routers):
            due_us = began + round(number * SECOND_US / self.options.starts_per_s)
            while (left_us := due_us - now_us()) > 0:
                self._handle_reply(left_us / SECOND_US)
            self.owners[router.name].send(messages.Start((router.name,)))
        timeout_s = SETTLE_TIMEOUT_S + SETTLE_TIMEOUT_PER_ROUTER_S * len(self.routers)
        try:
            self.wait(self.has_converged, timeout_s, "the routers to converge")
            self.history.settled = True
        except TimeoutError:
            pass  # the result line reports it: such a run counts as overloaded
        self.history.settle_s = (now_us() - began) / 1e6

    def has_converged(self) -> bool:
        """Return whether all routers run with one view of all members, and allocators are elected."""
        count = len(self.routers)
        statuses = [child.status for child in self.hollow if child.status is not None]
        if len(statuses) < len(self.hollow) or sum(s.joined for s in statuses) < count:
            return False
        members = count + self.options.processes.real
        member_counts = {s.min_members for s in statuses} | {s.max_members for s in statuses}
        views = {view for s in statuses for view in s.views}
        watching = sum(s.watching for s in statuses)
        has_allocators = any(s.allocators for s in statuses)
        has_allocators = has_allocators and sum(s.region_allocators for s in statuses) >= len(self.regions)
        return member_counts == {members} and len(views) == 1 and watching == count and has_allocators

    # Measurement

    def start_measurement(self) -> None:
        """Reset the counters, and schedule the faults, purges, changes and memory samples."""
        self.history.began_us = now_us()
        for child in self.hollow:
            child.send(messages.StartMeasurement())
        self.discovery_cpu = [cpu_s(child.process.pid) for child in self.discovery]
        for fault in self.options.script.fault:
            self._call_at(fault.at_s, lambda fault=fault: self.inject_fault(fault))  # type: ignore[misc]
        self._call_repeatedly(SAMPLE_INTERVAL_US, self._sample)
        if self.options.purges_per_s > 0:
            self._call_repeatedly(round(SECOND_US / self.options.purges_per_s), self._purge)
        if self.options.changes_per_day > 0:
            self._call_repeatedly(round(SECOND_US * DAY_S / self.options.changes_per_day), self._change)

    def run_timers(self) -> None:
        """Run the scheduled timers until the end of the measurement."""
        end_us = self.history.began_us + round(self.options.seconds * SECOND_US)
        while (now := now_us()) < end_us:
            if self.timers and self.timers[0][0] <= now:
                heapq.heappop(self.timers)[2]()
                continue
            wake_at = min(end_us, self.timers[0][0]) if self.timers else end_us
            self._handle_reply((wake_at - now) / 1e6)

    def finish(self) -> None:
        """End the measurement and collect the results; raise RunError if a process does not send them."""
        self.history.ended_us = now_us()
        self.history.discovery_cpu_s = [
            cpu_s(child.process.pid) - before
            for child, before in zip(self.discovery, self.discovery_cpu, strict=True)
        ]
        for child in self.hollow:
            child.send(messages.Finish())
        try:
            self.wait(
                lambda: len(self.finished) == len(self.hollow), FINISH_TIMEOUT_S, "results of all processes"
            )
        except TimeoutError as error:
            raise RunError(str(error)) from None

    def _call_at(self, after_s: float, action: Callable[[], None]) -> None:
        """Call `action` `after_s` after the start of the measurement."""
        self.counter += 1
        at = self.history.began_us + round(after_s * SECOND_US)
        heapq.heappush(self.timers, (at, self.counter, action))

    def _call_repeatedly(self, interval_us: int, action: Callable[[], None], number: int = 1) -> None:
        """Call `action` at multiples of `interval_us`; a late call does not shift the later ones."""

        def run_once() -> None:
            action()
            self._call_repeatedly(interval_us, action, number + 1)

        self._call_at(number * interval_us / SECOND_US, run_once)

    # Published events

    def _publish(self, event: dict[str, Any]) -> None:
        raw = json.dumps(event).encode()
        for child in self.discovery:
            child.send(messages.Publish(raw))

    def _purge(self) -> None:
        item = f"{self.random.getrandbits(64):016x}"
        self._publish({"flush": {"asset": item, "ms": int(time.time() * 1000)}})

    def _change(self) -> None:
        """Alternate between a list change, by discovery, and a change of the settings file."""
        self.change_count += 1
        if self.change_count % 2:
            host = f"c{self.random.randrange(CACHES):03d}"
            host_line = deployment.host_entry(host, "127.0.0.1:9") | {"born_ms": time.time() * 1000}
            self._publish({"pool": {"whole": False, "seq": self.change_count, "hosts": [host_line]}})
            return
        self._write_settings(self.change_count)
        written = time.time() * 1000
        for child in self.hollow:
            child.send(messages.ChangeSettings(written))

    def _write_settings(self, revision: int) -> None:
        """Write a platform configuration with all caches; a limit differs in each revision."""
        addresses = {f"c{number:03d}": "127.0.0.1:9" for number in range(CACHES)}
        configuration = deployment.configuration(addresses, "127.0.0.1:9", revision=revision)
        temporary_file = self.settings_file.with_suffix(".new")
        temporary_file.write_text(json.dumps(configuration))
        temporary_file.replace(self.settings_file)

    # Faults of the script

    def inject_fault(self, fault: Fault) -> None:
        """Begin a fault and schedule its end."""
        voters = [router.name for router in self.voters]
        names = select(fault.who, self.routers, voters, self.allocators, self.random)
        since_s = (now_us() - self.history.began_us) / 1e6
        match fault.kind:
            case FaultKind.KILL | FaultKind.RESTART:
                self._send_each(names, messages.Kill)
            case FaultKind.LEAVE:
                self._send_each(names, messages.Leave)
            case FaultKind.PAUSE:
                self._send_each(names, messages.Pause)
            case FaultKind.CUT:
                self._cut(names, fault, since_s)
                return
        if fault.for_s > 0 or fault.kind is FaultKind.RESTART:
            after = messages.Resume if fault.kind is FaultKind.PAUSE else messages.Start
            self._call_at(since_s + fault.for_s, lambda: self._send_each(names, after))

    def _cut(self, names: tuple[str, ...], fault: Fault, since_s: float) -> None:
        self.counter += 1
        number, cut = self.counter, CutTime(frozenset(names), now_us())
        self.history.cuts.append(cut)
        self.cut_ids.append(number)
        for child in self.hollow:
            child.send(messages.Cut(number, names, fault.discovery))

        def heal() -> None:
            cut.until_us = now_us()
            for child in self.hollow:
                child.send(messages.Heal(number))

        if fault.for_s > 0:
            self._call_at(since_s + fault.for_s, heal)

    def _send_each(self, names: Iterable[str], kind: Callable[[tuple[str, ...]], messages.Command]) -> None:
        """Send a command for these routers to the processes that run them."""
        selected = set(names)
        for child in self.hollow:
            assigned = tuple(n for n, owner in self.owners.items() if owner is child and n in selected)
            if assigned:
                child.send(kind(assigned))

    @property
    def removals(self) -> int:
        """The number of removals reported by all routers since the measurement began."""
        return sum(child.status.removals for child in self.hollow if child.status is not None)

    @property
    def allocators(self) -> list[str]:
        """The fleet's allocators by the latest status of each process (two a second)."""
        return [name for child in self.hollow if child.status is not None for name in child.status.allocators]

    # Replies of the processes

    def wait(self, done: Callable[[], bool], timeout_s: float, text: str) -> None:
        """Handle replies until `done` returns True; raise TimeoutError after `timeout_s`."""
        until = now_us() + round(timeout_s * SECOND_US)
        while not done():
            left = until - now_us()
            if left <= 0:
                raise TimeoutError(f"waited {timeout_s:.0f} s for {text}")
            self._handle_reply(min(left / 1e6, 0.5))

    def _handle_reply(self, timeout_s: float) -> None:
        """Wait up to `timeout_s` for a reply and handle it."""
        try:
            child, reply = self.replies.get(timeout=max(0.0, timeout_s))
        except queue.Empty:
            return
        match reply:
            case None:
                if not child.finished:
                    raise RunError(f"a process has ended: {child.last_error_line()}")
            case messages.Address(address):
                self.addresses[self.discovery.index(child)] = address
            case messages.Status():
                child.status = reply
            case messages.Finished():
                self.finished.append(reply)
                child.finished = True
            case messages.LifecycleEvent(kind, name, at_us):
                self._record_lifecycle_event(kind, name, at_us)

    def _record_lifecycle_event(self, kind: str, name: str, at_us: int) -> None:
        downtime = self.history.open_downtime(name)
        if kind in ("start", "resume"):
            if downtime is not None:
                downtime.until_us = at_us
            return
        if downtime is not None:
            if downtime.kind is not DowntimeKind.PAUSED:
                return  # the router has left before and now ends
            downtime.until_us = at_us
        self.history.downtimes.append(Downtime(name, DowntimeKind(kind), at_us))

    def _sample(self) -> None:
        children = [*self.hollow, *self.discovery, *self.real]
        pids = [os.getpid(), *(child.process.pid for child in children)]
        pids += [pid for child in self.real for pid in children_of(child.process.pid)]
        self.history.max_rss_bytes = max(self.history.max_rss_bytes, sum(map(rss_bytes, pids)))
