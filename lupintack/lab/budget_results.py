"""Results of simulated fleets with budgets, and their summary."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

SECOND_US = 1_000_000


@dataclass(slots=True)
class Result:
    """The result of one run."""

    seed: int
    routers: int
    violation_count: int = 0
    violations: list[str] = field(default_factory=list)
    leased_shares: list[float] = field(default_factory=list)  # of the first budget, at each sample
    calm_leased_shares: list[float] = field(default_factory=list)  # samples before the first fault
    converge_us: int = -1  # from the last fault's end until nine tenths are leased and stay so; -1 if never
    starved_us: int = 0
    epochs: int = 0
    messages: int = 0
    has_voter_majority: bool = True  # at the end; without it no allocator can be elected
    hash: str = ""


def summarize(results: Sequence[Result]) -> dict[str, Any]:
    """Return the figures of all runs, to be printed as one line of JSON."""
    leased_shares = [share for result in results for share in result.leased_shares]
    calm_shares = [share for result in results for share in result.calm_leased_shares]
    converge_times_us = sorted(result.converge_us for result in results if result.converge_us >= 0)
    digest = hashlib.blake2b("".join(result.hash for result in results).encode(), digest_size=8).hexdigest()
    return {
        "runs": len(results),
        "routers": results[0].routers if results else 0,
        "oversum": sum(result.violation_count for result in results),
        "oversum_seeds": [result.seed for result in results if result.violation_count][:20],
        "used_share": round(sum(leased_shares) / len(leased_shares), 3) if leased_shares else None,
        "used_calm": round(sum(calm_shares) / len(calm_shares), 3) if calm_shares else None,
        "converge_p50_s": round(converge_times_us[len(converge_times_us) // 2] / SECOND_US, 2)
        if converge_times_us
        else None,
        "converge_max_s": round(converge_times_us[-1] / SECOND_US, 2) if converge_times_us else None,
        "without_voters": sum(not result.has_voter_majority for result in results),
        "unconverged": [
            result.seed for result in results if result.has_voter_majority and result.converge_us < 0
        ][:20],
        "starved_max_s": round(
            max((result.starved_us for result in results if result.has_voter_majority), default=0)
            / SECOND_US,
            2,
        ),
        "epochs_max": max((result.epochs for result in results), default=0),
        "hash": digest,
    }
