"""Stop sending attempts to an upstream that keeps failing."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

FAILURES_TO_OPEN = 5
OPEN_FIRST_MS = 100.0
OPEN_LONGEST_MS = 500.0
JITTER_FRACTION = 0.2


class CircuitBreaker:
    """Open after consecutive failures; then probe with one attempt at a time."""

    def __init__(self) -> None:
        self.probing = False
        self._failures = 0
        self._openings = 0
        self._open_until_ms = 0.0

    @property
    def closed(self) -> bool:
        """Return whether attempts pass without restriction."""
        return self._openings == 0

    def may_probe(self, now_ms: float) -> bool:
        """Return whether a breaker that is not closed admits a probe attempt now."""
        return not self.probing and now_ms >= self._open_until_ms

    def wait_ms(self, now_ms: float) -> float:
        """Return the milliseconds until the next probe is allowed."""
        return max(0.0, self._open_until_ms - now_ms)

    def started(self) -> None:
        """Record a started attempt; it is the probe unless the breaker is closed."""
        self.probing = not self.closed

    def succeeded(self) -> bool:
        """Close the breaker; return whether it was open."""
        was_open = not self.closed
        self._failures = self._openings = 0
        self.probing = False
        return was_open

    def failed(self, now_ms: float, rng: random.Random) -> bool:
        """Record a failure; return whether it opened the breaker."""
        self._failures += 1
        if not self.closed and not self.probing:
            return False
        if self.closed and self._failures < FAILURES_TO_OPEN:
            return False
        self.probing = False
        wait_ms = min(OPEN_FIRST_MS * 2**self._openings, OPEN_LONGEST_MS)
        self._openings = min(self._openings + 1, 16)
        jitter = rng.uniform(1.0 - JITTER_FRACTION, 1.0 + JITTER_FRACTION)
        self._open_until_ms = now_ms + wait_ms * jitter
        return True

    def ended_without_verdict(self) -> None:
        """Allow another probe after an attempt that neither succeeded nor failed."""
        self.probing = False
