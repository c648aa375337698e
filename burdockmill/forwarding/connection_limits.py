"""Decide how many connections this host may open to an upstream, and keep."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.policies.connection_share import (
    connection_share,
    gatherer_connection_share,
    keeps_idle,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockmill.clock import Clock
    from burdockmill.forwarding.messages import Registration
    from burdockmill.forwarding.routes import RoutingTables
    from burdockmill.names import ServiceId
    from burdockmill.tables.gather_view import GatherView
    from burdockmill.world import World

# Connection limit of an upstream whose service has no bounds in the configuration.
DEFAULT_CONNECTIONS = 16


class ConnectionLimits:
    """Divide the connections of each upstream among the hosts that use it.

    Where strong hosts gather the searches of others, these have the connections to
    the searched upstreams. `has_gatherer` returns whether one takes this host's.
    """

    def __init__(
        self,
        world: World,
        view: GatherView,
        clock: Clock,
        has_gatherer: Callable[[], bool],
    ) -> None:
        self._world = world
        self._view = view
        self._clock = clock
        self._has_gatherer = has_gatherer
        self._started_ms = clock.now_ms()
        self._tables: RoutingTables | None = None
        self._single_services: frozenset[ServiceId] = frozenset()

    def host_limit(self, registration: Registration) -> int:
        """Return how many connections this host may open to an upstream."""
        limit = self._service_limit(registration)
        hosts = self._world.live_host_count()
        if not self._is_gathered(registration.service):
            return connection_share(limit, hosts)
        if self._view.is_gatherer:
            return gatherer_connection_share(limit, self._view.live_count)
        return 1

    def keeps_idle(self, registration: Registration) -> bool:
        """Return whether this host keeps idle connections to an upstream."""
        if self._is_gathered(registration.service):
            if self._view.is_gatherer:
                # Those of few hosts fit into the limit, also beside stale ones.
                return True
            if self._has_gatherer():
                return False
        since_start_ms = self._clock.now_ms() - self._started_ms
        hosts = self._world.live_host_count()
        return keeps_idle(self._service_limit(registration), hosts, since_start_ms)

    def _is_gathered(self, service: ServiceId) -> bool:
        """Return whether strong hosts gather the searches of a service.

        A service that no route names yet is going to be searched.
        """
        if not self._view.live_count:
            return False
        tables = self._world.catalog.tables
        if tables is not self._tables:
            self._tables = tables
            routes = () if tables is None else tables.routes
            self._single_services = frozenset(
                one.service for route in routes for one in route.services
            )
        return service not in self._single_services

    def _service_limit(self, registration: Registration) -> int:
        bounds = self._world.catalog.bounds_by_service.get(registration.service)
        return bounds.connections_limit if bounds else DEFAULT_CONNECTIONS
