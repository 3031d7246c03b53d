"""The notice board's reader: `watch N`, a line of JSON an event, on to the member table."""

from __future__ import annotations

import json
import logging
import math
import socket
import threading
from collections.abc import Mapping
from random import Random
from typing import Any

from lupintack.clock import now_us
from lupintack.config import Names
from lupintack.core.member_table import Endpoint, MemberTable
from lupintack.interface import State
from lupintack.logs import fields

LOG = logging.getLogger("board")
STATES = {"Ready": State.READY, "Terminating": State.DRAINING, "Gone": State.GONE}
LINE_MOST = 4 << 20
SILENT_S = 1.8  # a line comes each second; after so long without one the connection is held to be cut off
SILENT_US = int(SILENT_S * 1e6)
CONNECT_S = 1.0  # for a connect: with SILENT_S it stays well under the 4 s after which all counts as told
AGAIN_S = 0.2  # between two tries, but for the first after a connection that told something; in the mean
APART = 0.4  # they differ by up to this part, or all routers would come back to a board in one moment
NO_ZONE = 0xFFFF


class GapError(ValueError):
    """An event has not come: it is asked for again, once."""


class LineBuffer:
    """A connection's bytes as whole lines, and until when the next one has to come.

    Only whole lines count: half a line that drips on must not pass for a board that works.
    """

    def __init__(self, now: int) -> None:
        self.rest = bytearray()
        self.until_us = now + SILENT_US

    def cut(self, data: bytes) -> list[bytes]:
        """The lines that are whole with these bytes; ValueError where one is too long."""
        self.rest += data
        *lines, rest = self.rest.split(b"\n")
        self.rest = bytearray(rest)
        if len(self.rest) > LINE_MOST:
            raise ValueError("a line is too long")
        return [bytes(line) for line in lines]


class DiscoveryClient:
    """Follows the notice board and words its events for the member table."""

    def __init__(
        self, address: tuple[str, int] | None, names: Names, member_table: MemberTable, seed: int = 0
    ) -> None:
        self.address = address
        self.names = names
        self.member_table = member_table
        self.random = Random(seed)
        self.last = 0
        self.asked = -1  # the last number from which a gap was asked for again
        self.lock = threading.Lock()  # of the numbers: an old reader may stand beside the new one
        self.sock: socket.socket | None = None
        self.turn = 0  # counts the moves: a reader of an earlier one ends
        self.stopped = threading.Event()

    def known(self, known: Mapping[str, Any]) -> None:
        """The events of the start."""
        for notice in known.get("notices", []):
            self.apply(notice)
        self.last = max(self.last, int(known.get("rev", 0)))

    def apply(self, notice: Any) -> None:
        """One event; what can't be read is logged, and the next one's number passes it over."""
        try:
            number = int(notice["rev"])
            if number <= self.last:
                return  # told before: to apply it again would undo what has been told since
            if "pool" in notice:
                pool = notice["pool"]
                hosts = tuple(self.host(line) for line in pool.get("hosts", []))
                self.member_table.update_list(bool(pool.get("whole", False)), hosts, int(pool.get("seq", 0)))
            elif "flush" in notice:
                flush = notice["flush"]
                item = int(flush["asset"], 16) if "asset" in flush else None
                group = int(flush["collection"]) if item is None else 0
                self.member_table.purge(item, group, float(flush["ms"]))
        except (KeyError, ValueError, TypeError, AttributeError, OverflowError) as error:
            LOG.warning("notice can't be used", extra=fields(reason=repr(error), notice=str(notice)[:200]))
            return
        self.last = number

    def host(self, line: Mapping[str, Any]) -> Endpoint:
        """A line of the pool."""
        dial = str(line.get("dial", ""))
        host, _, port = dial.rpartition(":")
        zones, kinds = self.names.zones, self.names.kinds
        site, kind = str(line.get("site", "")), str(line.get("class", ""))
        share = float(line.get("share", 1.0))
        return Endpoint(
            name=str(line["host"]),
            dial=(host.strip("[]"), int(port)) if host and port.isdigit() else None,
            zone=zones.index(site) if site in zones else NO_ZONE,
            kind=kinds.index(kind) if kind in kinds else 0xFF,
            cell=int(line.get("block", 0)),
            state=STATES[str(line.get("health", "Ready"))],
            size=share if math.isfinite(share) and share > 0 else 1.0,
            born_unix_ms=float(line.get("born_ms", 0.0)),
        )

    def move(self, address: tuple[str, int] | None) -> None:
        """Follow the board at another address from now on; no read of the old one delays that."""
        with self.lock:
            if address == self.address:
                return
            self.address = address
            self.turn += 1
            sock = self.sock
        LOG.info("board moves", extra=fields(to=address, last=self.last))
        threading.Thread(target=self.run, name="board", daemon=True).start()
        if sock is not None:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def run(self) -> None:
        """Connect, watch, and connect again from the last number, until the board moves."""
        with self.lock:
            turn, address = self.turn, self.address
        while address is not None and turn == self.turn and not self.stopped.is_set():
            notified = self.member_table.notified_us
            try:
                with socket.create_connection(address, timeout=CONNECT_S) as sock:
                    self.sock = sock
                    self.watch(sock, turn)
            except (OSError, ValueError) as error:
                if turn == self.turn:
                    LOG.info("board lost", extra=fields(reason=error, last=self.last))
            self.stopped.wait(self.again_s(told=notified != self.member_table.notified_us))

    def again_s(self, told: bool) -> float:
        """How long to wait for the next try, after a connection that told something or one that didn't."""
        return (AGAIN_S / 10 if told else AGAIN_S) * self.random.uniform(1.0 - APART, 1.0 + APART)

    def watch(self, sock: socket.socket, turn: int) -> None:
        """Read lines until the connection ends, the board falls silent, or it moves."""
        sock.sendall(self.request())
        lines = LineBuffer(now_us())
        while turn == self.turn and not self.stopped.is_set():
            sock.settimeout(max(0.01, (lines.until_us - now_us()) / 1e6))
            self.feed(lines, sock.recv(65536), turn)

    def request(self) -> bytes:
        """What a connection begins with."""
        return b"watch %d\n" % self.last

    def feed(self, lines: LineBuffer, data: bytes, turn: int) -> None:
        """Bytes of a connection of this turn; none where the board closed it. ConnectionError or ValueError
        ends the connection.
        """
        if not data:
            raise ConnectionResetError("closed by the board")
        for line in lines.cut(data):
            with self.lock:
                if turn == self.turn and self.line(line):
                    self.member_table.notified_us = now_us()
                    lines.until_us = self.member_table.notified_us + SILENT_US

    def line(self, raw: bytes) -> bool:
        """One line: an event, or the last number alone; whether it could be read."""
        if not raw.strip():
            return False
        try:
            notice = json.loads(raw)
        except (ValueError, RecursionError) as error:
            LOG.warning("bad line", extra=fields(reason=error, line=raw[:100]))
            return False
        event = isinstance(notice, dict)
        number = notice.get("rev") if event else notice
        if not isinstance(number, int) or isinstance(number, bool):
            LOG.warning("bad line", extra=fields(reason="no number", line=raw[:100]))
            return False
        if number > self.last + event and self.asked != self.last:
            # Guards against a gap, as after a line that was spoilt; one that stays is passed over.
            self.asked = self.last
            raise GapError(f"{number} came after {self.last}")
        if event:
            self.apply(notice)
        return True
