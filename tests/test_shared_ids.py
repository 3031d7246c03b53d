"""Ids of CDNI requests that must not run twice are taken once by all processes of a router."""

from __future__ import annotations

import pytest

from lupintack.clock import now_us
from lupintack.core.record_log import DamagedLogError, RecordLogError
from lupintack.fronts.cdni import run_once_ids
from lupintack.fronts.cdni.run_once_ids import IdStatus
from tests.test_process_sharing import ID, Process, pair

__all__ = ["pair"]


def test_id_is_taken_once_by_all_processes(pair: tuple[Process, Process]) -> None:
    one, other = pair
    assert one.ids.add(ID) is IdStatus.ADDED
    assert other.ids.add(ID) is IdStatus.PRESENT and one.ids.add(ID) is IdStatus.PRESENT


def test_rejected_id_may_be_taken_by_any_process(pair: tuple[Process, Process]) -> None:
    one, other = pair
    assert one.ids.add(ID) is IdStatus.ADDED
    one.ids.remove(ID)
    assert other.ids.add(ID) is IdStatus.PRESENT, "not told yet"
    one.state.poll()
    assert other.ids.add(ID) is IdStatus.ADDED and one.ids.add(ID) is IdStatus.PRESENT


def test_removal_that_is_told_late_does_not_free_an_id_that_was_taken_again(
    pair: tuple[Process, Process],
) -> None:
    """Guards against an alert-ack that runs twice: its second try runs when the first one's end is told."""
    one, other = pair
    assert one.ids.add(ID) is IdStatus.ADDED
    one.ids.remove(ID)
    assert one.ids.add(ID) is IdStatus.ADDED
    one.state.poll()
    assert other.ids.add(ID) is IdStatus.PRESENT


@pytest.mark.parametrize("error", [RecordLogError("full"), DamagedLogError("damaged")])
def test_id_is_refused_where_it_cannot_be_shared(
    pair: tuple[Process, Process], error: RecordLogError, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After damage, ids of others may be lost: none is taken until they would have expired."""
    one, other = pair
    clock = [now_us()]
    monkeypatch.setattr(run_once_ids, "now_us", lambda: clock[0])
    one.id_log.error = error
    assert one.ids.add(ID) is IdStatus.NOT_SHARED
    one.id_log.error = None
    is_damaged = isinstance(error, DamagedLogError)
    assert one.ids.add(ID) is (IdStatus.NOT_SHARED if is_damaged else IdStatus.ADDED)
    clock[0] += run_once_ids.ID_LIFETIME_US
    assert one.ids.add("0" * 16) is IdStatus.ADDED
    assert other.ids.add("0" * 16) is IdStatus.PRESENT


def test_removals_wait_until_they_can_be_told(pair: tuple[Process, Process]) -> None:
    one, other = pair
    count = run_once_ids.MAX_REMOVALS_PER_RECORD + 1
    ids = [f"{n:016x}" for n in range(count)]
    for wire_id in ids:
        one.ids.add(wire_id)
        one.ids.remove(wire_id)
    one.id_log.error = RecordLogError("full")
    one.state.poll()
    one.id_log.error = None
    one.state.poll()
    assert [other.ids.add(wire_id) for wire_id in ids].count(IdStatus.ADDED) == count - 1
    one.state.poll()
    assert other.ids.add(ids[-1]) is IdStatus.ADDED
