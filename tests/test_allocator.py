"""Tests of the allocator: the same grants as the reference allocator, at a cost independent of holders."""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from types import FrameType
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lupintack.budgets.allocator import Allocator, equal_weight
from lupintack.budgets.demand_index import DemandIndex
from lupintack.budgets.ledger import Ledger, LedgerEntry
from lupintack.budgets.messages import Epoch, LeaseGrant, LeaseRequest, SubLeaseGrant
from lupintack.budgets.share_table import EqualShareTable, WeightedShareTable
from lupintack.budgets.shares import Demand, max_min_fair
from lupintack.budgets.terms import Terms
from tests.reference_allocator import ReferenceAllocator

EPOCH = Epoch(3, "a", 1)
OLDER_EPOCH = Epoch(2, "b", 1)
TERMS = Terms(lease_us=60, share_interval_us=10, max_holders=6)


def weight_by_name(name: str) -> int:
    """Return a weight that depends on the name."""
    return 1 + ord(name[0]) % 3


@dataclass(frozen=True)
class Step:
    """One request, `gap_us` after the previous one."""

    gap_us: int
    name: str
    demand: tuple[int, ...]
    kind: str = "renew"
    in_use: tuple[int, ...] = ()
    held: tuple[int, ...] | None = None  # None: the amounts of the last grant
    pool: Pool | None = None  # set at the allocator before this request


@dataclass(frozen=True)
class Pool:
    """The amounts and lease time of an allocator that grants from a parent lease."""

    allocatable: tuple[int, ...]
    ceiling: tuple[int, ...]
    lease_us: int | None  # maximum time of its leases from now; None: their full time


class AllocatorComparison:
    """Sends the same requests to the allocator and to the reference, and compares both."""

    def __init__(
        self,
        totals: tuple[int, ...],
        terms: Terms,
        weight_of: Callable[[str], int] = equal_weight,
        shared_names: frozenset[str] = frozenset(),
    ) -> None:
        self.allocator = Allocator(EPOCH, totals, terms, 0, weight_of)
        self.reference = ReferenceAllocator(EPOCH, totals, terms, 0, weight_of)
        self.allocator.shared_names = self.reference.shared_names = shared_names
        self.zero = (0,) * len(totals)
        self.now = 0
        self.starts: dict[str, int] = {}
        self.sequences: dict[tuple[str, int], int] = {}
        self.held: dict[tuple[str, int], tuple[int, ...]] = {}
        self.grants = 0

    def handle_step(self, step: Step) -> None:
        """Send one request to both, and compare their grants and visible state."""
        self.now += step.gap_us
        if step.pool is not None:
            self.set_pool(step.pool)
        request = self.request(step)
        grant = self.allocator.handle_request(request, self.now)
        assert grant == self.reference.handle_request(request, self.now)
        assert self.allocator.allocated() == self.reference.allocated()
        assert self.allocator.total_demand() == self.reference.total_demand()
        key = (request.name, request.start)
        assert self.allocator.available_to(key) == self.reference.available_to(key)
        assert list(self.allocator.ledger) == list(self.reference.ledger)
        for key, entry in self.reference.ledger.items():
            actual = self.allocator.ledger[key]
            assert (actual.sequence, actual.demand, actual.amounts) == (
                entry.sequence,
                entry.demand,
                entry.amounts,
            )
            assert (actual.until_us, actual.granted) == (entry.until_us, entry.granted)
            assert actual.granted_until_us == entry.granted_until_us
            assert actual.granted_lease_us == entry.granted_lease_us
        if grant is not None:
            self.grants += 1
            self.held[grant.name, grant.start] = grant.amounts

    def set_pool(self, pool: Pool) -> None:
        """Set the amounts that both may grant."""
        for allocator in (self.allocator, self.reference):
            allocator.set_allocatable(pool.allocatable, pool.ceiling)
            allocator.expires_by_us = self.now + pool.lease_us if pool.lease_us is not None else None

    def request(self, step: Step) -> LeaseRequest:
        """Return the request of a step."""
        if step.kind == "restart":
            self.starts[step.name] = self.starts.get(step.name, 1) + 1
        key = (step.name, self.starts.get(step.name, 1))
        sequence = self.sequences.get(key, 0)
        if step.kind not in ("repeat", "older"):
            sequence = self.sequences[key] = sequence + 1
        if step.kind == "older":
            sequence -= 1
        demand = step.demand[1:] if step.kind == "short" else step.demand
        epoch = OLDER_EPOCH if step.kind == "older epoch" else EPOCH
        held = step.held if step.held is not None else self.held.get(key, self.zero)
        return LeaseRequest(*key, sequence, epoch, demand, held, step.kind == "leave", step.in_use)


