"""Names that belong to a wire or to the settings occur only in the modules that translate them."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import pytest

import lupintack

PACKAGE = Path(lupintack.__file__).parent
# Implement the other side of a wire: stand-ins, discovery of the hollow fleet, and clients.
COUNTERPARTS = ("standins", "scale", "client", "cli/demo.py")
TOKEN = re.compile(r"[A-Za-z][\w-]*")


class Wire(NamedTuple):
    """The names of one wire, and the modules that may use them.

    Elsewhere, `tokens` may occur neither in strings nor as identifiers. `literals` are also plain English
    words: they may not be a whole string.
    """

    modules: tuple[str, ...]
    tokens: frozenset[str]
    literals: frozenset[str]


def words(text: str) -> frozenset[str]:
    """Return the words of a text."""
    return frozenset(text.split())


WIRES = {
    "platform, to members": Wire(
        ("peers/platform_wire.py",),
        words("never_mind wait-for no-fetch prio"),
        words("want there current stale background entity issued tell meter chunk nonce mine cls within"),
    ),
    "platform, from clients": Wire(
        ("fronts/platform_headers.py",),
        words("req-id req-wait-ms req-token req-kb req-retry x-batch srv-wait-ms"),
        words("nth /alive /ops/"),
    ),
    "discovery": Wire(
        # The configuration contains the initial log, with its revision and notices.
        ("discovery/events.py", "discovery/client.py", "config.py"),
        words("notices"),
        words("rev pool seq flush asset collection dial block born_ms Ready Terminating Gone"),
    ),
    "settings": Wire(
        ("settings/instance.py", "config.py"),
        words(
            "fresh-for usable-after old-copy-worth class-write aim-stretch late-worth dedup-window"
            " zone-balancers try-limit second-copies max-open max-retry-after membership-mode ask-within"
            " drain-grace grace-to-answer cold-from warm-after fall-multiple tip-after store-kind"
            " second-tier-kind parent-cold-from parent-ramp parent-limit-factor notice-time purge-settles"
            " client-kb-per-s single_shot connect-timeout conn-idle max-streams azs"
        ),
        words(
            "services aim worth repeat siblings straight says joins free guarded on_request pushed weights"
            " me segmented"
        ),
    ),
    "simulator": Wire(
        ("simulator_wire.py",),
        words(
            "keep_informed fetch_through open_instance neighbour_says client_left first_byte probe_done"
            " op-id content-id volume-kb set-no range-no cool-down how-old body-text rng-seed set-id"
        ),
        words("relay bounce lose withdraw sample release announce submit voided"),
    ),
}
# Terms of the field that are also names of a wire
ALLOWED_IDENTIFIERS = frozenset({"max_streams", "client_kb_per_s"})


def docstring_nodes(tree: ast.AST) -> set[int]:
    """Return the ids of the nodes that are docstrings of definitions or constants."""
    return {
        id(node.value)
        for node in ast.walk(tree)
        if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)
    }


def strings(tree: ast.AST) -> Iterator[tuple[int, str]]:
    """Yield the line and text of each string or bytes literal that is not a docstring."""
    docstring_ids = docstring_nodes(tree)
    for node in ast.walk(tree):
        if not isinstance(node, ast.Constant) or id(node) in docstring_ids:
            continue
        if isinstance(node.value, bytes):
            yield node.lineno, node.value.decode("latin-1")
        elif isinstance(node.value, str):
            yield node.lineno, node.value


def identifiers(tree: ast.AST) -> Iterator[tuple[int, str]]:
    """Yield the line and name of each identifier."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Name):
            yield node.lineno, node.id
        elif isinstance(node, ast.Attribute):
            yield node.lineno, node.attr
        elif isinstance(node, (ast.FunctionDef, ast.ClassDef)):
            yield node.lineno, node.name
        elif isinstance(node, ast.arg):
            yield node.lineno, node.arg
        elif isinstance(node, ast.keyword) and node.arg is not None:
            yield node.lineno, node.arg


def wire_names_in(tree: ast.AST, wire: Wire) -> list[str]:
    """Return the occurrences of a wire's names in a module."""
    names = {token.replace("-", "_") for token in wire.tokens}
    names -= ALLOWED_IDENTIFIERS
    occurrences = [
        f"{line}: {text!r}"
        for line, text in strings(tree)
        if text in wire.literals or wire.tokens & {token.lower() for token in TOKEN.findall(text)}
    ]
    return occurrences + [
        f"{line}: {identifier}"
        for line, identifier in identifiers(tree)
        if identifier.strip("_").lower() in names
    ]


def modules() -> Iterator[tuple[str, ast.AST]]:
    """Yield the path and syntax tree of each module that does not implement the other side of a wire."""
    for path in sorted(PACKAGE.rglob("*.py")):
        name = str(path.relative_to(PACKAGE))
        if name not in COUNTERPARTS and name.split("/")[0] not in COUNTERPARTS:
            yield name, ast.parse(path.read_text())


@pytest.mark.parametrize("wire", WIRES.values(), ids=WIRES.keys())
def test_names_of_a_wire_occur_only_in_its_modules(wire: Wire) -> None:
    occurrences = [
        f"{name}:{occurrence}"
        for name, tree in modules()
        if name not in wire.modules
        for occurrence in wire_names_in(tree, wire)
    ]
    assert not occurrences, "\n".join(occurrences)


# The simulator's wire encodes names as numbers, so that its names occur in no module.
@pytest.mark.parametrize("wire", [wire for name, wire in WIRES.items() if name != "simulator"])
def test_every_listed_name_occurs_in_the_modules_of_its_wire(wire: Wire) -> None:
    trees = [ast.parse((PACKAGE / name).read_text()) for name in wire.modules]
    texts = [text.lower() for tree in trees for _, text in strings(tree)]
    present = {token for text in texts for token in TOKEN.findall(text)}
    missing = [word for word in wire.tokens | wire.literals if word.strip("/").lower() not in present]
    assert not missing
