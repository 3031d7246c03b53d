"""Size limits of the package's files and functions; larger ones are listed and must not grow."""

from __future__ import annotations

import ast
import tomllib
from pathlib import Path

PACKAGE = Path(__file__).parent.parent / "lupintack"
MAX_FILE_LINES = 400
MAX_FUNCTION_LINES = 45
LONG_FILES: dict[str, int] = {}
LONG_FUNCTIONS = {
    "cli/scale_run.py:run_command": 56,
    "scale/hollow_router.py:__init__": 52,
    "scale/report.py:result_line": 69,
    "standins/fleet.py:serve": 73,
    "standins/processes.py:run": 47,
}


def test_no_file_is_longer_than_the_limit_or_its_listed_length() -> None:
    lengths = {str(path.relative_to(PACKAGE)): path.read_text().count("\n") for path in PACKAGE.rglob("*.py")}
    too_long = {
        name: length for name, length in lengths.items() if length > LONG_FILES.get(name, MAX_FILE_LINES)
    }
    assert not too_long
    unneeded = {name for name in LONG_FILES if lengths.get(name, 0) <= MAX_FILE_LINES}
    assert not unneeded, "no longer over the limit: remove the entry"


def test_no_function_is_longer_than_the_limit_or_its_listed_length() -> None:
    lengths: dict[str, int] = {}
    for path in PACKAGE.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.FunctionDef) and node.end_lineno is not None:
                name = f"{path.relative_to(PACKAGE)}:{node.name}"
                lengths[name] = max(lengths.get(name, 0), node.end_lineno - node.lineno + 1)
    too_long = {
        name: length
        for name, length in lengths.items()
        if length > LONG_FUNCTIONS.get(name, MAX_FUNCTION_LINES)
    }
    assert not too_long
    unneeded = {name for name in LONG_FUNCTIONS if lengths.get(name, 0) <= MAX_FUNCTION_LINES}
    assert not unneeded, "no longer over the limit: remove the entry"


def test_distribution_has_every_package() -> None:
    """Guards against an installation, other than an editable one, that can't be imported."""
    project = tomllib.loads((PACKAGE.parent / "pyproject.toml").read_text())
    folders = {path.parent.relative_to(PACKAGE.parent) for path in PACKAGE.rglob("*.py")}
    assert sorted(project["tool"]["setuptools"]["packages"]) == sorted(
        map(".".join, (f.parts for f in folders))
    )
