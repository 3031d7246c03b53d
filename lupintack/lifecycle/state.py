"""The lifecycle of one process of the router: starting, ready, evacuating, evacuated, stopping.

Pure: times are monotonic microseconds and passed as arguments. This state machine alone decides whether the
process takes work: ready, `/alive`, evacuate, rejoin, SIGTERM and upgrades all use it.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

NO_IDLE_LIMIT_US = -1


class NodePhase(Enum):
    """The phase of a process; its value appears in `/api/ready`, the log and the folder of the router."""

    STARTING = "starting"
    READY = "ready"
    EVACUATING = "evacuating"
    EVACUATED = "evacuated"
    STOPPING = "stopping"


@dataclass(frozen=True)
class EvacuationPace:
    """The stages of an evacuation, in microseconds since it began.

    The load balancer in front checks every 0.1 s and opens new connections for up to 0.2 s after a failed
    check. No request may arrive later than 2 s, which is two seconds before the limit of 4 s.
    """

    answer_close_us: int = 600_000  # until then a connection ends only with its next answer
    idle_limit_us: int = 300_000  # from then on a connection that was idle for this long is ended
    final_after_us: int = 1_500_000  # from then on the final limit applies
    final_idle_limit_us: int = 40_000  # on a connection idle for less, a request may be in transit


@dataclass(frozen=True)
class ShutdownPlan:
    """The stages of a shutdown; times count from SIGTERM."""

    closes_after_answers: bool  # each answer closes its connection from the start
    accept_us: int  # how long new connections are accepted; then only queued ones
    read_us: int  # how long requests are read from open connections


PLAN_ALONE = ShutdownPlan(closes_after_answers=False, accept_us=450_000, read_us=700_000)
PLAN_WITH_SUCCESSOR = ShutdownPlan(closes_after_answers=True, accept_us=100_000, read_us=1_200_000)


class NodeLifecycle:
    """The state machine. Not thread-safe: callers share one lock."""

    def __init__(self, pace: EvacuationPace | None = None) -> None:
        """Begin in the phase STARTING."""
        self.pace = pace or EvacuationPace()
        self.phase = NodePhase.STARTING
        self.evacuating_since_us = 0
        self.evacuation_requested = False  # evacuate was called during the start

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send work here."""
        return self.phase is NodePhase.READY

    @property
    def closes_connections(self) -> bool:
        """Whether each answer ends its connection."""
        return self.phase in (NodePhase.EVACUATING, NodePhase.EVACUATED)

    def on_started(self, now_us: int) -> None:
        """End the start: the process can serve its first request."""
        if self.phase is NodePhase.STARTING:
            self.phase = NodePhase.EVACUATING if self.evacuation_requested else NodePhase.READY
            self.evacuating_since_us = now_us

    def evacuate(self, now_us: int) -> None:
        """Stop taking work. A starting process applies it after its start, a stopping one ignores it."""
        if self.phase is NodePhase.STARTING:
            self.evacuation_requested = True
        elif self.phase is NodePhase.READY:
            self.phase = NodePhase.EVACUATING
            self.evacuating_since_us = now_us

    def rejoin(self) -> bool:
        """Take work again, also during an evacuation; return False if the process is stopping."""
        if self.phase is NodePhase.STOPPING:
            return False
        self.evacuation_requested = False
        if self.phase is not NodePhase.STARTING:
            self.phase = NodePhase.READY
        return True

    def begin_shutdown(self) -> None:
        """Enter the last phase, after SIGTERM."""
        self.phase = NodePhase.STOPPING

    def advance(self, now_us: int, connections: int) -> int:
        """Advance an evacuation; return how long a connection may be idle in us, negative for no limit.

        `connections` is the number of open client connections.
        """
        if not self.closes_connections:
            return NO_IDLE_LIMIT_US
        elapsed_us = now_us - self.evacuating_since_us
        if elapsed_us < self.pace.answer_close_us:
            return NO_IDLE_LIMIT_US
        if self.phase is NodePhase.EVACUATING and connections == 0:
            self.phase = NodePhase.EVACUATED
        if elapsed_us < self.pace.final_after_us:
            return self.pace.idle_limit_us
        return self.pace.final_idle_limit_us


def plan_shutdown(successor_ready: bool, longest_deadline_us: int) -> ShutdownPlan:
    """Choose the shutdown plan, depending on whether a ready successor takes new connections.

    SIGKILL follows the end of PLAN_ALONE's reading by the longest deadline. Half of that time is left to
    answer the requests that are read last.
    """
    if not successor_ready:
        return PLAN_ALONE
    read_us = min(PLAN_WITH_SUCCESSOR.read_us, PLAN_ALONE.read_us + longest_deadline_us // 2)
    return replace(PLAN_WITH_SUCCESSOR, read_us=read_us)
