"""The second address: the operators' calls. It parses them and writes the answers; it decides nothing."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import NamedTuple, Protocol
from urllib.parse import unquote_to_bytes

from lupintack.fronts.exchange import Exchange, HttpError

MAX_BODY_BYTES = 4096
INVALID_PERCENT = re.compile(r"%(?![0-9A-Fa-f]{2})")


class AdminResult(NamedTuple):
    """Result of a call: 2xx is a yes, and the text says why on one line."""

    status: int
    text: str


class AdminCommands(Protocol):
    """Executes the calls; none of them may wait for the core."""

    def ready(self) -> AdminResult:
        """Return whether the front should send requests here."""

    def exclude(self, name: str) -> AdminResult:
        """Take a member out of use."""

    def include(self, name: str) -> AdminResult:
        """Put a member back into use."""

    def evacuate(self) -> AdminResult:
        """Begin to end clients' connections, and stay up."""

    def rejoin(self) -> AdminResult:
        """Take clients' connections again."""


class Admin:
    """Handles the calls."""

    def __init__(self, commands: AdminCommands, fleet_state: Callable[[], str] | None = None) -> None:
        """`fleet_state`: returns what this router knows of the others, as JSON; None: not offered."""
        self.commands = commands
        self.fleet_state = fleet_state  # where routers talk: what this one knows of the others, as JSON

    def handle(self, exchange: Exchange) -> None:
        """Answer one call, on the thread of its connection; the connection ends with the answer."""
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
    """Return the one `name` of a query, percent-decoded; raise HttpError for anything else."""
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
