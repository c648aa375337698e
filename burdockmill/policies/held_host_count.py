"""Count the hosts that may use a shared budget, also those that seem to be down.

Load pattern: a network partition splits the fleet, and each part sees the other as down
while both go on.
"""

from __future__ import annotations

# Hosts that seem to be down may be partitioned and keep spending their share.
HOLD_MS = 60_000.0


class HeldHostCount:
    """Hold the greatest recent number of live hosts; times in clock milliseconds."""

    def __init__(self) -> None:
        self.greatest = 1
        self._current = 1
        self._until_ms = 0.0

    def update(self, hosts: int, now_ms: float) -> None:
        """Record how many hosts are alive from now on."""
        if self._current == self.greatest:
            self._until_ms = now_ms + HOLD_MS
        self._current = max(1, hosts)
        if self._current >= self.greatest or now_ms >= self._until_ms:
            self.greatest = self._current
