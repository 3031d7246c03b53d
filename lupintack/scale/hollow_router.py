"""One hollow router: the real membership, budget and discovery code on real sockets, without threads.

A process of many hollow routers calls `on_wake` at `wake_us`, and its selector calls the socket callbacks.
The processor time of each call is counted for its part: membership, budgets, discovery or settings.
"""

from __future__ import annotations

import selectors
import time
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

from lupintack.budgets.regions import Region, plan_region, region_of_site
from lupintack.budgets.terms import Terms as BudgetTerms
from lupintack.clock import now_us
from lupintack.config import Names
from lupintack.core.table_updates import TableChange as ListChange
from lupintack.fleet.budget_levels import TwoLevels
from lupintack.fleet.budgets import BudgetService, budget
from lupintack.fleet.exchange import ExchangeService
from lupintack.fleet.fleet_address import FleetAddress
from lupintack.fleet.transport import FleetTransport
from lupintack.membership.changes import MembershipChange
from lupintack.membership.config import MembershipConfig
from lupintack.membership.view import State
from lupintack.scale.hollow_demand import Demand
from lupintack.scale.hollow_discovery import DiscoveryConnection
from lupintack.scale.hollow_messages import LeaseStatus, RouterReport, Setup, Usage
from lupintack.scale.hollow_network import Network
from lupintack.scale.hollow_plan import RouterPlan
from lupintack.scale.hollow_shared import SharedRings, SharedView

MAX_DATAGRAMS_PER_CALL = 16  # bounds the time for which one router blocks the others
NEVER_US = 1 << 62


class HollowExchanges(ExchangeService):
    """Exchanges and connection probes, blocked by cuts."""

    def __init__(self, exchanges: ExchangeService, passes: Callable[[int], bool]) -> None:
        """Take over the unopened listener of `exchanges`; `passes`: whether a port is reachable."""
        super().__init__(exchanges.listener, exchanges.on_request)
        exchanges.selector.close()
        self.passes = passes

    def begin_exchange(
        self, destination: tuple[str, int], frame: bytes, on_answer: Callable[[bytes], None]
    ) -> None:
        """Begin an exchange; across a cut it gets no answer."""
        if self.passes(destination[1]):
            super().begin_exchange(destination, frame, on_answer)

    def probe_connection(self, destination: tuple[str, int], on_result: Callable[[bool], None]) -> None:
        """Probe a connection; across a cut there is no result."""
        if self.passes(destination[1]):
            super().probe_connection(destination, on_result)


class HollowFleet(FleetTransport):
    """The fleet transport, whose datagrams are dropped at cuts."""

    def __init__(
        self,
        fleet_address: FleetAddress,
        seed: int,
        network: Network,
        on_change: Callable[[MembershipChange], None],
        usage: Usage,
    ) -> None:
        """Bind the sockets; `usage`: of the budgets, whose bytes are counted separately."""
        self.network = network
        self.budget_usage = usage
        super().__init__(fleet_address, MembershipConfig(), seed, on_change, lambda: True)
        self.datagram_socket.setblocking(False)
        self.exchanges = HollowExchanges(
            self.exchanges, lambda port: network.passes(fleet_address.name, port)
        )
        state = self.membership.state
        state.view = SharedView(state.config.max_records, state.config.tombstone_ttl_us)
        state.rings = SharedRings(state.config.ring_count)

    def send_datagram(self, raw: bytes, destination: tuple[str, int]) -> None:
        """Send a datagram; across a cut it is dropped."""
        if self.network.passes(self.fleet_address.name, destination[1]):
            super().send_datagram(raw, destination)

    def send_to_router(self, name: str, advertised: str, raw: bytes) -> None:
        """Send a datagram of the budgets, and count its bytes."""
        self.budget_usage.bytes_out += len(raw)
        super().send_to_router(name, advertised, raw)


