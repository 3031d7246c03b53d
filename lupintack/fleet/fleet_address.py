"""A router's address in the fleet, and the sockets bound to it."""

from __future__ import annotations

import socket
from dataclasses import dataclass

from lupintack.settings.errors import ConfigError

LISTEN_BACKLOG = 64
RANDOM_PORT_ATTEMPTS = 8


@dataclass(frozen=True, slots=True)
class FleetAddress:
    """This router's identity in the fleet, and the addresses by which it contacts the others."""

    name: str
    site: str
    listen: tuple[str, int]
    fleet: str
    secret: str
    seeds: tuple[str, ...]  # host:port
    address_overrides: dict[str, str]  # host:port by router name, instead of the advertised address


def bind_ports(listen: tuple[str, int]) -> tuple[socket.socket, socket.socket]:
    """Return a datagram socket and a listener on the same port; raises ConfigError if none can be bound.

    If the port is in use, as by the older process during an upgrade, a free port is used instead.
    """
    host, configured_port = listen
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    for port in (configured_port, *[0] * RANDOM_PORT_ATTEMPTS):
        datagrams, listener = socket.socket(family, socket.SOCK_DGRAM), socket.socket(family)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            datagrams.bind((host, port))
            listener.bind(datagrams.getsockname())
            listener.listen(LISTEN_BACKLOG)
            return datagrams, listener
        except OSError as error:
            datagrams.close()
            listener.close()
            last_error = error
    raise ConfigError(f"[membership] listen: can't listen at {host}:{configured_port}: {last_error.strerror}")
