"""State shared by the components of a router's membership: its own record, the view and dependent tables."""

from __future__ import annotations

from lupintack.membership.config import MembershipConfig
from lupintack.membership.failure_arbiter import FailureArbiter
from lupintack.membership.gossip import GossipQueue
from lupintack.membership.notifier import ChangeNotifier
from lupintack.membership.observers import ObserverRings
from lupintack.membership.view import TERMINAL_STATES, Record, State, View


class LocalState:
    """The view of one router, kept consistent with the observer rings, the arbiter and the notifier."""

    def __init__(self, me: Record, config: MembershipConfig) -> None:
        """Start as a joining router with an empty view."""
        self.config = config
        self.name = me.name
        self.me = me._replace(state=State.JOINING)
        self.view = View(config.max_records, config.tombstone_ttl_us)
        self.rings = ObserverRings(config.ring_count)
        self.arbiter = FailureArbiter(config)
        self.gossip = GossipQueue(config)
        self.notifier = ChangeNotifier(config)
        self.recoveries: dict[str, list[int]] = {}  # times of the recoveries of removed routers, by name
        self.reasons: dict[str, str] = {}  # for operators: the observers that reported a router, and why
        self.reported_us: dict[str, int] = {}  # when this router last sent a report on a subject
        self.view_changed_us = 0
        self.observers_changed = True
        self.listen_until_us = 0  # after a local pause no router is suspected before this time
        self.is_silent = False  # superseded or left: no more messages are sent
        self.is_superseded = False

    def site_of(self, name: str) -> str:
        """Return the site of a router, "" for an unknown router."""
        record = self.view.records.get(name)
        return record.site if record is not None else ""

    def merge(self, record: Record, now_us: int) -> bool:
        """Merge a record into the view and the dependent tables; return whether anything changed."""
        name = record.name
        old = self.view.records.get(name)
        if not self.view.merge(record, now_us):
            return False
        is_counted = self.view.is_counted(name)
        self.view_changed_us = now_us
        if old is not None and old.state in TERMINAL_STATES and is_counted and old.start == record.start:
            self._add_recovery(name, now_us)
        if is_counted:
            self.rings.add(name)
        else:
            self.rings.remove(name)
        if record.state is not State.SUSPECT:
            self.arbiter.withdraw(name)
            self.reported_us.pop(name, None)
            if is_counted:
                self.reasons.pop(name, None)
        self.observers_changed = True
        self.notifier.on_merge(name, record.start, is_counted, now_us)
        return True

    def _add_recovery(self, name: str, now_us: int) -> None:
        window_us = self.config.recovery_window_us
        recent = [at_us for at_us in self.recoveries.get(name, []) if now_us - at_us < window_us]
        self.recoveries[name] = [*recent, now_us]

    def mark(self, record: Record, state: State, now_us: int) -> Record:
        """Set another router's state: merge the changed record, queue it for gossip and return it."""
        changed = record._replace(state=state)
        self.merge(changed, now_us)
        self.gossip.add(changed)
        return changed

    def set_own_state(self, state: State, now_us: int) -> None:
        """Change this router's own state, with the next incarnation."""
        self.me = self.me._replace(state=state, incarnation=self.me.incarnation + 1)
        self.merge(self.me, now_us)
        self.gossip.add(self.me)

    def mark_alive(self, name: str) -> None:
        """Withdraw this router's own report; the suspicion itself ends when the subject refutes it."""
        reports = self.arbiter.reports.get(name)
        if reports is not None:
            reports.pop(self.name, None)
        self.reported_us.pop(name, None)

    def expire(self, now_us: int) -> None:
        """Remove the records of routers that left or failed longer ago than the tombstone TTL."""
        for name in self.view.expire(now_us):
            self.recoveries.pop(name, None)
            self.reasons.pop(name, None)
