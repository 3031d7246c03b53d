"""Starts the processes of a scale run, sends what the fleet hears, plays the script, collects the figures."""

from __future__ import annotations

import heapq
import json
import os
import queue
import secrets
import shutil
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

from lupintack.clock import now_us
from lupintack.scale import hollow_messages as messages
from lupintack.scale.hollow_plan import FleetSize, plan_budgets, plan_regions, plan_routers, plan_voters
from lupintack.scale.report import CutTime, DownKind, Downtime, History, result_line
from lupintack.scale.resources import Processes
from lupintack.scale.script import Fault, FaultKind, Script, select
from lupintack.standins import deployment
from lupintack.standins.net import free_ports

MODULES = "lupintack.scale"
SECOND_US = 1_000_000
DAY_S = 86_400
SAMPLE_US = 1_000_000  # between two looks at the memory of all processes
MIN_SETTLE_S = 90.0  # for all to join and agree before the measurement
SETTLE_PER_ROUTER_S = 0.15
FINISH_S = 120.0  # for all processes to tell what they measured
END_S = 5.0  # for a process to end by itself
CACHES = 630
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class RunError(RuntimeError):
    """A run that broke off; the text says why in one line."""


@dataclass(frozen=True, slots=True)
class Options:
    """What was asked for."""

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


class Child:
    """One process of the run: frames to its standard input, and a thread that reads its replies."""

    def __init__(
        self, module: str, log: Path, replies: queue.Queue[tuple[Child, messages.Reply | None]]
    ) -> None:
        """Start the module; what it replies goes into `replies`, None at its end."""
        self.log = log
        self.status: messages.Status | None = None
        self.finished = False  # it has told what it measured
        with log.open("wb") as errors:
            self.process = subprocess.Popen(
                [sys.executable, "-m", f"{MODULES}.{module}"],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=errors,
            )
        self.replies = replies
        threading.Thread(target=self._read, name=module, daemon=True).start()

    def send(self, message: messages.Command | messages.Publish) -> None:
        """A frame to it; RunError where it has ended."""
        assert self.process.stdin is not None
        try:
            self.process.stdin.write(messages.frame(message))
            self.process.stdin.flush()
        except (OSError, ValueError):
            raise RunError(f"a process has ended: {self.last_words()}") from None

    def last_words(self) -> str:
        """The last line of its errors."""
        lines = self.log.read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else "without a word"

    def end(self, until: float) -> None:
        """Its input ends; by that time (time.monotonic) it has ended, or is killed by its pid."""
        assert self.process.stdin is not None
        try:
            self.process.stdin.close()
        except OSError:
            pass
        try:
            self.process.wait(max(0.0, until - time.monotonic()))
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()

    def _read(self) -> None:
        assert self.process.stdout is not None
        pipe: Any = self.process.stdout
        while (raw := messages.read_frame(pipe)) is not None:
            self.replies.put((self, messages.replies.decode(raw)))
        self.replies.put((self, None))


