"""Tests of two-level budgets: the operator file's regions, datagrams, vote files and router processes."""

from __future__ import annotations

import time
import unittest.mock
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from lupintack.budgets.codec import MAX_DATAGRAM_BYTES, BudgetCodec, TwoLevelCodec, largest_datagram_bytes
from lupintack.budgets.hierarchy import Level
from lupintack.budgets.messages import (
    Epoch,
    LeaseGrant,
    LeaseRequest,
    Message,
    Redirect,
    SubLeaseGrant,
    VoteRelease,
    VoteReply,
    VoteRequest,
)
from lupintack.budgets.regions import RegionPlan
from lupintack.budgets.terms import Terms
from lupintack.cli.fleet import budgets_page
from lupintack.cli.main import main
from lupintack.fleet import vote_files
from lupintack.fleet.budgets import BudgetService
from lupintack.membership.messages import DropReason, MessageCodec, MessageError
from lupintack.operator import parse
from lupintack.settings.budget_plan import plan_for
from lupintack.settings.errors import ConfigError
from lupintack.settings.operator import Budgets, Operator
from lupintack.standins import fleet as caches
from lupintack.standins import store
from lupintack.standins.deployment import HOSTS
from lupintack.standins.routers import Routers
from tests.test_division import LeaseRecorder

EPOCH = Epoch(1, "a", 1)
REGIONS: dict[str, Any] = {
    "east": {"voters": ["a", "b", "c"], "sites": ["s0", "s1"]},
    "west": {"voters": ["d"], "sites": ["s2"]},
}
TABLE: dict[str, Any] = {
    "enabled": True,
    "voters": ["a", "d", "e"],
    "per_second": {"fills": 1000},
    "at_once": {"cold-caches.s1": 60, "cold-caches.s2": 9},
    "regions": REGIONS,
}


def operator_file(budgets: dict[str, Any]) -> Operator:
    """Return the parsed operator file with a `budgets` table."""
    return parse({"membership": {"enabled": True, "secret": "s"}, "budgets": budgets}, "operator.toml")


def region_plan(name: str, site: str, budgets: dict[str, Any] = TABLE) -> RegionPlan:
    """Return the plan of the router with this name and site."""
    plan = plan_for(operator_file(budgets).budgets, name, site)
    assert plan is not None
    return plan


# The operator file


def test_router_uses_plan_of_its_sites_region() -> None:
    east, west = region_plan("a", "s0"), region_plan("d", "s2")
    assert [budget.name for budget in east.budgets] == ["fills", "cold-caches.s1"]
    assert [budget.name for budget in west.budgets] == ["fills", "cold-caches.s2"]
    assert east.name_reservations == (1, 2) and west.name_reservations == (5, 0)
    assert plan_for(Budgets(voters=("a",), at_once={"fills": 9}), "a", "anywhere") is None


@pytest.mark.parametrize(
    ("changes", "expected_error"),
    [
        ({"voters": ["a", "b"]}, "[budgets.regions.east] voters: expected an odd number"),
        ({"voters": ["a", "b", "a"]}, "[budgets.regions.east] voters: expected an odd number"),
        ({"voters": []}, "[budgets.regions.east] voters: expected an odd number"),
        ({"sites": []}, "[budgets.regions.east] sites: expected at least one"),
        (
            {"sites": ["s0", "s2"]},
            "[budgets.regions.west] sites: 's2' is also listed in [budgets.regions.east]",
        ),
        ({"voters": ["d"]}, "[budgets.regions.west] voters: 'd' is also listed in [budgets.regions.east]"),
        ({"zones": 1}, "[budgets.regions[...]] zones"),
    ],
)
def test_invalid_region_is_reported_with_key(changes: dict[str, Any], expected_error: str) -> None:
    regions = REGIONS | {"east": REGIONS["east"] | changes}
    with pytest.raises(ConfigError) as error:
        operator_file(TABLE | {"regions": regions})
    assert (
        expected_error in str(error.value)
        and "operator.toml" in str(error.value)
        and "\n" not in str(error.value)
    )


