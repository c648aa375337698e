"""Describe routes, and find the route of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from burdockmill.names import Revision, ServiceId

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator


class WeightedService(NamedTuple):
    """Store a service's weight among the services of a route."""

    service: ServiceId
    weight: float


class ShardSet(NamedTuple):
    """List the services that hold one shard each of a searched index.

    An answer has the `top_count` greatest records, and needs at least the fraction
    `least_coverage` of the shards.
    """

    services: tuple[ServiceId, ...]
    top_count: int
    least_coverage: float


class Route(NamedTuple):
    """Define where requests under a host's path prefix go; times in milliseconds.

    `attempts_limit` is how many upstreams may run a request at most, for each shard.
    `regions` are those that may serve it, any if there are none.
    """

    name: str
    host: str
    prefix: str
    is_idempotent: bool
    timeout_ms: float
    latency_goal_ms: float
    rank: int
    attempts_limit: int
    services: tuple[WeightedService, ...] = ()
    shards: ShardSet | None = None
    regions: tuple[str, ...] = ()


class ServiceBounds(NamedTuple):
    """Limit the connections that all hosts together may open to an upstream.

    `health_path` is the path of its health check. A cold upstream takes `cold_per_s`
    requests a second from all hosts together; 0 is no bound.
    """

    name: ServiceId
    connections_limit: int
    health_path: str
    cold_per_s: float = 0.0


class IngressLimits(NamedTuple):
    """Limit what a client may send; sizes in bytes, times in milliseconds."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_ms: float = 5_000.0
    idle_timeout_ms: float = 60_000.0


class RoutingTables(NamedTuple):
    """Store one version of the operators' configuration."""

    version: Revision
    routes: tuple[Route, ...]
    services: tuple[ServiceBounds, ...]
    limits: IngressLimits


class RouteIndex:
    """Find the route with the longest matching path prefix."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._route_by_prefix_by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            by_prefix = self._route_by_prefix_by_host.setdefault(route.host, {})
            by_prefix[route.prefix] = route
        self._longest_by_host = {
            host: max(map(len, by_prefix))
            for host, by_prefix in self._route_by_prefix_by_host.items()
        }

    def find(self, host: str, target: str) -> Route | None:
        """Return the route of a request target, or None if there is none."""
        by_prefix = self._route_by_prefix_by_host.get(host)
        if by_prefix is None:
            return None
        longest = self._longest_by_host[host]
        for prefix in _prefixes(target.partition("?")[0], longest):
            route = by_prefix.get(prefix)
            if route is not None:
                return route
        return None


def _prefixes(path: str, longest: int) -> Iterator[str]:
    """Yield what ends with a slash of a path's first characters, longest first."""
    end = path.rfind("/", 0, longest)
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)
