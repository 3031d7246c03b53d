"""Rules for imports: between layers, of I/O modules, and of libraries too large for small machines."""

from __future__ import annotations

import ast
import subprocess
import sys
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[1] / "lupintack"
# From the lowest layer up; a module or package may import those of lower layers, and itself.
LAYERS = [
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
LAYER_INDEX = {name: index for index, names in enumerate(LAYERS) for name in names}
PURE_MODULES = (
    "limits", "decisions", "http2/schedule.py", "settings/changes.py",
    "lifecycle/state.py", "lifecycle/bans.py", "lifecycle/upgrade_peer.py",
    "core/handoff.py", "membership", "budgets",
)  # fmt: skip
IO_MODULES = {"time", "random", "socket", "threading", "select", "os", "queue", "logging"}


def imported_modules(path: Path) -> set[str]:
    """Return the modules that a file imports at any time, except those for type checking only."""
    tree = ast.parse(path.read_text())
    typing_blocks = [
        node
        for node in ast.walk(tree)
        if isinstance(node, ast.If) and getattr(node.test, "id", "") == "TYPE_CHECKING"
    ]
    skipped = {id(node) for block in typing_blocks for node in ast.walk(block)}
    modules: set[str] = set()
    for node in ast.walk(tree):
        if id(node) in skipped:
            continue
        if isinstance(node, ast.ImportFrom) and node.module:
            names = {f"{node.module}.{alias.name}" for alias in node.names}
            modules |= names if node.module == "lupintack" else {node.module}
        elif isinstance(node, ast.Import):
            modules |= {alias.name for alias in node.names}
    return modules


def test_imports_only_refer_to_lower_layers() -> None:
    for path in PACKAGE.rglob("*.py"):
        package = path.relative_to(PACKAGE).parts[0].removesuffix(".py")
        if package == "__init__":
            continue
        for name in imported_modules(path):
            if name.startswith("lupintack."):
                imported = name.split(".")[1]
                assert imported == package or LAYER_INDEX[imported] < LAYER_INDEX[package], (
                    f"{path.name} imports {name}"
                )


def test_modules_have_no_import_cycles_even_for_types() -> None:
    """Imports for type checking count too: files in such a cycle can only be understood together."""
    graph: dict[str, set[str]] = {}
    for path in PACKAGE.rglob("*.py"):
        parts = path.relative_to(PACKAGE.parent).with_suffix("").parts
        name = ".".join(parts).removesuffix(".__init__")
        nodes = list(ast.walk(ast.parse(path.read_text())))
        modules = {node.module for node in nodes if isinstance(node, ast.ImportFrom) and node.module}
        modules |= {
            f"{node.module}.{alias.name}"
            for node in nodes
            if isinstance(node, ast.ImportFrom)
            for alias in node.names
        }
        graph[name] = modules
    visited: set[str] = set()

    def visit(name: str, chain: tuple[str, ...]) -> None:
        assert name not in chain, " -> ".join((*chain[chain.index(name) :], name))
        if name not in visited:
            for imported in sorted(graph[name] & graph.keys() - {name}):
                if imported != "lupintack":
                    visit(imported, (*chain, name))
            visited.add(name)

    for name in graph:
        visit(name, ())


def test_pure_modules_import_no_io_clock_or_random_modules() -> None:
    files = [
        path
        for name in PURE_MODULES
        for path in ([PACKAGE / name] if name.endswith(".py") else (PACKAGE / name).glob("*.py"))
    ]
    assert len(files) > 2
    for path in files:
        top_level = {name.split(".")[0] for name in imported_modules(path)}
        is_router = path == PACKAGE / "decisions" / "router.py"  # it creates its own generator from a seed
        allowed = {"random"} if is_router else set()
        assert not top_level & (IO_MODULES - allowed), path


@pytest.mark.parametrize("module", ["lupintack.__main__", "lupintack.simulator_adapter"])
def test_optional_libraries_are_not_loaded_at_import(module: str) -> None:
    code = (
        f"import {module}, sys; print([m for m in ('click', 'msgspec', 'h2', 'hpack') if m in sys.modules])"
    )
    completed = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert completed.stdout.strip() == "[]"
