"""What a process shares with the router's other ones: keys where a class has any, and what comes by CDNI."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from lupintack.core.actor import Core
from lupintack.interface import Idempotency, Settings
from lupintack.process.router_processes import RouterProcesses

if TYPE_CHECKING:  # imported only if the feature is on
    from lupintack.process.key_sharing import KeySharing
    from lupintack.process.sharing import ProcessSharing

Spawn = Callable[[Callable[[], None], str], None]


class UpgradeSharing:
    """Starts the sharing of a process; shares nothing where its router never has another one."""

    def __init__(self, core: Core, processes: RouterProcesses | None, spawn: Spawn) -> None:
        """`processes`: None where there is never another one."""
        self.processes = processes
        self.cdni: ProcessSharing | None = None  # set before `start`, if CDNI is on
        self.keys: KeySharing | None = None
        self._core = core
        self._spawn = spawn

    def start(self, settings: Settings) -> None:
        """Take over what others have shared, after their handoff and before the first request."""
        self.share_keys(settings)
        if self.cdni is not None:
            self.cdni.start(self._spawn, lambda: self._core.is_stopped)

    def share_keys(self, settings: Settings) -> None:
        """Share idempotency keys if settings, which are not in force yet, have a class with keys."""
        has_keys = any(cls.idempotency is Idempotency.KEYED for cls in settings.classes)
        if self.processes is not None and has_keys and self.keys is None:
            from lupintack.process.key_sharing import KeySharing

            self.keys = KeySharing(self._core, self.processes)
            self.keys.start(self._spawn)

    def expect_unseen(self) -> None:
        """Expect a process that this one may not see, as it stops."""
        for sharing in (self.cdni, self.keys):
            if sharing is not None:
                sharing.expect_unseen()
