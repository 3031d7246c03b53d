"""The membership of one router as a state machine without I/O: calls take the time and return actions.

The same code runs on sockets, on the lab's virtual clock and in tests. `tick` is due at `wake_us`; a late
call is treated as a pause of this process. No safety property of other modules depends on the membership.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from lupintack.membership.actions import Actions
from lupintack.membership.anti_entropy import AntiEntropy
from lupintack.membership.changes import FleetMember, MembershipChange
from lupintack.membership.config import MembershipConfig
from lupintack.membership.detector import FailureDetector, Probe
from lupintack.membership.local_state import LocalState
from lupintack.membership.messages import DropReason, FullState, Message, MessageKind, trusted_record
from lupintack.membership.outbox import Outbox
from lupintack.membership.probing import Prober
from lupintack.membership.reachability import OutboundReachability
from lupintack.membership.replay_filter import Arrival, ReplayFilter
from lupintack.membership.suspicions import SuspicionTracker
from lupintack.membership.view import TERMINAL_STATES, Record, State, View

if TYPE_CHECKING:
    from random import Random

REMOVAL_FANOUT = 2  # routers to which a removal is forwarded immediately


class Membership:
    """Composes the components of one router's membership and dispatches calls to them."""

    def __init__(
        self,
        me: Record,
        config: MembershipConfig,
        random: Random,
        seeds: Sequence[str],
        encoded_size: Callable[[Message], int],
    ) -> None:
        """Create the unstarted router `me`; `encoded_size` returns a message's size or an upper bound."""
        self.config = config
        self.state = LocalState(me, config)
        self.detector = FailureDetector(config, random)
        self.outbox = Outbox(self.state, random, encoded_size)
        self.prober = Prober(self.state, self.detector, self.outbox, random)
        self.suspicions = SuspicionTracker(self.state, self.detector, self.outbox)
        self.anti_entropy = AntiEntropy(self.state, self.outbox, random, seeds)
        self.reachability = OutboundReachability(config)
        self.replay_filter = ReplayFilter()
        self.drops: dict[DropReason, int] = dict.fromkeys(DropReason, 0)
        self.wake_us = 0

    @property
    def name(self) -> str:
        """The name of this router."""
        return self.state.name

    @property
    def me(self) -> Record:
        """The record of this router."""
        return self.state.me

    @property
    def view(self) -> View:
        """The records of all routers."""
        return self.state.view

    @property
    def is_minority(self) -> bool:
        """Whether this router may be on the smaller side of a network partition."""
        return self.suspicions.is_minority

    @property
    def is_superseded(self) -> bool:
        """Whether a later process has taken this router's name."""
        return self.state.is_superseded

    # Calls from outside

    def start(self, now_us: int) -> Actions:
        """Start with only this router in the view; the first exchange adds the others."""
        self.wake_us = self.outbox.push_refilled_us = now_us
        self.reachability.start(now_us)
        self.anti_entropy.start(now_us)
        self.state.merge(self.me, now_us)
        if not self.anti_entropy.seeds:
            self.state.set_own_state(State.ALIVE, now_us)
        return self.tick(now_us)

    def tick(self, now_us: int) -> Actions:
        """Run the steps that are due."""
        self._detect_local_pause(now_us)
        if not self.state.is_silent:
            self.anti_entropy.join(now_us)
            if self.state.observers_changed:
                self._update_observed(now_us)
            for probe in self.detector.due_probes(now_us):
                self._send_probe(probe)
            self._suspect_silent(now_us)
            self._decide_failures(now_us)
            self.anti_entropy.reconcile(now_us)
            self._update_own_state(now_us)
        self.state.expire(now_us)
        self._notify(now_us)
        self._schedule_wake(now_us)
        return self.outbox.take_actions()

    def receive(self, raw_length: int, message: Message, now_us: int) -> Actions:
        """Handle a message received in a datagram of `raw_length` bytes."""
        if self._detect_local_pause(now_us):
            self.wake_us = now_us
        arrival = self._classify(message)
        if isinstance(arrival, DropReason):
            self.count_drop(arrival)
        elif not self.state.is_silent:
            self._handle(raw_length, message, now_us, arrival)
        return self.outbox.take_actions()

    def on_probe_result(self, name: str, start: int, refused: bool, now_us: int) -> Actions:
        """Handle the result of a connection probe; any result but a refusal is ignored."""
        record = self.view.records.get(name)
        is_current = record is not None and record.start == start
        if refused and is_current and now_us >= self.state.listen_until_us:
            self.detector.mark_unreachable(name)
            self._suspect_silent(now_us)
            self._decide_failures(now_us)
            self._schedule_wake(now_us)
        return self.outbox.take_actions()

    def on_full_state(self, received: FullState, now_us: int) -> tuple[FullState, Actions]:
        """Merge the full state of a router that started an exchange; return the answer and the actions."""
        records = [trusted_record(record) for record in (*received.records, received.sender)]
        self._apply(records, now_us)
        missing = self.view.newer_than(records)[: self.config.exchange_batch]
        self._schedule_wake(now_us)
        return self.outbox.full_state(missing, is_answer=True), self.outbox.take_actions()

    def on_full_state_answer(self, received: FullState, now_us: int) -> Actions:
        """Merge the answer to an exchange that this router started; the first one completes a join."""
        self._apply([trusted_record(record) for record in (*received.records, received.sender)], now_us)
        if self.me.state is State.JOINING:
            self.state.set_own_state(State.ALIVE, now_us)
            self.outbox.push_gossip(now_us, self.config.push_fanout)
        self.state.observers_changed = True
        self._schedule_wake(now_us)
        return self.outbox.take_actions()

    def leave(self, now_us: int) -> Actions:
        """Announce that this router leaves, so that the others don't treat it as failed."""
        if not self.state.is_silent:
            self.state.set_own_state(State.LEFT, now_us)
            self.outbox.reset_push_allowance()
            self.outbox.push_gossip(now_us, self.config.push_fanout * 2)
            self.state.is_silent = True
        return self.outbox.take_actions()

    def rejoin(self, now_us: int) -> Actions:
        """Rejoin after this process has left."""
        if self.me.state is State.LEFT and not self.is_superseded:
            self.state.is_silent = False
            self.state.set_own_state(State.ALIVE, now_us)
            self.outbox.push_gossip(now_us, self.config.push_fanout)
            self._schedule_wake(now_us)
        return self.outbox.take_actions()

    def count_drop(self, reason: DropReason) -> None:
        """Count a dropped datagram."""
        self.drops[reason] += 1

    def current_change(self, joined: tuple[str, ...] = (), removed: tuple[str, ...] = ()) -> MembershipChange:
        """Return the members in the last notification, with the present certainty of the view."""
        state = self.state
        names = sorted(state.notifier.notified)
        return MembershipChange(
            view_id=state.view.id,
            members=tuple(FleetMember(name, state.site_of(name)) for name in names),
            joined=joined,
            removed=removed,
            suspect_count=len(state.view.suspects - {state.name}),
            is_minority=self.is_minority,
            is_unacknowledged=self.me.state is State.UNACKNOWLEDGED,
            number=state.notifier.change_count,
        )

    # Received messages and records

    def _classify(self, message: Message) -> Arrival | DropReason:
        if message.sender != self.name:
            record = self.view.records.get(message.sender)
            return self.replay_filter.accept(message, record.start if record is not None else 0)
        if message.start == self.me.start:
            return DropReason.SELF
        return Arrival.NEWEST if message.start > self.me.start else Arrival.OUT_OF_ORDER

    def _handle(self, raw_length: int, message: Message, now_us: int, arrival: Arrival) -> None:
        sender = trusted_record(message.sender_record())
        self._apply([sender, *map(trusted_record, message.records)], now_us)
        if self.state.is_silent:
            return  # superseded: a later process has this router's name
        if arrival is Arrival.NEWEST:
            self.reachability.last_received_us = now_us
            self.detector.mark_alive(message.sender, now_us)
            self.state.mark_alive(message.sender)
        start, incarnation, state = message.receiver_seen
        if start == self.me.start and state in (State.SUSPECT, State.FAILED, State.ENDED):
            self._refute(incarnation, now_us)
        self._handle_kind(raw_length, message, now_us)
        self.anti_entropy.track_divergence(message, now_us)

    def _handle_kind(self, raw_length: int, message: Message, now_us: int) -> None:
        match message.kind:
            case MessageKind.PING:
                self.outbox.send(
                    message.sender,
                    message.address,
                    MessageKind.ACK,
                    nonce=message.nonce,
                    max_bytes=raw_length,
                )
            case MessageKind.ACK:
                if self.prober.on_relayed_ack(message):
                    return
                if self.detector.on_ack(message.sender, message.nonce, now_us):
                    self.reachability.last_ack_us = now_us
            case MessageKind.PING_REQUEST:
                self.prober.relay_ping(message, now_us)
            case MessageKind.INDIRECT_ACK:
                if self.detector.on_ack(message.target, message.nonce, now_us, is_indirect=True):
                    self.state.mark_alive(message.target)
            case MessageKind.REPORT:
                self.suspicions.on_reports(message, now_us)
                self._decide_failures(now_us)

    def _apply(self, records: Sequence[Record], now_us: int) -> None:
        """Merge received records and queue new ones for gossip; push removals to some routers immediately."""
        has_removal = False
        for record in records:
            if record.name == self.name:
                self._on_own_record(record, now_us)
            elif self.state.merge(record, now_us) and record.state is not State.JOINING:
                self.state.gossip.add(record)
                has_removal |= record.state in TERMINAL_STATES
        if has_removal:
            self.outbox.push_gossip(now_us, REMOVAL_FANOUT)

    def _on_own_record(self, record: Record, now_us: int) -> None:
        state, me = self.state, self.me
        is_other_process = record.start == me.start and record.address != me.address
        if record.start > me.start or is_other_process:
            if me.state is State.JOINING:
                # The record belongs to an earlier process whose clock was ahead.
                state.me = me._replace(start=max(record.start, me.start) + 1)
                state.merge(state.me, now_us)
            elif record.start > me.start:
                state.merge(record, now_us)
                state.is_silent = state.is_superseded = True
        elif record.start == me.start and record.rank() > me.rank():
            self._refute(record.incarnation, now_us)

    def _refute(self, incarnation: int, now_us: int) -> None:
        """Refute a suspicion or removal of this router with a higher incarnation."""
        if self.me.state is State.LEFT or incarnation < self.me.incarnation or self.state.is_silent:
            return
        self.detector.health.degrade()
        self.state.me = self.me._replace(incarnation=incarnation)
        self.state.set_own_state(self.me.state, now_us)
        self.outbox.push_gossip(now_us, self.config.push_fanout)

    # Steps of a tick; the lab's baselines override some of them

    def _detect_local_pause(self, now_us: int) -> bool:
        gap_us = now_us - self.wake_us
        if gap_us <= self.config.pause_threshold_us:
            return False
        self._on_local_pause(gap_us, now_us)
        return True

    def _on_local_pause(self, gap_us: int, now_us: int) -> None:
        self.detector.on_local_pause(gap_us, now_us)
        self.state.arbiter.reports.clear()
        self.state.listen_until_us = now_us + self.config.listen_after_pause_us
        self.reachability.on_local_pause(gap_us)
        self.anti_entropy.on_local_pause()
        self.state.observers_changed = True

    def _update_observed(self, now_us: int) -> None:
        self.prober.update_observed(now_us)

    def _send_probe(self, probe: Probe) -> None:
        self.prober.send(probe)

    def _suspect_silent(self, now_us: int) -> None:
        self.suspicions.suspect_silent(now_us)

    def _decide_failures(self, now_us: int) -> None:
        self.suspicions.decide_failures(now_us)

    def _update_own_state(self, now_us: int) -> None:
        if self.reachability.is_unacknowledged(len(self.detector.observed), now_us):
            if self.me.state is State.ALIVE:
                self.state.set_own_state(State.UNACKNOWLEDGED, now_us)
        elif self.me.state is State.UNACKNOWLEDGED and self.reachability.is_acknowledged(now_us):
            self.state.set_own_state(State.ALIVE, now_us)

    def _notify(self, now_us: int) -> None:
        change = self.state.notifier.take_change(self.view, now_us)
        if change is not None:
            self.outbox.actions.changes.append(self.current_change(change.joined, change.removed))

    def _schedule_wake(self, now_us: int) -> None:
        latest_us = now_us + self.config.probe_interval_us // 4
        due_us = (
            self.detector.wake_us(),
            self.state.arbiter.wake_us(),
            self.state.notifier.wake_us(),
            self.anti_entropy.wake_us(),
        )
        self.wake_us = min([*(at_us for at_us in due_us if at_us > now_us), latest_us])
