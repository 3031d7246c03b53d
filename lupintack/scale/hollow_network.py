"""Simulated network cuts between the hollow routers of a run, enforced by the senders."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CutRule:
    """One side of a cut; all other routers are the other side."""

    names: frozenset[str]
    ports: frozenset[int]
    discovery: bool


class Network:
    """The current cuts. Senders on both sides drop messages that would cross one."""

    def __init__(self, ports: Mapping[str, int]) -> None:
        """Start without cuts; `ports`: port of each router by name."""
        self.ports = ports
        self.rules: dict[int, CutRule] = {}

    def cut(self, number: int, names: Iterable[str], discovery: bool) -> None:
        """Cut these routers off from all others."""
        side = frozenset(names)
        self.rules[number] = CutRule(side, frozenset(self.ports[name] for name in side), discovery)

    def heal(self, number: int) -> None:
        """End a cut."""
        self.rules.pop(number, None)

    def passes(self, sender: str, port: int) -> bool:
        """Return whether messages of a router reach a port."""
        if not self.rules:
            return True
        return all((sender in rule.names) == (port in rule.ports) for rule in self.rules.values())

    def reaches_discovery(self, name: str) -> bool:
        """Return whether a router can reach discovery."""
        return not any(rule.discovery and name in rule.names for rule in self.rules.values())
