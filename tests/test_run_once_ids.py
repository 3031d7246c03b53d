"""Ids of CDNI requests that must not run twice: how long and how many of them are remembered."""

from __future__ import annotations

import unittest.mock

from lupintack.fronts import platform_headers
from lupintack.fronts.cdni import run_once_ids
from tests.scenario import Scenario
from tests.test_cdni import CONFIG, DOWNSTREAM

ACK = "/content/own/ack/1"


def test_new_ids_are_refused_where_too_many_are_remembered() -> None:
    """Guards against an alert-ack that runs twice: a further id drove out the oldest one."""
    with unittest.mock.patch.object(run_once_ids, "MAX_REMEMBERED_IDS", 1):
        scenario = Scenario(CONFIG + DOWNSTREAM)
        scenario.run(f"""
            client a send PUT {{cdni}}{ACK} Req-Id:9b1f03aa5c7e2d41 body=seen
            cache expect w cls=alert-ack
            cache close w
            client a expect 502
            client b send PUT {{cdni}}{ACK} Req-Id:0000000000000002 body=seen
            client b expect 503 Retry-After:1
            cache expect nothing 50
            client c send PUT {{cdni}}{ACK} Req-Id:9b1f03aa5c7e2d41 body=seen
            client c expect 409
            cache expect nothing 50
        """)
    assert scenario.node.core.counters["cdni.ids_refused"] == 1


def test_id_is_remembered_after_the_longest_wait_of_its_client() -> None:
    """Guards against an alert-ack that runs twice: its id was forgotten while its client still waited."""
    ids, now_us = run_once_ids.RunOnceIds(), 1_000_000_000
    with unittest.mock.patch.object(run_once_ids, "now_us", side_effect=lambda: now_us):
        assert ids.add("a") is run_once_ids.IdStatus.ADDED
        now_us += platform_headers.MAX_WAIT_MS * 1000 + 59_000_000
        assert ids.add("b") is run_once_ids.IdStatus.ADDED
        assert ids.add("a") is run_once_ids.IdStatus.PRESENT
        now_us += 2_000_000
        assert ids.add("a") is run_once_ids.IdStatus.ADDED
        ids.remove("a")
        assert ids.add("a") is run_once_ids.IdStatus.ADDED
