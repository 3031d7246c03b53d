"""The commands of `lupintack`: each parses its arguments, calls the code that does the work, and prints.

Exit codes: 0 success, 1 a check has found a fault, 2 the arguments or a file can't be used.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click

from lupintack.cli.scale import scale
from lupintack.settings.errors import ConfigError


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="lupintack")
def main() -> None:
    """An edge router for devices on poor links."""


main.add_command(scale)


@main.command()
def run() -> None:
    """Run an edge router, set up by EDGE_CONFIG, EDGE_LISTEN, EDGE_ADMIN_ADDR, EDGE_NAME and LUPINTACK_*."""
    from lupintack.__main__ import start

    start()


@main.command()
@click.option("--json", "as_json", is_flag=True, help="One line of JSON: http1, http2, admin, path, headers.")
@click.option(
    "--check", is_flag=True, help="Fetch 200 objects over each protocol, print the results, and exit."
)
def demo(as_json: bool, check: bool) -> None:
    """Run a router with stand-in caches, two parents, an origin and a notice board, on loopback."""
    from lupintack.cli.demo import Demo

    try:
        with Demo() as running:
            if check:
                result = running.check(progress=sys.stderr.isatty())
                click.echo(json.dumps(result) if as_json else check_table(result))
                sys.exit(0 if result["ok"] else 1)
            click.echo(json.dumps(running.endpoints()) if as_json else running.page())
            sys.stdout.flush()
            running.wait()
    except (OSError, RuntimeError) as error:
        raise click.ClickException(str(error)) from None


def check_table(result: dict[str, object]) -> str:
    """Return the check's result as a table with a row for each protocol."""
    lines = [
        f"{'protocol':10}{'asked':>8}{'served':>8}{'refused':>9}{'failed':>8}{'wrong':>7}{'ms (median)':>13}"
    ]
    for name in ("http1", "http2"):
        row = result.get(name)
        if isinstance(row, dict):
            cells = f"{row['asked']:8}{row['served']:8}{row['refused']:9}{row['failed']:8}{row['wrong']:7}"
            lines.append(f"{name:10}{cells}{row['median_ms']:13.1f}")
    return "\n".join([*lines, "ok" if result["ok"] else "NOT ok"])


@main.group()
def config() -> None:
    """Check configuration files and print their schema."""


@config.command("check")
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--kind",
    type=click.Choice(["operator", "cdni", "platform"]),
    help="Kind of the file; by default derived from its name.",
)
@click.option("--json", "as_json", is_flag=True, help="One line of JSON: file, kind, ok, error, enabled.")
def check_file(file: Path, kind: str | None, as_json: bool) -> None:
    """Validate FILE in full, including disabled features, and print the first error."""
    from lupintack.cli.check import check, kind_of

    kind = kind or kind_of(file)
    error, enabled = "", []
    try:
        enabled = check(file, kind)
    except ConfigError as exception:
        error = str(exception)
    if as_json:
        report = {"file": str(file), "kind": kind, "ok": not error, "error": error, "enabled": enabled}
        click.echo(json.dumps(report))
    elif error:
        click.echo(error, err=True)
    else:
        click.echo(f"{file}: ok ({kind}); on: {', '.join(enabled) or 'nothing'}")
    sys.exit(2 if error else 0)


@config.command("schema")
def print_schema() -> None:
    """Print the JSON Schema of the operator file."""
    from lupintack.settings.operator import schema

    click.echo(json.dumps(schema(), indent=2))


@main.group()
def fleet() -> None:
    """Query a router for the state of its fleet."""


@fleet.command("status")
@click.option("--admin", default="127.0.0.1:9093", show_default=True, help="A router's second address.")
@click.option("--json", "as_json", is_flag=True, help="The whole answer as one line of JSON.")
def fleet_status(admin: str, as_json: bool) -> None:
    """Print a router's view of the others: state and since when, round trip, reason.

    Exit code 1: the router is in the minority, or neither alive nor left.
    """
    from lupintack.cli.fleet import CallError, fetch_status, status_page

    try:
        result = fetch_status(admin)
    except (CallError, ConfigError) as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    click.echo(json.dumps(result) if as_json else status_page(result))
    sys.exit(1 if result["minority"] or result["state"] not in ("alive", "left") else 0)


@fleet.command("budgets")
@click.option("--admin", default="127.0.0.1:9093", show_default=True, help="A router's second address.")
@click.option("--json", "as_json", is_flag=True, help="The whole answer as one line of JSON.")
def fleet_budgets(admin: str, as_json: bool) -> None:
    """Print the allocator and one router's leases of the fleet's budgets. Exit code 1: it has no lease."""
    from lupintack.cli.fleet import CallError, budgets_page, fetch_status

    try:
        result = fetch_status(admin).get("budgets")
    except (CallError, ConfigError) as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    if result is None:
        click.echo(f"{admin}: this router has no budgets: [budgets] is off", err=True)
        sys.exit(2)
    click.echo(json.dumps(result) if as_json else budgets_page(result))
    sys.exit(0 if result["lease_ends_ms"] else 1)


def figure_lines(result: dict[str, object]) -> str:
    """Return one line for each figure."""
    return "\n".join(f"{key:16} {value}" for key, value in result.items())


