"""A breadth-first search over all interleavings of a few voters, allocators and holders.

The search runs the protocol's own classes, not a model of them. The invariant is checked in each state, and
each clock runs at the lowest or the highest rate that the drift allows.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from itertools import product
from time import monotonic
from typing import Any

from lupintack.budgets.allocator import Allocator
from lupintack.budgets.election import Election
from lupintack.budgets.lease import LeaseHolder
from lupintack.budgets.messages import Epoch, LeaseGrant, LeaseRequest, Message, VoteReply, VoteRequest
from lupintack.budgets.terms import MILLION
from lupintack.budgets.voter import Voter
from lupintack.lab.budget_check_state import NAMES, TERMS, TOTAL_UNITS, Process, State


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits of the search: depth, states, and how often each action may occur on one path."""

    max_depth: int = 9
    max_candidacies: int = 1
    max_crashes: int = 1
    max_duplicates: int = 1
    max_requests: int = 3
    max_renewals: int = 1
    demands: tuple[str, ...] = ("2",)
    max_states: int = 2_000_000


@dataclass(slots=True)
class SearchResult:
    """The result of a search."""

    states: int = 0
    depth: int = 0
    seconds: float = 0.0
    is_complete: bool = True  # whether every state up to the depth was checked
    script: list[str] = field(default_factory=list)  # the shortest path to a sum of leases above the total
    rates: tuple[int, ...] = ()


Action = tuple[Any, ...]


Path = tuple[Any, Action] | None  # the path to the previous state, and the last action


def action_text(action: Action) -> str:
    """Return an action as a line of a script."""
    return "\t".join(part if isinstance(part, str) else repr(part) for part in action)


def changed_processes(action: Action) -> tuple[str, ...]:
    """Return the processes that an action can change."""
    if action[0] in ("deliver", "double"):
        return (str(action[1][0]),)
    if action[0] == "renew":
        return NAMES
    return () if action[0] == "time" else (str(action[1]),)


def initial_state(rates: Sequence[int]) -> State:
    """Return the state in which `a` allocates, `a` and `b` lease one unit each, and `c` none."""
    state = State(0, {})
    for name, rate in zip(NAMES, rates, strict=True):
        state.processes[name] = Process(
            name, rate, Voter(name, TERMS, None, 0), LeaseHolder(name, 1, 1, TERMS)
        )
    state.now = 10_000  # no voter abstains any more
    apply_action(state, ("stand", "a"))
    for name in ("b", "c"):
        deliver(state, next(message for message in state.messages if message[0] == name))
    while state.messages:
        deliver(state, state.messages[0])
    allocating = state.processes["a"]
    assert allocating.allocator is not None
    allocating.allocator.elected_us -= TERMS.lease_us
    for name in ("a", "b", "a", "b"):
        apply_action(state, ("ask", name, "a", "2"))
        while state.messages:
            deliver(state, state.messages[0])
    state.candidacies = state.requests = 0
    return state


def deliver(state: State, message: tuple[str, str, Message], is_duplicate: bool = False) -> None:
    """Deliver a message; with `is_duplicate` it stays in flight, to be delivered again."""
    if not is_duplicate:
        state.messages.remove(message)
    receiver, sender, body = message
    process = state.processes[receiver]
    now = process.local_us(state.now)
    if isinstance(body, VoteRequest):
        answer = process.voter.handle_request(body, now)
        process.stored_promise = process.voter.promise
        state.messages.append((sender, receiver, answer))
    elif isinstance(body, VoteReply):
        handle_vote_reply(process, body, now)
    elif isinstance(body, LeaseRequest):
        if process.allocator is not None and process.election is not None and process.election.is_valid(now):
            grant = process.allocator.handle_request(body, now)
            if grant is not None:
                state.messages.append((sender, receiver, grant))
    elif isinstance(body, LeaseGrant):
        process.holder.accept(body, now)


def handle_vote_reply(process: Process, reply: VoteReply, now: int) -> None:
    """Handle a vote reply; a process that wins a majority becomes the allocator."""
    if (
        process.election is not None
        and process.election.handle_reply(reply, now)
        and process.allocator is None
    ):
        process.allocator = Allocator(process.election.epoch, (TOTAL_UNITS,), TERMS, now)


def apply_action(state: State, action: Action) -> None:
    """Apply one action of a process, of the network or of time."""
    kind, *arguments = action
    if kind == "time":
        state.now = int(arguments[0])
    elif kind in ("deliver", "double"):
        is_duplicate = kind == "double"
        state.duplicates += is_duplicate
        deliver(state, message_of(state, arguments[0]), is_duplicate)
    elif kind == "stand":
        begin_election(state, state.processes[arguments[0]])
    elif kind == "renew":
        renew_term(state, state.processes[arguments[0]])
    elif kind == "ask":
        name, allocator_name, demand = arguments
        request_lease(state, state.processes[name], allocator_name, int(demand))
    elif kind in ("crash", "crash without file"):
        restart(state, state.processes[arguments[0]], keeps_file=kind == "crash")


def message_of(state: State, argument: Any) -> tuple[str, str, Message]:
    """Return the message of an action; a replayed script identifies it by its repr."""
    if isinstance(argument, str):
        return next(message for message in state.messages if repr(message) == argument)
    message: tuple[str, str, Message] = argument
    return message


