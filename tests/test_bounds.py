"""A long run of small state: members, objects, purges and bans come and go; each table keeps its bound."""

from __future__ import annotations

from lupintack import policy
from lupintack.core import copies, roster
from lupintack.core.messages import Answer
from lupintack.core.roster import Host, Roster
from lupintack.interface import ListKind, MemberList, Purged, Request, State
from lupintack.lifecycle.bans import BACK_MS, Bans
from tests import helpers as h

RUNS = 6000


def test_members_that_come_and_go_by_thousands_are_forgotten() -> None:
    found = Roster(6000.0)
    for n in range(RUNS):
        host = Host(f"s-{n}", ("127.0.0.1", 1))
        found.pool(False, (host,))
        if n >= 20:
            found.pool(False, (Host(f"s-{n - 20}", None, state=State.GONE),))
    while not found.mailbox.empty():
        news = found.mailbox.get()
        assert news is not None
        found.heed(news)
    assert len(found.hosts) == len(found.listed) == 20


def test_the_module_keeps_what_is_listed_and_named_bounds_of_the_rest() -> None:
    made = h.router()
    for n in range(RUNS):
        now = 1000.0 + n * 20.0
        new, old = h.member(1000 + n), h.member(1000 + n - 20, state=State.GONE)
        made.handle(now, [MemberList(ListKind.DELTA, (new, old)), Purged(n + 1, 0, 0.0)])
        made.handle(now, [Request(n + 1, 0, n * 7919, now + 3000.0, 0.0, 0, n % 3)])
        made.finish(n + 1)
    assert len(made.peers) <= len(h.CACHES) + len(h.PARENTS) + 1 + 21
    assert len(made.last_seen) <= policy.LAST_SEEN and len(made.purged) <= policy.PURGES
    assert max(len(made.cache_boards), len(made.parent_boards), len(made.logs)) <= policy.BOARDS
    assert len(made.holds) <= policy.HOLDS and not made.pending
    seen = next(iter(made.last_seen.values()))
    assert made.now - seen <= policy.SEEN_MS + 20.0


def test_purges_and_copies_keep_their_bounds() -> None:
    found = Roster(6000.0)
    held = copies.Copies(100_000, 1e6)
    for n in range(roster.PURGES + 500):
        found.purge(n + 1, 0, 1e12)
        news = found.mailbox.get()
        assert news is not None
        found.heed(news)
        held.purge(n + 1, 0, 1.0)
        held.put((n, 0), 17, Answer(b"x" * 1000, "t", 2000))
    assert len(found.purged) <= roster.PURGES + 1 and len(held.purged) <= copies.PURGES
    assert held.bytes <= 100_000 and len(held.held) * (1000 + copies.OVERHEAD) == held.bytes


def test_who_came_back_is_forgotten_once_warm() -> None:
    bans = Bans()
    for n in range(RUNS):
        bans.exclude(f"s-{n}", n * 1000.0)
        bans.include(f"s-{n}", n * 1000.0)
    assert not bans.out and len(bans.back) <= BACK_MS / 1000.0 + 1
