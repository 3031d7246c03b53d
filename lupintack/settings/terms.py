"""Converts the operator's records to the terms that decisions take, in their units."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lupintack.limits.streams import StreamTerms

if TYPE_CHECKING:
    from lupintack.budgets.terms import Terms as BudgetTerms
    from lupintack.membership.config import MembershipConfig
    from lupintack.settings.operator import Budgets, Http2, Membership


def stream_terms(table: Http2) -> StreamTerms:
    """Return the limits of the HTTP/2 front."""
    return StreamTerms(
        streams=table.streams,
        share=table.share_percent / 100,
        open_requests=table.open_requests,
        stream_bytes=table.stream_kib * 1024,
        connection_bytes=table.connection_kib * 1024,
        all_bytes=table.all_kib * 1024,
        window_shut_us=table.window_shut_ms * 1000,
        crawl_bytes=table.crawl_bytes,
        body_us=table.body_ms * 1000,
        first_us=table.first_ms * 1000,
        idle_us=table.idle_ms * 1000,
        age_us=table.age_s * 1_000_000,
        age_jitter=table.age_jitter_percent / 100,
        resets_per_s=table.resets_per_s,
        resets_burst=table.resets_burst,
        controls_per_s=table.controls_per_s,
        controls_burst=table.controls_burst,
        windows_per_s=table.windows_per_s,
        windows_burst=table.windows_burst,
    )


def budget_terms(table: Budgets) -> BudgetTerms:
    """Return the terms of the budgets; values without a key are derived from those that have one."""
    from lupintack.budgets.terms import Terms

    promise, lease = table.promise_ms * 1000, table.lease_ms * 1000
    return Terms(
        promise_us=promise,
        lease_us=lease,
        drift_ppm=table.drift_ppm,
        renew_interval_us=promise // 3,
        request_interval_us=lease * 3 // 16,
        retry_us=lease // 20,
        round_timeout_us=promise // 4,
        candidacy_delay_us=promise // 6,
        share_interval_us=lease // 40,
    )


def membership_terms(table: Membership) -> MembershipConfig:
    """Return the terms of the membership; values without a key are derived from those that have one."""
    from lupintack.membership.config import MembershipConfig

    probe = table.probe_ms * 1000
    return MembershipConfig(
        probe_interval_us=probe,
        ring_count=table.rings,
        suspicion_timeout_us=table.suspect_ms * 1000,
        failure_timeout_us=table.fail_ms * 1000,
        max_failure_timeout_us=max(table.fail_ms, table.fail_most_ms) * 1000,
        report_interval_us=probe,
        report_ttl_us=probe * 5 // 2,
        pause_threshold_us=probe * 7 // 10,
        listen_after_pause_us=probe * 6 // 5,
        suspicion_ripe_us=table.fail_ms * 1000 * 6 // 10,
    )
