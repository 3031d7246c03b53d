"""limits/streams.py and limits/drain.py: tables of cases, and rules over arbitrary sequences."""

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


def filled(book: StreamTable, conn: int, count: int, free: int = 1000) -> list[StreamDecision]:
    return [book.open_stream(conn, 2 * n + 1, 0, free) for n in range(count)]


def test_a_connection_has_its_streams_and_no_more() -> None:
    book = StreamTable(StreamTerms(streams=3))
    book.connect(1, 0)
    assert filled(book, 1, 4) == [StreamDecision.ACCEPT] * 3 + [StreamDecision.REFUSE]
    book.close_stream(1, 1, 0)
    assert book.open_stream(1, 9, 0, 1000) is StreamDecision.ACCEPT


def test_the_connection_that_holds_most_is_turned_away_first() -> None:
    """With 20 free requests a greedy connection ends at half, and a newcomer still gets in."""
    book = StreamTable(StreamTerms(streams=100, open_requests=20))
    for conn in (1, 2):
        book.connect(conn, 0)
    taken = filled(book, 1, 30).count(StreamDecision.ACCEPT)
    assert taken == 10
    assert book.open_stream(1, 99, 0, 1000) is StreamDecision.REFUSE
    assert book.open_stream(2, 1, 0, 1000) is StreamDecision.ACCEPT


def test_a_full_core_refuses_whom_holds_most_and_then_all() -> None:
    book = StreamTable(TERMS)
    book.connect(1, 0)
    assert book.open_stream(1, 1, 0, free=1) is StreamDecision.ACCEPT
    assert book.open_stream(1, 3, 0, free=1) is StreamDecision.REFUSE
    book.connect(2, 0)
    assert book.open_stream(2, 1, 0, free=1) is StreamDecision.ACCEPT
    assert book.open_stream(2, 3, 0, free=0) is StreamDecision.REFUSE


def test_bytes_are_bounded_by_stream_connection_and_in_all_with_a_reserve_for_writes() -> None:
    book = StreamTable(TERMS)
    for conn in range(4):
        book.connect(conn, 0)
        filled(book, conn, 2)
    assert book.add_response_bytes(0, 1, 101, False) is StreamDecision.AT_CAPACITY
    assert book.add_response_bytes(0, 1, 100, False) is StreamDecision.ACCEPT
    assert book.add_response_bytes(0, 3, 100, False) is StreamDecision.ACCEPT
    assert book.add_response_bytes(1, 1, 100, False) is StreamDecision.ACCEPT
    assert book.add_response_bytes(2, 1, 60, False) is StreamDecision.AT_CAPACITY, "reads leave an eighth"
    assert book.add_response_bytes(2, 1, 60, True) is StreamDecision.ACCEPT
    book.release_response_bytes(0, 1, 100)
    assert book.bytes == 260
    book.disconnect(0)
    assert book.bytes == 160 and book.open == 6


def test_a_request_body_counts_until_the_core_has_it() -> None:
    book = StreamTable(TERMS)
    book.connect(1, 0)
    filled(book, 1, 1)
    assert book.add_request_bytes(1, 1, 150) is StreamDecision.ACCEPT
    assert book.add_request_bytes(1, 1, 60) is StreamDecision.REFUSE
    book.accept_request(1, 1)
    assert book.bytes == 0


