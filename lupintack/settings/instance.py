"""Reads the settings of an instance from the simulator's first message or the platform's file."""

from __future__ import annotations

import json
from typing import Any

from lupintack.interface import Idempotency, ServiceClass, Settings
from lupintack.settings.errors import SettingsError

SERVICES_KEY = "services"
MAX_ATTEMPTS_KEY = "limits.try-limit"

_IDEMPOTENCY = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.KEYED,
    "single_shot": Idempotency.NOT_IDEMPOTENT,
}
_KINDS: dict[type, tuple[type, ...]] = {float: (int, float), int: (int,), bool: (bool,), str: (str,)}


class _Table:
    """A JSON object with typed access to its values; a missing key gives the default."""

    def __init__(self, data: object, path: str = "") -> None:
        if not isinstance(data, dict):
            raise SettingsError(f"setting {path or 'env'}: expected an object")
        self.data = data
        self.path = path

    def value(self, key: str, default: Any) -> Any:
        return _typed(self.data.get(key, default), type(default), self.path + key)

    def values(self, key: str, kind: type) -> tuple[Any, ...]:
        raw = self.data.get(key, [])
        if not isinstance(raw, list):
            raise SettingsError(f"setting {self.path}{key}: expected a list")
        return tuple(_typed(item, kind, self.path + key) for item in raw)

    def table(self, key: str) -> _Table:
        return _Table(self.data.get(key, {}), f"{self.path}{key}.")


def _typed(value: Any, kind: type, name: str) -> Any:
    if not isinstance(value, _KINDS[kind]) or (kind is not bool and isinstance(value, bool)):
        raise SettingsError(f"setting {name}: expected {kind.__name__}, not {value!r}")
    return kind(value)


def _parse(text: bytes) -> _Table:
    try:
        data = json.loads(text)
    except ValueError as error:
        raise SettingsError(f"settings are not JSON: {error}") from None
    return _Table(data)


def read_settings(text: bytes) -> Settings:
    """Parse the settings of an instance; skip unknown keys, raise SettingsError for wrong types."""
    top = _parse(text)
    domain, limits, rules = top.table("domain"), top.table("limits"), top.table("rules")
    services = top.data.get(SERVICES_KEY, [])
    if not isinstance(services, list):
        raise SettingsError(f"setting {SERVICES_KEY}: expected a list")
    classes = _read_classes(services, domain)
    return Settings(
        classes=classes,
        router_index=top.value("me", 0),
        zone=top.value("zone", 0),
        router_count=top.value("siblings", 1),
        routers_by_zone=domain.values("zone-balancers", int),
        max_attempts=limits.value("try-limit", 1),
        allows_hedging=limits.value("second-copies", False),
        allows_cancellation=limits.value("cancelling", False),
        max_in_flight=limits.value("max-open", 20000),
        max_retry_after_ms=_max_retry_after_ms(limits),
        requires_subscription=top.value("membership-mode", "pushed") == "on_request",
        poll_within_ms=rules.value("ask-within", 0.0),
        drain_grace_ms=rules.value("drain-grace", 0.0),
        answer_grace_ms=rules.value("grace-to-answer", 0.0),
        initial_capacity_share=rules.value("cold-from", 1.0),
        slow_start_ms=rules.value("warm-after", 0.0),
        overload_multiple=rules.value("fall-multiple", 1.0),
        overload_window_ms=rules.value("tip-after", 1000.0),
        parent_kind=domain.value("second-tier-kind", -1),
        origin_kind=domain.value("store-kind", -1),
        parent_initial_capacity_share=domain.value("parent-cold-from", 1.0),
        parent_slow_start_ms=domain.value("parent-ramp", 0.0),
        parent_overload_multiple=domain.value("parent-limit-factor", 1.0),
        purge_grace_ms=domain.value("notice-time", 0.0),
        purge_settle_ms=domain.value("purge-settles", 0.0),
        coalesces_fills=domain.value("joins", False),
        reports_fill_source=domain.value("says", "none"),
        allows_origin_direct=domain.value("straight", False),
        member_weights=top.value("weights", "none"),
        client_kb_per_s=domain.value("client-kb-per-s", 0.0),
        load_report_fields=top.table("report").values("fields", str),
    )


def _read_classes(services: list[Any], domain: _Table) -> tuple[ServiceClass, ...]:
    """Return the request classes; some of their values are in lists by class index."""
    fresh_ms, max_stale_ms = domain.values("fresh-for", float), domain.values("usable-after", float)
    stale_weights, writes = domain.values("old-copy-worth", float), domain.values("class-write", bool)
    have_parts = domain.values("segmented", bool)
    classes = []
    for index, raw in enumerate(services):
        path = f"{SERVICES_KEY}[{index}]."
        service = _Table(raw, path)
        repeat = service.value("repeat", "single_shot")
        if repeat not in _IDEMPOTENCY:
            raise SettingsError(f"setting {path}repeat: unknown value {repeat!r}")
        classes.append(
            ServiceClass(
                name=service.value("name", ""),
                latency_objective_ms=service.value("aim", 0.0),
                latency_objective_stretch=service.value("aim-stretch", 0.0),
                deadline_ms=service.value("deadline", 0.0),
                priority_weight=service.value("worth", 1.0),
                late_weight=service.value("late-worth", 0.0),
                idempotency=_IDEMPOTENCY[repeat],
                deduplication_scope=service.value("group", "all"),
                deduplication_window_ms=service.value("dedup-window", 0.0),
                is_streamed=service.value("stream", False),
                fresh_ms=_at(fresh_ms, index, 0.0),
                max_stale_ms=_at(max_stale_ms, index, 0.0),
                stale_weight=_at(stale_weights, index, 1.0),
                is_write=_at(writes, index, False),
                has_parts=_at(have_parts, index, False),
            )
        )
    return tuple(classes)


def _max_retry_after_ms(limits: _Table) -> float:
    """Return the longest Retry-After, 0 if none is allowed; its own key is then not read."""
    is_allowed: bool = limits.value("retry-after", False)
    longest_ms: float = limits.value("max-retry-after", 0.0) if is_allowed else 0.0
    return longest_ms


def _at(values: tuple[Any, ...], index: int, default: Any) -> Any:
    return values[index] if index < len(values) else default
