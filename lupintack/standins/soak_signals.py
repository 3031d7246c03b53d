"""Random series of signals that the soak sends to a router, also at the most difficult moments."""

from __future__ import annotations

import signal
import subprocess
import time
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from lupintack.standins.soak_counts import Kill

TERM, HUP, USR1 = signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1
STOP, CONT = signal.SIGSTOP, signal.SIGCONT
SERIES: tuple[tuple[signal.Signals, ...], ...] = (
    (TERM,), (TERM, TERM), (HUP, TERM), (HUP, HUP, TERM), (TERM, HUP), (STOP, CONT, TERM), (TERM, USR1),
    (TERM, USR1, TERM),
)  # fmt: skip
# Between two signals: none, less than a turn of the program, and the phases of a shutdown.
GAPS_S = (0.0, 0.001, 0.005, 0.02, 0.1, 0.25, 0.45, 0.65)
STOPPED_S = (0.06, 0.3, 1.0)


class Step(NamedTuple):
    """A signal and the pause after it."""

    signal: signal.Signals
    gap_s: float


def draw_series(random: Random) -> list[Step]:
    """Return a series. None stops the process after SIGTERM, as SIGKILL may come before SIGCONT."""
    return [
        Step(sent_signal, random.choice(STOPPED_S if sent_signal is STOP else GAPS_S))
        for sent_signal in random.choice(SERIES)
    ]


def send_series(
    process: subprocess.Popen[bytes], steps: list[Step], on_pause: Callable[[float, float], None]
) -> float:
    """Send a series; return the monotonic seconds of its first SIGTERM.

    `on_pause` is called with the begin and end of each time for which the process was stopped.
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
    """Return the series as text for the script log."""
    return ", ".join(f"{step.signal.name[3:]} {step.gap_s * 1000:.0f} ms" for step in steps)


def kill(process: subprocess.Popen[bytes], is_planned: bool) -> Kill:
    """Send SIGKILL and wait for the end of the process; `is_planned`: it followed a SIGTERM."""
    sent_s = time.monotonic()
    process.kill()
    process.wait()
    return Kill(sent_s, time.monotonic(), is_planned)
