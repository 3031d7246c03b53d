"""A search over all interleavings of a few voters, dividers and holders, breadth first, the promise looked
at in each state. The pure machines themselves are searched, not a model of them; clocks run at the ends of
the drift.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable, Iterator, Sequence
from copy import copy
from dataclasses import dataclass, field
from itertools import product
from time import monotonic
from typing import Any

from lupintack.budgets.allocator import Allocator
from lupintack.budgets.election import Election, Round
from lupintack.budgets.lease import LeaseHolder
from lupintack.budgets.messages import Epoch, LeaseGrant, LeaseRequest, Message, VoteReply, VoteRequest
from lupintack.budgets.terms import MILLION, Terms
from lupintack.budgets.voter import Promise, Voter

TERMS = Terms(promise_us=3_000, lease_us=5_000, drift_ppm=100_000)
NAMES = ("a", "b", "c")
WHOLE = 2


@dataclass(slots=True)
class Process:
    """One of the three: a voter, a holder, and at times the allocator."""

    name: str
    rate_ppm: int
    voter: Voter
    holder: LeaseHolder
    start: int = 1
    counter: int = 0
    kept: Promise | None = None
    standing: Election | None = None
    allocator: Allocator | None = None

    def local(self, true: int) -> int:
        """What this process's clock shows at a true time."""
        return true * self.rate_ppm // MILLION

    def clone(self) -> Process:
        """Another that can go its own way."""
        found = copy(self)
        found.voter, found.holder = copy(self.voter), copy(self.holder)
        if self.standing is not None:
            found.standing = copy(self.standing)
            found.standing.rounds = {
                n: Round(one.sent_us, set(one.granted_by)) for n, one in self.standing.rounds.items()
            }
        if self.allocator is not None:
            found.allocator = self.allocator.clone()
        return found

    def key(self) -> Hashable:
        """All that what happens next can depend on."""
        voter, holder, standing, allocator = self.voter, self.holder, self.standing, self.allocator
        found: list[Any] = [
            self.start, self.counter, self.kept, voter.promise, voter.highest_counter, voter.abstain_until_us,
            holder.amounts, holder.until_us, holder.sequence, holder.requested_us, holder.epoch,
            holder.answered,
        ]  # fmt: skip
        if standing is not None:
            found += [
                standing.epoch,
                standing.round,
                standing.until_us,
                *((n, one.sent_us, *sorted(one.granted_by)) for n, one in sorted(standing.rounds.items())),
            ]
        if allocator is not None:
            book = [(k, b.sequence, b.demand, b.amounts, b.until_us, b.granted, b.granted_until_us)
                    for k, b in allocator.ledger.items()]  # fmt: skip
            found += [allocator.elected_us, allocator.shares_computed_us, *book, *allocator.targets().items()]
        return tuple(found)


@dataclass(slots=True)
class State:
    """All of it, and how much of what is bounded has happened."""

    now: int
    processes: dict[str, Process]
    out: list[tuple[str, str, Message]] = field(default_factory=list)  # to, from, message
    stood: int = 0
    crashed: int = 0
    doubled: int = 0
    asked: int = 0
    renewed: int = 0

    def oversum(self) -> int:
        """What all may spend beyond the whole."""
        held = sum(p.holder.held(p.local(self.now))[0] for p in self.processes.values())
        return max(0, held - WHOLE)

    def fork(self, names: Sequence[str]) -> State:
        """The same, of which these processes can change."""
        found = copy(self)
        found.processes, found.out = dict(self.processes), list(self.out)
        for name in names:
            found.processes[name] = self.processes[name].clone()
        return found

    def key(self) -> int:
        """Two states of one key behave equal_weight; 64 bits, so that two that don't hardly ever have one."""
        out = frozenset(Counter(self.out).items())
        counts = (self.now, self.stood, self.crashed, self.doubled, self.asked, self.renewed)
        return hash((counts, out, *(one.key() for one in self.processes.values())))


@dataclass(frozen=True, slots=True)
class Bounds:
    """How often each thing may happen on one path."""

    depth: int = 9
    stands: int = 1
    crashes: int = 1
    doubles: int = 1
    asks: int = 3
    renews: int = 1
    needs: tuple[str, ...] = ("2",)
    states: int = 2_000_000


