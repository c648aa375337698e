"""Allocate the tokens of one upstream's limit to all hosts.

Load pattern: an upstream in need names a rate that it takes from all hosts together,
far below what they send. Hosts differ in how much they send, start, stop and freeze.
One host issues tokens at the named rate, so that the sum over hosts keeps the limit
whatever each of them knows; the tokens go where the requests are.
"""

from __future__ import annotations

# A lower limit, zero included, is allocated at this rate, so that some answer tells
# when the limit has ended.
MIN_RATE_PER_S = 0.1
# Unused tokens accumulate for this long at most.
BURST_S = 0.5
# A host that takes over an allocation issues a fraction of the rate at first, since
# its predecessor may still issue tokens to hosts that have not learnt of the change.
TAKEOVER_MS = 4_000.0
TAKEOVER_FRACTION = 0.5
MILLISECONDS_PER_SECOND = 1_000.0


class TokenBucket:
    """Issue the tokens of one limit; times in clock milliseconds."""

    def __init__(self, now_ms: float, is_takeover: bool) -> None:
        self._tokens = 0.0
        self._updated_ms = now_ms
        self._takeover_end_ms = now_ms + TAKEOVER_MS if is_takeover else now_ms

    def grant(self, wanted: int, limit_per_s: float, now_ms: float) -> int:
        """Issue up to `wanted` tokens and return how many were issued."""
        rate_per_s = self._rate_per_s(limit_per_s, now_ms)
        elapsed_s = (now_ms - self._updated_ms) / MILLISECONDS_PER_SECOND
        burst = max(1.0, rate_per_s * BURST_S)
        self._tokens = min(burst, self._tokens + rate_per_s * elapsed_s)
        self._updated_ms = now_ms
        granted = max(0, min(wanted, int(self._tokens)))
        self._tokens -= granted
        return granted

    def wait_ms(self, missing: int, limit_per_s: float, now_ms: float) -> float:
        """Return how long `missing` more tokens take to accumulate."""
        if missing <= 0:
            return 0.0
        rate_per_s = self._rate_per_s(limit_per_s, now_ms)
        return (missing - self._tokens) / rate_per_s * MILLISECONDS_PER_SECOND

    def _rate_per_s(self, limit_per_s: float, now_ms: float) -> float:
        rate_per_s = max(MIN_RATE_PER_S, limit_per_s)
        if now_ms < self._takeover_end_ms:
            return rate_per_s * TAKEOVER_FRACTION
        return rate_per_s
