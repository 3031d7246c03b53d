"""`lupintack scale`: cost of single roles by fleet size, and runs of many hollow routers."""

from __future__ import annotations

import click

from lupintack.cli.scale_run import run_command
from lupintack.cli.scale_slope import slope_command


@click.group()
def scale() -> None:
    """Measure the cost of the control work of a large fleet."""


scale.add_command(slope_command)
scale.add_command(run_command)
