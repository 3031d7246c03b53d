"""Retries of the client library: whether and when the next attempt is sent. No I/O, no clock.

Attempts that were not processed may be retried in every class. A class that is not idempotent (alert-ack) may
not retry an attempt whose bytes may have been sent and which got no response: it may have run. Retries draw
on a budget that first attempts fill: when a site is down, all clients together add at most that share to its
load (the retry budget of Finagle, as a token bucket).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

MILLION = 1_000_000


class ClientAttemptResult(Enum):
    """How one attempt of a client ended."""

    SERVED = auto()
    NOT_MODIFIED = auto()  # the client's own copy is current
    REJECTED = auto()  # 429 or 503: a retry is safe
    FAILED = auto()  # any other status: a write may have run
    NOT_PROCESSED = auto()  # proven: connect refused, REFUSED_STREAM, above GOAWAY's last id, not written
    UNKNOWN = auto()  # reset or timeout after bytes may have been sent


FINAL_RESULTS = frozenset((ClientAttemptResult.SERVED, ClientAttemptResult.NOT_MODIFIED))
SAFE_TO_RETRY = frozenset((ClientAttemptResult.REJECTED, ClientAttemptResult.NOT_PROCESSED))


@dataclass(frozen=True, slots=True)
class RetryTerms:
    """The bounds of retries; times in microseconds. Part of the client library's public interface."""

    tries: int = 4  # including the first
    share: float = 0.2  # retries that a first attempt earns
    saved: int = 10  # most retries the budget holds; it starts full
    base_us: int = 50_000  # the first backoff without a Retry-After; it doubles
    most_us: int = 2_000_000
    jitter: float = 0.5  # largest random share of a delay that is added to it
    least_us: int = 20_000  # no attempt starts with less time before the deadline


class RetryBudget:
    """The retries of one client."""

    def __init__(self, terms: RetryTerms = RetryTerms()) -> None:  # noqa: B008 - it is frozen
        """Start with a full budget."""
        self.terms = terms
        self.saved_millionths = terms.saved * MILLION
        self.granted = 0
        self.withheld = 0

    def on_first_attempt(self) -> None:
        """Add the share of a retry that a first attempt earns."""
        self.saved_millionths = min(
            self.terms.saved * MILLION, self.saved_millionths + int(self.terms.share * MILLION)
        )

    def next_attempt_us(
        self,
        result: ClientAttemptResult,
        is_idempotent: bool,
        attempts: int,
        retry_after_us: int,
        now_us: int,
        deadline_us: int,
        draw: float,
    ) -> int | None:
        """Return when the next attempt starts, or None when this result is final.

        `attempts` counts the attempts made, `retry_after_us` is the router's Retry-After (0: none), `draw` is
        a random number in [0, 1). The first retry of an attempt that was not processed does not use the
        budget.
        """
        terms = self.terms
        if (
            result in FINAL_RESULTS
            or attempts >= terms.tries
            or not (is_idempotent or result in SAFE_TO_RETRY)
        ):
            return None
        wait = retry_after_us
        if not wait and not (result is ClientAttemptResult.NOT_PROCESSED and attempts == 1):
            wait = min(terms.most_us, terms.base_us << min(attempts - 1, 20))
        at = now_us + int(wait * (1.0 + terms.jitter * draw))
        if at + terms.least_us > deadline_us:
            return None
        if not (result is ClientAttemptResult.NOT_PROCESSED and attempts == 1):
            if self.saved_millionths < MILLION:
                self.withheld += 1
                return None
            self.saved_millionths -= MILLION
        self.granted += 1
        return at
