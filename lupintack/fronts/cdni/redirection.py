"""Request routing redirection (RFC 7975): server for upstream CDNs, client of downstream CDNs."""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from dataclasses import dataclass
from ipaddress import ip_address
from typing import Any
from urllib.parse import urlsplit

from lupintack.core.counters import Counters
from lupintack.fronts.cdni import client, messages, metadata
from lupintack.fronts.cdni.conf import Cdni, Content
from lupintack.fronts.cdni.delivery import Delivery
from lupintack.fronts.exchange import HttpError

DOWNSTREAM_TIMEOUT_US = 300_000  # after this, the content is delivered here
DEFAULT_MAX_HOPS = 4  # for redirections that start at this CDN, and requests without max-hops

# Error codes of RFC 7975
METADATA_UNAVAILABLE, LOOP_DETECTED = 501, 502
OUT_OF_CAPACITY, PROTOCOL_NOT_SUPPORTED, REDIRECTION_NOT_SUPPORTED = 504, 505, 506

REDIRECTION_STATUSES = (301, 302, 303, 307, 308)
HTTP1_VERSION = re.compile(r"HTTP/1(\.\d)?")


class RiError(Exception):
    """An error of the redirection interface."""

    def __init__(self, code: int, text: str) -> None:
        """`code`: the error code of RFC 7975."""
        super().__init__(text)
        self.code = code

    def to_json(self) -> dict[str, Any]:
        """Return the error response object of RFC 7975."""
        return {"error": {"error-code": self.code, "description": str(self)}}


@dataclass(frozen=True, slots=True)
class RedirectionRequest:
    """A parsed redirection request; `http`: its unchanged http object, which is forwarded downstream."""

    cdn_path: list[str]
    max_hops: int
    http: dict[str, Any]
    method: str
    uri: str
    version: str
    client_address: str


