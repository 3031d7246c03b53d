"""Small fleets under faults in the lab, its scripts, and its planted bugs."""

from __future__ import annotations

import json
from typing import Any

import pytest
from click.testing import CliRunner

from lupintack.cli.main import main
from lupintack.lab.faults import Fault, ScriptError, read_script
from lupintack.lab.members import World
from lupintack.lab.planted_bugs import PLANTED_BUGS, find_seed
from lupintack.lab.simulated_fleet import SECOND
from lupintack.membership.view import State


def script(*faults: Fault) -> list[Fault]:
    return list(faults)


def make_world(*faults: Fault, routers: int = 16, seed: int = 3, **more: Any) -> World:
    return World(seed, routers, script=script(*faults), site_count=4, **more)


S = SECOND


HARMLESS_FAULTS: dict[str, tuple[Fault, ...]] = {
    "one paused 0.5 s": (Fault(6 * S, "pause", S // 2, ("n1",)),),
    "one paused 5 s": (Fault(6 * S, "pause", 5 * S, ("n1",)),),
    "one in five paused 5 s": (Fault(6 * S, "pause", 5 * S, ("n1", "n6", "n11")),),
    "a tenth lost": (Fault(6 * S, "loss", 8 * S, magnitude=0.1),),
    "three tenths lost": (Fault(6 * S, "loss", 8 * S, magnitude=0.3),),
    "two seconds late": (Fault(6 * S, "delay", 6 * S, magnitude=2.0),),
    "doubled and out of order": (Fault(6 * S, "double", 8 * S, magnitude=0.3),),
    "a pair cut one way": (Fault(6 * S, "oneway", 15 * S, ("n1>n2", "n3>n4", "n4>n3")),),
    "each cut from the next one way": (
        Fault(6 * S, "oneway", 15 * S, tuple(f"n{n}>n{(n + 1) % 16}" for n in range(16))),
    ),
    "a site away for 6 s": (Fault(6 * S, "site", 6 * S, ("site1",)),),
    "halves": (Fault(6 * S, "halves", 20 * S),),
    "a cut that opens and shuts": (Fault(6 * S, "flap", 10 * S, ("site1",)),),
    "a flood": (Fault(6 * S, "flood", 6 * S),),
}


@pytest.mark.parametrize("name", HARMLESS_FAULTS)
def test_no_router_is_removed_by(name: str) -> None:
    world = make_world(*HARMLESS_FAULTS[name])
    result = world.run()
    assert not result.broken_invariant and result.false_removals == 0 and result.surplus_views == 0, result
    notified = [host.notified for host in world.hosts.values()]
    assert all(len(names) == 16 for names in notified)
    assert result.changes <= 3, "a membership that flaps is worse than none"  # its own start, a join, all


@pytest.mark.parametrize("kind", ["kill", "restart", "leave", "vanish"])
def test_all_routers_notify_of_ended_processes_in_one_change(kind: str) -> None:
    targets = tuple(f"n{n}" for n in (range(5, 16) if kind == "restart" else (5, 9)))
    world = make_world(Fault(8 * S, kind, 0, targets))
    before: dict[str, int] = {}
    world.clock.schedule(8 * S - 1, lambda: before.update({n: h.changes for n, h in world.hosts.items()}))
    result = world.run()
    assert not result.broken_invariant and result.surplus_views == 0 and result.missed == 0, result
    left = {f"n{n}" for n in range(16)} - set(targets if kind != "restart" else ())
    assert all(set(host.notified) == left for host in world.running())
    max_detect_s = {"kill": 5, "restart": 5, "leave": 3, "vanish": 11}[kind]
    assert result.detect_us and max(result.detect_us) <= max_detect_s * S
    notified = {
        name: host.changes - before[name] for name, host in world.hosts.items() if name not in targets
    }
    assert max(notified.values()) <= (2 if kind == "restart" else 1), notified


def test_a_lost_site_is_one_change_and_its_return_another() -> None:
    texts: list[str] = []
    world = make_world(Fault(8 * S, "site", 20 * S, ("site1",)), trace=texts.append)
    result = world.run()
    assert not result.broken_invariant and result.surplus_views == 0
    notified = [text for text in texts if " n0 reports" in text and float(text.split()[0]) > 8]
    assert len(notified) == 2 and "12 members" in notified[0] and "16 members" in notified[1], notified
    cut = [text for text in texts if " n1 reports" in text and float(text.split()[0]) > 8]
    assert not cut, cut  # the smaller part removes nobody


def test_a_router_paused_for_30_s_is_removed_once_and_removes_nobody_afterwards() -> None:
    texts: list[str] = []
    world = make_world(Fault(8 * S, "pause", 30 * S, ("n2",)), trace=texts.append)
    result = world.run()
    assert result.false_removals == 0 and result.surplus_views == 0
    notified = [text for text in texts if " n0 reports" in text and float(text.split()[0]) > 8]
    assert len(notified) == 2 and "removed ['n2']" in notified[0] and "joined ['n2']" in notified[1], notified
    assert not [text for text in texts if " n2 reports" in text and "removed []" not in text]


def test_a_router_whose_messages_get_lost_detects_it() -> None:
    seen: set[State] = set()
    world = make_world(Fault(6 * S, "mute", 6 * S, ("n1",)))
    for at in range(7, 13):
        world.clock.schedule(at * S, lambda: seen.add(world.hosts["n1"].membership.me.state))  # type: ignore[union-attr]
    result = world.run()
    assert State.UNACKNOWLEDGED in seen and result.surplus_views == 0
    assert world.hosts["n1"].membership.me.state is State.ALIVE  # type: ignore[union-attr]


def test_a_seed_gives_the_same_run_in_any_process_and_the_cli_prints_one_line() -> None:
    arguments = ["lab", "members", "--routers", "8", "--seeds", "0-3", "--json"]
    first = json.loads(CliRunner().invoke(main, arguments).output)
    second = json.loads(CliRunner().invoke(main, [*arguments, "--jobs", "2"]).output)
    assert first == second and first["runs"] == 4 and first["hash"]
    traced = CliRunner().invoke(main, ["lab", "members", "--routers", "8", "--seed", "1", "--trace"])
    assert "fault" in traced.output and "reports" in traced.output
    wrong = CliRunner().invoke(main, ["lab", "members", "--faults", "rain"])
    assert wrong.exit_code == 2 and "'rain' is not known" in wrong.output


def test_scripts_are_read_and_wrong_ones_are_refused(tmp_path: Any) -> None:
    file = tmp_path / "s.toml"
    file.write_text('[[fault]]\nat_s = 6\nkind = "kill"\nwho = ["n1"]\n')
    assert read_script(file) == [Fault(6 * S, "kill", 0, ("n1",))]
    for text in (
        '[[fault]]\nkind = "rain"',
        '[[fault]]\nkind = "kill"\nat = 3',
        "[[fault",
        '[[fault]]\nkind="kill"\nat_s="x"',
    ):
        file.write_text(text)
        with pytest.raises(ScriptError):
            read_script(file)


@pytest.mark.parametrize("name", PLANTED_BUGS)
def test_each_planted_bug_is_caught(name: str) -> None:
    seed, by = find_seed(name, 40)
    assert seed is not None and by


def test_the_command_plants_a_bug_of_the_membership() -> None:
    """Guards against a command that knows the budgets' bugs alone."""
    run = CliRunner().invoke(main, ["lab", "plant", "last-word", "--json"])
    assert run.exit_code == 0, run.output
    assert json.loads(run.output)["caught_at"] is not None


def test_the_command_names_the_bugs_that_there_are() -> None:
    run = CliRunner().invoke(main, ["lab", "plant", "no-such-bug"])
    assert run.exit_code != 0 and "last-word" in run.output and "no-wait" in run.output
