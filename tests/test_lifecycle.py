"""The pure parts of day-to-day service, and the folder that two processes share."""

from __future__ import annotations

import errno
import fcntl
import os
import subprocess
import sys
import threading
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lupintack.interface import MemberState
from lupintack.lifecycle.bans import Bans, BansError, parse
from lupintack.lifecycle.folder import Folder, FolderError
from lupintack.lifecycle.state import EvacuationPace, NodeLifecycle, NodePhase, plan_shutdown
from lupintack.lifecycle.upgrade_peer import (
    LISTENER_CLOSED,
    LimitShare,
    ListenerTable,
    ProcessAge,
    UpgradePeer,
    UpgradeSide,
    must_outlast_older,
    share_limits,
    upgrade_side,
)
from tests.scenario import Scenario

NAMES = st.sampled_from(["s-1", "s-2", "p-1"])
S = 1_000_000


def test_an_evacuation_ends_idle_connections_within_two_seconds() -> None:
    lifecycle = NodeLifecycle()
    lifecycle.on_started(0)
    assert lifecycle.is_ready and not lifecycle.closes_connections
    lifecycle.evacuate(10 * S)
    assert not lifecycle.is_ready and lifecycle.closes_connections
    assert lifecycle.advance(10 * S + 500_000, 3) == -1  # the front still sends
    assert lifecycle.advance(10 * S + 700_000, 3) == EvacuationPace().idle_limit_us
    assert lifecycle.advance(10 * S + 1_600_000, 3) == EvacuationPace().final_idle_limit_us
    assert lifecycle.phase is NodePhase.EVACUATING
    lifecycle.advance(10 * S + 1_700_000, 0)
    assert lifecycle.phase is NodePhase.EVACUATED and lifecycle.closes_connections
    assert lifecycle.rejoin() and lifecycle.is_ready and lifecycle.advance(12 * S, 9) == -1


def test_a_process_that_stops_does_not_come_back() -> None:
    lifecycle = NodeLifecycle()
    lifecycle.evacuate(0)  # before the start is over
    assert lifecycle.phase.value == "starting"
    lifecycle.on_started(1)
    assert lifecycle.phase.value == "evacuating"
    lifecycle.begin_shutdown()
    lifecycle.evacuate(2)
    assert not lifecycle.rejoin() and lifecycle.phase is NodePhase.STOPPING


@given(st.lists(st.tuples(st.sampled_from("serlkt"), st.integers(0, 3 * S))))
def test_a_process_that_is_not_ready_lowers_the_idle_limit_in_time(steps: list[tuple[str, int]]) -> None:
    """Whatever comes in whatever order: an evacuated process ends idle connections two seconds after the
    word at the latest, a ready one ends none, and SIGTERM is the last word.
    """
    lifecycle, now, out = NodeLifecycle(), 0, -1
    lifecycle.on_started(0)
    for what, later in steps:
        now += later
        if what == "e":
            was = lifecycle.is_ready
            lifecycle.evacuate(now)
            out = now if was else out
        elif what == "r":
            assert lifecycle.rejoin() == (lifecycle.phase is not NodePhase.STOPPING)
        elif what == "l":
            limit = lifecycle.advance(now, later % 2)
            assert (limit < 0) or lifecycle.closes_connections
            if lifecycle.closes_connections and now - out >= 1_900_000:
                assert 0 <= limit <= 100_000
        elif what == "t":
            lifecycle.begin_shutdown()
        else:
            lifecycle.on_started(now)
        assert lifecycle.is_ready == (lifecycle.phase is NodePhase.READY)
        assert not (lifecycle.is_ready and lifecycle.closes_connections)
        if what == "t":
            assert lifecycle.phase is NodePhase.STOPPING


@given(st.booleans(), st.integers(0, 3 * S))
def test_reading_ends_before_the_kill_with_time_for_an_answer(beside: bool, longest: int) -> None:
    plan = plan_shutdown(beside, longest)
    assert plan.accept_us <= plan.read_us <= 700_000 + longest // 2
    assert plan.closes_after_answers == beside


@given(st.lists(st.tuples(st.booleans(), NAMES)))
def test_bans_are_a_set_and_survive_storing(steps: list[tuple[bool, str]]) -> None:
    bans, out = Bans(), set[str]()
    for now, (exclude, name) in enumerate(steps):
        changed = bans.exclude(name, now) if exclude else bans.include(name, now)
        assert changed == ((name in out) != exclude)
        out = out | {name} if exclude else out - {name}
        assert set(bans.excluded) == out
        assert parse(bans.dump()) == bans
        for one in ("s-1", "s-2", "p-1"):
            for state in MemberState:
                laid = bans.apply_to(one, state, 0.0)[0]
                assert laid is not MemberState.READY or one not in out
                assert laid is state or (one in out and state is MemberState.READY)


