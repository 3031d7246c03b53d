"""The record of a case: what was sent, answered and run, by the real clock."""

from __future__ import annotations

import threading
import time
from pathlib import Path


class Record:
    """Writes one line per entry to `record.txt`; thread-safe."""

    def __init__(self, folder: Path) -> None:
        """Replace the record in the case's folder."""
        self.file = (folder / "record.txt").open("w")
        self.lock = threading.Lock()
        self.started_s = time.monotonic()

    def write(self, who: str, text: str) -> None:
        """Add a line with the seconds since the start."""
        with self.lock:
            self.file.write(f"{time.monotonic() - self.started_s:8.3f} {who:<10} {text}\n")
            self.file.flush()
