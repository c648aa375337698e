"""Estimate latency quantiles from buckets of fixed relative width."""

from __future__ import annotations

import math

BUCKET_GROWTH = 1.05
MIN_LATENCY_MS = 0.1
BUCKET_COUNT = 280
COUNT_LIMIT = 16_384.0
REFRESH_SAMPLES = 64

_LOG_GROWTH = math.log(BUCKET_GROWTH)


class LatencyHistogram:
    """Count recent latencies; halve all counts at a limit, so that old ones weigh less.

    Quantiles are cached until REFRESH_SAMPLES further samples.
    """

    __slots__ = ("_count_by_bucket", "_new_samples", "_quantile_by_fraction", "count")

    def __init__(self) -> None:
        self._count_by_bucket = [0.0] * BUCKET_COUNT
        self._quantile_by_fraction: dict[float, float] = {}
        self._new_samples = 0
        self.count = 0.0

    def add(self, took_ms: float) -> None:
        """Count one latency in milliseconds."""
        ratio = max(took_ms, MIN_LATENCY_MS) / MIN_LATENCY_MS
        bucket = min(int(math.log(ratio) / _LOG_GROWTH), BUCKET_COUNT - 1)
        self._count_by_bucket[bucket] += 1.0
        self.count += 1.0
        self._new_samples += 1
        if self._new_samples >= REFRESH_SAMPLES:
            self._new_samples = 0
            self._quantile_by_fraction.clear()
        if self.count >= COUNT_LIMIT:
            self._count_by_bucket = [count / 2 for count in self._count_by_bucket]
            self.count /= 2

    def quantile(self, fraction: float) -> float:
        """Return the quantile `fraction` in milliseconds; 0 when empty."""
        cached = self._quantile_by_fraction.get(fraction)
        if cached is None:
            cached = self._compute_quantile(fraction)
            self._quantile_by_fraction[fraction] = cached
        return cached

    def _compute_quantile(self, fraction: float) -> float:
        target = self.count * fraction
        cumulative = 0.0
        for bucket, count in enumerate(self._count_by_bucket):
            if count and cumulative + count >= target:
                position = (target - cumulative) / count
                return MIN_LATENCY_MS * BUCKET_GROWTH ** (bucket + position)
            cumulative += count
        return 0.0
