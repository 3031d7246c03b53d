"""The platform's front: converts HTTP requests to requests of the core, and results to HTTP answers."""

from __future__ import annotations

from collections.abc import Callable

from lupintack.core.actor import Core
from lupintack.core.messages import Answer, ClientRequest
from lupintack.fronts import platform_headers
from lupintack.fronts.exchange import Exchange, HttpError, HttpRequest
from lupintack.http2.schedule import Priority
from lupintack.interface import Idempotency, ServiceClass

MAX_BODY_BYTES = 48_000
WRITE_PRIORITY, READ_PRIORITY = Priority(0), Priority()
# Subtracted from the client's wait, which starts when it sends: a burst may delay the core's turn.
MAX_MARGIN_US = 100_000
MARGIN_SHARE = 10  # the margin is at most the wait divided by this


def deadline_us(received_us: int, wait_ms: int) -> int:
    """Return when the client of a request received at `received_us` stops waiting, less a margin."""
    return received_us + wait_ms * 1000 - min(MAX_MARGIN_US, wait_ms * 1000 // MARGIN_SHARE)


class ClientSink:
    """Sends the final answer of a request to its client, once."""

    __slots__ = ("exchange",)

    def __init__(self, exchange: Exchange) -> None:
        """Store the exchange to be answered."""
        self.exchange = exchange

    def serve(self, answer: Answer, not_modified: bool) -> None:
        """Answer with content, or 304 if the client's own copy is current."""
        tag = platform_headers.entity_tag(answer.tag)
        if not_modified:
            self.exchange.answer(304, tag)
        else:
            self.exchange.answer(200, tag, answer.body)

    def reject(self, wait_ms: int) -> None:
        """Answer that the request was rejected before it ran; 0 ms: without a retry time."""
        self.exchange.answer(503, platform_headers.retry_after(wait_ms))

    def fail(self) -> None:
        """Answer that the request failed, and may have run."""
        self.exchange.answer(502)

    def report_conflict(self) -> None:
        """Answer that another request with the same id or key is in flight."""
        self.exchange.answer(409)

    def is_disconnected(self) -> bool:
        """Return whether the client has disconnected."""
        return self.exchange.is_disconnected()


class Platform:
    """Handles the platform's requests."""

    def __init__(self, core: Core, classes: tuple[str, ...], ready: Callable[[], bool]) -> None:
        """`classes`: names in the order of the core's settings; `ready`: the result of a health check."""
        self.core = core
        self.classes = {name: (index, core.settings.classes[index]) for index, name in enumerate(classes)}
        self.ready = ready

    def apply_settings(self, classes: dict[str, tuple[int, ServiceClass]]) -> None:
        """Replace the classes (name to index and settings); called in a turn of the core."""
        self.classes = classes

    def handle(self, exchange: Exchange) -> None:
        """Submit one request, on the thread of its connection; raise HttpError if it is invalid."""
        request = exchange.request
        if request.target == platform_headers.HEALTH_TARGET:
            if request.method not in ("GET", "HEAD"):
                raise HttpError(405, "GET is wanted")
            exchange.answer(200 if self.ready() else 503)
            return
        client_request = self.parse_request(exchange)
        exchange.on_disconnected = lambda: self.core.on_client_disconnected(client_request)
        self.core.submit(client_request)

    def default_priority(self, request: HttpRequest) -> Priority:
        """Return the priority of a request's answer: writes (alert-ack) overtake reads."""
        return WRITE_PRIORITY if request.method == "PUT" else READ_PRIORITY

    def parse_request(self, exchange: Exchange) -> ClientRequest:
        """Return the request as a message of the core; raise HttpError if a part is missing or invalid."""
        request, headers = exchange.request, exchange.request.headers
        target = platform_headers.match_target(request.target)
        class_entry = self.classes.get(target["class_name"]) if target is not None else None
        if target is None or class_entry is None:
            raise HttpError(404, "no such class or object")
        class_index, service_class = class_entry
        check_method(request.method, service_class)
        request_id = platform_headers.parse_request_id(headers)
        wait_ms = platform_headers.parse_wait_ms(headers)
        part = platform_headers.parse_part(target["part"])
        if wait_ms == 0:
            raise platform_headers.zero_wait()
        if request.body and not service_class.is_write:
            raise HttpError(400, "a body is for a class that writes")
        group = platform_headers.parse_group(headers)
        key = platform_headers.parse_idempotency_key(headers)
        if not key and service_class.idempotency is Idempotency.KEYED:
            # Without the key, a repeat could not be distinguished from a different request.
            raise platform_headers.missing_idempotency_key()
        return ClientRequest(
            wire_id=request_id,
            class_index=class_index,
            item=target["item"],
            object_id=int(target["item"], 16),
            part=part,
            group=group,
            deadline_us=deadline_us(request.received_us, wait_ms),
            sink=ClientSink(exchange),
            is_retry=platform_headers.is_retry(headers),
            is_write=service_class.is_write,
            body=request.body,
            cached_tags=platform_headers.parse_cached_tags(headers, service_class.is_write),
            idempotency_key=key,
            size_kb=platform_headers.parse_size_kb(headers),
            class_name=target["class_name"],
        )


def check_method(method: str, service_class: ServiceClass) -> None:
    """Raise HttpError unless the method is that of the class: PUT for writes, GET for others."""
    if method != ("PUT" if service_class.is_write else "GET"):
        raise HttpError(405, "PUT is for a class that writes, GET for the others")
