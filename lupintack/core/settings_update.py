"""New settings and limits for a running core, applied in one of its turns."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from lupintack.core.core_state import CoreState, RouterCounts
from lupintack.core.leases import Leases, MeasuredDemand, differ_only_in_leases, measure_demand
from lupintack.interface import ServiceClass, Settings
from lupintack.settings.changes import assign_class_numbers

ClassIndexes = dict[str, tuple[int, ServiceClass]]


@dataclass(slots=True)
class SettingsUpdate:
    """Changes to apply; None leaves a field unchanged. The callbacks run in the turn and must not block."""

    settings: Settings | None = None
    on_applied: Callable[[ClassIndexes], None] | None = None  # receives the classes served, by name
    process_count: int | None = None  # processes that share the router's budgets in an upgrade
    local_cache_bytes: int | None = None
    router_counts: RouterCounts | None = None  # from the fleet's membership
    leases: Leases | None = None  # of the fleet's budgets
    report_demand: Callable[[MeasuredDemand], None] | None = None


def apply(state: CoreState, update: SettingsUpdate, class_indexes_in_use: Callable[[], set[int]]) -> None:
    """Apply a whole update within the core's turn, before any other message.

    `class_indexes_in_use` returns the class indexes of requests that have been read; these are kept.
    """
    if update.process_count is not None:
        state.process_count = update.process_count
    if update.router_counts is not None:
        state.router_counts = update.router_counts
    if update.leases is not None:
        state.leases = update.leases
    settings = state.settings
    if update.settings is not None:
        settings = _number_classes(state, update.settings, class_indexes_in_use())
    _activate(state, _overlay(state, settings))
    if update.report_demand is not None:
        update.report_demand(measure_demand(state.router, state.router.now_ms))
    if update.on_applied is not None:
        classes = state.settings.classes
        update.on_applied({name: (n, classes[n]) for name, n in state.class_indexes.items()})
    if update.local_cache_bytes is not None and state.local_cache is not None:
        state.local_cache.set_max_bytes(update.local_cache_bytes)


def _number_classes(state: CoreState, settings: Settings, indexes_in_use: set[int]) -> Settings:
    """Return new settings whose classes keep their previous indexes, and index the classes served."""
    classes = assign_class_numbers(state.settings.classes, settings.classes, indexes_in_use)
    served = {cls.name for cls in settings.classes}
    state.class_indexes = {cls.name: n for n, cls in enumerate(classes) if cls.name in served}
    return replace(settings, classes=classes)


def _overlay(state: CoreState, settings: Settings) -> Settings:
    """Return the settings overlaid with an upgrade's process count and the fleet's counts and leases."""
    settings = replace(settings, process_count=state.process_count)
    counts = state.router_counts
    if counts is not None:
        settings = replace(
            settings,
            router_count=counts.router_count,
            routers_by_zone=counts.by_zone,
            router_index=counts.router_index,
        )
    return state.leases.apply_to(settings) if state.leases is not None else settings


def _activate(state: CoreState, settings: Settings) -> None:
    """Pass changed settings to the router; leases change every second, so they recompute no ranking."""
    if settings == state.settings:
        return
    if differ_only_in_leases(settings, state.settings):
        state.router.settings = settings
    else:
        state.router.apply_settings(settings)
    state.settings = settings
