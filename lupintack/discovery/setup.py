"""Builds the member table and the client that fills it from a process's configuration."""

from __future__ import annotations

from typing import NamedTuple

from lupintack.config import Config
from lupintack.core.member_table import MemberTable
from lupintack.discovery.client import DiscoveryClient
from lupintack.discovery.validity import validity_us


class Discovery(NamedTuple):
    """The member table and the discovery client of one process."""

    member_table: MemberTable
    client: DiscoveryClient


def build_discovery(conf: Config) -> Discovery:
    """Build both parts with the events of the configuration; the caller starts the client's thread.

    That thread may run before the rest of the router is built: the first proof that the list is current takes
    up to a second after the connection, and the start continues in the meantime.
    """
    member_table = MemberTable(conf.settings.purge_settle_ms, conf.settings.origin_kind)
    if conf.discovery_address is not None:
        member_table.require_proof(validity_us(conf.settings))
    client = DiscoveryClient(conf.discovery_address, conf.names, member_table, conf.seed)
    client.load_initial_log(conf.initial_log)
    return Discovery(member_table, client)
