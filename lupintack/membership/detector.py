"""Failure detector of one router: health checks of the routers that it observes, and their results.

Any message from a router, direct or relayed, ends its suspicion. A router that was paused, or most of whose
probes are unanswered, assumes a local problem first: its timeouts grow, and after a pause it only listens for
a while before it reports other routers.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import TYPE_CHECKING, NamedTuple

from lupintack.membership.config import MembershipConfig

if TYPE_CHECKING:
    from random import Random

MAX_OPEN_PROBES = 5  # per subject; acks of older probes are ignored
MIN_PROBES_PER_ROUND = 4
PAUSE_HEALTH_STEPS = 2
RTT_GAIN = 0.125
RTT_VARIANCE_GAIN = 0.25


class LocalHealth:
    """The health score of this router itself, from 0 (healthy) to a maximum."""

    def __init__(self, max_score: int) -> None:
        """Start healthy."""
        self.max_score = max_score
        self.score = 0

    def degrade(self, steps: int = 1) -> None:
        """Worsen the score."""
        self.score = min(self.max_score, self.score + steps)

    def recover(self) -> None:
        """Improve the score by one step."""
        self.score = max(0, self.score - 1)

    @property
    def timeout_factor(self) -> float:
        """The factor by which all timeouts are multiplied."""
        return 1.0 + self.score / 2.0


class ProbeAction(Enum):
    """The next step of a probe."""

    PING = auto()
    INDIRECT = auto()  # the ack is late: request pings by other routers, and probe the connection


class Probe(NamedTuple):
    """A probe that is due."""

    action: ProbeAction
    name: str
    nonce: int


@dataclass(slots=True)
class ObservedRouter:
    """A router that this router probes, and the state of its probes."""

    name: str
    last_seen_us: int  # when the last message from it was received
    next_probe_us: int
    rtt_us: float
    rtt_variance_us: float
    ack_due_us: int = 0  # 0: no ack is pending, or indirect probes were already sent
    nonce: int = 0
    open_probes: dict[int, int] = field(default_factory=dict)  # send time by nonce
    is_unreachable: bool = False  # a connection was refused since `last_seen_us`
    missed_ack: bool = False


class FailureDetector:
    """The probes of one router, and the round trips, silence and refused connections of its subjects."""

    def __init__(self, config: MembershipConfig, random: Random) -> None:
        """Start with no observed routers."""
        self.config = config
        self.random = random
        self.health = LocalHealth(config.max_health_score)
        self.observed: dict[str, ObservedRouter] = {}
        self.suspects: frozenset[str] = frozenset()  # of the fleet, at the last update of `observed`
        self.probes_counted = 0
        self.probes_missed = 0

    def observe(self, names: Iterable[str], now_us: int) -> None:
        """Replace the observed routers; a new one counts as seen at `now_us`."""
        unique_names = dict.fromkeys(names)
        for name in [name for name in self.observed if name not in unique_names]:
            del self.observed[name]
        interval_us = self.config.probe_interval_us
        for name in unique_names:
            if name not in self.observed:
                first_us = now_us + int(self.random.random() * interval_us)
                self.observed[name] = ObservedRouter(
                    name, now_us, first_us, self.config.min_ack_timeout_us, interval_us / 20
                )

    def due_probes(self, now_us: int) -> list[Probe]:
        """Return the pings to send, and indirect probes of the subjects whose ack is late."""
        probes: list[Probe] = []
        for subject in self.observed.values():
            if subject.ack_due_us and now_us >= subject.ack_due_us:
                subject.ack_due_us, subject.missed_ack = 0, True
                probes.append(Probe(ProbeAction.INDIRECT, subject.name, subject.nonce))
            if now_us >= subject.next_probe_us:
                if subject.ack_due_us:  # the probe interval ended before the ack timeout
                    subject.missed_ack = True
                    probes.append(Probe(ProbeAction.INDIRECT, subject.name, subject.nonce))
                self._update_health(subject)
                probes.append(self._begin_probe(subject, now_us))
        return probes

    def _begin_probe(self, subject: ObservedRouter, now_us: int) -> Probe:
        subject.nonce = self.random.getrandbits(48)
        subject.open_probes[subject.nonce] = now_us
        if len(subject.open_probes) > MAX_OPEN_PROBES:
            del subject.open_probes[next(iter(subject.open_probes))]
        subject.ack_due_us = now_us + self.ack_timeout_us(subject)
        interval_us = self.config.probe_interval_us
        late_us = max(0, now_us - subject.next_probe_us)
        subject.next_probe_us += late_us - late_us % interval_us + interval_us
        return Probe(ProbeAction.PING, subject.name, subject.nonce)

    def _update_health(self, subject: ObservedRouter) -> None:
        """Count a finished probe; a round with more than half of its acks missing degrades the local health.

        Routers that others suspect as well are not counted: when a part of the fleet is cut off, longer
        timeouts would delay the detection of its remaining routers.
        """
        missed = subject.missed_ack and not subject.is_unreachable
        subject.missed_ack = False
        if subject.name in self.suspects:
            return
        self.probes_counted += 1
        self.probes_missed += missed
        if self.probes_counted < max(MIN_PROBES_PER_ROUND, len(self.observed)):
            return
        if self.probes_missed * 2 > self.probes_counted:
            self.health.degrade()
        elif self.probes_missed * 4 <= self.probes_counted:
            self.health.recover()
        self.probes_counted = self.probes_missed = 0

    def ack_timeout_us(self, subject: ObservedRouter) -> int:
        """Return the ack timeout, from the measured round trips and the health of this router."""
        expected_us = max(self.config.min_ack_timeout_us, subject.rtt_us + 4.0 * subject.rtt_variance_us)
        return int(min(expected_us * self.health.timeout_factor, self.config.max_ack_timeout_us))

    def on_ack(self, name: str, nonce: int, now_us: int, is_indirect: bool = False) -> bool:
        """Handle an ack, also a late one; return False for an ack that matches no open probe."""
        subject = self.observed.get(name)
        sent_us = subject.open_probes.pop(nonce, None) if subject is not None else None
        if subject is None or sent_us is None:
            return False
        if not is_indirect:
            sample_us = float(now_us - sent_us)
            deviation_us = abs(sample_us - subject.rtt_us)
            subject.rtt_variance_us += RTT_VARIANCE_GAIN * (deviation_us - subject.rtt_variance_us)
            subject.rtt_us += RTT_GAIN * (sample_us - subject.rtt_us)
        if nonce == subject.nonce:
            subject.ack_due_us = 0
        self.mark_alive(name, now_us)
        return True

    def mark_alive(self, name: str, now_us: int) -> None:
        """Register a message from a router."""
        subject = self.observed.get(name)
        if subject is not None:
            subject.last_seen_us, subject.is_unreachable, subject.missed_ack = now_us, False, False

    def mark_unreachable(self, name: str) -> None:
        """Register a refused connection: no process listens at the address."""
        subject = self.observed.get(name)
        if subject is not None:
            subject.is_unreachable = True

    def probe_now(self, name: str, now_us: int) -> None:
        """Probe a router immediately, because other observers suspect it."""
        subject = self.observed.get(name)
        if subject is not None and not subject.ack_due_us:
            subject.next_probe_us = min(subject.next_probe_us, now_us)

    def suspected(self, now_us: int) -> list[ObservedRouter]:
        """Return the observed routers that are unreachable, or silent for longer than the timeout."""
        timeout_us = self.config.suspicion_timeout_us * self.health.timeout_factor
        return [
            subject
            for subject in self.observed.values()
            if subject.is_unreachable or self._is_silent(subject, timeout_us, now_us)
        ]

    @staticmethod
    def _is_silent(subject: ObservedRouter, timeout_us: float, now_us: int) -> bool:
        round_trip_us = 2.0 * subject.rtt_us + 4.0 * subject.rtt_variance_us
        return now_us - subject.last_seen_us >= max(timeout_us, round_trip_us)

    def on_local_pause(self, gap_us: int, now_us: int) -> None:
        """Exclude a pause of this process from the silence of others: it could not receive messages."""
        self.health.degrade(PAUSE_HEALTH_STEPS)
        for subject in self.observed.values():
            subject.last_seen_us = min(now_us, subject.last_seen_us + gap_us)
            subject.is_unreachable, subject.ack_due_us = False, 0
            subject.next_probe_us = now_us + int(self.random.random() * self.config.probe_interval_us / 4)

    def wake_us(self) -> int:
        """Return when the next probe or ack timeout is due, or 0 with no observed routers."""
        return min(
            (
                min(subject.next_probe_us, subject.ack_due_us or subject.next_probe_us)
                for subject in self.observed.values()
            ),
            default=0,
        )
