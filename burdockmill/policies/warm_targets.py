"""Choose the upstreams to which a host keeps a connection open.

Load pattern: nearly every search of many shards meets a paused upstream, each host
sends few searches, and a hedge that has to connect first takes two round trips to
another region, most of the latency goal. When the index is divided into a new set of
shards, all hosts switch to new upstreams at once. These register some seconds before a
configuration names them; connecting early keeps the first searches fast.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from burdockmill.forwarding.messages import Registration
    from burdockmill.forwarding.routes import Route
    from burdockmill.names import ServiceId, UpstreamId
    from burdockmill.policies.replica_choice import Candidate

# The upstream for a shard's first attempts, and the one for its hedges.
WARM_REPLICAS = 2
# An upstream that is avoided or departing exceeds this and gets no connection.
EXPECTED_LIMIT_MS = 1_000.0


def warm_targets(
    routes: Iterable[Route],
    registered: Iterable[ServiceId],
    rank: Callable[[ServiceId, Route | None], list[Candidate]],
) -> Iterator[Registration]:
    """Yield the best upstreams of each searched shard.

    Those of `registered` services that no route names yet come after them. A shard that
    routes of different regions search has the best upstreams of each.
    """
    yielded: set[UpstreamId] = set()
    for service, route in _searched(routes, registered):
        for candidate in rank(service, route)[:WARM_REPLICAS]:
            upstream = candidate.registration.upstream
            if candidate.expected_ms < EXPECTED_LIMIT_MS and upstream not in yielded:
                yielded.add(upstream)
                yield candidate.registration


def _searched(
    routes: Iterable[Route], registered: Iterable[ServiceId]
) -> Iterator[tuple[ServiceId, Route | None]]:
    """Yield each shard with one route of each set of regions."""
    route_by_regions_by_service: dict[ServiceId, dict[tuple[str, ...], Route]] = {}
    single: set[ServiceId] = set()
    for route in routes:
        for service in route.shards.services if route.shards else ():
            by_regions = route_by_regions_by_service.setdefault(service, {})
            by_regions.setdefault(route.regions, route)
        single.update(one.service for one in route.services)
    for service, by_regions in route_by_regions_by_service.items():
        yield from ((service, route) for route in by_regions.values())
    for service in registered:
        if service not in route_by_regions_by_service and service not in single:
            yield service, None
