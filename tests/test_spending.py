"""Tests of router processes that spend a fleet budget: origin fills, counted at the origin, during faults."""

from __future__ import annotations

import time
from pathlib import Path

from lupintack.standins.deployment import HOSTS
from lupintack.standins.fleet import Fleet, Terms
from lupintack.standins.routers import Routers
from lupintack.standins.store import ANSWER_TIMEOUT_S, Clients, OpenRequests
from tests.test_division import TABLE, LeaseRecorder

ORIGIN_FILLS = 12
CLIENTS_PER_ROUTER = 4  # clients per router; each has one request at a time
BUDGETS_TABLE = TABLE | {
    "per_second": {}, "at_once": {"store-fills": ORIGIN_FILLS}, "floor_percent": 25, "promise_ms": 1000,
    "lease_ms": 2400,
}  # fmt: skip
HOSTS_WITHOUT_PARENTS = {name: kind for name, kind in HOSTS.items() if kind != "parent"}


def test_origin_fills_of_all_routers_stay_within_budget_when_allocator_dies(tmp_path: Path) -> None:
    """The clients of six processes demand twice the budget. The origin's fills never exceed the budget and
    use most of it while there is an allocator. Each request gets one reply; a rejection has a retry time.
    """
    origin_level = OpenRequests()
    fleet = Fleet(Terms(delay_s=lambda name, cls: 0.1), HOSTS_WITHOUT_PARENTS)
    fleet.watch = origin_level.watch
    routers = Routers(tmp_path, 6, tables=lambda name: {"budgets": BUDGETS_TABLE}, fleet=fleet)
    clients = None
    try:
        routers.start()
        recorder = LeaseRecorder(routers)
        routers.wait_until(
            lambda: bool(recorder.allocator()) and recorder.leased_share() > 0.99,
            20.0,
            "all units are leased",
        )
        clients = Clients(routers.listen, CLIENTS_PER_ROUTER)
        routers.wait_until(lambda: origin_level.open > ORIGIN_FILLS / 2, 20.0, "the origin is in use")
        started_s = time.monotonic()
        routers.wait_until(
            lambda: origin_level.mean(started_s, time.monotonic()) > ORIGIN_FILLS * 0.5,
            20.0,
            "most of the budget is used",
        )
        first = recorder.await_allocator("an allocator")
        recorder.kill(first)
        recorder.await_allocator("another allocator", first)
        routers.wait_until(
            lambda: recorder.leased_share() > 0.8, 20.0, "the killed router's units are leased"
        )
        routers.launch(first)
        second = recorder.await_allocator("an allocator")
        routers.pause([second])
        paused_s = time.monotonic()
        recorder.await_allocator("a third allocator", second)
        routers.resume([second])
        paused_s = time.monotonic() - paused_s
        routers.wait_until(lambda: recorder.leased_share() > 0.8, 20.0, "the paused router has a lease again")
        end_counts = clients.stop()
        assert 0 < origin_level.max_open() <= ORIGIN_FILLS
        assert end_counts["200"] > 100 and end_counts["503"] > 100
        killed_ends, paused_ends = clients.by_router.pop(first), clients.by_router.pop(second)
        assert all(set(ends) <= {"200", "503"} for ends in clients.by_router.values()), clients.by_router
        # Requests that the killed process had read, or its kernel had accepted while it ended, get no reply:
        # at most two per client. While no process is listening, connections are refused.
        assert (
            set(killed_ends) <= {"200", "503", "refused", "unanswered"}
            and killed_ends["unanswered"] <= 2 * CLIENTS_PER_ROUTER
        ), killed_ends
        # Requests that expired in the paused process fail when it resumes, at most one per client, or their
        # clients have disconnected by then.
        assert (
            set(paused_ends) <= {"200", "503", "502", "unanswered"}
            and paused_ends["502"] <= CLIENTS_PER_ROUTER
        ), paused_ends
        assert paused_ends["unanswered"] <= CLIENTS_PER_ROUTER * (1 + int(paused_s / ANSWER_TIMEOUT_S)), (
            paused_s,
            paused_ends,
        )
        assert not [name for name in routers.names if "Traceback" in routers.log(name)]
    finally:
        if clients is not None:
            clients.stop()
        routers.close()
