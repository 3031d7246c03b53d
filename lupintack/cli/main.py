"""`lupintack`: run, demo, config check and config schema. Thin: parse, call, print.

Exit codes: 0 as asked, 1 the check found a fault, 2 the words or a file can't be used.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click

from lupintack.settings.errors import ConfigError


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="lupintack")
def main() -> None:
    """An edge router for devices on poor links."""


@main.command()
def run() -> None:
    """One edge router, as EDGE_CONFIG, EDGE_LISTEN, EDGE_ADMIN_ADDR, EDGE_NAME and LUPINTACK_* say."""
    from lupintack.__main__ import start

    start()


@main.command()
@click.option("--json", "as_json", is_flag=True, help="One line: http1, http2, admin, path, headers.")
@click.option(
    "--check", is_flag=True, help="Ask for 200 objects over both protocols, say what came, and end."
)
def demo(as_json: bool, check: bool) -> None:
    """The router between stand-in caches, two parents, an origin and a notice board, on loopback."""
    from lupintack.cli.demo import Demo

    try:
        with Demo() as play:
            if check:
                found = play.check(progress=sys.stderr.isatty())
                click.echo(json.dumps(found) if as_json else table(found))
                sys.exit(0 if found["ok"] else 1)
            click.echo(json.dumps(play.told()) if as_json else play.page())
            sys.stdout.flush()
            play.wait()
    except (OSError, RuntimeError) as error:
        raise click.ClickException(str(error)) from None


def table(found: dict[str, object]) -> str:
    """The check's result, a line a protocol."""
    lines = [
        f"{'protocol':10}{'asked':>8}{'served':>8}{'refused':>9}{'failed':>8}{'wrong':>7}{'ms (median)':>13}"
    ]
    for name in ("http1", "http2"):
        one = found.get(name)
        if isinstance(one, dict):
            counts = f"{one['asked']:8}{one['served']:8}{one['refused']:9}{one['failed']:8}{one['wrong']:7}"
            lines.append(f"{name:10}{counts}{one['median_ms']:13.1f}")
    return "\n".join([*lines, "ok" if found["ok"] else "NOT ok"])


@main.group()
def config() -> None:
    """Configuration files."""


@config.command("check")
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--kind",
    type=click.Choice(["operator", "cdni", "platform"]),
    help="What the file is; else its name tells.",
)
@click.option("--json", "as_json", is_flag=True, help="One line: file, kind, ok, error, enabled.")
def check_file(file: Path, kind: str | None, as_json: bool) -> None:
    """Read FILE in full, also what is off, and say what is wrong with it."""
    from lupintack.cli.check import check, kind_of

    kind = kind or kind_of(file)
    error, enabled = "", []
    try:
        enabled = check(file, kind)
    except ConfigError as found:
        error = str(found)
    if as_json:
        told = {"file": str(file), "kind": kind, "ok": not error, "error": error, "enabled": enabled}
        click.echo(json.dumps(told))
    elif error:
        click.echo(error, err=True)
    else:
        click.echo(f"{file}: ok ({kind}); on: {', '.join(enabled) or 'nothing'}")
    sys.exit(2 if error else 0)


@config.command("schema")
def print_schema() -> None:
    """The operator file's JSON Schema."""
    from lupintack.settings.operator import schema

    click.echo(json.dumps(schema(), indent=2))


if __name__ == "__main__":
    main()
