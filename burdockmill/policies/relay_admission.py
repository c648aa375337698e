"""Decide whether this host takes over another request of another host.

Load pattern: most hosts lose their upstreams, and few run the requests of all. A host
that is full declines at once, those of low rank first, so that an entry can try another
host and no request waits until its deadline.
"""

from __future__ import annotations

# Requests of other hosts that run here at once.
IN_FLIGHT_LIMIT = 96
# The fraction of the limit that requests of each rank may use; rank 0 is the highest.
USABLE_FRACTION_BY_RANK = (1.0, 0.9, 0.8)


def admits(rank: int, in_flight: int) -> bool:
    """Return whether a request of a rank is taken over beside those in flight."""
    last = len(USABLE_FRACTION_BY_RANK) - 1
    fraction = USABLE_FRACTION_BY_RANK[min(max(0, rank), last)]
    return in_flight < IN_FLIGHT_LIMIT * fraction
