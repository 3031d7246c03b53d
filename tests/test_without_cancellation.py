"""Where neither hedging nor cancelling is allowed, an attempt counts as open until its end is proved.

Proofs are a complete answer and the end of its connection. The attempt's `limit` is no proof: the member may
still be working after it (docs/protocol.md).
"""

from __future__ import annotations

import time
import unittest.mock
from collections.abc import Iterator
from typing import Any

import pytest

from lupintack.clock import now_us
from lupintack.core.actor import Core
from lupintack.core.attempt_status import AttemptStatus
from lupintack.core.member_table import MemberTable
from lupintack.core.messages import AttemptResult, ClientRequest
from lupintack.core.table_updates import Endpoint
from lupintack.decisions.retries import MIN_OVERDUE_MS
from lupintack.interface import Fetch
from lupintack.peers import connection_pool
from lupintack.peers.config import PeerConfig
from lupintack.peers.connection import Connection
from lupintack.peers.messages import SlotReleased
from lupintack.peers.peer import Peer
from lupintack.standins import deployment
from lupintack.standins.audit import Audit, MemberLocation, SentRequest
from tests import helpers as h
from tests.scenario import Scenario
from tests.test_idempotency_keys import make_attempt

PAGE = "/ops/pages/00000000000000ad"
LONG_OVERDUE_MS = int(3 * MIN_OVERDUE_MS)  # an attempt for a page is long overdue after this


def without_hedging_or_cancelling(**limits: Any) -> dict[str, Any]:
    """Return the second deployment's settings, with hedging and cancelling not allowed."""
    restrictions = {"second-copies": False, "cancelling": False, "try-limit": 6}
    return deployment.SECOND_SETTINGS | {
        "limits": deployment.SECOND_SETTINGS["limits"] | restrictions | limits
    }


@pytest.fixture
def short_health_check_times() -> Iterator[None]:
    """Shorten the health check times, so that a silent connection is closed sooner."""
    with unittest.mock.patch.multiple(
        connection_pool, HEALTH_CHECK_AFTER_US=300_000, HEALTH_CHECK_TIMEOUT_US=300_000
    ):
        yield


def test_overdue_answer_is_served_and_no_other_attempt_is_sent() -> None:
    scenario = Scenario(settings=without_hedging_or_cancelling())
    scenario.run(f"""
        client a send GET {PAGE} Req-Wait-Ms:5000
        cache expect w limit=4???
        cache expect there yes - ''
        wait {LONG_OVERDUE_MS}
        cache send w ok - late
        client a expect 200 body=late
    """)
    assert scenario.node.core.counters["sent.pages"] == 1


def test_error_after_the_overdue_limit_allows_another_attempt() -> None:
    Scenario(settings=without_hedging_or_cancelling()).run(f"""
        client a send GET {PAGE} Req-Wait-Ms:5000
        cache expect w
        wait {int(MIN_OVERDUE_MS)}
        cache send w error
        cache expect v
        cache send v ok - second
        client a expect 200 body=second
    """)


def test_close_of_the_connection_allows_another_attempt() -> None:
    Scenario(settings=without_hedging_or_cancelling()).run(f"""
        client a send GET {PAGE} Req-Wait-Ms:5000
        cache expect w
        wait {int(MIN_OVERDUE_MS)}
        cache close w
        cache expect v
        cache send v ok - second
        client a expect 200 body=second
    """)


@pytest.mark.usefixtures("short_health_check_times")
def test_silent_connection_is_closed_and_allows_another_attempt() -> None:
    scenario = Scenario(settings=without_hedging_or_cancelling())
    scenario.run(f"""
        client a send GET {PAGE} Req-Wait-Ms:8000
        cache expect w
        cache expect there
        cache expect v
        cache send v ok - second
        client a expect 200 body=second
    """)
    assert scenario.node.core.counters["ended.health_check_failed"] == 1


def test_request_without_an_answer_is_failed_at_its_deadline() -> None:
    scenario = Scenario(settings=without_hedging_or_cancelling())
    started_s = time.monotonic()
    scenario.run(f"""
        client a send GET {PAGE} Req-Wait-Ms:500
        cache expect w
        client a expect 50?
        cache expect nothing 100
    """)
    assert time.monotonic() - started_s >= 0.5 and scenario.node.core.counters["sent.pages"] == 1


def test_request_of_a_disconnected_client_is_removed_at_its_deadline() -> None:
    """Its attempt can't be cancelled and may never be answered: its entry would stay in the table forever."""
    link = unittest.mock.Mock()
    core = Core(
        h.settings(allows_hedging=False, allows_cancellation=False),
        7,
        MemberTable(6000.0),
        lambda number, host: link,
    )
    request = ClientRequest(
        "0" * 16,
        h.SAFE,
        "0" * 16,
        5,
        0,
        0,
        now_us() + 10_000_000,
        unittest.mock.Mock(is_disconnected=lambda: False),
        class_name="a",
    )
    core.intake.accept(request)
    core.member_links.endpoints[11] = Endpoint("s-1", ("127.0.0.1", 1))
    core.perform(Fetch(request.number, 11, 21))
    attempt = core.requests_in_flight[request.number].open_attempts[0]
    core.on_client_disconnected(request)
    assert (
        core.requests_in_flight[request.number].is_answered
        and core.requests_in_flight[request.number].open_attempts
    )
    with unittest.mock.patch("lupintack.core.actor.now_us", lambda: request.deadline_us):
        core.run_turn([])
    assert not core.requests_in_flight and not core.requests.number_by_wire_id and not core.router.attempts
    link.cancel.assert_called_once_with(attempt)


