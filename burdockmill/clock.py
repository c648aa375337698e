"""Read monotonic clocks in milliseconds."""

from __future__ import annotations

import time
from abc import ABC, abstractmethod

NANOSECONDS_PER_MILLISECOND = 1_000_000


class Clock(ABC):
    """Measure monotonic time in milliseconds."""

    @abstractmethod
    def now_ms(self) -> float:
        """Return milliseconds since an arbitrary fixed point."""


class MonotonicClock(Clock):
    """Read the operating system's monotonic clock; on Linux it stops in suspension."""

    def now_ms(self) -> float:
        """Return milliseconds of the system's monotonic clock."""
        return time.monotonic_ns() / NANOSECONDS_PER_MILLISECOND


class BootClock(Clock):
    """Read the time since the machine booted, including suspensions."""

    def now_ms(self) -> float:
        """Return milliseconds of the system's boot-time clock."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / NANOSECONDS_PER_MILLISECOND


class VirtualClock(Clock):
    """Simulate a clock that moves only when advanced."""

    def __init__(self, start_ms: float = 0.0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> float:
        """Return the virtual time in milliseconds."""
        return self._now_ms

    def advance_to(self, now_ms: float) -> None:
        """Move the time to `now_ms`; ignore a time in the past."""
        self._now_ms = max(self._now_ms, now_ms)

    def advance(self, by_ms: float) -> None:
        """Move the time forward by `by_ms` milliseconds."""
        self.advance_to(self._now_ms + by_ms)