class Coordinator:
    """One run. `close` ends all that it started, also after an error."""

    def __init__(self, options: Options, ports: Sequence[int] | None = None) -> None:
        """Nothing is started yet; `ports`: for the routers, else free ones are looked for."""
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
        self.addresses: dict[int, str] = {}  # of discovery processes, by their place
        self.real: list[Child] = []
        self.owner: dict[str, Child] = {}
        self.finished: list[messages.Finished] = []
        self.history = History()
        self.agenda: list[tuple[int, int, Callable[[], None]]] = []
        self.counter = 0
        self.cut_numbers: list[int] = []
        self.published = 0
        self.settings_file = self.tmp / "settings.json"

    def run(self) -> dict[str, Any]:
        """The whole run; its line."""
        options, processes = self.options, self.options.processes
        self.start_processes()
        self.settle()
        self.begin()
        self.play()
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
        """End every process that this run has started."""
        until = time.monotonic() + END_S
        children = [*self.hollow, *self.discovery, *self.real]
        for child in children:
            if child.process.stdin is not None and not child.process.stdin.closed:
                try:
                    child.process.stdin.close()
                except OSError:
                    pass
        for child in children:
            child.end(until)
        shutil.rmtree(self.tmp, ignore_errors=True)

    # The start

    def start_processes(self) -> None:
        """Discovery, hollow routers and real ones; the hollow ones wait for `settle`."""
        processes = self.options.processes
        self.discovery = [self._child("hollow_discovery_process", n) for n in range(processes.discovery)]
        self.wait(lambda: len(self.addresses) == len(self.discovery), MIN_SETTLE_S, "discovery to listen")
        addresses = tuple(self.addresses[n] for n in range(len(self.discovery)))
        self._write_settings(0)
        self.hollow = [self._child("hollow_process", n) for n in range(processes.hollow)]
        for number, child in enumerate(self.hollow):
            mine = tuple(one.name for one in self.routers[number :: len(self.hollow)])
            self.owner |= dict.fromkeys(mine, child)
            child.send(self._setup(mine, addresses))
        if processes.real:
            self.real = [self._child("hollow_real_process", 0)]
            self.real[0].send(self._setup(tuple(f"real{n}" for n in range(processes.real)), addresses))

    def _child(self, module: str, number: int) -> Child:
        return Child(module, self.tmp / f"{module}-{number}.log", self.replies)

    def _setup(self, mine: tuple[str, ...], addresses: tuple[str, ...]) -> messages.Setup:
        return messages.Setup(
            self.options.seed, f"scale-{self.options.seed}", self.secret, self.routers, mine,
            tuple(one.name for one in self.voters), self.budgets, addresses, str(self.tmp),
            str(self.settings_file), self.regions,
        )  # fmt: skip

    def settle(self) -> None:
        """Start all routers, and wait until they agree on who is there and who allocates."""
        began = now_us()
        for number, router in enumerate(self.routers):
            due_us = began + round(number * SECOND_US / self.options.starts_per_s)
            while (left_us := due_us - now_us()) > 0:
                self._hear(left_us / SECOND_US)
            self.owner[router.name].send(messages.Start((router.name,)))
        patience = MIN_SETTLE_S + SETTLE_PER_ROUTER_S * len(self.routers)
        try:
            self.wait(self.agreed, patience, "the routers to agree")
            self.history.settled = True
        except TimeoutError:
            pass  # told in the line: such a run counts as overloaded
        self.history.settle_s = (now_us() - began) / 1e6

    def agreed(self) -> bool:
        """Whether all routers run, count one another, and know who allocates."""
        count = len(self.routers)
        told = [child.status for child in self.hollow if child.status is not None]
        if len(told) < len(self.hollow) or sum(one.joined for one in told) < count:
            return False
        members = count + self.options.processes.real
        counted = {one.least_members for one in told} | {one.most_members for one in told}
        views = {view for one in told for view in one.views}
        watching = sum(one.watching for one in told)
        allocating = any(one.allocators for one in told)
        allocating = allocating and sum(one.region_allocators for one in told) >= len(self.regions)
        return counted == {members} and len(views) == 1 and watching == count and allocating

    # The measurement

    def begin(self) -> None:
        """The measurement begins: counters from zero, and an agenda of all that is to be sent and done."""
        self.history.began_us = now_us()
        for child in self.hollow:
            child.send(messages.Mark())
        self.discovery_cpu = [cpu_s(child.process.pid) for child in self.discovery]
        for fault in self.options.script.fault:
            self._at(fault.at_s, lambda fault=fault: self.inject_fault(fault))  # type: ignore[misc]
        self._repeat(SAMPLE_US, self._sample)
        if self.options.purges_per_s > 0:
            self._repeat(round(SECOND_US / self.options.purges_per_s), self._purge)
        if self.options.changes_per_day > 0:
            self._repeat(round(SECOND_US * DAY_S / self.options.changes_per_day), self._change)

    def play(self) -> None:
        """Do what the agenda says until the run's time is over."""
        end = self.history.began_us + round(self.options.seconds * SECOND_US)
        while (now := now_us()) < end:
            if self.agenda and self.agenda[0][0] <= now:
                heapq.heappop(self.agenda)[2]()
                continue
            due = min(end, self.agenda[0][0]) if self.agenda else end
            self._hear((due - now) / 1e6)

    def finish(self) -> None:
        """The measurement ends; RunError where a process does not tell its figures."""
        self.history.ended_us = now_us()
        self.history.discovery_cpu_s = [
            cpu_s(child.process.pid) - before
            for child, before in zip(self.discovery, self.discovery_cpu, strict=True)
        ]
        for child in self.hollow:
            child.send(messages.Finish())
        try:
            self.wait(
                lambda: len(self.finished) == len(self.hollow), FINISH_S, "the figures of all processes"
            )
        except TimeoutError as error:
            raise RunError(str(error)) from None

    def _at(self, after_s: float, what: Callable[[], None]) -> None:
        """Do this so long after the measurement began."""
        self.counter += 1
        at = self.history.began_us + round(after_s * SECOND_US)
        heapq.heappush(self.agenda, (at, self.counter, what))

    def _repeat(self, interval_us: int, what: Callable[[], None], number: int = 1) -> None:
        """Do this again and again; the times don't shift when one is late."""

        def once() -> None:
            what()
            self._repeat(interval_us, what, number + 1)

        self._at(number * interval_us / SECOND_US, once)

    # What the fleet hears

    def _publish(self, event: dict[str, Any]) -> None:
        raw = json.dumps(event).encode()
        for child in self.discovery:
            child.send(messages.Publish(raw))

    def _purge(self) -> None:
        item = f"{self.random.getrandbits(64):016x}"
        self._publish({"flush": {"asset": item, "ms": int(time.time() * 1000)}})

    def _change(self) -> None:
        """In turn a change of the list, by discovery, and one of the settings, by their file."""
        self.published += 1
        if self.published % 2:
            host = f"c{self.random.randrange(CACHES):03d}"
            told = deployment.host_entry(host, "127.0.0.1:9") | {"born_ms": time.time() * 1000}
            self._publish({"pool": {"whole": False, "seq": self.published, "hosts": [told]}})
            return
        self._write_settings(self.published)
        written = time.time() * 1000
        for child in self.hollow:
            child.send(messages.ChangeSettings(written))

    def _write_settings(self, revision: int) -> None:
        """A platform configuration with all caches; each revision has another bound."""
        dials = {f"c{number:03d}": "127.0.0.1:9" for number in range(CACHES)}
        told = deployment.configuration(dials, "127.0.0.1:9", revision=revision)
        fresh = self.settings_file.with_suffix(".new")
        fresh.write_text(json.dumps(told))
        fresh.replace(self.settings_file)

    # The script

    def inject_fault(self, fault: Fault) -> None:
        """One fault begins; its end is put on the agenda."""
        voters = [one.name for one in self.voters]
        names = select(fault.who, self.routers, voters, self.allocators, self.random)
        since_s = (now_us() - self.history.began_us) / 1e6
        match fault.kind:
            case FaultKind.KILL | FaultKind.RESTART:
                self._each(names, messages.Kill)
            case FaultKind.LEAVE:
                self._each(names, messages.Leave)
            case FaultKind.PAUSE:
                self._each(names, messages.Pause)
            case FaultKind.CUT:
                self._cut(names, fault, since_s)
                return
        if fault.for_s > 0 or fault.kind is FaultKind.RESTART:
            after = messages.Resume if fault.kind is FaultKind.PAUSE else messages.Start
            self._at(since_s + fault.for_s, lambda: self._each(names, after))

    def _cut(self, names: tuple[str, ...], fault: Fault, since_s: float) -> None:
        self.counter += 1
        number, cut = self.counter, CutTime(frozenset(names), now_us())
        self.history.cuts.append(cut)
        self.cut_numbers.append(number)
        for child in self.hollow:
            child.send(messages.Cut(number, names, fault.discovery))

        def heal() -> None:
            cut.until_us = now_us()
            for child in self.hollow:
                child.send(messages.Heal(number))

        if fault.for_s > 0:
            self._at(since_s + fault.for_s, heal)

    def _each(self, names: Iterable[str], kind: Callable[[tuple[str, ...]], messages.Command]) -> None:
        """A command about these routers, to the processes that drive them."""
        wanted = set(names)
        for child in self.hollow:
            mine = tuple(name for name, owner in self.owner.items() if owner is child and name in wanted)
            if mine:
                child.send(kind(mine))

    @property
    def removals(self) -> int:
        """How many members were told to be gone, at all routers together, since the measurement began."""
        return sum(child.status.removals for child in self.hollow if child.status is not None)

    @property
    def allocators(self) -> list[str]:
        """Who is the fleet's allocator, as far as is known: a process tells it twice a second."""
        return [name for child in self.hollow if child.status is not None for name in child.status.allocators]

    # What the processes say

    def wait(self, done: Callable[[], bool], patience_s: float, text: str) -> None:
        """Until this holds; TimeoutError where it does not in that time."""
        until = now_us() + round(patience_s * SECOND_US)
        while not done():
            left = until - now_us()
            if left <= 0:
                raise TimeoutError(f"waited {patience_s:.0f} s for {text}")
            self._hear(min(left / 1e6, 0.5))

    def _hear(self, timeout_s: float) -> None:
        """One reply, or the time's end."""
        try:
            child, reply = self.replies.get(timeout=max(0.0, timeout_s))
        except queue.Empty:
            return
        match reply:
            case None:
                if not child.finished:
                    raise RunError(f"a process has ended: {child.last_words()}")
            case messages.Address(address):
                self.addresses[self.discovery.index(child)] = address
            case messages.Status():
                child.status = reply
            case messages.Finished():
                self.finished.append(reply)
                child.finished = True
            case messages.Happened(kind, name, at_us):
                self._happened(kind, name, at_us)

    def _happened(self, kind: str, name: str, at_us: int) -> None:
        open_one = self.history.open_downtime(name)
        if kind in ("start", "resume"):
            if open_one is not None:
                open_one.until_us = at_us
            return
        if open_one is not None:
            if open_one.kind is not DownKind.PAUSED:
                return  # it has left, and its process ends
            open_one.until_us = at_us
        self.history.downtimes.append(Downtime(name, DownKind(kind), at_us))

    def _sample(self) -> None:
        children = [*self.hollow, *self.discovery, *self.real]
        pids = [os.getpid(), *(child.process.pid for child in children)]
        pids += [pid for child in self.real for pid in children_of(child.process.pid)]
        self.history.rss_most_bytes = max(self.history.rss_most_bytes, sum(map(rss_bytes, pids)))


def rss_bytes(pid: int) -> int:
    """Resident memory of a process; 0 where it has gone."""
    try:
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES
    except OSError:
        return 0


def cpu_s(pid: int) -> float:
    """Processor time of a process; 0 where it has gone."""
    try:
        words = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0.0
    return (int(words[11]) + int(words[12])) / TICKS_PER_S


def children_of(pid: int) -> list[int]:
    """The processes that a process has started."""
    try:
        return [int(word) for word in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]
    except OSError:
        return []
