"""Rules for the source files, the README's example, KNOWN-RED.txt and the deploy file."""

from __future__ import annotations

import ast
import re
import tomllib
from pathlib import Path

from tests.conftest import KNOWN_RED

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "lupintack"


def test_line_width() -> None:
    for path in PACKAGE.glob("*.py"):
        assert all(len(line) <= 110 for line in path.read_text().splitlines()), path


def test_decisions_reference_their_interface_and_import_only_allowed_modules() -> None:
    folder = PACKAGE / "decisions"
    for name in ("__init__.py", "router.py"):
        assert "lupintack/interface.py" in (folder / name).read_text()[:200]
    allowed = {
        "__future__",
        "array",
        "bisect",
        "collections",
        "collections.abc",
        "dataclasses",
        "functools",
        "hashlib",
        "itertools",
        "math",
        "re",
        "typing",
        "lupintack",
        "lupintack.interface",
        "lupintack.decisions",
    }
    for path in folder.glob("*.py"):
        imported = {
            node.module if isinstance(node, ast.ImportFrom) else node.names[0].name
            for node in ast.walk(ast.parse(path.read_text()))
            if isinstance(node, (ast.Import, ast.ImportFrom))
        }
        decision_modules = {f"lupintack.decisions.{file.stem}" for file in folder.glob("*.py")}
        extra = {"random"} if path.name == "router.py" else set()
        assert imported <= allowed | decision_modules | extra, path


def test_tuned_values_occur_only_in_the_decisions() -> None:
    """Elsewhere numbers are integer wire codes, or documented defaults of settings whose feature is off."""
    for name in ("interface.py", "simulator_wire.py", "simulator_adapter.py"):
        for node in ast.walk(ast.parse((PACKAGE / name).read_text())):
            if isinstance(node, ast.Constant) and isinstance(node.value, float):
                assert node.value in (0.0, 1.0, 1000.0), (name, node.lineno)
            if name != "simulator_wire.py" and isinstance(node, ast.Compare):
                assert not any(
                    isinstance(operand, ast.Constant)
                    and isinstance(operand.value, (int, float))
                    and operand.value not in (0, False, True)
                    for operand in node.comparators
                ), (name, node.lineno)


def test_readme_example_runs() -> None:
    examples = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert len(examples) == 1
    namespace: dict[str, object] = {}
    exec(examples[0], namespace)  # the example exactly as printed in the README
    assert "fetch" in namespace


def test_known_red_lists_only_existing_tests() -> None:
    for node_id in KNOWN_RED:
        file, _, test_name = node_id.partition("::")
        function = test_name.partition("[")[0].rpartition("::")[2]
        assert f"def {function}(" in (ROOT / file).read_text(), node_id


def test_deploy_file_lists_every_decision_file_and_only_existing_paths() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    decisions = {str(path.relative_to(ROOT)) for path in (PACKAGE / "decisions").glob("*.py")}
    assert set(deploy["policy"]) == decisions
    assert all((ROOT / path).exists() for path in deploy["node"])
