"""Cost of a lease request to the fleet's allocator, by number of holders and budgets.

Holders send requests in turn, each once per request interval, on a clock that the requests advance, so shares
are computed as often as in a running fleet. All holders request the first budgets; only the holders of one
site request each of the others. `cpu_us` is the allocator's time alone; the details have the codec's time and
the first request of a new holder.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from random import Random
from time import thread_time_ns

from lupintack.budgets.allocator import Allocator
from lupintack.budgets.codec import BudgetCodec
from lupintack.budgets.messages import Epoch, LeaseGrant, LeaseRequest
from lupintack.budgets.terms import Terms
from lupintack.membership.messages import MessageCodec
from lupintack.scale.slope import Parameters, Role, Sample, deep_bytes

COMMON_BUDGETS = 3  # requested by every holder
COMMON_UNITS_PER_HOLDER = 10  # of a common budget's total
SITE_UNITS = 32  # the total of a site's budget
DEMAND_CHANGE_PROBABILITY = 0.25  # that a holder's demand differs from that of its last request
MIN_REQUESTS = 150  # in one repeat
SHARE_INTERVALS = 3  # in one repeat, at least
NEWCOMERS = 3
MICROSECONDS = 1_000_000


@dataclass(slots=True)
class SimulatedHolder:
    """The state of a simulated holder."""

    name: str
    demand: tuple[int, ...]
    sequence: int = 0
    held: tuple[int, ...] = ()


@dataclass(slots=True)
class FillableAllocator(Allocator):
    """Computes no shares while its ledger is filled: each new holder would cause it for all holders."""

    filling: bool = field(default=False)

    def compute_shares(self, now: int) -> None:
        """Compute the shares unless the ledger is being filled."""
        if not self.filling:
            Allocator.compute_shares(self, now)


class AllocatorSubject:
    """An allocator with all holders in its ledger, past the wait of a new epoch."""

    def __init__(self, parameters: Parameters) -> None:
        """Create an allocator and fill its ledger."""
        self.size, self.budgets = parameters.size, parameters.budgets
        self.random = Random(parameters.seed)
        self.terms = Terms()
        self.now_us = 1_000_000_000
        self.epoch = Epoch(1, "n0", 1)
        totals = [
            COMMON_UNITS_PER_HOLDER * self.size if n < COMMON_BUDGETS else SITE_UNITS
            for n in range(self.budgets)
        ]
        elected_us = self.now_us - 2 * self.terms.lease_us
        self.allocator = FillableAllocator(self.epoch, tuple(totals), self.terms, elected_us)
        self.codec = BudgetCodec(MessageCodec("slope", "a secret of this run"), self.budgets)
        self.holders = [self.new_holder(f"n{number}", number) for number in range(self.size)]
        self.step_us = max(1, self.terms.request_interval_us // self.size)
        self.turn = 0
        self.newcomers = 0
        self.fill()

    def new_holder(self, name: str, number: int) -> SimulatedHolder:
        """Return a holder with demand for the common budgets and its site's."""
        sites = max(0, self.budgets - COMMON_BUDGETS)
        demand = [0] * self.budgets
        for n in range(min(COMMON_BUDGETS, self.budgets)):
            demand[n] = self.common_demand()
        if sites:
            demand[COMMON_BUDGETS + number % sites] = self.random.randrange(1, 8)
        return SimulatedHolder(name, tuple(demand), held=(0,) * self.budgets)

    def common_demand(self) -> int:
        """Return random demand, about the available units per holder on average."""
        return self.random.randrange(2 * COMMON_UNITS_PER_HOLDER)

    def fill(self) -> None:
        """Send each holder's first request at the same time, then one that computes shares."""
        self.allocator.filling = True
        for holder in self.holders:
            self.request(holder)
        self.allocator.filling = False
        self.allocator.shares_computed_us = -1
        self.step()

    def next_request(self, holder: SimulatedHolder) -> LeaseRequest:
        """Return a holder's next request, with changed demand at random."""
        if self.random.random() < DEMAND_CHANGE_PROBABILITY:
            n = self.random.randrange(min(COMMON_BUDGETS, self.budgets))
            holder.demand = (*holder.demand[:n], self.common_demand(), *holder.demand[n + 1 :])
        holder.sequence += 1
        in_use = tuple(amount // 2 for amount in holder.held)
        return LeaseRequest(
            holder.name, 1, holder.sequence, self.epoch, holder.demand, holder.held, in_use=in_use
        )

    def request(self, holder: SimulatedHolder) -> int:
        """Send one request and return the processor time of the allocator in nanoseconds."""
        lease_request = self.next_request(holder)
        began = thread_time_ns()
        grant = self.allocator.handle_request(lease_request, self.now_us)
        spent = thread_time_ns() - began
        assert grant is not None
        holder.held = grant.amounts
        return spent

    def step(self) -> int:
        """Advance the clock and send the next holder's request."""
        self.now_us += self.step_us
        self.turn = (self.turn + 1) % self.size
        return self.request(self.holders[self.turn])

    def sample(self) -> Sample:
        """Measure one repeat."""
        per_interval = self.size * self.terms.share_interval_us / self.terms.request_interval_us
        requests = max(MIN_REQUESTS, math.ceil(SHARE_INTERVALS * per_interval))
        cpu_us = sum(self.step() for _ in range(requests)) / 1000 / requests
        requests_per_s = self.size * MICROSECONDS / self.terms.request_interval_us
        request_bytes, grant_bytes, codec_us = self.measure_codec(self.holders[self.turn])
        details = {
            "requests_per_s": round(requests_per_s, 2),
            "core_share": round((cpu_us + codec_us) * requests_per_s / MICROSECONDS, 4),
            "codec_cpu_us": codec_us,
            "request_bytes": request_bytes,
            "grant_bytes": grant_bytes,
            "newcomer_cpu_us": self.newcomer_us(),
        }
        return Sample(round(cpu_us, 3), request_bytes + grant_bytes, 2.0, details)

    def measure_codec(self, holder: SimulatedHolder) -> tuple[float, float, float]:
        """Return the bytes of a request and of a grant, and the codec's processor time for both."""
        lease_request = LeaseRequest(
            holder.name, 1, holder.sequence, self.epoch, holder.demand, holder.held, in_use=holder.held
        )
        grant = LeaseGrant(self.epoch, holder.name, 1, holder.sequence, holder.held)
        raw = self.codec.encode(holder.name, "192.0.2.10:9092", lease_request)
        began = thread_time_ns()
        for _ in range(MIN_REQUESTS):
            self.codec.decode(raw)
            answer = self.codec.encode("n0", "192.0.2.11:9092", grant)
        codec_us = (thread_time_ns() - began) / 1000 / MIN_REQUESTS
        return float(len(raw)), float(len(answer)), round(codec_us, 3)

    def newcomer_us(self) -> float:
        """Return the processor time of a new holder's first request; the holder leaves afterwards."""
        spent = 0
        for _ in range(NEWCOMERS):
            self.newcomers += 1
            holder = self.new_holder(f"new{self.newcomers}", self.newcomers)
            spent += self.request(holder)
            holder.sequence += 1
            zero = (0,) * self.budgets
            leaving = LeaseRequest(holder.name, 1, holder.sequence, self.epoch, zero, zero, leaving=True)
            self.allocator.handle_request(leaving, self.now_us)
        return round(spent / 1000 / NEWCOMERS, 3)

    def state_bytes(self) -> int:
        """Return the memory of the allocator with its ledger and shares."""
        return deep_bytes(self.allocator)

    def close(self) -> None:
        """Do nothing: no resources are open."""


ROLE = Role(
    name="allocator",
    per="lease request",
    size_label="holders",
    make=AllocatorSubject,
    memory_bytes=lambda parameters: 40_000_000 + parameters.size * (3_000 + 400 * parameters.budgets),
)
