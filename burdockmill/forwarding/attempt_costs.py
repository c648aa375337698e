"""Separate what an attempt costs from how slow its upstream is and from the network."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.forwarding.messages import AttemptEnd
from burdockmill.policies.cost_admission import (
    CERTAIN_FRACTION,
    ROUTE_QUANTILE,
    ROUTE_SAMPLES,
    CostAdmission,
)
from burdockmill.policies.cost_estimate import CostEstimates, RequestClass

if TYPE_CHECKING:
    from collections.abc import Iterable

    from burdockmill.forwarding.messages import (
        AttemptOutcome,
        ForwardedRequest,
        Registration,
    )
    from burdockmill.forwarding.observations import Observation
    from burdockmill.forwarding.routes import Route
    from burdockmill.names import DomainId, ServiceId
    from burdockmill.tables.latency_histogram import LatencyHistogram

# Round trips without any work, before they are known.
SAME_DOMAIN_NETWORK_MS = 1.0
SAME_REGION_NETWORK_MS = 3.0
OTHER_REGION_NETWORK_MS = 24.0
# EWMA weights of a round trip to another region: queues only add to it, so that lower
# values count more.
SHORTER_WEIGHT = 0.3
LONGER_WEIGHT = 0.02
LONGER_LIMIT_MS = 5.0
# What an answer took is at least this without the network.
MIN_WORK_MS = 0.5


class AttemptCosts:
    """Learn costs, round trips and stated loads from the ends of attempts.

    Where it is switched off, each request counts as a usual one.
    """

    def __init__(self, is_enabled: bool = True) -> None:
        self.is_enabled = is_enabled
        self.estimates = CostEstimates()
        self._admission = CostAdmission()
        self._network_ms_by_domain: dict[DomainId, float] = {}

    def factor(self, request: RequestClass | None) -> float:
        """Return a request's work relative to the reference of its service."""
        if request is None or not self.is_enabled:
            return 1.0
        return self.estimates.factor(request)

    def extra_ms(self, request: RequestClass | None) -> float:
        """Return how much longer than its route a request is known to take."""
        if request is None or not self.is_enabled:
            return 0.0
        return self.estimates.extra_ms(request)

    def is_too_expensive(
        self,
        request: RequestClass,
        route_latencies: Iterable[LatencyHistogram],
        remaining_ms: float,
        now_ms: float,
    ) -> bool:
        """Return whether a request surely takes longer than the time that is left."""
        if not self.is_enabled:
            return False
        if self.estimates.is_known_by_digest(request):
            cost_ms = self.estimates.cost_ms(request)
            least_ms = None if cost_ms is None else CERTAIN_FRACTION * cost_ms
        else:
            least_ms = min(
                (
                    one.quantile(ROUTE_QUANTILE)
                    for one in route_latencies
                    if one.count >= ROUTE_SAMPLES
                ),
                default=None,
            )
        is_refused = self._admission.is_refused(
            request.route, least_ms, remaining_ms, now_ms
        )
        self.estimates.counts["refused_too_expensive"] += is_refused
        return is_refused

    def keep_routes(self, names: set[str]) -> None:
        """Forget the routes that are not among `names`."""
        self.estimates.keep_routes(names)
        self._admission.keep_routes(names)

    def network_ms(self, domain: DomainId) -> float:
        """Return the round trip to a failure domain of another region."""
        return self._network_ms_by_domain.get(domain, OTHER_REGION_NETWORK_MS)

    def ended(
        self,
        observation: Observation,
        attempt: int,
        upstream: Registration,
        request: RequestClass,
        outcome: AttemptOutcome,
        now_ms: float,
        is_near: bool,
    ) -> float | None:
        """Record how an attempt ended; return how long it took, in milliseconds."""
        since_ms = observation.open_since_ms_by_attempt.get(attempt)
        scale = None
        if self.is_enabled and since_ms is not None:
            pace = 1.0
            if outcome.load is not None:
                own_requests = len(observation.open_since_ms_by_attempt) - 1
                pace = observation.load.record(outcome.load, own_requests, now_ms)
                self.estimates.counts["loads_stated"] += 1
            if outcome.end is AttemptEnd.ANSWERED:
                took_ms = now_ms - since_ms - outcome.connecting_ms
                self._learn(observation, upstream, request, took_ms, pace, is_near)
                scale = pace * self.estimates.factor(request)
        return observation.ended(
            attempt, outcome.end, now_ms, outcome.connecting_ms, scale
        )

    def slowness(
        self, observation: Observation, upstream: Registration
    ) -> float | None:
        """Return an upstream's work relative to the usual of its service, if known."""
        usual_ms = self.estimates.usual_ms(upstream.service)
        if usual_ms is None or observation.latency_ms is None:
            return None
        return observation.work_ms(observation.latency_ms) / usual_ms

    def _learn(
        self,
        observation: Observation,
        upstream: Registration,
        request: RequestClass,
        took_ms: float,
        pace: float,
        is_near: bool,
    ) -> None:
        work_ms = max(MIN_WORK_MS, took_ms - observation.network_ms) / pace
        usual_ms = observation.latency_ms
        upstream_ms = None if usual_ms is None else observation.work_ms(usual_ms)
        cost_ms = self.estimates.cost_ms(request)
        self.estimates.learn(request, work_ms, upstream_ms, is_near or cost_ms is None)
        if not is_near and cost_ms is not None:
            self._learn_network(upstream.domain, took_ms - cost_ms * pace)

    def _learn_network(self, domain: DomainId, round_trip_ms: float) -> None:
        known_ms = self.network_ms(domain)
        error_ms = max(0.0, round_trip_ms) - known_ms
        if error_ms < 0.0:
            known_ms += SHORTER_WEIGHT * error_ms
        else:
            known_ms += LONGER_WEIGHT * min(error_ms, LONGER_LIMIT_MS)
        self._network_ms_by_domain[domain] = known_ms


def request_classes(
    request: ForwardedRequest, route: Route, services: Iterable[ServiceId]
) -> list[RequestClass]:
    """Return by what the cost of a request is estimated at each of its services.

    The digest is of the method and target. It is salted by the process, so that no
    client can construct a target that has the digest of another one.
    """
    digest = hash((request.method, request.target))
    return [RequestClass(service, route.name, digest) for service in services]
