"""The operator's file, read at the start and again on SIGHUP; None where all of it is off."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING

from lupintack.settings import files
from lupintack.settings.errors import ConfigError

if TYPE_CHECKING:  # its import costs memory, and is made only where a feature is on
    from lupintack.settings.operator import Operator

FILE = Path(__file__).parents[1] / "deploy" / "operator.toml"


def load(environ: Mapping[str, str] = os.environ) -> Operator | None:
    """The file that LUPINTACK_OPERATOR names, or deploy/'s; ConfigError for one that can't be used."""
    named = environ.get("LUPINTACK_OPERATOR")
    path = Path(named or FILE)
    data = files.read_toml(path)
    if data is None:
        if named:
            raise ConfigError(f"LUPINTACK_OPERATOR: no file {named!r}")
        return None
    return None if files.is_off(data) else parse(data, path.name)


def parse(data: dict[str, object], name: str) -> Operator:
    """All tables, on or off, with what the types can't say."""
    from lupintack.settings.budget_plan import check_budgets
    from lupintack.settings.operator import Operator

    found = files.parse_record(Operator, data, name)
    files.address(found.http2.listen, f"{name}: [http2] listen")
    if found.http2.cdni_listen:
        files.address(found.http2.cdni_listen, f"{name}: [http2] cdni_listen")
    if found.membership.enabled:
        files.address(found.membership.listen, f"{name}: [membership] listen")
        for seed in found.membership.seeds:
            files.address(seed, f"{name}: [membership] seeds")
        for member, where in found.membership.reach.items():
            files.address(where, f"{name}: [membership] reach.{member}")
        if not found.membership.secret:
            raise ConfigError(f"{name}: [membership] secret: '': a text is wanted that no other fleet has")
    if found.budgets.enabled:
        if not found.membership.enabled:
            raise ConfigError(f"{name}: [budgets] enabled: true: [membership] is wanted, too")
        check_budgets(found.budgets, name)
    return found
