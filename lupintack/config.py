"""The configuration of one router: the platform's JSON file, overridden by environment variables."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from lupintack.interface import Settings
from lupintack.settings.changes import check_settings
from lupintack.settings.errors import ConfigError, SettingsError
from lupintack.settings.files import address, read_bytes
from lupintack.settings.instance import read_settings

__all__ = ["Config", "ConfigError", "Limits", "Names", "address", "load", "parse"]


@dataclass(frozen=True)
class Names:
    """Names from the settings that the wires use where the module uses numbers."""

    classes: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    reports: tuple[str, ...]


@dataclass(frozen=True)
class Limits:
    """Limits of the machine and of connections to members."""

    sockets: int = 1024
    memory_mb: int = 192
    max_streams: int = 32
    connect_timeout_us: int = 400_000
    idle_us: int = 15_000_000


@dataclass(frozen=True)
class Config:
    """One edge router's configuration."""

    name: str
    listen: tuple[str, int]
    seed: int
    discovery_address: tuple[str, int] | None
    initial_log: Mapping[str, Any]
    settings: Settings
    names: Names
    limits: Limits
    link_bytes_per_s: float = 0.0
    admin: tuple[str, int] | None = None  # the second address
    raw: Mapping[str, Any] = field(default_factory=dict)  # the file without `known` and `admin_addr`
    tmp: str = ""  # base of the folder that the processes of an upgrade share; empty: none


def load(environ: Mapping[str, str]) -> Config:
    """Load the configuration file at EDGE_CONFIG; raise ConfigError if it can't be used."""
    path = environ.get("EDGE_CONFIG", "")
    try:
        data = json.loads(read_bytes(Path(path)))
    except OSError as error:
        raise ConfigError(f"EDGE_CONFIG: {path!r} can't be read: {error.strerror}") from None
    except (ValueError, RecursionError) as error:  # RecursionError: deeply nested brackets
        raise ConfigError(f"EDGE_CONFIG: {path!r} is not JSON: {error}") from None
    if not isinstance(data, dict):
        raise ConfigError("EDGE_CONFIG: expected an object")
    try:
        return parse(data, environ)
    except ConfigError:
        raise
    except (
        SettingsError, ValueError, TypeError, AttributeError, KeyError, OverflowError, RecursionError
    ) as error:  # fmt: skip
        raise ConfigError(f"EDGE_CONFIG: {error}".replace("\n", " ")) from None


def parse(data: dict[str, Any], environ: Mapping[str, str]) -> Config:
    """Parse the configuration in a JSON object."""
    raw_settings = data.get("settings", {})
    link_bytes_per_s = float(data.get("link_bytes_per_s", 0.0))
    settings = replace(read_settings(json.dumps(raw_settings).encode()), has_local_cache=link_bytes_per_s > 0)
    check_settings(settings)
    limits = raw_settings.get("limits", {})
    machine_limits = data.get("limits", {})
    seed = str(data.get("seed", "0"))
    try:
        seed_number = int(seed, 16)
    except ValueError:
        raise ConfigError(f"seed: expected hex digits, not {seed!r}") from None
    admin = environ.get("EDGE_ADMIN_ADDR") or data.get("admin_addr")
    initial_log = data.get("known", {})
    if not isinstance(initial_log, dict) or not isinstance(initial_log.get("notices", []), list):
        raise ConfigError("known: expected an object with a list of notices")
    if not isinstance(initial_log.get("rev", 0), int):
        raise ConfigError("known: rev: expected a whole number")
    return Config(
        name=environ.get("EDGE_NAME") or str(data.get("name", "edge")),
        listen=address(environ.get("EDGE_LISTEN") or data.get("listen", ""), "listen"),
        seed=seed_number,
        discovery_address=address(data["board"], "board") if data.get("board") else None,
        initial_log=initial_log,
        settings=settings,
        names=Names(
            classes=tuple(cls.name for cls in settings.classes),
            zones=tuple(str(zone) for zone in raw_settings.get("azs", [])),
            kinds=tuple(str(kind) for kind in raw_settings.get("kinds", [])),
            reports=settings.load_report_fields,
        ),
        limits=Limits(
            sockets=int(machine_limits.get("sockets", 1024)),
            memory_mb=int(machine_limits.get("memory_mb", 192)),
            max_streams=max(1, int(limits.get("max-streams", 32))),
            connect_timeout_us=int(float(limits.get("connect-timeout", 400.0)) * 1000),
            idle_us=int(float(limits.get("conn-idle", 15000.0)) * 1000),
        ),
        link_bytes_per_s=link_bytes_per_s,
        admin=address(admin, "admin_addr") if admin else None,
        raw={key: value for key, value in data.items() if key not in ("known", "admin_addr")},
        tmp=environ.get("TMPDIR", ""),
    )
