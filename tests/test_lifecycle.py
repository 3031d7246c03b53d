"""Phases of a process, bans, shared limits of an upgrade, and the folder that processes share."""

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


def test_evacuation_closes_idle_connections_within_two_seconds() -> None:
    lifecycle = NodeLifecycle()
    lifecycle.on_started(0)
    assert lifecycle.is_ready and not lifecycle.closes_connections
    lifecycle.evacuate(10 * S)
    assert not lifecycle.is_ready and lifecycle.closes_connections
    assert lifecycle.advance(10 * S + 500_000, 3) == -1  # clients may still send requests
    assert lifecycle.advance(10 * S + 700_000, 3) == EvacuationPace().idle_limit_us
    assert lifecycle.advance(10 * S + 1_600_000, 3) == EvacuationPace().final_idle_limit_us
    assert lifecycle.phase is NodePhase.EVACUATING
    lifecycle.advance(10 * S + 1_700_000, 0)
    assert lifecycle.phase is NodePhase.EVACUATED and lifecycle.closes_connections
    assert lifecycle.rejoin() and lifecycle.is_ready and lifecycle.advance(12 * S, 9) == -1


def test_stopping_process_does_not_rejoin() -> None:
    lifecycle = NodeLifecycle()
    lifecycle.evacuate(0)  # during the start
    assert lifecycle.phase.value == "starting"
    lifecycle.on_started(1)
    assert lifecycle.phase.value == "evacuating"
    lifecycle.begin_shutdown()
    lifecycle.evacuate(2)
    assert not lifecycle.rejoin() and lifecycle.phase is NodePhase.STOPPING


@given(st.lists(st.tuples(st.sampled_from("serlkt"), st.integers(0, 3 * S))))
def test_idle_limit_is_lowered_in_time_in_any_order_of_events(steps: list[tuple[str, int]]) -> None:
    """An evacuated process closes idle connections within two seconds, a ready one closes none, and SIGTERM
    can't be undone. The steps are: e evacuate, r rejoin, l advance, t SIGTERM, others end the start.
    """
    lifecycle, now, evacuated_us = NodeLifecycle(), 0, -1
    lifecycle.on_started(0)
    for step, elapsed_us in steps:
        now += elapsed_us
        if step == "e":
            was_ready = lifecycle.is_ready
            lifecycle.evacuate(now)
            evacuated_us = now if was_ready else evacuated_us
        elif step == "r":
            assert lifecycle.rejoin() == (lifecycle.phase is not NodePhase.STOPPING)
        elif step == "l":
            limit = lifecycle.advance(now, elapsed_us % 2)
            assert (limit < 0) or lifecycle.closes_connections
            if lifecycle.closes_connections and now - evacuated_us >= 1_900_000:
                assert 0 <= limit <= 100_000
        elif step == "t":
            lifecycle.begin_shutdown()
        else:
            lifecycle.on_started(now)
        assert lifecycle.is_ready == (lifecycle.phase is NodePhase.READY)
        assert not (lifecycle.is_ready and lifecycle.closes_connections)
        if step == "t":
            assert lifecycle.phase is NodePhase.STOPPING


@given(st.booleans(), st.integers(0, 3 * S))
def test_reading_ends_early_enough_before_sigkill_for_an_answer(
    successor_ready: bool, longest_deadline_us: int
) -> None:
    plan = plan_shutdown(successor_ready, longest_deadline_us)
    assert plan.accept_us <= plan.read_us <= 700_000 + longest_deadline_us // 2
    assert plan.closes_after_answers == successor_ready


@given(st.lists(st.tuples(st.booleans(), NAMES)))
def test_bans_form_a_set_and_survive_storing(steps: list[tuple[bool, str]]) -> None:
    bans, excluded = Bans(), set[str]()
    for now, (exclude, name) in enumerate(steps):
        changed = bans.exclude(name, now) if exclude else bans.include(name, now)
        assert changed == ((name in excluded) != exclude)
        excluded = excluded | {name} if exclude else excluded - {name}
        assert set(bans.excluded) == excluded
        assert parse(bans.dump()) == bans
        for member in ("s-1", "s-2", "p-1"):
            for state in MemberState:
                effective = bans.apply_to(member, state, 0.0)[0]
                assert effective is not MemberState.READY or member not in excluded
                assert effective is state or (member in excluded and state is MemberState.READY)


