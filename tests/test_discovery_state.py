"""Tests which lines prove a list current, how long a proof is valid, and timestamps of other clocks."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lupintack.clock import UNIX_OFFSET_US, module_ms
from lupintack.config import Names
from lupintack.core.member_table import MemberTable
from lupintack.core.messages import Attempt, ClientRequest
from lupintack.core.table_updates import Endpoint, ListExpiryCheck, member_id
from lupintack.core.timestamps import MAX_AHEAD_US, CopyClock, LogClock
from lupintack.discovery.client import SILENCE_TIMEOUT_S, DiscoveryClient
from lupintack.discovery.connection import LineBuffer, ReceivedBytes
from lupintack.discovery.event_applier import GapError
from lupintack.discovery.revisions import MAX_STALE_REVISIONS, RevisionAction, RevisionTracker
from lupintack.discovery.validity import MAX_NOTICE_DELAY_US, SAFETY_MARGIN_US, validity_us
from lupintack.interface import MemberState, Settings

NAMES = Names(("a",), ("z",), ("box", "parent", "origin"), ())
ORIGIN_KIND = 2


class DiscoveryHarness:
    """A discovery client and its member table without threads or sockets, on a clock that the test sets."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 1_000_000_000
        monkeypatch.setattr("lupintack.discovery.client.now_us", lambda: self.now)
        monkeypatch.setattr("lupintack.core.member_table.now_us", lambda: self.now)
        self.table = MemberTable(6000.0, ORIGIN_KIND)
        self.table.require_proof(7_100_000)
        self.client = DiscoveryClient(None, NAMES, self.table)
        self.client.load_initial_log(
            {"rev": 1, "notices": [list_event(1, True, s1="Ready", p1="Ready", o1="Ready")]}
        )
        self.lines = LineBuffer(0, SILENCE_TIMEOUT_S)
        self.connect()

    def connect(self) -> bytes:
        """Begin a new connection; return its request."""
        request = self.client.watch_request()
        self.lines = LineBuffer(self.now, SILENCE_TIMEOUT_S)
        return request

    def send_bytes(self, raw: bytes) -> None:
        self.client.receive(self.lines, ReceivedBytes(raw, self.now), self.client.generation)
        self.client.confirm_table(self.lines, self.client.generation)
        self.settle()

    def send_line(self, value: Any) -> None:
        self.send_bytes(json.dumps(value).encode() + b"\n")

    def settle(self) -> None:
        while not self.table.mailbox.empty():
            update = self.table.mailbox.get()
            assert update is not None
            self.table.receive(update)

    def ready_names(self) -> set[str]:
        """Return the names of the members that may receive requests."""
        return {host.name for host in self.table.usable_endpoints.values() if host.state is MemberState.READY}


@pytest.fixture
def harness(monkeypatch: pytest.MonkeyPatch) -> DiscoveryHarness:
    return DiscoveryHarness(monkeypatch)


def list_event(revision: int, is_complete: bool, **health: str) -> dict[str, Any]:
    kinds = {"s": "box", "p": "parent", "o": "origin"}
    hosts = [
        {"host": name, "dial": "127.0.0.1:9", "site": "z", "class": kinds[name[0]], "health": state}
        for name, state in health.items()
    ]
    return {"rev": revision, "pool": {"seq": revision, "whole": is_complete, "hosts": hosts}}


def with_start_times(notice: dict[str, Any], **unix_ms: float) -> dict[str, Any]:
    """Return the list event with the members' start times added."""
    for host in notice["pool"]["hosts"]:
        host["born_ms"] = unix_ms.get(host["host"], 0.0)
    return notice


# Which lines prove that a watch has caught up


def test_initial_list_has_unknown_age_and_only_origin_is_used(harness: DiscoveryHarness) -> None:
    harness.settle()
    assert harness.ready_names() == {"o1"} and not harness.table.validity.confirmed.is_set()


@pytest.mark.parametrize("revision", [2, {"rev": 2}])
def test_last_revision_on_open_connection_proves_list_current(
    harness: DiscoveryHarness, revision: Any
) -> None:
    harness.send_line(list_event(2, False, s1="Terminating"))
    assert harness.ready_names() == {"o1"}, "another event may follow"
    harness.send_line(revision)
    assert harness.ready_names() == {"p1", "o1"} and harness.table.validity.confirmed.is_set()


