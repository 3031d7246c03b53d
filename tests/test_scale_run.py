"""`lupintack scale run`: small runs, rejected options and scripts, interruptions, and result computation."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from random import Random

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from lupintack.cli.main import main
from lupintack.clock import now_us
from lupintack.config import Names
from lupintack.core.table_updates import TableChange as ListChange
from lupintack.scale import hollow_messages as messages
from lupintack.scale import report, resources
from lupintack.scale.coordinator import Coordinator, Options
from lupintack.scale.hollow_demand import Demand
from lupintack.scale.hollow_discovery import DiscoveryConnection
from lupintack.scale.hollow_network import Network
from lupintack.scale.hollow_plan import (
    BudgetPlan,
    FleetSize,
    ScaleError,
    plan_budgets,
    plan_routers,
    plan_voters,
)
from lupintack.scale.hollow_shared import SharedRings, SharedView
from lupintack.scale.process_stats import children_of
from lupintack.scale.report import CutTime, Downtime, DowntimeKind, History
from lupintack.scale.resources import Machine
from lupintack.scale.script import Fault, FaultKind, Script, read_script, select
from lupintack.standins.discovery_server import DiscoveryServer

ROOT = Path(__file__).parents[1]
SMALL_SIZE = FleetSize(12, 2, 3, 4)
LARGE_MACHINE = Machine(cores=8, memory_bytes=24 << 30, descriptors=20_000)
PATIENCE_S = 90.0
SERIAL = pytest.mark.xdist_group("scale run")  # each needs a core: concurrent runs would slow each other down
REQUIRED_FIELDS = {
    "routers", "hollow", "processes", "cpu_share_p50", "cpu_share_max", "bytes_per_s_p50", "bytes_per_s_max",
    "rss_mb", "purge_p50_s", "purge_p99_s", "purge_max_s", "change_p99_s", "detect_p50_s", "detect_max_s",
    "false_removals", "oversum", "behind",
}  # fmt: skip


def run_command_line(*more: str) -> list[str]:
    """Return the command line of a run."""
    return [sys.executable, "-m", "lupintack.cli.main", "scale", "run", *more]


def wait_until(condition: object, text: str) -> None:
    """Wait until `condition` returns true; fail after PATIENCE_S."""
    assert callable(condition)
    deadline = time.monotonic() + PATIENCE_S
    while not condition():
        assert time.monotonic() < deadline, text
        time.sleep(0.05)


# Runs


@SERIAL
@pytest.mark.parametrize("levels", [1, 2])
def test_sixty_hollow_routers_join_and_receive_leases_purges_and_changes(levels: int) -> None:
    options = ["--routers", "60", "--regions", "3", "--zones", "6", "--sites", "12", "--seconds", "4"]
    options += ["--seed", "5", "--processes", "3", "--site-budgets", "--changes-per-day", "172800", "--json"]
    options += ["--two-levels"] * (levels == 2)
    process = subprocess.run(
        run_command_line(*options), cwd=ROOT, capture_output=True, text=True, timeout=300
    )
    assert process.returncode == 0, process.stderr
    (line,) = process.stdout.splitlines()
    result = json.loads(line)
    assert result.keys() >= REQUIRED_FIELDS
    assert (result["routers"], result["hollow"], result["budgets"]) == (60, 60, 14)
    assert result["levels"] == levels
    assert result["processes"] == 3 + 1 + 1
    assert result["settled"] and result["oversum"] == 0 and result["faults"] == 0
    roles = {"router", "voter", "allocator", "discovery"} | ({"region_allocator"} if levels == 2 else set())
    assert set(result["cpu_share_p50"]) <= roles
    # An allocator that stalls for longer than its votes last loses its role; an election takes time.
    assert set(result["cpu_share_p50"]) == roles or result["overloaded"]
    assert result["purges"] > 0 and result["changes"] > 0 and result["bytes_per_s_p50"] > 0
    assert result["overloaded"] == (result["behind"] > 0)
    parts = result["bytes_per_s_parts_p50"]
    assert all(parts[name] > 0 for name in ("membership", "budgets", "discovery"))


@pytest.fixture
def run() -> Iterator[Coordinator]:
    """A small run that has settled and whose measurement has started."""
    options = Options(
        SMALL_SIZE, resources.plan_processes(SMALL_SIZE, 2, 0, LARGE_MACHINE), 600.0, 7, Script()
    )
    coordinator = Coordinator(options)
    try:
        coordinator.start_processes()
        coordinator.settle()
        assert coordinator.history.settled
        coordinator.start_measurement()
        yield coordinator
    finally:
        coordinator.close()


@SERIAL
def test_scripted_kill_is_detected_by_all_others_and_explains_removals(run: Coordinator) -> None:
    run.inject_fault(Fault(at_s=0.0, kind=FaultKind.KILL, who=("router:h0007", "allocator")))
    run.wait(lambda: len(run.history.downtimes) == 2, PATIENCE_S, "both kills")
    killed = {downtime.name for downtime in run.history.downtimes}
    run.wait(lambda: run.removals >= 20, PATIENCE_S, "ten routers to report two removals")
    run.wait(lambda: bool(set(run.allocators) - killed), PATIENCE_S, "another allocator")
    run.finish()
    reports = [router for process in run.finished for router in process.routers]
    assert {router.name for router in reports if router.allocator} - killed
    removals = [removal for process in run.finished for removal in process.removals]
    names = [router.name for process in run.finished for router in process.routers]
    assert len(names) == 12
    detection = report.detections(run.history, removals, names)
    assert len(detection.delays_us) == 20 and min(detection.delays_us) > 0
    leases = [lease for process in run.finished for router in process.routers for lease in router.leases]
    assert leases and report.largest_excess(leases, run.budgets) == 0


@SERIAL
def test_cut_off_site_is_removed_and_rejoins_after_heal(run: Coordinator) -> None:
    run.inject_fault(Fault(at_s=0.0, kind=FaultKind.CUT, who=("site:s001",), for_s=0.0))
    cut = run.history.cuts[0]
    assert cut.names == {router.name for router in run.routers if router.site == "s001"}
    run.wait(lambda: run.removals >= 9 * 3, PATIENCE_S, "nine routers to report three removals")
    for child in run.hollow:
        child.send(messages.Heal(1_000_000))  # unknown cut: no effect
        child.send(messages.Heal(run.cut_ids[0]))
    cut.until_us = now_us()
    run.wait(run.has_converged, PATIENCE_S, "the routers to converge again")
    run.finish()
    removals = [removal for process in run.finished for removal in process.removals]
    assert not [name for name in report.false_removals(run.history, removals) if name in cut.names]


@pytest.mark.parametrize("signal_number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_interrupted_run_leaves_no_processes(signal_number: signal.Signals, tmp_path: Path) -> None:
    process = subprocess.Popen(
        run_command_line("--routers", "8", "--processes", "2", "--seconds", "600"), cwd=ROOT,
        stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, env=os.environ | {"TMPDIR": str(tmp_path)},
    )  # fmt: skip
    wait_until(lambda: len(children_of(process.pid)) == 3, "three processes to run")
    children = children_of(process.pid)
    process.send_signal(signal_number)
    assert process.wait(PATIENCE_S) != 0
    assert process.stdout is not None and process.stdout.read() == b""
    wait_until(lambda: not any(is_running(pid) for pid in children), f"processes of {children} still run")
    assert signal_number is signal.SIGKILL or not list(tmp_path.iterdir())


def is_running(pid: int) -> bool:
    """Return whether the process exists and is not a zombie."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


