"""Strategies and factories for tests of the membership."""

from __future__ import annotations

from hypothesis import strategies as st

from lupintack.membership.view import Record, State

RECORDS = st.builds(
    Record, st.sampled_from("abc"), st.integers(0, 3), st.integers(0, 3), st.sampled_from(State),
    st.sampled_from(("", "s")), st.sampled_from(("", "h:1")),
)  # fmt: skip


def make_record(
    name: str, state: State = State.ALIVE, start: int = 1, incarnation: int = 0, site: str = "s"
) -> Record:
    return Record(name, start, incarnation, state, site, f"{name}:1")
