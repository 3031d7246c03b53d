"""How long an endpoint list may be used after the last proof that it was current. Pure.

By the platform's protocol a change counts as notified at most 7 s later, whether its notice arrived or not;
the grace period for drains or purges begins then. A list that was current at some time may therefore be used
until that time plus both periods.
"""

from __future__ import annotations

from lupintack.interface import Settings

MAX_NOTICE_DELAY_US = 7_000_000
SAFETY_MARGIN_US = 200_000  # for a line's transfer, and from a call's check to its first byte


def validity_us(settings: Settings) -> int:
    """Return how long a proof is valid, in microseconds; the shorter of the two graces applies."""
    grace_ms = min(settings.drain_grace_ms, settings.purge_grace_ms)
    return MAX_NOTICE_DELAY_US + int(grace_ms * 1000) - SAFETY_MARGIN_US
