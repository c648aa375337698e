"""Decide how long to wait for an attempt before a hedge is sent.

Load pattern: an upstream pauses for longer than a search may take, and the next
replica is in another region; at times a fifth of the upstreams is slow. The hedge is
sent once most attempts would have been answered, and early enough that its answer
can still arrive within the latency goal.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockmill.tables.latency_histogram import LatencyHistogram

# The repeat budget allows hedging about one attempt in ten.
HEDGED_QUANTILE = 0.92
# When many upstreams are slow at once, HEDGED_QUANTILE does not describe healthy ones;
# the median still does. Most healthy attempts are answered within this multiple of it.
MEDIAN_FACTOR = 2.5
MEDIAN_EXTRA_MS = 5.0
MIN_SAMPLES = 20
# Until enough attempts were answered, the delay is this fraction of the latency goal.
INITIAL_GOAL_FRACTION = 0.2
MIN_DELAY_MS = 6.0
# Time to merge and write an answer, in addition to the upstream's time.
RESPONSE_OVERHEAD_MS = 6.0


def hedge_delay_ms(
    latencies: LatencyHistogram,
    goal_ms: float,
    remaining_ms: float,
    alternative_ms: float,
    extra_ms: float = 0.0,
) -> float:
    """Return how long to wait for an answer before a hedge, in milliseconds.

    `goal_ms` is the route's latency goal, `remaining_ms` what remains of it, and
    `alternative_ms` the expected time of the next best upstream. `extra_ms` is how much
    longer than its route this very request is known to take; the hedge waits for that.
    """
    if latencies.count >= MIN_SAMPLES:
        healthy_ms = MEDIAN_FACTOR * latencies.quantile(0.5) + MEDIAN_EXTRA_MS
        delay_ms = min(latencies.quantile(HEDGED_QUANTILE), healthy_ms)
    else:
        delay_ms = goal_ms * INITIAL_GOAL_FRACTION
    latest_ms = remaining_ms - alternative_ms - RESPONSE_OVERHEAD_MS
    if latest_ms > 0.0:
        delay_ms = min(delay_ms, latest_ms)
    return max(MIN_DELAY_MS, delay_ms) + extra_ms
