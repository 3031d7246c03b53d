"""Shares the idempotency keys of a process with the router's other ones."""

from __future__ import annotations

from collections.abc import Callable

from lupintack.clock import now_us
from lupintack.core.actor import Core
from lupintack.core.messages import ReadSharedKeys, SharedKeysGap
from lupintack.core.record_log import DamagedLogError, Gap, OnRecord, RecordLogError
from lupintack.process.router_processes import RouterProcesses
from lupintack.process.shared_log import SharedLog
from lupintack.process.sharing import ProcessSharing

KEY_LOG = "keys.log"
KEY_LOG_BYTES = 1 << 20  # some 6,000 attempts
LOCK_TIMEOUT_S = 0.05  # in the core's turn


class KeyLog:
    """The log of keys. Alone, a process may go on without it, as long as one that starts later is told.

    Beside another process an attempt that can't be shared is an error: it must not be sent.
    """

    def __init__(self, log: SharedLog, processes: RouterProcesses) -> None:
        """`log`: of the file in the router's folder."""
        self._log = log
        self._folder, self._peers = processes
        self._unshared_until_us = 0  # until then an attempt matters that is not in the log

    def poll(self, on_record: OnRecord) -> None:
        """Read the new records; raise RecordLogError if that is not possible now."""
        self._log.poll(on_record)

    def has_unread(self) -> bool:
        """Return whether another process has added records; does not block."""
        return self._log.has_unread()

    def update(self, on_record: OnRecord, create: Callable[[], bytes | None], lifetime_us: int) -> None:
        """Read the new records, then add one; see the class for failures."""
        created: list[bytes | None] = []

        def create_once() -> bytes | None:
            created.append(create())
            return created[-1]

        try:
            self._log.update(on_record, create_once, lifetime_us)
        except DamagedLogError:
            raise
        except RecordLogError:
            if self._peers() or not self._publish_unshared(lifetime_us):
                raise
            if not created:
                create()

    def publish_shared(self) -> None:
        """Tell other processes once all keys that matter are in the log again."""
        folder = self._folder()
        if folder is not None and not folder.shares_keys and now_us() >= self._unshared_until_us:
            folder.write_shares_keys(True)

    def _publish_unshared(self, lifetime_us: int) -> bool:
        """Tell processes that start later that keys are missing; return whether they will know.

        None sees a process that has not joined the folder, whose own start found no other one.
        """
        self._unshared_until_us = max(self._unshared_until_us, now_us() + lifetime_us)
        folder = self._folder()
        return folder is None or not folder.shares_keys or folder.write_shares_keys(False)


class KeySharing:
    """Follows the log of keys for a core."""

    def __init__(self, core: Core, processes: RouterProcesses) -> None:
        """Share the keys of a core from now on; called before it has any."""
        self._core = core
        log = SharedLog(KEY_LOG, KEY_LOG_BYTES, LOCK_TIMEOUT_S)
        self._log = KeyLog(log, processes)
        self._sharing = ProcessSharing((log,), processes, self, lambda peer: peer.shares_keys)
        core.deduplication.share(self._log)

    def start(self, spawn: Callable[[Callable[[], None], str], None]) -> None:
        """Take over the keys of other processes, and follow the log."""
        self._sharing.start(spawn, lambda: self._core.is_stopped)

    def expect_unseen(self) -> None:
        """Expect a process that this one may not see; see ProcessSharing."""
        self._sharing.expect_unseen()

    def poll(self) -> None:
        """Let the core's turn read new keys, and tell of withdrawn ones."""
        self._log.publish_shared()
        if self._core.deduplication.has_pending():
            self._core.enqueue(ReadSharedKeys())

    def on_gap(self, gap: Gap) -> None:
        """Let the core act as if it had missed keys until now."""
        self._core.counters.increment(f"idempotency_keys.gap.{gap.value}")
        self._core.enqueue(SharedKeysGap(now_us()))
