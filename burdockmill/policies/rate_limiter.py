"""Limit callers to this host's share of the rates that the rules allow them."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Container

    from burdockmill.names import CallerId, ServiceId

    RateKey = tuple[CallerId, ServiceId]

BURST_MS = 1_000.0
MIN_BURST_TOKENS = 1.0
MILLISECONDS_PER_SECOND = 1_000.0


class _Bucket(NamedTuple):
    tokens: float
    filled_ms: float


class RateLimiter:
    """Keep one token bucket for each caller and service."""

    def __init__(self) -> None:
        self._bucket_by_key: dict[RateKey, _Bucket] = {}

    def take(self, key: RateKey, rate_per_second: float, now_ms: float) -> float:
        """Withdraw a token; return 0, or the milliseconds until one is available."""
        rate_per_ms = rate_per_second / MILLISECONDS_PER_SECOND
        burst = max(MIN_BURST_TOKENS, rate_per_ms * BURST_MS)
        bucket = self._bucket_by_key.get(key, _Bucket(burst, now_ms))
        filled = bucket.tokens + (now_ms - bucket.filled_ms) * rate_per_ms
        tokens = min(burst, filled)
        if tokens < 1.0:
            self._bucket_by_key[key] = _Bucket(tokens, now_ms)
            return (1.0 - tokens) / rate_per_ms
        self._bucket_by_key[key] = _Bucket(tokens - 1.0, now_ms)
        return 0.0

    def keep(self, keys: Container[RateKey]) -> None:
        """Remove the buckets of keys that no rule names any more."""
        for stale in [key for key in self._bucket_by_key if key not in keys]:
            del self._bucket_by_key[stale]
