"""`lupintack scale slope`: measures CPU time, bytes and state of one role by the size of the fleet."""

from __future__ import annotations

import dataclasses
import json
import sys
from pathlib import Path

import click

from lupintack.scale.slope import REPEATS, Parameters, SlopeError, SlopePoint, measure


@click.command("slope")
@click.argument("role")
@click.option("--sizes", required=True, help="A,B,C: members, purges, watchers, routers or holders, by role.")
@click.option(
    "--budgets", default=3, show_default=True, type=click.IntRange(1, 4096), help="Budgets of the allocator."
)
@click.option("--repeats", default=REPEATS, show_default=True, type=click.IntRange(1, 1000))
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0))
@click.option("--json", "as_json", is_flag=True, help="One line of JSON for each size.")
@click.option(
    "--plot", type=click.Path(path_type=Path, dir_okay=False), help="A chart (extra `lab`), and a CSV file."
)
def slope_command(
    role: str, sizes: str, budgets: int, repeats: int, seed: int, as_json: bool, plot: Path | None
) -> None:
    """Measure ROLE at each size: request, purge, reload, discovery, membership, cut or allocator."""
    from lupintack.scale import roles, slope_chart

    try:
        measured_role = roles.role(role)
        parameter_sets = [Parameters(size, budgets, seed) for size in roles.sizes(sizes)]
        for parameters in parameter_sets:
            roles.check(measured_role, parameters)
        if plot is not None:
            check_writable(plot)
            slope_chart.require_matplotlib()
        points = []
        for parameters in parameter_sets:
            points.append(measure(measured_role, parameters, repeats))
            click.echo(json_line(points[-1]) if as_json else text_line(points[-1]))
            sys.stdout.flush()
        if plot is not None:
            slope_chart.draw(plot, measured_role, points)
    except SlopeError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    except KeyboardInterrupt:
        click.echo("interrupted", err=True)
        sys.exit(130)


def check_writable(plot: Path) -> None:
    """Raise SlopeError if the folder of the chart does not exist."""
    if not plot.parent.is_dir():
        raise SlopeError(f"--plot: no folder {str(plot.parent)!r}")


def json_line(point: SlopePoint) -> str:
    """Return all figures of one size as JSON."""
    return json.dumps(dataclasses.asdict(point))


def text_line(point: SlopePoint) -> str:
    """Return the main figures of one size as text."""
    return (
        f"{point.role} {point.size:>8}  {point.cpu_us:.1f} us a {point.per} "
        f"({point.cpu_us_min:.1f} to {point.cpu_us_max:.1f}, {point.repeats} repeats)  "
        f"{point.bytes:.0f} bytes  {point.messages:.1f} messages  state {point.state_bytes} bytes"
    )
