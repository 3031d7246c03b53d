"""The router's local cache, and the outgoing link that its copies are sent over.

The decision module chooses what is cached and when a copy is served. This module enforces the limits:
memory, purges, and the rate of the link, on which transfers follow one another in the order of their answers.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from lupintack.clock import UNIX_OFFSET_US, now_us
from lupintack.core.messages import Answer, ClientRequest
from lupintack.core.timestamps import CopyClock
from lupintack.interface import UNKNOWN_GROUP

MEMORY_SHARE = 0.15  # of the memory that the process leaves free; the bodies' overhead doubles it
PROCESS_MB = 24
COPY_OVERHEAD_BYTES = 600  # in addition to the body
NOT_MODIFIED_SIZE_DIVISOR = 20  # a not-modified answer counts as the body's size divided by this
MAX_PURGES = 4096
MAX_PROOF_AGE_US = 1_900_000  # with an older proof of the list, a purge may have been missed


NO_COPY_MS = -1.0  # in place of an age


@dataclass(slots=True)
class CachedCopy:
    """A cached part of an object.

    It was dropped at every purge of its group, of any group if that is UNKNOWN_GROUP, and of no other.
    `metadata_version`: until the next change of metadata, which may move it to a group that was purged
    before; None: its group can't change.
    """

    answer: Answer
    group: int
    metadata_version: int | None = None

    def may_serve(self, request: ClientRequest) -> bool:
        """Return whether every purge that concerns a request would have dropped the copy."""
        return self.group in (request.group, UNKNOWN_GROUP)


class Transfer(NamedTuple):
    """A copy to be sent; `not_modified`: the client already has the same copy."""

    answer: Answer
    not_modified: bool


def capacity_bytes(memory_mb: int) -> int:
    """Return how many bytes of copies a machine with this memory may hold."""
    return int(max(0, memory_mb - PROCESS_MB) * MEMORY_SHARE * 1e6)


class LocalCache:
    """Copies by object id and part, the least recently used first. Used by the core's turn alone."""

    def __init__(self, max_bytes: int, link_bytes_per_s: float, clock: CopyClock | None = None) -> None:
        """Start empty; `clock` estimates the age of copies by their timestamps."""
        self.max_bytes = max_bytes
        self.link_bytes_per_s = link_bytes_per_s
        self.copies: OrderedDict[tuple[int, int], CachedCopy] = OrderedDict()
        self.used_bytes = 0
        self.link_free_us = 0
        self.purged_unix_ms: OrderedDict[tuple[bool, int], float] = OrderedDict()
        self.last_group_purge_unix_ms = 0.0  # newest purge of any group
        self.last_purge_of_all_unix_ms = 0.0  # newest purge of every object
        self.clock = clock or CopyClock(UNIX_OFFSET_US)
        self.metadata_version: Callable[[], int] = lambda: 0  # of metadata that names groups, as it is now

    def age_ms(self, request: ClientRequest) -> float:
        """Return the age of the copy for a request, NO_COPY_MS if there is none."""
        copy = self._find(request)
        if copy is None or request.is_write:
            return NO_COPY_MS
        return self.clock.age_us(copy.answer.issued_ms * 1000, now_us()) / 1000.0

    def link_wait_ms(self, now_us: int) -> float:
        """Return how long a transfer that begins now waits for the link."""
        return max(0, self.link_free_us - now_us) / 1000.0

    def start_transfer(self, request: ClientRequest, now_us: int) -> Transfer | None:
        """Reserve the link for the copy of a request; return None if it is gone."""
        copy = self._find(request)
        if copy is None:
            return None
        self.copies.move_to_end((request.object_id, request.part))
        not_modified = request.cached_tags.match(copy.answer.tag)
        size = len(copy.answer.body) / (NOT_MODIFIED_SIZE_DIVISOR if not_modified else 1)
        self.link_free_us = max(self.link_free_us, now_us) + int(size / self.link_bytes_per_s * 1e6)
        return Transfer(copy.answer, not_modified)

    def _find(self, request: ClientRequest) -> CachedCopy | None:
        """Return the copy that may serve a request, None if there is none."""
        copy = self.copies.get((request.object_id, request.part))
        if copy is None or not copy.may_serve(request):
            return None
        return copy if self._is_current(copy.metadata_version) else None

    def _is_current(self, metadata_version: int | None) -> bool:
        return metadata_version is None or metadata_version == self.metadata_version()

    def store(self, request: ClientRequest, answer: Answer) -> None:
        """Cache an answer that has just been served, unless metadata may name another group by now."""
        if self._is_current(request.metadata_version):
            key = request.object_id, request.part
            self.put(key, request.group, answer, request.metadata_version)

    def put(
        self, key: tuple[int, int], group: int, answer: Answer, metadata_version: int | None = None
    ) -> None:
        """Cache a copy unless it predates a purge; evict the least recently used ones to make room."""
        size = len(answer.body) + COPY_OVERHEAD_BYTES
        purged_unix_ms = self._last_purge_unix_ms(key[0], group)
        if not answer.issued_ms or answer.issued_ms <= purged_unix_ms or size > self.max_bytes // 16:
            return
        if not self.clock.observe(answer.issued_ms * 1000, now_us()):
            return  # its age would be unknown
        self.remove(key)
        self.copies[key] = CachedCopy(answer, group, metadata_version)
        self.used_bytes += size
        while self.used_bytes > self.max_bytes:
            self.remove(next(iter(self.copies)))

    def _last_purge_unix_ms(self, object_id: int, group: int) -> float:
        """Return the Unix time of the last dated purge of an object of a group, 0 for none."""
        if group == UNKNOWN_GROUP:
            of_group = self.last_group_purge_unix_ms
        else:
            of_group = self.purged_unix_ms.get((False, group), 0.0)
        of_object = self.purged_unix_ms.get((True, object_id), 0.0)
        return max(self.last_purge_of_all_unix_ms, of_object, of_group)

    def set_max_bytes(self, max_bytes: int) -> None:
        """Change the capacity; evict the least recently used copies that exceed it."""
        self.max_bytes = max_bytes
        while self.used_bytes > self.max_bytes and self.copies:
            self.remove(next(iter(self.copies)))

    def remove(self, key: tuple[int, int]) -> None:
        """Remove the copy of an object's part, if there is one."""
        copy = self.copies.pop(key, None)
        if copy is not None:
            self.used_bytes -= len(copy.answer.body) + COPY_OVERHEAD_BYTES

    def purge(self, object_id: int | None, group: int, unix_ms: float | None) -> None:
        """Remove the copies of an object, or of a group where `object_id` is None, whatever their age.

        A purge of UNKNOWN_GROUP concerns every object. Answers that arrive later are cached if they were
        issued after the purge. `unix_ms`: the time of the purge by its sender's clock; None: unknown.
        """
        if unix_ms is not None:
            self._remember_purge(object_id, group, unix_ms)
        if (object_id is None and group == UNKNOWN_GROUP) or len(self.purged_unix_ms) > MAX_PURGES:
            self.copies.clear()
            self.purged_unix_ms.clear()
            self.used_bytes = 0
            return
        for copy_key, copy in list(self.copies.items()):
            is_concerned = (
                copy.group in (group, UNKNOWN_GROUP) if object_id is None else copy_key[0] == object_id
            )
            if is_concerned:
                self.remove(copy_key)

    def _remember_purge(self, object_id: int | None, group: int, unix_ms: float) -> None:
        key = (object_id is not None, group if object_id is None else object_id)
        self.purged_unix_ms[key] = max(unix_ms, self.purged_unix_ms.pop(key, 0.0))
        if object_id is None:
            self.last_group_purge_unix_ms = max(self.last_group_purge_unix_ms, unix_ms)
            if group == UNKNOWN_GROUP:
                self.last_purge_of_all_unix_ms = max(self.last_purge_of_all_unix_ms, unix_ms)
