"""Ids of CDNI requests that must not run twice, known to all processes of the router."""

from __future__ import annotations

import itertools
import logging
import threading
from collections import OrderedDict, deque
from enum import Enum, auto

from lupintack.clock import now_us
from lupintack.core.record_log import DamagedLogError, RecordLog, RecordLogError
from lupintack.fronts import platform_headers
from lupintack.logs import LineLimit, fields

LOG = logging.getLogger("cdni")
LOG_LIMIT = LineLimit(2)  # lines a second
MAX_REMEMBERED_IDS = 12_288
SECOND_COPY_DELAY_US = 60_000_000  # by which a request may reach this CDN again after its client's wait
ID_LIFETIME_US = platform_headers.MAX_WAIT_MS * 1000 + SECOND_COPY_DELAY_US
MAX_REMOVALS_PER_RECORD = 256
ADDED, REMOVED = b"+", b"-"


class IdStatus(Enum):
    """What was found when the id of a request that must not run twice was added."""

    ADDED = auto()
    PRESENT = auto()  # it may have run
    NO_ROOM = auto()  # it can't be remembered, so it must not run
    NOT_SHARED = auto()  # another process may not hear of it, or may have it, so it must not run


class RunOnceIds:
    """Ids of recent requests that must not run twice.

    A request such as an alert-ack may reach this CDN twice, for instance over two paths through its peers,
    and at two processes of this router. The second one is refused without an attempt. The id of a request
    that was rejected, and so never ran, is removed, and the request may be repeated. Any other id stays for
    its whole lifetime: while there are too many of them, no further request is accepted.
    """

    def __init__(self, log: RecordLog | None = None) -> None:
        """Start without ids; `log`: shared with other processes; None: there is never another one."""
        self.lock = threading.Lock()
        self.ids: OrderedDict[str, int] = OrderedDict()
        self._log = log
        self._rejected: deque[str] = deque()  # appended to without the lock
        self._unshared_removals: OrderedDict[str, None] = OrderedDict()
        self._refused_until_us = 0

    def add(self, wire_id: str) -> IdStatus:
        """Add the id of a request, which may run only if the id was added."""
        with self.lock:
            self._remove_rejected()
            self._drop_expired()
            if self._log is None:
                return self._add_here(wire_id)
            if now_us() < self._refused_until_us:
                return IdStatus.NOT_SHARED
            try:
                return self._add_everywhere(self._log, wire_id)
            except RecordLogError as error:
                self._on_log_error(error)
                return IdStatus.NOT_SHARED

    def remove(self, wire_id: str) -> None:
        """Remove the id of a request that never ran. Does not block, as the core's turn calls it."""
        self._rejected.append(wire_id)

    def share_removals(self) -> None:
        """Tell the other processes of removed ids, and of some more with the next call."""
        with self.lock:
            self._remove_rejected()
            removed = list(itertools.islice(self._unshared_removals, MAX_REMOVALS_PER_RECORD))
            if self._log is None or not removed:
                return
            try:
                self._log.update(
                    self._on_record, lambda: REMOVED + ",".join(removed).encode(), ID_LIFETIME_US
                )
            except RecordLogError as error:
                self._on_log_error(error)
                return
            for wire_id in removed:
                del self._unshared_removals[wire_id]

    def refuse_unknown(self) -> None:
        """Refuse all ids while one may matter that another process has accepted, unknown to this one."""
        with self.lock:
            self._refused_until_us = now_us() + ID_LIFETIME_US

    def _add_here(self, wire_id: str) -> IdStatus:
        if wire_id in self.ids:
            return IdStatus.PRESENT
        if len(self.ids) >= MAX_REMEMBERED_IDS:
            return IdStatus.NO_ROOM
        self.ids[wire_id] = now_us()
        return IdStatus.ADDED

    def _add_everywhere(self, log: RecordLog, wire_id: str) -> IdStatus:
        """Add an id unless another process has it; raise RecordLogError if that can't be told or asked."""
        status = IdStatus.NO_ROOM

        def create() -> bytes | None:
            nonlocal status
            status = self._add_here(wire_id)
            return ADDED + wire_id.encode() if status is IdStatus.ADDED else None

        try:
            log.update(self._on_record, create, ID_LIFETIME_US)
        except RecordLogError:
            if status is IdStatus.ADDED:
                del self.ids[wire_id]
            raise
        if status is IdStatus.ADDED:
            # A removal that is told now would be taken for one of this request.
            self._unshared_removals.pop(wire_id, None)
        return status

    def _on_record(self, raw: bytes) -> None:
        """Apply a record of another process."""
        ids = [wire_id.decode("latin-1") for wire_id in raw[1:].split(b",")]
        for wire_id in ids:
            self.ids.pop(wire_id, None)
            if raw[:1] != REMOVED:
                self.ids[wire_id] = now_us()

    def _remove_rejected(self) -> None:
        while self._rejected:
            wire_id = self._rejected.popleft()
            if self.ids.pop(wire_id, None) is not None and self._log is not None:
                self._unshared_removals[wire_id] = None

    def _on_log_error(self, error: RecordLogError) -> None:
        if isinstance(error, DamagedLogError):
            self._refused_until_us = now_us() + ID_LIFETIME_US
        if LOG_LIMIT.allow(now_us()) >= 0:
            LOG.error("ids not shared", extra=fields(reason=error))

    def _drop_expired(self) -> None:
        oldest_us = now_us() - ID_LIFETIME_US
        while self.ids and next(iter(self.ids.values())) < oldest_us:
            self.ids.popitem(last=False)
