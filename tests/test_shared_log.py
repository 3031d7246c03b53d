"""The log in a file that the processes of one router share: order, bounds, and what can fail."""

from __future__ import annotations

import errno
import fcntl
import os
import subprocess
import sys
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from lupintack.clock import now_us
from lupintack.core.record_log import DamagedLogError, RecordLogError
from lupintack.process import shared_log
from lupintack.process.shared_log import DATA_OFFSET, RECORD, SharedLog

LONG_US = 60_000_000
CAPACITY = 1000


class Reader:
    """A log opened as one process does, and the records that it has read."""

    def __init__(self, folder: Path, capacity: int = CAPACITY) -> None:
        self.log = SharedLog("test.log", capacity)
        self.log.open(folder)
        self.records: list[bytes] = []

    def add(self, payload: bytes, lifetime_us: int = LONG_US) -> None:
        self.log.update(self.records.append, lambda: payload, lifetime_us)

    def read(self) -> list[bytes]:
        self.records.clear()
        self.log.poll(self.records.append)
        return list(self.records)


@pytest.fixture
def pair(tmp_path: Path) -> Iterator[tuple[Reader, Reader]]:
    readers = Reader(tmp_path), Reader(tmp_path)
    yield readers
    for reader in readers:
        reader.log.close()


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    now = [now_us()]
    monkeypatch.setattr(shared_log, "now_us", lambda: now[0])
    return now


def test_each_reads_what_others_have_added_once_and_not_its_own(pair: tuple[Reader, Reader]) -> None:
    one, other = pair
    assert one.log.has_unread() and one.read() == [], "until it has read, it can't know that there is nothing"
    assert not one.log.has_unread()
    one.add(b"a")
    assert not one.log.has_unread()
    other.add(b"b")
    assert other.records == [b"a"], "what came before its own record is read with it"
    assert one.log.has_unread() and one.read() == [b"b"] and one.read() == []
    assert other.read() == [] and not other.log.has_unread()


def test_process_that_starts_later_reads_what_has_not_expired(tmp_path: Path, clock: list[int]) -> None:
    first = Reader(tmp_path)
    first.add(b"short", 1_000_000)
    first.add(b"long", 9_000_000)
    clock[0] += 5_000_000
    assert Reader(tmp_path).read() == [b"long"]


def test_nothing_is_added_if_none_is_created(pair: tuple[Reader, Reader]) -> None:
    pair[0].log.update(pair[0].records.append, lambda: None, LONG_US)
    assert pair[1].read() == []


@settings(suppress_health_check=[HealthCheck.function_scoped_fixture], max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.booleans(), st.binary(max_size=300), st.integers(0, 30)), max_size=40))
def test_any_sequence_is_read_in_order_whole_or_refused(
    tmp_path_factory: pytest.TempPathFactory, steps: list[tuple[bool, bytes, int]]
) -> None:
    """Records wrap round the end of the ring; one that doesn't fit is refused, and the others stay whole."""
    folder = tmp_path_factory.mktemp("log")
    writers, watcher = (Reader(folder), Reader(folder)), Reader(folder)
    added: list[bytes] = []
    for is_first, payload, lifetime in steps:
        try:
            # An expired one makes room, and may be passed over by who reads late.
            writers[is_first].add(payload, LONG_US if lifetime > 15 else -1)
        except RecordLogError:
            continue
        if lifetime > 15:
            added.append(payload)
        assert watcher.read() == ([payload] if lifetime > 15 else [])
    kept = Reader(folder).read()
    assert kept == added[len(added) - len(kept) :] and len(kept) == len(added)
    for reader in (*writers, watcher):
        reader.log.close()


def test_full_log_refuses_and_keeps_what_has_not_expired(tmp_path: Path, clock: list[int]) -> None:
    """The bound: no record is dropped before its time, and room comes back with time."""
    one, other = Reader(tmp_path), Reader(tmp_path)
    count = 0
    with pytest.raises(RecordLogError, match="full"):
        while True:
            one.add(b"x" * 80, 5_000_000)
            count += 1
    assert count == CAPACITY // (RECORD.size + 80) and other.read() == [b"x" * 80] * count
    with pytest.raises(RecordLogError, match="full"):
        one.add(b"y" * 2 * CAPACITY)
    clock[0] += 5_000_001
    one.add(b"z")
    assert other.read() == [b"z"]
    assert (tmp_path / "test.log").stat().st_size <= DATA_OFFSET + CAPACITY


def test_reader_that_falls_behind_misses_only_what_has_expired(tmp_path: Path, clock: list[int]) -> None:
    one, late = Reader(tmp_path), Reader(tmp_path)
    assert late.read() == []
    for n in range(50):
        one.add(b"%d" % n * 40, 1_000_000)
        clock[0] += 400_000
    assert late.read() == [b"%d" % n * 40 for n in (48, 49)]


