"""Records and views: merging, size limit and view id."""

from __future__ import annotations

from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from lupintack.membership.view import Record, State, View, join, view_id_part
from tests.support.membership import RECORDS, make_record


@given(RECORDS, RECORDS, RECORDS)
def test_join_is_commutative_associative_and_idempotent(first: Record, second: Record, third: Record) -> None:
    second, third = second._replace(name=first.name), third._replace(name=first.name)
    assert join(first, second) == join(second, first)
    assert join(join(first, second), third) == join(first, join(second, third))
    assert join(first, first) == first


@given(st.lists(RECORDS, max_size=30), st.randoms(use_true_random=False))
def test_views_with_the_same_records_are_equal_and_their_id_matches_their_members(
    records: list[Record], random: Any
) -> None:
    first, second = View(8, 1000), View(8, 1000)
    for record in records:
        first.merge(record, 0)
    shuffled = [*records, *records[:5]]
    random.shuffle(shuffled)
    for record in shuffled:
        second.merge(record, 0)
    assert first.records == second.records and first.id == second.id and first.names == second.names
    counted = 0
    for name in first.names:
        counted ^= view_id_part(name, first.records[name].start)
    assert (
        counted == first.id
        and first.suspects <= first.names
        and not first.names & set(first.terminal_since_us)
    )


def test_left_overrides_failed_and_a_later_process_overrides_both() -> None:
    view = View(8, 1000)
    view.merge(make_record("a", State.LEFT), 0)
    assert not view.merge(make_record("a", State.FAILED), 1) and view.records["a"].state is State.LEFT
    assert view.merge(make_record("a", State.ALIVE, start=2), 2) and view.is_counted("a")
    assert not view.merge(make_record("a", State.FAILED, start=1, incarnation=9), 3)


def test_full_table_evicts_the_oldest_terminal_record_or_refuses_new_names() -> None:
    view = View(3, 1000)
    for n, name in enumerate("abc"):
        view.merge(make_record(name, State.FAILED if name != "c" else State.ALIVE), n)
    assert view.merge(make_record("d"), 10) and "a" not in view.records
    assert view.merge(make_record("e"), 11) and set(view.records) == {"c", "d", "e"}
    assert not view.merge(make_record("f"), 12) and view.refused == 1
    view.merge(make_record("d", State.LEFT), 20)
    assert view.expire(1019) == [] and view.expire(1020) == ["d"] and not view.terminal_since_us