def test_an_included_member_warms_up_from_its_latest_possible_start() -> None:
    bans = Bans()
    bans.exclude("s-1", 1000.0)
    bans.exclude("s-1", 2000.0)
    assert bans.excluded == {"s-1": 1000.0}
    bans.include("s-1", 5000.0)
    assert bans.apply_to("s-1", MemberState.READY, 0.0) == (MemberState.READY, 5000.0)
    assert bans.apply_to("s-1", MemberState.READY, 6000.0) == (MemberState.READY, 6000.0)
    assert bans.apply_to("s-2", MemberState.READY, 0.0) == (MemberState.READY, 0.0)
    bans.include("s-2", 5000.0 + 700_000.0)
    assert bans.included == {}  # long warm


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (b"", "empty"),
        (b'{"bans": 1, "out": {"s-1"', "not JSON"),
        (b"[" * 100_000, "not JSON"),
        (b"[]", "not a state"),
        (b'{"bans": 2, "out": {}, "back": {}}', "version"),
        (b'{"bans": 1, "out": ["s-1"], "back": {}}', "out: expected an object"),
        (b'{"bans": 1, "out": {}}', "back: expected an object"),
        (b'{"bans": 1, "out": {"s-1": "now"}, "back": {}}', "Unix time"),
        (b'{"bans": 1, "out": {"s-1": NaN}, "back": {}}', "Unix time"),
        (b'{"bans": 1, "out": {"s-1": 1' + b"0" * 400 + b'}, "back": {}}', "Unix time"),
    ],
)
def test_a_state_that_can_t_be_read_says_why(text: bytes, message: str) -> None:
    with pytest.raises(BansError, match=message):
        parse(text)


def test_two_processes_share_one_router_s_limits() -> None:
    assert share_limits(UpgradeSide.ALONE, 0, 300, 80, 40) == LimitShare(300, 80, 1)
    old, new = share_limits(UpgradeSide.OLD, 1, 300, 80, 40), share_limits(UpgradeSide.NEW, 1, 300, 80, 40)
    assert old.member_sockets + new.member_sockets + 40 <= 300
    assert (old.memory_mb, new.memory_mb) == (0, 56)
    assert old.process_count == new.process_count == 2
    assert share_limits(UpgradeSide.OLD, 2, 20, 32, 40).member_sockets == 8  # never none
    one = UpgradePeer(7, 100, "ready")
    assert upgrade_side(ProcessAge(50, 9), []) is UpgradeSide.ALONE
    assert (
        upgrade_side(ProcessAge(50, 9), [one]) is UpgradeSide.OLD
        and upgrade_side(ProcessAge(200, 9), [one]) is UpgradeSide.NEW
    )
    assert upgrade_side(ProcessAge(150, 9), [one, UpgradePeer(8, 200, "starting")]) is UpgradeSide.OLD


SLEEPER = """
import sys, time
from lupintack.lifecycle.folder import Folder
f = Folder(sys.argv[1], "n0", "127.0.0.1:1")
f.write_phase("ready")
print("there", flush=True)
sys.stdin.readline()
f.close() if sys.argv[2] == "close" else None
"""


@pytest.mark.parametrize("how", ["close", "crash"])
def test_a_peer_is_found_only_while_it_lives(tmp_path: Path, how: str) -> None:
    one = Folder(str(tmp_path), "n0", "127.0.0.1:1")
    other_router = Folder(str(tmp_path), "n1", "127.0.0.1:2")
    with subprocess.Popen(
        [sys.executable, "-c", SLEEPER, str(tmp_path), how],
        stdin=subprocess.PIPE, stdout=subprocess.PIPE, cwd=Path(__file__).parents[1],
    ) as process:  # fmt: skip
        assert process.stdout is not None
        process.stdout.readline()
        found = one.find_peers()
        assert [(p.pid, p.phase) for p in found] == [(process.pid, "ready")]
        assert other_router.find_peers() == []
        assert upgrade_side(one.age, found) is UpgradeSide.OLD
        process.communicate(b"\n")
    assert one.find_peers() == []
    assert sorted(os.listdir(one.path)) == ["lock", f"run.{os.getpid()}"]
    one.close()
    assert os.listdir(one.path) == ["lock"]
    other_router.close()


