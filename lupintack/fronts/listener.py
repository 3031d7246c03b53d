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
from lupintack.sockets import LOCAL_ERRORS, SHORTAGE_DELAY_S, AcceptFailures

LOG = logging.getLogger("listener")
BACKLOG = 512  # connections in the kernel's accept queue
# For retries of failed calls; with the rest of the start it stays under the 6 s of a short simulated day.
START_TIMEOUT_S = 3.0
RETRY_INTERVAL_S = 0.05
TRANSIENT_ERRORS = LOCAL_ERRORS | {errno.EADDRINUSE}
"""Errors of socket, setsockopt, bind and listen (see their manual pages) that may be transient."""

Result = TypeVar("Result")


class ListenError(OSError):
    """Listening on an address failed; the text names the address and the reason."""


def bind_socket(address: tuple[str, int], accept_timeout_s: float, reuse: bool) -> socket.socket:
    """Return a socket that is bound and does not listen yet; raise ListenError if that fails.

    An accept times out after `accept_timeout_s`. Binding and listening are separate, as listening must start
    only when the process can answer: the kernel accepts connections from then on, and on a shared port it
    distributes them over all listening processes.
    """
    return with_retries(address, lambda: try_bind(address, accept_timeout_s, reuse))


def try_bind(address: tuple[str, int], accept_timeout_s: float, reuse: bool) -> socket.socket:
    """Try once to bind; raise the OSError of a failed call."""
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
    """Listen on a bound socket; raise ListenError if that fails."""
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
    """Count a failed accept, log it, evict idle connections if descriptors stay short, and pause.

    Once the server has stopped accepting, only count the failure, so that the shutdown is not delayed.
    """
    pause_s = failures.on_failure(error)
    if not pause_s or not is_accepting:
        return
    if log_limit.allow(now_us()) >= 0:
        log.warning("accept failed", extra=fields(reason=error))
    if pause_s >= SHORTAGE_DELAY_S:
        evict()
    time.sleep(pause_s)


def with_retries(address: tuple[str, int], call: Callable[[], Result]) -> Result:
    """Return a call's result; retry transient errors for START_TIMEOUT_S, then raise ListenError.

    Without retries, one transient failure would end a start, and no router would run until the next start.
    """
    deadline = time.monotonic() + START_TIMEOUT_S
    tries = 1
    while True:
        try:
            result = call()
        except OSError as error:
            reason = error.strerror or str(error)
            if error.errno not in TRANSIENT_ERRORS or time.monotonic() >= deadline:
                raise ListenError(f"can't listen at {address[0]}:{address[1]}: {reason}") from None
            if tries == 1:
                LOG.warning("can't listen yet", extra=fields(address=address, reason=reason))
        else:
            if tries > 1:
                LOG.info("can listen now", extra=fields(address=address, tries=tries))
            return result
        tries += 1
        time.sleep(RETRY_INTERVAL_S)