@pytest.mark.parametrize("raw", [b"1", b"\n", b"0\n", b"true\n", b"1.0\n", b"spoilt\n"])
def test_partial_lines_old_revisions_and_invalid_lines_are_no_proof(
    harness: DiscoveryHarness, raw: bytes
) -> None:
    harness.send_bytes(raw)
    assert harness.ready_names() == {"o1"}


def test_line_of_earlier_connection_is_no_proof(harness: DiscoveryHarness) -> None:
    generation, old_lines = harness.client.generation, harness.lines
    harness.client.generation += 1  # the address has changed while the old reader has bytes
    harness.connect()
    harness.client.receive(old_lines, ReceivedBytes(b"1\n", harness.now), generation)
    harness.client.confirm_table(old_lines, generation)
    harness.settle()
    assert harness.ready_names() == {"o1"}


def test_proof_is_applied_after_events_of_same_read(harness: DiscoveryHarness) -> None:
    """All in one read: no change of the table shows the drained member as ready."""
    raw = b"1\n" + json.dumps(list_event(2, False, s1="Terminating")).encode() + b"\n"
    seen: list[set[str]] = []
    harness.table.notify = lambda change: seen.append(harness.ready_names())
    harness.send_bytes(raw)
    assert all("s1" not in ready for ready in seen) and "s1" not in harness.ready_names()


def test_first_revision_proves_list_only_as_of_connect(harness: DiscoveryHarness) -> None:
    """The line may have been queued for long."""
    connected = harness.now
    harness.now += 3_000_000
    harness.send_line(1)
    assert harness.table.validity.proved_us == connected
    harness.send_line(1)
    assert harness.table.validity.proved_us == harness.now


def test_higher_revision_is_no_proof_and_missing_events_are_requested(harness: DiscoveryHarness) -> None:
    with pytest.raises(GapError):
        harness.send_line(3)
    assert harness.connect() == b"watch 1\n"
    assert harness.ready_names() in (set(), {"o1"})


def test_compacted_log_is_read_from_beginning_and_replaces_list_in_one_step(
    harness: DiscoveryHarness,
) -> None:
    harness.send_line(1)
    with pytest.raises(GapError):
        harness.send_line(list_event(4, False, p1="Ready"))
    harness.connect()
    with pytest.raises(GapError):
        harness.send_line(list_event(4, False, p1="Ready"))
    assert harness.connect() == b"watch 0\n"
    seen: list[set[str]] = []
    harness.table.notify = lambda change: seen.append(harness.ready_names())
    harness.send_line(list_event(3, True, s1="Ready", s2="Ready", p1="Ready", o1="Ready"))
    harness.send_line(list_event(4, False, s1="Terminating", s2="Gone"))
    assert not seen, "no event is applied before the end of the log is known"
    harness.send_line(4)
    assert harness.ready_names() == {"p1", "o1"} and harness.client.last_revision == 4
    assert all("s1" not in ready for ready in seen)


def test_permanently_missing_events_are_skipped_and_list_is_confirmed(harness: DiscoveryHarness) -> None:
    with pytest.raises(GapError):
        harness.send_line(3)
    assert harness.connect() == b"watch 1\n"
    with pytest.raises(GapError):
        harness.send_line(3)
    assert harness.connect() == b"watch 0\n"
    harness.send_line(3)  # discovery's log is empty
    assert harness.connect() == b"watch 1\n"
    harness.send_line(3)
    assert harness.table.validity.confirmed.is_set()
    assert harness.client.counters["discovery.passed_over"] > 0


