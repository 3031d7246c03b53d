"""A listening socket that two processes of one router may share while an upgrade runs."""

from __future__ import annotations

import errno
import logging
import socket
import struct
import time
from collections.abc import Callable
from typing import TypeVar

from lupintack.clock import now_us
from lupintack.logs import LineLimit, fields
from lupintack.sockets import ACCEPT_LASTS_S, LOCAL, AcceptFailures

LOG = logging.getLogger("listener")
BACKLOG = 512  # connections that the kernel has taken and we have not
START_TIMEOUT_S = (
    3.0  # of a start, for calls that fail; with the start itself it stays under the 6 s of a short day
)
RETRY_INTERVAL_S = 0.05
TRANSIENT_ERRORS = LOCAL | {errno.EADDRINUSE}
"""Of socket, setsockopt, bind and listen (their manual pages): may be otherwise a moment later."""

Result = TypeVar("Result")


class ListenError(OSError):
    """An address can't be listened at; the text says which, and why."""


def bind_socket(address: tuple[str, int], accept_timeout_s: float, reuse: bool) -> socket.socket:
    """Return a socket that is bound and does not listen yet; raise ListenError where that fails.

    An accept gives up after `accept_timeout_s`. A port must not be listened on before all is ready: what the
    kernel accepts needs an answer, and on a shared port each process gets what it listens for.
    """
    return with_retries(address, lambda: try_bind(address, accept_timeout_s, reuse))


def try_bind(address: tuple[str, int], accept_timeout_s: float, reuse: bool) -> socket.socket:
    """Try once to bind; raise OSError as the call had it."""
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVTIMEO, struct.pack("ll", 0, int(accept_timeout_s * 1e6))
        )
        if reuse:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock


def listen(sock: socket.socket) -> None:
    """Listen at a bound socket; raise ListenError where that fails."""
    host, port = sock.getsockname()[:2]
    with_retries((host, port), lambda: sock.listen(BACKLOG))


def pause_after_failed_accept(
    error: OSError,
    failures: AcceptFailures,
    log_limit: LineLimit,
    log: logging.Logger,
    evict: Callable[[], None],
    is_accepting: bool,
) -> None:
    """Count a failed accept; log it, evict idle connections where descriptors stay short, and pause.

    Where the server accepts no more, the failure is counted and nothing else: its end must not be held up.
    """
    pause_s = failures.failed(error)
    if not pause_s or not is_accepting:
        return
    if log_limit.allow(now_us()) >= 0:
        log.warning("accept failed", extra=fields(reason=error))
    if pause_s >= ACCEPT_LASTS_S:
        evict()
    time.sleep(pause_s)


def with_retries(address: tuple[str, int], call: Callable[[], Result]) -> Result:
    """Return a call's result; retry transient errors for START_TIMEOUT_S, then raise ListenError.

    Guards against a start that ends because one call failed once: whoever restarts a router has none until
    it is started again.
    """
    until = time.monotonic() + START_TIMEOUT_S
    tries = 1
    while True:
        try:
            result = call()
        except OSError as error:
            reason = error.strerror or str(error)
            if error.errno not in TRANSIENT_ERRORS or time.monotonic() >= until:
                raise ListenError(f"can't listen at {address[0]}:{address[1]}: {reason}") from None
            if tries == 1:
                LOG.warning("can't listen yet", extra=fields(address=address, reason=reason))
        else:
            if tries > 1:
                LOG.info("can listen now", extra=fields(address=address, tries=tries))
            return result
        tries += 1
        time.sleep(RETRY_INTERVAL_S)