def test_budgets_hold_bursts_and_rates() -> None:
    book = StreamTable(StreamTerms(resets_per_s=2, resets_burst=3))
    book.connect(1, 0)
    spent = [book.charge(1, Cost.RESET, 0) for _ in range(4)]
    assert spent == [StreamDecision.ACCEPT] * 3 + [StreamDecision.CALM]
    assert book.charge(1, Cost.RESET, SECOND // 2) is StreamDecision.ACCEPT
    assert book.charge(1, Cost.RESET, SECOND // 2) is StreamDecision.CALM
    assert book.charge(1, Cost.CONTROL, SECOND // 2) is StreamDecision.ACCEPT, "each kind has its own"


def due(book: StreamTable, now: int) -> list[tuple[int, Due]]:
    return [(stream, what) for _, stream, what in book.due(now)]


def test_a_window_that_stays_shut_or_opens_by_a_byte_ends_the_stream_and_only_it() -> None:
    book = StreamTable(TERMS)
    book.connect(1, 0)
    filled(book, 1, 3)
    for stream in (1, 3, 5):
        book.accept_request(1, stream)
    for stream in (1, 3):
        book.add_response_bytes(1, stream, 40, False)
    book.on_window_closed(1, 1, 0)
    for second in range(11):  # stream 3 crawls: a byte a second, and shut again
        book.on_window_closed(1, 3, second * SECOND)
        book.on_window_opened(1, 3, (second + 1) * SECOND)
        book.release_response_bytes(1, 3, 0)
    assert due(book, 10 * SECOND) == [(3, Due.STALLED)]
    assert due(book, 10 * SECOND + 1) == [(1, Due.STALLED), (3, Due.STALLED)]
    book.release_response_bytes(1, 3, 10)  # real progress clears it
    assert due(book, 10 * SECOND + 1) == [(1, Due.STALLED)]


def test_what_time_brings_to_a_connection() -> None:
    terms = StreamTerms(age_us=100 * SECOND, age_jitter=0.1, idle_us=60 * SECOND)
    book = StreamTable(terms)
    book.connect(1, 0, chance=0.5)
    assert due(book, 2 * SECOND) == []
    assert due(book, 2 * SECOND + 1) == [(0, Due.FIRST_LATE)]
    book.open_stream(1, 1, 0, 10)
    assert due(book, 2 * SECOND + 1) == [(1, Due.BODY_LATE)]
    book.accept_request(1, 1)
    assert due(book, 95 * SECOND) == []
    assert due(book, 95 * SECOND + 1) == [(0, Due.AGED)]
    book.close_stream(1, 1, 20 * SECOND)
    assert due(book, 80 * SECOND + 1) == [(0, Due.IDLE)]
    book.on_window_closed(1, 0, 81 * SECOND)
    assert due(book, 91 * SECOND + 1) == [(0, Due.SHUT)]


def test_room_is_made_by_who_never_asked_then_by_the_longest_idle() -> None:
    book = StreamTable(TERMS)
    for conn in (1, 2, 3, 4):
        book.connect(conn, conn)
    for conn in (1, 2, 3):
        book.open_stream(conn, 1, 10, 100)
    book.close_stream(2, 1, 30)
    book.close_stream(1, 1, 40)
    assert book.longest_idle(40, 40) is None
    assert book.longest_idle(100, 40) == 4
    book.disconnect(4)
    assert book.longest_idle(100, 40) == 2


def test_a_drain_tells_twice_and_ends_once() -> None:
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
def test_no_bound_is_passed_and_sums_are_kept(steps: list[tuple[str, int, int, int]], share: float) -> None:
    terms = StreamTerms(
        streams=4, share=share, open_requests=12, stream_bytes=100, connection_bytes=200, all_bytes=400
    )
    book = StreamTable(terms)
    for now, (what, conn, stream, count) in enumerate(steps):
        free = 20 - book.open
        if what == "connect":
            book.disconnect(conn)
            book.connect(conn, now)
        elif what == "disconnect":
            book.disconnect(conn)
        elif what == "open_stream":
            account = book.accounts.get(conn)
            if account is None or stream not in account.streams:
                held = len(account.streams) if account else 0
                verdict = book.open_stream(conn, stream, now, free)
                if (
                    account is not None
                    and not held
                    and not account.bytes
                    and free > 0
                    and book.open < 12 * share
                ):
                    assert verdict is StreamDecision.ACCEPT or book.open >= 12, (
                        "a newcomer gets in while there is room"
                    )
        elif what == "add_request_bytes":
            book.add_request_bytes(conn, stream, count)
        elif what == "add_response_bytes":
            verdict = book.add_response_bytes(conn, stream, count, write=False)
            if verdict is StreamDecision.ACCEPT:
                assert book.bytes <= terms.all_bytes
        elif what == "release_response_bytes":
            book.release_response_bytes(conn, stream, count)
        elif what in ("on_window_closed", "on_window_opened"):
            getattr(book, what)(conn, stream, now)
        else:
            getattr(book, what)(conn, stream, *([now] if what == "close_stream" else []))
        accounts = book.accounts.values()
        assert book.open == sum(len(a.streams) for a in accounts) <= terms.open_requests
        assert 0 <= book.bytes == sum(a.bytes for a in accounts) <= terms.all_bytes
        for account in accounts:
            assert len(account.streams) <= terms.streams
            assert (
                account.bytes
                == sum(h.request_bytes + h.response_bytes for h in account.streams.values())
                <= terms.connection_bytes
            )
            assert all(h.response_bytes <= terms.stream_bytes for h in account.streams.values())


@given(st.lists(st.integers(0, 2 * SECOND), max_size=200), st.integers(1, 50), st.integers(1, 20))
def test_a_budget_gives_no_more_than_burst_and_rate(gaps: list[int], per_s: int, burst: int) -> None:
    book = StreamTable(StreamTerms(controls_per_s=per_s, controls_burst=burst))
    book.connect(1, 0)
    now = given_out = 0
    for gap in gaps:
        now += gap
        given_out += book.charge(1, Cost.CONTROL, now) is StreamDecision.ACCEPT
        assert given_out <= burst + now * per_s / SECOND
    assert WRITE_RESERVE_DIVISOR > 1
