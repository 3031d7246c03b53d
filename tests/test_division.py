"""Tests of router processes that allocate budgets: the allocator is killed, paused or cut off."""

from __future__ import annotations

import json
import time
import unittest.mock
from collections.abc import Collection, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from lupintack.budgets.codec import BudgetCodec
from lupintack.budgets.hierarchy import Level, LevelActions, LevelPromise
from lupintack.budgets.messages import (
    Epoch,
    LeaseGrant,
    LeaseRequest,
    Message,
    Redirect,
    VoteRelease,
    VoteReply,
    VoteRequest,
)
from lupintack.budgets.terms import Terms
from lupintack.budgets.voter import Promise
from lupintack.cli.main import main
from lupintack.fleet import budgets, vote_files
from lupintack.fleet.budgets import BudgetService, budget
from lupintack.membership.messages import MessageCodec
from lupintack.standins.routers import Routers

TOTAL_UNITS = 1000
TABLE = {
    "enabled": True, "voters": ["n0", "n1", "n2"], "per_second": {"fills": TOTAL_UNITS},
    "at_once": {"probes": 40},
    "floor_percent": 10, "promise_ms": 600, "lease_ms": 1600,
}  # fmt: skip


class LeaseRecorder:
    """Records every lease of any process from the processes' status; all use the same machine's clock."""

    def __init__(self, routers: Routers) -> None:
        self.routers = routers
        self.leases: dict[tuple[str, int], dict[int, tuple[int, tuple[int, ...]]]] = {}
        self.ended_us: dict[tuple[str, int], int] = {}
        self.statuses: dict[str, dict[str, Any]] = {}

    def sample(self) -> None:
        for name in self.routers.running:
            status = self.routers.status(name).get("budgets") if name not in self.routers.paused else None
            if status is not None:
                self.statuses[name] = status
                leases = self.leases.setdefault((name, status["start"]), {})
                leases.update({start: (end, tuple(amounts)) for start, end, amounts in status["leases"]})

    def kill(self, name: str) -> None:
        self.sample()
        self.routers.kill([name])
        self.ended_us[name, self.statuses.pop(name)["start"]] = time.monotonic_ns() // 1000

    def allocator(self) -> str:
        """Return the running allocator that has waited for older leases to expire, or ""."""
        self.sample()
        running = [n for n in self.routers.running if n not in self.routers.paused]
        return next((n for n in running if self.statuses.get(n, {}).get("ready")), "")

    def await_allocator(self, description: str, other_than: str = "") -> str:
        """Wait until there is an allocator, and another one than that named; return its name."""
        names = [""]

        def is_found() -> bool:
            names.append(self.allocator())
            return names[-1] not in ("", other_than)

        self.routers.wait_until(is_found, 20.0, description)
        return names[-1]

    def leased_share(self, n: int = 0) -> float:
        """Return the leased part of the allocatable units now."""
        self.sample()
        leased = sum(
            self.statuses[name]["budgets"][n]["lease"]
            for name in self.routers.running
            if name in self.statuses
        )
        status = self.statuses[next(iter(self.statuses))]["budgets"][n]
        return float(leased / (status["whole"] - 3 * status["floor"]))

    def peak_sum(self, n: int = 0, names: Collection[str] | None = None) -> int:
        """Return the highest sum of all leases, or of those of some routers, at any instant."""
        steps: list[tuple[int, int]] = []
        for key, leases in self.leases.items():
            if names is not None and key[0] not in names:
                continue
            starts = sorted(leases)
            for start, next_start in zip(starts, [*starts[1:], 1 << 62], strict=True):
                end, amounts = leases[start]
                end = min(end, next_start, self.ended_us.get(key, 1 << 62))
                if end > start:
                    steps += [(start, amounts[n]), (end, -amounts[n])]
        current_sum = peak = 0
        for _, change in sorted(steps):
            current_sum += change
            peak = max(peak, current_sum)
        return peak


@contextmanager
def running_routers(folder: Path, count: int = 6) -> Iterator[tuple[Routers, LeaseRecorder]]:
    """Start all routers and wait until an allocator has leased all units."""
    routers = Routers(folder, count, tables=lambda name: {"budgets": TABLE})
    try:
        routers.start()
        recorder = LeaseRecorder(routers)
        routers.wait_until(
            lambda: bool(recorder.allocator()) and recorder.leased_share() > 0.99,
            20.0,
            "all units are leased",
        )
        yield routers, recorder
    finally:
        routers.close()


