"""Refuse less urgent requests while this host is short of processor time.

Load pattern: a small host gets more requests than its processor share runs, and all of
them become late. A burst of work or one pause of the process delays a few callbacks of
the event loop; only a standing queue of work delays each of them, so the least lag over
a while decides.
"""

from __future__ import annotations

from collections import Counter, deque
from typing import NamedTuple

# The least lag over this time decides; it holds at least so many samples.
WINDOW_MS = 600.0
MIN_SAMPLES = 4
# No more samples are stored, however often the lag is measured.
SAMPLES_LIMIT = 64
# A refusal begins at a lag, and ends when the lag is less than this fraction of it.
END_FRACTION = 0.5


class Level(NamedTuple):
    """Store the lag from which requests of a rank, and of higher ones, are refused."""

    lag_ms: float
    least_rank: int


# Per-shard requests of one search delay callbacks by some 10 ms; the goals of searches
# leave no room for the second lag.
LEVELS = (Level(25.0, 2), Level(60.0, 1))


class ProcessorShortage:
    """Decide from the lag of the event loop which ranks this host refuses."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.lag_ms = 0.0
        self._samples: deque[tuple[float, float]] = deque(maxlen=SAMPLES_LIMIT)
        self._level = 0

    @property
    def least_refused_rank(self) -> int | None:
        """Return the most urgent rank that is refused, or None."""
        return LEVELS[self._level - 1].least_rank if self._level else None

    def record(self, lag_ms: float, now_ms: float) -> bool:
        """Record by how much a timer was late; return whether other ranks are refused.

        Levels follow one another, at most one for each sample.
        """
        self._samples.append((now_ms, lag_ms))
        while self._samples[0][0] < now_ms - WINDOW_MS:
            if len(self._samples) <= MIN_SAMPLES:
                break
            self._samples.popleft()
        if len(self._samples) < MIN_SAMPLES:
            return False
        self.lag_ms = min(lag_ms for _, lag_ms in self._samples)
        before = self._level
        if before < len(LEVELS) and self.lag_ms >= LEVELS[before].lag_ms:
            self._level += 1
        elif before and self.lag_ms < END_FRACTION * LEVELS[before - 1].lag_ms:
            self._level -= 1
        return self._level != before

    def refuses(self, rank: int) -> bool:
        """Return whether requests of a rank are refused now, and count them."""
        least = self.least_refused_rank
        if least is None or rank < least:
            return False
        self.counts[f"busy_rank_{min(rank, LEVELS[0].least_rank)}"] += 1
        return True

    def reset(self) -> None:
        """Forget the lags: they are no longer measured."""
        self.lag_ms, self._level = 0.0, 0
        self._samples.clear()
