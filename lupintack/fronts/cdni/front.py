"""Routes of the CDNI front: triggers, redirection, this CDN's metadata, and deliveries."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import urlsplit

from lupintack.core.actor import Core
from lupintack.core.entity_tags import parse_if_none_match
from lupintack.core.member_table import MemberTable
from lupintack.fronts.cdni import messages, metadata
from lupintack.fronts.cdni.conf import Cdni, ContentHost
from lupintack.fronts.cdni.delivery import Delivery
from lupintack.fronts.cdni.metadata_reader import MetadataReader
from lupintack.fronts.cdni.metadata_store import MetadataStore
from lupintack.fronts.cdni.purges import Purges
from lupintack.fronts.cdni.redirection import DEFAULT_MAX_HOPS, Redirection, RiError
from lupintack.fronts.cdni.run_once_ids import RunOnceIds
from lupintack.fronts.cdni.shared_state import CdniLogs
from lupintack.fronts.cdni.triggers import STATUS_FILTERS, Triggers
from lupintack.fronts.exchange import Exchange, HttpError


class CdniFront:
    """Handles requests of other CDNs, and of clients that they redirect to this one."""

    def __init__(
        self,
        conf: Cdni,
        core: Core,
        member_table: MemberTable,
        ready: Callable[[], bool],
        spawn: Callable[[Callable[[], None], str], None],
        logs: CdniLogs | None = None,
        first_trigger: int = 0,
    ) -> None:
        """Start the trigger workers; `ready`: whether this router accepts clients, for health checks.

        `logs`: shared with the router's other processes, if there may be any; `first_trigger`: triggers have
        the numbers after it.
        """
        self.conf = conf
        self.core = core
        self.ready = ready
        self.store = MetadataStore()
        self.delivery = Delivery(conf, core, self.store, RunOnceIds(logs.ids if logs is not None else None))
        purges = Purges(conf, member_table, self.store, logs.purges if logs is not None else None)
        self.triggers = Triggers(conf, purges, self.delivery, self.store, first_trigger)
        self.redirection = Redirection(conf, self.delivery, ready, core.counters)
        for loop, name in self.triggers.loops():
            spawn(loop, name)

    def handle(self, exchange: Exchange) -> None:
        """Answer one request; called on the thread of its connection."""
        request = exchange.request
        path = urlsplit(request.target).path
        first, _, resource_path = path.removeprefix("/").partition("/")
        self.core.counters.increment(f"cdni.{first if first in self.ROUTES else 'other'}")
        if first not in self.ROUTES:
            raise HttpError(404, "no such resource")
        self.ROUTES[first](self, exchange, resource_path)

    def on_alive(self, exchange: Exchange, resource_path: str) -> None:
        """Answer a health check."""
        require_method(exchange, "GET")
        exchange.answer(200 if self.ready() else 503)

    def on_triggers(self, exchange: Exchange, resource_path: str) -> None:
        """Answer requests for trigger collections and status resources (RFC 8007)."""
        if resource_path in ("", *STATUS_FILTERS):
            if exchange.request.method == "POST" and resource_path == "":
                data = messages.read_message(exchange, messages.COMMAND, messages.STATUS)
                created = self.triggers.handle_command(data)
                if created is None:
                    exchange.answer(200)
                else:
                    location = ("Location", self.triggers.url(created))
                    messages.send_object(exchange, 201, messages.STATUS, created.to_json(), location)
                return
            require_method(exchange, "GET")
            self.send_document(exchange, messages.COLLECTION, self.triggers.collection(resource_path))
            return
        resource = self.triggers.find_by_url(f"{self.conf.base}/triggers/{resource_path}")
        if exchange.request.method == "DELETE":
            self.triggers.delete(resource)
            exchange.answer(204)
            return
        require_method(exchange, "GET")
        self.send_document(exchange, messages.STATUS, resource.to_json())

    def on_ri(self, exchange: Exchange, resource_path: str) -> None:
        """Answer a redirection request (RFC 7975)."""
        require_method(exchange, "POST")
        data = messages.read_message(exchange, messages.RI_REQUEST, messages.RI_RESPONSE)
        try:
            response = self.redirection.answer(data)
            messages.send_object(
                exchange, 200, messages.RI_RESPONSE, response, ("Cache-Control", "max-age=5")
            )
        except RiError as error:
            cache_control = ("Cache-Control", "private, no-cache")
            messages.send_object(exchange, 500, messages.RI_RESPONSE, error.to_json(), cache_control)

    def on_metadata(self, exchange: Exchange, resource_path: str) -> None:
        """Answer with this CDN's metadata for downstream CDNs (RFC 8006)."""
        require_method(exchange, "GET")
        kind, _, name = resource_path.partition("/")
        host = self.conf.hosts.get(name)
        if resource_path == "hostindex":
            self.send_document(exchange, messages.HOST_INDEX, metadata.host_index(self.conf))
        elif kind == "host" and host is not None and host.downstream:
            self.send_host_metadata(exchange, host)
        else:
            raise HttpError(404, "no such metadata")

    def send_host_metadata(self, exchange: Exchange, host: ContentHost) -> None:
        """Answer with the metadata of a host; raise HttpError if its upstream's is not available.

        A purge of a collection is forwarded as the upstream named it, so its names are passed on as well.
        """
        upstream = self.conf.upstreams.get(host.upstream)
        if upstream is None or not upstream.metadata:
            document = metadata.host_metadata(self.conf, host, {})
            self.send_document(exchange, messages.HOST_METADATA, document)
            return
        reader = MetadataReader(self.store)
        try:
            groupings = reader.groupings(upstream.metadata, host.name)
        except metadata.MetadataError as error:
            raise HttpError(502, f"metadata: {error}") from None
        document = metadata.host_metadata(self.conf, host, groupings)
        cache_control = ("Cache-Control", f"max-age={reader.max_age_s()}")
        self.send_document(exchange, messages.HOST_METADATA, document, cache_control)

    def on_delivery(self, exchange: Exchange, resource_path: str) -> None:
        """Deliver content to a client that another CDN redirected to this one."""
        self.delivery.serve(exchange, "http://" + exchange.request.target.removeprefix("/delivery/"))

    def on_content(self, exchange: Exchange, resource_path: str) -> None:
        """Deliver content, or redirect the client to a downstream CDN that accepts it."""
        url = "http://" + exchange.request.target.removeprefix("/content/")
        content = self.conf.locate(url)
        if content is not None and exchange.request.method == "GET":
            http = {
                "c-ip": exchange.peer_ip, "cs-uri": url, "cs-version": "HTTP/1.1", "cs-method": "GET",
            }  # fmt: skip
            response = self.redirection.redirect_downstream(content, http, [], DEFAULT_MAX_HOPS)
            if response is not None:
                redirection = response["http"]
                exchange.answer(int(redirection["sc-status"]), [("Location", redirection["sc-(location)"])])
                return
        self.delivery.serve(exchange, url)

    def send_document(
        self, exchange: Exchange, ptype: str, data: dict[str, Any], *extra: tuple[str, str]
    ) -> None:
        """Answer with a JSON object, or with 304 if the client has the current entity tag."""
        if not messages.accepts(exchange.request.headers.get("accept", ""), ptype):
            raise HttpError(406, f"the answer is {messages.media_type(ptype)}")
        tag = hashlib.blake2b(json.dumps(data).encode(), digest_size=8).hexdigest()
        field = ("ETag", f'"{tag}"')
        if parse_if_none_match(exchange.request.headers.get("if-none-match", "")).match(tag):
            exchange.answer(304, [field, *extra])
        else:
            messages.send_object(exchange, 200, ptype, data, field, *extra)

    ROUTES: dict[str, Callable[[CdniFront, Exchange, str], None]] = {
        "alive": on_alive,
        "triggers": on_triggers,
        "ri": on_ri,
        "metadata": on_metadata,
        "delivery": on_delivery,
        "content": on_content,
    }


def require_method(exchange: Exchange, method: str) -> None:
    """Raise HttpError if the request has another method."""
    if exchange.request.method != method:
        raise HttpError(405, f"{method} is wanted")
