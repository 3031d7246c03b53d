"""The bounds of the budgets, each with its unit. Times are whole microseconds on the own monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass

MILLION = 1_000_000


@dataclass(frozen=True, slots=True)
class Terms:
    """What all processes go by. `promise_us`, `lease_us` and `drift_ppm` must be the same at all of them."""

    promise_us: int = 3_000_000  # a voter's word for one epoch, from its answer
    lease_us: int = 8_000_000  # a part that a divider gives, from its giving
    drift_ppm: int = 2_000  # a clock's rate differs from true by at most so much, either way
    renew_interval_us: int = 1_000_000  # between two rounds of the one that divides
    request_interval_us: int = 1_500_000  # between two asks of a holder that is answered
    retry_us: int = 400_000  # and of one that isn't; grows fourfold
    round_timeout_us: int = 700_000  # a round that has no majority by then is given up
    candidacy_delay_us: int = 500_000  # a voter that knows of no allocator stands after this, up to thrice it
    share_interval_us: int = 200_000  # shares are worked out at most so often
    max_holders: int = 4_096

    def drift_safe(self, us: int) -> int:
        """How long one may count on what another clock keeps for `us`, from before it was asked for.

        With both clocks within `drift_ppm`, r = drift: own(us) lasts at most us (1-r)/(1+r)/(1-r) = us/(1+r)
        of true time, and the other clock's `us` at least us/(1+r).
        """
        return us * (MILLION - self.drift_ppm) // (MILLION + self.drift_ppm)
