"""The metadata documents (RFC 8006) of upstream CDNs: fetched when they are needed, and cached."""

from __future__ import annotations

import hashlib
import json
import re
import threading
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from lupintack.clock import now_us
from lupintack.core.messages import OUTDATED_METADATA
from lupintack.fronts.cdni import client, messages
from lupintack.fronts.cdni.metadata import MetadataError
from lupintack.fronts.exchange import HttpError

FETCH_TIMEOUT_US = 2_000_000
DEFAULT_MAX_AGE_US = 60_000_000  # for documents without a max-age
MAX_AGE_LIMIT_US = 3_600_000_000
MAX_DOCUMENTS = 256
DIGEST_BYTES = 16
LONG_AGO_US = -(1 << 62)


@dataclass(slots=True)
class Document:
    """A cached document, when its fetch began, when it expires, and a digest of its data."""

    data: dict[str, Any]
    fetched_us: int
    expires_us: int
    digest: bytes


@dataclass(slots=True, eq=False)
class Fetch:
    """A fetch of a document that has not ended."""

    url: str
    began_us: int
    is_outdated: bool = False  # the document was dropped since: what comes may be older


class MetadataStore:
    """Caches documents fetched from upstream CDNs, and counts their changes.

    A document that is fetched for the first time counts as changed: what it was before isn't known.
    """

    def __init__(self) -> None:
        """Start without documents."""
        self.version = 0  # how often documents have changed
        self.changed_us = LONG_AGO_US  # when one last did
        self._digests: dict[str, bytes] = {}  # of what came last, by URL; the latest at the end
        self.lock = threading.Lock()
        self.documents: dict[str, Document] = {}
        self.fetches: list[Fetch] = []  # one a thread at most

    def get(self, url: str, ptype: str) -> dict[str, Any]:
        """Return a document's data, from the cache unless it has expired.

        Raises MetadataError if it is not available.
        """
        return self.get_document(url, ptype).data

    def get_document(self, url: str, ptype: str) -> Document:
        """Return a document as `get` does."""
        with self.lock:
            cached = self.documents.get(url)
            if cached is not None and now_us() < cached.expires_us:
                return cached
            fetch = Fetch(url, now_us())
            self.fetches.append(fetch)
        try:
            data, max_age_us = _fetch(url, ptype)
            digest = hashlib.blake2b(json.dumps(data).encode(), digest_size=DIGEST_BYTES).digest()
            document = Document(data, fetch.began_us, fetch.began_us + max_age_us, digest)
            with self.lock:
                self._note_change(url, digest)
                self._keep(fetch, document)
        finally:
            with self.lock:
                self.fetches.remove(fetch)
        return document

    def version_of(self, digests: Mapping[str, bytes]) -> int:
        """Return the version if all these documents are as they came last, else OUTDATED_METADATA."""
        with self.lock:
            is_current = all(self._digests.get(url) == digest for url, digest in digests.items())
            return self.version if is_current else OUTDATED_METADATA

    def _note_change(self, url: str, digest: bytes) -> None:
        """Compare a document with the last one at its URL; called with the lock held."""
        if self._digests.pop(url, None) != digest:
            self.version += 1
            self.changed_us = now_us()
        while len(self._digests) >= MAX_DOCUMENTS:
            del self._digests[next(iter(self._digests))]
        self._digests[url] = digest

    def drop(self, urls: list[str]) -> None:
        """Remove documents from the cache, and keep none that is being fetched."""
        with self.lock:
            for url in urls:
                self.documents.pop(url, None)
            for fetch in self.fetches:
                fetch.is_outdated |= fetch.url in urls

    def drop_all(self) -> None:
        """Remove all documents from the cache, and keep none that is being fetched."""
        with self.lock:
            self.documents.clear()
            for fetch in self.fetches:
                fetch.is_outdated = True

    def _keep(self, fetch: Fetch, document: Document) -> None:
        """Cache a document, unless it may be older than what is known; called with the lock held."""
        cached = self.documents.get(fetch.url)
        if fetch.is_outdated or (cached is not None and cached.fetched_us > fetch.began_us):
            return
        self.documents.pop(fetch.url, None)
        while len(self.documents) >= MAX_DOCUMENTS:
            del self.documents[next(iter(self.documents))]
        self.documents[fetch.url] = document


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
