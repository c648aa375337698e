"""Adapt the number of concurrent attempts at an upstream."""

from __future__ import annotations

MIN_SLOTS = 1.0
SHED_FACTOR = 0.5


class SlotLimit:
    """Increase slots additively on success, and halve them when the upstream sheds."""

    def __init__(self) -> None:
        self._slots = MIN_SLOTS
        self._lowered_ms = float("-inf")

    def slots(self, rule_slots: int) -> int:
        """Return how many attempts may run at once, at most `rule_slots`."""
        return min(int(self._slots), rule_slots)

    def succeeded(self, rule_slots: int) -> None:
        """Raise the limit by one per as many successes as slots, up to `rule_slots`."""
        self._slots = min(self._slots + 1.0 / self._slots, float(rule_slots))
        self._slots = max(self._slots, MIN_SLOTS)

    def shed(self, started_ms: float, now_ms: float) -> None:
        """Halve the limit, unless the shed attempt started before the last halving."""
        if started_ms < self._lowered_ms:
            return
        self._slots = max(MIN_SLOTS, self._slots * SHED_FACTOR)
        self._lowered_ms = now_ms

    def restart(self) -> None:
        """Reset the limit to one slot."""
        self._slots = MIN_SLOTS
