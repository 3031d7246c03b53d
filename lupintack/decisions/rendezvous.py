"""Weighted rendezvous hashing: ranks the members of a tier for an object, as far as requested. Pure.

Each member has a score for each object, one hash of the two ids; the highest is first (Thaler and
Ravishankar, "Using name-based mappings to increase hit rates", 1998; with weights: Schindelhauer and
Schomaker, 2005). All routers compute the same ranking, and adding or removing a member moves only the objects
of that member.

The highest byte of a score is computed by simple tabulation hashing (Zobrist; Patrascu and Thorup, 2012) from
TABLE_COUNT bytes of the member's own hash, each with a table derived from the object. A few calls into C code
compute that byte for all members together; the rest of a score is computed only for the best candidates. So a
tier may have thousands of members, each of which costs some nanoseconds.
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

TABLE_COUNT = 4  # bytes of a member's own hash; two members that share all of them share the highest byte
BYTE_VALUES = 256
LOW_BITS = 56  # of a score, below its highest byte
LOW_SHIFT = 64 - LOW_BITS  # reduces a 64-bit hash to LOW_BITS
MAX_RANKED = 64  # default length of a ranking; a request is tried at a few members at most
SPARE_CANDIDATES = 8  # in addition to twice the requested count, as weights differ
MAX_CACHED_OBJECTS = 2048  # computing a ranking again is a large part of the cost of a request


class Ranked(Protocol):
    """A member that can be ranked."""

    id: int
    share: float
    """Share of the objects, relative to the other members' shares; above 0."""


Item = TypeVar("Item", bound=Ranked)


def pair_hash(first: int, second: int) -> int:
    """Return a 64-bit hash of two numbers that is the same in every process."""
    raw = first.to_bytes(8, "big") + second.to_bytes(8, "big")
    return int.from_bytes(blake2b(raw, digest_size=8).digest(), "big")


def tables(object_id: int) -> bytes:
    """Return the concatenated tables of an object."""
    return shake_128(object_id.to_bytes(8, "big")).digest(TABLE_COUNT * BYTE_VALUES)


def columns(member_id: int) -> bytes:
    """Return a member's column in each table."""
    return blake2b(member_id.to_bytes(8, "big"), digest_size=TABLE_COUNT).digest()


def score(object_id: int, member_id: int) -> int:
    """Return a member's 64-bit score for an object."""
    table = tables(object_id)
    highest = 0
    for number, column in enumerate(columns(member_id)):
        highest ^= table[number * BYTE_VALUES + column]
    return highest << LOW_BITS | pair_hash(object_id, member_id) >> LOW_SHIFT


@cache
def positions_of_bytes_from(min_byte: int) -> Callable[[bytes], list[int]]:
    """Return a function that finds the positions of bytes of at least `min_byte`."""
    pattern = re.compile(b"[\\x%02x-\\xff]" % min_byte)
    return lambda data: [match.start() for match in pattern.finditer(data)]


class Candidates(Generic[Item]):
    """Cached for an object: members whose highest score byte is at least `min_byte`, and log scores."""

    __slots__ = ("log_scores", "members", "min_byte", "ranking")

    def __init__(self, min_byte: int, members: list[Item], log_scores: Iterable[float]) -> None:
        """`log_scores`: logarithms of the scores scaled to (0, 1], in the order of the members."""
        self.min_byte = min_byte
        self.members = members
        self.log_scores = array("d", log_scores)  # a quarter of the memory of a list of floats
        self.ranking: list[Item] = []  # certain prefix by the current shares; empty: not computed


