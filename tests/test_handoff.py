"""Handoff from an old process to the new one: valid records are restored, invalid ones change nothing."""

from __future__ import annotations

import io
import json
import math
import os
import signal
import threading
import time
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from lupintack import interface as i
from lupintack.admin_service import AdminService
from lupintack.core.handoff import (
    RECORD_HEADER,
    HandoffState,
    learned_record,
    read_records,
    restore_copy,
    restore_record,
)
from lupintack.core.local_cache import LocalCache
from lupintack.core.member_table import MemberTable
from lupintack.core.messages import Answer
from lupintack.decisions.endpoints import MAX_WEIGHT
from lupintack.decisions.rendezvous import score
from lupintack.decisions.router import Router
from lupintack.lifecycle.folder import Folder
from lupintack.lifecycle.state import NodePhase
from lupintack.lifecycle.upgrade_peer import UpgradePeer
from lupintack.standins.processes import Load, Processes, call
from tests import helpers as h
from tests.site import eventually


def router_with_learned_state() -> Router:
    router = h.router()
    router.transfer_times.record(0, 40.0, True)
    router.popularity.last_requests[5, 0] = 10.0
    router.popularity.priority_threshold = 3.5
    endpoint = router.endpoints.by_id[h.CACHES[0]]
    endpoint.slow_start.lost_ms, endpoint.weight, endpoint.load.reported = 900.0, 1.2, 0.7
    router.outliers.eject(router.endpoints.by_id[h.PARENTS[0]], "fails", router.now_ms)
    return router


def test_learned_state_is_handed_over_by_class_name_and_member() -> None:
    old, new = router_with_learned_state(), h.router()
    assert restore_record(new, json.loads(json.dumps(learned_record(old))))
    assert (new.transfer_times.answer_ms, new.transfer_times.transfer_ms) == (
        old.transfer_times.answer_ms,
        old.transfer_times.transfer_ms,
    )
    assert new.transfer_times.answer_samples == old.transfer_times.answer_samples
    assert (
        new.popularity.last_requests == old.popularity.last_requests
        and new.popularity.priority_threshold == 3.5
    )
    for id_ in (h.CACHES[0], h.PARENTS[0]):
        expected, actual = old.endpoints.by_id[id_], new.endpoints.by_id[id_]
        assert (actual.slow_start.lost_ms, actual.health.ejections, actual.health.ejected_until_ms) == (
            expected.slow_start.lost_ms,
            expected.health.ejections,
            expected.health.ejected_until_ms,
        )
    endpoint = new.endpoints.by_id[h.CACHES[0]]
    assert endpoint.slow_start.factor(901.0) < 1.0, "the new process also treats it as cold"
    assert (endpoint.weight, endpoint.load.reported) == (1.2, 0.7)
    assert new.endpoints.by_id[h.CACHES[1]].slow_start.lost_ms == -math.inf


@pytest.mark.parametrize("weight", [1.4, 7.0, -3.0])
def test_restored_weights_rank_members_immediately_within_their_bounds(weight: float) -> None:
    """Guards against cached rankings of other weights, and against weights out of bounds."""
    caches = [i.Member(100 + n, capacity=10.0) for n in range(200)]
    old, new = h.router(), h.router()
    for router in (old, new):
        router.handle(1.0, [h.delta(*caches)])
        for object_id in range(400):
            router.endpoints.cache_ranking.first(object_id)
    for member in caches[:20]:
        old.endpoints.by_id[member.id].weight = weight
    assert restore_record(new, learned_record(old))
    assert new.endpoints.by_id[100].weight == max(1 / MAX_WEIGHT, min(MAX_WEIGHT, weight))
    for object_id in range(400):
        assert new.endpoints.cache_ranking.first(object_id) is min(
            new.endpoints.caches,
            key=lambda p, o=object_id: -math.log((score(o, p.id) + 1) / 2.0**64) / p.share,  # type: ignore[misc]
        )


