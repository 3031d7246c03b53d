"""The core's timers: order and due times."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lupintack.core.timers import TimerKind, TimerQueue


def test_timer_is_not_due_before_its_time() -> None:
    timers = TimerQueue()
    assert not timers.is_due(10) and timers.pop_due(10) is None
    timers.set(10, TimerKind.ROUTER, 7)
    assert not timers.is_due(9) and timers.pop_due(9) is None
    assert timers.is_due(10)
    timer = timers.pop_due(10)
    assert timer is not None and (timer.kind, timer.token) == (TimerKind.ROUTER, 7)
    assert timers.pop_due(10) is None


@given(st.lists(st.integers(0, 5)))
def test_timers_are_popped_by_time_then_in_the_order_they_were_set(times: list[int]) -> None:
    timers = TimerQueue()
    for token, at_us in enumerate(times):
        timers.set(at_us, TimerKind.REQUEST_DEADLINE, token)
    popped = []
    while (timer := timers.pop_due(5)) is not None:
        popped.append((timer.at_us, timer.token))
    assert popped == sorted((at_us, token) for token, at_us in enumerate(times))
