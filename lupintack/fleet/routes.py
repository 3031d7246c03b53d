"""Routes to other routers: the address that a router advertises, or an override of the operator.

Behind network address translation, or a switch in tests, a router has a different address for each peer.
"""

from __future__ import annotations

from collections.abc import Mapping

from lupintack.settings.errors import ConfigError
from lupintack.settings.files import address

MAX_RESOLVED = 8192


class RouteTable:
    """Parsed addresses, cached by their text form."""

    def __init__(self, overrides: Mapping[str, str]) -> None:
        """Parse the overrides, host:port by router name; raises ConfigError for an invalid address."""
        self.overrides = {
            name: address(text, f"[membership] reach.{name}") for name, text in overrides.items()
        }
        self.resolved: dict[str, tuple[str, int] | None] = {}

    def resolve(self, name: str, advertised: str) -> tuple[str, int] | None:
        """Return the host and port of a router; None if it advertises no valid address."""
        override = self.overrides.get(name)
        if override is not None:
            return override
        if advertised not in self.resolved:
            if len(self.resolved) > MAX_RESOLVED:
                self.resolved.clear()
            self.resolved[advertised] = _parse(advertised)
        return self.resolved[advertised]


def _parse(advertised: str) -> tuple[str, int] | None:
    try:
        return address(advertised, "a member's address")
    except ConfigError:
        return None
