"""Executes operators' commands to one running process, and periodically updates its phase, peers and bans.

Decisions are made by the pure parts of `lifecycle/` and applied to the fronts, the member table and the core
through `process/`. Commands run on the connection threads of the admin address and never wait for the core.
"""

from __future__ import annotations

import logging
import signal
import threading
import time

from lupintack.core.actor import Core
from lupintack.core.ban_keeper import BanKeeper, FolderLocation
from lupintack.core.member_table import MemberTable
from lupintack.fronts.admin import AdminResult
from lupintack.interface import MemberState
from lupintack.lifecycle.bans import MAX_EXCLUDED_MEMBERS, MAX_NAME_CHARS, Bans
from lupintack.lifecycle.folder import Folder
from lupintack.lifecycle.state import NodeLifecycle, ShutdownPlan
from lupintack.logs import fields
from lupintack.peers.connection_quota import ConnectionQuota
from lupintack.process.front_server import FrontServer
from lupintack.process.lifecycle_control import LifecycleControl
from lupintack.process.upgrade_coordinator import CHECK_INTERVAL_S, RouterLimits, UpgradeCoordinator

LOG = logging.getLogger("admin")
END_SIGNALS = {signal.SIGTERM, signal.SIGINT}  # blocked during the start, so they stay pending
MAX_JOIN_S = 0.5  # at a start, while the folder can't be used
MAX_JOIN_WITHOUT_BANS_S = 4.0  # while saved bans can't be read; as long as for an unproved list


