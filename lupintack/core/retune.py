"""New settings and limits for a running core, applied in one of its turns."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from lupintack.interface import Settings

if TYPE_CHECKING:
    from lupintack.core.actor import Core


@dataclass(slots=True)
class Retune:
    """What changes; None: as it is."""

    settings: Settings | None = None
    processes: int | None = None  # that share the router's budgets in an upgrade
    copies: int | None = None  # bytes of own copies


def apply(core: Core, new: Retune) -> None:
    """Inside the core's turn."""
    settings = new.settings or core.settings
    if new.processes is not None:
        core.processes = new.processes
    settings = replace(settings, processes=core.processes)
    if settings != core.settings:
        core.settings = settings
        core.router.retune(settings)
    if new.copies is not None and core.copies is not None:
        core.copies.limit(new.copies)