class RendezvousRanking(Generic[Item]):
    """The members of one tier, in the order of their ids, and rankings of them by object."""

    __slots__ = ("cached_candidates", "ids", "max_share", "member_columns", "members")

    def __init__(self) -> None:
        """Start with no members."""
        self.members: list[Item] = []
        self.ids: list[int] = []
        self.member_columns = [bytearray() for _ in range(TABLE_COUNT)]  # by table, in member order
        self.max_share = 0.0  # upper bound of all shares
        self.cached_candidates: dict[int, Candidates[Item]] = {}

    def add(self, member: Item) -> None:
        """Add a member that is not present."""
        position = bisect_left(self.ids, member.id)
        self.ids.insert(position, member.id)
        self.members.insert(position, member)
        for column_bytes, column in zip(self.member_columns, columns(member.id), strict=True):
            column_bytes.insert(position, column)
        self.max_share = max(self.max_share, member.share)
        self.cached_candidates.clear()

    def remove(self, member: Item) -> None:
        """Remove a member that is present."""
        position = bisect_left(self.ids, member.id)
        del self.ids[position], self.members[position]
        for column_bytes in self.member_columns:
            del column_bytes[position]
        self.cached_candidates.clear()

    def update(self, member: Item, belongs: bool, share_changed: bool) -> None:
        """Add or remove a member, or apply a change of its share."""
        position = bisect_left(self.ids, member.id)
        present = position < len(self.ids) and self.members[position] is member
        if position < len(self.ids) and self.ids[position] == member.id and not present:
            self.remove(self.members[position])  # another record of the same member
        if belongs and not present:
            self.add(member)
        elif present and not belongs:
            self.remove(member)
        elif present and share_changed:
            self.weights_changed()

    def weights_changed(self) -> None:
        """Discard rankings after a change of shares; cached scores are kept."""
        self.max_share = max((member.share for member in self.members), default=0.0)
        for candidates in self.cached_candidates.values():
            candidates.ranking = []

    def first(self, object_id: int) -> Item | None:
        """Return the member that an object belongs to."""
        ranking = self.ranked(object_id, 1)
        return ranking[0] if ranking else None

    def ranked(self, object_id: int, count: int = MAX_RANKED) -> list[Item]:
        """Return members by descending score for the object: at least `count` of them, or all."""
        count = min(count, len(self.members))
        cached = self.cached_candidates
        candidates = cached.get(object_id)
        if candidates is None:
            if len(cached) >= MAX_CACHED_OBJECTS:
                cached.clear()
            candidates = cached[object_id] = self.candidates(object_id, count)
        if not candidates.ranking:
            candidates.ranking = self.certain_ranking(candidates)
        candidate_count = count
        while len(candidates.ranking) < count:
            candidate_count *= 2
            candidates = cached[object_id] = self.candidates(object_id, candidate_count)
            candidates.ranking = self.certain_ranking(candidates)
        return candidates.ranking

    def candidates(self, object_id: int, count: int) -> Candidates[Item]:
        """Return the members with the highest first bytes: on average more than `count`."""
        candidate_share = (2 * count + SPARE_CANDIDATES) / max(1, len(self.members))
        min_byte = max(0, int(BYTE_VALUES * (1.0 - candidate_share)))
        highest = self.highest_bytes(object_id)
        positions = positions_of_bytes_from(min_byte)(highest) if min_byte else range(len(self.members))
        prefix = object_id.to_bytes(8, "big")
        ids, members, from_bytes, log = self.ids, self.members, int.from_bytes, math.log
        log_scores = []
        for position in positions:
            digest = blake2b(prefix + ids[position].to_bytes(8, "big"), digest_size=8).digest()
            member_score = highest[position] << LOW_BITS | from_bytes(digest, "big") >> LOW_SHIFT
            log_scores.append(log((member_score + 1) / 2.0**64))
        return Candidates(min_byte, [members[position] for position in positions], log_scores)

    def highest_bytes(self, object_id: int) -> bytes:
        """Return the highest byte of each member's score."""
        table = tables(object_id)
        combined = 0
        for number, column_bytes in enumerate(self.member_columns):
            translated = column_bytes.translate(table[number * BYTE_VALUES : (number + 1) * BYTE_VALUES])
            combined ^= int.from_bytes(translated, "little")
        return combined.to_bytes(len(self.members), "little")

    def certain_ranking(self, candidates: Candidates[Item]) -> list[Item]:
        """Return the candidates ranked by the current shares, up to where any other member could rank."""
        pairs = zip(candidates.log_scores, candidates.members, strict=True)
        ranked = sorted([(-log_score / member.share, member.id, member) for log_score, member in pairs])
        if not candidates.min_byte:
            return [member for _, _, member in ranked]
        # All other members score below this byte, and none has a larger share than max_share.
        bound = -math.log(candidates.min_byte / BYTE_VALUES) / self.max_share
        return [member for cost, _, member in ranked if cost < bound]