def test_discovery_with_permanently_lower_revisions_is_read_from_beginning(harness: DiscoveryHarness) -> None:
    harness.send_line(list_event(2, False, s1="Terminating"))
    for _ in range(MAX_STALE_REVISIONS - 1):
        harness.send_line(1)
    assert not harness.table.validity.confirmed.is_set()
    with pytest.raises(GapError):
        harness.send_line(1)
    assert harness.connect() == b"watch 0\n"
    harness.send_line(list_event(1, True, s1="Ready", o1="Ready"))
    harness.send_line(1)
    assert harness.ready_names() == {"s1", "o1"} and harness.client.last_revision == 1


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 6)), max_size=40))
def test_only_last_revision_is_proof_for_any_order_of_lines(lines: list[tuple[bool, int]]) -> None:
    tracker = RevisionTracker()
    for is_event, number in lines:
        previous = tracker.last_revision
        action = tracker.on_event(number) if is_event else tracker.on_revision(number)
        if action is RevisionAction.APPLY:
            assert number > previous
            tracker.mark_applied(number)
        if action is RevisionAction.CAUGHT_UP:
            assert number == tracker.last_revision or tracker.has_skipped_gap()
        if action is RevisionAction.REPLACE:
            tracker.mark_replaced(number)
        if action in (RevisionAction.RECONNECT, RevisionAction.RECONNECT_FROM_START):
            assert tracker.begin_watch() in (0, tracker.last_revision)


# How long a proof is valid


def test_validity_is_notice_delay_plus_shorter_grace_less_margin() -> None:
    settings = Settings(classes=(), drain_grace_ms=500.0, purge_grace_ms=300.0)
    assert validity_us(settings) == MAX_NOTICE_DELAY_US + 300_000 - SAFETY_MARGIN_US


def test_expired_table_blocks_writes_immediately_and_module_after_check(harness: DiscoveryHarness) -> None:
    harness.send_line(1)
    attempt = attempt_for(harness.table, "s1", "p1")
    assert not harness.table.is_outdated(attempt)
    harness.now = harness.table.validity.valid_until_us
    assert harness.table.is_outdated(attempt), "even before its thread has run"
    assert not harness.table.is_outdated(attempt_for(harness.table, "o1", ""))
    assert harness.table.wait_s() == 0.0
    harness.table.receive(ListExpiryCheck())
    assert harness.ready_names() == {"o1"} and not harness.table.validity.confirmed.is_set()
    harness.send_line(1)
    assert harness.ready_names() == {"s1", "p1", "o1"} and harness.table.validity.confirmed.is_set()


def test_new_settings_change_validity(harness: DiscoveryHarness) -> None:
    harness.send_line(1)
    harness.table.set_validity(2_000_000)
    assert harness.table.validity.valid_until_us == harness.table.validity.proved_us + 2_000_000


def attempt_for(table: MemberTable, member: str, source: str) -> Attempt:
    ids = {host.name: number for number, host in table.listed_endpoints.items()}
    request = ClientRequest("0" * 16, 0, "1", 1, 0, 0, 0, sink=None)  # type: ignore[arg-type]
    return Attempt(
        request,
        0,
        ids[member],
        ids.get(source, 0),
        "a",
        source,
        0,
        0.0,
        False,
        False,
        False,
        0,
        0,
        table.is_outdated,
    )


# A server that drains, is removed and returns


def test_returning_member_is_used_according_to_its_last_state(harness: DiscoveryHarness) -> None:
    harness.send_line(1)
    attempt = attempt_for(harness.table, "s1", "p1")
    for number, state in enumerate(("Terminating", "Gone"), 2):
        harness.send_line(list_event(number, False, s1=state))
        assert harness.table.is_outdated(attempt) and "s1" not in harness.ready_names()
    harness.send_line(list_event(4, False, s1="Ready"))
    assert not harness.table.is_outdated(attempt)
    harness.send_line(list_event(5, False, p1="Terminating"))
    assert harness.table.is_outdated(attempt), "a source that drains while the call to its server is queued"


# A long time without events


def test_drain_purge_and_start_are_dated_correctly_after_hours_without_events(
    harness: DiscoveryHarness,
) -> None:
    for _ in range(3 * 3600):
        harness.now += 1_000_000
        harness.send_line({"rev": 1})
    assert harness.table.validity.confirmed.is_set()
    changes: list[Any] = []
    harness.table.notify = changes.append
    stamp_ms = harness.now / 1000 + UNIX_OFFSET_US / 1000
    harness.send_line({"rev": 2, "flush": {"collection": 17, "ms": stamp_ms}})
    harness.send_line(list_event(3, False, s1="Terminating"))
    assert changes[0].events[0].age_ms < 1.0 and "s1" not in harness.ready_names()
    started = harness.table.started_ms(Endpoint("s9", None, born_unix_ms=stamp_ms), harness.now)
    assert abs(started - (harness.now / 1000 + 1e9)) < 1.0


