"""Store the tokens that one host holds for an upstream, and how many it needs."""

from __future__ import annotations

from collections import deque
from math import exp

# The demand is averaged over about this time.
DEMAND_WINDOW_MS = 1_000.0
# Tokens are requested in advance for the demand of this time.
ADVANCE_MS = 400.0
MILLISECONDS_PER_SECOND = 1_000.0


class TokenStock:
    """Store a host's tokens for one upstream, and its demand; times in milliseconds.

    `requested_ms` is when the request in flight was sent, or None. Until `dry_until_ms`
    no more tokens are expected. `waiting` is how many attempts wait for a token.
    """

    __slots__ = (
        "_batches",
        "_demand",
        "_demand_ms",
        "dry_until_ms",
        "is_active",
        "requested_ms",
        "unanswered_ms",
        "waiting",
    )

    def __init__(self) -> None:
        self.requested_ms: float | None = None
        self.unanswered_ms: float | None = None
        self.dry_until_ms = 0.0
        self.waiting = 0
        self.is_active = False
        self._batches: deque[tuple[float, int]] = deque()
        self._demand = 0.0
        self._demand_ms = 0.0

    def count(self, now_ms: float) -> int:
        """Return how many tokens are valid."""
        while self._batches and self._batches[0][0] <= now_ms:
            self._batches.popleft()
        return sum(count for _, count in self._batches)

    def add(self, tokens: int, expires_ms: float) -> None:
        """Add tokens that are valid until a clock time."""
        if tokens > 0:
            self._batches.append((expires_ms, tokens))

    def take(self, now_ms: float) -> bool:
        """Take the token that expires first; return whether there was one."""
        if not self.count(now_ms):
            return False
        expires_ms, tokens = self._batches.popleft()
        if tokens > 1:
            self._batches.appendleft((expires_ms, tokens - 1))
        return True

    def want(self, now_ms: float) -> None:
        """Record an attempt that would use a token if there were enough."""
        self._demand = self._demand_at(now_ms) + 1.0
        self._demand_ms = now_ms

    def demand_per_s(self, now_ms: float) -> float:
        """Return the recent demand, in tokens a second."""
        return self._demand_at(now_ms) / DEMAND_WINDOW_MS * MILLISECONDS_PER_SECOND

    def wanted(self, now_ms: float) -> int:
        """Return how many more tokens to request now."""
        advance = self._demand_at(now_ms) * ADVANCE_MS / DEMAND_WINDOW_MS
        return max(0, round(advance) + self.waiting - self.count(now_ms))

    def _demand_at(self, now_ms: float) -> float:
        return self._demand * exp((self._demand_ms - now_ms) / DEMAND_WINDOW_MS)
