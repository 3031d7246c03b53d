"""How a process knows the other processes of its router."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from lupintack.lifecycle.folder import Folder
from lupintack.lifecycle.upgrade_peer import UpgradePeer


class RouterProcesses(NamedTuple):
    """Their folder, None while it can't be used, and those alive."""

    folder: Callable[[], Folder | None]
    peers: Callable[[], Sequence[UpgradePeer]]
