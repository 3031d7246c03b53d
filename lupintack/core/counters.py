"""Counters of requests, attempts and answers."""

from __future__ import annotations

from collections import Counter


class Counters(Counter[str]):
    """Counts by name, without a lock: a lost increment is harmless, a lock on every request is not."""

    def increment(self, name: str) -> None:
        """Add one to a counter."""
        self[name] += 1

    def as_log_fields(self) -> dict[str, object]:
        """Return all counts, sorted by name, for a log line."""
        return dict(sorted(self.items()))
