"""`lupintack scale run`: many hollow routers on loopback through a script of faults and changes."""

from __future__ import annotations

import click


@click.command("run")
def run_command() -> None:
    """Not run yet."""
    raise click.ClickException("no hollow routers can be run yet")
