"""Purges and invalidations of upstream CDNs in this CDN. An invalidation is applied as a purge."""

from __future__ import annotations

import threading
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from lupintack.clock import now_us
from lupintack.core.member_table import MemberTable
from lupintack.fronts.cdni import messages
from lupintack.fronts.cdni.conf import Cdni, group_of_collection
from lupintack.fronts.cdni.metadata_store import MetadataStore

PURGE_TIMEOUT_US = 2_000_000  # a purge that is not in force by then has failed


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
    """Passes purges to the member table."""

    def __init__(self, conf: Cdni, member_table: MemberTable, store: MetadataStore) -> None:
        """`store`: the metadata of upstream CDNs, which a purge of metadata drops."""
        self._conf = conf
        self._member_table = member_table
        self._store = store

    def apply(self, spec: dict[str, Any], owner: str) -> AppliedPurge:
        """Pass the purges of a trigger specification to the member table; does not block.

        `owner`: the upstream CDN that sent it; content of others is not purged.
        """
        applied = AppliedPurge(now_us() + PURGE_TIMEOUT_US)
        self._store.drop(messages.read_texts(spec, "metadata.urls"))
        for url in messages.read_texts(spec, "content.urls"):
            content = self._conf.locate(url)
            if content is None or content.host.upstream not in ("", owner):
                applied.errors.append(
                    messages.error_description("eperm", "not this CDN's content", "content.urls", [url])
                )
                continue
            self._purge(applied, "content.urls", url, int(content.item, 16), 0)
        for ccid in messages.read_texts(spec, "content.ccid"):
            self._purge(applied, "content.ccid", ccid, None, group_of_collection(ccid))
        return applied

    def _purge(
        self, applied: AppliedPurge, selector: str, value: str, object_id: int | None, group: int
    ) -> None:
        in_force = threading.Event()
        self._member_table.purge(object_id, group, None, in_force.set)
        applied.pending.append(PendingPurge(in_force, selector, value))
