"""Two processes of a router bound attempts under a key as one process does, also where sharing fails."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any

import pytest

from lupintack.clock import now_us
from lupintack.core.attempt_status import AttemptStatus
from lupintack.core.deduplication import MAX_CLIENT_WAIT_US
from lupintack.core.key_records import (
    KeyRecord,
    KeyRecordError,
    RunShared,
    RunWithdrawn,
    decode_key_records,
    encode_key_records,
)
from lupintack.core.messages import Attempt, AttemptResult, ClientRequest, ReadSharedKeys, SharedKeysGap
from lupintack.core.record_log import DamagedLogError, RecordLogError
from lupintack.lifecycle.folder import Folder
from lupintack.lifecycle.upgrade_peer import UpgradePeer
from lupintack.limits.idempotency_cache import IdempotencyKey
from lupintack.process import key_sharing
from lupintack.process.key_sharing import KeyLog
from lupintack.process.router_processes import RouterProcesses
from lupintack.process.shared_log import SharedLog
from tests.test_idempotency_retention import MS, POST, VOTE, ManualCore
from tests.test_process_sharing import MemoryLog

EARLIEST_EXPIRY_MS = 2 * VOTE.deadline_ms + VOTE.deduplication_window_ms  # from then on a key may be dropped


class Process(ManualCore):
    """A process that shares its keys through the log of a test."""

    def __init__(self, records: list[bytes], started_us: int) -> None:
        super().__init__(POST, VOTE)
        self.started_us = started_us
        self.log = MemoryLog(records)
        self.core.deduplication.share(self.log)

    def retry(self, class_name: str, key: str, at_ms: float) -> ClientRequest | None:
        """Accept a request that is marked as a client's retry; return None if it is refused."""
        intake = self.core.intake
        accept = intake.accept

        def accept_marked(request: ClientRequest) -> Any:
            request.is_retry = True
            return accept(request)

        intake.accept = accept_marked  # type: ignore[method-assign]
        try:
            return self.receive(class_name, key, at_ms)
        finally:
            intake.accept = accept  # type: ignore[method-assign]

    def end(self, attempt: Attempt, status: AttemptStatus) -> None:
        self.core.results.on_result(AttemptResult(attempt, status), [])

    def synchronize(self) -> None:
        self.core.deduplication.on_shared_keys(ReadSharedKeys())


@pytest.fixture
def pair() -> tuple[Process, Process]:
    records: list[bytes] = []
    started_us = now_us()
    return Process(records, started_us), Process(records, started_us)


def test_retry_at_the_other_process_is_bound_by_the_first_attempt(pair: tuple[Process, Process]) -> None:
    """Guards against review/7: the new process sent a retry past the window, and a post ran twice."""
    one, other = pair
    assert one.sendable_until_ms(one.send("post", "a", 0.0)) is None
    assert other.sendable_until_ms(other.send("post", "a", 1500.0)) == 2000.0
    assert one.sendable_until_ms(one.send("post", "a", 1900.0)) == 2000.0
    assert other.described[-1].first_attempt_member == 11
    assert other.sendable_until_ms(other.send("post", "b", 1950.0)) is None


def test_process_that_starts_later_knows_the_keys(pair: tuple[Process, Process]) -> None:
    one, _ = pair
    one.send("post", "a", 0.0)
    later = Process(one.log.records, one.started_us)
    assert later.sendable_until_ms(later.send("post", "a", 2900.0)) == 2000.0


def test_attempt_without_effect_bounds_neither_process(pair: tuple[Process, Process]) -> None:
    one, other = pair
    attempt = one.send("post", "a", 0.0)
    other.synchronize()
    one.end(attempt, AttemptStatus.REJECTED)
    assert one.core.deduplication.has_pending() and not other.core.deduplication.has_pending()
    one.synchronize()
    assert not one.core.deduplication.has_pending() and other.core.deduplication.has_pending()
    assert other.sendable_until_ms(other.send("post", "a", 2500.0)) is None