@pytest.mark.parametrize(
    ("changes", "expected_error"),
    [
        ({"names": ["a"]}, "[budgets] names: with regions"),
        ({"at_once": {f"b{n}": 5 for n in range(40)}}, "[budgets.regions]: a request could take"),
        (
            {"at_once": {f"b{n}.s2": 1 << 40 for n in range(40)}},
            "[budgets.regions.west]: a request could take",
        ),
        ({"at_once": {f"b{n}": 5 for n in range(513)}}, "[budgets] at_once"),
        ({"regions": {"": REGIONS["east"]}}, "a region's name must not be empty"),
    ],
)
def test_invalid_table_with_regions_is_reported_with_key(
    changes: dict[str, Any], expected_error: str
) -> None:
    with pytest.raises(ConfigError) as error:
        operator_file(TABLE | changes)
    assert (
        expected_error in str(error.value)
        and "operator.toml" in str(error.value)
        and "\n" not in str(error.value)
    )


def test_router_outside_its_region_is_rejected() -> None:
    with pytest.raises(ConfigError, match="site 'nowhere' is in 0 regions"):
        region_plan("x", "nowhere")
    with pytest.raises(ConfigError, match="east.*'a' is this router, whose site 's2' is listed in .*west"):
        region_plan("a", "s2")


def test_plan_with_budgets_for_140_sites_in_27_regions_is_valid() -> None:
    sites = {f"r{n}": [f"s{k}" for k in range(n, 140, 27)] for n in range(27)}
    regions = {name: {"voters": [f"{name}v{n}" for n in range(5)], "sites": of} for name, of in sites.items()}
    budgets = {"store-fills": 40_000, "cold-parents": 3_000, "reads": 900}
    budgets |= {f"cold-caches.s{n}": 630 for n in range(140)}
    plan = region_plan("x", "s139", TABLE | {"regions": regions, "per_second": {}, "at_once": budgets})
    assert plan.fleet_wide == 3 and len(plan.budgets) in (8, 9)


# The datagrams

MESSAGES: tuple[Message, ...] = (
    VoteRequest(EPOCH, 3), VoteReply("v", EPOCH, 3, True, 9), VoteRelease(EPOCH),
    LeaseRequest("h", 1, 2, None, (1, 2), (0, 0)),
    LeaseRequest("h", 1, 2, EPOCH, (1, 2), (0, 0), True, (3, 4)),
    LeaseGrant(EPOCH, "h", 1, 2, (5, 6)), SubLeaseGrant(EPOCH, "h", 1, 2, (5, 6), 900_000),
    Redirect(None), Redirect(EPOCH),
)  # fmt: skip


@pytest.mark.parametrize("message", MESSAGES)
@pytest.mark.parametrize("level", list(Level))
def test_two_level_message_round_trips_and_altered_datagrams_are_rejected(
    message: Message, level: Level
) -> None:
    codec = TwoLevelCodec(MessageCodec("f", "s"), "east", 2, 2)
    raw = codec.encode("h", "127.0.0.1:1", level, message)
    assert raw[:2] == b"B\x02" and codec.decode(raw) == ("h", "127.0.0.1:1", level, message)
    altered_datagrams = [raw[:-1], raw[:20], b"L" + raw[1:], raw[:30] + b"\xff" + raw[31:]]
    for altered in altered_datagrams:
        with pytest.raises(MessageError):
            codec.decode(altered)
    for foreign_codec in (
        TwoLevelCodec(MessageCodec("f", "t"), "east", 2, 2),
        TwoLevelCodec(MessageCodec("g", "s"), "east", 2, 2),
    ):
        with pytest.raises(MessageError):
            foreign_codec.decode(raw)


