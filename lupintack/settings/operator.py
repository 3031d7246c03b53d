"""Typed records of deploy/operator.toml: one table for each feature, off by default.

Names carry the units, types the bounds; unknown tables and keys are rejected. SIGHUP reloads the keys that
are marked live, all others need a restart.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
from msgspec import Meta

ADDRESS = r"^(\[[0-9a-fA-F:]+\]|[A-Za-z0-9_.-]+):[0-9]{1,5}$"
LIVE = {"x-live": True}


def _live(least: int, most: int, text: str) -> Meta:
    """Return the bounds of a key that SIGHUP reloads."""
    return Meta(ge=least, le=most, description=text, extra_json_schema=LIVE)


class Http2(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Cleartext HTTP/2 for clients on an additional port (docs/http2.md)."""

    enabled: bool = False
    listen: Annotated[str, Meta(pattern=ADDRESS, description="where clients connect")] = "127.0.0.1:9091"
    cdni_listen: Annotated[
        str, Meta(pattern=rf"^$|{ADDRESS}", description="the CDNI front over HTTP/2; empty: not offered")
    ] = ""
    connections: Annotated[int, Meta(ge=1, le=4096, description="open client connections")] = 64
    streams: Annotated[int, Meta(ge=1, le=1000, description="open streams on a connection")] = 100
    share_percent: Annotated[
        int, _live(1, 1000, "open requests of a connection, in percent of the requests that are still free")
    ] = 100
    open_requests: Annotated[int, _live(1, 1_000_000, "open streams on all connections")] = 2000
    header_list_bytes: Annotated[int, Meta(ge=1024, le=65536, description="a request's header list")] = 8192
    stream_kib: Annotated[int, _live(64, 4096, "answer bytes buffered for a stream")] = 256
    connection_kib: Annotated[int, _live(64, 65536, "bytes buffered on a connection")] = 2048
    all_kib: Annotated[int, _live(256, 1048576, "bytes buffered on all connections")] = 8192
    window_shut_ms: Annotated[
        int,
        _live(100, 600_000, "how long a stream's answer may stall, or crawl, without flow-control window"),
    ] = 10_000
    crawl_bytes: Annotated[int, _live(1, 65536, "bytes that a stream's answer has to send in that time")] = (
        1024
    )
    body_ms: Annotated[int, _live(100, 60_000, "time limit for a request's whole body")] = 2000
    first_ms: Annotated[int, _live(100, 60_000, "time limit for a connection's first request")] = 2000
    idle_ms: Annotated[
        int, _live(100, 3_600_000, "time after which a connection without streams is closed")
    ] = 60_000
    age_s: Annotated[int, _live(0, 86_400, "age at which a connection gets GOAWAY; 0: never")] = 0
    age_jitter_percent: Annotated[int, _live(0, 50, "random reduction of the age, at most")] = 10
    resets_per_s: Annotated[int, _live(1, 100_000, "sustained rate of streams reset by a client")] = 50
    resets_burst: Annotated[int, _live(1, 100_000, "burst of resets")] = 200
    controls_per_s: Annotated[
        int, _live(1, 100_000, "sustained rate of PING, SETTINGS, PRIORITY and empty DATA")
    ] = 20
    controls_burst: Annotated[int, _live(1, 100_000, "burst of these frames")] = 100
    windows_per_s: Annotated[int, _live(1, 1_000_000, "sustained rate of WINDOW_UPDATE")] = 2000
    windows_burst: Annotated[int, _live(1, 1_000_000, "burst of WINDOW_UPDATE")] = 10_000


