"""The cuts between the hollow routers of a run: what passes, decided by its sender."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CutRule:
    """One side of a cut; all others are the other side."""

    names: frozenset[str]
    ports: frozenset[int]
    discovery: bool


class Network:
    """What passes now. Each sender drops what would cross a cut, in both directions."""

    def __init__(self, ports: Mapping[str, int]) -> None:
        """`ports`: of each router by its name; nothing is cut."""
        self.ports = ports
        self.rules: dict[int, CutRule] = {}

    def cut(self, number: int, names: Iterable[str], discovery: bool) -> None:
        """Nothing passes between these and all others."""
        side = frozenset(names)
        self.rules[number] = CutRule(side, frozenset(self.ports[name] for name in side), discovery)

    def heal(self, number: int) -> None:
        """That cut is over."""
        self.rules.pop(number, None)

    def passes(self, sender: str, port: int) -> bool:
        """Whether what a router sends to a port arrives."""
        if not self.rules:
            return True
        return all((sender in rule.names) == (port in rule.ports) for rule in self.rules.values())

    def reaches_discovery(self, name: str) -> bool:
        """Whether a router's connection to discovery carries anything."""
        return not any(rule.discovery and name in rule.names for rule in self.rules.values())
