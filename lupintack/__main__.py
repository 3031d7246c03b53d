"""Starts one edge router, and ends it on SIGTERM."""

from __future__ import annotations

import dataclasses
import gc
import logging
import os
import signal
import socket
import sys
import threading
import time
from collections.abc import Callable, Mapping
from pathlib import Path

from lupintack import config, logs
from lupintack.board import Board
from lupintack.clock import module_ms, now_us
from lupintack.core.actor import Close, Core, Stop
from lupintack.core.copies import Copies, room
from lupintack.core.messages import Link
from lupintack.core.roster import Host, Roster
from lupintack.fronts.cdni.conf import FILE, Cdni, load
from lupintack.fronts.cdni.front import CdniFront
from lupintack.fronts.http1 import Server
from lupintack.fronts.platform import BODY_MOST, Platform
from lupintack.interface import ListKind, MemberList
from lupintack.peers.actor import Peer, Room, Terms

LOG = logging.getLogger("lupintack")
STACK = 256 * 1024
SWITCH_S = 0.02  # turns are short, and every thread that waits for the interpreter wakes this often
ACCEPT_ON_S = 0.45  # after SIGTERM: new connections still come
READ_ON_S = 0.25  # and after that, requests on open ones
CLOSING = 64  # clients' connections beside their third: closed by them, not yet by us; an eighth at most
CDNI_MOST = 48  # connections of the CDNI front; a sixteenth at most
OWN = 24  # descriptors for all else: listeners, the board, files, what is just being closed
CDNI_BODY_MOST = 65536
KILL_S = 3.0  # SIGKILL comes after the longest deadline, counted as this where it is longer, and 0.7 s
SPARE_S = 0.05  # and the end is so long before it
FLUSH_S = 0.25  # so long before the end what is owed yet is failed, and slow clients take the rest


def spawn(target: Callable[[], None], name: str) -> None:
    """A thread that does not hold the program up."""
    threading.Thread(target=target, name=name, daemon=True).start()


class Node:
    """One edge router: the core between its fronts and its peers."""

    def __init__(self, conf: config.Config, cdni: Cdni | None = None) -> None:
        self.conf = conf
        self.is_ready = False
        self.roster = Roster(conf.settings.purge_settles)
        copies = None
        if conf.link_bytes_per_s > 0:
            copies = Copies(room(conf.limits.memory_mb), conf.link_bytes_per_s)
        self.core = Core(conf.settings, conf.seed, self.roster, self.connect, copies)
        self.board = Board(conf.board, conf.names, self.roster)
        platform = Platform(self.core, conf.names.classes, lambda: self.is_ready)
        count = self.core.counters.add
        sockets = conf.limits.sockets
        most = sockets // 3 + min(CLOSING, sockets // 8)
        cdni_most = min(CDNI_MOST, sockets // 16) if cdni is not None else 0
        limits = conf.limits
        self.terms = Terms(
            limits.max_streams,
            limits.connect_timeout_us,
            limits.idle_us,
            conf.names.reports,
            Room(max(8, sockets - most - cdni_most - OWN)),
        )
        self.servers = [Server(conf.listen, platform.handle, spawn, count, most, BODY_MOST)]
        if cdni is not None:
            front = CdniFront(cdni, self.core, self.roster, lambda: self.is_ready, spawn)
            self.servers.append(Server(cdni.listen, front.handle, spawn, count, cdni_most, CDNI_BODY_MOST))

    def connect(self, number: int, host: Host) -> Link:
        """The actor of a member that is sent to for the first time."""
        assert host.dial is not None
        return Peer(host.name, host.dial, self.terms, self.core.ended, spawn)

    def start(self) -> None:
        """All that is known before the first request, then everything that runs."""
        self.board.known(self.conf.known)
        first = []
        while not self.roster.mailbox.empty():
            news = self.roster.mailbox.get()
            if news is not None:
                first.append(self.roster.heed(news))
        self.core.turn([*first])
        if not first:
            self.core.router.handle(module_ms(now_us()), [MemberList(ListKind.CACHED)])
        self.roster.tell = self.core.news
        spawn(self.roster.run, "roster")
        spawn(self.core.run, "core")
        spawn(self.board.run, "board")
        for server in self.servers:
            spawn(server.run, "accept")
        self.is_ready = True

    def reload(self, environ: Mapping[str, str]) -> None:
        """After SIGHUP: the board may have moved; what else has changed waits for the next start."""
        try:
            conf = config.load(environ)
        except config.ConfigError as error:
            LOG.error("new configuration can't be used, the old one is kept", extra=logs.fields(reason=error))
            return
        self.board.move(conf.board)
        skip = ("board", "known")  # the numbers continue, so what is known now comes from the board
        names = [f.name for f in dataclasses.fields(conf) if f.name not in skip]
        ignored = [name for name in names if getattr(conf, name) != getattr(self.conf, name)]
        if ignored:
            LOG.warning("changes ignored until the next start", extra=logs.fields(names=",".join(ignored)))
        LOG.info("configuration read", extra=logs.fields(board=conf.board))

    def stop(self) -> None:
        """After SIGTERM: take what still comes, answer everything, and be done."""
        self.is_ready = False
        longest = max((c.deadline for c in self.conf.settings.classes), default=0.0) / 1000.0
        end = time.monotonic() + ACCEPT_ON_S + READ_ON_S + min(longest, KILL_S) - SPARE_S
        time.sleep(ACCEPT_ON_S)
        for server in self.servers:
            server.stop_accepting()
        time.sleep(READ_ON_S)
        for server in self.servers:
            server.stop_reading()
        answered = threading.Event()
        self.core.post(Stop(answered.set))
        if not answered.wait(end - FLUSH_S - time.monotonic()):
            self.core.post(Close())  # what is still open then is answered now, before the kill cuts it off
        while any(server.busy() for server in self.servers) and time.monotonic() < end:
            time.sleep(0.01)

    def print_counters(self) -> None:
        LOG.info("counters", extra=logs.fields(**self.core.counters.line()))


def main() -> int:
    """Run until SIGTERM; a configuration that can't be used ends it with one line and code 2."""
    try:
        conf = config.load(os.environ)
        cdni = load(Path(os.environ.get("LUPINTACK_CDNI") or FILE), conf.names.classes)
    except config.ConfigError as error:
        print(f"lupintack: {error}", file=sys.stderr)
        return 2
    logs.set_up(conf.name)
    threading.stack_size(STACK)
    sys.setswitchinterval(SWITCH_S)
    gc.freeze()
    gc.set_threshold(50_000, 20, 50)  # nothing on a request's way makes cycles; a full collection is a stall
    signals = {signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP}
    signal.pthread_sigmask(signal.SIG_BLOCK, signals)
    try:
        node = Node(conf, cdni)
    except (OSError, socket.gaierror) as error:
        print(f"lupintack: can't listen: {error}", file=sys.stderr)
        return 2
    node.start()
    LOG.info("ready", extra=logs.fields(node=conf.name, listen=f"{conf.listen[0]}:{conf.listen[1]}"))
    while (got := signal.sigwait(signals)) in (signal.SIGUSR1, signal.SIGHUP):
        if got == signal.SIGHUP:
            node.reload(os.environ)
        else:
            node.print_counters()
    node.stop()
    node.print_counters()
    sys.stderr.flush()
    return 0


if __name__ == "__main__":
    code = main()
    logging.shutdown()
    os._exit(code)  # daemon threads blocked in sockets would only hold the interpreter's end up
