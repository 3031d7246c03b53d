"""Imports point downwards, and what the platform's smallest machines can't afford is not loaded there."""

from __future__ import annotations

import ast
import subprocess
import sys
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[1] / "lupintack"
# From the ground up; a room may import those before it, and itself.
FLOORS = [
    ("clock", "logs", "interface", "sockets"),
    ("arrivals", "pauses"),
    ("dated_reads",),
    ("limits", "http2", "lifecycle"),
    ("membership",),
    ("budgets",),
    ("settings",),
    ("decisions", "simulator_wire"),
    ("simulator_adapter", "config", "operator"),
    ("core",),
    ("peers",),
    ("discovery", "fronts", "client"),
    ("process",),
    ("admin_service", "reload"),
    ("fleet",),
    ("node",),
    ("__main__",),
    ("standins",),
    ("lab",),
    ("scale",),
    ("cli",),
]
LEVEL = {room: level for level, rooms in enumerate(FLOORS) for room in rooms}
DECISIONS = (
    "limits", "decisions", "http2/schedule.py", "settings/changes.py",
    "lifecycle/state.py", "lifecycle/bans.py", "lifecycle/upgrade_peer.py",
    "core/handoff.py", "membership", "budgets",
)  # fmt: skip
MACHINE = {"time", "random", "socket", "threading", "select", "os", "queue", "logging"}


def imports(path: Path) -> set[str]:
    """What a file imports when it is loaded or later, but for type checking alone."""
    tree = ast.parse(path.read_text())
    typing = [
        n for n in ast.walk(tree) if isinstance(n, ast.If) and getattr(n.test, "id", "") == "TYPE_CHECKING"
    ]
    skipped = {id(n) for one in typing for n in ast.walk(one)}
    found: set[str] = set()
    for node in ast.walk(tree):
        if id(node) in skipped:
            continue
        if isinstance(node, ast.ImportFrom) and node.module:
            names = {f"{node.module}.{alias.name}" for alias in node.names}
            found |= names if node.module == "lupintack" else {node.module}
        elif isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
    return found


def test_imports_point_downwards() -> None:
    for path in PACKAGE.rglob("*.py"):
        room = path.relative_to(PACKAGE).parts[0].removesuffix(".py")
        if room == "__init__":
            continue
        for name in imports(path):
            if name.startswith("lupintack."):
                other = name.split(".")[1]
                assert other == room or LEVEL[other] < LEVEL[room], f"{path.name} imports {name}"


def test_no_circles_also_among_files_of_one_room_and_for_types() -> None:
    """What a file names for its types alone counts as well: two such files are one, read by nobody apart."""
    graph: dict[str, set[str]] = {}
    for path in PACKAGE.rglob("*.py"):
        parts = path.relative_to(PACKAGE.parent).with_suffix("").parts
        name = ".".join(parts).removesuffix(".__init__")
        nodes = list(ast.walk(ast.parse(path.read_text())))
        found = {n.module for n in nodes if isinstance(n, ast.ImportFrom) and n.module}
        found |= {f"{n.module}.{a.name}" for n in nodes if isinstance(n, ast.ImportFrom) for a in n.names}
        graph[name] = found
    done: set[str] = set()

    def walk(name: str, way: tuple[str, ...]) -> None:
        assert name not in way, " -> ".join((*way[way.index(name) :], name))
        if name not in done:
            for other in sorted(graph[name] & graph.keys() - {name}):
                if other != "lupintack":
                    walk(other, (*way, name))
            done.add(name)

    for name in graph:
        walk(name, ())


def test_decisions_do_no_io_and_have_no_clock_or_chance_of_their_own() -> None:
    files = [
        p
        for name in DECISIONS
        for p in ([PACKAGE / name] if name.endswith(".py") else (PACKAGE / name).glob("*.py"))
    ]
    assert len(files) > 2
    for path in files:
        tops = {name.split(".")[0] for name in imports(path)}
        is_router = path == PACKAGE / "decisions" / "router.py"  # it gets a seed, and makes its own generator
        allowed = {"random"} if is_router else set()
        assert not tops & (MACHINE - allowed), path


@pytest.mark.parametrize("module", ["lupintack.__main__", "lupintack.simulator_adapter"])
def test_libraries_load_only_with_their_feature(module: str) -> None:
    code = (
        f"import {module}, sys; print([m for m in ('click', 'msgspec', 'h2', 'hpack') if m in sys.modules])"
    )
    found = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert found.stdout.strip() == "[]"
