"""Content requests of the CDNI front to the core: deliveries to clients, and prepositioning."""

from __future__ import annotations

import secrets
import threading
from collections.abc import Callable
from typing import Any, NamedTuple

from lupintack.clock import now_us, unix_now_ms
from lupintack.core.actor import Core
from lupintack.core.messages import Answer, ClientRequest
from lupintack.fronts import platform_headers
from lupintack.fronts.cdni import metadata
from lupintack.fronts.cdni.conf import Cdni, Content
from lupintack.fronts.cdni.metadata_reader import MetadataReader
from lupintack.fronts.cdni.metadata_store import MetadataStore
from lupintack.fronts.cdni.run_once_ids import IdStatus, RunOnceIds
from lupintack.fronts.exchange import Exchange, HttpError
from lupintack.fronts.platform import MAX_BODY_BYTES, ClientSink, check_method, deadline_us
from lupintack.interface import UNKNOWN_GROUP, Idempotency


class CdnSink(ClientSink):
    """Answers a client as the platform's front does, with the standard Retry-After field on rejections."""

    __slots__ = ("on_rejected",)

    def __init__(self, exchange: Exchange, on_rejected: Callable[[], None]) -> None:
        """`on_rejected`: called before a rejection is answered."""
        super().__init__(exchange)
        self.on_rejected = on_rejected

    def reject(self, wait_ms: int) -> None:
        """Answer that the request was rejected before it ran; `wait_ms`: for Retry-After, 0 for none."""
        self.on_rejected()
        reject(self.exchange, wait_ms)