@pytest.mark.parametrize("call", ["listdir", "open"])
def test_a_failed_search_keeps_the_peer_as_last_known(
    tmp_path: Path, call: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One call that failed was taken for its end: the limits were this process's alone, and nothing was
    waited for.
    """
    folder = Folder(str(tmp_path), "n0", "127.0.0.1:1")

    def fails(*args: object, **more: object) -> object:
        raise OSError(errno.ENFILE, "no room")

    with subprocess.Popen(
        [sys.executable, "-c", SLEEPER, str(tmp_path), "crash"],
        stdin=subprocess.PIPE, stdout=subprocess.PIPE, cwd=Path(__file__).parents[1],
    ) as partner:  # fmt: skip
        assert partner.stdout is not None and partner.stdout.readline()
        with monkeypatch.context() as patch:
            patch.setattr(os, call, fails)
            assert folder.find_peers() == [] and folder.has_unreadable_peers, "nothing is known yet"
        (known,) = folder.find_peers()
        assert known.pid == partner.pid and not folder.has_unreadable_peers
        with monkeypatch.context() as patch:
            patch.setattr(os, call, fails)
            assert folder.find_peers() == [known] and folder.has_unreadable_peers
        partner.communicate(b"\n")
    assert folder.find_peers() == [] and not folder.has_unreadable_peers
    folder.close()


def test_bans_are_replaced_atomically_and_seen_by_the_other_process(tmp_path: Path) -> None:
    folder = Folder(str(tmp_path), "n0", "127.0.0.1:1")
    assert folder.read_bans() == [] and not folder.bans_changed()
    with folder.locked():
        folder.write_bans(b"one\n")
    assert not folder.bans_changed() and folder.read_bans() == [b"one\n"] * 2
    other = folder.path / "theirs"
    other.write_bytes(b"two!\n")
    os.replace(other, folder.bans_path)
    assert folder.bans_changed() and folder.read_bans() == [b"two!\n", b"one\n"] and not folder.bans_changed()
    folder.close()


def test_a_lock_held_elsewhere_is_reported_within_the_timeout(tmp_path: Path) -> None:
    folder = Folder(str(tmp_path), "n0", "127.0.0.1:1")
    with folder.locked(), pytest.raises(FolderError, match="keeps the lock"), folder.locked():
        pass
    folder.close()


def test_a_peer_s_search_of_a_file_just_created_does_not_fail_the_folder(tmp_path: Path) -> None:
    """A look takes a shared lock for the blink of an eye, between the making of the file and its own lock."""
    path = Folder(str(tmp_path), "n0", "127.0.0.1:1")
    path.close()
    with open(path.own_path, "w") as looked_at:
        fcntl.flock(looked_at, fcntl.LOCK_SH)
        threading.Timer(0.05, fcntl.flock, (looked_at, fcntl.LOCK_UN)).start()
        folder = Folder(str(tmp_path), "n0", "127.0.0.1:1")
    folder.close()


def test_a_folder_that_can_t_be_made_is_named(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    with pytest.raises(FolderError, match="can't be used"):
        Folder(str(tmp_path / "file"), "n0", "127.0.0.1:1")


def test_a_node_that_has_ended_leaves_no_thread_of_its_own() -> None:
    """A thousand threads left by earlier tests took half of each later test's time, and made some fail."""
    before = set(threading.enumerate())
    play = Scenario()
    play.run("""
        client a send GET /ops/map-tiles/00000000000000aa
        cache expect w
        cache send w ok entity=t1,issued={now} hello
        client a expect 200 body=hello
    """)
    for thread in set(threading.enumerate()) - before:
        thread.join(5.0)
        assert not thread.is_alive(), thread


def test_the_youngest_follows_its_index_among_the_listeners() -> None:
    """As the kernel does it: who leaves gives its place to the last of the table."""

    def partner(pid: int, phase: str = "ready") -> UpgradePeer:
        return UpgradePeer(pid, pid, phase)

    table = ListenerTable([partner(2), partner(1)], 3)
    assert table.own_index == 2 and not table.update([partner(1), partner(2)])
    assert table.update([partner(1, LISTENER_CLOSED), partner(2)]) and table.own_index == 0
    assert not table.update([partner(2, LISTENER_CLOSED)]) and table.own_index == 0
    middle = ListenerTable([partner(1), partner(2)], 3)
    assert middle.update([partner(1)]) and middle.own_index == 1
    assert middle.update([]) and middle.own_index == 0


def test_of_two_that_end_the_older_closes_first() -> None:
    older, mine, younger = UpgradePeer(1, 1, "stopping"), ProcessAge(2, 2), UpgradePeer(3, 3, "ready")
    assert must_outlast_older(mine, [older, younger], "stopping")
    assert not must_outlast_older(mine, [UpgradePeer(1, 1, LISTENER_CLOSED), younger], "stopping")
    assert not must_outlast_older(mine, [UpgradePeer(1, 1, "ready"), younger], "stopping")
    assert not must_outlast_older(mine, [older], "stopping"), "nobody steers: no place moves"
    assert not must_outlast_older(ProcessAge(1, 1), [UpgradePeer(2, 2, "stopping"), younger], "stopping")
