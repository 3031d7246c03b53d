"""Slopes: by counted operations they are linear or flat, and the command measures, draws and refuses."""

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

SIZES = (20, 40, 80)  # each twice the one before
FLAT = 1.15  # the work at the largest size over that at the smallest, where it must not grow
LINEAR = (1.6, 2.4)  # the growth from the second to the third size over that from the first to the second
STEPS = 20


def operations(step: Callable[[], object], steps: int = STEPS) -> float:
    """Instructions of one step, over several."""

    def run() -> None:
        for _ in range(steps):
            step()

    return count_operations(run) / steps


def lease_request_operations(holders: int, budgets: int) -> float:
    """Instructions of one lease request, over some share intervals."""
    return operations(AllocatorSubject(Parameters(holders, budgets, 1)).step, 3 * STEPS)


def assert_linear(counts: list[float]) -> None:
    first, second = counts[1] - counts[0], counts[2] - counts[1]
    assert first > 0, counts
    assert LINEAR[0] <= second / first <= LINEAR[1], counts


def assert_flat(counts: list[float]) -> None:
    assert max(counts) <= FLAT * min(counts), counts


class TestMeasure:
    def test_a_line_is_found(self) -> None:
        line = fit([1, 2, 4], [5.0, 7.0, 11.0])
        assert line.slope == pytest.approx(2.0)
        assert line.at(10) == pytest.approx(23.0)
        assert fit([3, 3], [1.0, 2.0]).slope == 0.0

    def test_operations_count_loops_also_in_comprehensions_and_repeat_exactly(self) -> None:
        def loop(count: int) -> int:
            return len([number for number in range(count) if number >= 0])

        few, more = (count_operations(lambda n=n: loop(n)) for n in (10, 1010))  # type: ignore[misc]
        assert more - few >= 1000
        assert count_operations(lambda: loop(10)) == few

    def test_state_counts_each_object_once(self) -> None:
        text = "x" * 1000
        assert deep_bytes([text, text]) < 2 * sys.getsizeof(text)
        assert deep_bytes([text]) > sys.getsizeof(text)


class TestSlopes:
    @pytest.mark.parametrize("objects", [OBJECTS, NEW_OBJECTS])
    def test_a_request_does_not_grow_with_the_members_of_its_own_location(self, objects: int) -> None:
        """It used to: each was hashed for each new object, and all of them were weighed against all others
        each second. Sixteen times the caches took more processor time than the platform allows.
        """

        def count(size: int) -> float:
            traffic = RequestTraffic(members(size, size, FEW_PARENTS), 1)
            for _ in range(100):
                traffic.request(objects)
            return operations(lambda: traffic.request(objects))

        assert_flat([count(size) for size in SIZES])

    def test_a_request_does_not_grow_with_the_parents(self) -> None:
        def count(size: int) -> float:
            traffic = RequestTraffic(members(8, 8, size), 1)
            return operations(lambda: traffic.request(NEW_OBJECTS))

        assert_flat([count(size) for size in SIZES])

    def test_a_list_event_does_not_grow_with_the_members(self) -> None:
        def count(size: int) -> float:
            traffic = RequestTraffic(members(size, size, FEW_PARENTS), 1)
            return operations(traffic.list_event)

        assert_flat([count(size) for size in SIZES])

    def test_a_request_does_not_grow_with_members_of_other_locations(self) -> None:
        def count(size: int) -> float:
            traffic = RequestTraffic(members(size, 8, FEW_PARENTS), 1)
            return operations(lambda: traffic.request(NEW_OBJECTS))

        assert_flat([count(size) for size in SIZES])

    def test_a_purge_does_not_grow_with_those_before_it(self) -> None:
        def count(size: int) -> float:
            reader, told = PurgeReader(1), purge_lines(size + STEPS, 0.0)
            for raw in told[:size]:
                reader.read(raw)
            rest = iter(told[size:])
            return operations(lambda: reader.read(next(rest)))

        assert_flat([count(size) for size in SIZES])

    def test_a_reload_is_linear_at_most_in_the_members(self) -> None:
        def count(size: int) -> float:
            subject = ReloadSubject(Parameters(size, 3, 1))
            try:
                subject.write()
                return operations(subject.step, 1)
            finally:
                subject.close()

        counts = [count(size) for size in SIZES]
        assert counts[2] - counts[1] <= LINEAR[1] * max(1.0, counts[1] - counts[0]), counts

    @pytest.mark.parametrize("budgets", [3, 9])
    def test_a_lease_request_is_linear_at_most_in_the_holders(self, budgets: int) -> None:
        counts = [lease_request_operations(size, budgets) for size in SIZES]
        assert counts[2] - counts[1] <= LINEAR[1] * max(1.0, counts[1] - counts[0]), counts

    def test_a_lease_request_is_linear_at_most_in_the_budgets(self) -> None:
        counts = [lease_request_operations(20, budgets) for budgets in (6, 12, 24)]
        assert counts[2] - counts[1] <= LINEAR[1] * max(1.0, counts[1] - counts[0]), counts

    @pytest.mark.xdist_group("lane")
    def test_a_purge_is_sent_once_to_each_watcher_in_linear_work(self) -> None:
        def count(size: int) -> float:
            subject = DiscoverySubject(Parameters(size, 3, 1), idle_s=0.0)
            try:
                found = subject.sample()
                assert (found.messages, found.details["missing"]) == (size, 0)
                return operations(lambda: subject.discovery_server.send(b"2\n"), 1)
            finally:
                subject.close()

        assert_linear([count(size) for size in SIZES])

    def test_idle_membership_does_not_grow_with_the_fleet(self) -> None:
        """In datagrams and bytes of a router and second, and in instructions by less than the fleet."""
        bytes_of, datagrams_of, work = [], [], []
        for size in SIZES:
            world = JoinedWorld(1, size, [], 1)
            world.start_joined()
            world.run_to(2 * SECOND_US)
            sent, datagrams = sum(host.sent_bytes for host in world.hosts.values()), world.datagrams
            work.append(count_operations(lambda: world.run_to(3 * SECOND_US)) / size)  # noqa: B023
            bytes_of.append((sum(host.sent_bytes for host in world.hosts.values()) - sent) / size)
            datagrams_of.append((world.datagrams - datagrams) / size)
        assert_flat(datagrams_of)
        assert_flat(bytes_of)
        assert work[2] <= 2.0 * work[0], work

    def test_the_joined_world_is_one_view_and_stays_so(self) -> None:
        world = JoinedWorld(3, 20, [], 2)
        world.start_joined()
        assert len({world.view_id(host) for host in world.hosts.values()}) == 1
        world.run_to(12 * SECOND_US)
        assert len({world.view_id(host) for host in world.hosts.values()}) == 1
        assert world.result.false_removals == 0
        assert world.exchanges == 0


