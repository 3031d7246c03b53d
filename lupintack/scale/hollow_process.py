"""A process of hollow routers: one thread, one selector over all sockets, a heap of wake times.

Commands arrive as frames on standard input, replies are written to standard output. The process ends when
standard input ends, since its parent has then exited.
"""

from __future__ import annotations

import gc
import heapq
import logging
import os
import selectors
import signal
import sys
import time
from collections import Counter, deque
from collections.abc import Callable

from lupintack import config
from lupintack.clock import now_us
from lupintack.core.table_updates import TableChange as ListChange
from lupintack.membership.changes import MembershipChange
from lupintack.scale import hollow_messages as messages
from lupintack.scale.hollow_network import Network
from lupintack.scale.hollow_router import HollowRouter
from lupintack.settings import changes

LOG = logging.getLogger("hollow")
READ_BYTES = 1 << 16
MAX_WAIT_US = 200_000
STATUS_US = 500_000
MIN_WAKE_INTERVAL_US = 500  # between two wake-ups of a router without ready sockets
MAX_JOINING = 2  # concurrent joins in one process
JOIN_TIMEOUT_US = 5_000_000  # after this the next routers start, even if these have not joined
LEAVE_GRACE_US = 1_000_000  # between the announcement of a leave and the end
MAX_REPORTED_VIEWS = 4


