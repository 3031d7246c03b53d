"""Logging as key=value lines on standard error."""

from __future__ import annotations

import logging
import sys
import threading


class KeyValueFormatter(logging.Formatter):
    """One line a record: time, level, part of the program, event, and the fields given as `extra`."""

    def format(self, record: logging.LogRecord) -> str:
        pairs = {"ts": f"{record.created:.3f}", "level": record.levelname.lower(), "part": record.name}
        pairs["event"] = record.getMessage()
        pairs.update(getattr(record, "kv", {}))
        if record.exc_info:
            pairs["error"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={_quoted(str(value))}" for key, value in pairs.items())


def _quoted(value: str) -> str:
    if value and not any(c in ' "=\n\r\t' for c in value):
        return value
    escaped = value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n").replace("\r", "\\r")
    return f'"{escaped}"'


def fields(**values: object) -> dict[str, dict[str, object]]:
    """The `extra` of a log call."""
    return {"kv": values}


def set_up(name: str) -> None:
    """Log to standard error, also what a thread dies of."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)

    def on_death(args: threading.ExceptHookArgs) -> None:
        what = (args.exc_type, args.exc_value or args.exc_type(), args.exc_traceback)
        extra = fields(node=name, thread=args.thread.name if args.thread else "")
        logging.getLogger("lupintack").error("a thread died", exc_info=what, extra=extra)

    threading.excepthook = on_death
