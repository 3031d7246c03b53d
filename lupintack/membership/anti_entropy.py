"""Anti-entropy: full-state exchanges of diverged views, joining through seeds, probes of failed routers."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from lupintack.membership.local_state import LocalState
from lupintack.membership.messages import Message, MessageKind
from lupintack.membership.outbox import Outbox
from lupintack.membership.probing import NONCE_BITS
from lupintack.membership.view import State

if TYPE_CHECKING:
    from random import Random

FAILED_PROBE_INTERVAL_US = 10_000_000  # a failed router is reachable again once a network partition heals
MAX_JOIN_BACKOFF = 8  # as a multiple of `join_interval_us`
MEMBERS_PER_SEED_PING = 6  # limits the rate of pings that a seed of a large fleet receives


class AntiEntropy:
    """Reconciles views that gossip alone would leave different."""

    def __init__(self, state: LocalState, outbox: Outbox, random: Random, seeds: Sequence[str]) -> None:
        """Start with the addresses of the configured seeds."""
        self.state = state
        self.config = state.config
        self.outbox = outbox
        self.random = random
        self.seeds = tuple(seeds)
        self.diverged_since_us = 0  # since when other views have differed; 0: they agree
        self.last_divergence_us = 0
        self.diverged_from = ""
        self.next_exchange_us = 0
        self.next_failed_probe_us = 0
        self.next_join_us = 0
        self.join_backoff_us = self.config.join_interval_us

    def start(self, now_us: int) -> None:
        """Schedule the first join attempt and the first probe of a failed router."""
        self.next_join_us = now_us
        self.next_failed_probe_us = now_us + FAILED_PROBE_INTERVAL_US

    def _jittered(self, interval_us: int) -> int:
        """Return 75 to 125 percent of an interval, so that routers don't act in step."""
        return int(interval_us * (0.75 + self.random.random() / 2))

    def on_local_pause(self) -> None:
        """Reset the divergence: messages missed during the pause are still being received."""
        self.diverged_since_us = 0

    def track_divergence(self, message: Message, now_us: int) -> None:
        """Compare the sender's view with the local one, and record since when views have differed.

        The divergence ends only after no differing view was received for two probe intervals: matching
        messages from a router with the same wrong view must not hide that the others differ.
        """
        if message.view_id != self.state.view.id:
            self.diverged_since_us = self.diverged_since_us or now_us
            self.diverged_from, self.last_divergence_us = message.sender, now_us
        elif now_us - self.last_divergence_us > 2 * self.config.probe_interval_us:
            self.diverged_since_us = 0

    def reconcile(self, now_us: int) -> None:
        """Exchange full states after a lasting divergence, and probe a failed router at intervals."""
        if self.diverged_since_us:
            # While the local view still changes, gossip may be delivering the missing records.
            stable_since_us = max(self.diverged_since_us, self.state.view_changed_us)
            if now_us - stable_since_us >= self.config.divergence_us and now_us >= self.next_exchange_us:
                self._exchange_with_diverged(now_us)
        if now_us >= self.next_failed_probe_us:
            self._probe_failed(now_us)

    def _exchange_with_diverged(self, now_us: int) -> None:
        partner = self.state.view.records.get(self.diverged_from)
        if partner is not None and partner.name not in (self.state.name, *self.state.view.suspects):
            self._begin_exchange(partner.name, partner.address, now_us)
        self.diverged_since_us = 0

    def _probe_failed(self, now_us: int) -> None:
        self.next_failed_probe_us = now_us + self._jittered(FAILED_PROBE_INTERVAL_US)
        view = self.state.view
        failed = [name for name in view.terminal_since_us if view.records[name].state is not State.LEFT]
        if failed:
            record = view.records[self.random.choice(failed)]
            nonce = self.random.getrandbits(NONCE_BITS)
            self.outbox.send(record.name, record.address, MessageKind.PING, nonce)

    def _begin_exchange(self, name: str, address: str, now_us: int) -> None:
        self.next_exchange_us = now_us + self._jittered(self.config.exchange_interval_us)
        records = list(self.state.view.records.values())[: self.config.exchange_batch]
        self.outbox.add_exchange(name, address, self.outbox.full_state(records))

    def _is_alone(self) -> bool:
        return self.state.me.state is State.JOINING or len(self.state.view.names) < 2

    def join(self, now_us: int) -> None:
        """Contact a seed: with a full-state exchange while this router is alone, otherwise with a ping.

        The pings prevent separate fleets: routers that start at the same time may each find only some of
        the others, and no router of one group would ever contact another group.
        """
        if not self.seeds or now_us < self.next_join_us:
            return
        seed = self.random.choice(self.seeds)
        if self._is_alone():
            max_backoff = MAX_JOIN_BACKOFF
            self._begin_exchange("", seed, now_us)
        else:
            max_backoff = max(4 * MAX_JOIN_BACKOFF, len(self.state.view.names) // MEMBERS_PER_SEED_PING)
            self.outbox.send("", seed, MessageKind.PING, self.random.getrandbits(NONCE_BITS))
        self.next_join_us = now_us + self._jittered(self.join_backoff_us)
        self.join_backoff_us = min(self.join_backoff_us * 2, self.config.join_interval_us * max_backoff)

    def wake_us(self) -> int:
        """Return when the next join attempt is due, or 0 for a router that has joined."""
        return self.next_join_us if self.seeds and self._is_alone() else 0
