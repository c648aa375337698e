"""Name the upstreams to which a host keeps a connection open.

Load pattern: searches of many shards meet a paused upstream nearly every time, each
host sends few of them, and a hedge that has to connect first pays two round trips to
another region, most of the latency goal.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from burdockmill.forwarding.messages import Registration
    from burdockmill.forwarding.routes import Route
    from burdockmill.names import ServiceId
    from burdockmill.policies.replica_choice import Candidate

# The upstream that gets a shard's first attempts, and the one that gets its hedges.
WARM_REPLICAS = 2
# An upstream that is avoided or departing is not worth a connection.
WORTHWHILE_MS = 1_000.0


def warm_targets(
    routes: Iterable[Route], rank: Callable[[ServiceId], list[Candidate]]
) -> Iterator[Registration]:
    """Yield the upstreams of each searched shard that come first."""
    seen: set[ServiceId] = set()
    for route in routes:
        for service in route.shards.services if route.shards else ():
            if service in seen:
                continue
            seen.add(service)
            for candidate in rank(service)[:WARM_REPLICAS]:
                if candidate.expected_ms < WORTHWHILE_MS:
                    yield candidate.registration
