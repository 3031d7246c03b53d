"""Writes with a key: each attempt in the archive's window, none after it where one may have run."""

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


def window(ms: float, **limits: Any) -> dict[str, Any]:
    """The second deployment, with another window."""
    base = deployment.SECOND
    return base | {
        "services": [*deployment.BOARDS[:2], deployment.BOARDS[2] | {"dedup-window": ms}],
        "limits": base["limits"] | limits,
    }


class Window(unittest.TestCase):
    """Through the whole program."""

    def test_lost_answers_within_the_deduplication_window_are_retried(self) -> None:
        for wait in ("0", "300"):
            Scenario(settings=window(800.0)).run(f"""
                client a send PUT {POST} Req-Token:{KEY} Req-Wait-Ms:3000 body=x
                cache expect w nonce={KEY}
                wait {wait}
                cache close w
                cache expect v nonce={KEY} body=x
                cache send v ok entity=t1,issued={{now}}
                client a expect 200
            """)

    def test_an_answer_lost_after_the_window_is_rejected_and_the_client_may_retry(self) -> None:
        """The group is all caches, so a refusal is allowed: the client knows its own window."""
        Scenario(settings=window(200.0)).run(f"""
            client a send PUT {POST} Req-Token:{KEY} Req-Wait-Ms:3000 body=x
            cache expect w
            wait 250
            cache close w
            client a expect 503
            cache expect nothing 50
        """)

    def test_a_client_retry_is_sent_beside_the_routers_retry_but_not_after_the_window(self) -> None:
        play = Scenario(settings=window(700.0))
        sent: list[int] = []
        play.node.core.trace = lambda now, events, actions: sent.extend(
            one.first_attempt_member for one in events if isinstance(one, i.Request)
        )
        play.run(f"""
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
        self.assertEqual([member != 0 for member in sent], [False, True, True])

    def test_an_attempt_proved_without_effect_opens_no_window(self) -> None:
        Scenario(settings=window(200.0, **{"try-limit": 1})).run(f"""
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

    def test_without_cancellation_a_member_gets_the_limit_and_nothing_more(self) -> None:
        media = "/ops/media/00000000000000ae"
        Scenario(settings=window(200.0, cancelling=False)).run(f"""
            client a send GET {media} Req-Wait-Ms:300
            cache expect w limit=2??
            client a expect 50?
            cache expect nothing 100
        """)


class There(unittest.TestCase):
    """Probes of a silent connection."""

    def test_negative_repeated_and_late_health_answers_are_not_bad_frames(self) -> None:
        with unittest.mock.patch.multiple(
            connection_pool, HEALTH_CHECK_AFTER_US=100_000, HEALTH_CHECK_TIMEOUT_US=500_000
        ):
            play = Scenario(settings=deployment.SECOND)
            play.run("""
                client a send GET /ops/media/00000000000000aa Req-Wait-Ms:5000
                cache expect w
                cache expect there no - ''
                cache send w raw '*4\\r\\n$1\\r\\n5\\r\\n$3\\r\\nyes\\r\\n$1\\r\\n-\\r\\n$0\\r\\n\\r\\n'
                cache send w ok - slow
                client a expect 200 body=slow
            """)
        self.assertEqual(play.node.core.counters["ended.bad_frame"], 0)
        self.assertEqual(play.node.core.counters["ended.health_check_failed"], 0)


@pytest.mark.parametrize("group", ["all", "zone", "cell"])
def test_an_earlier_request_s_attempt_binds_group_and_window(group: str) -> None:
    cls = i.ServiceClass(
        name="c",
        latency_objective_ms=500.0,
        deadline_ms=5000.0,
        idempotency=i.Idempotency.KEYED,
        deduplication_scope=group,
        deduplication_window_ms=1000.0,
    )
    for member, at, allowed in (
        (h.CACHES[0], 600.0, True),
        (h.CACHES[0], -1.0, False),
        (999, 600.0, group == "all"),
    ):
        made = h.router(classes=(cls,))
        request = h.request(
            1, cls=0, now=1000.0, size_kb=0.0, first_attempt_ms=at, first_attempt_member=member
        )
        actions = made.handle(1000.0, [request])
        sent = h.fetches(actions)
        assert bool(sent) == allowed, (group, member, at)
        for one in sent:
            assert group != "cell" or one.member % 2 == member % 2
        if not allowed:
            assert isinstance(h.final_answers(actions)[0], i.Reject if group == "all" else i.Fail)


def make_attempt(**changes: Any) -> Attempt:
    sink = unittest.mock.Mock(is_disconnected=lambda: False)
    request = ClientRequest("0" * 16, 2, "0" * 16, 1, 0, 0, now_us() + 10_000_000, sink, class_name="post")
    values: dict[str, Any] = dict(
        request=request, number=0, member=11, source=0, class_name="post", source_name="",
        retention_priority=0, max_age_ms=0.0,
        coalesce=False, revalidate=False, only_if_cached=False, decided_us=now_us(), purges_known=0,
        is_outdated=lambda one: False,
    )  # fmt: skip
    return Attempt(**(values | changes))


def peer(reported: list[AttemptResult]) -> Peer:
    """A member whose connection never comes up by itself: what is sent to it waits."""
    made = Peer("s-1", ("127.0.0.1", 1), PeerConfig(32, 400_000, 15_000_000, ()), reported.append,
                      lambda run, name: None)  # fmt: skip
    return made


def test_an_attempt_that_waited_past_the_window_is_not_written() -> None:
    reported: list[AttemptResult] = []
    one = peer(reported)
    one.send(make_attempt(not_after_us=now_us() + 10_000_000))
    assert not reported and len(one.waiting_attempts) == 1
    one.waiting_attempts[0].not_after_us = now_us() - 1
    one.enqueue(SlotReleased())
    assert [end.status for end in reported] == [AttemptStatus.OUTDATED] and not one.waiting_attempts


def test_a_cancelled_attempt_s_end_is_reported_once_after_the_member_was_notified() -> None:
    reported: list[AttemptResult] = []
    one = peer(reported)
    waiting, silent = make_attempt(), make_attempt()
    one.send(waiting)
    one.cancel(waiting, notify=True)
    assert [(end.attempt, end.status) for end in reported] == [
        (waiting, AttemptStatus.OUTDATED)
    ]  # no byte was written
    conn = Connection(one)
    written: list[bytes] = []

    def write(data: bytes) -> bool:
        written.append(data)
        return True

    conn.send = write  # type: ignore[method-assign]
    one.pool.connections.append(conn)
    conn.open_attempts[silent.request.wire_id] = silent
    one.cancel(silent, notify=True)
    assert reported[-1].status is AttemptStatus.CANCELLED and b"never_mind" in written[0]
    one.cancel(silent, notify=True)  # it has ended, and its end was reported
    conn.open_attempts[silent.request.wire_id] = silent
    one.cancel(silent)
    assert len(reported) == 2


def test_the_router_receives_a_cancelled_attempt_s_end_after_the_member_was_notified() -> None:
    """Else another one could be out beside it, where that is barred."""
    link = unittest.mock.Mock()
    member_table = MemberTable(6000.0)
    core = Core(h.settings(allows_hedging=False), 7, member_table, lambda number, host: link)
    sink = unittest.mock.Mock(is_disconnected=lambda: False)
    request = ClientRequest("0" * 16, h.SAFE, "0" * 16, 5, 0, 0, now_us() + 10_000_000, sink, class_name="a")
    core.intake.accept(request)
    core.member_links.endpoints[11] = Endpoint("s-1", ("127.0.0.1", 1))
    core.perform(i.Fetch(request.number, 11, 21))
    out = core.requests_in_flight[request.number].open_attempts[0]
    core.perform(i.Cancel(request.number, 0))
    link.cancel.assert_called_once_with(out, notify=True)
    assert core.requests_in_flight[request.number].open_attempts and not core.mailbox.deferred_events
    reported: list[i.Event] = []
    core.results.on_result(AttemptResult(out, AttemptStatus.CANCELLED), reported)
    assert not core.requests_in_flight[request.number].open_attempts
    assert [e.outcome for e in reported if isinstance(e, i.AttemptEnded)] == [i.Outcome.CANCELLED]


@pytest.mark.parametrize("cancelling", [True, False])
def test_an_attempt_carries_the_client_s_full_wait_and_ends_with_it(cancelling: bool) -> None:
    """No limit of its own: past it the member would still be at work, and nothing would prove its end."""
    link = unittest.mock.Mock()
    settings = h.settings(allows_cancellation=cancelling, allows_hedging=False)
    core = Core(settings, 7, MemberTable(6000.0), lambda number, host: link)
    sink = unittest.mock.Mock(is_disconnected=lambda: False)
    request = ClientRequest("0" * 16, h.SAFE, "0" * 16, 5, 0, 0, now_us() + 10_000_000, sink, class_name="a")
    core.intake.accept(request)
    core.member_links.endpoints[11] = Endpoint("s-1", ("127.0.0.1", 1))
    core.perform(i.Fetch(request.number, 11, 21))
    out = core.requests_in_flight[request.number].open_attempts[0]
    assert b"limit=9999\r\n" in platform_wire.encode_attempt(out, request.deadline_us - 9_999_000)
    reported: list[i.Event] = []
    core.state.now_us = request.deadline_us - 1
    core.fire_due_timers(reported)
    assert (
        not [e for e in reported if isinstance(e, i.AttemptEnded)]
        and out in core.requests_in_flight[request.number].open_attempts.values()
    )
    core.state.now_us = request.deadline_us
    core.fire_due_timers(reported)
    assert [e.outcome for e in reported if isinstance(e, i.AttemptEnded)] == [i.Outcome.TIMEOUT]
    link.cancel.assert_called_once_with(out)
