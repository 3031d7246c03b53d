"""Slopes are flat or linear by operation counts; `lupintack scale slope` measures, plots and rejects."""

from __future__ import annotations

import csv
import importlib.util
import json
import os
import resource
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import pytest
from click.testing import CliRunner

from lupintack.cli.main import main
from lupintack.scale import roles
from lupintack.scale.membership_world import SECOND_US, JoinedWorld
from lupintack.scale.role_allocator import AllocatorSubject
from lupintack.scale.role_discovery import DiscoverySubject
from lupintack.scale.role_purge import PurgeReader, purge_lines
from lupintack.scale.role_reload import ReloadSubject
from lupintack.scale.role_request import FEW_PARENTS, NEW_OBJECTS, OBJECTS, RequestTraffic, members
from lupintack.scale.slope import Parameters, count_operations, deep_bytes, fit

SIZES = (20, 40, 80)  # each twice the previous one
MAX_FLAT_RATIO = 1.15  # largest operation count over the smallest, where the cost must not depend on the size
# Bounds of the growth from the second to the third size over that from the first to the second
LINEAR_GROWTH_BOUNDS = (1.6, 2.4)
STEPS = 20


def mean_operations(step: Callable[[], object], steps: int = STEPS) -> float:
    """Return the mean number of instructions of one step."""

    def run() -> None:
        for _ in range(steps):
            step()

    return count_operations(run) / steps


def lease_request_operations(holders: int, budgets: int) -> float:
    """Return the mean number of instructions of a lease request over some share intervals."""
    return mean_operations(AllocatorSubject(Parameters(holders, budgets, 1)).step, 3 * STEPS)


def assert_linear(counts: list[float]) -> None:
    first, second = counts[1] - counts[0], counts[2] - counts[1]
    assert first > 0, counts
    assert LINEAR_GROWTH_BOUNDS[0] <= second / first <= LINEAR_GROWTH_BOUNDS[1], counts


def assert_flat(counts: list[float]) -> None:
    assert max(counts) <= MAX_FLAT_RATIO * min(counts), counts


class TestMeasure:
    def test_fit_returns_least_squares_line(self) -> None:
        line = fit([1, 2, 4], [5.0, 7.0, 11.0])
        assert line.slope == pytest.approx(2.0)
        assert line.at(10) == pytest.approx(23.0)
        assert fit([3, 3], [1.0, 2.0]).slope == 0.0

    def test_operation_count_includes_comprehensions_and_is_deterministic(self) -> None:
        def loop(count: int) -> int:
            return len([number for number in range(count) if number >= 0])

        few, more = (count_operations(lambda n=n: loop(n)) for n in (10, 1010))  # type: ignore[misc]
        assert more - few >= 1000
        assert count_operations(lambda: loop(10)) == few

    def test_deep_bytes_counts_each_object_once(self) -> None:
        text = "x" * 1000
        assert deep_bytes([text, text]) < 2 * sys.getsizeof(text)
        assert deep_bytes([text]) > sys.getsizeof(text)


