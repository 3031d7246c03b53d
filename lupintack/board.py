"""The notice board's reader: `watch N`, a line of JSON an event, on to the roster."""

from __future__ import annotations

import json
import logging
import math
import socket
import threading
from collections.abc import Mapping
from typing import Any

from lupintack.clock import now_us
from lupintack.config import Names
from lupintack.core.roster import Host, Roster
from lupintack.interface import State
from lupintack.logs import fields

LOG = logging.getLogger("board")
STATES = {"Ready": State.READY, "Terminating": State.DRAINING, "Gone": State.GONE}
LINE_MOST = 4 << 20
SILENT_S = 3.5  # a line comes each second; after so long without one the connection is held to be cut off
AGAIN_S = 0.25  # between two tries
NO_ZONE = 0xFFFF


class Board:
    """Follows the notice board and words its events for the roster."""

    def __init__(self, address: tuple[str, int] | None, names: Names, roster: Roster) -> None:
        self.address = address
        self.names = names
        self.roster = roster
        self.last = 0
        self.skipped = 0
        self.stopped = threading.Event()

    def known(self, known: Mapping[str, Any]) -> None:
        """The events of the start."""
        for notice in known.get("notices", []):
            self.heed(notice)
        self.last = max(self.last, int(known.get("rev", 0)))

    def heed(self, notice: Any) -> None:
        """One event; what can't be read is logged, and the watch goes on."""
        try:
            number = int(notice["rev"])
            if "pool" in notice:
                pool = notice["pool"]
                hosts = tuple(self.host(line) for line in pool.get("hosts", []))
                self.roster.pool(bool(pool.get("whole", False)), hosts, int(pool.get("seq", 0)))
            elif "flush" in notice:
                flush = notice["flush"]
                item = int(flush["asset"], 16) if "asset" in flush else None
                group = int(flush["collection"]) if item is None else 0
                self.roster.purge(item, group, float(flush["ms"]))
        except (KeyError, ValueError, TypeError, AttributeError, OverflowError) as error:
            LOG.warning("notice can't be used", extra=fields(reason=repr(error), notice=str(notice)[:200]))
            return
        self.last = max(self.last, number)

    def host(self, line: Mapping[str, Any]) -> Host:
        """A line of the pool."""
        dial = str(line.get("dial", ""))
        host, _, port = dial.rpartition(":")
        zones, kinds = self.names.zones, self.names.kinds
        site, kind = str(line.get("site", "")), str(line.get("class", ""))
        share = float(line.get("share", 1.0))
        return Host(
            name=str(line["host"]),
            dial=(host.strip("[]"), int(port)) if host and port.isdigit() else None,
            zone=zones.index(site) if site in zones else NO_ZONE,
            kind=kinds.index(kind) if kind in kinds else 0xFF,
            cell=int(line.get("block", 0)),
            state=STATES[str(line.get("health", "Ready"))],
            size=share if math.isfinite(share) and share > 0 else 1.0,
            born_unix_ms=float(line.get("born_ms", 0.0)),
        )

    def run(self) -> None:
        """Connect, watch, and connect again from the last number."""
        while self.address is not None and not self.stopped.is_set():
            try:
                with socket.create_connection(self.address, timeout=SILENT_S) as sock:
                    self.watch(sock)
            except (OSError, ValueError) as error:
                LOG.info("board lost", extra=fields(reason=error, last=self.last))
            self.stopped.wait(AGAIN_S)

    def watch(self, sock: socket.socket) -> None:
        """Read lines until the connection ends."""
        sock.sendall(b"watch %d\n" % self.last)
        buffer = bytearray()
        while not self.stopped.is_set():
            data = sock.recv(65536)
            if not data:
                raise ConnectionResetError("closed by the board")
            buffer += data
            self.roster.heard_us = now_us()
            *lines, rest = buffer.split(b"\n")
            buffer = bytearray(rest)
            if len(buffer) > LINE_MOST:
                raise ValueError("a line is too long")
            for line in lines:
                self.line(bytes(line))

    def line(self, raw: bytes) -> None:
        """One line: an event, or the last number alone."""
        if not raw.strip():
            return
        try:
            notice = json.loads(raw)
        except ValueError as error:
            LOG.warning("bad line", extra=fields(reason=error, line=raw[:100]))
            return
        if isinstance(notice, dict):
            self.heed(notice)
