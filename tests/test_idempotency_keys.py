"""Writes with an idempotency key: no attempt after the deduplication window where one may have run."""

from __future__ import annotations

import unittest
import unittest.mock
from typing import Any

import pytest

from lupintack import interface as i
from lupintack.clock import now_us
from lupintack.core.actor import Core
from lupintack.core.attempt_status import AttemptStatus
from lupintack.core.member_table import MemberTable
from lupintack.core.messages import Attempt, AttemptResult, ClientRequest
from lupintack.core.table_updates import Endpoint
from lupintack.peers import connection_pool, platform_wire
from lupintack.peers.config import PeerConfig
from lupintack.peers.connection import Connection
from lupintack.peers.messages import SlotReleased
from lupintack.peers.peer import Peer
from lupintack.standins import deployment
from tests import helpers as h
from tests.scenario import Scenario

POST = "/ops/post/00000000000000ad"
KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


def settings_with_window(window_ms: float, **limits: Any) -> dict[str, Any]:
    """Return the second deployment's settings with another deduplication window."""
    base = deployment.SECOND_SETTINGS
    return base | {
        "services": [
            *deployment.SECOND_CLASSES[:2],
            deployment.SECOND_CLASSES[2] | {"dedup-window": window_ms},
        ],
        "limits": base["limits"] | limits,
    }


class DeduplicationWindowTest(unittest.TestCase):
    """Tests through a whole router."""

    def test_lost_answers_within_the_deduplication_window_are_retried(self) -> None:
        for wait in ("0", "300"):
            Scenario(settings=settings_with_window(800.0)).run(f"""
                client a send PUT {POST} Req-Token:{KEY} Req-Wait-Ms:3000 body=x
                cache expect w nonce={KEY}
                wait {wait}
                cache close w
                cache expect v nonce={KEY} body=x
                cache send v ok entity=t1,issued={{now}}
                client a expect 200
            """)

    def test_an_answer_lost_after_the_window_is_rejected_and_the_client_may_retry(self) -> None:
        """The scope is all caches, so a rejection is allowed: the client keeps its own window."""
        Scenario(settings=settings_with_window(200.0)).run(f"""
            client a send PUT {POST} Req-Token:{KEY} Req-Wait-Ms:3000 body=x
            cache expect w
            wait 250
            cache close w
            client a expect 503
            cache expect nothing 50
        """)

    def test_client_retry_is_sent_within_the_window_but_not_after_it(self) -> None:
        scenario = Scenario(settings=settings_with_window(700.0))
        first_members: list[int] = []
        scenario.node.core.trace = lambda now, events, actions: first_members.extend(
            event.first_attempt_member for event in events if isinstance(event, i.Request)
        )
        scenario.run(f"""
            client a send PUT {POST} Req-Token:{KEY} Req-Wait-Ms:3000 body=x
            cache expect w nonce={KEY}
            client b send PUT {POST} Req-Token:{KEY} Req-Wait-Ms:3000 body=x
            cache expect v nonce={KEY} body=x
            cache send v ok entity=t1,issued={{now}}
            client b expect 200
            wait 800
            client c send PUT {POST} Req-Token:{KEY} Req-Wait-Ms:3000 body=x
            client c expect 503
            cache expect nothing 50
        """)
        self.assertEqual([member != 0 for member in first_members], [False, True, True])

    def test_attempt_without_effect_starts_no_window(self) -> None:
        Scenario(settings=settings_with_window(200.0, **{"try-limit": 1})).run(f"""
            client a send PUT {POST} Req-Token:{KEY} body=x
            cache expect w
            cache send w refused
            client a expect 503
            wait 300
            client a send PUT {POST} Req-Token:{KEY} body=x
            cache expect v nonce={KEY}
            cache send v ok entity=t1,issued={{now}}
            client a expect 200
        """)

    def test_without_cancellation_a_member_receives_the_limit_and_no_cancel(self) -> None:
        media = "/ops/media/00000000000000ae"
        Scenario(settings=settings_with_window(200.0, cancelling=False)).run(f"""
            client a send GET {media} Req-Wait-Ms:300
            cache expect w limit=2??
            client a expect 50?
            cache expect nothing 100
        """)


