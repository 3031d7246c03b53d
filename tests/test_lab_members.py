"""Simulations of small fleets under faults, fault scripts, and bugs planted in the membership."""

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


def make_world(*faults: Fault, routers: int = 16, seed: int = 3, **options: Any) -> World:
    return World(seed, routers, script=script(*faults), site_count=4, **options)


S = SECOND


TOLERATED_FAULTS: dict[str, tuple[Fault, ...]] = {
    "one router paused 0.5 s": (Fault(6 * S, "pause", S // 2, ("n1",)),),
    "one router paused 5 s": (Fault(6 * S, "pause", 5 * S, ("n1",)),),
    "one router in five paused 5 s": (Fault(6 * S, "pause", 5 * S, ("n1", "n6", "n11")),),
    "a tenth of datagrams lost": (Fault(6 * S, "loss", 8 * S, magnitude=0.1),),
    "three tenths of datagrams lost": (Fault(6 * S, "loss", 8 * S, magnitude=0.3),),
    "datagrams delayed two seconds": (Fault(6 * S, "delay", 6 * S, magnitude=2.0),),
    "datagrams duplicated and reordered": (Fault(6 * S, "double", 8 * S, magnitude=0.3),),
    "pairs cut off in one direction": (Fault(6 * S, "oneway", 15 * S, ("n1>n2", "n3>n4", "n4>n3")),),
    "each router cut off from the next in one direction": (
        Fault(6 * S, "oneway", 15 * S, tuple(f"n{n}>n{(n + 1) % 16}" for n in range(16))),
    ),
    "a site cut off for 6 s": (Fault(6 * S, "site", 6 * S, ("site1",)),),
    "sites partitioned into halves": (Fault(6 * S, "halves", 20 * S),),
    "a site repeatedly cut off and reconnected": (Fault(6 * S, "flap", 10 * S, ("site1",)),),
    "a flood of replayed datagrams": (Fault(6 * S, "flood", 6 * S),),
}


@pytest.mark.parametrize("name", TOLERATED_FAULTS)
def test_tolerated_faults_remove_no_router(name: str) -> None:
    world = make_world(*TOLERATED_FAULTS[name])
    result = world.run()
    assert not result.broken_invariant and result.false_removals == 0 and result.surplus_views == 0, result
    member_starts = [host.notified for host in world.hosts.values()]
    assert all(len(names) == 16 for names in member_starts)
    # A router reports its own start, a join, and the whole fleet; a membership that flaps is useless.
    assert result.changes <= 3, "the membership reported more changes than joins explain"


@pytest.mark.parametrize("kind", ["kill", "restart", "leave", "vanish"])
def test_ended_processes_are_reported_by_all_routers_in_one_change(kind: str) -> None:
    targets = tuple(f"n{index}" for index in (range(5, 16) if kind == "restart" else (5, 9)))
    world = make_world(Fault(8 * S, kind, 0, targets))
    before: dict[str, int] = {}
    world.clock.schedule(
        8 * S - 1, lambda: before.update({name: host.changes for name, host in world.hosts.items()})
    )
    result = world.run()
    assert not result.broken_invariant and result.surplus_views == 0 and result.missed == 0, result
    remaining = {f"n{index}" for index in range(16)} - set(targets if kind != "restart" else ())
    assert all(set(host.notified) == remaining for host in world.running())
    max_detect_s = {"kill": 5, "restart": 5, "leave": 3, "vanish": 11}[kind]
    assert result.detect_us and max(result.detect_us) <= max_detect_s * S
    reported_changes = {
        name: host.changes - before[name] for name, host in world.hosts.items() if name not in targets
    }
    assert max(reported_changes.values()) <= (2 if kind == "restart" else 1), reported_changes


def test_site_outage_is_one_change_and_its_recovery_another() -> None:
    trace: list[str] = []
    world = make_world(Fault(8 * S, "site", 20 * S, ("site1",)), trace=trace.append)
    result = world.run()
    assert not result.broken_invariant and result.surplus_views == 0
    reports = [text for text in trace if " n0 reports" in text and float(text.split()[0]) > 8]
    assert len(reports) == 2 and "12 members" in reports[0] and "16 members" in reports[1], reports
    minority_reports = [text for text in trace if " n1 reports" in text and float(text.split()[0]) > 8]
    assert not minority_reports, minority_reports  # the minority side removes no router


def test_router_paused_for_30_s_is_removed_once_and_removes_none_afterwards() -> None:
    trace: list[str] = []
    world = make_world(Fault(8 * S, "pause", 30 * S, ("n2",)), trace=trace.append)
    result = world.run()
    assert result.false_removals == 0 and result.surplus_views == 0
    reports = [text for text in trace if " n0 reports" in text and float(text.split()[0]) > 8]
    assert len(reports) == 2 and "removed ['n2']" in reports[0] and "joined ['n2']" in reports[1], reports
    assert not [text for text in trace if " n2 reports" in text and "removed []" not in text]


def test_router_detects_loss_of_its_outgoing_messages() -> None:
    states: set[State] = set()
    world = make_world(Fault(6 * S, "mute", 6 * S, ("n1",)))
    for second in range(7, 13):
        world.clock.schedule(second * S, lambda: states.add(world.hosts["n1"].membership.me.state))  # type: ignore[union-attr]
    result = world.run()
    assert State.UNACKNOWLEDGED in states and result.surplus_views == 0
    assert world.hosts["n1"].membership.me.state is State.ALIVE  # type: ignore[union-attr]


def test_runs_of_a_seed_are_equal_in_any_process_and_the_cli_prints_one_line() -> None:
    arguments = ["lab", "members", "--routers", "8", "--seeds", "0-3", "--json"]
    first = json.loads(CliRunner().invoke(main, arguments).output)
    second = json.loads(CliRunner().invoke(main, [*arguments, "--jobs", "2"]).output)
    assert first == second and first["runs"] == 4 and first["hash"]
    traced = CliRunner().invoke(main, ["lab", "members", "--routers", "8", "--seed", "1", "--trace"])
    assert "fault" in traced.output and "reports" in traced.output
    rejected = CliRunner().invoke(main, ["lab", "members", "--faults", "rain"])
    assert rejected.exit_code == 2 and "'rain' is not known" in rejected.output


def test_fault_scripts_are_parsed_and_invalid_ones_rejected(tmp_path: Any) -> None:
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
def test_planted_bug_is_detected(name: str) -> None:
    seed, problem = find_seed(name, 40)
    assert seed is not None and problem


def test_plant_command_supports_membership_bugs() -> None:
    """Guards against a regression: the command accepted only the bugs planted in the budgets."""
    run = CliRunner().invoke(main, ["lab", "plant", "last-word", "--json"])
    assert run.exit_code == 0, run.output
    assert json.loads(run.output)["caught_at"] is not None


def test_plant_command_lists_known_bugs_for_an_unknown_name() -> None:
    run = CliRunner().invoke(main, ["lab", "plant", "no-such-bug"])
    assert run.exit_code != 0 and "last-word" in run.output and "no-wait" in run.output
