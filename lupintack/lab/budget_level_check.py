"""A search over all interleavings of two levels, breadth first, the promise looked at in each state.

One region has two allocators that may follow one another, and two routers; the fleet has two allocators that
may follow one another. Another region is a holder at the fleet's alone. The pure machines themselves are
searched. That two tenures of one level never overlap is what the search of one level looks at: here a tenure
ends when the next one begins, and its late messages are still on the way. Time goes on to the next deadline,
or past the last.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Hashable, Iterator, Sequence
from copy import copy
from dataclasses import dataclass, field
from itertools import product
from random import Random
from time import monotonic
from typing import NamedTuple

from lupintack.budgets.allocator import Allocator
from lupintack.budgets.election import Election
from lupintack.budgets.hierarchy import TwoLevelNode
from lupintack.budgets.invariant import BudgetState, RegionAmounts, RegionBounds, Violation, violations
from lupintack.budgets.lease import LeaseHolder
from lupintack.budgets.messages import Epoch, LeaseGrant, LeaseRequest, SubLeaseGrant
from lupintack.budgets.regions import Region, RegionPlan
from lupintack.budgets.spending import Budget, BudgetKind
from lupintack.budgets.terms import MILLION, Terms
from lupintack.lab.budget_check import Found

TERMS = Terms(
    promise_us=3_000,
    lease_us=5_000,
    drift_ppm=100_000,
    request_interval_us=800,
    retry_us=200,
    share_interval_us=0,
)
FLEET_WHOLE, RESERVE, DEMAND = 2, 1, 3
REGION, OTHER = "west", "east"
FLEET_ALLOCATORS, REGION_ALLOCATORS, ROUTERS = ("F1", "F2"), ("R1", "R2"), ("a", "b")
BEGIN_US = 100_000
ENDLESS_US = 1 << 60
BOUNDS = (RegionBounds(REGION, (RESERVE,)), RegionBounds(OTHER, (0,)))
PLAN = RegionPlan(
    Region(REGION, REGION_ALLOCATORS, ()),
    ((REGION, 1), (OTHER, 1)),
    (Budget("fills", FLEET_WHOLE + RESERVE, BudgetKind.CONCURRENT),),
    1,
    (FLEET_WHOLE,),
    (RESERVE,),
    (0,),
)


class Letter(NamedTuple):
    """A message on its way."""

    to: str
    sender: str
    message: LeaseRequest | LeaseGrant | SubLeaseGrant


class Step(NamedTuple):
    """One step: of a process, of the network (`letter`), or of time (`at_us`, true)."""

    kind: str
    name: str = ""
    letter: Letter | None = None
    at_us: int = 0

    def __str__(self) -> str:
        """A line of a script."""
        return "\t".join(map(str, (self.kind, self.name, self.letter or "", self.at_us)))


class Rates(NamedTuple):
    """The rates of the clocks: of the fleet's allocators, the region's, and the holders."""

    fleet: int
    region: int
    holders: int


@dataclass(frozen=True, slots=True)
class LevelBounds:
    """How often each thing may happen on one path."""

    depth: int = 7
    requests: int = 3  # of a router or of the other region
    parent_requests: int = 2
    doubles: int = 1
    crashes: int = 1  # of a router
    fleet_follows: int = 1
    region_follows: int = 1
    states: int = 2_000_000


def ledger_key(allocator: Allocator) -> Hashable:
    """All of an allocator that what it does next can depend on."""
    rows = [
        (key, one.sequence, one.demand, one.amounts, one.until_us, one.granted, one.granted_until_us)
        for key, one in allocator.ledger.items()
    ]
    return (allocator.epoch, allocator.elected_us, *rows)


def holder_key(holder: LeaseHolder) -> Hashable:
    """All of a holder that what it does next can depend on."""
    return (holder.name, holder.start, holder.amounts, holder.until_us, holder.answered, holder.last_request)


def clone_node(node: TwoLevelNode) -> TwoLevelNode:
    """Another that can go its own way; elections are not copied, for none is changed in place."""
    found = copy(node)
    found.fleet, found.region, found.parent = copy(node.fleet), copy(node.region), copy(node.parent)
    found.fleet.holder = copy(node.fleet.holder)
    if node.parent.holder is node.fleet.holder:
        found.parent.holder = found.fleet.holder
    if node.region.allocator is not None:
        found.region.allocator = node.region.allocator.clone()
    return found


def node_key(node: TwoLevelNode) -> Hashable:
    """All of a region's allocator that what it does next can depend on."""
    allocator, parent = node.region.allocator, node.parent
    return (
        node.region.election is not None and node.region.election.until_us,
        allocator is not None and ledger_key(allocator),
        allocator is not None and (allocator.allocatable, allocator.ceiling, allocator.expires_by_us),
        holder_key(node.fleet.holder), node.fleet.holds, node.fleet.demand, node.fleet.in_use,
        parent.covered, parent.seen_request, parent.seen_grant, node.tenure,
    )  # fmt: skip


