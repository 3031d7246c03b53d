"""Types that all HTTP fronts share: a request, its exchange, and an error to be sent as the answer."""

from __future__ import annotations

import logging
import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from lupintack.clock import now_us
from lupintack.logs import LineLimit, fields

LOG = logging.getLogger("fronts")
LOG_LIMIT = LineLimit(2)  # lines a second

REASONS = {
    200: "OK", 201: "Created", 204: "No Content", 301: "Moved Permanently", 302: "Found",
    303: "See Other", 304: "Not Modified", 307: "Temporary Redirect", 308: "Permanent Redirect",
    400: "Bad Request", 403: "Forbidden", 404: "Not Found", 405: "Method Not Allowed",
    406: "Not Acceptable", 408: "Request Timeout", 409: "Conflict", 411: "Length Required",
    413: "Content Too Large", 414: "URI Too Long", 415: "Unsupported Media Type",
    417: "Expectation Failed", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
    500: "Internal Server Error", 501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable",
    504: "Gateway Timeout", 505: "HTTP Version Not Supported",
}  # fmt: skip


FIELD_VALUE = re.compile(r"(?:[!-~\x80-\xff](?:[\t -~\x80-\xff]*[!-~\x80-\xff])?)?")


class HttpError(ValueError):
    """A request that is answered with an error status."""

    def __init__(self, status: int, text: str) -> None:
        """Store the status; `text` is the body of the answer."""
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class HttpRequest:
    """A request with its body; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    close: bool = False
    received_us: int = 0


class Response(NamedTuple):
    """An answer, before it is encoded for its protocol."""

    status: int
    headers: list[tuple[str, object]]
    body: bytes | bytearray | memoryview


def checked_response(
    status: int,
    headers: Iterable[tuple[str, object]],
    body: bytes | bytearray | memoryview,
    count: Callable[[str], None],
) -> Response:
    """Return an answer whose fields are read as they are meant, an error where a value has a line end.

    Characters over 0xff can't be written either.
    """
    response = Response(status, list(headers), body)
    for name, value in response.headers:
        if not isinstance(value, int) and FIELD_VALUE.fullmatch(str(value)) is None:
            count("answer.invalid_field")
            if LOG_LIMIT.allow(now_us()) >= 0:
                LOG.error("answer has an invalid field", extra=fields(status=status, field=name))
            return Response(500, [], b"")
    return response


def do_nothing() -> None:
    """Ignore that the client has disconnected."""


class Exchange(Protocol):
    """One request on a connection or a stream, answered once."""

    request: HttpRequest
    peer_ip: str
    on_disconnected: Callable[[], None]

    def answer(
        self,
        status: int,
        headers: Iterable[tuple[str, object]] = (),
        body: bytes | bytearray | memoryview = b"",
        close: bool = False,
    ) -> bool:
        """Write the answer; return False if the client has disconnected or was answered before."""

    def is_disconnected(self) -> bool:
        """Return whether the client has disconnected; may be called at any time after the request."""


class ConnectionOwner(Protocol):
    """The part of a server that its connections use, in any protocol; called on any thread."""

    max_body_bytes: int  # bytes

    @property
    def handle(self) -> Callable[[Exchange], None]:
        """Return the handler of complete requests."""

    @property
    def spawn(self) -> Callable[[Callable[[], None], str], None]:
        """Return the function that runs a call on a new thread with the given name."""

    @property
    def count(self) -> Callable[[str], None]:
        """Return the function that adds one to a counter."""
