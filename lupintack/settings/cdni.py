"""Typed records of deploy/cdni.toml."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import UNSET, Meta, UnsetType

Name = Annotated[str, Meta(max_length=255)]


class Path(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A path prefix of a host, and the request class of its paths."""

    prefix: Name = "/"
    cls: Name = msgspec.field(name="class", default="")


class Host(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A host whose content this CDN delivers."""

    name: Annotated[str, Meta(min_length=1, max_length=255)]
    group: Annotated[int, Meta(ge=0, le=255)] | UnsetType = UNSET
    upstream: Name = ""
    downstream: Name = ""
    path: list[Path] = []


class Upstream(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A CDN that delegates delivery to this one."""

    id: Name
    metadata: str = ""


class Downstream(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A CDN that this one delegates delivery to."""

    id: Name
    redirect: str = ""
    triggers: str = ""


class File(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The whole file."""

    enabled: bool = False
    listen: str = ""
    id: Name = ""
    base: str = ""
    host: list[Host] = []
    upstream: list[Upstream] = []
    downstream: list[Downstream] = []
