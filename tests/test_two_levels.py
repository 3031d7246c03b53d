"""Budgets of two levels on sockets: the operator file's regions, the wire, the files, and the processes."""

from __future__ import annotations

import unittest.mock
from pathlib import Path
from typing import Any

import pytest

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
from lupintack.fleet import budgets as running
from lupintack.fleet.budgets import BudgetService
from lupintack.membership.messages import Bad, Codec, Drop
from lupintack.operator import parse
from lupintack.settings.budget_plan import plan_for
from lupintack.settings.errors import ConfigError
from lupintack.settings.operator import Budgets, Operator

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
    """The file with this table of budgets."""
    return parse({"membership": {"enabled": True, "secret": "s"}, "budgets": budgets}, "operator.toml")


def region_plan(name: str, site: str, budgets: dict[str, Any] = TABLE) -> RegionPlan:
    """What a router of this name and site goes by."""
    plan = plan_for(operator_file(budgets).budgets, name, site)
    assert plan is not None
    return plan


# The operator file


def test_a_router_goes_by_the_plan_of_its_sites_region() -> None:
    east, west = region_plan("a", "s0"), region_plan("d", "s2")
    assert [one.name for one in east.budgets] == ["fills", "cold-caches.s1"]
    assert [one.name for one in west.budgets] == ["fills", "cold-caches.s2"]
    assert east.name_reservations == (1, 2) and west.name_reservations == (5, 0)
    assert plan_for(Budgets(voters=("a",), at_once={"fills": 9}), "a", "anywhere") is None


@pytest.mark.parametrize(
    ("changes", "wrong"),
    [
        ({"voters": ["a", "b"]}, "[budgets.regions.east] voters: an odd number"),
        ({"voters": ["a", "b", "a"]}, "[budgets.regions.east] voters: an odd number"),
        ({"voters": []}, "[budgets.regions.east] voters: an odd number"),
        ({"sites": []}, "[budgets.regions.east] sites: one is wanted"),
        ({"sites": ["s0", "s2"]}, "[budgets.regions.west] sites: 's2' stands in [budgets.regions.east], too"),
        ({"voters": ["d"]}, "[budgets.regions.west] voters: 'd' stands in [budgets.regions.east], too"),
        ({"zones": 1}, "[budgets.regions[...]] zones"),
    ],
)
def test_a_region_that_can_t_be_used_is_named(changes: dict[str, Any], wrong: str) -> None:
    regions = REGIONS | {"east": REGIONS["east"] | changes}
    with pytest.raises(ConfigError) as error:
        operator_file(TABLE | {"regions": regions})
    assert wrong in str(error.value) and "operator.toml" in str(error.value) and "\n" not in str(error.value)


@pytest.mark.parametrize(
    ("changes", "wrong"),
    [
        ({"names": ["a"]}, "[budgets] names: with regions"),
        ({"at_once": {f"b{n}": 5 for n in range(40)}}, "[budgets.regions]: a request could take"),
        (
            {"at_once": {f"b{n}.s2": 1 << 40 for n in range(40)}},
            "[budgets.regions.west]: a request could take",
        ),
        ({"at_once": {f"b{n}": 5 for n in range(513)}}, "[budgets] at_once"),
        ({"regions": {"": REGIONS["east"]}}, "a region's name is wanted"),
    ],
)
def test_a_table_with_regions_that_can_t_be_used_is_named(changes: dict[str, Any], wrong: str) -> None:
    with pytest.raises(ConfigError) as error:
        operator_file(TABLE | changes)
    assert wrong in str(error.value) and "operator.toml" in str(error.value) and "\n" not in str(error.value)


def test_a_router_that_no_region_has_is_refused() -> None:
    with pytest.raises(ConfigError, match="site 'nowhere' stands in 0 regions"):
        region_plan("x", "nowhere")
    with pytest.raises(ConfigError, match="east.*'a' is this router, whose site 's2' stands in .*west"):
        region_plan("a", "s2")


def test_a_budget_for_each_of_140_sites_fits_in_27_regions() -> None:
    sites = {f"r{n}": [f"s{k}" for k in range(n, 140, 27)] for n in range(27)}
    regions = {name: {"voters": [f"{name}v{n}" for n in range(5)], "sites": of} for name, of in sites.items()}
    budgets = {"store-fills": 40_000, "cold-parents": 3_000, "reads": 900}
    budgets |= {f"cold-caches.s{n}": 630 for n in range(140)}
    plan = region_plan("x", "s139", TABLE | {"regions": regions, "per_second": {}, "at_once": budgets})
    assert plan.fleet_wide == 3 and len(plan.budgets) in (8, 9)