@dataclass(slots=True)
class LevelState:
    """All of it, and how much of what is bounded has happened."""

    rates: Rates
    now: int = BEGIN_US
    fleet: dict[str, Allocator] = field(default_factory=dict)  # the last one's tenure holds
    nodes: dict[str, TwoLevelNode] = field(default_factory=dict)  # likewise
    holders: dict[str, LeaseHolder] = field(default_factory=dict)
    letters: list[Letter] = field(default_factory=list)
    requests: int = 0
    parent_requests: int = 0
    doubles: int = 0
    crashes: int = 0

    def fork(self) -> LevelState:
        """The same, which can go its own way."""
        found = copy(self)
        found.fleet = {name: one.clone() for name, one in self.fleet.items()}
        found.nodes = {name: clone_node(one) for name, one in self.nodes.items()}
        found.holders = {name: copy(one) for name, one in self.holders.items()}
        found.letters = list(self.letters)
        return found

    def key(self) -> int:
        """Two states of one key behave alike."""
        counts = (self.now, self.requests, self.parent_requests, self.doubles, self.crashes)
        fleet = tuple(map(ledger_key, self.fleet.values()))
        nodes = tuple(map(node_key, self.nodes.values()))
        holders = tuple(map(holder_key, self.holders.values()))
        return hash((counts, fleet, nodes, holders, frozenset(Counter(self.letters).items())))

    def local(self, rate_ppm: int) -> int:
        """What a clock of this rate shows now."""
        return self.now * rate_ppm // MILLION

    @property
    def allocator(self) -> Allocator:
        """The fleet's allocator whose tenure holds."""
        return self.fleet[list(self.fleet)[-1]]

    @property
    def node(self) -> TwoLevelNode:
        """The region's allocator whose tenure holds."""
        return self.nodes[list(self.nodes)[-1]]

    def broken(self) -> list[Violation]:
        """Each bound that is passed now."""
        at, region_at = self.local(self.rates.holders), self.local(self.rates.region)
        leases = [RegionAmounts(REGION, self.holders[name].held(at)) for name in ROUTERS]
        other = RegionAmounts(OTHER, self.holders[OTHER].held(at))
        parents = [RegionAmounts(REGION, node.fleet.held(region_at)) for node in self.nodes.values()]
        fleet_at = self.local(self.rates.fleet)
        bookings = None
        if fleet_at >= self.allocator.ready_us:
            ledger = self.allocator.ledger.items()
            bookings = [RegionAmounts(k[0], one.amounts) for k, one in ledger if fleet_at < one.until_us]
        return violations(BudgetState((FLEET_WHOLE,), BOUNDS, [*leases, other], [*parents, other], bookings))


def begin(rates: Rates) -> LevelState:
    """F1 and R1 are past their waits; the region holds all that the fleet grants, and a and b all of that."""
    state = LevelState(rates)
    follow_fleet(state)
    follow_region(state)
    state.allocator.elected_us -= TERMS.lease_us
    assert state.node.region.allocator is not None
    state.node.region.allocator.elected_us -= TERMS.lease_us
    for name in (*ROUTERS, OTHER):
        state.holders[name] = LeaseHolder(name, 1, 1, TERMS)
    for kind, name in (("ask", "a"), ("ask parent", ""), ("ask", "a"), ("ask", "b")):
        apply(state, Step(kind, name))
        while state.letters:
            deliver(state, state.letters.pop(0))
    state.requests = state.parent_requests = 0
    return state


