"""A process of a scale run, as its coordinator uses it."""

from __future__ import annotations

import queue
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import Any

from lupintack.scale import hollow_messages as messages

PACKAGE = "lupintack.scale"


class RunError(RuntimeError):
    """A run was aborted; the text gives the reason in one line."""


class Child:
    """One process of the run: sends it frames on standard input and reads its replies in a thread."""

    def __init__(
        self, module: str, log: Path, replies: queue.Queue[tuple[Child, messages.Reply | None]]
    ) -> None:
        """Start the module; its replies are put into `replies`, followed by None when its output ends."""
        self.log = log
        self.status: messages.Status | None = None
        self.finished = False  # its results have been received
        with log.open("wb") as errors:
            self.process = subprocess.Popen(
                [sys.executable, "-m", f"{PACKAGE}.{module}"],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=errors,
            )
        self.replies = replies
        threading.Thread(target=self._read, name=module, daemon=True).start()

    def send(self, message: messages.Command | messages.Publish) -> None:
        """Send a frame; raise RunError if the process has ended."""
        assert self.process.stdin is not None
        try:
            self.process.stdin.write(messages.encode_frame(message))
            self.process.stdin.flush()
        except (OSError, ValueError):
            raise RunError(f"a process has ended: {self.last_error_line()}") from None

    def last_error_line(self) -> str:
        """Return the last line of its standard error."""
        lines = self.log.read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else "no error output"

    def stop(self, until: float) -> None:
        """Close its standard input, and kill it unless it exits by `until` (time.monotonic)."""
        assert self.process.stdin is not None
        try:
            self.process.stdin.close()
        except OSError:
            pass
        try:
            self.process.wait(max(0.0, until - time.monotonic()))
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()

    def _read(self) -> None:
        assert self.process.stdout is not None
        pipe: Any = self.process.stdout
        while (raw := messages.read_frame(pipe)) is not None:
            self.replies.put((self, messages.reply_decoder.decode(raw)))
        self.replies.put((self, None))
