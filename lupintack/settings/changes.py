"""Checks settings, and prepares new ones for a running router. Pure."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from dataclasses import replace
from typing import Any

from lupintack.interface import ServiceClass, Settings
from lupintack.settings.errors import SettingsError
from lupintack.settings.instance import MAX_ATTEMPTS_KEY, SERVICES_KEY


def check_settings(settings: Settings) -> None:
    """Raise SettingsError for settings under which requests could not be served."""
    if settings.max_attempts < 1:
        raise SettingsError(f"setting {MAX_ATTEMPTS_KEY}: {settings.max_attempts}: expected a value above 0")
    seen = set()
    for n, cls in enumerate(settings.classes):
        if not (math.isfinite(cls.deadline_ms) and cls.deadline_ms > 0):
            raise SettingsError(
                f"setting services[{n}].deadline: {cls.deadline_ms}: expected a value above 0"
            )
        if cls.name in seen:
            raise SettingsError(f"setting services[{n}].name: {cls.name!r}: expected each class only once")
        seen.add(cls.name)


def first_missing_key(before: Mapping[str, Any], after: Mapping[str, Any], path: str = "") -> str:
    """Return the first key that the running file has and the new one lacks; empty if there is none.

    Guards against a truncated or partly written file that still parses: each missing key would silently be
    set to its default.
    """
    for key, value in before.items():
        if key not in after:
            return path + key
        missing_key = ""
        if isinstance(value, Mapping) and isinstance(after[key], Mapping):
            missing_key = first_missing_key(value, after[key], f"{path}{key}.")
        elif key == SERVICES_KEY and isinstance(value, list) and isinstance(after[key], list):
            missing_key = first_missing_class_key(value, after[key], path + key)
        if missing_key:
            return missing_key
    return ""


def first_missing_class_key(before: list[Any], after: list[Any], path: str) -> str:
    """Return the first key that all old classes have and a new one lacks; `path[0]` for no new class."""
    old_classes = [raw for raw in before if isinstance(raw, Mapping)]
    common = [
        key for key in (old_classes[0] if old_classes else {}) if all(key in raw for raw in old_classes)
    ]
    if old_classes and not after:
        return f"{path}[0]"
    for index, raw in enumerate(after):
        for key in common:
            if isinstance(raw, Mapping) and key not in raw:
                return f"{path}[{index}].{key}"
    return ""


def assign_class_numbers(
    before: tuple[ServiceClass, ...], after: tuple[ServiceClass, ...], used: Collection[int]
) -> tuple[ServiceClass, ...]:
    """Return the classes by number: a name keeps its number, and a number in use is not reassigned.

    A removed class keeps its number until the number is reassigned, so open requests keep their class.
    """
    by_name = {cls.name: cls for cls in after}
    kept = [by_name.pop(cls.name, None) for cls in before]
    classes = [new or old for new, old in zip(kept, before, strict=True)]
    free = [number for number, new in enumerate(kept) if new is None and number not in used]
    for cls in after:
        if cls.name in by_name:
            if free:
                classes[free.pop(0)] = cls
            else:
                classes.append(cls)
    return tuple(classes)


def with_running_name_lists(running: Settings, new: Settings) -> Settings:
    """Return new settings, with the running values that depend on the order of zones, kinds and reports."""
    return replace(
        new,
        zone=running.zone,
        parent_kind=running.parent_kind,
        origin_kind=running.origin_kind,
        routers_by_zone=running.routers_by_zone,
        load_report_fields=running.load_report_fields,
    )