class HollowRouter:
    """One run of one router, from its start to its end."""

    def __init__(
        self,
        plan: RouterPlan,
        setup: Setup,
        is_first: bool,
        network: Network,
        selector: selectors.BaseSelector,
        on_membership_change: Callable[[HollowRouter, MembershipChange], None],
        on_list_change: Callable[[ListChange], None],
        on_wake_change: Callable[[HollowRouter], None],
        revision: int,
    ) -> None:
        """`is_first`: the fleet's first router, without seeds; `on_wake_change`: `wake_us` may have changed;
        `revision`: of discovery, up to which the router's configuration is complete.
        """
        self.plan, self.selector = plan, selector
        self.on_wake_change = on_wake_change
        number = next(n for n, router in enumerate(setup.routers) if router.name == plan.name)
        self.usage = {"membership": Usage(), "budgets": Usage(), "discovery": Usage(), "settings": Usage()}
        by_name = {router.name: router for router in setup.routers}
        seeds = () if is_first else tuple(by_name[name].address for name in setup.voters)
        fleet_address = FleetAddress(
            plan.name, plan.site, ("127.0.0.1", plan.port), setup.fleet, setup.secret, seeds, {}
        )  # fmt: skip
        self.fleet = HollowFleet(
            fleet_address,
            setup.seed + number,
            network,
            lambda change: on_membership_change(self, change),
            self.usage["budgets"],
        )
        self.budgets = self._make_budgets(setup)
        self.fleet.budgets = self.budgets
        self.discovery = DiscoveryConnection(
            setup.discovery[number % len(setup.discovery)],
            Names((), tuple(sorted({r.site for r in setup.routers})), ("box", "parent", "origin"), ()),
            setup.seed + number,
            selector,
            self.on_discovery,
            on_list_change,
            lambda: network.reaches_discovery(plan.name),
        )
        self.discovery.client.load_initial_log({"rev": revision})
        self.voter = plan.name in setup.voters
        self.allocator = self.region_allocator = False  # at any time since the start of the measurement
        self.paused = False
        self.ended = False
        self.scheduled_us = NEVER_US  # the next wake-up in the process's heap
        self.max_tick_delay_us = 0
        self.measured_from_us = now_us()
        self.leases: list[LeaseStatus] = []
        self.initial_byte_counts: Counter[str] = Counter()

    def _make_budgets(self, setup: Setup) -> BudgetService:
        """Return the budget service as fleet/start.py builds it, with random demand."""
        budgets = [budget(b.name, b.total, True, b.reserved_per_mille) for b in setup.budgets]
        plan = None
        if setup.regions:
            regions = [Region(r.name, r.voters, r.sites) for r in setup.regions]
            plan = plan_region(budgets, regions, region_of_site(regions, self.plan.site))
            budgets = list(plan.budgets)
        numbers = {b.name: number for number, b in enumerate(setup.budgets)}
        self.budget_numbers = tuple(numbers[b.name] for b in budgets)
        budget_plans = [setup.budgets[number] for number in self.budget_numbers]
        demand = Demand(budget_plans, len(setup.routers), self.plan.site, Random(setup.seed ^ self.plan.port))
        service = BudgetService(
            self.plan.name, self.fleet.membership.me.start, setup.fleet, setup.tmp, budgets,
            setup.voters, setup.voters, BudgetTerms(), self.fleet.codec, self.fleet.send_to_router,
            self.fleet.address, self._record_lease,
            lambda: service.set_demand(demand.draw(now_us()), service.node.holder.zero), plan,
        )  # fmt: skip
        return service

    # Lifecycle

    def start(self) -> None:
        """Open all sockets and start the membership."""
        self.fleet.exchanges.open()
        self._register_sockets()
        self.measured_from_us = now_us()
        self.timed(
            "membership", lambda: self.fleet.execute(self.fleet.call_membership(self.fleet.membership.start))
        )

    def kill(self) -> None:
        """End without notice; the kernel refuses later packets."""
        now = now_us()
        self._end_lease(now)
        self._unregister_sockets()
        self.fleet.close()
        self.fleet.exchanges.close()
        self.discovery.close()
        self.ended = True

    def leave(self) -> None:
        """Announce that this router leaves; it is killed a little later."""
        self.fleet.execute(self.fleet.call_membership(self.fleet.membership.leave))
        self.budgets.leave()

    def pause(self) -> None:
        """Stop all work until `resume`; the kernel buffers what arrives."""
        self.paused = True
        self._unregister_sockets()
        self.discovery.pause()

    def resume(self) -> None:
        """Continue, with all due ticks late."""
        self.paused = False
        self._register_sockets()
        self.discovery.resume()
        self.notify_wake_change()

    def allocates(self, now: int) -> bool:
        """Return whether it is the fleet's allocator."""
        levels = self.budgets.levels
        if isinstance(levels, TwoLevels):
            return levels.node.fleet.is_allocator(now)
        return self.budgets.allocates(now)

    def allocates_region(self, now: int) -> bool:
        """Return whether it is its region's allocator."""
        return isinstance(self.budgets.levels, TwoLevels) and self.budgets.allocates(now)

    @property
    def joined(self) -> bool:
        """Whether its own state is ALIVE."""
        return self.fleet.membership.me.state is State.ALIVE

    # Callbacks of the event loop

    @property
    def wake_us(self) -> int:
        """The time of the next due call of `on_wake`."""
        fleet = self.fleet
        times = (
            fleet.membership.wake_us,
            self.budgets.next_step_us,
            fleet.exchanges.wake_us,
            self.discovery.wake_us,
        )
        return min(times)

    def notify_wake_change(self) -> None:
        """Report that `wake_us` may have changed."""
        self.on_wake_change(self)

    def on_wake(self, now: int) -> None:
        """Run all due steps."""
        self.max_tick_delay_us = max(self.max_tick_delay_us, now - self.scheduled_us)
        self.scheduled_us = NEVER_US
        if now >= self.fleet.membership.wake_us:
            self.timed("membership", lambda: self.fleet.process(b""))
        if now >= self.budgets.next_step_us:
            self.timed("budgets", self.budgets.step)
            self.allocator = self.allocator or self.allocates(now)
            self.region_allocator = self.region_allocator or self.allocates_region(now)
        if now >= self.fleet.exchanges.wake_us:
            self.on_exchanges()
        if now >= self.discovery.wake_us:
            self.timed("discovery", lambda: self.discovery.on_wake(now))
        self.notify_wake_change()

    def on_datagrams(self) -> None:
        """Read and process waiting datagrams, a bounded number."""
        for _ in range(MAX_DATAGRAMS_PER_CALL):
            try:
                raw = self.fleet.read_datagram()
            except OSError:  # an earlier datagram was refused
                self.fleet.counters["errors"] += 1
                continue
            if not raw:
                break
            if raw[:1] == b"B":
                self.usage["budgets"].bytes_in += len(raw)
                self.timed("budgets", lambda raw=raw: self.fleet.process(raw))  # type: ignore[misc]
            else:
                self.timed("membership", lambda raw=raw: self.fleet.process(raw))  # type: ignore[misc]
        self.notify_wake_change()

    def on_exchanges(self) -> None:
        """Serve exchanges and connection probes."""
        self.timed("membership", lambda: self.fleet.exchanges.poll(0.0))
        self.notify_wake_change()

    def on_discovery(self) -> None:
        """Serve the connection to discovery."""
        self.timed("discovery", self.discovery.on_readable)
        if self.discovery.lines is None:  # otherwise its deadline has only moved later
            self.notify_wake_change()

    # Measurement

    def start_measurement(self) -> None:
        """Reset the results and start the measurement."""
        self.measured_from_us = now_us()
        self.max_tick_delay_us = 0
        self.allocator = self.allocates(self.measured_from_us)
        self.region_allocator = self.allocates_region(self.measured_from_us)
        for usage in self.usage.values():
            usage.cpu_ns = usage.bytes_in = usage.bytes_out = 0
        self.initial_byte_counts = Counter(self._byte_counts())

    def report(self) -> RouterReport:
        """Return the results since the start of the measurement, or of this router."""
        now = now_us()
        self._end_lease(now)
        counts = self._byte_counts()
        counts.subtract(self.initial_byte_counts)
        budgets, discovery, membership = (self.usage[n] for n in ("budgets", "discovery", "membership"))
        discovery.bytes_in, discovery.bytes_out = counts["discovery.in"], counts["discovery.out"]
        membership.bytes_in = counts["fleet.in"] - budgets.bytes_in + counts["exchanged.in"]
        membership.bytes_out = counts["fleet.out"] - budgets.bytes_out + counts["exchanged.out"]
        return RouterReport(
            self.plan.name, now - self.measured_from_us, self.voter, self.allocator, self.region_allocator,
            membership, budgets, discovery, self.usage["settings"],
            self.max_tick_delay_us, tuple(self.leases),
        )  # fmt: skip

    def _byte_counts(self) -> Counter[str]:
        fleet, exchanges = self.fleet.counters, self.fleet.exchanges.counters
        return Counter(
            {
                "fleet.in": fleet["bytes.in"],
                "fleet.out": fleet["bytes.out"],
                "exchanged.in": exchanges["exchanged.in"],
                "exchanged.out": exchanges["exchanged.out"],
                "discovery.in": self.discovery.bytes_in,
                "discovery.out": self.discovery.bytes_out,
            }
        )

    def _record_lease(self, amounts: tuple[int, ...], until_us: int) -> None:
        """Record a lease and end the previous one now, if it has not expired; `until_us` 0: no expiry."""
        now = now_us()
        held_amounts = tuple(
            (n, units) for n, units in zip(self.budget_numbers, amounts, strict=True) if units
        )
        until_us = until_us or NEVER_US
        last = self.leases[-1] if self.leases else None
        if last is not None and last.amounts == held_amounts and now <= last.until_us:
            self.leases[-1] = LeaseStatus(last.from_us, until_us, held_amounts)
            return
        self._end_lease(now)
        self.leases.append(LeaseStatus(now, until_us, held_amounts))

    def _end_lease(self, now: int) -> None:
        if self.leases and self.leases[-1].until_us > now:
            last = self.leases[-1]
            self.leases[-1] = LeaseStatus(last.from_us, now, last.amounts)

    def timed(self, part: str, action: Callable[[], Any]) -> None:
        """Call `action`, and count its processor time for a part of this router."""
        began = time.thread_time_ns()
        action()
        self.usage[part].cpu_ns += time.thread_time_ns() - began

    def _register_sockets(self) -> None:
        self.selector.register(self.fleet.datagram_socket, selectors.EVENT_READ, self.on_datagrams)
        self.selector.register(self.fleet.exchanges.selector, selectors.EVENT_READ, self.on_exchanges)

    def _unregister_sockets(self) -> None:
        for file in (self.fleet.datagram_socket, self.fleet.exchanges.selector):
            try:
                self.selector.unregister(file)
            except KeyError:
                pass
