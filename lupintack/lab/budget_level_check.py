"""A breadth-first search over all interleavings of budgets of two levels.

One region has two successive allocators and two routers; the fleet has two successive allocators. The other
region is only a lease holder at the fleet's level. The search runs the protocol's own classes.
`budget_check` checks that two tenures of one level never overlap: here a tenure ends when the next one
begins, while its late messages are still in flight. Time advances to the next deadline or past the last.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from copy import copy
from dataclasses import dataclass
from itertools import product
from random import Random
from time import monotonic

from lupintack.budgets.allocator import Allocator
from lupintack.budgets.election import Election
from lupintack.budgets.hierarchy import TwoLevelNode
from lupintack.budgets.invariant import Violation
from lupintack.budgets.lease import LeaseHolder
from lupintack.budgets.messages import Epoch, LeaseRequest
from lupintack.budgets.terms import MILLION
from lupintack.lab.budget_check import SearchResult
from lupintack.lab.budget_level_state import (
    DEMAND,
    ENDLESS_US,
    FLEET_ALLOCATORS,
    FLEET_TOTAL_UNITS,
    OTHER,
    PLAN,
    REGION,
    REGION_ALLOCATORS,
    ROUTERS,
    TERMS,
    Envelope,
    LevelState,
    Rates,
    Step,
)


@dataclass(frozen=True, slots=True)
class LevelBounds:
    """Limits of the search: depth, states, and how often each action may occur on one path."""

    max_depth: int = 7
    max_requests: int = 3  # of a router or of the other region
    max_parent_requests: int = 2
    max_duplicates: int = 1
    max_crashes: int = 1  # of a router
    max_fleet_successions: int = 1
    max_region_successions: int = 1
    max_states: int = 2_000_000


def initial_state(rates: Rates) -> LevelState:
    """Return the state in which F1 and R1 allocate and all units are leased to the region's routers."""
    state = LevelState(rates)
    succeed_fleet_allocator(state)
    succeed_region_allocator(state)
    state.allocator.elected_us -= TERMS.lease_us
    assert state.node.region.allocator is not None
    state.node.region.allocator.elected_us -= TERMS.lease_us
    for name in (*ROUTERS, OTHER):
        state.holders[name] = LeaseHolder(name, 1, 1, TERMS)
    for kind, name in (("ask", "a"), ("ask parent", ""), ("ask", "a"), ("ask", "b")):
        apply_step(state, Step(kind, name))
        while state.envelopes:
            deliver(state, state.envelopes.pop(0))
    state.requests = state.parent_requests = 0
    return state


def succeed_fleet_allocator(state: LevelState) -> None:
    """End the current tenure of the fleet's allocator and begin the next."""
    name = FLEET_ALLOCATORS[len(state.fleet)]
    now = state.local_us(state.rates.fleet)
    allocator = Allocator(Epoch(len(state.fleet) + 1, name, 1), (FLEET_TOTAL_UNITS,), TERMS, now)
    allocator.shared_names = frozenset((REGION, OTHER))
    state.fleet[name] = allocator


def succeed_region_allocator(state: LevelState) -> None:
    """End the current tenure of the region's allocator and begin the next."""
    now = state.local_us(state.rates.region)
    if state.nodes:
        previous_election = state.node.region.election
        assert previous_election is not None
        ended_election = copy(previous_election)
        ended_election.until_us = now
        state.node.region.election = ended_election
    name = REGION_ALLOCATORS[len(state.nodes)]
    node = TwoLevelNode(name, 1, FLEET_ALLOCATORS, PLAN, TERMS, Random(1), now)
    election = Election(Epoch(len(state.nodes) + 1, name, 1), REGION_ALLOCATORS, TERMS)
    election.until_us = ENDLESS_US
    allocator = Allocator(election.epoch, PLAN.region_pool, TERMS, now)
    node._prepare_region(allocator)
    node.region.election, node.region.allocator = election, allocator
    state.nodes[name] = node
    node._connect_levels(now)


def call_node(node: TwoLevelNode, now: int, call: Callable[[], None]) -> None:
    """Call a region's allocator and connect its levels before and after, as TwoLevelNode does."""
    node._connect_levels(now)
    call()
    node._connect_levels(now)


def deliver(state: LevelState, envelope: Envelope) -> None:
    """Deliver a message; an allocator ignores requests after the end of its tenure."""
    to, sender, message = envelope
    if to in state.fleet:
        if state.fleet[to] is state.allocator and isinstance(message, LeaseRequest):
            answer_request(state, envelope, state.allocator, state.local_us(state.rates.fleet))
    elif to in state.nodes:
        node, now = state.nodes[to], state.local_us(state.rates.region)
        call_node(node, now, lambda: deliver_to_node(state, envelope, node, now))
    elif not isinstance(message, LeaseRequest):
        state.holders[to].accept(message, state.local_us(state.rates.holders))


def deliver_to_node(state: LevelState, envelope: Envelope, node: TwoLevelNode, now: int) -> None:
    """Deliver a router's request, or a grant of the fleet's allocator."""
    message = envelope.message
    if not isinstance(message, LeaseRequest):
        if node.fleet.requests_leases:
            node.fleet.holder.accept(message, now)
    elif node.region.is_allocator(now) and node.region.allocator is not None:
        answer_request(state, envelope, node.region.allocator, now)


def answer_request(state: LevelState, envelope: Envelope, allocator: Allocator, now: int) -> None:
    """Answer a request with a grant, if there is one."""
    assert isinstance(envelope.message, LeaseRequest)
    grant = allocator.handle_request(envelope.message, now)
    if grant is not None:
        state.envelopes.append(Envelope(envelope.sender, envelope.to, grant))