KINDS = ("renew",) * 8 + ("restart", "leave", "repeat", "older", "short", "older epoch")


def steps_of(budgets: int, one_level: bool) -> st.SearchStrategy[list[Step]]:
    """Return a strategy for sequences of requests for `budgets` budgets."""
    amounts = st.tuples(*[st.one_of(st.just(0), st.integers(0, 9), st.integers(0, 300))] * budgets)
    leases = st.one_of(st.none(), st.integers(-5, 70))
    step = st.builds(
        Step,
        gap_us=st.sampled_from((0, 0, 1, 3, 9, 10, 11, 30, 59, 60, 61)),
        name=st.sampled_from("abcdefg"),
        demand=amounts,
        kind=st.sampled_from(KINDS),
        in_use=st.one_of(st.just(()), amounts),
        held=st.one_of(st.none(), amounts),
        pool=st.none() if one_level else st.one_of(st.none(), st.builds(Pool, amounts, amounts, leases)),
    )
    return st.lists(step, max_size=40)


def totals_and_steps_of(one_level: bool) -> st.SearchStrategy[tuple[tuple[int, ...], list[Step]]]:
    """Return a strategy for the totals of some budgets and requests for them."""
    total = st.one_of(st.integers(0, 9), st.integers(0, 400))
    return st.integers(1, 3).flatmap(
        lambda budgets: st.tuples(st.tuples(*[total] * budgets), steps_of(budgets, one_level))
    )


@pytest.mark.parametrize("weight_of", [equal_weight, weight_by_name])
@settings(max_examples=300, deadline=None)
@given(totals_and_steps=totals_and_steps_of(one_level=True))
def test_allocator_grants_match_reference_for_any_requests(
    weight_of: Callable[[str], int], totals_and_steps: tuple[tuple[int, ...], list[Step]]
) -> None:
    totals, steps = totals_and_steps
    comparison = AllocatorComparison(totals, TERMS, weight_of)
    for step in steps:
        comparison.handle_step(step)


@pytest.mark.parametrize("weight_of", [equal_weight, weight_by_name])
@settings(max_examples=300, deadline=None)
@given(
    totals_and_steps=totals_and_steps_of(one_level=False),
    shared_names=st.frozensets(st.sampled_from("abcdefg")),
)
def test_allocator_grants_match_reference_for_any_two_level_requests(
    weight_of: Callable[[str], int],
    totals_and_steps: tuple[tuple[int, ...], list[Step]],
    shared_names: frozenset[str],
) -> None:
    totals, steps = totals_and_steps
    comparison = AllocatorComparison(totals, TERMS, weight_of, shared_names)
    for step in steps:
        comparison.handle_step(step)


@pytest.mark.parametrize("seed", range(6))
def test_allocator_grants_match_reference_in_long_runs_of_many_holders(seed: int) -> None:
    """Some budgets have fewer units than holders; most demands stay constant; holders join and leave."""
    random = Random(seed)
    terms = Terms(lease_us=400, share_interval_us=random.choice((0, 10, 50)), max_holders=90)
    names = [f"h{n}" for n in range(80)]
    comparison = AllocatorComparison((30, 79, 2_000, 100_000), terms)
    demands: dict[str, tuple[int, ...]] = {name: (0, 0, 0, 0) for name in names}
    for _ in range(800):
        name = random.choice(names)
        if random.random() < 0.3:
            demands[name] = tuple(random.choice((0, 1, 2, 40, 3_000)) for _ in range(4))
        kind = random.choices(("renew", "restart", "leave", "repeat"), (95, 2, 2, 1))[0]
        comparison.handle_step(Step(random.choice((0, 1, 1, 2, 5)), name, demands[name], kind))
    assert comparison.grants > 600


