"""http2/schedule.py: urgency first, fair by bytes, nobody starves, and no byte is lost or made."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lupintack.http2.schedule import QUANTUM, Fifo, Priority, Schedule, parse_priority

ANY = lambda stream: 1 << 30  # noqa: E731


def drained(schedule: Schedule | Fifo, most: int = 16384) -> list[tuple[int, int]]:
    out = []
    while (one := schedule.take(most, ANY)) is not None:
        out.append(one)
    return out


def test_streams_share_by_bytes_whatever_their_sizes() -> None:
    schedule = Schedule()
    schedule.add(1, 1_000_000)
    schedule.add(3, 50_000)
    schedule.add(5, 1_000_000)
    got: Counter[int] = Counter()
    while got[3] < 50_000:
        one = schedule.take(16384, ANY)
        assert one is not None
        got[one[0]] += one[1]
    assert abs(got[1] - 50_000) <= 2 * QUANTUM and abs(got[5] - 50_000) <= 2 * QUANTUM


def test_the_urgent_overtakes_at_its_first_byte_and_fifo_lets_it_wait() -> None:
    for schedule, before in ((Schedule(), 1), (Fifo(), 1 + 50 * 8)):
        for n in range(50):
            schedule.add(2 * n + 1, 8 * 16384)
        schedule.take(16384, ANY)
        schedule.add(999, 40, Priority(0))
        order = [stream for stream, _ in drained(schedule)]
        assert order.index(999) + 1 <= before if before == 1 else order.index(999) > 300


def test_levels_below_go_on_while_an_urgent_one_is_busy() -> None:
    schedule = Schedule()
    schedule.add(1, 1 << 40, Priority(0))
    schedule.add(3, 1 << 40, Priority(7))
    got: Counter[int] = Counter()
    for _ in range(1000):
        stream, count = schedule.take(16384, ANY) or (0, 0)
        got[stream] += count
    assert got[3] > 0 and 100 < got[1] / got[3] < 150


def test_one_after_another_where_the_client_asks_for_it() -> None:
    schedule = Schedule()
    schedule.add(5, 40_000, Priority(3, shared=False))
    schedule.add(3, 40_000, Priority(3, shared=False))
    schedule.add(7, 40_000, Priority(3))
    order = [stream for stream, _ in drained(schedule)]
    ends = {stream: len(order) - order[::-1].index(stream) for stream in (3, 5, 7)}
    assert ends[3] < order.index(5) + 1, "5 begins when 3 is through"
    assert ends[7] < ends[5], "and 7 shares the line with them"


def test_a_shut_window_passes_the_turn_on_until_it_opens() -> None:
    schedule = Schedule()
    for stream in (1, 3):
        schedule.add(stream, 20_000)
    windows = {1: 0, 3: 1 << 20}
    taken = [schedule.take(8192, windows.__getitem__) for _ in range(4)]
    assert [one and one[0] for one in taken] == [3, 3, 3, None]
    assert schedule.resume(1) and not schedule.resume(1)
    assert sum(count for _, count in drained(schedule)) == 20_000


def test_streams_grow_and_go() -> None:
    schedule = Schedule()
    for stream in (1, 3, 5):
        schedule.add(stream, 30_000)
    assert schedule.take(100, ANY) == (1, 100)
    assert schedule.drop(5) == 30_000 and schedule.drop(5) == 0
    schedule.add(1, 10)
    assert schedule.unwritten_bytes(1) == 29_910 and len(schedule) == 2


@pytest.mark.parametrize(
    "text, wanted",
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
def test_the_priority_field(text: str, wanted: Priority) -> None:
    assert parse_priority(text, Priority(2, True)) == wanted


STEP = st.tuples(
    st.sampled_from(("add", "drop", "take", "take", "take", "shut", "allow")),
    st.integers(1, 8),
    st.integers(1, 60_000),
    st.integers(0, 7),
    st.booleans(),
)


@settings(max_examples=300, deadline=None)
@given(st.lists(STEP, max_size=150))
def test_bytes_are_conserved_and_nobody_starves(steps: list[tuple[str, int, int, int, bool]]) -> None:
    schedule = Schedule()
    due: Counter[int] = Counter()
    window: dict[int, int] = {}

    def take(most: int) -> tuple[int, int] | None:
        one = schedule.take(most, lambda stream: window.get(stream, 1 << 30))
        if one is not None:
            assert 0 < one[1] <= min(most, due[one[0]], window.get(one[0], 1 << 30))
            due[one[0]] -= one[1]
        return one

    for what, stream, size, urgency, shared in steps:
        if what == "add":
            schedule.add(stream, size, Priority(urgency, shared))
            due[stream] += size
        elif what == "drop":
            assert schedule.drop(stream) == due.pop(stream, 0)
        elif what == "take":
            if take(min(size, 16384)) is None:
                assert all(window.get(one, 1) == 0 for one, left in due.items() if left)
        elif what == "shut":
            window[stream] = 0
        else:
            window.pop(stream, None)
            schedule.resume(stream)
        assert all(schedule.unwritten_bytes(one) == left for one, left in due.items())
    for stream in list(window):
        window.pop(stream)
        schedule.resume(stream)
    # Whoever has something to write writes within a bounded number of turns, whatever the others have.
    late: Counter[int] = Counter()
    while (one := take(16384)) is not None:
        for stream, left in due.items():
            late[stream] = 0 if stream == one[0] or not left else late[stream] + 1
        assert not late or max(late.values()) < 2000
    assert not any(due.values()) and len(schedule) == 0