def test_codecs_reject_messages_of_the_other_version() -> None:
    one_level_codec, two_level_codec = (
        BudgetCodec(MessageCodec("f", "s"), 2),
        TwoLevelCodec(MessageCodec("f", "s"), "east", 2, 2),
    )
    first, second = (
        one_level_codec.encode("h", "", Redirect(EPOCH)),
        two_level_codec.encode("h", "", Level.FLEET, Redirect(EPOCH)),
    )
    for codec, raw in ((one_level_codec, second), (two_level_codec, first)):
        with pytest.raises(MessageError) as error:
            codec.decode(raw)
        assert error.value.reason is DropReason.VERSION
    for codec, raw in ((one_level_codec, b"B\x01" + second[2:]), (two_level_codec, b"B\x02" + first[2:])):
        with pytest.raises(MessageError) as error:
            codec.decode(raw)
        assert error.value.reason is DropReason.FOREIGN  # the authentication code covers the version
    with pytest.raises(ValueError):
        one_level_codec.encode("h", "", SubLeaseGrant(EPOCH, "h", 1, 2, (5, 6), 900_000))


def test_codec_rejects_wrong_row_length_and_other_regions_level() -> None:
    codec = TwoLevelCodec(MessageCodec("f", "s"), "east", 1, 2)
    fleet_grant, region_grant = LeaseGrant(EPOCH, "h", 1, 2, (5,)), SubLeaseGrant(EPOCH, "h", 1, 2, (5, 6), 9)
    for level, valid, invalid in (
        (Level.FLEET, fleet_grant, region_grant), (Level.REGION, region_grant, fleet_grant)
    ):  # fmt: skip
        assert codec.decode(codec.encode("h", "", level, valid)).message == valid
        with pytest.raises(MessageError):
            codec.decode(codec.encode("h", "", level, invalid))
    with pytest.raises(MessageError):
        codec.decode(codec.encode("h", "", Level.REGION, SubLeaseGrant(EPOCH, "h", 1, 2, (5, 6), 1 << 61)))
    west = TwoLevelCodec(MessageCodec("f", "s"), "west", 1, 2)
    assert west.decode(codec.encode("h", "", Level.FLEET, fleet_grant)).level is Level.FLEET
    with pytest.raises(MessageError) as error:
        west.decode(codec.encode("h", "", Level.REGION, region_grant))
    assert error.value.reason is DropReason.FOREIGN


def test_largest_datagram_bytes_bounds_all_messages() -> None:
    name = "n" * 64
    amounts = (900, 1 << 40)
    epoch = Epoch(1 << 60, name, 1 << 60)
    codec = TwoLevelCodec(MessageCodec("f", "s"), name, 2, 2)
    bound = largest_datagram_bytes(amounts, name)
    assert bound < MAX_DATAGRAM_BYTES
    messages: list[Message] = [
        LeaseRequest(name, 1 << 60, 1 << 60, epoch, amounts, amounts, False, amounts),
        SubLeaseGrant(epoch, name, 1 << 60, 1 << 60, amounts, 1 << 60),
        VoteReply(name, epoch, 1 << 60, True, 9),
    ]  # fmt: skip
    assert max(len(codec.encode(name, name, Level.REGION, message)) for message in messages) == bound


# The service


def make_service(
    folder: Path, sent: list[Any], name: str = "a", site: str = "s0", fleet: str = "f"
) -> BudgetService:
    """Return the budget service of one process whose name is a voter at both levels."""
    return BudgetService(
        name, len(sent) + 1, fleet, str(folder), [], ["a", "d", "e"], [], Terms(), MessageCodec("f", "s"),
        lambda to, address, raw: sent.append((to, raw)), "", plan=region_plan(name, site),
    )  # fmt: skip


