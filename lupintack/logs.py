"""Logging as key=value lines (logfmt) on standard error, with the library `logfmter`."""

from __future__ import annotations

import logging
import sys
import threading

from logfmter import Logfmter

KEYS = ["ts", "level", "part"]


def formatter() -> logging.Formatter:
    """Return a formatter of one line per record: time, level, part of the program, event, extra fields."""
    return LineFormatter(keys=KEYS, mapping={"ts": "created", "level": "levelname", "part": "name"})


class LineFormatter(Logfmter):
    """Writes levels in lower case, times with milliseconds, and the message as `event`."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line for a record."""
        copy = logging.makeLogRecord(record.__dict__)
        copy.levelname = record.levelname.lower()
        copy.created = f"{record.created:.3f}"  # type: ignore[assignment]
        copy.msg = {
            "event": record.getMessage(),
            **{k: _flat(v) for k, v in getattr(record, "kv", {}).items()},
        }
        copy.args = None
        copy.__dict__.pop("kv", None)
        return super().format(copy)


def _flat(value: object) -> object:
    """Return a dictionary as text, since Logfmter would flatten it; return other values unchanged."""
    return str(value) if isinstance(value, dict) else value


def fields(**values: object) -> dict[str, dict[str, object]]:
    """Return the `extra` argument of a log call."""
    return {"kv": values}


class LineLimit:
    """Limits the lines of one kind per second, and counts the suppressed ones. Without a lock: counts may be
    lost.
    """

    def __init__(self, per_second: int) -> None:
        """Allow `per_second` lines in each second of the monotonic clock."""
        self.per_second = per_second
        self.second = -1
        self.lines = 0
        self.suppressed = 0

    def allow(self, now_us: int) -> int:
        """Return the number of lines suppressed since the last one; negative to suppress this one as well."""
        if now_us // 1_000_000 != self.second:
            self.second, self.lines = now_us // 1_000_000, 0
        if self.lines >= self.per_second:
            self.suppressed += 1
            return -1
        self.lines += 1
        suppressed, self.suppressed = self.suppressed, 0
        return suppressed


def set_up(name: str) -> None:
    """Log to standard error, including unhandled exceptions of threads."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)

    def on_thread_exception(args: threading.ExceptHookArgs) -> None:
        exc_info = (args.exc_type, args.exc_value or args.exc_type(), args.exc_traceback)
        extra = fields(node=name, thread=args.thread.name if args.thread else "")
        logging.getLogger("lupintack").error("unhandled exception in thread", exc_info=exc_info, extra=extra)

    threading.excepthook = on_thread_exception
