"""Starts one edge router, and ends it on SIGTERM.

Nothing of the program is imported before the signals are blocked: SIGHUP, for a new configuration, may come
at any time, and until then it ends the process.
"""

from __future__ import annotations

import gc
import logging
import os
import signal
import socket
import sys
import threading
import time
from pathlib import Path

LOG = logging.getLogger("lupintack")
STACK = 256 * 1024
SWITCH_S = 0.02  # turns are short, and every thread that waits for the interpreter wakes this often
SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP}


def main() -> int:
    """Run until SIGTERM; a configuration that can't be used ends it with one line and code 2."""
    spent = [0.0, time.process_time()]  # CPU seconds at the end of each part of the start
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    from lupintack import config, logs, operator
    from lupintack.fronts.cdni.conf import FILE, load
    from lupintack.node import Node

    spent.append(time.process_time())
    try:
        conf = config.load(os.environ)
        wanted = operator.load(os.environ)
        cdni = load(Path(os.environ.get("LUPINTACK_CDNI") or FILE), conf.names.classes)
    except config.ConfigError as error:
        print(f"lupintack: {error}", file=sys.stderr)
        return 2
    logs.set_up(conf.name)
    spent.append(time.process_time())
    threading.stack_size(STACK)
    sys.setswitchinterval(SWITCH_S)
    gc.freeze()
    gc.set_threshold(50_000, 20, 50)  # nothing on a request's way makes cycles; a full collection is a stall
    try:
        node = Node(conf, cdni, wanted)
    except (OSError, socket.gaierror) as error:
        print(f"lupintack: can't listen: {error}", file=sys.stderr)
        return 2
    except config.ConfigError as error:  # what only a router with its name, site and port can tell
        print(f"lupintack: {error}", file=sys.stderr)
        return 2
    node.start()
    spent.append(time.process_time())
    parts = "/".join(f"{(b - a) * 1000:.0f}" for a, b in zip(spent, spent[1:], strict=False))
    told = logs.fields(node=conf.name, listen=f"{conf.listen[0]}:{conf.listen[1]}", cpu_ms=parts)
    LOG.info("ready", extra=told)  # cpu_ms: interpreter, imports, configuration, node
    while (got := signal.sigwait(SIGNALS)) in (signal.SIGUSR1, signal.SIGHUP):
        if got == signal.SIGHUP:
            node.reload(os.environ)
        else:
            node.print_counters()
    node.stop()
    node.print_counters()
    sys.stderr.flush()
    return 0


def start() -> None:
    """The program: it ends the process itself."""
    code = main()
    logging.shutdown()
    os._exit(code)  # daemon threads blocked in sockets would only hold the interpreter's end up


if __name__ == "__main__":
    start()
