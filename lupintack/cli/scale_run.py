"""`lupintack scale run`: runs many hollow routers on loopback through a script of faults and changes."""

from __future__ import annotations

import json
import signal
import sys
from pathlib import Path
from types import FrameType
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from lupintack.scale.coordinator import Options


class UnusableRunError(click.ClickException):
    """The options, the script or the machine can't be used for the run."""

    exit_code = 2


@click.command("run")
@click.option("--routers", type=int, required=True, help="Number of hollow routers.")
@click.option("--regions", type=int, default=1, show_default=True, help="Number of regions.")
@click.option("--zones", type=int, default=1, show_default=True, help="Zones, over all regions.")
@click.option("--sites", type=int, default=1, show_default=True, help="Sites, over all zones.")
@click.option("--seconds", type=float, default=30.0, show_default=True, help="Time measured after all agree.")
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of all random choices.")
@click.option("--script", type=click.Path(path_type=Path), help="A TOML script of timed faults.")
@click.option(
    "--processes", type=int, default=0, help="Processes of hollow routers; 0: chosen by the machine."
)
@click.option(
    "--real", type=int, default=0, show_default=True, help="Real routers in addition to the hollow ones."
)
@click.option("--site-budgets", is_flag=True, help="A budget for each site, besides the shared ones.")
@click.option("--two-levels", is_flag=True, help="Each region has its own allocator.")
@click.option("--purges-per-s", type=float, default=25.0, show_default=True, help="Purges published to all.")
@click.option(
    "--changes-per-day",
    type=float,
    default=11_000.0,
    show_default=True,
    help="Changes of the member list and the settings.",
)
@click.option(
    "--starts-per-s",
    type=float,
    default=20.0,
    show_default=True,
    help="Rate of router starts in the beginning.",
)
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

    Prints one line at the end. Exit code 0: the run is complete, 1: it was broken off, or leases exceeded a
    budget in sum, 2: it can't be started.
    """
    from lupintack.scale import resources
    from lupintack.scale.coordinator import Options
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
        raise UnusableRunError(str(error)) from None
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
    result = run(options)
    click.echo(json.dumps(result) if as_json else text_line(result))
    sys.exit(1 if result["oversum"] > 0 else 0)


def run(options: Options) -> dict[str, Any]:
    """Run to the end and return the result; raise ClickException if the run is broken off."""
    from lupintack.scale.coordinator import Coordinator
    from lupintack.scale.run_process import RunError

    signal.signal(signal.SIGTERM, raise_keyboard_interrupt)
    coordinator = Coordinator(options)
    try:
        return coordinator.run()
    except (RunError, TimeoutError) as error:
        raise click.ClickException(str(error)) from None
    finally:
        coordinator.close()


def check_numbers(
    seconds: float,
    seed: int,
    processes: int,
    real: int,
    purges_per_s: float,
    changes_per_day: float,
    starts_per_s: float,
) -> None:
    """Raise ScaleError for a number outside its bounds."""
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
    for name, value, minimum, maximum in bounds:
        if not minimum <= value <= maximum:
            raise ScaleError(f"{name}: expected {minimum} to {maximum}, not {value}")


def text_line(result: dict[str, Any]) -> str:
    """Return the result as `key=value` pairs on one line."""
    flat: dict[str, Any] = {}
    for key, value in result.items():
        if isinstance(value, dict):
            flat |= {f"{key}.{name}": inner for name, inner in value.items()}
        else:
            flat[key] = value
    return " ".join(f"{key}={'-' if value is None else value}" for key, value in flat.items())


def raise_keyboard_interrupt(number: int, frame: FrameType | None) -> None:
    """Handle SIGTERM as an interrupt, so that all child processes are ended first."""
    raise KeyboardInterrupt