def follow_fleet(state: LevelState) -> None:
    """The next tenure at the fleet begins: the one before is over."""
    name = FLEET_ALLOCATORS[len(state.fleet)]
    now = state.local(state.rates.fleet)
    allocator = Allocator(Epoch(len(state.fleet) + 1, name, 1), (FLEET_WHOLE,), TERMS, now)
    allocator.shared_names = frozenset((REGION, OTHER))
    state.fleet[name] = allocator


def follow_region(state: LevelState) -> None:
    """The next tenure in the region begins: the one before is over."""
    now = state.local(state.rates.region)
    if state.nodes:
        before = state.node.region.election
        assert before is not None
        ended = copy(before)
        ended.until_us = now
        state.node.region.election = ended
    name = REGION_ALLOCATORS[len(state.nodes)]
    node = TwoLevelNode(name, 1, FLEET_ALLOCATORS, PLAN, TERMS, Random(1), now)
    election = Election(Epoch(len(state.nodes) + 1, name, 1), REGION_ALLOCATORS, TERMS)
    election.until_us = ENDLESS_US
    allocator = Allocator(election.epoch, PLAN.region_pool, TERMS, now)
    node._prepare_region(allocator)
    node.region.election, node.region.allocator = election, allocator
    state.nodes[name] = node
    node._connect_levels(now)


def in_node(node: TwoLevelNode, now: int, what: Callable[[], None]) -> None:
    """A call into a region's allocator, as TwoLevelNode makes it."""
    node._connect_levels(now)
    what()
    node._connect_levels(now)


def deliver(state: LevelState, letter: Letter) -> None:
    """A message arrives."""
    to, sender, message = letter
    if to in state.fleet:
        if state.fleet[to] is state.allocator and isinstance(message, LeaseRequest):
            answer(state, letter, state.allocator, state.local(state.rates.fleet))
    elif to in state.nodes:
        node, now = state.nodes[to], state.local(state.rates.region)
        in_node(node, now, lambda: into_node(state, letter, node, now))
    elif not isinstance(message, LeaseRequest):
        state.holders[to].accept(message, state.local(state.rates.holders))


def into_node(state: LevelState, letter: Letter, node: TwoLevelNode, now: int) -> None:
    """A message of a router, or a grant of the fleet's allocator."""
    message = letter.message
    if not isinstance(message, LeaseRequest):
        if node.fleet.holds:
            node.fleet.holder.accept(message, now)
    elif node.region.is_allocator(now) and node.region.allocator is not None:
        answer(state, letter, node.region.allocator, now)


def answer(state: LevelState, letter: Letter, allocator: Allocator, now: int) -> None:
    """A request gets its grant, if it gets one."""
    assert isinstance(letter.message, LeaseRequest)
    grant = allocator.handle_request(letter.message, now)
    if grant is not None:
        state.letters.append(Letter(letter.sender, letter.to, grant))


def apply(state: LevelState, step: Step) -> None:
    """One step."""
    match step.kind:
        case "time":
            state.now = step.at_us
        case "deliver" | "double":
            assert step.letter is not None
            if step.kind == "deliver":
                state.letters.remove(step.letter)
            else:
                state.doubles += 1
            deliver(state, step.letter)
        case "ask":
            ask(state, step.name)
        case "ask parent":
            state.parent_requests += 1
            node, now = state.node, state.local(state.rates.region)
            in_node(node, now, lambda: ask_parent(state, node, now))
        case "crash":
            state.crashes += 1
            state.holders[step.name] = LeaseHolder(step.name, state.holders[step.name].start + 1, 1, TERMS)
        case "follow fleet":
            follow_fleet(state)
        case "follow region":
            follow_region(state)


def ask(state: LevelState, name: str) -> None:
    """A router asks its region's allocator, the other region the fleet's."""
    state.requests += 1
    to = state.allocator.epoch if name == OTHER else state.node.tenure
    assert to is not None
    request = state.holders[name].request(to, (DEMAND,), state.local(state.rates.holders), in_use=(0,))
    state.letters.append(Letter(to.name, name, request))


