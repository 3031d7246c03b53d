"""The number of routers that share a budget: increased immediately, decreased late and only when certain.

A router that appears to have failed may only be unreachable, so it is counted until its leases have expired.
While this router may be on the smaller side of a network partition, no router is removed. A wrong count can
only leave budget unused.
"""

from __future__ import annotations

from dataclasses import dataclass

from lupintack.membership.changes import MembershipChange

REMOVAL_DELAY_US = 10_000_000


@dataclass(frozen=True, slots=True)
class FleetCounts:
    """The counts that replace those of the settings."""

    siblings: int
    by_zone: tuple[int, ...]
    position: int  # of this router in the sorted names


class RouterCounter:
    """The routers that may be alive, each until it was certainly absent for the removal delay."""

    def __init__(
        self, name: str, site: str, sites: tuple[str, ...], removal_delay_us: int = REMOVAL_DELAY_US
    ) -> None:
        """Count only the router `name` in `site`; `sites` gives the order of the zones."""
        self.name = name
        self.sites = sites
        self.removal_delay_us = removal_delay_us
        self.counted: dict[str, str] = {name: site}
        self.absent_since_us: dict[str, int] = {}  # counted routers that are no longer members
        self.is_certain = False
        self.published: FleetCounts | None = None

    def on_change(self, change: MembershipChange, now_us: int) -> None:
        """Apply a change of the members."""
        members = {member.name: member.site for member in change.members}
        self.counted.update(members)
        self.is_certain = not (change.is_minority or change.is_unacknowledged)
        for name in self.counted:
            if name in members or name == self.name:
                self.absent_since_us.pop(name, None)
            else:
                self.absent_since_us.setdefault(name, now_us)

    def counts_to_publish(self, now_us: int) -> FleetCounts | None:
        """Return the counts if they differ from the last ones returned, else None."""
        if self.is_certain:
            self._remove_absent(now_us)
        else:
            # The removal delay restarts: an absent router may be alive and only unreachable.
            self.absent_since_us = dict.fromkeys(self.absent_since_us, now_us)
        names = sorted(self.counted)
        by_zone = tuple(sum(site == zone for site in self.counted.values()) for zone in self.sites)
        counts = FleetCounts(len(names), by_zone, names.index(self.name))
        if counts == self.published:
            return None
        self.published = counts
        return counts

    def _remove_absent(self, now_us: int) -> None:
        for name, since_us in list(self.absent_since_us.items()):
            if now_us - since_us >= self.removal_delay_us:
                del self.absent_since_us[name], self.counted[name]