class HealthCheckTest(unittest.TestCase):
    """Health checks of a silent connection."""

    def test_negative_repeated_and_late_health_answers_are_not_bad_frames(self) -> None:
        with unittest.mock.patch.multiple(
            connection_pool, HEALTH_CHECK_AFTER_US=100_000, HEALTH_CHECK_TIMEOUT_US=500_000
        ):
            scenario = Scenario(settings=deployment.SECOND_SETTINGS)
            scenario.run("""
                client a send GET /ops/media/00000000000000aa Req-Wait-Ms:5000
                cache expect w
                cache expect there no - ''
                cache send w raw '*4\\r\\n$1\\r\\n5\\r\\n$3\\r\\nyes\\r\\n$1\\r\\n-\\r\\n$0\\r\\n\\r\\n'
                cache send w ok - slow
                client a expect 200 body=slow
            """)
        self.assertEqual(scenario.node.core.counters["ended.bad_frame"], 0)
        self.assertEqual(scenario.node.core.counters["ended.health_check_failed"], 0)


@pytest.mark.parametrize("group", ["all", "zone", "cell"])
def test_attempt_of_an_earlier_request_restricts_scope_and_window(group: str) -> None:
    cls = i.ServiceClass(
        name="c",
        latency_objective_ms=500.0,
        deadline_ms=5000.0,
        idempotency=i.Idempotency.KEYED,
        deduplication_scope=group,
        deduplication_window_ms=1000.0,
    )
    for member, first_attempt_ms, allowed in (
        (h.CACHES[0], 600.0, True),
        (h.CACHES[0], -1.0, False),
        (999, 600.0, group == "all"),
    ):
        router = h.router(classes=(cls,))
        request = h.request(
            1, cls=0, now=1000.0, size_kb=0.0, first_attempt_ms=first_attempt_ms, first_attempt_member=member
        )
        actions = router.handle(1000.0, [request])
        fetches = h.fetches(actions)
        assert bool(fetches) == allowed, (group, member, first_attempt_ms)
        for fetch in fetches:
            assert group != "cell" or fetch.member % 2 == member % 2
        if not allowed:
            assert isinstance(h.final_answers(actions)[0], i.Reject if group == "all" else i.Fail)


def make_attempt(**changes: Any) -> Attempt:
    sink = unittest.mock.Mock(is_disconnected=lambda: False)
    request = ClientRequest("0" * 16, 2, "0" * 16, 1, 0, 0, now_us() + 10_000_000, sink, class_name="post")
    values: dict[str, Any] = dict(
        request=request, number=0, member=11, source=0, class_name="post", source_name="",
        retention_priority=0, max_age_ms=0.0,
        coalesce=False, revalidate=False, only_if_cached=False, decided_us=now_us(), purges_known=0,
        is_outdated=lambda attempt: False,
    )  # fmt: skip
    return Attempt(**(values | changes))


def unconnected_peer(reported: list[AttemptResult]) -> Peer:
    """Return a peer that never connects by itself, so that attempts sent to it wait."""
    peer = Peer("s-1", ("127.0.0.1", 1), PeerConfig(32, 400_000, 15_000_000, ()), reported.append,
                      lambda run, name: None)  # fmt: skip
    return peer


def test_attempt_waiting_past_the_window_is_not_written() -> None:
    reported: list[AttemptResult] = []
    peer = unconnected_peer(reported)
    peer.send(make_attempt(not_after_us=now_us() + 10_000_000))
    assert not reported and len(peer.waiting_attempts) == 1
    peer.waiting_attempts[0].not_after_us = now_us() - 1
    peer.enqueue(SlotReleased())
    assert [result.status for result in reported] == [AttemptStatus.OUTDATED] and not peer.waiting_attempts