class TestSlopes:
    @pytest.mark.parametrize("objects", [OBJECTS, NEW_OBJECTS])
    def test_request_cost_is_independent_of_members_in_own_location(self, objects: int) -> None:
        """Guards against hashing every member for each new object, and comparing all members with each other
        each second: sixteen times the caches then used more processor time than the platform allows.
        """

        def count_at(size: int) -> float:
            traffic = RequestTraffic(members(size, size, FEW_PARENTS), 1)
            for _ in range(100):
                traffic.request(objects)
            return mean_operations(lambda: traffic.request(objects))

        assert_flat([count_at(size) for size in SIZES])

    def test_request_cost_is_independent_of_parents(self) -> None:
        def count_at(size: int) -> float:
            traffic = RequestTraffic(members(8, 8, size), 1)
            return mean_operations(lambda: traffic.request(NEW_OBJECTS))

        assert_flat([count_at(size) for size in SIZES])

    def test_list_event_cost_is_independent_of_members(self) -> None:
        def count_at(size: int) -> float:
            traffic = RequestTraffic(members(size, size, FEW_PARENTS), 1)
            return mean_operations(traffic.list_event)

        assert_flat([count_at(size) for size in SIZES])

    def test_request_cost_is_independent_of_members_in_other_locations(self) -> None:
        def count_at(size: int) -> float:
            traffic = RequestTraffic(members(size, 8, FEW_PARENTS), 1)
            return mean_operations(lambda: traffic.request(NEW_OBJECTS))

        assert_flat([count_at(size) for size in SIZES])

    def test_purge_cost_is_independent_of_earlier_purges(self) -> None:
        def count_at(size: int) -> float:
            reader, raw_lines = PurgeReader(1), purge_lines(size + STEPS, 0.0)
            for raw in raw_lines[:size]:
                reader.read(raw)
            remaining = iter(raw_lines[size:])
            return mean_operations(lambda: reader.read(next(remaining)))

        assert_flat([count_at(size) for size in SIZES])

    def test_reload_cost_is_at_most_linear_in_members(self) -> None:
        def count_at(size: int) -> float:
            subject = ReloadSubject(Parameters(size, 3, 1))
            try:
                subject.write()
                return mean_operations(subject.step, 1)
            finally:
                subject.close()

        counts = [count_at(size) for size in SIZES]
        assert counts[2] - counts[1] <= LINEAR_GROWTH_BOUNDS[1] * max(1.0, counts[1] - counts[0]), counts

    @pytest.mark.parametrize("budgets", [3, 9])
    def test_lease_request_cost_is_at_most_linear_in_holders(self, budgets: int) -> None:
        counts = [lease_request_operations(size, budgets) for size in SIZES]
        assert counts[2] - counts[1] <= LINEAR_GROWTH_BOUNDS[1] * max(1.0, counts[1] - counts[0]), counts

    def test_lease_request_cost_is_at_most_linear_in_budgets(self) -> None:
        counts = [lease_request_operations(20, budgets) for budgets in (6, 12, 24)]
        assert counts[2] - counts[1] <= LINEAR_GROWTH_BOUNDS[1] * max(1.0, counts[1] - counts[0]), counts

    @pytest.mark.xdist_group("serial")
    def test_purge_is_sent_once_per_watcher_at_linear_cost(self) -> None:
        def count_at(size: int) -> float:
            subject = DiscoverySubject(Parameters(size, 3, 1), idle_s=0.0)
            try:
                sample = subject.sample()
                assert (sample.messages, sample.details["missing"]) == (size, 0)
                return mean_operations(lambda: subject.discovery_server.send(b"2\n"), 1)
            finally:
                subject.close()

        assert_linear([count_at(size) for size in SIZES])

    def test_idle_membership_cost_per_router_is_independent_of_fleet_size(self) -> None:
        """Datagrams and bytes per router and second are constant; instructions grow slower than the fleet."""
        bytes_per_router, datagrams_per_router, operations_per_router = [], [], []
        for size in SIZES:
            world = JoinedWorld(1, size, [], 1)
            world.start_joined()
            world.run_to(2 * SECOND_US)
            bytes_sent, datagrams = sum(host.sent_bytes for host in world.hosts.values()), world.datagrams
            operations_per_router.append(count_operations(lambda: world.run_to(3 * SECOND_US)) / size)  # noqa: B023
            bytes_per_router.append(
                (sum(host.sent_bytes for host in world.hosts.values()) - bytes_sent) / size
            )
            datagrams_per_router.append((world.datagrams - datagrams) / size)
        assert_flat(datagrams_per_router)
        assert_flat(bytes_per_router)
        assert operations_per_router[2] <= 2.0 * operations_per_router[0], operations_per_router

    def test_joined_world_keeps_a_single_view(self) -> None:
        world = JoinedWorld(3, 20, [], 2)
        world.start_joined()
        assert len({world.view_id(host) for host in world.hosts.values()}) == 1
        world.run_to(12 * SECOND_US)
        assert len({world.view_id(host) for host in world.hosts.values()}) == 1
        assert world.result.false_removals == 0
        assert world.exchanges == 0


