"""The membership's part of the status page. Its keys and values are a public interface."""

from __future__ import annotations

from typing import Any

from lupintack.membership.detector import ObservedRouter
from lupintack.membership.state_machine import Membership
from lupintack.membership.view import Record, State

STATE_TEXTS = {
    State.JOINING: "joining",
    State.ALIVE: "alive",
    State.UNACKNOWLEDGED: "unheard",
    State.SUSPECT: "suspect",
    State.FAILED: "failed",
    State.ENDED: "ended",
    State.LEFT: "left",
}
SUPERSEDED = "superseded"


def membership_status(membership: Membership, counters: dict[str, int], now_us: int) -> dict[str, Any]:
    """Return this router's state and that of every router: since when, who reported it, and why."""
    state, view = membership.state, membership.view
    dropped = {reason.value: count for reason, count in membership.drops.items() if count}
    return {
        "name": state.name,
        "state": SUPERSEDED if state.is_superseded else STATE_TEXTS[state.me.state],
        "view": f"{view.id:016x}",
        "members": len(view.names),
        "doubts": len(view.suspects),
        "minority": membership.is_minority,
        "health": membership.detector.health.score,
        "changes": state.notifier.change_count,
        "settled": not state.notifier.change_pending_us,
        "dropped": dropped,
        "counts": counters,
        "routers": [_router_status(membership, view.records[name], now_us) for name in sorted(view.records)],
    }


def _router_status(membership: Membership, record: Record, now_us: int) -> dict[str, Any]:
    observed = membership.detector.observed.get(record.name)
    return {
        "name": record.name,
        "site": record.site,
        "address": record.address,
        "state": STATE_TEXTS[record.state],
        "since_ms": (now_us - membership.view.since_us[record.name]) // 1000,
        "start": record.start,
        "incarnation": record.incarnation,
        **_probe_status(observed, now_us),
        "why": membership.state.reasons.get(record.name, ""),
    }


def _probe_status(observed: ObservedRouter | None, now_us: int) -> dict[str, Any]:
    if observed is None:
        return {"watched": False, "round_trip_ms": None, "silent_ms": None}
    return {
        "watched": True,
        "round_trip_ms": round(observed.rtt_us / 1000, 2),
        "silent_ms": (now_us - observed.last_seen_us) // 1000,
    }