def reject(exchange: Exchange, wait_ms: int) -> None:
    """Answer 503; `wait_ms`: for the fields that ask the client to wait, 0 for none."""
    headers: list[tuple[str, object]] = [("Retry-After", max(1, -(-wait_ms // 1000)))] if wait_ms > 0 else []
    exchange.answer(503, headers + platform_headers.retry_after(wait_ms))


class ContentGroup(NamedTuple):
    """The group of content; where it was read from metadata, also at which purge and which version of that.

    See ClientRequest.
    """

    number: int
    read_at_purge: int | None = None
    metadata_version: int | None = None


class WaitSink:
    """Notifies a thread that its request has ended."""

    def __init__(self) -> None:
        """Start without a result."""
        self.done = threading.Event()
        self.is_served = False

    def serve(self, answer: Answer, not_modified: bool) -> None:
        """Record that the request was served."""
        self.is_served = True
        self.done.set()

    def reject(self, wait_ms: int) -> None:
        """Record that the request has ended without being served."""
        self.done.set()

    def fail(self) -> None:
        """Record that the request has ended without being served."""
        self.done.set()

    def report_conflict(self) -> None:
        """Record that the request has ended without being served."""
        self.done.set()

    def is_disconnected(self) -> bool:
        """Return False: the waiting thread does not disconnect."""
        return False


class Delivery:
    """Submits content requests to the core, under the same rules as the platform's requests."""

    def __init__(
        self, conf: Cdni, core: Core, store: MetadataStore, run_once_ids: RunOnceIds | None = None
    ) -> None:
        """`store`: the metadata of upstream CDNs."""
        self.conf = conf
        self.core = core
        self.class_names = tuple(cls.name for cls in core.settings.classes)  # when the CDNI file was read
        self.store = store
        self.run_once_ids = run_once_ids or RunOnceIds()

    def resolve_group(self, content: Content, url: str, client_ip: str) -> ContentGroup:
        """Return the group of content for a delivery to a client.

        Raises DeliveryDeniedError if the upstream's metadata forbids the delivery, MetadataError if it is not
        available.
        """
        return self._read_group(
            content, url, lambda entries: metadata.check_delivery(entries, client_ip, unix_now_ms() / 1000.0)
        )

    def _read_group(
        self, content: Content, url: str, check: Callable[[list[dict[str, Any]]], None]
    ) -> ContentGroup:
        """Return the group of content; `check` raises DeliveryDeniedError for metadata that forbids its use.

        Raises MetadataError if the metadata is not available.
        """
        upstream = self.conf.upstreams.get(content.host.upstream)
        if upstream is None or not upstream.metadata:
            return ContentGroup(content.host.group)
        purges = self.core.member_table.purge_memory
        read_at_purge = purges.last_number  # before the documents, which may be dropped meanwhile
        reader = MetadataReader(self.store)
        entries = reader.resolve(upstream.metadata, url)
        check(entries)
        group = metadata.content_group(entries)
        if group is None:
            group = content.host.group
        if purges.may_have_left_purged_group(self.store.changed_us, now_us()):
            group = UNKNOWN_GROUP
        return ContentGroup(group, read_at_purge, self.store.version_of(reader.digests))

    def serve(self, exchange: Exchange, url: str) -> None:
        """Submit a client's request for content; raise HttpError if it is not accepted."""
        request = exchange.request
        content = self.conf.locate(url)
        if content is None:
            raise HttpError(404, "no such content")
        service_class = self.core.settings.classes[content.class_index]
        check_method(request.method, service_class)
        if len(request.body) > MAX_BODY_BYTES:
            raise HttpError(413, "the body is too long")
        group = self.permitted_group(exchange, content, url)
        request_id = platform_headers.parse_request_id(request.headers, secrets.token_hex(8))
        runs_once = service_class.idempotency is not Idempotency.IDEMPOTENT
        if runs_once and not platform_headers.has_request_id(request.headers):
            raise platform_headers.missing_request_id()
        wait_ms = platform_headers.parse_wait_ms(request.headers, str(int(service_class.deadline_ms)))
        client_request = self.build_request(exchange, content, group, request_id, wait_ms)
        status = self.run_once_ids.add(request_id) if runs_once else IdStatus.ADDED
        if status is IdStatus.PRESENT:
            raise HttpError(409, "this request was taken before and may have run")
        if status is not IdStatus.ADDED:
            name = "cdni.ids_refused" if status is IdStatus.NO_ROOM else "cdni.ids_not_shared"
            self.core.counters.increment(name)
            reject(exchange, int(self.core.settings.max_retry_after_ms))
            return
        exchange.on_disconnected = lambda: self.core.on_client_disconnected(client_request)
        if exchange.is_disconnected():
            # The client disconnected while the metadata was fetched, when on_disconnected was not set yet.
            self.core.counters.increment("cdni.left")
            if runs_once:
                self.run_once_ids.remove(request_id)  # it has not run
            return
        self.core.submit(client_request)

    def permitted_group(self, exchange: Exchange, content: Content, url: str) -> ContentGroup:
        """Return the content's group; raise HttpError if the metadata forbids the delivery or is missing."""
        try:
            return self.resolve_group(content, url, exchange.peer_ip)
        except metadata.DeliveryDeniedError as error:
            raise HttpError(403, str(error)) from None
        except metadata.MetadataError as error:
            raise HttpError(502, f"metadata: {error}") from None

    def build_request(
        self, exchange: Exchange, content: Content, group: ContentGroup, request_id: str, wait_ms: int
    ) -> ClientRequest:
        """Return the request to the core for a client's HTTP request."""
        request, headers = exchange.request, exchange.request.headers
        service_class = self.core.settings.classes[content.class_index]
        runs_once = service_class.idempotency is not Idempotency.IDEMPOTENT
        # For a client that sent no key: the router's attempts carry a generated one.
        generated_key = secrets.token_hex(16) if service_class.idempotency is Idempotency.KEYED else ""
        return ClientRequest(
            wire_id=request_id,
            class_index=content.class_index,
            item=content.item,
            object_id=int(content.item, 16),
            part=content.part,
            group=group.number,
            group_read_at_purge=group.read_at_purge,
            metadata_version=group.metadata_version,
            class_name=self.class_names[content.class_index],
            deadline_us=deadline_us(request.received_us, wait_ms),
            sink=CdnSink(exchange, lambda: self.run_once_ids.remove(request_id) if runs_once else None),
            is_retry=platform_headers.is_retry(headers),
            is_write=service_class.is_write,
            body=request.body,
            idempotency_key=platform_headers.parse_idempotency_key(headers) or generated_key,
            cached_tags=platform_headers.parse_cached_tags(headers, service_class.is_write),
        )

    def preposition(self, content: Content, url: str) -> bool:
        """Fetch content into the caches; return whether it was served within the deadline of its class.

        Its metadata may allow it to some clients only, or later: that does not matter before a client asks.
        Raises DeliveryDeniedError if the metadata can't be enforced, MetadataError if it is not available.
        """
        group = self._read_group(content, url, metadata.check_supported)
        service_class = self.core.settings.classes[content.class_index]
        sink = WaitSink()
        request = ClientRequest(
            wire_id=secrets.token_hex(8),
            class_index=content.class_index,
            item=content.item,
            object_id=int(content.item, 16),
            part=content.part,
            group=group.number,
            group_read_at_purge=group.read_at_purge,
            metadata_version=group.metadata_version,
            class_name=self.class_names[content.class_index],
            deadline_us=now_us() + int(service_class.deadline_ms * 1000),
            sink=sink,
            idempotency_key=secrets.token_hex(16) if service_class.idempotency is Idempotency.KEYED else "",
        )
        self.core.submit(request)
        sink.done.wait(service_class.deadline_ms / 1000 + 1)
        return sink.is_served