def apply_step(state: LevelState, step: Step) -> None:
    """Apply one step."""
    match step.kind:
        case "time":
            state.now = step.at_us
        case "deliver" | "double":
            assert step.envelope is not None
            if step.kind == "deliver":
                state.envelopes.remove(step.envelope)
            else:
                state.duplicates += 1
            deliver(state, step.envelope)
        case "ask":
            request_lease(state, step.name)
        case "ask parent":
            state.parent_requests += 1
            node, now = state.node, state.local_us(state.rates.region)
            call_node(node, now, lambda: request_parent_lease(state, node, now))
        case "crash":
            state.crashes += 1
            state.holders[step.name] = LeaseHolder(step.name, state.holders[step.name].start + 1, 1, TERMS)
        case "follow fleet":
            succeed_fleet_allocator(state)
        case "follow region":
            succeed_region_allocator(state)


def request_lease(state: LevelState, name: str) -> None:
    """Request a lease: a router from its region's allocator, the other region from the fleet's."""
    state.requests += 1
    epoch = state.allocator.epoch if name == OTHER else state.node.tenure
    assert epoch is not None
    request = state.holders[name].request(epoch, (DEMAND,), state.local_us(state.rates.holders), in_use=(0,))
    state.envelopes.append(Envelope(epoch.name, name, request))


def request_parent_lease(state: LevelState, node: TwoLevelNode, now: int) -> None:
    """Request a parent lease from the fleet's allocator."""
    epoch, fleet = state.allocator.epoch, node.fleet
    request = fleet.holder.request(epoch, fleet.demand, now, in_use=fleet.in_use)
    state.envelopes.append(Envelope(epoch.name, node.name, request))


def possible_steps(state: LevelState, bounds: LevelBounds) -> Iterator[Step]:
    """Yield every step that is possible next."""
    for envelope in state.envelopes:
        yield Step("deliver", envelope=envelope)
        if state.duplicates < bounds.max_duplicates:
            yield Step("double", envelope=envelope)
    if state.requests < bounds.max_requests:
        yield from (Step("ask", name) for name in state.holders)
    if state.parent_requests < bounds.max_parent_requests:
        yield Step("ask parent")
    if state.crashes < bounds.max_crashes:
        yield from (Step("crash", name) for name in ROUTERS)
    if len(state.fleet) <= bounds.max_fleet_successions:
        yield Step("follow fleet")
    if len(state.nodes) <= bounds.max_region_successions:
        yield Step("follow region")
    later = [time for time in deadlines(state) if time > state.now]
    if later:
        yield Step("time", at_us=min(later))
    if len(later) > 1:
        yield Step("time", at_us=max(later))


def deadlines(state: LevelState) -> Iterator[int]:
    """Yield the true times at which something expires; between two of them no behaviour changes."""
    rates = state.rates
    near_end = TERMS.request_interval_us * 5 // 4
    for holder in state.holders.values():
        yield -(-holder.until_us * MILLION // rates.holders)
    for node in state.nodes.values():
        times = [node.fleet.holder.until_us, node.fleet.holder.until_us - near_end]
        if node.region.allocator is not None:
            times += allocator_times(node.region.allocator)
        yield from (-(-local_us * MILLION // rates.region) for local_us in times)
    for allocator in state.fleet.values():
        yield from (-(-local_us * MILLION // rates.fleet) for local_us in allocator_times(allocator))


def allocator_times(allocator: Allocator) -> list[int]:
    """Return when an allocator becomes ready and its ledger entries expire, on its own clock."""
    return [allocator.ready_us, *(entry.until_us for entry in allocator.ledger.values())]


Path = tuple["Path | None", Step]


def search(bounds: LevelBounds, rates: Rates) -> SearchResult:
    """Search breadth-first from the initial state, with one combination of clock rates."""
    result, started_s = SearchResult(rates=tuple(rates)), monotonic()
    initial = initial_state(rates)
    visited = {initial.key()}
    frontier: list[tuple[LevelState, Path | None]] = [(initial, None)]
    for depth in range(1, bounds.max_depth + 1):
        next_frontier: list[tuple[LevelState, Path | None]] = []
        for previous, path in frontier:
            for step in possible_steps(previous, bounds):
                state = previous.fork()
                apply_step(state, step)
                key = state.key()
                if key in visited:
                    continue
                visited.add(key)
                next_path: Path = (path, step)
                next_frontier.append((state, next_path))
                violations = state.violations()
                if violations or len(visited) >= bounds.max_states:
                    result.script = [*script(next_path), str(violations[0])] if violations else []
                    result.is_complete = bool(violations)
                    result.states, result.depth, result.seconds = len(visited), depth, monotonic() - started_s
                    return result
        result.depth = depth
        frontier = next_frontier
    result.states, result.seconds = len(visited), monotonic() - started_s
    return result


def script(path: Path | None) -> list[str]:
    """Return the path to a state, one step per line."""
    lines = []
    while path is not None:
        path, step = path
        lines.append(str(step))
    return lines[::-1]


def replay(steps: Sequence[Step], rates: Rates) -> list[list[Violation]]:
    """Return the violations after each step; `deliver` with a name takes its first message."""
    state, violations = initial_state(rates), []
    for step in steps:
        if step.kind in ("deliver", "double") and step.envelope is None:
            step = step._replace(
                envelope=next(envelope for envelope in state.envelopes if envelope.to == step.name)
            )
        apply_step(state, step)
        violations.append(state.violations())
    return violations


def clock_rates() -> list[Rates]:
    """Return all combinations of the three clocks' rates, each at either end of the drift."""
    slow, fast = MILLION - TERMS.drift_ppm, MILLION + TERMS.drift_ppm
    return [Rates(*rates) for rates in product((slow, fast), repeat=3)]
