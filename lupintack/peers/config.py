"""Configuration of the connections to members, from the platform's settings and the machine's limits."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from lupintack.clock import UNIX_OFFSET_US
from lupintack.core.timestamps import CopyClock
from lupintack.peers.connection_quota import ConnectionQuota

DEFAULT_MAX_CONNECTIONS = 1024


@dataclass(frozen=True)
class PeerConfig:
    """Configuration that all members share.

    `load_report_fields`: the names of a load report's values, in the order of the settings. `copy_clock`:
    bounds the age of copies, and rejects corrupt timestamps. `allows_cancellation`: whether an attempt may be
    cancelled at its member. `count`: increments the counter with this name.
    """

    max_streams: int
    connect_timeout_us: int
    idle_timeout_us: int
    load_report_fields: tuple[str, ...]
    quota: ConnectionQuota = field(default_factory=lambda: ConnectionQuota(DEFAULT_MAX_CONNECTIONS))
    copy_clock: CopyClock = field(default_factory=lambda: CopyClock(UNIX_OFFSET_US))
    allows_cancellation: bool = True
    count: Callable[[str], None] = lambda name: None