class AdminService:
    """The operators' commands, the bans, and the lifecycle and upgrades of one process."""

    def __init__(
        self,
        core: Core,
        member_table: MemberTable,
        sockets: ConnectionQuota,
        servers: list[FrontServer],
        memory_mb: int,
        process_sockets: int,
    ) -> None:
        """Take `process_sockets`: descriptors that a process needs besides those to clients and members."""
        self.core = core
        self.member_table = member_table
        self.ban_keeper = BanKeeper(member_table)
        self.lock = threading.Lock()  # guards the lifecycle and changes to bans
        self.control = LifecycleControl(servers, self._shared_folder, self.lock)
        self.lifecycle: NodeLifecycle = self.control.lifecycle
        limits = RouterLimits(sockets.max_connections, memory_mb, process_sockets)
        self.upgrade = UpgradeCoordinator(core, sockets, servers, limits, self._shared_folder, self.lifecycle)

    @property
    def folder(self) -> Folder | None:
        """The folder that the processes of this router share, None if it can't be used now."""
        return self.ban_keeper.folder

    def _shared_folder(self) -> Folder | None:
        return self.ban_keeper.folder

    # Operators' commands

    def ready(self) -> AdminResult:
        """Return whether the load balancer should send work here; the text names the phase."""
        phase = self.lifecycle.phase
        if self.member_table.validity.is_current:
            return AdminResult(200 if self.lifecycle.is_ready else 503, phase.value)
        age_ms = self.member_table.proof_age_ms()
        known = f"proved {age_ms} ms ago" if age_ms >= 0 else "not proved by discovery"
        served = "; the origin alone serves" if self.lifecycle.is_ready else ""
        return AdminResult(200 if self.lifecycle.is_ready else 503, f"{phase.value}; list {known}{served}")

    def exclude(self, name: str) -> AdminResult:
        """Exclude a member; nothing is sent to it once this returns."""
        member = self.member_table.find(name)
        if len(name) > MAX_NAME_CHARS or (member is None and name not in self.member_table.bans.excluded):
            return AdminResult(404, "no such cache is listed")
        if member is not None and member.kind == self.core.settings.origin_kind:
            return AdminResult(409, "the origin can't be taken out: nothing stands in for it")
        with self.lock:
            was_excluded = name in self.member_table.bans.excluded
            if len(self.member_table.bans.excluded) >= MAX_EXCLUDED_MEMBERS and not was_excluded:
                return AdminResult(507, f"{MAX_EXCLUDED_MEMBERS} are out already; put some back first")
            save_error = self.ban_keeper.change(name, Bans.exclude)
        LOG.info("member excluded", extra=fields(cache=name, already=was_excluded, saved=save_error or "yes"))
        if save_error:
            return AdminResult(500, f"out in this process, but not kept for the next one: {save_error}")
        return AdminResult(200, f"out{' already' if was_excluded else ''}{self._shortage_warning(name)}")

    def include(self, name: str) -> AdminResult:
        """Include a member again after any number of exclusions."""
        if name not in self.member_table.bans.excluded and self.member_table.find(name) is None:
            return AdminResult(404, "no such cache is listed or out")
        with self.lock:
            was_excluded = name in self.member_table.bans.excluded
            save_error = self.ban_keeper.change(name, Bans.include)
        LOG.info(
            "member included", extra=fields(cache=name, was_excluded=was_excluded, saved=save_error or "yes")
        )
        if save_error:
            return AdminResult(500, f"back in this process, but not kept for the next one: {save_error}")
        return AdminResult(200, "back, held to be cold" if was_excluded else "was not out")

    def evacuate(self) -> AdminResult:
        """Start an evacuation: clients are sent elsewhere, and their connections are closed."""
        self.control.evacuate()
        return AdminResult(200, self.lifecycle.phase.value)

    def rejoin(self) -> AdminResult:
        """Take work again, unless the process is stopping."""
        done = self.control.rejoin()
        return AdminResult(200 if done else 409, self.lifecycle.phase.value)

    def _shortage_warning(self, name: str) -> str:
        """Return a warning if the zone has no usable cache left, or the router no parent; else ""."""
        member = self.member_table.find(name)
        if member is None:
            return ""
        settings, excluded = self.core.settings, self.member_table.bans.excluded
        usable = [
            listed
            for listed in list(self.member_table.listed_endpoints.values())
            if listed.state is MemberState.READY and listed.name not in excluded
        ]
        if member.kind == settings.parent_kind:
            return "" if any(other.kind == member.kind for other in usable) else "; no parent is left"
        upstream_kinds = (settings.parent_kind, settings.origin_kind)
        has_cache = any(other.zone == member.zone and other.kind not in upstream_kinds for other in usable)
        return "" if has_cache else "; no cache of its location is left"

    # Process lifecycle

    def join(self, location: FolderLocation | None) -> None:
        """Join the router's other processes before the first request.

        Saved bans are in force from the start, even if nothing can be written to the folder now.
        """
        self.ban_keeper.location = location
        if location is None:
            return
        started_s = time.monotonic()
        while not self._try_join():
            # A start is possible without peers; without bans, excluded members would get traffic again.
            limit_s = MAX_JOIN_WITHOUT_BANS_S if self.ban_keeper.are_bans_unreadable else MAX_JOIN_S
            if time.monotonic() - started_s >= limit_s or signal.sigpending() & END_SIGNALS:
                break
            time.sleep(CHECK_INTERVAL_S)

    def _try_join(self) -> bool:
        """Join the folder; return whether all other processes of this router are known."""
        done = self.ban_keeper.join(self.lifecycle.phase.value)
        self.upgrade.update_peers()
        return done and self.folder is not None and not self.folder.has_unreadable_peers

    def begin_shutdown(self, longest_deadline_us: int) -> ShutdownPlan:
        """Enter the phase STOPPING after SIGTERM; return the shutdown plan."""
        self.control.begin_shutdown()
        return self.upgrade.plan_shutdown(longest_deadline_us)

    def close(self) -> None:
        """Leave the folder."""
        self.ban_keeper.close()

    def run(self) -> None:
        """Update the lifecycle, the peers and the bans until the core stops; runs in a thread of its own."""
        while not self.core.is_stopped:
            time.sleep(CHECK_INTERVAL_S)
            try:
                self.control.update()
                self.upgrade.update_peers()
                with self.lock:
                    self.ban_keeper.refresh(self.lifecycle.phase.value)
            except Exception:  # a failed round must not end the thread
                LOG.exception("admin check failed")
