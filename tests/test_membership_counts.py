"""Counting of the routers that share a budget."""

from __future__ import annotations

from lupintack.membership.changes import FleetMember, MembershipChange
from lupintack.membership.counts import RouterCounter


def make_change(names: str, minority: bool = False) -> MembershipChange:
    return MembershipChange(
        1, tuple(FleetMember(n, "s" if n < "c" else "t") for n in names), (), (), 0, minority, False, 1
    )


def test_counts_rise_immediately_and_fall_after_the_delay_only_when_certain() -> None:
    counter = RouterCounter("a", "s", ("s", "t"), removal_delay_us=100)
    initial = counter.counts_to_publish(0)
    assert initial is not None and (initial.siblings, initial.by_zone, initial.position) == (1, (1, 0), 0)
    counter.on_change(make_change("abcd"), 0)
    increased = counter.counts_to_publish(0)
    assert (
        increased is not None
        and (increased.siblings, increased.by_zone) == (4, (2, 2))
        and counter.counts_to_publish(0) is None
    )
    counter.on_change(make_change("ab"), 10)
    assert counter.counts_to_publish(109) is None
    counter.on_change(make_change("ab", minority=True), 109)
    assert counter.counts_to_publish(500) is None
    counter.on_change(make_change("ab"), 501)
    assert counter.counts_to_publish(550) is None
    decreased = counter.counts_to_publish(601)
    assert decreased is not None and (decreased.siblings, decreased.by_zone) == (2, (2, 0))
