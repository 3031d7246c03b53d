"""Detection of a one-way partition: this router receives messages, but none of its own are answered."""

from __future__ import annotations

from lupintack.membership.config import MembershipConfig


class OutboundReachability:
    """The times of the last ack and of the last received message."""

    def __init__(self, config: MembershipConfig) -> None:
        """Start at time 0; `start` sets the current time."""
        self.config = config
        self.last_ack_us = 0
        self.last_received_us = 0

    def start(self, now_us: int) -> None:
        """Set both times to `now_us`."""
        self.last_ack_us = self.last_received_us = now_us

    def on_local_pause(self, gap_us: int) -> None:
        """Exclude a pause of this process from the time without acks."""
        self.last_ack_us += gap_us

    def is_unacknowledged(self, observed_count: int, now_us: int) -> bool:
        """Return whether messages are received while all probes are unanswered."""
        return (
            now_us - self.last_ack_us > 2 * self.config.suspicion_timeout_us
            and now_us - self.last_received_us < self.config.probe_interval_us * 2
            and observed_count > 1
        )

    def is_acknowledged(self, now_us: int) -> bool:
        """Return whether a probe was answered within the last interval."""
        return now_us - self.last_ack_us < self.config.probe_interval_us
