"""Loads the operator's file, at the start and on SIGHUP; None if every feature in it is off."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING

from lupintack.settings import files
from lupintack.settings.errors import ConfigError

if TYPE_CHECKING:  # importing it costs memory, so it is imported only if a feature is on
    from lupintack.settings.operator import Operator

FILE = Path(__file__).parents[1] / "deploy" / "operator.toml"


def load(environ: Mapping[str, str] = os.environ) -> Operator | None:
    """Load the file at LUPINTACK_OPERATOR or in deploy/; raise ConfigError if it can't be used."""
    configured_path = environ.get("LUPINTACK_OPERATOR")
    path = Path(configured_path or FILE)
    data = files.read_toml(path)
    if data is None:
        if configured_path:
            raise ConfigError(f"LUPINTACK_OPERATOR: no file {configured_path!r}")
        return None
    return None if files.is_off(data) else parse(data, path.name)


def parse(data: dict[str, object], name: str) -> Operator:
    """Convert all tables, on or off, and check what the types can't express."""
    from lupintack.settings.budget_plan import check_budgets
    from lupintack.settings.operator import Operator

    settings = files.parse_record(Operator, data, name)
    files.address(settings.http2.listen, f"{name}: [http2] listen")
    if settings.http2.cdni_listen:
        files.address(settings.http2.cdni_listen, f"{name}: [http2] cdni_listen")
    if settings.membership.enabled:
        files.address(settings.membership.listen, f"{name}: [membership] listen")
        for seed in settings.membership.seeds:
            files.address(seed, f"{name}: [membership] seeds")
        for member, member_address in settings.membership.reach.items():
            files.address(member_address, f"{name}: [membership] reach.{member}")
        if not settings.membership.secret:
            raise ConfigError(f"{name}: [membership] secret: '': expected a text that no other fleet uses")
    if settings.budgets.enabled:
        if not settings.membership.enabled:
            raise ConfigError(f"{name}: [budgets] enabled: true: requires [membership] to be enabled")
        check_budgets(settings.budgets, name)
    return settings
