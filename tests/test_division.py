"""Router processes that divide budgets through a switch: the allocator killed, paused, cut off."""

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
from lupintack.cli.main import main
from lupintack.fleet import vote_files
from lupintack.fleet.budgets import BudgetService, budget
from lupintack.membership.messages import MessageCodec
from lupintack.standins.routers import Routers

WHOLE = 1000
TABLE = {
    "enabled": True, "voters": ["n0", "n1", "n2"], "per_second": {"fills": WHOLE}, "at_once": {"probes": 40},
    "floor_percent": 10, "promise_ms": 600, "lease_ms": 1600,
}  # fmt: skip


class Book:
    """Every lease that any process held, from what they tell of themselves; all share one machine's clock."""

    def __init__(self, play: Routers) -> None:
        self.play = play
        self.leases: dict[tuple[str, int], dict[int, tuple[int, tuple[int, ...]]]] = {}
        self.ended: dict[tuple[str, int], int] = {}
        self.now: dict[str, dict[str, Any]] = {}

    def look(self) -> None:
        for name in self.play.running:
            told = self.play.status(name).get("budgets") if name not in self.play.paused else None
            if told is not None:
                self.now[name] = told
                held = self.leases.setdefault((name, told["start"]), {})
                held.update({taken: (ends, tuple(amounts)) for taken, ends, amounts in told["leases"]})

    def kill(self, name: str) -> None:
        self.look()
        self.play.kill([name])
        self.ended[name, self.now.pop(name)["start"]] = time.monotonic_ns() // 1000

    def allocator(self) -> str:
        """Who divides and is past its wait; "" for nobody."""
        self.look()
        running = [n for n in self.play.running if n not in self.play.paused]
        return next((n for n in running if self.now.get(n, {}).get("ready")), "")

    def share(self, n: int = 0) -> float:
        """What all of them hold now, of what is divided."""
        self.look()
        held = sum(self.now[name]["budgets"][n]["lease"] for name in self.play.running if name in self.now)
        told = self.now[next(iter(self.now))]["budgets"][n]
        return float(held / (told["whole"] - 3 * told["floor"]))

    def most(self, n: int = 0, names: Collection[str] | None = None) -> int:
        """The highest sum of all leases, or of those of some routers, at any instant."""
        steps: list[tuple[int, int]] = []
        for key, told in self.leases.items():
            if names is not None and key[0] not in names:
                continue
            taken = sorted(told)
            for at, after in zip(taken, [*taken[1:], 1 << 62], strict=True):
                ends, amounts = told[at]
                ends = min(ends, after, self.ended.get(key, 1 << 62))
                if ends > at:
                    steps += [(at, amounts[n]), (ends, -amounts[n])]
        level = most = 0
        for _, step in sorted(steps):
            level += step
            most = max(most, level)
        return most


@contextmanager
def routers(tmp: Path, count: int = 6) -> Iterator[tuple[Routers, Book]]:
    """All started; one divides."""
    play = Routers(tmp, count, tables=lambda name: {"budgets": TABLE})
    try:
        play.start()
        book = Book(play)
        play.until(lambda: bool(book.allocator()) and book.share() > 0.99, 20.0, "the whole is divided")
        yield play, book
    finally:
        play.close()


def test_the_divider_killed_paused_and_cut_off_and_never_more_than_the_whole(tmp_path: Path) -> None:
    with routers(tmp_path) as (play, book):
        first = book.allocator()
        book.kill(first)
        play.until(lambda: book.allocator() not in ("", first), 20.0, "another divides")
        play.until(lambda: book.share() > 0.99, 20.0, "also what the dead one had")
        play.launch(first)
        second = book.allocator()
        play.pause([second])
        play.until(lambda: book.allocator() not in ("", second), 20.0, "a third divides")
        play.resume([second])
        play.until(lambda: book.share() > 0.99, 20.0, "the one that was paused has a part again")
        third = book.allocator()
        others = [name for name in play.names if name != third]
        play.switch.split([third], others)
        play.until(lambda: book.allocator() not in ("", third), 20.0, "the larger part divides")
        play.until(lambda: book.now[third]["lease_ends_ms"] == 0, 20.0, "the one cut off has no lease")
        play.switch.heal()
        play.until(lambda: book.share() > 0.99, 20.0, "all have parts again")
        assert not [name for name in play.names if "Traceback" in play.log(name)]
        rest = [one["whole"] - 3 * one["floor"] for one in book.now[play.names[0]]["budgets"]]
        assert rest[0] == WHOLE - 3 * 33
        assert 0 < book.most(0) <= rest[0] and 0 < book.most(1) <= rest[1]


