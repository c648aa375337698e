"""Record which upstreams this host hears from, and which fail to respond to it."""

from __future__ import annotations

import math
from collections import Counter
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

from burdockmill.policies.isolation import is_isolated

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from burdockmill.forwarding.messages import Registration
    from burdockmill.names import DomainId, ServiceId, UpstreamId


class ReachFailure(StrEnum):
    """Enumerate how an upstream can fail to respond."""

    UNCONNECTED = "unconnected"
    SILENT = "silent"
    CUT_OFF = "cut_off"


# An upstream counts as refusing for this long after it refused a connection.
REFUSING_MS = 1_000.0


class RefusedSeries(NamedTuple):
    """Store the first and last time of refusals repeated in short intervals."""

    first_ms: float
    last_ms: float


class FailedReach(NamedTuple):
    """Record a failure to reach an upstream; `since_ms` is when the attempt began.

    `cut_ms` is when its connection ended that had been open until then, else None.
    """

    domain: DomainId
    service: ServiceId
    kind: ReachFailure
    since_ms: float
    cut_ms: float | None = None

    @property
    def lost_ms(self) -> float:
        """Return since when the upstream may not have been reached."""
        return self.since_ms if self.cut_ms is None else self.cut_ms


class UpstreamReach:
    """Record when upstreams were heard, and the failures since; times in milliseconds.

    An upstream is heard when it replies to an attempt or accepts a connection. This
    host is isolated once several upstreams, in several failure domains, have failed one
    after the other and none was heard in between.
    """

    def __init__(self, domain: DomainId) -> None:
        self.counts: Counter[str] = Counter()
        self.heard_ms = -math.inf
        self.isolated_since_ms: float | None = None
        # Since when upstreams may not have been reached, by what showed the isolation.
        self._isolating_ms = math.inf
        self._domain = domain
        self._heard_ms_by_upstream: dict[UpstreamId, float] = {}
        self._failed_by_upstream: dict[UpstreamId, FailedReach] = {}
        # Kept connections may carry requests while new ones are refused.
        self._refused_by_upstream: dict[UpstreamId, RefusedSeries] = {}
        # The failures since any upstream was heard.
        self._unheard_by_upstream: dict[UpstreamId, FailedReach] = {}

    @property
    def is_isolated(self) -> bool:
        """Return whether this host seems to reach no upstream at all."""
        return self.isolated_since_ms is not None

    @property
    def has_failures(self) -> bool:
        """Return whether any upstream accepts no connections."""
        return bool(self._failed_by_upstream)

    @property
    def needs_review(self) -> bool:
        """Return whether upstreams have failed that may show an isolation."""
        return bool(self._unheard_by_upstream) and not self.is_isolated

    @property
    def unheard(self) -> Collection[FailedReach]:
        """Return the failures since any upstream was heard."""
        return self._unheard_by_upstream.values()

    def is_unheard(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream has failed since any upstream was heard."""
        return upstream in self._unheard_by_upstream

    def is_failing(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream accepted no connection since it was heard."""
        return upstream in self._failed_by_upstream

    def refused(self, upstream: UpstreamId, now_ms: float) -> None:
        """Record that an upstream refused a connection."""
        since_ms = self._refusing_since_ms(upstream, now_ms)
        first_ms = now_ms if since_ms is None else since_ms
        self._refused_by_upstream[upstream] = RefusedSeries(first_ms, now_ms)

    def is_refusing(self, upstream: UpstreamId, now_ms: float) -> bool:
        """Return whether an upstream refused a connection lately."""
        return self._refusing_since_ms(upstream, now_ms) is not None

    def refusing_services(
        self, registered: Iterable[Registration], now_ms: float
    ) -> dict[ServiceId, float]:
        """Return the services of which an upstream refuses, each with since when."""
        if not self._refused_by_upstream:
            return {}
        since_ms_by_service: dict[ServiceId, float] = {}
        for one in registered:
            since_ms = self._refusing_since_ms(one.upstream, now_ms)
            if since_ms is not None:
                earlier_ms = since_ms_by_service.get(one.service, math.inf)
                since_ms_by_service[one.service] = min(since_ms, earlier_ms)
        return since_ms_by_service

    def _refusing_since_ms(self, upstream: UpstreamId, now_ms: float) -> float | None:
        series = self._refused_by_upstream.get(upstream)
        if series is None:
            return None
        if now_ms - series.last_ms <= REFUSING_MS:
            return series.first_ms
        del self._refused_by_upstream[upstream]
        return None

    def heard_of_ms(self, upstream: UpstreamId) -> float:
        """Return when an upstream was last heard, negative infinity if never."""
        return self._heard_ms_by_upstream.get(upstream, -math.inf)

    def is_service_failing(self, upstreams: Iterable[Registration]) -> bool:
        """Return whether all usable upstreams of a service fail, and there are some."""
        usable = [one for one in upstreams if not one.draining]
        return bool(usable) and all(self.is_failing(one.upstream) for one in usable)

    def failing_services(
        self, registered: Iterable[Registration]
    ) -> frozenset[ServiceId]:
        """Return the services of which every usable upstream fails."""
        if not self._failed_by_upstream:
            return frozenset()
        services = {failed.service for failed in self._failed_by_upstream.values()}
        for one in registered:
            if one.service in services and not (
                one.draining or self.is_failing(one.upstream)
            ):
                services.discard(one.service)
        return frozenset(services)

    def failing_since_ms(self, services: Collection[ServiceId]) -> float:
        """Return when upstreams began to fail: any if isolated, else of the services.

        If several do, it is the time of the last one; infinite if none does.
        """
        if self.is_isolated:
            return self._isolating_ms
        since_ms_by_service: dict[ServiceId, float] = {}
        for failed in self._failed_by_upstream.values():
            since_ms = since_ms_by_service.get(failed.service, math.inf)
            since_ms_by_service[failed.service] = min(since_ms, failed.since_ms)
        return max(
            (since_ms_by_service.get(one, math.inf) for one in services),
            default=math.inf,
        )

    def heard(self, upstream: UpstreamId | None, now_ms: float) -> bool:
        """Record that an upstream was heard; return whether that ends an isolation.

        None stands for one that is not known.
        """
        self.heard_ms = now_ms
        if upstream is not None:
            self._heard_ms_by_upstream[upstream] = now_ms
            self._failed_by_upstream.pop(upstream, None)
        self._unheard_by_upstream.clear()
        if self.isolated_since_ms is None:
            return False
        self.isolated_since_ms = None
        # What failed meanwhile tells of this host, not of the upstreams.
        self._failed_by_upstream.clear()
        self.counts["isolations_ended"] += 1
        return True

    def failed(
        self,
        upstream: Registration,
        kind: ReachFailure,
        since_ms: float,
        cut_ms: float | None = None,
    ) -> None:
        """Record a failure; `since_ms` is when the attempt began that failed.

        `cut_ms` is when its connection ended, if it had one.
        """
        name = upstream.upstream
        failed = FailedReach(upstream.domain, upstream.service, kind, since_ms, cut_ms)
        if kind is ReachFailure.UNCONNECTED and since_ms > self.heard_of_ms(name):
            self._failed_by_upstream.setdefault(name, failed)
        if since_ms > self.heard_ms:
            self._unheard_by_upstream.setdefault(name, failed)

    def review(self, usable: Collection[Registration], now_ms: float) -> bool:
        """Return whether the failures show from now on that this host is isolated.

        `usable` are all upstreams that this host might send to.
        """
        if self.is_isolated:
            return False
        if not is_isolated(self._domain, self.unheard, usable, now_ms):
            return False
        self.isolated_since_ms = now_ms
        self._isolating_ms = min(one.lost_ms for one in self.unheard)
        self.counts["isolations"] += 1
        return True

    def forget(self, upstream: UpstreamId) -> None:
        """Remove an upstream that is gone, or that has another incarnation."""
        self._heard_ms_by_upstream.pop(upstream, None)
        self._failed_by_upstream.pop(upstream, None)
        self._unheard_by_upstream.pop(upstream, None)
        self._refused_by_upstream.pop(upstream, None)
