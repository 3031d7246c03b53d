"""`lupintack scale`: slopes of single roles, and runs of many hollow routers."""

from __future__ import annotations

import click

from lupintack.cli.scale_run import run_command
from lupintack.cli.scale_slope import slope_command


@click.group()
def scale() -> None:
    """What the control work of a large fleet costs."""


scale.add_command(slope_command)
scale.add_command(run_command)
