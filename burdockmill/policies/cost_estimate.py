"""Estimate what a request usually takes at an upstream of its service.

Load pattern: the requests of one service cost its upstreams very different work, some
upstreams are slower than others, and a few answers take much longer than usual. A
request's factor is its work relative to that of the service's reference route. It is
learned from each answer relative to what the same upstream usually takes, so that a
slow upstream does not make requests look expensive.
"""

from __future__ import annotations

import math
from collections import Counter, OrderedDict
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from burdockmill.names import ServiceId

# A repeated request is remembered until so many others were answered after it.
DIGESTS_LIMIT = 4_096
# An estimate needs this many answers before a request is refused because of it.
MIN_SAMPLES = 5
# EWMA weights of the logarithm of a factor: the first answers count more.
FIRST_WEIGHT = 0.25
FIRST_SAMPLES = 8
LATER_WEIGHT = 0.1
# A larger error of the logarithm is capped, unless the one before it was as large in
# the same direction: a pause delays one answer, a changed cost all.
ERROR_LIMIT = 0.7
REPEATED_ERROR_LIMIT = 2.0
RATIO_LIMIT = 50.0
# EWMA weight of what shows whether the digests foretell costs, some hundred answers.
TRUST_WEIGHT = 0.01
# A variance of the factors' logarithms that noise explains, and the part of a
# digest's factor that has to be confirmed before it is used.
NOISE_VARIANCE = 0.01
LEAST_TRUST = 0.25
# With at least this trust, a digest's estimate decides on the admission of a request.
CERTAIN_TRUST = 0.6
# The usual work follows the faster upstreams: those below it weigh more.
FASTER_WEIGHT = 0.1
SLOWER_WEIGHT = 0.03


class RequestClass(NamedTuple):
    """Identify requests that usually cost the same; no digest is the whole route."""

    service: ServiceId
    route: str
    digest: int | None = None


class _Factor:
    """Keep a robust average of the logarithm of a factor."""

    __slots__ = ("_outlier", "log", "samples")

    def __init__(self) -> None:
        self.log = 0.0
        self.samples = 0
        self._outlier = 0.0

    def learn(self, log_ratio: float) -> None:
        """Add the logarithm of one measured ratio."""
        error = log_ratio - self.log
        self.samples += 1
        if self.samples == 1:
            self.log = log_ratio
            return
        is_outlier = abs(error) > ERROR_LIMIT
        is_repeated = is_outlier and error * self._outlier > 0.0
        limit = REPEATED_ERROR_LIMIT if is_repeated else ERROR_LIMIT
        is_early = is_repeated or self.samples <= FIRST_SAMPLES
        weight = FIRST_WEIGHT if is_early else LATER_WEIGHT
        self.log += weight * max(-limit, min(error, limit))
        self._outlier = error if is_outlier else 0.0


class _ServiceCosts:
    """Store a service's usual work, and its routes relative to the first one."""

    __slots__ = ("factor_by_route", "reference", "samples", "work_ms")

    def __init__(self, reference: str) -> None:
        self.reference = reference
        self.factor_by_route: dict[str, _Factor] = {}
        self.work_ms = 0.0
        self.samples = 0

    def learn_work(self, work_ms: float) -> None:
        """Add the usual work of an upstream that answered."""
        self.samples += 1
        if self.samples == 1:
            self.work_ms = work_ms
            return
        weight = FASTER_WEIGHT if work_ms < self.work_ms else SLOWER_WEIGHT
        self.work_ms += weight * (min(work_ms, 2.0 * self.work_ms) - self.work_ms)


class _DigestTrust:
    """Measure whether the digests of a route foretell what its requests cost.

    The trust is the slope of measured factors over those that the digests foretold: 1
    if they agree, 0 if they are unrelated.
    """

    __slots__ = ("_products", "_squares", "mean_log")

    def __init__(self) -> None:
        self._products = 0.0
        self._squares = 0.0
        self.mean_log = 0.0

    @property
    def value(self) -> float:
        """Return the trust, from 0 to 1."""
        slope = self._products / (self._squares + NOISE_VARIANCE)
        return max(0.0, min(1.0, (slope - LEAST_TRUST) / (1.0 - LEAST_TRUST)))

    def learn(self, foretold: float, measured: float) -> None:
        """Compare one foretold logarithm with the measured one."""
        self._products += TRUST_WEIGHT * (foretold * measured - self._products)
        self._squares += TRUST_WEIGHT * (foretold * foretold - self._squares)


