"""Operators' HTTP calls on the second address: parses them and writes answers, without decisions."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import NamedTuple, Protocol
from urllib.parse import unquote_to_bytes

from lupintack.fronts.exchange import Exchange, HttpError

MAX_BODY_BYTES = 4096
INVALID_PERCENT = re.compile(r"%(?![0-9A-Fa-f]{2})")


class AdminResult(NamedTuple):
    """Result of a call: the HTTP status (2xx for success), and the reason in one line of text."""

    status: int
    text: str


class AdminCommands(Protocol):
    """Executes the calls; no method may wait for the core."""

    def ready(self) -> AdminResult:
        """Return whether load balancers should send requests to this router."""

    def exclude(self, name: str) -> AdminResult:
        """Take a member out of use."""

    def include(self, name: str) -> AdminResult:
        """Put a member back into use."""

    def evacuate(self) -> AdminResult:
        """Start to end the clients' connections; the process keeps running."""

    def rejoin(self) -> AdminResult:
        """Accept clients' connections again."""


class Admin:
    """Handles the operators' calls."""

    def __init__(self, commands: AdminCommands, fleet_state: Callable[[], str] | None = None) -> None:
        """`fleet_state`: returns this router's view of the others as JSON; None: no /api/fleet."""
        self.commands = commands
        self.fleet_state = fleet_state

    def handle(self, exchange: Exchange) -> None:
        """Answer one call on the thread of its connection, and close the connection after the answer."""
        request = exchange.request
        path, _, query = request.target.partition("?")
        method = {
            "/api/ready": "GET", "/api/exclude": "POST", "/api/include": "POST", "/api/evacuate": "POST",
            "/api/rejoin": "POST",
        }.get(path)  # fmt: skip
        if path == "/api/fleet" and self.fleet_state is not None:
            method = "GET"
        if method is None:
            raise HttpError(404, "no such call")
        if request.method != method:
            text = f"{method} is wanted\n".encode()
            exchange.answer(405, [("Allow", method), ("Content-Type", "text/plain")], text, close=True)
            return
        if path == "/api/fleet" and self.fleet_state is not None:
            body = f"{self.fleet_state()}\n".encode()
            exchange.answer(200, [("Content-Type", "application/json")], body, close=True)
            return
        if path == "/api/ready":
            result = self.commands.ready()
        elif path == "/api/evacuate":
            result = self.commands.evacuate()
        elif path == "/api/rejoin":
            result = self.commands.rejoin()
        elif path == "/api/exclude":
            result = self.commands.exclude(member_name(query))
        else:
            result = self.commands.include(member_name(query))
        text = f"{result.text}\n".encode()
        exchange.answer(result.status, [("Content-Type", "text/plain")], text, close=True)


def member_name(query: str) -> str:
    """Return the percent-decoded `name` of a query; raise HttpError for any other query."""
    values = []
    for pair in query.split("&") if query else []:
        key, _, value = pair.partition("=")
        if key != "name":
            raise HttpError(400, "name=ID is the only parameter")
        if INVALID_PERCENT.search(value):
            raise HttpError(400, "name: two hex digits are wanted after each %")
        values.append(value)
    if len(values) != 1:
        raise HttpError(400, "name=ID is wanted, once")
    try:
        text = unquote_to_bytes(values[0]).decode()
    except UnicodeDecodeError:
        raise HttpError(400, "name: UTF-8 is wanted") from None
    if not text or not text.isprintable():
        raise HttpError(400, "name: a cache's id is wanted")
    return text