def test_state_of_a_member_restarted_since_is_not_restored() -> None:
    old, new = router_with_learned_state(), h.router()
    new.endpoints.by_id[h.CACHES[0]].slow_start.started_ms = 5_000.0
    assert restore_record(new, learned_record(old))
    assert new.endpoints.by_id[h.CACHES[0]].slow_start.lost_ms == -math.inf


@pytest.mark.parametrize(
    "change",
    [
        {"version": 2}, {"classes": []}, {"classes": {"a": ["x"]}}, {"classes": {"a": [math.nan]}},
        {"seen": 3}, {"seen": [[1]]}, {"seen": [["a", 0, 1.0]]}, {"peers": {"x": []}},
        {"peers": None}, {"split": None},
        {"split": True},
    ],
)  # fmt: skip
def test_invalid_record_changes_nothing(change: dict[str, object]) -> None:
    new, untouched = h.router(), h.router()
    assert not restore_record(new, learned_record(router_with_learned_state()) | change)
    assert learned_record(new) == learned_record(untouched)
    assert not restore_record(new, None) and not restore_record(new, [])


def cache_with(*entries: tuple[int, int, bytes]) -> LocalCache:
    cache = LocalCache(1 << 22, 1e6)
    for object_id, issued, body in entries:
        cache.put((object_id, 0), 17, Answer(body, "t", issued))
    return cache


def test_the_most_recent_copies_that_fit_are_handed_over_and_purges_apply() -> None:
    old = cache_with((1, 1000, b"a" * 600), (2, 3000, b"b" * 600), (3, 3000, b"c" * 600))
    data = b"".join(HandoffState({"version": 1}, list(old.copies.items())).records(1300))
    new = cache_with()
    new.purge(3, 0, 4000.0)  # received by the new process only
    records = read_records(io.BytesIO(data).read)
    assert next(records) == ({"version": 1}, b"")
    for copy_fields, body in records:
        restore_copy(new, copy_fields, body)
    assert {key: bytes(copy.answer.body) for key, copy in new.copies.items()} == {(2, 0): b"b" * 600}


@pytest.mark.parametrize("cut", [1, 9, 300])
def test_truncated_handoff_yields_its_complete_records(cut: int) -> None:
    data = b"".join(
        HandoffState({}, list(cache_with((1, 1, b"a" * 400), (2, 1, b"b" * 400)).copies.items())).records(
            9999
        )
    )
    records = []
    with pytest.raises(ValueError, match="cut short"):
        for record in read_records(io.BytesIO(data[:-cut]).read):
            records.append(record)
    assert [body[:1] for _, body in records] == [b"", b"a"]


@pytest.mark.parametrize(
    "data",
    [RECORD_HEADER.pack(1 << 31, 0), RECORD_HEADER.pack(2, 1 << 20), RECORD_HEADER.pack(3, 0) + b"{x}"],
)
def test_malformed_records_and_copies_are_refused(data: bytes) -> None:
    with pytest.raises(ValueError):
        list(read_records(io.BytesIO(data).read))
    for invalid_fields in (
        None,
        [],
        [1, 0, 17, "t"],
        [1, 0, 17, 5, 1],
        ["1", 0, 17, "t", 1],
        [1, -1, 17, "t", 1],
    ):
        with pytest.raises((ValueError, TypeError)):
            restore_copy(cache_with(), invalid_fields, b"x")


def test_new_process_answers_from_the_copies_of_the_old_one(tmp_path: Path) -> None:
    processes = Processes(tmp_path, link_bytes_per_s=1e8)
    try:
        old, _ = processes.start()
        load = Load(processes.listen, 2)
        while len(load.outcomes) < 300:
            threading.Event().wait(0.01)
        load.stop()
        _, admin = processes.start()
        processes.wait_for_log(1, 'event="handoff received"')
        line = next(text for text in processes.log(1).splitlines() if 'event="handoff received"' in text)
        assert "learned=true" in line and "fault=none" in line and "copies=50" in line, line
        old.terminate()
        assert old.wait(10) == 0
        requests_before = sum(member.requests_by_class.total() for member in processes.fleet.members.values())
        load = Load(processes.listen, 2)
        while len(load.outcomes) < 100:
            threading.Event().wait(0.01)
        assert load.stop() == {"200": len(load.outcomes)}
        assert (
            sum(member.requests_by_class.total() for member in processes.fleet.members.values())
            == requests_before
        )
        assert call(admin, "GET", "/api/ready")[0] == 200
        remaining_files = {path.name.partition(".")[0] for path in tmp_path.glob("lupintack-*/*")}
        assert remaining_files == {"lock", "run"}
    finally:
        processes.close()


