"""Distribute a route's requests among its services by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from burdockmill.forwarding.routes import Route, WeightedService
    from burdockmill.names import ServiceId


class WeightedChoice:
    """Distribute requests smoothly: every sequence of them is close to the weights."""

    def __init__(self, services: tuple[WeightedService, ...], start: float) -> None:
        total_weight = sum(one.weight for one in services) or 1.0
        self.services = services
        self._share_by_service = {
            one.service: one.weight / total_weight for one in services
        }
        self._credit_by_service = {
            service: share * start for service, share in self._share_by_service.items()
        }

    def next(self) -> ServiceId:
        """Return the service of the next request."""
        credit = self._credit_by_service
        for service, share in self._share_by_service.items():
            credit[service] += share
        chosen = max(credit, key=lambda service: credit[service])
        credit[chosen] -= 1.0
        return chosen


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
            # Each host starts at a random offset, so that all hosts together follow the
            # weights too.
            choice = WeightedChoice(route.services, self._rng.random())
            self._choice_by_route[route.name] = choice
        return choice.next()

    def keep(self, route_names: set[str]) -> None:
        """Remove the routes that are not among `route_names`."""
        for name in self._choice_by_route.keys() - route_names:
            del self._choice_by_route[name]