class CostEstimates:
    """Learn the cost of requests by service, route and digest."""

    def __init__(self, digests_limit: int = DIGESTS_LIMIT) -> None:
        self.counts: Counter[str] = Counter()
        self._digests_limit = digests_limit
        self._costs_by_service: dict[ServiceId, _ServiceCosts] = {}
        self._trust_by_route: dict[str, _DigestTrust] = {}
        self._factor_by_digest: OrderedDict[tuple[str, int], _Factor] = OrderedDict()

    def factor(self, request: RequestClass) -> float:
        """Return how many times the service's reference work a request takes.

        A digest that was never seen is estimated as its route, and a route that was
        never seen as its service.
        """
        log = self._route_log(request) + self._digest_log(request)
        return math.exp(log) if log else 1.0

    def usual_ms(self, service: ServiceId) -> float | None:
        """Return the reference work of a service, None if it is unknown."""
        costs = self._costs_by_service.get(service)
        if costs is None or costs.samples < MIN_SAMPLES:
            return None
        return costs.work_ms

    def cost_ms(self, request: RequestClass) -> float | None:
        """Return the usual work of a request, None if its service is unknown."""
        usual_ms = self.usual_ms(request.service)
        return None if usual_ms is None else usual_ms * self.factor(request)

    def is_known_by_digest(self, request: RequestClass) -> bool:
        """Return whether answers to this very request support its estimate."""
        row = self._row(request)
        if row is None or row.samples < MIN_SAMPLES:
            return False
        return self._trust_by_route[request.route].value >= CERTAIN_TRUST

    def extra_ms(self, request: RequestClass) -> float:
        """Return how much longer a request takes than its route, at least 0."""
        usual_ms = self.usual_ms(request.service)
        if usual_ms is None or not self._digest_log(request):
            return 0.0
        route = math.exp(self._route_log(request))
        return max(0.0, usual_ms * (self.factor(request) - route))

    def is_route_known(self, request: RequestClass) -> bool:
        """Return whether the factor of a request's route has been learned."""
        costs = self._costs_by_service.get(request.service)
        if costs is None:
            return False
        return request.route == costs.reference or request.route in (
            costs.factor_by_route
        )

    def learn(
        self,
        request: RequestClass,
        work_ms: float,
        upstream_ms: float | None,
        counts_for_usual: bool = True,
    ) -> None:
        """Learn from an answer that took `work_ms` without the network.

        `upstream_ms` is the reference work at the same upstream so far, None if it is
        unknown. `counts_for_usual` is whether the network's part is known well.
        """
        costs = self._costs_by_service.get(request.service)
        if costs is None:
            costs = _ServiceCosts(request.route)
            self._costs_by_service[request.service] = costs
        if upstream_ms is None and costs.samples and not self.is_route_known(request):
            # An unknown upstream is taken for a usual one rather than the request.
            upstream_ms = costs.work_ms
        if upstream_ms is None:
            # Neither the request nor its upstream is known.
            upstream_ms = work_ms / self.factor(request)
            self.counts["answers_not_learned"] += 1
        else:
            ratio = work_ms / max(upstream_ms, work_ms / RATIO_LIMIT)
            log_ratio = math.log(max(ratio, 1.0 / RATIO_LIMIT))
            self._learn_route(costs, request, log_ratio)
            self._learn_digest(request, log_ratio - self._route_log(request))
        if counts_for_usual:
            costs.learn_work(upstream_ms)

    def keep_routes(self, names: set[str]) -> None:
        """Forget the routes that are not among `names`, and what refers to them."""
        for service, costs in list(self._costs_by_service.items()):
            if costs.reference not in names:
                del self._costs_by_service[service]
                continue
            for route in [one for one in costs.factor_by_route if one not in names]:
                del costs.factor_by_route[route]
        for route in [one for one in self._trust_by_route if one not in names]:
            del self._trust_by_route[route]
        for key in [key for key in self._factor_by_digest if key[0] not in names]:
            del self._factor_by_digest[key]

    def _learn_route(
        self, costs: _ServiceCosts, request: RequestClass, log_ratio: float
    ) -> None:
        if request.route == costs.reference:
            # Its factor is 1 by definition; with one route, no factor differs from 1.
            return
        row = costs.factor_by_route.setdefault(request.route, _Factor())
        row.learn(log_ratio - self._digest_log(request))

    def _learn_digest(self, request: RequestClass, log_ratio: float) -> None:
        if request.digest is None:
            return
        trust = self._trust_by_route.setdefault(request.route, _DigestTrust())
        key = (request.route, request.digest)
        row = self._factor_by_digest.get(key)
        if row is None:
            row = self._factor_by_digest[key] = _Factor()
            if len(self._factor_by_digest) > self._digests_limit:
                self._factor_by_digest.popitem(last=False)
                self.counts["digests_evicted"] += 1
        else:
            self._factor_by_digest.move_to_end(key)
            trust.learn(row.log - trust.mean_log, log_ratio)
        row.learn(log_ratio)
        trust.mean_log += TRUST_WEIGHT * (row.log - trust.mean_log)

    def _route_log(self, request: RequestClass) -> float:
        costs = self._costs_by_service.get(request.service)
        if costs is None:
            return 0.0
        row = costs.factor_by_route.get(request.route)
        return 0.0 if row is None else row.log

    def _digest_log(self, request: RequestClass) -> float:
        row = self._row(request)
        if row is None:
            return 0.0
        trust = self._trust_by_route[request.route]
        return trust.value * (row.log - trust.mean_log)

    def _row(self, request: RequestClass) -> _Factor | None:
        if request.digest is None:
            return None
        return self._factor_by_digest.get((request.route, request.digest))
