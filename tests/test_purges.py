"""Unit tests of purges, which limit the age of copies until all caches have applied them."""

from __future__ import annotations

import math

import pytest

from lupintack.decisions import purges
from lupintack.decisions.purges import FreshnessBound, PurgeLog
from lupintack.interface import Purged
from tests import decision_parts as parts
from tests import helpers as h

SETTLE_MS = 6000.0
FRESH_MS, STALE_MS = 8000.0, 10000.0


@pytest.mark.parametrize(
    ("cls", "attempts", "withholds_fill", "purged_ms", "expected"),
    [
        (h.SAFE, 0, False, None, FreshnessBound(0.0, True)),
        (h.SAFE, 1, True, None, FreshnessBound(0.0, True)),
        (h.EXPIRING, 0, False, None, FreshnessBound(0.0, True)),
        (h.EXPIRING, 1, False, None, FreshnessBound(FRESH_MS + STALE_MS, True)),
        (h.EXPIRING, 0, True, None, FreshnessBound(FRESH_MS + STALE_MS, True)),
        (h.SAFE, 0, False, 19_000.0, FreshnessBound(999.0, False)),
        (h.EXPIRING, 0, False, 19_000.0, FreshnessBound(999.0, False)),
        (h.EXPIRING, 1, False, 10_500.0, FreshnessBound(9499.0, False)),
        (h.SAFE, 0, False, 20_000.0, FreshnessBound(purges.MIN_AGE_MS, False)),
        (h.SAFE, 0, False, 9_000.0, FreshnessBound(0.0, True)),  # settled
    ],
)
def test_age_bound_follows_class_attempts_and_last_purge(
    cls: int, attempts: int, withholds_fill: bool, purged_ms: float | None, expected: FreshnessBound
) -> None:
    log, now = PurgeLog(), 20_000.0
    if purged_ms is not None:
        log.record(Purged(5, 0, 0.0), purged_ms, SETTLE_MS)
    state = parts.request_state(cls)
    state.attempt_count, state.withholds_fill = attempts, withholds_fill
    assert log.freshness_bound(state, h.settings(), now) == expected


@pytest.mark.parametrize(
    ("event", "object_id", "group", "expected"),
    [
        (Purged(5, 0, 0.0), 5, 1, 1000.0),
        (Purged(5, 0, 0.0), 6, 1, -math.inf),
        (Purged(0, 1, 0.0), 6, 1, 1000.0),
        (Purged(0, 1, 0.0), 6, 2, -math.inf),
        (Purged(5, 0, 400.0), 5, 1, 600.0),
        (Purged(5, 0, -400.0), 5, 1, 1000.0),
        (Purged(5, 0, math.nan), 5, 1, -math.inf),
        (Purged(5, 0, math.inf), 5, 1, -math.inf),
    ],
)
def test_purge_applies_to_its_object_or_group(
    event: Purged, object_id: int, group: int, expected: float
) -> None:
    log = PurgeLog()
    log.record(event, 1000.0, SETTLE_MS)
    assert log.last_purge_ms(object_id, group) == expected


def test_older_purge_does_not_replace_newer_one() -> None:
    log = PurgeLog()
    log.record(Purged(5, 0, 0.0), 1000.0, SETTLE_MS)
    log.record(Purged(5, 0, 900.0), 1500.0, SETTLE_MS)
    assert log.last_purge_ms(5, 0) == 1000.0


def test_purge_dropped_from_full_log_applies_to_every_object(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(purges, "MAX_PURGES", 2)
    log = PurgeLog()
    for object_id in (1, 2, 3):
        log.record(Purged(object_id, 0, 0.0), 1000.0 + object_id, SETTLE_MS)
    assert len(log.purge_times) == 2 and log.floor_ms == 1001.0
    assert log.last_purge_ms(9, 9) == 1001.0


def test_settled_purge_is_dropped_without_effect() -> None:
    log = PurgeLog()
    log.record(Purged(1, 0, 0.0), 1000.0, SETTLE_MS)
    log.record(Purged(2, 0, 0.0), 1001.0 + SETTLE_MS + purges.PURGE_MARGIN_MS, SETTLE_MS)
    assert list(log.purge_times) == [(1, 2)] and log.floor_ms == -math.inf


@pytest.mark.parametrize(
    ("age_ms", "wait_ms", "purged_ms", "allowed"),
    [
        (1000.0, 0.0, None, True),
        (FRESH_MS, 0.0, None, False),
        (1000.0, 101.0, None, False),  # more than a fifth of the objective of 500 ms
        (1000.0, 100.0, None, True),
        (1000.0, 0.0, 19_500.0, False),
        (300.0, 0.0, 19_500.0, True),
    ],
)
def test_local_copy_is_served_while_fresh_and_link_is_idle(
    age_ms: float, wait_ms: float, purged_ms: float | None, allowed: bool
) -> None:
    log = PurgeLog()
    if purged_ms is not None:
        log.record(Purged(5, 0, 0.0), purged_ms, SETTLE_MS)
    state = parts.request_state(h.EXPIRING, local_copy_age_ms=age_ms, local_link_wait_ms=wait_ms)
    assert log.may_serve_local_copy(state, h.settings(), 20_000.0) == allowed