class Membership(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Membership of the routers over UDP and TCP, on a port of its own (docs/membership.md)."""

    enabled: bool = False
    listen: Annotated[str, Meta(pattern=ADDRESS, description="address for datagrams and exchanges")] = (
        "127.0.0.1:9092"
    )
    fleet: Annotated[
        str,
        Meta(
            min_length=1, max_length=64, description="the fleet's name; messages of other fleets are ignored"
        ),
    ] = "lupintack"
    secret: Annotated[
        str,
        Meta(
            max_length=256,
            description="key of the authentication code of each message; the same on all routers",
        ),
    ] = ""
    site: Annotated[str, Meta(max_length=64, description="empty: the zone in the platform's settings")] = ""
    seeds: Annotated[
        tuple[str, ...], Meta(max_length=64, description="host:port of routers to contact first")
    ] = ()
    reach: Annotated[
        dict[str, str], Meta(max_length=4096, description="host:port at which a member is reached, by name")
    ] = {}
    probe_ms: Annotated[int, Meta(ge=50, le=10_000, description="interval between probes of one member")] = (
        1000
    )
    rings: Annotated[int, Meta(ge=1, le=8, description="observers of each member")] = 6
    suspect_ms: Annotated[
        int, Meta(ge=100, le=60_000, description="silence before an observer reports suspicion")
    ] = 2000
    fail_ms: Annotated[
        int,
        Meta(ge=200, le=120_000, description="silence before a member is removed if all its observers agree"),
    ] = 6500
    fail_most_ms: Annotated[
        int,
        Meta(
            ge=200,
            le=240_000,
            description="silence before a member is removed if as few observers as allowed agree",
        ),
    ] = 10_000
    hold_ms: Annotated[
        int, Meta(ge=0, le=600_000, description="how long a router that has gone is counted in budgets")
    ] = 10_000


class BudgetRegion(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A region, whose voters elect an allocator that grants leases to the routers of its sites."""

    voters: Annotated[
        tuple[str, ...], Meta(max_length=9, description="names of 1, 3, 5, 7 or 9 routers of the region")
    ] = ()
    sites: Annotated[
        tuple[str, ...], Meta(max_length=4096, description="its sites; a site belongs to one region only")
    ] = ()


class Budgets(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Budgets of the whole fleet, divided among its routers (docs/budgets.md); requires [membership]."""

    enabled: bool = False
    voters: Annotated[
        tuple[str, ...],
        Meta(max_length=9, description="names of the routers that elect the allocator: 3, 5 or 7"),
    ] = ()
    names: Annotated[
        tuple[str, ...],
        Meta(max_length=4096, description="names of the routers that have floors; empty: the voters"),
    ] = ()
    regions: Annotated[
        dict[Annotated[str, Meta(max_length=64)], BudgetRegion],
        Meta(max_length=512, description="regions by name, for budgets of two levels; empty: one level"),
    ] = {}
    per_second: Annotated[
        dict[str, Annotated[int, Meta(ge=0, le=1 << 40)]],
        Meta(max_length=512, description="total of each rate, by name"),
    ] = {}
    at_once: Annotated[
        dict[str, Annotated[int, Meta(ge=0, le=1 << 40)]],
        Meta(max_length=512, description="total of each concurrent budget, by name"),
    ] = {}
    floor_percent: Annotated[
        int, Meta(ge=0, le=100, description="percent of each total, reserved for `names`")
    ] = 10
    promise_ms: Annotated[
        int, Meta(ge=200, le=60_000, description="time of a voter's promise; the same on all routers")
    ] = 3000
    lease_ms: Annotated[
        int, Meta(ge=500, le=120_000, description="time of a lease; the same on all routers")
    ] = 8000
    drift_ppm: Annotated[int, Meta(ge=0, le=100_000, description="largest deviation of a clock's rate")] = (
        2000
    )


class Operator(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The whole file."""

    http2: Http2 = msgspec.field(default_factory=Http2)
    membership: Membership = msgspec.field(default_factory=Membership)
    budgets: Budgets = msgspec.field(default_factory=Budgets)


def schema() -> dict[str, Any]:
    """Return the file's JSON Schema."""
    json_schema: dict[str, Any] = msgspec.json.decode(msgspec.json.encode(msgspec.json.schema(Operator)))
    return json_schema


def live_keys(kind: type) -> set[str]:
    """Return the keys of a table that SIGHUP reloads."""
    keys = set()
    for field in msgspec.inspect.type_info(kind).fields:  # type: ignore[attr-defined]
        extra = getattr(field.type, "extra_json_schema", None) or {}
        if extra.get("x-live"):
            keys.add(field.encode_name)
    return keys