def test_votes_are_stored_per_level_and_restored_by_new_process(tmp_path: Path) -> None:
    fleet_epoch, region_epoch = Epoch(4, "d", 1), Epoch(5, "b", 1)
    with unittest.mock.patch.object(vote_files, "LOCK_RETRY_US", 0):
        old = make_service(tmp_path, [])
        old.call_node(old.node.tick)
        codec = TwoLevelCodec(MessageCodec("f", "s"), "east", 1, 2)
        for node in (old.levels.node.fleet, old.levels.node.region):  # type: ignore[union-attr]
            assert node.voter is not None
            node.voter.abstain_until_us = 0
        old.on_datagram(codec.encode("d", "", Level.FLEET, VoteRequest(fleet_epoch, 1)))
        old.on_datagram(codec.encode("b", "", Level.REGION, VoteRequest(region_epoch, 1)))
        assert old.status()["votes_for"] == list(region_epoch) and old.status()["fleet"]["votes_for"] == list(
            fleet_epoch
        )
        old.close()
        new = make_service(tmp_path, [])
        new.call_node(new.node.tick)
        assert new.status()["votes_for"] == list(region_epoch) and new.status()["fleet"]["votes_for"] == list(
            fleet_epoch
        )
        new.close()
        votes = sorted(file.name.rpartition("-")[2] for file in tmp_path.glob("lupintack-vote-*"))
        assert votes == ["fleet", "region"]


def test_vote_that_cannot_be_stored_is_withheld_only_at_its_level(tmp_path: Path) -> None:
    sent: list[Any] = []
    with unittest.mock.patch.object(vote_files, "LOCK_RETRY_US", 0):
        service = make_service(tmp_path, sent)
        service.call_node(service.node.tick)
        for node in (service.levels.node.fleet, service.levels.node.region):  # type: ignore[union-attr]
            assert node.voter is not None
            node.voter.abstain_until_us = 0
        service.vote_files.paths[Level.FLEET] = tmp_path / "no folder" / "vote"
        codec = TwoLevelCodec(MessageCodec("f", "s"), "east", 1, 2)
        sent.clear()
        service.on_datagram(codec.encode("d", "", Level.FLEET, VoteRequest(Epoch(4, "d", 1), 1)))
        assert not sent and service.counts["unkept"] == 1
        service.on_datagram(codec.encode("b", "", Level.REGION, VoteRequest(Epoch(5, "b", 1), 1)))
        assert [to for to, _ in sent] == ["b"]
        service.close()


def test_only_one_of_two_processes_votes_and_has_region_reservation(tmp_path: Path) -> None:
    with unittest.mock.patch.object(vote_files, "LOCK_RETRY_US", 0):
        old, new = make_service(tmp_path, []), make_service(tmp_path, [])
        for service in (old, new):
            service.call_node(service.node.tick)
        assert [row["floor"] for row in old.status()["budgets"]] == [1, 2]
        assert [row["floor"] for row in new.status()["budgets"]] == [0, 0]
        assert new.status()["votes_for"] is None and new.status()["fleet"]["votes_for"] is None
        old.close()
        new.close()


def test_dropped_datagrams_of_other_version_or_region_are_counted(tmp_path: Path) -> None:
    service = make_service(tmp_path, [])
    service.on_datagram(BudgetCodec(MessageCodec("f", "s"), 2).encode("x", "", Redirect(EPOCH)))
    service.on_datagram(
        TwoLevelCodec(MessageCodec("f", "s"), "west", 1, 2).encode("x", "", Level.REGION, Redirect(EPOCH))
    )
    assert service.counts == {"dropped.version": 1, "dropped.foreign": 1} and not service.addresses
    service.close()


def status(changes: dict[str, Any], fleet: dict[str, Any], parent: dict[str, Any] | None) -> dict[str, Any]:
    """Return the budget status of a router with two levels, with some changes."""
    report: dict[str, Any] = {
        "epoch": [3, "b", 1], "divides": False, "ready": False, "lease_ends_ms": 7000,
        "level": "region", "region": "east", "parent_lease": parent,
        "fleet": {"epoch": None, "divides": False, "ready": False, "budgets": ["fills"]} | fleet,
        "budgets": [
            {"name": "fills", "whole": 90, "per": "second", "floor": 1, "lease": 9, "need": 8, "given": None},
            {"name": "cold-caches.s1", "whole": 60, "per": "at once", "floor": 2, "lease": 3, "need": 4,
             "given": None},
        ],
    }  # fmt: skip
    return report | changes