class HollowProcess:
    """The routers of one process and their event loop."""

    def __init__(self, setup: messages.Setup, frames: messages.FrameBuffer) -> None:
        """`frames`: bytes read from standard input after the setup."""
        self.setup, self.frames = setup, frames
        self.selector = selectors.DefaultSelector()
        self.network = Network({plan.name: plan.port for plan in setup.routers})
        self.plans = {plan.name: plan for plan in setup.routers}
        self.routers: dict[str, HollowRouter] = {}
        self.start_queue: deque[str] = deque()
        self.joining: dict[str, int] = {}  # start times in microseconds
        self.started: set[str] = set()
        self.heap: list[tuple[int, int, HollowRouter]] = []
        self.timers: list[tuple[int, int, Callable[[], None]]] = []
        self.counter = 0
        self.pending_settings_reads: deque[tuple[str, float]] = deque()
        self.settings: config.Config | None = None
        self.reports: list[messages.RouterReport] = []
        self.removals: list[messages.Removal] = []
        self.purge_ms: Counter[int] = Counter()
        self.change_ms: Counter[int] = Counter()
        self.status_us = 0
        self.loop_cpu_ns = 0
        self.measuring = False
        self.max_turn_us = self.max_turn_cpu_ns = 0
        self.finished = False

    # Event loop

    def run(self) -> None:
        """Run until a Finish command or the end of standard input."""
        os.set_blocking(sys.stdin.fileno(), False)
        self.selector.register(sys.stdin, selectors.EVENT_READ, self.on_command)
        while not self.finished:
            wait_us = max(0, min(self._next_wake_us() - now_us(), MAX_WAIT_US))
            ready = self.selector.select(0 if self.pending_settings_reads else wait_us / 1e6)
            began_us, began_cpu_ns = now_us(), time.thread_time_ns()
            for key, _ in ready:
                key.data()
            self._wake_routers()
            self._run_timers()
            self._start_queued()
            self._read_settings()
            if now_us() >= self.status_us:
                self.status_us = now_us() + STATUS_US
                self.reply(self.status())
            if self.measuring:
                self.max_turn_us = max(self.max_turn_us, now_us() - began_us)
                self.max_turn_cpu_ns = max(self.max_turn_cpu_ns, time.thread_time_ns() - began_cpu_ns)

    def _next_wake_us(self) -> int:
        times = [self.status_us]
        if self.heap:
            times.append(self.heap[0][0])
        if self.timers:
            times.append(self.timers[0][0])
        return min(times)

    def _wake_routers(self) -> None:
        now = now_us()
        while self.heap and self.heap[0][0] <= now:
            at, _, router = heapq.heappop(self.heap)
            if at == router.scheduled_us and not router.paused and not router.ended:
                router.on_wake(now_us())

    def _run_timers(self) -> None:
        while self.timers and self.timers[0][0] <= now_us():
            heapq.heappop(self.timers)[2]()

    def schedule(self, router: HollowRouter) -> None:
        """Schedule a router's next wake-up, if it is earlier than the scheduled one."""
        if router.paused or router.ended:
            return
        at = max(router.wake_us, now_us() + MIN_WAKE_INTERVAL_US)
        if at < router.scheduled_us:
            router.scheduled_us = at
            self.counter += 1
            heapq.heappush(self.heap, (at, self.counter, router))

    def call_later(self, after_us: int, action: Callable[[], None]) -> None:
        """Call `action` once after a delay."""
        self.counter += 1
        heapq.heappush(self.timers, (now_us() + after_us, self.counter, action))

    def reply(self, message: messages.Reply) -> None:
        """Send a frame to the coordinator."""
        sys.stdout.buffer.write(messages.encode_frame(message))
        sys.stdout.buffer.flush()

    # Commands

    def on_command(self) -> None:
        """Read and execute commands of the coordinator."""
        try:
            data = os.read(sys.stdin.fileno(), READ_BYTES)
        except BlockingIOError:
            return
        if not data:
            self.finished = True
            return
        for raw in self.frames.feed(data):
            self.execute(messages.command_decoder.decode(raw))

    def execute(self, command: messages.Command | messages.Publish) -> None:
        """Execute one command."""
        match command:
            case messages.Start(names):
                self.start_queue += names
            case messages.Kill(names):
                self._for_each(names, self.kill)
            case messages.Leave(names):
                self._for_each(names, self.leave)
            case messages.Pause(names):
                self._for_each(names, HollowRouter.pause, "pause")
            case messages.Resume(names):
                self._for_each(names, HollowRouter.resume, "resume")
            case messages.Cut(number, names, discovery):
                self.network.cut(number, names, discovery)
            case messages.Heal(number):
                self.network.heal(number)
                for router in self.routers.values():
                    if not router.paused:
                        router.discovery.on_reachability_change()
            case messages.ChangeSettings(written):
                self.pending_settings_reads += [(name, written) for name in self.routers]
            case messages.StartMeasurement():
                self.start_measurement()
            case messages.Finish():
                self.finish()
            case _:
                LOG.error("unknown command %r", command)

    def _for_each(
        self, names: tuple[str, ...], action: Callable[[HollowRouter], None], kind: str = ""
    ) -> None:
        for name in names:
            router = self.routers.get(name)
            if router is not None:
                action(router)
                if kind:
                    self.reply(messages.LifecycleEvent(kind, name, now_us()))

    def kill(self, router: HollowRouter) -> None:
        """End a router without notice."""
        name = router.plan.name
        self.reports.append(router.report())
        self.joining.pop(name, None)
        del self.routers[name]
        at = now_us()
        router.kill()
        self.reply(messages.LifecycleEvent("kill", name, at))

    def leave(self, router: HollowRouter) -> None:
        """Make a router announce that it leaves, and end it later."""
        self.reply(messages.LifecycleEvent("leave", router.plan.name, now_us()))
        router.leave()
        self.call_later(LEAVE_GRACE_US, lambda: self.kill(router) if not router.ended else None)

    def start_measurement(self) -> None:
        """Reset the results and start the measurement."""
        self.call_later(0, self.start_turn_measurement)
        gc.freeze()  # a collection over all routers' tables would pause every router
        self.purge_ms.clear()
        self.change_ms.clear()
        self.removals.clear()
        self.reports.clear()
        self.loop_cpu_ns = time.thread_time_ns()
        for router in self.routers.values():
            router.start_measurement()

    def start_turn_measurement(self) -> None:
        """Measure turns from the next one on: starting the measurement is slow with large tables."""
        self.measuring = True

    def finish(self) -> None:
        """Send the results, and end."""
        self.reports += [router.report() for router in self.routers.values()]
        faults = sum(r.fleet.counters["faults"] + r.budgets.counts["faults"] for r in self.routers.values())
        self.reply(
            messages.Finished(
                tuple(self.reports), tuple(self.removals), dict(self.purge_ms), dict(self.change_ms), faults,
                time.thread_time_ns() - self.loop_cpu_ns, self.max_turn_us, self.max_turn_cpu_ns,
            )
        )  # fmt: skip
        self.finished = True

    # Starts

    def _start_queued(self) -> None:
        for name, since in list(self.joining.items()):
            if self.routers[name].joined or now_us() - since > JOIN_TIMEOUT_US:
                del self.joining[name]
        while self.start_queue and len(self.joining) < MAX_JOINING:
            name = self.start_queue.popleft()
            if name not in self.routers:
                self.start(name)

    def start(self, name: str) -> None:
        """Start a router under its name and port."""
        is_first = name == self.setup.routers[0].name and name not in self.started
        self.started.add(name)
        router = HollowRouter(
            self.plans[name], self.setup, is_first, self.network, self.selector, self.on_membership_change,
            self.on_list_change, self.schedule,
            max((router.discovery.client.last_revision for router in self.routers.values()), default=1),
        )  # fmt: skip
        if router.fleet.address != self.plans[name].address:
            LOG.error("port %d of %s is in use: cuts do not apply to it", self.plans[name].port, name)
        self.routers[name] = router
        self.joining[name] = now_us()
        router.start()
        self.schedule(router)
        self.reply(messages.LifecycleEvent("start", name, now_us()))

    # Changes seen by the routers

    def on_membership_change(self, router: HollowRouter, change: MembershipChange) -> None:
        """Record the removals that a router reports."""
        if change.removed:
            self.removals.append(messages.Removal(now_us(), router.plan.name, change.removed))

    def on_list_change(self, change: ListChange) -> None:
        """Record the delay of a purge or list change that a router has applied."""
        now_ms = time.time() * 1000
        if change.purge is not None and change.purge.unix_ms is not None:
            self.purge_ms[max(0, round(now_ms - change.purge.unix_ms))] += 1
        for _, host in change.endpoints:
            if host.born_unix_ms > 0:
                self.change_ms[max(0, round(now_ms - host.born_unix_ms))] += 1

    def _read_settings(self) -> None:
        """Read the settings file for one router; the others follow in later turns."""
        if not self.pending_settings_reads:
            return
        name, written = self.pending_settings_reads.popleft()
        router = self.routers.get(name)
        if router is None or router.paused:
            return
        router.timed("settings", lambda: self._load_settings(name))
        self.change_ms[max(0, round(time.time() * 1000 - written))] += 1

    def _load_settings(self, name: str) -> None:
        """Read and check the file as on SIGHUP; all routers share one copy of the content."""
        previous = self.settings
        self.settings = config.load({"EDGE_CONFIG": self.setup.settings_file, "EDGE_NAME": name})
        if previous is not None and changes.first_missing_key(previous.raw, self.settings.raw):
            LOG.error("the settings file lacks settings of the previous one")

    # Status

    def status(self) -> messages.Status:
        """Return the state of the routers."""
        now = now_us()
        views = [router.fleet.membership.view for router in self.routers.values()]
        members = [len(view.names) for view in views]
        return messages.Status(
            len(self.routers),
            len(self.start_queue) + len(self.joining),
            sum(router.joined for router in self.routers.values()),
            min(members, default=0),
            max(members, default=0),
            tuple(sorted({view.id for view in views})[:MAX_REPORTED_VIEWS]),
            sum(router.discovery.bytes_in > 0 for router in self.routers.values()),
            tuple(name for name, router in self.routers.items() if router.allocates(now)),
            sum(router.allocates_region(now) for router in self.routers.values()),
            sum(len(removal.names) for removal in self.removals),
            sum(router.max_tick_delay_us > messages.MAX_TICK_DELAY_US for router in self.routers.values()),
        )


def main() -> None:
    """Run the routers of the setup, which is the first frame on standard input."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the coordinator ends this process
    logging.basicConfig(level=logging.WARNING)
    frames = messages.FrameBuffer()
    initial_frames: list[bytes] = []
    while not initial_frames:
        data = os.read(sys.stdin.fileno(), READ_BYTES)
        if not data:
            return
        initial_frames = frames.feed(data)
    setup = messages.command_decoder.decode(initial_frames[0])
    assert isinstance(setup, messages.Setup)
    process = HollowProcess(setup, frames)
    for raw in initial_frames[1:]:
        process.execute(messages.command_decoder.decode(raw))
    process.run()


if __name__ == "__main__":
    main()
