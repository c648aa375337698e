"""Name the upstreams to which a host keeps a connection open.

Load pattern: searches of many shards meet a paused upstream nearly every time, each
host sends few of them, and a hedge that has to connect first pays two round trips to
another region, most of the latency goal. When the index is cut into another set of
shards, all hosts turn to new upstreams at once; these register some seconds before a
configuration names them, and connecting then leaves them free for the first searches.
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
    routes: Iterable[Route],
    registered: Iterable[ServiceId],
    rank: Callable[[ServiceId], list[Candidate]],
) -> Iterator[Registration]:
    """Yield the upstreams of each searched shard that come first.

    Those of `registered` services that no route names yet follow.
    """
    for service in _services(routes, registered):
        for candidate in rank(service)[:WARM_REPLICAS]:
            if candidate.expected_ms < WORTHWHILE_MS:
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