def test_budgets_page_shows_allocators_and_parent_lease() -> None:
    lines = budgets_page(status({}, {"epoch": [5, "d", 1]}, None)).splitlines()
    assert lines[0] == "region east: b divides, epoch 3; the lease ends in 7000 ms"
    assert lines[1] == "fleet: d divides, epoch 5"
    assert lines[2] == "parent lease: held by the region's allocator"
    assert lines[4].endswith("fleet and region") and lines[5].endswith("the region alone")
    parent = {"ends_ms": 5000, "amounts": [30], "covered": [35], "reserved": [4]}
    lines = budgets_page(status({"divides": True, "ready": True}, {}, parent)).splitlines()
    assert lines[0] == "region east: b divides, epoch 3 (this one); the lease ends in 7000 ms"
    assert lines[1] == "fleet: nobody is known to divide" and lines[2] == "parent lease: ends in 5000 ms"
    assert lines[4].endswith("fleet: 30 leased, 35 covered; region: 4 reserved")
    page = budgets_page(
        status({"divides": True}, {}, parent | {"ends_ms": 0, "amounts": [0], "covered": [0]})
    )
    assert "waits out" in page and "parent lease: none, the region has its reservation alone" in page


# The processes

STORE_FILLS = 24
CLIENTS = 4  # per router; each has one request at a time
ROUTERS, REGION_COUNT = 9, 3
PATIENCE_S = 60.0  # per step; the machine may be busy
FILLS, STORE, OWN = range(3)  # indexes of a router's budgets: two fleet-wide, one of its region
PROCESS_TABLE: dict[str, Any] = {
    "enabled": True,
    "voters": ["n0", "n1", "n2"],  # one in each region
    "per_second": {"fills": 1000},
    "at_once": {"store-fills": STORE_FILLS, **{f"cold-caches.site{n}": 60 for n in range(REGION_COUNT)}},
    "floor_percent": 75,
    "promise_ms": 1000,
    "lease_ms": 2400,
    "regions": {
        f"region{n}": {"voters": [f"n{n}", f"n{n + 3}", f"n{n + 6}"], "sites": [f"site{n}"]}
        for n in range(REGION_COUNT)
    },
}
REGION_OF = {name: region for region, table in PROCESS_TABLE["regions"].items() for name in table["voters"]}


class TwoLevelLeaseRecorder(LeaseRecorder):
    """Records leases by region; every process has a reservation, which is never lent to other processes."""

    def region_allocator(self, region: str) -> str:
        """Return the region's allocator if it has waited for older leases to expire, else ""."""
        self.sample()
        names = [name for name in self.active_routers() if REGION_OF[name] == region]
        return next((name for name in names if self.statuses.get(name, {}).get("ready")), "")

    def fleet_allocator(self) -> str:
        """Return the fleet's allocator if it has waited for older leases to expire, else ""."""
        self.sample()
        return next(
            (n for n in self.active_routers() if self.statuses.get(n, {}).get("fleet", {}).get("ready")), ""
        )

    def active_routers(self) -> list[str]:
        """Return the routers that are running and not paused."""
        return [name for name in self.routers.running if name not in self.routers.paused]

    def leasable(self, n: int) -> int:
        """Return the limit for the sum of all leases: the total minus the names' reservations."""
        plan = region_plan("n0", "site0", PROCESS_TABLE)
        names = ROUTERS if n < plan.fleet_wide else ROUTERS // REGION_COUNT
        return plan.budgets[n].total_units - names * plan.name_reservations[n]

    def last_leased_share(self, n: int, region: str = "") -> float:
        """Return the leased part of `leasable` at the last sample, of all routers or of a region's."""
        names = [
            name for name in self.routers.running if name in self.statuses and region in ("", REGION_OF[name])
        ]
        leased = sum(self.statuses[name]["budgets"][n]["lease"] for name in names)
        return float(leased / self.leasable(n))


