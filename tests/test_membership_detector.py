"""Failure detector: suspicion, ack timeouts and local pauses."""

from __future__ import annotations

from random import Random

from lupintack.lab.simulated_fleet import SECOND
from lupintack.membership.config import MembershipConfig
from lupintack.membership.detector import FailureDetector


def test_silent_router_is_suspected_until_a_message_is_received() -> None:
    config = MembershipConfig()
    detector = FailureDetector(config, Random(1))
    detector.observe(["a", "b"], 0)
    now_us = 0
    while not detector.suspected(now_us):
        now_us += 50_000
        for _, name, nonce in detector.due_probes(now_us):
            if name == "b":
                detector.on_ack("b", nonce, now_us + 300)
    assert [s.name for s in detector.suspected(now_us)] == ["a"] and now_us >= config.suspicion_timeout_us
    detector.mark_alive("a", now_us)
    assert not detector.suspected(now_us)
    detector.mark_unreachable("a")
    assert [s.name for s in detector.suspected(now_us)] == ["a"]
    detector.observe(["b"], now_us)
    assert set(detector.observed) == {"b"}


def test_late_acks_lengthen_the_timeout_and_a_local_pause_causes_no_suspicion() -> None:
    config = MembershipConfig()
    detector = FailureDetector(config, Random(1))
    detector.observe(["a"], 0)
    first_timeout_us = detector.ack_timeout_us(detector.observed["a"])
    sent_us_by_nonce: dict[int, int] = {}
    for now_us in range(0, 12 * SECOND, 50_000):
        for _, _, nonce in detector.due_probes(now_us):
            sent_us_by_nonce.setdefault(nonce, now_us)
        for nonce, sent_us in list(sent_us_by_nonce.items()):
            if now_us - sent_us >= 2 * SECOND:
                assert detector.on_ack("a", nonce, now_us)
                del sent_us_by_nonce[nonce]
    assert detector.ack_timeout_us(detector.observed["a"]) > 5 * first_timeout_us
    detector.on_local_pause(30 * SECOND, 42 * SECOND)
    assert not detector.suspected(42 * SECOND) and detector.health.score > 0
