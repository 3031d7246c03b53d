"""Trigger Status Resources (RFC 8007): one for each trigger that an upstream CDN has sent."""

from __future__ import annotations

import threading
from dataclasses import dataclass, field
from typing import Any

from lupintack.fronts.cdni.purges import AppliedPurge

PREPOSITION = "preposition"
TRIGGER_TYPES = (PREPOSITION, "invalidate", "purge")
SELECTORS = ("metadata.urls", "content.urls", "content.ccid", "metadata.patterns", "content.patterns")
PATTERN_SELECTORS = SELECTORS[3:]
SUCCESSFUL_STATUSES = ("complete", "processed")
FINAL_STATUSES = (*SUCCESSFUL_STATUSES, "failed", "cancelled")
ErrorDescription = dict[str, Any]  # an Error Description object, as it is sent


@dataclass(slots=True, eq=False)
class Resource:
    """A Trigger Status Resource. Its parts are executed here and at each downstream CDN, independently."""

    number: int
    spec: dict[str, Any]
    cdn_path: list[str]
    owner: str
    created: int
    taken_us: int
    changed: int = 0
    status: str = "pending"
    errors: list[ErrorDescription] = field(default_factory=list)
    open_parts: int = 1
    part_errors: list[ErrorDescription] = field(default_factory=list)  # of parts that have ended
    applied_purge: AppliedPurge | None = None  # of a purge or an invalidation
    cancelled: threading.Event = field(default_factory=threading.Event)

    @property
    def is_preposition(self) -> bool:
        """Whether the trigger fetches content, rather than purging it."""
        return bool(self.spec["type"] == PREPOSITION)

    def to_json(self) -> dict[str, Any]:
        """Return the Trigger Status Resource object of RFC 8007."""
        fields = {"trigger": self.spec, "ctime": self.created, "mtime": self.changed, "status": self.status}
        return {**fields, "errors": self.errors} if self.errors else fields
