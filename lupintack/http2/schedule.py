"""Which stream writes next on a connection, and how much: deficit round robin that heeds RFC 9218. No I/O.

Streams stand in eight levels, by their urgency. A level may write its credit, which halves with each level
below, and the most urgent level that has credit and something to write goes first; when none has credit left,
all get theirs anew. An urgent stream so overtakes at its first byte, and still no level waits for good.

Within a level, streams take turns of `QUANTUM` bytes (Shreedhar and Varghese's deficit round robin: what a
short write leaves of a turn is kept for the next). Streams whose client asked for them one after another
(a priority field without `i`, RFC 9218 section 4.2) share one place in the ring, in the order of their ids.
A stream that can't write for want of window leaves the ring until `allow` is called.
"""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

LEVELS = 8
QUANTUM = 16384  # one frame: a tile goes out whole
DEFAULT_URGENCY = 3  # RFC 9218, section 4.1
URGENCY = re.compile(r"[0-7]")


@dataclass(frozen=True, slots=True)
class Priority:
    """How urgent a stream is (0 first), and whether it shares its turn with others."""

    urgency: int = DEFAULT_URGENCY
    shared: bool = True


def parse_priority(text: str, default: Priority) -> Priority:
    """Return the priority of RFC 9218's field; a parameter that can't be read counts as absent.

    Where a client names none, its streams share their turns: section 4 leaves that to the server, and it is
    fairer for bodies that are shown as they come.
    """
    if not text.strip():
        return default
    urgency, shared = default.urgency, False
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name == "u" and URGENCY.fullmatch(value):
            urgency = int(value)
        elif name == "i" and value in ("", "?1", "?0"):
            shared = value != "?0"
    return Priority(urgency, shared)


@dataclass(slots=True, eq=False)
class Flow:
    """One stream's bytes that wait."""

    stream: int
    priority: Priority
    unwritten_bytes: int
    deficit: int = 0
    ready: bool = True


@dataclass(slots=True)
class Level:
    """Streams of one urgency: those that share, in a ring, and those that go one after another."""

    ring: deque[Flow | None] = field(default_factory=deque)  # None: the turn of `queue`
    queue: list[Flow] = field(default_factory=list)
    credit: int = 0
    deficit: int = 0  # of the queue's turn
    turn_not_started: bool = True  # the one at the front has not begun its turn


class Schedule:
    """The streams of one connection that have bytes to write."""

    def __init__(self, quantum: int = QUANTUM) -> None:
        """`quantum`: bytes of a stream's turn."""
        self.quantum = quantum
        self.flows: dict[int, Flow] = {}
        self.levels = [Level() for _ in range(LEVELS)]
        for urgency, level in enumerate(self.levels):
            level.credit = self._credit(urgency)

    def __len__(self) -> int:
        """Return how many streams have bytes to write."""
        return len(self.flows)

    def _credit(self, urgency: int) -> int:
        return self.quantum << (LEVELS - 1 - urgency)

    def unwritten_bytes(self, stream: int) -> int:
        """Return how many of its bytes a stream still has to write."""
        flow = self.flows.get(stream)
        return flow.unwritten_bytes if flow is not None else 0

    def add(self, stream: int, size: int, priority: Priority = Priority()) -> None:  # noqa: B008 - it is frozen
        """Add bytes to write, to a stream that is known or a new one."""
        flow = self.flows.get(stream)
        if flow is not None:
            flow.unwritten_bytes += size
            return
        if size > 0:
            flow = self.flows[stream] = Flow(stream, priority, size)
            self._enqueue(flow)

    def drop(self, stream: int) -> int:
        """Forget a stream; return how many bytes it had left."""
        flow = self.flows.pop(stream, None)
        if flow is None:
            return 0
        if flow.ready:
            self._dequeue(flow)
        return flow.unwritten_bytes

    def resume(self, stream: int) -> bool:
        """Note that a stream has window again; return whether it had none."""
        flow = self.flows.get(stream)
        if flow is None or flow.ready:
            return False
        flow.ready = True
        self._enqueue(flow)
        return True

    def resume_all(self) -> list[int]:
        """Note that all streams may have window again; return those that had none."""
        return [stream for stream in list(self.flows) if self.resume(stream)]

    def take(self, max_bytes: int, window: Callable[[int], int]) -> tuple[int, int] | None:
        """Return the next stream and how many of its bytes it writes now; None where none can.

        At most `max_bytes`. `window` returns what a stream may write; one that may write nothing waits for
        `allow`.
        """
        if max_bytes <= 0:
            return None
        while True:
            level = self._select_level()
            if level is None:
                return None
            flow, is_queue = self._first_flow(level)
            if level.turn_not_started:
                level.turn_not_started = False
                if is_queue:
                    level.deficit += self.quantum
                else:
                    flow.deficit += self.quantum
            window_bytes = window(flow.stream)
            if window_bytes <= 0:
                self._dequeue(flow)
                flow.ready = False
                continue
            credit = level.deficit if is_queue else flow.deficit
            count = min(max_bytes, window_bytes, flow.unwritten_bytes, credit, level.credit)
            flow.unwritten_bytes -= count
            level.credit -= count
            if is_queue:
                level.deficit -= count
            else:
                flow.deficit -= count
            if not flow.unwritten_bytes:
                del self.flows[flow.stream]
                self._dequeue(flow)
            if count == credit and not level.turn_not_started:
                level.ring.rotate(-1)  # its turn is over
                level.turn_not_started = True
            return flow.stream, count

    def _select_level(self) -> Level | None:
        """The most urgent level with something to write and credit; all get credit where none has."""
        first = None
        for level in self.levels:
            if level.ring:
                if level.credit > 0:
                    return level
                first = first or level
        if first is not None:
            for urgency, level in enumerate(self.levels):
                level.credit = self._credit(urgency)
        return first

    def _first_flow(self, level: Level) -> tuple[Flow, bool]:
        flow = level.ring[0]
        return (level.queue[0], True) if flow is None else (flow, False)

    def _enqueue(self, flow: Flow) -> None:
        level = self.levels[flow.priority.urgency]
        flow.deficit = 0
        if flow.priority.shared:
            level.ring.append(flow)
            return
        if not level.queue:
            level.ring.append(None)
            level.deficit = 0
        position = len(level.queue)
        while position and level.queue[position - 1].stream > flow.stream:
            position -= 1
        level.queue.insert(position, flow)

    def _dequeue(self, flow: Flow) -> None:
        level = self.levels[flow.priority.urgency]
        if flow.priority.shared:
            was_first = level.ring[0] is flow
            level.ring.remove(flow)
        else:
            level.queue.remove(flow)
            if level.queue:
                return
            was_first = level.ring[0] is None
            level.ring.remove(None)
        if was_first:
            level.turn_not_started = True


class Fifo(Schedule):
    """The baseline of the measurements: streams in the order in which they came, each to its end."""

    def take(self, max_bytes: int, window: Callable[[int], int]) -> tuple[int, int] | None:
        """Return the first stream that can write, and how many bytes."""
        for flow in self.flows.values():
            count = min(max_bytes, window(flow.stream), flow.unwritten_bytes)
            if count > 0:
                flow.unwritten_bytes -= count
                if not flow.unwritten_bytes:
                    del self.flows[flow.stream]
                return flow.stream, count
        return None

    def _enqueue(self, flow: Flow) -> None:
        """There are no turns."""

    def _dequeue(self, flow: Flow) -> None:
        """There are no turns."""
