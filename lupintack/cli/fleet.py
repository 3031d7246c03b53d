"""`lupintack fleet status`: a router's second address asked, and its answer as a page."""

from __future__ import annotations

import http.client
import json
from typing import Any

from lupintack.settings.files import address

COLUMNS = ("name", "site", "state", "since_ms", "round_trip_ms", "silent_ms", "incarnation", "address", "why")


class CallError(RuntimeError):
    """The router did not answer, or not with what was asked for."""


def fetch_status(admin: str) -> dict[str, Any]:
    """The whole of `GET /api/fleet`; CallError with one line for people."""
    host, port = address(admin, "--admin")
    line = http.client.HTTPConnection(host, port, timeout=3.0)
    try:
        line.request("GET", "/api/fleet")
        answer = line.getresponse()
        text = answer.read(8 << 20)
    except (OSError, http.client.HTTPException) as error:
        raise CallError(f"{admin}: no answer: {error}") from None
    finally:
        line.close()
    if answer.status == 404:
        raise CallError(f"{admin}: routers don't talk here: [membership] is off")
    try:
        found = json.loads(text)
        if answer.status != 200 or not isinstance(found, dict):
            raise ValueError
    except ValueError:
        raise CallError(f"{admin}: {answer.status}, and no status") from None
    return found


def page(found: dict[str, Any]) -> str:
    """For people: this router in a line, then a line for each."""
    lines = [
        f"{found['name']}: {found['state']}, view {found['view']}, {found['members']} members, "
        f"{found['doubts']} in doubt{', IN THE MINORITY' if found['minority'] else ''}, "
        f"own health {found['health']} (0 is well), {found['changes']} changes",
        f"dropped: {', '.join(f'{count} {why}' for why, count in found['dropped'].items()) or 'nothing'}",
    ]
    rows = [COLUMNS, *(tuple(shown(one[key]) for key in COLUMNS) for one in found["routers"])]
    widths = [max(len(row[n]) for row in rows) for n in range(len(COLUMNS))]
    lines += [
        "  ".join(text.ljust(width) for text, width in zip(row, widths, strict=True)).rstrip() for row in rows
    ]
    return "\n".join(lines)


def budgets_page(found: dict[str, Any]) -> str:
    """For people: who allocates at each level, the parent lease, then a line for each budget."""
    lines = [f"{allocator_line(found)}; the lease ends in {found['lease_ends_ms']} ms"]
    rows: list[tuple[str, ...]] = [("budget", "whole", "per", "floor", "lease", "need", "given by this one")]
    keys = ("name", "whole", "per", "floor", "lease", "need", "given")
    rows += [tuple(shown(one[key]) for key in keys) for one in found["budgets"]]
    if "region" in found:
        lines[0] = f"region {found['region']}: {lines[0]}"
        lines += [f"fleet: {allocator_line(found['fleet'])}", parent_lease_line(found["parent_lease"])]
        rows = [(*row, text) for row, text in zip(rows, parent_column(found), strict=True)]
    widths = [max(len(row[n]) for row in rows) for n in range(len(rows[0]))]
    return "\n".join([
        *lines,
        *("  ".join(t.ljust(w) for t, w in zip(row, widths, strict=True)).rstrip() for row in rows),
    ])  # fmt: skip


def allocator_line(found: dict[str, Any]) -> str:
    """Who allocates at a level, as far as the router that was asked knows."""
    epoch = found["epoch"]
    who = f"{epoch[1]} divides, epoch {epoch[0]}" if epoch else "nobody is known to divide"
    who += " (this one)" if found["divides"] else ""
    wait = "" if not found["divides"] or found["ready"] else ", and waits out what older epochs gave"
    return who + wait


def parent_lease_line(parent: dict[str, Any] | None) -> str:
    """Until when the region's allocator may grant from the fleet's budgets."""
    if parent is None:
        return "parent lease: held by the region's allocator"
    if not parent["ends_ms"]:
        return "parent lease: none, the region has its reservation alone"
    return f"parent lease: ends in {parent['ends_ms']} ms"


def parent_column(found: dict[str, Any]) -> list[str]:
    """A column beside the budgets: where each is allocated, and what the parent lease gives and covers."""
    parent, names = found["parent_lease"], found["fleet"]["budgets"]
    column = ["allocated by"]
    for n, one in enumerate(found["budgets"]):
        if one["name"] not in names:
            column.append("the region alone")
        elif parent is None:
            column.append("fleet and region")
        else:
            leased, covered, reserved = (parent[key][n] for key in ("amounts", "covered", "reserved"))
            column.append(f"fleet: {leased} leased, {covered} covered; region: {reserved} reserved")
    return column


def shown(value: object) -> str:
    """Return a value for a table's cell; a dash for none."""
    return "-" if value is None or value == "" else str(value)