def test_what_one_router_holds_is_told_to_the_staff(tmp_path: Path) -> None:
    with routers(tmp_path, 3) as (play, book):
        admin = f"127.0.0.1:{play.admin['n1']}"
        run = CliRunner().invoke(main, ["fleet", "budgets", "--admin", admin, "--json"])
        assert run.exit_code == 0, run.output
        told = json.loads(run.output)
        assert [one["name"] for one in told["budgets"]] == ["fills", "probes"]
        page = CliRunner().invoke(main, ["fleet", "budgets", "--admin", admin])
        assert page.exit_code == 0 and f"{book.allocator()} divides, epoch" in page.output
        play.term("n0")
        play.until(lambda: book.share() > 0.99, 20.0, "what it gave back is divided")


def part(tmp: Path, sent: list[Any]) -> BudgetService:
    """One process's part, of a name that votes."""
    return BudgetService(
        "v", len(sent) + 1, "f", str(tmp), [budget("fills", 100, False, 100)], ["v", "a", "b"], ["v"],
        Terms(), MessageCodec("f", "s"), lambda to, told, raw: sent.append((to, raw)), "",
    )  # fmt: skip


def test_what_a_floor_covers_is_not_told_as_out_under_a_lease(tmp_path: Path) -> None:
    """Three voters at their floors and leases, and three units of nine were given to nobody for good."""
    with unittest.mock.patch.object(vote_files, "LOCK_RETRY_US", 0):
        first, second = part(tmp_path, []), part(tmp_path, [])
        for one in (first, second):
            one.set_demand((50,), (14,))
            one.call_node(one.node.tick)
        assert first.name_reservations == (10,) and (
            first.levels.holder_node.in_use,
            second.levels.holder_node.in_use,
        ) == ((4,), (14,))
        first.set_demand((50,), (3,))
        first.call_node(first.node.tick)
        assert first.levels.holder_node.in_use == (0,)
        first.close()
        second.close()


def test_of_two_processes_of_one_name_one_votes_and_has_the_floor(tmp_path: Path) -> None:
    """Each gave the name's word by itself: an upgrade could make two majorities."""
    epoch, other = Epoch(1, "a", 1), Epoch(1, "b", 1)
    codec = BudgetCodec(MessageCodec("f", "s"), 1)
    sent: list[list[Any]] = [[], []]
    with unittest.mock.patch.object(vote_files, "LOCK_RETRY_US", 0):
        old, new = part(tmp_path, sent[0]), part(tmp_path, sent[1])
        for one in (old, new):
            one.call_node(one.node.tick)
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
    nowhere = BudgetService(
        "v", 1, "f", "", [], ["v"], ["v"], Terms(), MessageCodec("f", "s"), lambda to, told, raw: None, ""
    )
    nowhere.call_node(nowhere.node.tick)
    assert nowhere.levels.holder_node.voter is None


@pytest.mark.parametrize(
    ("table", "wrong"),
    [
        ({"enabled": True}, "[membership] is wanted"),
        ({"enabled": True, "voters": ["a", "b"]}, "voters: an odd number"),
        ({"enabled": True, "voters": ["a"], "per_second": {"x": 1}, "at_once": {"x": 1}}, "at_once"),
        ({"enabled": True, "voters": ["a"], "at_once": {f"x{n}": 1 << 40 for n in range(40)}}, "a datagram"),
    ],
)
def test_a_table_that_can_t_be_used_is_named(table: dict[str, Any], wrong: str) -> None:
    from lupintack.operator import parse
    from lupintack.settings.errors import ConfigError

    more: dict[str, Any] = {"membership": {"enabled": len(table) > 1, "secret": "s"}}
    with pytest.raises(ConfigError) as error:
        parse({"budgets": table, **more}, "operator.toml")
    assert wrong in str(error.value) and "operator.toml" in str(error.value)


TENURE = Epoch(7, "n1", 1234567890123456)
ENVELOPE = "94a26e30ae3132372e302e302e313a39303932"  # of n0 at 127.0.0.1:9092
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
def test_the_bytes_of_version_1_stay_what_running_routers_speak(
    message: Message, code: str, body: str
) -> None:
    """As commit 5c0df44 worded them: the magic, the version, the keyed code, the envelope, the message."""
    codec = BudgetCodec(MessageCodec("f", "s"), 2)
    raw = codec.encode("n0", "127.0.0.1:9092", message)
    assert raw.hex() == f"4201{code}{ENVELOPE}{body}"
    assert codec.decode(raw) == ("n0", "127.0.0.1:9092", message)
