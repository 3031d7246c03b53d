"""Members that operators exclude and include again. Pure; times are Unix ms and passed as arguments.

Bans are a set, not a count: one inclusion cancels any number of exclusions. They override the member list,
whatever its source.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field

from lupintack.interface import MemberState

FORMAT_VERSION = 1
MAX_NAME_CHARS = 256
MAX_EXCLUDED_MEMBERS = 4096
MAX_UNIX_MS = 1e15
INCLUSION_MEMORY_MS = 600_000.0  # longer than any slow start; until then inclusion counts as a restart


class BansError(ValueError):
    """Raised for stored bans that can't be parsed; the text gives the reason."""


@dataclass
class Bans:
    """Excluded members and recently included ones, each with the time of the change."""

    excluded: dict[str, float] = field(default_factory=dict)
    included: dict[str, float] = field(default_factory=dict)

    def exclude(self, name: str, now_ms: float) -> bool:
        """Exclude a member; return whether that changed anything."""
        if name in self.excluded:
            return False
        self.excluded[name] = now_ms
        self.included.pop(name, None)
        return True

    def include(self, name: str, now_ms: float) -> bool:
        """Include a member after any number of exclusions; return whether that changed anything."""
        self.included = {
            other: at_ms
            for other, at_ms in self.included.items()
            if 0 <= now_ms - at_ms < INCLUSION_MEMORY_MS
        }
        if self.excluded.pop(name, None) is None:
            return False
        self.included[name] = now_ms
        return True

    def apply_to(self, name: str, state: MemberState, started_ms: float) -> tuple[MemberState, float]:
        """Return the effective state and start time of a member that is listed with these.

        An excluded member is draining, even if it is listed as ready. An included member may have been
        restarted while it was excluded, so it warms up from its inclusion or from a later start in the list.
        """
        if name in self.excluded:
            return (MemberState.DRAINING if state is MemberState.READY else state), started_ms
        return state, max(started_ms, self.included.get(name, 0.0))

    def dump(self) -> bytes:
        """Return the bans as one line of JSON, as they are stored."""
        stored = {"bans": FORMAT_VERSION, "out": self.excluded, "back": self.included}
        return json.dumps(stored, sort_keys=True).encode() + b"\n"


def parse(text: bytes) -> Bans:
    """Parse stored bans; raise BansError if the text is not valid."""
    try:
        data = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise BansError(f"not JSON: {error}" if text.strip() else "empty") from None
    if not isinstance(data, dict) or data.get("bans") != FORMAT_VERSION:
        raise BansError(f"not a state of bans of version {FORMAT_VERSION}")
    return Bans(excluded=_parse_times(data, "out"), included=_parse_times(data, "back"))


def _parse_times(data: dict[str, object], key: str) -> dict[str, float]:
    """Parse one table of change times by member name."""
    table = data.get(key)
    if not isinstance(table, dict) or len(table) > MAX_EXCLUDED_MEMBERS:
        raise BansError(f"{key}: expected an object of at most {MAX_EXCLUDED_MEMBERS} members")
    for name, at_ms in table.items():
        # The negated comparison also rejects NaN.
        if isinstance(at_ms, bool) or not isinstance(at_ms, (int, float)) or not abs(at_ms) < MAX_UNIX_MS:
            raise BansError(f"{key}: {name[:40]!r}: expected a Unix time in ms, not {at_ms!r}")
    return {str(name): float(at_ms) for name, at_ms in table.items()}
