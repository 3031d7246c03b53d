"""The members' endpoints and the links to them, used by the core's turn."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from lupintack.core.messages import MemberLink
from lupintack.core.table_updates import Endpoint
from lupintack.interface import MemberState

Connect = Callable[[int, Endpoint], MemberLink]


class OpenLink(NamedTuple):
    """A link, with the address that it was opened to."""

    address: tuple[str, int]
    link: MemberLink


class MemberLinks:
    """Opens a link to each member at its first attempt; drains it if the member is removed or readdressed."""

    def __init__(self, connect: Connect) -> None:
        """`connect` opens the link to a member."""
        self._connect = connect
        self.endpoints: dict[int, Endpoint] = {}
        self.open_links: dict[int, OpenLink] = {}
        self.draining_links: list[MemberLink] = []

    def apply_endpoint(self, member: int, endpoint: Endpoint) -> None:
        """Record a member's endpoint or its removal; drain a link to its former address."""
        self.endpoints[member] = endpoint
        if endpoint.state is MemberState.REMOVED:
            del self.endpoints[member]  # the table would grow: replaced caches get new ids
        open_link = self.open_links.get(member)
        if open_link is not None and (
            endpoint.state is MemberState.REMOVED or endpoint.dial != open_link.address
        ):
            del self.open_links[member]
            open_link.link.drain()
            self.draining_links.append(open_link.link)

    def apply_endpoints(self, endpoints: Iterable[tuple[int, Endpoint]]) -> None:
        """Record changed endpoints in their order."""
        for member, endpoint in endpoints:
            self.apply_endpoint(member, endpoint)

    def name(self, member: int) -> str:
        """Return a member's name, or "" if it is not listed."""
        endpoint = self.endpoints.get(member)
        return endpoint.name if endpoint is not None else ""

    def link_to(self, member: int, endpoint: Endpoint, address: tuple[str, int]) -> MemberLink:
        """Return the link to a member; open it if there is none."""
        open_link = self.open_links.get(member)
        if open_link is None:
            open_link = self.open_links[member] = OpenLink(address, self._connect(member, endpoint))
        return open_link.link

    def tick(self) -> None:
        """Run each link's check of idle and silent connections. Called by the core's own thread."""
        for open_link in list(self.open_links.values()):
            open_link.link.tick()
        # Otherwise connections to removed members would stay open forever.
        self.draining_links = [link for link in self.draining_links if not link.is_idle()]
        for link in self.draining_links:
            link.tick()

    def close(self) -> None:
        """Drain every open link."""
        for open_link in list(self.open_links.values()):
            open_link.link.drain()
            open_link.link.tick()