class Redirection:
    """The redirection interface."""

    def __init__(self, conf: Cdni, delivery: Delivery, ready: Callable[[], bool], counters: Counters) -> None:
        """`ready`: whether this router accepts clients."""
        self.conf = conf
        self.delivery = delivery
        self.ready = ready
        self.counters = counters

    def answer(self, data: dict[str, Any]) -> dict[str, Any]:
        """Return the response to a request; raise RiError for an error response, HttpError if malformed."""
        request = self.parse_request(data)
        content = self.locate(request)
        self.check_permitted(content, request)
        if request.max_hops > len(request.cdn_path):
            response = self.redirect_downstream(content, request.http, request.cdn_path, request.max_hops)
            if response is not None:
                return response
        return self.redirect_here(request)

    def parse_request(self, data: dict[str, Any]) -> RedirectionRequest:
        """Return the parsed request; raise HttpError if it is malformed, RiError if it is not supported."""
        path = messages.read_texts(data, "cdn-path", messages.MAX_PATH_ITEMS)
        max_hops = data.get("max-hops", DEFAULT_MAX_HOPS)
        if not isinstance(max_hops, int) or isinstance(max_hops, bool) or max_hops < 0:
            raise HttpError(400, "max-hops: a whole number is wanted")
        if ("dns" in data) == ("http" in data):
            raise HttpError(400, "one of dns and http is wanted")
        if self.conf.id in path:
            # Prevents a client from being redirected between CDNs in a loop.
            raise RiError(LOOP_DETECTED, "loop detected")
        if "dns" in data:
            raise RiError(REDIRECTION_NOT_SUPPORTED, "DNS redirection is not supported")
        http = data["http"]
        if not isinstance(http, dict):
            raise HttpError(400, "http: an object is wanted")
        method, uri = messages.read_text(http, "cs-method"), messages.read_text(http, "cs-uri")
        version, address = messages.read_text(http, "cs-version"), messages.read_text(http, "c-ip")
        if not messages.is_visible(uri):
            # It becomes a part of a Location, which white space would end.
            raise HttpError(400, "cs-uri: visible ASCII characters are wanted")
        try:
            ip_address(address)
        except ValueError:
            raise HttpError(400, "c-ip: an address is wanted") from None
        return RedirectionRequest(path, max_hops, http, method, uri, version, address)

    def locate(self, request: RedirectionRequest) -> Content:
        """Return the requested content; raise RiError if this CDN does not deliver it now."""
        if not request.cdn_path or request.cdn_path[-1] not in self.conf.upstreams:
            raise RiError(500, "the sender is no upstream CDN of this one")
        if urlsplit(request.uri).scheme != "http" or not HTTP1_VERSION.fullmatch(request.version):
            raise RiError(PROTOCOL_NOT_SUPPORTED, "delivery protocol not supported")
        if not self.ready():
            raise RiError(OUT_OF_CAPACITY, "out of capacity")
        content = self.conf.locate(request.uri)
        if content is None:
            raise RiError(500, "not this CDN's content")
        service_class = self.delivery.core.settings.classes[content.class_index]
        if request.method != ("PUT" if service_class.is_write else "GET"):
            raise RiError(500, f"{request.method} is not delivered here")
        return content

    def check_permitted(self, content: Content, request: RedirectionRequest) -> None:
        """Raise RiError if the upstream's metadata forbids the delivery or is not available."""
        try:
            self.delivery.resolve_group(content, request.uri, request.client_address)
        except metadata.MetadataError as error:
            raise RiError(METADATA_UNAVAILABLE, f"unable to retrieve metadata: {error}"[:300]) from None
        except metadata.DeliveryDeniedError as error:
            raise RiError(PROTOCOL_NOT_SUPPORTED if error.protocol else 500, str(error)) from None

    def redirect_here(self, request: RedirectionRequest) -> dict[str, Any]:
        """Return the response that redirects the client to this CDN."""
        parts = urlsplit(request.uri)
        query = f"?{parts.query}" if parts.query else ""
        location = f"{self.conf.base}/delivery/{parts.netloc}{parts.path}{query}"
        # 307 keeps the method of a write.
        status, reason = (302, "Found") if request.method == "GET" else (307, "Temporary Redirect")
        return {
            "http": {
                "sc-status": status,
                "sc-version": request.version,
                "sc-reason": reason,
                "cs-uri": request.uri,
                "sc-(location)": location,
            }
        }

    def redirect_downstream(
        self, content: Content, http: dict[str, Any], path: list[str], max_hops: int
    ) -> dict[str, Any] | None:
        """Return the redirection from the content's downstream CDN, or None if the content is delivered here.

        Writes are never delegated: two CDNs could each run a request that is not idempotent.
        """
        downstream = self.conf.downstreams.get(content.host.downstream)
        if downstream is None or not downstream.redirect or downstream.id in path:
            return None
        if self.delivery.core.settings.classes[content.class_index].is_write:
            return None
        body = {"cdn-path": [*path, self.conf.id], "max-hops": max_hops, "http": http}
        headers = {
            "Content-Type": messages.media_type(messages.RI_REQUEST),
            "Accept": messages.media_type(messages.RI_RESPONSE),
        }
        try:
            reply = client.call(
                "POST", downstream.redirect, DOWNSTREAM_TIMEOUT_US, json.dumps(body).encode(), headers
            )
            if messages.payload_type(reply.headers.get("content-type", "")) != messages.RI_RESPONSE:
                raise client.CallError("not a redirection-response")
            data = messages.parse_object(reply.body)
            redirection = data.get("http", {})
            if reply.status != 200 or "error" in data or not isinstance(redirection, dict):
                raise client.CallError(f"error {data.get('error')}")
            location = redirection.get("sc-(location)")
            if redirection.get("sc-status") not in REDIRECTION_STATUSES or not messages.is_http_url(location):
                raise client.CallError("no usable redirection in it")
        except (client.CallError, HttpError):
            self.counters.increment("cdni.redirect.passed_over")
            return None
        self.counters.increment("cdni.redirect.handed_on")
        return {"http": redirection, **({"scope": data["scope"]} if "scope" in data else {})}
