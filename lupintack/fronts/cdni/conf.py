"""Configuration of the CDNI front, from deploy/cdni.toml: listen address, peer CDNs and offered content."""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, urlsplit

from lupintack.fronts.platform_headers import PART_PARAMETER
from lupintack.interface import UNKNOWN_GROUP
from lupintack.settings import files
from lupintack.settings.errors import ConfigError

if TYPE_CHECKING:
    from lupintack.settings.cdni import Host

FILE = Path(__file__).parents[3] / "deploy" / "cdni.toml"
OBJECT_ID = re.compile(r"[0-9a-f]{16}")


@dataclass(frozen=True)
class ContentPath:
    """A path prefix of a host, and the service class of its content."""

    prefix: str
    class_index: int


@dataclass(frozen=True)
class ContentHost:
    """A host whose content is offered."""

    name: str
    group: int  # of its content, unless an upstream's metadata names another; or UNKNOWN_GROUP
    paths: tuple[ContentPath, ...]
    upstream: str = ""
    downstream: str = ""


@dataclass(frozen=True)
class Upstream:
    """A CDN that delegates deliveries to this one."""

    id: str
    metadata: str = ""


@dataclass(frozen=True)
class Downstream:
    """A CDN to which this one delegates deliveries."""

    id: str
    redirect: str = ""
    triggers: str = ""


@dataclass(frozen=True)
class Content:
    """The object at a URL, as the core identifies it.

    Its group is not known by the URL alone: an upstream's metadata may name another one than its host's.
    """

    class_index: int
    item: str
    part: int
    host: ContentHost


@dataclass(frozen=True)
class Cdni:
    """The configuration of the CDNI front."""

    listen: tuple[str, int]
    id: str
    base: str
    hosts: dict[str, ContentHost] = field(default_factory=dict)
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    downstreams: dict[str, Downstream] = field(default_factory=dict)
    enabled: bool = True

    def locate(self, url: str) -> Content | None:
        """Return the content at a URL, or None if it is not offered."""
        try:
            parts = urlsplit(url)
            authority, path = parts.netloc.lower(), parts.path or "/"
            host = self.hosts.get(authority) or self.hosts.get(parts.hostname or "")
            nth = parse_qs(parts.query).get(PART_PARAMETER, ["0"])[0]
        except ValueError:
            return None
        if host is None or parts.scheme not in ("http", "https"):
            return None
        matching = [content_path for content_path in host.paths if path.startswith(content_path.prefix)]
        if not matching or not (nth.isascii() and nth.isdigit() and len(nth) < 10):
            return None
        item = path.rsplit("/", 1)[1]
        if not OBJECT_ID.fullmatch(item):
            item = hashlib.blake2b(f"{host.name}{path}".encode(), digest_size=8).hexdigest()
        longest_match = max(matching, key=lambda p: len(p.prefix))
        return Content(longest_match.class_index, item, int(nth), host)


def group_of_collection(ccid: str) -> int:
    """Return the content group of a content collection id: its number below 256, otherwise a hash of it."""
    if ccid.isascii() and ccid.isdigit() and int(ccid) < 256:
        return int(ccid)
    return hashlib.blake2b(ccid.encode(), digest_size=1).digest()[0]


def load(path: Path, classes: tuple[str, ...]) -> Cdni | None:
    """Return the configuration in a file; None if the file is absent or disabled."""
    data = files.read_toml(path)
    if data is None or files.is_off(data):
        return None
    config = parse(data, path.name, classes)
    return config if config.enabled else None


def parse(data: dict[str, Any], name: str, classes: tuple[str, ...]) -> Cdni:
    """Return the configuration, enabled or not; raise ConfigError if it is invalid."""
    from lupintack.settings.cdni import File

    file = files.parse_record(File, data, name)
    hosts = [_content_host(entry, classes, name) for entry in file.host]
    config = Cdni(
        enabled=file.enabled,
        listen=files.address(file.listen, f"{name}: listen"),
        id=file.id,
        base=file.base.rstrip("/"),
        hosts={host.name: host for host in hosts},
        upstreams={up.id: Upstream(up.id, up.metadata) for up in file.upstream},
        downstreams={down.id: Downstream(down.id, down.redirect, down.triggers) for down in file.downstream},
    )
    if not config.id or not config.base.startswith("http://"):
        raise ConfigError(f"{name}: id and base (http://...) are required")
    for host in hosts:
        if host.upstream and host.upstream not in config.upstreams:
            raise ConfigError(f"{name}: host {host.name}: no upstream {host.upstream!r}")
        if host.downstream and host.downstream not in config.downstreams:
            raise ConfigError(f"{name}: host {host.name}: no downstream {host.downstream!r}")
    return config


def _content_host(host: Host, classes: tuple[str, ...], file: str) -> ContentHost:
    paths = []
    for path in host.path:
        if path.cls not in classes:
            raise ConfigError(
                f"{file}: host {host.name}: unknown class {path.cls!r}, expected one of {classes}"
            )
        paths.append(ContentPath(path.prefix, classes.index(path.cls)))
    group = host.group if isinstance(host.group, int) else UNKNOWN_GROUP
    return ContentHost(host.name.lower(), group, tuple(paths), host.upstream, host.downstream)