# The wire

MESSAGES: tuple[Message, ...] = (
    VoteRequest(EPOCH, 3), VoteReply("v", EPOCH, 3, True, 9), VoteRelease(EPOCH),
    LeaseRequest("h", 1, 2, None, (1, 2), (0, 0)),
    LeaseRequest("h", 1, 2, EPOCH, (1, 2), (0, 0), True, (3, 4)),
    LeaseGrant(EPOCH, "h", 1, 2, (5, 6)), SubLeaseGrant(EPOCH, "h", 1, 2, (5, 6), 900_000),
    Redirect(None), Redirect(EPOCH),
)  # fmt: skip


@pytest.mark.parametrize("message", MESSAGES)
@pytest.mark.parametrize("level", list(Level))
def test_a_message_of_two_levels_is_read_as_it_was_said(message: Message, level: Level) -> None:
    codec = TwoLevelCodec(Codec("f", "s"), "east", 2, 2)
    raw = codec.encode("h", "127.0.0.1:1", level, message)
    assert raw[:2] == b"B\x02" and codec.decode(raw) == ("h", "127.0.0.1:1", level, message)
    spoilt = [raw[:-1], raw[:20], b"L" + raw[1:], raw[:30] + b"\xff" + raw[31:]]
    for wrong in spoilt:
        with pytest.raises(Bad):
            codec.decode(wrong)
    for stranger in (
        TwoLevelCodec(Codec("f", "t"), "east", 2, 2),
        TwoLevelCodec(Codec("g", "s"), "east", 2, 2),
    ):
        with pytest.raises(Bad):
            stranger.decode(raw)


def test_the_two_versions_don_t_hear_one_another() -> None:
    one, two = BudgetCodec(Codec("f", "s"), 2), TwoLevelCodec(Codec("f", "s"), "east", 2, 2)
    first, second = one.encode("h", "", Redirect(EPOCH)), two.encode("h", "", Level.FLEET, Redirect(EPOCH))
    for codec, raw in ((one, second), (two, first)):
        with pytest.raises(Bad) as error:
            codec.decode(raw)
        assert error.value.why is Drop.VERSION
    for codec, raw in ((one, b"B\x01" + second[2:]), (two, b"B\x02" + first[2:])):
        with pytest.raises(Bad) as error:
            codec.decode(raw)
        assert error.value.why is Drop.FOREIGN  # the version is under the code
    with pytest.raises(ValueError):
        one.encode("h", "", SubLeaseGrant(EPOCH, "h", 1, 2, (5, 6), 900_000))


def test_rows_have_the_length_of_their_level_and_a_region_hears_its_own_alone() -> None:
    codec = TwoLevelCodec(Codec("f", "s"), "east", 1, 2)
    wide, all_of_them = LeaseGrant(EPOCH, "h", 1, 2, (5,)), SubLeaseGrant(EPOCH, "h", 1, 2, (5, 6), 9)
    for level, right, wrong in (
        (Level.FLEET, wide, all_of_them), (Level.REGION, all_of_them, wide)
    ):  # fmt: skip
        assert codec.decode(codec.encode("h", "", level, right)).message == right
        with pytest.raises(Bad):
            codec.decode(codec.encode("h", "", level, wrong))
    with pytest.raises(Bad):
        codec.decode(codec.encode("h", "", Level.REGION, SubLeaseGrant(EPOCH, "h", 1, 2, (5, 6), 1 << 61)))
    west = TwoLevelCodec(Codec("f", "s"), "west", 1, 2)
    assert west.decode(codec.encode("h", "", Level.FLEET, wide)).level is Level.FLEET
    with pytest.raises(Bad) as error:
        west.decode(codec.encode("h", "", Level.REGION, all_of_them))
    assert error.value.why is Drop.FOREIGN


