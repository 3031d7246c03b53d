"""A router process with one planted fault, to verify that each count of the soak can fail.

python -m lupintack.standins.planted NAME
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from typing import Any

from lupintack.core.messages import Attempt


def old_list() -> None:
    """Treat the member list of the configuration as proven current."""
    from lupintack.core.member_table import MemberTable

    MemberTable.require_proof = lambda self, validity_us: None  # type: ignore[method-assign]


def no_answer() -> None:
    """Never write every twentieth answer."""
    from lupintack.fronts import http1_connection

    reply = http1_connection.Http1Connection.reply
    count = [0]

    def reply_or_lose(self: Any, exchange: Any, data: Any, close: bool) -> bool:
        count[0] += 1
        if count[0] % 20 == 0:
            self.sock.shutdown(2)
            return True
        return reply(self, exchange, data, close)

    http1_connection.Http1Connection.reply = reply_or_lose  # type: ignore[method-assign]


def two_answers() -> None:
    """Write every twentieth answer twice."""
    from lupintack.fronts import http1_connection

    write = http1_connection.Http1Connection.write_now
    count = [0]

    def write_twice(self: Any, data: Any) -> Any:
        count[0] += 1
        unwritten = write(self, data)
        return write(self, data) if count[0] % 20 == 0 and not unwritten else unwritten

    http1_connection.Http1Connection.write_now = write_twice  # type: ignore[method-assign]


def second_run() -> None:
    """Retry attempts that may have run, regardless of the service class."""
    from lupintack.decisions import retries

    retries.may_repeat = lambda state, endpoint, now_ms: True


def gone_client() -> None:
    """Ignore client disconnects."""
    from lupintack.core.actor import Core
    from lupintack.fronts.platform import ClientSink

    Core.on_client_disconnected = lambda self, request: None  # type: ignore[method-assign]
    ClientSink.is_disconnected = lambda self: False  # type: ignore[method-assign]


def long_deadline() -> None:
    """Send attempts with a limit longer than the remaining time of their clients."""
    from lupintack.peers import platform_wire

    encode_attempt = platform_wire.encode_attempt

    def with_longer_limit(attempt: Attempt, now_us: int) -> bytes:
        return encode_attempt(attempt, now_us - 900_000)

    platform_wire.encode_attempt = with_longer_limit


def no_budget() -> None:
    """Send a cold member as many requests as a warm one."""
    from lupintack.decisions.slow_start import SlowStart

    SlowStart.factor = lambda self, now_ms: 1.0  # type: ignore[method-assign]


def deaf_to_purges() -> None:
    """Ignore purges."""
    from lupintack.core.member_table import MemberTable

    MemberTable.purge = lambda self, *args, **more: None  # type: ignore[method-assign]


def failed_for_rejected() -> None:
    """Report every unserved request as failed, even if no attempt was sent."""
    from lupintack.core.responder import Responder
    from lupintack.interface import Fail

    def finish_as_failed(self: Any, entry: Any, reason: str) -> None:
        self.finish(entry, Fail(entry.request.number, reason))

    Responder.finish_unserved = finish_as_failed  # type: ignore[method-assign]


def late_end() -> None:
    """Delay the start of a shutdown by 3 s."""
    from lupintack import node

    stop = node.Node.stop

    def stop_late(self: Any, terminated_s: float | None = None) -> None:
        time.sleep(3.0)
        stop(self, None)

    node.Node.stop = stop_late  # type: ignore[method-assign]


def slow_start() -> None:
    """Wait too long for the member list at the start."""
    from lupintack import node

    node.MAX_LIST_WAIT_S = 40.0
    from lupintack.discovery.client import DiscoveryClient

    DiscoveryClient.run = lambda self: None  # type: ignore[method-assign]


FAULTS: dict[str, Callable[[], None]] = {
    fault.__name__: fault
    for fault in (
        old_list, no_answer, two_answers, second_run, gone_client, long_deadline, no_budget, deaf_to_purges,
        failed_for_rejected, late_end,
        slow_start,
    )
}  # fmt: skip


if __name__ == "__main__":
    FAULTS[sys.argv[1]]()
    from lupintack.__main__ import start

    start()