def test_leases_never_exceed_total_when_allocator_is_killed_paused_or_cut_off(tmp_path: Path) -> None:
    with running_routers(tmp_path) as (routers, recorder):
        first = recorder.await_allocator("an allocator")
        recorder.kill(first)
        recorder.await_allocator("another allocator", first)
        routers.wait_until(
            lambda: recorder.leased_share() > 0.99, 20.0, "the killed router's units are leased"
        )
        routers.launch(first)
        second = recorder.await_allocator("an allocator")
        routers.pause([second])
        recorder.await_allocator("a third allocator", second)
        routers.resume([second])
        routers.wait_until(
            lambda: recorder.leased_share() > 0.99, 20.0, "the paused router has a lease again"
        )
        third = recorder.await_allocator("an allocator")
        other_routers = [name for name in routers.names if name != third]
        routers.switch.split([third], other_routers)
        recorder.await_allocator("an allocator in the majority", third)
        routers.wait_until(
            lambda: recorder.statuses[third]["lease_ends_ms"] == 0, 20.0, "the router cut off has no lease"
        )
        routers.switch.clear_rules()
        routers.wait_until(lambda: recorder.leased_share() > 0.99, 20.0, "all routers have leases again")
        assert not [name for name in routers.names if "Traceback" in routers.log(name)]
        leasable = [row["whole"] - 3 * row["floor"] for row in recorder.statuses[routers.names[0]]["budgets"]]
        assert leasable[0] == TOTAL_UNITS - 3 * 33
        assert 0 < recorder.peak_sum(0) <= leasable[0] and 0 < recorder.peak_sum(1) <= leasable[1]


def test_fleet_budgets_command_shows_leases_of_one_router(tmp_path: Path) -> None:
    with running_routers(tmp_path, 3) as (routers, recorder):
        admin = f"127.0.0.1:{routers.admin['n1']}"
        result = CliRunner().invoke(main, ["fleet", "budgets", "--admin", admin, "--json"])
        assert result.exit_code == 0, result.output
        status = json.loads(result.output)
        assert [row["name"] for row in status["budgets"]] == ["fills", "probes"]
        text_result = CliRunner().invoke(main, ["fleet", "budgets", "--admin", admin])
        assert text_result.exit_code == 0 and f"{recorder.allocator()} divides, epoch" in text_result.output
        routers.terminate("n0")
        routers.wait_until(
            lambda: recorder.leased_share() > 0.99, 20.0, "the released units are leased again"
        )


def make_service(folder: Path, sent: list[Any]) -> BudgetService:
    """Return the budget service of one process whose name is a voter."""
    return BudgetService(
        "v", len(sent) + 1, "f", str(folder), [budget("fills", 100, False, 100)], ["v", "a", "b"], ["v"],
        Terms(), MessageCodec("f", "s"), lambda to, address, raw: sent.append((to, raw)), "",
    )  # fmt: skip


@pytest.mark.parametrize("budgets_status", [None, {"divides": True}])
def test_failed_wait_shows_each_view_with_and_without_budgets(
    monkeypatch: pytest.MonkeyPatch, budgets_status: dict[str, Any] | None
) -> None:
    """Guards against an error of the description in place of the failure that it describes."""
    keys = ("state", "view", "settled", "minority", "health", "dropped")
    status: dict[str, Any] = dict.fromkeys(keys, "x") | {"routers": [], "budgets": budgets_status}
    routers = object.__new__(Routers)
    routers.running, routers.paused = {"n0": unittest.mock.Mock()}, set()
    monkeypatch.setattr(routers, "status", lambda name: status)
    (line,) = routers.describe_views()
    assert f"'divides': {budgets_status['divides'] if budgets_status else None}" in line


@pytest.mark.parametrize("took_ms", [0, 400])
def test_promises_that_are_stored_slowly_are_counted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, took_ms: int
) -> None:
    """Guards against a fleet without an allocator that shows no reason: a slow disk makes each round late."""
    service = make_service(tmp_path, [])
    write = service.vote_files.write

    def write_slowly(level: Level, promise: Promise) -> bool:
        clock[0] += took_ms * 1000
        return write(level, promise)

    clock = [1_000_000]
    monkeypatch.setattr(service.vote_files, "write", write_slowly)
    monkeypatch.setattr(budgets, "now_us", lambda: clock[0])
    actions = LevelActions([LevelPromise(Level.FLEET, Promise(Epoch(1, "a", 1), 1, 1))])
    assert service.store_promises(actions) == [] and service.counts["stored_slowly"] == (took_ms > 0)
    service.close()


def test_units_covered_by_reservation_are_not_reported_in_use(tmp_path: Path) -> None:
    """When they were reported, with three voters at their limits 3 of 9 units were never granted again."""
    with unittest.mock.patch.object(vote_files, "LOCK_RETRY_US", 0):
        first, second = make_service(tmp_path, []), make_service(tmp_path, [])
        for service in (first, second):
            service.set_demand((50,), (14,))
            service.call_node(service.node.tick)
        assert first.name_reservations == (10,) and (
            first.levels.holder_node.in_use,
            second.levels.holder_node.in_use,
        ) == ((4,), (14,))
        first.set_demand((50,), (3,))
        first.call_node(first.node.tick)
        assert first.levels.holder_node.in_use == (0,)
        first.close()
        second.close()


