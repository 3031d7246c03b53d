"""Unit tests of the retention priority by the gap since the last request and the size."""

from __future__ import annotations

import pytest

from lupintack.decisions import popularity
from lupintack.decisions.popularity import Popularity, PopularityRanker

FIRST = Popularity(popularity.PRIORITY_FIRST_REQUEST, True)
REPEATED = Popularity(popularity.PRIORITY_REPEATED, False)
POPULAR = Popularity(popularity.PRIORITY_POPULAR, False)


@pytest.mark.parametrize(
    ("requests", "expected"),
    [
        ([(5, 0, 10.0, 0.0)], FIRST),
        ([(5, 0, 10.0, 0.0), (5, 1, 10.0, 1.0)], FIRST),  # another part
        ([(5, 0, 10.0, 0.0), (5, 0, 10.0, 1000.0)], REPEATED),  # the first repeat sets the threshold
        ([(5, 0, 10.0, 0.0), (5, 0, 10.0, 1000.0), (5, 0, 10.0, 1010.0)], POPULAR),  # a shorter gap
        ([(5, 0, 10.0, 0.0), (5, 0, 10.0, 1000.0), (5, 0, 10.0, 9000.0)], REPEATED),  # a longer gap
        ([(5, 0, 10.0, 0.0), (5, 0, 10.0, 1000.0), (5, 0, 900.0, 2000.0)], REPEATED),  # a greater size
        (
            [(5, 0, 10.0, 0.0), (6, 0, 10.0, 61_000.0), (5, 0, 10.0, 61_001.0)],
            FIRST,
        ),  # no longer in the history
    ],
)
def test_priority_of_last_request(
    requests: list[tuple[int, int, float, float]], expected: Popularity
) -> None:
    ranker = PopularityRanker()
    results = [ranker.rank(object_id, part, size, False, now) for object_id, part, size, now in requests]
    assert results[-1] == expected


def test_write_is_not_retained_but_recorded() -> None:
    ranker = PopularityRanker()
    assert ranker.rank(5, 0, 10.0, True, 0.0) == Popularity(popularity.NOT_RETAINED, False)
    assert ranker.rank(5, 0, 10.0, False, 10.0).retention_priority != popularity.PRIORITY_FIRST_REQUEST


def test_quarter_of_repeated_requests_gets_highest_priority() -> None:
    ranker = PopularityRanker()
    now, top = 0.0, 0
    for n in range(8000):
        now += 1.0 + n * 7919 % 997
        top += ranker.rank(5, 0, 10.0, False, now).retention_priority == popularity.PRIORITY_POPULAR
    assert 0.2 < top / 8000 < 0.3
