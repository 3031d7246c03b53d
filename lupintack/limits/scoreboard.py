"""Which member of a tier an object belongs to: weighted rendezvous hashing, ranked as far as is asked. Pure.

Each member has a score for each object, one hash of the two ids; the highest is first (Thaler and
Ravishankar, "Using name-based mappings to increase hit rates", 1998; with weights: Schindelhauer and
Schomaker, 2005). Every router ranks alike, and a member that comes or goes moves no object but its own.

A score's highest byte comes by simple tabulation hashing (Zobrist; Patrascu and Thorup, 2012): for each of
TABLES bytes of the member's own hash, a table that the object gives. The byte is worked out for all members
at once, by a few calls of the interpreter's own C code, and the rest of the score only for those that it
leaves among the best. So a tier may have thousands of members, each of which costs some nanoseconds.
"""

from __future__ import annotations

import math
import re
from array import array
from bisect import bisect_left
from collections.abc import Callable, Iterable
from functools import cache
from hashlib import blake2b, shake_128
from typing import Generic, Protocol, TypeVar

TABLES = 4  # bytes of a member's own hash; two members that share all of them share the highest byte
BYTES = 256
REST_BITS = 56  # of a score, below its highest byte
MOST = 64  # places of a ranking; a request is tried at a few members at most
SPARE = 8  # candidates over twice the places that are wanted: weights differ
OBJECTS = 2048  # objects whose candidates are kept; hashing them anew is a good part of a request's cost


class Ranked(Protocol):
    """What is ranked."""

    id: int
    share: float  # of the objects, against the others'; over 0


Item = TypeVar("Item", bound=Ranked)


def pair_hash(first: int, second: int) -> int:
    """64 bits of two numbers together, the same in every process."""
    raw = first.to_bytes(8, "big") + second.to_bytes(8, "big")
    return int.from_bytes(blake2b(raw, digest_size=8).digest(), "big")


def tables(object_id: int) -> bytes:
    """The object's tables, one behind the other."""
    return shake_128(object_id.to_bytes(8, "big")).digest(TABLES * BYTES)


def columns(member_id: int) -> bytes:
    """A member's place in each table."""
    return blake2b(member_id.to_bytes(8, "big"), digest_size=TABLES).digest()


def score(object_id: int, member_id: int) -> int:
    """A member's 64 bits for an object."""
    table = tables(object_id)
    highest = 0
    for number, place in enumerate(columns(member_id)):
        highest ^= table[number * BYTES + place]
    return highest << REST_BITS | pair_hash(object_id, member_id) >> (64 - REST_BITS)


@cache
def from_byte(least: int) -> Callable[[bytes], list[int]]:
    """Where bytes of at least this value stand."""
    pattern = re.compile(b"[\\x%02x-\\xff]" % least)
    return lambda data: [found.start() for found in pattern.finditer(data)]


class Candidates(Generic[Item]):
    """What is kept of an object: the members whose highest byte is at least `least`, with the logarithms of
    their scores as parts of one.
    """

    __slots__ = ("least", "logs", "members", "ranking")

    def __init__(self, least: int, members: list[Item], logs: Iterable[float]) -> None:
        self.least = least
        self.members = members
        self.logs = array("d", logs)  # a quarter of the memory that a list of numbers needs
        self.ranking: list[Item] = []  # by the present weights, as far as it is certain; empty: not known


class Scoreboard(Generic[Item]):
    """The members of one tier, in the order of their ids, and rankings of them by object."""

    def __init__(self) -> None:
        self.members: list[Item] = []
        self.ids: list[int] = []
        self.places = [bytearray() for _ in range(TABLES)]  # of the members in each table
        self.share_most = 0.0  # at least the greatest share
        self.kept: dict[int, Candidates[Item]] = {}

    def add(self, member: Item) -> None:
        """A member that is not in yet."""
        at = bisect_left(self.ids, member.id)
        self.ids.insert(at, member.id)
        self.members.insert(at, member)
        for place, byte in zip(self.places, columns(member.id), strict=True):
            place.insert(at, byte)
        self.share_most = max(self.share_most, member.share)
        self.kept.clear()

    def remove(self, member: Item) -> None:
        """A member that is in."""
        at = bisect_left(self.ids, member.id)
        del self.ids[at], self.members[at]
        for place in self.places:
            del place[at]
        self.kept.clear()

    def put(self, member: Item, belongs: bool, weighs_else: bool) -> None:
        """Whether a member is in from now on, and whether its share is another than before."""
        at = bisect_left(self.ids, member.id)
        present = at < len(self.ids) and self.members[at] is member
        if at < len(self.ids) and self.ids[at] == member.id and not present:
            self.remove(self.members[at])  # another record of the same member
        if belongs and not present:
            self.add(member)
        elif present and not belongs:
            self.remove(member)
        elif present and weighs_else:
            self.weights_changed()

    def weights_changed(self) -> None:
        """Shares have changed; what was hashed is kept."""
        self.share_most = max((one.share for one in self.members), default=0.0)
        for candidates in self.kept.values():
            candidates.ranking = []

    def first(self, object_id: int) -> Item | None:
        """The member that an object belongs to."""
        ranking = self.ranked(object_id, 1)
        return ranking[0] if ranking else None

    def ranked(self, object_id: int, wanted: int = MOST) -> list[Item]:
        """Members by their score for the object, best first: at least `wanted` of them, or all."""
        wanted = min(wanted, len(self.members))
        candidates = self.kept.get(object_id)
        if candidates is None:
            if len(self.kept) >= OBJECTS:
                self.kept.clear()
            candidates = self.kept[object_id] = self.candidates(object_id, wanted)
        if not candidates.ranking:
            candidates.ranking = self.certain(candidates)
        places = wanted
        while len(candidates.ranking) < wanted:
            places *= 2
            candidates = self.kept[object_id] = self.candidates(object_id, places)
            candidates.ranking = self.certain(candidates)
        return candidates.ranking

    def candidates(self, object_id: int, wanted: int) -> Candidates[Item]:
        """Members with a high highest byte: some more than are wanted, in the mean."""
        part = (2 * wanted + SPARE) / max(1, len(self.members))
        least = max(0, int(BYTES * (1.0 - part)))
        highest = self.highest_bytes(object_id)
        at = from_byte(least)(highest) if least else range(len(self.members))
        prefix = object_id.to_bytes(8, "big")
        logs = []
        for place in at:
            rest = blake2b(prefix + self.ids[place].to_bytes(8, "big"), digest_size=8).digest()
            whole = highest[place] << REST_BITS | int.from_bytes(rest, "big") >> (64 - REST_BITS)
            logs.append(math.log((whole + 1) / 2.0**64))
        return Candidates(least, [self.members[place] for place in at], logs)

    def highest_bytes(self, object_id: int) -> bytes:
        """Of all members' scores."""
        table = tables(object_id)
        mixed = 0
        for number, place in enumerate(self.places):
            found = place.translate(table[number * BYTES : (number + 1) * BYTES])
            mixed ^= int.from_bytes(found, "little")
        return mixed.to_bytes(len(self.members), "little")

    def certain(self, candidates: Candidates[Item]) -> list[Item]:
        """The candidates' order by the present weights, as far as no other member can stand before them."""
        pairs = zip(candidates.logs, candidates.members, strict=True)
        ranked = sorted((-log / one.share, one.id, one) for log, one in pairs)
        if not candidates.least:
            return [one for _, _, one in ranked]
        # All others' scores are below this byte, and none has a greater share.
        bound = -math.log(candidates.least / BYTES) / self.share_most
        return [one for cost, _, one in ranked if cost < bound]