class TestCommand:
    def play(self, *words: str) -> tuple[int, str, str]:
        found = CliRunner().invoke(main, ["scale", "slope", *words])
        return found.exit_code, found.stdout, found.stderr

    @pytest.mark.parametrize(
        ("words", "text"),
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
    def test_what_cannot_be_measured_is_one_line_and_code_2(self, words: tuple[str, ...], text: str) -> None:
        code, out, err = self.play(*words)
        assert (code, out) == (2, "")
        assert text in err
        assert len(err.splitlines()) == 1

    def test_too_few_descriptors_are_told_before_anything_starts(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(resource, "getrlimit", lambda what: (70, 70))
        code, out, err = self.play("discovery", "--sizes", "3,400")
        assert (code, out) == (2, "")
        assert "descriptors are needed, the limit is 70" in err

    def test_a_missing_extra_is_told(self, monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
        monkeypatch.setattr(importlib.util, "find_spec", lambda name: None)
        code, out, err = self.play("purge", "--sizes", "3", "--plot", str(tmp_path / "a.png"))
        assert (code, out) == (2, "")
        assert "lupintack[lab]" in err

    @pytest.mark.parametrize("name", sorted(set(roles.ROLES) - {"discovery"}))
    def test_one_line_a_size(self, name: str) -> None:
        code, out, err = self.play(name, "--sizes", "4,8", "--repeats", "2", "--json")
        assert code == 0, err
        found = [json.loads(line) for line in out.splitlines()]
        assert [one["size"] for one in found] == [4, 8]
        for one in found:
            assert one["role"] == name
            assert 0 < one["cpu_us_min"] <= one["cpu_us"] <= one["cpu_us_max"]
            assert one["repeats"] == 2
            assert one["state_bytes"] > 0
            assert one["reference_us"] > 0
            assert one["per"]

    def test_a_chart_and_its_figures(self, tmp_path: Path) -> None:
        pytest.importorskip("matplotlib")
        path = tmp_path / "purge.png"
        code, _, err = self.play("purge", "--sizes", "5,10", "--repeats", "2", "--plot", str(path))
        assert code == 0, err
        assert path.read_bytes().startswith(b"\x89PNG")
        rows = list(csv.DictReader(path.with_suffix(".csv").open()))
        assert [row["size"] for row in rows] == ["5", "10"]
        assert float(rows[0]["missed_cpu_us"]) > 0


@pytest.mark.xdist_group("lane")
@pytest.mark.parametrize("how", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_an_interrupted_run_leaves_no_process(how: signal.Signals) -> None:
    words = ["scale", "slope", "discovery", "--sizes", "5", "--repeats", "1000"]
    run = subprocess.Popen(
        [sys.executable, "-m", "lupintack.cli.main", *words],
        stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL, start_new_session=True,
    )  # fmt: skip
    try:
        await_that(lambda: len(group(run.pid)) >= 2)
        run.send_signal(how)
        run.wait(20)
        await_that(lambda: not group(run.pid))
    finally:
        for pid in group(run.pid):
            os.kill(pid, signal.SIGKILL)


def group(leader: int) -> list[int]:
    """The processes of a session that are not over."""
    found = []
    for folder in Path("/proc").glob("[0-9]*"):
        try:
            rest = (folder / "stat").read_text().rpartition(")")[2].split()
        except OSError:
            continue
        if int(rest[3]) == leader and rest[0] != "Z":
            found.append(int(folder.name))
    return found


def await_that(what: Callable[[], bool], patience_s: float = 30.0) -> None:
    """Wait for what nothing announces."""
    until = time.monotonic() + patience_s
    while not what():
        assert time.monotonic() < until, "it did not come"
        time.sleep(0.05)
