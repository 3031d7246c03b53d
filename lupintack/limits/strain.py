"""How many of the fills that requests want are asked for, while many of them fail or come late. No I/O.

What fills share (the origin's link, a location's, a parent's) divides itself among all that run, so that too
many at once all come late, and not one more in time. A router sees few of them: it can't count what the
others have out, but it sees how its own fare, which is how everybody's do. Each router lets the same share
through, drawn fill by fill, so the sum over the fleet follows without anybody's knowing the fleet's size.
Times are the module's milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Terms:
    """When fewer are allowed, and how fast that changes."""

    at: float  # share of failed or overdue fills above which fewer are allowed, 0 to 1
    gain: float  # the allowed share rises by this after a good span, 0 to 1
    cut: float  # and is multiplied by this after a bad one
    floor: float  # but never falls below this: something must show when the strain is over
    span: float  # ms over which outcomes are judged together, at least
    least: int  # outcomes that a judgement wants


class Strain:
    """The fills of one kind of source. `allowed` is the share of them to ask for, from the floor to 1."""

    def __init__(self, terms: Terms) -> None:
        self.terms = terms
        self.allowed = 1.0
        self.good = self.bad = 0
        self.since = 0.0

    def book(self, now: float, bad: bool) -> None:
        """One outcome; after a span with enough of them the share follows."""
        self.bad += bad
        self.good += not bad
        total = self.good + self.bad
        if now - self.since < self.terms.span or total < self.terms.least:
            return
        if self.bad > self.terms.at * total:
            self.allowed = max(self.terms.floor, self.allowed * self.terms.cut)
        else:
            self.allowed = min(1.0, self.allowed + self.terms.gain)
        self.since, self.good, self.bad = now, 0, 0
