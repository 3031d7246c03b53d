"""Divides the file descriptors of a process among its fronts, the members and all other uses."""

from __future__ import annotations

from dataclasses import dataclass

MAX_CLOSING_CONNECTIONS = 64  # connections closed by clients and not yet by this process
MAX_CDNI_CONNECTIONS = 48
MIN_ADMIN_CONNECTIONS = 8
MAX_ADMIN_CONNECTIONS = 32
MIN_MEMBER_CONNECTIONS = 8
RESERVED_DESCRIPTORS = 24  # listeners, discovery, files, and descriptors being closed


@dataclass(frozen=True)
class DescriptorPlan:
    """Maximum numbers of connections by kind; 0 for a feature that is off."""

    clients: int
    cdni: int
    http2: int  # on each HTTP/2 port
    admin: int
    members: int

    @property
    def process_descriptors(self) -> int:
        """Descriptors that a process needs besides its connections to clients and members."""
        return self.admin + RESERVED_DESCRIPTORS


def plan_descriptors(
    sockets: int, has_cdni: bool, http2_connections: int, http2_ports: int, has_admin: bool
) -> DescriptorPlan:
    """Divide `sockets`; `http2_connections` is the operator's limit for each HTTP/2 port."""
    clients = sockets // 3 + min(MAX_CLOSING_CONNECTIONS, sockets // 8)
    cdni = min(MAX_CDNI_CONNECTIONS, sockets // 16) if has_cdni else 0
    http2 = min(http2_connections, sockets // 4)
    admin = max(MIN_ADMIN_CONNECTIONS, min(MAX_ADMIN_CONNECTIONS, sockets // 16)) if has_admin else 0
    used = clients + cdni + http2 * http2_ports + admin + RESERVED_DESCRIPTORS
    return DescriptorPlan(clients, cdni, http2, admin, max(MIN_MEMBER_CONNECTIONS, sockets - used))
