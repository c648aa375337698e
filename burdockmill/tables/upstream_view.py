"""Track upstreams' latencies and outcomes, and eject slow or failing ones."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from burdockmill.tables.latency_histogram import MIN_LATENCY_MS, LatencyHistogram

if TYPE_CHECKING:
    from collections.abc import Container

    from burdockmill.names import DomainId, ServiceId, UpstreamId

LATENCY_EWMA_WEIGHT = 0.1
SCORE_EWMA_WEIGHT = 0.1
SCORE_LIMIT = 4.0
FLOOR_RISE_FRACTION = 0.002
EJECT_SCORE = 2.2
MIN_EJECT_OUTCOMES = 6
RECOVERED_AFTER_OUTCOMES = 100
EJECT_MS = 5_000.0
EJECT_LIMIT_MS = 60_000.0
MEDIAN = 0.5
MIN_SAMPLES = 50


class UpstreamView:
    """Store what this host's own attempts showed of one upstream."""

    __slots__ = (
        "domain",
        "ejected_until_ms",
        "ejections",
        "last_sent_ms",
        "latency_ms",
        "outcomes",
        "outstanding",
        "score",
        "service",
    )

    def __init__(self) -> None:
        self.outstanding = 0
        self.outcomes = 0
        self.latency_ms = 0.0
        self.last_sent_ms = 0.0
        self.domain: DomainId = ""
        self.score = 1.0
        self.service: ServiceId = ""
        self.ejections = 0
        self.ejected_until_ms = 0.0


class Ejection(NamedTuple):
    """Report an upstream ejected for its score; it is used again after `wait_ms`."""

    upstream: UpstreamId
    score: float
    wait_ms: float


class UpstreamViews:
    """Store views by upstream, and latency histograms by service.

    One histogram has the latencies that this host observed, the other the
    processing times that the upstreams reported.
    """

    def __init__(self) -> None:
        self.view_by_upstream: dict[UpstreamId, UpstreamView] = {}
        self._floor_by_domain: dict[DomainId, float] = {}
        self._observed_by_service: dict[ServiceId, LatencyHistogram] = {}
        self._reported_by_service: dict[ServiceId, LatencyHistogram] = {}

    def of(self, upstream: UpstreamId) -> UpstreamView:
        """Return an upstream's view; create it when there is none."""
        view = self.view_by_upstream.get(upstream)
        if view is None:
            view = self.view_by_upstream[upstream] = UpstreamView()
        return view

    def retain_only(
        self, upstreams: Container[UpstreamId], services: Container[ServiceId]
    ) -> None:
        """Remove the upstreams and services that are not given."""
        for upstream in [one for one in self.view_by_upstream if one not in upstreams]:
            del self.view_by_upstream[upstream]
        for histogram_by_service in (
            self._observed_by_service,
            self._reported_by_service,
        ):
            for service in [one for one in histogram_by_service if one not in services]:
                del histogram_by_service[service]

    def latency_ms(self, service: ServiceId, fraction: float) -> float | None:
        """Return a quantile of observed latencies; None with too few samples."""
        observed = self._observed_by_service.get(service)
        if observed is None or observed.count < MIN_SAMPLES:
            return None
        return observed.quantile(fraction)

    def floor_ms(self, domain: DomainId) -> float:
        """Return about the lowest recent latency of a domain; 0 without attempts."""
        return self._floor_by_domain.get(domain, 0.0)

    def record_sent(
        self, service: ServiceId, upstream: UpstreamId, domain: DomainId, now_ms: float
    ) -> None:
        """Record that an attempt was sent."""
        view = self.of(upstream)
        view.outstanding += 1
        view.service, view.domain, view.last_sent_ms = service, domain, now_ms

    def record_ended(
        self, service: ServiceId, upstream: UpstreamId, took_ms: float, is_first: bool
    ) -> None:
        """Record an attempt that was answered, or cancelled late, after `took_ms`.

        Only first attempts, not hedges, count for the service's latency quantiles.
        """
        view = self.of(upstream)
        view.outstanding = max(0, view.outstanding - 1)
        if is_first:
            observed = self._observed_by_service.get(service)
            if observed is None:
                observed = self._observed_by_service[service] = LatencyHistogram()
            observed.add(took_ms)
        floor_ms = self._floor_by_domain.get(view.domain, took_ms)
        rise_ms = FLOOR_RISE_FRACTION * (took_ms - floor_ms)
        self._floor_by_domain[view.domain] = min(took_ms, floor_ms + rise_ms)
        if view.latency_ms == 0.0:
            view.latency_ms = took_ms
        else:
            view.latency_ms += LATENCY_EWMA_WEIGHT * (took_ms - view.latency_ms)

    def record_without_latency(self, upstream: UpstreamId) -> None:
        """Record the end of an attempt without a usable latency."""
        view = self.of(upstream)
        view.outstanding = max(0, view.outstanding - 1)

    def record_reported_time(
        self, upstream: UpstreamId, own_ms: float, now_ms: float, is_whole: bool
    ) -> Ejection | None:
        """Score the upstream's reported time against its peers'; return an ejection.

        A time cut short by a cancellation (`is_whole` false) can only raise the score.
        """
        view = self.view_by_upstream.get(upstream)
        if view is None or not view.service:
            return None
        reported = self._reported_by_service.get(view.service)
        if reported is None:
            reported = self._reported_by_service[view.service] = LatencyHistogram()
        if is_whole:
            reported.add(own_ms)
        if reported.count < MIN_SAMPLES:
            return None
        ratio = own_ms / max(reported.quantile(MEDIAN), MIN_LATENCY_MS)
        if not is_whole and ratio < EJECT_SCORE:
            return None
        return self._update_score(upstream, min(ratio, SCORE_LIMIT), now_ms)

    def failed(self, upstream: UpstreamId, now_ms: float) -> Ejection | None:
        """Score a failure as the highest latency ratio; return an ejection or None."""
        return self._update_score(upstream, SCORE_LIMIT, now_ms)

    def _update_score(
        self, upstream: UpstreamId, score: float, now_ms: float
    ) -> Ejection | None:
        view = self.of(upstream)
        view.outcomes += 1
        view.score += SCORE_EWMA_WEIGHT * (score - view.score)
        if view.outcomes >= RECOVERED_AFTER_OUTCOMES:
            view.ejections = 0
        if view.score < EJECT_SCORE or view.outcomes < MIN_EJECT_OUTCOMES:
            return None
        if now_ms < view.ejected_until_ms:
            return None
        wait_ms = min(EJECT_MS * 2**view.ejections, EJECT_LIMIT_MS)
        view.ejections += 1
        view.ejected_until_ms = now_ms + wait_ms
        view.outcomes = 0
        ejected = Ejection(upstream, view.score, wait_ms)
        view.score = 1.0
        return ejected
