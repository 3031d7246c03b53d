"""`lupintack scale slope`: processor time, bytes and state of one role against the size of the fleet."""

from __future__ import annotations

import click


@click.command("slope")
def slope_command() -> None:
    """Not measured yet."""
    raise click.ClickException("no role can be measured yet")