def begin_election(state: State, process: Process) -> None:
    """Make a process a candidate for the next epoch."""
    now = process.local_us(state.now)
    state.candidacies += 1
    process.counter = max(process.counter, process.voter.highest_counter) + 1
    process.election = Election(Epoch(process.counter, process.name, process.start), NAMES, TERMS)
    process.allocator = None
    vote = process.election.start_round(now)
    state.messages += [(name, process.name, vote) for name in NAMES if name != process.name]
    reply = process.voter.handle_request(vote, now)
    process.stored_promise = process.voter.promise
    handle_vote_reply(process, reply, now)


def renew_term(state: State, process: Process) -> None:
    """Renew an allocator's term with all replies in one step; only elections are interleaved with others."""
    assert process.election is not None
    now = process.local_us(state.now)
    state.renewals += 1
    vote = process.election.start_round(now)
    for other in state.processes.values():
        reply = other.voter.handle_request(vote, other.local_us(state.now))
        other.stored_promise = other.voter.promise
        handle_vote_reply(process, reply, now)


def request_lease(state: State, process: Process, allocator_name: str, demand: int) -> None:
    """Request a lease from an allocator, which may be the process itself."""
    now = process.local_us(state.now)
    state.requests += 1
    allocator = state.processes[allocator_name].allocator
    assert allocator is not None
    request = process.holder.request(allocator.epoch, (demand,), now)
    if allocator_name != process.name:
        state.messages.append((allocator_name, process.name, request))
    elif process.election is not None and process.election.is_valid(now):
        grant = allocator.handle_request(request, now)
        if grant is not None:
            process.holder.accept(grant, now)


def restart(state: State, process: Process, keeps_file: bool) -> None:
    """Crash a process and restart it, with or without its vote file."""
    state.crashes += 1
    process.start += 1
    stored = process.stored_promise if keeps_file else None
    process.voter = Voter(process.name, TERMS, stored, process.local_us(state.now))
    process.holder = LeaseHolder(process.name, process.start, 1, TERMS)
    process.election = process.allocator = None
    process.counter = 0


def possible_actions(state: State, bounds: Bounds) -> Iterator[Action]:
    """Yield every action that is possible next."""
    for message in state.messages:
        yield ("deliver", message)
        if state.duplicates < bounds.max_duplicates:
            yield ("double", message)
    for process in state.processes.values():
        yield from possible_actions_of(state, process, bounds)
    later = [time for time in deadlines(state) if time > state.now]
    if later:
        yield ("time", str(min(later)))


def possible_actions_of(state: State, process: Process, bounds: Bounds) -> Iterator[Action]:
    """Yield every action that one process can take next."""
    is_elected = process.election is not None and process.election.is_valid(process.local_us(state.now))
    if state.candidacies < bounds.max_candidacies and not is_elected:
        yield ("stand", process.name)
    if process.allocator is not None and is_elected and state.renewals < bounds.max_renewals:
        yield ("renew", process.name)
    if state.requests < bounds.max_requests:
        allocators = [other.name for other in state.processes.values() if other.allocator is not None]
        for name in allocators:
            for demand in bounds.demands:
                yield ("ask", process.name, name, demand)
    if state.crashes < bounds.max_crashes:
        yield ("crash", process.name)
        yield ("crash without file", process.name)


def deadlines(state: State) -> Iterator[int]:
    """Yield the true times at which something expires; between two of them no behaviour changes."""
    for process in state.processes.values():
        times = [process.voter.abstain_until_us, process.holder.until_us]
        if process.voter.promise is not None:
            times.append(process.voter.promise.until_us)
        if process.election is not None:
            times.append(process.election.until_us)
        if process.allocator is not None:
            times += [
                process.allocator.ready_us,
                *(entry.until_us for entry in process.allocator.ledger.values()),
            ]
        for local_us in times:
            yield -(-local_us * MILLION // process.rate_ppm)


def search(bounds: Bounds, rates: Sequence[int]) -> SearchResult:
    """Search breadth-first from the initial state, with one combination of clock rates."""
    result, started_s = SearchResult(rates=tuple(rates)), monotonic()
    initial = initial_state(rates)
    visited = {initial.key()}
    frontier: list[tuple[State, Path]] = [(initial, None)]
    for depth in range(1, bounds.max_depth + 1):
        next_frontier: list[tuple[State, Path]] = []
        for previous, path in frontier:
            for action in possible_actions(previous, bounds):
                state = previous.fork(changed_processes(action))
                apply_action(state, action)
                key = state.key()
                if key in visited:
                    continue
                visited.add(key)
                next_path = (path, action)
                next_frontier.append((state, next_path))
                if state.excess_units() or len(visited) >= bounds.max_states:
                    result.script = script(next_path) if state.excess_units() else []
                    result.is_complete = bool(result.script)
                    result.states, result.depth, result.seconds = len(visited), depth, monotonic() - started_s
                    return result
        result.depth = depth
        frontier = next_frontier
    result.states, result.seconds = len(visited), monotonic() - started_s
    return result


def script(path: Path) -> list[str]:
    """Return the path to a state as lines that `replay` reads, one action per line."""
    steps = []
    while path is not None:
        path, action = path
        steps.append(action_text(action))
    return steps[::-1]


def replay(script_lines: Sequence[str], rates: Sequence[int]) -> list[int]:
    """Return the units leased in excess of the total after each step of a script."""
    state = initial_state(rates)
    excess_units = []
    for line in script_lines:
        apply_action(state, tuple(line.split("\t")))
        excess_units.append(state.excess_units())
    return excess_units


def clock_rates() -> list[tuple[int, ...]]:
    """Return all combinations of the three clocks' rates, each at either end of the drift."""
    slow, fast = MILLION - TERMS.drift_ppm, MILLION + TERMS.drift_ppm
    return list(product((slow, fast), repeat=len(NAMES)))