def test_included_member_warms_up_from_its_latest_possible_start() -> None:
    bans = Bans()
    bans.exclude("s-1", 1000.0)
    bans.exclude("s-1", 2000.0)
    assert bans.excluded == {"s-1": 1000.0}
    bans.include("s-1", 5000.0)
    assert bans.apply_to("s-1", MemberState.READY, 0.0) == (MemberState.READY, 5000.0)
    assert bans.apply_to("s-1", MemberState.READY, 6000.0) == (MemberState.READY, 6000.0)
    assert bans.apply_to("s-2", MemberState.READY, 0.0) == (MemberState.READY, 0.0)
    bans.include("s-2", 5000.0 + 700_000.0)
    assert bans.included == {}  # slow start is over


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
def test_invalid_stored_bans_are_reported_with_the_reason(text: bytes, message: str) -> None:
    with pytest.raises(BansError, match=message):
        parse(text)


def test_two_processes_share_the_limits_of_a_router() -> None:
    assert share_limits(UpgradeSide.ALONE, 0, 300, 80, 40) == LimitShare(300, 80, 1)
    old, new = share_limits(UpgradeSide.OLD, 1, 300, 80, 40), share_limits(UpgradeSide.NEW, 1, 300, 80, 40)
    assert old.member_sockets + new.member_sockets + 40 <= 300
    assert (old.memory_mb, new.memory_mb) == (0, 56)
    assert old.process_count == new.process_count == 2
    assert share_limits(UpgradeSide.OLD, 2, 20, 32, 40).member_sockets == 8  # never fewer
    peer = UpgradePeer(7, 100, "ready")
    assert upgrade_side(ProcessAge(50, 9), []) is UpgradeSide.ALONE
    assert (
        upgrade_side(ProcessAge(50, 9), [peer]) is UpgradeSide.OLD
        and upgrade_side(ProcessAge(200, 9), [peer]) is UpgradeSide.NEW
    )
    assert upgrade_side(ProcessAge(150, 9), [peer, UpgradePeer(8, 200, "starting")]) is UpgradeSide.OLD


PEER_SCRIPT = """
import sys, time
from lupintack.lifecycle.folder import Folder
folder = Folder(sys.argv[1], "n0", "127.0.0.1:1")
folder.write_phase("ready")
print("started", flush=True)
sys.stdin.readline()
folder.close() if sys.argv[2] == "close" else None
"""


@pytest.mark.parametrize("exit_mode", ["close", "crash"])
def test_peer_is_found_only_while_it_lives(tmp_path: Path, exit_mode: str) -> None:
    folder = Folder(str(tmp_path), "n0", "127.0.0.1:1")
    other_router = Folder(str(tmp_path), "n1", "127.0.0.1:2")
    with subprocess.Popen(
        [sys.executable, "-c", PEER_SCRIPT, str(tmp_path), exit_mode],
        stdin=subprocess.PIPE, stdout=subprocess.PIPE, cwd=Path(__file__).parents[1],
    ) as process:  # fmt: skip
        assert process.stdout is not None
        process.stdout.readline()
        peers = folder.find_peers()
        assert [(peer.pid, peer.phase) for peer in peers] == [(process.pid, "ready")]
        assert other_router.find_peers() == []
        assert upgrade_side(folder.age, peers) is UpgradeSide.OLD
        process.communicate(b"\n")
    assert folder.find_peers() == []
    assert sorted(os.listdir(folder.path)) == ["lock", f"run.{os.getpid()}"]
    folder.close()
    assert os.listdir(folder.path) == ["lock"]
    other_router.close()