def ask_parent(state: LevelState, node: TwoLevelNode, now: int) -> None:
    """The region's allocator asks the fleet's."""
    epoch, fleet = state.allocator.epoch, node.fleet
    request = fleet.holder.request(epoch, fleet.demand, now, in_use=fleet.in_use)
    state.letters.append(Letter(epoch.name, node.name, request))


def steps(state: LevelState, bounds: LevelBounds) -> Iterator[Step]:
    """All that can happen next."""
    for letter in state.letters:
        yield Step("deliver", letter=letter)
        if state.doubles < bounds.doubles:
            yield Step("double", letter=letter)
    if state.requests < bounds.requests:
        yield from (Step("ask", name) for name in state.holders)
    if state.parent_requests < bounds.parent_requests:
        yield Step("ask parent")
    if state.crashes < bounds.crashes:
        yield from (Step("crash", name) for name in ROUTERS)
    if len(state.fleet) <= bounds.fleet_follows:
        yield Step("follow fleet")
    if len(state.nodes) <= bounds.region_follows:
        yield Step("follow region")
    after = [at for at in deadlines(state) if at > state.now]
    if after:
        yield Step("time", at_us=min(after))
    if len(after) > 1:
        yield Step("time", at_us=max(after))


def deadlines(state: LevelState) -> Iterator[int]:
    """When, in true time, something runs out at somebody: nothing differs between two of them."""
    rates = state.rates
    near_end = TERMS.request_interval_us * 5 // 4
    for holder in state.holders.values():
        yield -(-holder.until_us * MILLION // rates.holders)
    for node in state.nodes.values():
        times = [node.fleet.holder.until_us, node.fleet.holder.until_us - near_end]
        if node.region.allocator is not None:
            times += allocator_times(node.region.allocator)
        yield from (-(-at * MILLION // rates.region) for at in times)
    for allocator in state.fleet.values():
        yield from (-(-at * MILLION // rates.fleet) for at in allocator_times(allocator))


def allocator_times(allocator: Allocator) -> list[int]:
    """When something of an allocator runs out on its clock."""
    return [allocator.ready_us, *(one.until_us for one in allocator.ledger.values())]


Path = tuple["Path | None", Step]


def search(bounds: LevelBounds, rates: Rates) -> Found:
    """Breadth first from the beginning, for one setting of the clocks."""
    found, began = Found(rates=tuple(rates)), monotonic()
    first = begin(rates)
    seen = {first.key()}
    level: list[tuple[LevelState, Path | None]] = [(first, None)]
    for depth in range(1, bounds.depth + 1):
        coming: list[tuple[LevelState, Path | None]] = []
        for old, way in level:
            for step in steps(old, bounds):
                state = old.fork()
                apply(state, step)
                key = state.key()
                if key in seen:
                    continue
                seen.add(key)
                path: Path = (way, step)
                coming.append((state, path))
                broken = state.broken()
                if broken or len(seen) >= bounds.states:
                    found.script = [*script(path), str(broken[0])] if broken else []
                    found.whole = bool(broken)
                    found.states, found.depth, found.seconds = len(seen), depth, monotonic() - began
                    return found
        found.depth = depth
        level = coming
    found.states, found.seconds = len(seen), monotonic() - began
    return found


def script(way: Path | None) -> list[str]:
    """The way to a state, one step a line."""
    found = []
    while way is not None:
        way, step = way
        found.append(str(step))
    return found[::-1]


def replay(played: Sequence[Step], rates: Rates) -> list[list[Violation]]:
    """What is broken after each step; `deliver` with a name takes the first letter on its way to that one."""
    state, found = begin(rates), []
    for step in played:
        if step.kind in ("deliver", "double") and step.letter is None:
            step = step._replace(letter=next(one for one in state.letters if one.to == step.name))
        apply(state, step)
        found.append(state.broken())
    return found


def clocks() -> list[Rates]:
    """Each of the three at either end of the drift."""
    slow, fast = MILLION - TERMS.drift_ppm, MILLION + TERMS.drift_ppm
    return [Rates(*rates) for rates in product((slow, fast), repeat=3)]
