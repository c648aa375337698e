"""Decide which upstreams may get the requests of a route, and which hosts may.

Load pattern: routes are bound to regions while upstreams of a service run in all of
them, and the nearest one, or the only one that answers, is in another region; or the
operator evacuates a failure domain whose upstreams are the nearest and answer best.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Mapping

    from burdockmill.forwarding.messages import Registration
    from burdockmill.forwarding.routes import Route
    from burdockmill.names import DomainId


class UpstreamEligibility:
    """Decide by the region of each failure domain; one of no known region is in none.

    `domain` is this host's failure domain; the upstreams of the `evacuated` ones get
    nothing.
    """

    def __init__(
        self,
        domain: DomainId,
        region_by_domain: Mapping[DomainId, str],
        evacuated: Callable[[], Collection[DomainId]],
    ) -> None:
        self._own_region = region_by_domain.get(domain)
        self._region_by_domain = region_by_domain
        self._evacuated = evacuated

    def select(
        self, replicas: Iterable[Registration], route: Route | None
    ) -> Iterable[Registration]:
        """Return the upstreams that a request of a route may reach."""
        if evacuated := self._evacuated():
            replicas = [one for one in replicas if one.domain not in evacuated]
        if route is None or not route.regions:
            return replicas
        region_by_domain, regions = self._region_by_domain, route.regions
        return [one for one in replicas if region_by_domain.get(one.domain) in regions]

    def may_take_over(self, domain: DomainId, route: Route | None) -> bool:
        """Return whether a host of a domain may get a request of a route from here.

        Its bytes stay in the route's regions and in that of the client, which is this
        host's.
        """
        if route is None or not route.regions:
            return True
        region = self._region_by_domain.get(domain)
        if region is None:
            return False
        return region in route.regions or region == self._own_region
