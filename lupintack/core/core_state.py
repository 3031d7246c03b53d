"""State shared by the parts of the core, in its own module so that none of them imports the actor."""

from __future__ import annotations

from dataclasses import dataclass, field

from lupintack.core.counters import Counters
from lupintack.core.leases import Leases
from lupintack.core.local_cache import LocalCache
from lupintack.core.member_table import MemberTable
from lupintack.decisions.router import Router
from lupintack.interface import Settings


@dataclass(frozen=True, slots=True)
class RouterCounts:
    """The number of routers that share budgets, in total and by zone, and this router's index."""

    router_count: int
    by_zone: tuple[int, ...]
    router_index: int


@dataclass(slots=True)
class CoreState:
    """State shared by the parts of a turn. Written only in the core's turn; other threads may read it.

    `settings` are those in force: the configured ones, overlaid with the fleet's counts and leases.
    """

    settings: Settings
    router: Router
    member_table: MemberTable
    local_cache: LocalCache | None
    class_indexes: dict[str, int]  # of the classes that are served, by name
    now_us: int  # the turn's clock, monotonic
    counters: Counters = field(default_factory=Counters)
    process_count: int = 1  # processes that share this router's budgets
    router_counts: RouterCounts | None = None  # None: as configured
    leases: Leases | None = None  # of the fleet's budgets; None: the router divides them by count
    purges_known: int = 0  # number of the last purge that the router has received
    updates_known: int = 0  # number of the last update of any kind (MemberTable.update_count)