def test_only_one_of_two_processes_of_a_name_votes_and_has_reservation(tmp_path: Path) -> None:
    """If both processes voted, an upgrade could produce two majorities."""
    epoch, other = Epoch(1, "a", 1), Epoch(1, "b", 1)
    codec = BudgetCodec(MessageCodec("f", "s"), 1)
    sent: list[list[Any]] = [[], []]
    with unittest.mock.patch.object(vote_files, "LOCK_RETRY_US", 0):
        old, new = make_service(tmp_path, sent[0]), make_service(tmp_path, sent[1])
        for service in (old, new):
            service.call_node(service.node.tick)
        assert old.levels.holder_node.voter is not None and new.levels.holder_node.voter is None
        assert old.status()["budgets"][0]["floor"] == 10 and new.status()["budgets"][0]["floor"] == 0
        old.levels.holder_node.voter.abstain_until_us = 0
        old.on_datagram(codec.encode("a", "", VoteRequest(epoch, 1)))
        new.on_datagram(codec.encode("b", "", VoteRequest(other, 1)))
        assert old.status()["votes_for"] == list(epoch) and new.status()["votes_for"] is None
        assert "b" not in [to for to, _ in sent[1]]
        old.close()
        new.call_node(new.node.tick)
        assert new.status()["votes_for"] == list(epoch) and new.status()["budgets"][0]["floor"] == 10
        new.close()
    without_folder = BudgetService(
        "v", 1, "f", "", [], ["v"], ["v"], Terms(), MessageCodec("f", "s"), lambda to, address, raw: None, ""
    )
    without_folder.call_node(without_folder.node.tick)
    assert without_folder.levels.holder_node.voter is None


@pytest.mark.parametrize(
    ("table", "expected_error"),
    [
        ({"enabled": True}, "requires [membership] to be enabled"),
        ({"enabled": True, "voters": ["a", "b"]}, "voters: expected an odd number"),
        ({"enabled": True, "voters": ["a"], "per_second": {"x": 1}, "at_once": {"x": 1}}, "at_once"),
        ({"enabled": True, "voters": ["a"], "at_once": {f"x{n}": 1 << 40 for n in range(40)}}, "a datagram"),
    ],
)
def test_invalid_budgets_table_is_reported_with_key(table: dict[str, Any], expected_error: str) -> None:
    from lupintack.operator import parse
    from lupintack.settings.errors import ConfigError

    membership: dict[str, Any] = {"membership": {"enabled": len(table) > 1, "secret": "s"}}
    with pytest.raises(ConfigError) as error:
        parse({"budgets": table, **membership}, "operator.toml")
    assert expected_error in str(error.value) and "operator.toml" in str(error.value)


TENURE = Epoch(7, "n1", 1234567890123456)
ENVELOPE_BYTES = "94a26e30ae3132372e302e302e313a39303932"  # sender n0 at 127.0.0.1:9092
EPOCH_BYTES = "9307a26e31cf000462d53c8abac0"


@pytest.mark.parametrize(
    ("message", "code", "body"),
    [
        (VoteRequest(TENURE, 3), "502211e8c7b7ea3be535ce46", f"0092{EPOCH_BYTES}03"),
        (VoteReply("n2", TENURE, 3, True, 9), "fc3ca728588ba2cce11e2462", f"0195a26e32{EPOCH_BYTES}03c309"),
        (VoteRelease(TENURE), "4dc65b76c42cfca7e69d74eb", f"0291{EPOCH_BYTES}"),
        (
            LeaseRequest("n0", 5, 6, TENURE, (100, 1 << 40), (1, 0), False, (0, 300)),
            "84000ffc46cbe53e7769f798",
            f"0398a26e300506{EPOCH_BYTES}9264cf0000010000000000920100c29200cd012c",
        ),
        (
            LeaseRequest("n0", 5, 6, None, (100, 7), (1, 0), True),
            "e4032786d8526900e45b434d",
            "0398a26e300506c0926407920100c390",
        ),
        (
            LeaseGrant(TENURE, "n0", 5, 6, (33, 70000)),
            "780ae250feb031dcd494f404",
            f"0495{EPOCH_BYTES}a26e3005069221ce00011170",
        ),
        (Redirect(None), "14d1bfbd670c3a34baff85eb", "0591c0"),
        (Redirect(TENURE), "5a6234e28477f358609d96ff", f"0591{EPOCH_BYTES}"),
    ],
)
def test_version_1_encoding_is_unchanged(message: Message, code: str, body: str) -> None:
    """As encoded by commit 5c0df44: magic, version, authentication code, envelope, message."""
    codec = BudgetCodec(MessageCodec("f", "s"), 2)
    raw = codec.encode("n0", "127.0.0.1:9092", message)
    assert raw.hex() == f"4201{code}{ENVELOPE_BYTES}{body}"
    assert codec.decode(raw) == ("n0", "127.0.0.1:9092", message)
