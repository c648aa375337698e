"""Bound the requests that all hosts together send to a cold upstream.

Load pattern: the upstreams of a failure domain come back together, cold, as the nearest
ones of every host there, and end again if all traffic returns at once.
"""

from __future__ import annotations

import math

# Tokens that were granted over a second, and a burst of half a second, may be used in
# the same second, as each is valid for one.
BURST_FACTOR = 2.5


def cold_rate_per_s(
    cold_per_s: float, cold_ratio: float, cold_allowance: float
) -> float:
    """Return the rate of tokens for a cold upstream, infinite if it has no bound.

    The upstream takes `cold_per_s` requests a second, and in no second may it get more
    than `cold_ratio` times as many plus `cold_allowance`.
    """
    if cold_per_s <= 0.0:
        return math.inf
    bound = cold_per_s * cold_ratio + cold_allowance
    return min(cold_per_s, bound / BURST_FACTOR)
