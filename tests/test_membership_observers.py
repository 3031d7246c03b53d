"""Assignment of observers by the observer rings."""

from __future__ import annotations

from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from lupintack.membership.observers import ObserverRings


@given(st.sets(st.integers(0, 99), min_size=2, max_size=40), st.data())
def test_every_member_has_observers_and_a_removal_changes_few_of_them(numbers: set[int], data: Any) -> None:
    names = [f"n{number}" for number in sorted(numbers)]
    rings = ObserverRings(6)
    for name in names:
        rings.add(name)
    for name in names:
        observers = rings.observers_of(name)
        assert name not in observers and 1 <= len(observers) <= 6
        assert all(name in rings.observed_by(observer) for observer in observers)
    previous = {name: set(rings.observers_of(name)) for name in names}
    removed = data.draw(st.sampled_from(names))
    rings.remove(removed)
    changed = [name for name in names if name != removed and set(rings.observers_of(name)) != previous[name]]
    assert len(changed) <= 6 and removed not in rings.names


def test_suspects_are_skipped_as_observers_and_replaced() -> None:
    rings = ObserverRings(6)
    for n in range(40):
        rings.add(f"n{n}")
    suspects = frozenset(rings.observers_of("n0"))
    replacements = rings.observers_of("n0", suspects)
    assert replacements and not suspects & set(replacements)
    assert all("n0" in rings.observed_by(observer, suspects) for observer in replacements)
