"""The router's local cache, and the outgoing link that its copies are sent over.

The decision module chooses what is cached and when a copy is served. This module enforces the limits:
memory, purges, and the rate of the link, on which transfers follow one another in the order of their answers.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

from lupintack.clock import UNIX_OFFSET_US, now_us
from lupintack.core.messages import Answer, ClientRequest
from lupintack.core.timestamps import CopyClock

MEMORY_SHARE = 0.15  # of the memory that the process leaves free; the bodies' overhead doubles it
PROCESS_MB = 24
COPY_OVERHEAD_BYTES = 600  # in addition to the body
NOT_MODIFIED_SIZE_DIVISOR = 20  # a not-modified answer counts as the body's size divided by this
MAX_PURGES = 4096
MAX_PROOF_AGE_US = 1_900_000  # with an older proof of the list, a purge may have been missed


NO_COPY_MS = -1.0  # in place of an age


@dataclass(slots=True)
class CachedCopy:
    """A cached part of an object."""

    answer: Answer
    group: int


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
        self.clock = clock or CopyClock(UNIX_OFFSET_US)

    def age_ms(self, request: ClientRequest) -> float:
        """Return the age of the copy for a request, NO_COPY_MS if there is none."""
        copy = self.copies.get((request.object_id, request.part))
        if copy is None or request.is_write:
            return NO_COPY_MS
        return self.clock.age_us(copy.answer.issued_ms * 1000, now_us()) / 1000.0

    def link_wait_ms(self, now_us: int) -> float:
        """Return how long a transfer that begins now waits for the link."""
        return max(0, self.link_free_us - now_us) / 1000.0

    def start_transfer(self, request: ClientRequest, now_us: int) -> Transfer | None:
        """Reserve the link for the copy of a request; return None if it is gone."""
        copy = self.copies.get((request.object_id, request.part))
        if copy is None:
            return None
        self.copies.move_to_end((request.object_id, request.part))
        not_modified = bool(request.cached_tag) and request.cached_tag == copy.answer.tag
        size = len(copy.answer.body) / (NOT_MODIFIED_SIZE_DIVISOR if not_modified else 1)
        self.link_free_us = max(self.link_free_us, now_us) + int(size / self.link_bytes_per_s * 1e6)
        return Transfer(copy.answer, not_modified)

    def store(self, request: ClientRequest, answer: Answer) -> None:
        """Cache an answer that has just been served."""
        self.put((request.object_id, request.part), request.group, answer)

    def put(self, key: tuple[int, int], group: int, answer: Answer) -> None:
        """Cache a copy unless it predates a purge; evict the least recently used ones to make room."""
        size = len(answer.body) + COPY_OVERHEAD_BYTES
        purge = max(
            self.purged_unix_ms.get((True, key[0]), 0.0), self.purged_unix_ms.get((False, group), 0.0)
        )
        if not answer.issued_ms or answer.issued_ms <= purge or size > self.max_bytes // 16:
            return
        if not self.clock.observe(answer.issued_ms * 1000, now_us()):
            return  # its age would be unknown
        self.remove(key)
        self.copies[key] = CachedCopy(answer, group)
        self.used_bytes += size
        while self.used_bytes > self.max_bytes:
            self.remove(next(iter(self.copies)))

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

        Answers that arrive later are cached if they were issued after the purge. `unix_ms`: the time of the
        purge by its sender's clock; None: unknown.
        """
        key = (object_id is not None, group if object_id is None else object_id)
        if unix_ms is not None:
            self.purged_unix_ms[key] = max(unix_ms, self.purged_unix_ms.pop(key, 0.0))
        if len(self.purged_unix_ms) > MAX_PURGES:
            self.copies.clear()
            self.purged_unix_ms.clear()
            self.used_bytes = 0
            return
        for copy_key, copy in list(self.copies.items()):
            is_concerned = copy.group == group if object_id is None else copy_key[0] == object_id
            if is_concerned:
                self.remove(copy_key)
