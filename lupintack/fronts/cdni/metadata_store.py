"""The metadata documents (RFC 8006) of upstream CDNs: fetched when they are needed, and cached."""

from __future__ import annotations

import re
import threading
from dataclasses import dataclass
from typing import Any
from urllib.parse import urljoin, urlsplit

from lupintack.clock import now_us
from lupintack.fronts.cdni import client, messages
from lupintack.fronts.cdni.metadata import MetadataError, matches, read_objects
from lupintack.fronts.exchange import HttpError

FETCH_TIMEOUT_US = 2_000_000
DEFAULT_MAX_AGE_US = 60_000_000  # for documents without a max-age
MAX_AGE_LIMIT_US = 3_600_000_000
MAX_DOCUMENTS = 256
MAX_DEPTH = 8  # nested paths for one URL, and links in a row


@dataclass(slots=True)
class Document:
    """A cached document, when its fetch began, and when it expires."""

    data: dict[str, Any]
    fetched_us: int
    expires_us: int


@dataclass(slots=True, eq=False)
class Fetch:
    """A fetch of a document that has not ended."""

    url: str
    began_us: int
    is_outdated: bool = False  # the document was dropped since: what comes may be older


class MetadataStore:
    """Caches documents fetched from upstream CDNs."""

    def __init__(self) -> None:
        """Start without documents."""
        self.lock = threading.Lock()
        self.documents: dict[str, Document] = {}
        self.fetches: list[Fetch] = []  # one a thread at most

    def get(self, url: str, ptype: str) -> dict[str, Any]:
        """Return a document, from the cache unless it has expired; raise MetadataError if that fails."""
        with self.lock:
            cached = self.documents.get(url)
            if cached is not None and now_us() < cached.expires_us:
                return cached.data
            fetch = Fetch(url, now_us())
            self.fetches.append(fetch)
        try:
            data, max_age_us = _fetch(url, ptype)
            with self.lock:
                self._keep(fetch, Document(data, fetch.began_us, fetch.began_us + max_age_us))
        finally:
            with self.lock:
                self.fetches.remove(fetch)
        return data

    def drop(self, urls: list[str]) -> None:
        """Remove documents from the cache, and keep none that is being fetched."""
        with self.lock:
            for url in urls:
                self.documents.pop(url, None)
            for fetch in self.fetches:
                fetch.is_outdated |= fetch.url in urls

    def _keep(self, fetch: Fetch, document: Document) -> None:
        """Cache a document, unless it may be older than what is known; called with the lock held."""
        cached = self.documents.get(fetch.url)
        if fetch.is_outdated or (cached is not None and cached.fetched_us > fetch.began_us):
            return
        self.documents.pop(fetch.url, None)
        while len(self.documents) >= MAX_DOCUMENTS:
            del self.documents[next(iter(self.documents))]
        self.documents[fetch.url] = document

    def resolve(self, index_url: str, url: str) -> list[dict[str, Any]]:
        """Return the generic metadata of a URL, each type from the most specific level that has it."""
        parts = urlsplit(url)
        host_index = self.get(index_url, messages.HOST_INDEX)
        for host in read_objects(host_index, "hosts"):
            if str(host.get("host", "")).lower() in (parts.netloc.lower(), parts.hostname or ""):
                level, base_url = self.follow(host.get("host-metadata"), messages.HOST_METADATA, index_url)
                break
        else:
            raise MetadataError(f"no metadata for host {parts.netloc}")
        by_type: dict[str, dict[str, Any]] = {}
        for _ in range(MAX_DEPTH):
            for generic in read_objects(level, "metadata"):
                by_type[str(generic.get("generic-metadata-type"))] = generic
            for path in read_objects(level, "paths"):
                if matches(path.get("path-pattern"), parts.path or "/"):
                    level, base_url = self.follow(path.get("path-metadata"), "MI.PathMetadata", base_url)
                    break
            else:
                return list(by_type.values())
        raise MetadataError("paths nested too deep")

    def follow(self, value: Any, ptype: str, base: str) -> tuple[dict[str, Any], str]:
        """Return an embedded or linked object, and the URL of the document that contains it."""
        for _ in range(MAX_DEPTH):
            if not isinstance(value, dict):
                raise MetadataError(f"{ptype}: an object is wanted")
            if "href" not in value:
                return value, base
            base = urljoin(base, str(value["href"]))
            value = self.get(base, str(value.get("type", ptype)))
        raise MetadataError("too many links")


def _fetch(url: str, ptype: str) -> tuple[dict[str, Any], int]:
    """Return a document and how long it may be kept, in us; raise MetadataError if that fails."""
    try:
        reply = client.call("GET", url, FETCH_TIMEOUT_US, headers={"Accept": messages.media_type(ptype)})
    except client.CallError as error:
        raise MetadataError(str(error)) from None
    if reply.status != 200:
        raise MetadataError(f"{url}: status {reply.status}")
    if messages.payload_type(reply.headers.get("content-type", "")) != ptype:
        raise MetadataError(f"{url}: not {messages.media_type(ptype)}")
    try:
        return messages.parse_object(reply.body), _max_age_us(reply)
    except HttpError as error:
        raise MetadataError(f"{url}: {error}") from None


def _max_age_us(reply: client.Reply) -> int:
    """Return how long a document may be kept, counted from when it was asked for."""
    directives = reply.headers.get("cache-control", "").lower()
    if re.search(r"\bno-(store|cache)\b", directives):
        return 0
    match = re.search(r"\bmax-age=(\d{1,9})", directives)
    if match is None:
        return DEFAULT_MAX_AGE_US
    age = re.fullmatch(r"\d{1,9}", reply.headers.get("age", ""))  # in a cache before this one
    age_s = int(age[0]) if age is not None else 0
    return min(MAX_AGE_LIMIT_US, max(0, int(match[1]) - age_s) * 1_000_000)
