"""Choose the host that gathers a search of a client of this host.

Load pattern: two strong hosts carry the searches of twenty others of their failure
domain; one of them freezes, turns slow, is cut off or is killed, and comes back. The
upstreams of a region are in one of its two domains, and bytes between domains are dear.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from burdockmill.forwarding.messages import Registration
    from burdockmill.forwarding.routes import Route
    from burdockmill.names import DomainId, HostId, RequestId, ServiceId
    from burdockmill.policies.upstream_eligibility import UpstreamEligibility
    from burdockmill.tables.gather_view import GatherView
    from burdockmill.world import World

# Round trips within a failure domain and within a region.
SAME_DOMAIN_ROUND_TRIP_MS = 0.6
SAME_REGION_ROUND_TRIP_MS = 3.0
# A host that runs confirms a search within a few milliseconds; one that is busy needs
# some more. A search waits no longer for a host that does not.
CONFIRM_WAIT_MS = 40.0
# A host that failed to gather gets no searches for this long, and twice as long after
# each further failure, up to a limit.
AVOID_FIRST_MS = 500.0
AVOID_LONGEST_MS = 4_000.0
AVOID_DOUBLINGS = 3
# Hosts learn of a strong one at the same moment. Each hands it a growing fraction of
# its searches for so long, so that it opens its connections to upstreams under a part
# of the load. A host that has just started has no better way.
RAMP_MS = 1_000.0
# Each search in flight from here makes a host less preferable by this much.
IN_FLIGHT_MS = 5.0
CONFIRM_WEIGHT = 0.3
HASH_VALUES = 2**64


class GatherHost:
    """Store how one host confirmed searches lately; times in clock milliseconds."""

    __slots__ = ("avoided_until_ms", "confirm_ms", "failures", "known_since_ms")

    def __init__(self, now_ms: float) -> None:
        self.known_since_ms = now_ms
        self.avoided_until_ms = 0.0
        self.confirm_ms = 0.0
        self.failures = 0


class GatherChoice:
    """Choose among the strong hosts near most upstreams, within this host's region."""

    def __init__(
        self,
        world: World,
        view: GatherView,
        region_by_domain: Mapping[DomainId, str],
        in_flight_by_host: Mapping[HostId, int],
        eligibility: UpstreamEligibility,
        replicas_of: Callable[[ServiceId], Iterable[Registration]],
    ) -> None:
        self.counts: Counter[str] = Counter()
        self._world = world
        self._view = view
        self._eligibility = eligibility
        self._replicas_of = replicas_of
        self._in_flight_by_host = in_flight_by_host
        own_region = region_by_domain.get(world.domain)
        self._near_domains = sorted(
            domain
            for domain, region in region_by_domain.items()
            if region == own_region and domain != world.domain
        )
        self._host_by_id: dict[HostId, GatherHost] = {}

    def choose(
        self, request_id: RequestId, route: Route, now_ms: float
    ) -> HostId | None:
        """Return the host to hand a search to, or None if this host gathers it."""
        if route.shards is None or self._view.is_gatherer:
            return None
        for domain in self._domains_for(route):
            usable = [
                host
                for host in sorted(self._view.hosts_of(domain))
                if self._is_usable(host, request_id, now_ms)
            ]
            if usable:
                return self._least_busy(usable, request_id)
        return None

    @property
    def has_host(self) -> bool:
        """Return whether a strong host of this region accepts searches."""
        row_by_host = self._world.member_by_host
        return any(
            (row := row_by_host.get(host)) is not None and row.alive and not row.leaving
            for domain in (self._world.domain, *self._near_domains)
            for host in self._view.hosts_of(domain)
        )

    def round_trip_ms(self, host: HostId) -> float:
        """Return the time of a message to a host and back."""
        row = self._world.member_by_host.get(host)
        is_same = row is not None and row.domain == self._world.domain
        return SAME_DOMAIN_ROUND_TRIP_MS if is_same else SAME_REGION_ROUND_TRIP_MS

    def confirmed(self, host: HostId, took_ms: float) -> None:
        """Record that a host has taken a search over."""
        row = self._host_by_id.get(host)
        if row is not None:
            row.failures = 0
            row.confirm_ms += CONFIRM_WEIGHT * (took_ms - row.confirm_ms)

    def failed(self, host: HostId, now_ms: float) -> None:
        """Avoid a host that declined a search, lost it, or did not confirm it."""
        row = self._host_by_id.get(host)
        if row is None or now_ms < row.avoided_until_ms:
            return
        avoid_ms = min(AVOID_FIRST_MS * 2**row.failures, AVOID_LONGEST_MS)
        row.failures = min(row.failures + 1, AVOID_DOUBLINGS)
        row.avoided_until_ms = now_ms + avoid_ms
        self.counts["hosts_avoided"] += 1

    def _domains_for(self, route: Route) -> list[DomainId]:
        """Return the domains of this region, those with most upstreams first.

        An answer from there costs fewer bytes between domains than its parts do.
        """
        assert route.shards is not None
        services = route.shards.services
        sample = {services[0], services[len(services) // 2], services[-1]}
        count_by_domain = Counter(
            upstream.domain
            for service in sample
            for upstream in self._eligibility.select(self._replicas_of(service), route)
        )
        domains = [
            domain
            for domain in (self._world.domain, *self._near_domains)
            if self._eligibility.may_take_over(domain, route)
        ]
        # This host's own domain comes first among equals.
        return sorted(domains, key=lambda domain: -count_by_domain[domain])

    def _is_usable(self, host: HostId, request_id: RequestId, now_ms: float) -> bool:
        member = self._world.member_by_host.get(host)
        if member is None or not member.alive or member.leaving:
            # It starts anew once it is back.
            self._host_by_id.pop(host, None)
            return False
        row = self._host_by_id.setdefault(host, GatherHost(now_ms))
        if member.suspect or now_ms < row.avoided_until_ms:
            return False
        known_ms = now_ms - row.known_since_ms
        if known_ms >= RAMP_MS or self._world.is_starting(now_ms):
            return True
        drawn = xxh3_64_intdigest(f"{host} {request_id}".encode()) / HASH_VALUES
        return drawn < known_ms / RAMP_MS

    def _least_busy(self, usable: list[HostId], request_id: RequestId) -> HostId:
        """Return the less busy of two hosts that the request's id selects."""
        first = xxh3_64_intdigest(request_id.encode()) % len(usable)
        pair = (usable[first], usable[first - 1])
        return min(pair, key=self._cost_ms)

    def _cost_ms(self, host: HostId) -> float:
        in_flight_ms = IN_FLIGHT_MS * self._in_flight_by_host.get(host, 0)
        return self._host_by_id[host].confirm_ms + in_flight_ms
