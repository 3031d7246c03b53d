"""`lupintack scale run`: many hollow routers on loopback through a script of faults and changes."""

from __future__ import annotations

import json
import signal
import sys
from pathlib import Path
from types import FrameType
from typing import Any

import click


class Unusable(click.ClickException):
    """Words, a script or a machine that can't be used for the run."""

    exit_code = 2


@click.command("run")
@click.option("--routers", type=int, required=True, help="How many hollow routers.")
@click.option("--regions", type=int, default=1, show_default=True, help="Regions that they stand in.")
@click.option("--zones", type=int, default=1, show_default=True, help="Zones of all regions together.")
@click.option("--sites", type=int, default=1, show_default=True, help="Sites of all zones together.")
@click.option("--seconds", type=float, default=30.0, show_default=True, help="Measured once all agree.")
@click.option("--seed", type=int, default=1, show_default=True, help="Of all that is drawn.")
@click.option("--script", type=click.Path(path_type=Path), help="TOML: faults at their times.")
@click.option("--processes", type=int, default=0, help="Of hollow routers; 0: what suits the machine.")
@click.option("--real", type=int, default=0, show_default=True, help="Real routers beside the hollow ones.")
@click.option("--site-budgets", is_flag=True, help="A budget for each site, beside those of all.")
@click.option("--two-levels", is_flag=True, help="Each region has an allocator of its own.")
@click.option("--purges-per-s", type=float, default=25.0, show_default=True, help="Published to all.")
@click.option("--changes-per-day", type=float, default=11_000.0, show_default=True, help="List and settings.")
@click.option("--starts-per-s", type=float, default=20.0, show_default=True, help="Of routers, to begin.")
@click.option("--json", "as_json", is_flag=True, help="The result as one line of JSON.")
def run_command(
    routers: int,
    regions: int,
    zones: int,
    sites: int,
    seconds: float,
    seed: int,
    script: Path | None,
    processes: int,
    real: int,
    site_budgets: bool,
    two_levels: bool,
    purges_per_s: float,
    changes_per_day: float,
    starts_per_s: float,
    as_json: bool,
) -> None:
    """Run hollow routers: the control code of real ones, many in one process, without clients or caches.

    One line is printed at the end. Exit code 0: the run was played, 1: it broke off, or leases passed a
    whole, 2: it can't be started.
    """
    from lupintack.scale import resources
    from lupintack.scale.coordinator import Coordinator, Options, RunError
    from lupintack.scale.hollow_plan import FleetSize, ScaleError, plan_routers
    from lupintack.scale.script import Script, read_script

    size = FleetSize(routers, regions, zones, sites)
    try:
        size.check()
        check_numbers(seconds, seed, processes, real, purges_per_s, changes_per_day, starts_per_s)
        if real and site_budgets:
            raise ScaleError("--real: an operator file holds 8 budgets at most, so not with --site-budgets")
        machine = resources.Machine.here()
        planned = resources.plan_processes(size, processes, real, machine)
        resources.check(size, planned, machine)
        faults = Script()
        if script is not None:
            faults = read_script(script, plan_routers(size, range(routers)), seconds)
    except ScaleError as error:
        raise Unusable(str(error)) from None
    options = Options(
        size,
        planned,
        seconds,
        seed,
        faults,
        site_budgets,
        two_levels,
        purges_per_s,
        changes_per_day,
        starts_per_s,
    )
    signal.signal(signal.SIGTERM, interrupted)
    coordinator = Coordinator(options)
    try:
        found = coordinator.run()
    except (RunError, TimeoutError) as error:
        raise click.ClickException(str(error)) from None
    finally:
        coordinator.close()
    click.echo(json.dumps(found) if as_json else text_line(found))
    sys.exit(1 if found["oversum"] > 0 else 0)


def check_numbers(
    seconds: float,
    seed: int,
    processes: int,
    real: int,
    purges_per_s: float,
    changes_per_day: float,
    starts_per_s: float,
) -> None:
    """Raise ScaleError for a number that can't be one."""
    from lupintack.scale.hollow_plan import ScaleError

    bounds: tuple[tuple[str, float, float, float], ...] = (
        ("--seconds", seconds, 1, 86_400),
        ("--seed", seed, 0, 1 << 60),
        ("--processes", processes, 0, 200),
        ("--real", real, 0, 100),
        ("--purges-per-s", purges_per_s, 0, 1_000),
        ("--changes-per-day", changes_per_day, 0, 10_000_000),
        ("--starts-per-s", starts_per_s, 0.1, 10_000),
    )
    for name, value, least, most in bounds:
        if not least <= value <= most:
            raise ScaleError(f"{name}: {least} to {most} is wanted, not {value}")


def text_line(found: dict[str, Any]) -> str:
    """The result as key=value."""
    flat: dict[str, Any] = {}
    for key, value in found.items():
        if isinstance(value, dict):
            flat |= {f"{key}.{name}": one for name, one in value.items()}
        else:
            flat[key] = value
    return " ".join(f"{key}={'-' if value is None else value}" for key, value in flat.items())


def interrupted(number: int, frame: FrameType | None) -> None:
    """SIGTERM is taken as an interrupt: all processes end first."""
    raise KeyboardInterrupt
