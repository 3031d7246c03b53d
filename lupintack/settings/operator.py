"""deploy/operator.toml as typed records: a table a feature, each off unless it says otherwise.

Units stand in the names, bounds in the types; unknown tables and keys are refused. A key that is marked
`live` follows SIGHUP while the program runs, the others wait for the next start.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
from msgspec import Meta

ADDRESS = r"^(\[[0-9a-fA-F:]+\]|[A-Za-z0-9_.-]+):[0-9]{1,5}$"
LIVE = {"x-live": True}


def _live(least: int, most: int, text: str) -> Meta:
    """The bounds of a key that SIGHUP can change."""
    return Meta(ge=least, le=most, description=text, extra_json_schema=LIVE)


class Http2(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Cleartext HTTP/2 for clients on a further port (docs/http2.md)."""

    enabled: bool = False
    listen: Annotated[str, Meta(pattern=ADDRESS, description="where clients connect")] = "127.0.0.1:9091"
    cdni_listen: Annotated[
        str, Meta(pattern=rf"^$|{ADDRESS}", description="the CDNI front over HTTP/2; empty: not offered")
    ] = ""
    connections: Annotated[int, Meta(ge=1, le=4096, description="clients' connections at once")] = 64
    streams: Annotated[int, Meta(ge=1, le=1000, description="streams open at once on a connection")] = 100
    share_percent: Annotated[
        int, _live(1, 1000, "what a connection may hold, in percent of the requests that are still free")
    ] = 100
    open_requests: Annotated[int, _live(1, 1_000_000, "streams open at once on all connections")] = 2000
    header_list_bytes: Annotated[int, Meta(ge=1024, le=65536, description="a request's header list")] = 8192
    stream_kib: Annotated[int, _live(64, 4096, "answer bytes that wait for a stream")] = 256
    connection_kib: Annotated[int, _live(64, 65536, "bytes that wait on a connection")] = 2048
    all_kib: Annotated[int, _live(256, 1048576, "bytes that wait on all connections")] = 8192
    window_shut_ms: Annotated[
        int, _live(100, 600_000, "how long a stream's answer may stand still, or crawl, for want of window")
    ] = 10_000
    crawl_bytes: Annotated[int, _live(1, 65536, "what a stream's answer moves in that time at the least")] = (
        1024
    )
    body_ms: Annotated[int, _live(100, 60_000, "for the whole of a request's body")] = 2000
    first_ms: Annotated[int, _live(100, 60_000, "for a connection's first request")] = 2000
    idle_ms: Annotated[int, _live(100, 3_600_000, "a connection without streams is ended")] = 60_000
    age_s: Annotated[int, _live(0, 86_400, "a connection this old is told to go away; 0: never")] = 0
    age_jitter_percent: Annotated[int, _live(0, 50, "of the age, up to so much sooner, by chance")] = 10
    resets_per_s: Annotated[int, _live(1, 100_000, "streams that a client gives up, for good")] = 50
    resets_burst: Annotated[int, _live(1, 100_000, "and at once")] = 200
    controls_per_s: Annotated[int, _live(1, 100_000, "PING, SETTINGS, PRIORITY, empty DATA, for good")] = 20
    controls_burst: Annotated[int, _live(1, 100_000, "and at once")] = 100
    windows_per_s: Annotated[int, _live(1, 1_000_000, "WINDOW_UPDATE frames, for good")] = 2000
    windows_burst: Annotated[int, _live(1, 1_000_000, "and at once")] = 10_000


