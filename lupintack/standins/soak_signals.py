"""Signals in series, as the soak sends them to a router: drawn from a seed, in the worst moments as well."""

from __future__ import annotations

import signal
import subprocess
import time
from collections.abc import Callable
from random import Random
from typing import NamedTuple

TERM, HUP, USR1 = signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1
STOP, CONT = signal.SIGSTOP, signal.SIGCONT
SERIES: tuple[tuple[signal.Signals, ...], ...] = (
    (TERM,), (TERM, TERM), (HUP, TERM), (HUP, HUP, TERM), (TERM, HUP), (STOP, CONT, TERM), (TERM, USR1),
    (TERM, USR1, TERM),
)  # fmt: skip
# Between two: at once, within one turn of the program, and while a shutdown accepts, reads and answers.
GAPS_S = (0.0, 0.001, 0.005, 0.02, 0.1, 0.25, 0.45, 0.65)
STOPPED_S = (0.06, 0.3, 1.0)


class Step(NamedTuple):
    """One signal, and how long nothing comes behind it."""

    signal: signal.Signals
    gap_s: float


def draw_series(random: Random) -> list[Step]:
    """Return one series; a process is not stopped after its SIGTERM, as the kill would not wait for it."""
    return [
        Step(sent_signal, random.choice(STOPPED_S if sent_signal is STOP else GAPS_S))
        for sent_signal in random.choice(SERIES)
    ]


def send_series(
    process: subprocess.Popen[bytes], steps: list[Step], on_pause: Callable[[float, float], None]
) -> float:
    """Send a series; return when its first SIGTERM was sent, in monotonic seconds.

    `on_pause` is called with the begin and the end of each time in which the process was stopped.
    """
    terminated_s = stopped_s = 0.0
    for step in steps:
        if process.poll() is None:
            process.send_signal(step.signal)
        now_s = time.monotonic()
        if step.signal is TERM and not terminated_s:
            terminated_s = now_s
        elif step.signal is STOP:
            stopped_s = now_s
        elif step.signal is CONT:
            on_pause(stopped_s, now_s)
        if step is not steps[-1]:
            time.sleep(step.gap_s)
    return terminated_s


def describe(steps: list[Step]) -> str:
    """The series for a script's line."""
    return ", ".join(f"{step.signal.name[3:]} {step.gap_s * 1000:.0f} ms" for step in steps)
