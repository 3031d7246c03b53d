"""Failure detector of one router: its health checks of the observed routers and what they show.

Any sign of life ends a suspicion, whoever forwarded it. A router that was paused, or whose probes mostly stay
unanswered, distrusts itself first: its timeouts grow, and after a pause it listens before it reports anybody.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import TYPE_CHECKING, NamedTuple

from lupintack.membership.config import MembershipConfig

if TYPE_CHECKING:
    from random import Random

MAX_OPEN_PROBES = 5  # of one subject; later acks of older probes are ignored
MIN_PROBES_PER_ROUND = 4
PAUSE_HEALTH_STEPS = 2
RTT_GAIN = 0.125
RTT_VARIANCE_GAIN = 0.25


class LocalHealth:
    """The health of this router itself, from 0 for healthy up to a maximum."""

    def __init__(self, max_score: int) -> None:
        """Begin healthy."""
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
        """The factor by which all timeouts are lengthened."""
        return 1.0 + self.score / 2.0


class ProbeAction(Enum):
    """The next step of a probe."""

    PING = auto()
    INDIRECT = auto()  # the ack is late: ask other routers to ping, and probe the connection


class Probe(NamedTuple):
    """A probe that is due."""

    action: ProbeAction
    name: str
    nonce: int


@dataclass(slots=True)
class ObservedRouter:
    """The subject of this router's probes."""

    name: str
    last_seen_us: int  # the last sign of life
    next_probe_us: int
    rtt_us: float
    rtt_variance_us: float
    ack_due_us: int = 0  # 0: no ack is awaited, or indirect probes were sent already
    nonce: int = 0
    open_probes: dict[int, int] = field(default_factory=dict)  # when sent, by nonce
    is_unreachable: bool = False  # a connection was refused since the last sign of life
    missed_ack: bool = False


class FailureDetector:
    """The probes of one router, and the round trips, silence and refusals of those that it observes."""

    def __init__(self, config: MembershipConfig, random: Random) -> None:
        """Begin without anybody to observe."""
        self.config = config
        self.random = random
        self.health = LocalHealth(config.max_health_score)
        self.observed: dict[str, ObservedRouter] = {}
        self.suspects: frozenset[str] = frozenset()  # of the whole fleet, when observers were last assigned
        self.probes_counted = 0
        self.probes_missed = 0

    def observe(self, names: Iterable[str], now_us: int) -> None:
        """Observe exactly these routers; a new one counts as seen now."""
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
        """Return the pings to send, and the subjects whose ack is late."""
        probes: list[Probe] = []
        for subject in self.observed.values():
            if subject.ack_due_us and now_us >= subject.ack_due_us:
                subject.ack_due_us, subject.missed_ack = 0, True
                probes.append(Probe(ProbeAction.INDIRECT, subject.name, subject.nonce))
            if now_us >= subject.next_probe_us:
                if subject.ack_due_us:  # the interval has passed before the ack's timeout
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
        """Count a finished probe; a round of which more than half were missed points at this router.

        Routers that others suspect as well don't count: with a part of the fleet cut off, longer timeouts
        would delay the detection of the rest.
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
        """Return the timeout of an ack, from the round trips measured and this router's health."""
        expected_us = max(self.config.min_ack_timeout_us, subject.rtt_us + 4.0 * subject.rtt_variance_us)
        return int(min(expected_us * self.health.timeout_factor, self.config.max_ack_timeout_us))

    def on_ack(self, name: str, nonce: int, now_us: int, is_indirect: bool = False) -> bool:
        """Handle an ack, also a late one; return False for one that answers no open probe."""
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
        """Register a sign of life."""
        subject = self.observed.get(name)
        if subject is not None:
            subject.last_seen_us, subject.is_unreachable, subject.missed_ack = now_us, False, False

    def mark_unreachable(self, name: str) -> None:
        """Register a refused connection: no process listens there."""
        subject = self.observed.get(name)
        if subject is not None:
            subject.is_unreachable = True

    def probe_now(self, name: str, now_us: int) -> None:
        """Probe a router without delay, because others suspect it."""
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
        """Discount a pause of this process, in which it could not receive any sign of life."""
        self.health.degrade(PAUSE_HEALTH_STEPS)
        for subject in self.observed.values():
            subject.last_seen_us = min(now_us, subject.last_seen_us + gap_us)
            subject.is_unreachable, subject.ack_due_us = False, 0
            subject.next_probe_us = now_us + int(self.random.random() * self.config.probe_interval_us / 4)

    def wake_us(self) -> int:
        """Return when something is due next; 0 with nobody to observe."""
        return min(
            (
                min(subject.next_probe_us, subject.ack_due_us or subject.next_probe_us)
                for subject in self.observed.values()
            ),
            default=0,
        )
