"""Rankings compared with the plain definition, for tiers of any size and after any changes of members."""

from __future__ import annotations

import math
from dataclasses import dataclass
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lupintack.decisions.rendezvous import MAX_RANKED, RendezvousRanking, score

SIZES = (1, 2, 9, 40, 300, 1500)


@dataclass(eq=False)
class Candidate:
    id: int
    share: float = 1.0


def ranked(object_id: int, members: list[Candidate]) -> list[Candidate]:
    """Rank by the definition: by the logarithm of the score divided by the share."""
    return sorted(
        members,
        key=lambda member: (-math.log((score(object_id, member.id) + 1) / 2.0**64) / member.share, member.id),
    )


def tier(size: int, seed: int = 1) -> tuple[RendezvousRanking[Candidate], list[Candidate]]:
    random = Random(seed)
    members = [Candidate(random.getrandbits(64), random.choice([1.0, 0.7, 2.5])) for _ in range(size)]
    ranking: RendezvousRanking[Candidate] = RendezvousRanking()
    for member in members:
        ranking.update(member, True, False)
    return ranking, members


@pytest.mark.parametrize("size", SIZES)
def test_ranking_matches_definition(size: int) -> None:
    ranking, members = tier(size)
    for object_id in range(30):
        expected = ranked(object_id, members)
        assert ranking.first(object_id) is expected[0]
        result = ranking.ranked(object_id)
        assert result == expected[: len(result)] and len(result) >= min(MAX_RANKED, size)
        assert ranking.first(object_id) is expected[0]


@given(
    st.lists(
        st.tuples(st.integers(0, 60), st.sampled_from(["add", "remove", "reweight"]), st.floats(0.1, 9.0)),
        max_size=80,
    )
)
def test_ranking_matches_definition_after_any_changes(steps: list[tuple[int, str, float]]) -> None:
    ranking, present = tier(0)
    members = [Candidate(1000 + n) for n in range(61)]
    for number, operation, share in steps:
        member = members[number]
        if operation == "reweight":
            member.share = share
        belongs = operation == "add" or (operation == "reweight" and member in present)
        ranking.update(member, belongs, operation == "reweight")
        present = [other for other in present if other is not member] + [member] * belongs
        expected = ranked(number, present)
        assert ranking.first(number) is (expected[0] if expected else None)
    assert ranking.members == sorted(present, key=lambda member: member.id)
    assert ranking.ranked(7) == ranked(7, present)


def test_new_record_of_member_replaces_old_one() -> None:
    ranking, members = tier(5)
    new = Candidate(members[2].id)
    ranking.update(new, True, False)
    assert new in ranking.members and members[2] not in ranking.members and len(ranking.members) == 5
    ranking.update(members[2], False, False)
    assert members[2] not in ranking.members


def test_removed_member_moves_only_its_objects() -> None:
    ranking, members = tier(300)
    before = {object_id: ranking.first(object_id) for object_id in range(500)}
    ranking.update(members[7], False, False)
    assert all(
        ranking.first(object_id) is member or member is members[7] for object_id, member in before.items()
    )


def test_objects_are_distributed_by_shares() -> None:
    ranking, members = tier(300)
    counts = dict.fromkeys((1.0, 0.7, 2.5), 0)
    for object_id in range(6000):
        member = ranking.first(object_id)
        assert member is not None
        counts[member.share] += 1
    total_share = sum(member.share for member in members)
    for share, count in counts.items():
        expected = 6000 * sum(member.share for member in members if member.share == share) / total_share
        assert 0.9 < count / expected < 1.1
