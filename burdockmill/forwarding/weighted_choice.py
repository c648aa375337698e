"""Distribute a route's requests among its services by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from burdockmill.forwarding.routes import Route, WeightedService
    from burdockmill.names import ServiceId


class WeightedChoice:
    """Distribute requests smoothly: every sequence of them is close to the weights.

    Each service in turn gets its share of the requests that those before it left over.
    The phases are random, so that the chance of a service is its share from the first
    request on: many hosts with few requests each follow the weights together.
    """

    def __init__(
        self, services: tuple[WeightedService, ...], rng: random.Random
    ) -> None:
        self.services = services
        self._last = services[-1].service
        left = sum(one.weight for one in services)
        self._share_by_service: dict[ServiceId, float] = {}
        for one in services[:-1]:
            self._share_by_service[one.service] = one.weight / left if left else 0.0
            left -= one.weight
        self._phase_by_service = {one: rng.random() for one in self._share_by_service}

    def next(self) -> ServiceId:
        """Return the service of the next request."""
        phases = self._phase_by_service
        for service, share in self._share_by_service.items():
            phases[service] += share
            if phases[service] >= 1.0:
                phases[service] -= 1.0
                return service
        return self._last


class WeightedChoices:
    """Store the state of each route with more than one service."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._choice_by_route: dict[str, WeightedChoice] = {}

    def service_of(self, route: Route) -> ServiceId:
        """Return the service of a route's next request."""
        if len(route.services) == 1:
            return route.services[0].service
        choice = self._choice_by_route.get(route.name)
        if choice is None or choice.services != route.services:
            choice = WeightedChoice(route.services, self._rng)
            self._choice_by_route[route.name] = choice
        return choice.next()

    def keep(self, route_names: set[str]) -> None:
        """Remove the routes that are not among `route_names`."""
        for name in self._choice_by_route.keys() - route_names:
            del self._choice_by_route[name]
