"""Carries out what the operators say to one running process, and what its partner in an upgrade asks of it.

It asks the pure parts of `lifecycle/` and tells the fronts, the member table and the core. Calls of the
second address run on their connections' threads and never wait for the core; a look every LOOK_S follows the
other process and the clock.
"""

from __future__ import annotations

import logging
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import replace
from queue import Empty, SimpleQueue
from typing import NamedTuple, Protocol

from lupintack.clock import now_us, unix_now_ms
from lupintack.core.actor import Core
from lupintack.core.copies import room
from lupintack.core.handoff import HandoffRequest, HandoffState, adopt, adopt_copy, read
from lupintack.core.member_table import MemberTable
from lupintack.core.settings_update import SettingsUpdate
from lupintack.fronts.admin import Verdict
from lupintack.fronts.steer import steer
from lupintack.interface import State
from lupintack.lifecycle import bans as state_of_bans
from lupintack.lifecycle.bans import NAME_MOST, OUT_MOST, Bans
from lupintack.lifecycle.folder import LOCK_S, Folder, folder_path, read_bans
from lupintack.lifecycle.state import Leave, Life, Phase, leave
from lupintack.lifecycle.upgrade_peer import (
    CLOSED,
    Listeners,
    Share,
    Side,
    UpgradePeer,
    older_ends_first,
    share,
    side,
)
from lupintack.logs import LineLimit, fields
from lupintack.peers.actor import Room

LOG = logging.getLogger("upkeep")
Word = Callable[[Bans, str, float], bool]
LOOK_S = 0.05
LINES_PER_S = 2  # on a folder that can't be used
JOIN_S = 0.5  # of a start, for a folder that can't be used at first
HANDOFF_S = 0.4  # of a start, for what the older process leaves
HANDOFF_AGAIN_S = 0.005
RETRY_S = 0.5  # between two tries to keep what staff said
STOCK_S = 1.0  # for the core's turn that takes it
TURN_S = 0.6  # of an end, for an older process that ends as well to close its listener first


class Listener(Protocol):
    """What the fronts' servers have in common."""

    sock: socket.socket
    accepted: bool  # all that will ever come

    def open(self) -> None: ...

    def run(self) -> None: ...

    def held(self) -> int: ...

    def close_answers(self, closing: bool) -> None: ...

    def end_idle(self, idle_us: int) -> None: ...

    def drain(self) -> None: ...

    def stop_accepting(self) -> None: ...

    def stop_reading(self) -> None: ...

    def busy(self) -> bool: ...


class FolderPlace(NamedTuple):
    """What the folder of a router goes by."""

    base: str
    name: str
    listen: str


