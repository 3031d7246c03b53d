"""What one router uses of budgets that the fleet shares: a cold member's, and fills at the store. No I/O.

A cold member's budget is a rate: work (ms of sending) for each ms, of which a router has a part. The part is
either a lease's (a share of the whole, docs/budgets.md), or follows from how many routers there are. Fills at
the store are things out at once. Both keep count of what was wanted, also in vain: by that the fleet divides.
Times are the module's milliseconds.
"""

from __future__ import annotations

import math
from hashlib import blake2b

WANT_MS = 2000.0  # span over which what was wanted is counted: two of the slowest fills


def part(whole: float, routers: int, processes: int, lease: float) -> float:
    """This process's part of a cold member's rate; the sum over all that go by one count, or by leases, is at
    most `whole`.

    `lease`: the share that a lease gives, 0 to 1; negative: there is none, and the numbers decide.
    """
    if lease >= 0.0:
        return whole * min(1.0, lease)  # each process has its own lease, also the two of an upgrade
    return whole / routers / processes


class Turns:
    """One call at a time for a router whose part of a cold member's budget is less than one.

    Danger: parts under one call that nobody may spend leave a member unused until it is half warm, and saved
    up for a whole call by each, they are all spent in one moment. So a call is had on credit, once in the
    budget's span, by a draw that succeeds for as large a part of the routers as their part of a call is; the
    debt is paid before the next one. The draws follow from `key`, the router's own number and the member's:
    routers that are alike in all else, also in their seeds, must not draw alike.
    """

    __slots__ = ("draw", "key", "most", "until")

    def __init__(self, key: int) -> None:
        """`key`: 64 bits, another for each router and member."""
        self.key = key
        self.most = 0.0  # what the router may have saved up, ms of sending
        self.draw = 1.0
        self.until = -math.inf

    def may(self, have: float, need: float, now: float, span: float) -> bool:
        """Whether a call of `need` may be sent with `have` saved up; the draw stands for a span."""
        if self.most >= need or have <= 0.0:
            return False
        if now >= self.until:
            first = self.until == -math.inf
            # The first turn is shorter, or all that were told of the member in one moment would draw in one.
            self.until = now + span * (self.random() if first else 1.0)
            self.draw = self.random()
        return have >= self.draw * need

    def random(self) -> float:
        """The next number from 0 to 1; 0 is none of them."""
        self.key = int.from_bytes(blake2b(self.key.to_bytes(8, "big"), digest_size=8).digest(), "big")
        return (self.key + 1) / 2.0**64


class Wanted:
    """How much of a rate was wanted of late, whether it was had or not."""

    __slots__ = ("at", "level")

    def __init__(self) -> None:
        self.level = 0.0  # ms of sending, fading
        self.at = 0.0

    def add(self, work: float, now: float) -> None:
        """One more wish for this much work."""
        self.level = self.level * math.exp((self.at - now) / WANT_MS) + work if self.level else work
        self.at = now

    def share(self, whole: float, now: float) -> float:
        """Of a rate `whole`: 0 for nothing wanted; it may pass 1."""
        if whole <= 0.0 or not self.level:
            return 0.0
        return self.level * math.exp((self.at - now) / WANT_MS) / WANT_MS / whole


class Store:
    """Fills at the store that are out, under a most; what is out when the most falls ends by itself."""

    __slots__ = ("at", "out", "peak")

    def __init__(self) -> None:
        self.out = 0
        self.peak = 0.0  # of what was wanted at once, fading
        self.at = 0.0

    def take(self, most: int, now: float) -> bool:
        """Room for one more, and it is out; `most` negative: no bound."""
        self.peak, self.at = max(self.wanted(now), self.out + 1.0), now
        if 0 <= most <= self.out:
            return False
        self.out += 1
        return True

    def back(self, fills: bool) -> None:
        """An attempt has ended; whether it was one of them."""
        self.out -= fills

    def wanted(self, now: float) -> float:
        """How many were wanted at once of late."""
        return max(float(self.out), self.peak * math.exp((self.at - now) / WANT_MS))