@dataclass(slots=True)
class Found:
    """What a search came to."""

    states: int = 0
    depth: int = 0
    seconds: float = 0.0
    whole: bool = True  # every state up to the depth was looked at
    script: list[str] = field(default_factory=list)  # the shortest way to a sum that is too high
    rates: tuple[int, ...] = ()


Action = tuple[Any, ...]


Path = tuple[Any, Action] | None  # the way before, and the last action


def text(action: Action) -> str:
    """A line of a script."""
    return "\t".join(word if isinstance(word, str) else repr(word) for word in action)


def touched(action: Action) -> tuple[str, ...]:
    """The processes that an action can change."""
    if action[0] in ("deliver", "double"):
        return (str(action[1][0]),)
    if action[0] == "renew":
        return NAMES
    return () if action[0] == "time" else (str(action[1]),)


def begin(rates: Sequence[int]) -> State:
    """a divides, and is past its wait; a and b hold one unit each; c has asked for nothing yet."""
    state = State(0, {})
    for name, rate in zip(NAMES, rates, strict=True):
        state.processes[name] = Process(
            name, rate, Voter(name, TERMS, None, 0), LeaseHolder(name, 1, 1, TERMS)
        )
    state.now = 10_000  # nobody abstains any more
    apply(state, ("stand", "a"))
    for name in ("b", "c"):
        deliver(state, next(m for m in state.out if m[0] == name))
    while state.out:
        deliver(state, state.out[0])
    first = state.processes["a"]
    assert first.allocator is not None
    first.allocator.elected_us -= TERMS.lease_us
    for name in ("a", "b", "a", "b"):
        apply(state, ("ask", name, "a", "2"))
        while state.out:
            deliver(state, state.out[0])
    state.stood = state.asked = 0
    return state


def deliver(state: State, message: tuple[str, str, Message], keep: bool = False) -> None:
    """A message arrives; `keep`: and will arrive once more."""
    if not keep:
        state.out.remove(message)
    to, sender, told = message
    one = state.processes[to]
    now = one.local(state.now)
    if isinstance(told, VoteRequest):
        answer = one.voter.handle_request(told, now)
        one.kept = one.voter.promise
        state.out.append((sender, to, answer))
    elif isinstance(told, VoteReply):
        voted(one, told, now)
    elif isinstance(told, LeaseRequest):
        if one.allocator is not None and one.standing is not None and one.standing.is_valid(now):
            grant = one.allocator.handle_request(told, now)
            if grant is not None:
                state.out.append((sender, to, grant))
    elif isinstance(told, LeaseGrant):
        one.holder.accept(told, now)


def voted(one: Process, told: VoteReply, now: int) -> None:
    """Take a reply to an election; with a majority the process allocates."""
    if one.standing is not None and one.standing.handle_reply(told, now) and one.allocator is None:
        one.allocator = Allocator(one.standing.epoch, (WHOLE,), TERMS, now)


def apply(state: State, action: Action) -> None:
    """One step of one process, of the network or of time."""
    kind, *words = action
    if kind == "time":
        state.now = int(words[0])
        return
    if kind in ("deliver", "double"):
        told = words[0]
        message = told if not isinstance(told, str) else next(m for m in state.out if repr(m) == told)
        state.doubled += kind == "double"
        deliver(state, message, kind == "double")
        return
    one = state.processes[words[0]]
    now = one.local(state.now)
    if kind == "stand":
        state.stood += 1
        one.counter = max(one.counter, one.voter.highest_counter) + 1
        one.standing = Election(Epoch(one.counter, one.name, one.start), NAMES, TERMS)
        one.allocator = None
        vote = one.standing.start_round(now)
        state.out += [(name, one.name, vote) for name in NAMES if name != one.name]
        answer = one.voter.handle_request(vote, now)
        one.kept = one.voter.promise
        voted(one, answer, now)
    elif kind == "renew":
        # In one step, with the answers of both others: only rounds that make an epoch are taken apart.
        assert one.standing is not None
        state.renewed += 1
        vote = one.standing.start_round(now)
        for other in state.processes.values():
            answer = other.voter.handle_request(vote, other.local(state.now))
            other.kept = other.voter.promise
            voted(one, answer, now)
    elif kind == "ask":
        state.asked += 1
        allocator = state.processes[words[1]].allocator
        assert allocator is not None
        ask = one.holder.request(allocator.epoch, (int(words[2]),), now)
        if words[1] == one.name:
            grant = (
                allocator.handle_request(ask, now)
                if one.standing is not None and one.standing.is_valid(now)
                else None
            )
            if grant is not None:
                one.holder.accept(grant, now)
        else:
            state.out.append((words[1], one.name, ask))
    elif kind in ("crash", "crash without file"):
        state.crashed += 1
        one.start += 1
        kept = one.kept if kind == "crash" else None
        one.voter = Voter(one.name, TERMS, kept, now)
        one.holder = LeaseHolder(one.name, one.start, 1, TERMS)
        one.standing = one.allocator = None
        one.counter = 0


