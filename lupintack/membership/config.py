"""Settings of the membership. Times are integer microseconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipConfig:
    """The settings of one router's membership; routers with different settings interoperate."""

    # Health checks
    probe_interval_us: int = 1_000_000  # between two probes of one router
    ring_count: int = 6  # number of observers of each member
    indirect_probe_count: int = 3  # routers asked to ping a subject whose ack is missing
    min_ack_timeout_us: int = 60_000
    max_ack_timeout_us: int = 2_500_000

    # Failure detection
    suspicion_timeout_us: int = 2_000_000  # silence before an observer reports a subject
    failure_timeout_us: int = 6_500_000  # silence when all observers agree; a process may pause for 5 s
    max_failure_timeout_us: int = 10_000_000  # silence when only a quorum agrees
    report_interval_us: int = 1_000_000  # between two reports of one observer on one subject
    report_ttl_us: int = 2_500_000
    quorum_share: float = 0.6  # of a subject's observers
    decision_delay_us: int = 300_000  # groups decisions made close together in time
    max_decision_delay_us: int = 1_500_000
    suspicion_settle_us: int = 1_500_000  # newer suspicions: the extent of a partition is still unknown
    max_suspicion_settle_us: int = 4_000_000  # beyond the failure timeout
    recovery_timeout_factor: float = 2.0  # multiplies a router's timeout for each recent recovery
    recovery_window_us: int = 60_000_000

    # This process's own health
    pause_threshold_us: int = 700_000  # a tick later than this means that the process was paused
    listen_after_pause_us: int = 1_200_000
    max_health_score: int = 8

    # Gossip and anti-entropy
    max_datagram_bytes: int = 1200
    gossip_factor: float = 2.0  # times log2 of the member count: how often one change is sent
    push_fanout: int = 3  # routers to which a decision is sent immediately
    push_bytes_per_s: float = 1500.0
    push_burst_bytes: float = 6000.0
    divergence_us: int = 2_500_000  # time that views differ before full states are exchanged
    exchange_interval_us: int = 4_000_000
    join_interval_us: int = 1_000_000  # the initial interval; it backs off

    # Tables
    max_records: int = 4096
    tombstone_ttl_us: int = 600_000_000  # time that the record of a router that left or failed is kept
    exchange_batch: int = 4096  # records in an exchange

    # Notification of users
    notification_quiet_us: int = 500_000  # without further changes, before users are notified
    suspicion_ripe_us: int = 4_000_000  # a notification waits for suspicions at least this old: they end soon
    max_notification_delay_us: int = 3_000_000
