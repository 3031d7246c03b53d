"""Parameters of the budget protocol. Times are whole microseconds on the process's monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass

MILLION = 1_000_000


@dataclass(frozen=True, slots=True)
class Terms:
    """Protocol parameters; `promise_us`, `lease_us` and `drift_ppm` must be equal in all processes."""

    promise_us: int = 3_000_000  # a voter's promise to one epoch, from its reply
    lease_us: int = 8_000_000  # a lease, from its grant by the allocator
    drift_ppm: int = 2_000  # maximum deviation of a clock's rate from true time, in both directions
    renew_interval_us: int = 1_000_000  # between two rounds of the elected allocator
    request_interval_us: int = 1_500_000  # between two requests of a holder when the first is answered
    retry_us: int = 400_000  # before a retry of an unanswered request; doubles each time
    round_timeout_us: int = 700_000  # a round fails without a majority in this time
    candidacy_delay_us: int = 500_000  # of a voter without an allocator; with jitter, up to 3 times this
    share_interval_us: int = 200_000  # minimum time between two computations of shares
    max_holders: int = 4_096

    def drift_safe(self, us: int) -> int:
        """Return the time for which a promise that another process keeps for `us` can be relied on.

        The time is measured on this process's clock from before the promise was requested. With both clocks
        within `drift_ppm` and r = drift, drift_safe(us) lasts at most us (1-r)/(1+r)/(1-r) = us/(1+r) of true
        time, and `us` on the other clock lasts at least us/(1+r).
        """
        return us * (MILLION - self.drift_ppm) // (MILLION + self.drift_ppm)
