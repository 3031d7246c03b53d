"""Applies the phases of a process to its servers, and publishes them to its peers and the log."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable

from lupintack.clock import now_us
from lupintack.lifecycle.folder import Folder
from lupintack.lifecycle.state import NodeLifecycle, NodePhase
from lupintack.lifecycle.upgrade_peer import LISTENER_CLOSED
from lupintack.logs import fields
from lupintack.process.front_server import FrontServer

LOG = logging.getLogger("process")


class LifecycleControl:
    """Applies the lifecycle of one process to its servers. Thread-safe."""

    def __init__(
        self, servers: list[FrontServer], folder: Callable[[], Folder | None], lock: threading.Lock
    ) -> None:
        """Take `lock`, which guards the lifecycle; callers of the methods must not hold it."""
        self.lifecycle = NodeLifecycle()
        self._servers = servers
        self._folder = folder
        self._lock = lock
        self._closes_connections = False  # last applied to the servers
        self._listeners_closed = False
        self._publish_lock = threading.Lock()
        self._logged_phase: NodePhase | None = None
        self._written_phase = ""  # last written to this process's file in the folder

    def on_started(self) -> None:
        """End the start."""
        with self._lock:
            self.lifecycle.on_started(now_us())
        self.publish_phase()

    def evacuate(self) -> None:
        """Start an evacuation."""
        with self._lock:
            self.lifecycle.evacuate(now_us())
        self.update()

    def rejoin(self) -> bool:
        """Take work again; return False if the process is stopping."""
        with self._lock:
            done = self.lifecycle.rejoin()
        self.update()
        return done

    def begin_shutdown(self) -> None:
        """Enter the phase STOPPING."""
        with self._lock:
            self.lifecycle.begin_shutdown()
        self.publish_phase()

    def update(self) -> None:
        """Advance an evacuation, and publish the phase."""
        with self._lock:
            idle_limit_us = self.lifecycle.advance(
                now_us(), sum(server.connection_count() for server in self._servers)
            )
            closes_connections = self.lifecycle.closes_connections
            is_stopping = self.lifecycle.phase is NodePhase.STOPPING
        if closes_connections != self._closes_connections and not is_stopping:
            self._closes_connections = closes_connections
            for server in self._servers:
                server.close_answers(closes_connections)
        if idle_limit_us >= 0:
            for server in self._servers:
                server.end_idle(idle_limit_us)
        self.publish_phase()
        if (
            is_stopping
            and not self._listeners_closed
            and all(server.accept_finished for server in self._servers)
        ):
            self._listeners_closed = True
            self.publish_phase()

    def publish_phase(self) -> None:
        """Log a new phase and write it for the peers; the next call retries a failed write."""
        with self._publish_lock:
            phase = self.lifecycle.phase
            if phase is not self._logged_phase:
                if self._logged_phase is not None:
                    LOG.info("phase", extra=fields(phase=phase.value, before=self._logged_phase.value))
                self._logged_phase = phase
            text = LISTENER_CLOSED if self._listeners_closed else phase.value
            folder = self._folder()
            if folder is not None and text != self._written_phase and folder.write_phase(text):
                self._written_phase = text
