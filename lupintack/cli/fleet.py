"""`lupintack fleet`: fetches a router's fleet status from its second address and formats it as text."""

from __future__ import annotations

import http.client
import json
from typing import Any

from lupintack.settings.files import address

COLUMNS = ("name", "site", "state", "since_ms", "round_trip_ms", "silent_ms", "incarnation", "address", "why")


class CallError(RuntimeError):
    """The router did not answer, or its answer is not a status."""


def fetch_status(admin: str) -> dict[str, Any]:
    """Return the parsed answer of `GET /api/fleet`; raise CallError with a one-line message."""
    host, port = address(admin, "--admin")
    connection = http.client.HTTPConnection(host, port, timeout=3.0)
    try:
        connection.request("GET", "/api/fleet")
        response = connection.getresponse()
        text = response.read(8 << 20)
    except (OSError, http.client.HTTPException) as error:
        raise CallError(f"{admin}: no answer: {error}") from None
    finally:
        connection.close()
    if response.status == 404:
        raise CallError(f"{admin}: this router has no fleet status: [membership] is off")
    try:
        status = json.loads(text)
        if response.status != 200 or not isinstance(status, dict):
            raise ValueError
    except ValueError:
        raise CallError(f"{admin}: status {response.status}, not a fleet status") from None
    return status


def status_page(status: dict[str, Any]) -> str:
    """Return a line about the router itself, then a table with a row for each router."""
    lines = [
        f"{status['name']}: {status['state']}, view {status['view']}, {status['members']} members, "
        f"{status['doubts']} in doubt{', IN THE MINORITY' if status['minority'] else ''}, "
        f"own health {status['health']} (0 is well), {status['changes']} changes",
        f"dropped: {', '.join(f'{count} {why}' for why, count in status['dropped'].items()) or 'nothing'}",
    ]
    rows = [COLUMNS, *(tuple(cell_text(router[key]) for key in COLUMNS) for router in status["routers"])]
    widths = [max(len(row[n]) for row in rows) for n in range(len(COLUMNS))]
    lines += [
        "  ".join(text.ljust(width) for text, width in zip(row, widths, strict=True)).rstrip() for row in rows
    ]
    return "\n".join(lines)


def budgets_page(status: dict[str, Any]) -> str:
    """Return the allocator of each level and the parent lease, then a table with a row for each budget."""
    lines = [f"{allocator_line(status)}; the lease ends in {status['lease_ends_ms']} ms"]
    rows: list[tuple[str, ...]] = [("budget", "whole", "per", "floor", "lease", "need", "given by this one")]
    keys = ("name", "whole", "per", "floor", "lease", "need", "given")
    rows += [tuple(cell_text(budget[key]) for key in keys) for budget in status["budgets"]]
    if "region" in status:
        lines[0] = f"region {status['region']}: {lines[0]}"
        lines += [f"fleet: {allocator_line(status['fleet'])}", parent_lease_line(status["parent_lease"])]
        rows = [(*row, text) for row, text in zip(rows, parent_column(status), strict=True)]
    widths = [max(len(row[n]) for row in rows) for n in range(len(rows[0]))]
    return "\n".join([
        *lines,
        *("  ".join(t.ljust(w) for t, w in zip(row, widths, strict=True)).rstrip() for row in rows),
    ])  # fmt: skip


def allocator_line(status: dict[str, Any]) -> str:
    """Return the allocator of a level in the view of the router that was queried."""
    epoch = status["epoch"]
    text = f"{epoch[1]} divides, epoch {epoch[0]}" if epoch else "nobody is known to divide"
    text += " (this one)" if status["divides"] else ""
    wait = "" if not status["divides"] or status["ready"] else ", and waits out what older epochs gave"
    return text + wait


def parent_lease_line(parent: dict[str, Any] | None) -> str:
    """Return how long the region's allocator may grant from the fleet's budgets."""
    if parent is None:
        return "parent lease: held by the region's allocator"
    if not parent["ends_ms"]:
        return "parent lease: none, the region has its reservation alone"
    return f"parent lease: ends in {parent['ends_ms']} ms"


def parent_column(status: dict[str, Any]) -> list[str]:
    """Return a table column with where each budget is allocated and what the parent lease covers."""
    parent, names = status["parent_lease"], status["fleet"]["budgets"]
    column = ["allocated by"]
    for n, budget in enumerate(status["budgets"]):
        if budget["name"] not in names:
            column.append("the region alone")
        elif parent is None:
            column.append("fleet and region")
        else:
            leased, covered, reserved = (parent[key][n] for key in ("amounts", "covered", "reserved"))
            column.append(f"fleet: {leased} leased, {covered} covered; region: {reserved} reserved")
    return column


def cell_text(value: object) -> str:
    """Return the text of a table cell: the value, or a dash for none."""
    return "-" if value is None or value == "" else str(value)
