"""State machine of the membership: replays, acks, refutations and leaves."""

from __future__ import annotations

from random import Random

import pytest

from lupintack.membership.config import MembershipConfig
from lupintack.membership.messages import (
    DropReason,
    Message,
    MessageCodec,
    MessageKind,
    max_message_bytes,
)  # fmt: skip
from lupintack.membership.state_machine import Membership
from lupintack.membership.view import State
from tests.support.membership import make_record


def membership_with_peer() -> Membership:
    """Return the membership of router `a`, whose view contains one other router, `b`."""
    membership = Membership(make_record("a"), MembershipConfig(), Random(1), (), max_message_bytes)
    membership.start(0)
    membership.receive(200, Message(MessageKind.PING, "b", 5, 0, State.ALIVE, "s", "b:1", 10), 1000)
    return membership


def test_replays_and_earlier_processes_are_dropped_and_reordered_messages_accepted() -> None:
    membership = membership_with_peer()
    for sequence, start, reason in (
        (10, 5, DropReason.REPLAYED),
        (9, 5, None),
        (9, 5, DropReason.REPLAYED),
        (1, 4, DropReason.OLD),
    ):
        previous = dict(membership.drops)
        membership.receive(
            200, Message(MessageKind.PING, "b", start, 0, State.ALIVE, "s", "b:1", sequence), 2000
        )
        changed = [drop for drop in DropReason if membership.drops[drop] != previous[drop]]
        assert changed == ([reason] if reason else []), (sequence, start)
    membership.receive(200, Message(MessageKind.PING, "b", 5, 0, State.ALIVE, "s", "b:1", 200), 3000)
    membership.receive(200, Message(MessageKind.PING, "b", 5, 0, State.ALIVE, "s", "b:1", 100), 4000)
    assert membership.drops[DropReason.REPLAYED] == 3
    membership.receive(
        200, Message(MessageKind.PING, "a", membership.me.start, 0, State.ALIVE, "s", "a:1", 100), 4000
    )
    assert membership.drops[DropReason.SELF] == 1


@pytest.mark.parametrize("ping_bytes", [20, 110, 130, 400, 1200])
def test_ack_is_never_longer_than_its_ping(ping_bytes: int) -> None:
    membership = membership_with_peer()
    for n in range(40):
        membership._apply([make_record(f"long-name-{n}")], 1500)
    ping = Message(MessageKind.PING, "b", 5, 0, State.ALIVE, "s", "b:1", 11, nonce=7)
    acks = [m for _, _, m in membership.receive(ping_bytes, ping, 2000).sends if m.kind == MessageKind.ACK]
    assert all(len(MessageCodec("f", "s").encode(ack)) <= ping_bytes for ack in acks)
    assert len(acks) == (ping_bytes >= 110)


def test_own_suspicion_is_refuted_and_a_later_process_supersedes_the_router() -> None:
    membership = membership_with_peer()
    receiver_seen = (membership.me.start, membership.me.incarnation, int(State.FAILED))
    previous = membership.me.incarnation
    membership.receive(
        200,
        Message(MessageKind.ACK, "b", 5, 0, State.ALIVE, "s", "b:1", 12, receiver_seen=receiver_seen),
        2000,
    )
    assert membership.me.incarnation == previous + 1 and membership.me.state is State.ALIVE
    membership._apply([make_record("a", State.FAILED, membership.me.start, previous + 5)], 3000)
    membership.outbox.take_actions()
    assert membership.me.incarnation == previous + 6
    later_message = Message(MessageKind.PING, "a", membership.me.start + 1, 0, State.ALIVE, "s", "a:2", 1)
    actions = membership.receive(200, later_message, 4000)
    assert (
        membership.is_superseded
        and not actions.sends
        and not membership.tick(5000).sends
        and not membership.leave(6000).sends
    )


def test_leave_is_sent_immediately_and_rejoin_returns_to_alive() -> None:
    membership = membership_with_peer()
    actions = membership.leave(2000)
    assert {m.state for _, _, m in actions.sends} == {State.LEFT} and not membership.tick(400_000).sends
    rejoin_actions = membership.rejoin(500_000)
    assert membership.me.state is State.ALIVE and rejoin_actions.sends
