"""Decide whether this host takes over a request of another host.

Load pattern: most hosts lose their upstreams, and few run the requests of all. A host
that is full declines at once, requests of low rank first, so that an entry can try
another host and no request waits until its deadline.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockmill.names import Revision
    from burdockmill.world import World

# Requests of other hosts that run here at once.
IN_FLIGHT_LIMIT = 96
# The fraction of the limit that requests of each rank may use; rank 0 is the highest.
USABLE_FRACTION_BY_RANK = (1.0, 0.9, 0.8)


def reason_to_decline(
    world: World, is_stopping: bool, version: Revision, rank: int, in_flight: int
) -> str:
    """Return why nothing of a request is run here; empty if it is taken over.

    `version` is of the configuration at the request's entry, `rank` its route's.
    """
    tables = world.catalog.tables
    if is_stopping:
        return "it is stopping"
    if world.reach.is_isolated:
        return "it reaches no upstream"
    # An older configuration may allow what the entry's no longer does.
    if tables is None or tables.version < version:
        return "its configuration is older"
    return "" if _has_room(rank, in_flight) else "it is busy"


def _has_room(rank: int, in_flight: int) -> bool:
    last = len(USABLE_FRACTION_BY_RANK) - 1
    fraction = USABLE_FRACTION_BY_RANK[min(max(0, rank), last)]
    return in_flight < IN_FLIGHT_LIMIT * fraction
