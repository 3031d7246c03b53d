"""Buckets of requests by size: the largest tenth of a class, the fifth below it, and the rest. No I/O.

Their counters show an operator whether large requests are answered as well as others (docs/on-call.md).
"""

from __future__ import annotations

import math
from enum import Enum

MAX_CLASSES = 64  # that quantiles are kept for
QUANTILE_STEP = 0.05  # in units of log(size), per request


class SizeBucket(Enum):
    """Rank of a request's size within its class."""

    LARGEST = "largest"  # the largest tenth
    LARGE = "large"  # the fifth below it
    OTHERS = "rest"


BUCKET_QUANTILES = ((0.9, SizeBucket.LARGEST), (0.7, SizeBucket.LARGE))


class SizeBuckets:
    """Running estimates of the size quantiles of each class, starting from its first size."""

    def __init__(self) -> None:
        """Begin without estimates."""
        self.log_quantiles: dict[str, list[float]] = {}

    def classify(self, class_name: str, size_kb: float) -> SizeBucket:
        """Return the bucket of a request, and adjust the quantiles to its size."""
        log_size = math.log(size_kb)
        if len(self.log_quantiles) >= MAX_CLASSES and class_name not in self.log_quantiles:
            self.log_quantiles.clear()  # classes may change with new settings
        quantiles = self.log_quantiles.setdefault(class_name, [log_size] * len(BUCKET_QUANTILES))
        size_bucket = SizeBucket.OTHERS
        for (_, bucket), quantile in zip(BUCKET_QUANTILES, quantiles, strict=True):
            if log_size > quantile:
                size_bucket = bucket
                break
        for n, (share, _) in enumerate(BUCKET_QUANTILES):
            quantiles[n] += QUANTILE_STEP * (share if log_size > quantiles[n] else share - 1.0)
        return size_bucket