def test_leases_never_exceed_totals_in_three_regions_with_faults_at_each_level(tmp_path: Path) -> None:
    """The clients of nine processes demand more than the budgets. A region's allocator is killed, the fleet's
    is paused, and a region is cut off and reconnected. The sums stay within the bounds at every instant, both
    in the routers' status and at the origin.
    """
    origin_level = store.OpenRequests()
    terms = caches.Terms(delay_s=lambda name, cls: 0.2)
    fleet = caches.Fleet(terms, {name: kind for name, kind in HOSTS.items() if kind != "parent"})
    fleet.watch = origin_level.watch
    routers = Routers(
        tmp_path, ROUTERS, sites=REGION_COUNT, tables=lambda name: {"budgets": PROCESS_TABLE}, fleet=fleet
    )
    clients = None
    try:
        routers.start()
        recorder = TwoLevelLeaseRecorder(routers)

        def all_leased() -> bool:
            """Whether all units of the fleet-wide budget and of each region's own budget are leased."""
            recorder.sample()
            own_shares = (recorder.last_leased_share(OWN, region) for region in PROCESS_TABLE["regions"])
            return recorder.last_leased_share(FILLS) > 0.99 and all(share > 0.99 for share in own_shares)

        routers.wait_until(
            lambda: bool(recorder.fleet_allocator()) and all_leased(), PATIENCE_S, "all units are leased"
        )
        clients = store.Clients(routers.listen, CLIENTS)
        routers.wait_until(lambda: origin_level.open > STORE_FILLS / 2, PATIENCE_S, "the origin is in use")

        def wait_for_name(find_name: Callable[[], str], text: str) -> str:
            """Return the name when there is one; on a busy machine a term may expire between two samples."""
            names: list[str] = [""]

            def is_known() -> bool:
                names.append(find_name())
                return bool(names[-1])

            routers.wait_until(is_known, PATIENCE_S, text)
            return names[-1]

        queried = wait_for_name(lambda: recorder.region_allocator("region1"), "region1 has an allocator")
        admin = f"127.0.0.1:{routers.admin[queried]}"
        page = CliRunner().invoke(main, ["fleet", "budgets", "--admin", admin])
        assert page.exit_code == 0 and "parent lease: ends in" in page.output, page.output

        fleet_allocator_name = wait_for_name(recorder.fleet_allocator, "the fleet has an allocator")
        region = next(name for name in PROCESS_TABLE["regions"] if name != REGION_OF[fleet_allocator_name])
        killed = wait_for_name(
            lambda: recorder.region_allocator(region), "the region has an allocator to kill"
        )
        recorder.kill(killed)
        routers.wait_until(
            lambda: bool(recorder.region_allocator(region)), PATIENCE_S, "the region has another allocator"
        )
        routers.launch(killed)
        routers.wait_until(
            lambda: all_leased() and killed in recorder.statuses,
            PATIENCE_S,
            "all units are leased after a kill",
        )

        paused = wait_for_name(recorder.fleet_allocator, "the fleet has an allocator to pause")
        routers.pause([paused])
        paused_s = time.monotonic()
        routers.wait_until(
            lambda: recorder.fleet_allocator() not in ("", paused),
            PATIENCE_S,
            "the fleet has another allocator",
        )
        routers.resume([paused])
        paused_s = time.monotonic() - paused_s
        routers.wait_until(all_leased, PATIENCE_S, "all units are leased after a pause")

        cut_off_routers = [name for name in routers.names if REGION_OF[name] == "region2"]
        routers.switch.split(cut_off_routers, [name for name in routers.names if name not in cut_off_routers])
        routers.wait_until(
            lambda: cut_off(recorder, cut_off_routers), PATIENCE_S, "the region has no parent lease"
        )

        def own_budget_leased() -> bool:
            """Whether all units of the own budget of the region cut off are leased."""
            recorder.sample()
            return recorder.last_leased_share(OWN, "region2") > 0.99

        routers.wait_until(own_budget_leased, PATIENCE_S, "the region cut off leases its own budget")
        leased = sum(recorder.statuses[name]["budgets"][FILLS]["lease"] for name in cut_off_routers)
        assert leased <= region_plan("n2", "site2", PROCESS_TABLE).region_pool[FILLS]
        routers.switch.clear_rules()
        routers.wait_until(all_leased, PATIENCE_S, "all units are leased after a partition")
        end_counts = clients.stop()

        won = [
            line for name in routers.names for line in routers.log(name).splitlines() if "event=won" in line
        ]
        assert all(
            any(f"budget_level={budget_level.value}" in line for line in won) for budget_level in Level
        )
        assert all("level=info" in line.split() for line in won)
        assert not [name for name in routers.names if "Traceback" in routers.log(name)]
        for n in (FILLS, STORE):
            assert 0 < recorder.peak_sum(n) <= recorder.leasable(n), n
        for region_name in PROCESS_TABLE["regions"]:
            names = [name for name in routers.names if REGION_OF[name] == region_name]
            assert 0 < recorder.peak_sum(OWN, names) <= recorder.leasable(OWN), region_name
        assert 0 < origin_level.max_open() <= STORE_FILLS
        assert end_counts["200"] > 100 and end_counts["503"] > 100
        check_all_answered(clients.by_router, killed, paused, paused_s)
    finally:
        if clients is not None:
            clients.stop()
        routers.close()


