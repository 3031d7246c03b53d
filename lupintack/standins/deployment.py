"""A small deployment, and the platform's configuration of an edge router in it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

CLASSES = [
    {"name": "river-video", "aim": 600.0, "deadline": 5000.0, "repeat": "free"},
    {"name": "map-tiles", "aim": 250.0, "deadline": 3000.0, "repeat": "free"},
    {"name": "alert-ack", "aim": 600.0, "deadline": 3000.0, "repeat": "single_shot"},
]
SETTINGS: dict[str, Any] = {
    "azs": ["hub", "edge"],
    "kinds": ["box", "parent", "origin"],
    "zone": 1,
    "siblings": 1,
    "services": CLASSES,
    "domain": {
        "second-tier-kind": 1, "store-kind": 2, "straight": True, "says": "all", "notice-time": 300.0,
        "purge-settles": 6000.0, "fresh-for": [0.0, 8000.0, 0.0], "usable-after": [0.0, 10000.0, 0.0],
        "class-write": [False, False, True], "client-kb-per-s": 5000.0, "zone-balancers": [0, 1],
    },
    "limits": {
        "cancelling": True, "conn-idle": 15000.0, "connect-timeout": 400.0, "max-streams": 32,
        "retry-after": True, "max-retry-after": 500.0, "second-copies": True, "try-limit": 6,
    },
    "report": {"fields": ["cpu_share"]},
    "rules": {"drain-grace": 500.0, "grace-to-answer": 8.0},
}  # fmt: skip
SECOND_CLASSES = [
    {"name": "media", "aim": 500.0, "aim-stretch": 1.6, "deadline": 5000.0, "repeat": "free", "worth": 2.0},
    {"name": "pages", "aim": 300.0, "aim-stretch": 2.0, "deadline": 3000.0, "repeat": "free"},
    {"name": "post", "aim": 800.0, "deadline": 3000.0, "repeat": "guarded", "group": "all",
     "dedup-window": 2000.0, "worth": 3.0},
]  # fmt: skip
SECOND_SETTINGS: dict[str, Any] = SETTINGS | {  # sizes known, keyed writes, no hedging, no load reports
    "services": SECOND_CLASSES,
    "domain": SETTINGS["domain"] | {"says": "hit", "notice-time": 500.0, "usable-after": [0.0, 20000.0, 0.0]},
    "limits": SETTINGS["limits"] | {"second-copies": False, "may-probe": True, "max-retry-after": 2000.0},
    "report": {"fields": [], "via": "none"},
    "rules": SETTINGS["rules"] | {"drain-grace": 2000.0, "fall-multiple": 4.0},
}  # fmt: skip
HOSTS = {"s-1": "box", "s-2": "box", "p-1": "parent", "p-2": "parent", "o-1": "origin"}


def host_entry(name: str, dial: str, health: str = "Ready", kind: str = "") -> dict[str, object]:
    """Return the entry of a host in a discovery event."""
    kind = kind or HOSTS.get(name, "box")
    entry = {"host": name, "dial": dial, "site": "edge" if kind == "box" else "hub", "class": kind}
    return entry | {"block": 0, "health": health, "share": 8, "born_ms": 0}


def configuration(
    dials: Mapping[str, str],
    board: str,
    listen: str = "127.0.0.1:0",
    link_bytes_per_s: float = 0.0,
    **limits: object,
) -> dict[str, Any]:
    """Return the platform's configuration of one edge router; `dials` has the addresses of its members."""
    hosts = [host_entry(name, dial) for name, dial in dials.items()]
    known_events = {"rev": 1, "notices": [{"rev": 1, "pool": {"seq": 1, "whole": True, "hosts": hosts}}]}
    return {
        "name": "n0", "listen": listen, "seed": "7", "board": board, "known": known_events,
        "settings": SETTINGS, "link_bytes_per_s": link_bytes_per_s,
        "limits": {"sockets": 1024, "memory_mb": 192, **limits},
    }  # fmt: skip