def connected_peer(limits: PeerConfig) -> tuple[Peer, Connection, list[AttemptResult], list[bytes]]:
    """Return a peer with one connection, and lists of the reported results and the written bytes."""
    reported: list[AttemptResult] = []
    peer = Peer("s-1", ("127.0.0.1", 1), limits, reported.append, lambda run, name: None)
    conn = Connection(peer)
    conn.is_connected = True
    written: list[bytes] = []

    def write(data: bytes) -> bool:
        written.append(data)
        return True

    conn.send = write  # type: ignore[method-assign]
    conn.close = unittest.mock.Mock()  # type: ignore[method-assign]
    peer.pool.connections.append(conn)
    return peer, conn, reported, written


def test_uncancellable_attempt_occupies_its_connection_until_it_ends() -> None:
    peer, conn, reported, written = connected_peer(
        PeerConfig(2, 400_000, 15_000_000, (), allows_cancellation=False)
    )
    attempts = [make_attempt() for _ in range(3)]
    for n, attempt in enumerate(attempts):
        attempt.request.wire_id = f"{n:016x}"
        peer.send(attempt)
    assert set(conn.open_attempts) == {"0" * 16, "0" * 15 + "1"} and len(peer.waiting_attempts) == 1
    for attempt in attempts[:2]:
        peer.cancel(attempt)
    peer.enqueue(SlotReleased())
    assert (
        not conn.open_attempts
        and conn.attempts_at_member() == 2
        and list(peer.waiting_attempts) == attempts[2:]
        and len(written) == 2
    )
    conn.close.assert_not_called()  # type: ignore[attr-defined]
    peer.tick()
    conn.close.assert_called_once_with()  # type: ignore[attr-defined]
    conn.abandoned_ids.discard("0" * 16)  # its answer has arrived
    peer.enqueue(SlotReleased())
    assert (
        list(conn.open_attempts.values()) == attempts[2:] and conn.attempts_at_member() == 2 and not reported
    )


@pytest.mark.parametrize(("backlog", "is_written"), [(b"", True), (b"stuck", True), (b"", False)])
def test_unwritable_cancel_closes_the_connection_before_the_end_is_reported(
    backlog: bytes, is_written: bool
) -> None:
    peer, conn, reported, written = connected_peer(PeerConfig(32, 400_000, 15_000_000, ()))
    attempt = make_attempt()
    peer.send(attempt)
    conn.backlog += backlog
    if not is_written:
        conn.send = lambda data: False  # type: ignore[method-assign]
    reports_at_close: list[int] = []
    conn.close = lambda: reports_at_close.append(len(reported))  # type: ignore[method-assign]
    peer.cancel(attempt, notify=True)
    assert [result.status for result in reported] == [AttemptStatus.CANCELLED]
    assert reports_at_close == ([] if is_written and not backlog else [0])


def audit_with_read(**limits: Any) -> Audit:
    """Return an audit that has seen a client send one read."""
    audit = Audit(
        without_hedging_or_cancelling(**limits),
        {"s-1": MemberLocation("box", "edge"), "s-2": MemberLocation("box", "edge")},
    )
    audit.register_request("0" * 16, SentRequest("pages", "0" * 16, "0", "", b"", "", 5000))
    return audit


ATTEMPT_FIELDS = {"cls": "pages", "item": "0" * 16, "chunk": "0", "limit": "1"}


@pytest.mark.parametrize("allowed", [True, False])
def test_audit_counts_an_attempt_past_its_limit_as_open(allowed: bool) -> None:
    audit = audit_with_read(**{"second-copies": allowed})
    clock = unittest.mock.Mock(return_value=1000.0)
    with unittest.mock.patch("lupintack.standins.audit.time.time", clock):
        first = audit.on_attempt_started("s-1", "0" * 16, ATTEMPT_FIELDS, b"")
        clock.return_value = 1010.0
        second = audit.on_attempt_started("s-2", "0" * 16, ATTEMPT_FIELDS, b"")
        audit.on_attempt_ended(second, "ok")
        clock.return_value = 1011.0
        audit.on_attempt_ended(first, "ok")
    assert bool(audit.violations) != allowed


def test_audit_counts_an_unanswered_attempt_as_open() -> None:
    audit = audit_with_read()
    clock = unittest.mock.Mock(return_value=1000.0)
    with unittest.mock.patch("lupintack.standins.audit.time.time", clock):
        audit.on_attempt_started("s-1", "0" * 16, ATTEMPT_FIELDS, b"")
        clock.return_value = 1010.0
        audit.on_attempt_ended(audit.on_attempt_started("s-2", "0" * 16, ATTEMPT_FIELDS, b""), "ok")
        assert not audit.violations
        clock.return_value = 1011.0
        audit.close()
    assert len(audit.violations) == 1
