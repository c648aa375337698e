"""Estimate the service time of an upstream for one attempt."""

from __future__ import annotations

GAIN = 0.1
DEVIATIONS = 2.0


class ServiceEstimate:
    """Keep an EWMA of service times and of their deviation, in milliseconds."""

    def __init__(self) -> None:
        self.mean_ms = 0.0
        self._deviation_ms = 0.0
        self._is_empty = True

    @property
    def cautious_ms(self) -> float:
        """Return a time that most attempts do not exceed; 0 before the first sample."""
        return self.mean_ms + DEVIATIONS * self._deviation_ms

    def observe(self, took_ms: float) -> None:
        """Add one service time to the estimate."""
        if self._is_empty:
            self.mean_ms, self._is_empty = took_ms, False
            return
        error_ms = took_ms - self.mean_ms
        self.mean_ms += GAIN * error_ms
        self._deviation_ms += GAIN * (abs(error_ms) - self._deviation_ms)
