"""Router processes that spend a budget of the fleet: fills at the store, counted there, through faults."""

from __future__ import annotations

import time
from pathlib import Path

from lupintack.standins.deployment import HOSTS
from lupintack.standins.fleet import Fleet, Terms
from lupintack.standins.routers import Routers
from lupintack.standins.store import PATIENCE_S, Clients, Level
from tests.test_division import TABLE, LeaseRecorder

WHOLE = 12
EACH = 4  # clients of each router; each has one request at a time
SPENT = TABLE | {
    "per_second": {}, "at_once": {"store-fills": WHOLE}, "floor_percent": 25, "promise_ms": 1000,
    "lease_ms": 2400,
}  # fmt: skip
NO_PARENTS = {name: kind for name, kind in HOSTS.items() if kind != "parent"}


def test_origin_fills_of_all_routers_stay_within_budget_when_allocator_dies(tmp_path: Path) -> None:
    """Six processes whose clients want twice as much as there is. What is asked of the store never passes
    the whole, is most of it while one divides, and every request has one answer, a refusal with its time.
    """
    level = Level()
    fleet = Fleet(Terms(delay_s=lambda name, cls: 0.1), NO_PARENTS)
    fleet.watch = level.watch
    routers = Routers(tmp_path, 6, tables=lambda name: {"budgets": SPENT}, fleet=fleet)
    clients = None
    try:
        routers.start()
        recorder = LeaseRecorder(routers)
        routers.until(
            lambda: bool(recorder.allocator()) and recorder.leased_share() > 0.99,
            20.0,
            "the whole is divided",
        )
        clients = Clients(routers.listen, EACH)
        routers.until(lambda: level.out > WHOLE / 2, 20.0, "the store is in use")
        begun = time.monotonic()
        routers.until(lambda: level.mean(begun, time.monotonic()) > WHOLE * 0.5, 20.0, "and well used")
        first = recorder.allocator()
        recorder.kill(first)
        routers.until(lambda: recorder.allocator() not in ("", first), 20.0, "another divides")
        routers.until(lambda: recorder.leased_share() > 0.8, 20.0, "also what the dead one had")
        routers.launch(first)
        second = recorder.allocator()
        routers.pause([second])
        slept = time.monotonic()
        routers.until(lambda: recorder.allocator() not in ("", second), 20.0, "a third divides")
        routers.resume([second])
        slept = time.monotonic() - slept
        routers.until(lambda: recorder.leased_share() > 0.8, 20.0, "the one that was paused has a part again")
        ends = clients.stop()
        assert 0 < level.most() <= WHOLE
        assert ends["200"] > 100 and ends["503"] > 100
        dead, paused = clients.by_router.pop(first), clients.by_router.pop(second)
        assert all(set(found) <= {"200", "503"} for found in clients.by_router.values()), clients.by_router
        # What the dead process had read, or its kernel had taken while it died, was not answered: at most two
        # requests of each client; one that is not there refuses connections.
        assert set(dead) <= {"200", "503", "refused", "unanswered"} and dead["unanswered"] <= 2 * EACH, dead
        # What the paused one held past its time was failed when it woke, one request at most of each client,
        # or its client had left by then.
        assert set(paused) <= {"200", "503", "502", "unanswered"} and paused["502"] <= EACH, paused
        assert paused["unanswered"] <= EACH * (1 + int(slept / PATIENCE_S)), (slept, paused)
        assert not [name for name in routers.names if "Traceback" in routers.log(name)]
    finally:
        if clients is not None:
            clients.stop()
        routers.close()
