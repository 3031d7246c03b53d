"""New settings for a router that runs: what they must have, and which number each class gets. Pure."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from dataclasses import replace
from typing import Any

from lupintack.interface import ServiceClass, Settings
from lupintack.settings.errors import SettingsError
from lupintack.settings.instance import MAX_ATTEMPTS_KEY, SERVICES_KEY


def check_settings(settings: Settings) -> None:
    """SettingsError for settings under which requests could not be served."""
    if settings.max_attempts < 1:
        raise SettingsError(f"setting {MAX_ATTEMPTS_KEY}: {settings.max_attempts}: above 0 is wanted")
    seen = set()
    for n, cls in enumerate(settings.classes):
        if not (math.isfinite(cls.deadline_ms) and cls.deadline_ms > 0):
            raise SettingsError(f"setting services[{n}].deadline: {cls.deadline_ms}: above 0 is wanted")
        if cls.name in seen:
            raise SettingsError(f"setting services[{n}].name: {cls.name!r}: each class once is wanted")
        seen.add(cls.name)


def first_missing_key(before: Mapping[str, Any], after: Mapping[str, Any], path: str = "") -> str:
    """The first key that a running router's file has and a new one lacks; empty where there is none.

    Guards against a file that was cut or written by halves and still reads: each key that it lacks would be
    taken for its default, as if somebody had wanted that.
    """
    for key, value in before.items():
        if key not in after:
            return path + key
        found = ""
        if isinstance(value, Mapping) and isinstance(after[key], Mapping):
            found = first_missing_key(value, after[key], f"{path}{key}.")
        elif key == SERVICES_KEY and isinstance(value, list) and isinstance(after[key], list):
            found = first_missing_class_key(value, after[key], path + key)
        if found:
            return found
    return ""


def first_missing_class_key(before: list[Any], after: list[Any], path: str) -> str:
    """The first key that every class had and one of the new ones lacks; no class at all lacks the first."""
    known = [one for one in before if isinstance(one, Mapping)]
    common = [key for key in (known[0] if known else {}) if all(key in one for one in known)]
    if known and not after:
        return f"{path}[0]"
    for n, one in enumerate(after):
        for key in common:
            if isinstance(one, Mapping) and key not in one:
                return f"{path}[{n}].{key}"
    return ""


def assign_class_numbers(
    before: tuple[ServiceClass, ...], after: tuple[ServiceClass, ...], used: Collection[int]
) -> tuple[ServiceClass, ...]:
    """The classes by number: a name keeps its number, and one in use is not given anew.

    A number whose class has gone stays with it until then, so that what is under way keeps its meaning.
    """
    by_name = {cls.name: cls for cls in after}
    places = [by_name.pop(cls.name, None) for cls in before]
    out = [new or old for new, old in zip(places, before, strict=True)]
    free = [n for n, new in enumerate(places) if new is None and n not in used]
    for cls in after:
        if cls.name in by_name:
            if free:
                out[free.pop(0)] = cls
            else:
                out.append(cls)
    return tuple(out)


def with_running_name_lists(running: Settings, new: Settings) -> Settings:
    """New settings with what depends on the order of locations, kinds and report fields as it is running."""
    return replace(
        new,
        zone=running.zone,
        parent_kind=running.parent_kind,
        origin_kind=running.origin_kind,
        routers_by_zone=running.routers_by_zone,
        load_report_fields=running.load_report_fields,
    )
