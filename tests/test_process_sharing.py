"""What a process does with the records of others, and where it may have missed some."""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from lupintack.clock import now_us
from lupintack.core.counters import Counters
from lupintack.core.local_cache import LocalCache
from lupintack.core.member_table import MemberTable
from lupintack.core.messages import ClientRequest
from lupintack.core.record_log import DamagedLogError, Gap, RecordLogError
from lupintack.core.table_updates import PurgeUpdate, TableChange
from lupintack.fronts.cdni.conf import Cdni
from lupintack.fronts.cdni.metadata_store import MetadataStore
from lupintack.fronts.cdni.purge_notice import NoticeError, PurgeNotice, decode_notice
from lupintack.fronts.cdni.purges import Purges
from lupintack.fronts.cdni.run_once_ids import IdStatus, RunOnceIds
from lupintack.fronts.cdni.shared_state import CdniSharedState
from lupintack.interface import UNKNOWN_GROUP, Purged
from lupintack.lifecycle.upgrade_peer import UpgradePeer
from lupintack.process import cdni_setup, shared_log, sharing
from lupintack.process.router_processes import RouterProcesses
from lupintack.process.shared_log import SharedLog
from lupintack.process.sharing import ProcessSharing

ID = "9b1f03aa5c7e2d41"
CONF = Cdni(("127.0.0.1", 0), "AS64500:0", "http://cdni")


class MemoryLog:
    """Records of all processes of a test, without a file."""

    def __init__(self, records: list[bytes]) -> None:
        self.records = records
        self.position = 0
        self.error: RecordLogError | None = None

    def poll(self, on_record: Callable[[bytes], None]) -> None:
        if self.error is not None:
            raise self.error
        while self.position < len(self.records):
            self.position += 1
            on_record(self.records[self.position - 1])

    def update(
        self, on_record: Callable[[bytes], None], create: Callable[[], bytes | None], lifetime_us: int
    ) -> None:
        self.poll(on_record)
        payload = create()
        if payload is not None:
            self.records.append(payload)
            self.position += 1

    def has_unread(self) -> bool:
        return self.position < len(self.records)


class Process:
    """The purges and ids of one process."""

    def __init__(self, purge_records: list[bytes], id_records: list[bytes]) -> None:
        self.purge_log, self.id_log = MemoryLog(purge_records), MemoryLog(id_records)
        self.table, self.store = MemberTable(6000.0), MetadataStore()
        self.table.has_unread_records = self.purge_log.has_unread
        self.changes: list[TableChange] = []
        self.table.notify = self.changes.append
        self.purges = Purges(CONF, self.table, self.store, self.purge_log)
        self.ids = RunOnceIds(self.id_log)
        self.state = CdniSharedState(self.purges, self.ids, Counters())

    def apply_updates(self) -> None:
        while not self.table.mailbox.empty():
            update = self.table.mailbox.get()
            assert update is not None
            self.table.receive(update)

    def purge_updates(self) -> list[PurgeUpdate]:
        self.apply_updates()
        return [change.purge for change in self.changes if change.purge is not None]


@pytest.fixture
def pair() -> tuple[Process, Process]:
    purge_records: list[bytes] = []
    id_records: list[bytes] = []
    return Process(purge_records, id_records), Process(purge_records, id_records)


def purge(process: Process, ccid: str = "17") -> None:
    process.purges.apply({"type": "purge", "content.ccid": [ccid]}, "AS1:0")


def test_purge_of_another_process_holds_writes_back_until_it_is_in_the_table(
    pair: tuple[Process, Process],
) -> None:
    """Guards against a write between the other process's purge and the reading of its record."""
    one, other = pair
    purge(one)
    assert not one.table.is_behind() and other.table.is_behind()
    other.purges.poll()
    assert other.table.is_behind(), "read, and not in the table yet"
    (update,) = other.purge_updates()
    assert not other.table.is_behind()
    assert (update.object_id, update.group) == (None, 17)
    request = ClientRequest("0" * 16, 0, "0" * 16, 0, 0, 17, 1 << 62, cast(Any, None))
    assert other.table.is_purged_since(request, 0)


def test_attempts_that_wait_for_records_are_decided_again_once_these_are_read(
    pair: tuple[Process, Process],
) -> None:
    """Guards against an attempt that waits for its deadline: it was deferred between two records."""
    one, other = pair
    purge(one)
    assert other.table.await_source()
    other.purges.poll()
    other.table.await_source()  # a later attempt finds that the table still lacks what was read
    other.apply_updates()
    assert not other.table.await_source() and any(not change.events for change in other.changes)


def test_age_of_a_purge_counts_from_when_the_other_process_was_told(pair: tuple[Process, Process]) -> None:
    one, other = pair
    told_us = now_us() - 3_000_000
    one.purge_log.records.append(PurgeNotice(told_us, (5,), (3,)).encode())
    other.purges.poll()
    other.apply_updates()
    events = [event for change in other.changes for event in change.events if isinstance(event, Purged)]
    assert [(event.object_id, event.group) for event in events] == [(5, 0), (0, 3)]
    assert all(3000.0 <= event.age_ms < 4000.0 for event in events)