def test_starting_process_keeps_its_handoff_until_it_is_read(tmp_path: Path) -> None:
    """Guards against the new process of an upgrade removing its own handoff and treating cold caches as warm.

    The periodic check of the folder, every 50 ms, removes handoffs that arrive too late. It treated every
    handoff as late once the phase `starting` was published, which its own first run did. On a busy machine 2
    of 60 upgrades started without learned state.
    """
    folder = Folder(str(tmp_path), "n0", "127.0.0.1:1")
    folder.find_peers = lambda: [UpgradePeer(1, 1, NodePhase.READY.value)]  # type: ignore[method-assign]
    core: Any = SimpleNamespace(
        router=h.router(), local_cache=None, is_stopped=False, enqueue=lambda update: None
    )
    sockets: Any = SimpleNamespace(max_connections=100)
    service = AdminService(core, MemberTable(6000.0), sockets, [], 96, 16)
    service.ban_keeper.folder = folder
    folder.write_handoff(
        folder.pid, HandoffState(learned_record(router_with_learned_state()), []).records(1000)
    )
    service.control.update()
    service.upgrade.update_peers()
    service.upgrade.handoff.receive()
    assert learned_record(core.router) == learned_record(router_with_learned_state())
    folder.write_handoff(folder.pid, [b"late"])
    service.control.on_started()
    service.upgrade.update_peers()
    assert folder.open_handoff() is None, "a late handoff is removed"
    folder.close()


def test_new_process_waits_for_a_suspended_old_one(tmp_path: Path) -> None:
    """No request is lost while it waits, as the old process still serves."""
    processes = Processes(tmp_path, link_bytes_per_s=1e8)
    try:
        old, _ = processes.start()
        load = Load(processes.listen, 2)
        eventually(lambda: len(load.outcomes) >= 100)
        load.stop()
        old.send_signal(signal.SIGSTOP)
        processes.start(wait=False)
        processes.wait_for_log(1, "list is current")
        time.sleep(1.0)
        old.send_signal(signal.SIGCONT)
        processes.wait_for_log(1, 'event="handoff received"')
        line = next(text for text in processes.log(1).splitlines() if 'event="handoff received"' in text)
        assert "learned=true" in line and "fault=none" in line, line
    finally:
        processes.close()


def test_handoff_for_an_earlier_process_with_the_same_id_is_not_adopted(tmp_path: Path) -> None:
    """In a container a process may get the id of a crashed one that never read its handoff."""
    first = Folder(str(tmp_path), "n0", "127.0.0.1:1")
    first.write_handoff(first.pid, [b"of an earlier life"])
    os.close(first.own_fd)  # as a crash would
    second = Folder(str(tmp_path), "n0", "127.0.0.1:1")
    assert second.open_handoff() is None
    second.close()


def test_sigterm_stops_a_process_that_waits_for_an_old_one(tmp_path: Path) -> None:
    processes = Processes(tmp_path)
    try:
        old, admin = processes.start()
        old.send_signal(signal.SIGSTOP)
        new, _ = processes.start(wait=False)
        processes.wait_for_log(1, "list is current")
        new.send_signal(signal.SIGTERM)
        processes.wait_for_log(1, "stopped before it served")
        assert new.wait(10) == 0
        old.send_signal(signal.SIGCONT)
        assert call(admin, "GET", "/api/ready") == (200, "ready"), "the old process still serves"
    finally:
        processes.close()
