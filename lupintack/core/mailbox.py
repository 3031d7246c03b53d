"""The core's mailbox: any thread may post a message, and one thread at a time runs the turns.

A turn runs on the thread that has just posted, unless another thread is running one: on a single core,
handing messages to a dedicated thread costs two context switches per message (figures in docs/design.md).
"""

from __future__ import annotations

import logging
import threading
from collections import deque
from collections.abc import Callable

from lupintack.core.handoff import HandoffRequest
from lupintack.core.messages import (
    AttemptResult,
    ClientDisconnection,
    ClientRequest,
    FailOpenRequests,
    ReadSharedKeys,
    SharedKeysGap,
    Shutdown,
)
from lupintack.core.settings_update import SettingsUpdate
from lupintack.core.table_updates import TableChange
from lupintack.interface import Event

LOG = logging.getLogger("core")
MAX_MESSAGES_PER_TURN = 64  # bounds the age of the turn's clock reading under load
MAX_BATCHES_PER_ENQUEUE = 4  # turns after which a posting thread returns to its own work
UNLIMITED_BATCHES = -1

Message = (
    ClientRequest
    | ClientDisconnection
    | AttemptResult
    | TableChange
    | SettingsUpdate
    | HandoffRequest
    | ReadSharedKeys
    | SharedKeysGap
    | Shutdown
    | FailOpenRequests
)


class Mailbox:
    """Messages queued for the core's turns, and events deferred to the next turn."""

    def __init__(self, run_turn: Callable[[list[Message]], None]) -> None:
        """`run_turn` handles one batch of messages."""
        self._run_turn = run_turn
        self.messages: deque[Message] = deque()
        self.deferred_events: list[Event] = []
        self.turn_lock = threading.Lock()
        self.wake_event = threading.Event()  # set when a posting thread leaves turns to the core's thread

    def enqueue(self, message: Message) -> None:
        """Add a message, and run turns unless another thread runs one and will see the message."""
        self.messages.append(message)
        self.run_pending(MAX_BATCHES_PER_ENQUEUE)

    def take_deferred_events(self) -> list[Event]:
        """Return and clear the deferred events. Called within the turn."""
        events, self.deferred_events = self.deferred_events, []
        return events

    def run_pending(self, max_batches: int = UNLIMITED_BATCHES) -> None:
        """Run turns until nothing is queued, or `max_batches` are handled.

        The queue is checked again after each release of the lock, so that no message is left in it. The bound
        keeps a posting thread from running turns for as long as others post: under load its connection would
        not be read for seconds. The core's own thread continues in its place.
        """
        while (self.messages or self.deferred_events) and self.turn_lock.acquire(blocking=False):
            if max_batches == 0:
                self.turn_lock.release()
                self.wake_event.set()
                return
            max_batches -= 1
            try:
                self._run_turn(self._next_batch())
            except Exception:  # must not end the posting thread; the requests are answered at their deadlines
                LOG.exception("turn failed")
            finally:
                self.turn_lock.release()

    def run_timer_turn(self) -> None:
        """Run one turn without messages, unless another thread runs one."""
        if self.turn_lock.acquire(blocking=False):
            try:
                self._run_turn([])
            finally:
                self.turn_lock.release()

    def wait(self, timeout_s: float) -> None:
        """Wait until a posting thread leaves turns to the caller, for `timeout_s` at most."""
        if self.wake_event.wait(timeout_s):
            self.wake_event.clear()

    def _next_batch(self) -> list[Message]:
        batch: list[Message] = []
        while self.messages and len(batch) < MAX_MESSAGES_PER_TURN:
            batch.append(self.messages.popleft())
        return batch
