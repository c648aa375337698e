"""Decide whether a request is run here, by another host, or not at all.

Load pattern: some hosts, or most, lose their links to all upstreams while their clients
and the other hosts still reach them; or only new connections are refused. Beside it,
all upstreams of a service or of a failure domain crash, which no host can serve.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

from burdockmill.forwarding.messages import AttemptKind

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from burdockmill.forwarding.messages import Registration
    from burdockmill.forwarding.routes import Route
    from burdockmill.names import DomainId, HostId, ServiceId
    from burdockmill.policies.repeat_budget import RepeatBudget
    from burdockmill.policies.upstream_eligibility import UpstreamEligibility
    from burdockmill.tables.peer_reach import PeerReach, PeerReachRow
    from burdockmill.tables.upstream_reach import UpstreamReach

# Hosts answer a query within this time, also if they test their links first.
REPLY_WAIT_MS = 250.0
# Each request in flight at a host makes it less preferable by this much.
IN_FLIGHT_MS = 8.0
# A host that is refused connections may not serve what it takes over.
REFUSING_COST_MS = 100.0


class Way(StrEnum):
    """Enumerate the ways that a request can take."""

    HERE = "here"
    RELAY = "relay"
    WAIT = "wait"
    NOWHERE = "nowhere"


class RelayPlan(NamedTuple):
    """Store the way of a request; times in milliseconds.

    With WAIT, other hosts may answer until `until_ms` whether they reach its services.
    """

    way: Way
    host: HostId = ""
    round_trip_ms: float = 0.0
    until_ms: float = 0.0


class RelayPlanner:
    """Plan the way of requests from what this host and others reach."""

    def __init__(
        self,
        reach: UpstreamReach,
        peers: PeerReach,
        replicas_of: Callable[[ServiceId], Iterable[Registration]],
        want: Callable[[tuple[ServiceId, ...]], None],
        budget: RepeatBudget,
        eligibility: UpstreamEligibility,
        domain_of: Callable[[HostId], DomainId],
    ) -> None:
        self.counts: Counter[str] = Counter()
        self.in_flight_by_host: Counter[HostId] = Counter()
        self.peers = peers
        self.budget = budget
        self._reach = reach
        self._replicas_of = replicas_of
        self._want = want
        self._eligibility = eligibility
        self._domain_of = domain_of

    @property
    def is_isolated(self) -> bool:
        """Return whether this host reaches no upstream."""
        return self._reach.is_isolated

    def plan(
        self,
        services: Collection[ServiceId],
        excluded: Collection[HostId],
        now_ms: float,
        spare_services: int = 0,
        refused: Collection[ServiceId] = (),
        route: Route | None = None,
    ) -> RelayPlan:
        """Return the way of a request for some services; not to `excluded` hosts.

        It can be answered without as many as `spare_services`. It was refused
        connections to all upstreams that it tried of the `refused` ones. Its route may
        bind it to regions.
        """
        unreached = self._unreached(services, route)
        unreached += tuple(one for one in refused if one not in unreached)
        if not unreached or (not self.is_isolated and len(unreached) <= spare_services):
            return RelayPlan(Way.HERE)
        best = self._best_host(unreached, excluded, route, now_ms)
        if best is not None:
            return RelayPlan(Way.RELAY, best.host, best.round_trip_ms)
        wanted = () if self.is_isolated else unreached
        asked_ms = self.peers.asked_since_ms(wanted, now_ms)
        if asked_ms is None:
            self._want(wanted)
            return RelayPlan(Way.WAIT, until_ms=now_ms + REPLY_WAIT_MS)
        is_early = now_ms < asked_ms + REPLY_WAIT_MS
        if is_early and self.peers.awaits_answers:
            return RelayPlan(Way.WAIT, until_ms=asked_ms + REPLY_WAIT_MS)
        referred_ms = self.peers.referred_since_ms(now_ms)
        if referred_ms is not None and now_ms < referred_ms + REPLY_WAIT_MS:
            return RelayPlan(Way.WAIT, until_ms=referred_ms + REPLY_WAIT_MS)
        self._want(wanted)
        return RelayPlan(Way.NOWHERE if self.is_isolated else Way.HERE)

    def pay(self, services: Collection[ServiceId], route: Route, now_ms: float) -> bool:
        """Return whether a request may go out once more, and pay for that."""
        return self.budget.withdraw_all(services, AttemptKind.RETRY, now_ms, route.rank)

    def _unreached(
        self, services: Collection[ServiceId], route: Route | None
    ) -> tuple[ServiceId, ...]:
        if self._reach.is_isolated:
            return tuple(services)
        if not self._reach.has_failures:
            return ()
        return tuple(
            service
            for service in services
            if self._reach.is_service_failing(
                self._eligibility.select(self._replicas_of(service), route)
            )
        )

    def _best_host(
        self,
        services: Collection[ServiceId],
        excluded: Collection[HostId],
        route: Route | None,
        now_ms: float,
    ) -> PeerReachRow | None:
        # A host that hears from other upstreams hands over only to hosts that heard
        # from the service itself: its upstreams may have crashed.
        needs_proof = not self.is_isolated
        rows = (
            row
            for row in self.peers.usable_rows(now_ms)
            if row.host not in excluded
            and row.reaches(services, needs_proof)
            and self._eligibility.may_take_over(self._domain_of(row.host), route)
        )
        return min(rows, key=lambda row: self._cost_ms(row, services), default=None)

    def _cost_ms(self, row: PeerReachRow, services: Collection[ServiceId]) -> float:
        cost_ms = row.round_trip_ms + IN_FLIGHT_MS * self.in_flight_by_host[row.host]
        return cost_ms + REFUSING_COST_MS * (not row.refusing.isdisjoint(services))
