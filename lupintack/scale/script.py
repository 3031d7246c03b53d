"""The fault script of a scale run, read from TOML and checked before anything is started.

[[fault]]
at_s = 10.0
kind = "kill"
who = ["zone:z03"]
for_s = 0.0
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from pathlib import Path
from random import Random
from typing import Annotated

import msgspec
from msgspec import Meta

from lupintack.scale.hollow_plan import RouterPlan, ScaleError
from lupintack.settings.errors import ConfigError
from lupintack.settings.files import parse_record, read_toml

SELECTOR = r"^(region|zone|site|router|any):[A-Za-z0-9_.-]+$|^(allocator|voters|voter|all)$"


class FaultKind(Enum):
    """What a fault does to the selected routers."""

    KILL = "kill"  # routers end without notice; restarted after for_s, never if it is 0
    RESTART = "restart"  # as KILL, but restarted immediately if for_s is 0
    LEAVE = "leave"  # routers announce that they leave, and end; otherwise as KILL
    PAUSE = "pause"  # routers pause for for_s; permanently if it is 0
    CUT = "cut"  # routers are cut off from all others for for_s; permanently if it is 0


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One fault. `who`: region|zone|site|router:NAME, any:COUNT, allocator, voters, voter (random), all."""

    at_s: Annotated[float, Meta(ge=0.0, le=86_400.0)]
    kind: FaultKind
    who: Annotated[tuple[Annotated[str, Meta(pattern=SELECTOR)], ...], Meta(min_length=1)]
    for_s: Annotated[float, Meta(ge=0.0, le=86_400.0)] = 0.0
    discovery: bool = True  # for CUT: whether discovery is cut off as well


class Script(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All faults of a run."""

    fault: tuple[Fault, ...] = ()


def read_script(path: Path, routers: Sequence[RouterPlan], seconds: float) -> Script:
    """Read a script; raise ScaleError if it is invalid for these routers or this run time."""
    try:
        data = read_toml(path)
        if data is None:
            raise ScaleError(f"--script: {path}: no such file")
        script = parse_record(Script, data, path.name)
    except ConfigError as error:
        raise ScaleError(f"--script: {error}") from None
    for number, fault in enumerate(script.fault):
        location = f"--script: {path.name}: fault[{number}]"
        if fault.at_s >= seconds:
            raise ScaleError(f"{location}: at_s: {fault.at_s} is not before the end, {seconds}")
        for selector in fault.who:
            check_selector(selector, routers, location)
    return script


def check_selector(selector: str, routers: Sequence[RouterPlan], location: str) -> None:
    """Raise ScaleError if a selector can't match any router."""
    kind, _, name = selector.partition(":")
    if kind == "any":
        if not name.isdigit() or not 1 <= int(name) <= len(routers):
            raise ScaleError(f"{location}: who: any:COUNT must be 1 to {len(routers)}, not {selector!r}")
    elif name and not matching_routers(kind, name, routers):
        raise ScaleError(f"{location}: who: {selector!r}: there is no such {kind}")


def matching_routers(kind: str, name: str, routers: Sequence[RouterPlan]) -> list[str]:
    """Return the names of the routers of a region, zone or site, or of one router."""
    attribute = "name" if kind == "router" else kind
    return [router.name for router in routers if getattr(router, attribute) == name]


def select(
    who: Sequence[str],
    routers: Sequence[RouterPlan],
    voters: Sequence[str],
    allocators: Sequence[str],
    random: Random,
) -> tuple[str, ...]:
    """Return the names of the routers that a fault selects, without duplicates, in plan order."""
    selected: set[str] = set()
    for selector in who:
        kind, _, name = selector.partition(":")
        if kind == "all":
            selected.update(router.name for router in routers)
        elif kind in ("voters", "voter"):
            selected.update(voters if kind == "voters" else [random.choice(list(voters))])
        elif kind == "allocator":
            selected.update(allocators)
        elif kind == "any":
            selected.update(random.sample([router.name for router in routers], int(name)))
        else:
            selected.update(matching_routers(kind, name, routers))
    return tuple(router.name for router in routers if router.name in selected)
