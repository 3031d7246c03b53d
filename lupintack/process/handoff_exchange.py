"""The handoff of an upgrade: passes learned state and cached copies from the old process to the new one."""

from __future__ import annotations

import contextlib
import logging
import threading
from collections.abc import Callable
from queue import Empty, SimpleQueue
from typing import BinaryIO

from lupintack.core.actor import Core
from lupintack.core.handoff import HandoffRequest, HandoffState, read_records, restore_copy, restore_record
from lupintack.lifecycle.folder import Folder
from lupintack.lifecycle.upgrade_peer import ProcessAge, UpgradePeer
from lupintack.logs import fields

LOG = logging.getLogger("process")
CORE_TURN_TIMEOUT_S = 1.0


class HandoffExchange:
    """Sends handoffs to starting processes, and receives this process's own before its first request."""

    def __init__(self, core: Core, folder: Callable[[], Folder | None]) -> None:
        """Take `folder`, which returns the shared folder, or None if it can't be used now."""
        self._core = core
        self._folder = folder
        self._recipient: ProcessAge | None = None  # of the last handoff sent
        self.is_received = False
        self.fault = ""  # why this process's handoff could not be opened

    def send(self, folder: Folder, peer: UpgradePeer, max_bytes: int) -> None:
        """Write a handoff for a peer once. The core collects it in its next turn, before limits shrink."""
        if peer.age == self._recipient:
            return
        self._recipient = peer.age
        states: SimpleQueue[HandoffState] = SimpleQueue()

        def write() -> None:
            try:
                folder.write_handoff(peer.pid, states.get(timeout=CORE_TURN_TIMEOUT_S).records(max_bytes))
            except (OSError, Empty) as error:
                LOG.warning("handoff not sent", extra=fields(reason=repr(error)))

        self._core.enqueue(HandoffRequest(states.put))
        threading.Thread(target=write, name="handoff", daemon=True).start()

    def discard_late(self, folder: Folder) -> None:
        """Remove a handoff that was written after this process stopped waiting for it."""
        with contextlib.suppress(OSError):
            file = folder.open_handoff()
            if file is not None:
                file.close()

    def receive(self) -> bool:
        """Restore this process's handoff; return False if there is none that can be opened now."""
        folder = self._folder()
        if folder is None or self.is_received:
            return False
        try:
            file = folder.open_handoff()
        except OSError as error:
            self.fault = repr(error)
            return False
        if file is None:
            return False
        self.is_received = True
        self._adopt(file)
        return True

    def _adopt(self, file: BinaryIO) -> None:
        adopted, fault, cache = False, "", self._core.local_cache
        try:
            with file:
                records = read_records(file.read)
                adopted = restore_record(self._core.router, next(records, (None, b""))[0])
                for header, body in records if adopted else ():
                    if cache is not None:
                        restore_copy(cache, header, body)
        except Exception as error:  # noqa: BLE001 - a start must not fail because of a damaged handoff
            fault = repr(error)
        copies = len(cache.copies) if cache is not None else 0
        LOG.info("handoff received", extra=fields(learned=adopted, copies=copies, fault=fault or "none"))
