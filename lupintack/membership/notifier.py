"""Notification of the membership's users: changes are batched until the view is stable."""

from __future__ import annotations

from typing import NamedTuple

from lupintack.membership.config import MembershipConfig
from lupintack.membership.view import View


class MembersChanged(NamedTuple):
    """The names that changed since the last notification; a restarted router counts as joined."""

    joined: tuple[str, ...]
    removed: tuple[str, ...]


class ChangeNotifier:
    """The members in the last notification, and whether they have changed since."""

    def __init__(self, config: MembershipConfig) -> None:
        """Start with an empty last notification."""
        self.config = config
        self.notified: dict[str, int] = {}  # start by name
        self.change_pending_us = 0  # time of the oldest pending change; 0 for none
        self.last_change_us = 0
        self.change_count = 0

    def on_merge(self, name: str, start: int, is_counted: bool, now_us: int) -> None:
        """Record that the record of `name` changed in the view."""
        if is_counted != (name in self.notified) or self.notified.get(name) != start:
            self.change_pending_us = self.change_pending_us or now_us
            self.last_change_us = now_us

    def take_change(self, view: View, now_us: int) -> MembersChanged | None:
        """Return the change to notify users of if a notification is due, else None."""
        if not self.change_pending_us or not self._is_due(view, now_us):
            return None
        members = {name: view.records[name].start for name in view.names}
        self.change_pending_us = 0
        if members == self.notified:
            return None
        self.change_count += 1
        joined = tuple(sorted(name for name, start in members.items() if self.notified.get(name) != start))
        removed = tuple(sorted(name for name in self.notified if name not in members))
        self.notified = members
        return MembersChanged(joined, removed)

    def _is_due(self, view: View, now_us: int) -> bool:
        if now_us - self.change_pending_us >= self.config.max_notification_delay_us:
            return True
        ripe_us = self.config.suspicion_ripe_us
        if any(now_us - view.since_us[name] >= ripe_us for name in view.suspects):
            return False
        return now_us - self.last_change_us >= self.config.notification_quiet_us

    def wake_us(self) -> int:
        """Return when a notification may be due, or 0 if none is pending."""
        if not self.change_pending_us:
            return 0
        return self.last_change_us + self.config.notification_quiet_us