class AdminService:
    """The operators' desk, the folder shared with a partner, and the node's life."""

    def __init__(
        self,
        core: Core,
        member_table: MemberTable,
        sockets: Room,
        servers: list[Listener],
        memory_mb: int,
        own_sockets: int,
    ) -> None:
        self.core = core
        self.member_table = member_table
        self.sockets = sockets
        self.servers = servers
        self.limits = (sockets.most, memory_mb, own_sockets)
        self.life = Life()
        self.place: FolderPlace | None = None  # where the folder is, whether it can be used just now or not
        self.folder: Folder | None = None
        self.lines = LineLimit(LINES_PER_S)
        self.lock = threading.Lock()  # of the life, and of what is said of members
        self.unkept: dict[str, tuple[Word, float]] = {}  # said here, and not in the folder yet
        self.partners: list[UpgradePeer] = []
        self.share = Share(sockets.most, memory_mb, 1)
        self.told: Phase | None = None
        self.handed_to: tuple[int, int] | None = None  # for whom a handoff was taken last
        self.looking = threading.Lock()  # SIGTERM looks at the partners, too
        self.retried_us = 0
        self.closing = False
        self.listeners: Listeners | None = None  # of the port, where this process is the youngest on it
        self.closed = False  # it listens no more, and the folder says so

    # The operators' calls

    def ready(self) -> Verdict:
        """Whether the front should send work here; the line says where the process stands."""
        phase = self.life.phase
        if self.member_table.current:
            return Verdict(200 if self.life.ready else 503, phase.value)
        age_ms = self.member_table.proof_age_ms()
        known = f"proved {age_ms} ms ago" if age_ms >= 0 else "not proved by discovery"
        served = "; the origin alone serves" if self.life.ready else ""
        return Verdict(200 if self.life.ready else 503, f"{phase.value}; list {known}{served}")

    def exclude(self, name: str) -> Verdict:
        """Nothing more to a member, from before the answer on."""
        host = self.member_table.find(name)
        if len(name) > NAME_MOST or (host is None and name not in self.member_table.bans.out):
            return Verdict(404, "no such cache is listed")
        if host is not None and host.kind == self.core.settings.origin_kind:
            return Verdict(409, "the origin can't be taken out: nothing stands in for it")
        with self.lock:
            was = name in self.member_table.bans.out
            if len(self.member_table.bans.out) >= OUT_MOST and not was:
                return Verdict(507, f"{OUT_MOST} are out already; put some back first")
            kept = self.change(name, Bans.exclude)
        LOG.info("cache taken out", extra=fields(cache=name, again=was, kept=kept or "yes"))
        if kept:
            return Verdict(500, f"out in this process, but not kept for the next one: {kept}")
        return Verdict(200, f"out{' already' if was else ''}{self.left(name)}")

    def include(self, name: str) -> Verdict:
        """A member is back, however often it was taken out."""
        if name not in self.member_table.bans.out and self.member_table.find(name) is None:
            return Verdict(404, "no such cache is listed or out")
        with self.lock:
            was = name in self.member_table.bans.out
            kept = self.change(name, Bans.include)
        LOG.info("cache put back", extra=fields(cache=name, was_out=was, kept=kept or "yes"))
        if kept:
            return Verdict(500, f"back in this process, but not kept for the next one: {kept}")
        return Verdict(200, "back, held to be cold" if was else "was not out")

    def evacuate(self) -> Verdict:
        with self.lock:
            self.life.evacuate(now_us())
        self.look_at_life()
        return Verdict(200, self.life.phase.value)

    def rejoin(self) -> Verdict:
        with self.lock:
            done = self.life.rejoin()
        self.look_at_life()
        return Verdict(200 if done else 409, self.life.phase.value)

    def left(self, name: str) -> str:
        """A warning where a location has no cache left that may be sent to, or the router no parent."""
        host = self.member_table.find(name)
        if host is None:
            return ""
        settings, out = self.core.settings, self.member_table.bans.out
        ready = [
            h for h in list(self.member_table.listed.values()) if h.state is State.READY and h.name not in out
        ]
        if host.kind == settings.parent_kind:
            return "" if any(h.kind == host.kind for h in ready) else "; no parent is left"
        upper = (settings.parent_kind, settings.origin_kind)
        some = any(h.zone == host.zone and h.kind not in upper for h in ready)
        return "" if some else "; no cache of its location is left"

    def change(self, name: str, call: Word) -> str:
        """Bring the operators' word into force, and keep it; why it could not be kept. Under the lock."""
        now = unix_now_ms()
        bans = copied(self.member_table.bans)
        call(bans, name, now)
        self.member_table.ban(bans)  # binding first: whatever the disk says, nothing more goes there
        if self.place is None:
            return ""
        self.unkept[name] = (call, now)
        if self.folder is None:
            return "the folder can't be used"
        return self.keep(self.folder, LOCK_S)

    def keep(self, folder: Folder, patience_s: float) -> str:
        """What was said since it could last be kept, laid over what the folder holds. Under the lock."""
        self.retried_us = now_us()
        try:
            with folder.locked(patience_s):
                bans = self.said(self.kept() or copied(self.member_table.bans))
                folder.write(bans.dump())
        except OSError as error:
            LOG.error("bans can't be kept", extra=fields(reason=error))
            return str(error)
        self.unkept.clear()
        self.member_table.ban(bans)
        return ""

    def said(self, bans: Bans) -> Bans:
        """With what was said here and could not be kept so far: the last word on each member.

        Guards against a ban that is in force here alone being lifted by the next one that can be kept.
        """
        for name, (call, at) in self.unkept.items():
            call(bans, name, at)
        return bans

    def kept(self) -> Bans | None:
        """What the folder holds; None where it holds nothing that can be used, which the log says."""
        if self.folder is None:
            return None
        try:
            return self.usable(self.folder.read())
        except OSError as error:
            if self.lines.allow(now_us()) >= 0:
                LOG.error("kept bans can't be read", extra=fields(file=self.folder.bans, reason=error))
            return None

    def usable(self, texts: list[bytes]) -> Bans | None:
        """The first of the kept states that is whole: a crash may have cut one of them short."""
        for number, text in enumerate(texts):
            try:
                return state_of_bans.parse(text)
            except state_of_bans.BansError as error:
                LOG.error("kept bans can't be used", extra=fields(copy=number, reason=error))
        return None

    # The process

    def join(self, place: FolderPlace | None) -> None:
        """Before the first request: what the folder holds is in force from the start, also where nothing can
        be written there now.
        """
        self.place = place
        if place is None:
            return
        until = time.monotonic() + JOIN_S
        while not self.try_to_join(place) and time.monotonic() < until:
            time.sleep(LOOK_S)
        self.look_at_partners()

    def try_to_join(self, place: FolderPlace) -> bool:
        """Join the processes of this router, and take over its bans; False where either failed."""
        self.retried_us = now_us()
        try:
            if self.folder is None:
                self.folder = Folder(place.base, place.name, place.listen)
                self.folder.tell(self.life.phase.value)
            texts = self.folder.read()
        except OSError as error:
            if self.lines.allow(now_us()) >= 0:
                LOG.error("no folder to share with an upgrade", extra=fields(reason=error))
            try:
                texts = read_bans(folder_path(place.base, place.name, place.listen))
            except OSError:
                return False
        found = self.usable(texts)
        if found is not None and found != self.member_table.bans:
            self.member_table.ban(self.said(found))
            if found.out:
                LOG.info("bans found", extra=fields(out=",".join(sorted(found.out))))
        return self.folder is not None

    def older_serves(self) -> bool:
        """Whether an older process of this router is ready: nothing is lost while this one waits."""
        return any(one.phase == Phase.READY.value for one in self.partners)

    def started(self) -> None:
        with self.lock:
            self.life.started(now_us())
        self.tell()

    def steer(self) -> None:
        """New connections come here from now on, where an older process listens, too."""
        if self.partners and self.folder is not None:
            self.listeners = Listeners(self.partners, self.folder.pid)
            done = self.steer_to(self.listeners.place)
            LOG.info("upgrade", extra=fields(older=self.partners[0].pid, steered=done))

    def steer_to(self, place: int) -> bool:
        return all([steer(server.sock, place) for server in self.servers])

    def wait_for_older(self) -> None:
        """Before an end of the listening: an older process that ends as well is given the time to close, and
        the youngest the time to steer anew.
        """
        until, waits = time.monotonic() + TURN_S, 0.0
        while (folder := self.folder) is not None and time.monotonic() < until:
            if not older_ends_first((folder.born_ns, folder.pid), folder.others(), Phase.STOPPING.value):
                break
            waits = 2 * LOOK_S
            time.sleep(LOOK_S / 2)
        time.sleep(waits)

    def term(self, longest_us: int) -> Leave:
        """SIGTERM: how to leave, where a request has so long at most."""
        with self.lock:
            self.life.term()
        self.tell()
        self.look_at_partners()
        mine = (self.folder.born_ns, self.folder.pid) if self.folder is not None else (0, 0)
        ready = any(o.phase == Phase.READY.value and (o.born_ns, o.pid) > mine for o in self.partners)
        return leave(ready, longest_us)

    def close(self) -> None:
        """The very end."""
        self.place = None
        folder, self.folder = self.folder, None
        if folder is not None:
            folder.close()

    def run(self) -> None:
        """Look after all of it, until the core is over."""
        while not self.core.over:
            time.sleep(LOOK_S)
            try:
                self.look_at_life()
                self.look_at_partners()
                self.look_at_bans()
            except Exception:  # one look's fault must not end the others
                LOG.exception("look failed")

    def look_at_life(self) -> None:
        """An evacuation goes on, or is over."""
        with self.lock:
            limit = self.life.look(now_us(), sum(server.held() for server in self.servers))
            closing = self.life.closing
            stopping = self.life.phase is Phase.STOPPING
        if closing != self.closing and not stopping:
            self.closing = closing
            for server in self.servers:
                server.close_answers(closing)
        if limit >= 0:
            for server in self.servers:
                server.end_idle(limit)
        self.tell()
        if stopping and not self.closed and all(server.accepted for server in self.servers):
            self.closed = True
            if self.folder is not None:
                self.folder.tell(CLOSED)

    def tell(self) -> None:
        """A new phase is logged, and the partner's to read."""
        phase = self.life.phase
        if phase is not self.told:
            if self.told is not None:
                LOG.info("phase", extra=fields(phase=phase.value, before=self.told.value))
            self.told = phase
            if self.folder is not None:
                self.folder.tell(phase.value)

    def look_at_partners(self) -> None:
        """Share the limits with whoever else lives."""
        folder = self.folder
        if folder is not None:
            with self.looking:
                self.look_at(folder, folder.others())

    def look_at(self, folder: Folder, others: list[UpgradePeer]) -> None:
        which = side(folder.born_ns, folder.pid, others)
        self.partners = others
        if which is Side.OLD:
            self.listeners = None  # the younger one steers
        elif self.listeners is not None and self.listeners.look(others):
            done = self.steer_to(self.listeners.place)
            LOG.info("steered anew", extra=fields(place=self.listeners.place, steered=done))
        if others and self.told is not None and (late := folder.handoff()) is not None:
            late.close()  # it was left after the start had gone on without
        wanted = share(which, len(others), *self.limits)
        if which is Side.OLD:
            self.send_handoff(folder, max(others, key=lambda o: (o.born_ns, o.pid)), wanted.handoff_bytes)
        if wanted == self.share:
            return
        self.share = wanted
        told = fields(side=which.value, processes=wanted.processes, member_sockets=wanted.member_sockets)
        LOG.info("limits shared", extra=told)
        self.sockets.most = wanted.member_sockets
        alone = which is Side.ALONE
        memory = room(self.limits[1]) if alone else room(wanted.memory_mb)
        self.core.post(SettingsUpdate(processes=wanted.processes, copies=memory))

    def send_handoff(self, folder: Folder, peer: UpgradePeer, most: int) -> None:
        """Leave what was learned, and own copies, to a process that starts; taken before these give way."""
        key = (peer.born_ns, peer.pid)
        if key == self.handed_to or not self.life.ready or peer.phase != Phase.STARTING.value:
            return
        mine, ready = (folder.born_ns, folder.pid), Phase.READY.value
        if any(o.phase == ready and (o.born_ns, o.pid) > mine for o in self.partners):
            return  # one between the two has more to leave
        self.handed_to = key
        taken: SimpleQueue[HandoffState] = SimpleQueue()

        def write() -> None:
            try:
                folder.leave(peer.pid, taken.get(timeout=STOCK_S).records(most))
            except (OSError, Empty) as error:
                LOG.warning("nothing left to the new process", extra=fields(reason=repr(error)))

        self.core.post(HandoffRequest(taken.put))
        threading.Thread(target=write, name="handoff", daemon=True).start()

    def receive_handoff(self) -> None:
        """Before the first request: what an older process has left, waited for in vain for HANDOFF_S."""
        folder = self.folder
        if folder is None or not self.older_serves():
            return
        until = time.monotonic() + HANDOFF_S
        while (file := folder.handoff()) is None:
            if time.monotonic() >= until:
                LOG.info("nothing was left by the older process")
                return
            time.sleep(HANDOFF_AGAIN_S)
        adopted, fault, copies = False, "", self.core.copies
        try:
            with file:
                records = read(file.read)
                adopted = adopt(self.core.router, next(records, (None, b""))[0])
                for told, body in records if adopted else ():
                    if copies is not None:
                        adopt_copy(copies, told, body)
        except Exception as error:  # whatever it is: a start must not fail for what another process left
            fault = repr(error)
        held = len(copies.held) if copies is not None else 0
        LOG.info("legacy", extra=fields(learned=adopted, copies=held, fault=fault or "none"))

    def look_at_bans(self) -> None:
        """What was said to the partner binds here as well; and what could not be kept is tried again."""
        if self.folder is None and self.place is not None and now_us() - self.retried_us >= RETRY_S * 1e6:
            with self.lock:
                self.try_to_join(self.place)
        folder = self.folder
        if folder is None:
            return
        with self.lock:
            if self.unkept and now_us() - self.retried_us >= RETRY_S * 1e6:
                self.keep(folder, 0.0)
            if not folder.changed():
                return
            found = self.kept()
            if found is not None:
                found = self.said(found)
            if found is not None and found != self.member_table.bans:
                self.member_table.ban(found)
                LOG.info("bans heard from the other process", extra=fields(out=",".join(sorted(found.out))))


def copied(bans: Bans) -> Bans:
    """One that may be changed: those of the member table never are."""
    return replace(bans, out=dict(bans.out), back=dict(bans.back))