# Rejected runs


@pytest.fixture
def forbid_start(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make every start of a run fail."""
    monkeypatch.setattr("lupintack.scale.coordinator.Coordinator", None)


def assert_rejected(options: list[str], expected_error: str) -> None:
    """Assert that the command exits with code 2 and a one-line error that contains the text."""
    result = CliRunner().invoke(main, ["scale", "run", *options])
    assert result.exit_code == 2, result.output
    (line,) = result.output.splitlines()
    assert expected_error in line


@pytest.mark.usefixtures("forbid_start")
@pytest.mark.parametrize(
    ("options", "expected_error"),
    [
        (["--routers", "0"], "regions <= zones <= sites <= routers"),
        (["--routers", "10", "--regions", "3", "--zones", "2", "--sites", "5"], "not 3, 2, 5, 10"),
        (["--routers", "4", "--sites", "5"], "regions <= zones <= sites <= routers"),
        (["--routers", "3001"], "--routers: at most 3000"),
        (["--routers", "9", "--seconds", "0"], "--seconds"),
        (["--routers", "9", "--seconds", "nan"], "--seconds"),
        (["--routers", "9", "--seed", "-1"], "--seed"),
        (["--routers", "9", "--processes", "-1"], "--processes"),
        (["--routers", "9", "--real", "101"], "--real"),
        (["--routers", "9", "--real", "1", "--site-budgets"], "--real"),
        (["--routers", "9", "--purges-per-s", "-1"], "--purges-per-s"),
        (["--routers", "9", "--starts-per-s", "0"], "--starts-per-s"),
        (["--routers", "9", "--script", "/nowhere.toml"], "no such file"),
        (["--routers", "2000", "--processes", "200"], "processes: 205 would run"),
    ],
)
def test_invalid_options_are_rejected_before_processes_start(options: list[str], expected_error: str) -> None:
    assert_rejected(options, expected_error)


@pytest.mark.usefixtures("forbid_start")
@pytest.mark.parametrize(
    ("text", "expected_error"),
    [
        ("[[fault", "script.toml"),
        ("[[faults]]\nat_s = 1", "faults"),
        ("[[fault]]\nat_s = 1\nkind = 'melt'\nwho = ['all']", "kind"),
        ("[[fault]]\nat_s = -1\nkind = 'kill'\nwho = ['all']", "at_s"),
        ("[[fault]]\nat_s = 1\nkind = 'kill'\nwho = []", "who"),
        ("[[fault]]\nat_s = 1\nkind = 'kill'\nwho = ['planet:x']", "who"),
        ("[[fault]]\nat_s = 1\nkind = 'kill'\nwho = ['zone:z99']", "no such zone"),
        ("[[fault]]\nat_s = 1\nkind = 'kill'\nwho = ['any:10']", "any:COUNT"),
        ("[[fault]]\nat_s = 1\nkind = 'cut'\nwho = ['all']\nfor = 3", "for"),
        ("[[fault]]\nat_s = 9\nkind = 'kill'\nwho = ['all']", "not before the end"),
    ],
)
def test_invalid_script_is_rejected(tmp_path: Path, text: str, expected_error: str) -> None:
    file = tmp_path / "script.toml"
    file.write_text(text)
    assert_rejected(["--routers", "9", "--seconds", "9", "--script", str(file)], expected_error)


@pytest.mark.usefixtures("forbid_start")
@pytest.mark.parametrize(
    ("machine", "expected_error"),
    [(Machine(8, 24 << 30, 100), "descriptors"), (Machine(8, 1 << 30, 20_000), "memory")],
)
def test_insufficient_machine_resource_is_reported(
    monkeypatch: pytest.MonkeyPatch, machine: Machine, expected_error: str
) -> None:
    monkeypatch.setattr(Machine, "here", staticmethod(lambda: machine))
    assert_rejected(["--routers", "1000"], expected_error)


def test_memory_limit_is_ten_gib_and_half_of_machine_memory() -> None:
    size = FleetSize(3000, 27, 78, 140)
    large = Machine(64, 1 << 40, 1 << 20)
    processes = resources.plan_processes(size, 16, 0, large)
    needed = resources.estimate_memory(size, processes)
    assert needed <= resources.MAX_MEMORY_BYTES and processes.total <= resources.MAX_PROCESSES
    resources.check(size, processes, large)
    with pytest.raises(ScaleError, match="memory"):
        resources.check(size, processes, Machine(64, 2 * needed - 2, 1 << 20))


# Script and plan


def test_routers_are_distributed_over_all_groups() -> None:
    size = FleetSize(3000, 27, 78, 140)
    routers = plan_routers(size, range(3000))
    for attribute, count in (("name", 3000), ("region", 27), ("zone", 78), ("site", 140)):
        assert len({getattr(router, attribute) for router in routers}) == count
    assert len({(router.zone, router.region) for router in routers}) == 78
    assert len({(router.site, router.zone) for router in routers}) == 140
    assert len({router.region for router in plan_voters(routers)}) == 5
    assert len(plan_budgets(routers, True)) == 142


def test_fault_selects_routers_by_group_role_and_count(tmp_path: Path) -> None:
    routers = plan_routers(SMALL_SIZE, range(12))
    file = tmp_path / "script.toml"
    file.write_text("[[fault]]\nat_s = 1\nkind = 'pause'\nwho = ['any:2', 'allocator']\nfor_s = 2\n")
    (fault,) = read_script(file, routers, 9.0).fault
    assert (fault.kind, fault.for_s, fault.who) == (FaultKind.PAUSE, 2.0, ("any:2", "allocator"))

    def selected(*who: str) -> tuple[str, ...]:
        return select(who, routers, ["h0000", "h0001"], ["h0005"], Random(1))

    assert selected("site:s003") == ("h0003", "h0007", "h0011")
    assert selected("region:r01", "allocator") == tuple(
        n.name for n in routers if n.region == "r01" or n.name == "h0005"
    )
    assert selected("voters") == ("h0000", "h0001") and len(selected("voter")) == 1
    assert len(selected("any:7")) == 7 and len(selected("all", "any:3")) == 12


def test_demand_changes_and_is_zero_for_other_sites() -> None:
    budgets = (BudgetPlan("a", 120), BudgetPlan("cold-caches.x", 6, "x"), BudgetPlan("cold-caches.y", 6, "y"))
    demand = Demand(budgets, 12, "x", Random(3))
    demands = [demand.draw(second * 1_000_000) for second in range(60)]
    assert len(set(demands)) > 3 and all(d[2] == 0 for d in demands) and any(d[1] for d in demands)
    assert demand.draw(59_000_000) == demands[-1]


# Network and frames


def test_cut_blocks_both_directions_until_healed() -> None:
    network = Network({"a": 1, "b": 2, "c": 3})
    network.cut(1, ["a"], discovery=True)
    network.cut(2, ["c"], discovery=False)
    assert not network.passes("a", 2) and not network.passes("b", 1) and not network.passes("a", 3)
    assert network.passes("a", 1) and not network.reaches_discovery("a") and network.reaches_discovery("c")
    network.heal(1)
    assert network.passes("a", 2) and not network.passes("b", 3) and network.reaches_discovery("a")


@given(st.lists(st.binary(max_size=40), max_size=8), st.integers(1, 7))
def test_frames_round_trip_for_any_read_size(events: list[bytes], step: int) -> None:
    raw = b"".join(messages.encode_frame(messages.Publish(raw_frame)) for raw_frame in events)
    buffer = messages.FrameBuffer()
    frames = [raw_frame for at in range(0, len(raw), step) for raw_frame in buffer.feed(raw[at : at + step])]
    assert [messages.command_decoder.decode(raw_frame) for raw_frame in frames] == [
        messages.Publish(raw_frame) for raw_frame in events
    ]


class DiscoveryWatcher:
    """A discovery connection run by a selector, as in a process of hollow routers."""

    def __init__(self, address: str) -> None:
        import selectors

        self.selector = selectors.DefaultSelector()
        self.reachable = True
        self.changes: list[ListChange] = []
        names = Names((), ("hub",), ("box",), ())
        self.connection = DiscoveryConnection(
            address, names, 1, self.selector, self.ready, self.changes.append, lambda: self.reachable
        )
        self.connection.client.load_initial_log({"rev": 1})

    def ready(self) -> None:
        self.connection.on_readable()

    def step(self) -> bool:
        for key, _ in self.selector.select(0.02):
            key.data()
        self.connection.on_wake(now_us())
        return False

    def await_purges(self, count: int) -> None:
        wait_until(
            lambda: self.step() or sum(change.purge is not None for change in self.changes) >= count,
            f"{count} purges",
        )


def test_discovery_reconnects_after_cut_and_delivers_each_purge_once() -> None:
    server = DiscoveryServer()
    watcher = DiscoveryWatcher(server.address)
    try:
        server.purge("aa")
        watcher.await_purges(1)
        watcher.reachable = False
        for number in range(20):
            server.purge(f"{number:x}")
        wait_until(lambda: watcher.step() or watcher.connection.lines is None, "the silence timeout")
        watcher.step()
        assert len(watcher.changes) == 1
        watcher.reachable = True
        watcher.connection.on_reachability_change()
        watcher.await_purges(21)
        server.purge("bb")
        watcher.await_purges(22)
        assert len(watcher.changes) == 22 and watcher.connection.client.last_revision == server.rev
    finally:
        watcher.connection.close()
        server.close()


@given(st.lists(st.tuples(st.integers(0, 20), st.booleans()), max_size=60))
def test_shared_tables_equal_unshared_tables(steps: list[tuple[int, bool]]) -> None:
    from lupintack.membership.observers import ObserverRings
    from lupintack.membership.view import Record, State, View

    own, shared = (View(64, 10), ObserverRings(6)), (SharedView(64, 10), SharedRings(6))
    for step, (number, is_added) in enumerate(steps):
        state = State.ALIVE if is_added else State.ENDED
        record = Record(f"n{number}", 1, step, state, "s", "a:1")
        for view, rings in (own, shared):
            view.merge(record, step)
            (rings.add if is_added else rings.remove)(record.name)
    assert own[0].records == shared[0].records and own[0].id == shared[0].id
    assert own[1].rings == shared[1].rings and own[1].names == shared[1].names


# Results


def lease(from_us: int, until_us: int, *amounts: int) -> messages.LeaseStatus:
    return messages.LeaseStatus(
        from_us, until_us, tuple((n, units) for n, units in enumerate(amounts) if units)
    )


def test_largest_excess_is_computed_per_budget_at_worst_instant() -> None:
    budgets = (BudgetPlan("a", 10), BudgetPlan("b", 2))
    assert report.largest_excess([lease(0, 5, 10), lease(5, 9, 10, 2)], budgets) == 0
    assert report.largest_excess([lease(0, 6, 10), lease(5, 9, 3)], budgets) == 3
    assert report.largest_excess([lease(0, 6, 10, 1), lease(1, 2, 0, 2), lease(3, 3, 9, 9)], budgets) == 1


@given(
    st.lists(st.tuples(st.integers(0, 9), st.integers(0, 9), st.integers(1, 5)), max_size=12),
    st.integers(0, 9),
)
def test_largest_excess_equals_maximum_over_all_instants(
    leases: list[tuple[int, int, int]], total: int
) -> None:
    sums = [sum(units for start, end, units in leases if start <= at < end) for at in range(10)]
    excess = report.largest_excess([lease(*values) for values in leases], (BudgetPlan("a", total),))
    assert excess == max(0, *(held - total for held in sums))


def removal(at_s: float, observer: str, *names: str) -> messages.Removal:
    return messages.Removal(round(at_s * 1e6), observer, names)


def test_removal_is_false_unless_explained_by_fault() -> None:
    history = History(ended_us=300_000_000)
    history.downtimes += [
        Downtime("killed", DowntimeKind.KILLED, 10_000_000, 20_000_000),
        Downtime("short", DowntimeKind.PAUSED, 10_000_000, 13_000_000),
        Downtime("long", DowntimeKind.PAUSED, 10_000_000, 30_000_000),
    ]
    history.cuts.append(CutTime(frozenset({"c", "d"}), 100_000_000, 140_000_000))
    explained = [
        removal(11, "x", "killed"), removal(35, "x", "killed"), removal(17, "x", "long"),
        removal(107, "x", "c"), removal(107, "c", "x"),
    ]  # fmt: skip
    assert report.false_removals(history, explained) == {}
    unexplained = [
        removal(9, "x", "killed"), removal(50, "x", "killed"), removal(14, "x", "short"),
        removal(12, "x", "long"), removal(107, "c", "d"), removal(99, "x", "c"), removal(5, "x", "y"),
    ]  # fmt: skip
    assert len([r for r in unexplained if report.false_removals(history, [r])]) == len(unexplained)


def test_detection_is_counted_per_observer_and_not_missed_after_quick_restart() -> None:
    history = History(ended_us=100_000_000)
    history.downtimes += [
        Downtime("a", DowntimeKind.KILLED, 10_000_000),
        Downtime("b", DowntimeKind.KILLED, 10_000_000, 10_500_000),
        Downtime("c", DowntimeKind.KILLED, 90_000_000),
    ]
    removals = [removal(12, "x", "a"), removal(13, "y", "a"), removal(5, "z", "a"), removal(14, "b", "a")]
    detection = report.detections(history, removals, ["a", "b", "c", "x", "y", "z"])
    assert sorted(detection.delays_us) == [2_000_000, 3_000_000]
    assert detection.missed == 1  # by z; c was killed too close to the end


@given(st.lists(st.integers(0, 50), min_size=1), st.sampled_from([0.01, 0.5, 0.99, 1.0]))
def test_count_percentile_equals_percentile_of_values(values: list[int], fraction: float) -> None:
    counts = {value: values.count(value) for value in values}
    assert report.count_percentile(counts, fraction) == report.percentile(values, fraction)
    assert report.percentile([], fraction) is None and report.count_percentile({}, fraction) is None


def test_delayed_router_marks_run_as_overloaded() -> None:
    usage = messages.Usage(1_000_000, 500, 500)
    routers = tuple(
        messages.RouterReport(
            name,
            1_000_000,
            name == "v",
            name == "w",
            name == "x",
            usage,
            usage,
            usage,
            messages.Usage(1_000_000),
            max_tick_delay_us,
            (),
        )
        for name, max_tick_delay_us in (("v", 0), ("w", 10), ("x", 500_000), ("y", 500_001))
    )
    finished = messages.Finished(routers, (), {3: 2, 9: 1}, {}, 0, 0, 0, 0)
    history = History(0, 1_000_000, settled=True)
    line = report.result_line(FleetSize(4, 1, 1, 1), 3, 0, 2, (), history, [finished])
    assert (line["behind"], line["overloaded"]) == (1, True)
    assert line["cpu_share_p50"] == {
        "router": 0.004,
        "voter": 0.004,
        "region_allocator": 0.004,
        "allocator": 0.004,
    }
    assert (line["bytes_per_s_p50"], line["purge_p50_s"], line["purge_max_s"]) == (3000, 0.003, 0.009)
    assert line["detect_p50_s"] is None and json.dumps(line)
    assert os.linesep not in json.dumps(line)
