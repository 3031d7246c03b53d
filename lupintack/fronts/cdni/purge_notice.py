"""The notice by which one process of a router tells the others of purges by CDNI."""

from __future__ import annotations

import json
from dataclasses import dataclass


class NoticeError(ValueError):
    """A record is not a notice of this version."""


@dataclass(frozen=True, slots=True)
class PurgeNotice:
    """Purges that were taken together; `told_us`: when, on the machine's monotonic clock."""

    told_us: int
    object_ids: tuple[int, ...] = ()
    groups: tuple[int, ...] = ()
    drops_metadata: bool = False  # documents of upstream CDNs have changed; all are fetched again

    def encode(self) -> bytes:
        """Return the record."""
        return json.dumps([self.told_us, self.object_ids, self.groups, self.drops_metadata]).encode()


def decode_notice(raw: bytes) -> PurgeNotice:
    """Return the notice in a record; raise NoticeError if it is none."""
    try:
        told_us, object_ids, groups, drops_metadata = json.loads(raw)
        numbers = [told_us, *object_ids, *groups]
    except (ValueError, TypeError, RecursionError) as error:
        raise NoticeError(f"not a purge notice: {error}") from None
    if type(drops_metadata) is not bool or any(type(number) is not int for number in numbers):
        raise NoticeError(f"not a purge notice: {raw[:80]!r}")
    return PurgeNotice(told_us, tuple(object_ids), tuple(groups), drops_metadata)
