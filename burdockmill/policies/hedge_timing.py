"""Say how long an attempt may be silent before a second one is sent beside it.

Load pattern: an upstream pauses for longer than a search may take, and the next
replica is a region away; at times a fifth of the upstreams is slow. The hedge goes
out once most attempts would have answered, and no later than it can still arrive
within the latency goal.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockmill.tables.latency_histogram import LatencyHistogram

# The retry budget pays for hedging about one attempt in ten.
HEDGED_QUANTILE = 0.92
# When many upstreams are slow at once that quantile says nothing of sound ones; the
# median still does. Most sound attempts answer within this multiple of it.
MEDIAN_FACTOR = 2.5
MEDIAN_EXTRA_MS = 5.0
LEAST_SAMPLES = 20
# Until enough attempts have answered, this part of the latency goal is waited.
UNKNOWN_GOAL_FRACTION = 0.2
LEAST_DELAY_MS = 6.0
# What an answer needs beside the upstream's time, until it is merged and written.
ANSWER_MS = 6.0


def hedge_delay_ms(
    latencies: LatencyHistogram,
    goal_ms: float,
    left_ms: float,
    alternative_ms: float,
) -> float:
    """Return the silence after which to hedge.

    `goal_ms` is the route's latency goal, `left_ms` what is left of it, and
    `alternative_ms` the time expected of the next best upstream.
    """
    if latencies.count >= LEAST_SAMPLES:
        sound_ms = MEDIAN_FACTOR * latencies.quantile(0.5) + MEDIAN_EXTRA_MS
        usual_ms = min(latencies.quantile(HEDGED_QUANTILE), sound_ms)
    else:
        usual_ms = goal_ms * UNKNOWN_GOAL_FRACTION
    latest_ms = left_ms - alternative_ms - ANSWER_MS
    if latest_ms > 0.0:
        usual_ms = min(usual_ms, latest_ms)
    return max(LEAST_DELAY_MS, usual_ms)
