"""Tests limits/streams.py and limits/drain.py with tables of cases and with arbitrary sequences of steps."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from lupintack.limits.drain import GRACE_US, Drain, DrainPhase
from lupintack.limits.streams import (
    WRITE_RESERVE_DIVISOR,
    Cost,
    Due,
    StreamDecision,
    StreamTable,
    StreamTerms,
)

TERMS = StreamTerms(
    streams=4, open_requests=12, stream_bytes=100, connection_bytes=200, all_bytes=400, crawl_bytes=10
)
SECOND = 1_000_000


def open_streams(table: StreamTable, conn: int, count: int, free: int = 1000) -> list[StreamDecision]:
    return [table.open_stream(conn, 2 * n + 1, 0, free) for n in range(count)]


def test_streams_of_a_connection_are_limited() -> None:
    table = StreamTable(StreamTerms(streams=3))
    table.connect(1, 0)
    assert open_streams(table, 1, 4) == [StreamDecision.ACCEPT] * 3 + [StreamDecision.REFUSE]
    table.close_stream(1, 1, 0)
    assert table.open_stream(1, 9, 0, 1000) is StreamDecision.ACCEPT


def test_connection_with_most_streams_is_refused_first() -> None:
    """With 20 free requests a greedy connection gets half of them, and a new one is still accepted."""
    table = StreamTable(StreamTerms(streams=100, open_requests=20))
    for conn in (1, 2):
        table.connect(conn, 0)
    accepted_count = open_streams(table, 1, 30).count(StreamDecision.ACCEPT)
    assert accepted_count == 10
    assert table.open_stream(1, 99, 0, 1000) is StreamDecision.REFUSE
    assert table.open_stream(2, 1, 0, 1000) is StreamDecision.ACCEPT


def test_core_near_capacity_refuses_largest_connection_then_all() -> None:
    table = StreamTable(TERMS)
    table.connect(1, 0)
    assert table.open_stream(1, 1, 0, free=1) is StreamDecision.ACCEPT
    assert table.open_stream(1, 3, 0, free=1) is StreamDecision.REFUSE
    table.connect(2, 0)
    assert table.open_stream(2, 1, 0, free=1) is StreamDecision.ACCEPT
    assert table.open_stream(2, 3, 0, free=0) is StreamDecision.REFUSE


def test_bytes_are_limited_per_stream_connection_and_in_total_with_reserve_for_writes() -> None:
    table = StreamTable(TERMS)
    for conn in range(4):
        table.connect(conn, 0)
        open_streams(table, conn, 2)
    assert table.add_response_bytes(0, 1, 101, False) is StreamDecision.AT_CAPACITY
    assert table.add_response_bytes(0, 1, 100, False) is StreamDecision.ACCEPT
    assert table.add_response_bytes(0, 3, 100, False) is StreamDecision.ACCEPT
    assert table.add_response_bytes(1, 1, 100, False) is StreamDecision.ACCEPT
    assert table.add_response_bytes(2, 1, 60, False) is StreamDecision.AT_CAPACITY, (
        "an eighth is reserved for writes"
    )
    assert table.add_response_bytes(2, 1, 60, True) is StreamDecision.ACCEPT
    table.release_response_bytes(0, 1, 100)
    assert table.bytes == 260
    table.disconnect(0)
    assert table.bytes == 160 and table.open == 6


def test_request_body_counts_until_core_has_it() -> None:
    table = StreamTable(TERMS)
    table.connect(1, 0)
    open_streams(table, 1, 1)
    assert table.add_request_bytes(1, 1, 150) is StreamDecision.ACCEPT
    assert table.add_request_bytes(1, 1, 60) is StreamDecision.REFUSE
    table.accept_request(1, 1)
    assert table.bytes == 0


def test_frame_budgets_limit_burst_and_rate() -> None:
    table = StreamTable(StreamTerms(resets_per_s=2, resets_burst=3))
    table.connect(1, 0)
    decisions = [table.charge(1, Cost.RESET, 0) for _ in range(4)]
    assert decisions == [StreamDecision.ACCEPT] * 3 + [StreamDecision.CALM]
    assert table.charge(1, Cost.RESET, SECOND // 2) is StreamDecision.ACCEPT
    assert table.charge(1, Cost.RESET, SECOND // 2) is StreamDecision.CALM
    assert table.charge(1, Cost.CONTROL, SECOND // 2) is StreamDecision.ACCEPT, "each cost has its own budget"


def due(table: StreamTable, now: int) -> list[tuple[int, Due]]:
    return [(stream, reason) for _, stream, reason in table.due(now)]


def test_closed_or_slowly_opening_window_ends_only_its_stream() -> None:
    table = StreamTable(TERMS)
    table.connect(1, 0)
    open_streams(table, 1, 3)
    for stream in (1, 3, 5):
        table.accept_request(1, stream)
    for stream in (1, 3):
        table.add_response_bytes(1, stream, 40, False)
    table.on_window_closed(1, 1, 0)
    for second in range(11):  # the window of stream 3 opens briefly each second
        table.on_window_closed(1, 3, second * SECOND)
        table.on_window_opened(1, 3, (second + 1) * SECOND)
        table.release_response_bytes(1, 3, 0)
    assert due(table, 10 * SECOND) == [(3, Due.STALLED)]
    assert due(table, 10 * SECOND + 1) == [(1, Due.STALLED), (3, Due.STALLED)]
    table.release_response_bytes(1, 3, 10)  # enough bytes reset the timer
    assert due(table, 10 * SECOND + 1) == [(1, Due.STALLED)]


def test_connection_timeouts() -> None:
    terms = StreamTerms(age_us=100 * SECOND, age_jitter=0.1, idle_us=60 * SECOND)
    table = StreamTable(terms)
    table.connect(1, 0, chance=0.5)
    assert due(table, 2 * SECOND) == []
    assert due(table, 2 * SECOND + 1) == [(0, Due.FIRST_LATE)]
    table.open_stream(1, 1, 0, 10)
    assert due(table, 2 * SECOND + 1) == [(1, Due.BODY_LATE)]
    table.accept_request(1, 1)
    assert due(table, 95 * SECOND) == []
    assert due(table, 95 * SECOND + 1) == [(0, Due.AGED)]
    table.close_stream(1, 1, 20 * SECOND)
    assert due(table, 80 * SECOND + 1) == [(0, Due.IDLE)]
    table.on_window_closed(1, 0, 81 * SECOND)
    assert due(table, 91 * SECOND + 1) == [(0, Due.SHUT)]


def test_eviction_prefers_connections_without_requests_then_longest_idle() -> None:
    table = StreamTable(TERMS)
    for conn in (1, 2, 3, 4):
        table.connect(conn, conn)
    for conn in (1, 2, 3):
        table.open_stream(conn, 1, 10, 100)
    table.close_stream(2, 1, 30)
    table.close_stream(1, 1, 40)
    assert table.longest_idle(40, 40) is None
    assert table.longest_idle(100, 40) == 4
    table.disconnect(4)
    assert table.longest_idle(100, 40) == 2


def test_drain_sends_two_goaways_and_completes_once() -> None:
    drain = Drain()
    assert drain.accepts_streams() and not drain.finalize(0, immediately=True)
    assert drain.begin(5) and not drain.begin(6)
    assert drain.accepts_streams() and not drain.finalize(5 + GRACE_US - 1)
    assert drain.finalize(6, ping_acknowledged=True) and not drain.finalize(10**9)
    assert not drain.accepts_streams() and not drain.complete(1, 0) and not drain.complete(0, 1)
    assert drain.complete(0, 0) and not drain.complete(0, 0) and drain.phase is DrainPhase.CLOSED


STEP = st.tuples(
    st.sampled_from(
        (
            "connect",
            "disconnect",
            "open_stream",
            "add_request_bytes",
            "accept_request",
            "add_response_bytes",
            "release_response_bytes",
            "close_stream",
            "on_window_closed",
            "on_window_opened",
        )
    ),
    st.integers(0, 4),
    st.integers(0, 6),
    st.integers(0, 120),
)


@settings(max_examples=300, deadline=None)
@given(st.lists(STEP, max_size=120), st.sampled_from((0.2, 1.0, 3.0)))
def test_limits_and_totals_hold_for_arbitrary_steps(
    steps: list[tuple[str, int, int, int]], share: float
) -> None:
    terms = StreamTerms(
        streams=4, share=share, open_requests=12, stream_bytes=100, connection_bytes=200, all_bytes=400
    )
    table = StreamTable(terms)
    for now, (step, conn, stream, count) in enumerate(steps):
        free = 20 - table.open
        if step == "connect":
            table.disconnect(conn)
            table.connect(conn, now)
        elif step == "disconnect":
            table.disconnect(conn)
        elif step == "open_stream":
            account = table.accounts.get(conn)
            if account is None or stream not in account.streams:
                open_count = len(account.streams) if account else 0
                decision = table.open_stream(conn, stream, now, free)
                if (
                    account is not None
                    and not open_count
                    and not account.bytes
                    and free > 0
                    and table.open < 12 * share
                ):
                    assert decision is StreamDecision.ACCEPT or table.open >= 12, (
                        "a new connection is accepted while there is capacity"
                    )
        elif step == "add_request_bytes":
            table.add_request_bytes(conn, stream, count)
        elif step == "add_response_bytes":
            decision = table.add_response_bytes(conn, stream, count, write=False)
            if decision is StreamDecision.ACCEPT:
                assert table.bytes <= terms.all_bytes
        elif step == "release_response_bytes":
            table.release_response_bytes(conn, stream, count)
        elif step in ("on_window_closed", "on_window_opened"):
            getattr(table, step)(conn, stream, now)
        else:
            getattr(table, step)(conn, stream, *([now] if step == "close_stream" else []))
        accounts = table.accounts.values()
        assert table.open == sum(len(a.streams) for a in accounts) <= terms.open_requests
        assert 0 <= table.bytes == sum(a.bytes for a in accounts) <= terms.all_bytes
        for account in accounts:
            assert len(account.streams) <= terms.streams
            assert (
                account.bytes
                == sum(h.request_bytes + h.response_bytes for h in account.streams.values())
                <= terms.connection_bytes
            )
            assert all(h.response_bytes <= terms.stream_bytes for h in account.streams.values())


@given(st.lists(st.integers(0, 2 * SECOND), max_size=200), st.integers(1, 50), st.integers(1, 20))
def test_frame_budget_accepts_at_most_burst_and_rate(gaps: list[int], per_s: int, burst: int) -> None:
    table = StreamTable(StreamTerms(controls_per_s=per_s, controls_burst=burst))
    table.connect(1, 0)
    now = accepted = 0
    for gap in gaps:
        now += gap
        accepted += table.charge(1, Cost.CONTROL, now) is StreamDecision.ACCEPT
        assert accepted <= burst + now * per_s / SECOND
    assert WRITE_RESERVE_DIVISOR > 1
