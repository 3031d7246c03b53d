"""Validates a configuration file in full, including the features that it leaves off."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from lupintack import operator
from lupintack.fronts.cdni import conf as cdni
from lupintack.settings import files
from lupintack.settings.errors import ConfigError


def kind_of(file: Path) -> str:
    """Return a file's kind by its name: *.json is platform, cdni* is cdni, anything else is operator."""
    if file.suffix == ".json":
        return "platform"
    return "cdni" if file.name.startswith("cdni") else "operator"


def check(file: Path, kind: str) -> list[str]:
    """Return the features that the file enables; raise ConfigError if it can't be used."""
    if kind == "platform":
        from lupintack import config

        configuration = config.load({"EDGE_CONFIG": str(file)})
        return ["platform"] + ["second address"] * (configuration.admin is not None)
    data = files.read_toml(file)
    if data is None:
        raise ConfigError(f"{file}: no such file")
    if kind == "operator":
        operator_config = operator.parse(data, file.name)
        return [name for name in operator_config.__struct_fields__ if getattr(operator_config, name).enabled]
    return ["cdni"] if cdni.parse(data, file.name, named_classes(data)).enabled else []


def named_classes(data: dict[str, Any]) -> tuple[str, ...]:
    """Return the classes that a CDNI file names.

    Which of them a deployment has is only in its own configuration, which isn't read here.
    """
    hosts = data.get("host", [])
    paths = [path for host in hosts if isinstance(host, dict) for path in host.get("path", [])]
    return tuple({str(path.get("class", "")) for path in paths if isinstance(path, dict)})