def test_write_that_fails_changes_nothing(
    pair: tuple[Reader, Reader], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against half a record: the disk is full, or fails, at any of the writes."""
    one, other = pair
    one.add(b"a" * (CAPACITY - 200))  # the next one wraps
    assert other.read() == [b"a" * (CAPACITY - 200)]
    pwrite = os.pwrite
    for fails_at in range(2):
        calls = [0]

        def failing(fd: int, data: bytes, offset: int, calls: list[int] = calls, at: int = fails_at) -> int:
            calls[0] += 1
            if calls[0] > at:
                raise OSError(errno.ENOSPC, "no space left")
            return pwrite(fd, data, offset)

        monkeypatch.setattr(os, "pwrite", failing)
        with pytest.raises(RecordLogError, match="no space left"):
            one.add(b"b" * 100)
        monkeypatch.setattr(os, "pwrite", pwrite)
        assert not other.log.has_unread() and other.read() == []
    one.add(b"c" * 100)
    assert other.read() == [b"c" * 100]


def test_writer_that_dies_before_the_end_leaves_the_log_whole(tmp_path: Path) -> None:
    program = f"""
import os, sys
from pathlib import Path
from lupintack.process.shared_log import SharedLog
log = SharedLog("test.log", {CAPACITY})
log.open(Path({str(tmp_path)!r}))
log.update(print, lambda: b"first", {LONG_US})
pwrite = os.pwrite
def dies(fd, data, offset):
    pwrite(fd, data[: len(data) // 2], offset)
    os._exit(7)
os.pwrite = dies
log.update(print, lambda: b"second", {LONG_US})
"""
    assert subprocess.run([sys.executable, "-c", program], check=False).returncode == 7
    reader = Reader(tmp_path)
    assert reader.read() == [b"first"]
    reader.add(b"third")
    assert Reader(tmp_path).read() == [b"first", b"third"]


def test_damaged_record_is_reported_once_and_reading_goes_on(
    pair: tuple[Reader, Reader], tmp_path: Path
) -> None:
    """Guards against records that are lost without a word: who reads must act as if it had missed any."""
    one, other = pair
    assert other.read() == []
    one.add(b"abc")
    with open(tmp_path / "test.log", "r+b") as file:
        file.seek(DATA_OFFSET + RECORD.size)
        file.write(b"X")
    with pytest.raises(DamagedLogError):
        other.read()
    assert not other.log.has_unread()
    one.add(b"def")
    assert other.read() == [b"def"]


def test_stopped_writer_holds_the_others_up_for_a_bounded_time(
    pair: tuple[Reader, Reader], tmp_path: Path
) -> None:
    one, other = pair
    assert other.read() == []
    with open(tmp_path / "test.log", "r+b") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        began_us = now_us()
        with pytest.raises(RecordLogError, match="lock"):
            one.add(b"a")
        assert now_us() - began_us < 1_000_000
        assert other.read() == [], "readers take no lock"
    one.add(b"a")
    assert other.read() == [b"a"]


def test_log_that_is_not_open_or_was_removed_takes_and_gives_nothing(tmp_path: Path) -> None:
    closed = SharedLog("test.log", CAPACITY)
    assert not closed.has_unread() and not closed.is_open and not closed.close_if_removed()
    with pytest.raises(RecordLogError, match="not open"):
        closed.poll(print)
    with pytest.raises(RecordLogError, match="not open"):
        closed.update(print, lambda: b"a", LONG_US)
    with pytest.raises(RecordLogError):
        closed.open(tmp_path / "missing")
    reader = Reader(tmp_path)
    assert not reader.log.close_if_removed()
    (tmp_path / "test.log").unlink()
    assert reader.log.close_if_removed() and not reader.log.is_open


def test_log_of_an_earlier_boot_or_of_another_kind_begins_anew(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The times of its records are by a clock that has begun anew."""
    Reader(tmp_path).add(b"old")
    monkeypatch.setattr(shared_log, "read_boot_id", lambda: b"x" * shared_log.BOOT_ID_BYTES)
    assert Reader(tmp_path).read() == []
    (tmp_path / "test.log").write_bytes(b"not a log")
    assert Reader(tmp_path).read() == []


def test_claims_of_two_processes_are_in_one_order(tmp_path: Path) -> None:
    """Guards against two processes that both take what only one may: check and record are one step."""
    winners: list[int] = []

    def claim(number: int, barrier: Any) -> None:
        reader = Reader(tmp_path, 1 << 16)
        for round_number in range(50):
            barrier.wait()
            seen: list[bytes] = reader.records

            def create(seen: list[bytes] = seen, key: bytes = b"%d" % round_number) -> bytes | None:
                if key in seen:
                    return None
                winners.append(number)
                return key

            reader.log.update(reader.records.append, create, LONG_US)

    barrier = threading.Barrier(4)
    threads = [threading.Thread(target=claim, args=(n, barrier)) for n in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(20)
    assert len(winners) == 50
