"""Where neither a second copy nor a cancel is allowed, an attempt is out until its end is proved.

Proofs are an answer, written whole, and the end of its connection. Its `limit` is none: past that its member
may still be at work (docs/protocol.md).
"""

from __future__ import annotations

import time
import unittest.mock
from collections.abc import Iterator
from typing import Any

import pytest

from lupintack.peers import actor
from lupintack.policy import SOFT_LEAST_MS
from lupintack.standins import deployment
from lupintack.standins.audit import Audit, Place, Sent
from tests.scenario import Scenario

PAGE = "/ops/pages/00000000000000ad"
PAST_SOFT_MS = int(3 * SOFT_LEAST_MS)  # an attempt for a page is long overdue then


def neither(**limits: Any) -> dict[str, Any]:
    """The second deployment, with both barred."""
    barred = {"second-copies": False, "cancelling": False, "try-limit": 6}
    return deployment.SECOND | {"limits": deployment.SECOND["limits"] | barred | limits}


@pytest.fixture
def quick_silence() -> Iterator[None]:
    """A connection that says nothing is ended sooner."""
    with unittest.mock.patch.multiple(actor, ASK_AFTER_US=300_000, ASK_LIMIT_US=300_000):
        yield


def test_an_overdue_answer_is_taken_and_nothing_goes_out_beside_it() -> None:
    play = Scenario(settings=neither())
    play.run(f"""
        client a send GET {PAGE} Req-Wait-Ms:5000
        cache expect w limit=4???
        cache expect there yes - ''
        wait {PAST_SOFT_MS}
        cache send w ok - late
        client a expect 200 body=late
    """)
    assert play.node.core.counters["sent.pages"] == 1


def test_an_error_past_the_soft_limit_lets_another_attempt_out() -> None:
    Scenario(settings=neither()).run(f"""
        client a send GET {PAGE} Req-Wait-Ms:5000
        cache expect w
        wait {int(SOFT_LEAST_MS)}
        cache send w error
        cache expect v
        cache send v ok - second
        client a expect 200 body=second
    """)


def test_the_end_of_its_connection_lets_another_attempt_out() -> None:
    Scenario(settings=neither()).run(f"""
        client a send GET {PAGE} Req-Wait-Ms:5000
        cache expect w
        wait {int(SOFT_LEAST_MS)}
        cache close w
        cache expect v
        cache send v ok - second
        client a expect 200 body=second
    """)


@pytest.mark.usefixtures("quick_silence")
def test_a_silent_connection_is_ended_and_lets_another_attempt_out() -> None:
    play = Scenario(settings=neither())
    play.run(f"""
        client a send GET {PAGE} Req-Wait-Ms:8000
        cache expect w
        cache expect there
        cache expect v
        cache send v ok - second
        client a expect 200 body=second
    """)
    assert play.node.core.counters["ended.silent"] == 1


def test_a_request_whose_attempt_brings_nothing_is_answered_at_its_deadline() -> None:
    play = Scenario(settings=neither())
    began = time.monotonic()
    play.run(f"""
        client a send GET {PAGE} Req-Wait-Ms:500
        cache expect w
        client a expect 50?
        cache expect nothing 100
    """)
    assert time.monotonic() - began >= 0.5 and play.node.core.counters["sent.pages"] == 1


def audited(**limits: Any) -> Audit:
    """A strict member's view of one read that its client has sent."""
    audit = Audit(neither(**limits), {"s-1": Place("box", "edge"), "s-2": Place("box", "edge")})
    audit.client("0" * 16, Sent("pages", "0" * 16, "0", "", b"", "", 5000))
    return audit


TOLD = {"cls": "pages", "item": "0" * 16, "chunk": "0", "limit": "1"}


@pytest.mark.parametrize("allowed", [True, False])
def test_the_stand_ins_hold_what_is_past_its_limit_to_be_out(allowed: bool) -> None:
    audit = audited(**{"second-copies": allowed})
    clock = unittest.mock.Mock(return_value=1000.0)
    with unittest.mock.patch("lupintack.standins.audit.time.time", clock):
        first = audit.began("s-1", "0" * 16, TOLD, b"")
        clock.return_value = 1010.0
        second = audit.began("s-2", "0" * 16, TOLD, b"")
        audit.ended(second, "ok")
        clock.return_value = 1011.0
        audit.ended(first, "ok")
    assert bool(audit.faults) != allowed


def test_the_stand_ins_hold_what_is_never_answered_to_be_out() -> None:
    audit = audited()
    clock = unittest.mock.Mock(return_value=1000.0)
    with unittest.mock.patch("lupintack.standins.audit.time.time", clock):
        audit.began("s-1", "0" * 16, TOLD, b"")
        clock.return_value = 1010.0
        audit.ended(audit.began("s-2", "0" * 16, TOLD, b""), "ok")
        assert not audit.faults
        clock.return_value = 1011.0
        audit.close()
    assert len(audit.faults) == 1