@pytest.mark.parametrize("count", [1, 3])
def test_process_stopped_for_longer_than_a_purge_is_told_hears_of_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, count: int
) -> None:
    """Guards against own copies from before a purge: a process was stopped until the record had expired.

    With three purges the log has no room for the first one any more: then everything counts as purged.
    """
    clock = [now_us()]
    monkeypatch.setattr(shared_log, "now_us", lambda: clock[0])
    monkeypatch.setattr(cdni_setup, "PURGE_LOG_BYTES", 100)  # two records
    tables, purges = [MemberTable(6000.0), MemberTable(6000.0)], []
    for table in tables:
        log = cdni_setup.new_purge_log()
        log.open(tmp_path)
        purges.append(Purges(CONF, table, MetadataStore(), log))
        purges[-1].poll()
    for number in range(count):
        purges[0].apply({"type": "purge", "content.ccid": [str(17 + number)]}, "AS1:0")
        clock[0] += 60_000_000
    harness_state = CdniSharedState(purges[1], RunOnceIds(), Counters())
    try:
        harness_state.poll()
    except DamagedLogError:
        harness_state.on_gap(Gap.DAMAGED)
        harness_state.poll()
    groups = []
    while not tables[1].mailbox.empty():
        update = tables[1].mailbox.get()
        if isinstance(update, PurgeUpdate):
            groups.append(update.group)
    assert groups == ([17] if count == 1 else [UNKNOWN_GROUP, 18, 19])


def test_metadata_that_one_process_drops_is_dropped_by_the_other(pair: tuple[Process, Process]) -> None:
    """Guards against content under its earlier collection at the process that was not told."""
    one, other = pair
    for process in pair:
        process.store.documents["http://up/"] = cast(Any, None)
    one.purges.apply({"type": "invalidate", "metadata.urls": ["http://up/"]}, "AS1:0")
    other.purges.poll()
    assert not one.store.documents and not other.store.documents
    other.store.documents["http://up/"] = cast(Any, None)
    one.purges.share_dropped_metadata()
    other.purges.poll()
    assert not other.store.documents


@pytest.mark.parametrize("error", [RecordLogError("full"), DamagedLogError("damaged")])
def test_purge_that_cannot_be_shared_is_in_force_here_and_refused(
    pair: tuple[Process, Process], error: RecordLogError
) -> None:
    one, other = pair
    one.purge_log.error = error
    with pytest.raises(RecordLogError):
        purge(one)
    groups = [update.group for update in one.purge_updates()]
    assert groups == ([17, UNKNOWN_GROUP] if isinstance(error, DamagedLogError) else [17])
    assert not other.purge_log.records


@pytest.mark.parametrize(
    "raw", [b"", b"[]", b"{}", b"[1,[],[],0]", b'["1",[],[],true]', b"[1,[1.5],[],true]", b"[1,[],[],true,2]"]
)
def test_notice_of_another_version_purges_everything(pair: tuple[Process, Process], raw: bytes) -> None:
    """Guards against a purge that is passed over because a later version words it otherwise."""
    with pytest.raises(NoticeError):
        decode_notice(raw)
    pair[0].purge_log.records.append(raw)
    pair[0].purges.poll()
    assert [update.group for update in pair[0].purge_updates()] == [UNKNOWN_GROUP]


def test_purge_of_everything_leaves_no_copy_and_binds_every_request() -> None:
    table, cache = MemberTable(6000.0), LocalCache(1 << 20, 1e6)
    table.purge(None, UNKNOWN_GROUP, None)
    update = table.mailbox.get()
    assert isinstance(update, PurgeUpdate)
    change = table.apply(update)
    assert change is not None and change.events == (Purged(0, UNKNOWN_GROUP, 0.0),)
    cache.copies[5, 0] = cast(Any, SimpleNamespace(group=17, answer=SimpleNamespace(body=b"")))
    cache.purge(None, UNKNOWN_GROUP, None)
    assert not cache.copies
    request = ClientRequest("0" * 16, 0, "0" * 16, 9, 0, 3, 1 << 62, cast(Any, None))
    assert table.is_purged_since(request, 0) and not table.is_purged_since(request, 1)


# Where records may be missing


def is_shared_by(peer: UpgradePeer) -> bool:
    return peer.shares_purges


