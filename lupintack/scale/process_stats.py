"""Memory and processor time of processes, as the kernel counts them."""

from __future__ import annotations

import os
from pathlib import Path

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def rss_bytes(pid: int) -> int:
    """Return the resident memory of a process; 0 if it has ended."""
    try:
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES
    except OSError:
        return 0


def cpu_s(pid: int) -> float:
    """Return the processor time of a process; 0 if it has ended."""
    try:
        words = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0.0
    return (int(words[11]) + int(words[12])) / TICKS_PER_S


def children_of(pid: int) -> list[int]:
    """Return the pids of the child processes of a process."""
    try:
        return [int(word) for word in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]
    except OSError:
        return []
