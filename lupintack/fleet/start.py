"""Assembles a router's fleet modules from the operator file."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from lupintack.clock import now_us
from lupintack.core.actor import Core
from lupintack.core.core_state import RouterCounts
from lupintack.core.leases import MeasuredDemand
from lupintack.core.settings_update import SettingsUpdate
from lupintack.fleet.fleet_address import FleetAddress
from lupintack.fleet.transport import FleetTransport
from lupintack.lifecycle.state import NodePhase
from lupintack.membership.changes import MembershipChange
from lupintack.membership.counts import RouterCounter
from lupintack.settings.files import address
from lupintack.settings.terms import membership_terms

if TYPE_CHECKING:
    from lupintack.admin_service import AdminService
    from lupintack.config import Config
    from lupintack.fleet.budgets import BudgetService
    from lupintack.settings.operator import Budgets as BudgetSettings
    from lupintack.settings.operator import Membership as MembershipSettings
    from lupintack.settings.operator import Operator

SERVING_PHASES = frozenset({NodePhase.STARTING, NodePhase.READY})


class RouterCountPublisher:
    """Publishes the number of routers to the core, one settings update for each change; thread-safe."""

    def __init__(self, core: Core, router_counter: RouterCounter) -> None:
        """Start without a published count."""
        self.core = core
        self.router_counter = router_counter
        self.lock = threading.Lock()

    def on_change(self, change: MembershipChange) -> None:
        """Apply a change of the members."""
        with self.lock:
            self.router_counter.on_change(change, now_us())
        self.publish_if_due()

    def publish_if_due(self) -> None:
        """Publish the counts if they have changed, also because a removal delay has expired."""
        with self.lock:
            counts = self.router_counter.counts_to_publish(now_us())
        if counts is not None:
            update = RouterCounts(counts.siblings, counts.by_zone, counts.position)
            self.core.enqueue(SettingsUpdate(router_counts=update))


def create_transport(
    config: Config, operator: Operator, core: Core, admin_service: AdminService
) -> FleetTransport:
    """Return this router's membership and, if enabled, its budgets: sockets bound, threads not started."""
    settings = operator.membership
    zones, zone = config.names.zones, config.settings.zone
    site = settings.site or (zones[zone] if zone < len(zones) else "")
    counter = RouterCounter(config.name, site, zones, settings.hold_ms * 1000)
    publisher = RouterCountPublisher(core, counter)
    fleet_address = FleetAddress(
        name=config.name,
        site=site,
        listen=address(settings.listen, "[membership] listen"),
        fleet=settings.fleet,
        secret=settings.secret,
        seeds=settings.seeds,
        address_overrides=dict(settings.reach),
    )

    def is_serving() -> bool:
        publisher.publish_if_due()
        return admin_service.lifecycle.phase in SERVING_PHASES

    transport = FleetTransport(
        fleet_address, membership_terms(settings), config.seed, publisher.on_change, is_serving
    )
    if operator.budgets.enabled:
        transport.budgets = create_budget_service(config, operator.budgets, transport, settings, core, site)
    return transport


def create_budget_service(
    config: Config,
    settings: BudgetSettings,
    transport: FleetTransport,
    membership_settings: MembershipSettings,
    core: Core,
    site: str,
) -> BudgetService:
    """Return this router's budget service, not yet started, and start the core without leased amounts."""
    from lupintack.fleet.budget_leases import core_leases, demand, in_use
    from lupintack.fleet.budgets import BudgetService
    from lupintack.settings.budget_plan import budget_list, plan_for
    from lupintack.settings.terms import budget_terms

    plan = plan_for(settings, config.name, site)
    budgets = plan.budgets if plan is not None else tuple(budget_list(settings))

    def apply_leases(amounts: tuple[int, ...], until_us: int) -> None:
        core.enqueue(SettingsUpdate(leases=core_leases(budgets, amounts, until_us, site)))

    def report_demand(measured: MeasuredDemand) -> None:
        previous = service.demand or tuple(budget.total_units for budget in budgets)
        service.set_demand(demand(budgets, measured, previous, site), in_use(budgets, measured))

    service = BudgetService(
        config.name,
        transport.membership.me.start,
        membership_settings.fleet,
        config.tmp,
        budgets,
        settings.voters,
        settings.names or settings.voters,
        budget_terms(settings),
        transport.codec,
        transport.send_to_router,
        transport.address,
        apply_leases,
        lambda: core.enqueue(SettingsUpdate(report_demand=report_demand)),
        plan,
    )
    core.start_with_leases(core_leases(budgets, service.node.holder.zero, 0, site))  # none granted yet
    return service