def test_withdrawn_attempts_are_told_with_the_next_one(pair: tuple[Process, Process]) -> None:
    one, other = pair
    one.end(one.send("post", "a", 0.0), AttemptStatus.REJECTED)
    one.send("post", "b", 10.0)
    assert other.sendable_until_ms(other.send("post", "a", 2500.0)) is None


def test_keys_of_another_process_may_exceed_the_bound_of_own_ones(pair: tuple[Process, Process]) -> None:
    """The bound of what others bring is that of the log; what this process accepts itself stays bounded."""
    one, other = pair
    one.core.idempotency_cache.max_keys = other.core.idempotency_cache.max_keys = 2
    for key in ("a", "b"):
        other.send("post", key, 0.0)
        one.send("post", key + key, 0.0)
    assert one.receive("post", "c", 10.0) is None and one.core.counters["idempotency_keys.refused"] == 1
    for key in ("a", "b"):
        assert one.sendable_until_ms(one.send("post", key, 100.0)) == 2000.0
    assert len(one.core.idempotency_cache.records) == 4


def test_two_processes_bound_attempts_in_any_order_as_one_does() -> None:
    """Compares two processes with one that gets the same requests, over random orders of 40 attempts."""
    for seed in range(40):
        rng = random.Random(seed)
        records: list[bytes] = []
        started_us = now_us()
        processes = Process(records, started_us), Process(records, started_us)
        alone = ManualCore(POST, VOTE)
        alone.started_us = started_us
        at_ms = 0.0
        for _ in range(40):
            at_ms += rng.choice((0.0, 1.0, 10.0, 40.0, 120.0))
            if at_ms > EARLIEST_EXPIRY_MS:
                break
            class_name, key = rng.choice(("post", "vote")), rng.choice("abc")
            process = rng.choice(processes)
            attempt, expected = process.send(class_name, key, at_ms), alone.send(class_name, key, at_ms)
            assert process.sendable_until_ms(attempt) == alone.sendable_until_ms(expected), (seed, at_ms)
            if rng.random() < 0.3:
                process.end(attempt, AttemptStatus.REJECTED)
                process.synchronize()
                alone.core.results.on_result(AttemptResult(expected, AttemptStatus.REJECTED), [])


# Where keys can't be shared, or may be missing


@pytest.mark.parametrize("error", [RecordLogError("full"), DamagedLogError("damaged")])
def test_attempt_that_cannot_be_shared_is_not_sent_and_leaves_no_trace(
    pair: tuple[Process, Process], error: RecordLogError
) -> None:
    one, _ = pair
    request = one.receive("post", "a", 0.0)
    assert request is not None
    one.log.error = error
    assert not one.core.deduplication.record(attempt_of(one, request))
    assert one.core.idempotency_cache.first_run(IdempotencyKey("post", "a")) is None
    counters = one.core.counters
    assert (counters["idempotency_keys.not_shared"], counters["idempotency_keys.held_back"]) == (1, 1)
    one.log.error = None
    assert one.sendable_until_ms(one.send("post", "a", 3000.0)) is None


def attempt_of(process: Process, request: ClientRequest) -> Attempt:
    return Attempt(
        request, 0, 11, 0, "post", "", 0, 0.0, False, False, False, 0, 0, is_outdated=lambda _: False
    )


def test_retry_is_refused_while_its_first_attempt_may_be_unknown(pair: tuple[Process, Process]) -> None:
    """Guards against a retry that follows an attempt of a process of which this one can't hear."""
    one, _ = pair
    one.send("post", "known", 0.0)
    one.core.deduplication.on_shared_keys(SharedKeysGap(one.started_us + 1000 * MS))
    assert one.retry("post", "a", 1001.0) is None and one.rejections
    assert one.core.counters["idempotency_keys.unknown"] == 1
    assert one.receive("post", "b", 1001.0) is not None, "its client has not sent it before"
    assert one.retry("post", "known", 1002.0) is not None
    retry_time_us = int((POST.deadline_ms + POST.deduplication_window_ms) * MS)
    over_ms = 1000.0 + (MAX_CLIENT_WAIT_US + retry_time_us) / MS
    assert one.retry("post", "a", over_ms - 1.0) is None
    assert one.retry("post", "a", over_ms) is not None