def actions(state: State, bounds: Bounds) -> Iterator[Action]:
    """All that can happen next."""
    for message in state.out:
        yield ("deliver", message)
        if state.doubled < bounds.doubles:
            yield ("double", message)
    for one in state.processes.values():
        now = one.local(state.now)
        if state.stood < bounds.stands and (one.standing is None or not one.standing.is_valid(now)):
            yield ("stand", one.name)
        if one.allocator is not None and one.standing is not None and one.standing.is_valid(now):
            if state.renewed < bounds.renews:
                yield ("renew", one.name)
        if state.asked < bounds.asks:
            for other in state.processes.values():
                if other.allocator is not None:
                    for need in bounds.needs:
                        yield ("ask", one.name, other.name, need)
        if state.crashed < bounds.crashes:
            yield ("crash", one.name)
            yield ("crash without file", one.name)
    after = [at for at in deadlines(state) if at > state.now]
    if after:
        yield ("time", str(min(after)))


def deadlines(state: State) -> Iterator[int]:
    """When, in true time, something runs out at somebody: nothing differs between two of them."""
    for one in state.processes.values():
        times = [one.voter.abstain_until_us, one.holder.until_us]
        if one.voter.promise is not None:
            times.append(one.voter.promise.until_us)
        if one.standing is not None:
            times.append(one.standing.until_us)
        if one.allocator is not None:
            times += [one.allocator.ready_us, *(b.until_us for b in one.allocator.ledger.values())]
        for at in times:
            yield -(-at * MILLION // one.rate_ppm)


def search(bounds: Bounds, rates: Sequence[int]) -> Found:
    """Breadth first from the beginning, for one setting of the clocks."""
    found, began = Found(rates=tuple(rates)), monotonic()
    first = begin(rates)
    seen = {first.key()}
    level: list[tuple[State, Path]] = [(first, None)]
    for depth in range(1, bounds.depth + 1):
        coming: list[tuple[State, Path]] = []
        for old, way in level:
            for action in actions(old, bounds):
                state = old.fork(touched(action))
                apply(state, action)
                key = state.key()
                if key in seen:
                    continue
                seen.add(key)
                after = (way, action)
                coming.append((state, after))
                if state.oversum() or len(seen) >= bounds.states:
                    found.script = script(after) if state.oversum() else []
                    found.whole = bool(found.script)
                    found.states, found.depth, found.seconds = len(seen), depth, monotonic() - began
                    return found
        found.depth = depth
        level = coming
    found.states, found.seconds = len(seen), monotonic() - began
    return found


def script(way: Path) -> list[str]:
    """The way to a state, one action a line; `replay` reads it."""
    steps = []
    while way is not None:
        way, action = way
        steps.append(text(action))
    return steps[::-1]


def replay(told: Sequence[str], rates: Sequence[int]) -> list[int]:
    """What is over the whole after each step of a script."""
    state = begin(rates)
    over = []
    for line in told:
        apply(state, tuple(line.split("\t")))
        over.append(state.oversum())
    return over


def clocks() -> list[tuple[int, ...]]:
    """Each of the three at either end of the drift."""
    slow, fast = MILLION - TERMS.drift_ppm, MILLION + TERMS.drift_ppm
    return list(product((slow, fast), repeat=len(NAMES)))