@pytest.mark.parametrize(
    ("table", "expected_error"),
    [
        (
            PROCESS_TABLE | {"regions": {"far": {"voters": ["n0"], "sites": ["elsewhere"]}}},
            "site 'site0' is in 0 regions",
        ),
        (
            PROCESS_TABLE
            | {
                "regions": PROCESS_TABLE["regions"]
                | {"region1": {"voters": ["n1", "n2"], "sites": ["site1"]}}
            },
            "[budgets.regions.region1] voters: expected an odd number",
        ),
    ],
)
def test_router_with_invalid_region_exits_with_one_line(
    tmp_path: Path, table: dict[str, Any], expected_error: str
) -> None:
    routers = Routers(tmp_path, 1, tables=lambda name: {"budgets": table})
    try:
        routers.launch("n0")
        assert routers.running["n0"].wait(PATIENCE_S) == 2
        assert expected_error in routers.log("n0") and routers.log("n0").count("\n") == 1
    finally:
        routers.close()


def cut_off(recorder: TwoLevelLeaseRecorder, names: list[str]) -> bool:
    """Return whether the allocator of these routers' region has lost its parent lease."""
    allocator = recorder.region_allocator(REGION_OF[names[0]])
    parent = recorder.statuses[allocator]["parent_lease"] if allocator else None
    return parent is not None and parent["ends_ms"] == 0 and not any(parent["covered"])


def check_all_answered(by_router: dict[str, Any], killed: str, paused: str, paused_s: float) -> None:
    """Check that each request got one final reply, except at the killed and the paused process.

    Requests that the killed process had read, or its kernel had accepted while it ended, get no reply: at
    most two per client. Requests that expired in the paused process fail when it resumes, or their clients
    have disconnected by then.
    """
    max_late = CLIENTS * (1 + int(paused_s / store.ANSWER_TIMEOUT_S))
    for name, end_counts in by_router.items():
        # A 502 is final, too: on a busy machine an attempt may time out, at most one per client.
        max_counts = {
            "200": store.MAX_REQUESTS_PER_CLIENT * CLIENTS,
            "503": store.MAX_REQUESTS_PER_CLIENT * CLIENTS,
            "502": CLIENTS,
        }
        if name == killed:
            max_counts |= {"refused": store.MAX_REQUESTS_PER_CLIENT * CLIENTS, "unanswered": 2 * CLIENTS}
        if name == paused:
            max_counts |= {"502": 2 * CLIENTS, "unanswered": max_counts.get("unanswered", 0) + max_late}
        assert all(count <= max_counts.get(end, 0) for end, count in end_counts.items()), (
            name,
            killed,
            paused,
            paused_s,
            end_counts,
        )
