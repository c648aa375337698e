"""Decide when a request that was handed over goes to a second host.

Load pattern: the host that took it over freezes, or is cut off itself, and does not
reply; the client's latency goal passes meanwhile.
"""

from __future__ import annotations

GOAL_FRACTION = 0.75
MIN_DELAY_MS = 150.0


def second_host_delay_ms(goal_ms: float) -> float:
    """Return how long to wait for the first host's reply, in milliseconds."""
    return max(MIN_DELAY_MS, GOAL_FRACTION * goal_ms)
