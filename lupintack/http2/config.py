"""Configuration of an HTTP/2 connection."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WireConfig:
    """Role and limits of a connection, most of them sent in SETTINGS; sizes are in bytes."""

    is_client: bool = False
    max_streams: int = 100
    max_header_list_bytes: int = 8192
    stream_window: int = 65_535
    connection_window: int = 65_535
    fifo: bool = False  # responses in the order of their requests, as a baseline for benchmarks
