"""Purges and invalidations of upstream CDNs in this CDN. An invalidation is applied as a purge.

A purge binds all processes of the router: it is in the shared log before its sender has an answer, and the
other processes write nothing until they have read it there.
"""

from __future__ import annotations

import logging
import threading
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from lupintack.clock import now_us
from lupintack.core.member_table import MemberTable
from lupintack.core.record_log import DamagedLogError, RecordLog, RecordLogError
from lupintack.fronts.cdni import messages
from lupintack.fronts.cdni.conf import Cdni, group_of_collection
from lupintack.fronts.cdni.metadata_store import MetadataStore
from lupintack.fronts.cdni.purge_notice import NoticeError, PurgeNotice, decode_notice
from lupintack.interface import UNKNOWN_GROUP
from lupintack.logs import fields

LOG = logging.getLogger("triggers")
PURGE_TIMEOUT_US = 2_000_000  # a purge that is not in force by then has failed
NOTICE_MARGIN_US = 10_000_000  # for a process that starts late, or other settings
LONG_AGO_US = 0  # so that nothing is written until the table has a notice


class PendingPurge(NamedTuple):
    """A purge of one selector's value, and the event that is set once it is in force."""

    in_force: threading.Event
    selector: str
    value: str


@dataclass(slots=True)
class AppliedPurge:
    """What a trigger has passed to the member table, and what of it was rejected."""

    deadline_us: int
    pending: list[PendingPurge] = field(default_factory=list)
    errors: list[dict[str, Any]] = field(default_factory=list)

    def await_in_force(self) -> list[dict[str, Any]]:
        """Wait until every later attempt heeds the purges, or for the deadline; return the errors."""
        errors = list(self.errors)
        for purge in self.pending:
            if not purge.in_force.wait(max(0.0, (self.deadline_us - now_us()) / 1e6)):
                text = "the purge does not hold yet"
                errors.append(messages.error_description("ecdn", text, purge.selector, [purge.value]))
        return errors


class Purges:
    """Passes purges to the member table, and to the router's other processes."""

    def __init__(
        self, conf: Cdni, member_table: MemberTable, store: MetadataStore, log: RecordLog | None = None
    ) -> None:
        """`store`: the metadata of upstream CDNs, which a purge of metadata drops.

        `log`: shared with the router's other processes; None: there is never another one.
        """
        self._conf = conf
        self._member_table = member_table
        self._store = store
        self._log = log

    def apply(self, spec: dict[str, Any], owner: str) -> AppliedPurge:
        """Apply the purges of a trigger specification here, and share them.

        `owner`: the upstream CDN that sent it; content of others is not purged. Raises RecordLogError if they
        can't be shared: they are in force in this process, and the sender has to try again.
        """
        applied = AppliedPurge(now_us() + PURGE_TIMEOUT_US)
        metadata_urls = messages.read_texts(spec, "metadata.urls")
        object_ids = self._read_objects(spec, owner, applied)
        groups = {ccid: group_of_collection(ccid) for ccid in messages.read_texts(spec, "content.ccid")}
        notice = PurgeNotice(
            now_us(), tuple(object_ids.values()), tuple(groups.values()), drops_metadata=bool(metadata_urls)
        )
        self._store.drop(metadata_urls)
        for url, object_id in object_ids.items():
            self._purge(applied, "content.urls", url, object_id, 0)
        for ccid, group in groups.items():
            self._purge(applied, "content.ccid", ccid, None, group)
        self._share(notice)
        return applied

    def share_dropped_metadata(self) -> None:
        """Tell the other processes that documents have changed; raise RecordLogError if that fails."""
        self._share(PurgeNotice(now_us(), drops_metadata=True))

    def poll(self) -> None:
        """Apply what other processes have shared; raise RecordLogError if that can't be read now."""
        if self._log is not None and self._log.has_unread():
            self._log.poll(self._on_record)
            self._member_table.release_held_back()

    def assume_all_purged(self) -> None:
        """Purge everything: another process may have taken purges of which this one can't hear."""
        self._store.drop_all()
        self._member_table.purge(None, UNKNOWN_GROUP, None)

    def _read_objects(self, spec: dict[str, Any], owner: str, applied: AppliedPurge) -> dict[str, int]:
        """Return the object ids of a trigger's content by URL; record an error for what may not be purged."""
        object_ids: dict[str, int] = {}
        for url in messages.read_texts(spec, "content.urls"):
            content = self._conf.locate(url)
            if content is None or content.host.upstream not in ("", owner):
                applied.errors.append(
                    messages.error_description("eperm", "not this CDN's content", "content.urls", [url])
                )
                continue
            object_ids[url] = int(content.item, 16)
        return object_ids

    def _purge(
        self, applied: AppliedPurge, selector: str, value: str, object_id: int | None, group: int
    ) -> None:
        in_force = threading.Event()
        self._member_table.purge(object_id, group, None, in_force.set)
        applied.pending.append(PendingPurge(in_force, selector, value))

    def _share(self, notice: PurgeNotice) -> None:
        if self._log is None or not (notice.object_ids or notice.groups or notice.drops_metadata):
            return
        lifetime_us = self._member_table.purge_memory.settle_us + NOTICE_MARGIN_US
        try:
            self._log.update(self._on_record, notice.encode, lifetime_us)
        except RecordLogError as error:
            LOG.error("purge not shared", extra=fields(reason=error))
            if isinstance(error, DamagedLogError):
                self.assume_all_purged()
            raise
        self._member_table.release_held_back()

    def _on_record(self, raw: bytes) -> None:
        """Apply a notice of another process."""
        try:
            notice = decode_notice(raw)
        except NoticeError as error:  # of a version that says more than this one understands
            LOG.error("purge notice not understood", extra=fields(reason=error))
            self.assume_all_purged()
            return
        read = self._member_table.begin_read(LONG_AGO_US)
        if notice.drops_metadata:
            self._store.drop_all()
        for object_id in notice.object_ids:
            self._member_table.purge(object_id, 0, None, told_us=notice.told_us)
        for group in notice.groups:
            self._member_table.purge(None, group, None, told_us=notice.told_us)
        self._member_table.end_read(read)
        details = {"objects": len(notice.object_ids), "groups": len(notice.groups)}
        LOG.info("purges of another process", extra=fields(**details, metadata=notice.drops_metadata))
