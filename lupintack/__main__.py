"""Starts one edge router, and ends it on SIGTERM.

Nothing of the program is imported before the signals are blocked: SIGHUP, for a new configuration, may come
at any time, and until then it ends the process.
"""

from __future__ import annotations

import gc
import logging
import os
import signal
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:  # nothing of the program is imported before the signals are blocked
    from lupintack.node import Node

THREAD_STACK_BYTES = 256 * 1024
SWITCH_INTERVAL_S = (
    0.02  # turns of the core are short; every thread that waits for the interpreter wakes this often
)
# Nothing in the path of a request makes cycles, and a full collection is a stall.
GC_THRESHOLDS = (50_000, 20, 50)
SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP}
END_SIGNALS = {signal.SIGTERM, signal.SIGINT}
START_CHECK_INTERVAL_S = 0.01  # between two checks of what a start waits for
MAX_HANDOFF_WAIT_S = (
    3.0  # of a start beside an older process that serves, which may be kept from running for a moment
)


class StartTimes:
    """When the process began, and its CPU time in seconds at the end of each part of the start."""

    def __init__(self) -> None:
        """Start the clock; the CPU time until now is the interpreter's."""
        self.started_s = time.monotonic()
        self.cpu_s = [0.0, time.process_time()]

    def end_part(self) -> None:
        """Note the end of a part of the start."""
        self.cpu_s.append(time.process_time())

    def as_log_fields(self) -> dict[str, str]:
        """Return fields for the log line `ready`; cpu_ms: interpreter, list, imports, node."""
        parts = "/".join(f"{(b - a) * 1000:.0f}" for a, b in zip(self.cpu_s, self.cpu_s[1:], strict=False))
        return {"cpu_ms": parts, "start_ms": f"{(time.monotonic() - self.started_s) * 1000:.0f}"}


def main() -> int:
    """Run until SIGTERM; return the exit code, 2 for a configuration that can't be used."""
    times = StartTimes()
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    threading.stack_size(THREAD_STACK_BYTES)
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    from lupintack.settings.errors import ConfigError

    try:
        node = build(times)
        node.begin()
        if not wait_for_start(node, times.started_s):
            node.abandon()
            return 0
        node.serve()
    except (ConfigError, OSError) as error:  # also of ports and of the router's own name
        print(f"lupintack: {error}", file=sys.stderr)
        return 2
    times.end_part()
    node.log_ready(times.as_log_fields())
    node.stop(wait_for_end(node))
    node.log_counters()
    sys.stderr.flush()
    return 0


def build(times: StartTimes) -> Node:
    """Build the router, with its ports bound; raise ConfigError or OSError where that fails."""
    from lupintack import config, logs, operator
    from lupintack.discovery.setup import build_discovery

    conf = config.load(os.environ)
    logs.set_up(conf.name)
    started_discovery = build_discovery(conf)
    # Discovery takes up to a second to prove the list, so it starts before the rest is imported.
    started_discovery.client.start(spawn)
    times.end_part()
    from lupintack.fronts.cdni.conf import FILE, load
    from lupintack.node import Node

    times.end_part()
    operator_file = operator.load(os.environ)
    cdni = load(Path(os.environ.get("LUPINTACK_CDNI") or FILE), conf.names.classes)
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    return Node(conf, cdni, operator_file, started_discovery)


def spawn(target: Callable[[], None], name: str) -> None:
    """Start a daemon thread."""
    threading.Thread(target=target, name=name, daemon=True).start()


def wait_until(node: Node, done: Callable[[], bool], until_s: float) -> bool:
    """Wait until `done()` or a time; return False where the process is to end, also where it is done."""
    while not signal.sigpending() & END_SIGNALS:
        if done() or time.monotonic() >= until_s:
            return True
        got = signal.sigtimedwait(SIGNALS, START_CHECK_INTERVAL_S)
        if got is None:
            continue
        if got.si_signo in END_SIGNALS:
            return False
        on_signal(node, got.si_signo)
    return False


def wait_for_start(node: Node, began_s: float) -> bool:
    """Wait for a current list, and then for an older process's handoff, each for a bounded time.

    Returns False where the process is to end.
    """
    return wait_until(node, node.list_is_proved, began_s + node.list_wait_s()) and wait_until(
        node, node.handoff_is_over, time.monotonic() + MAX_HANDOFF_WAIT_S
    )


def wait_for_end(node: Node) -> float:
    """Handle signals until one ends the process; return when that came at the earliest, in monotonic seconds.

    One that comes while another is handled counts from the beginning of that: the kill behind it is due by
    when it came. An end goes before whatever else is pending.
    """
    began_s = time.monotonic()
    while not signal.sigpending() & END_SIGNALS:
        got = signal.sigwait(SIGNALS)
        began_s = time.monotonic()
        if got in END_SIGNALS or signal.sigpending() & END_SIGNALS:
            break
        on_signal(node, got)
    return began_s


def on_signal(node: Node, number: int) -> None:
    """Reload on SIGHUP, log the counters on SIGUSR1."""
    if number == signal.SIGHUP:
        node.reload(os.environ)
    else:
        node.log_counters()


def start() -> None:
    """Run the program and end the process."""
    code = main()
    logging.shutdown()
    os._exit(code)  # daemon threads blocked in sockets would only delay the interpreter's end


if __name__ == "__main__":
    start()
