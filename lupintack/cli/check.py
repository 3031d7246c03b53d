"""Reads a configuration file in full, whether what it says is on or off."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from lupintack import operator
from lupintack.fronts.cdni import conf as cdni
from lupintack.settings import files
from lupintack.settings.errors import ConfigError


def kind_of(file: Path) -> str:
    """What a file is, by its name: *.json the platform's, cdni* the CDNI front's, else the operator's."""
    if file.suffix == ".json":
        return "platform"
    return "cdni" if file.name.startswith("cdni") else "operator"


def check(file: Path, kind: str) -> list[str]:
    """What the file switches on; ConfigError for one that can't be used."""
    if kind == "platform":
        from lupintack import config

        found = config.load({"EDGE_CONFIG": str(file)})
        return ["platform"] + ["second address"] * (found.admin is not None)
    data = files.read_toml(file)
    if data is None:
        raise ConfigError(f"{file}: no such file")
    if kind == "operator":
        told = operator.parse(data, file.name)
        return [name for name in told.__struct_fields__ if getattr(told, name).enabled]
    return ["cdni"] if cdni.parse(data, file.name, named_classes(data)).enabled else []


def named_classes(data: dict[str, Any]) -> tuple[str, ...]:
    """The classes that a CDNI file names: which of them a deployment has, only its configuration tells."""
    hosts = data.get("host", [])
    places = [one for host in hosts if isinstance(host, dict) for one in host.get("path", [])]
    return tuple({str(one.get("class", "")) for one in places if isinstance(one, dict)})
