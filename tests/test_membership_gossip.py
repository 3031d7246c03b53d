"""Gossip queue: retransmissions, priority and message size."""

from __future__ import annotations

from lupintack.membership.config import MembershipConfig
from lupintack.membership.gossip import GossipQueue, max_record_bytes
from lupintack.membership.view import State
from tests.support.membership import make_record


def test_each_change_is_sent_a_limited_number_of_times_within_the_byte_limit() -> None:
    queue = GossipQueue(MembershipConfig())
    for n in range(20):
        queue.add(make_record(f"n{n:02}", State.FAILED if n == 13 else State.ALIVE))
    first = queue.take(200, 100)
    assert first[0].name == "n13" and sum(map(max_record_bytes, first)) <= 200
    times_sent: dict[str, int] = {record.name: 1 for record in first}
    while records := queue.take(200, 100):
        for record in records:
            times_sent[record.name] = times_sent.get(record.name, 0) + 1
    assert set(times_sent.values()) == {queue.retransmit_limit(100)} and len(times_sent) == 20
