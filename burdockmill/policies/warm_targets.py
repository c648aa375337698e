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
    from burdockmill.names import ServiceId
    from burdockmill.policies.replica_choice import Candidate

# The upstream for a shard's first attempts, and the one for its hedges.
WARM_REPLICAS = 2
# An upstream that is avoided or departing exceeds this and gets no connection.
EXPECTED_LIMIT_MS = 1_000.0


def warm_targets(
    routes: Iterable[Route],
    registered: Iterable[ServiceId],
    rank: Callable[[ServiceId], list[Candidate]],
) -> Iterator[Registration]:
    """Yield the best upstreams of each searched shard.

    Those of `registered` services that no route names yet come after them.
    """
    for service in _services(routes, registered):
        for candidate in rank(service)[:WARM_REPLICAS]:
            if candidate.expected_ms < EXPECTED_LIMIT_MS:
                yield candidate.registration


def _services(
    routes: Iterable[Route], registered: Iterable[ServiceId]
) -> Iterator[ServiceId]:
    searched: dict[ServiceId, None] = {}
    single: set[ServiceId] = set()
    for route in routes:
        searched.update(dict.fromkeys(route.shards.services if route.shards else ()))
        single.update(one.service for one in route.services)
    yield from searched
    yield from (one for one in registered if one not in searched and one not in single)