def test_units_rotate_among_holders_with_constant_demand() -> None:
    """Only the rotation changes: each holder gets a unit at some time, demanded or lent."""
    comparison = AllocatorComparison((3, 3), TERMS)
    granted_names: set[str] = set()
    for step in range(80):
        name = "abcde"[step % 5]
        comparison.handle_step(Step(7, name, (4, 0)))
        granted_names |= {name} if any(comparison.held[name, 1]) else set()
    assert granted_names == set("abcde")


HOLDERS = st.dictionaries(
    st.tuples(st.sampled_from("abcdefghijkl"), st.integers(1, 2)),
    st.one_of(st.just(0), st.integers(0, 12), st.integers(0, 1 << 60)),
    max_size=20,
)


@settings(deadline=None)
@given(
    st.lists(st.tuples(HOLDERS, st.one_of(st.integers(0, 30), st.integers(0, 1 << 61)), st.integers(0, 50)))
)
def test_share_table_targets_equal_max_min_fair(
    snapshots: list[tuple[dict[tuple[str, int], int], int, int]],
) -> None:
    table = EqualShareTable((0,))
    weighted = WeightedShareTable((0,))
    order: dict[tuple[str, int], int] = {}
    for holders, total, turn in snapshots:
        for key in [key for key in order if key not in holders]:
            del order[key]
            table.remove(key)
            weighted.remove(key)
        order.update(holders)
        for key, amount in holders.items():
            table.update(key, (amount,), 1)
            weighted.update(key, (amount,), 1)
        table.set_totals((total,))
        weighted.set_totals((total,))
        table.take_snapshot(turn)
        weighted.take_snapshot(turn)
        for any_table in (table, weighted):  # a holder added after the snapshot
            any_table.update(("new", 1), (5,), 1)
            assert any_table.target(("new", 1)) == (0,)
            any_table.remove(("new", 1))
        demands = [Demand(key, amount) for key, amount in order.items()]
        expected = max_min_fair(total, demands, turn if total < len(demands) else 0)
        assert {key: table.target(key)[0] for key in order} == expected
        assert {key: weighted.target(key)[0] for key in order} == expected
        # A demand that changes later changes no target before the next snapshot.
        for any_table in (table, weighted):
            for key in order:
                any_table.update(key, (7,), 1)
            assert {key: any_table.target(key)[0] for key in order} == expected


@given(st.lists(st.integers(1, 1 << 60), min_size=1, max_size=30), st.integers(1, 1 << 60))
def test_water_level_is_the_highest_that_fits(amounts: list[int], total: int) -> None:
    index = DemandIndex()
    for position, amount in enumerate(amounts):
        index.add(amount, position)
    if index.total > total:
        level, remaining = index.water_level(total)
        assert sum(min(amount, level) for amount in amounts) + remaining == total
        assert sum(min(amount, level + 1) for amount in amounts) > total
    for position, amount in enumerate(amounts):
        index.remove(amount, position)
    assert index.total == 0 and not index.ordered and not any(index.counts) and not any(index.sums)


def test_clone_is_independent_of_original() -> None:
    for weight_of in (equal_weight, weight_by_name):
        first = Allocator(EPOCH, (10, 5), TERMS, -60, weight_of)
        for name in "abc":
            first.handle_request(LeaseRequest(name, 1, 1, EPOCH, (6, 0), (0, 0)), 1)
        state_before = (first.allocated(), first.targets(), list(first.ledger.items()))
        other = first.clone()
        other.handle_request(LeaseRequest("a", 1, 2, EPOCH, (1, 1), (0, 0)), 30)
        other.handle_request(LeaseRequest("b", 1, 2, EPOCH, (9, 9), (0, 0)), 80)
        assert state_before == (first.allocated(), first.targets(), list(first.ledger.items()))
        assert state_before != (other.allocated(), other.targets(), list(other.ledger.items()))
        assert len(other.ledger) == 2


def test_expiry_queue_has_one_item_per_holder_despite_renewals() -> None:
    ledger = Ledger((30,))
    for round_number in range(50):
        for holder in range(20):
            now = round_number * 20 + holder
            assert ledger.expire(now) == []
            ledger.set_entry((f"h{holder}", 1), LedgerEntry(round_number, (0,), (1,), now + 60, (1,)))
        assert len(ledger.expiry_queue) <= 20
    assert len(ledger.expire(1_050)) == 11  # booked from 980 to 990, each for 60
    ledger.expire(2_000)
    assert not ledger and not ledger.expiry_queue and not ledger.queued and ledger.sums == [0]


