"""Coordinates an upgrade with the peers of a process: shared limits, the shared port, and the handoff."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from lupintack.core.actor import Core
from lupintack.core.local_cache import capacity_bytes
from lupintack.core.settings_update import SettingsUpdate
from lupintack.fronts.connection_routing import route_new_connections
from lupintack.lifecycle.folder import Folder
from lupintack.lifecycle.state import NodeLifecycle, NodePhase, ShutdownPlan, plan_shutdown
from lupintack.lifecycle.upgrade_peer import (
    LimitShare,
    ListenerTable,
    ProcessAge,
    UpgradePeer,
    UpgradeSide,
    has_younger_in_phase,
    must_outlast_older,
    share_limits,
    upgrade_side,
)
from lupintack.logs import fields
from lupintack.peers.connection_quota import ConnectionQuota
from lupintack.process.front_server import FrontServer
from lupintack.process.handoff_exchange import HandoffExchange

LOG = logging.getLogger("process")
CHECK_INTERVAL_S = 0.05
MAX_WAIT_FOR_OLDER_S = 0.6  # so that an older stopping process can close its listener first
NO_AGE = ProcessAge(0, 0)


class RouterLimits(NamedTuple):
    """The router's limits, shared by its processes during an upgrade."""

    member_sockets: int
    memory_mb: int
    process_sockets: int  # descriptors that each process needs for itself


class UpgradeCoordinator:
    """Tracks the other processes of this router through the shared folder."""

    def __init__(
        self,
        core: Core,
        sockets: ConnectionQuota,
        servers: list[FrontServer],
        limits: RouterLimits,
        folder: Callable[[], Folder | None],
        lifecycle: NodeLifecycle,
    ) -> None:
        """Take `folder`, which returns the shared folder, or None if it can't be used now."""
        self._core = core
        self._sockets = sockets
        self._servers = servers
        self._limits = limits
        self._folder = folder
        self._lifecycle = lifecycle
        self._lock = threading.Lock()  # the shutdown updates the peers on another thread
        self._limit_share = LimitShare(limits.member_sockets, limits.memory_mb, 1)
        self._listener_table: ListenerTable | None = None  # set while this is the youngest process
        self.peers: list[UpgradePeer] = []
        self.handoff = HandoffExchange(core, folder)

    def is_older_ready(self) -> bool:
        """Return whether an older process of this router serves, so that this one may wait."""
        return any(peer.phase == NodePhase.READY.value for peer in self.peers)

    def is_handoff_awaited(self) -> bool:
        """Return whether an older process, which still serves, may still write a handoff."""
        return self._folder() is not None and not self.handoff.is_received and self.is_older_ready()

    def route_new_connections(self) -> None:
        """Route new connections to this process if an older one also listens."""
        folder = self._folder()
        if self.peers and folder is not None:
            self._listener_table = ListenerTable(self.peers, folder.pid)
            done = self._route_to(self._listener_table.own_index)
            LOG.info("upgrade", extra=fields(older=self.peers[0].pid, routed=done))

    def wait_for_older(self) -> None:
        """Wait before this process stops listening.

        Gives an older stopping process time to close, and the youngest process time to update its routing.
        """
        until_s, wait_s = time.monotonic() + MAX_WAIT_FOR_OLDER_S, 0.0
        while (folder := self._folder()) is not None and time.monotonic() < until_s:
            if not must_outlast_older(folder.age, folder.find_peers(), NodePhase.STOPPING.value):
                break
            wait_s = 2 * CHECK_INTERVAL_S
            time.sleep(CHECK_INTERVAL_S / 2)
        time.sleep(wait_s)

    def plan_shutdown(self, longest_deadline_us: int) -> ShutdownPlan:
        """Choose a shutdown plan, depending on whether a younger process is ready."""
        self.update_peers()
        folder = self._folder()
        own_age = folder.age if folder is not None else NO_AGE
        successor_ready = has_younger_in_phase(own_age, self.peers, NodePhase.READY.value)
        return plan_shutdown(successor_ready, longest_deadline_us)

    def update_peers(self) -> None:
        """Find the living peers, and share the limits and the port with them."""
        folder = self._folder()
        if folder is not None:
            with self._lock:
                self._apply_peers(folder, folder.find_peers())

    def _apply_peers(self, folder: Folder, peers: list[UpgradePeer]) -> None:
        side = upgrade_side(folder.age, peers)
        self.peers = peers
        self._update_routing(side, peers)
        # A handoff is only used during the start; this method also runs while the start receives it.
        if peers and self._lifecycle.phase is not NodePhase.STARTING:
            self.handoff.discard_late(folder)
        limit_share = share_limits(side, len(peers), *self._limits)
        if side is UpgradeSide.OLD:
            self._send_handoff(folder, max(peers, key=lambda peer: peer.age), limit_share.handoff_bytes)
        if limit_share != self._limit_share:
            self._limit_share = limit_share
            self._apply_limits(side, limit_share)

    def _update_routing(self, side: UpgradeSide, peers: list[UpgradePeer]) -> None:
        if side is UpgradeSide.OLD:
            self._listener_table = None  # a younger process routes
        elif self._listener_table is not None and self._listener_table.update(peers):
            index = self._listener_table.own_index
            done = self._route_to(index)
            LOG.info("listener index changed", extra=fields(index=index, routed=done))

    def _route_to(self, index: int) -> bool:
        return all([route_new_connections(server.sock, index) for server in self._servers])

    def _send_handoff(self, folder: Folder, peer: UpgradePeer, max_bytes: int) -> None:
        """Send a handoff to a starting process, unless a younger ready process will send one."""
        if not self._lifecycle.is_ready or peer.phase != NodePhase.STARTING.value:
            return
        if not has_younger_in_phase(folder.age, self.peers, NodePhase.READY.value):
            self.handoff.send(folder, peer, max_bytes)

    def _apply_limits(self, side: UpgradeSide, limit_share: LimitShare) -> None:
        LOG.info(
            "limits shared",
            extra=fields(
                side=side.value,
                processes=limit_share.process_count,
                member_sockets=limit_share.member_sockets,
            ),
        )
        self._sockets.max_connections = limit_share.member_sockets
        memory_mb = self._limits.memory_mb if side is UpgradeSide.ALONE else limit_share.memory_mb
        self._core.enqueue(
            SettingsUpdate(
                process_count=limit_share.process_count, local_cache_bytes=capacity_bytes(memory_mb)
            )
        )
