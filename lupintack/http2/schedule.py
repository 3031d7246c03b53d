"""Selects the next stream to write and the number of its bytes: deficit round robin with RFC 9218. No I/O.

Streams are grouped in eight levels by urgency. A level may write its credit, which halves with each less
urgent level. The most urgent level with credit and something to write is served first; when none has credit
left, the credit of all levels is renewed. So an urgent stream overtakes at its first byte, and no level
starves.

Within a level, streams take turns of `QUANTUM` bytes (Shreedhar and Varghese's deficit round robin: the
unused part of a turn is kept for the next). Streams whose client requests sequential delivery (a priority
field without `i`, RFC 9218 section 4.2) share one place in the ring, in the order of their ids. A stream
without window leaves the ring until `resume` is called.
"""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

LEVELS = 8
QUANTUM = 16384  # one frame: a tile is written in one turn
DEFAULT_URGENCY = 3  # RFC 9218, section 4.1
URGENCY = re.compile(r"[0-7]")


@dataclass(frozen=True, slots=True)
class Priority:
    """Urgency of a stream (0 is most urgent), and whether it shares bandwidth with others of its level."""

    urgency: int = DEFAULT_URGENCY
    incremental: bool = True


def parse_priority(text: str, default: Priority) -> Priority:
    """Return the priority in RFC 9218's field; an invalid parameter is ignored.

    Without a field, `default` applies. Streams share their turns by default: section 4 leaves that to the
    server, and it is fairer for bodies that are displayed as they arrive.
    """
    if not text.strip():
        return default
    urgency, incremental = default.urgency, False
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name == "u" and URGENCY.fullmatch(value):
            urgency = int(value)
        elif name == "i" and value in ("", "?1", "?0"):
            incremental = value != "?0"
    return Priority(urgency, incremental)


@dataclass(slots=True, eq=False)
class Flow:
    """Unwritten bytes of one stream."""

    stream: int
    priority: Priority
    unwritten_bytes: int
    deficit: int = 0
    ready: bool = True


@dataclass(slots=True)
class Level:
    """Streams of one urgency: those that share bandwidth in a ring, sequential ones in a queue."""

    ring: deque[Flow | None] = field(default_factory=deque)  # None: the place of `queue`
    queue: list[Flow] = field(default_factory=list)
    credit: int = 0
    deficit: int = 0  # of the queue
    turn_not_started: bool = True  # of the first in the ring


class Schedule:
    """Streams of one connection that have bytes to write."""

    def __init__(self, quantum: int = QUANTUM) -> None:
        """`quantum`: bytes per turn of a stream."""
        self.quantum = quantum
        self.flows: dict[int, Flow] = {}
        self.levels = [Level() for _ in range(LEVELS)]
        for urgency, level in enumerate(self.levels):
            level.credit = self._credit(urgency)

    def __len__(self) -> int:
        """Return the number of streams that have bytes to write."""
        return len(self.flows)

    def _credit(self, urgency: int) -> int:
        return self.quantum << (LEVELS - 1 - urgency)

    def unwritten_bytes(self, stream: int) -> int:
        """Return the number of unwritten bytes of a stream."""
        flow = self.flows.get(stream)
        return flow.unwritten_bytes if flow is not None else 0

    def add(self, stream: int, size: int, priority: Priority = Priority()) -> None:  # noqa: B008 - it is frozen
        """Add bytes to a stream; a new stream is added with its priority."""
        flow = self.flows.get(stream)
        if flow is not None:
            flow.unwritten_bytes += size
            return
        if size > 0:
            flow = self.flows[stream] = Flow(stream, priority, size)
            self._enqueue(flow)

    def drop(self, stream: int) -> int:
        """Remove a stream; return the number of its unwritten bytes."""
        flow = self.flows.pop(stream, None)
        if flow is None:
            return 0
        if flow.ready:
            self._dequeue(flow)
        return flow.unwritten_bytes

    def resume(self, stream: int) -> bool:
        """Schedule a stream that has window again; return whether it had none."""
        flow = self.flows.get(stream)
        if flow is None or flow.ready:
            return False
        flow.ready = True
        self._enqueue(flow)
        return True

    def resume_all(self) -> list[int]:
        """Schedule all streams, as they may have window again; return those that had none."""
        return [stream for stream in list(self.flows) if self.resume(stream)]

    def take(self, max_bytes: int, window: Callable[[int], int]) -> tuple[int, int] | None:
        """Return the next stream and the number of bytes it writes now; None if no stream can write.

        The number is at most `max_bytes`. `window` returns the window of a stream; a stream without window
        waits for `resume`.
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
        """Return the most urgent level with bytes and credit; renew all credit if no such level has any."""
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
        if flow.priority.incremental:
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
        if flow.priority.incremental:
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
    """Baseline for benchmarks: writes streams in the order of arrival, each to its end."""

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
        """Do nothing: there are no turns."""

    def _dequeue(self, flow: Flow) -> None:
        """Do nothing: there are no turns."""