# Timestamps of other clocks

HOUR_US = 3_600_000_000


@given(
    st.sampled_from([0, 30_000_000, -30_000_000, HOUR_US, -HOUR_US]),
    st.lists(st.integers(0, 60_000_000), min_size=1, max_size=10),
)
def test_wall_clock_error_never_makes_event_older(error_us: int, ages: list[int]) -> None:
    """`error_us` is the error of the local clock at the start."""
    true_offset, now = 1_700_000_000_000_000, 500_000_000
    clock = LogClock(true_offset + error_us)
    for age in ages:
        now += 1_000
        assert clock.age_us(now + true_offset - age, now) <= age


@given(
    st.sampled_from([0, 30_000_000, -30_000_000, HOUR_US]),
    st.lists(st.integers(0, 20_000_000), min_size=1, max_size=10),
)
def test_wall_clock_error_never_makes_copy_younger(error_us: int, ages: list[int]) -> None:
    true_offset, now = 1_700_000_000_000_000, 500_000_000
    clock = CopyClock(true_offset + error_us)
    for age in ages:
        assert clock.observe(now + true_offset, now)  # fresh from the origin
        assert clock.age_us(now + true_offset - age, now) >= age


def test_two_agreeing_timestamps_far_ahead_correct_local_clock() -> None:
    clock = CopyClock(0)
    assert not clock.observe(HOUR_US, 0) and not clock.observe(3 * HOUR_US, 1_000)
    assert not clock.observe(HOUR_US + 2_000, 2_000)
    assert clock.observe(HOUR_US + 3_000, 3_000), "the previous timestamp agrees"
    assert clock.age_us(HOUR_US, 1_003_000) >= 1_000_000


def test_timestamp_far_ahead_is_rejected_and_smaller_offset_expires() -> None:
    clock = CopyClock(0)
    assert not clock.observe(MAX_AHEAD_US + 1, 0)
    assert clock.observe(MAX_AHEAD_US - 1, 0) and clock.age_us(0, 0) == MAX_AHEAD_US - 1
    assert clock.age_us(90_000_000, 90_000_000) == 0


def test_reincluded_member_is_cold_from_local_time_of_inclusion(harness: DiscoveryHarness) -> None:
    harness.send_line(1)
    ban_list_type = type(harness.table.bans)
    harness.table.set_bans(ban_list_type({"s1": 1.0}))
    harness.settle()
    harness.now += 5_000_000
    harness.table.set_bans(ban_list_type({}, {"s1": 1.0}))  # an hour ago, by a clock that was an hour slow
    harness.settle()
    host = Endpoint("s1", ("127.0.0.1", 9))
    assert harness.table.started_ms(host, harness.now) == harness.now / 1000.0 + 1e9


def test_restart_dates_members_by_all_timestamps_of_list(harness: DiscoveryHarness) -> None:
    """Guards against the age of a member being derived only from the timestamps before its own in the list.

    Restarted routers took members that had started half a minute before for newly started, and sent them
    almost no requests.
    """
    unix_ms = (harness.now + UNIX_OFFSET_US) / 1000
    starts: dict[str, float] = {}

    def on_change(change: Any) -> None:
        for event in change.events:
            starts.update({names.get(member.id, ""): member.started_ms for member in event.members})

    names = {member_id(name): name for name in ("s1", "s2", "s3")}
    table = MemberTable(6000.0, ORIGIN_KIND)
    table.notify = on_change
    client = DiscoveryClient(None, NAMES, table)
    first = with_start_times(
        list_event(1, True, s1="Ready", s2="Ready"), s1=unix_ms - 60_000, s2=unix_ms - 30_000
    )
    client.load_initial_log(
        {"rev": 2, "notices": [first, with_start_times(list_event(2, False, s3="Ready"), s3=unix_ms - 1000)]}
    )
    while not table.mailbox.empty():
        update = table.mailbox.get()
        assert update is not None
        table.receive(update)
    now_ms = module_ms(harness.now)
    assert [round(now_ms - starts[name]) for name in ("s1", "s2", "s3")] == [59_000, 29_000, 0]
