"""Tests of http2/schedule.py: order by urgency, fairness by bytes, no starvation, conservation of bytes."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lupintack.http2.schedule import QUANTUM, Fifo, Priority, Schedule, parse_priority

UNLIMITED_WINDOW = lambda stream: 1 << 30  # noqa: E731


def write_all(schedule: Schedule | Fifo, max_bytes: int = 16384) -> list[tuple[int, int]]:
    writes = []
    while (write := schedule.take(max_bytes, UNLIMITED_WINDOW)) is not None:
        writes.append(write)
    return writes


def test_streams_of_any_size_share_bandwidth_by_bytes() -> None:
    schedule = Schedule()
    schedule.add(1, 1_000_000)
    schedule.add(3, 50_000)
    schedule.add(5, 1_000_000)
    written: Counter[int] = Counter()
    while written[3] < 50_000:
        write = schedule.take(16384, UNLIMITED_WINDOW)
        assert write is not None
        written[write[0]] += write[1]
    assert abs(written[1] - 50_000) <= 2 * QUANTUM and abs(written[5] - 50_000) <= 2 * QUANTUM


def test_urgent_stream_overtakes_at_its_first_byte_but_waits_in_fifo_order() -> None:
    for schedule, max_position in ((Schedule(), 1), (Fifo(), 1 + 50 * 8)):
        for n in range(50):
            schedule.add(2 * n + 1, 8 * 16384)
        schedule.take(16384, UNLIMITED_WINDOW)
        schedule.add(999, 40, Priority(0))
        order = [stream for stream, _ in write_all(schedule)]
        assert order.index(999) + 1 <= max_position if max_position == 1 else order.index(999) > 300


def test_less_urgent_level_progresses_while_an_urgent_one_is_busy() -> None:
    schedule = Schedule()
    schedule.add(1, 1 << 40, Priority(0))
    schedule.add(3, 1 << 40, Priority(7))
    written: Counter[int] = Counter()
    for _ in range(1000):
        stream, count = schedule.take(16384, UNLIMITED_WINDOW) or (0, 0)
        written[stream] += count
    assert written[3] > 0 and 100 < written[1] / written[3] < 150


def test_streams_without_incremental_are_written_one_after_another() -> None:
    schedule = Schedule()
    schedule.add(5, 40_000, Priority(3, incremental=False))
    schedule.add(3, 40_000, Priority(3, incremental=False))
    schedule.add(7, 40_000, Priority(3))
    order = [stream for stream, _ in write_all(schedule)]
    ends = {stream: len(order) - order[::-1].index(stream) for stream in (3, 5, 7)}
    assert ends[3] < order.index(5) + 1, "5 starts after 3 has ended"
    assert ends[7] < ends[5], "7 shares bandwidth with both"


def test_stream_without_window_is_skipped_until_it_resumes() -> None:
    schedule = Schedule()
    for stream in (1, 3):
        schedule.add(stream, 20_000)
    windows = {1: 0, 3: 1 << 20}
    writes = [schedule.take(8192, windows.__getitem__) for _ in range(4)]
    assert [write and write[0] for write in writes] == [3, 3, 3, None]
    assert schedule.resume(1) and not schedule.resume(1)
    assert sum(count for _, count in write_all(schedule)) == 20_000


def test_streams_can_be_extended_and_dropped() -> None:
    schedule = Schedule()
    for stream in (1, 3, 5):
        schedule.add(stream, 30_000)
    assert schedule.take(100, UNLIMITED_WINDOW) == (1, 100)
    assert schedule.drop(5) == 30_000 and schedule.drop(5) == 0
    schedule.add(1, 10)
    assert schedule.unwritten_bytes(1) == 29_910 and len(schedule) == 2


@pytest.mark.parametrize(
    "text, expected",
    [
        ("", Priority(2, True)),
        ("u=5", Priority(5, False)),
        ("u=1, i", Priority(1, True)),
        ("i=?1;x=2,u=0", Priority(0, False)),
        ("i=?1", Priority(2, True)),
        ("i=?0, u=9", Priority(2, False)),
        ("nonsense", Priority(2, False)),
    ],
)
def test_priority_field_is_parsed(text: str, expected: Priority) -> None:
    assert parse_priority(text, Priority(2, True)) == expected


STEP = st.tuples(
    st.sampled_from(("add", "drop", "take", "take", "take", "shut", "allow")),
    st.integers(1, 8),
    st.integers(1, 60_000),
    st.integers(0, 7),
    st.booleans(),
)


@settings(max_examples=300, deadline=None)
@given(st.lists(STEP, max_size=150))
def test_bytes_are_conserved_and_no_stream_starves(steps: list[tuple[str, int, int, int, bool]]) -> None:
    schedule = Schedule()
    unwritten: Counter[int] = Counter()
    window: dict[int, int] = {}

    def take(max_bytes: int) -> tuple[int, int] | None:
        write = schedule.take(max_bytes, lambda stream: window.get(stream, 1 << 30))
        if write is not None:
            assert 0 < write[1] <= min(max_bytes, unwritten[write[0]], window.get(write[0], 1 << 30))
            unwritten[write[0]] -= write[1]
        return write

    for step, stream, size, urgency, incremental in steps:
        if step == "add":
            schedule.add(stream, size, Priority(urgency, incremental))
            unwritten[stream] += size
        elif step == "drop":
            assert schedule.drop(stream) == unwritten.pop(stream, 0)
        elif step == "take":
            if take(min(size, 16384)) is None:
                assert all(window.get(other, 1) == 0 for other, size_left in unwritten.items() if size_left)
        elif step == "shut":
            window[stream] = 0
        else:
            window.pop(stream, None)
            schedule.resume(stream)
        assert all(schedule.unwritten_bytes(other) == size_left for other, size_left in unwritten.items())
    for stream in list(window):
        window.pop(stream)
        schedule.resume(stream)
    # A stream with bytes to write does so within a bounded number of turns.
    waited_turns: Counter[int] = Counter()
    while (write := take(16384)) is not None:
        for stream, size_left in unwritten.items():
            waited_turns[stream] = 0 if stream == write[0] or not size_left else waited_turns[stream] + 1
        assert not waited_turns or max(waited_turns.values()) < 2000
    assert not any(unwritten.values()) and len(schedule) == 0
