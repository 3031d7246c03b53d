"""deploy/cdni.toml: whether and where the CDNI front listens, its peers, and what content is offered."""

from __future__ import annotations

import hashlib
import re
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

from lupintack.config import ConfigError, address

FILE = Path(__file__).parents[3] / "deploy" / "cdni.toml"
OBJECT = re.compile(r"[0-9a-f]{16}")


@dataclass(frozen=True)
class Place:
    """Paths of a host that are one class."""

    prefix: str
    cls: int


@dataclass(frozen=True)
class Site:
    """A host whose content is offered."""

    name: str
    group: int
    places: tuple[Place, ...]
    upstream: str = ""
    downstream: str = ""


@dataclass(frozen=True)
class Upstream:
    """A CDN that delegates to this one."""

    id: str
    metadata: str = ""


@dataclass(frozen=True)
class Downstream:
    """A CDN that this one delegates to."""

    id: str
    redirect: str = ""
    triggers: str = ""


@dataclass(frozen=True)
class Content:
    """What a URL stands for on the core."""

    cls: int
    item: str
    part: int
    group: int
    site: Site


@dataclass(frozen=True)
class Cdni:
    """The whole file."""

    listen: tuple[str, int]
    id: str
    base: str
    sites: dict[str, Site] = field(default_factory=dict)
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    downstreams: dict[str, Downstream] = field(default_factory=dict)

    def locate(self, url: str) -> Content | None:
        """The content that a URL names, or None for what is not offered."""
        try:
            parts = urlsplit(url)
            host, path = parts.netloc.lower(), parts.path or "/"
            site = self.sites.get(host) or self.sites.get(parts.hostname or "")
            nth = parse_qs(parts.query).get("nth", ["0"])[0]
        except ValueError:
            return None
        if site is None or parts.scheme not in ("http", "https"):
            return None
        fit = [place for place in site.places if path.startswith(place.prefix)]
        if not fit or not (nth.isascii() and nth.isdigit() and len(nth) < 10):
            return None
        last = path.rsplit("/", 1)[1]
        if not OBJECT.fullmatch(last):
            last = hashlib.blake2b(f"{site.name}{path}".encode(), digest_size=8).hexdigest()
        place = max(fit, key=lambda p: len(p.prefix))
        return Content(place.cls, last, int(nth), site.group, site)


def collection(ccid: str) -> int:
    """The group that a content collection id stands for."""
    if ccid.isascii() and ccid.isdigit() and int(ccid) < 256:
        return int(ccid)
    return hashlib.blake2b(ccid.encode(), digest_size=1).digest()[0]


def load(path: Path, classes: tuple[str, ...]) -> Cdni | None:
    """The file's content; None where it is absent or switched off."""
    try:
        data = tomllib.loads(path.read_text())
    except FileNotFoundError:
        return None
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ConfigError(f"{path.name}: {error}".replace("\n", " ")) from None
    try:
        if not _one(data, "enabled", False):
            return None
        sites = [_site(one, classes) for one in data.get("host", [])]
        ups = [Upstream(_one(u, "id", ""), _one(u, "metadata", "")) for u in data.get("upstream", [])]
        downs = [
            Downstream(_one(d, "id", ""), _one(d, "redirect", ""), _one(d, "triggers", ""))
            for d in data.get("downstream", [])
        ]
        found = Cdni(
            listen=address(_one(data, "listen", ""), f"{path.name}: listen"),
            id=_one(data, "id", ""),
            base=_one(data, "base", "").rstrip("/"),
            sites={site.name: site for site in sites},
            upstreams={up.id: up for up in ups},
            downstreams={down.id: down for down in downs},
        )
    except (AttributeError, TypeError, KeyError) as error:
        raise ConfigError(f"{path.name}: {error}") from None
    if not found.id or not found.base.startswith("http://"):
        raise ConfigError(f"{path.name}: id and base (http://...) are wanted")
    for site in sites:
        if site.upstream and site.upstream not in found.upstreams:
            raise ConfigError(f"{path.name}: host {site.name}: no upstream {site.upstream!r}")
        if site.downstream and site.downstream not in found.downstreams:
            raise ConfigError(f"{path.name}: host {site.name}: no downstream {site.downstream!r}")
    return found


def _site(data: dict[str, Any], classes: tuple[str, ...]) -> Site:
    places = []
    for one in data.get("path", []):
        name = _one(one, "class", "")
        if name not in classes:
            raise ConfigError(f"cdni.toml: unknown class {name!r}")
        places.append(Place(_one(one, "prefix", "/"), classes.index(name)))
    group = _one(data, "group", 0)
    if not 0 <= group < 256:
        raise ConfigError("cdni.toml: group: 0 to 255 is wanted")
    return Site(
        _one(data, "name", "").lower(), group, tuple(places), _one(data, "upstream", ""),
        _one(data, "downstream", ""),
    )  # fmt: skip


def _one(data: dict[str, Any], key: str, default: Any) -> Any:
    value = data.get(key, default)
    if type(value) is not type(default):
        raise ConfigError(f"cdni.toml: {key}: {type(default).__name__} is wanted, not {value!r}")
    return value
