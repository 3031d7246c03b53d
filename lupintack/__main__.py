"""Runs one edge router until SIGTERM.

The package's modules are imported only after the signals are blocked: SIGHUP may arrive at any time to reload
the configuration, and would end the process before that.
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

if TYPE_CHECKING:  # at runtime, imported only after the signals are blocked
    from lupintack.node import Node

THREAD_STACK_BYTES = 256 * 1024
SWITCH_INTERVAL_S = 0.02  # turns of the core are short; each thread waiting for the GIL wakes this often
# Requests create no reference cycles, and a full collection stalls the process.
GC_THRESHOLDS = (50_000, 20, 50)
SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP}
END_SIGNALS = {signal.SIGTERM, signal.SIGINT}
START_CHECK_INTERVAL_S = 0.01  # between checks of the conditions of a start
MAX_HANDOFF_WAIT_S = 3.0  # at a start while an older process serves, which may not be scheduled for a moment


class StartTimes:
    """The start time of the process, and its CPU time in seconds at the end of each part of the start."""

    def __init__(self) -> None:
        """Record the start; the CPU time so far is the interpreter's."""
        self.started_s = time.monotonic()
        self.cpu_s = [0.0, time.process_time()]

    def end_part(self) -> None:
        """Record the end of a part of the start."""
        self.cpu_s.append(time.process_time())

    def as_log_fields(self) -> dict[str, str]:
        """Return fields for the log line `ready`; the parts of cpu_ms: interpreter, list, imports, node."""
        parts = "/".join(
            f"{(end - begin) * 1000:.0f}" for begin, end in zip(self.cpu_s, self.cpu_s[1:], strict=False)
        )
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
    except (ConfigError, OSError) as error:  # OSError: also ports and the router's own name
        print(f"lupintack: {error}", file=sys.stderr)
        return 2
    times.end_part()
    node.log_ready(times.as_log_fields())
    node.stop(wait_for_end(node))
    node.log_counters()
    sys.stderr.flush()
    return 0


def build(times: StartTimes) -> Node:
    """Build the router and bind its ports; raise ConfigError or OSError on failure."""
    from lupintack import config, logs, operator
    from lupintack.discovery.setup import build_discovery

    conf = config.load(os.environ)
    logs.set_up(conf.name)
    started_discovery = build_discovery(conf)
    # Discovery needs up to a second to prove the list, so it starts before the other imports.
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
    """Wait for `done()` or a monotonic time; return False if a signal ends the process, even if done."""
    while not signal.sigpending() & END_SIGNALS:
        if done() or time.monotonic() >= until_s:
            return True
        received = signal.sigtimedwait(SIGNALS, START_CHECK_INTERVAL_S)
        if received is None:
            continue
        if received.si_signo in END_SIGNALS:
            return False
        on_signal(node, received.si_signo)
    return False


def wait_for_start(node: Node, started_s: float) -> bool:
    """Wait for a current list, and then for an older process's handoff, each for a bounded time.

    Returns False if a signal ends the process.
    """
    return wait_until(node, node.list_is_proved, started_s + node.list_wait_s()) and wait_until(
        node, node.handoff_is_over, time.monotonic() + MAX_HANDOFF_WAIT_S
    )


def wait_for_end(node: Node) -> float:
    """Handle signals until one ends the process; return its earliest possible arrival in monotonic seconds.

    A signal that arrives while another is handled counts from the start of that handling, because SIGKILL
    follows its arrival by a fixed time. A signal that ends the process precedes all other pending ones.
    """
    earliest_s = time.monotonic()
    while not signal.sigpending() & END_SIGNALS:
        received = signal.sigwait(SIGNALS)
        earliest_s = time.monotonic()
        if received in END_SIGNALS or signal.sigpending() & END_SIGNALS:
            break
        on_signal(node, received)
    return earliest_s


def on_signal(node: Node, number: int) -> None:
    """Reload on SIGHUP, log the counters on SIGUSR1."""
    if number == signal.SIGHUP:
        node.reload(os.environ)
    else:
        node.log_counters()


def start() -> None:
    """Run the router and exit the process."""
    code = main()
    logging.shutdown()
    os._exit(code)  # skips the interpreter's shutdown, which daemon threads blocked in sockets would delay


if __name__ == "__main__":
    start()