class TestCommand:
    def run_slope(self, *arguments: str) -> tuple[int, str, str]:
        result = CliRunner().invoke(main, ["scale", "slope", *arguments])
        return result.exit_code, result.stdout, result.stderr

    @pytest.mark.parametrize(
        ("arguments", "text"),
        [
            (("cook", "--sizes", "3"), "no role 'cook'"),
            (("purge", "--sizes", "3,0"), "not '0'"),
            (("purge", "--sizes", "3,-1"), "not '-1'"),
            (("purge", "--sizes", "3,x"), "not 'x'"),
            (("purge", "--sizes", ""), "not ''"),
            (("membership", "--sizes", "9000000"), "MiB are needed"),
            (("cut", "--sizes", "40,3"), "must be at least 4 for cut"),
            (("discovery", "--sizes", "3", "--plot", "/no/such/folder/a.png"), "--plot: no folder"),
        ],
    )
    def test_invalid_measurement_exits_with_code_2_and_one_line(
        self, arguments: tuple[str, ...], text: str
    ) -> None:
        code, out, err = self.run_slope(*arguments)
        assert (code, out) == (2, "")
        assert text in err
        assert len(err.splitlines()) == 1

    def test_insufficient_descriptors_are_reported_before_start(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(resource, "getrlimit", lambda what: (70, 70))
        code, out, err = self.run_slope("discovery", "--sizes", "3,400")
        assert (code, out) == (2, "")
        assert "descriptors are needed, the limit is 70" in err

    def test_missing_matplotlib_is_reported(self, monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
        monkeypatch.setattr(importlib.util, "find_spec", lambda name: None)
        code, out, err = self.run_slope("purge", "--sizes", "3", "--plot", str(tmp_path / "a.png"))
        assert (code, out) == (2, "")
        assert "lupintack[lab]" in err

    @pytest.mark.parametrize("name", sorted(set(roles.ROLES) - {"discovery"}))
    def test_json_has_one_line_per_size(self, name: str) -> None:
        code, out, err = self.run_slope(name, "--sizes", "4,8", "--repeats", "2", "--json")
        assert code == 0, err
        results = [json.loads(line) for line in out.splitlines()]
        assert [result["size"] for result in results] == [4, 8]
        for result in results:
            assert result["role"] == name
            assert 0 < result["cpu_us_min"] <= result["cpu_us"] <= result["cpu_us_max"]
            assert result["repeats"] == 2
            assert result["state_bytes"] > 0
            assert result["reference_us"] > 0
            assert result["per"]

    def test_plot_writes_chart_and_csv(self, tmp_path: Path) -> None:
        pytest.importorskip("matplotlib")
        path = tmp_path / "purge.png"
        code, _, err = self.run_slope("purge", "--sizes", "5,10", "--repeats", "2", "--plot", str(path))
        assert code == 0, err
        assert path.read_bytes().startswith(b"\x89PNG")
        rows = list(csv.DictReader(path.with_suffix(".csv").open()))
        assert [row["size"] for row in rows] == ["5", "10"]
        assert float(rows[0]["missed_cpu_us"]) > 0


@pytest.mark.xdist_group("serial")
@pytest.mark.parametrize("signal_number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_interrupted_measurement_leaves_no_process(signal_number: signal.Signals) -> None:
    arguments = ["scale", "slope", "discovery", "--sizes", "5", "--repeats", "1000"]
    process = subprocess.Popen(
        [sys.executable, "-m", "lupintack.cli.main", *arguments],
        stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL, start_new_session=True,
    )  # fmt: skip
    try:
        wait_until(lambda: len(running_session_processes(process.pid)) >= 2)
        process.send_signal(signal_number)
        process.wait(20)
        wait_until(lambda: not running_session_processes(process.pid))
    finally:
        for pid in running_session_processes(process.pid):
            os.kill(pid, signal.SIGKILL)


def running_session_processes(session_id: int) -> list[int]:
    """Return the pids of the processes of a session, without zombies."""
    pids = []
    for folder in Path("/proc").glob("[0-9]*"):
        try:
            rest = (folder / "stat").read_text().rpartition(")")[2].split()
        except OSError:
            continue
        if int(rest[3]) == session_id and rest[0] != "Z":
            pids.append(int(folder.name))
    return pids


def wait_until(condition: Callable[[], bool], timeout_s: float = 30.0) -> None:
    """Wait until `condition` returns true; fail after `timeout_s`."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, "timed out"
        time.sleep(0.05)