@pytest.mark.parametrize("call", ["listdir", "open"])
def test_failed_search_returns_peers_as_last_known(
    tmp_path: Path, call: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a failed system call that is taken for the end of the peer.

    The process then used the whole limits of the router and didn't wait for the peer.
    """
    folder = Folder(str(tmp_path), "n0", "127.0.0.1:1")

    def raise_enfile(*args: object, **kwargs: object) -> object:
        raise OSError(errno.ENFILE, "file table is full")

    with subprocess.Popen(
        [sys.executable, "-c", PEER_SCRIPT, str(tmp_path), "crash"],
        stdin=subprocess.PIPE, stdout=subprocess.PIPE, cwd=Path(__file__).parents[1],
    ) as peer_process:  # fmt: skip
        assert peer_process.stdout is not None and peer_process.stdout.readline()
        with monkeypatch.context() as patch:
            patch.setattr(os, call, raise_enfile)
            assert folder.find_peers() == [] and folder.has_unreadable_peers, "no peer was found before"
        (known,) = folder.find_peers()
        assert known.pid == peer_process.pid and not folder.has_unreadable_peers
        with monkeypatch.context() as patch:
            patch.setattr(os, call, raise_enfile)
            assert folder.find_peers() == [known] and folder.has_unreadable_peers
        peer_process.communicate(b"\n")
    assert folder.find_peers() == [] and not folder.has_unreadable_peers
    folder.close()


def test_bans_are_replaced_atomically_and_read_by_another_process(tmp_path: Path) -> None:
    folder = Folder(str(tmp_path), "n0", "127.0.0.1:1")
    assert folder.read_bans() == [] and not folder.bans_changed()
    with folder.locked():
        folder.write_bans(b"one\n")
    assert not folder.bans_changed() and folder.read_bans() == [b"one\n"] * 2
    other = folder.path / "other"
    other.write_bytes(b"two!\n")
    os.replace(other, folder.bans_path)
    assert folder.bans_changed() and folder.read_bans() == [b"two!\n", b"one\n"] and not folder.bans_changed()
    folder.close()


def test_lock_held_elsewhere_is_reported_within_the_timeout(tmp_path: Path) -> None:
    folder = Folder(str(tmp_path), "n0", "127.0.0.1:1")
    with folder.locked(), pytest.raises(FolderError, match="keeps the lock"), folder.locked():
        pass
    folder.close()


def test_peer_search_between_creation_and_lock_does_not_fail_the_folder(tmp_path: Path) -> None:
    """A peer's search holds a shared lock for a moment after the file's creation and before its own lock."""
    previous = Folder(str(tmp_path), "n0", "127.0.0.1:1")
    previous.close()
    with open(previous.own_path, "w") as locked_file:
        fcntl.flock(locked_file, fcntl.LOCK_SH)
        threading.Timer(0.05, fcntl.flock, (locked_file, fcntl.LOCK_UN)).start()
        folder = Folder(str(tmp_path), "n0", "127.0.0.1:1")
    folder.close()


def test_folder_that_cannot_be_created_is_reported_by_path(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    with pytest.raises(FolderError, match="can't be used"):
        Folder(str(tmp_path / "file"), "n0", "127.0.0.1:1")


def test_ended_node_leaves_no_threads() -> None:
    """Guards against threads that outlive their node: a thousand of them, left by earlier tests, took half of
    the time of each later test and made some fail.
    """
    before = set(threading.enumerate())
    scenario = Scenario()
    scenario.run("""
        client a send GET /ops/map-tiles/00000000000000aa
        cache expect w
        cache send w ok entity=t1,issued={now} hello
        client a expect 200 body=hello
    """)
    for thread in set(threading.enumerate()) - before:
        thread.join(5.0)
        assert not thread.is_alive(), thread


def test_youngest_process_tracks_its_index_among_the_listeners() -> None:
    """The kernel moves the last listener of its table to the index of a listener that closes."""

    def peer(pid: int, phase: str = "ready") -> UpgradePeer:
        return UpgradePeer(pid, pid, phase)

    table = ListenerTable([peer(2), peer(1)], 3)
    assert table.own_index == 2 and not table.update([peer(1), peer(2)])
    assert table.update([peer(1, LISTENER_CLOSED), peer(2)]) and table.own_index == 0
    assert not table.update([peer(2, LISTENER_CLOSED)]) and table.own_index == 0
    middle = ListenerTable([peer(1), peer(2)], 3)
    assert middle.update([peer(1)]) and middle.own_index == 1
    assert middle.update([]) and middle.own_index == 0


def test_older_of_two_stopping_processes_closes_first() -> None:
    older, own_age, younger = UpgradePeer(1, 1, "stopping"), ProcessAge(2, 2), UpgradePeer(3, 3, "ready")
    assert must_outlast_older(own_age, [older, younger], "stopping")
    assert not must_outlast_older(own_age, [UpgradePeer(1, 1, LISTENER_CLOSED), younger], "stopping")
    assert not must_outlast_older(own_age, [UpgradePeer(1, 1, "ready"), younger], "stopping")
    assert not must_outlast_older(own_age, [older], "stopping"), (
        "without a younger process, none routes by index"
    )
    assert not must_outlast_older(ProcessAge(1, 1), [UpgradePeer(2, 2, "stopping"), younger], "stopping")
