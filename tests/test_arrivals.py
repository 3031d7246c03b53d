"""Bounds on arrival times: no byte is dated later than it arrived, for any order of arrivals and reads."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lupintack.arrivals import Arrivals
from lupintack.pauses import MIN_PAUSE_US, MIN_RECOVERY_US, PauseLog
from lupintack.sockets import ReceiveInfo


class Kernel:
    """Simulates the kernel's data about the bytes that arrive on one connection."""

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
        st.lists(
            st.tuples(st.integers(0, 500_000), st.integers(1, 20)), max_size=3
        ),  # gaps and lengths of arrivals before the check
        st.lists(
            st.tuples(st.integers(0, 500_000), st.integers(1, 20)), max_size=3
        ),  # and while the reader waits
        st.integers(0, 500_000),  # delay until the reader runs
        st.integers(1, 30),  # bytes of a read
    ),
    max_size=12,
)


@given(STEPS)
def test_no_byte_is_dated_later_than_it_arrived(
    steps: list[tuple[list[tuple[int, int]], list[tuple[int, int]], int, int]],
) -> None:
    """The reader may be delayed by any time: a pause may have begun right after its last check."""
    kernel, read = Kernel(), 0
    arrivals = Arrivals(kernel.now)
    for before, waiting, late_us, size in steps:
        for gap_us, length in before:
            kernel.now += gap_us
            kernel.arrive(length)
        checked_us = kernel.now
        arrivals.before_read(kernel.now, kernel.info())
        for gap_us, length in waiting:
            kernel.now += gap_us
            kernel.arrive(length)
        kernel.now += late_us
        length = min(size, len(kernel.arrived_us) - read)
        arrivals.after_read(length, kernel.now, kernel.info(), checked_us)
        for number in range(read, read + length):
            assert arrivals.consume(1) <= kernel.arrived_us[number]
        read += length


def test_single_segment_is_dated_exactly_after_a_late_read() -> None:
    kernel = Kernel()
    arrivals = Arrivals(kernel.now)
    arrivals.before_read(kernel.now, kernel.info())
    kernel.now += 1_000_000
    kernel.arrive(10)
    arrived_us = kernel.now
    kernel.now += 700_000
    arrivals.after_read(10, kernel.now, kernel.info(), 1_000_000)
    assert [arrivals.consume(1) for _ in range(10)] == [arrived_us] * 10


def test_without_pause_several_segments_are_dated_by_the_last() -> None:
    kernel = Kernel()
    arrivals = Arrivals(kernel.now)
    arrivals.before_read(kernel.now, kernel.info())
    kernel.now += 5_000_000
    kernel.arrive(10)
    kernel.arrive(10)
    arrivals.after_read(20, kernel.now, kernel.info())
    assert arrivals.consume(5) == kernel.now


def test_without_kernel_data_bytes_are_dated_by_the_read() -> None:
    arrivals = Arrivals(1000)
    arrivals.before_read(2000, None)
    arrivals.after_read(10, 9000, None)
    assert arrivals.consume(10) == 9000


# Pauses


def pause_log(*ticks_us: int) -> PauseLog:
    log = PauseLog()
    for now_us in ticks_us:
        log.tick(now_us)
    return log


def test_gap_between_ticks_is_a_pause_even_before_the_next_tick() -> None:
    log = pause_log(1_000_000, 1_010_000)
    assert log.paused_since_us(1_020_000) is None
    assert log.paused_since_us(1_010_001 + MIN_PAUSE_US) == 1_010_000
    log.tick(2_000_000)
    assert log.paused_since_us(2_000_000 + MIN_RECOVERY_US) == 1_010_000
    for now_us in range(2_010_000, 4_000_000, 10_000):
        log.tick(now_us)
    assert log.paused_since_us(4_000_000) is None


def test_consecutive_pauses_count_from_the_first() -> None:
    log = pause_log(1_000_000, 1_500_000, 1_502_000, 1_900_000)
    assert log.paused_since_us(1_901_000) == 1_000_000


def test_process_without_ticks_has_no_pause() -> None:
    assert PauseLog().paused_since_us(9_000_000) is None