@pytest.mark.parametrize(
    "raw", [b"", b"{}", b"[[1]]", b'[["post","a",1]]', b'[["post","a",1,"2"]]', b"[null]"]
)
def test_record_of_another_version_is_a_gap(pair: tuple[Process, Process], raw: bytes) -> None:
    one, _ = pair
    with pytest.raises(KeyRecordError):
        decode_key_records(raw)
    one.log.records.append(raw)
    one.core.state.now_us = now_us()
    assert one.retry("post", "a", 10.0) is None


def test_log_that_cannot_be_read_is_a_gap(pair: tuple[Process, Process]) -> None:
    one, other = pair
    other.send("post", "a", 0.0)
    one.log.error = RecordLogError("cannot be read")
    assert one.retry("post", "b", 10.0) is None
    one.log.error = None
    assert one.retry("post", "a", 20.0) is not None, "the log has it once it can be read"


def test_records_are_read_as_they_were_written() -> None:
    records: list[KeyRecord] = [
        RunShared("post", "k", 1 << 60, 2, 3, 4, 5, 6),
        RunWithdrawn("post", "\u20ac", 1, 2),
    ]
    assert decode_key_records(encode_key_records(records)) == records


class Alone:
    """The log of keys of one process in its folder, and the other processes that the test sets."""

    def __init__(self, tmp: Path) -> None:
        self.folder: Folder | None = Folder(str(tmp), "n0", "127.0.0.1:1")
        self.peers: list[UpgradePeer] = []
        self.log = SharedLog("keys.log", 1000)
        self.keys = KeyLog(self.log, RouterProcesses(lambda: self.folder, lambda: self.peers))
        self.created = 0

    def create(self) -> bytes:
        self.created += 1
        return b"[]"

    def update(self, lifetime_us: int = 1_000_000) -> None:
        self.keys.update(lambda raw: None, self.create, lifetime_us)


def test_process_alone_goes_on_without_the_log_and_tells_those_that_start_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a class out of service because of its disk, and against a successor that trusts."""
    alone = Alone(tmp_path)
    assert alone.folder is not None
    clock = [now_us()]
    monkeypatch.setattr(key_sharing, "now_us", lambda: clock[0])
    alone.update()
    assert alone.created == 1 and not alone.folder.shares_keys
    alone.keys.publish_shared()
    assert not alone.folder.shares_keys, "the attempt still matters"
    alone.log.open(alone.folder.path)
    alone.update()
    clock[0] += 1_000_000
    alone.keys.publish_shared()
    assert alone.folder.shares_keys and alone.created == 2
    alone.folder.close()


def test_beside_another_process_an_attempt_without_the_log_fails(tmp_path: Path) -> None:
    alone = Alone(tmp_path)
    alone.peers = [UpgradePeer(1, 1, "ready", shares_keys=True)]
    with pytest.raises(RecordLogError):
        alone.update()
    assert alone.folder is not None
    alone.folder.close()


def test_attempt_fails_if_neither_the_log_nor_the_own_file_can_be_written(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    alone = Alone(tmp_path)
    assert alone.folder is not None
    monkeypatch.setattr(alone.folder, "write_shares_keys", lambda shares_keys: False)
    with pytest.raises(RecordLogError):
        alone.update()
    alone.folder.close()
    alone.folder = None
    alone.update()
    assert alone.created == 1, "nobody sees a process that could not join its folder"


def test_peers_read_what_a_process_shares(tmp_path: Path) -> None:
    folder = Folder(str(tmp_path), "n0", "127.0.0.1:1")
    folder.write_phase("evacuating")
    assert folder.write_shares_keys(False)
    text = folder.own_path.read_text()
    assert '"phase":"evacuating"' in text and len(text) == 96
    assert '"purges":true' in text and '"keys":false' in text
    folder.close()