@main.group()
def lab() -> None:
    """Simulate fleets on a virtual clock: random faults, state searches, planted bugs."""


@lab.command("members")
@click.option("--routers", default=200, show_default=True, type=click.IntRange(2, 4000))
@click.option("--seeds", default="0-19", show_default=True, help="A-B, both ends included.")
@click.option("--seed", type=int, help="A single seed, in place of --seeds.")
@click.option(
    "--jobs", default=1, show_default=True, type=click.IntRange(1, 256), help="Number of worker processes."
)
@click.option("--faults", default="", help="Kinds of faults, separated by commas; all by default.")
@click.option(
    "--script", type=click.Path(path_type=Path), help="A TOML script of faults, in place of random ones."
)
@click.option(
    "--with",
    "other",
    default="membership",
    show_default=True,
    help="The protocol: membership, swim or heartbeats.",
)
@click.option("--off", multiple=True, help="Disable a part: health, watchers or confirmation.")
@click.option("--trace", is_flag=True, help="Print each event (for a single seed).")
@click.option(
    "--plot", type=click.Path(path_type=Path), help="Write a chart of detection times (extra `lab`)."
)
@click.option("--json", "as_json", is_flag=True, help="One line of JSON.")
def lab_members(
    routers: int, seeds: str, seed: int | None, jobs: int, faults: str, script: Path | None, other: str,
    off: tuple[str, ...], trace: bool, plot: Path | None, as_json: bool,
) -> None:  # fmt: skip
    """Simulate memberships of ROUTERS routers under random faults.

    Exit code 1: a false removal, a broken invariant, or views that disagree.
    """
    from lupintack.cli.lab import LabError, run_memberships

    try:
        seed_range = seeds if seed is None else f"{seed}-{seed}"
        trace_line = click.echo if trace else None
        result = run_memberships(routers, seed_range, jobs, faults, script, other, off, trace_line, plot)
    except LabError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    click.echo(json.dumps(result) if as_json else figure_lines(result))
    sys.exit(1 if result["false_removals"] or result["broken"] or result["disagree"] else 0)


@lab.command("budgets")
@click.option("--routers", default=200, show_default=True, type=click.IntRange(3, 2000))
@click.option("--seeds", default="0-19", show_default=True, help="A-B, both ends included.")
@click.option(
    "--regions", default=0, show_default=True, type=click.IntRange(0, 27), help="Number of regions; 0: none."
)
@click.option(
    "--levels",
    default=2,
    show_default=True,
    type=click.IntRange(1, 2),
    help="Allocation levels, if there are regions.",
)
@click.option(
    "--jobs", default=1, show_default=True, type=click.IntRange(1, 256), help="Number of worker processes."
)
@click.option("--json", "as_json", is_flag=True, help="One line of JSON.")
def lab_budgets(routers: int, seeds: str, regions: int, levels: int, jobs: int, as_json: bool) -> None:
    """Simulate budgets of ROUTERS routers under random faults.

    Exit code 1: the sum of leases exceeded a budget.
    """
    from lupintack.cli.lab import LabError, run_budgets

    try:
        result = run_budgets(routers, seeds, jobs, regions, levels)
    except LabError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    click.echo(json.dumps(result) if as_json else figure_lines(result))
    sys.exit(1 if result["oversum"] else 0)


@lab.command("check")
@click.argument("what", type=click.Choice(["budgets"]))
@click.option("--depth", default=8, show_default=True, type=click.IntRange(1, 40))
@click.option("--levels", default=1, show_default=True, type=click.IntRange(1, 2), help="Allocation levels.")
@click.option(
    "--states", default=2_000_000, show_default=True, type=click.IntRange(1), help="Most states to search."
)
@click.option(
    "--jobs", default=1, show_default=True, type=click.IntRange(1, 256), help="Number of worker processes."
)
@click.option("--json", "as_json", is_flag=True, help="One line of JSON.")
def lab_check(what: str, depth: int, levels: int, states: int, jobs: int, as_json: bool) -> None:
    """Search all interleavings of a few processes to DEPTH.

    Exit code 1: leases exceed a budget; the script that leads there is printed.
    """
    from lupintack.cli.lab import check_budgets

    result = check_budgets(depth, states, jobs, levels)
    click.echo(json.dumps(result) if as_json else figure_lines(result))
    sys.exit(1 if result["oversum"] else 0)


@lab.command("plant")
@click.argument("name", required=False)
@click.option("--list", "listed", is_flag=True, help="List the bugs that can be planted.")
@click.option("--seeds", default=200, show_default=True, type=click.IntRange(1, 100_000))
@click.option("--json", "as_json", is_flag=True, help="One line of JSON: name, caught_at, by.")
def lab_plant(name: str | None, listed: bool, seeds: int, as_json: bool) -> None:
    """Plant the bug NAME and print what catches it. Exit code 1: nothing does."""
    from lupintack.cli.lab import LabError, catch_planted_bug, describe_planted_bugs

    if listed or name is None:
        click.echo("\n".join(f"{key:24} {text}" for key, text in describe_planted_bugs().items()))
        return
    try:
        result = catch_planted_bug(name, seeds)
    except LabError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    click.echo(json.dumps(result) if as_json else figure_lines(result))
    sys.exit(0 if result["caught_at"] is not None else 1)


if __name__ == "__main__":
    main()
