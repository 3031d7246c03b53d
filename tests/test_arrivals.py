"""Bounds on arrivals never lie: no byte counts as younger than it is, whatever arrives and is read when."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lupintack.arrivals import Arrivals
from lupintack.pauses import MIN_PAUSE_US, MIN_RECOVERY_US, PauseLog
from lupintack.sockets import ReceiveInfo


class Kernel:
    """What arrives on one connection, and when."""

    def __init__(self) -> None:
        self.now = 1_000_000
        self.arrived_us: list[int] = []  # of each byte
        self.segments = 0

    def arrive(self, length: int) -> None:
        self.arrived_us += [self.now] * length
        self.segments += 1

    def info(self) -> ReceiveInfo:
        last = self.arrived_us[-1] if self.arrived_us else self.now
        return ReceiveInfo(self.now - last, len(self.arrived_us), self.segments)


STEPS = st.lists(
    st.tuples(
        st.lists(st.tuples(st.integers(0, 500_000), st.integers(1, 20)), max_size=3),  # before the look
        st.lists(st.tuples(st.integers(0, 500_000), st.integers(1, 20)), max_size=3),  # while it waits
        st.integers(0, 500_000),  # until the reader comes
        st.integers(1, 30),  # bytes of a read
    ),
    max_size=12,
)


@given(STEPS)
def test_no_byte_counts_as_younger_than_it_is(
    steps: list[tuple[list[tuple[int, int]], list[tuple[int, int]], int, int]],
) -> None:
    """With a reader that may be late by any time: what may have paused it began with its last look."""
    kernel, read = Kernel(), 0
    arrivals = Arrivals(kernel.now)
    for before, waiting, late_us, size in steps:
        for gap_us, length in before:
            kernel.now += gap_us
            kernel.arrive(length)
        looked_us = kernel.now
        arrivals.before_read(kernel.now, kernel.info())
        for gap_us, length in waiting:
            kernel.now += gap_us
            kernel.arrive(length)
        kernel.now += late_us
        length = min(size, len(kernel.arrived_us) - read)
        arrivals.after_read(length, kernel.now, kernel.info(), looked_us)
        for number in range(read, read + length):
            assert arrivals.consume(1) <= kernel.arrived_us[number]
        read += length


def test_one_segment_is_dated_exactly_however_late_it_is_read() -> None:
    kernel = Kernel()
    arrivals = Arrivals(kernel.now)
    arrivals.before_read(kernel.now, kernel.info())
    kernel.now += 1_000_000
    kernel.arrive(10)
    came_us = kernel.now
    kernel.now += 700_000
    arrivals.after_read(10, kernel.now, kernel.info(), 1_000_000)
    assert [arrivals.consume(1) for _ in range(10)] == [came_us] * 10


def test_without_a_pause_several_segments_are_as_young_as_the_last() -> None:
    kernel = Kernel()
    arrivals = Arrivals(kernel.now)
    arrivals.before_read(kernel.now, kernel.info())
    kernel.now += 5_000_000
    kernel.arrive(10)
    kernel.arrive(10)
    arrivals.after_read(20, kernel.now, kernel.info())
    assert arrivals.consume(5) == kernel.now


def test_a_kernel_that_tells_nothing_dates_by_the_read() -> None:
    arrivals = Arrivals(1000)
    arrivals.before_read(2000, None)
    arrivals.after_read(10, 9000, None)
    assert arrivals.consume(10) == 9000


# Pauses


def ticked(*moments_us: int) -> PauseLog:
    log = PauseLog()
    for now_us in moments_us:
        log.tick(now_us)
    return log


def test_a_gap_between_ticks_is_a_pause_also_before_the_ticking_thread_runs_again() -> None:
    log = ticked(1_000_000, 1_010_000)
    assert log.paused_since_us(1_020_000) is None
    assert log.paused_since_us(1_010_001 + MIN_PAUSE_US) == 1_010_000
    log.tick(2_000_000)
    assert log.paused_since_us(2_000_000 + MIN_RECOVERY_US) == 1_010_000
    for now_us in range(2_010_000, 4_000_000, 10_000):
        log.tick(now_us)
    assert log.paused_since_us(4_000_000) is None


def test_two_pauses_in_a_row_count_from_the_first() -> None:
    log = ticked(1_000_000, 1_500_000, 1_502_000, 1_900_000)
    assert log.paused_since_us(1_901_000) == 1_000_000


def test_a_process_that_does_not_tick_has_no_pause() -> None:
    assert PauseLog().paused_since_us(9_000_000) is None
