"""Reads the metadata of a host (RFC 8006), level by level: of the host, of a path, of a path within it."""

from __future__ import annotations

from typing import Any, NamedTuple
from urllib.parse import urljoin, urlsplit

from lupintack.clock import now_us
from lupintack.fronts.cdni import messages
from lupintack.fronts.cdni.metadata import GROUPING, MetadataError, generic_metadata, matches, read_objects
from lupintack.fronts.cdni.metadata_store import MetadataStore

MAX_DEPTH = 8  # nested paths for one URL, and links in a row
MAX_LEVELS = 256  # of one host
PATH_METADATA = "MI.PathMetadata"
NEVER_US = 1 << 62


class Level(NamedTuple):
    """Metadata of a host or a path, and the URL of the document that contains it."""

    data: dict[str, Any]
    base_url: str


class MetadataReader:
    """Reads from the documents of a store.

    `expires_us` is when the first of those used expires, and `digests` has the digest of each by its URL.
    """

    def __init__(self, store: MetadataStore) -> None:
        """Start without documents."""
        self._store = store
        self._level_count = 0
        self.expires_us = NEVER_US
        self.digests: dict[str, bytes] = {}

    def max_age_s(self) -> int:
        """Return for how many whole seconds what was read may be kept."""
        return max(0, self.expires_us - now_us()) // 1_000_000

    def resolve(self, index_url: str, url: str) -> list[dict[str, Any]]:
        """Return the generic metadata of a URL, each type from the most specific level that has it.

        Raises MetadataError if it is not available, as the other methods do.
        """
        parts = urlsplit(url)
        level = self._host_level(index_url, (parts.netloc.lower(), parts.hostname or ""))
        by_type: dict[str, dict[str, Any]] = {}
        for _ in range(MAX_DEPTH):
            for generic in read_objects(level.data, "metadata"):
                by_type[str(generic.get("generic-metadata-type"))] = generic
            for path in read_objects(level.data, "paths"):
                if matches(path.get("path-pattern"), parts.path or "/"):
                    level = self._follow(path.get("path-metadata"), PATH_METADATA, level.base_url)
                    break
            else:
                return list(by_type.values())
        raise MetadataError("paths nested too deep")

    def groupings(self, index_url: str, host: str) -> dict[str, Any]:
        """Return the metadata of a host with all levels, but with the collections of its content alone."""
        return self._groupings(self._host_level(index_url, (host,)), MAX_DEPTH)

    def _groupings(self, level: Level, depth: int) -> dict[str, Any]:
        self._level_count += 1
        if depth == 0 or self._level_count > MAX_LEVELS:
            raise MetadataError("paths nested too deep, or too many")
        paths = []
        for path in read_objects(level.data, "paths"):
            inner = self._follow(path.get("path-metadata"), PATH_METADATA, level.base_url)
            pattern = path.get("path-pattern")
            paths.append({"path-pattern": pattern, "path-metadata": self._groupings(inner, depth - 1)})
        return {"metadata": _own_groupings(level.data), "paths": paths}

    def _host_level(self, index_url: str, names: tuple[str, ...]) -> Level:
        """Return the metadata of the first host in an index that has one of these names."""
        index = self._get(index_url, messages.HOST_INDEX)
        for host in read_objects(index, "hosts"):
            if str(host.get("host", "")).lower() in names:
                return self._follow(host.get("host-metadata"), messages.HOST_METADATA, index_url)
        raise MetadataError(f"no metadata for host {names[0]}")

    def _follow(self, value: Any, ptype: str, base_url: str) -> Level:
        """Return an embedded or linked object."""
        for _ in range(MAX_DEPTH):
            if not isinstance(value, dict):
                raise MetadataError(f"{ptype}: an object is wanted")
            if "href" not in value:
                return Level(value, base_url)
            base_url = urljoin(base_url, str(value["href"]))
            value = self._get(base_url, str(value.get("type", ptype)))
        raise MetadataError("too many links")

    def _get(self, url: str, ptype: str) -> dict[str, Any]:
        document = self._store.get_document(url, ptype)
        self.expires_us = min(self.expires_us, document.expires_us)
        self.digests.setdefault(url, document.digest)
        return document.data


def _own_groupings(data: dict[str, Any]) -> list[dict[str, Any]]:
    """Return the entries of a level that name the collection of its content."""
    entries = []
    for generic in read_objects(data, "metadata"):
        value = generic.get("generic-metadata-value")
        if generic.get("generic-metadata-type") == GROUPING and isinstance(value, dict) and "ccid" in value:
            entries.append(generic_metadata(GROUPING, {"ccid": str(value["ccid"])}))
    return entries