class Membership(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Who is there among the routers, agreed over UDP and TCP on a port of its own (docs/membership.md)."""

    enabled: bool = False
    listen: Annotated[str, Meta(pattern=ADDRESS, description="datagrams and exchanges")] = "127.0.0.1:9092"
    fleet: Annotated[
        str, Meta(min_length=1, max_length=64, description="its name: routers of another are ignored")
    ] = "lupintack"
    secret: Annotated[
        str, Meta(max_length=256, description="keys the code of each message; the same at all routers")
    ] = ""
    site: Annotated[str, Meta(max_length=64, description="empty: the zone in the platform's settings")] = ""
    seeds: Annotated[
        tuple[str, ...], Meta(max_length=64, description="host:port of some others, to begin with")
    ] = ()
    reach: Annotated[
        dict[str, str], Meta(max_length=4096, description="host:port by name, where a member is reached")
    ] = {}
    probe_ms: Annotated[int, Meta(ge=50, le=10_000, description="between two probes of one member")] = 1000
    rings: Annotated[int, Meta(ge=1, le=8, description="others that watch each member")] = 6
    suspect_ms: Annotated[int, Meta(ge=100, le=60_000, description="silence before a watcher says so")] = 2000
    fail_ms: Annotated[
        int, Meta(ge=200, le=120_000, description="silence before all watchers at one remove a member")
    ] = 6500
    fail_most_ms: Annotated[
        int, Meta(ge=200, le=240_000, description="and before as few of them as may do so")
    ] = 10_000
    hold_ms: Annotated[
        int, Meta(ge=0, le=600_000, description="a router that has gone is counted in budgets for so long")
    ] = 10_000


class BudgetRegion(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A region, whose voters elect an allocator that leases to the routers of its sites."""

    voters: Annotated[
        tuple[str, ...], Meta(max_length=9, description="names of routers there: 1, 3, 5, 7 or 9")
    ] = ()
    sites: Annotated[
        tuple[str, ...], Meta(max_length=4096, description="its sites; each site stands in one region")
    ] = ()


class Budgets(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Budgets of the whole fleet, divided among its routers (docs/budgets.md); wants [membership]."""

    enabled: bool = False
    voters: Annotated[
        tuple[str, ...], Meta(max_length=9, description="names of routers that vote who divides: 3, 5 or 7")
    ] = ()
    names: Annotated[
        tuple[str, ...], Meta(max_length=4096, description="names that have floors; empty: the voters")
    ] = ()
    regions: Annotated[
        dict[Annotated[str, Meta(max_length=64)], BudgetRegion],
        Meta(max_length=512, description="by name, for budgets of two levels; none: one level"),
    ] = {}
    per_second: Annotated[
        dict[str, Annotated[int, Meta(ge=0, le=1 << 40)]], Meta(max_length=512, description="wholes of rates")
    ] = {}
    at_once: Annotated[
        dict[str, Annotated[int, Meta(ge=0, le=1 << 40)]], Meta(max_length=512, description="of things out")
    ] = {}
    floor_percent: Annotated[int, Meta(ge=0, le=100, description="of each whole, kept for names")] = 10
    promise_ms: Annotated[int, Meta(ge=200, le=60_000, description="a voter's word; the same at all")] = 3000
    lease_ms: Annotated[int, Meta(ge=500, le=120_000, description="a part's time; the same at all")] = 8000
    drift_ppm: Annotated[
        int, Meta(ge=0, le=100_000, description="clocks' rates differ from true by so much at most")
    ] = 2000


class Operator(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The whole file."""

    http2: Http2 = msgspec.field(default_factory=Http2)
    membership: Membership = msgspec.field(default_factory=Membership)
    budgets: Budgets = msgspec.field(default_factory=Budgets)


def schema() -> dict[str, Any]:
    """The file's JSON Schema."""
    found: dict[str, Any] = msgspec.json.decode(msgspec.json.encode(msgspec.json.schema(Operator)))
    return found


def live_keys(kind: type) -> set[str]:
    """The keys of a table that SIGHUP changes."""
    keys = set()
    for field in msgspec.inspect.type_info(kind).fields:  # type: ignore[attr-defined]
        extra = getattr(field.type, "extra_json_schema", None) or {}
        if extra.get("x-live"):
            keys.add(field.encode_name)
    return keys