class Harness:
    """A process's sharing with files, a clock and the other processes that the test sets."""

    def __init__(self, folder: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now_us = now_us()
        monkeypatch.setattr(sharing, "now_us", lambda: self.now_us)
        self.folder: Any = SimpleNamespace(path=folder)
        self.peers: list[UpgradePeer] = []
        self.gaps: Counter[Gap] = Counter()
        self.error: RecordLogError | None = None
        self.logs = (SharedLog("purges.log", 1000), SharedLog("ids.log", 1000))
        processes = RouterProcesses(lambda: self.folder, lambda: self.peers)
        self.sharing = ProcessSharing(self.logs, processes, self, is_shared_by)

    def poll(self) -> None:
        if self.error is not None:
            raise self.error

    def on_gap(self, gap: Gap) -> None:
        self.gaps[gap] += 1

    def run(self, duration_us: int) -> dict[str, int]:
        """Make the steps of a time; return the gaps that were reported."""
        self.gaps.clear()
        until_us = self.now_us + duration_us
        while self.now_us < until_us:
            self.sharing.step()
            self.now_us += int(sharing.POLL_INTERVAL_S * 1e6)
        return {gap.value: count for gap, count in self.gaps.items()}


@pytest.fixture
def harness(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Harness:
    return Harness(tmp_path, monkeypatch)


SECOND_US = 1_000_000
REPORTS_PER_S = SECOND_US // sharing.GAP_INTERVAL_US


def test_process_with_open_logs_misses_nothing(harness: Harness) -> None:
    harness.peers = [UpgradePeer(1, 1, "ready", shares_purges=True)]
    harness.sharing.expect_unseen()
    assert harness.run(SECOND_US) == {} and all(log.is_open for log in harness.logs)


def test_process_without_its_folder_may_miss_records_while_another_may_live(harness: Harness) -> None:
    """The bound: from its start until an older process has certainly ended, then again from its own end."""
    folder, harness.folder = harness.folder, None
    harness.sharing.expect_unseen()
    assert harness.run(SECOND_US) == {"unreadable": REPORTS_PER_S}
    assert harness.run(sharing.MAX_OVERLAP_US - SECOND_US) != {}
    assert harness.run(SECOND_US) == {}
    harness.sharing.expect_unseen()
    assert harness.run(SECOND_US) == {"unreadable": REPORTS_PER_S}
    harness.folder = folder
    assert harness.run(SECOND_US) == {}


def test_process_that_sees_another_and_has_no_log_may_miss_records_as_long(harness: Harness) -> None:
    (harness.folder.path / "ids.log").mkdir()
    harness.peers = [UpgradePeer(1, 1, "ready", shares_purges=True)]
    assert harness.run(10 * SECOND_US) == {"unreadable": 10 * REPORTS_PER_S}
    harness.peers = []
    assert harness.run(SECOND_US) == {}


def test_records_of_a_process_that_shares_none_may_be_missing(harness: Harness) -> None:
    """Guards against an older version beside this one: it takes purges and ids, and tells nobody."""
    harness.peers = [UpgradePeer(1, 1, "ready", shares_purges=False)]
    assert harness.run(SECOND_US) == {"unshared": REPORTS_PER_S}
    harness.peers = []
    assert harness.run(SECOND_US) == {}


def test_damage_is_reported_at_once(harness: Harness) -> None:
    harness.run(SECOND_US)
    harness.error = DamagedLogError("damaged")
    harness.sharing.step()
    harness.sharing.step()
    assert harness.gaps == {Gap.DAMAGED: 2}


def test_log_that_was_removed_is_opened_again(harness: Harness) -> None:
    """Guards against two processes that each write to a file of the same name, one of them gone."""
    harness.run(SECOND_US)
    (harness.folder.path / "purges.log").unlink()
    assert harness.run(SECOND_US) == {}
    assert (harness.folder.path / "purges.log").exists() and all(log.is_open for log in harness.logs)


@pytest.mark.parametrize(
    ("gap", "are_ids_refused"), [(Gap.UNREADABLE, False), (Gap.DAMAGED, True), (Gap.UNSHARED, True)]
)
def test_gap_purges_everything_and_refuses_ids_that_no_log_will_tell(
    pair: tuple[Process, Process], gap: Gap, are_ids_refused: bool
) -> None:
    one = pair[0]
    one.store.documents["http://up/"] = cast(Any, None)
    one.state.on_gap(gap)
    assert [update.group for update in one.purge_updates()] == [UNKNOWN_GROUP]
    assert not one.store.documents
    assert one.ids.add(ID) is (IdStatus.NOT_SHARED if are_ids_refused else IdStatus.ADDED)


def test_failed_round_does_not_end_the_thread(harness: Harness, monkeypatch: pytest.MonkeyPatch) -> None:
    rounds = threading.Semaphore(0)

    def fail() -> None:
        rounds.release()
        raise ZeroDivisionError

    monkeypatch.setattr(harness, "poll", fail)
    stopped = threading.Event()
    thread = threading.Thread(target=harness.sharing.run, args=(stopped.is_set,))
    thread.start()
    assert rounds.acquire(timeout=5) and rounds.acquire(timeout=5)
    stopped.set()
    thread.join(5)
    assert not thread.is_alive()