def test_entry_with_shortened_lease_expires_sooner() -> None:
    ledger = Ledger((30,))
    key = ("h", 1)
    ledger.set_entry(key, LedgerEntry(1, (0,), (4,), 100, (4,)))
    ledger.set_entry(key, LedgerEntry(2, (0,), (3,), 50, (3,)))
    assert ledger.expire(49) == [] and ledger.sums == [3]
    assert ledger.expire(50) == [key] and ledger.sums == [0]
    ledger.set_entry(key, LedgerEntry(3, (0,), (2,), 200, (2,)))
    assert ledger.expire(100) == [] and ledger.expire(200) == [key]


def count_instructions(action: Callable[[], Any]) -> int:
    """Return the number of bytecode instructions and C calls of an action, independent of timing."""
    count = 0

    def trace(frame: FrameType, event: str, argument: Any) -> Any:
        nonlocal count
        frame.f_trace_opcodes = True
        frame.f_trace_lines = False
        count += event == "opcode"
        return trace

    def profile(frame: FrameType, event: str, argument: Any) -> None:
        nonlocal count
        count += event == "c_call"

    before = sys.gettrace(), sys.getprofile()
    sys.settrace(trace)
    sys.setprofile(profile)
    try:
        action()
    finally:
        sys.settrace(before[0])
        sys.setprofile(before[1])
    return count


class RequestStream:
    """Holders that renew in order, one in ten with a new demand; each also uses its site's budget."""

    def __init__(self, holders: int, budgets: int, kind: Callable[..., Any] = Allocator) -> None:
        self.holders, self.budgets = holders, budgets
        self.terms = Terms()
        totals = (holders * 20, holders // 2, holders * 100, *[50] * (budgets - 3))
        self.allocator = kind(EPOCH, totals, self.terms, -self.terms.lease_us)
        self.zero = (0,) * budgets
        self.held = [self.zero] * holders
        self.demands = [self.demand(n, 0) for n in range(holders)]
        self.sequence = 0
        self.now = 0

    def demand(self, holder: int, change: int) -> tuple[int, ...]:
        """Return a holder's demand after a number of changes."""
        random = Random(holder * 1_000 + change)
        amounts = [
            random.randrange(40),
            random.randrange(3),
            random.randrange(200),
            *[0] * (self.budgets - 3),
        ]
        if self.budgets > 3:
            amounts[3 + holder % (self.budgets - 3)] = random.randrange(20)
        return tuple(amounts)

    def renew(self) -> LeaseGrant | SubLeaseGrant:
        """Send the next request and return its grant."""
        holder = self.sequence % self.holders
        turn = self.sequence // self.holders
        if self.sequence % 10 == turn % 10:
            self.demands[holder] = self.demand(holder, turn)
        self.sequence += 1
        self.now += self.terms.request_interval_us // self.holders
        request = LeaseRequest(
            f"r{holder}", 1, self.sequence, EPOCH, self.demands[holder], self.held[holder], in_use=self.zero
        )
        grant: LeaseGrant | SubLeaseGrant | None = self.allocator.handle_request(request, self.now)
        assert grant is not None
        self.held[holder] = grant.amounts
        return grant

    def instructions_per_request(self, requests: int = 60) -> int:
        """Return the mean number of instructions of a request after all holders have been added."""
        for _ in range(self.holders * 2):
            self.renew()
        return count_instructions(lambda: [self.renew() for _ in range(requests)]) // requests


def test_request_cost_is_independent_of_holder_count() -> None:
    small, large = (RequestStream(holders, 3).instructions_per_request() for holders in (100, 3_000))
    assert large < small * 1.5
    # The reference iterates over all holders, so its count must grow.
    small, large = (
        RequestStream(holders, 3, ReferenceAllocator).instructions_per_request(30) for holders in (100, 300)
    )
    assert large > small * 1.5


def test_request_cost_is_at_most_linear_in_budget_count() -> None:
    small, large = (RequestStream(300, budgets).instructions_per_request() for budgets in (23, 143))
    assert large < small * 143 / 23
