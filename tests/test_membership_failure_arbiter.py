"""Decisions of the failure arbiter on suspected routers."""

from __future__ import annotations

from typing import Any

import pytest

from lupintack.lab.simulated_fleet import SECOND
from lupintack.membership.config import MembershipConfig
from lupintack.membership.failure_arbiter import FailureArbiter, FailureReport, Suspicion
from lupintack.membership.view import State


def is_decided(
    reports: dict[str, tuple[bool, int]], minority: bool = False, sites: int = 3, observers: str = "abcdef"
) -> bool:
    """Return whether reports of (is_unreachable, silent_ms) remove a subject."""
    arbiter = FailureArbiter(MembershipConfig())
    for observer, (is_unreachable, silent_ms) in reports.items():
        arbiter.add_report(observer, "x", FailureReport(1, 0, is_unreachable, silent_ms * 1000, 0))
    suspicion = Suspicion("x", 1, 0, tuple(observers))
    site_of = lambda name: str(ord(name) % sites)  # noqa: E731
    decisions = [
        arbiter.decide(now_us, [suspicion], site_of, minority)
        for now_us in (0, 2 * SECOND, 2 * SECOND + 400_000)
    ]
    return any(decisions)


@pytest.mark.parametrize(("reports", "options", "is_failed"), [
    (dict.fromkeys("abcdef", (False, 5000)), {}, True),  # silence reaches 7.4 s at the last decision
    (dict.fromkeys("abcdef", (False, 4000)), {}, False),
    (dict.fromkeys("abcd", (False, 6000)), {}, False),  # fewer observers require a longer silence
    (dict.fromkeys("abcd", (False, 8500)), {}, True),
    (dict.fromkeys("abc", (False, 60_000)), {}, False),  # no quorum at any silence
    (dict.fromkeys("abcdef", (False, 60_000)), {"minority": True}, False),
    (dict.fromkeys("abcd", (True, 0)), {"minority": True}, True),  # refusals are a proof in a minority too
    (dict.fromkeys("abc", (True, 0)), {}, False),
    (dict.fromkeys("adgj", (True, 0)), {"observers": "adgjbe"}, False),  # all reports from one of three sites
    (dict.fromkeys("adgj", (True, 0)), {"observers": "adgj"}, True),  # all observers are in one site
    (dict.fromkeys("xyz", (True, 0)), {}, False),  # reports of routers that don't observe the subject
])  # fmt: skip
def test_failure_requires_a_quorum_from_several_sites_and_the_timeout(
    reports: dict[str, tuple[bool, int]], options: dict[str, Any], is_failed: bool
) -> None:
    assert is_decided(reports, **options) == is_failed


def test_failures_close_together_are_decided_together() -> None:
    arbiter = FailureArbiter(MembershipConfig())
    suspicions = [Suspicion(name, 1, 0, tuple("abcdef")) for name in "xy"]
    for observer in "abcdef":
        arbiter.add_report(observer, "x", FailureReport(1, 0, True, 0, 0))
    arbiter.add_report("a", "y", FailureReport(1, 0, True, 0, 0))
    assert arbiter.decide(0, suspicions, str, False) == []
    assert arbiter.decide(400_000, suspicions, str, False) == []  # the decision on y is imminent
    for observer in "bcdef":
        arbiter.add_report(observer, "y", FailureReport(1, 0, True, 0, 500_000))
    assert arbiter.decide(500_000, suspicions, str, False) == [("x", State.ENDED), ("y", State.ENDED)]