def test_no_message_is_larger_than_the_bound_on_its_plan() -> None:
    name = "n" * 64
    amounts = (900, 1 << 40)
    epoch = Epoch(1 << 60, name, 1 << 60)
    codec = TwoLevelCodec(Codec("f", "s"), name, 2, 2)
    bound = largest_datagram_bytes(amounts, name)
    assert bound < MAX_DATAGRAM_BYTES
    said: list[Message] = [
        LeaseRequest(name, 1 << 60, 1 << 60, epoch, amounts, amounts, False, amounts),
        SubLeaseGrant(epoch, name, 1 << 60, 1 << 60, amounts, 1 << 60),
        VoteReply(name, epoch, 1 << 60, True, 9),
    ]  # fmt: skip
    assert max(len(codec.encode(name, name, Level.REGION, one)) for one in said) == bound


# The service


def service(tmp: Path, sent: list[Any], name: str = "a", site: str = "s0", fleet: str = "f") -> BudgetService:
    """One process's part, of a name that votes at both levels."""
    return BudgetService(
        name, len(sent) + 1, fleet, str(tmp), [], ["a", "d", "e"], [], Terms(), Codec("f", "s"),
        lambda to, told, raw: sent.append((to, raw)), "", plan=region_plan(name, site),
    )  # fmt: skip


def test_each_level_s_vote_has_its_own_file_and_a_new_process_goes_by_both(tmp_path: Path) -> None:
    other, there = Epoch(4, "d", 1), Epoch(5, "b", 1)
    with unittest.mock.patch.object(running, "AGAIN_US", 0):
        old = service(tmp_path, [])
        old.call(old.node.tick)
        codec = TwoLevelCodec(Codec("f", "s"), "east", 1, 2)
        for node in (old.levels.node.fleet, old.levels.node.region):  # type: ignore[union-attr]
            assert node.voter is not None
            node.voter.abstain_until_us = 0
        old.take(codec.encode("d", "", Level.FLEET, VoteRequest(other, 1)))
        old.take(codec.encode("b", "", Level.REGION, VoteRequest(there, 1)))
        assert old.status()["votes_for"] == list(there) and old.status()["fleet"]["votes_for"] == list(other)
        old.close()
        new = service(tmp_path, [])
        new.call(new.node.tick)
        assert new.status()["votes_for"] == list(there) and new.status()["fleet"]["votes_for"] == list(other)
        new.close()
        votes = sorted(file.name.rpartition("-")[2] for file in tmp_path.glob("lupintack-vote-*"))
        assert votes == ["fleet", "region"]


def test_a_vote_that_can_t_be_stored_is_not_given_at_its_level_alone(tmp_path: Path) -> None:
    sent: list[Any] = []
    with unittest.mock.patch.object(running, "AGAIN_US", 0):
        one = service(tmp_path, sent)
        one.call(one.node.tick)
        for node in (one.levels.node.fleet, one.levels.node.region):  # type: ignore[union-attr]
            assert node.voter is not None
            node.voter.abstain_until_us = 0
        one.files[Level.FLEET] = tmp_path / "no folder" / "vote"
        codec = TwoLevelCodec(Codec("f", "s"), "east", 1, 2)
        sent.clear()
        one.take(codec.encode("d", "", Level.FLEET, VoteRequest(Epoch(4, "d", 1), 1)))
        assert not sent and one.counts["unkept"] == 1
        one.take(codec.encode("b", "", Level.REGION, VoteRequest(Epoch(5, "b", 1), 1)))
        assert [to for to, _ in sent] == ["b"]
        one.close()


def test_of_two_processes_of_one_name_one_votes_and_has_the_region_s_reservation(tmp_path: Path) -> None:
    with unittest.mock.patch.object(running, "AGAIN_US", 0):
        old, new = service(tmp_path, []), service(tmp_path, [])
        for one in (old, new):
            one.call(one.node.tick)
        assert [one["floor"] for one in old.status()["budgets"]] == [1, 2]
        assert [one["floor"] for one in new.status()["budgets"]] == [0, 0]
        assert new.status()["votes_for"] is None and new.status()["fleet"]["votes_for"] is None
        old.close()
        new.close()


def test_a_router_of_one_level_is_counted_as_another_version(tmp_path: Path) -> None:
    one = service(tmp_path, [])
    one.take(BudgetCodec(Codec("f", "s"), 2).encode("x", "", Redirect(EPOCH)))
    one.take(TwoLevelCodec(Codec("f", "s"), "west", 1, 2).encode("x", "", Level.REGION, Redirect(EPOCH)))
    assert one.counts == {"dropped.version": 1, "dropped.foreign": 1} and not one.addresses
    one.close()