def test_end_of_cancelled_attempt_is_reported_once_after_notifying_the_member() -> None:
    reported: list[AttemptResult] = []
    peer = unconnected_peer(reported)
    waiting, unanswered = make_attempt(), make_attempt()
    peer.send(waiting)
    peer.cancel(waiting, notify=True)
    assert [(result.attempt, result.status) for result in reported] == [
        (waiting, AttemptStatus.OUTDATED)
    ]  # no byte was written
    conn = Connection(peer)
    written: list[bytes] = []

    def write(data: bytes) -> bool:
        written.append(data)
        return True

    conn.send = write  # type: ignore[method-assign]
    peer.pool.connections.append(conn)
    conn.open_attempts[unanswered.request.wire_id] = unanswered
    peer.cancel(unanswered, notify=True)
    assert reported[-1].status is AttemptStatus.CANCELLED and b"never_mind" in written[0]
    peer.cancel(unanswered, notify=True)  # already ended and reported
    conn.open_attempts[unanswered.request.wire_id] = unanswered
    peer.cancel(unanswered)
    assert len(reported) == 2


def test_router_receives_end_of_cancelled_attempt_after_member_is_notified() -> None:
    """Otherwise another attempt could run concurrently with it, where hedging is not allowed."""
    link = unittest.mock.Mock()
    member_table = MemberTable(6000.0)
    core = Core(h.settings(allows_hedging=False), 7, member_table, lambda number, host: link)
    sink = unittest.mock.Mock(is_disconnected=lambda: False)
    request = ClientRequest("0" * 16, h.SAFE, "0" * 16, 5, 0, 0, now_us() + 10_000_000, sink, class_name="a")
    core.intake.accept(request)
    core.member_links.endpoints[11] = Endpoint("s-1", ("127.0.0.1", 1))
    core.perform(i.Fetch(request.number, 11, 21))
    attempt = core.requests_in_flight[request.number].open_attempts[0]
    core.perform(i.Cancel(request.number, 0))
    link.cancel.assert_called_once_with(attempt, notify=True)
    assert core.requests_in_flight[request.number].open_attempts and not core.mailbox.deferred_events
    events: list[i.Event] = []
    core.results.on_result(AttemptResult(attempt, AttemptStatus.CANCELLED), events)
    assert not core.requests_in_flight[request.number].open_attempts
    assert [e.outcome for e in events if isinstance(e, i.AttemptEnded)] == [i.Outcome.CANCELLED]


@pytest.mark.parametrize("cancelling", [True, False])
def test_attempt_limit_is_the_remaining_wait_of_the_client(cancelling: bool) -> None:
    """A shorter limit for the attempt would not prove its end: the member might still be working past it."""
    link = unittest.mock.Mock()
    settings = h.settings(allows_cancellation=cancelling, allows_hedging=False)
    core = Core(settings, 7, MemberTable(6000.0), lambda number, host: link)
    sink = unittest.mock.Mock(is_disconnected=lambda: False)
    request = ClientRequest("0" * 16, h.SAFE, "0" * 16, 5, 0, 0, now_us() + 10_000_000, sink, class_name="a")
    core.intake.accept(request)
    core.member_links.endpoints[11] = Endpoint("s-1", ("127.0.0.1", 1))
    core.perform(i.Fetch(request.number, 11, 21))
    attempt = core.requests_in_flight[request.number].open_attempts[0]
    assert b"limit=9999\r\n" in platform_wire.encode_attempt(attempt, request.deadline_us - 9_999_000)
    events: list[i.Event] = []
    core.state.now_us = request.deadline_us - 1
    core.fire_due_timers(events)
    assert (
        not [e for e in events if isinstance(e, i.AttemptEnded)]
        and attempt in core.requests_in_flight[request.number].open_attempts.values()
    )
    core.state.now_us = request.deadline_us
    core.fire_due_timers(events)
    assert [e.outcome for e in events if isinstance(e, i.AttemptEnded)] == [i.Outcome.TIMEOUT]
    link.cancel.assert_called_once_with(attempt)
